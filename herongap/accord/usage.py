"""What one controller has begun that counts towards budgets, from each decision until it has ended.

An item is one tune-in and the session that comes of it; the deciding module names the budgets it counts
towards. It counts from the decision on, so that two decisions cannot use the same room. It is sent only if
every allotment still covers it at that moment, and it has ended when its streamer reports so. Where its end
cannot be observed, it counts for as long as it may last.
"""

from collections.abc import Hashable, Iterable, Iterator, Mapping
from heapq import heappop, heappush

from herongap.accord.shares import MAX_CLOCK_DRIFT, BudgetKind, BudgetShare


class UsageCounter:
    """All budget shares of one controller, by budget name, and the items that count towards them."""

    def __init__(self, shares: Mapping[str, BudgetShare]):
        self.shares = shares
        self.pending: dict[Hashable, tuple[str, ...]] = {}  # decided, not sent yet
        self.held: dict[Hashable, tuple[str, ...]] = {}  # sent; the budgets of kind `held` only
        self.uncertain: list[tuple[float, int, str]] = []  # latest end, sequence number, budget name
        self.reported_room = dict.fromkeys(shares, 0)  # the room that the deciding module assumes
        self._sequence = 0

    def reserve(self, now: float, item: Hashable, budgets: Iterable[str]) -> None:
        """Record a decision; the module has already subtracted it from the room reported to it."""
        self.pending[item] = tuple(budgets)
        for name in self.pending[item]:
            self.shares[name].reserve(now)
            self.reported_room[name] -= 1

    def try_start(self, now: float, item: Hashable) -> bool:
        """Whether the item may be sent now. If so it counts as sent; if not it must not be sent and ends."""
        allowed = all(self.shares[name].may_start(now) for name in self.pending.get(item, ()))
        if allowed:
            self._record_start(now, item, self._cancel_reservation(item))
        else:
            self._cancel_reservation(item)
        return allowed

    def adopt(self, now: float, item: Hashable, budgets: Iterable[str]) -> None:
        """Count an item that an earlier process began and that this process continues to hold."""
        names = tuple(budgets)
        for name in names:
            self.reported_room[name] -= 1
        self._record_start(now, item, names)

    def finish(self, now: float, item: Hashable) -> None:
        """The item was never sent, or its streamer no longer has it. Unknown items are ignored."""
        self._cancel_reservation(item)
        for name in self.held.pop(item, ()):
            self.shares[name].record_end(now)

    def mark_uncertain(self, now: float, item: Hashable) -> None:
        """The item may still be at its streamer, and its end will not be reported to this controller."""
        self._cancel_reservation(item)
        for name in self.held.pop(item, ()):
            self._sequence += 1
            until = now + self.shares[name].terms.linger * (1 + MAX_CLOCK_DRIFT)
            heappush(self.uncertain, (until, self._sequence, name))

    def room_changes(self, now: float) -> Iterator[tuple[str, int]]:
        """The budgets whose room differs from what the module was told last, with the new room.

        A negative room is the number of playing items that must end. Report each result to the module before
        taking the next one: what it decides on one budget may count towards the others.
        """
        while self.uncertain and self.uncertain[0][0] <= now:
            self.shares[heappop(self.uncertain)[2]].record_end(now)
        for name, share in self.shares.items():
            room = share.room(now)
            if overdue := share.overdue(now):
                # Items with an unknown end cannot be ended from here.
                room = -max(0, overdue - sum(name == other for _, _, other in self.uncertain))
            if room != self.reported_room[name]:
                self.reported_room[name] = room
                yield name, room

    def _cancel_reservation(self, item: Hashable) -> tuple[str, ...]:
        names = self.pending.pop(item, ())
        for name in names:
            self.shares[name].reserved_count -= 1
        return names

    def _record_start(self, now: float, item: Hashable, names: tuple[str, ...]) -> None:
        for name in names:
            self.shares[name].record_start(now)
        self.held[item] = tuple(n for n in names if self.shares[n].terms.kind is BudgetKind.HELD)
