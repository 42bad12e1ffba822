"""A rehearsal day: its INI file checked, and the script that a seed makes. No I/O but reading the file."""

import configparser
import itertools
import random
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import Field, ValidationError

from herongap.ini import Faults
from herongap.ini.parts import Figures, PackageTerms, Part, Seconds, Share, WholeTerms

Whole = Annotated[int, Field(ge=1, le=10000)]
Above = Annotated[float, Field(gt=0)]
KINDS = (
    "die", "silent", "hang", "fail", "slow", "lose", "late", "sag", "ageing", "cut", "deploy", "drain",
    "list_late", "crowd", "burst", "controllers", "empty_list", "notes_lost",
    "watch_cut", "etcd_down",
    "pause", "kill", "leave", "join", "clock_step", "clock_fast",
    "store_cut", "store_oneway", "store_slow", "store_reset", "member_down", "leader_change", "minority",
    "whole", "forgotten",
)  # fmt: skip


LIST_POLL_SECONDS = 0.05  # seconds between two looks of a controller at its list
STORE_MEMBERS = 3  # of the store


class DaySettings(Part):
    """The [day] section."""

    seconds: Above = 40.0
    rate: Above = 50.0
    controllers: Whole = 3
    streamers: Whole = 16
    zones: Whole = 2
    racks: Whole = 4
    titles: Whole = 40
    holders: Whole = 5
    popularity: Annotated[float, Field(ge=0, le=3)] = 0.8
    length: Above = 6.0
    longest: Above = 3600.0
    list_late: Seconds = 0.5
    list_by: Literal["file", "etcd"] = "file"
    counted: Literal["fixed", "live"] = "fixed"
    ttl: Annotated[float, Field(ge=2)] = 6.0
    time_out: Above = 2.0
    rates: Figures = [150.0, 400.0, 900.0, 1800.0]
    values: Figures = [0.3, 0.55, 0.8, 1.0]
    small_screens: Share = 0.2
    extra_free: Annotated[float, Field(ge=0)] = 5.0
    extra_share: Share = 0.1
    extra_window: Above = 5.0


class ClientSettings(Part):
    """The [clients] section: shares of viewers with a habit, and who comes again."""

    repeats: Share = 0.04
    doubles: Share = 0.02
    leaves: Share = 0.02
    trickles: Share = 0.1
    returns: Share = 0.85
    tries: Whole = 3


class StreamerSettings(Part):
    """The [streamer] section."""

    link: Above = 20000.0
    rack: Above = 70000.0
    places: Whole = 60
    full_from: Annotated[float, Field(ge=0)] = 1.2
    warm_up: Above = 8.0
    cold_start: Annotated[float, Field(gt=0, le=1)] = 0.4
    fall_multiple: Above = 2.5
    tip_after: Above = 1.0
    slack: Annotated[float, Field(ge=0)] = 0.0
    told_late: Seconds = 0.4
    tell: Above = 2.0
    consent: Above = 5.0
    join_wait: Above = 4.0


class PackageSettings(PackageTerms):
    """A [package NAME] section: the front's keys, and its share of the viewings."""

    share: Share


class Trouble(Part):
    """A [trouble NAME] section; `part` of the streamers (controllers, members of the store) unless `on`
    numbers them.
    """

    kind: Literal[KINDS]
    at: Seconds
    lasts: Seconds = 8.0
    part: Share = 0.12
    on: list[int] | None = None
    size: float = 2.0
    extra: float = 3.0


class Day(NamedTuple):
    """One day, checked."""

    settings: DaySettings
    clients: ClientSettings
    streamer_settings: StreamerSettings
    packages: dict[str, PackageSettings]
    troubles: dict[str, Trouble]
    budgets: dict[str, WholeTerms] = {}

    @property
    def late_joiners(self) -> set[int]:
        """The controllers that are not there when the day begins."""
        named = [t.on or [self.settings.controllers - 1] for t in self.troubles.values() if t.kind == "join"]
        return {number for numbers in named for number in numbers}


class Arrival(NamedTuple):
    """One viewer: when it comes, what it wants, what it does."""

    at: float
    name: str
    zone: int
    title: str
    package: str
    length: float
    top: int
    habit: str


class TroubleStep(NamedTuple):
    """One step of a trouble. `to` is "farm", "list", "list_late", "etcd", "controllers", "relays" or
    "members".
    """

    at: float
    target: str
    command: dict


class Listing:
    """The list of streamers as a day's orders change it: a standing and a start for each name."""

    def __init__(self, names: list[str]):
        self.statuses: dict[str, str] = dict.fromkeys(names, "active")
        self.started: dict[str, float | None] = dict.fromkeys(names)
        self.hidden: set[str] = set()

    def apply(self, order: dict, at: float) -> None:
        """Carry out an order of a day; `at` is when what it tells of happened, by the caller's clock."""
        for name in order["on"]:
            match order["standing"]:
                case "started":
                    self.statuses[name], self.started[name] = "active", at
                case "none":
                    self.hidden.add(name)
                case "back":
                    self.hidden.discard(name)
                case standing:
                    self.statuses[name] = standing

    def visible(self) -> list[tuple[str, str, float | None]]:
        """What a reader of the list sees: name, standing, start."""
        return [(n, s, self.started[n]) for n, s in self.statuses.items() if n not in self.hidden]

    def unavailable(self) -> list[str]:
        """Those to whom no new work may go."""
        return [n for n, s in self.statuses.items() if n in self.hidden or s != "active"]


class Script(NamedTuple):
    arrivals: list[Arrival]
    steps: list[TroubleStep]
    titles: dict[str, list[str]]


def read_day(path: Path) -> Day:
    """Raises Faults with all that is wrong."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as fault:
        raise Faults(f"{path}: {fault}") from fault
    faults: list[str] = []
    once = {"day": DaySettings, "clients": ClientSettings, "streamer": StreamerSettings}
    found: dict = {}
    named: dict = {"package": {}, "trouble": {}, "budget": {}}
    models = {"package": PackageSettings, "trouble": Trouble, "budget": WholeTerms}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        model = once.get(section) or models.get(kind if name else "")
        if model is None:
            faults.append(f"{path}: [{section}]: unknown section")
            continue
        values: dict = dict(parser[section])
        if "on" in values:
            values["on"] = [part.strip() for part in values["on"].split(",")]
        try:
            part = model.model_validate(values)
        except ValidationError as fault:
            faults += [
                f"{path}: [{section}] {error['loc'][0]} = {values.get(error['loc'][0])}: {error['msg']}"
                for error in fault.errors()
            ]
            continue
        if section in once:
            found[section] = part
        else:
            named[kind][name] = part
    if not named["package"] and not faults:
        faults.append(f"{path}: [package NAME]: at least one package is needed")
    for name, whole in named["budget"].items():
        if whole.member:
            faults.append(f"{path}: [budget {name}] member = {whole.member}: viewers of a day have none")
        if found.get("day", DaySettings()).list_by != "etcd":
            faults.append(f"{path}: [budget {name}]: needs [day] list_by = etcd")
    if faults:
        raise Faults("\n".join(faults))
    return Day(
        found.get("day", DaySettings()),
        found.get("clients", ClientSettings()),
        found.get("streamer", StreamerSettings()),
        named["package"],
        named["trouble"],
        named["budget"],
    )


def zone_of(streamer: int, day: Day) -> str:
    return f"z{streamer % day.settings.zones}"


def rack_of(streamer: int, day: Day) -> str:
    # A rack stands in one zone.
    zones = day.settings.zones
    return f"rack{streamer % zones}-{streamer // zones % max(1, day.settings.racks // zones)}"


def script(day: Day, seed: int) -> Script:
    """The viewers and the troubles of a day; the same for the same seed. Each has draws of its own."""
    streamers = [f"s{i}" for i in range(day.settings.streamers)]
    draw = random.Random(f"titles {seed}")
    titles = {
        str(n): sorted(draw.sample(streamers, min(len(streamers), max(3, day.settings.holders))))
        for n in range(1, day.settings.titles + 1)
    }
    orders: list[TroubleStep] = []
    for name, trouble in day.troubles.items():
        orders += _orders(day, trouble, streamers, random.Random(f"trouble {name} {seed}"))
    return Script(_arrivals(day, seed), sorted(orders, key=lambda o: o.at), titles)


def _arrivals(day: Day, seed: int) -> list[Arrival]:
    draw = random.Random(f"viewers {seed}")
    names = list(day.packages)
    shares = [day.packages[n].share for n in names]
    weights = [1 / n**day.settings.popularity for n in range(1, day.settings.titles + 1)]
    habits = ("repeats", "doubles", "leaves", "trickles")
    odds = [getattr(day.clients, habit) for habit in habits]
    peak = day.settings.rate * max(
        [1.0, *(1 + t.size for t in day.troubles.values() if t.kind in ("crowd", "burst"))]
    )
    arrivals, at = [], 0.0
    for number in itertools.count():
        # Thinning: draws at the highest rate, of which each moment keeps its part.
        at += draw.expovariate(peak)
        if at >= day.settings.seconds:
            return arrivals
        crowds = [
            t for t in day.troubles.values() if t.kind in ("crowd", "burst") and t.at <= at < t.at + t.lasts
        ]
        rate = day.settings.rate * (1 + sum(t.size - 1 if t.kind == "burst" else t.size for t in crowds))
        keep, pick, habit = draw.random() * peak < rate, draw.random(), draw.random()
        title = str(draw.choices(range(1, day.settings.titles + 1), weights)[0])
        package = draw.choices(names, shares)[0]
        small = draw.random() < day.settings.small_screens
        length, zone = draw.expovariate(1 / day.settings.length), draw.randrange(day.settings.zones)
        if not keep:
            continue
        for crowd in crowds:
            # The crowd's own viewers want one of its few titles.
            if crowd.kind == "crowd" and pick * rate / day.settings.rate < crowd.size:
                title = str(1 + int(crowd.at * 7 + pick * 1000) % max(1, int(crowd.extra)))
        habit = next(
            (h for h, edge in zip(habits, itertools.accumulate(odds), strict=True) if habit < edge), "plain"
        )
        top = len(day.settings.rates) - 1
        length = min(0.5 + length, day.settings.longest)
        arrivals.append(
            Arrival(at, f"w{number}", zone, title, package, length, max(1, top - 2) if small else top, habit)
        )


def _orders(day: Day, t: Trouble, streamers: list[str], draw: random.Random) -> list[TroubleStep]:
    count = max(1, round(t.part * len(streamers)))
    on = [streamers[i % len(streamers)] for i in t.on] if t.on else sorted(draw.sample(streamers, count))
    end = t.at + t.lasts

    def farm(at: float, do: str, names=on, **more) -> TroubleStep:
        return TroubleStep(at, "farm", {"do": do, "on": list(names), **more})

    def told(at: float, standing: str, names=on) -> TroubleStep:
        return TroubleStep(at, "list", {"standing": standing, "on": list(names)})

    def some() -> list[int]:
        """The numbers of the controllers, or of the store's members."""
        crowd = range(STORE_MEMBERS if t.kind in ("member_down", "minority") else day.settings.controllers)
        return [n % len(crowd) for n in t.on or draw.sample(crowd, max(1, round(t.part * len(crowd))))]

    def fronts(first: dict, last: dict | None) -> list[TroubleStep]:
        there = some()
        steps = [(t.at, first), *([(end, last)] if last else [])]
        return [TroubleStep(at, "controllers", {"on": there, **what}) for at, what in steps]

    match t.kind:
        case "pause":
            return fronts({"do": "pause"}, {"do": "go on"})
        case "kill" | "leave":
            return fronts({"do": t.kind}, {"do": "start"} if t.lasts else None)
        case "join":
            on = t.on or [day.settings.controllers - 1]
            return [TroubleStep(t.at, "controllers", {"do": "start", "on": on})]
        case "clock_step":
            return fronts({"do": "clock", "step": t.extra}, {"do": "clock", "step": -t.extra})
        case "clock_fast":
            return fronts({"do": "clock", "rate": 1 + t.size / 100}, {"do": "clock", "rate": 1.0})
        case "store_cut" | "store_oneway" | "store_slow" | "store_reset":
            what = {"trouble": t.kind.removeprefix("store_"), "on": some()}
            return [
                TroubleStep(t.at, "relays", {"do": "begin", "by": t.extra, **what}),
                TroubleStep(end, "relays", {"do": "end", **what}),
            ]
        case "member_down" | "minority":
            what = {"trouble": t.kind, "on": some()}
            return [
                TroubleStep(t.at, "members", {"do": "begin", **what}),
                TroubleStep(end, "members", {"do": "end", **what}),
            ]
        case "whole" | "forgotten":
            # An operator sets each whole to `size` times what it was, and back; or deletes the documents.
            names = list(day.budgets)
            named = [names[i % len(names)] for i in t.on or range(len(names))]
            do = {"do": t.kind, "names": named}
            back = [TroubleStep(end, "etcd", do | {"times": 1.0})] if t.kind == "whole" else []
            return [TroubleStep(t.at, "etcd", do | {"times": t.size}), *back]
        case "leader_change":
            return [TroubleStep(t.at, "members", {"do": "elect", "by": t.lasts})]
        case "die":
            # The list tells of what runs: late that it is gone, late that it is back, cold.
            return [farm(t.at, "die"), told(t.at, "left"), farm(end, "start"), told(end, "started")]
        case "silent":
            return [
                farm(t.at, "silent"), farm(end - 0.1, "die"), farm(end, "heal"), farm(end, "start"),
                told(end, "started"),
            ]  # fmt: skip
        case "hang" | "lose":
            return [farm(t.at, t.kind), farm(end, "sound", fault=t.kind)]
        case "fail":
            return [farm(t.at, "fail", part=min(1.0, t.size)), farm(end, "sound", fault="fail")]
        case "notes_lost":
            return [farm(t.at, "notes_lost", part=min(1.0, t.size)), farm(end, "sound", fault="notes_lost")]
        case "slow" | "late":
            return [farm(t.at, t.kind, by=t.extra), farm(end, "sound", fault=t.kind)]
        case "sag":
            return [farm(t.at, "sag", to=1 / max(1.0, t.size)), farm(end, "sag", to=1.0)]
        case "ageing":
            steps = 8
            slower = [
                farm(t.at + t.lasts * i / steps, "sag", to=1 / (1 + (max(1.0, t.size) - 1) * i / steps))
                for i in range(1, steps + 1)
            ]
            back = end + t.extra
            return [
                *slower, farm(end, "die"), told(end, "left"), farm(back, "heal"), farm(back, "start"),
                told(back, "started"),
            ]  # fmt: skip
        case "cut":
            zone = f"z{draw.randrange(day.settings.zones)}"
            inside = [s for i, s in enumerate(streamers) if zone_of(i, day) == zone]
            outside = [s for s in streamers if s not in inside]
            fronts = [f"herongap-{c}-" for c in range(day.settings.controllers)]
            near = [f for c, f in enumerate(fronts) if f"z{c % day.settings.zones}" == zone]
            far = [f for f in fronts if f not in near]
            return [
                farm(t.at, "cut", inside, fronts=far), farm(t.at, "cut", outside, fronts=near),
                farm(end, "sound", fault="cut", names=streamers),
            ]  # fmt: skip
        case "drain":
            return [told(t.at, "leaving"), told(end, "active")]
        case "deploy":
            return _deploy(t, streamers, draw, farm, told)
        case "list_late":
            return [
                TroubleStep(t.at, "list_late", {"by": t.extra}),
                TroubleStep(end, "list_late", {"by": day.settings.list_late}),
            ]
        case "empty_list":
            return [told(t.at, "none", streamers), told(end, "back", streamers)]
        case "watch_cut":
            # Every `extra` seconds all watches break; `size` above 1: what they missed is compacted away too.
            cuts = [t.at + i * max(0.05, t.extra) for i in range(int(t.lasts / max(0.05, t.extra)))]
            return [TroubleStep(at, "etcd", {"do": "cut", "compact": t.size > 1}) for at in cuts]
        case "etcd_down":
            return [TroubleStep(t.at, "etcd", {"do": "stop"}), TroubleStep(end, "etcd", {"do": "start"})]
        case "controllers":
            lost = draw.sample(
                range(day.settings.controllers), max(1, round(t.part * day.settings.controllers))
            )
            return [
                TroubleStep(t.at, "controllers", {"do": "kill", "on": lost}),
                TroubleStep(end, "controllers", {"do": "start", "on": lost}),
            ]
    return []  # crowds and bursts are in the arrivals


def _deploy(t: Trouble, streamers: list[str], draw: random.Random, farm, told) -> list[TroubleStep]:
    """Batches drain for `extra` seconds, stop, and come back cold; `size` is the share of the fleet in a
    batch.
    """
    order = draw.sample(streamers, len(streamers))[: max(1, round(t.part * len(streamers)))]
    batch = max(1, round(min(1.0, t.size) * len(streamers)))
    batches = [order[i : i + batch] for i in range(0, len(order), batch)]
    out = []
    for i, names in enumerate(batches):
        at = t.at + t.lasts * i / len(batches)
        stop = at + t.extra
        out += [told(at, "leaving", names), farm(stop, "die", names), told(stop, "left", names)]
        out += [farm(stop + 0.5, "start", names), told(stop + 0.5, "started", names)]
    return out


def machine_profile_values(day: Day) -> dict:
    m = day.streamer_settings
    return {
        "ladder": day.settings.rates,
        "values": day.settings.values,
        "link": m.link,
        "rack": m.rack,
        "places": m.places,
        "full_from": m.full_from,
        "warm_up": m.warm_up,
        "cold_start": m.cold_start,
        "fall_multiple": m.fall_multiple,
        "tip_after": m.tip_after,
        "slack": m.slack,
        "told_late": m.told_late,
        "tell": m.tell,
        "consent": m.consent,
        "join_wait": m.join_wait,
    }


def controller_ini(day: Day, number: int, seed: int, folder: Path, members: list[str] | None = None) -> str:
    """The INI file of one controller of a day; `members` are those of an etcd that has the list."""
    s, m = day.settings, day.streamer_settings
    listed = f"[streamers]\nlist = streamers.json\nlook = {LIST_POLL_SECONDS}"
    if members:
        listed = f"[etcd]\nendpoints = {', '.join(members)}\nttl = {s.ttl}\nremembered = list-{number}"
        listed += f"\ntime_out = {s.time_out}"
    lines = [
        "[front]", "listen = 127.0.0.1:0", f"number = {number}", f"controllers = {s.controllers}",
        f"zone = z{number % s.zones}", f"seed = {seed * 1000 + number}", "log_level = info",
        "log_format = json", f"log_to = {folder / f'controller-{number}.log'}",
        f"record = {folder / '{name}.record'}",
        "[limits]", "pace = 100000", "burst = 100000", "connections_a_peer = 100000", "connections = 100000",
        "[ladder]", f"rates = {', '.join(map(str, s.rates))}", f"values = {', '.join(map(str, s.values))}",
        "[links]", f"per_weight = {m.link}", f"rack = {m.rack}", f"told_late = {m.told_late}",
        f"full_from = {m.full_from}", "[cold]", f"warm_up = {m.warm_up}", f"start = {m.cold_start}",
        f"fall_multiple = {m.fall_multiple}", f"fall_within = {m.tip_after}",
        "[places]", f"std = {m.places}",
        "[budget]", f"free = {s.extra_free}", f"share = {s.extra_share}", f"window = {s.extra_window}",
        listed, "[catalogue]", "file = catalogue.json",
    ]  # fmt: skip
    if any("dash" in package.protocol for package in day.packages.values()):
        # All fronts sign by the keys of one folder, so that streamers know those of any.
        lines += ["[dash]", f"keys = {folder / 'keys'}", "update = 1", "token = 20"]
    for name, package in day.packages.items():
        lines.append(f"[package {name}]")
        told = package.model_dump() | {"protocol": ", ".join(package.protocol)}
        lines += [f"{key} = {value}" for key, value in told.items() if key != "share"]
    for name, whole in day.budgets.items():
        lines += [f"[budget {name}]", *(f"{key} = {value}" for key, value in whole.model_dump().items())]
    return "\n".join(lines) + "\n"
