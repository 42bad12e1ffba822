"""The library: one controller hosted, without sockets, clock, greenlets or global state.

`Host` takes inputs with their times, takes decisions from the module until none is left, and carries them out
through a `Port`. It keeps the state of each viewing from its request to its one answer and its end. A
`Recorder` writes every input and decision; `replay` runs such a record through the library alone.
"""

from herongap.host.host import Host
from herongap.host.port import Port
from herongap.host.record import Recorder, RecordError, read_record
from herongap.host.repeats import RepeatDetector, RepeatMatch
from herongap.host.replay import Difference, replay
from herongap.host.viewing import Answer, HostedViewing, ViewingState

__all__ = [
    "Answer",
    "Difference",
    "Host",
    "HostedViewing",
    "Port",
    "RecordError",
    "Recorder",
    "RepeatDetector",
    "RepeatMatch",
    "ViewingState",
    "read_record",
    "replay",
]
