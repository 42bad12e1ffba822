"""Wholes divided among controllers, in the model: how much of the whole is used, and what the store pays.

    python benchmarks/budgets.py [SEEDS]

Use is what was let in over what one all-seeing divider lets in of the same arrivals, beside a fixed division.
"""

import sys
from statistics import mean, stdev

from herongap.accord import BudgetKind, BudgetShare, BudgetTerms
from herongap.fleet.settling import Net, World

HELD = BudgetTerms("held", BudgetKind.HELD, 80, floor=1, linger=16.0)
PARTS = (("steady", 10, 30), ("a crowd moved", 30, 40), ("moved for 10 s", 40, 50), ("half killed", 50, 60))


class Fixed(BudgetShare):
    """The whole over the number of controllers, for good."""

    parts = 8

    def allowance(self, now):
        return self.terms.limit // self.parts

    def next_commit(self, now, live):
        return None

    def overdue(self, now):
        return 0


def all_seeing(place: list[World], name: str) -> type:
    """Lets in whatever the whole still bears; `place` has the world by the time it is asked."""

    class AllSeeing(Fixed):
        def room(self, now):
            return self.terms.limit - len(place[0].held[name])

    return AllSeeing


def day(seed: int, make, numbers: int = 8) -> list[int]:
    """Let in by each part of the day."""
    found, place = [], []
    make = all_seeing(place, "held") if make is None else make
    rate = 0.9 * HELD.limit / 4.0
    w = World(seed, numbers, (HELD,), Net(0.004), demand=rate / numbers, lasts=4.0, make=make, waits=0.3)
    place.append(w)
    for _, begin, end in PARTS:
        w.run(begin)
        if begin == 30:
            w.demand = dict.fromkeys(w.demand, 0.4 * rate / (numbers - 1)) | {2: 0.6 * rate}
        if begin == 50:
            for n in range(numbers // 2, numbers):
                w.kill(n)
            w.demand = dict.fromkeys(w.demand, rate / (numbers // 2))
        before = w.let_in
        w.run(end)
        found.append(w.let_in - before)
    assert make is not BudgetShare or not w.broken, w.broken[:3]
    return found


def use(seeds: int) -> None:
    arms = {"shares": BudgetShare, "fixed": Fixed}
    best = [day(s, None) for s in range(seeds)]
    for name, make in arms.items():
        days = [day(s, make) for s in range(seeds)]
        for i, (part, *_) in enumerate(PARTS):
            ratios = [d[i] / b[i] for d, b in zip(days, best, strict=True)]
            spread = 2.26 * stdev(ratios) / len(ratios) ** 0.5
            print(f"{name:8} {part:15} {mean(ratios):.3f} +- {spread:.3f}")


def cost() -> None:
    for numbers in (8, 50, 100):
        terms = HELD._replace(limit=10 * numbers)
        w = World(1, numbers, (terms,), Net(0.004), demand=10 * 0.9 / 4.0, lasts=4.0, waits=0.3)
        w.run(10.0)
        told = []
        for crowd in (False, True):
            if crowd:
                w.demand[2] = 0.2 * 10 * numbers / 4.0
            before = w.store.writes, w.store.refused
            w.run(w.now + 10.0)
            writes, refused = ((now - was) / 10 for now, was in zip(
                (w.store.writes, w.store.refused), before, strict=True))  # fmt: skip
            told.append(
                f"{writes:6.1f} writes {refused:6.1f} lost races {writes * numbers:8.0f} events a second"
            )
        size = len(w.store.documents["held"][1])
        print(f"{numbers:4} controllers, {size:6} bytes: steady {told[0]}; a crowd {told[1]}")
        assert not w.broken, w.broken[:3]


if __name__ == "__main__":
    use(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
    cost()
