"""Stand-ins on loopback: streamers that speak WHIP and WHEP, scripted viewers and publishers. No media
flows.
"""

from herongap.fleet.machine import Kind
from herongap.standins.farm import StreamerPool
from herongap.standins.streamer import Streamer
from herongap.standins.viewer import AttemptResult, Viewer

__all__ = ["StreamerPool", "Kind", "Streamer", "AttemptResult", "Viewer"]
