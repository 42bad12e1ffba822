"""WHEP (draft-ietf-wish-whep): its event and layer extensions, without I/O. The rest is shared with WHIP."""

from herongap.whep.events import EventReader, write_event
from herongap.whep.layers import read_layer, write_layer

__all__ = ["EventReader", "read_layer", "write_event", "write_layer"]
