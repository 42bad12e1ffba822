"""The seventh rule, on wholes divided among the controllers: judged from what streamers and the store saw.

At no instant is more held (in no window more begun) across all processes than the whole; at no revision do
the parts sum to more; and nothing that counts reaches a streamer from a process whose claim is over.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

import msgspec

from herongap.accord.shares import divided
from herongap.fleet.observations import CLOCK_SLACK_SECONDS, ObservedRun, ObservedTuneIn, Violation
from herongap.ini.parts import WholeTerms


def check_budgets(run: ObservedRun) -> Iterator[Violation]:
    """All breaks of the rule on divided wholes."""
    for name, whole in run.day.budgets.items():
        counted = [(i, out) for i, outs in run.outs.items() for out in _counted(run, whole, i, outs)]
        yield from (_held if whole.kind == "held" else _begun)(run, name, whole, counted, _bounds(run, name))
        yield from _ended(run, name, counted)
        yield from _parts(run, name)


def count_events(run: ObservedRun) -> dict:
    """What there was to go wrong: what counted, and what was done to the processes and at the store."""
    return {
        "counted": {
            name: sum(len(list(_counted(run, whole, i, outs))) for i, outs in run.outs.items())
            for name, whole in run.day.budgets.items()
        },
        "pauses": sum(map(len, run.paused.values())), "kills": len(run.killed), "left": len(run.left),
        "commits": len(run.budgets), "claims": sum(value is not None for *_, value in run.claims),
    }  # fmt: skip


def _counted(
    run: ObservedRun, whole: WholeTerms, identity: str, outs: list[ObservedTuneIn]
) -> Iterator[ObservedTuneIn]:
    if whole.package and run.package.get(identity) != whole.package:
        return
    seen: Counter = Counter()
    for out in sorted(outs, key=lambda out: out.begin):
        further, seen[out.front] = seen[out.front] > 0, seen[out.front] + 1
        sort = {"further": further, "cold": out.cold}.get(whole.counts, True)
        if sort and whole.title in ("", out.title):
            yield out


def _bounds(run: ObservedRun, name: str) -> list[tuple[float, int]]:
    """The whole from each time on, as the store had it."""
    told = [(at, divided(value.encode()).whole) for at, n, value in run.budgets if n == name and value]
    return [told[i] for i in range(len(told)) if i == 0 or told[i][1] != told[i - 1][1]]


def _bound(run: ObservedRun, whole: WholeTerms, bounds: list[tuple[float, int]], at: float) -> int:
    # A lowered one binds when the last that had not heard of it has no lease any more.
    since = at - run.day.settings.ttl - whole.window - CLOCK_SLACK_SECONDS
    ends = [*(at for at, _ in bounds[1:]), float("inf")]
    found = [
        w for (a, w), end in zip(bounds, ends, strict=False) if a <= at + CLOCK_SLACK_SECONDS and end > since
    ]
    return max(found, default=whole.whole)


def _held(run: ObservedRun, name: str, whole: WholeTerms, counted, bounds) -> Iterator[Violation]:
    steps = []
    for identity, out in counted:
        held = next((s for s in run.sessions[identity] if s.out is out), None)
        end = min(held.end, held.let_go) if held else out.end
        # What is over and what begins in its place are noted by different processes.
        steps += [(out.begin, 1, identity), (max(end - CLOCK_SLACK_SECONDS, out.begin + 1e-6), -1, identity)]
    now = 0
    for at, change, identity in sorted(steps):
        now += change
        if change > 0 and now > (most := _bound(run, whole, bounds, at)):
            yield run.broken(7, at, f"{name}: {now} held of {most}", identity)


def _begun(run: ObservedRun, name: str, whole: WholeTerms, counted, bounds) -> Iterator[Violation]:
    begins = sorted((out.begin, identity) for identity, out in counted)
    first = 0
    for i, (at, identity) in enumerate(begins):
        while begins[first][0] <= at - whole.window + CLOCK_SLACK_SECONDS:
            first += 1
        if i - first + 1 > (most := _bound(run, whole, bounds, at)):
            what = f"{name}: {i - first + 1} in {whole.window:g} s, of {most}"
            yield run.broken(7, at, what, identity)


def _ended(run: ObservedRun, name: str, counted) -> Iterator[Violation]:
    # A claim's key names the process that made it; it goes with its lease.
    spans: dict[str, list[list[float]]] = defaultdict(list)
    holder: dict[str, str] = {}
    for at, number, value in run.claims:
        if number in holder:
            spans[holder.pop(number)][-1][1] = at
        if value is not None:
            holder[number] = msgspec.json.decode(value)["name"]
            spans[holder[number]].append([at, float("inf")])
    for identity, out in counted:
        if not any(since <= out.begin <= until + CLOCK_SLACK_SECONDS for since, until in spans[out.front]):
            what = f"{name}: {out.front} sent to {out.streamer} though its claim was over"
            yield run.broken(7, out.begin, what, identity)


def _parts(run: ObservedRun, name: str) -> Iterator[Violation]:
    before = 0
    for at, budget, value in run.budgets:
        if budget != name or value is None:
            continue
        division = divided(value.encode())
        total = sum(part.amount for part in division.parts.values())
        # After the whole was lowered the sum falls as what was begun ends.
        if division.open and total > max(division.whole, before):
            yield run.broken(7, at, f"{name}: parts of {total}, whole {division.whole}")
        before = total
