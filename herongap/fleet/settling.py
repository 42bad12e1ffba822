"""Controllers that divide wholes through a store, in virtual time, with all between them that can fail.

What moves are the shipped machines (`etcd.Membership`, `accord.BudgetShare`); the store, the network, the
pauses and what is held at streamers are modelled here. Each process has a clock of its own, that runs
fast or slow. Messages are late, lost and doubled; processes are paused, killed and started; the store is
away, or set back. The truth is kept beside: what is really in use, and each revision's parts. `broken` counts
what was above.
"""

from collections import deque
from itertools import count
from random import Random
from typing import NamedTuple

from herongap.accord import Allocation, BudgetKind, BudgetShare, BudgetTerms
from herongap.accord.shares import read_allocation, with_limit
from herongap.etcd.membership import LeaseRequest, Membership
from herongap.fleet.clock import Clock

TICK = 0.05  # seconds between two looks of a controller at what is due
PATIENCE = 1.0  # seconds after which a request counts as unanswered


class Net(NamedTuple):
    """How messages fare: seconds on the way, and parts of them that are lost, doubled, or late by `lag`."""

    way: float = 0.004
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    lag: float = 4.0


CALM = Net()


class Store:
    """Documents by name and numbers by lease, with one revision; set back it is as it was when kept."""

    def __init__(self):
        self.revision, self.documents, self.numbers, self.leases = 1, {}, {}, {}
        self.ids, self.away = count(1), False
        self.writes = self.refused = 0

    def keep(self) -> None:
        """Make the copy that `set_back` brings back."""
        self.copy = dict(self.documents), dict(self.numbers)

    def set_back(self) -> None:
        """As after a restore: a revision of its own, so that everybody sees that it is another store."""
        documents, numbers = self.copy
        self.revision += 1
        self.documents = {name: (self.revision, data) for name, (_, data) in documents.items()}
        self.numbers = {n: held for n, held in numbers.items() if held[1] in self.leases}

    def expire(self, t: float) -> None:
        for lease in [lease for lease, until in self.leases.items() if until <= t]:
            del self.leases[lease]
            for number in [n for n, (_, held) in self.numbers.items() if held == lease]:
                del self.numbers[number]
                self.revision += 1

    def commit(self, name: str, base: int, data: bytes) -> tuple[bool, int, bytes | None]:
        version, there = self.documents.get(name, (0, None))
        if version != base:
            self.refused += 1
            return False, version, there
        self.revision += 1
        self.writes += 1
        self.documents[name] = self.revision, data
        return True, self.revision, data


class Process:
    """One controller: its number, its clock, its lease and its shares."""

    def __init__(self, world: "World", number: int, rate: float):
        self.world, self.number, self.rate = world, number, rate
        self.born, self.shift = world.now, world.random.uniform(0, 1000)
        self.member = Membership(number, world.expected, world.ttl)
        self.life = -1
        self.shares = {t.name: world.make(t, str(number), world.ttl, number) for t in world.terms}
        self.paused = self.deaf = False
        self.alive = True
        self.mail: deque = deque()
        self.busy = self.failing = False
        self.read_due = 0.0
        self.backs = world.backs  # which store it believes in

    def clock(self) -> float:
        return self.shift + (self.world.now - self.born) * self.rate

    def tick(self) -> None:
        world, now = self.world, self.clock()
        if not self.busy and (step := self.member.next_request(now)):
            self.busy = True
            self._lease(step, now)
        holds = self.member.holds_number(now)
        for shares in self.shares.values():
            shares.update_lease(self.life, self.member.trusted_until, holds, self.failing)
            if (commit := shares.next_commit(now, world.live())) is not None:
                self._commit(shares, commit)
            for _ in range(shares.overdue(now)):
                world.end_one(self, shares.terms.name)
        if now >= self.read_due:
            self.read_due = now + 1.0
            for name in self.shares:
                world.ask(self, lambda name=name: self._read(name), lambda got: self._shown(*got))

    def _read(self, name: str) -> tuple:
        store = self.world.store
        return name, store.revision, *store.documents.get(name, (0, None)), self.world.backs

    def _shown(self, name: str, revision: int, version: int, data: bytes | None, backs: int) -> None:
        if backs == self.backs == self.world.backs:
            self.shares[name].observe(self.clock(), revision, version, data)

    def _commit(self, shares: BudgetShare, commit) -> None:
        store, backs = self.world.store, self.backs
        name = shares.terms.name

        def serve() -> tuple:
            if backs != self.world.backs:
                return False, *store.documents.get(name, (0, None)), store.revision
            won, version, data = store.commit(name, commit.base_version, commit.data)
            if won:
                self.world.written(name)
            return won, version, data, store.revision

        def heard(got: tuple) -> None:
            won, version, data, revision = got
            if backs == self.backs == self.world.backs:
                shares.handle_reply(self.clock(), commit, version if won else revision, won, version, data)

        self.world.ask(self, serve, heard, lambda: shares.handle_unknown_outcome(self.clock(), commit))

    def _lease(self, step: LeaseRequest, sent: float) -> None:
        store, member, ttl, lease = self.world.store, self.member, self.world.ttl, self.member.lease

        def serve() -> tuple:
            if step is LeaseRequest.GRANT:
                made = next(store.ids)
                store.leases[made] = self.world.now + ttl
                return made, ttl
            if step is LeaseRequest.KEEP_ALIVE:
                if lease in store.leases:
                    store.leases[lease] = self.world.now + ttl
                return lease, ttl if lease in store.leases else 0
            held = store.numbers.get(self.number)
            if held is None and lease in store.leases:
                store.revision += 1
                held = store.numbers[self.number] = store.revision, lease
            return held[0] if held and held[1] == lease else -1, 0

        def heard(got: tuple) -> None:
            self.busy = False
            if step is LeaseRequest.GRANT:
                member.lease_granted(sent, *got)
            elif step is LeaseRequest.KEEP_ALIVE:
                if member.lease == lease:
                    member.keepalive_answered(sent, got[1])
                    self.failing = False
            elif member.lease == lease:
                self.life = got[0]
                member.claim_answered(self.clock(), sent, got[0] >= 0)

        def failed() -> None:
            self.busy, self.failing = False, True
            member.request_failed(self.clock())

        self.world.ask(self, serve, heard, failed)


class World(Clock):
    """`count` controllers, one store, `terms` of the budgets. `make` builds the shares of a process."""

    def __init__(self, seed: int, count: int, terms: tuple[BudgetTerms, ...], net: Net = CALM,
                 ttl: float = 5.0, demand: float = 2.0, lasts: float = 2.0, make=BudgetShare,
                 drift: float = 0.05, waits: float = 0.0):  # fmt: skip
        super().__init__()
        self.random, self.net, self.ttl, self.terms, self.make = Random(seed), net, ttl, terms, make
        self.expected, self.drift, self.lasts, self.waits = count, drift, lasts, waits
        self.backs = 0
        self.store = Store()
        self.demand = {number: demand for number in range(count)}
        self.arrivals = {number: Random(f"{seed}:{number}") for number in range(count)}
        self.processes: dict[int, Process] = {}
        # The truth: what is held by whom (a dead process's stays), what was begun when, and each whole.
        self.held: dict[str, dict[int, Process]] = {t.name: {} for t in terms}
        self.sent: dict[str, deque] = {t.name: deque() for t in terms}
        self.whole = {t.name: t.limit for t in terms}
        self.summed = dict.fromkeys(self.whole, 0)
        self.broken: list[str] = []
        self.asked = self.let_in = self.turned = self.unknown = 0
        self._things = 0
        for t in terms:
            self.store.commit(t.name, 0, with_limit(None, t.limit, unused=True))
        self.store.keep()
        for number in range(count):
            self.start(number)

    # What is done to it.

    def start(self, number: int) -> None:
        rate = 1 + self.random.uniform(-self.drift, self.drift)
        process = self.processes[number] = Process(self, number, rate)
        self.after(self.random.random() * TICK, self._tick, process)
        self._next(process)

    def kill(self, number: int) -> None:
        """Nothing of it is left but what streamers still play, each for its budget's `linger` at most."""
        process = self.processes.pop(number, None)
        if process is None:
            return
        process.alive = False
        for t in self.terms:
            for thing, owner in self.held[t.name].items():
                if owner is process:
                    self.after(self.random.uniform(0, t.linger), self._over, t.name, thing)

    def leave(self, number: int) -> None:
        """SIGTERM: all is ended, parts are given back, then it goes."""
        if process := self.processes.get(number):
            for name, shares in process.shares.items():
                shares.leaving, shares.due = True, 0.0
                while any(owner is process for owner in self.held[name].values()):
                    self.end_one(process, name)
            self.after(1.0, self.kill_if, process)

    def kill_if(self, process: Process) -> None:
        if self.processes.get(process.number) is process:
            self.kill(process.number)

    def pause(self, number: int, seconds: float) -> None:
        """It does nothing, and hears nothing until it goes on; its clock runs."""
        if (process := self.processes.get(number)) and not process.paused:
            process.paused = True
            self.after(seconds, self._resume, process)

    def deafen(self, number: int, seconds: float) -> None:
        """What it asks arrives at the store; no answer and no word comes back."""
        if process := self.processes.get(number):
            process.deaf = True
            self.after(seconds, setattr, process, "deaf", False)

    def set_back(self) -> None:
        """The store is restored from its copy; each controller finds out by its next word from it."""
        self.backs += 1
        self.store.set_back()
        for t in self.terms:
            # Until all is counted anew, what was given out by the store that is gone may be in use.
            self.whole[t.name] = max(self.bound(t.name), self.division(t.name).limit)
        for process in list(self.processes.values()):
            self.after(self.random.random(), self._told_back, process)

    def lower(self, name: str, whole: int) -> None:
        """An operator changes the whole."""
        version, data = self.store.documents[name]
        self.whole[name] = whole
        self.store.commit(name, version, with_limit(data, whole))

    # What goes on in it.

    def live(self) -> dict[str, int]:
        """The live controllers and their claims, as they are."""
        return {str(n): revision for n, (revision, _) in self.store.numbers.items()}

    def ask(self, process: Process, serve, heard, failed=lambda: None) -> None:
        """A request that may be lost, doubled or late, and an answer that may be."""
        net, chance = self.net, self.random.random
        over = False

        def arrives(answers: bool) -> None:
            if self.store.away:
                return
            self.store.expire(self.now)
            got = serve()
            if answers and chance() >= net.lost:
                self.after(self._way(), self._hear, process, answered, (got,))

        def answered(got) -> None:
            nonlocal over
            if not over:
                over = True
                heard(got)

        def gives_up() -> None:
            nonlocal over
            if not over:
                over = True
                self.unknown += 1
                failed()

        if chance() >= net.lost:
            self.after(self._way(), arrives, True)
        if chance() < net.doubled:
            self.after(self._way() + chance() * net.lag, arrives, False)
        self.after(PATIENCE, self._deliver, process, gives_up, ())

    def division(self, name: str) -> Allocation:
        return read_allocation(self.store.documents[name][1])

    def written(self, name: str) -> None:
        """A commit was taken: are its parts within the whole, or at least not above what they were?"""
        d = self.division(name)
        total = sum(part.amount for part in d.allotments.values())
        if d.open and total > max(d.limit, self.summed[name]):
            self.broken.append(f"{self.now:.2f} {name}: parts of {total}, whole {d.limit}")
        self.summed[name] = total
        for process in list(self.processes.values()):
            if self.random.random() >= self.net.lost:
                got = (name, self.store.revision, *self.store.documents[name], self.backs)
                self.after(self._way(), self._hear, process, process._shown, got)

    def end_one(self, process: Process, name: str) -> None:
        for thing, owner in self.held[name].items():
            if owner is process:
                self._over(name, thing)
                return

    def _way(self) -> float:
        seconds = self.net.way * self.random.expovariate(1)
        return seconds + (self.random.random() * self.net.lag if self.random.random() < self.net.late else 0)

    def _hear(self, process: Process, what, args: tuple) -> None:
        if not process.deaf:
            self._deliver(process, what, args)

    def _deliver(self, process: Process, what, args: tuple) -> None:
        if process.paused:
            process.mail.append((what, args))
        elif process.alive:
            what(*args)

    def _tick(self, process: Process) -> None:
        if process.alive and not process.paused:
            self.store.expire(self.now)
            process.tick()
        if process.alive:
            self.after(TICK, self._tick, process)

    def _resume(self, process: Process) -> None:
        process.paused = False
        # In any order: a viewer that waited in its sockets, what others said meanwhile, its own timers.
        if process.alive and self.random.random() < 0.5:
            self._wanted(process)
        while process.mail and process.alive:
            what, args = process.mail.popleft()
            what(*args)

    def _told_back(self, process: Process) -> None:
        if process.alive:
            process.backs = self.backs
            for shares in process.shares.values():
                shares.handle_store_restored()

    def _next(self, process: Process) -> None:
        # Drawn apart from all else, so that the same come in the same moments however they fare.
        gap = self.arrivals[process.number].expovariate(1) / max(0.01, self.demand[process.number])
        self.after(gap, self._arrive, process)

    def _arrive(self, process: Process) -> None:
        lasts = self.arrivals[process.number].expovariate(1) * self.lasts
        if process.alive:
            self._next(process)
            if not process.paused:
                self._wanted(process, lasts)

    def _wanted(self, process: Process, lasts: float = 1.0) -> None:
        for t in self.terms:
            self.asked += 1
            self._try(process, t, lasts, self.waits)

    def _try(self, process: Process, t: BudgetTerms, lasts: float, left: float) -> None:
        """Begin it if there is room, now or within `left`: so long a viewing waits before it is blocked."""
        if not process.alive or process.paused:
            return
        shares, now = process.shares[t.name], process.clock()
        if shares.room(now) >= 1:
            self.let_in += 1
            shares.record_start(now)
            self._begin(process, t, lasts)
            return
        if left == self.waits:
            shares.record_rejection(now)
        if left >= TICK:
            self.after(TICK, self._try, process, t, lasts, left - TICK)
        else:
            self.turned += 1

    def _begin(self, process: Process, t: BudgetTerms, lasts: float) -> None:
        if t.kind is BudgetKind.RATE:
            sent = self.sent[t.name]
            sent.append(self.now)
            while sent[0] <= self.now - t.window:
                sent.popleft()
            if len(sent) > self.bound(t.name):
                self.broken.append(f"{self.now:.2f} {t.name}: {len(sent)} in a window")
            return
        self._things += 1
        held = self.held[t.name]
        held[self._things] = process
        if len(held) > self.bound(t.name):
            self.broken.append(f"{self.now:.2f} {t.name}: {len(held)} held")
        # `linger` is a promise about streamers, not about controllers: one that is stopped ends nothing.
        self.after(min(lasts, t.linger), self._over, t.name, self._things)

    def bound(self, name: str) -> int:
        """What may be in use: the whole, or the parts that were given out before it was lowered."""
        return max(self.whole[name], self.summed[name])

    def _over(self, name: str, thing: int) -> None:
        process = self.held[name].pop(thing, None)
        if process and process.alive:
            # One that is paused hears of it when it goes on; until then it believes it holds it.
            self._deliver(process, lambda: process.shares[name].record_end(process.clock()), ())
