"""The stored keys and their values, format version 1. Under a prefix, `/herongap/` by default:

    streamers/ID          a streamer, put by itself or by its supervisor, preferably under a lease
    drains/ID             the streamer takes no new work while the key exists, whatever its value
    controllers/NUMBER    a live controller, under its lease

Values are JSON objects with "v": 1. A writer keeps unknown fields of the value it replaces. A drain is a
key of its own, so that a streamer that puts its value again cannot remove the drain.
"""

from typing import Annotated

import msgspec

from herongap.errors import Unusable
from herongap.http import parse_url

FORMAT_VERSION = 1


class InvalidValueError(Unusable):
    """The value of a key cannot be used."""

    advice = "correct the value under that key; it is ignored until then"


class StreamerValue(msgspec.Struct, omit_defaults=True):
    """A streamer. `started` is in seconds since the epoch; cell and rack default to the streamer's own."""

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
        """Host and port of the URL."""
        return parse_url(self.url)


class DrainValue(msgspec.Struct, omit_defaults=True):
    """When a streamer was drained, by whom and why."""

    v: int
    since: float = 0.0
    by: str = ""
    reason: str = ""


class ControllerValue(msgspec.Struct, omit_defaults=True):
    """A live controller."""

    v: int
    name: str
    address: str = ""
    zone: str = ""


VALUE_TYPES = {"streamers": StreamerValue, "drains": DrainValue, "controllers": ControllerValue}


def split_key(prefix: str, key: str) -> tuple[str, str] | None:
    """The kind and the name in a key of this schema; None for any other key."""
    kind, _, name = key.removeprefix(prefix).partition("/")
    return (kind, name) if key.startswith(prefix) and kind in VALUE_TYPES and name else None


def decode_value(kind: str, value: bytes):
    """Decode and check a value; raises InvalidValueError with the reason."""
    try:
        decoded = msgspec.json.decode(value, type=VALUE_TYPES[kind])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidValueError(str(error)) from error
    if decoded.v != FORMAT_VERSION:
        raise InvalidValueError(f"version {decoded.v} is not supported, expected {FORMAT_VERSION}")
    if kind == "streamers":
        try:
            parse_url(decoded.url)
        except ValueError as error:
            raise InvalidValueError(str(error)) from error
    return decoded


def update_value(value: bytes | None, **fields) -> bytes:
    """A value with some fields changed and all others kept, also unknown ones. Raises InvalidValueError."""
    try:
        old = msgspec.json.decode(value) if value else {}
    except msgspec.MsgspecError as error:
        raise InvalidValueError(str(error)) from error
    if not isinstance(old, dict):
        raise InvalidValueError("not a JSON object")
    return msgspec.json.encode(old | {"v": FORMAT_VERSION} | fields)
