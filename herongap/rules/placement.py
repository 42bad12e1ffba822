"""Placing: where a waiting viewing goes and at which rung, by the paper's table, and when it is given up."""

from collections import defaultdict
from heapq import heappush

from herongap.interface import DeploymentConfig, EndReason, RepeatSafety, RepeatScope, StreamerStatus

from .admission import Admission
from .rung_control import MARK, RungControl
from .slow_start import FIRST, SlowStart
from .state import AWAY, ControllerState, Streamer, Viewing

PERIOD, RANKS, WINDOW = 0.5, 5.0, 60.0  # the timer; ranks refresh; old viewings fade from a cell
THIN, SEED = 3, 0.05  # viewings that make a cell count; share of set-ups that go round robin all the same
TIE, CROSS = 0.10, 0.1  # scores this close to the best tie; another zone counts as so much fuller among them
FAIL_SECONDS = 10.0  # seconds of full stall that a failed tune-in counts as in its cell
FLOOD_MARK, COME_BACK = 0.5, 0.5  # part of links and places that a flood may fill; seconds until a return


class QualityTable:
    def __init__(self, known: ControllerState, now: float):
        self.state, self.refresh = known, now
        # A cell: viewings, seconds played, score summed over those seconds.
        self.cells: dict[tuple, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.ranks, self.fill, self.last_chosen = {}, {}, {}

    def pick(self, now: float, vw: Viewing, room: list[Streamer]) -> Streamer:
        """The best cell, ties to the least used; round robin for thin cells and a share of all set-ups."""
        k, name = self.state, vw.package.name
        # With few viewings all cells are thin: they count as the average of their zone, as the paper's k-NN
        # takes neighbours at a greater distance, and seeding is left to rows that can fill.
        score = {
            st: self.ranks.get(
                (name, st.entry.streamer),
                self.ranks.get((name, st.entry.zone), self.ranks.get((name, None), 0.0)),
            )
            for st in room
        }
        best = max(score.values())
        tied = [st for st in room if score[st] >= best - TIE * abs(best)]
        near = {st: st.entry.zone == k.zone for st in room}
        st = min(tied, key=lambda st: (k.utilization(now, st) - CROSS * near[st], k.random_fraction()))
        if k.random_fraction() < max(SEED, ((name, st.entry.streamer) not in self.ranks) * self.fill[name]):
            # Other zones are seeded only in need: crossing costs, and breaks when a zone is cut off.
            room = sorted([st for st in room if near[st]] or room, key=lambda st: st.entry.streamer)
            # Each starts its round elsewhere: with few viewings each, all would seed the same lowest ids.
            last = self.last_chosen.get(name, room[int(k.random_fraction() * len(room))].entry.streamer)
            st = next((st for st in room if st.entry.streamer > last), room[0])
            self.last_chosen[name] = st.entry.streamer
        return st

    def failed(self, now: float, vw: Viewing, st: Streamer, how: EndReason) -> None:
        # A failing streamer plays no seconds, so its stale high score would keep winning.
        cell = self.cells[vw.package.name, st.entry.streamer]
        cell[1:] = cell[1] + FAIL_SECONDS, cell[2] - FAIL_SECONDS * 370
        self.state.set_aside(now, st, how is not EndReason.FAULTY)

    def tick(self, now: float) -> None:
        fade, streamers = 1 - PERIOD / WINDOW, self.state.streamers
        for cell in self.cells.values():
            cell[:] = cell[0] * fade, cell[1] * fade, cell[2] * fade
        for st in streamers.values():
            for vw in st.viewings.values():
                if vw.playing:
                    cell = self.cells[vw.package.name, st.entry.streamer]
                    cell[1] += PERIOD
                    cell[2] += PERIOD * (vw.package.rates[vw.rung] * 8 * st.share / 20 - 370 * (1 - st.share))
        if now < self.refresh:
            return
        self.refresh = now + RANKS
        for key in [key for key, cell in self.cells.items() if cell[0] + cell[1] < 0.01]:
            del self.cells[key]
        pooled = defaultdict(lambda: [0.0, 0.0, 0.0])
        for (name, sid), cell in self.cells.items():
            for near in (sid, sid in streamers and streamers[sid].entry.zone, None):
                pooled[name, near][:] = map(sum, zip(pooled[name, near], cell, strict=True))
        self.ranks = {key: c[2] / c[1] for key, c in pooled.items() if c[0] >= THIN and c[1] > 0}
        self.fill = {name: pooled[name, None][0] / max(1, len(streamers)) for name in self.state.packages}


class Placement:
    def __init__(
        self,
        table: QualityTable,
        turns: SlowStart,
        limits: Admission,
        playing: RungControl,
        c: DeploymentConfig,
    ):
        self.quality_table, self.slow_start, self.admission, self.rung_control = table, turns, limits, playing
        self.state, self.can_probe, self.probing = table.state, c.probes, set()
        self.come_back = min(c.come_back, COME_BACK)
        self.due: list[tuple] = []  # when a viewing is to be looked at: (at, what, viewing)

    def place(self, now: float, vw: Viewing) -> bool:
        """Send a waiting viewing to the best holder with room, or say that there is none."""
        k, limits, turns, p = self.state, self.admission, self.slow_start, vw.package
        holders = [
            st
            for st in k.streamers.values()
            if st.entry.holder_id in vw.ask.holders
            and st.entry.streamer not in vw.tried
            and limits.may_repeat_at(now, vw, st)
        ]
        spent = vw.tries >= k.tune_ins or (vw.tries and not holders)
        if spent or vw.top < p.floor or vw.until - now < 0.05:
            return self.give_up(vw)  # waiting would not help: the viewer is better off coming again
        seated = p.seats and p.seats <= k.seated[p.name, vw.ask.title]
        if seated or (vw.tries and not limits.may_repeat(now)) or not limits.within(vw, False):
            return False
        ready = [
            st
            for st in holders
            if st.entry.status is StreamerStatus.ACTIVE
            and turns.may_send(now, st)
            and len(st.viewings) < k.places.get(st.entry.kind, 1 << 30)
            and (not turns.cold(now, st) or limits.within(vw, True))
        ]
        # Where all lose answers all are set aside: one that has been heard of since is better than none.
        ready = [st for st in ready if st.set_aside_until <= now] or [
            st for st in ready if st.link.heard > st.set_aside_until - AWAY
        ]
        if vw.flood:
            ready = [
                st
                for st in ready
                if k.utilization(now, st, p.rates[p.floor]) <= FLOOD_MARK
                and len(st.viewings) < FLOOD_MARK * k.places.get(st.entry.kind, 1) / k.controllers
            ]
        if vw.waits in self.probing or (vw.waits is None and self.inquire(now, vw, ready)):
            return False
        for rung in range(p.floor if vw.flood else vw.top, p.floor - 1, -1):
            more = p.rates[rung] * (1 + self.rung_control.room(p, rung) if rung > p.floor else 1)
            room = [st for st in ready if k.utilization(now, st, more) <= MARK]
            if room:
                return self.send(now, vw, self.quality_table.pick(now, vw, room), rung)
        roomy = min(ready, key=lambda st: (k.utilization(now, st), k.random_fraction()), default=None)
        if fits := roomy is not None and k.utilization(now, roomy, p.rates[p.floor]) <= 1:
            self.send(now, vw, roomy, p.floor)
        elif vw.turn <= now and k.rank is not None:
            # A slot lasts for milliseconds: unless it is waited for, next to none who wait meet theirs.
            due = [
                (turns.next_slot(now, st) + 0.1) * turns.slot_seconds
                for st in holders
                if turns.cold(now, st) and st.entry.status is StreamerStatus.ACTIVE
            ]
            last = min(vw.aim - (0.0 if vw.tries else FIRST * p.join), vw.until - 0.05)
            if due := [at for at in due if now < at < last]:
                vw.turn = min(due)
                heappush(self.due, (vw.turn, "turn", vw.id))
        return fits

    def inquire(self, now: float, vw: Viewing, ready: list[Streamer]) -> bool:
        """Probe a holder not lately heard of: a controller with few viewings knows next to nothing."""
        if unheard := self.can_probe and [st for st in ready if now - st.link.heard > 1]:
            vw.waits = unheard[int(self.state.random_fraction() * len(unheard))].entry.streamer
            self.probing.add(vw.waits)
            self.state.decisions.append(("probe", vw.waits))
        return bool(unheard)

    def send(self, now: float, vw: Viewing, st: Streamer, rung: int) -> bool:
        k, limits = self.state, self.admission
        del k.waiting[vw.id]
        limits.charge(vw, limits.counting(vw, self.slow_start.cold(now, st)))
        vw.rung, vw.tries, vw.sent, vw.stepped = rung, vw.tries + 1, now, now
        if limits.extra and vw.tries > 1:
            limits.extras.append(now)
        st.slot = int(now / self.slow_start.slot_seconds)
        k.put(now, vw, st)
        # The first leaves room for a second within the join target; that one may use what is left of it.
        most = max(FIRST * vw.package.join, vw.aim - now if vw.tries > 1 else 0.0)
        k.decisions += ("rung", vw.id, rung), ("tune_in", vw.id, st.entry.streamer, min(most, vw.until - now))
        return True

    def give_up(self, vw: Viewing) -> bool:
        """The final answer, at once: blocked where a return does no harm, aborted where it might."""
        k, p = self.state, vw.package
        del k.waiting[vw.id], k.viewings[vw.id]
        safe = p.repeat is RepeatSafety.HARMLESS or (p.repeat, p.group) == (
            RepeatSafety.IN_GROUP,
            RepeatScope.ALL,
        )
        k.decisions.append(("abort", vw.id) if vw.ran and not safe else ("block", vw.id, self.come_back))
        return True
