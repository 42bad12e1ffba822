"""The list of streamers and the catalogue as JSON files, re-read when they change. Parsing alone, no
decisions.
"""

from collections.abc import Collection
from typing import Annotated, Literal

import msgspec

from herongap.errors import UnusableInputError
from herongap.http import parse_url
from herongap.interface import StreamerEntry, StreamerStatus


class StreamerListError(UnusableInputError):
    """An entry of the list that cannot be used; the whole list is refused."""

    advice = "correct the entry that is named; the list before stays in force"


class Entry(msgspec.Struct, forbid_unknown_fields=True):
    """A streamer. `started` is seconds since the epoch, absent when it has run for long; cell and rack
    default to the streamer's own."""

    id: Annotated[str, msgspec.Meta(min_length=1)]
    url: str
    zone: str = ""
    kind: str = "std"
    cell: str = ""
    rack: str = ""
    standing: Literal["active", "leaving", "left"] = "active"
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    started: float | None = None


class StreamerListFile(msgspec.Struct, forbid_unknown_fields=True):
    streamers: list[Entry]


class Catalogue(msgspec.Struct, forbid_unknown_fields=True):
    """Which streamers hold a title; the title "*" stands for all that are not named.

    `lengths` are the seconds of recorded titles, for manifests; a title without one is live.
    """

    titles: dict[str, list[str]]
    lengths: dict[str, Annotated[float, msgspec.Meta(gt=0)]] = {}

    def holders(self, title: str) -> Collection[str] | None:
        """The streamers that hold a title, None if it is unknown."""
        named = self.titles.get(title)
        return self.titles.get("*") if named is None else named


def read_list(data: bytes, epoch: float) -> tuple[tuple[StreamerEntry, ...], dict[str, tuple[str, int]]]:
    """The lines of a list and each streamer's address; `epoch` is the host's clock at the epoch's zero.

    Raises ValueError, and takes nothing, if any entry is bad: half a list would look like streamers that
    left.
    """
    entries = msgspec.json.decode(data, type=StreamerListFile).streamers
    lines, addresses = [], {}
    for e in entries:
        try:
            address = parse_url(e.url)
        except ValueError as fault:
            raise StreamerListError(f"streamer {e.id}: {fault}") from fault
        if e.id in addresses:
            raise StreamerListError(f"streamer {e.id} is listed twice")
        addresses[e.id] = address
        started = None if e.started is None else e.started + epoch
        lines.append(
            StreamerEntry(
                e.id,
                e.zone,
                e.kind,
                e.id,
                e.cell or e.id,
                e.rack or e.id,
                StreamerStatus[e.standing.upper()],
                e.weight,
                started,
            )
        )
    return tuple(lines), addresses


def read_catalogue(data: bytes) -> Catalogue:
    """Raises ValueError."""
    return msgspec.json.decode(data, type=Catalogue)
