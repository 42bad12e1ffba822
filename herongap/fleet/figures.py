"""The results of a played day: service as users experience it, and the causes of lost value.

Reads the log entries of a rehearsal or of the model, which have one format: (time, source, event, details).
"""

import statistics
from collections import Counter, defaultdict
from typing import NamedTuple

from herongap.fleet.day import Day, Script


class Outcome(NamedTuple):
    """A played day with its log entries in the order of their times; `began` is the time of its start."""

    day: Day
    script: Script
    began: float
    lines: list[tuple[float, str, str, dict]]


class Report(NamedTuple):
    """The results: shares are parts of 1, times are seconds.

    `lost` gives the lost parts of the requested value by cause.
    """

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


class JoinedSession(NamedTuple):
    """One session that its viewer joined: its value at the top rung, at its rungs, and as delivered."""

    package: str
    begin: float
    end: float
    top: float
    rungs: float
    earned: float
    in_time: bool


def report(outcome: Outcome, violations: list) -> Report:
    """Service is the value of sessions that started within the join target, over the requested value.

    A viewer requests its whole length at the highest rung that it can use, times the value of its package.
    """
    day, lines = outcome.day, outcome.lines
    requests = {source: details for _, source, event, details in lines if event == "wants"}
    offered, earned = defaultdict(float), defaultdict(float)
    for details in requests.values():
        offered[details["package"]] += (
            details["seconds"] * day.packages[details["package"]].value * day.settings.values[details["top"]]
        )
    viewer_of = {details["identity"]: source for _, source, event, details in lines if event == "asked"}
    answers = [details for _, _, event, details in lines if event == "answered"]
    join_times = sorted(details["taken"] for details in answers if details["status"] == 201)
    total = max(1e-9, sum(offered.values()))
    lost = dict.fromkeys(("late", "low rung", "stalls"), 0.0)
    seconds = [0.0] * (int(day.settings.seconds) + 1)
    for session in _joined_sessions(outcome, requests, viewer_of, answers):
        lost["low rung"] += session.top - session.rungs
        lost["stalls"] += session.rungs - session.earned
        if not session.in_time:
            lost["late"] += session.earned
            continue
        earned[session.package] += session.earned
        for second in range(int(session.begin), min(int(session.end) + 1, len(seconds))):
            part = min(session.end, second + 1) - max(session.begin, second)
            seconds[second] += session.earned * part / max(1e-9, session.end - session.begin)
    served = sum(earned.values())
    lost["not served"] = total - served - sum(lost.values())
    return Report(
        viewings=len(viewer_of),
        tune_ins=sum(event == "post" for _, _, event, _ in lines),
        statuses=dict(
            sorted(Counter(f"{details['status']} {details['kind']}".strip() for details in answers).items())
        ),
        service=round(served / total, 6),
        by_package={name: round(earned[name] / offered[name], 6) for name in sorted(offered)},
        lost={name: round(value / total, 6) for name, value in lost.items()},
        join_p50=round(statistics.median(join_times), 4) if join_times else 0.0,
        join_p99=round(join_times[int(0.99 * len(join_times))], 4) if join_times else 0.0,
        ends=dict(
            sorted(Counter(details["reason"] for _, _, event, details in lines if event == "ended").items())
        ),
        broken=dict(sorted(Counter(violation.rule for violation in violations).items())),
        series=[round(s, 3) for s in seconds],
    )


def _joined_sessions(outcome: Outcome, requests: dict, viewer_of: dict, answers: list[dict]):
    """The sessions that ended and that their viewers had joined."""
    day = outcome.day
    in_time = {
        details["identity"]
        for details in answers
        if details["status"] == 201
        and details["taken"] <= day.packages[requests[viewer_of[details["identity"]]]["package"]].join_target
    }
    running: dict[tuple, list] = {}
    for at, source, event, details in outcome.lines:
        key = source, details.get("session")
        if event == "started":
            running[key] = [at, at, details["rung"], 0.0]
        elif event == "rung" and key in running:
            state = running[key]
            state[3] += day.settings.values[state[2]] * (at - state[1])
            state[1], state[2] = at, details["rung"]
        elif event == "ended":
            begin, since, rung, value = running.pop(key)
            if details["joined"] and details["identity"] in viewer_of:
                request = requests[viewer_of[details["identity"]]]
                package_value = day.packages[request["package"]].value
                value += day.settings.values[rung] * (at - since)
                top = day.settings.values[request["top"]] * (at - begin)
                begin, end = begin - outcome.began, at - outcome.began
                values = (
                    package_value * max(top, value),
                    package_value * value,
                    package_value * min(details["earned"], value),
                )
                yield JoinedSession(request["package"], begin, end, *values, details["identity"] in in_time)
