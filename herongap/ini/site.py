"""One front's INI file: each value checked, every error told at once with section, key, value and what is
allowed.
"""

import configparser
import re
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from herongap.intake import Bounds
from herongap.interface import Charter, Counted, Group, Package, Repeat, Whole

Seconds = Annotated[float, Field(ge=0, le=86400)]
Share = Annotated[float, Field(ge=0, le=1)]
Rate = Annotated[float, Field(gt=0, le=1e9)]


def _split(value):
    return [part.strip() for part in value.split(",") if part.strip()] if isinstance(value, str) else value


def _rising(value: list[float]) -> list[float]:
    if any(b < a for a, b in zip(value, value[1:], strict=False)):
        raise ValueError("values must not fall from one rung to the next")
    return value


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("HOST:PORT is needed, port 0 for any free one")
    return value


def _members(value: list[str]) -> list[str]:
    if not value:
        raise ValueError("at least one HOST:PORT is needed")
    if len(set(value)) < len(value):
        raise ValueError("a member stands there twice")
    return [_address(member) for member in value]


def _prefix(value: str) -> str:
    if not value.startswith("/") or not value.endswith("/"):
        raise ValueError("a prefix begins and ends with /")
    return value


Words = Annotated[list[str], BeforeValidator(_split)]
Figures = Annotated[list[Rate], BeforeValidator(_split), AfterValidator(_rising)]


class Part(BaseModel):
    """A section of the file. Unknown keys are errors: a misspelt one would silently do nothing."""

    model_config = ConfigDict(extra="forbid")


class Front(Part):
    listen: Annotated[str, AfterValidator(_address)] = "127.0.0.1:8080"
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
    metrics: Annotated[str, AfterValidator(lambda value: value and _address(value))] = ""
    ice_servers: Words = []


class Ladder(Part):
    rates: Figures
    values: Annotated[list[Share], BeforeValidator(_split), AfterValidator(_rising)]


class PackageTerms(Part):
    protocol: Annotated[
        list[Literal["whep", "whip", "dash"]], BeforeValidator(_split), Field(min_length=1)
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


class Links(Part):
    per_weight: Rate
    rack: Rate
    told_late: Seconds = 0.5
    full_from: Annotated[float, Field(ge=0, le=10)] = 0.0
    join_adds: Share = 1.0
    over_share: Share = 1.0


class TuneIns(Part):
    most: Annotated[int, Field(ge=1, le=20)] = 4
    probes: bool = False
    come_back: Seconds = 0.5
    connect: Annotated[float, Field(gt=0, le=60)] = 0.25


class Cold(Part):
    warm_up: Annotated[float, Field(gt=0, le=86400)] = 10.0
    start: Annotated[float, Field(gt=0, le=1)] = 0.4
    fall_multiple: Annotated[float, Field(gt=0)] = 2.5


class Budget(Part):
    free: Annotated[float, Field(ge=0)]
    share: Share
    window: Annotated[float, Field(gt=0, le=3600)]


class WholeTerms(Part):
    """A [budget NAME]: a whole divided among the controllers. `linger`: how long what is held may outlast its
    controller; `without_store`: whether a part is used until its lease ends, or not once a renewal failed.
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


class Etcd(Part):
    """Where the list of streamers comes from etcd. `silent`: a watch that says nothing is made anew."""

    endpoints: Annotated[Words, AfterValidator(_members)]
    prefix: Annotated[str, AfterValidator(_prefix)] = "/herongap/"
    user: str = ""
    password_file: str = ""
    connect: Annotated[float, Field(gt=0, le=60)] = 0.5
    time_out: Annotated[float, Field(gt=0, le=60)] = 2.0
    silent: Annotated[float, Field(gt=0, le=3600)] = 15.0
    ttl: Annotated[float, Field(ge=2, le=3600)] = 6.0
    remembered: str = ""
    keep: Annotated[float, Field(gt=0, le=3600)] = 1.0

    def secret(self) -> str:
        """The password, read anew each time, so that it can be changed while the front runs."""
        return Path(self.password_file).read_text(encoding="utf-8").strip()


class DashPart(Part):
    """The DASH front. `token` is how long a session token lasts, `update` when a player should ask again,
    `url` how players reach this front where the Host header does not tell.
    """

    keys: str
    url: str = ""
    segment: Annotated[float, Field(gt=0, le=30)] = 2.0
    update: Annotated[float, Field(ge=0.2, le=600)] = 2.0
    token: Annotated[float, Field(ge=2, le=86400)] = 60.0
    rotate: Annotated[float, Field(gt=0)] = 86400.0
    ahead: Annotated[float, Field(gt=0)] = 300.0


class Streamers(Part):
    list: str = ""
    whep: str = "/whep/{title}?layer={rung}"
    whip: str = "/whip/{title}?layer={rung}"
    dash: str = "/dash/{title}?layer={rung}"
    look: Annotated[float, Field(gt=0, le=60)] = 0.2


class CatalogueFile(Part):
    file: str


class Token(Part):
    secret: Annotated[str, Field(min_length=8)]
    member: str = ""
    packages: Words = []


class Limits(Part):
    """The keys are those of `herongap.intake.Bounds`."""

    connections: Annotated[int, Field(ge=1)] = Bounds().connections
    connections_a_peer: Annotated[int, Field(ge=1)] = Bounds().connections_a_peer
    setting_up: Annotated[int, Field(ge=1)] = Bounds().setting_up
    held: Annotated[int, Field(ge=1)] = Bounds().held
    pace: Rate = Bounds().pace
    burst: Annotated[float, Field(ge=1)] = Bounds().burst
    header: Annotated[int, Field(ge=1024)] = Bounds().header
    body: Annotated[int, Field(ge=1024)] = Bounds().body
    header_seconds: Annotated[float, Field(gt=0)] = Bounds().header_seconds
    body_seconds: Annotated[float, Field(gt=0)] = Bounds().body_seconds
    idle_seconds: Annotated[float, Field(gt=0)] = Bounds().idle_seconds
    write_seconds: Annotated[float, Field(gt=0)] = Bounds().write_seconds
    lag: Annotated[float, Field(gt=0)] = Bounds().lag


ONCE = {
    "front": Front,
    "ladder": Ladder,
    "links": Links,
    "tune_ins": TuneIns,
    "cold": Cold,
    "budget": Budget,
    "streamers": Streamers,
    "etcd": Etcd,
    "dash": DashPart,
    "catalogue": CatalogueFile,
    "limits": Limits,
}
NAMED = {"package": PackageTerms, "token": Token, "budget": WholeTerms}
OPTIONAL = {"front", "tune_ins", "cold", "budget", "limits", "streamers", "etcd", "dash"}
NO_DEFAULT = {"budget", "etcd", "dash"}  # absent where it is not in the file


class Faults(ValueError):
    """All that is wrong with a file, a line each."""


class Site(NamedTuple):
    """What a front is started with. `protocols` are those of each package, `defaults` each protocol's
    package.
    """

    front: Front
    charter: Charter
    patience: dict[str, float]
    protocols: dict[str, list[str]]
    defaults: dict[str, str]
    tokens: dict[str, Token]
    wholes: dict[str, WholeTerms]
    streamers: Streamers
    etcd: Etcd | None
    dash: DashPart | None
    catalogue: CatalogueFile
    connect: float
    bounds: Bounds


def read_site(path: Path) -> Site:
    """Read and check a front's file; relative paths in it are taken from its folder. Raises Faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        raise Faults(f"{path}: {fault}") from fault
    return parse_site(text, path)


def parse_site(text: str, path: Path) -> Site:
    """Check the text of a front's file, which stands at `path`. Raises Faults."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as fault:
        raise Faults(f"{path}: {fault}") from fault
    faults: list[str] = []
    parts: dict[str, Part] = {}
    named: dict[str, dict[str, Part]] = {kind: {} for kind in NAMED}
    places: dict[str, int] = {}
    for section in parser.sections():
        values = dict(parser[section])
        kind, _, name = section.partition(" ")
        if section == "places":
            places = _places(values, faults)
        elif section in ONCE:
            parts[section] = _part(section, ONCE[section], values, faults)
        elif kind in NAMED and name.strip():
            named[kind][name.strip()] = _part(section, NAMED[kind], values, faults)
        else:
            known = ", ".join([*ONCE, "places", *(f"{kind} NAME" for kind in NAMED)])
            faults.append(f"[{section}]: unknown section; allowed: {known}")
    for section, model in ONCE.items():
        if section not in parts and section not in OPTIONAL:
            faults.append(f"[{section}]: missing; needed keys: {', '.join(_needed(model))}")
        elif section not in parts and section not in NO_DEFAULT:
            parts[section] = model()
    if not places and "places" not in parser:
        # The pace of set-ups to streamers that may be cold goes by them.
        faults.append("[places]: missing; a key for each kind of streamer, the viewings that one plays")
    if not named["package"]:
        faults.append("[package NAME]: at least one package is needed")
    if not faults:
        _cross(parts, named, faults)
    if faults:
        raise Faults("\n".join(f"{path}: {fault}" for fault in faults))
    return _site(path, parts, named, places)


def _needed(model: type[Part]) -> list[str]:
    return [name for name, f in model.model_fields.items() if f.is_required()]


def _part(section: str, model: type[Part], values: dict[str, str], faults: list[str]) -> Part | None:
    try:
        return model.model_validate(values)
    except ValidationError as fault:
        for error in fault.errors():
            key = str(error["loc"][0])
            if error["type"] == "missing":
                faults.append(f"[{section}] {key}: missing")
            elif error["type"] == "extra_forbidden":
                known = ", ".join(model.model_fields)
                faults.append(f"[{section}] {key} = {values[key]}: unknown key; allowed: {known}")
            else:
                faults.append(f"[{section}] {key} = {values.get(key)}: {error['msg']}")
        return None


def _places(values: dict[str, str], faults: list[str]) -> dict[str, int]:
    places = {}
    for kind, value in values.items():
        if not value.isdigit() or not int(value):
            faults.append(f"[places] {kind} = {value}: a whole number of viewings above 0 is allowed")
        else:
            places[kind] = int(value)
    return places


def _cross(parts: dict, named: dict, faults: list[str]) -> None:
    rungs = len(parts["ladder"].rates)
    if len(parts["ladder"].values) != rungs:
        faults.append(f"[ladder] values: {rungs} are needed, one for each rate")
    if parts["front"].number >= parts["front"].controllers:
        faults.append(f"[front] number = {parts['front'].number}: must be under controllers")
    for name, p in named["package"].items():
        if p.floor >= rungs or p.floor > p.top:
            faults.append(
                f"[package {name}] floor = {p.floor}: must be a rung (0 to {rungs - 1}) not above top"
            )
        if p.join_target > p.patience:
            faults.append(f"[package {name}] join_target = {p.join_target}: must not exceed patience")
    if bool(parts["streamers"].list) == ("etcd" in parts):
        faults.append("[streamers] list, or [etcd]: the list of streamers comes from one of them")
    if "etcd" in parts and bool(parts["etcd"].user) != bool(parts["etcd"].password_file):
        faults.append("[etcd] user and password_file: both are needed, or neither")
    if (served := "dash" in parts) != any("dash" in p.protocol for p in named["package"].values()):
        faults.append(
            "[dash]: " + ("no package has protocol = dash" if served else "missing, a package needs it")
        )
    if served and parts["dash"].ahead >= parts["dash"].rotate:
        faults.append(f"[dash] ahead = {parts['dash'].ahead}: must be under rotate")
    for protocol in ("whep", "whip", "dash"):
        several = [n for n, p in named["package"].items() if protocol in p.protocol and p.default]
        if len(several) > 1:
            faults.append(
                f"[package {several[1]}] default = yes: [package {several[0]}] is the default already"
            )
    for name, token in named["token"].items():
        for package in token.packages:
            if package not in named["package"]:
                faults.append(f"[token {name}] packages: no [package {package}] in this file")
    _cross_wholes(parts, named, faults)


def _cross_wholes(parts: dict, named: dict, faults: list[str]) -> None:
    for name, w in named["budget"].items():
        here, controllers = f"[budget {name}]", parts["front"].controllers
        if not re.fullmatch(r"[A-Za-z0-9_.-]+", name):
            faults.append(f"{here}: a name of letters, digits, _ . and - is needed, it is a key of the store")
        if "etcd" not in parts:
            faults.append(f"{here}: needs [etcd], through which controllers divide it")
        if (w.kind == "held") != (w.counts == "viewings"):
            faults.append(f"{here} counts = {w.counts}: held counts viewings, rate the others")
        for key, kind in (("window", "rate"), ("linger", "held")):
            if bool(getattr(w, key)) != (w.kind == kind):
                faults.append(f"{here} {key} = {getattr(w, key)}: above 0 where kind = {kind}, else absent")
        if w.floor * controllers > w.whole:
            faults.append(f"{here} floor = {w.floor}: {controllers} of them are more than whole = {w.whole}")
        if w.package and w.package not in named["package"]:
            faults.append(f"{here} package = {w.package}: no [package {w.package}] in this file")


def _beside(part: Part, near: Path, *keys: str) -> Part:
    """Paths taken from the file's folder."""
    return part.model_copy(update={k: str(near / value) for k in keys if (value := getattr(part, k))})


def _site(path: Path, parts: dict, named: dict, places: dict[str, int]) -> Site:
    front, ladder, links = parts["front"], parts["ladder"], parts["links"]
    tune_ins, cold, budget = parts["tune_ins"], parts["cold"], parts.get("budget")
    top = len(ladder.rates) - 1
    packages = tuple(
        Package(
            name,
            p.join_target,
            p.value,
            Repeat[p.repeat.upper()],
            Group[p.group.upper()],
            p.repeat_window,
            p.scale,
            p.floor,
            min(p.top, top),
            p.seats,
            p.live,
        )
        for name, p in named["package"].items()
    )
    charter = Charter(
        me=front.number,
        zone=front.zone,
        controllers=front.controllers,
        over_share=links.over_share,
        packages=packages,
        ladder=tuple(ladder.rates),
        worths=tuple(ladder.values),
        join_adds=links.join_adds,
        link_per_weight=links.per_weight,
        rack_link=links.rack,
        places=places,
        full_from=links.full_from,
        told_late=links.told_late,
        tune_ins=tune_ins.most,
        probes=tune_ins.probes,
        come_back=tune_ins.come_back,
        must_follow=False,
        warm_up=cold.warm_up,
        cold_start=cold.start,
        fall_multiple=cold.fall_multiple,
        extra_free=budget.free if budget else None,
        extra_share=budget.share if budget else 0.0,
        extra_window=budget.window if budget else 0.0,
        wholes=tuple(
            Whole(name, Counted[w.counts.upper()], w.package or None, w.member or None, w.title or None)
            for name, w in named["budget"].items()
        ),
    )
    defaults = {}
    for name, p in named["package"].items():
        for protocol in p.protocol:
            if p.default or protocol not in defaults:
                defaults[protocol] = name
    near = path.resolve().parent
    files = {
        key: str(near / value)
        for key in ("record", "log_to", "journal")
        if (value := getattr(front, key)) not in ("", "-")
    }
    return Site(
        front=front.model_copy(update=files),
        charter=charter,
        patience={name: p.patience for name, p in named["package"].items()},
        protocols={name: p.protocol for name, p in named["package"].items()},
        defaults=defaults,
        tokens=named["token"],
        wholes=named["budget"],
        streamers=_beside(parts["streamers"], near, "list"),
        etcd=_beside(parts["etcd"], near, "password_file", "remembered") if "etcd" in parts else None,
        dash=_beside(parts["dash"], near, "keys") if "dash" in parts else None,
        catalogue=parts["catalogue"].model_copy(update={"file": str(near / parts["catalogue"].file)}),
        connect=tune_ins.connect,
        bounds=Bounds(**parts["limits"].model_dump()),
    )
