"""The layer extension of WHEP: selects a viewer's encoding. Rung n is the encoding with the ID n."""

import json

from herongap.errors import Unusable


class NoSuchLayerError(Unusable):
    """The requested layer does not exist."""

    advice = "none needed; the viewer gets the error"


def write_layer(rung: int) -> bytes:
    """The body of a request that selects an encoding for all video of a viewer."""
    return json.dumps({"mediaId": "0", "encodingId": str(rung)}).encode()


def read_layer(body: bytes, rungs: int) -> int:
    """The rung that a request body selects; raises ValueError."""
    selection = json.loads(body)
    if not isinstance(selection, dict) or not str(selection.get("encodingId", "")).isdigit():
        raise NoSuchLayerError("encodingId is not the number of an encoding")
    rung = int(selection["encodingId"])
    if rung >= rungs:
        raise NoSuchLayerError(f"there are {rungs} encodings")
    return rung
