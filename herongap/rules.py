"""All decisions of one controller. Call the input methods as things are heard, then `decide(now)` until None.

The interface is `herongap/interface.py`. The design (docs/design.md): a table of the mean quality that this
controller's own recent viewings got, a row per package, a cell per streamer; the best ready holder with room
wins, thin cells are seeded by round robin, rungs are admitted on link and uplink. Mechanisms beside it:
 1. set aside: a streamer that fails or goes silent gets nothing for a while, and its cells hear of it
 2. cold pace: a streamer that may have just started gets set-ups in this controller's own time slots
 3. further tune-ins: a time-out leaves room for a second one, within the budget and the package's terms
 4. cuts and raises: playing viewings step down where a link is over-asked, and up slowly where there is room
 5. word of others: notes, reports and probes correct the link estimate, and fade to what others usually ask
 6. floods: a member asking far beyond its usual rate gets floor rungs, on spare room only
"""
from collections import Counter, defaultdict, deque
from heapq import heappop, heappush
from math import exp
from statistics import median
from zlib import crc32

from herongap.interface import Asked, Charter, Counted, Ending, Group, Listed, Load, Package, Repeat, Standing

PERIOD, RANKS, WINDOW = 0.5, 5.0, 60.0  # the timer; ranks refresh; old viewings fade from a cell
GLANCE = 0.02           # between two looks at all that wait
THIN, SEED = 3, 0.05    # viewings that make a cell count; share of set-ups that go round robin all the same
TIE, CROSS = 0.10, 0.1  # scores this close to the best tie; another zone counts as so much fuller among them
MARK = 0.95             # part of a link or uplink that set-ups and raises may fill
AHEAD = 2.0             # a rung above the floor must fit so many times more, as far as others meet this one
OVER = 1.04             # use above which playing viewings are cut
SETTLE = 1.0            # seconds that a cut has to show, beside the lateness of notes
DWELL = 6.0             # a viewing is not raised sooner after its last step
FAIL_SECONDS = 10.0     # seconds of full stall that a failed tune-in counts as in its cell
SILENT = 0.4            # share delivered under which a streamer counts as failing, not as full
AWAY = 4.0              # how long a failing streamer is set aside, and half as much more by chance
HOLD, FIRST = 0.4, 0.45  # parts of the join target: held without room; taken by a first tune-in
FADE = 16.0             # seconds in which word of others' use fades
PACE = 0.6              # part of the allowance for cold streamers that is used
RUSH = 4                # playing viewings that one in wait counts as where controllers share a slot
FLOOD, LEAST = 4.0, 5.0  # a member floods at so many times its usual rate and so many viewings a second more
FLOOD_MARK = 0.5        # part of links and of places that a flood may fill
FORGET, COME_BACK = 120.0, 0.5  # a streamer that left is forgotten; a blocked viewer may come again
NEVER_RAN = (Ending.FULL, Ending.UNREACHED, Ending.NOT_SENT)


class Pipe:
    """A link or a rack's uplink: what this controller asks of it and what it heard of the rest."""

    def __init__(self, size: float):
        self.size, self.own, self.rest, self.heard, self.eased = size, 0.0, 0.0, -1e9, -1e9
        self.filled = 1.0
        self.past: deque[tuple[float, float]] = deque()

    def add(self, now: float, kb: float) -> None:
        self.past.append((now, self.own))
        self.own += kb
        while self.past[0][0] < now - 10:
            self.past.popleft()

    def told(self, now: float, ratio: float, late: float) -> None:
        # The word is about a moment ago: what was sent or ended here since then must not count twice.
        then = next((own for at, own in self.past if at > now - late), self.own)
        self.rest, self.heard = ratio * self.size - then, now

    def use(self, now: float, usual: float, more: float = 0.0) -> float:
        fresh = max(0.0, 1 - (now - self.heard) / FADE)
        usual *= self.filled
        return max(0.0, self.own + more + fresh * self.rest + (1 - fresh) * usual * self.size) / self.size


class Streamer:
    """What is known of one streamer."""

    def __init__(self, line: Listed, link: Pipe, rack: Pipe):
        self.line, self.link, self.rack = line, link, rack
        self.share, self.back, self.started, self.since = 1.0, -1e9, -1e9, 1e18
        self.slot, self.turn, self.phase = -1, -1, crc32(str(line.streamer).encode())
        self.came, self.held, self.shown = -1e9, {}, Counter()


class Viewing:
    """A viewing this controller answers for or holds."""

    def __init__(self, ask: Asked, package: "Terms", now: float):
        self.id, self.ask, self.package, self.came = ask.viewing, ask, package, now
        self.until, self.aim = now + ask.left, now + min(package.join, ask.left)
        self.top, self.rung, self.stepped = min(ask.top, package.top), package.floor, now
        self.streamer = self.waits = None
        self.playing = self.done = self.flood = False
        self.tries, self.sent, self.tried, self.ran = 0, now, set(), []
        self.hold = self.turn = now
        self.charged, self.short = (), set()


class Terms:
    """The derived figures of one package."""

    def __init__(self, p: Package, ladder: tuple[float, ...], worths: tuple[float, ...], join_adds: float):
        self.name, self.join, self.floor, self.top = p.name, p.join_target, p.floor, p.top
        self.seats, self.repeat, self.group, self.window = p.seats, p.repeat, p.group, p.repeat_window
        self.rates = [kb * p.scale for kb in ladder]
        self.adds = join_adds if p.live else 1.0
        # Value for each kB a second that the step up to a rung brings: cheapest steps are cut first.
        self.gain = [max(p.value * (w - v), 1e-9) / max(kb - k, 1e-9) for w, v, kb, k in
                     zip(worths, (0.0, *worths), self.rates, (0.0, *self.rates), strict=False)]


class Controller:
    """One controller's decisions."""

    def __init__(self, now: float, seed: int, charter: Charter):
        c = charter
        self.seed, self.draws, self.me, self.controllers = seed, 0, c.me, c.controllers
        self.packages = {p.name: Terms(p, c.ladder, c.worths, c.join_adds) for p in c.packages}
        self.zone, self.per_weight, self.places = c.zone, c.link_per_weight, c.places
        self.racks = defaultdict(lambda: Pipe(c.rack_link))
        self.late, self.full_from, self.tune_ins = c.told_late, c.full_from, c.tune_ins
        # Others see the same room at the same time. What they send to one streamer before it is heard of
        # goes by the viewings there, not by how many controllers share them.
        self.ahead = AHEAD * (1 - 1 / max(1, c.controllers))
        self.can_probe, self.come_back = c.probes, min(c.come_back, COME_BACK)
        self.extra = c.extra_free is not None and (c.extra_free, c.extra_share, c.extra_window)
        self.warm_up, self.cold_start = c.warm_up, c.cold_start
        slots = max(1, min(c.places.values(), default=1))
        self.slot = c.warm_up / (slots * c.cold_start * c.fall_multiple * PACE)
        self.streamers, self.viewings, self.waiting = {}, {}, {}
        # A cell: viewings, seconds played, score summed over those seconds.
        self.table: dict[tuple, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.ranks, self.fill, self.turn = {}, {}, {}
        self.taken, self.extras, self.seated, self.fresh = deque(), deque(), Counter(), []
        self.begun, self.shares, self.rates = now, c.over_share < 0.5, {}
        self.usual = self.price = 0.0
        self.due: list[tuple] = []
        self.period, self.refresh, self.wake, self.look, self.glance = now, now, -1e9, False, now
        self.over, self.probing = set(), set()
        self.answers: deque[tuple] = deque([("follow",)] if c.must_follow else [])
        # Wholes of the fleet: what more may be begun here. Nothing before that is known.
        self.wholes, self.left_of = c.wholes, dict.fromkeys((w.name for w in c.wholes), 0)

    # What is heard: each call only updates what is known.

    def listed(self, now: float, kind: str, lines: tuple[Listed, ...]) -> None:
        if kind == "failed":
            heappush(self.due, (now + 0.5 + self.chance(), "follow", 0))
            return
        for line in lines:
            st = self.streamers.get(line.streamer)
            if st is None:
                if line.standing is Standing.LEFT:
                    continue
                link = Pipe(self.per_weight * line.weight)
                st = self.streamers[line.streamer] = Streamer(line, link, self.racks[line.rack])
            if line.started is not None and line.started > st.started:
                st.started, st.share = line.started, 1.0
            st.came, st.line = now, line
        if kind != "changes":
            named = {line.streamer for line in lines}
            for st in self.streamers.values():
                if st.line.streamer not in named:
                    st.line = st.line._replace(standing=Standing.LEFT)
        # Words on a streamer can trail its last viewing, but not by this long.
        for sid in [sid for sid, st in self.streamers.items() if st.line.standing is Standing.LEFT
                    and not st.held and now - max(st.link.heard, st.came) > FORGET]:
            del self.streamers[sid]
        self.look = True

    def asked(self, now: float, ask: Asked) -> None:
        vw = Viewing(ask, self.packages[ask.package], now)
        self.viewings[vw.id] = self.waiting[vw.id] = vw
        vw.flood = self.shares and ask.member is not None and self.floods(now, ask.member)
        if self.extra:
            self.taken.append(now)
        vw.hold = min(now + HOLD * vw.package.join, vw.until - 0.05)
        heappush(self.due, (vw.hold, "hold", vw.id))
        self.fresh.append(vw)

    def floods(self, now: float, member: str) -> bool:
        # What a member asks beyond its share is worth little and must not take the others' places. Its share
        # is told too roughly to count by, and only a part of it is seen: so against its own usual rate.
        rate, usual, at = self.rates.get(member, (0.0, 0.0, now))
        rate = rate * exp((at - now) / 2) + 0.5
        flood = now - self.begun > 5 and rate > FLOOD * usual + LEAST
        # Over 20 s, or the time lived where that is less: begun at nothing, it would stay far under a high
        # steady rate for the first seconds, and that rate then pass for a flood for good.
        span = min(20.0, now - self.begun + 1)
        self.rates[member] = rate, usual if flood else rate + (usual - rate) * exp((at - now) / span), now
        return flood

    def handed(self, now: float, ask: Asked, streamer: int) -> None:
        vw = self.viewings[ask.viewing] = Viewing(ask, self.packages[ask.package], now)
        self.put(now, vw, self.streamers[streamer])
        # Nobody here chose its rung: it may be raised as soon as its streamer has been heard of.
        vw.playing, vw.tries, vw.stepped = True, 1, now - DWELL
        self.table[vw.package.name, streamer][0] += 1
        self.charge(vw, [w.name for w in self.wholes if w.counted is Counted.VIEWINGS
                         and w.name in self.counting(vw, False)])

    def rung_told(self, now: float, viewing: int, rung: float) -> None:
        if (vw := self.viewings.get(viewing)) and vw.streamer is not None:
            self.set_rung(now, vw, int(rung))

    def share_told(self, now: float, streamer: int, share: float) -> None:
        st = self.streamers[streamer]
        st.share = min(1.0, share)
        if share < SILENT:
            # No shortage but a streamer gone silent or cut off: taken as load, it made every link look full.
            self.set_aside(now, st, True)
            return
        # Either the link or the rack's uplink is short: the fuller by estimate.
        pipe = max(st.link, st.rack, key=lambda pipe: pipe.use(now, self.usual))
        pipe.told(now, 1 / max(share, 0.1), self.late)
        self.over.add(streamer)

    def load_told(self, now: float, streamer: int, uplink: bool, viewing: int, ratio: float) -> None:
        st, vw = self.streamers[streamer], self.viewings.get(viewing)
        # The word at set-up is about now; later ones come as late as the settings say.
        if first := vw is not None and now - vw.stepped < 0.1:
            vw.stepped = now - DWELL  # its rung was chosen on little word: it may be raised on this one
        (st.rack if uplink else st.link).told(now, ratio, 0.0 if first else self.late)
        self.over.add(streamer)

    def loaded(self, now: float, st: Streamer, load: Load | None) -> None:
        load = load or Load()
        ratio = load.link
        if ratio is None and load.link_capped is not None:
            # A capped figure hides how much more is asked; the share that is delivered shows it.
            ratio = load.link_capped if load.link_capped < 0.99 else 1 / max(st.share, 0.1)
        if ratio is not None:
            st.link.told(now, ratio, 0.3)
        if load.rack is not None:
            st.rack.told(now, load.rack, 0.3)
        self.over.add(st.line.streamer)

    def started(self, now: float, viewing: int, number: int, streamer: int, taken: float) -> None:
        if vw := self.viewings.get(viewing):
            vw.playing, vw.stepped = True, now
            self.table[vw.package.name, streamer][0] += 1

    def ended(self, now: float, viewing: int, number: int, streamer: int, how: Ending, taken: float,
              closed: bool, load: Load | None) -> None:
        st = self.streamers[streamer]
        self.loaded(now, st, load)
        vw = self.viewings.get(viewing)
        if vw is None:
            return
        if vw.streamer is not None:
            self.drop(now, vw)
        if not vw.playing and how is Ending.FULL:
            # Without a report of its own, a streamer that refuses by load is taken to be at that load.
            if load is None and self.full_from:
                st.link.told(now, self.full_from, 0.0)
        elif how is Ending.BROKEN or not (vw.playing or how in (Ending.CALLED_OFF, Ending.NOT_SENT)):
            self.failed(now, vw, st, how)
        if closed or vw.done:
            del self.viewings[viewing]
        else:
            vw.tried.add(streamer)
            if how not in NEVER_RAN:
                vw.ran.append((st.line.zone, st.line.cell, vw.sent))
            vw.tries = self.tune_ins if how is Ending.NOT_SENT else vw.tries
            self.waiting[viewing] = vw
            self.fresh.append(vw)
            vw.hold = min(max(now + 0.05, vw.aim), vw.until - 0.05)
            heappush(self.due, (vw.hold, "hold", viewing))
        self.look = True

    def left(self, now: float, viewing: int) -> None:
        if vw := self.viewings.get(viewing):
            vw.done = True
            self.waiting.pop(viewing, None)
            if vw.streamer is None:
                del self.viewings[viewing]

    def probed(self, now: float, streamer: int, how: Ending, taken: float, load: Load | None) -> None:
        st = self.streamers[streamer]
        self.loaded(now, st, load)
        if how is not Ending.PLAYED:
            self.set_aside(now, st, True)
        self.probing.discard(streamer)
        self.fresh += [vw for vw in self.waiting.values() if vw.waits == streamer]
        self.look = True

    def heard(self, now: float, peer: int, words: bytes) -> None:
        """Controllers tell each other nothing yet: what they ask of links was tried and helped too little."""

    def counted(self, now: float, me: int | None, controllers: int) -> None:
        """How many controllers live and which of them this is, None while others may not reckon with it."""
        self.me, self.controllers, self.look = me, controllers, True
        for st in self.streamers.values():
            st.turn = -1
        self.ahead = AHEAD * (1 - 1 / controllers)

    def given(self, now: float, whole: str, room: int) -> None:
        """How many more may be begun here that count for a whole; below 0: so many must end."""
        self.left_of[whole], self.look = room, True
        held = [vw for vw in self.viewings.values() if whole in vw.charged and vw.playing] if room < 0 else []
        going = sum(vw.done for vw in held)
        held = sorted((vw for vw in held if not vw.done), key=lambda vw: vw.package.gain[0])
        for vw in held[:max(0, -room - going)]:
            vw.done = True
            self.answers.append(("move", vw.id))

    def woke(self, now: float) -> None:
        # Rounding can ring a hair before the due time; a spent alarm must not pass for one still set. One
        # that an earlier one has replaced rings too, and asks for no other: they would become ever more.
        if now + 0.01 >= self.wake:
            self.wake = -1e9

    # What is decided.

    def decide(self, now: float) -> tuple | None:
        if not self.answers:
            self.think(now)
        return self.answers.popleft() if self.answers else None

    def think(self, now: float) -> None:
        while self.due and self.due[0][0] <= now:
            _, what, who = heappop(self.due)
            if what == "follow":
                self.answers.append(("follow",))
            elif (vw := self.waiting.get(who)) and not self.place(now, vw) and now >= max(vw.hold, vw.turn):
                self.give_up(vw)
        if now >= self.period:
            self.tick(now)
        for streamer in self.over:
            self.cut(now, self.streamers[streamer])
            self.raise_one(now, self.streamers[streamer])
        self.over.clear()
        # One more request makes no room: those that wait already are looked at when something else has
        # changed, and not at every single word, since with many in wait all time would go into looking.
        if look := self.look and now >= self.glance:
            self.look, self.glance = False, now + GLANCE
        fresh, self.fresh = list(self.waiting.values()) if look else self.fresh, []
        for vw in fresh:
            if self.waiting.get(vw.id) is vw:
                self.place(now, vw)
        wake = min(self.period, self.due[0][0]) if self.due else self.period
        wake = min(wake, self.glance) if self.look else wake
        if not now < self.wake <= wake:
            self.wake = wake
            self.answers.append(("wake", wake))

    def place(self, now: float, vw: Viewing) -> bool:
        """Send a waiting viewing to the best holder with room, or say that there is none."""
        p = vw.package
        holders = [st for st in self.streamers.values() if st.line.shelf in vw.ask.holders
                   and st.line.streamer not in vw.tried and self.repeats_at(now, vw, st)]
        spent = vw.tries >= self.tune_ins or (vw.tries and not holders)
        if spent or vw.top < p.floor or vw.until - now < 0.05:
            # Waiting would not help: the viewer is better off coming again.
            self.give_up(vw)
            return True
        seated = p.seats and p.seats <= self.seated[p.name, vw.ask.title]
        if seated or (vw.tries and not self.may_repeat(now)) or not self.within(vw, False):
            return False
        ready = [st for st in holders if st.line.standing is Standing.ACTIVE and self.paced(now, st)
                 and len(st.held) < self.places.get(st.line.kind, 1 << 30)
                 and (now - st.started >= self.warm_up or self.within(vw, True))]
        # Where all lose answers all are set aside: one that has been heard of since is better than none.
        ready = [st for st in ready if st.back <= now] or [
            st for st in ready if st.link.heard > st.back - AWAY]
        if vw.flood:
            ready = [st for st in ready if self.use(now, st, p.rates[p.floor]) <= FLOOD_MARK
                     and len(st.held) < FLOOD_MARK * self.places.get(st.line.kind, 1) / self.controllers]
        if vw.waits in self.probing or (vw.waits is None and self.inquire(now, vw, ready)):
            return False
        for rung in range(p.floor if vw.flood else vw.top, p.floor - 1, -1):
            more = p.rates[rung] * (1 + self.room(p, rung) if rung > p.floor else 1)
            room = [st for st in ready if self.use(now, st, more) <= MARK]
            if room:
                self.send(now, vw, self.pick(now, vw, room), rung)
                return True
        roomy = min(ready, key=lambda st: (self.use(now, st), self.chance()), default=None)
        if fits := roomy is not None and self.use(now, roomy, p.rates[p.floor]) <= 1:
            self.send(now, vw, roomy, p.floor)
        elif vw.turn <= now and self.me is not None:
            # A slot lasts for milliseconds: unless it is waited for, next to none who wait meet theirs.
            turns = [(self.next_turn(now, st) + 0.1) * self.slot for st in holders
                     if now - st.started < self.warm_up and st.line.standing is Standing.ACTIVE]
            last = vw.aim - (0.0 if vw.tries else FIRST * p.join)
            vw.turn = min((at for at in turns if now < at < min(last, vw.until - 0.05)), default=vw.turn)
            if vw.turn > now:
                heappush(self.due, (vw.turn, "turn", vw.id))
        return fits

    def inquire(self, now: float, vw: Viewing, ready: list[Streamer]) -> bool:
        """Probe a holder not lately heard of: a controller with few viewings knows next to nothing."""
        unheard = self.can_probe and [st for st in ready if now - st.link.heard > 1]
        if not unheard:
            return False
        vw.waits = unheard[int(self.chance() * len(unheard))].line.streamer
        self.probing.add(vw.waits)
        self.answers.append(("probe", vw.waits))
        return True

    def pick(self, now: float, vw: Viewing, room: list[Streamer]) -> Streamer:
        """The best cell, ties to the least used; round robin for thin cells and a share of all set-ups."""
        name = vw.package.name
        # A controller with few viewings has thin cells alone: they count as the average of their zone, as the
        # paper's k-NN takes neighbours at a greater distance, and seeding is left to rows that can fill.
        score = {st: self.ranks.get((name, st.line.streamer), self.ranks.get(
            (name, st.line.zone), self.ranks.get((name, None), 0.0))) for st in room}
        best = max(score.values())
        tied = [st for st in room if score[st] >= best - TIE * abs(best)]
        near = {st: st.line.zone == self.zone for st in room}
        st = min(tied, key=lambda st: (self.use(now, st) - CROSS * near[st], self.chance()))
        if self.chance() < max(SEED, ((name, st.line.streamer) not in self.ranks) * self.fill[name]):
            # Other zones are seeded only in need: crossing costs, and breaks when a zone is cut off.
            room = [st for st in room if near[st]] or room
            room.sort(key=lambda st: st.line.streamer)
            # Each starts its round elsewhere: with few viewings each, all would seed the same lowest ids.
            last = self.turn.get(name, room[int(self.chance() * len(room))].line.streamer)
            st = next((st for st in room if st.line.streamer > last), room[0])
            self.turn[name] = st.line.streamer
        return st

    def send(self, now: float, vw: Viewing, st: Streamer, rung: int) -> None:
        del self.waiting[vw.id]
        self.charge(vw, self.counting(vw, now - st.started < self.warm_up))
        vw.rung, vw.tries, vw.sent, vw.stepped = rung, vw.tries + 1, now, now
        if self.extra and vw.tries > 1:
            self.extras.append(now)
        st.slot = int(now / self.slot)
        self.put(now, vw, st)
        # The first leaves room for a second within the join target; that one may use what is left of it.
        most = max(FIRST * vw.package.join, vw.aim - now if vw.tries > 1 else 0.0)
        self.answers += ("rung", vw.id, rung), ("tune_in", vw.id, st.line.streamer, min(most, vw.until - now))

    def give_up(self, vw: Viewing) -> None:
        """The final answer, at once: blocked where a return does no harm, aborted where it might."""
        self.waiting.pop(vw.id)
        self.viewings.pop(vw.id)
        p = vw.package
        safe = p.repeat is Repeat.HARMLESS or (p.repeat, p.group) == (Repeat.IN_GROUP, Group.ALL)
        self.answers.append(("abort", vw.id) if vw.ran and not safe else ("block", vw.id, self.come_back))

    def may_repeat(self, now: float) -> bool:
        """Whether the budget of further tune-ins has one left."""
        if not self.extra:
            return True
        free, share, window = self.extra
        while self.extras and self.extras[0] < now - window - 0.1:
            self.extras.popleft()
        while self.taken and self.taken[0] < now - window + 0.1:
            self.taken.popleft()
        return len(self.extras) + 1 <= free + share * len(self.taken)

    def counting(self, vw: Viewing, cold: bool) -> list[str]:
        """The wholes for which a viewing's next tune-in counts."""
        ask, sorts = vw.ask, {Counted.VIEWINGS, Counted.TUNE_INS}
        sorts |= {Counted.FURTHER} if vw.tries else set()
        sorts |= {Counted.COLD} if cold else set()
        return [w.name for w in self.wholes if w.counted in sorts and w.package in (None, ask.package)
                and w.member in (None, ask.member) and w.title in (None, ask.title)]

    def within(self, vw: Viewing, cold: bool) -> bool:
        """Whether every whole that it counts for has room here; of one that has none more is wanted."""
        short = {name for name in self.counting(vw, cold) if self.left_of[name] < 1} if self.wholes else set()
        # Asked for while the viewing waits, not when it is blocked: others may have some to give by then.
        self.answers += [("short", name) for name in sorted(short - vw.short)]
        vw.short |= short
        return not short

    def charge(self, vw: Viewing, names: list[str]) -> None:
        if self.wholes:
            vw.charged = tuple(names)
            self.left_of.update((name, self.left_of[name] - 1) for name in names)
            self.answers.append(("charge", vw.id, vw.charged))

    def repeats_at(self, now: float, vw: Viewing, st: Streamer) -> bool:
        """Whether the package's terms let this viewing be set up at this streamer after what may have run."""
        p = vw.package
        if not vw.ran or p.repeat is Repeat.HARMLESS:
            return True
        return p.repeat is Repeat.IN_GROUP and all(
            now - sent < p.window and (p.group is Group.ALL or (zone == st.line.zone and (
                p.group is Group.ZONE or cell == st.line.cell))) for zone, cell, sent in vw.ran)

    def paced(self, now: float, st: Streamer) -> bool:
        """Cold streamers take one set-up in each of this controller's own slots."""
        slot, cold = int(now / self.slot), now - st.started < self.warm_up
        if not cold:
            # A controller that was away, or whose list is late, is not told of every start, and would send
            # all it has to the one that is empty: what it has not heard of for so long takes one a slot.
            return now - st.since >= self.warm_up or slot != st.slot
        return self.me is not None and slot != st.slot and slot == self.next_turn(now, st)

    def may_leave(self, now: float, viewing: int, ranked: bool) -> bool:
        """Whether a tune-in may still leave, by the pace; `ranked`: our place among others still holds."""
        vw = self.viewings.get(viewing)
        if vw is None or vw.streamer is None or now - vw.streamer.started >= self.warm_up:
            return True
        # What a process that was stopped has left over must not fall into its next turn, nor into others'.
        return ranked and now - vw.sent < self.slot * self.controllers

    def next_turn(self, now: float, st: Streamer) -> int:
        """The slot in which this controller may next send something to a cold streamer: now, or later."""
        # No more share a slot than viewings share a streamer: among hundreds, each would wait for minutes.
        # Those that wait for room all meet at the streamer that has just started.
        slot, much = int(now / self.slot), len(self.viewings) + RUSH * len(self.waiting)
        turns = min(self.controllers, 1 + much * self.controllers // len(self.streamers))
        # A turn that was set is kept, or each viewing more would move it; one set in a crowd not beyond that.
        if not slot <= st.turn < slot + turns:
            # Each streamer's turns fall elsewhere: where several holders are cold, one of them is soon due.
            st.turn = slot + (self.me + st.phase - slot) % turns
        return st.turn

    def failed(self, now: float, vw: Viewing, st: Streamer, how: Ending) -> None:
        # A failing streamer plays no seconds, so its stale high score would keep winning.
        cell = self.table[vw.package.name, st.line.streamer]
        cell[1] += FAIL_SECONDS
        cell[2] -= FAIL_SECONDS * 370
        self.set_aside(now, st, how is not Ending.FAULTY)

    def set_aside(self, now: float, st: Streamer, lost: bool) -> None:
        # One failure is enough: sound streamers hardly ever fail, and those that do seldom stop at one.
        if now >= st.back:
            st.back = now + AWAY * (1 + self.chance() / 2)
            if lost:
                # It may come back cold before the list says so.
                st.started = max(st.started, st.back)

    def tick(self, now: float) -> None:
        """The one periodic job: scores, the going price, ranks and what others usually ask."""
        self.period, self.look = now + PERIOD, True
        fade = 1 - PERIOD / WINDOW
        for cell in self.table.values():
            cell[:] = cell[0] * fade, cell[1] * fade, cell[2] * fade
        racks = defaultdict(list)
        for st in self.streamers.values():
            # One that has just started has nothing, and others fill it as it warms. Taken for as full as all
            # others, it would stay empty when it is needed most: a zone that returns, a release.
            age = now - (st.line.started or -1e9)
            st.link.filled = min(1.0, max(0.0, age / self.warm_up)) if self.warm_up else 1.0
            racks[st.line.rack].append(st.link.filled)
            warmth = self.cold_start + (1 - self.cold_start) * max(0.0, now - st.started) / self.warm_up
            st.link.size = self.per_weight * st.line.weight * min(1.0, warmth)
            for vw in st.held.values():
                if vw.playing:
                    cell = self.table[vw.package.name, st.line.streamer]
                    cell[1] += PERIOD
                    cell[2] += PERIOD * (vw.package.rates[vw.rung] * 8 * st.share / 20 - 370 * (1 - st.share))
        for rack, filled in racks.items():
            self.racks[rack].filled = sum(filled) / len(filled)
        # Its own viewings are a sample of all: what their last steps are worth, on the mean, is the price.
        gains = [vw.package.gain[vw.rung] for vw in self.viewings.values() if vw.playing]
        self.price = sum(gains) / len(gains) if gains else 0.0
        if now >= self.refresh:
            self.refresh = now + RANKS
            for key in [key for key, cell in self.table.items() if cell[0] + cell[1] < 0.01]:
                del self.table[key]
            pooled = defaultdict(lambda: [0.0, 0.0, 0.0])
            for (name, sid), cell in self.table.items():
                for near in (sid, sid in self.streamers and self.streamers[sid].line.zone, None):
                    pooled[name, near][:] = map(sum, zip(pooled[name, near], cell, strict=True))
            self.ranks = {key: c[2] / c[1] for key, c in pooled.items() if c[0] >= THIN and c[1] > 0}
            self.fill = {name: pooled[name, None][0] / max(1, len(self.streamers)) for name in self.packages}
        live = [st for st in self.streamers.values() if st.line.standing is Standing.ACTIVE]
        fresh = [st.link.rest / st.link.size for st in live if now - st.link.heard < FADE]
        own = sum(st.link.own for st in live) / (sum(st.link.size for st in live) or 1.0)
        for st in live:
            st.since = min(st.since, now) if now - st.link.heard < FADE else 1e18
        # The median: one failing streamer's word must not make every other link look full.
        self.usual = max(0.0, median(fresh) if fresh else own * (self.controllers - 1))

    def room(self, p: Terms, rung: int) -> float:
        """How often a rung must fit again for what others may do: the cheaper its last step, the more."""
        return self.ahead * (self.price / p.gain[rung] if self.price else 1.0)

    def raise_one(self, now: float, st: Streamer) -> None:
        up = [vw for vw in st.held.values() if vw.playing and vw.rung < vw.top and now - vw.stepped >= DWELL]
        for vw in sorted(up, key=lambda vw: -vw.package.gain[vw.rung + 1])[:1]:
            # All others here hear the same word at the same time, and may all raise on it.
            rates, use, own = vw.package.rates, self.use(now, st), st.link.own / st.link.size
            for rung in range(vw.top, vw.rung, -1):
                more = max(rates[rung] - rates[vw.rung], 1e-9) / st.link.size
                part = (MARK - use) / (more + max(0.0, use - own) * (rates[rung] / rates[vw.rung] - 1))
                if use + more * (1 + self.room(vw.package, rung)) <= MARK and (
                        part >= 1 or (rung == vw.rung + 1 and self.chance() < part)):
                    self.step(now, vw, rung)
                    return

    def cut(self, now: float, st: Streamer) -> None:
        """Step down this controller's own part of what is asked too much, cheapest steps first."""
        for pipe in (st.link, st.rack):
            use = pipe.use(now, self.usual)
            # Words about the time before the last cut would cut twice for one shortage.
            if use <= OVER or now - pipe.eased < self.late + SETTLE:
                continue
            pipe.eased = now
            held = [vw for vw in self.viewings.values()
                    if vw.playing and vw.streamer and pipe in (vw.streamer.link, vw.streamer.rack)]
            # Each step costs the viewer: all that one viewing gives up goes in a single step.
            goal, stepped = pipe.own * MARK / use, {}
            while pipe.own > goal and (down := [vw for vw in held if vw.rung > vw.package.floor]):
                vw = min(down, key=lambda vw: vw.package.gain[vw.rung])
                # By chance if greater than due: single viewings of many controllers must not all step.
                rates = vw.package.rates
                due = (pipe.own - goal) * self.price / vw.package.gain[vw.rung]
                if self.chance() * (rates[vw.rung] - rates[vw.rung - 1]) > due:
                    break
                self.set_rung(now, vw, vw.rung - 1)
                stepped[vw.id] = vw
            for vw in stepped.values():
                self.step(now, vw, vw.rung)

    # Bookkeeping shared by both.

    def step(self, now: float, vw: Viewing, rung: int) -> None:
        self.set_rung(now, vw, rung)
        vw.stepped = now
        self.answers.append(("rung", vw.id, rung))

    def set_rung(self, now: float, vw: Viewing, rung: int) -> None:
        self.ask(now, vw, -1)
        vw.rung = rung
        self.ask(now, vw, 1)

    def put(self, now: float, vw: Viewing, st: Streamer) -> None:
        vw.streamer = st
        st.held[vw.id] = vw
        self.seated[vw.package.name, vw.ask.title] += 1
        self.ask(now, vw, 1)

    def drop(self, now: float, vw: Viewing) -> None:
        self.ask(now, vw, -1)
        del vw.streamer.held[vw.id]
        self.seated[vw.package.name, vw.ask.title] -= 1
        if not self.seated[vw.package.name, vw.ask.title]:
            del self.seated[vw.package.name, vw.ask.title]
        vw.streamer = None

    def ask(self, now: float, vw: Viewing, sign: int) -> None:
        # Viewers of one live title at one rung share a stream: each further one adds only a part.
        st, key = vw.streamer, (vw.ask.title, vw.package.name, vw.rung)
        st.shown[key] += sign
        kb = sign * vw.package.rates[vw.rung] * (vw.package.adds if st.shown[key] + (sign < 0) > 1 else 1.0)
        if not st.shown[key]:
            del st.shown[key]
        st.link.add(now, kb)
        st.rack.add(now, kb)

    def use(self, now: float, st: Streamer, more: float = 0.0) -> float:
        return max(st.link.use(now, self.usual, more), st.rack.use(now, self.usual, more))

    def chance(self) -> float:
        self.draws += 1
        return crc32(b"%d:%d" % (self.seed, self.draws)) / 2**32
