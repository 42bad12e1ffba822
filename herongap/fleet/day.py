"""A simulated day: its validated INI file, and the script of viewers and troubles that a seed gives.

No I/O except reading the file.
"""

import configparser
import itertools
import random
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import Field, ValidationError

from herongap.ini import Faults
from herongap.ini.parts import Figures, PackageTerms, Part, Seconds, Share, WholeTerms

PositiveCount = Annotated[int, Field(ge=1, le=10000)]
PositiveNumber = Annotated[float, Field(gt=0)]
TROUBLE_KINDS = (
    "die", "silent", "hang", "fail", "slow", "lose", "late", "sag", "ageing", "cut", "deploy", "drain",
    "list_late", "crowd", "burst", "controllers", "empty_list", "notes_lost",
    "watch_cut", "etcd_down",
    "pause", "kill", "leave", "join", "clock_step", "clock_fast",
    "store_cut", "store_oneway", "store_slow", "store_reset", "member_down", "leader_change", "minority",
    "whole", "forgotten",
)  # fmt: skip


# Interval at which a controller checks the file of its streamer list for changes.
LIST_POLL_SECONDS = 0.05
# Members of the etcd cluster.
STORE_MEMBERS = 3


class DaySettings(Part):
    """The [day] section."""

    seconds: PositiveNumber = 40.0
    rate: PositiveNumber = 50.0
    controllers: PositiveCount = 3
    streamers: PositiveCount = 16
    zones: PositiveCount = 2
    racks: PositiveCount = 4
    titles: PositiveCount = 40
    holders: PositiveCount = 5
    popularity: Annotated[float, Field(ge=0, le=3)] = 0.8
    length: PositiveNumber = 6.0
    longest: PositiveNumber = 3600.0
    list_late: Seconds = 0.5
    list_by: Literal["file", "etcd"] = "file"
    counted: Literal["fixed", "live"] = "fixed"
    ttl: Annotated[float, Field(ge=2)] = 6.0
    time_out: PositiveNumber = 2.0
    rates: Figures = [150.0, 400.0, 900.0, 1800.0]
    values: Figures = [0.3, 0.55, 0.8, 1.0]
    small_screens: Share = 0.2
    extra_free: Annotated[float, Field(ge=0)] = 5.0
    extra_share: Share = 0.1
    extra_window: PositiveNumber = 5.0


class ClientSettings(Part):
    """The [clients] section: the shares of viewers with a habit, and how viewers retry."""

    repeats: Share = 0.04
    doubles: Share = 0.02
    leaves: Share = 0.02
    trickles: Share = 0.1
    returns: Share = 0.85
    tries: PositiveCount = 3


class StreamerSettings(Part):
    """The [streamer] section."""

    link: PositiveNumber = 20000.0
    rack: PositiveNumber = 70000.0
    places: PositiveCount = 60
    full_from: Annotated[float, Field(ge=0)] = 1.2
    warm_up: PositiveNumber = 8.0
    cold_start: Annotated[float, Field(gt=0, le=1)] = 0.4
    fall_multiple: PositiveNumber = 2.5
    tip_after: PositiveNumber = 1.0
    slack: Annotated[float, Field(ge=0)] = 0.0
    told_late: Seconds = 0.4
    tell: PositiveNumber = 2.0
    consent: PositiveNumber = 5.0
    join_wait: PositiveNumber = 4.0


class PackageSettings(PackageTerms):
    """A [package NAME] section: the keys of a front's package, and its share of the viewings."""

    share: Share


class Trouble(Part):
    """A [trouble NAME] section. It affects `part` of the streamers (or controllers, or members of the store),
    or those whose numbers are given in `on`.
    """

    kind: Literal[TROUBLE_KINDS]
    at: Seconds
    lasts: Seconds = 8.0
    part: Share = 0.12
    on: list[int] | None = None
    size: float = 2.0
    extra: float = 3.0


class Day(NamedTuple):
    """One validated day."""

    settings: DaySettings
    clients: ClientSettings
    streamer_settings: StreamerSettings
    packages: dict[str, PackageSettings]
    troubles: dict[str, Trouble]
    budgets: dict[str, WholeTerms] = {}

    @property
    def late_joiners(self) -> set[int]:
        """The numbers of the controllers that start during the day instead of at its beginning."""
        number_lists = [
            trouble.on or [self.settings.controllers - 1]
            for trouble in self.troubles.values()
            if trouble.kind == "join"
        ]
        return {number for numbers in number_lists for number in numbers}


class Arrival(NamedTuple):
    """One viewer: its arrival time, what it requests, and its habit."""

    at: float
    name: str
    zone: int
    title: str
    package: str
    length: float
    top: int
    habit: str


class TroubleStep(NamedTuple):
    """One step of a trouble: a command for a target. `target` is "farm" (the streamers), "list", "list_late",
    "etcd", "controllers", "relays" or "members".
    """

    at: float
    target: str
    command: dict


class Listing:
    """The streamer list during a day: a status and a start time for each streamer."""

    def __init__(self, names: list[str]):
        self.statuses: dict[str, str] = dict.fromkeys(names, "active")
        self.started: dict[str, float | None] = dict.fromkeys(names)
        self.hidden: set[str] = set()

    def apply(self, command: dict, at: float) -> None:
        """Applies a command of a trouble step; `at` is the time of its event on the caller's clock."""
        for name in command["on"]:
            match command["standing"]:
                case "started":
                    self.statuses[name], self.started[name] = "active", at
                case "none":
                    self.hidden.add(name)
                case "back":
                    self.hidden.discard(name)
                case standing:
                    self.statuses[name] = standing

    def visible(self) -> list[tuple[str, str, float | None]]:
        """The entries that a reader of the list gets: name, status, start time."""
        return [(n, s, self.started[n]) for n, s in self.statuses.items() if n not in self.hidden]

    def unavailable(self) -> list[str]:
        """The streamers that may get no new viewings."""
        return [n for n, s in self.statuses.items() if n in self.hidden or s != "active"]


class Script(NamedTuple):
    """The events of a day: viewers, steps of troubles, and the streamers that hold each title."""

    arrivals: list[Arrival]
    steps: list[TroubleStep]
    titles: dict[str, list[str]]


def read_day(path: Path) -> Day:
    """Reads and validates a day's INI file. Raises Faults with all errors found."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise Faults(f"{path}: {error}") from error
    errors: list[str] = []
    single_sections = {"day": DaySettings, "clients": ClientSettings, "streamer": StreamerSettings}
    sections: dict = {}
    by_name: dict = {"package": {}, "trouble": {}, "budget": {}}
    models = {"package": PackageSettings, "trouble": Trouble, "budget": WholeTerms}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        model = single_sections.get(section) or models.get(kind if name else "")
        if model is None:
            errors.append(f"{path}: [{section}]: unknown section")
            continue
        values: dict = dict(parser[section])
        if "on" in values:
            values["on"] = [part.strip() for part in values["on"].split(",")]
        try:
            part = model.model_validate(values)
        except ValidationError as error:
            errors += [
                f"{path}: [{section}] {detail['loc'][0]} = {values.get(detail['loc'][0])}: {detail['msg']}"
                for detail in error.errors()
            ]
            continue
        if section in single_sections:
            sections[section] = part
        else:
            by_name[kind][name] = part
    if not by_name["package"] and not errors:
        errors.append(f"{path}: [package NAME]: at least one package is needed")
    for name, terms in by_name["budget"].items():
        if terms.member:
            errors.append(f"{path}: [budget {name}] member = {terms.member}: viewers of a day have none")
        if sections.get("day", DaySettings()).list_by != "etcd":
            errors.append(f"{path}: [budget {name}]: needs [day] list_by = etcd")
    if errors:
        raise Faults("\n".join(errors))
    return Day(
        sections.get("day", DaySettings()),
        sections.get("clients", ClientSettings()),
        sections.get("streamer", StreamerSettings()),
        by_name["package"],
        by_name["trouble"],
        by_name["budget"],
    )


def zone_of(streamer: int, day: Day) -> str:
    """The zone of a streamer."""
    return f"z{streamer % day.settings.zones}"


def rack_of(streamer: int, day: Day) -> str:
    """The rack of a streamer; all streamers of a rack are in one zone."""
    zones = day.settings.zones
    return f"rack{streamer % zones}-{streamer // zones % max(1, day.settings.racks // zones)}"


def script(day: Day, seed: int) -> Script:
    """The viewers and the trouble steps of a day, the same for the same seed.

    Titles, viewers and each trouble have a random generator of their own, so that a change of one leaves the
    others as they are.
    """
    streamers = [f"s{i}" for i in range(day.settings.streamers)]
    rng = random.Random(f"titles {seed}")
    titles = {
        str(n): sorted(rng.sample(streamers, min(len(streamers), max(3, day.settings.holders))))
        for n in range(1, day.settings.titles + 1)
    }
    steps: list[TroubleStep] = []
    for name, trouble in day.troubles.items():
        steps += _trouble_steps(day, trouble, streamers, random.Random(f"trouble {name} {seed}"))
    return Script(_arrivals(day, seed), sorted(steps, key=lambda o: o.at), titles)


def _arrivals(day: Day, seed: int) -> list[Arrival]:
    """The viewers of a day: a Poisson process whose rate rises during crowds and bursts."""
    rng = random.Random(f"viewers {seed}")
    names = list(day.packages)
    shares = [day.packages[n].share for n in names]
    weights = [1 / n**day.settings.popularity for n in range(1, day.settings.titles + 1)]
    habits = ("repeats", "doubles", "leaves", "trickles")
    habit_shares = [getattr(day.clients, habit) for habit in habits]
    peak = day.settings.rate * max(
        [1.0, *(1 + trouble.size for trouble in day.troubles.values() if trouble.kind in ("crowd", "burst"))]
    )
    arrivals, at = [], 0.0
    for number in itertools.count():
        # Thinning: candidates arrive at the peak rate, and each is kept with probability rate / peak.
        at += rng.expovariate(peak)
        if at >= day.settings.seconds:
            return arrivals
        crowds = [
            trouble
            for trouble in day.troubles.values()
            if trouble.kind in ("crowd", "burst") and trouble.at <= at < trouble.at + trouble.lasts
        ]
        rate = day.settings.rate * (
            1 + sum(trouble.size - 1 if trouble.kind == "burst" else trouble.size for trouble in crowds)
        )
        keep, choice, habit = rng.random() * peak < rate, rng.random(), rng.random()
        title = str(rng.choices(range(1, day.settings.titles + 1), weights)[0])
        package = rng.choices(names, shares)[0]
        small = rng.random() < day.settings.small_screens
        length, zone = rng.expovariate(1 / day.settings.length), rng.randrange(day.settings.zones)
        if not keep:
            continue
        for crowd in crowds:
            # The additional viewers of a crowd request one of its few titles.
            if crowd.kind == "crowd" and choice * rate / day.settings.rate < crowd.size:
                title = str(1 + int(crowd.at * 7 + choice * 1000) % max(1, int(crowd.extra)))
        habit = next(
            (h for h, edge in zip(habits, itertools.accumulate(habit_shares), strict=True) if habit < edge),
            "plain",
        )
        top = len(day.settings.rates) - 1
        length = min(0.5 + length, day.settings.longest)
        arrivals.append(
            Arrival(at, f"w{number}", zone, title, package, length, max(1, top - 2) if small else top, habit)
        )


def _trouble_steps(day: Day, trouble: Trouble, streamers: list[str], rng: random.Random) -> list[TroubleStep]:
    """The steps of one trouble; `rng` draws what it affects unless `on` names it."""
    count = max(1, round(trouble.part * len(streamers)))
    on = (
        [streamers[i % len(streamers)] for i in trouble.on]
        if trouble.on
        else sorted(rng.sample(streamers, count))
    )
    end = trouble.at + trouble.lasts

    def streamer_step(at: float, do: str, names=on, **more) -> TroubleStep:
        return TroubleStep(at, "farm", {"do": do, "on": list(names), **more})

    def list_step(at: float, standing: str, names=on) -> TroubleStep:
        return TroubleStep(at, "list", {"standing": standing, "on": list(names)})

    def affected_numbers() -> list[int]:
        """The numbers of the affected controllers or members of the store."""
        crowd = range(
            STORE_MEMBERS if trouble.kind in ("member_down", "minority") else day.settings.controllers
        )
        return [
            n % len(crowd) for n in trouble.on or rng.sample(crowd, max(1, round(trouble.part * len(crowd))))
        ]

    def controller_steps(first: dict, last: dict | None) -> list[TroubleStep]:
        numbers = affected_numbers()
        steps = [(trouble.at, first), *([(end, last)] if last else [])]
        return [TroubleStep(at, "controllers", {"on": numbers, **what}) for at, what in steps]

    match trouble.kind:
        case "pause":
            return controller_steps({"do": "pause"}, {"do": "go on"})
        case "kill" | "leave":
            return controller_steps({"do": trouble.kind}, {"do": "start"} if trouble.lasts else None)
        case "join":
            on = trouble.on or [day.settings.controllers - 1]
            return [TroubleStep(trouble.at, "controllers", {"do": "start", "on": on})]
        case "clock_step":
            return controller_steps(
                {"do": "clock", "step": trouble.extra}, {"do": "clock", "step": -trouble.extra}
            )
        case "clock_fast":
            return controller_steps(
                {"do": "clock", "rate": 1 + trouble.size / 100}, {"do": "clock", "rate": 1.0}
            )
        case "store_cut" | "store_oneway" | "store_slow" | "store_reset":
            what = {"trouble": trouble.kind.removeprefix("store_"), "on": affected_numbers()}
            return [
                TroubleStep(trouble.at, "relays", {"do": "begin", "by": trouble.extra, **what}),
                TroubleStep(end, "relays", {"do": "end", **what}),
            ]
        case "member_down" | "minority":
            what = {"trouble": trouble.kind, "on": affected_numbers()}
            return [
                TroubleStep(trouble.at, "members", {"do": "begin", **what}),
                TroubleStep(end, "members", {"do": "end", **what}),
            ]
        case "whole" | "forgotten":
            # An operator sets each budget to `size` times its value and back, or deletes the documents.
            names = list(day.budgets)
            chosen = [names[i % len(names)] for i in trouble.on or range(len(names))]
            do = {"do": trouble.kind, "names": chosen}
            back = [TroubleStep(end, "etcd", do | {"times": 1.0})] if trouble.kind == "whole" else []
            return [TroubleStep(trouble.at, "etcd", do | {"times": trouble.size}), *back]
        case "leader_change":
            return [TroubleStep(trouble.at, "members", {"do": "elect", "by": trouble.lasts})]
        case "die":
            # The list reports the end and the restart of the process, each with the delay of the list.
            return [
                streamer_step(trouble.at, "die"),
                list_step(trouble.at, "left"),
                streamer_step(end, "start"),
                list_step(end, "started"),
            ]
        case "silent":
            return [
                streamer_step(trouble.at, "silent"), streamer_step(end - 0.1, "die"),
                streamer_step(end, "heal"), streamer_step(end, "start"),
                list_step(end, "started"),
            ]  # fmt: skip
        case "hang" | "lose":
            return [streamer_step(trouble.at, trouble.kind), streamer_step(end, "sound", fault=trouble.kind)]
        case "fail":
            return [
                streamer_step(trouble.at, "fail", part=min(1.0, trouble.size)),
                streamer_step(end, "sound", fault="fail"),
            ]
        case "notes_lost":
            return [
                streamer_step(trouble.at, "notes_lost", part=min(1.0, trouble.size)),
                streamer_step(end, "sound", fault="notes_lost"),
            ]
        case "slow" | "late":
            return [
                streamer_step(trouble.at, trouble.kind, by=trouble.extra),
                streamer_step(end, "sound", fault=trouble.kind),
            ]
        case "sag":
            return [
                streamer_step(trouble.at, "sag", to=1 / max(1.0, trouble.size)),
                streamer_step(end, "sag", to=1.0),
            ]
        case "ageing":
            steps = 8
            slower = [
                streamer_step(
                    trouble.at + trouble.lasts * i / steps,
                    "sag",
                    to=1 / (1 + (max(1.0, trouble.size) - 1) * i / steps),
                )
                for i in range(1, steps + 1)
            ]
            back = end + trouble.extra
            return [
                *slower, streamer_step(end, "die"), list_step(end, "left"),
                streamer_step(back, "heal"), streamer_step(back, "start"),
                list_step(back, "started"),
            ]  # fmt: skip
        case "cut":
            zone = f"z{rng.randrange(day.settings.zones)}"
            inside = [s for i, s in enumerate(streamers) if zone_of(i, day) == zone]
            outside = [s for s in streamers if s not in inside]
            fronts = [f"herongap-{c}-" for c in range(day.settings.controllers)]
            near = [f for c, f in enumerate(fronts) if f"z{c % day.settings.zones}" == zone]
            far = [f for f in fronts if f not in near]
            return [
                streamer_step(trouble.at, "cut", inside, fronts=far),
                streamer_step(trouble.at, "cut", outside, fronts=near),
                streamer_step(end, "sound", fault="cut", names=streamers),
            ]  # fmt: skip
        case "drain":
            return [list_step(trouble.at, "leaving"), list_step(end, "active")]
        case "deploy":
            return _deploy(trouble, streamers, rng, streamer_step, list_step)
        case "list_late":
            return [
                TroubleStep(trouble.at, "list_late", {"by": trouble.extra}),
                TroubleStep(end, "list_late", {"by": day.settings.list_late}),
            ]
        case "empty_list":
            return [list_step(trouble.at, "none", streamers), list_step(end, "back", streamers)]
        case "watch_cut":
            # Every `extra` seconds all watches are cut; with `size` above 1 the revisions that they missed
            # are compacted as well.
            cuts = [
                trouble.at + i * max(0.05, trouble.extra)
                for i in range(int(trouble.lasts / max(0.05, trouble.extra)))
            ]
            return [TroubleStep(at, "etcd", {"do": "cut", "compact": trouble.size > 1}) for at in cuts]
        case "etcd_down":
            return [
                TroubleStep(trouble.at, "etcd", {"do": "stop"}),
                TroubleStep(end, "etcd", {"do": "start"}),
            ]
        case "controllers":
            lost = rng.sample(
                range(day.settings.controllers), max(1, round(trouble.part * day.settings.controllers))
            )
            return [
                TroubleStep(trouble.at, "controllers", {"do": "kill", "on": lost}),
                TroubleStep(end, "controllers", {"do": "start", "on": lost}),
            ]
    return []  # crowds and bursts change the arrivals only


def _deploy(
    trouble: Trouble, streamers: list[str], rng: random.Random, streamer_step, list_step
) -> list[TroubleStep]:
    """Steps of a rolling deployment: batches drain for `extra` seconds, stop, and restart cold.

    `size` is the share of the streamers in a batch.
    """
    order = rng.sample(streamers, len(streamers))[: max(1, round(trouble.part * len(streamers)))]
    batch = max(1, round(min(1.0, trouble.size) * len(streamers)))
    batches = [order[i : i + batch] for i in range(0, len(order), batch)]
    steps = []
    for i, names in enumerate(batches):
        at = trouble.at + trouble.lasts * i / len(batches)
        stop = at + trouble.extra
        steps += [
            list_step(at, "leaving", names),
            streamer_step(stop, "die", names),
            list_step(stop, "left", names),
        ]
        steps += [streamer_step(stop + 0.5, "start", names), list_step(stop + 0.5, "started", names)]
    return steps


def machine_profile_values(day: Day) -> dict:
    """The fields of `MachineProfile` that a day sets."""
    streamers = day.streamer_settings
    return {
        "ladder": day.settings.rates,
        "values": day.settings.values,
        "link": streamers.link,
        "rack": streamers.rack,
        "places": streamers.places,
        "full_from": streamers.full_from,
        "warm_up": streamers.warm_up,
        "cold_start": streamers.cold_start,
        "fall_multiple": streamers.fall_multiple,
        "tip_after": streamers.tip_after,
        "slack": streamers.slack,
        "told_late": streamers.told_late,
        "tell": streamers.tell,
        "consent": streamers.consent,
        "join_wait": streamers.join_wait,
    }


def controller_ini(day: Day, number: int, seed: int, folder: Path, members: list[str] | None = None) -> str:
    """The INI file of one controller. `members` are the etcd members that have the streamer list."""
    settings, streamers = day.settings, day.streamer_settings
    list_section = f"[streamers]\nlist = streamers.json\nlook = {LIST_POLL_SECONDS}"
    if members:
        list_section = (
            f"[etcd]\nendpoints = {', '.join(members)}\nttl = {settings.ttl}\nremembered = list-{number}"
        )
        list_section += f"\ntime_out = {settings.time_out}"
    lines = [
        "[front]", "listen = 127.0.0.1:0", f"number = {number}", f"controllers = {settings.controllers}",
        f"zone = z{number % settings.zones}", f"seed = {seed * 1000 + number}", "log_level = info",
        "log_format = json", f"log_to = {folder / f'controller-{number}.log'}",
        f"record = {folder / '{name}.record'}",
        "[limits]", "pace = 100000", "burst = 100000", "connections_a_peer = 100000", "connections = 100000",
        "[ladder]", f"rates = {', '.join(map(str, settings.rates))}",
        f"values = {', '.join(map(str, settings.values))}",
        "[links]", f"per_weight = {streamers.link}", f"rack = {streamers.rack}",
        f"told_late = {streamers.told_late}",
        f"full_from = {streamers.full_from}", "[cold]", f"warm_up = {streamers.warm_up}",
        f"start = {streamers.cold_start}",
        f"fall_multiple = {streamers.fall_multiple}", f"fall_within = {streamers.tip_after}",
        "[places]", f"std = {streamers.places}",
        "[budget]", f"free = {settings.extra_free}", f"share = {settings.extra_share}",
        f"window = {settings.extra_window}",
        list_section, "[catalogue]", "file = catalogue.json",
    ]  # fmt: skip
    if any("dash" in package.protocol for package in day.packages.values()):
        # All controllers use the keys of one folder, so that streamers can verify all tokens.
        lines += ["[dash]", f"keys = {folder / 'keys'}", "update = 1", "token = 20"]
    for name, package in day.packages.items():
        lines.append(f"[package {name}]")
        values = package.model_dump() | {"protocol": ", ".join(package.protocol)}
        lines += [f"{key} = {value}" for key, value in values.items() if key != "share"]
    for name, terms in day.budgets.items():
        lines += [f"[budget {name}]", *(f"{key} = {value}" for key, value in terms.model_dump().items())]
    return "\n".join(lines) + "\n"
