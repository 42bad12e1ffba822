"""Scripted days against real controllers on loopback, and the checker of the six rules.

The checker reads only what the stand-in streamers and the clients saw on their sockets.
"""

from herongap.fleet.day import Day, read_day, script
from herongap.rehearsal.bench import Unplayable, from_bench
from herongap.rehearsal.checker import Break, check
from herongap.rehearsal.report import Report, report
from herongap.rehearsal.stage import Outcome, play

__all__ = [
    "Break",
    "Day",
    "Outcome",
    "Report",
    "Unplayable",
    "check",
    "from_bench",
    "play",
    "read_day",
    "report",
    "script",
]
