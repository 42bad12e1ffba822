"""How a link is shared: the two formulas that the model and the stand-ins use.

Rates in any one unit; shares are parts of 1.
"""

from collections.abc import Sequence


def proportional_share(asked: float, size: float) -> float:
    """The share of its rate that everybody gets where `asked` is asked of `size`: min(1, size / asked).

    Each gives up in proportion, as where senders at fixed rates overrun one queue that drops at random.
    """
    return 1.0 if asked <= size else size / asked


def max_min_rates(asked: Sequence[float], size: float) -> list[float]:
    """What each gets under max-min fairness, by progressive filling (Bertsekas and Gallager, Data Networks,
    6.5.2).

    Nobody gets more than it asks; what is left over is split evenly among those that ask for more; so none
    can get more without one that has no more than it losing some.
    """
    given = [0.0] * len(asked)
    left, waiting = size, sorted(range(len(asked)), key=lambda i: asked[i])
    while waiting:
        part = left / len(waiting)
        first = waiting[0]
        if asked[first] > part:
            for i in waiting:
                given[i] = part
            break
        given[first] = asked[first]
        left -= asked[first]
        waiting.pop(0)
    return given
