"""A simulation, in virtual time, of controllers that divide budgets through a store under faults.

The shipped state machines run unchanged (`etcd.Membership`, `accord.BudgetShare`); the store, the network,
pauses and the use of the budgets at streamers are modelled here. Each process has its own clock, which runs
fast or slow. Messages are late, lost and duplicated; processes are paused, killed and started; the store is
unavailable, or restored from a backup. Independently of the processes, the simulation records the actual use
and the allotments of each revision; `violations` lists every moment at which one of them was above its limit.
"""

from collections import deque
from itertools import count
from random import Random
from typing import NamedTuple

from herongap.accord import Allocation, BudgetKind, BudgetShare, BudgetTerms
from herongap.accord.shares import read_allocation, with_limit
from herongap.etcd.membership import LeaseRequest, Membership
from herongap.fleet.clock import Clock

TICK_SECONDS = 0.05  # interval at which a controller checks what is due
REQUEST_TIMEOUT_SECONDS = 1.0  # after this a request counts as unanswered
READ_INTERVAL_SECONDS = 1.0
SHUTDOWN_SECONDS = 1.0  # between SIGTERM and the end of the process


class NetworkConditions(NamedTuple):
    """The mean delay of a message in seconds, and the rates of lost, duplicated and late messages.

    A late message is delayed by up to `max_extra_delay` seconds more.
    """

    mean_delay: float = 0.004
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    late_rate: float = 0.0
    max_extra_delay: float = 4.0


FAULTLESS_NETWORK = NetworkConditions()


class SimulatedStore:
    """Budget documents, leases and claimed controller numbers under one revision, with a backup to restore.

    `documents` has the version and data of each name, `numbers` the revision and lease of each claimed
    number, `leases` the time at which each lease expires.
    """

    def __init__(self):
        self.revision, self.documents, self.numbers, self.leases = 1, {}, {}, {}
        self.lease_ids, self.unavailable = count(1), False
        self.writes = self.conflicts = 0

    def take_backup(self) -> None:
        """Make the copy that `restore_backup` restores."""
        self.backup = dict(self.documents), dict(self.numbers)

    def restore_backup(self) -> None:
        """Restore the copy under a new revision, so that every controller sees that the store changed."""
        documents, numbers = self.backup
        self.revision += 1
        self.documents = {name: (self.revision, data) for name, (_, data) in documents.items()}
        self.numbers = {number: claim for number, claim in numbers.items() if claim[1] in self.leases}

    def expire(self, now: float) -> None:
        """Delete the leases that have expired, and the numbers that were claimed under them."""
        for lease in [lease for lease, until in self.leases.items() if until <= now]:
            del self.leases[lease]
            for number in [n for n, (_, claimed_under) in self.numbers.items() if claimed_under == lease]:
                del self.numbers[number]
                self.revision += 1

    def commit(self, name: str, base_version: int, data: bytes) -> tuple[bool, int, bytes | None]:
        """Write a document if it still has the base version; returns success, version and data."""
        version, current = self.documents.get(name, (0, None))
        if version != base_version:
            self.conflicts += 1
            return False, version, current
        self.revision += 1
        self.writes += 1
        self.documents[name] = self.revision, data
        return True, self.revision, data


class Process:
    """One controller process: its number, its clock, its lease and its budget shares."""

    def __init__(self, simulation: "BudgetSimulation", number: int, clock_rate: float):
        self.simulation, self.number, self.clock_rate = simulation, number, clock_rate
        self.started_at, self.clock_offset = simulation.now, simulation.random.uniform(0, 1000)
        self.membership = Membership(number, simulation.expected, simulation.ttl)
        self.incarnation = -1
        self.shares = {
            terms.name: simulation.share_type(terms, str(number), simulation.ttl, number)
            for terms in simulation.terms
        }
        self.paused = self.drops_incoming = False
        self.alive = True
        self.undelivered: deque = deque()
        self.lease_request_pending = self.lease_request_failing = False
        self.read_due = 0.0
        self.restore_count = simulation.restore_count  # restores of the store that this process knows of

    def clock(self) -> float:
        """The time by this process's clock."""
        return self.clock_offset + (self.simulation.now - self.started_at) * self.clock_rate

    def tick(self) -> None:
        """Send the requests and commits that are due, and end what is overdue."""
        simulation, now = self.simulation, self.clock()
        if not self.lease_request_pending and (request := self.membership.next_request(now)):
            self.lease_request_pending = True
            self._send_lease_request(request, now)
        holds_number = self.membership.holds_number(now)
        for share in self.shares.values():
            share.update_lease(
                self.incarnation, self.membership.trusted_until, holds_number, self.lease_request_failing
            )
            if (commit := share.next_commit(now, simulation.live())) is not None:
                self._send_commit(share, commit)
            for _ in range(share.overdue(now)):
                simulation.end_one(self, share.terms.name)
        if now >= self.read_due:
            self.read_due = now + READ_INTERVAL_SECONDS
            for name in self.shares:
                simulation.request(
                    self, lambda name=name: self._read(name), lambda reply: self.observe_document(*reply)
                )

    def _read(self, name: str) -> tuple:
        store = self.simulation.store
        return name, store.revision, *store.documents.get(name, (0, None)), self.simulation.restore_count

    def observe_document(
        self, name: str, revision: int, version: int, data: bytes | None, restore_count: int
    ) -> None:
        """Pass a document to its share, unless the store was restored since it was read."""
        if restore_count == self.restore_count == self.simulation.restore_count:
            self.shares[name].observe(self.clock(), revision, version, data)

    def _send_commit(self, share: BudgetShare, commit) -> None:
        store, restore_count = self.simulation.store, self.restore_count
        name = share.terms.name

        def serve() -> tuple:
            if restore_count != self.simulation.restore_count:
                return False, *store.documents.get(name, (0, None)), store.revision
            committed, version, data = store.commit(name, commit.base_version, commit.data)
            if committed:
                self.simulation.document_written(name)
            return committed, version, data, store.revision

        def handle_reply(reply: tuple) -> None:
            committed, version, data, revision = reply
            if restore_count == self.restore_count == self.simulation.restore_count:
                share.handle_reply(
                    self.clock(), commit, version if committed else revision, committed, version, data
                )

        self.simulation.request(
            self, serve, handle_reply, lambda: share.handle_unknown_outcome(self.clock(), commit)
        )

    def _send_lease_request(self, request: LeaseRequest, sent_at: float) -> None:
        simulation, membership = self.simulation, self.membership
        store, ttl, lease = simulation.store, simulation.ttl, membership.lease

        def serve() -> tuple:
            if request is LeaseRequest.GRANT:
                granted = next(store.lease_ids)
                store.leases[granted] = simulation.now + ttl
                return granted, ttl
            if request is LeaseRequest.KEEP_ALIVE:
                if lease in store.leases:
                    store.leases[lease] = simulation.now + ttl
                return lease, ttl if lease in store.leases else 0
            claim = store.numbers.get(self.number)
            if claim is None and lease in store.leases:
                store.revision += 1
                claim = store.numbers[self.number] = store.revision, lease
            return claim[0] if claim and claim[1] == lease else -1, 0

        def handle_reply(reply: tuple) -> None:
            self.lease_request_pending = False
            if request is LeaseRequest.GRANT:
                membership.lease_granted(sent_at, *reply)
            elif request is LeaseRequest.KEEP_ALIVE:
                if membership.lease == lease:
                    membership.keepalive_answered(sent_at, reply[1])
                    self.lease_request_failing = False
            elif membership.lease == lease:
                self.incarnation = reply[0]
                membership.claim_answered(self.clock(), sent_at, reply[0] >= 0)

        def handle_timeout() -> None:
            self.lease_request_pending, self.lease_request_failing = False, True
            membership.request_failed(self.clock())

        simulation.request(self, serve, handle_reply, handle_timeout)


class BudgetSimulation(Clock):
    """`count` controllers, one store, and the `terms` of the budgets.

    `share_type` builds the budget shares of a process. Each controller has `demand` arrivals a second, held
    for `mean_hold_seconds`; an arrival without room waits up to `max_wait_seconds` before it is rejected.
    Clock rates differ from real time by up to `drift`.
    """

    def __init__(self, seed: int, count: int, terms: tuple[BudgetTerms, ...],
                 network: NetworkConditions = FAULTLESS_NETWORK, ttl: float = 5.0, demand: float = 2.0,
                 mean_hold_seconds: float = 2.0, share_type=BudgetShare, drift: float = 0.05,
                 max_wait_seconds: float = 0.0):  # fmt: skip
        super().__init__()
        self.random, self.network, self.ttl, self.terms = Random(seed), network, ttl, terms
        self.share_type = share_type
        self.expected, self.drift = count, drift
        self.mean_hold_seconds, self.max_wait_seconds = mean_hold_seconds, max_wait_seconds
        self.restore_count = 0
        self.store = SimulatedStore()
        self.demand = {number: demand for number in range(count)}
        self.arrivals = {number: Random(f"{seed}:{number}") for number in range(count)}
        self.processes: dict[int, Process] = {}
        # The actual state: the items in use, each with the process that started it, which may be dead; the
        # start times of the rate budgets; the limit of each budget.
        self.held: dict[str, dict[int, Process]] = {t.name: {} for t in terms}
        self.start_times: dict[str, deque] = {t.name: deque() for t in terms}
        self.limits = {t.name: t.limit for t in terms}
        self.allotted = dict.fromkeys(self.limits, 0)
        self.violations: list[str] = []
        self.requested = self.admitted = self.rejected = self.unknown_outcomes = 0
        self._last_item = 0
        for t in terms:
            self.store.commit(t.name, 0, with_limit(None, t.limit, unused=True))
        self.store.take_backup()
        for number in range(count):
            self.start(number)

    # Faults and other events that a test causes.

    def start(self, number: int) -> None:
        """Start a controller process under a number."""
        clock_rate = 1 + self.random.uniform(-self.drift, self.drift)
        process = self.processes[number] = Process(self, number, clock_rate)
        self.after(self.random.random() * TICK_SECONDS, self._tick, process)
        self._schedule_arrival(process)

    def kill(self, number: int) -> None:
        """Kill a process; streamers still play what it held, each item for its budget's `linger` at most."""
        process = self.processes.pop(number, None)
        if process is None:
            return
        process.alive = False
        for t in self.terms:
            for item, owner in self.held[t.name].items():
                if owner is process:
                    self.after(self.random.uniform(0, t.linger), self._end, t.name, item)

    def shut_down(self, number: int) -> None:
        """SIGTERM: the process ends all it holds, returns its allotments, then exits."""
        if process := self.processes.get(number):
            for name, share in process.shares.items():
                share.leaving, share.due = True, 0.0
                while any(owner is process for owner in self.held[name].values()):
                    self.end_one(process, name)
            self.after(SHUTDOWN_SECONDS, self._kill_if_current, process)

    def _kill_if_current(self, process: Process) -> None:
        if self.processes.get(process.number) is process:
            self.kill(process.number)

    def pause(self, number: int, seconds: float) -> None:
        """Stop a process for a time: it does and receives nothing, while its clock runs on."""
        if (process := self.processes.get(number)) and not process.paused:
            process.paused = True
            self.after(seconds, self._resume, process)

    def drop_incoming(self, number: int, seconds: float) -> None:
        """Drop all replies and notifications to a process; its requests still reach the store."""
        if process := self.processes.get(number):
            process.drops_incoming = True
            self.after(seconds, setattr, process, "drops_incoming", False)

    def restore_store(self) -> None:
        """Restore the store from its backup; each controller learns of it within a second."""
        self.restore_count += 1
        self.store.restore_backup()
        for t in self.terms:
            # Until use is recounted, what the lost store had allotted may still be in use.
            self.limits[t.name] = max(self.bound(t.name), self.allocation(t.name).limit)
        for process in list(self.processes.values()):
            self.after(self.random.random(), self._notify_restored, process)

    def change_limit(self, name: str, limit: int) -> None:
        """An operator changes the limit of a budget."""
        version, data = self.store.documents[name]
        self.limits[name] = limit
        self.store.commit(name, version, with_limit(data, limit))

    # The store, the network and the processes.

    def live(self) -> dict[str, int]:
        """The live controllers and the revisions of their claims, read without delay."""
        return {str(n): revision for n, (revision, _) in self.store.numbers.items()}

    def request(self, process: Process, serve, handle_reply, handle_timeout=lambda: None) -> None:
        """Send a request that may be lost, duplicated or late; its reply may be lost or late as well."""
        network, chance = self.network, self.random.random
        completed = False

        def arrive(replies: bool) -> None:
            if self.store.unavailable:
                return
            self.store.expire(self.now)
            reply = serve()
            if replies and chance() >= network.loss_rate:
                self.after(self._delay(), self._receive, process, complete, (reply,))

        def complete(reply) -> None:
            nonlocal completed
            if not completed:
                completed = True
                handle_reply(reply)

        def time_out() -> None:
            nonlocal completed
            if not completed:
                completed = True
                self.unknown_outcomes += 1
                handle_timeout()

        if chance() >= network.loss_rate:
            self.after(self._delay(), arrive, True)
        if chance() < network.duplicate_rate:
            self.after(self._delay() + chance() * network.max_extra_delay, arrive, False)
        self.after(REQUEST_TIMEOUT_SECONDS, self._deliver, process, time_out, ())

    def allocation(self, name: str) -> Allocation:
        """The allocation of a budget as the store has it."""
        return read_allocation(self.store.documents[name][1])

    def document_written(self, name: str) -> None:
        """After a commit: check that the allotments are within the limit, or at least did not grow."""
        allocation = self.allocation(name)
        total = sum(allotment.amount for allotment in allocation.allotments.values())
        if allocation.open and total > max(allocation.limit, self.allotted[name]):
            self.violations.append(f"{self.now:.2f} {name}: allotments of {total}, limit {allocation.limit}")
        self.allotted[name] = total
        for process in list(self.processes.values()):
            if self.random.random() >= self.network.loss_rate:
                update = (name, self.store.revision, *self.store.documents[name], self.restore_count)
                self.after(self._delay(), self._receive, process, process.observe_document, update)

    def end_one(self, process: Process, name: str) -> None:
        """End the oldest item that a process holds of a budget."""
        for item, owner in self.held[name].items():
            if owner is process:
                self._end(name, item)
                return

    def _delay(self) -> float:
        network = self.network
        seconds = network.mean_delay * self.random.expovariate(1)
        return seconds + (
            self.random.random() * network.max_extra_delay if self.random.random() < network.late_rate else 0
        )

    def _receive(self, process: Process, handler, args: tuple) -> None:
        if not process.drops_incoming:
            self._deliver(process, handler, args)

    def _deliver(self, process: Process, handler, args: tuple) -> None:
        if process.paused:
            process.undelivered.append((handler, args))
        elif process.alive:
            handler(*args)

    def _tick(self, process: Process) -> None:
        if process.alive and not process.paused:
            self.store.expire(self.now)
            process.tick()
        if process.alive:
            self.after(TICK_SECONDS, self._tick, process)

    def _resume(self, process: Process) -> None:
        process.paused = False
        # After a pause, viewers waiting in the sockets, received messages and timers come in any order: in
        # half of the cases a viewer's request is handled before the messages.
        if process.alive and self.random.random() < 0.5:
            self._request_all(process)
        while process.undelivered and process.alive:
            handler, args = process.undelivered.popleft()
            handler(*args)

    def _notify_restored(self, process: Process) -> None:
        if process.alive:
            process.restore_count = self.restore_count
            for share in process.shares.values():
                share.handle_store_restored()

    # Arrivals and use.

    def _schedule_arrival(self, process: Process) -> None:
        # Arrivals have random streams of their own, so that they do not depend on the outcome of requests.
        gap = self.arrivals[process.number].expovariate(1) / max(0.01, self.demand[process.number])
        self.after(gap, self._arrive, process)

    def _arrive(self, process: Process) -> None:
        hold_seconds = self.arrivals[process.number].expovariate(1) * self.mean_hold_seconds
        if process.alive:
            self._schedule_arrival(process)
            if not process.paused:
                self._request_all(process, hold_seconds)

    def _request_all(self, process: Process, hold_seconds: float = 1.0) -> None:
        for t in self.terms:
            self.requested += 1
            self._try_start(process, t, hold_seconds, self.max_wait_seconds)

    def _try_start(self, process: Process, terms: BudgetTerms, hold_seconds: float, wait_left: float) -> None:
        """Start an item if there is room; retry each tick while `wait_left` lasts, then reject it."""
        if not process.alive or process.paused:
            return
        share, now = process.shares[terms.name], process.clock()
        if share.room(now) >= 1:
            self.admitted += 1
            share.record_start(now)
            self._start_item(process, terms, hold_seconds)
            return
        if wait_left == self.max_wait_seconds:
            share.record_rejection(now)
        if wait_left >= TICK_SECONDS:
            self.after(TICK_SECONDS, self._try_start, process, terms, hold_seconds, wait_left - TICK_SECONDS)
        else:
            self.rejected += 1

    def _start_item(self, process: Process, terms: BudgetTerms, hold_seconds: float) -> None:
        if terms.kind is BudgetKind.RATE:
            start_times = self.start_times[terms.name]
            start_times.append(self.now)
            while start_times[0] <= self.now - terms.window:
                start_times.popleft()
            if len(start_times) > self.bound(terms.name):
                self.violations.append(f"{self.now:.2f} {terms.name}: {len(start_times)} in a window")
            return
        self._last_item += 1
        held = self.held[terms.name]
        held[self._last_item] = process
        if len(held) > self.bound(terms.name):
            self.violations.append(f"{self.now:.2f} {terms.name}: {len(held)} held")
        # Streamers end an item after `linger` on their own; a paused controller ends nothing.
        self.after(min(hold_seconds, terms.linger), self._end, terms.name, self._last_item)

    def bound(self, name: str) -> int:
        """What may be in use: the limit, or the total that was allotted before the limit was lowered."""
        return max(self.limits[name], self.allotted[name])

    def _end(self, name: str, item: int) -> None:
        process = self.held[name].pop(item, None)
        if process and process.alive:
            # A paused process learns of the end when it resumes; until then it counts the item as held.
            self._deliver(process, lambda: process.shares[name].record_end(process.clock()), ())
