"""The sections of a controller's INI file: their keys and the allowed values."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field

from herongap.errors import UnusableInputError
from herongap.overload import ProcessLimits


class SettingValueError(UnusableInputError):
    """A value that is not allowed; it is reported with its section, its key and the allowed values."""

    advice = "correct the value in the file; `herongap check FILE` reports all errors in the file"


Seconds = Annotated[float, Field(ge=0, le=86400)]
Share = Annotated[float, Field(ge=0, le=1)]
Rate = Annotated[float, Field(gt=0, le=1e9)]


def _split_at_commas(value):
    return [item.strip() for item in value.split(",") if item.strip()] if isinstance(value, str) else value


def _check_not_falling(value: list[float]) -> list[float]:
    if any(b < a for a, b in zip(value, value[1:], strict=False)):
        raise SettingValueError("values must not fall from one rung to the next")
    return value


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise SettingValueError("HOST:PORT is needed, port 0 for any free one")
    return value


def _check_members(value: list[str]) -> list[str]:
    if not value:
        raise SettingValueError("at least one HOST:PORT is needed")
    if len(set(value)) < len(value):
        raise SettingValueError("a member is listed twice")
    return [_check_address(member) for member in value]


def _check_prefix(value: str) -> str:
    if not value.startswith("/") or not value.endswith("/"):
        raise SettingValueError("a prefix begins and ends with /")
    return value


StringList = Annotated[list[str], BeforeValidator(_split_at_commas)]
RisingValues = Annotated[list[Rate], BeforeValidator(_split_at_commas), AfterValidator(_check_not_falling)]


class Section(BaseModel):
    """A section of the file. Unknown keys are errors, since a misspelt key would have no effect."""

    model_config = ConfigDict(extra="forbid")


class FrontSection(Section):
    """The controller itself: addresses, logging, record and shutdown."""

    listen: Annotated[str, AfterValidator(_check_address)] = "127.0.0.1:8080"
    number: Annotated[int, Field(ge=0)] = 0
    controllers: Annotated[int, Field(ge=1, le=100000)] = 1
    zone: str = ""
    seed: Annotated[int, Field(ge=0)] = 1
    answer_ahead: Seconds = 0.05
    linger: Seconds = 1.0
    remember: Seconds = 60.0
    record: str = ""
    journal: str = ""
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    log_format: Literal["json", "console"] = "console"
    log_to: str = "-"
    stop_within: Seconds = 10.0
    metrics: Annotated[str, AfterValidator(lambda value: value and _check_address(value))] = ""
    ice_servers: StringList = []


class LadderSection(Section):
    """The rate of each rung and its value to a viewer."""

    rates: RisingValues
    values: Annotated[list[Share], BeforeValidator(_split_at_commas), AfterValidator(_check_not_falling)]


class PackageSection(Section):
    """A [package NAME]: the service terms of a class of viewings."""

    protocol: Annotated[
        list[Literal["whep", "whip", "dash"]], BeforeValidator(_split_at_commas), Field(min_length=1)
    ] = ["whep"]
    default: bool = False
    join_target: Annotated[float, Field(gt=0, le=600)]
    patience: Annotated[float, Field(gt=0, le=600)]
    value: Annotated[float, Field(gt=0)] = 1.0
    repeat: Literal["harmless", "in_group", "harmful"] = "harmless"
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window: Seconds = 5.0
    scale: Rate = 1.0
    floor: Annotated[int, Field(ge=0)] = 0
    top: Annotated[int, Field(ge=0)] = 99
    seats: Annotated[int, Field(ge=0)] = 0
    live: bool = False


class LinksSection(Section):
    """Link capacities of streamers and racks, and how much load is counted on them."""

    per_weight: Rate
    rack: Rate
    told_late: Seconds = 0.5
    full_from: Annotated[float, Field(ge=0, le=10)] = 0.0
    join_adds: Share = 1.0
    over_share: Share = 1.0


class TuneInsSection(Section):
    """How often and how long streamers are tried for a viewing."""

    most: Annotated[int, Field(ge=1, le=20)] = 4
    probes: bool = False
    come_back: Seconds = 0.5
    connect: Annotated[float, Field(gt=0, le=60)] = 0.25


class ColdSection(Section):
    """Slow start of streamers that have just started."""

    warm_up: Annotated[float, Field(gt=0, le=86400)] = 10.0
    start: Annotated[float, Field(gt=0, le=1)] = 0.4
    fall_multiple: Annotated[float, Field(gt=0)] = 2.5
    fall_within: Annotated[float, Field(gt=0, le=60)] = 1.0


class BudgetSection(Section):
    """The retry budget: how many further tune-ins are allowed."""

    free: Annotated[float, Field(ge=0)]
    share: Share
    window: Annotated[float, Field(gt=0, le=3600)]


class FleetBudgetSection(Section):
    """A [budget NAME]: a fleet budget of the size `whole`, divided among the controllers.

    `linger` is how long a held item may outlast its controller. `without_store` says whether a controller
    uses its allotment until its lease ends ("keep") or stops once a renewal failed ("stop").
    """

    kind: Literal["held", "rate"]
    counts: Literal["viewings", "tune_ins", "further", "cold"]
    package: str = ""
    member: str = ""
    title: str = ""
    whole: Annotated[int, Field(ge=0, le=10**9)]
    floor: Annotated[int, Field(ge=0)] = 0
    window: Annotated[float, Field(ge=0, le=3600)] = 0.0
    linger: Seconds = 0.0
    without_store: Literal["keep", "stop"] = "keep"


class EtcdSection(Section):
    """The connection to etcd, if the streamer list comes from there.

    A watch without any message for `silent` seconds is opened again.
    """

    endpoints: Annotated[StringList, AfterValidator(_check_members)]
    prefix: Annotated[str, AfterValidator(_check_prefix)] = "/herongap/"
    user: str = ""
    password_file: str = ""
    connect: Annotated[float, Field(gt=0, le=60)] = 0.5
    time_out: Annotated[float, Field(gt=0, le=60)] = 2.0
    silent: Annotated[float, Field(gt=0, le=3600)] = 15.0
    ttl: Annotated[float, Field(ge=2, le=3600)] = 6.0
    remembered: str = ""
    keep: Annotated[float, Field(gt=0, le=3600)] = 1.0

    def secret(self) -> str:
        """The password, read at each call, so that it can be changed while the controller runs."""
        return Path(self.password_file).read_text(encoding="utf-8").strip()


class GossipSection(Section):
    """Membership over UDP.

    `advertise` is the address at which others reach `listen`, `seeds` are addresses of other controllers.
    """

    listen: Annotated[str, AfterValidator(_check_address)]
    advertise: Annotated[str, AfterValidator(lambda value: value and _check_address(value))] = ""
    seeds: StringList = []
    fleet: Annotated[str, Field(min_length=1, max_length=40)] = "herongap"
    every: Annotated[float, Field(gt=0.05, le=60)] = 0.5
    patience: Annotated[float, Field(gt=0, le=10)] = 0.2


class DashSection(Section):
    """The DASH service; times are in seconds.

    `token` is the lifetime of a session token and `update` the interval at which players reload the manifest.
    `url` is this controller's URL for players, used where it cannot be derived from the Host header.
    """

    keys: str
    url: str = ""
    segment: Annotated[float, Field(gt=0, le=30)] = 2.0
    update: Annotated[float, Field(ge=0.2, le=600)] = 2.0
    token: Annotated[float, Field(ge=2, le=86400)] = 60.0
    rotate: Annotated[float, Field(gt=0)] = 86400.0
    ahead: Annotated[float, Field(gt=0)] = 300.0


class StreamersSection(Section):
    """The streamer list file and the request paths at streamers."""

    list: str = ""
    whep: str = "/whep/{title}?layer={rung}"
    whip: str = "/whip/{title}?layer={rung}"
    dash: str = "/dash/{title}?layer={rung}"
    look: Annotated[float, Field(gt=0, le=60)] = 0.2


class CatalogueSection(Section):
    """The path of the catalogue file."""

    file: str


class TokenSection(Section):
    """A [token NAME]: a client credential and what it allows."""

    secret: Annotated[str, Field(min_length=8)]
    member: str = ""
    packages: StringList = []


class LimitsSection(Section):
    """Limits of the process; the keys are those of `herongap.overload.ProcessLimits`."""

    connections: Annotated[int, Field(ge=1)] = ProcessLimits().connections
    connections_a_peer: Annotated[int, Field(ge=1)] = ProcessLimits().connections_a_peer
    setting_up: Annotated[int, Field(ge=1)] = ProcessLimits().setting_up
    held: Annotated[int, Field(ge=1)] = ProcessLimits().held
    pace: Rate = ProcessLimits().pace
    burst: Annotated[float, Field(ge=1)] = ProcessLimits().burst
    header: Annotated[int, Field(ge=1024)] = ProcessLimits().header
    header_fields: Annotated[int, Field(ge=16)] = ProcessLimits().header_fields
    body: Annotated[int, Field(ge=1024)] = ProcessLimits().body
    pending_bytes: Annotated[int, Field(ge=1024)] = ProcessLimits().pending_bytes
    header_seconds: Annotated[float, Field(gt=0)] = ProcessLimits().header_seconds
    body_seconds: Annotated[float, Field(gt=0)] = ProcessLimits().body_seconds
    idle_seconds: Annotated[float, Field(gt=0)] = ProcessLimits().idle_seconds
    write_seconds: Annotated[float, Field(gt=0)] = ProcessLimits().write_seconds
    lag: Annotated[float, Field(gt=0)] = ProcessLimits().lag


UNNAMED_SECTIONS = {
    "front": FrontSection,
    "ladder": LadderSection,
    "links": LinksSection,
    "tune_ins": TuneInsSection,
    "cold": ColdSection,
    "budget": BudgetSection,
    "streamers": StreamersSection,
    "etcd": EtcdSection,
    "dash": DashSection,
    "gossip": GossipSection,
    "catalogue": CatalogueSection,
    "limits": LimitsSection,
}
NAMED_SECTIONS = {"package": PackageSection, "token": TokenSection, "budget": FleetBudgetSection}
OPTIONAL_SECTIONS = {"front", "tune_ins", "cold", "budget", "limits", "streamers", "etcd", "dash", "gossip"}
SECTIONS_WITHOUT_DEFAULT = {"budget", "etcd", "dash", "gossip"}  # None unless the file has them
