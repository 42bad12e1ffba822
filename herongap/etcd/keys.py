"""Our keys and their values, version 1. Under a prefix, `/herongap/` by default:

    streamers/ID          a streamer, put by itself or by whoever starts it, for choice under a lease
    drains/ID             the streamer takes no new work for as long as the key is there, whatever its value
    controllers/NUMBER    a live controller, under its lease

Values are JSON objects with "v": 1. Fields that are not known are kept by whoever writes a value back. A
drain is a key of its own, so that a streamer that puts its value anew cannot undo it.
"""

from typing import Annotated

import msgspec

from herongap.errors import Unusable
from herongap.http import parse_url

VERSION = 1


class InvalidValueError(Unusable):
    """A value that cannot be used."""

    advice = "correct the value under that key; nothing of it is used"


class StreamerValue(msgspec.Struct, omit_defaults=True):
    """`started` is in seconds since the epoch; cell and rack default to the streamer's own."""

    v: int
    url: str
    zone: str = ""
    kind: str = "std"
    cell: str = ""
    rack: str = ""
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    started: float | None = None

    @property
    def address(self) -> tuple[str, int]:
        return parse_url(self.url)


class DrainValue(msgspec.Struct, omit_defaults=True):
    v: int
    since: float = 0.0
    by: str = ""
    reason: str = ""


class ControllerValue(msgspec.Struct, omit_defaults=True):
    v: int
    name: str
    address: str = ""
    zone: str = ""


KINDS = {"streamers": StreamerValue, "drains": DrainValue, "controllers": ControllerValue}


def split_key(prefix: str, key: str) -> tuple[str, str] | None:
    """The kind and the name of a key of ours, None for any other."""
    kind, _, name = key.removeprefix(prefix).partition("/")
    return (kind, name) if key.startswith(prefix) and kind in KINDS and name else None


def decode_value(kind: str, value: bytes):
    """A value of a kind; raises Bad with the reason."""
    try:
        found = msgspec.json.decode(value, type=KINDS[kind])
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise InvalidValueError(str(fault)) from fault
    if found.v != VERSION:
        raise InvalidValueError(f"version {found.v}, known is {VERSION}")
    if kind == "streamers":
        try:
            parse_url(found.url)
        except ValueError as fault:
            raise InvalidValueError(str(fault)) from fault
    return found


def update_value(value: bytes | None, **fields) -> bytes:
    """A value with some fields changed and all others kept, known here or not. Raises Bad."""
    try:
        old = msgspec.json.decode(value) if value else {}
    except msgspec.MsgspecError as fault:
        raise InvalidValueError(str(fault)) from fault
    if not isinstance(old, dict):
        raise InvalidValueError("not a JSON object")
    return msgspec.json.encode(old | {"v": VERSION} | fields)
