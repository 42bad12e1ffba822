"""The event and layer extensions of WHEP (draft-ietf-wish-whep), without I/O; `whip` has what both share."""

from herongap.whep.events import EventReader, write_event
from herongap.whep.layers import read_layer, write_layer

__all__ = ["EventReader", "read_layer", "write_event", "write_layer"]
