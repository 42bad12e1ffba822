"""The layer extension: which encoding a viewer gets. Rung n is the encoding named by the number n."""

import json


def write_layer(rung: int) -> bytes:
    """The body that chooses an encoding for all of a viewer's video."""
    return json.dumps({"mediaId": "0", "encodingId": str(rung)}).encode()


def read_layer(body: bytes, rungs: int) -> int:
    """The rung that a body chooses; raises ValueError."""
    chosen = json.loads(body)
    if not isinstance(chosen, dict) or not str(chosen.get("encodingId", "")).isdigit():
        raise ValueError("encodingId names no encoding")
    rung = int(chosen["encodingId"])
    if rung >= rungs:
        raise ValueError(f"there are {rungs} encodings")
    return rung
