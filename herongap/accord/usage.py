"""What one controller has begun that counts for wholes: thing by thing, from its decision until it is over.

A thing is one tune-in and what comes of it; the deciding module says for which wholes it counts. It counts
from the decision on, so that two decisions cannot use one room; it leaves only if every part still covers it
then; and it is over when its streamer has said so. Where nobody knows, it counts for as long as it may last.
"""

from collections.abc import Hashable, Iterable, Iterator, Mapping
from heapq import heappop, heappush

from herongap.accord.shares import DRIFT, BudgetKind, BudgetShare


class UsageCounter:
    """All shares of one controller, by the names of their wholes, and the things that count for them."""

    def __init__(self, shares: Mapping[str, BudgetShare]):
        self.shares = shares
        self.pending: dict[Hashable, tuple[str, ...]] = {}  # decided, not gone out yet
        self.held: dict[Hashable, tuple[str, ...]] = {}  # gone out, what counts as held
        self.uncertain: list[tuple[float, int, str]] = []  # until when it may last, unless it is over by then
        self.reported_room = dict.fromkeys(shares, 0)  # the room that the module reckons with
        self._count = 0

    def reserve(self, now: float, thing: Hashable, wholes: Iterable[str]) -> None:
        """It was decided; the module has taken it off the room that it was told of."""
        self.pending[thing] = tuple(wholes)
        for name in self.pending[thing]:
            self.shares[name].reserve(now)
            self.reported_room[name] -= 1

    def try_start(self, now: float, thing: Hashable) -> bool:
        """Whether it may leave now, and counts as gone out if so; else it must not leave, and is over."""
        fine = all(self.shares[name].may_start(now) for name in self.pending.get(thing, ()))
        if fine:
            self._record_start(now, thing, self._cancel_reservation(thing))
        else:
            self._cancel_reservation(thing)
        return fine

    def adopt(self, now: float, thing: Hashable, wholes: Iterable[str]) -> None:
        """An earlier process had begun it, and it is held on here."""
        names = tuple(wholes)
        for name in names:
            self.reported_room[name] -= 1
        self._record_start(now, thing, names)

    def finish(self, now: float, thing: Hashable) -> None:
        """It never left, or its streamer has it no more. What is over already is passed over."""
        self._cancel_reservation(thing)
        for name in self.held.pop(thing, ()):
            self.shares[name].record_end(now)

    def mark_uncertain(self, now: float, thing: Hashable) -> None:
        """It may be at its streamer still, and nobody here will hear of its end."""
        self._cancel_reservation(thing)
        for name in self.held.pop(thing, ()):
            self._count += 1
            until = now + self.shares[name].terms.linger * (1 + DRIFT)
            heappush(self.uncertain, (until, self._count, name))

    def room_changes(self, now: float) -> Iterator[tuple[str, int]]:
        """The wholes of which more or less may be begun than the module was told last, and how many more;
        below 0: so many that play must end. Each is to be told before the next is taken: what the module
        decides on one is counted in the others.
        """
        while self.uncertain and self.uncertain[0][0] <= now:
            self.shares[heappop(self.uncertain)[2]].record_end(now)
        for name, shares in self.shares.items():
            room = shares.room(now)
            if owed := shares.overdue(now):
                # What is in doubt nobody can end.
                room = -max(0, owed - sum(name == other for _, _, other in self.uncertain))
            if room != self.reported_room[name]:
                self.reported_room[name] = room
                yield name, room

    def _cancel_reservation(self, thing: Hashable) -> tuple[str, ...]:
        names = self.pending.pop(thing, ())
        for name in names:
            self.shares[name].reserved_count -= 1
        return names

    def _record_start(self, now: float, thing: Hashable, names: tuple[str, ...]) -> None:
        for name in names:
            self.shares[name].record_start(now)
        self.held[thing] = tuple(n for n in names if self.shares[n].terms.kind is BudgetKind.HELD)
