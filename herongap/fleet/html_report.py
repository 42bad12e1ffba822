"""The report of an experiment: an HTML page with plots, and the plots as PNG files in the same folder."""

import base64
import html
import io
from pathlib import Path
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

from herongap.fleet.bound import Bound  # noqa: E402
from herongap.fleet.compare import Interval, confidence_interval, paired_difference  # noqa: E402
from herongap.fleet.experiment import Experiment  # noqa: E402

STYLE = (
    "body{font:15px sans-serif;max-width:64em;margin:2em auto;color:#222}"
    "td,th{padding:.3em .8em;text-align:right}"
    "th{border-bottom:1px solid #888}td:first-child,th:first-child{text-align:left}img{max-width:100%}"
)


class Row(NamedTuple):
    """One arm in the table. `difference` is its paired difference from the control, None for the control."""

    name: str
    days: int
    service: Interval
    difference: Interval | None
    packages: dict[str, float]
    lost: dict[str, float]
    broken: dict[str, int]


def table(experiment: Experiment, results: dict[str, list[dict]]) -> list[Row]:
    """The figures of every arm; service and losses are parts of the requested value."""
    plan, rows, control = experiment.plan, [], None
    for name, days in results.items():
        service = [day["service"] for day in days]
        difference = (
            None if control is None else paired_difference(service, control, plan.confidence, len(results))
        )
        control = control or service
        broken: dict[str, int] = {}
        for day in days:
            for rule, count in day["broken"].items():
                broken[rule] = broken.get(rule, 0) + count

        def mean(key: str, days=days) -> dict[str, float]:
            return {k: float(np.mean([day[key][k] for day in days])) for k in days[0][key]}

        rows.append(
            Row(
                name,
                len(days),
                confidence_interval(service, plan.confidence),
                difference,
                mean("by_package"),
                mean("lost"),
                broken,
            )
        )
    return rows


def text(rows: list[Row], bounds: list[Bound]) -> list[str]:
    """The table as lines of text for a terminal."""
    width = max(len(row.name) for row in rows)
    lines = []
    for row in rows:
        served = row.service
        line = f"{row.name:{width}}  service {served.mean:.4f} +- {served.half:.4f}, {row.days} days"
        if row.difference:
            verdict = "differs" if row.difference.differs else "no difference shown"
            line += (
                f"  against {rows[0].name} {row.difference.mean:+.4f} +- {row.difference.half:.4f}: {verdict}"
            )
        lines.append(line + "".join(f"  RULE {rule} BROKEN {n} times" for rule, n in row.broken.items()))
    if bounds:
        best = float(np.mean([b.service for b in bounds]))
        lines.append(f"no controller could exceed {best:.4f} (mean of the bounds of {len(bounds)} days)")
    return lines


def write(folder: Path, experiment: Experiment, results: dict[str, list[dict]], bounds: list[Bound]) -> Path:
    """Writes the page and its plots into `folder` and returns the path of the page."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = table(experiment, results)
    plots = {
        "over-time": _time_plot(results, experiment.plan.confidence),
        "where-value-went": _value_plot(rows, bounds),
        "differences": _difference_plot(rows),
    }
    for name, png in plots.items():
        (folder / f"{name}.png").write_bytes(png)
    page = folder / "report.html"
    page.write_text(_page(rows, bounds, plots, experiment), encoding="utf-8")
    return page


def _png(figure) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110, bbox_inches="tight")
    plt.close(figure)
    return out.getvalue()


def _time_plot(results: dict[str, list[dict]], confidence: float) -> bytes:
    """Plots the value served in each second: the mean over days with its confidence interval as a band."""
    figure, axes = plt.subplots(figsize=(9, 4))
    for name, days in results.items():
        series = np.array([day["series"] for day in days])
        bands = [confidence_interval(list(column), confidence) for column in series.T]
        middle = [band.mean for band in bands]
        axes.plot(middle, label=name, linewidth=1.4)
        axes.fill_between(range(len(bands)), [b.low for b in bands], [b.high for b in bands], alpha=0.18)
    axes.set(xlabel="second of the day", ylabel="value served per second (simulated)")
    axes.set_ylim(bottom=0)
    axes.legend(frameon=False)
    return _png(figure)


def _value_plot(rows: list[Row], bounds: list[Bound]) -> bytes:
    figure, axes = plt.subplots(figsize=(9, 0.6 * len(rows) + 1.4))
    names = [row.name for row in rows]
    left = np.zeros(len(rows))
    parts = {"served": [row.service.mean for row in rows]}
    parts |= {what: [row.lost[what] for row in rows] for what in rows[0].lost}
    for what, values in parts.items():
        axes.barh(names, values, left=left, label=what)
        left += np.array(values)
    if bounds:
        axes.axvline(
            float(np.mean([b.service for b in bounds])), color="black", linestyle="--", label="bound"
        )
    axes.invert_yaxis()
    axes.set(xlabel="part of the requested value (simulated)", xlim=(0, 1))
    axes.legend(frameon=False, ncol=6, loc="lower center", bbox_to_anchor=(0.5, 1.0))
    return _png(figure)


def _difference_plot(rows: list[Row]) -> bytes:
    others = [row for row in rows if row.difference]
    figure, axes = plt.subplots(figsize=(9, 0.5 * len(others) + 1.2))
    axes.errorbar(
        [row.difference.mean for row in others], [row.name for row in others],
        xerr=[row.difference.half for row in others], fmt="o", capsize=4,
    )  # fmt: skip
    axes.axvline(0, color="black", linewidth=0.8)
    axes.invert_yaxis()
    axes.set(xlabel=f"difference in service from {rows[0].name} (simulated)")
    return _png(figure)


def _page(rows: list[Row], bounds: list[Bound], plots: dict[str, bytes], experiment: Experiment) -> str:
    def cells(values, tag="td") -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(str(v))}</{tag}>" for v in values) + "</tr>"

    def span(i: Interval | None) -> str:
        return "" if i is None else f"{i.mean:+.4f} ± {i.half:.4f}"

    plan = experiment.plan
    packages, lost = list(rows[0].packages), list(rows[0].lost)
    out = [
        "<!doctype html><html lang=en><meta charset=utf-8><title>Experiment</title>",
        f"<style>{STYLE}</style><h1>Arms compared</h1>",
        f"<p>Simulated, on the same days for every arm; {plan.confidence:.0%} intervals, those of",
        "differences widened for the number of arms. Service is the value of sessions that start within the",
        "join target, over the requested value.</p>",
        "<table>",
        cells(["arm", "days", "service", f"against {rows[0].name}", *packages, "rules broken"], "th"),
    ]
    for row in rows:
        broken = ", ".join(f"rule {r}: {n}" for r, n in row.broken.items()) or "none"
        served = f"{row.service.mean:.4f} ± {row.service.half:.4f}"
        values = [f"{row.packages[p]:.4f}" for p in packages]
        out.append(cells([row.name, row.days, served, span(row.difference), *values, broken]))
    out += ["</table>", "<h2>Where the value went</h2><table>", cells(["arm", *lost], "th")]
    out += [cells([row.name, *(f"{row.lost[what]:.4f}" for what in lost)]) for row in rows]
    out.append("</table>")
    if bounds:
        best = float(np.mean([b.service for b in bounds]))
        binds = {k: float(np.mean([b.binds.get(k, 0.0) for b in bounds])) for k in bounds[0].binds}
        out.append(
            f"<p>No controller could exceed {best:.4f} (mean of the bounds of {len(bounds)} days). The "
            "limiting constraints, by dual prices: "
            + ", ".join(f"{k} {part:.0%}" for k, part in binds.items())
            + ".</p>"
        )
    for name, png in plots.items():
        data = base64.b64encode(png).decode()
        out.append(f'<h2>{name.replace("-", " ")}</h2><img alt="{name}" src="data:image/png;base64,{data}">')
    return "\n".join(out) + "\n"
