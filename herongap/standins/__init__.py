"""Fakes on loopback: streamers that speak WHIP and WHEP, and scripted viewers and publishers.

No media is sent.
"""

from herongap.fleet.machine import MachineProfile
from herongap.standins.farm import StreamerPool
from herongap.standins.streamer import Streamer
from herongap.standins.viewer import AttemptResult, Viewer

__all__ = ["StreamerPool", "MachineProfile", "Streamer", "AttemptResult", "Viewer"]
