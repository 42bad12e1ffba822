"""Rung control: steps playing viewings down on overloaded links, and up where there is room.

The price of a kB a second decides: what the steps that were taken last are worth on average.
"""

from heapq import heapify, heappop, heappush

from .state import ControllerState, PackageProfile, Streamer, Viewing

# Experiment files set MARK and AHEAD by these names.
MARK = 0.95  # part of a link or uplink that set-ups and raises may fill
AHEAD = 2.0  # a rung above the floor must fit so many times more, as other controllers may see the same room
OVERLOAD = 1.04  # utilization above which playing viewings are stepped down
CUT_SETTLE_SECONDS = 1.0  # time until a cut shows in reports, beside their age
MIN_RUNG_SECONDS = 6.0  # time from a step to a raise


class RungControl:
    """Raises and cuts the rungs of the viewings that play."""

    def __init__(self, state: ControllerState):
        self.state, self.price = state, 0.0

    def tick(self, now: float) -> None:
        """Updates the price."""
        # The viewings of this controller are a sample of all.
        gains = [v.package.gain[v.rung] for v in self.state.viewings.values() if v.playing]
        self.price = sum(gains) / len(gains) if gains else 0.0

    def margin(self, package: PackageProfile, rung: int) -> float:
        """How many more times a rung must fit, as others may step up too; more for a cheaper last step."""
        # The others see the same room at the same time. How much they add unseen depends on the viewings
        # there, not on the number of controllers.
        price = self.price / package.gain[rung] if self.price else 1.0
        return AHEAD * (1 - 1 / max(1, self.state.controllers)) * price

    def load_told(self, now: float, streamer_id: int, uplink: bool, viewing_id: int, ratio: float) -> None:
        """Takes a streamer's report of its link, or of its rack's uplink."""
        state = self.state
        streamer, viewing = state.streamers[streamer_id], state.viewings.get(viewing_id)
        # A report that comes with a set-up is current; later ones are as old as the settings say.
        if first := viewing is not None and now - viewing.rung_set_at < 0.1:
            # Its rung was chosen on little information: it may be raised on this report.
            viewing.rung_set_at = now - MIN_RUNG_SECONDS
        (streamer.rack if uplink else streamer.link).on_report(now, ratio, 0.0 if first else state.report_age)
        state.to_check.add(streamer_id)

    def raise_one(self, now: float, streamer: Streamer) -> None:
        """Steps up the viewing of a streamer that gains most by it, if there is room."""
        state = self.state
        up = [
            viewing
            for viewing in streamer.viewings.values()
            if viewing.playing
            and viewing.rung < viewing.top
            and now - viewing.rung_set_at >= MIN_RUNG_SECONDS
        ]
        if not up:
            return
        viewing = max(up, key=lambda viewing: viewing.package.gain[viewing.rung + 1])
        # All the others here get the same report at the same time, and may all raise on it.
        rates, use, own = (
            viewing.package.rates,
            state.utilization(now, streamer),
            streamer.link.own / streamer.link.capacity,
        )
        for rung in range(viewing.top, viewing.rung, -1):
            more = max(rates[rung] - rates[viewing.rung], 1e-9) / streamer.link.capacity
            part = (MARK - use) / (more + max(0.0, use - own) * (rates[rung] / rates[viewing.rung] - 1))
            if use + more * (1 + self.margin(viewing.package, rung)) <= MARK and (
                part >= 1 or (rung == viewing.rung + 1 and state.random_fraction() < part)
            ):
                self.step(now, viewing, rung)
                return

    def cut(self, now: float, streamer: Streamer) -> None:
        """Steps down this controller's part of an overload of a streamer's links, cheapest steps first."""
        state = self.state
        for link in (streamer.link, streamer.rack):
            use = link.utilization(now, state.usual_load)
            # Reports from before the last cut would cut twice for one overload.
            if use <= OVERLOAD or now - link.cut_at < state.report_age + CUT_SETTLE_SECONDS:
                continue
            link.cut_at = now
            held = [
                viewing
                for viewing in state.viewings.values()
                if viewing.playing
                and viewing.streamer
                and link in (viewing.streamer.link, viewing.streamer.rack)
            ]
            # Each step costs the viewer: all that one viewing gives up is a single step.
            goal, stepped = link.own * MARK / use, {}
            down = [(v.package.gain[v.rung], i) for i, v in enumerate(held) if v.rung > v.package.floor]
            heapify(down)
            while link.own > goal and down:
                _, i = heappop(down)
                viewing = held[i]
                # By chance if the step is larger than due: many controllers with a single viewing each must
                # not all step down.
                rates = viewing.package.rates
                due = (link.own - goal) * self.price / viewing.package.gain[viewing.rung]
                if state.random_fraction() * (rates[viewing.rung] - rates[viewing.rung - 1]) > due:
                    break
                state.set_rung(now, viewing, viewing.rung - 1)
                stepped[viewing.id] = viewing
                if viewing.rung > viewing.package.floor:
                    heappush(down, (viewing.package.gain[viewing.rung], i))
            for viewing in stepped.values():
                self.step(now, viewing, viewing.rung)

    def step(self, now: float, viewing: Viewing, rung: int) -> None:
        """Sets the rung of a playing viewing."""
        self.state.set_rung(now, viewing, rung)
        viewing.rung_set_at = now
        self.state.decisions.append(("rung", viewing.id, rung))
