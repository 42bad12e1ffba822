"""The record of one controller: every input with its time, every decision, one JSON value a line.

    {"herongap_record": 1, "now": 12.5, "seed": 7, "charter": {...}}      first line
    [12.5, "asked", [...]]                                                an input: time, name, arguments
    ["tune_in", "v1", "s3", 0.36]                                         a decision that followed it

Times are the host's. A record whose end was cut off (a killed process, a full disk) is read up to there.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec

from herongap.errors import Unusable
from herongap.interface import DeploymentConfig, EndReason, LoadReport, StreamerEntry, ViewingRequest

VERSION = 1
Id = int | str
# What each input takes after the time; the order is that of Host's methods.
INPUTS: dict[str, tuple] = {
    "listed": (str, tuple[StreamerEntry, ...]),
    "asked": (ViewingRequest,),
    "started": (Id, int, Id, LoadReport | None),
    "adopted": (ViewingRequest, int, Id, int),
    "ended": (Id, int, EndReason, LoadReport | None),
    "left": (Id,),
    "torn_down": (Id, int),
    "share_told": (Id, float),
    "rung_told": (Id, int),
    "load_told": (Id, bool, Id | None, float),
    "probed": (Id, EndReason, float, LoadReport | None),
    "counted": (int | None, int),
    "given": (str, int),
    "heard": (int, bytes),
    "woke": (),
}


class RecordError(Unusable):
    """A record that cannot be read; the line is counted from 1."""

    advice = "the lines before it are sound: cut the file there"


class Start(NamedTuple):
    """The first line of a record."""

    now: float
    seed: int
    config: DeploymentConfig


class Input(NamedTuple):
    """An input and the decisions that followed it; `line` is where it stands in the record."""

    line: int
    now: float
    name: str
    args: tuple
    decisions: list[tuple]


class Recorder:
    """Writes a record through `write`, which takes the bytes of whole lines."""

    def __init__(self, write: Callable[[bytes], object]):
        self._write, self._encode = write, msgspec.json.Encoder(enc_hook=list).encode

    def start(self, now: float, seed: int, charter: DeploymentConfig) -> None:
        head = {"herongap_record": VERSION, "now": now, "seed": seed, "charter": charter}
        self._write(self._encode(head) + b"\n")

    def input(self, now: float, name: str, args: tuple) -> None:
        self._write(self._encode((now, name, args)) + b"\n")

    def decision(self, decision: tuple) -> None:
        self._write(self._encode(decision) + b"\n")


def read_record(lines: Iterable[bytes]) -> tuple[Start, Iterator[Input]]:
    """The start of a record and its inputs, each with its decisions.

    Raises RecordError for anything but a last line cut short. Decisions before the first input come with an
    input named "start".
    """
    numbered = enumerate(lines, 1)
    try:
        head = msgspec.json.decode(next(numbered)[1])
        if head.get("herongap_record") != VERSION:
            raise RecordError(f"line 1: not a record of version {VERSION}: {head.get('herongap_record')!r}")
        start = Start(head["now"], head["seed"], msgspec.convert(head["charter"], DeploymentConfig))
    except (StopIteration, msgspec.MsgspecError, KeyError, AttributeError) as fault:
        raise RecordError(f"line 1: no record begins here ({fault!r})") from fault
    return start, _inputs(numbered, start.now)


def _inputs(numbered: Iterator[tuple[int, bytes]], now: float) -> Iterator[Input]:
    current = Input(1, now, "start", (), [])
    for number, line in numbered:
        if not line.endswith(b"\n"):
            break  # cut short: the last thing written before the process ended
        try:
            value = msgspec.json.decode(line)
            if isinstance(value[0], str):
                current.decisions.append(tuple(value))
                continue
            at, name, args = value
            types = INPUTS[name]
            if len(types) != len(args):
                raise RecordError(f"{name} takes {len(types)} arguments")
            args = tuple(msgspec.convert(arg, kind) for arg, kind in zip(args, types, strict=True))
        except (msgspec.MsgspecError, KeyError, ValueError, TypeError, IndexError) as fault:
            raise RecordError(f"line {number}: {fault!r}") from fault
        yield current
        current = Input(number, at, name, args, [])
    yield current
