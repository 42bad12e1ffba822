"""Logging for all of the program: structured lines, on standard error or in a file."""

import logging
import sys

import structlog


def set_up(level: str, form: str, sink: str) -> None:
    """Lines of `level` and above, as "json" or "console", to the file `sink` ("-": standard error)."""
    out = sys.stderr if sink == "-" else open(sink, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
    last = (
        structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(out),
        cache_logger_on_first_use=False,
    )
