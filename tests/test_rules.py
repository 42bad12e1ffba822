"""Seeded random runs: simulated streamers answer at random, and each rule is checked at every step."""

import random

from helpers import NEWS, deployment_config, make_controller, pull_decisions, streamer_entry, viewing_request

from herongap.interface import EndReason, LoadReport, RepeatSafety, RepeatScope, StreamerStatus

PACKAGES = (
    NEWS._replace(floor=1, seats=3),
    NEWS._replace(name="once", repeat=RepeatSafety.HARMFUL),
    NEWS._replace(name="keyed", repeat=RepeatSafety.IN_GROUP, group=RepeatScope.ZONE),
)
NEVER_RAN = (EndReason.FULL, EndReason.UNREACHED, EndReason.NOT_SENT)
MANY_REFUSALS = (EndReason.FULL,) * 6  # a refusal does not set the streamer aside, so further tune-ins happen
FAILURES = (
    *MANY_REFUSALS,
    EndReason.FAULTY,
    EndReason.TIMED_OUT,
    EndReason.UNREACHED,
    EndReason.BROKEN,
    EndReason.UNKNOWN,
)


class World:
    """Simulated streamers and viewers around one controller, and what the controller did to them.

    `unanswered` has the deadline of each unanswered viewing, `pending` the streamer of each pending tune-in.
    """

    def __init__(self, seed: int, **terms):
        self.random, self.now = random.Random(seed), 0.0
        self.config = deployment_config(
            packages=PACKAGES, extra_free=1.0, extra_share=0.1, extra_window=5.0, **terms
        )
        self.controller = make_controller(self.config, cells=6)
        self.status = {10 + i: StreamerStatus.ACTIVE for i in range(6)}
        self.started = {streamer: -1e9 for streamer in self.status}
        self.requests, self.unanswered, self.pending, self.playing, self.ran, self.tries = (
            {},
            {},
            {},
            {},
            {},
            {},
        )
        self.seats, self.request_times, self.retry_times, self.cold_sends = {}, [], [], []
        self.number = 0

    def check_tune_in(self, viewing: int, streamer: int, time_out: float) -> None:
        package = next(p for p in PACKAGES if p.name == self.requests[viewing].package)
        assert viewing in self.unanswered and viewing not in self.pending and viewing not in self.playing, (
            "two tune-ins, or one too late"
        )
        assert self.status[streamer] is StreamerStatus.ACTIVE, "sent to a drained streamer"
        assert 0 < time_out <= self.unanswered[viewing] - self.now + 1e-9
        if package.repeat is RepeatSafety.HARMFUL:
            assert not self.ran.get(viewing), "set up twice"
        self.tries[viewing] = self.tries.get(viewing, 0) + 1
        assert self.tries[viewing] <= self.config.tune_ins
        if self.tries[viewing] > 1:
            self.retry_times.append(self.now)
            recent = sum(at > self.now - 5 for at in self.retry_times)
            assert recent <= 1 + 0.1 * sum(at > self.now - 5 for at in self.request_times), "over the budget"
        key = self.requests[viewing].title, package.name
        self.seats[key] = self.seats.get(key, 0) + 1
        assert not package.seats or self.seats[key] <= package.seats, "over the seats"
        if self.now - self.started[streamer] < self.config.warm_up:
            self.cold_sends.append((self.now, streamer))
            pace = 20 / self.config.warm_up * self.config.cold_start * self.config.fall_multiple
            sent = sum(other == streamer and at > self.now - 2 for at, other in self.cold_sends)
            assert sent <= max(1, 2 * pace / self.config.controllers), "over its part of the slow start"
        self.pending[viewing] = streamer

    def pull(self) -> None:
        for verb, *rest in pull_decisions(self.controller, self.now):
            if verb == "tune_in":
                self.check_tune_in(*rest)
            elif verb == "rung":
                request = self.requests[rest[0]]
                floor = next(p.floor for p in PACKAGES if p.name == request.package)
                assert floor <= rest[1] <= request.top, "outside the package's terms"
            elif verb in ("block", "abort"):
                viewing = rest[0]
                assert viewing not in self.pending, "answered with a tune-in in flight"
                del self.unanswered[viewing]
                if verb == "block" and self.requests[viewing].package != "news":
                    assert not self.ran.get(viewing), "blocked though it may have run"
        assert all(
            until > self.now - 0.03
            for viewing, until in self.unanswered.items()
            if viewing not in self.pending
        ), "answer overdue"

    def end(self, viewing: int, reason: EndReason) -> None:
        streamer = self.pending.pop(viewing, None) or self.playing.pop(viewing)[0]
        request = self.requests[viewing]
        self.seats[request.title, request.package] -= 1
        closed = viewing not in self.unanswered
        if reason not in NEVER_RAN:
            self.ran[viewing] = True
        load = LoadReport(link=self.random.uniform(0, 0.7)) if self.random.random() < 0.5 else None
        self.controller.ended(self.now, viewing, 0, streamer, reason, 0.1, closed, load)

    def step(self) -> None:
        r = self.random
        self.now = round(self.now + 0.02, 6)
        if r.random() < 0.15:
            self.number += 1
            package = r.choice(PACKAGES).name
            request = viewing_request(
                self.number, r.randint(1, 2), package, r.randint(1, 3), r.randint(3, 6), r.uniform(0.2, 4)
            )
            self.requests[request.viewing], self.unanswered[request.viewing] = (
                request,
                self.now + request.time_left,
            )
            self.request_times.append(self.now)
            self.controller.asked(self.now, request)
        for viewing in list(self.pending):
            if self.unanswered.get(viewing, 1e9) <= self.now or (chance := r.random()) < 0.04:
                self.end(
                    viewing, EndReason.TIMED_OUT if viewing not in self.unanswered else r.choice(FAILURES)
                )
            elif chance < 0.2:
                self.playing[viewing] = (self.pending.pop(viewing), self.now + r.uniform(0.1, 20))
                self.unanswered.pop(viewing, None)
                self.controller.started(self.now, viewing, 0, self.playing[viewing][0], 0.1)
            elif chance < 0.205 and self.unanswered.pop(viewing, None):
                self.controller.left(self.now, viewing)
        for viewing, (streamer, until) in list(self.playing.items()):
            if until <= self.now or r.random() < 0.0003:
                self.end(viewing, r.choice((EndReason.PLAYED, EndReason.BROKEN, EndReason.CALLED_OFF)))
            elif r.random() < 0.01:
                self.controller.load_told(self.now, streamer, r.random() < 0.5, viewing, r.uniform(0, 0.7))
                self.controller.share_told(self.now, streamer, r.uniform(0.9, 1))
        if r.random() < 0.008:
            streamer = r.choice(list(self.status))
            self.status[streamer] = r.choice(
                (StreamerStatus.ACTIVE, StreamerStatus.ACTIVE, StreamerStatus.LEAVING)
            )
            if r.random() < 0.5:
                self.started[streamer] = self.now
            since = self.started[streamer] if self.started[streamer] > 0 else None
            self.controller.listed(
                self.now, "changes", (streamer_entry(streamer, streamer - 10, self.status[streamer], since),)
            )
        self.controller.woke(self.now)
        self.pull()


def test_every_rule_at_every_step():
    worlds = [World(seed) for seed in range(4)]
    for world in worlds:
        for _ in range(6000):
            world.step()
        assert len(world.request_times) > 200 and any(world.ran.values())
    assert any(world.retry_times for world in worlds) and any(world.cold_sends for world in worlds)
