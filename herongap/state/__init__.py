"""Persistent state of a controller: seats held by tokens, and recovery after a restart.

Decides without I/O; the store and the calls to streamers belong to the daemon.
"""

from herongap.state.recovery import JournaledViewing, RecoveryAction, StreamerSession, ViewingStage, reconcile
from herongap.state.seats import Seat, SeatRegistry, SeatRejection, SeatTerms

__all__ = [
    "JournaledViewing",
    "RecoveryAction",
    "Seat",
    "SeatRegistry",
    "SeatRejection",
    "SeatTerms",
    "StreamerSession",
    "ViewingStage",
    "reconcile",
]
