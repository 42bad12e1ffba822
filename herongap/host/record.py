"""The record of one controller: every input with its time, every decision, one JSON value a line.

    {"herongap_record": 1, "now": 12.5, "seed": 7, "charter": {...}}      first line
    [12.5, "asked", [...]]                                                an input: time, name, arguments
    ["tune_in", "v1", "s3", 0.36]                                         a decision that followed it

Times are those of the host's clock. A record that was cut off (process killed, disk full) is read up to the
cut.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec

from herongap.errors import UnusableInputError
from herongap.interface import DeploymentConfig, EndReason, LoadReport, StreamerEntry, ViewingRequest

VERSION = 1
Id = int | str
# The arguments of each input after the time, in the order of Host's methods.
INPUTS: dict[str, tuple] = {
    "listed": (str, tuple[StreamerEntry, ...]),
    "asked": (ViewingRequest,),
    "started": (Id, int, Id, LoadReport | None),
    "adopted": (ViewingRequest, int, Id, int),
    "ended": (Id, int, EndReason, LoadReport | None),
    "all_ended": (tuple[tuple[Id, int], ...], EndReason),
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


class RecordError(UnusableInputError):
    """A record that cannot be read; line numbers begin at 1."""

    advice = "the lines before it are valid: truncate the file there"


class Start(NamedTuple):
    """The first line of a record."""

    now: float
    seed: int
    config: DeploymentConfig


class Input(NamedTuple):
    """An input and the decisions that followed it; `line` is its line number in the record."""

    line: int
    now: float
    name: str
    args: tuple
    decisions: list[tuple]


class Recorder:
    """Writes a record through `write`, which is called with the bytes of one line."""

    def __init__(self, write: Callable[[bytes], object]):
        self._write, self._encode = write, msgspec.json.Encoder(enc_hook=list).encode

    def start(self, now: float, seed: int, config: DeploymentConfig) -> None:
        """Write the first line."""
        header = {"herongap_record": VERSION, "now": now, "seed": seed, "charter": config}
        self._write(self._encode(header) + b"\n")

    def input(self, now: float, name: str, args: tuple) -> None:
        """Write an input."""
        self._write(self._encode((now, name, args)) + b"\n")

    def decision(self, decision: tuple) -> None:
        """Write a decision, after the input that it followed."""
        self._write(self._encode(decision) + b"\n")


def read_record(lines: Iterable[bytes]) -> tuple[Start, Iterator[Input]]:
    """The start of a record and its inputs, each with its decisions.

    Raises RecordError for anything unreadable but a last line that was cut off. Decisions before the first
    input belong to an input named "start".
    """
    numbered = enumerate(lines, 1)
    try:
        header = msgspec.json.decode(next(numbered)[1])
        if header.get("herongap_record") != VERSION:
            raise RecordError(f"line 1: not a record of version {VERSION}: {header.get('herongap_record')!r}")
        start = Start(header["now"], header["seed"], msgspec.convert(header["charter"], DeploymentConfig))
    except (StopIteration, msgspec.MsgspecError, KeyError, AttributeError) as error:
        raise RecordError(f"line 1: not the first line of a record ({error!r})") from error
    return start, _inputs(numbered, start.now)


def _inputs(numbered: Iterator[tuple[int, bytes]], now: float) -> Iterator[Input]:
    current = Input(1, now, "start", (), [])
    for number, line in numbered:
        if not line.endswith(b"\n"):
            break  # cut off: the last line written before the process ended
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
        except (msgspec.MsgspecError, KeyError, ValueError, TypeError, IndexError) as error:
            raise RecordError(f"line {number}: {error!r}") from error
        yield current
        current = Input(number, at, name, args, [])
    yield current
