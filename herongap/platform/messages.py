"""The messages of the platform: read and checked field by field, and written afresh.

Every message is a JSON object of its type `t`, id `ref`, fields `f`, and where it applies its cause `c` and
its description `d`. Nothing that was read is ever passed on as it came.
"""

import math
import re
from typing import NamedTuple

import msgspec

from herongap.errors import Unusable
from herongap.interface import EndReason, LoadReport, ViewingRequest

Number = int | float
NAMES = re.compile(r"[0-9a-f]{16}")
# Causes that a controller sends: refused, so that trying again is harmless; failed; ended; cut.
REFUSED, BUSY, FAILED, ENDED, CUT = 34, 42, 47, 16, 41
# What a streamer's release means before its answer, and after it; another cause counts as a reset.
BEFORE = {34: EndReason.FULL, 47: EndReason.FAULTY, 102: EndReason.NOT_SENT}
AFTER = {16: EndReason.PLAYED, 31: EndReason.CALLED_OFF}
NOTES = ("served", "at_rung", "link_use", "rack_use")
AHEAD = 0.06  # seconds by which an answer leaves before its viewer stops waiting
OWED = 8.0  # seconds for which a release is worth telling
LONGEST = 3600.0  # seconds of patience or of length beyond which a figure is none


class Unreadable(Unusable):
    """A line that is no message; whoever sent it cannot be understood any further."""

    advice = "see whose connection it was; it is closed and nothing else changes"


class Unfit(Unusable):
    """A message that can be read and cannot be used."""

    advice = "see who sent it; it is answered as failed"


class Message(msgspec.Struct, frozen=True):
    """One message as it was read: types are as they should be, values are not yet checked."""

    t: str
    ref: str = ""
    f: dict[str, str | Number] = {}
    c: int | None = None
    d: str | None = None

    def number(self, name: str) -> float | None:
        """A field that is a number or the text of one; None without it. Raises Unfit."""
        value = self.f.get(name)
        return None if value is None else number(value)

    def text(self, name: str) -> str | None:
        value = self.f.get(name)
        return None if value is None else str(value)


_decode = msgspec.json.Decoder(Message).decode
_encode = msgspec.json.Encoder().encode


def read(line: bytes) -> Message:
    """The message of a line; raises Unreadable."""
    try:
        return _decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError) as fault:
        raise Unreadable(str(fault)) from fault


def number(value: str | Number) -> float:
    """A finite number; raises Unfit."""
    try:
        found = float(value)
    except (ValueError, OverflowError) as fault:
        raise Unfit(f"no number: {value!r:.40}") from fault
    if not math.isfinite(found):
        raise Unfit(f"no finite number: {value!r:.40}")
    return found


def pairs(text: str) -> dict[str, str]:
    """`a:1;b:2` as a dictionary; raises Unfit."""
    found = {}
    for part in filter(None, text.split(";")):
        name, colon, value = part.partition(":")
        if not colon:
            raise Unfit(f"no pair: {part!r:.40}")
        found[name] = value
    return found


class Terms(NamedTuple):
    """What a set-up's fields are checked against: names of packages and members, cells, the highest rung."""

    packages: frozenset[str]
    members: frozenset[str]
    cells: int
    top: int


def asked(m: Message, terms: Terms) -> tuple[ViewingRequest, str | None]:
    """The request of a set-up, and the streamer at which it plays already or None; raises Unfit."""
    package, member, title = m.text("class"), m.text("tenant"), m.text("key")
    if package not in terms.packages:
        raise Unfit(f"unknown package {package!r:.40}")
    if member is not None and member not in terms.members:
        raise Unfit(f"unknown member {member!r:.40}")
    if not title or not NAMES.fullmatch(title):
        raise Unfit(f"no title: {title!r:.40}")
    left, hint = m.number("left"), m.number("hint")
    extras = pairs(m.text("extras") or "")
    # One that plays already waits for nothing, and says so with a figure beyond all others.
    if left is None or not 0 < left <= (LONGEST * 1000 if "at" not in extras else 1 << 53):
        raise Unfit(f"no time to wait: {left}")
    if hint is not None and not 0 <= hint <= LONGEST * 1000:
        raise Unfit(f"length out of range: {hint}")
    home = _whole(extras, "home", 0, 1 << 31)
    copies = _whole(extras, "copies", 1, terms.cells)
    ask = ViewingRequest(
        viewing=m.ref,
        viewer=extras.get("viewer", m.ref),
        package=package,
        member=member,
        title=title,
        holders=frozenset((home + i) % terms.cells for i in range(copies)),
        top=_whole(extras, "top", 0, terms.top),
        time_left=left / 1000,
        length=None if hint is None else hint / 1000,
        moved=extras.get("moved") == "1",
        is_retry=extras.get("again") == "1",
    )
    return ask, extras.get("at")


def _whole(extras: dict[str, str], name: str, least: int, most: int) -> int:
    text = extras.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) < 12 and least <= int(text) <= most):
        raise Unfit(f"{name} out of range: {text!r:.40}")
    return int(text)


def load(m: Message) -> LoadReport | None:
    """A streamer's report of its load, or None; raises Unfit."""
    text = m.text("load")
    if not text:
        return None
    told = pairs(text)

    def ratio(name: str) -> float | None:
        if name not in told:
            return None
        found = number(told[name])
        if not 0 <= found < 1000:
            raise Unfit(f"{name} out of range: {found}")
        return found

    return LoadReport(ratio("x0"), ratio("util"), ratio("x1"))


def note(m: Message) -> tuple[str, float]:
    """A note's name, one of NOTES, and its figure; raises Unfit."""
    name, value = m.text("note"), m.number("value")
    if name not in NOTES or value is None or not 0 <= value < 1000:
        raise Unfit(f"no note: {name!r:.40} {value}")
    return name, value


def _line(t: str, ref: str, f: dict[str, str], **more) -> bytes:
    return _encode({"t": t, "ref": ref, "f": f, **more}) + b"\n"


def set_up(ask: ViewingRequest, rung: int, left: float, description: str) -> bytes:
    """A tune-in; `left` is what its streamer may take, in seconds."""
    f = {"class": ask.package, "key": ask.title, "left": str(max(1, int(left * 1000))), "rung": str(rung)}
    return _line("new", ask.viewing, f, d=description)


def up(ref: str, description: str) -> bytes:
    """The answer to a viewer whose viewing plays, with what its streamer described."""
    return _line("up", ref, {}, d=description)


def down(ref: str, cause: int, wait: float = 0.0) -> bytes:
    """A refusal, a release or the taking back of a set-up; `wait` in seconds, 0 for no advice."""
    return _line("down", ref, {"wait": str(round(wait * 1000))} if wait else {}, c=cause)


def ack(ref: str) -> bytes:
    return _line("ack", ref, {})


def shift(ref: str) -> bytes:
    """The viewing ends here and its viewer is to come again."""
    return _line("shift", ref, {})


def step(ref: str, rung: int) -> bytes:
    return _line("step", ref, {"rung": str(rung)})


def hb(ref: str) -> bytes:
    return _line("hb", ref, {}, c=0)


def hb_ok(ref: str, passed: bool) -> bytes:
    return _line("hb_ok", ref, {}, c=int(passed))
