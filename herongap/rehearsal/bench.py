"""A bench day as a rehearsal: its kinds of trouble, at the size that sockets on one machine bear.

What is taken over: the troubles with their times, lengths and sizes, the packages' terms, ladder, links,
places, warm-up, and how full the links would be. What is not: the bench's own random draws, so figures are
not compared.
"""

import math

from herongap.errors import Unusable
from herongap.fleet.day import ClientSettings, Day, DaySettings, PackageSettings, StreamerSettings, Trouble

STREAMERS, CONTROLLERS, RATE = 16, 4, 45.0  # what sockets on one machine bear
SLACK = 1.0  # set-ups more that a cold streamer bears: the bench allows a little for chance
LONG = 3.0  # warm-ups that a viewing of a whole day lasts on the mean
REPEATS = {"safe": "harmless", "keyed": "in_group", "unsafe": "harmful"}
# The bench's kind of trouble, ours, and what its size and extra become.
KINDS = {
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
# Messages between controllers are held up: none are sent here, so such a trouble changes nothing.
NO_MATTER = {"peer_down"}


class Undrawn(Unusable):
    """A file that is no drawn day of this family."""

    advice = "give a day as the bench writes it"


class Unplayable(Unusable):
    """A day with a kind of trouble that sockets cannot play here; it is named, never skipped."""

    advice = "leave that trouble out, or play the day in the model"


def from_bench(drawn: dict, whole: bool = False) -> Day:
    """The day of a file that the bench's draw wrote, cut to what sockets bear, or `whole` for the model.

    Raises Unplayable or ValueError.
    """
    try:
        return _day(drawn, whole)
    except (KeyError, TypeError, IndexError) as fault:
        raise Undrawn(f"not a drawn day of the streams family: {fault!r}") from fault


def _day(drawn: dict, whole: bool) -> Day:
    fam, tier = drawn["fam"], drawn["tiers"][0]
    unknown = sorted({t["kind"] for t in drawn["troubles"]} - KINDS.keys() - NO_MATTER)
    if unknown:
        raise Unplayable(f"no way to play {', '.join(unknown)}; known are {', '.join(sorted(KINDS))}")
    streamers, controllers = len(drawn["servers"]), len(drawn["balancers"])
    if not whole:
        streamers, controllers = min(STREAMERS, streamers), min(CONTROLLERS, controllers)
    seconds, rates = drawn["length"] / 1e6, [float(r) for r in fam["rates"]]
    kind = tier["kinds"][0]
    cores = kind["cores"]
    link = fam["core_kb"] * cores
    warm = kind["cold"] / 1e6
    load = drawn["traffic"]["load"]
    middle = rates[len(rates) // 2]
    # Sessions are shortened, so that a day's links fill, and arrivals are as many as fill the same part of
    # them at the middle rate. For a place, set-ups then come faster than drawn; in the model, which bears
    # more streamers, sessions stay long beside a warm-up, in which a cold streamer takes its places once.
    filled = load * streamers * link / middle
    length = LONG * warm if whole else max(1.0, filled / RATE)
    size = DaySettings(
        seconds=seconds,
        rate=filled / length if whole else RATE,
        controllers=controllers,
        streamers=streamers,
        zones=len(drawn["zones"]),
        racks=max(len(drawn["zones"]), min(fam["racks"], streamers // 2)),
        titles=min(fam["titles"], 60),
        holders=streamers if not fam["copies"] else max(3, math.ceil(fam["copies"] * 3)),
        popularity=fam["title_zipf"],
        length=length,
        list_late=drawn["discovery"]["notice"] / 1e6,
        rates=rates,
        values=fam["worth"],
        small_screens=fam["small_screens"],
        extra_free=drawn["budget"]["free"] if drawn.get("budget") else 1e6,
        extra_share=drawn["budget"]["share"] if drawn.get("budget") else 1.0,
        extra_window=drawn["budget"]["window"] / 1e6 if drawn.get("budget") else 5.0,
    )
    uplink = sum(fam["uplink_kb"]) / len(fam["uplink_kb"]) * fam["racks"] / len(drawn["servers"])
    machines = StreamerSettings(
        link=link,
        rack=uplink * streamers / size.racks,
        places=round(fam["core_slots"] * cores),
        full_from=fam["guard"],
        warm_up=warm,
        cold_start=kind["cold_from"],
        fall_multiple=drawn["fall_multiple"],
        tip_after=drawn["fall_for"] / 1e6,
        slack=SLACK if whole else 0.0,
        told_late=fam["see"] / 1e6,
        tell=max(0.5, fam["tell"] / 1e6),
    )
    packages = {
        c["name"]: PackageSettings(
            share=c["share"],
            join_target=c["aim"] / 1e6,
            patience=c["deadline"] / 1e6,
            value=c["worth"],
            repeat=REPEATS[c["effect"]],
            group=c["group"],
            repeat_window=c["window"] / 1e6,
            floor=use["floor"],
            top=use["top"],
            seats=use["seats"],
            live=use["live"],
        )
        for c, use in zip(drawn["classes"], fam["uses"], strict=True)
    }
    clients = ClientSettings(returns=fam["returns"])
    return Day(size, clients, machines, packages, dict(_troubles(drawn, streamers, seconds)))


def _troubles(drawn: dict, streamers: int, seconds: float):
    servers, balancers = len(drawn["servers"]), len(drawn["balancers"])
    for number, t in enumerate(t for t in drawn["troubles"] if t["kind"] not in NO_MATTER):
        kind, at = KINDS[t["kind"]], t["at"] / 1e6
        lasts = max(0.5, min(t["len"] / 1e6, seconds - at))
        size, extra = t["size"], t["extra"]
        part = len(t["on"]) / servers
        if kind == "deploy":
            # Its batch is a share of the fleet; its steps name all that are replaced.
            part = len({name for step in t["steps"] for name in step["stop"]}) / servers or 1.0
        elif kind == "controllers":
            part = max(len(t["on"]), 1) / balancers
        elif kind == "crowd":
            # The crowd's share of all traffic, as viewers beside the usual ones.
            size = size / max(0.01, 1 - size)
        elif kind in ("late", "list_late"):
            extra = size
        elif kind == "notes_lost":
            size = 1.0
        name = f"{number} {t['kind']}"
        yield (
            name,
            Trouble(kind=kind, at=at, lasts=lasts, part=min(1.0, part or 0.12), size=size, extra=extra),
        )
