"""The controller: each input only updates what is known; the host then pulls decisions until none is left."""

from heapq import heappop, heappush

from herongap.interface import Asked, Charter, Ending, Listed, Load

from .known import Known, Viewing
from .limits import Limits
from .placing import PERIOD, Placing, Table
from .playing import DWELL, Playing
from .turns import Turns

GLANCE, HOLD = 0.02, 0.4  # seconds between looks at all that wait; part of the join target without room


class Controller:
    # By name, so that baselines and the tests' broken controllers can put in others.
    Known, Table, Turns, Limits, Playing, Placing = Known, Table, Turns, Limits, Playing, Placing

    def __init__(self, now: float, seed: int, charter: Charter):
        self.known = k = self.Known(seed, charter)
        self.table, self.turns = self.Table(k, now), self.Turns(k, now, charter)
        self.limits, self.playing = self.Limits(k, now, charter), self.Playing(k)
        self.placing = self.Placing(self.table, self.turns, self.limits, self.playing, charter)
        self.streamers, self.viewings, self.waiting = k.streamers, k.viewings, k.waiting
        self.share_told, self.load_told = k.share_told, self.playing.load_told
        self.fresh, self.due, self.may_leave = [], self.placing.due, self.turns.may_leave
        self.period, self.wake, self.glance = now, -1e9, now
        k.answers.extend([("follow",)] * charter.must_follow)

    # What is heard, as `herongap.host` passes it on: each call only updates what is known.

    def listed(self, now: float, kind: str, lines: tuple[Listed, ...]) -> None:
        if kind == "failed":
            heappush(self.due, (now + 0.5 + self.known.chance(), "follow", 0))
        else:
            self.known.listed(now, kind, lines)

    def asked(self, now: float, ask: Asked) -> None:
        vw = self.viewings[ask.viewing] = Viewing(ask, self.known.packages[ask.package], now)
        self.known.asks += 1
        self.known.named.update((None, *ask.holders))
        vw.flood = self.limits.asked(now, ask.member)
        self.wait(vw, now + HOLD * vw.package.join)

    def wait(self, vw: Viewing, until: float) -> None:
        self.waiting[vw.id], vw.hold = vw, min(until, vw.until - 0.05)
        heappush(self.due, (vw.hold, "hold", vw.id))
        self.fresh.append(vw)

    def handed(self, now: float, ask: Asked, streamer: int) -> None:
        vw = self.viewings[ask.viewing] = Viewing(ask, self.known.packages[ask.package], now)
        # It stood before: others have not grown by it. Nobody here chose its rung: it is raised at any word.
        vw.apart, vw.playing, vw.tries, vw.stepped = True, True, 1, now - DWELL
        self.known.put(now, vw, self.streamers[streamer])
        self.table.cells[vw.package.name, streamer][0] += 1
        self.limits.handed(vw)

    def rung_told(self, now: float, viewing: int, rung: float) -> None:
        if (vw := self.viewings.get(viewing)) and vw.streamer is not None:
            self.known.set_rung(now, vw, int(rung))

    def started(self, now: float, viewing: int, number: int, streamer: int, taken: float) -> None:
        if vw := self.viewings.get(viewing):
            vw.playing, vw.stepped = True, now
            self.table.cells[vw.package.name, streamer][0] += 1

    def ended(
        self,
        now: float,
        viewing: int,
        number: int,
        streamer: int,
        how: Ending,
        taken: float,
        closed: bool,
        load: Load | None,
    ) -> None:
        k, st = self.known, self.streamers[streamer]
        k.loaded(now, st, load)
        if (vw := self.viewings.get(viewing)) is None:
            return
        if vw.streamer is not None:
            vw.apart |= how is Ending.BROKEN  # others lose theirs there too, and ask no less of the rest
            k.drop(now, vw)
        if not vw.playing and how is Ending.FULL:
            # Without a report of its own, a streamer that refuses by load is taken to be at that load.
            if load is None and k.full_from:
                st.link.told(now, k.full_from, 0.0)
        elif how is Ending.BROKEN or not (vw.playing or how in (Ending.CALLED_OFF, Ending.NOT_SENT)):
            self.table.failed(now, vw, st, how)
        if closed or vw.done:
            del self.viewings[viewing]
        else:
            vw.tried.add(streamer)
            if how not in (Ending.FULL, Ending.UNREACHED, Ending.NOT_SENT):
                vw.ran.append((st.line.zone, st.line.cell, vw.sent))
            vw.tries = k.tune_ins if how is Ending.NOT_SENT else vw.tries
            self.wait(vw, max(now + 0.05, vw.aim))
        k.look = True

    def left(self, now: float, viewing: int) -> None:
        if vw := self.viewings.get(viewing):
            vw.done = True
            self.waiting.pop(viewing, None)
            if vw.streamer is None:
                del self.viewings[viewing]

    def probed(self, now: float, streamer: int, how: Ending, taken: float, load: Load | None) -> None:
        self.known.loaded(now, self.streamers[streamer], load)
        if how is not Ending.PLAYED:
            self.known.set_aside(now, self.streamers[streamer], True)
        self.placing.probing.discard(streamer)
        self.fresh += [vw for vw in self.waiting.values() if vw.waits == streamer]
        self.known.look = True

    def heard(self, now: float, peer: int, words: bytes) -> None: ...  # what others ask helped too little

    def counted(self, now: float, me: int | None, controllers: int) -> None:
        self.known.me, self.known.controllers, self.known.look = me, controllers, True
        for st in self.streamers.values():
            st.turn = -1

    def given(self, now: float, whole: str, room: int) -> None:
        self.limits.given(whole, room)
        self.known.look = True

    def woke(self, now: float) -> None:
        # Rounding can ring a hair before the due time; a spent alarm must not pass for one still set. One
        # that an earlier one has replaced rings too, and asks for no other: they would become ever more.
        if now + 0.01 >= self.wake:
            self.wake = -1e9

    def decide(self, now: float) -> tuple | None:
        if not (answers := self.known.answers):
            self.think(now)
        return answers.popleft() if answers else None

    def think(self, now: float) -> None:
        k, place = self.known, self.placing.place
        while self.due and self.due[0][0] <= now:
            _, what, who = heappop(self.due)
            if what == "follow":
                k.answers.append(("follow",))
            elif (vw := self.waiting.get(who)) and not place(now, vw) and now >= max(vw.hold, vw.turn):
                self.placing.give_up(vw)
        if now >= self.period:
            # The one periodic job: links, scores and ranks, the going price.
            self.period, k.look = now + PERIOD, True
            for part in (k, self.table, self.playing):
                part.tick(now)
        for streamer in k.over:
            self.playing.cut(now, self.streamers[streamer])
            self.playing.raise_one(now, self.streamers[streamer])
        k.over.clear()
        # One more request makes no room: those that wait are looked at when something else has changed, and
        # not at every single word, since with many in wait all time would go into looking.
        if look := k.look and now >= self.glance:
            k.look, self.glance = False, now + GLANCE
        fresh, self.fresh = list(self.waiting.values()) if look else self.fresh, []
        for vw in fresh:
            if self.waiting.get(vw.id) is vw:
                place(now, vw)
        wake = min([self.period, *(at for at, *_ in self.due[:1]), *[self.glance] * k.look])
        if not now < self.wake <= wake:
            self.wake = wake
            k.answers.append(("wake", wake))
