"""Stand-ins on loopback: streamers that speak WHIP and WHEP, scripted viewers and publishers. No media
flows.
"""

from herongap.fleet.machine import MachineProfile
from herongap.standins.farm import Farm
from herongap.standins.streamer import Streamer
from herongap.standins.viewer import Tried, Viewer

__all__ = ["Farm", "MachineProfile", "Streamer", "Tried", "Viewer"]
