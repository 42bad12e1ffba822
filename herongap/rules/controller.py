"""The controller: each input only updates what is known; the host then pulls decisions until none is left."""

from heapq import heappop, heappush

from herongap.interface import DeploymentConfig, EndReason, LoadReport, StreamerEntry, ViewingRequest

from .admission import Admission
from .placement import PERIOD, Placement, QualityTable
from .rung_control import DWELL, RungControl
from .slow_start import SlowStart
from .state import ControllerState, Viewing

GLANCE, HOLD = 0.02, 0.4  # seconds between looks at all that wait; part of the join target without room


class Controller:
    # By name, so that baselines and the tests' broken controllers can put in others.
    ControllerState, QualityTable, SlowStart, Admission, RungControl, Placement = (
        ControllerState,
        QualityTable,
        SlowStart,
        Admission,
        RungControl,
        Placement,
    )

    def __init__(self, now: float, seed: int, charter: DeploymentConfig):
        self.state = k = self.ControllerState(seed, charter)
        self.quality_table, self.slow_start = self.QualityTable(k, now), self.SlowStart(k, now, charter)
        self.admission, self.rung_control = self.Admission(k, now, charter), self.RungControl(k)
        self.placement = self.Placement(
            self.quality_table, self.slow_start, self.admission, self.rung_control, charter
        )
        self.streamers, self.viewings, self.waiting = k.streamers, k.viewings, k.waiting
        self.share_told, self.load_told = k.share_told, self.rung_control.load_told
        self.fresh, self.due, self.may_still_send = [], self.placement.due, self.slow_start.may_still_send
        self.next_tick_at, self.wake, self.glance = now, -1e9, now
        k.decisions.extend([("follow",)] * charter.must_follow)

    # What is heard, as `herongap.host` passes it on: each call only updates what is known.

    def listed(self, now: float, kind: str, lines: tuple[StreamerEntry, ...]) -> None:
        if kind == "failed":
            heappush(self.due, (now + 0.5 + self.state.random_fraction(), "follow", 0))
        else:
            self.state.listed(now, kind, lines)

    def asked(self, now: float, ask: ViewingRequest) -> None:
        vw = self.viewings[ask.viewing] = Viewing(ask, self.state.packages[ask.package], now)
        self.state.asks += 1
        self.state.named.update((None, *ask.holders))
        vw.flood = self.admission.asked(now, ask.member)
        self.wait(vw, now + HOLD * vw.package.join)

    def wait(self, vw: Viewing, until: float) -> None:
        self.waiting[vw.id], vw.hold = vw, min(until, vw.until - 0.05)
        heappush(self.due, (vw.hold, "hold", vw.id))
        self.fresh.append(vw)

    def handed(self, now: float, ask: ViewingRequest, streamer: int) -> None:
        vw = self.viewings[ask.viewing] = Viewing(ask, self.state.packages[ask.package], now)
        # It stood before: others have not grown by it. Nobody here chose its rung: it is raised at any word.
        vw.apart, vw.playing, vw.tries, vw.stepped = True, True, 1, now - DWELL
        self.state.put(now, vw, self.streamers[streamer])
        self.quality_table.cells[vw.package.name, streamer][0] += 1
        self.admission.handed(vw)

    def rung_told(self, now: float, viewing: int, rung: float) -> None:
        if (vw := self.viewings.get(viewing)) and vw.streamer is not None:
            self.state.set_rung(now, vw, int(rung))

    def started(self, now: float, viewing: int, number: int, streamer: int, taken: float) -> None:
        if vw := self.viewings.get(viewing):
            vw.playing, vw.stepped = True, now
            self.quality_table.cells[vw.package.name, streamer][0] += 1

    def ended(
        self,
        now: float,
        viewing: int,
        number: int,
        streamer: int,
        how: EndReason,
        taken: float,
        closed: bool,
        load: LoadReport | None,
    ) -> None:
        k, st = self.state, self.streamers[streamer]
        k.loaded(now, st, load)
        if (vw := self.viewings.get(viewing)) is None:
            return
        if vw.streamer is not None:
            vw.apart |= how is EndReason.BROKEN  # others lose theirs there too, and ask no less of the rest
            k.drop(now, vw)
        if not vw.playing and how is EndReason.FULL:
            # Without a report of its own, a streamer that refuses by load is taken to be at that load.
            if load is None and k.full_from:
                st.link.told(now, k.full_from, 0.0)
        elif how is EndReason.BROKEN or not (vw.playing or how in (EndReason.CALLED_OFF, EndReason.NOT_SENT)):
            self.quality_table.failed(now, vw, st, how)
        if closed or vw.done:
            del self.viewings[viewing]
        else:
            vw.tried.add(streamer)
            if how not in (EndReason.FULL, EndReason.UNREACHED, EndReason.NOT_SENT):
                vw.ran.append((st.entry.zone, st.entry.cell, vw.sent))
            vw.tries = k.tune_ins if how is EndReason.NOT_SENT else vw.tries
            self.wait(vw, max(now + 0.05, vw.aim))
        k.look = True

    def left(self, now: float, viewing: int) -> None:
        if vw := self.viewings.get(viewing):
            vw.done = True
            self.waiting.pop(viewing, None)
            if vw.streamer is None:
                del self.viewings[viewing]

    def probed(
        self, now: float, streamer: int, how: EndReason, taken: float, load: LoadReport | None
    ) -> None:
        self.state.loaded(now, self.streamers[streamer], load)
        if how is not EndReason.PLAYED:
            self.state.set_aside(now, self.streamers[streamer], True)
        self.placement.probing.discard(streamer)
        self.fresh += [vw for vw in self.waiting.values() if vw.waits == streamer]
        self.state.look = True

    def heard(self, now: float, peer: int, words: bytes) -> None: ...  # what others ask helped too little

    def counted(self, now: float, me: int | None, controllers: int) -> None:
        self.state.rank, self.state.controllers, self.state.look = me, controllers, True
        for st in self.streamers.values():
            st.turn = -1

    def given(self, now: float, whole: str, room: int) -> None:
        self.admission.given(whole, room)
        self.state.look = True

    def woke(self, now: float) -> None:
        # Rounding can ring a hair before the due time; a spent alarm must not pass for one still set. One
        # that an earlier one has replaced rings too, and asks for no other: they would become ever more.
        if now + 0.01 >= self.wake:
            self.wake = -1e9

    def decide(self, now: float) -> tuple | None:
        if not (answers := self.state.decisions):
            self.think(now)
        return answers.popleft() if answers else None

    def think(self, now: float) -> None:
        k, place = self.state, self.placement.place
        while self.due and self.due[0][0] <= now:
            _, what, who = heappop(self.due)
            if what == "follow":
                k.decisions.append(("follow",))
            elif (vw := self.waiting.get(who)) and not place(now, vw) and now >= max(vw.hold, vw.turn):
                self.placement.give_up(vw)
        if now >= self.next_tick_at:
            # The one periodic job: links, scores and ranks, the going price.
            self.next_tick_at, k.look = now + PERIOD, True
            for part in (k, self.quality_table, self.rung_control):
                part.tick(now)
        for streamer in k.over:
            self.rung_control.cut(now, self.streamers[streamer])
            self.rung_control.raise_one(now, self.streamers[streamer])
        k.over.clear()
        # One more request makes no room: those that wait are looked at when something else has changed, and
        # not at every single word, since with many in wait all time would go into looking.
        if look := k.look and now >= self.glance:
            k.look, self.glance = False, now + GLANCE
        fresh, self.fresh = list(self.waiting.values()) if look else self.fresh, []
        for vw in fresh:
            if self.waiting.get(vw.id) is vw:
                place(now, vw)
        wake = min([self.next_tick_at, *(at for at, *_ in self.due[:1]), *[self.glance] * k.look])
        if not now < self.wake <= wake:
            self.wake = wake
            k.decisions.append(("wake", wake))
