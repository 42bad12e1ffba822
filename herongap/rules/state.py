"""What one controller knows, shared by all its parts: streamers, pipes, viewings, what it is yet to say."""

from collections import Counter, defaultdict, deque
from statistics import fmean, median_low
from zlib import crc32

from herongap.interface import (
    DeploymentConfig,
    LoadReport,
    Package,
    StreamerEntry,
    StreamerStatus,
    ViewingRequest,
)

SILENT = 0.4  # share delivered under which a streamer counts as failing, not as full
AWAY = 4.0  # how long a failing streamer is set aside, and half as much more by chance
FADE, FORGET = 16.0, 120.0  # seconds: in which word of others' use fades; until one that left is forgotten


class SharedLink:
    """A link or a rack's uplink: what this controller asks of it and what it heard of the rest."""

    def __init__(self, size: float, every: "SharedLink | None" = None):
        self.size, self.own, self.rest, self.heard, self.eased = size, 0.0, 0.0, -1e9, -1e9
        self.filled, self.every, self.base, self.one, self.past = 1.0, every, 0.0, 0.0, deque()

    def add(self, now: float, kb: float) -> None:
        self.past.append((now, self.own))
        self.own += kb
        while self.past[0][0] < now - 10:
            self.past.popleft()

    def asked(self, then: float) -> float:
        return next((own for at, own in self.past if at > then), self.own)

    def told(self, now: float, ratio: float, late: float) -> None:
        # The word is about a moment ago: what was sent or ended here since then must not count twice.
        self.rest, self.heard = ratio * self.size - self.asked(now - late), now
        self.base = self.every.asked(now - late)

    def others(self) -> float:
        # A word ages fast in a burst: what own use changed since, beyond chance, is a sample of all others.
        change = self.every.own - self.base
        sure = change * max(0.0, 1 - (self.every.one / max(abs(change), 1e-9)) ** 0.5)
        return max(0.0, self.rest / self.size + sure / self.every.size)

    def utilization(self, now: float, usual: float, more: float = 0.0) -> float:
        old = min(1.0, (now - self.heard) / FADE)
        return max(0.0, (self.own + more) / self.size + (1 - old) * self.others() + old * usual * self.filled)


class Streamer:
    def __init__(self, line: StreamerEntry, link: SharedLink, rack: SharedLink):
        self.entry, self.link, self.rack = line, link, rack
        self.share, self.set_aside_until, self.started, self.reported_since = 1.0, -1e9, -1e9, 1e18
        self.slot, self.turn, self.phase = -1, -1, crc32(str(line.streamer).encode())
        self.came, self.viewings, self.shown = -1e9, {}, Counter()


class PackageProfile:
    def __init__(self, p: Package, ladder: tuple[float, ...], worths: tuple[float, ...], join_adds: float):
        self.name, self.join, self.floor, self.top = p.name, p.join_target, p.floor, p.top
        self.seats, self.repeat, self.group, self.window = p.seats, p.repeat, p.group, p.repeat_window
        self.rates = [kb * p.scale for kb in ladder]
        self.adds = join_adds if p.live else 1.0
        # Value for each kB a second that the step up to a rung brings: cheapest steps are cut first.
        self.gain = [
            max(p.value * (w - v), 1e-9) / max(kb - k, 1e-9)
            for w, v, kb, k in zip(worths, (0.0, *worths), self.rates, (0.0, *self.rates), strict=False)
        ]


class Viewing:
    def __init__(self, ask: ViewingRequest, package: PackageProfile, now: float):
        self.id, self.ask, self.package, self.streamer, self.waits = ask.viewing, ask, package, None, None
        self.until, self.aim = now + ask.time_left, now + min(package.join, ask.time_left)
        self.top, self.rung, self.tries = min(ask.top, package.top), package.floor, 0
        self.sent = self.stepped = self.hold = self.turn = now
        self.playing = self.done = self.flood = self.apart = False
        self.tried, self.ran, self.charged, self.short = set(), [], (), set()


class ControllerState:
    def __init__(self, seed: int, charter: DeploymentConfig):
        c = charter
        self.seed, self.draws, self.rank, self.controllers = seed, 0, c.me, c.controllers
        self.packages = {p.name: PackageProfile(p, c.ladder, c.worths, c.join_adds) for p in c.packages}
        self.zone, self.per_weight, self.places, self.warm_up = c.zone, c.link_per_weight, c.places, c.warm_up
        self.racks = defaultdict(lambda: SharedLink(c.rack_link, self.every))
        self.late, self.full_from, self.tune_ins = c.told_late, c.full_from, c.tune_ins
        self.streamers, self.viewings, self.waiting, self.seated = {}, {}, {}, Counter()
        self.usual_load, self.over, self.look, self.decisions, self.every = (
            0.0,
            set(),
            False,
            deque(),
            SharedLink(1e18),
        )
        # Requests of the last seconds; how often each holder_id was asked for, and (None) anything.
        self.asks, self.named, self.cold_start = 0.0, Counter(), c.cold_start

    def listed(self, now: float, kind: str, lines: tuple[StreamerEntry, ...]) -> None:
        for line in lines:
            if line.streamer not in self.streamers and line.status is not StreamerStatus.LEFT:
                link = SharedLink(self.per_weight * line.weight, self.every)
                self.streamers[line.streamer] = Streamer(line, link, self.racks[line.rack])
            if st := self.streamers.get(line.streamer):
                if line.started is not None and line.started > st.started:
                    st.started, st.share = line.started, 1.0
                st.came, st.entry = now, line
        named = self.streamers.keys() if kind == "changes" else {line.streamer for line in lines}
        for sid in self.streamers.keys() - named:
            self.streamers[sid].entry = self.streamers[sid].entry._replace(status=StreamerStatus.LEFT)
        # Words on a streamer can trail its last viewing, but not by this long.
        for sid, st in list(self.streamers.items()):
            gone = st.entry.status is StreamerStatus.LEFT and not st.viewings
            if gone and now - max(st.link.heard, st.came) > FORGET:
                del self.streamers[sid]
        self.look = True

    def share_told(self, now: float, streamer: int, share: float) -> None:
        st = self.streamers[streamer]
        st.share = min(1.0, share)
        if share < SILENT:
            # No shortage but a streamer gone silent or cut off: taken as load, it made every link look full.
            return self.set_aside(now, st, True)
        # Either the link or the rack's uplink is short: the fuller by estimate.
        pipe = max(st.link, st.rack, key=lambda pipe: pipe.utilization(now, self.usual_load))
        pipe.told(now, 1 / max(share, 0.1), self.late)
        self.over.add(streamer)

    def loaded(self, now: float, st: Streamer, load: LoadReport | None) -> None:
        load = load or LoadReport()
        if (ratio := load.link) is None and load.link_capped is not None:
            # A capped figure hides how much more is asked; the share that is delivered shows it.
            ratio = load.link_capped if load.link_capped < 0.99 else 1 / max(st.share, 0.1)
        for pipe, told in ((st.link, ratio), (st.rack, load.rack)):
            if told is not None:
                pipe.told(now, told, 0.3)
        self.over.add(st.entry.streamer)

    def set_aside(self, now: float, st: Streamer, lost: bool) -> None:
        # One failure is enough: sound streamers hardly ever fail, and those that do seldom stop at one.
        if now >= st.set_aside_until:
            st.set_aside_until = now + AWAY * (1 + self.random_fraction() / 2)
            if lost:
                # It may come back cold before the list says so.
                st.started = max(st.started, st.set_aside_until)

    def tick(self, now: float) -> None:
        """How large and full links are where nothing is heard, and what others usually ask of one."""
        self.asks, known = 0.6 * self.asks, self.streamers.values()
        self.named = Counter({name: 0.99 * times for name, times in self.named.items() if times > 0.01})
        for st in known:
            # Taken for as full as all others, one that has just started would stay empty when needed most.
            st.link.filled = min(1.0, max(0.0, (now - (st.entry.started or -1e9)) / self.warm_up))
            warmth = self.cold_start + (1 - self.cold_start) * max(0.0, now - st.started) / self.warm_up
            st.link.size = self.per_weight * st.entry.weight * min(1.0, warmth)
            st.reported_since = min(st.reported_since, now) if now - st.link.heard < FADE else 1e18
        for i, rack in self.racks.items():
            rack.filled = fmean([st.link.filled for st in known if st.entry.rack == i] or [1])
        live = [st for st in known if st.entry.status is StreamerStatus.ACTIVE]
        # One controller's part of all links: what it asks in all of this, others ask of each on the mean.
        self.every.size = (sum(st.link.size for st in live) or 1.0) / max(self.controllers - 1, 1e-9)
        own = sum(st.link.own for st in live) / self.every.size
        fresh = [st.link.others() for st in live if now - st.link.heard < FADE]
        # The median: one failing streamer's word must not make every other link look full, not even alone.
        self.usual_load = median_low(fresh if len(fresh) > 2 else [*fresh, own])

    def set_rung(self, now: float, vw: Viewing, rung: int) -> None:
        self.ask(now, vw, -1)
        vw.rung = rung
        self.ask(now, vw, 1)

    def put(self, now: float, vw: Viewing, st: Streamer) -> None:
        vw.streamer = st
        st.viewings[vw.id] = vw
        self.seated[vw.package.name, vw.ask.title] += 1
        self.ask(now, vw, 1)

    def drop(self, now: float, vw: Viewing) -> None:
        self.ask(now, vw, -1)
        del vw.streamer.viewings[vw.id]
        self.seated[seat := (vw.package.name, vw.ask.title)] -= 1
        if not self.seated[seat]:
            del self.seated[seat]
        vw.streamer = None

    def ask(self, now: float, vw: Viewing, sign: int) -> None:
        # Viewers of one live title at one rung share a stream: each further one adds only a part.
        st, key = vw.streamer, (vw.ask.title, vw.package.name, vw.rung)
        st.shown[key] += sign
        kb = sign * vw.package.rates[vw.rung] * (vw.package.adds if st.shown[key] + (sign < 0) > 1 else 1.0)
        if not st.shown[key]:
            del st.shown[key]
        self.every.one = abs(kb)
        for pipe in (st.link, st.rack, self.every)[: 3 - vw.apart]:
            pipe.add(now, kb)

    def utilization(self, now: float, st: Streamer, more: float = 0.0) -> float:
        return max(
            st.link.utilization(now, self.usual_load, more), st.rack.utilization(now, self.usual_load, more)
        )

    def random_fraction(self) -> float:
        self.draws += 1
        return crc32(b"%d:%d" % (self.seed, self.draws)) / 2**32
