"""Fleet budgets divided among controllers, in the model: utilization, and the load on the store.

    python benchmarks/budgets.py [SEEDS]

Utilization is the number of admissions relative to a divider with global knowledge, for the same arrivals. A
fixed division is measured beside it.
"""

import sys
from statistics import mean, stdev

from herongap.accord import BudgetKind, BudgetShare, BudgetTerms
from herongap.fleet.budget_simulation import BudgetSimulation, NetworkConditions

HELD = BudgetTerms("held", BudgetKind.HELD, 80, floor=1, linger=16.0)
PARTS = (("steady", 10, 30), ("a crowd moved", 30, 40), ("moved for 10 s", 40, 50), ("half killed", 50, 60))


class FixedShare(BudgetShare):
    """Divides the budget equally and permanently among the controllers."""

    controllers = 8

    def allowance(self, now):
        return self.terms.limit // self.controllers

    def next_commit(self, now, live):
        return None

    def overdue(self, now):
        return 0


def global_knowledge(simulations: list[BudgetSimulation], name: str) -> type:
    """Returns a class that admits whatever the fleet budget allows.

    `simulations` has the simulation by the time that the class is used.
    """

    class GlobalKnowledge(FixedShare):
        def room(self, now):
            return self.terms.limit - len(simulations[0].held[name])

    return GlobalKnowledge


def day(seed: int, make, numbers: int = 8) -> list[int]:
    """Returns the number of admissions in each part of a day."""
    admitted, simulations = [], []
    make = global_knowledge(simulations, "held") if make is None else make
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
    simulations.append(simulation)
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
        admitted.append(simulation.admitted - before)
    assert make is not BudgetShare or not simulation.violations, simulation.violations[:3]
    return admitted


def utilization(seeds: int) -> None:
    """Prints the utilization of each division, by part of the day."""
    divisions = {"shares": BudgetShare, "fixed": FixedShare}
    best = [day(s, None) for s in range(seeds)]
    for name, make in divisions.items():
        days = [day(s, make) for s in range(seeds)]
        for i, (part, *_) in enumerate(PARTS):
            ratios = [d[i] / b[i] for d, b in zip(days, best, strict=True)]
            spread = 2.26 * stdev(ratios) / len(ratios) ** 0.5
            print(f"{name:8} {part:15} {mean(ratios):.3f} +- {spread:.3f}")


def store_load() -> None:
    """Prints writes and lost races at the store, by number of controllers."""
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
        results = []
        for crowd in (False, True):
            if crowd:
                simulation.demand[2] = 0.2 * 10 * numbers / 4.0
            before = simulation.store.writes, simulation.store.conflicts
            simulation.run(simulation.now + 10.0)
            writes, refused = ((now - was) / 10 for now, was in zip(
                (simulation.store.writes, simulation.store.conflicts), before, strict=True))  # fmt: skip
            results.append(
                f"{writes:6.1f} writes {refused:6.1f} lost races {writes * numbers:8.0f} events a second"
            )
        size = len(simulation.store.documents["held"][1])
        print(f"{numbers:4} controllers, {size:6} bytes: steady {results[0]}; a crowd {results[1]}")
        assert not simulation.violations, simulation.violations[:3]


if __name__ == "__main__":
    utilization(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
    store_load()
