"""Scripted days against real controllers on loopback; the rules are checked from the logs of their sockets.

The checker (`herongap.fleet.checker`) reads only what the stand-in streamers and the clients saw.
"""

from herongap.rehearsal.bench import UnsupportedTroubleError, from_bench
from herongap.rehearsal.stage import play

__all__ = ["UnsupportedTroubleError", "from_bench", "play"]
