"""Seats with leases: granted, renewed and released by tokens with fencing numbers.

A seat is one editor's right to one viewing of a title in a package. The fence of its token is a number that
only grows: a request with an older fence than the seat has now is rejected, however late it arrives (M.
Kleppmann, "How to do distributed locking", 2016). Times are by the host's monotonic clock, so a step of the
wall clock by an hour neither ends nor prolongs a seat.
"""

from enum import Enum
from typing import NamedTuple

Id = int | str


class SeatTerms(NamedTuple):
    """The seats of one title and package: `capacity` of them, each for `lease_seconds` unless renewed.

    If `transferable`, an editor who comes from a second device takes the seat along; otherwise the second
    device is rejected.
    """

    capacity: int
    lease_seconds: float
    transferable: bool = True


class SeatRejection(Enum):
    """Why a seat was not granted or not renewed."""

    FULL = "full"  # all seats are taken
    HELD = "held"  # this editor holds a seat on another device
    STALE = "stale"  # the token is older than the seat, or the seat has ended


class Seat(NamedTuple):
    """A seat that is held until `until` unless renewed. `pool` is its title and package."""

    pool: tuple[Id, Id]
    editor: Id
    device: Id
    fence: int
    until: float


class SeatRegistry:
    """All seats of one controller.

    `fence` is the last fencing number issued. It must never decrease over a restart, so it is stored before a
    grant is announced.
    """

    def __init__(self, terms: dict[Id, SeatTerms], fence: int = 0):
        self.terms, self.fence = terms, fence
        self.held: dict[tuple[Id, Id], dict[Id, Seat]] = {}

    def grant(self, now: float, title: Id, package: Id, editor: Id, device: Id) -> Seat | SeatRejection:
        """A seat for an editor's device; repeated requests of the same device return the same seat."""
        self.expire(now)
        pool, terms = (title, package), self.terms[package]
        seats = self.held.setdefault(pool, {})
        own = seats.get(editor)
        if own and own.device == device:
            return own
        if own and not terms.transferable:
            return SeatRejection.HELD
        if not own and len(seats) >= terms.capacity:
            if not seats:
                del self.held[pool]
            return SeatRejection.FULL
        # A seat that moves to another device gets a new fence: later requests of the first device are stale.
        self.fence += 1
        seat = seats[editor] = Seat(pool, editor, device, self.fence, now + terms.lease_seconds)
        return seat

    def renew(self, now: float, seat: Seat) -> Seat | SeatRejection:
        """Extend the lease of a seat. An expired seat is not restored: another editor may have it by now."""
        self.expire(now)
        current = self.held.get(seat.pool, {}).get(seat.editor)
        if current is None or current.fence != seat.fence:
            return SeatRejection.STALE
        renewed = current._replace(until=now + self.terms[seat.pool[1]].lease_seconds)
        self.held[seat.pool][seat.editor] = renewed
        return renewed

    def release(self, now: float, seat: Seat) -> bool:
        """Give a seat back; False if the token is stale. Safe to repeat."""
        self.expire(now)
        current = self.held.get(seat.pool, {}).get(seat.editor)
        if current is None or current.fence != seat.fence:
            return False
        self._drop(current)
        return True

    def expire(self, now: float) -> list[Seat]:
        """Drop the seats whose lease has ended, and return them."""
        expired = [seat for seats in self.held.values() for seat in seats.values() if seat.until <= now]
        for seat in expired:
            self._drop(seat)
        return expired

    def restore(self, now: float, seats: list[Seat], away: float) -> list[Seat]:
        """Restore stored seats `away` seconds after they were stored; returns those that have expired since.

        `until` of a stored seat counts from the moment of storing, because the host's clock restarts with
        each boot. If the time away is unknown, `away` is 0: a seat then lasts too long by that time, which
        may keep an editor in but never admits one too many.
        """
        expired = []
        for seat in sorted(seats, key=lambda seat: seat.fence):
            self.fence = max(self.fence, seat.fence)
            left = seat.until - max(0.0, away)
            if left <= 0:
                expired.append(seat)
                continue
            self.held.setdefault(seat.pool, {})[seat.editor] = seat._replace(until=now + left)
        return expired

    def _drop(self, seat: Seat) -> None:
        seats = self.held[seat.pool]
        del seats[seat.editor]
        if not seats:
            del self.held[seat.pool]
