"""Membership by gossip: probes, indirect probes, suspicion, and member records piggybacked on them. No I/O.

SWIM (Das et al. 2002) with the adaptive timeouts of Lifeguard (Dadgar et al. 2017). Two additions: a process
that was suspended declares no member gone before it has caught up with another member (`_detect_pause`); and
each member reports whom it does not hear directly, so that a link that works one way only is recorded for
that pair of members and never counts as a failure of either.

`tick` and `receive` return the datagrams to send, as (address, bytes). Times are by the caller's clock, in
seconds.
"""

from math import log10
from random import Random
from typing import NamedTuple

import msgspec

from herongap.errors import InternalMisuseError
from herongap.gossip import messages
from herongap.gossip.members import MemberStatus, MemberTable
from herongap.gossip.messages import Datagram, InvalidDatagramError, MemberRecord

Address = tuple[str, int]
OutgoingDatagrams = list[tuple[Address, bytes]]
UNHEARD_ROUNDS = 3.0  # rounds without a direct answer after which a live member counts as not heard
UNHEARD_REPORT_SYNCS = 3  # sync intervals for which a report of not being heard stays valid
MAX_UNHEARD_REPORTED = 32  # members in one datagram
PROBERS_PER_SUSPECT = 4  # members that ping a suspected member in each round, on average
PROBE_DEADLINE_FACTOR = 3  # of the acknowledgement timeout, for indirect probes to answer
LEAVE_FANOUT = 5  # members that are notified directly when this one leaves
RECORDS_PER_SYNC = 24
COUNTS = ("sent", "bytes", "unreadable", "paused", "suspected", "gone", "refuted")
SYNC_REPLY = 0  # target of a SYNC that replies to another


class GossipConfig(NamedTuple):
    """The timing of one controller's probes, in seconds unless stated otherwise."""

    probe_interval: float = 0.5
    ack_timeout: float = 0.2  # for a direct answer
    indirect_probes: int = 3  # members asked to ping a member that does not answer directly
    suspicion_rounds: float = 3.0  # shortest suspicion, in probe intervals times log10 of the member count
    max_suspicion_factor: float = 2.0  # longest suspicion (no confirmations), as a multiple of the shortest
    confirmations: int = 3  # other members whose suspicion shortens ours to the shortest
    max_health: int = 8  # upper limit of `Gossip.health`, by which a slow member lengthens its timeouts
    pause_threshold: float = 0.5  # a process that runs more than this after its due time was suspended
    catch_up_timeout: float = 10.0  # after a pause, longest wait for a sync before declaring members gone
    sync_interval: float = 10.0  # between two exchanges of the full member table
    detects_pauses: bool = True  # False: plain SWIM, which may declare members gone right after a pause


class Probe:
    """A probe in flight.

    `helpers` is the number of members asked for an indirect probe: 0 before that, -1 if there were none to
    ask. `answers` is how many of them have replied.
    """

    __slots__ = ("number", "incarnation", "sequence", "due", "until", "helpers", "answers")

    def __init__(self, record: MemberRecord, sequence: int, due: float, until: float):
        self.number, self.incarnation, self.sequence = record.number, record.incarnation, sequence
        self.due, self.until, self.helpers, self.answers = due, until, 0, 0


class Suspicion:
    """A local suspicion of one member's record. `confirmed_by` holds the other members that suspect it."""

    __slots__ = ("record", "since", "shortest", "longest", "confirmed_by")

    def __init__(self, record: MemberRecord, since: float, shortest: float, longest: float):
        self.record, self.since, self.shortest, self.longest, self.confirmed_by = (
            record, since, shortest, longest, set(),
        )  # fmt: skip

    def until(self, confirmations: int) -> float:
        """The end of the suspicion; as in Lifeguard, confirmations move it towards the shortest duration."""
        fraction = (
            min(1.0, log10(len(self.confirmed_by) + 1) / log10(confirmations + 1)) if confirmations else 1.0
        )
        return self.since + self.longest - (self.longest - self.shortest) * fraction


class Gossip:
    """The protocol state of one controller.

    `own` is its record at the start, `fleet` the name that separates fleets sharing a network.
    """

    def __init__(self, now: float, own: MemberRecord, fleet: str, config: GossipConfig, seed: int):
        if own.status != MemberStatus.ALIVE:
            raise InternalMisuseError(f"a member must start with status ALIVE, not {own.status}")
        self.fleet, self.config, self.random = fleet, config, Random(seed)
        self.members = MemberTable(own)
        self.seeds: list[Address] = []
        self.last_heard: dict[int, float] = {}  # when each member was last heard directly
        self.unheard_reports: dict[int, float] = {}  # members that report not hearing us, and when they did
        self.suspicions: dict[int, Suspicion] = {}
        self.probes: dict[int, Probe] = {}
        # Probes on behalf of others, by our sequence: requester, its sequence, target, deadline.
        self.relayed_probes: dict[int, tuple[Address, int, int, float]] = {}
        # `health` is Lifeguard's score of this member itself: 0 is healthy, more is slower.
        self.health, self.sequence, self.probe_order = 0, 0, []
        self.catching_up_until = now  # after a pause or the start no member is declared gone before this
        self.last_run, self.next_probe, self.next_sync = now, now, now
        self.counts = dict.fromkeys(COUNTS, 0)

    # Queries and commands.

    @property
    def due(self) -> float:
        """When `tick` is to be called next, at the latest."""
        times = [self.next_probe, self.next_sync]
        times += [p.due if not p.helpers else p.until for p in self.probes.values()]
        times += [
            max(self.catching_up_until, s.until(self.config.confirmations)) for s in self.suspicions.values()
        ]
        return min(times)

    def set_seeds(self, addresses: list[Address]) -> None:
        """Set the addresses of possible members, from a file or the store's directory."""
        self.seeds = list(addresses)

    def controller_count(self, store: int, ranked: bool) -> int:
        """The number of controllers among which the free capacity is divided.

        This is the store's last count. While the store gives this controller no rank, it is the number of
        members seen here if that is larger. It is never smaller, as a controller that is not seen here may
        still act.
        """
        return store if ranked else max(store, sum(1 for _ in self.members.live()))

    def unheard(self, now: float) -> list[int]:
        """Live members that this one does not hear directly."""
        others = self.members.others()
        timeout = UNHEARD_ROUNDS * self._probe_interval() * (len(others) + 1)
        return [x.number for x in others if now - self.last_heard.get(x.number, now) > timeout]

    def unheard_by(self, now: float) -> list[int]:
        """Members that this one hears and that report not hearing it."""
        validity = UNHEARD_REPORT_SYNCS * self.config.sync_interval
        return [
            n for n, at in self.unheard_reports.items() if now - at < validity and n in self.members.records
        ]

    def leave(self, now: float) -> OutgoingDatagrams:
        """Announce that this controller shuts down, so that the others need not suspect it first."""
        self.members.announce(msgspec.structs.replace(self.members.own, status=MemberStatus.LEFT))
        receivers = self.random.sample(self.members.others(), min(LEAVE_FANOUT, len(self.members.others())))
        return [self._send(x.host, x.port, messages.PING, self._next_sequence()) for x in receivers]

    # Events.

    def tick(self, now: float) -> OutgoingDatagrams:
        """Do what is due; call at `due` or earlier."""
        self._detect_pause(now)
        out: OutgoingDatagrams = []
        for probe in list(self.probes.values()):
            if now >= probe.until:
                out += self._probe_failed(now, probe)
            elif now >= probe.due and not probe.helpers:
                out += self._probe_indirectly(now, probe)
        for sequence in [s for s, relayed in self.relayed_probes.items() if now >= relayed[3]]:
            (host, port), their_sequence, number, _ = self.relayed_probes.pop(sequence)
            out.append(self._send(host, port, messages.PING_RESULT, their_sequence, number))
        for suspicion in list(self.suspicions.values()):
            if now >= suspicion.until(self.config.confirmations) and now >= self.catching_up_until:
                self._declare_gone(now, suspicion)
        if now >= self.next_probe:
            self.next_probe = now + self._probe_interval()
            out += self._probe_next(now) + self._ping_suspects()
        if now >= self.next_sync:
            # Alone or just resumed, sync again soon: the member contacted last may not have been running.
            alone = now < self.catching_up_until or not self.members.others()
            interval = self.config.probe_interval if alone else self.config.sync_interval
            self.next_sync = now + interval * self.random.uniform(0.75, 1.25)
            out += self._sync(now)
            self.members.prune(now)
        return out

    def receive(self, now: float, data: bytes, sender: Address) -> OutgoingDatagrams:
        """Process a datagram; an invalid one is counted and dropped."""
        self._detect_pause(now)
        try:
            datagram = messages.decode(data, self.fleet)
        except InvalidDatagramError:
            self.counts["unreadable"] += 1
            return []
        if datagram.sender == self.members.own.number:
            return []  # our own, looped back; or another process with our number, which the store resolves
        for record in datagram.records:
            self._merge(now, record, datagram.sender)
        known = self.members.records.get(datagram.sender)
        if known is not None and known.incarnation == datagram.incarnation:
            self.last_heard[datagram.sender] = now
            if self.members.own.number in datagram.unheard:
                self.unheard_reports[datagram.sender] = now
            else:
                self.unheard_reports.pop(datagram.sender, None)
        # Reply to the address that the member advertises, not to the one its datagram seems to come from.
        return self._reply(now, datagram, (known.host, known.port) if known else sender)

    def _reply(self, now: float, datagram: Datagram, sender: Address) -> OutgoingDatagrams:
        host, port = sender
        match datagram.kind:
            case messages.PING:
                # A suspected member learns of the suspicion from those it pings and can refute it at once.
                return [self._send(host, port, messages.ACK, datagram.sequence, first=(datagram.sender,))]
            case messages.ACK:
                return self._handle_ack(datagram)
            case messages.PING_REQUEST:
                target = self.members.records.get(datagram.target)
                if target is None:
                    return []
                sequence = self._next_sequence()
                self.relayed_probes[sequence] = (
                    sender,
                    datagram.sequence,
                    datagram.target,
                    now + self.config.ack_timeout,
                )
                return [
                    self._send(target.host, target.port, messages.PING, sequence, first=(datagram.target,))
                ]
            case messages.PING_RESULT:
                probe = self.probes.get(datagram.sequence)
                if probe is not None and probe.number == datagram.target:
                    probe.answers += 1
                    if datagram.ok:
                        del self.probes[datagram.sequence]
            case messages.SYNC if not datagram.ok:
                return self._full_table(host, port, True)
            case messages.SYNC if datagram.target == SYNC_REPLY and now < self.catching_up_until:
                return self._finish_catching_up(now)
        return []

    def _handle_ack(self, datagram: Datagram) -> OutgoingDatagrams:
        if probe := self.probes.pop(datagram.sequence, None):
            if probe.incarnation == datagram.incarnation:
                self.health = max(0, self.health - 1)
        elif relayed := self.relayed_probes.pop(datagram.sequence, None):
            (host, port), their_sequence, number, _ = relayed
            return [self._send(host, port, messages.PING_RESULT, their_sequence, number, ok=True)]
        return []

    def _finish_catching_up(self, now: float) -> OutgoingDatagrams:
        """The missed records have arrived: ping the suspects once more and restart their suspicions."""
        self.catching_up_until = now
        for suspicion in self.suspicions.values():
            suspicion.since = now
        suspects = [self.members.records[number] for number in self.suspicions]
        return [
            self._send(x.host, x.port, messages.PING, self._next_sequence(), first=(x.number,))
            for x in suspects
        ]

    # Failure detection.

    def _detect_pause(self, now: float) -> None:
        """After a pause, drop the probes in flight and catch up before declaring members gone."""
        late = now - max(self.last_run, min(self.due, now))
        gap, self.last_run = now - self.last_run, now
        if (
            not self.config.detects_pauses
            or late <= self.config.pause_threshold
            or gap <= self.config.pause_threshold
        ):
            return
        self.counts["paused"] += 1
        self.probes.clear()
        self.relayed_probes.clear()
        self.catching_up_until = now + self.config.catch_up_timeout
        self.next_sync = now
        for number in self.last_heard:
            self.last_heard[number] += gap
        self.health = min(self.config.max_health, self.health + 1)

    def _merge(self, now: float, record: MemberRecord, reporter: int) -> None:
        if not 0 <= record.status <= MemberStatus.LEFT:
            return
        own = self.members.own
        before = self.members.merge(now, record)
        if self.members.own is not own:
            # A member missed our answers and we refuted its suspicion: this process may be slow.
            self.counts["refuted"] += 1
            self.health = min(self.config.max_health, self.health + 1)
            return
        suspicion = self.suspicions.get(record.number)
        if before is None:
            if (
                suspicion
                and record.precedence == suspicion.record.precedence
                and reporter not in suspicion.confirmed_by
            ):
                suspicion.confirmed_by.add(reporter)
            return
        if record.status == MemberStatus.SUSPECT:
            self._suspect(now, record, reporter)
        else:
            self.suspicions.pop(record.number, None)
        if before.incarnation != record.incarnation:
            for times in (self.last_heard, self.unheard_reports):
                times.pop(record.number, None)
        if record.status < MemberStatus.GONE:
            self.last_heard.setdefault(record.number, now)

    def _suspect(self, now: float, record: MemberRecord, reporter: int) -> None:
        config = self.config
        shortest = (
            config.suspicion_rounds
            * max(1.0, log10(max(1, len(self.members.records))))
            * config.probe_interval
        )
        suspicion = self.suspicions[record.number] = Suspicion(
            record, now, shortest, shortest * max(1.0, config.max_suspicion_factor)
        )
        if reporter != self.members.own.number:
            suspicion.confirmed_by.add(reporter)

    def _probe_failed(self, now: float, probe: Probe) -> OutgoingDatagrams:
        """Neither the member nor the members asked for indirect probes have confirmed that it is alive."""
        del self.probes[probe.sequence]
        record = self.members.records.get(probe.number)
        # If no helper replied at all, this member's own network may be at fault.
        silent = probe.helpers > 0 and probe.answers == 0
        self.health = min(self.config.max_health, self.health + (1 if silent else 0))
        if (
            record is None
            or record.incarnation != probe.incarnation
            or record.status >= MemberStatus.GONE
            or now < self.catching_up_until
        ):
            return []
        if record.status == MemberStatus.SUSPECT:
            if suspicion := self.suspicions.get(record.number):
                suspicion.confirmed_by.add(self.members.own.number)
            return []
        self.counts["suspected"] += 1
        suspect = msgspec.structs.replace(record, status=MemberStatus.SUSPECT)
        self.members.merge(now, suspect)
        self._suspect(now, suspect, self.members.own.number)
        return [
            self._send(record.host, record.port, messages.PING, self._next_sequence(), first=(record.number,))
        ]

    def _declare_gone(self, now: float, suspicion: Suspicion) -> None:
        del self.suspicions[suspicion.record.number]
        if self.members.records.get(suspicion.record.number) == suspicion.record:
            self.counts["gone"] += 1
            self.members.merge(now, msgspec.structs.replace(suspicion.record, status=MemberStatus.GONE))

    # Sending.

    def _probe_interval(self) -> float:
        return self.config.probe_interval * (1 + self.health / 2)

    def _next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence

    def _probe_next(self, now: float) -> OutgoingDatagrams:
        """Probe the next member of a round, in which each member is probed once in random order."""
        while self.probe_order:
            record = self.members.records.get(self.probe_order.pop())
            if record is not None and record.status < MemberStatus.GONE:
                sequence, timeout = self._next_sequence(), self.config.ack_timeout * (1 + self.health)
                self.probes[sequence] = Probe(
                    record,
                    sequence,
                    now + timeout,
                    now + max(PROBE_DEADLINE_FACTOR * timeout, self._probe_interval()),
                )
                return [
                    self._send(
                        record.host, record.port, messages.PING, sequence, now=now, first=(record.number,)
                    )
                ]
        self.probe_order = [record.number for record in self.members.others()]
        self.random.shuffle(self.probe_order)
        return self._probe_next(now) if self.probe_order else []

    def _ping_suspects(self) -> OutgoingDatagrams:
        """Ping each suspect with a probability, so that some members do in every round.

        Even where many datagrams are lost, one of theirs is likely to get through.
        """
        probability = PROBERS_PER_SUSPECT / len(self.members.records)
        suspects = [self.members.records[n] for n in self.suspicions if self.random.random() < probability]
        return [
            self._send(x.host, x.port, messages.PING, self._next_sequence(), first=(x.number,))
            for x in suspects
        ]

    def _probe_indirectly(self, now: float, probe: Probe) -> OutgoingDatagrams:
        candidates = [
            x for x in self.members.others() if x.number != probe.number and x.status == MemberStatus.ALIVE
        ]
        helpers = self.random.sample(candidates, min(self.config.indirect_probes, len(candidates)))
        probe.helpers = len(helpers) or -1
        return [
            self._send(x.host, x.port, messages.PING_REQUEST, probe.sequence, probe.number, now=now)
            for x in helpers
        ]

    def _sync(self, now: float) -> OutgoingDatagrams:
        others = [(x.host, x.port) for x in self.members.others()]
        # Also sync with seeds that are not members: after a partition, both halves find each other this way.
        unknown = [
            a for a in self.seeds if a not in others and a != (self.members.own.host, self.members.own.port)
        ]
        receivers = [self.random.choice(group) for group in (others, unknown) if group]
        if now < self.catching_up_until and len(others) > 1:
            receivers += [self.random.choice(others)]
        return [datagram for host, port in receivers for datagram in self._full_table(host, port, False)]

    def _full_table(self, host: str, port: int, is_reply: bool) -> OutgoingDatagrams:
        """The full member table, in as many SYNC datagrams as it takes."""
        left, out = list(self.members.records.values()), []
        while left:
            page = tuple(left[:RECORDS_PER_SYNC])
            left = left[RECORDS_PER_SYNC:]
            # Only the last page requests the receiver's table, so that each table is sent once per exchange.
            target = SYNC_REPLY if is_reply else -1
            out.append(
                self._send(
                    host,
                    port,
                    messages.SYNC,
                    self._next_sequence(),
                    target,
                    is_reply or bool(left),
                    page=page,
                )
            )
        return out

    def _send(
        self, host: str, port: int, kind: int, sequence: int, target: int = -1, ok: bool = False,
        page: tuple[MemberRecord, ...] = (), first: tuple[int, ...] = (), now: float | None = None,
    ) -> tuple[Address, bytes]:  # fmt: skip
        own = self.members.own
        unheard = tuple(self.unheard(now)[:MAX_UNHEARD_REPORTED]) if now is not None else ()
        records = page or self.members.pending_records(first)
        datagram = Datagram(
            messages.VERSION, self.fleet, kind, own.number, own.incarnation, sequence, target, ok, unheard,
            records,
        )  # fmt: skip
        data, fitted = messages.encode_fitting(datagram)
        if not page:
            self.members.mark_sent(fitted)
        self.counts["sent"] += 1
        self.counts["bytes"] += len(data)
        return (host, port), data
