"""Estimates the parameters of a day from the record of a controller, and the quality of the fit.

For arrivals, lengths and set-up times the best of several distributions is chosen by the Akaike information
criterion and reported with the Kolmogorov-Smirnov distance of the fit and its p-value. The p-value is useful
for small samples only: with many thousands of values every simple distribution is rejected, and the distance
itself is what matters.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import numpy as np
from scipy import optimize, stats

from herongap.errors import Unusable
from herongap.host.record import read_record

FAMILIES = {
    "exponential": stats.expon,
    "lognormal": stats.lognorm,
    "weibull": stats.weibull_min,
    "gamma": stats.gamma,
}
# Smallest sample to which a distribution is fitted.
MIN_SAMPLE_SIZE = 20


class TooFewViewingsError(Unusable):
    """The record has too few viewings for a fit."""

    advice = "use the record of a longer day"


class FittedDistribution(NamedTuple):
    """One quantity: its mean, the distribution that fits best, the Kolmogorov-Smirnov distance from the
    sample, and the p-value of that distance.
    """

    name: str
    count: int
    mean: float
    family: str
    parameters: tuple[float, ...]
    distance: float
    p: float


class Fit(NamedTuple):
    """The estimates from a record. `rate` is viewings per second, `popularity` the exponent of Zipf's law,
    `popularity_error` its standard error.
    """

    seconds: float
    viewings: int
    rate: float
    burstiness: float
    popularity: float
    popularity_error: float
    titles: int
    packages: dict[str, float]
    quantities: list[FittedDistribution]
    samples: dict[str, list[float]]


def fit_record(lines: Iterable[bytes]) -> Fit:
    """Fits all quantities.

    Raises RecordError if the lines are not a record, TooFewViewingsError if it has too few viewings.
    """
    _, inputs = read_record(lines)
    requests, sent_at, started_at, last_at = {}, {}, {}, 0.0
    lengths, set_ups = [], []
    first_at = None
    for entry in inputs:
        first_at, last_at = entry.now if first_at is None else first_at, entry.now
        if entry.name == "asked":
            requests[entry.args[0].viewing] = entry.now, entry.args[0]
        elif entry.name == "started" and (entry.args[0], entry.args[1]) in sent_at:
            set_ups.append(entry.now - sent_at.pop((entry.args[0], entry.args[1])))
            started_at[entry.args[0]] = entry.now
        elif entry.name in ("left", "ended") and entry.args[0] in started_at:
            lengths.append(entry.now - started_at.pop(entry.args[0]))
        for decision in entry.decisions:
            if decision[0] == "tune_in":
                number = sum(1 for key in sent_at if key[0] == decision[1])
                sent_at[decision[1], number] = entry.now
    if len(requests) < MIN_SAMPLE_SIZE:
        raise TooFewViewingsError(
            f"{len(requests)} viewings are too few to fit; {MIN_SAMPLE_SIZE} are needed"
        )
    times = sorted(at for at, _ in requests.values())
    gaps = [b - a for a, b in zip(times, times[1:], strict=False) if b > a]
    titles = Counter(str(request.title) for _, request in requests.values())
    exponent, error = fit_zipf(sorted(titles.values(), reverse=True))
    packages = Counter(request.package for _, request in requests.values())
    samples = {"gap": gaps, "length": lengths, "set-up": set_ups}
    return Fit(
        seconds=last_at - first_at,
        viewings=len(requests),
        rate=len(requests) / max(1e-9, times[-1] - times[0]),
        burstiness=float(np.std(gaps) / np.mean(gaps)),
        popularity=exponent,
        popularity_error=error,
        titles=len(titles),
        packages={name: n / len(requests) for name, n in sorted(packages.items())},
        quantities=[
            best_distribution(name, values)
            for name, values in samples.items()
            if len(values) >= MIN_SAMPLE_SIZE
        ],
        samples=samples,
    )


def best_distribution(name: str, values: list[float]) -> FittedDistribution:
    """The family with the smallest Akaike criterion for positive values, fitted by maximum likelihood."""
    sample = np.array([max(v, 1e-6) for v in values])
    candidates = []
    for family, distribution in FAMILIES.items():
        parameters = distribution.fit(sample, floc=0)
        log_likelihood = float(np.sum(distribution.logpdf(sample, *parameters)))
        if np.isfinite(log_likelihood):
            candidates.append((2 * (len(parameters) - 1) - 2 * log_likelihood, family, parameters))
    _, family, parameters = min(candidates)
    test = stats.kstest(sample, FAMILIES[family].cdf, args=parameters)
    numbers = tuple(float(p) for p in parameters)
    distance, p = float(test.statistic), float(test.pvalue)
    return FittedDistribution(name, len(values), float(sample.mean()), family, numbers, distance, p)


def fit_zipf(counts: list[int]) -> tuple[float, float]:
    """The maximum likelihood exponent s of p(rank) ~ rank^-s, and its standard error.

    `counts` are in descending order. Ranks are those in the sample, so the exponent of a small sample is
    slightly overestimated.
    """
    if len(counts) < 2:
        return 0.0, float("inf")
    ranks, n = np.arange(1, len(counts) + 1), np.array(counts)

    def negative_log_likelihood(s: float) -> float:
        return float(s * np.sum(n * np.log(ranks)) + n.sum() * np.log(np.sum(ranks**-s)))

    s = float(optimize.minimize_scalar(negative_log_likelihood, bounds=(0.0, 5.0), method="bounded").x)
    weights = ranks**-s / np.sum(ranks**-s)
    logs = np.log(ranks)
    information = n.sum() * (np.sum(weights * logs**2) - np.sum(weights * logs) ** 2)
    return s, float(1 / np.sqrt(information))


def day_text(fit: Fit) -> str:
    """The settings of a day's INI file that the fit estimates."""
    length = next((q.mean for q in fit.quantities if q.name == "length"), 0.0)
    lines = ["[day]", f"seconds = {max(1.0, fit.seconds):.0f}", f"rate = {fit.rate:.2f}"]
    lines += [f"titles = {fit.titles}", f"popularity = {min(3.0, fit.popularity):.2f}"]
    lines += [f"length = {length:.2f}"] if length else []
    for name, share in fit.packages.items():
        lines += ["", f"[package {name}]", f"share = {share:.3f}"]
    return "\n".join(lines) + "\n"
