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
from herongap.gossip import words as w
from herongap.gossip.book import Book, Standing
from herongap.gossip.words import Datagram, Unreadable, Word

Address = tuple[str, int]
Out = list[tuple[Address, bytes]]
DEAF = 3.0  # rounds without a direct answer after which a member that lives counts as not heard
MOST_DEAF = 32  # names in one datagram
AGAIN = 4  # members that ask one who is doubted, each round, on the mean
COUNTS = ("sent", "bytes", "unreadable", "paused", "suspected", "gone", "refuted")
ANSWER = 0  # what a SYNC is about that answers one


class Terms(NamedTuple):
    """How one controller asks. Seconds where not said otherwise."""

    every: float = 0.5  # between two probes of its own
    patience: float = 0.2  # for a direct answer
    through: int = 3  # members asked where that stays out
    suspect: float = 3.0  # least rounds of suspicion, times log10 of the members
    longest: float = 2.0  # times that, where nobody else suspects
    confirms: int = 3  # others whose suspicion shortens it to the least
    health: int = 8  # most that a slow one stretches its own times by
    stopped: float = 0.5  # late by more than this to its own times, a process was stopped
    asks: float = 10.0  # for which one that was stopped waits for an answer, at most, before it judges
    sync: float = 10.0  # between two full exchanges
    notices: bool = True  # False: plain SWIM, which judges right after a pause


class Probe:
    """A probe of ours that is out."""

    __slots__ = ("number", "life", "turn", "due", "until", "asked", "answers")

    def __init__(self, word: Word, turn: int, due: float, until: float):
        self.number, self.life, self.turn = word.number, word.life, turn
        self.due, self.until, self.asked, self.answers = due, until, 0, 0


class Doubt:
    """A suspicion that is held here of one member's word; `by` names who else holds it."""

    __slots__ = ("word", "since", "least", "most", "by")

    def __init__(self, word: Word, since: float, least: float, most: float):
        self.word, self.since, self.least, self.most, self.by = word, since, least, most, set()

    def until(self, confirms: int) -> float:
        """Lifeguard: the more others suspect, the nearer to the least."""
        part = min(1.0, log10(len(self.by) + 1) / log10(confirms + 1)) if confirms else 1.0
        return self.since + self.most - (self.most - self.least) * part


class Gossip:
    """One controller. `me` is its word at its start, `fleet` the name that keeps two fleets apart."""

    def __init__(self, now: float, me: Word, fleet: str, terms: Terms, seed: int):
        if me.standing != Standing.ALIVE:
            raise Misuse(f"a member begins alive, not {me.standing}")
        self.fleet, self.terms, self.draw = fleet, terms, Random(seed)
        self.book = Book(me)
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
        times += [max(self.asking, d.until(self.terms.confirms)) for d in self.doubts.values()]
        return min(times)

    def known(self, addresses: list[Address]) -> None:
        """Where others may be found: from a file, or the store's directory."""
        self.seeds = list(addresses)

    def count(self, store: int, ranked: bool) -> int:
        """How many divide the room, for the module: what the store said last; while it gives us no rank, more
        where more are seen here. Never fewer: who is not seen may still act.
        """
        return store if ranked else max(store, sum(1 for _ in self.book.live()))

    def deaf(self, now: float) -> list[int]:
        """Members that live and that this one does not hear directly."""
        others = self.book.others()
        late = DEAF * self._pace() * (len(others) + 1)
        return [x.number for x in others if now - self.heard_at.get(x.number, now) > late]

    def one_sided(self, now: float) -> list[int]:
        """Members that this one hears, and that say that they do not hear it."""
        fresh = 3 * self.terms.sync
        return [n for n, at in self.deaf_to_me.items() if now - at < fresh and n in self.book.words]

    def leave(self, now: float) -> Out:
        """This controller ends by its own will: no suspicion is needed."""
        self.book.say(msgspec.structs.replace(self.book.me, standing=Standing.LEFT))
        to = self.draw.sample(self.book.others(), min(5, len(self.book.others())))
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
            if now >= doubt.until(self.terms.confirms) and now >= self.asking:
                self._judge(now, doubt)
        if now >= self.next_probe:
            self.next_probe = now + self._pace()
            out += self._probe(now) + self._ask_again()
        if now >= self.next_sync:
            # Alone, or just back, it asks again soon: whoever it asked may not have been there.
            alone = now < self.asking or not self.book.others()
            pause = self.terms.every if alone else self.terms.sync
            self.next_sync = now + pause * self.draw.uniform(0.75, 1.25)
            out += self._sync(now)
            self.book.forget(now)
        return out

    def heard(self, now: float, data: bytes, sender: Address) -> Out:
        """A datagram that came; what cannot be read is counted and dropped."""
        self._noticed(now)
        try:
            d = w.read(data, self.fleet)
        except Unreadable:
            self.counts["unreadable"] += 1
            return []
        if d.number == self.book.me.number:
            return []  # our own, sent back; or another process under our number, which the store settles
        for word in d.words:
            self._take(now, word, d.number)
        known = self.book.words.get(d.number)
        if known is not None and known.life == d.life:
            self.heard_at[d.number] = now
            if self.book.me.number in d.deaf:
                self.deaf_to_me[d.number] = now
            else:
                self.deaf_to_me.pop(d.number, None)
        # Answers go where a member says that it is reached, not where its datagram seems to come from.
        return self._answer(now, d, (known.host, known.port) if known else sender)

    def _answer(self, now: float, d: Datagram, sender: Address) -> Out:
        host, port = sender
        match d.kind:
            case w.PING:
                # Whoever is doubted hears of it from whom it asks, and can answer at once.
                return [self._send(host, port, w.ACK, d.turn, first=(d.number,))]
            case w.ACK:
                return self._acked(d)
            case w.ASK:
                target = self.book.words.get(d.about)
                if target is None:
                    return []
                turn = self._turn()
                self.errands[turn] = sender, d.turn, d.about, now + self.terms.patience
                return [self._send(target.host, target.port, w.PING, turn, first=(d.about,))]
            case w.HEARD:
                probe = self.probes.get(d.turn)
                if probe is not None and probe.number == d.about:
                    probe.answers += 1
                    if d.good:
                        del self.probes[d.turn]
            case w.SYNC if not d.good:
                return self._all(host, port, True)
            case w.SYNC if d.about == ANSWER and now < self.asking:
                return self._caught_up(now)
        return []

    def _acked(self, d: Datagram) -> Out:
        if probe := self.probes.pop(d.turn, None):
            if probe.life == d.life:
                self.health = max(0, self.health - 1)
        elif errand := self.errands.pop(d.turn, None):
            (host, port), theirs, number, _ = errand
            return [self._send(host, port, w.HEARD, theirs, number, good=True)]
        return []

    def _caught_up(self, now: float) -> Out:
        """What was missed has been told; who is still doubted is asked once more, and has its whole time."""
        self.asking = now
        for doubt in self.doubts.values():
            doubt.since = now
        doubted = [self.book.words[number] for number in self.doubts]
        return [self._send(x.host, x.port, w.PING, self._turn(), first=(x.number,)) for x in doubted]

    # Judging.

    def _noticed(self, now: float) -> None:
        """Whether this process was stopped. Then nothing that was out counts, and it asks before judging."""
        late = now - max(self.last, min(self.due, now))
        gap, self.last = now - self.last, now
        if not self.terms.notices or late <= self.terms.stopped or gap <= self.terms.stopped:
            return
        self.counts["paused"] += 1
        self.probes.clear()
        self.errands.clear()
        self.asking = now + self.terms.asks
        self.next_sync = now
        for number in self.heard_at:
            self.heard_at[number] += gap
        self.health = min(self.terms.health, self.health + 1)

    def _take(self, now: float, word: Word, by: int) -> None:
        if not 0 <= word.standing <= Standing.LEFT:
            return
        mine = self.book.me
        before = self.book.merge(now, word)
        if self.book.me is not mine:
            # Somebody missed our answers: perhaps we are slow.
            self.counts["refuted"] += 1
            self.health = min(self.terms.health, self.health + 1)
            return
        doubt = self.doubts.get(word.number)
        if before is None:
            if doubt and word.rank == doubt.word.rank and by not in doubt.by:
                doubt.by.add(by)
            return
        if word.standing == Standing.SUSPECT:
            self._doubt(now, word, by)
        else:
            self.doubts.pop(word.number, None)
        if before.life != word.life:
            for known in (self.heard_at, self.deaf_to_me):
                known.pop(word.number, None)
        if word.standing < Standing.GONE:
            self.heard_at.setdefault(word.number, now)

    def _doubt(self, now: float, word: Word, by: int) -> None:
        t = self.terms
        least = t.suspect * max(1.0, log10(max(1, len(self.book.words)))) * t.every
        doubt = self.doubts[word.number] = Doubt(word, now, least, least * max(1.0, t.longest))
        if by != self.book.me.number:
            doubt.by.add(by)

    def _missed(self, now: float, probe: Probe) -> Out:
        """No answer, from itself or through others."""
        del self.probes[probe.turn]
        word = self.book.words.get(probe.number)
        # Those asked did not say a word either: it may be us whom nobody hears.
        silent = probe.asked > 0 and probe.answers == 0
        self.health = min(self.terms.health, self.health + (1 if silent else 0))
        if word is None or word.life != probe.life or word.standing >= Standing.GONE or now < self.asking:
            return []
        if word.standing == Standing.SUSPECT:
            if doubt := self.doubts.get(word.number):
                doubt.by.add(self.book.me.number)
            return []
        self.counts["suspected"] += 1
        suspect = msgspec.structs.replace(word, standing=Standing.SUSPECT)
        self.book.merge(now, suspect)
        self._doubt(now, suspect, self.book.me.number)
        return [self._send(word.host, word.port, w.PING, self._turn(), first=(word.number,))]

    def _judge(self, now: float, doubt: Doubt) -> None:
        del self.doubts[doubt.word.number]
        if self.book.words.get(doubt.word.number) == doubt.word:
            self.counts["gone"] += 1
            self.book.merge(now, msgspec.structs.replace(doubt.word, standing=Standing.GONE))

    # Asking.

    def _pace(self) -> float:
        return self.terms.every * (1 + self.health / 2)

    def _turn(self) -> int:
        self.turn += 1
        return self.turn

    def _probe(self, now: float) -> Out:
        """The next of a round in which each is met once, in an order of its own."""
        while self.round:
            word = self.book.words.get(self.round.pop())
            if word is not None and word.standing < Standing.GONE:
                turn, patience = self._turn(), self.terms.patience * (1 + self.health)
                self.probes[turn] = Probe(word, turn, now + patience, now + max(3 * patience, self._pace()))
                return [self._send(word.host, word.port, w.PING, turn, now=now, first=(word.number,))]
        self.round = [word.number for word in self.book.others()]
        self.draw.shuffle(self.round)
        return self._probe(now) if self.round else []

    def _ask_again(self) -> Out:
        """Whoever is doubted is asked by a few each round: of many lost datagrams one has to get through."""
        part = AGAIN / len(self.book.words)
        doubted = [self.book.words[n] for n in self.doubts if self.draw.random() < part]
        return [self._send(x.host, x.port, w.PING, self._turn(), first=(x.number,)) for x in doubted]

    def _ask_others(self, now: float, probe: Probe) -> Out:
        able = [x for x in self.book.others() if x.number != probe.number and x.standing == Standing.ALIVE]
        asked = self.draw.sample(able, min(self.terms.through, len(able)))
        probe.asked = len(asked) or -1
        return [self._send(x.host, x.port, w.ASK, probe.turn, probe.number, now=now) for x in asked]

    def _sync(self, now: float) -> Out:
        others = [(x.host, x.port) for x in self.book.others()]
        # Also those of the directory that are not known: two halves that lost each other meet again there.
        strange = [a for a in self.seeds if a not in others and a != (self.book.me.host, self.book.me.port)]
        to = [self.draw.choice(group) for group in (others, strange) if group]
        if now < self.asking and len(others) > 1:
            to += [self.draw.choice(others)]
        return [part for host, port in to for part in self._all(host, port, False)]

    def _all(self, host: str, port: int, answer: bool) -> Out:
        """All that is known, in as many datagrams as it takes."""
        left, out = list(self.book.words.values()), []
        while left:
            page = tuple(left[:24])
            left = left[24:]
            # Only the last page asks for the other's: an exchange is one of each.
            about = ANSWER if answer else -1
            out.append(self._send(host, port, w.SYNC, self._turn(), about, answer or bool(left), page=page))
        return out

    def _send(
        self, host: str, port: int, kind: int, turn: int, about: int = -1, good: bool = False,
        page: tuple[Word, ...] = (), first: tuple[int, ...] = (), now: float | None = None,
    ) -> tuple[Address, bytes]:  # fmt: skip
        me = self.book.me
        deaf = tuple(self.deaf(now)[:MOST_DEAF]) if now is not None else ()
        said = page or self.book.news(first)
        datagram = Datagram(w.VERSION, self.fleet, kind, me.number, me.life, turn, about, good, deaf, said)
        data, fitted = w.fitted(datagram)
        if not page:
            self.book.told(fitted)
        self.counts["sent"] += 1
        self.counts["bytes"] += len(data)
        return (host, port), data
