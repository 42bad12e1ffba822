"""The layer extension: which encoding a viewer gets. Rung n is the encoding named by the number n."""

import json

from herongap.errors import Unusable


class NoSuchLayerError(Unusable):
    """A layer that was asked for and does not exist."""

    advice = "nothing; the viewer is told"


def write_layer(rung: int) -> bytes:
    """The body that chooses an encoding for all of a viewer's video."""
    return json.dumps({"mediaId": "0", "encodingId": str(rung)}).encode()


def read_layer(body: bytes, rungs: int) -> int:
    """The rung that a body chooses; raises ValueError."""
    chosen = json.loads(body)
    if not isinstance(chosen, dict) or not str(chosen.get("encodingId", "")).isdigit():
        raise NoSuchLayerError("encodingId names no encoding")
    rung = int(chosen["encodingId"])
    if rung >= rungs:
        raise NoSuchLayerError(f"there are {rungs} encodings")
    return rung
