"""Estimates of a day's figures from records of a front, and how well they fit.

Arrivals, lengths and set-up times get the best of some distributions by Akaike's criterion, each with the
Kolmogorov-Smirnov distance of the fit. A distance is told with its p-value where the sample is small; over
many thousands every simple distribution is rejected, and the distance itself is what matters.
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
LEAST = 20  # values under which nothing is fitted


class TooFew(Unusable):
    """Not enough viewings to fit anything."""

    advice = "give a record of a longer day"


class Fitted(NamedTuple):
    """One quantity: the distribution that fits best, its mean, its distance from the sample and that one's
    p-value.
    """

    name: str
    count: int
    mean: float
    family: str
    parameters: tuple[float, ...]
    distance: float
    p: float


class Fit(NamedTuple):
    """What a record says. `rate` is viewings a second, `popularity` the exponent of Zipf's law with its
    error.
    """

    seconds: float
    viewings: int
    rate: float
    burstiness: float
    popularity: float
    popularity_error: float
    titles: int
    packages: dict[str, float]
    quantities: list[Fitted]
    samples: dict[str, list[float]]


def fit_record(lines: Iterable[bytes]) -> Fit:
    """Raises RecordError for what is no record, ValueError for one with too few viewings."""
    _, inputs = read_record(lines)
    asked, sent, started, last = {}, {}, {}, 0.0
    lengths, set_ups = [], []
    first = None
    for entry in inputs:
        first, last = entry.now if first is None else first, entry.now
        if entry.name == "asked":
            asked[entry.args[0].viewing] = entry.now, entry.args[0]
        elif entry.name == "started" and (entry.args[0], entry.args[1]) in sent:
            set_ups.append(entry.now - sent.pop((entry.args[0], entry.args[1])))
            started[entry.args[0]] = entry.now
        elif entry.name in ("left", "ended") and entry.args[0] in started:
            lengths.append(entry.now - started.pop(entry.args[0]))
        for decision in entry.decisions:
            if decision[0] == "tune_in":
                number = sum(1 for key in sent if key[0] == decision[1])
                sent[decision[1], number] = entry.now
    if len(asked) < LEAST:
        raise TooFew(f"{len(asked)} viewings are too few to fit; {LEAST} are needed")
    times = sorted(at for at, _ in asked.values())
    gaps = [b - a for a, b in zip(times, times[1:], strict=False) if b > a]
    titles = Counter(str(ask.title) for _, ask in asked.values())
    exponent, error = fit_zipf(sorted(titles.values(), reverse=True))
    packages = Counter(ask.package for _, ask in asked.values())
    samples = {"gap": gaps, "length": lengths, "set-up": set_ups}
    return Fit(
        seconds=last - first,
        viewings=len(asked),
        rate=len(asked) / max(1e-9, times[-1] - times[0]),
        burstiness=float(np.std(gaps) / np.mean(gaps)),
        popularity=exponent,
        popularity_error=error,
        titles=len(titles),
        packages={name: n / len(asked) for name, n in sorted(packages.items())},
        quantities=[
            best_distribution(name, values) for name, values in samples.items() if len(values) >= LEAST
        ],
        samples=samples,
    )


def best_distribution(name: str, values: list[float]) -> Fitted:
    """The family with the least Akaike criterion for positive values, fitted by maximum likelihood."""
    sample = np.array([max(v, 1e-6) for v in values])
    found = []
    for family, distribution in FAMILIES.items():
        parameters = distribution.fit(sample, floc=0)
        likely = float(np.sum(distribution.logpdf(sample, *parameters)))
        if np.isfinite(likely):
            found.append((2 * (len(parameters) - 1) - 2 * likely, family, parameters))
    _, family, parameters = min(found)
    test = stats.kstest(sample, FAMILIES[family].cdf, args=parameters)
    numbers = tuple(float(p) for p in parameters)
    distance, p = float(test.statistic), float(test.pvalue)
    return Fitted(name, len(values), float(sample.mean()), family, numbers, distance, p)


def fit_zipf(counts: list[int]) -> tuple[float, float]:
    """The exponent s of p(rank) ~ rank^-s for counts by falling rank, by maximum likelihood, and its
    standard error.

    Ranks are the sample's own, which makes small samples look a little steeper than they are.
    """
    if len(counts) < 2:
        return 0.0, float("inf")
    ranks, n = np.arange(1, len(counts) + 1), np.array(counts)

    def unlikely(s: float) -> float:
        return float(s * np.sum(n * np.log(ranks)) + n.sum() * np.log(np.sum(ranks**-s)))

    s = float(optimize.minimize_scalar(unlikely, bounds=(0.0, 5.0), method="bounded").x)
    weights = ranks**-s / np.sum(ranks**-s)
    logs = np.log(ranks)
    information = n.sum() * (np.sum(weights * logs**2) - np.sum(weights * logs) ** 2)
    return s, float(1 / np.sqrt(information))


def day_text(fit: Fit) -> str:
    """The part of a day's INI file that the fit speaks of."""
    length = next((q.mean for q in fit.quantities if q.name == "length"), 0.0)
    lines = ["[day]", f"seconds = {max(1.0, fit.seconds):.0f}", f"rate = {fit.rate:.2f}"]
    lines += [f"titles = {fit.titles}", f"popularity = {min(3.0, fit.popularity):.2f}"]
    lines += [f"length = {length:.2f}"] if length else []
    for name, share in fit.packages.items():
        lines += ["", f"[package {name}]", f"share = {share:.3f}"]
    return "\n".join(lines) + "\n"
