"""Replays a record through the library alone, to compare its decisions or to explain one."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec

from herongap.host.host import Host
from herongap.host.record import Input, Recorder, read_record
from herongap.interface import DeploymentConfig
from herongap.rules import Controller

Id = int | str


class NullPort:
    """A port without any effect."""

    def _nothing(self, *args) -> None:
        return None

    tune_in = call_off = set_rung = tear_down = answer = viewing_ended = probe = _nothing
    follow = send_to_peer = request_budget = wake = _nothing


class Difference(NamedTuple):
    """The first decision that differs from the record; None on a side that has no decision left."""

    line: int
    now: float
    recorded: tuple | None
    decided: tuple | None


class Step(NamedTuple):
    """One input of a record, the decisions of the library on it, and the host after it."""

    input: Input
    decided: list[tuple]
    host: Host


def steps(lines: Iterable[bytes], make: Callable = Controller) -> Iterator[Step]:
    """Run a record; yields each input with the decisions taken here, in their recorded form."""
    start, inputs = read_record(lines)
    taken: list[tuple] = []

    class DecisionCollector(Recorder):
        def start(self, now: float, seed: int, config: DeploymentConfig) -> None:
            return None

        def input(self, now: float, name: str, args: tuple) -> None:
            return None

        def decision(self, decision: tuple) -> None:
            # Encoded and decoded as in a record, so that both sides compare equal.
            taken.append(tuple(msgspec.json.decode(msgspec.json.encode(decision, enc_hook=list))))

    host = Host(start.now, start.seed, start.config, NullPort(), DecisionCollector(lambda _: None), make)
    for entry in inputs:
        if entry.name != "start":
            getattr(host, entry.name)(entry.now, *entry.args)
        yield Step(entry, list(taken), host)
        taken.clear()


def replay(lines: Iterable[bytes], make: Callable = Controller) -> tuple[int, int, Difference | None]:
    """The numbers of inputs and decisions compared, and the first difference, None if there is none.

    The decisions after the end of a record that was cut off are not compared.
    """
    inputs = decisions = 0
    last = None
    for step in steps(lines, make):
        if last and (found := _compare(last, complete=True)):
            return inputs, decisions, found
        last, inputs = step, inputs + (step.input.name != "start")
        decisions += len(step.decided)
    # A record may be cut off between an input and its decisions.
    return inputs, decisions, last and _compare(last, complete=False)


def _compare(step: Step, complete: bool) -> Difference | None:
    decided, recorded = step.decided, step.input.decisions
    for i in range(max(len(decided), len(recorded)) if complete else len(recorded)):
        here = decided[i] if i < len(decided) else None
        there = recorded[i] if i < len(recorded) else None
        if here != there:
            return Difference(step.input.line, step.input.now, there, here)
    return None


def explain(lines: Iterable[bytes], viewing: Id, make: Callable = Controller) -> Iterator[str]:
    """What happened to one viewing, and what the module knew at each decision on it; one text a line."""
    for step in steps(lines, make):
        entry, hosted = step.input, step.host.viewings.get(viewing)
        names = [arg.viewing if hasattr(arg, "viewing") else arg for arg in entry.args]
        if entry.name not in ("listed", "share_told", "probed") and viewing in names:
            yield f"{entry.now:.3f} {entry.name} {_plain(entry.args)}"
        for decision in step.decided:
            if len(decision) > 1 and decision[1] == viewing and decision[0] != "wake":
                yield f"{entry.now:.3f}   -> {_plain(decision)}"
                if decision[0] == "tune_in" and hosted:
                    yield from _holders(entry.now, step.host, hosted.request, decision[2])


def _holders(now: float, host: Host, request, chosen: Id) -> Iterator[str]:
    """Each holder of the title as the module saw it just after the choice; the chosen one is marked."""
    state, ranks = host.module.state, host.module.quality_table.ranks
    for streamer in sorted(state.streamers.values(), key=lambda streamer: str(streamer.entry.streamer)):
        entry = streamer.entry
        if entry.holder_id not in request.holders:
            continue
        score = ranks.get((request.package, entry.streamer))
        yield (
            f"        {'*' if entry.streamer == chosen else ' '} {entry.streamer} {entry.status.name.lower()}"
            f" zone {entry.zone} link {streamer.link.utilization(now, state.usual_load):.2f}"
            f" uplink {streamer.rack.utilization(now, state.usual_load):.2f} holds {len(streamer.viewings)}"
            f" score {'none' if score is None else format(score, '.1f')}"
            + (
                f" set aside for {streamer.set_aside_until - now:.1f} s"
                if streamer.set_aside_until > now
                else ""
            )
            + (" cold" if now - streamer.started < state.warm_up else "")
        )


def _plain(values: Iterable) -> str:
    """The values as text, enum members by name and floats rounded."""
    return " ".join(
        getattr(value, "name", None) or (f"{value:.3f}" if isinstance(value, float) else str(value))
        for value in values
    )
