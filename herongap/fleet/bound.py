"""An upper bound on the service of any controller, from linear programs over windows of time.

In each window, x(group, streamer, rung) is the mean number of viewings of a group (package, holders, highest
rung) that play at a streamer on a rung. It is limited by the demand of the group's viewers in the window, the
streamer's link and places, and the uplink of its rack, each as the troubles of the day reduce them. The bound
assumes knowledge of the whole day, free moves between windows, set-ups that take no time, and requests that
need not be answered. So it is above the service of every controller; how far it is above the best possible
one is not known.

A viewing loses `stall` of its value for each point under 0.98 of its rate. Overloading a link further never
pays while stall * 0.98 > 1, so capacities of 1/0.98 of the configured ones are valid for any demand. If that
condition does not hold, no bound is computed.
"""

from collections import defaultdict
from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import csr_matrix

from herongap.errors import UnusableInputError
from herongap.fleet import day as days
from herongap.fleet.day import Day, Script
from herongap.fleet.machine import MachineProfile

# Length of a window; its capacities are the highest within it.
WINDOW_SECONDS = 2.5
# Longest time from a viewer's last second of play, or from a rejection, to its next request.
MAX_RETRY_GAP_SECONDS = 6.0


class BoundUnavailableError(UnusableInputError):
    """The bound of a day cannot be computed."""

    advice = "set bound_days = 0, or a higher cost of stalls"


class Bound(NamedTuple):
    """`service` is a part of the requested value. `binds` is the share of each kind of constraint in limiting
    it: its dual price times its size, over their sum."""

    service: float
    binds: dict[str, float]


def bound(day: Day, script: Script) -> Bound:
    """The bound of one day and script."""
    profile = MachineProfile(**days.machine_profile_values(day))
    if profile.stall * 0.98 <= max(profile.values):
        raise BoundUnavailableError("stalls cost too little for this bound: overloading a link could pay")
    edges = np.arange(0.0, day.settings.seconds + 60.0, WINDOW_SECONDS)
    demand, totals, offered = _demand(day, script, edges)
    program = _Program(day, profile, list(demand))
    for w, parts in enumerate(_capacities(day, script, profile, edges)):
        program.window(parts, {key: seconds[w] for key, seconds in demand.items() if seconds[w] > 0})
    value, prices = program.solve(totals)
    total = sum(prices.values()) or 1.0
    # Both values are sums of the same terms in another order: their quotient may lie a bit above 1.
    service = min(1.0, value / max(offered, 1e-9))
    return Bound(service, {kind: price / total for kind, price in sorted(prices.items())})


def _demand(day: Day, script: Script, edges: np.ndarray) -> tuple[dict, dict, float]:
    """Seconds that each group may play in each window and in total, and the value that all viewers request.

    A viewer that is interrupted or rejected requests the rest later. So it may play in any window from its
    arrival until its attempts are used up, but in total no longer than its length.
    """
    demand: dict[tuple, np.ndarray] = defaultdict(lambda: np.zeros(len(edges)))
    totals: dict[tuple, float] = defaultdict(float)
    offered = 0.0
    for arrival in script.arrivals:
        terms = day.packages[arrival.package]
        key = arrival.package, tuple(script.titles[arrival.title]), min(arrival.top, terms.top)
        totals[key] += arrival.length
        offered += arrival.length * terms.value * day.settings.values[arrival.top]
        latest_end = (
            arrival.at + arrival.length + (terms.patience + MAX_RETRY_GAP_SECONDS) * (day.clients.tries - 1)
        )
        for w in range(
            int(arrival.at // WINDOW_SECONDS), min(int(latest_end // WINDOW_SECONDS), len(edges) - 1) + 1
        ):
            begin, end = max(arrival.at, edges[w]), min(latest_end, edges[w] + WINDOW_SECONDS)
            demand[key][w] += max(0.0, min(end - begin, arrival.length))
    return demand, totals, offered


def _capacities(
    day: Day, script: Script, profile: MachineProfile, edges: np.ndarray
) -> list[dict[str, float]]:
    """The highest available part of its link, for each streamer in each window."""
    state: dict[str, list[tuple[float, float]]] = {
        f"s{i}": [(0.0, 1.0)] for i in range(day.settings.streamers)
    }
    link_factor = dict.fromkeys(state, 1.0)
    silencing_faults: dict[str, set[str]] = {name: set() for name in state}
    down = dict.fromkeys(state, False)
    for step in script.steps:
        if step.target != "farm":
            continue
        action = step.command["do"]
        for name in step.command["on"]:
            if action in ("silent", "hang"):
                silencing_faults[name].add(action)
            elif action == "sound":
                silencing_faults[name].discard(step.command["fault"])
            elif action == "heal":
                silencing_faults[name].clear()
                link_factor[name] = 1.0
            elif action == "sag":
                link_factor[name] = step.command["to"]
            elif action in ("die", "start"):
                down[name] = action == "die"
            state[name].append((step.at, 0.0 if down[name] or silencing_faults[name] else link_factor[name]))
    parts = []
    for edge in edges:
        window = {}
        for name, steps in state.items():
            before = [part for at, part in steps if at <= edge][-1]
            within = [part for at, part in steps if edge < at < edge + WINDOW_SECONDS]
            window[name] = max([before, *within])
        parts.append(window)
    return parts


class _Program:
    """A linear program over all windows: columns are (window, group, streamer, rung), rows constraints."""

    def __init__(self, day: Day, profile: MachineProfile, groups: list[tuple]):
        self.day, self.profile, self.groups = day, profile, {key: i for i, key in enumerate(groups)}
        self.names = [f"s{i}" for i in range(day.settings.streamers)]
        self.racks = [days.rack_of(i, day) for i in range(day.settings.streamers)]
        self.rows: list[int] = []
        self.columns: list[int] = []
        self.data: list[float] = []
        self.gains: list[float] = []
        self.group_of: list[int] = []
        # The size and the kind of each row, in the order in which windows are added.
        self.sizes: list[float] = []
        self.kinds: list[str] = []

    def _row(self, size: float, kind: str) -> int:
        """Adds a constraint and returns the index of its row."""
        self.sizes.append(size)
        self.kinds.append(kind)
        return len(self.sizes) - 1

    def window(self, parts: dict[str, float], demand: dict[tuple, float]) -> None:
        """Adds a window with the available `parts` of the streamers' links and the seconds of each group."""
        profile, place = self.profile, {name: i for i, name in enumerate(self.names)}
        links = [self._row(profile.link * parts[name] / 0.98, "links") for name in self.names]
        uplinks = {rack: self._row(profile.rack / 0.98, "uplinks") for rack in sorted(set(self.racks))}
        places = [self._row(float(profile.places), "places") for _ in self.names]
        for key, seconds in demand.items():
            package, holders, top = key
            terms = self.day.packages[package]
            demand_row = self._row(seconds / WINDOW_SECONDS, "viewers")
            for holder in holders:
                s = place[holder]
                for rung in range(terms.floor, top + 1) if parts[holder] > 0 else ():
                    rate, column = profile.ladder[rung], len(self.gains)
                    self.rows += [links[s], uplinks[self.racks[s]], places[s], demand_row]
                    self.columns += [column] * 4
                    self.data += [rate, rate, 1.0, 1.0]
                    self.gains.append(terms.value * profile.values[rung] * WINDOW_SECONDS)
                    self.group_of.append(self.groups[key])

    def solve(self, totals: dict[tuple, float]) -> tuple[float, dict[str, float]]:
        """The highest value, and for each kind of constraint the sum of dual price times size."""
        first = len(self.sizes)
        for key in self.groups:
            self._row(totals[key] / WINDOW_SECONDS, "viewers")
        rows = np.concatenate([self.rows, first + np.array(self.group_of)])
        columns = np.concatenate([self.columns, np.arange(len(self.gains))])
        data = np.concatenate([self.data, np.ones(len(self.gains))])
        matrix = csr_matrix((data, (rows, columns)), shape=(len(self.sizes), len(self.gains)))
        solved = linprog(
            -np.array(self.gains), A_ub=matrix, b_ub=self.sizes, bounds=(0, None), method="highs"
        )
        if not solved.success:
            raise BoundUnavailableError(f"the linear program failed: {solved.message}")
        prices: dict[str, float] = defaultdict(float)
        for price, size, kind in zip(-solved.ineqlin.marginals, self.sizes, self.kinds, strict=True):
            prices[kind] += max(0.0, price) * size  # the solver's rounding may leave a price just below 0
        return -solved.fun, prices
