"""Converts a day of the bench to a rehearsal, reduced to a size that sockets on one machine can handle.

The rehearsal keeps the faults with their times, lengths and sizes, the packages' terms, ladder, links, places
and warm-up, and the utilization of the links. It doesn't keep the bench's own random draws, so its figures
can't be compared with the bench's.
"""

import math

from herongap.errors import UnusableInputError
from herongap.fleet.day import ClientSettings, Day, DaySettings, PackageSettings, StreamerSettings, Trouble

# Limits of sockets on one machine.
MAX_STREAMERS = 16
MAX_CONTROLLERS = 4
ARRIVALS_PER_SECOND = 45.0
# Set-ups above a cold streamer's limit that the bench tolerates, as random variation can cause a few.
COLD_SET_UP_SLACK = 1.0
MEAN_VIEWING_WARM_UPS = 3.0  # mean length of a viewing at full size, in warm-up times
MIN_REPORT_INTERVAL_SECONDS = 0.5
MICROSECONDS = 1e6  # in a second; the bench's times are in microseconds
DEFAULT_PART = 0.12  # of the streamers, for a fault that names none
REPEAT_SAFETY = {"safe": "harmless", "keyed": "in_group", "unsafe": "harmful"}
# The kinds of fault of the bench, and those of a rehearsal.
FAULT_KINDS = {
    "crash": "die",
    "vanish": "silent",
    "hang": "hang",
    "fast_errors": "fail",
    "answer_lost": "lose",
    "report_late": "late",
    "report_gap": "notes_lost",
    "slow": "sag",
    "neighbour": "sag",
    "shared_slow": "sag",
    "ageing": "ageing",
    "zone_cut": "cut",
    "deploy": "deploy",
    "discovery_stale": "list_late",
    "balancer_crash": "controllers",
    "hot_key": "crowd",
    "burst": "burst",
}
# Delayed messages between controllers: none are sent here, so the fault has no effect.
IGNORED_KINDS = {"peer_down"}


class InvalidBenchDayError(UnusableInputError):
    """The file is not a day that the bench generated for the streams family."""

    advice = "give a day as the bench writes it"


class UnplayableDayError(UnusableInputError):
    """The day has a kind of fault that a rehearsal cannot produce. It is reported, never skipped."""

    advice = "remove that fault, or run the day in the model"


def from_bench(drawn: dict, full_size: bool = False) -> Day:
    """Converts a day that the bench generated: reduced for sockets, or at full size for the model.

    Raises UnplayableDayError or ValueError.
    """
    try:
        return _day(drawn, full_size)
    except (KeyError, TypeError, IndexError) as error:
        raise InvalidBenchDayError(f"not a drawn day of the streams family: {error!r}") from error


def _day(drawn: dict, full_size: bool) -> Day:
    fam, tier = drawn["fam"], drawn["tiers"][0]
    unknown = sorted({t["kind"] for t in drawn["troubles"]} - FAULT_KINDS.keys() - IGNORED_KINDS)
    if unknown:
        raise UnplayableDayError(
            f"unsupported faults: {', '.join(unknown)}; supported are {', '.join(sorted(FAULT_KINDS))}"
        )
    streamers, controllers = len(drawn["servers"]), len(drawn["balancers"])
    if not full_size:
        streamers, controllers = min(MAX_STREAMERS, streamers), min(MAX_CONTROLLERS, controllers)
    seconds, rates = drawn["length"] / MICROSECONDS, [float(r) for r in fam["rates"]]
    kind = tier["kinds"][0]
    cores = kind["cores"]
    link = fam["core_kb"] * cores
    warm_up = kind["cold"] / MICROSECONDS
    utilization = drawn["traffic"]["load"]
    middle_rate = rates[len(rates) // 2]
    # In a rehearsal, sessions are shortened so that the links fill within a day: at the middle rate, arrivals
    # fill the same share of the links as in the bench. Set-ups for each place are then more frequent than in
    # the bench. The model can handle more streamers, so sessions there stay long compared with the warm-up,
    # during which a cold streamer fills each place once.
    concurrent_sessions = utilization * streamers * link / middle_rate
    length = (
        MEAN_VIEWING_WARM_UPS * warm_up if full_size else max(1.0, concurrent_sessions / ARRIVALS_PER_SECOND)
    )
    settings = DaySettings(
        seconds=seconds,
        rate=concurrent_sessions / length if full_size else ARRIVALS_PER_SECOND,
        controllers=controllers,
        streamers=streamers,
        zones=len(drawn["zones"]),
        racks=max(len(drawn["zones"]), min(fam["racks"], streamers // 2)),
        titles=min(fam["titles"], 60),
        holders=streamers if not fam["copies"] else max(3, math.ceil(fam["copies"] * 3)),
        popularity=fam["title_zipf"],
        length=length,
        list_late=drawn["discovery"]["notice"] / MICROSECONDS,
        rates=rates,
        values=fam["worth"],
        small_screens=fam["small_screens"],
        extra_free=drawn["budget"]["free"] if drawn.get("budget") else 1e6,
        extra_share=drawn["budget"]["share"] if drawn.get("budget") else 1.0,
        extra_window=drawn["budget"]["window"] / MICROSECONDS if drawn.get("budget") else 5.0,
    )
    uplink = sum(fam["uplink_kb"]) / len(fam["uplink_kb"]) * fam["racks"] / len(drawn["servers"])
    machines = StreamerSettings(
        link=link,
        rack=uplink * streamers / settings.racks,
        places=round(fam["core_slots"] * cores),
        full_from=fam["guard"],
        warm_up=warm_up,
        cold_start=kind["cold_from"],
        fall_multiple=drawn["fall_multiple"],
        tip_after=drawn["fall_for"] / MICROSECONDS,
        slack=COLD_SET_UP_SLACK if full_size else 0.0,
        told_late=fam["see"] / MICROSECONDS,
        tell=max(MIN_REPORT_INTERVAL_SECONDS, fam["tell"] / MICROSECONDS),
    )
    packages = {
        package["name"]: PackageSettings(
            share=package["share"],
            join_target=package["aim"] / MICROSECONDS,
            patience=package["deadline"] / MICROSECONDS,
            value=package["worth"],
            repeat=REPEAT_SAFETY[package["effect"]],
            group=package["group"],
            repeat_window=package["window"] / MICROSECONDS,
            floor=use["floor"],
            top=use["top"],
            seats=use["seats"],
            live=use["live"],
        )
        for package, use in zip(drawn["classes"], fam["uses"], strict=True)
    }
    clients = ClientSettings(returns=fam["returns"])
    return Day(settings, clients, machines, packages, dict(_troubles(drawn, streamers, seconds)))


def _troubles(drawn: dict, streamers: int, seconds: float):
    server_count, balancer_count = len(drawn["servers"]), len(drawn["balancers"])
    for number, trouble in enumerate(
        trouble for trouble in drawn["troubles"] if trouble["kind"] not in IGNORED_KINDS
    ):
        kind, at = FAULT_KINDS[trouble["kind"]], trouble["at"] / MICROSECONDS
        lasts = max(0.5, min(trouble["len"] / MICROSECONDS, seconds - at))
        size, extra = trouble["size"], trouble["extra"]
        part = len(trouble["on"]) / server_count
        if kind == "deploy":
            # The batch is a share of the fleet; the steps name all streamers that are replaced.
            part = len({name for step in trouble["steps"] for name in step["stop"]}) / server_count or 1.0
        elif kind == "controllers":
            part = max(len(trouble["on"]), 1) / balancer_count
        elif kind == "crowd":
            # The bench gives the crowd's share of all traffic, a rehearsal the ratio of additional viewers to
            # the usual ones.
            size = size / max(0.01, 1 - size)
        elif kind in ("late", "list_late"):
            extra = size
        elif kind == "notes_lost":
            size = 1.0
        name = f"{number} {trouble['kind']}"
        yield (
            name,
            Trouble(
                kind=kind, at=at, lasts=lasts, part=min(1.0, part or DEFAULT_PART), size=size, extra=extra
            ),
        )
