"""The types that pass between a host and the deciding module (`herongap.rules.Controller`).

The host reports each event with a plain method call, then calls `decide(now)` until it returns None. Times
are seconds with fractions on the host's clock; rates are kB a second. The module hands ids (of viewings,
viewers, titles, streamers, holders, cells and racks) back untouched; they need equality, a hash and, among
themselves, an order.

Each decision is a tuple, a verb and its operands:

    ("tune_in", viewing, streamer, time_out)   ask the streamer to start the viewing
    ("rung", viewing, rung)                    set the rung, before the tune-in or while the viewing plays
    ("block", viewing, come_back)              final answer: rejected; retry after come_back s, 0: no advice
    ("abort", viewing)                         final answer: the viewing failed
    ("call_off", viewing, number)              cancel that tune-in
    ("move", viewing)                          take a playing viewing off its streamer
    ("probe", streamer)                        request the load of a streamer
    ("follow",)                                subscribe to the streamer list
    ("tell", peer, message)                    send a short message to one controller, -1 for all
    ("charge", viewing, budgets)               names of the fleet budgets that its next tune-ins count towards
    ("short", budget)                          request a larger part of a fleet budget for this controller
    ("wake", at)                               call woke() at that time
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class RepeatSafety(Enum):
    """What it does if one viewing is set up twice."""

    HARMLESS = 1
    IN_GROUP = 2
    HARMFUL = 3


class RepeatScope(Enum):
    """The streamers among which a repeated set-up of an IN_GROUP package is recognised."""

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
    """The state of a streamer on the streamer list."""

    ACTIVE = 1
    LEAVING = 2
    LEFT = 3


class BudgetScope(Enum):
    """What a fleet budget limits.

    VIEWINGS limits what is held at one time; the others limit what is begun in a time window.
    """

    VIEWINGS = 1  # from sending the tune-in until the viewing that it started has ended
    TUNE_INS = 2
    FURTHER = 3  # tune-ins after the first one of a viewing
    COLD = 4  # tune-ins at streamers that may have just started


class FleetBudget(NamedTuple):
    """A limit that is divided among the controllers, and what counts towards it; None matches any."""

    name: str
    scope: BudgetScope
    package: str | None = None
    member: str | None = None
    title: int | str | None = None


class Package(NamedTuple):
    """A class of service and its terms.

    `floor` and `top` are its lowest and highest rung. `scale` multiplies the rates of the ladder, and `seats`
    limits the viewings of one title, 0 for no limit.
    """

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
    """Everything that a deployment sets at start, in the units of this module.

    The field names are written to the first line of a record and stay as they are.

    `me` is the rank of this controller among the `controllers` of the fleet. `ladder` holds the rate of each
    rung and `worths` its value. `link_per_weight` is the capacity of a streamer's link for each unit of its
    weight, `rack_link` that of a rack's uplink, and `places` the viewings that a streamer of each kind holds.
    `full_from` is the load from which a streamer refuses viewings, 0 if unknown, and `told_late` the age of a
    load report on arrival. `warm_up` is the time until a started streamer has its full capacity, and
    `cold_start` the part of it that it starts with. `extra_free`, `extra_share` and `extra_window` set the
    retry budget: so many retries plus a share of the requests, in a window. `wholes` are the fleet budgets.
    """

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
    """One entry of the streamer list; `started` is None if the streamer has run for a long time.

    `holder_id` is what a catalogue names as the holder of a title: the streamer itself, or the storage that
    it shares with others. `cell` is the group in which a repeat of an IN_GROUP package is recognised, and
    `rack` the rack whose uplink the streamer shares.
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
    """A request for a viewing.

    `time_left` is how many more seconds the viewer waits, and `length` a hint of the viewing's length or
    None. `holders` has the holder ids of the title, in any order. `top` is the highest rung of use to the
    viewer.
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
    """A streamer's report of its own load: demand over capacity, None where it reports none.

    `link_capped` is a figure for the link that never exceeds 1.
    """

    link: float | None = None
    link_capped: float | None = None
    rack: float | None = None
