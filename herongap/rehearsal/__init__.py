"""Rehearsals: scripted days against real controllers on loopback, checked by the logs of their peers.

The checker (`herongap.fleet.checker`) reads only the logs of the fake streamers and the clients.
"""

from herongap.rehearsal.bench import UnplayableDayError, from_bench
from herongap.rehearsal.stage import play

__all__ = ["UnplayableDayError", "from_bench", "play"]
