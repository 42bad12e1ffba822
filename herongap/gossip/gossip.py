"""Membership by gossip: probes, probes through others, suspicion, and words that ride on them. No I/O.

SWIM (Das et al. 2002) with Lifeguard's patience (Dadgar et al. 2017). Ours beside them: who was stopped
judges nobody before it has asked (`_noticed`); and each says whom it does not hear directly, so that a pair
that hears one way only is a state of the pair, never a death.

`tick` and `heard` give the datagrams to send, as (address, bytes). Times are the caller's clock, in seconds.
"""

from math import log10
from random import Random
from typing import NamedTuple

import msgspec

from herongap.errors import Misuse
from herongap.gossip import messages as w
from herongap.gossip.members import MemberStatus, MemberTable
from herongap.gossip.messages import Datagram, InvalidDatagram, MemberRecord

Address = tuple[str, int]
Out = list[tuple[Address, bytes]]
DEAF = 3.0  # rounds without a direct answer after which a member that lives counts as not heard
MOST_DEAF = 32  # names in one datagram
AGAIN = 4  # members that ask one who is doubted, each round, on the mean
COUNTS = ("sent", "bytes", "unreadable", "paused", "suspected", "gone", "refuted")
ANSWER = 0  # what a SYNC is about that answers one


class GossipConfig(NamedTuple):
    """How one controller asks. Seconds where not said otherwise."""

    probe_interval: float = 0.5  # between two probes of its own
    ack_timeout: float = 0.2  # for a direct answer
    indirect_probes: int = 3  # members asked where that stays out
    suspicion_rounds: float = 3.0  # least rounds of suspicion, times log10 of the members
    max_suspicion_factor: float = 2.0  # times that, where nobody else suspects
    confirmations: int = 3  # others whose suspicion shortens it to the least
    max_health: int = 8  # most that a slow one stretches its own times by
    pause_threshold: float = 0.5  # late by more than this to its own times, a process was stopped
    catch_up_timeout: float = (
        10.0  # for which one that was stopped waits for an answer, at most, before it judges
    )
    sync_interval: float = 10.0  # between two full exchanges
    detects_pauses: bool = True  # False: plain SWIM, which judges right after a pause


class Probe:
    """A probe of ours that is out."""

    __slots__ = ("number", "incarnation", "turn", "due", "until", "asked", "answers")

    def __init__(self, word: MemberRecord, turn: int, due: float, until: float):
        self.number, self.incarnation, self.turn = word.number, word.incarnation, turn
        self.due, self.until, self.asked, self.answers = due, until, 0, 0


class Doubt:
    """A suspicion that is held here of one member's word; `by` names who else holds it."""

    __slots__ = ("word", "since", "least", "most", "by")

    def __init__(self, word: MemberRecord, since: float, least: float, most: float):
        self.word, self.since, self.least, self.most, self.by = word, since, least, most, set()

    def until(self, confirms: int) -> float:
        """Lifeguard: the more others suspect, the nearer to the least."""
        part = min(1.0, log10(len(self.by) + 1) / log10(confirms + 1)) if confirms else 1.0
        return self.since + self.most - (self.most - self.least) * part


class Gossip:
    """One controller. `me` is its word at its start, `fleet` the name that keeps two fleets apart."""

    def __init__(self, now: float, me: MemberRecord, fleet: str, config: GossipConfig, seed: int):
        if me.status != MemberStatus.ALIVE:
            raise Misuse(f"a member begins alive, not {me.status}")
        self.fleet, self.config, self.random = fleet, config, Random(seed)
        self.members = MemberTable(me)
        self.seeds: list[Address] = []
        self.heard_at: dict[int, float] = {}  # when a member was last heard directly
        self.deaf_to_me: dict[int, float] = {}  # who says that it does not hear us, and when
        self.doubts: dict[int, Doubt] = {}
        self.probes: dict[int, Probe] = {}
        self.errands: dict[int, tuple[Address, int, int, float]] = {}  # probes for others, by our turn
        self.health, self.turn, self.round = 0, 0, []
        self.asking = now  # until when one that was stopped, or has just come, judges nobody
        self.last, self.next_probe, self.next_sync = now, now, now
        self.counts = dict.fromkeys(COUNTS, 0)

    # What is asked of it.

    @property
    def due(self) -> float:
        """When `tick` is to be called next, at the latest."""
        times = [self.next_probe, self.next_sync]
        times += [p.due if not p.asked else p.until for p in self.probes.values()]
        times += [max(self.asking, d.until(self.config.confirmations)) for d in self.doubts.values()]
        return min(times)

    def set_seeds(self, addresses: list[Address]) -> None:
        """Where others may be found: from a file, or the store's directory."""
        self.seeds = list(addresses)

    def controller_count(self, store: int, ranked: bool) -> int:
        """How many divide the room, for the module: what the store said last; while it gives us no rank, more
        where more are seen here. Never fewer: who is not seen may still act.
        """
        return store if ranked else max(store, sum(1 for _ in self.members.live()))

    def unheard(self, now: float) -> list[int]:
        """Members that live and that this one does not hear directly."""
        others = self.members.others()
        late = DEAF * self._pace() * (len(others) + 1)
        return [x.number for x in others if now - self.heard_at.get(x.number, now) > late]

    def unheard_by(self, now: float) -> list[int]:
        """Members that this one hears, and that say that they do not hear it."""
        fresh = 3 * self.config.sync_interval
        return [n for n, at in self.deaf_to_me.items() if now - at < fresh and n in self.members.records]

    def leave(self, now: float) -> Out:
        """This controller ends by its own will: no suspicion is needed."""
        self.members.announce(msgspec.structs.replace(self.members.own, status=MemberStatus.LEFT))
        to = self.random.sample(self.members.others(), min(5, len(self.members.others())))
        return [self._send(x.host, x.port, w.PING, self._turn()) for x in to]

    # What happens.

    def tick(self, now: float) -> Out:
        """What is due by now; call when `due` has come, and whenever else."""
        self._noticed(now)
        out: Out = []
        for probe in list(self.probes.values()):
            if now >= probe.until:
                out += self._missed(now, probe)
            elif now >= probe.due and not probe.asked:
                out += self._ask_others(now, probe)
        for turn in [t for t, errand in self.errands.items() if now >= errand[3]]:
            (host, port), theirs, number, _ = self.errands.pop(turn)
            out.append(self._send(host, port, w.HEARD, theirs, number))
        for doubt in list(self.doubts.values()):
            if now >= doubt.until(self.config.confirmations) and now >= self.asking:
                self._judge(now, doubt)
        if now >= self.next_probe:
            self.next_probe = now + self._pace()
            out += self._probe(now) + self._ask_again()
        if now >= self.next_sync:
            # Alone, or just back, it asks again soon: whoever it asked may not have been there.
            alone = now < self.asking or not self.members.others()
            pause = self.config.probe_interval if alone else self.config.sync_interval
            self.next_sync = now + pause * self.random.uniform(0.75, 1.25)
            out += self._sync(now)
            self.members.prune(now)
        return out

    def receive(self, now: float, data: bytes, sender: Address) -> Out:
        """A datagram that came; what cannot be read is counted and dropped."""
        self._noticed(now)
        try:
            d = w.decode(data, self.fleet)
        except InvalidDatagram:
            self.counts["unreadable"] += 1
            return []
        if d.sender == self.members.own.number:
            return []  # our own, sent back; or another process under our number, which the store settles
        for word in d.records:
            self._take(now, word, d.sender)
        known = self.members.records.get(d.sender)
        if known is not None and known.incarnation == d.incarnation:
            self.heard_at[d.sender] = now
            if self.members.own.number in d.unheard:
                self.deaf_to_me[d.sender] = now
            else:
                self.deaf_to_me.pop(d.sender, None)
        # Answers go where a member says that it is reached, not where its datagram seems to come from.
        return self._answer(now, d, (known.host, known.port) if known else sender)

    def _answer(self, now: float, d: Datagram, sender: Address) -> Out:
        host, port = sender
        match d.kind:
            case w.PING:
                # Whoever is doubted hears of it from whom it asks, and can answer at once.
                return [self._send(host, port, w.ACK, d.sequence, first=(d.sender,))]
            case w.ACK:
                return self._acked(d)
            case w.ASK:
                target = self.members.records.get(d.target)
                if target is None:
                    return []
                turn = self._turn()
                self.errands[turn] = sender, d.sequence, d.target, now + self.config.ack_timeout
                return [self._send(target.host, target.port, w.PING, turn, first=(d.target,))]
            case w.HEARD:
                probe = self.probes.get(d.sequence)
                if probe is not None and probe.number == d.target:
                    probe.answers += 1
                    if d.ok:
                        del self.probes[d.sequence]
            case w.SYNC if not d.ok:
                return self._all(host, port, True)
            case w.SYNC if d.target == ANSWER and now < self.asking:
                return self._caught_up(now)
        return []

    def _acked(self, d: Datagram) -> Out:
        if probe := self.probes.pop(d.sequence, None):
            if probe.incarnation == d.incarnation:
                self.health = max(0, self.health - 1)
        elif errand := self.errands.pop(d.sequence, None):
            (host, port), theirs, number, _ = errand
            return [self._send(host, port, w.HEARD, theirs, number, good=True)]
        return []

    def _caught_up(self, now: float) -> Out:
        """What was missed has been told; who is still doubted is asked once more, and has its whole time."""
        self.asking = now
        for doubt in self.doubts.values():
            doubt.since = now
        doubted = [self.members.records[number] for number in self.doubts]
        return [self._send(x.host, x.port, w.PING, self._turn(), first=(x.number,)) for x in doubted]

    # Judging.

    def _noticed(self, now: float) -> None:
        """Whether this process was stopped. Then nothing that was out counts, and it asks before judging."""
        late = now - max(self.last, min(self.due, now))
        gap, self.last = now - self.last, now
        if (
            not self.config.detects_pauses
            or late <= self.config.pause_threshold
            or gap <= self.config.pause_threshold
        ):
            return
        self.counts["paused"] += 1
        self.probes.clear()
        self.errands.clear()
        self.asking = now + self.config.catch_up_timeout
        self.next_sync = now
        for number in self.heard_at:
            self.heard_at[number] += gap
        self.health = min(self.config.max_health, self.health + 1)

    def _take(self, now: float, word: MemberRecord, by: int) -> None:
        if not 0 <= word.status <= MemberStatus.LEFT:
            return
        mine = self.members.own
        before = self.members.merge(now, word)
        if self.members.own is not mine:
            # Somebody missed our answers: perhaps we are slow.
            self.counts["refuted"] += 1
            self.health = min(self.config.max_health, self.health + 1)
            return
        doubt = self.doubts.get(word.number)
        if before is None:
            if doubt and word.precedence == doubt.word.precedence and by not in doubt.by:
                doubt.by.add(by)
            return
        if word.status == MemberStatus.SUSPECT:
            self._doubt(now, word, by)
        else:
            self.doubts.pop(word.number, None)
        if before.incarnation != word.incarnation:
            for known in (self.heard_at, self.deaf_to_me):
                known.pop(word.number, None)
        if word.status < MemberStatus.GONE:
            self.heard_at.setdefault(word.number, now)

    def _doubt(self, now: float, word: MemberRecord, by: int) -> None:
        t = self.config
        least = t.suspicion_rounds * max(1.0, log10(max(1, len(self.members.records)))) * t.probe_interval
        doubt = self.doubts[word.number] = Doubt(word, now, least, least * max(1.0, t.max_suspicion_factor))
        if by != self.members.own.number:
            doubt.by.add(by)

    def _missed(self, now: float, probe: Probe) -> Out:
        """No answer, from itself or through others."""
        del self.probes[probe.turn]
        word = self.members.records.get(probe.number)
        # Those asked did not say a word either: it may be us whom nobody hears.
        silent = probe.asked > 0 and probe.answers == 0
        self.health = min(self.config.max_health, self.health + (1 if silent else 0))
        if (
            word is None
            or word.incarnation != probe.incarnation
            or word.status >= MemberStatus.GONE
            or now < self.asking
        ):
            return []
        if word.status == MemberStatus.SUSPECT:
            if doubt := self.doubts.get(word.number):
                doubt.by.add(self.members.own.number)
            return []
        self.counts["suspected"] += 1
        suspect = msgspec.structs.replace(word, status=MemberStatus.SUSPECT)
        self.members.merge(now, suspect)
        self._doubt(now, suspect, self.members.own.number)
        return [self._send(word.host, word.port, w.PING, self._turn(), first=(word.number,))]

    def _judge(self, now: float, doubt: Doubt) -> None:
        del self.doubts[doubt.word.number]
        if self.members.records.get(doubt.word.number) == doubt.word:
            self.counts["gone"] += 1
            self.members.merge(now, msgspec.structs.replace(doubt.word, status=MemberStatus.GONE))

    # Asking.

    def _pace(self) -> float:
        return self.config.probe_interval * (1 + self.health / 2)

    def _turn(self) -> int:
        self.turn += 1
        return self.turn

    def _probe(self, now: float) -> Out:
        """The next of a round in which each is met once, in an order of its own."""
        while self.round:
            word = self.members.records.get(self.round.pop())
            if word is not None and word.status < MemberStatus.GONE:
                turn, patience = self._turn(), self.config.ack_timeout * (1 + self.health)
                self.probes[turn] = Probe(word, turn, now + patience, now + max(3 * patience, self._pace()))
                return [self._send(word.host, word.port, w.PING, turn, now=now, first=(word.number,))]
        self.round = [word.number for word in self.members.others()]
        self.random.shuffle(self.round)
        return self._probe(now) if self.round else []

    def _ask_again(self) -> Out:
        """Whoever is doubted is asked by a few each round: of many lost datagrams one has to get through."""
        part = AGAIN / len(self.members.records)
        doubted = [self.members.records[n] for n in self.doubts if self.random.random() < part]
        return [self._send(x.host, x.port, w.PING, self._turn(), first=(x.number,)) for x in doubted]

    def _ask_others(self, now: float, probe: Probe) -> Out:
        able = [
            x for x in self.members.others() if x.number != probe.number and x.status == MemberStatus.ALIVE
        ]
        asked = self.random.sample(able, min(self.config.indirect_probes, len(able)))
        probe.asked = len(asked) or -1
        return [self._send(x.host, x.port, w.ASK, probe.turn, probe.number, now=now) for x in asked]

    def _sync(self, now: float) -> Out:
        others = [(x.host, x.port) for x in self.members.others()]
        # Also those of the directory that are not known: two halves that lost each other meet again there.
        strange = [
            a for a in self.seeds if a not in others and a != (self.members.own.host, self.members.own.port)
        ]
        to = [self.random.choice(group) for group in (others, strange) if group]
        if now < self.asking and len(others) > 1:
            to += [self.random.choice(others)]
        return [part for host, port in to for part in self._all(host, port, False)]

    def _all(self, host: str, port: int, answer: bool) -> Out:
        """All that is known, in as many datagrams as it takes."""
        left, out = list(self.members.records.values()), []
        while left:
            page = tuple(left[:24])
            left = left[24:]
            # Only the last page asks for the other's: an exchange is one of each.
            about = ANSWER if answer else -1
            out.append(self._send(host, port, w.SYNC, self._turn(), about, answer or bool(left), page=page))
        return out

    def _send(
        self, host: str, port: int, kind: int, turn: int, about: int = -1, good: bool = False,
        page: tuple[MemberRecord, ...] = (), first: tuple[int, ...] = (), now: float | None = None,
    ) -> tuple[Address, bytes]:  # fmt: skip
        me = self.members.own
        deaf = tuple(self.unheard(now)[:MOST_DEAF]) if now is not None else ()
        said = page or self.members.pending_records(first)
        datagram = Datagram(
            w.VERSION, self.fleet, kind, me.number, me.incarnation, turn, about, good, deaf, said
        )
        data, fitted = w.encode_fitting(datagram)
        if not page:
            self.members.mark_sent(fitted)
        self.counts["sent"] += 1
        self.counts["bytes"] += len(data)
        return (host, port), data
