"""What a day came to: service as the users count it, and where the value went that was not served.

Reads the lines of a rehearsal or of the model, which have one shape: (time, who, what, details).
"""

import statistics
from collections import Counter, defaultdict
from typing import NamedTuple

from herongap.fleet.day import Day, Script


class Outcome(NamedTuple):
    """A day played: its lines in the order of their times; `began` is the time of its start."""

    day: Day
    script: Script
    began: float
    lines: list[tuple[float, str, str, dict]]


class Report(NamedTuple):
    """Shares are parts of 1, times seconds. `lost` are parts of the value asked for, by what took them."""

    viewings: int
    tune_ins: int
    statuses: dict[str, int]
    service: float
    by_package: dict[str, float]
    lost: dict[str, float]
    join_p50: float
    join_p99: float
    ends: dict[str, int]
    broken: dict[int, int]
    series: list[float]


class Played(NamedTuple):
    """One session that its viewer joined, in value: at its top rung, at the rungs it had, and as
    delivered.
    """

    package: str
    begin: float
    end: float
    top: float
    rungs: float
    earned: float
    in_time: bool


def report(outcome: Outcome, breaks: list) -> Report:
    """Service is the value answered within the join target over the value asked for.

    A viewer asks for its whole length at the highest rung that it can use, times its package's value.
    """
    day, lines = outcome.day, outcome.lines
    wants = {who: d for _, who, what, d in lines if what == "wants"}
    offered, earned = defaultdict(float), defaultdict(float)
    for d in wants.values():
        offered[d["package"]] += (
            d["seconds"] * day.packages[d["package"]].value * day.settings.values[d["top"]]
        )
    asked = {d["identity"]: who for _, who, what, d in lines if what == "asked"}
    answered = [d for _, _, what, d in lines if what == "answered"]
    joins = sorted(d["taken"] for d in answered if d["status"] == 201)
    total = max(1e-9, sum(offered.values()))
    lost = dict.fromkeys(("late", "low rung", "stalls"), 0.0)
    seconds = [0.0] * (int(day.settings.seconds) + 1)
    for p in _played(outcome, wants, asked, answered):
        lost["low rung"] += p.top - p.rungs
        lost["stalls"] += p.rungs - p.earned
        if not p.in_time:
            lost["late"] += p.earned
            continue
        earned[p.package] += p.earned
        for second in range(int(p.begin), min(int(p.end) + 1, len(seconds))):
            part = min(p.end, second + 1) - max(p.begin, second)
            seconds[second] += p.earned * part / max(1e-9, p.end - p.begin)
    served = sum(earned.values())
    lost["not served"] = total - served - sum(lost.values())
    return Report(
        viewings=len(asked),
        tune_ins=sum(what == "post" for _, _, what, _ in lines),
        statuses=dict(sorted(Counter(f"{d['status']} {d['kind']}".strip() for d in answered).items())),
        service=round(served / total, 6),
        by_package={name: round(earned[name] / offered[name], 6) for name in sorted(offered)},
        lost={name: round(value / total, 6) for name, value in lost.items()},
        join_p50=round(statistics.median(joins), 4) if joins else 0.0,
        join_p99=round(joins[int(0.99 * len(joins))], 4) if joins else 0.0,
        ends=dict(sorted(Counter(d["reason"] for _, _, what, d in lines if what == "ended").items())),
        broken=dict(sorted(Counter(b.rule for b in breaks).items())),
        series=[round(s, 3) for s in seconds],
    )


def _played(outcome: Outcome, wants: dict, asked: dict, answered: list[dict]):
    day = outcome.day
    in_time = {
        d["identity"]
        for d in answered
        if d["status"] == 201
        and d["taken"] <= day.packages[wants[asked[d["identity"]]]["package"]].join_target
    }
    running: dict[tuple, list] = {}
    for at, who, what, d in outcome.lines:
        key = who, d.get("session")
        if what == "started":
            running[key] = [at, at, d["rung"], 0.0]
        elif what == "rung" and key in running:
            run = running[key]
            run[3] += day.settings.values[run[2]] * (at - run[1])
            run[1], run[2] = at, d["rung"]
        elif what == "ended":
            begin, since, rung, value = running.pop(key)
            if d["joined"] and d["identity"] in asked:
                want = wants[asked[d["identity"]]]
                worth = day.packages[want["package"]].value
                value += day.settings.values[rung] * (at - since)
                top = day.settings.values[want["top"]] * (at - begin)
                begin, end = begin - outcome.began, at - outcome.began
                had = worth * max(top, value), worth * value, worth * min(d["earned"], value)
                yield Played(want["package"], begin, end, *had, d["identity"] in in_time)
