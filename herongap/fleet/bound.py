"""An upper bound on service that no controller could pass, by linear programs over windows of time.

In each window, x(group, streamer, rung) is the mean number of viewings of a group (package, holders, highest
rung) that play at a streamer on a rung. They may not exceed what the group's viewers want in the window, nor
the streamer's link and places, nor its rack's uplink, as the troubles of the day leave them. Knowing all
beforehand, moving freely between windows, setting up at once and giving no answer at all are allowed to the
bound, so it lies above any controller; how far above the best possible one is not known.

A viewing loses `stall` of its value for each point under 0.98 of its rate. Overrunning a link by more never
pays while stall * 0.98 > 1, so capacities of 1/0.98 of the stated ones hold whatever is asked; where that
fails the bound is refused.
"""

from collections import defaultdict
from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import csr_matrix

from herongap.errors import Unusable
from herongap.fleet import day as days
from herongap.fleet.day import Day, Script
from herongap.fleet.machine import MachineProfile

WINDOW = 2.5  # seconds; capacities are those of the best moment within one
AWAY = 6.0  # seconds, at most, from a viewer's last second of play or its block to its next request


class NoBound(Unusable):
    """A day of which the bound cannot be computed."""

    advice = "set bound_days = 0, or a stall that costs more"


class Bound(NamedTuple):
    """`service` as a part of the value asked for; `binds` is the part of the value that each kind of
    constraint holds back at the margin (its dual price times its size, over their sum)."""

    service: float
    binds: dict[str, float]


def bound(day: Day, script: Script) -> Bound:
    """The bound of one day's script; the same day and script that a controller is given."""
    kind = MachineProfile(**days.machine_profile_values(day))
    if kind.stall * 0.98 <= max(kind.values):
        raise NoBound("stalls cost too little for this bound: overrunning a link could pay")
    edges = np.arange(0.0, day.settings.seconds + 60.0, WINDOW)
    wants, totals, offered = _wants(day, script, edges)
    program = _Program(day, kind, list(wants))
    for w, parts in enumerate(_capacities(day, script, kind, edges)):
        program.window(parts, {key: seconds[w] for key, seconds in wants.items() if seconds[w] > 0})
    value, prices = program.solve(totals)
    total = sum(prices.values()) or 1.0
    return Bound(value / max(offered, 1e-9), {what: price / total for what, price in sorted(prices.items())})


def _wants(day: Day, script: Script, edges: np.ndarray) -> tuple[dict, dict, float]:
    """Seconds that each group may play in each window, and in all; and the value that all viewers ask for.

    A viewer that is interrupted or turned away wants the rest later, so it may play in any window from its
    arrival until its tries are used up; in all windows together no longer than it wants.
    """
    wants: dict[tuple, np.ndarray] = defaultdict(lambda: np.zeros(len(edges)))
    totals: dict[tuple, float] = defaultdict(float)
    offered = 0.0
    for a in script.arrivals:
        terms = day.packages[a.package]
        key = a.package, tuple(script.titles[a.title]), min(a.top, terms.top)
        totals[key] += a.length
        offered += a.length * terms.value * day.settings.values[a.top]
        reach = a.at + a.length + (terms.patience + AWAY) * (day.clients.tries - 1)
        for w in range(int(a.at // WINDOW), min(int(reach // WINDOW), len(edges) - 1) + 1):
            begin, end = max(a.at, edges[w]), min(reach, edges[w] + WINDOW)
            wants[key][w] += max(0.0, min(end - begin, a.length))
    return wants, totals, offered


def _capacities(day: Day, script: Script, kind: MachineProfile, edges: np.ndarray) -> list[dict[str, float]]:
    """The part of its link that each streamer has in each window, at the best moment within it."""
    state: dict[str, list[tuple[float, float]]] = {
        f"s{i}": [(0.0, 1.0)] for i in range(day.settings.streamers)
    }
    sag = dict.fromkeys(state, 1.0)
    quiet: dict[str, set[str]] = {name: set() for name in state}
    down = dict.fromkeys(state, False)
    for order in script.steps:
        if order.target != "farm":
            continue
        what = order.command["do"]
        for name in order.command["on"]:
            if what in ("silent", "hang"):
                quiet[name].add(what)
            elif what == "sound":
                quiet[name].discard(order.command["fault"])
            elif what == "heal":
                quiet[name].clear()
                sag[name] = 1.0
            elif what == "sag":
                sag[name] = order.command["to"]
            elif what in ("die", "start"):
                down[name] = what == "die"
            state[name].append((order.at, 0.0 if down[name] or quiet[name] else sag[name]))
    parts = []
    for edge in edges:
        window = {}
        for name, steps in state.items():
            before = [part for at, part in steps if at <= edge][-1]
            within = [part for at, part in steps if edge < at < edge + WINDOW]
            window[name] = max([before, *within])
        parts.append(window)
    return parts


class _Program:
    """One linear program over all windows: columns are (window, group, streamer, rung), rows what limits
    them.
    """

    def __init__(self, day: Day, kind: MachineProfile, groups: list[tuple]):
        self.day, self.kind, self.groups = day, kind, {key: i for i, key in enumerate(groups)}
        self.names = [f"s{i}" for i in range(day.settings.streamers)]
        self.racks = [days.rack_of(i, day) for i in range(day.settings.streamers)]
        self.rows: list[int] = []
        self.columns: list[int] = []
        self.data: list[float] = []
        self.gains: list[float] = []
        self.group_of: list[int] = []
        # Rows come in by windows; each has a size and a kind.
        self.sizes: list[float] = []
        self.kinds: list[str] = []

    def _row(self, size: float, what: str) -> int:
        self.sizes.append(size)
        self.kinds.append(what)
        return len(self.sizes) - 1

    def window(self, parts: dict[str, float], wants: dict[tuple, float]) -> None:
        """Add a window: the part of its link that each streamer has, the seconds that groups want."""
        kind, place = self.kind, {name: i for i, name in enumerate(self.names)}
        links = [self._row(kind.link * parts[name] / 0.98, "links") for name in self.names]
        uplinks = {rack: self._row(kind.rack / 0.98, "uplinks") for rack in sorted(set(self.racks))}
        places = [self._row(float(kind.places), "places") for _ in self.names]
        for key, seconds in wants.items():
            package, holders, top = key
            terms = self.day.packages[package]
            demand = self._row(seconds / WINDOW, "viewers")
            for holder in holders:
                s = place[holder]
                for rung in range(terms.floor, top + 1) if parts[holder] > 0 else ():
                    rate, column = kind.ladder[rung], len(self.gains)
                    self.rows += [links[s], uplinks[self.racks[s]], places[s], demand]
                    self.columns += [column] * 4
                    self.data += [rate, rate, 1.0, 1.0]
                    self.gains.append(terms.value * kind.values[rung] * WINDOW)
                    self.group_of.append(self.groups[key])

    def solve(self, totals: dict[tuple, float]) -> tuple[float, dict[str, float]]:
        """The best value, and the part of it that each kind of constraint holds back at the margin."""
        first = len(self.sizes)
        for key in self.groups:
            self._row(totals[key] / WINDOW, "viewers")
        rows = np.concatenate([self.rows, first + np.array(self.group_of)])
        columns = np.concatenate([self.columns, np.arange(len(self.gains))])
        data = np.concatenate([self.data, np.ones(len(self.gains))])
        matrix = csr_matrix((data, (rows, columns)), shape=(len(self.sizes), len(self.gains)))
        solved = linprog(
            -np.array(self.gains), A_ub=matrix, b_ub=self.sizes, bounds=(0, None), method="highs"
        )
        if not solved.success:
            raise NoBound(f"the linear program failed: {solved.message}")
        prices: dict[str, float] = defaultdict(float)
        for price, size, what in zip(-solved.ineqlin.marginals, self.sizes, self.kinds, strict=True):
            prices[what] += price * size
        return -solved.fun, prices
