"""What a controller knows and must not lose: seats by tokens, and what a restart makes of what it finds.

Decides without I/O; the store and the calls to streamers are the daemon's.
"""

from herongap.state.recovery import Fate, Found, Kept, Known, reconcile
from herongap.state.seats import Refused, Seat, Seats, Terms

__all__ = ["Fate", "Found", "Kept", "Known", "Refused", "Seat", "Seats", "Terms", "reconcile"]
