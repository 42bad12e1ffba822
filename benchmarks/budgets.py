"""Wholes divided among controllers, in the model: how much of the whole is used, and what the store pays.

    python benchmarks/budgets.py [SEEDS]

Use is what was let in over what one all-seeing divider lets in of the same arrivals, beside a fixed division.
"""

import sys
from statistics import mean, stdev

from herongap.accord import BudgetKind, BudgetShare, BudgetTerms
from herongap.fleet.budget_simulation import BudgetSimulation, NetworkConditions

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


def all_seeing(place: list[BudgetSimulation], name: str) -> type:
    """Lets in whatever the whole still bears; `place` has the simulation by the time it is asked."""

    class AllSeeing(Fixed):
        def room(self, now):
            return self.terms.limit - len(place[0].held[name])

    return AllSeeing


def day(seed: int, make, numbers: int = 8) -> list[int]:
    """Let in by each part of the day."""
    found, place = [], []
    make = all_seeing(place, "held") if make is None else make
    rate = 0.9 * HELD.limit / 4.0
    simulation = BudgetSimulation(
        seed,
        numbers,
        (HELD,),
        NetworkConditions(0.004),
        demand=rate / numbers,
        mean_hold_seconds=4.0,
        share_type=make,
        max_wait_seconds=0.3,
    )
    place.append(simulation)
    for _, begin, end in PARTS:
        simulation.run(begin)
        if begin == 30:
            simulation.demand = dict.fromkeys(simulation.demand, 0.4 * rate / (numbers - 1)) | {2: 0.6 * rate}
        if begin == 50:
            for n in range(numbers // 2, numbers):
                simulation.kill(n)
            simulation.demand = dict.fromkeys(simulation.demand, rate / (numbers // 2))
        before = simulation.admitted
        simulation.run(end)
        found.append(simulation.admitted - before)
    assert make is not BudgetShare or not simulation.violations, simulation.violations[:3]
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
        simulation = BudgetSimulation(
            1,
            numbers,
            (terms,),
            NetworkConditions(0.004),
            demand=10 * 0.9 / 4.0,
            mean_hold_seconds=4.0,
            max_wait_seconds=0.3,
        )
        simulation.run(10.0)
        told = []
        for crowd in (False, True):
            if crowd:
                simulation.demand[2] = 0.2 * 10 * numbers / 4.0
            before = simulation.store.writes, simulation.store.conflicts
            simulation.run(simulation.now + 10.0)
            writes, refused = ((now - was) / 10 for now, was in zip(
                (simulation.store.writes, simulation.store.conflicts), before, strict=True))  # fmt: skip
            told.append(
                f"{writes:6.1f} writes {refused:6.1f} lost races {writes * numbers:8.0f} events a second"
            )
        size = len(simulation.store.documents["held"][1])
        print(f"{numbers:4} controllers, {size:6} bytes: steady {told[0]}; a crowd {told[1]}")
        assert not simulation.violations, simulation.violations[:3]


if __name__ == "__main__":
    use(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
    cost()
