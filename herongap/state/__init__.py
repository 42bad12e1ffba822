"""What a controller knows and must not lose: seats by tokens, and what a restart makes of what it finds.

Decides without I/O; the store and the calls to streamers are the daemon's.
"""

from herongap.state.recovery import JournaledViewing, RecoveryAction, StreamerSession, ViewingStage, reconcile
from herongap.state.seats import Seat, SeatRegistry, SeatRejection, SeatTerms

__all__ = [
    "RecoveryAction",
    "StreamerSession",
    "JournaledViewing",
    "ViewingStage",
    "SeatRejection",
    "Seat",
    "SeatRegistry",
    "SeatTerms",
    "reconcile",
]
