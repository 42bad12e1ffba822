"""The types that pass between a host and the deciding module (`herongap.rules.Controller`).

A host tells the module what it sees by plain method calls, then calls `decide(now)` until it
returns None. Times are seconds with fractions on the host's clock; rates are kB a second;
ids (of viewings, viewers, titles, streamers, shelves, cells and racks) are handed back untouched;
they need an equality, a hash and, among themselves, an order.

Each decision is a tuple, a verb and its operands:

    ("tune_in", viewing, streamer, time_out)   ask the streamer to start the viewing
    ("rung", viewing, rung)                    set the rung, before the tune-in or while it plays
    ("block", viewing, come_back)              final answer: turned away; come_back in seconds, 0: no advice
    ("abort", viewing)                         final answer: it failed
    ("call_off", viewing, number)              stop waiting for that tune-in
    ("move", viewing)                          take a playing viewing off its streamer
    ("probe", streamer)                        ask a streamer for its load
    ("follow",)                                subscribe to the list of streamers
    ("tell", peer, words)                      a short message to one controller, -1 for all
    ("charge", viewing, wholes)                the wholes that its tune-ins from now on count for, by name
    ("short", whole)                           more of a whole is wanted here
    ("wake", at)                               call woke() at that time
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class RepeatSafety(Enum):
    """What a second set-up of one viewing would do."""

    HARMLESS = 1
    IN_GROUP = 2
    HARMFUL = 3


class RepeatScope(Enum):
    """The streamers among which a repeat of an IN_GROUP package is recognised."""

    ALL = 1
    ZONE = 2
    CELL = 3


class EndReason(Enum):
    """How a tune-in, or the viewing it started, ended."""

    PLAYED = 1
    FAULTY = 2
    FULL = 3
    TIMED_OUT = 4
    UNREACHED = 5
    BROKEN = 6
    CALLED_OFF = 7
    NOT_SENT = 8
    UNKNOWN = 9


class StreamerStatus(Enum):
    """What the list says of a streamer."""

    ACTIVE = 1
    LEAVING = 2
    LEFT = 3


class BudgetScope(Enum):
    """What a whole that is divided among the controllers bounds: what is held at one time, or (the others)
    what is begun in a window.
    """

    VIEWINGS = 1  # from a tune-in's leaving until what it started is over
    TUNE_INS = 2
    FURTHER = 3  # tune-ins of a viewing that had one before
    COLD = 4  # tune-ins at streamers that may have just started


class FleetBudget(NamedTuple):
    """One whole that is divided among the controllers, and what counts for it; None: any."""

    name: str
    scope: BudgetScope
    package: str | None = None
    member: str | None = None
    title: int | str | None = None


class Package(NamedTuple):
    """One package of viewings and its terms."""

    name: str
    join_target: float
    value: float
    repeat: RepeatSafety
    group: RepeatScope
    repeat_window: float
    scale: float
    floor: int
    top: int
    seats: int
    live: bool


@dataclass(frozen=True, slots=True)
class DeploymentConfig:
    """What a deployment states at start, in our units."""

    me: int
    zone: str
    controllers: int
    over_share: float
    packages: tuple[Package, ...]
    ladder: tuple[float, ...]
    worths: tuple[float, ...]
    join_adds: float
    link_per_weight: float
    rack_link: float
    places: dict[str, int]
    full_from: float
    told_late: float
    tune_ins: int
    probes: bool
    come_back: float
    must_follow: bool
    warm_up: float
    cold_start: float
    fall_multiple: float
    extra_free: float | None
    extra_share: float
    extra_window: float
    wholes: tuple[FleetBudget, ...] = ()
    fall_within: float = 1.0


class StreamerEntry(NamedTuple):
    """One line of the list of streamers; started is None when it has run for long.

    `holder_id` is what a catalogue names as a holder: the streamer itself, or what it shares its titles with.
    `cell` is the group in which an IN_GROUP repeat is recognised, `rack` the uplink that it shares.
    """

    streamer: int | str
    zone: str
    kind: str
    holder_id: int | str
    cell: int | str
    rack: int | str
    status: StreamerStatus
    weight: float
    started: float | None


class ViewingRequest(NamedTuple):
    """A request for a viewing; left is what remains of the viewer's patience, length a hint or None.

    `holders` names the shelves that hold the title, in any order.
    """

    viewing: int | str
    viewer: int | str
    package: str
    member: str | None
    title: int | str
    holders: Collection[int | str]
    top: int
    time_left: float
    length: float | None
    moved: bool
    is_retry: bool


class LoadReport(NamedTuple):
    """A streamer's own report of what is asked over what is given; None where it does not say."""

    link: float | None = None
    link_capped: float | None = None
    rack: float | None = None
