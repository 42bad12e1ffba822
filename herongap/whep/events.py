"""Server-sent events (WHATWG HTML, 9.2), as a WHEP server streams them.

Besides the draft's `active`, `inactive`, `layers` and `viewercount`, streamers send `load` ({"link", "rack"}:
requested over available throughput) and `delivery` ({"share"}: delivered over requested throughput). An
`inactive` of a single session carries its `resource` and a `reason`. Unknown events are ignored, as the draft
requires.
"""

import json

from herongap.errors import Unusable

HEARTBEAT = b":\n\n"
MAX_EVENT_BYTES = 65536  # a longer event is an error


class EventError(Unusable):
    """An event stream cannot be read."""

    advice = "see the streamer; the event stream is opened again"


class EventReader:
    """Splits a stream into events, however its bytes are chunked."""

    def __init__(self):
        self._rest = b""

    def feed(self, data: bytes) -> list[tuple[str, dict]]:
        """The events completed by these bytes, as (name, data); raises EventError."""
        self._rest += data.replace(b"\r\n", b"\n")
        *blocks, self._rest = self._rest.split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError("an event without an end")
        return [event for block in blocks if (event := _parse(block))]


def _parse(block: bytes) -> tuple[str, dict] | None:
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
    """One event of a stream."""
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()
