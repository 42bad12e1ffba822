"""The layer extension of WHEP: selects a viewer's encoding. Rung n is the encoding with the ID n."""

import json

from herongap.errors import UnusableInputError

MAX_ENCODING_DIGITS = 4


class NoSuchLayerError(UnusableInputError):
    """The requested layer does not exist."""

    advice = "none needed; the viewer gets the error"


def write_layer(rung: int) -> bytes:
    """The body of a request that selects an encoding for all video of a viewer."""
    return json.dumps({"mediaId": "0", "encodingId": str(rung)}).encode()


def read_layer(body: bytes, rungs: int) -> int:
    """The rung that a request body selects; raises ValueError."""
    selection = json.loads(body)
    text = str(selection.get("encodingId", "")) if isinstance(selection, dict) else ""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_ENCODING_DIGITS):
        raise NoSuchLayerError("encodingId is not the number of an encoding")
    rung = int(text)
    if rung >= rungs:
        raise NoSuchLayerError(f"there are {rungs} encodings")
    return rung
