"""Structured logging for the whole program, to standard error or a file."""

import logging
import sys
import time

import structlog


class LogRateLimiter:
    """Passes at most `lines_per_second` lines of one event; the next one states how many were dropped."""

    def __init__(self, lines_per_second: int, clock=time.monotonic):
        self.lines_per_second, self.clock = lines_per_second, clock
        self.events: dict[str, list] = {}  # the second, lines in it, lines dropped since one passed

    def __call__(self, logger, method: str, entry: dict) -> dict:
        """The processor that structlog calls for each line; raises DropEvent for a line over the limit."""
        state = self.events.setdefault(entry["event"], [0, 0, 0])
        if state[0] != (second := int(self.clock())):
            state[:2] = second, 0
        state[1] += 1
        if state[1] > self.lines_per_second:
            state[2] += 1
            raise structlog.DropEvent
        if state[2]:
            entry["left_out"], state[2] = state[2], 0
        return entry


def configure_logging(level: str, log_format: str, sink: str, lines_per_second: int = 0) -> None:
    """Write lines of `level` and above as "json" or "console" to the file `sink` ("-": standard error).

    At most `lines_per_second` lines of one event are written each second; 0 means no limit.
    """
    stream = sys.stderr if sink == "-" else open(sink, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            *([LogRateLimiter(lines_per_second)] if lines_per_second else []),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )
