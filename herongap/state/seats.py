"""Seats that expire: granted, renewed, released by tokens with fencing numbers.

A seat is one editor's right to one viewing of a title in a package. Its token's fence is a number that only
ever grows: what comes with an older one than the seat has now is refused, however late it comes (M.
Kleppmann, "How to do distributed locking", 2016). Times are the host's clock, which only runs forward; the
wall clock may step by an hour without a seat ending or lasting longer by it.
"""

from enum import Enum
from typing import NamedTuple

Id = int | str


class SeatTerms(NamedTuple):
    """`capacity` of one title and package, each lasting `lease_seconds` seconds unless renewed.

    `transferable`: an editor who comes from a second device takes the seat along; else the second device
    is refused.
    """

    capacity: int
    lease_seconds: float
    transferable: bool = True


class SeatRejection(Enum):
    FULL = "full"  # all seats are taken
    HELD = "held"  # this editor holds one on another device
    STALE = "stale"  # the token is older than the seat, or its seat is gone


class Seat(NamedTuple):
    """A seat that is held. `until` is when it ends unless renewed."""

    pool: tuple[Id, Id]
    editor: Id
    device: Id
    fence: int
    until: float


class SeatRegistry:
    """All seats of one controller. `fence` is the last number given; after a restart it must not be lower
    than any that was given before, so it is kept before a grant is told to anybody.
    """

    def __init__(self, terms: dict[Id, SeatTerms], fence: int = 0):
        self.terms, self.fence = terms, fence
        self.held: dict[tuple[Id, Id], dict[Id, Seat]] = {}

    def grant(self, now: float, title: Id, package: Id, editor: Id, device: Id) -> Seat | SeatRejection:
        """A seat for an editor's device; the same one where that device has it already, however often it
        asks.
        """
        self.expire(now)
        pool, terms = (title, package), self.terms[package]
        seats = self.held.setdefault(pool, {})
        mine = seats.get(editor)
        if mine and mine.device == device:
            return mine
        if mine and not terms.transferable:
            return SeatRejection.HELD
        if not mine and len(seats) >= terms.capacity:
            if not seats:
                del self.held[pool]
            return SeatRejection.FULL
        # A seat that moves gets a new number: what the first device still sends is stale from now on.
        self.fence += 1
        seat = seats[editor] = Seat(pool, editor, device, self.fence, now + terms.lease_seconds)
        return seat

    def renew(self, now: float, seat: Seat) -> Seat | SeatRejection:
        """The seat for another while. One that has ended is not brought back: another may have it by now."""
        self.expire(now)
        there = self.held.get(seat.pool, {}).get(seat.editor)
        if there is None or there.fence != seat.fence:
            return SeatRejection.STALE
        kept = there._replace(until=now + self.terms[seat.pool[1]].lease_seconds)
        self.held[seat.pool][seat.editor] = kept
        return kept

    def release(self, now: float, seat: Seat) -> bool:
        """Give a seat back; False where it is not this token's any more. To repeat it does no harm."""
        self.expire(now)
        there = self.held.get(seat.pool, {}).get(seat.editor)
        if there is None or there.fence != seat.fence:
            return False
        self._drop(there)
        return True

    def expire(self, now: float) -> list[Seat]:
        """Seats that end now."""
        over = [seat for seats in self.held.values() for seat in seats.values() if seat.until <= now]
        for seat in over:
            self._drop(seat)
        return over

    def restore(self, now: float, seats: list[Seat], away: float) -> list[Seat]:
        """Take up what was kept, `away` seconds after it was; those that have ended meanwhile are given back.

        `until` of what is kept is in seconds from the moment it was kept, for the host's clock begins anew
        with each boot. Where `away` is not known it is 0: a seat then lasts too long by the time away, which
        keeps an editor in and never two.
        """
        over = []
        for seat in sorted(seats, key=lambda seat: seat.fence):
            self.fence = max(self.fence, seat.fence)
            left = seat.until - max(0.0, away)
            if left <= 0:
                over.append(seat)
                continue
            self.held.setdefault(seat.pool, {})[seat.editor] = seat._replace(until=now + left)
        return over

    def _drop(self, seat: Seat) -> None:
        seats = self.held[seat.pool]
        del seats[seat.editor]
        if not seats:
            del self.held[seat.pool]
