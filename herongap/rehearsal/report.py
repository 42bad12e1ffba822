"""The figures of a rehearsal: service as the users count it, outcomes, join times. Simulated: stand-ins
serve.
"""

import statistics
from collections import Counter, defaultdict
from typing import NamedTuple

from herongap.rehearsal.checker import Break
from herongap.rehearsal.stage import Outcome


class Report(NamedTuple):
    """Shares are parts of 1, times seconds."""

    viewings: int
    tune_ins: int
    statuses: dict[str, int]
    service: float
    by_package: dict[str, float]
    join_p50: float
    join_p99: float
    ends: dict[str, int]
    broken: dict[int, int]


def report(outcome: Outcome, breaks: list[Break]) -> Report:
    """Service is the value answered within the join target over the value asked for."""
    day = outcome.day
    offered, earned = defaultdict(float), defaultdict(float)
    package, in_time, joins = {}, set(), []
    wants, statuses, ends = {}, Counter(), Counter()
    tune_ins = 0
    for _, who, what, d in outcome.lines:
        if what == "wants":
            wants[who] = d["package"]
            terms = day.packages[d["package"]]
            offered[d["package"]] += d["seconds"] * terms.value * day.size.values[d["top"]]
        elif what == "asked":
            package[d["identity"]] = wants[who]
        elif what == "answered":
            statuses[f"{d['status']} {d['kind']}".strip()] += 1
            if d["status"] == 201:
                joins.append(d["taken"])
                if d["taken"] <= day.packages[wants[who]].join_target:
                    in_time.add(d["identity"])
        elif what == "post":
            tune_ins += 1
    for _, _, what, d in outcome.lines:
        if what == "ended":
            ends[d["reason"]] += 1
            if d["identity"] in in_time and d["joined"]:
                name = package[d["identity"]]
                earned[name] += d["earned"] * day.packages[name].value
    joins.sort()
    return Report(
        viewings=len(package),
        tune_ins=tune_ins,
        statuses=dict(sorted(statuses.items())),
        service=round(sum(earned.values()) / max(1e-9, sum(offered.values())), 4),
        by_package={name: round(earned[name] / offered[name], 4) for name in sorted(offered)},
        join_p50=round(statistics.median(joins), 4) if joins else 0.0,
        join_p99=round(joins[int(0.99 * len(joins))], 4) if joins else 0.0,
        ends=dict(ends),
        broken=dict(sorted(Counter(b.rule for b in breaks).items())),
    )
