"""Checks rule 7, on fleet budgets divided among the controllers, from what streamers and the store observed.

At no time do all controllers together have more viewings (or begin more in a window) than the budget; at no
revision of the store is the sum of the parts larger; and no tune-in that counts reaches a streamer from a
controller whose claim of its number has ended.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

import msgspec

from herongap.accord.shares import read_allocation
from herongap.fleet.observations import CLOCK_SLACK_SECONDS, ObservedRun, ObservedTuneIn, Violation
from herongap.ini.parts import WholeTerms


def check_budgets(run: ObservedRun) -> Iterator[Violation]:
    """All violations of the rule on fleet budgets."""
    for name, terms in run.day.budgets.items():
        counted = [
            (i, tune_in)
            for i, tune_ins in run.tune_ins.items()
            for tune_in in _counted(run, terms, i, tune_ins)
        ]
        yield from (_check_held if terms.kind == "held" else _check_rate)(
            run, name, terms, counted, _budget_history(run, name)
        )
        yield from _check_claims(run, name, counted)
        yield from _check_parts(run, name)


def count_events(run: ObservedRun) -> dict:
    """Counts of the events that the rule was tested against: tune-ins, process faults, and store writes."""
    return {
        "counted": {
            name: sum(len(list(_counted(run, terms, i, tune_ins))) for i, tune_ins in run.tune_ins.items())
            for name, terms in run.day.budgets.items()
        },
        "pauses": sum(map(len, run.pauses.values())), "kills": len(run.killed_at), "left": len(run.left_at),
        "commits": len(run.budgets), "claims": sum(value is not None for *_, value in run.claims),
    }  # fmt: skip


def _counted(
    run: ObservedRun, terms: WholeTerms, identity: str, tune_ins: list[ObservedTuneIn]
) -> Iterator[ObservedTuneIn]:
    """The tune-ins of a viewing that count against a budget."""
    if terms.package and run.package_of.get(identity) != terms.package:
        return
    count_by_controller: Counter = Counter()
    for tune_in in sorted(tune_ins, key=lambda tune_in: tune_in.begin):
        repeated = count_by_controller[tune_in.controller] > 0
        count_by_controller[tune_in.controller] += 1
        is_counted = {"further": repeated, "cold": tune_in.cold}.get(terms.counts, True)
        if is_counted and terms.title in ("", tune_in.title):
            yield tune_in


def _budget_history(run: ObservedRun, name: str) -> list[tuple[float, int]]:
    """The values of the budget in the store, each with the time from which it applied."""
    values = [
        (at, read_allocation(value.encode()).limit) for at, n, value in run.budgets if n == name and value
    ]
    return [values[i] for i in range(len(values)) if i == 0 or values[i][1] != values[i - 1][1]]


def _applicable_budget(
    run: ObservedRun, terms: WholeTerms, history: list[tuple[float, int]], at: float
) -> int:
    """The budget that applies at a time.

    A lowered budget applies once every controller that may have missed the change has lost its lease.
    """
    since = at - run.day.settings.ttl - terms.window - CLOCK_SLACK_SECONDS
    ends = [*(at for at, _ in history[1:]), float("inf")]
    applicable = [
        w for (a, w), end in zip(history, ends, strict=False) if a <= at + CLOCK_SLACK_SECONDS and end > since
    ]
    return max(applicable, default=terms.whole)


def _check_held(run: ObservedRun, name: str, terms: WholeTerms, counted, history) -> Iterator[Violation]:
    """Times at which more viewings were held than the budget allows."""
    steps = []
    for identity, tune_in in counted:
        session = next((s for s in run.sessions[identity] if s.tune_in is tune_in), None)
        end = min(session.end, session.released_at) if session else tune_in.end
        # The end of one session and the start of its replacement are logged by different processes.
        steps += [
            (tune_in.begin, 1, identity),
            (max(end - CLOCK_SLACK_SECONDS, tune_in.begin + 1e-6), -1, identity),
        ]
    now = 0
    for at, change, identity in sorted(steps):
        now += change
        if change > 0 and now > (allowed := _applicable_budget(run, terms, history, at)):
            yield run.violation(7, at, f"{name}: {now} held of {allowed}", identity)


def _check_rate(run: ObservedRun, name: str, terms: WholeTerms, counted, history) -> Iterator[Violation]:
    """Windows in which more tune-ins began than the budget allows."""
    begins = sorted((tune_in.begin, identity) for identity, tune_in in counted)
    first = 0
    for i, (at, identity) in enumerate(begins):
        while begins[first][0] <= at - terms.window + CLOCK_SLACK_SECONDS:
            first += 1
        if i - first + 1 > (allowed := _applicable_budget(run, terms, history, at)):
            what = f"{name}: {i - first + 1} in {terms.window:g} s, of {allowed}"
            yield run.violation(7, at, what, identity)


def _check_claims(run: ObservedRun, name: str, counted) -> Iterator[Violation]:
    """Violations by tune-ins of controllers without a claim of their number.

    The value of a claim names the process that made it; the claim is deleted with its lease.
    """
    claimed_periods: dict[str, list[list[float]]] = defaultdict(list)
    holder: dict[str, str] = {}
    for at, number, value in run.claims:
        if number in holder:
            claimed_periods[holder.pop(number)][-1][1] = at
        if value is not None:
            holder[number] = msgspec.json.decode(value)["name"]
            claimed_periods[holder[number]].append([at, float("inf")])
    for identity, tune_in in counted:
        if not any(
            since <= tune_in.begin <= until + CLOCK_SLACK_SECONDS
            for since, until in claimed_periods[tune_in.controller]
        ):
            what = f"{name}: {tune_in.controller} sent to {tune_in.streamer} though its claim was over"
            yield run.violation(7, tune_in.begin, what, identity)


def _check_parts(run: ObservedRun, name: str) -> Iterator[Violation]:
    """Revisions at which the parts sum to more than the budget."""
    previous_total = 0
    for at, budget, value in run.budgets:
        if budget != name or value is None:
            continue
        allocation = read_allocation(value.encode())
        total = sum(part.amount for part in allocation.allotments.values())
        # After the budget was lowered, the sum of the parts falls as sessions end.
        if allocation.open and total > max(allocation.limit, previous_total):
            yield run.violation(7, at, f"{name}: parts of {total}, whole {allocation.limit}")
        previous_total = total
