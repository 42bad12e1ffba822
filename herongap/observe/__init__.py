"""Logging for all of the program: structured lines, on standard error or in a file."""

import logging
import sys
import time

import structlog


class LogRateLimiter:
    """Lets `most` lines of one kind pass in a second; the next that passes says how many did not."""

    def __init__(self, most: int, clock=time.monotonic):
        self.most, self.clock = most, clock
        self.kinds: dict[str, list] = {}  # second, lines in it, lines left out since one passed

    def __call__(self, logger, method: str, entry: dict) -> dict:
        kind = self.kinds.setdefault(entry["event"], [0, 0, 0])
        if kind[0] != (second := int(self.clock())):
            kind[:2] = second, 0
        kind[1] += 1
        if kind[1] > self.most:
            kind[2] += 1
            raise structlog.DropEvent
        if kind[2]:
            entry["left_out"], kind[2] = kind[2], 0
        return entry


def configure_logging(level: str, form: str, sink: str, most: int = 0) -> None:
    """Lines of `level` and above, as "json" or "console", to the file `sink` ("-": standard error).

    `most` lines of one kind a second, 0 for any number.
    """
    out = sys.stderr if sink == "-" else open(sink, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
    last = (
        structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            *([LogRateLimiter(most)] if most else []),
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
