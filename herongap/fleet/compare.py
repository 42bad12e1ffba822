"""Arms compared on the same days: paired differences, intervals, and when there are enough days.

Decides without I/O what is to be run next; `runner` runs it.
"""

from typing import NamedTuple

import numpy as np
from scipy import stats


class Interval(NamedTuple):
    """A mean with its interval at the stated confidence."""

    mean: float
    low: float
    high: float

    @property
    def half(self) -> float:
        return (self.high - self.low) / 2

    @property
    def differs(self) -> bool:
        """Whether zero lies outside."""
        return not self.low <= 0 <= self.high


def confidence_interval(values: list[float], confidence: float) -> Interval:
    """Student's t interval of a mean; days are independent, so are the values."""
    mean = float(np.mean(values))
    spread = float(stats.sem(values)) if len(values) > 1 else float("inf")
    if spread == 0.0:
        return Interval(mean, mean, mean)
    reach = float(stats.t.ppf((1 + confidence) / 2, max(1, len(values) - 1))) * spread
    return Interval(mean, mean - reach, mean + reach)


def paired_difference(ours: list[float], control: list[float], confidence: float, arms: int) -> Interval:
    """The mean of the differences day by day.

    With several arms against one control, each interval is made wider (Bonferroni), so that all hold
    together at the stated confidence.
    """
    alone = 1 - (1 - confidence) / max(1, arms - 1)
    return confidence_interval([a - b for a, b in zip(ours, control, strict=True)], alone)


def prediction_interval(values: list[float], confidence: float, stray: float = 0.0) -> Interval:
    """The mean of some plays of one day, with the interval in which one more play is expected.

    The prediction interval of a normal sample: wider than the mean's own, for the next play strays too.
    `stray` is the standard deviation of what a play on sockets differs by, beside the luck of its
    controllers.
    """
    n, spread = len(values), float(np.std(values, ddof=1))
    reach = float(stats.t.ppf((1 + confidence) / 2, n - 1)) * (spread**2 * (1 + 1 / n) + stray**2) ** 0.5
    mean = float(np.mean(values))
    return Interval(mean, mean - reach, mean + reach)


def days_needed(results: dict[str, list[float]], plan) -> int:
    """How many days each arm must have before the next look: 0 when there are enough.

    Stops when each difference is known to `half_width`, whatever it is: a rule on the width alone does not
    favour differences that chance has made (Chow and Robbins, 1965); a stop at the first difference found
    would.
    """
    control, *others = results.values()
    days = len(control)
    if days < plan.least:
        return plan.least
    widest = max(paired_difference(other, control, plan.confidence, len(results)).half for other in others)
    if widest <= plan.half_width or days >= plan.most:
        return 0
    return min(plan.most, days + plan.batch)
