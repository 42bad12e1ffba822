"""Parsing of the two JSON files that are read again when they change: the streamer list and the catalogue."""

from collections.abc import Collection
from typing import Annotated, Literal

import msgspec

from herongap.errors import UnusableInputError
from herongap.http import parse_url
from herongap.interface import StreamerEntry, StreamerStatus


class StreamerListError(UnusableInputError):
    """An invalid entry of the streamer list, for which the whole list is rejected."""

    advice = "correct the named entry; the previous list stays in force"


class StreamerFileEntry(msgspec.Struct, forbid_unknown_fields=True):
    """A streamer in the file.

    `started` is seconds since the epoch, absent if the streamer has been running for long. `cell` and `rack`
    default to the streamer's ID.
    """

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
    """The content of the streamer list file."""

    streamers: list[StreamerFileEntry]


class Catalogue(msgspec.Struct, forbid_unknown_fields=True):
    """Which streamers hold a title; the title "*" stands for all titles that are not listed.

    `lengths` are the durations of recorded titles in seconds, for manifests; a title without one is live.
    """

    titles: dict[str, list[str]]
    lengths: dict[str, Annotated[float, msgspec.Meta(gt=0)]] = {}

    def holders(self, title: str) -> Collection[str] | None:
        """The streamers that hold a title, None if it is unknown."""
        streamers = self.titles.get(title)
        return self.titles.get("*") if streamers is None else streamers


def read_list(data: bytes, epoch: float) -> tuple[tuple[StreamerEntry, ...], dict[str, tuple[str, int]]]:
    """The entries of a list and each streamer's address; `epoch` is the host clock's value at the Unix epoch.

    Raises ValueError if any entry is invalid: in a partial list, the missing streamers would seem to have
    left.
    """
    file_entries = msgspec.json.decode(data, type=StreamerListFile).streamers
    entries, addresses = [], {}
    for entry in file_entries:
        try:
            address = parse_url(entry.url)
        except ValueError as error:
            raise StreamerListError(f"streamer {entry.id}: {error}") from error
        if entry.id in addresses:
            raise StreamerListError(f"streamer {entry.id} is listed twice")
        addresses[entry.id] = address
        started = None if entry.started is None else entry.started + epoch
        entries.append(
            StreamerEntry(
                entry.id,
                entry.zone,
                entry.kind,
                entry.id,
                entry.cell or entry.id,
                entry.rack or entry.id,
                StreamerStatus[entry.standing.upper()],
                entry.weight,
                started,
            )
        )
    return tuple(entries), addresses


def read_catalogue(data: bytes) -> Catalogue:
    """Parse the catalogue file. Raises ValueError."""
    return msgspec.json.decode(data, type=Catalogue)
