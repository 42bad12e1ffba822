"""A record run through the library alone: are the decisions the same, and why was one taken?"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec

from herongap.host.host import Host
from herongap.host.record import Input, Recorder, read_record
from herongap.interface import DeploymentConfig
from herongap.rules import Controller

Id = int | str


class NullPort:
    """A port without effects."""

    def _nothing(self, *args) -> None:
        return None

    tune_in = call_off = set_rung = tear_down = answer = viewing_ended = probe = _nothing
    follow = send_to_peer = request_budget = wake = _nothing


class Difference(NamedTuple):
    """The first decision that is not as recorded; None where one side has none left."""

    line: int
    now: float
    recorded: tuple | None
    decided: tuple | None


class Step(NamedTuple):
    """One input of a record, what the library decided on it, and the host as it is after it."""

    input: Input
    decided: list[tuple]
    host: Host


def steps(lines: Iterable[bytes], make: Callable = Controller) -> Iterator[Step]:
    """Run a record; yields each input with the decisions taken here, in the shape that a record gives
    them.
    """
    start, inputs = read_record(lines)
    taken: list[tuple] = []

    class Keep(Recorder):
        def start(self, now: float, seed: int, charter: DeploymentConfig) -> None:
            return None

        def input(self, now: float, name: str, args: tuple) -> None:
            return None

        def decision(self, decision: tuple) -> None:
            # Through the record's own form, so that both sides compare alike.
            taken.append(tuple(msgspec.json.decode(msgspec.json.encode(decision, enc_hook=list))))

    host = Host(start.now, start.seed, start.config, NullPort(), Keep(lambda _: None), make)
    for entry in inputs:
        if entry.name != "start":
            getattr(host, entry.name)(entry.now, *entry.args)
        yield Step(entry, list(taken), host)
        taken.clear()


def replay(lines: Iterable[bytes], make: Callable = Controller) -> tuple[int, int, Difference | None]:
    """Inputs and decisions compared, and the first difference, None where all are the same.

    The decisions after the last line of a record that was cut short cannot be compared, and are not.
    """
    inputs = decisions = 0
    last = None
    for step in steps(lines, make):
        if last and (found := _compare(last, whole=True)):
            return inputs, decisions, found
        last, inputs = step, inputs + (step.input.name != "start")
        decisions += len(step.decided)
    # The end of a record may be cut between an input and its decisions.
    return inputs, decisions, last and _compare(last, whole=False)


def _compare(step: Step, whole: bool) -> Difference | None:
    ours, theirs = step.decided, step.input.decisions
    for i in range(max(len(ours), len(theirs)) if whole else len(theirs)):
        mine = ours[i] if i < len(ours) else None
        other = theirs[i] if i < len(theirs) else None
        if mine != other:
            return Difference(step.input.line, step.input.now, other, mine)
    return None


def explain(lines: Iterable[bytes], viewing: Id, make: Callable = Controller) -> Iterator[str]:
    """What happened to one viewing and what was known each time it was decided on, a text a line."""
    for step in steps(lines, make):
        entry, life = step.input, step.host.viewings.get(viewing)
        names = [arg.viewing if hasattr(arg, "viewing") else arg for arg in entry.args]
        if entry.name not in ("listed", "share_told", "probed") and viewing in names:
            yield f"{entry.now:.3f} {entry.name} {_plain(entry.args)}"
        for decision in step.decided:
            if len(decision) > 1 and decision[1] == viewing and decision[0] != "wake":
                yield f"{entry.now:.3f}   -> {_plain(decision)}"
                if decision[0] == "tune_in" and life:
                    yield from _holders(entry.now, step.host, life.request, decision[2])


def _holders(now: float, host: Host, ask, chosen: Id) -> Iterator[str]:
    """Each holder as the module saw it, the chosen one marked; figures are those just after the choice."""
    known, ranks = host.module.state, host.module.quality_table.ranks
    for st in sorted(known.streamers.values(), key=lambda st: str(st.entry.streamer)):
        line = st.entry
        if line.holder_id not in ask.holders:
            continue
        score = ranks.get((ask.package, line.streamer))
        yield (
            f"        {'*' if line.streamer == chosen else ' '} {line.streamer} {line.status.name.lower()}"
            f" zone {line.zone} link {st.link.utilization(now, known.usual_load):.2f}"
            f" uplink {st.rack.utilization(now, known.usual_load):.2f} holds {len(st.viewings)}"
            f" score {'thin' if score is None else format(score, '.1f')}"
            + (f" set aside for {st.set_aside_until - now:.1f} s" if st.set_aside_until > now else "")
            + (" cold" if now - st.started < known.warm_up else "")
        )


def _plain(values: Iterable) -> str:
    return " ".join(
        getattr(v, "name", None) or (f"{v:.3f}" if isinstance(v, float) else str(v)) for v in values
    )
