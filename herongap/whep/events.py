"""Server-sent events (WHATWG HTML, 9.2), as a WHEP server streams them.

Beside the draft's `active`, `inactive`, `layers` and `viewercount`, streamers tell `load` ({"link", "rack"}:
what is asked over what is given) and `delivery` ({"share"}: delivered over asked). An `inactive` of one
session names its `resource` and a `reason`. What is not known is passed over, as the draft asks.
"""

import json

from herongap.errors import Unusable

HEARTBEAT = b":\n\n"
MAX_EVENT_BYTES = 65536  # bytes of one event; more is no event of ours


class EventError(Unusable):
    """An event of a stream that cannot be read."""

    advice = "see the streamer; its stream is made anew"


class EventReader:
    """Cuts a stream into events, however its bytes are split."""

    def __init__(self):
        self._rest = b""

    def feed(self, data: bytes) -> list[tuple[str, dict]]:
        """The events that are whole now, as (name, data)."""
        self._rest += data.replace(b"\r\n", b"\n")
        *whole, self._rest = self._rest.split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError("an event without an end")
        return [event for block in whole if (event := _read(block))]


def _read(block: bytes) -> tuple[str, dict] | None:
    name, data = "message", []
    for line in block.decode("utf-8", "replace").split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "event":
            name = value
        elif field == "data":
            data.append(value)
    try:
        content = json.loads("\n".join(data)) if data else None
    except ValueError:
        return None
    return (name, content) if isinstance(content, dict) else None


def write_event(name: str, data: dict) -> bytes:
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()
