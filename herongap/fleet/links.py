"""The two formulas by which the model and the stand-ins divide the bandwidth of a link.

Rates may be in any unit; shares are parts of 1.
"""

from collections.abc import Sequence


def proportional_share(demand: float, capacity: float) -> float:
    """The share of its rate that each sender gets: min(1, capacity / demand).

    All lose in proportion, as when senders at fixed rates overload one queue that drops at random.
    """
    return 1.0 if demand <= capacity else capacity / demand


def max_min_rates(demands: Sequence[float], capacity: float) -> list[float]:
    """The rate of each sender under max-min fairness, by progressive filling (Bertsekas and Gallager, Data
    Networks, 6.5.2).

    No sender gets more than its demand; the rest is divided evenly among those with a higher demand. So no
    rate can be raised without lowering one that is not higher.
    """
    rates = [0.0] * len(demands)
    remaining, unsatisfied = capacity, sorted(range(len(demands)), key=lambda i: demands[i])
    while unsatisfied:
        fair_share = remaining / len(unsatisfied)
        smallest = unsatisfied[0]
        if demands[smallest] > fair_share:
            for i in unsatisfied:
                rates[i] = fair_share
            break
        rates[smallest] = demands[smallest]
        remaining -= demands[smallest]
        unsatisfied.pop(0)
    return rates
