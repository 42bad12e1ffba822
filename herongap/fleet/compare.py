"""Compares arms on the same days: paired differences, confidence intervals, and the number of days needed.

No I/O: `runner` runs the days.
"""

from typing import NamedTuple

import numpy as np
from scipy import stats


class Interval(NamedTuple):
    """A mean with its confidence interval."""

    mean: float
    low: float
    high: float

    @property
    def half(self) -> float:
        """Half of the width."""
        return (self.high - self.low) / 2

    @property
    def differs(self) -> bool:
        """Whether zero lies outside of the interval."""
        return not self.low <= 0 <= self.high


def confidence_interval(values: list[float], confidence: float) -> Interval:
    """Student's t interval of a mean. The values must be independent, as those of different days are."""
    mean = float(np.mean(values))
    standard_error = float(stats.sem(values)) if len(values) > 1 else float("inf")
    if standard_error == 0.0:
        return Interval(mean, mean, mean)
    half_width = float(stats.t.ppf((1 + confidence) / 2, max(1, len(values) - 1))) * standard_error
    return Interval(mean, mean - half_width, mean + half_width)


def paired_difference(values: list[float], control: list[float], confidence: float, arms: int) -> Interval:
    """The mean of the daily differences from the control, with its interval.

    With several arms against one control, each interval is widened (Bonferroni correction), so that all hold
    together at the stated confidence.
    """
    single_confidence = 1 - (1 - confidence) / max(1, arms - 1)
    return confidence_interval([a - b for a, b in zip(values, control, strict=True)], single_confidence)


def prediction_interval(values: list[float], confidence: float, stray: float = 0.0) -> Interval:
    """The mean of several runs of one day, with the interval in which one more run is expected.

    This is the prediction interval of a normal sample; it is wider than the confidence interval of the mean,
    because the next run varies too. `stray` is the standard deviation of a run on sockets from the model, in
    addition to the variation between runs of the model.
    """
    n, deviation = len(values), float(np.std(values, ddof=1))
    half_width = (
        float(stats.t.ppf((1 + confidence) / 2, n - 1)) * (deviation**2 * (1 + 1 / n) + stray**2) ** 0.5
    )
    mean = float(np.mean(values))
    return Interval(mean, mean - half_width, mean + half_width)


def days_needed(results: dict[str, list[float]], plan) -> int:
    """How many days each arm must have before the next decision; 0 when there are enough.

    Stops when each difference is known to `half_width`, whatever its value. A stopping rule on the width
    alone does not favour differences due to chance (Chow and Robbins, 1965), as stopping at the first
    significant difference would.
    """
    control, *others = results.values()
    days = len(control)
    if days < plan.least:
        return plan.least
    widest = max(paired_difference(other, control, plan.confidence, len(results)).half for other in others)
    if widest <= plan.half_width or days >= plan.most:
        return 0
    return min(plan.most, days + plan.batch)
