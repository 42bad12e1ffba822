"""Parses, validates and encodes the platform's messages.

Every message is a JSON object with its type `t`, its id `ref`, its fields `f`, and where they apply a cause
`c` and a session description `d`. No received message is forwarded as it came: each is parsed, validated and
encoded again.
"""

import math
import re
from typing import NamedTuple

import msgspec

from herongap.errors import UnusableInputError
from herongap.interface import EndReason, LoadReport, ViewingRequest

Number = int | float
ID_PATTERN = re.compile(r"[0-9a-f]{16}")
# A number as JSON writes it (RFC 8259, section 6). Python's own conversion takes more: underscores, digits of
# other scripts, blanks around them.
NUMBER_PATTERN = re.compile(r"-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?")
MAX_NUMBER_LENGTH = 40

# Causes that a controller sends.
CAUSE_REFUSED = 34  # nothing was started, so a retry is harmless
CAUSE_BUSY = 42
CAUSE_FAILED = 47
CAUSE_ENDED = 16
CAUSE_CUT = 41

# What a streamer's release means before it has answered the set-up, and after; any other cause counts as a
# reset connection.
END_REASONS_BEFORE_ANSWER = {34: EndReason.FULL, 47: EndReason.FAULTY, 102: EndReason.NOT_SENT}
END_REASONS_AFTER_ANSWER = {16: EndReason.PLAYED, 31: EndReason.CALLED_OFF}

# The delivered share of the demand, the rung of a viewing, and demand over capacity of the link and of the
# rack's uplink.
NOTE_NAMES = ("served", "at_rung", "link_use", "rack_use")
ANSWER_MARGIN_SECONDS = 0.06  # an answer leaves this long before its viewer stops waiting
RELEASE_RETENTION_SECONDS = 8.0  # a release that could not be delivered is dropped after this time
MAX_DURATION_SECONDS = 3600.0  # longer waiting times or lengths are rejected


class MalformedMessageError(UnusableInputError):
    """A line that is not a message; the rest of the connection cannot be parsed either."""

    advice = "see whose connection it was; it is closed and nothing else changes"


class InvalidFieldError(UnusableInputError):
    """A well-formed message with a field that is missing or invalid."""

    advice = "see who sent it; it is answered as failed"


class Message(msgspec.Struct, frozen=True):
    """One received message: the types of its fields are checked, their values are not."""

    t: str
    ref: str = ""
    f: dict[str, str | Number] = {}
    c: int | None = None
    d: str | None = None

    def number(self, name: str) -> float | None:
        """Return a field that is a number or the text of one, None if absent; raises InvalidFieldError."""
        value = self.f.get(name)
        return None if value is None else parse_number(value)

    def text(self, name: str) -> str | None:
        """Return a field as text, None if absent."""
        value = self.f.get(name)
        return None if value is None else str(value)


_decode = msgspec.json.Decoder(Message).decode
_encode = msgspec.json.Encoder().encode


def parse_message(line: bytes) -> Message:
    """Return the message in a line; raises MalformedMessageError."""
    try:
        return _decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError) as error:
        raise MalformedMessageError(str(error)) from error


def parse_number(value: str | Number) -> float:
    """Return a finite number, given as such or as its text in JSON; raises InvalidFieldError."""
    if isinstance(value, str) and not (len(value) <= MAX_NUMBER_LENGTH and NUMBER_PATTERN.fullmatch(value)):
        raise InvalidFieldError(f"not a number: {value!r:.40}")
    try:
        result = float(value)
    except OverflowError as error:
        raise InvalidFieldError(f"not a finite number: {value!r:.40}") from error
    if not math.isfinite(result):
        raise InvalidFieldError(f"not a finite number: {value!r:.40}")
    return result


def parse_pairs(text: str) -> dict[str, str]:
    """Return `a:1;b:2` as a dictionary; raises InvalidFieldError."""
    result = {}
    for part in filter(None, text.split(";")):
        name, colon, value = part.partition(":")
        if not colon:
            raise InvalidFieldError(f"not a NAME:VALUE pair: {part!r:.40}")
        result[name] = value
    return result


class MessageContext(NamedTuple):
    """What a set-up's fields are checked against: names of packages and members, cells, the highest rung."""

    packages: frozenset[str]
    members: frozenset[str]
    cells: int
    top_rung: int


def parse_request(message: Message, context: MessageContext) -> tuple[ViewingRequest, str | None]:
    """Return a set-up's request, and the streamer that plays the viewing already or None.

    Raises InvalidFieldError.
    """
    package, member, title = message.text("class"), message.text("tenant"), message.text("key")
    if package not in context.packages:
        raise InvalidFieldError(f"unknown package: {package!r:.40}")
    if member is not None and member not in context.members:
        raise InvalidFieldError(f"unknown member: {member!r:.40}")
    if not title or not ID_PATTERN.fullmatch(title):
        raise InvalidFieldError(f"invalid title: {title!r:.40}")
    time_left_ms, length_ms = message.number("left"), message.number("hint")
    extras = parse_pairs(message.text("extras") or "")
    # Nobody waits for the answer if the viewing plays already (`at`): its time left may exceed the limit.
    if time_left_ms is None or not 0 < time_left_ms <= (
        MAX_DURATION_SECONDS * 1000 if "at" not in extras else 1 << 53
    ):
        raise InvalidFieldError(f"time left is missing or out of range: {time_left_ms}")
    if length_ms is not None and not 0 <= length_ms <= MAX_DURATION_SECONDS * 1000:
        raise InvalidFieldError(f"length out of range: {length_ms}")
    home = _parse_integer(extras, "home", 0, context.cells - 1)
    copies = _parse_integer(extras, "copies", 1, context.cells)
    request = ViewingRequest(
        viewing=message.ref,
        viewer=extras.get("viewer", message.ref),
        package=package,
        member=member,
        title=title,
        holders=frozenset((home + i) % context.cells for i in range(copies)),
        top=_parse_integer(extras, "top", 0, context.top_rung),
        time_left=time_left_ms / 1000,
        length=None if length_ms is None else length_ms / 1000,
        moved=_parse_flag(extras, "moved"),
        is_retry=_parse_flag(extras, "again"),
    )
    return request, extras.get("at")


def _parse_integer(extras: dict[str, str], name: str, minimum: int, maximum: int) -> int:
    text = extras.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) < 12 and minimum <= int(text) <= maximum):
        raise InvalidFieldError(f"{name} out of range: {text!r:.40}")
    return int(text)


def _parse_flag(extras: dict[str, str], name: str) -> bool:
    text = extras.get(name, "0")
    if text not in ("0", "1"):
        raise InvalidFieldError(f"{name} is neither 0 nor 1: {text!r:.40}")
    return text == "1"


def parse_load(message: Message) -> LoadReport | None:
    """Return a streamer's report of its load, None if there is none; raises InvalidFieldError."""
    text = message.text("load")
    if not text:
        return None
    values = parse_pairs(text)

    def parse_ratio(name: str) -> float | None:
        if name not in values:
            return None
        value = parse_number(values[name])
        if not 0 <= value < 1000:
            raise InvalidFieldError(f"{name} out of range: {value}")
        return value

    # Demand over capacity of the link, the same capped at 1, and demand over capacity of the rack's uplink.
    return LoadReport(parse_ratio("x0"), parse_ratio("util"), parse_ratio("x1"))


def parse_note(message: Message) -> tuple[str, float]:
    """Return a note's name, one of NOTE_NAMES, and its value; raises InvalidFieldError."""
    name, value = message.text("note"), message.number("value")
    if name not in NOTE_NAMES or value is None or not 0 <= value < 1000:
        raise InvalidFieldError(f"unknown note or value out of range: {name!r:.40} {value}")
    return name, value


def _encode_line(t: str, ref: str, f: dict[str, str], **more) -> bytes:
    return _encode({"t": t, "ref": ref, "f": f, **more}) + b"\n"


def encode_set_up(request: ViewingRequest, rung: int, time_left: float, description: str) -> bytes:
    """Encode a tune-in; `time_left` is how long its streamer may take, in seconds."""
    f = {
        "class": request.package,
        "key": request.title,
        "left": str(max(1, int(time_left * 1000))),
        "rung": str(rung),
    }
    return _encode_line("new", request.viewing, f, d=description)


def encode_up(ref: str, description: str) -> bytes:
    """Encode the answer to a viewer whose viewing plays, with its streamer's session description."""
    return _encode_line("up", ref, {}, d=description)


def encode_down(ref: str, cause: int, wait: float = 0.0) -> bytes:
    """Encode a refusal, a release or a cancellation; `wait` is when to retry, in seconds, 0 for no advice."""
    return _encode_line("down", ref, {"wait": str(round(wait * 1000))} if wait else {}, c=cause)


def encode_ack(ref: str) -> bytes:
    """Encode the acknowledgement of a release."""
    return _encode_line("ack", ref, {})


def encode_shift(ref: str) -> bytes:
    """Encode the notice that a viewing ends here and that its viewer is to request it again."""
    return _encode_line("shift", ref, {})


def encode_step(ref: str, rung: int) -> bytes:
    """Encode the change of a playing viewing to another rung."""
    return _encode_line("step", ref, {"rung": str(rung)})


def encode_heartbeat(ref: str) -> bytes:
    """Encode a heartbeat."""
    return _encode_line("hb", ref, {}, c=0)


def encode_heartbeat_reply(ref: str, ready: bool) -> bytes:
    """Encode the reply to a heartbeat, which says whether this process is ready."""
    return _encode_line("hb_ok", ref, {}, c=int(ready))
