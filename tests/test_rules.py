"""Seeded random runs: a small world of streamers answers at random, each rule checked at every step."""

import random

from helpers import NEWS, controller, deployment_config, pull_decisions, streamer_entry, viewing_request

from herongap.interface import EndReason, LoadReport, RepeatSafety, RepeatScope, StreamerStatus

PACKAGES = (
    NEWS._replace(floor=1, seats=3),
    NEWS._replace(name="once", repeat=RepeatSafety.HARMFUL),
    NEWS._replace(name="keyed", repeat=RepeatSafety.IN_GROUP, group=RepeatScope.ZONE),
)
NEVER_RAN = (EndReason.FULL, EndReason.UNREACHED, EndReason.NOT_SENT)
FULL_TOO = (EndReason.FULL,) * 6  # leaves a streamer in use, so that further tune-ins are met
FAILURES = (
    *FULL_TOO,
    EndReason.FAULTY,
    EndReason.TIMED_OUT,
    EndReason.UNREACHED,
    EndReason.BROKEN,
    EndReason.UNKNOWN,
)


class World:
    """What a controller may see, and figures of its own about what it did."""

    def __init__(self, seed: int, **terms):
        self.random, self.now = random.Random(seed), 0.0
        self.terms = deployment_config(
            packages=PACKAGES, extra_free=1.0, extra_share=0.1, extra_window=5.0, **terms
        )
        self.c = controller(self.terms, cells=6)
        self.standing = {10 + i: StreamerStatus.ACTIVE for i in range(6)}
        self.started = {st: -1e9 for st in self.standing}
        self.asks, self.owed, self.out, self.playing, self.ran, self.tries = {}, {}, {}, {}, {}, {}
        self.seats, self.taken, self.extras, self.cold = {}, [], [], []
        self.number = 0

    def check_tune_in(self, vw: int, st: int, patience: float) -> None:
        package = next(p for p in PACKAGES if p.name == self.asks[vw].package)
        assert vw in self.owed and vw not in self.out and vw not in self.playing, (
            "two tune-ins, or one too late"
        )
        assert self.standing[st] is StreamerStatus.ACTIVE, "sent to a drained streamer"
        assert 0 < patience <= self.owed[vw] - self.now + 1e-9
        if package.repeat is RepeatSafety.HARMFUL:
            assert not self.ran.get(vw), "set up twice"
        self.tries[vw] = self.tries.get(vw, 0) + 1
        assert self.tries[vw] <= self.terms.tune_ins
        if self.tries[vw] > 1:
            self.extras.append(self.now)
            recent = sum(t > self.now - 5 for t in self.extras)
            assert recent <= 1 + 0.1 * sum(t > self.now - 5 for t in self.taken), "over the budget"
        key = self.asks[vw].title, package.name
        self.seats[key] = self.seats.get(key, 0) + 1
        assert not package.seats or self.seats[key] <= package.seats, "over the seats"
        if self.now - self.started[st] < self.terms.warm_up:
            self.cold.append((self.now, st))
            pace = 20 / self.terms.warm_up * self.terms.cold_start * self.terms.fall_multiple
            sent = sum(s == st and t > self.now - 2 for t, s in self.cold)
            assert sent <= max(1, 2 * pace / self.terms.controllers), "over its part of the cold pace"
        self.out[vw] = st

    def pull(self) -> None:
        for verb, *rest in pull_decisions(self.c, self.now):
            if verb == "tune_in":
                self.check_tune_in(*rest)
            elif verb == "rung":
                ask = self.asks[rest[0]]
                floor = next(p.floor for p in PACKAGES if p.name == ask.package)
                assert floor <= rest[1] <= ask.top, "outside the package's terms"
            elif verb in ("block", "abort"):
                vw = rest[0]
                assert vw not in self.out, "answered with a tune-in out"
                del self.owed[vw]
                if verb == "block" and self.asks[vw].package != "news":
                    assert not self.ran.get(vw), "blocked though it may have run"
        assert all(until > self.now - 0.03 for vw, until in self.owed.items() if vw not in self.out), (
            "answer overdue"
        )

    def end(self, vw: int, how: EndReason) -> None:
        st = self.out.pop(vw, None) or self.playing.pop(vw)[0]
        ask = self.asks[vw]
        self.seats[ask.title, ask.package] -= 1
        closed = vw not in self.owed
        if how not in NEVER_RAN:
            self.ran[vw] = True
        load = LoadReport(link=self.random.uniform(0, 0.7)) if self.random.random() < 0.5 else None
        self.c.ended(self.now, vw, 0, st, how, 0.1, closed, load)

    def step(self) -> None:
        r = self.random
        self.now = round(self.now + 0.02, 6)
        if r.random() < 0.15:
            self.number += 1
            package = r.choice(PACKAGES).name
            a = viewing_request(
                self.number, r.randint(1, 2), package, r.randint(1, 3), r.randint(3, 6), r.uniform(0.2, 4)
            )
            self.asks[a.viewing], self.owed[a.viewing] = a, self.now + a.time_left
            self.taken.append(self.now)
            self.c.asked(self.now, a)
        for vw in list(self.out):
            if self.owed.get(vw, 1e9) <= self.now or (chance := r.random()) < 0.04:
                self.end(vw, EndReason.TIMED_OUT if vw not in self.owed else r.choice(FAILURES))
            elif chance < 0.2:
                self.playing[vw] = (self.out.pop(vw), self.now + r.uniform(0.1, 20))
                self.owed.pop(vw, None)
                self.c.started(self.now, vw, 0, self.playing[vw][0], 0.1)
            elif chance < 0.205 and self.owed.pop(vw, None):
                self.c.left(self.now, vw)
        for vw, (st, until) in list(self.playing.items()):
            if until <= self.now or r.random() < 0.0003:
                self.end(vw, r.choice((EndReason.PLAYED, EndReason.BROKEN, EndReason.CALLED_OFF)))
            elif r.random() < 0.01:
                self.c.load_told(self.now, st, r.random() < 0.5, vw, r.uniform(0, 0.7))
                self.c.share_told(self.now, st, r.uniform(0.9, 1))
        if r.random() < 0.008:
            st = r.choice(list(self.standing))
            self.standing[st] = r.choice(
                (StreamerStatus.ACTIVE, StreamerStatus.ACTIVE, StreamerStatus.LEAVING)
            )
            if r.random() < 0.5:
                self.started[st] = self.now
            since = self.started[st] if self.started[st] > 0 else None
            self.c.listed(self.now, "changes", (streamer_entry(st, st - 10, self.standing[st], since),))
        self.c.woke(self.now)
        self.pull()


def test_every_rule_at_every_step():
    worlds = [World(seed) for seed in range(4)]
    for world in worlds:
        for _ in range(6000):
            world.step()
        assert len(world.taken) > 200 and any(world.ran.values())
    assert any(world.extras for world in worlds) and any(world.cold for world in worlds)
