"""Placement: which streamer a waiting viewing goes to, on which rung, and when it is given up.

A table, taken from the paper behind this design, holds the mean quality that the recent viewings of this
controller got: a row per package, a cell per streamer.
"""

from collections import defaultdict
from heapq import heappush

from herongap.interface import DeploymentConfig, EndReason, RepeatSafety, RepeatScope, StreamerStatus

from .admission import Admission
from .rung_control import MARK, RungControl
from .slow_start import FIRST_TUNE_IN_PART, SlowStart
from .state import SET_ASIDE_SECONDS, ControllerState, Streamer, Viewing

TICK_SECONDS = 0.5
RANKS_REFRESH_SECONDS = 5.0
CELL_FADE_SECONDS = 60.0  # time in which old viewings lose their weight in a cell
MIN_CELL_VIEWINGS = 3  # a cell with fewer viewings does not count by itself
SEED = 0.05  # share of set-ups that go round robin regardless of scores; experiment files set it by this name
TIE_PART = 0.10  # scores this close to the best one tie
OTHER_ZONE_UTILIZATION = 0.1  # among those that tie, a streamer of another zone counts as this much fuller
FAILURE_STALL_SECONDS = 10.0  # a failed tune-in counts in its cell as a full stall of this length
STALL_PENALTY = 370  # score that a second of full stall costs
KBIT_PER_SCORE = 20  # rate, in kbit a second, that earns one point of score each second
FLOOD_FILL_PART = 0.5  # part of links and places that a flood may fill
MAX_COME_BACK_SECONDS = 0.5  # longest time after which a blocked viewer is told to retry
MIN_TIME_LEFT_SECONDS = 0.05  # a viewer with less time left is answered at once


class QualityTable:
    """The quality that recent viewings got, by package and streamer.

    `ranks` has the mean score by package and streamer, by package and zone, and by package alone (None).
    `fill` is the number of recent viewings of a package for each streamer, `last_chosen` the streamer that
    its round robin chose last.
    """

    def __init__(self, state: ControllerState, now: float):
        self.state, self.refresh_at = state, now
        # A cell: viewings, seconds played, score summed over those seconds.
        self.cells: dict[tuple, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.ranks, self.fill, self.last_chosen = {}, {}, {}

    def pick(self, now: float, viewing: Viewing, room: list[Streamer]) -> Streamer:
        """The streamer with the best cell; among those that tie, the least used one.

        Round robin for cells with few viewings, and for a share of all set-ups.
        """
        state, name = self.state, viewing.package.name
        # With few viewings in all, no cell has enough of them. Then the average of the zone counts, as the
        # k-nearest-neighbours search of the paper behind this design takes neighbours at a greater distance,
        # and round robin beyond SEED is left to packages with enough viewings to fill the cells of their row.
        score = {
            streamer: self.ranks.get(
                (name, streamer.entry.streamer),
                self.ranks.get((name, streamer.entry.zone), self.ranks.get((name, None), 0.0)),
            )
            for streamer in room
        }
        best = max(score.values())
        tied = [streamer for streamer in room if score[streamer] >= best - TIE_PART * abs(best)]
        near = {streamer: streamer.entry.zone == state.zone for streamer in room}
        chosen = min(
            tied,
            key=lambda streamer: (
                state.utilization(now, streamer) - OTHER_ZONE_UTILIZATION * near[streamer],
                state.random_fraction(),
            ),
        )
        if state.random_fraction() < max(
            SEED, ((name, chosen.entry.streamer) not in self.ranks) * self.fill[name]
        ):
            # Other zones get round-robin viewings only if this one has no room: traffic across zones is
            # expensive, and breaks when a zone is cut off.
            room = sorted(
                [streamer for streamer in room if near[streamer]] or room,
                key=lambda streamer: streamer.entry.streamer,
            )
            # Each controller starts its round at a random streamer. Otherwise, with few viewings each, all
            # of them would choose the same lowest ids.
            last = self.last_chosen.get(name, room[int(state.random_fraction() * len(room))].entry.streamer)
            chosen = next((streamer for streamer in room if streamer.entry.streamer > last), room[0])
            self.last_chosen[name] = chosen.entry.streamer
        return chosen

    def failed(self, now: float, viewing: Viewing, streamer: Streamer, reason: EndReason) -> None:
        """Counts a failure in the cell of a streamer, and sets the streamer aside."""
        # A failing streamer plays no seconds, so its old high score would keep winning.
        cell = self.cells[viewing.package.name, streamer.entry.streamer]
        cell[1:] = cell[1] + FAILURE_STALL_SECONDS, cell[2] - FAILURE_STALL_SECONDS * STALL_PENALTY
        self.state.set_aside(now, streamer, reason is not EndReason.FAULTY)

    def tick(self, now: float) -> None:
        """Fades the cells and adds what has played since; refreshes the ranks from time to time."""
        fade, streamers = 1 - TICK_SECONDS / CELL_FADE_SECONDS, self.state.streamers
        for cell in self.cells.values():
            cell[:] = cell[0] * fade, cell[1] * fade, cell[2] * fade
        for streamer in streamers.values():
            for viewing in streamer.viewings.values():
                if viewing.playing:
                    cell = self.cells[viewing.package.name, streamer.entry.streamer]
                    cell[1] += TICK_SECONDS
                    cell[2] += TICK_SECONDS * (
                        viewing.package.rates[viewing.rung] * 8 * streamer.share / KBIT_PER_SCORE
                        - STALL_PENALTY * (1 - streamer.share)
                    )
        if now < self.refresh_at:
            return
        self.refresh_at = now + RANKS_REFRESH_SECONDS
        for key in [key for key, cell in self.cells.items() if cell[0] + cell[1] < 0.01]:
            del self.cells[key]
        pooled = defaultdict(lambda: [0.0, 0.0, 0.0])
        for (name, streamer_id), cell in self.cells.items():
            for scope in (streamer_id, streamer_id in streamers and streamers[streamer_id].entry.zone, None):
                pooled[name, scope][:] = map(sum, zip(pooled[name, scope], cell, strict=True))
        self.ranks = {key: c[2] / c[1] for key, c in pooled.items() if c[0] >= MIN_CELL_VIEWINGS and c[1] > 0}
        self.fill = {name: pooled[name, None][0] / max(1, len(streamers)) for name in self.state.packages}


class Placement:
    """Places the viewings that wait, or gives them up."""

    def __init__(
        self,
        quality_table: QualityTable,
        slow_start: SlowStart,
        admission: Admission,
        rung_control: RungControl,
        config: DeploymentConfig,
    ):
        self.quality_table, self.slow_start, self.admission, self.rung_control = (
            quality_table,
            slow_start,
            admission,
            rung_control,
        )
        self.state, self.can_probe, self.probing = quality_table.state, config.probes, set()
        self.come_back = min(config.come_back, MAX_COME_BACK_SECONDS)
        self.due: list[tuple] = []  # when to retry a waiting viewing: (time, kind, viewing id)

    def place(self, now: float, viewing: Viewing) -> bool:
        """Sends a waiting viewing to the best holder with room or gives it up; False if it still waits."""
        state, admission, slow_start, package = self.state, self.admission, self.slow_start, viewing.package
        holders = [
            streamer
            for streamer in state.streamers.values()
            if streamer.entry.holder_id in viewing.request.holders
            and streamer.entry.streamer not in viewing.tried
            and admission.may_repeat_at(now, viewing, streamer)
        ]
        spent = viewing.tries >= state.tune_ins or (viewing.tries and not holders)
        if spent or viewing.top < package.floor or viewing.deadline - now < MIN_TIME_LEFT_SECONDS:
            return self.give_up(now, viewing)  # waiting would not help: the viewer had better retry
        seats_taken = package.seats and package.seats <= state.seated[package.name, viewing.request.title]
        if (
            seats_taken
            or (viewing.tries and not admission.may_repeat(now))
            or not admission.within(viewing, False)
        ):
            return False
        ready = [
            streamer
            for streamer in holders
            if streamer.entry.status is StreamerStatus.ACTIVE
            and slow_start.may_send(now, streamer)
            and len(streamer.viewings) < state.places.get(streamer.entry.kind, 1 << 30)
            and (not slow_start.is_cold(now, streamer) or admission.within(viewing, True))
        ]
        # If all streamers lose answers, all are set aside. Then one that has reported its load since it was
        # set aside is better than none.
        ready = [streamer for streamer in ready if streamer.set_aside_until <= now] or [
            streamer
            for streamer in ready
            if streamer.link.reported_at > streamer.set_aside_until - SET_ASIDE_SECONDS
        ]
        if viewing.is_flood:
            ready = [
                streamer
                for streamer in ready
                if state.utilization(now, streamer, package.rates[package.floor]) <= FLOOD_FILL_PART
                and len(streamer.viewings)
                < FLOOD_FILL_PART * state.places.get(streamer.entry.kind, 1) / state.controllers
            ]
        if viewing.probed in self.probing or (viewing.probed is None and self.probe(now, viewing, ready)):
            return False
        for rung in range(package.floor if viewing.is_flood else viewing.top, package.floor - 1, -1):
            required_rate = package.rates[rung] * (
                1 + self.rung_control.margin(package, rung) if rung > package.floor else 1
            )
            room = [streamer for streamer in ready if state.utilization(now, streamer, required_rate) <= MARK]
            if room:
                return self.send(now, viewing, self.quality_table.pick(now, viewing, room), rung)
        emptiest = min(
            ready,
            key=lambda streamer: (state.utilization(now, streamer), state.random_fraction()),
            default=None,
        )
        if (
            fits := emptiest is not None
            and state.utilization(now, emptiest, package.rates[package.floor]) <= 1
        ):
            self.send(now, viewing, emptiest, package.floor)
        elif viewing.slot_due_at <= now and state.rank is not None:
            # A slot lasts for milliseconds: without a wake-up shortly after its start, a waiting viewing
            # would hardly ever be placed in one.
            due = [
                (slow_start.next_slot(now, streamer) + 0.1) * slow_start.slot_seconds
                for streamer in holders
                if slow_start.is_cold(now, streamer) and streamer.entry.status is StreamerStatus.ACTIVE
            ]
            latest = min(
                viewing.join_deadline - (0.0 if viewing.tries else FIRST_TUNE_IN_PART * package.join_target),
                viewing.deadline - MIN_TIME_LEFT_SECONDS,
            )
            if due := [at for at in due if now < at < latest]:
                viewing.slot_due_at = min(due)
                heappush(self.due, (viewing.slot_due_at, "turn", viewing.id))
        return fits

    def probe(self, now: float, viewing: Viewing, ready: list[Streamer]) -> bool:
        """Probes a holder without a recent report: a controller with few viewings gets hardly any reports."""
        if unreported := self.can_probe and [
            streamer for streamer in ready if now - streamer.link.reported_at > 1
        ]:
            viewing.probed = unreported[int(self.state.random_fraction() * len(unreported))].entry.streamer
            self.probing.add(viewing.probed)
            self.state.decisions.append(("probe", viewing.probed))
        return bool(unreported)

    def send(self, now: float, viewing: Viewing, streamer: Streamer, rung: int) -> bool:
        """Assigns a waiting viewing to a streamer and decides on the tune-in; always True."""
        state, admission = self.state, self.admission
        del state.waiting[viewing.id]
        admission.charge(viewing, admission.counting(viewing, self.slow_start.is_cold(now, streamer)))
        viewing.rung, viewing.tries, viewing.sent_at, viewing.rung_set_at = rung, viewing.tries + 1, now, now
        if admission.retry_budget and viewing.tries > 1:
            admission.retries.append(now)
        streamer.last_slot = int(now / self.slow_start.slot_seconds)
        state.assign(now, viewing, streamer)
        # The first tune-in leaves time for a second one within the join target; a later tune-in may use all
        # that is left of the join target.
        time_out = max(
            FIRST_TUNE_IN_PART * viewing.package.join_target,
            viewing.join_deadline - now if viewing.tries > 1 else 0.0,
        )
        state.decisions += (
            ("rung", viewing.id, rung),
            ("tune_in", viewing.id, streamer.entry.streamer, min(time_out, viewing.deadline - now)),
        )
        return True

    def give_up(self, now: float, viewing: Viewing) -> bool:
        """Decides on the final answer: blocked if a retry does no harm, aborted if it might."""
        state, package = self.state, viewing.package
        self.admission.remember_runs(now, viewing)
        del state.waiting[viewing.id], state.viewings[viewing.id]
        safe = package.repeat is RepeatSafety.HARMLESS or (package.repeat, package.group) == (
            RepeatSafety.IN_GROUP,
            RepeatScope.ALL,
        )
        state.decisions.append(
            ("abort", viewing.id)
            if viewing.may_have_run and not safe
            else ("block", viewing.id, self.come_back)
        )
        return True
