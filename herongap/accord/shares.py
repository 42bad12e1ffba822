"""How one whole is divided among the controllers: what each may use, gives back, asks for and takes.

The division is a document of the store (`ledger`): the whole and each controller's part, the sum of which
no write may bring above the whole. So nobody has to be believed but the store, and nobody ever takes from
another:

- A controller writes what it wants into its own part. From the same wants all compute the same goals, by
  max-min fairness (D. Bertsekas and R. Gallager, "Data Networks", 6.5.2), what is spare divided evenly on
  top.
- Who is above its goal gives back what it does not use, and stops using it before the write leaves. Who is
  below takes what is free. A viewing that its own part covers asks nobody (escrow: P. O'Neil, 1986).
- A part counts for its holder only while its lease lasts by its own, earlier clock (C. Gray and D. Cheriton,
  1989), and only if the part was written by this claim of its number. For everybody else it counts until its
  holder's lease is seen to be gone and `linger` has passed since: until what it had begun is over.

A `held` whole bounds what is in use at one time; what a controller holds without its lease it must have
ended `linger` after that (`overdue`). A `rate` whole bounds what is begun in any window; there `linger` is
the window. All times are the holder's own clock, which only runs forward.
"""

from collections import deque
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple
from zlib import crc32

from herongap.accord.ledger import BadDocument, Commit, Document, Ledger, Outcome, write

REACT = 2.0  # seconds for which what was turned away is wanted
MARGIN = 0.5  # seconds and
DRIFT = 0.1  # part of a time by which clocks may stray from each other while it passes
CALM = 0.1  # seconds between two changes of one part
WRITES = 80.0  # changes of one whole a second, by all controllers together
SPREAD = 0.006  # seconds for each controller over which they answer to one that is short
AGAIN = 0.02  # seconds after a lost race or a silence, and more by chance the oftener there was one
STEP = 0.25  # part of its goal by which a want must move to be told though nobody waits for it


class Kind(Enum):
    HELD = "held"
    RATE = "rate"


class Terms(NamedTuple):
    """One budget. `whole` is what a division is made with; afterwards the division's own counts.

    `floor` is what each controller wants at least, `window` (rate) in seconds. `linger` (held) is how long
    something may outlast its controller's lease where nobody ends it, as a process that is stopped ends
    nothing: the longest that streamers play without a word. `keep`: a part is used until its lease ends;
    else it is not used once a renewal has failed.
    """

    name: str
    kind: Kind
    whole: int
    floor: int = 0
    window: float = 0.0
    linger: float = 0.0
    keep: bool = True

    @property
    def outlasts(self) -> float:
        """For how long after its lease what a controller has begun may count, by anybody's clock."""
        return (self.window if self.kind is Kind.RATE else self.linger) * (1 + DRIFT) + MARGIN


class Part(NamedTuple):
    """What one controller may use, what it could use, which claim of its number (`life`) wrote it, and in
    which count of the division.
    """

    amount: int
    want: int
    life: int
    count: int


class Division(NamedTuple):
    """The whole and its parts, by controller. While it is not `open` its uses are counted: each states what
    it uses, and nothing is begun. `count` numbers these times.
    """

    whole: int
    open: bool
    count: int
    parts: dict[str, Part]

    @property
    def free(self) -> int:
        """What nobody has; below 0 after the whole was lowered."""
        return self.whole - sum(part.amount for part in self.parts.values())

    def body(self) -> dict:
        parts = {member: list(part) for member, part in self.parts.items()}
        return {"whole": self.whole, "open": self.open, "count": self.count, "parts": parts}

    def changed(self, member: str, part: Part | None) -> "Division":
        parts = {m: p for m, p in self.parts.items() if m != member}
        return self._replace(parts=parts if part is None else parts | {member: part})


def read(body: object) -> Division:
    """A division as the document has it; raises ValueError."""
    try:
        parts = {str(m): Part(*map(int, p)) for m, p in body["parts"].items()}
        found = Division(int(body["whole"]), bool(body["open"]), int(body["count"]), parts)
    except (KeyError, TypeError, AttributeError) as fault:
        raise BadDocument(f"no division: {fault!r}") from fault
    if found.whole < 0 or any(p.amount < 0 or p.want < 0 for p in parts.values()):
        raise BadDocument("no division: below nothing")
    return found


def divided(data: bytes) -> Division:
    """The division in a document's bytes; raises ValueError."""
    return read(Document.read(data).body)


def with_whole(data: bytes | None, whole: int, unused: bool = False) -> bytes:
    """The document with another whole; or, where there is none, one that is made: open at once if it is
    `unused`, else to be counted first. Raises ValueError.
    """
    if data is None:
        return write(Division(whole, unused, 1, {}).body())
    document = Document.read(data)
    return write(read(document.body)._replace(whole=whole).body(), document.marks)


def goals(whole: int, wants: Mapping[str, int]) -> dict[str, int]:
    """What each should have: the smaller wants in full, the others alike, what is spare evenly on top.

    The sum is the whole exactly, or 0 without anybody: each division rounds down what the earlier ones get,
    and the largest wants, which come last, get what that leaves.
    """
    left, found = whole, {}
    order = sorted(wants, key=lambda m: (wants[m], m))
    for i, member in enumerate(order):
        found[member] = min(wants[member], left // (len(order) - i))
        left -= found[member]
    for i, member in enumerate(order):
        extra = left // (len(order) - i)
        found[member] += extra
        left -= extra
    return found


class Shares:
    """One controller's part of one budget.

    `me` is the controller's number. Before each effect ask `room(now)`; tell what was begun when it leaves,
    and what ended when it is over.
    """

    def __init__(self, terms: Terms, me: str, ttl: float, seed: int = 0):
        self.terms, self.me, self.ttl, self.seed = terms, me, ttl, seed
        self.ledger = Ledger(me, 0)
        self.until = float("-inf")  # of the lease
        self.right = float("-inf")  # until when a part of ours was last trusted
        self.claimed = -1  # the revision of the claim of our number: our life; -1 without one
        self.lives: set[int] = set()
        self.failing = self.leaving = self.recount = False
        self.used, self.pending, self.ghosts = 0, 0, (0, float("-inf"))
        self.recent: deque[float] = deque()  # when something was turned away
        self.begun_at: deque[float] = deque()
        self.division: Division | None = None
        self._read, self._unfit = None, ""  # the body that the division was read from; what was wrong with it
        self.promised: int | None = None  # what our commit that is out would leave us
        self.ceiling: int | None = None  # our goal, where the whole was lowered under its parts
        self.due, self.calm, self.lost, self.draws = 0.0, 0.0, 0, 0
        self.absent: dict[tuple[str, int], float] = {}
        self.closed_since: tuple[float, object] | None = None

    # The lease, as `Membership` has it.

    def leased(self, life: int, until: float, holds: bool, failing: bool = False) -> None:
        """How our number stands: ours by the claim that made its key at revision `life`, until `until` by our
        clock; `failing` if a renewal has failed. Without `holds` it is anybody's, and may be claimed anew.
        """
        self.failing = failing
        if not holds:
            self.claimed = -1
            return
        self.claimed = self.ledger.life = life
        self.lives.add(life)
        self.until = until
        if self._entered():
            self.right = until

    def recovered(self, now: float, used: int) -> None:
        """What an earlier process of this number held has been counted: so much of it is held on here."""
        self.used, self.ghosts = used, (0, now)

    @property
    def bad(self) -> str:
        """Why the document cannot be used, "" if it can."""
        return self.ledger.bad or self._unfit

    # What is used.

    def mine(self, now: float) -> int:
        """What may be used at most now: 0 without a lease, or while the part is not by this claim."""
        part = self._part()
        if now >= self.until or not self._entered() or not self.division.open or self.recount:
            return 0
        if self.failing and not self.terms.keep:
            return 0
        amount = part.amount if self.promised is None else min(part.amount, self.promised)
        return amount if self.ceiling is None else min(amount, self.ceiling)

    def use(self, now: float) -> int:
        """What is in use, or (rate) was begun within the window, by a clock that may run fast, and what is
        about to leave.

        What an earlier process of this number may have begun counts as well, until it is over or recovered.
        """
        more = self.pending + (self.ghosts[0] if now < self.ghosts[1] else 0)
        if self.terms.kind is Kind.HELD:
            return self.used + more
        while self.begun_at and self.begun_at[0] <= now - self.terms.window * (1 + DRIFT):
            self.begun_at.popleft()
        return len(self.begun_at) + more

    def room(self, now: float) -> int:
        """How many more may be begun now, to be asked just before each effect leaves."""
        return max(0, self.mine(now) - self.use(now))

    def reserved(self, now: float) -> None:
        """Something is about to leave that will count."""
        self.pending += 1
        self._hurry(now)

    def leaves(self, now: float) -> bool:
        """Whether what was reserved may leave now; asked just before it does, as much may have passed."""
        return self.use(now) <= self.mine(now)

    def began(self, now: float) -> None:
        """Something leaves that counts."""
        if self.terms.kind is Kind.HELD:
            self.used += 1
        else:
            self.begun_at.append(now)
        self._hurry(now)

    def ended(self, now: float) -> None:
        """Something held is over."""
        if self.terms.kind is Kind.HELD:
            self.used -= 1

    def refused(self, now: float) -> None:
        """Something was turned away for want of room."""
        self.recent.append(now)
        self._hurry(now)

    def overdue(self, now: float) -> int:
        """How much of what is held must be ended now, as its part may be handed on."""
        if self.terms.kind is Kind.RATE or not self.used:
            return 0
        if now < self.until and self._entered():
            return max(0, self.used - self._part().amount) if self.division.open else 0
        # A new claim alone renews nothing: the part may have been handed on, or may be while it is entered.
        return self.used if now >= self.right + self.terms.linger else 0

    def want(self, now: float) -> int:
        """What is used, and what was turned away lately. What may come is what the spare is for."""
        while self.recent and self.recent[0] <= now - REACT:
            self.recent.popleft()
        return max(self.terms.floor, self.use(now) + len(self.recent))

    # The document.

    def shown(self, now: float, revision: int, version: int, data: bytes | None) -> Outcome | None:
        """The document at a revision of the store, read or watched."""
        return self._took(now, self.ledger.shown(revision, version, data))

    def answered(
        self, now: float, commit: Commit, revision: int, won: bool, version: int, data: bytes | None
    ) -> Outcome | None:
        """What the store said to a commit of ours."""
        return self._took(now, self.ledger.answered(commit, revision, won, version, data))

    def unanswered(self, now: float, commit: Commit) -> None:
        """No answer came to that commit: it is sent again, and what it promised is kept meanwhile."""
        if commit == self.ledger.out:
            self.ledger.unanswered()
        # A store that refuses at once, as while it elects, must not be asked a thousand times a second.
        self.lost += 1
        self.due = now + self._apart()

    def set_back(self) -> None:
        """The store is another one, or an older copy: uses are counted anew before anybody gets more."""
        self.claimed = -1
        self.ledger.forget()
        self.division, self.promised, self.ceiling, self.recount = None, None, None, True
        self.absent.clear()

    def step(self, now: float, live: Mapping[str, int] | None) -> Commit | None:
        """What is to be committed now, if anything; call again when `due` has come or something was heard.

        `live` is each live controller's claim, None while that is in doubt.
        """
        if now < self.due:
            return None
        if (again := self.ledger.again()) is not None:
            self.due = now + self._apart()
            return again
        if now >= self.until or self.claimed < 0 or self.ledger.revision < self.claimed or self.bad:
            return None
        before = self.division or Division(self.terms.whole, False, 1, {})
        after = self._decide(now, before, live)
        if after is None or after == before:
            self.due = now + CALM
            return None
        if (commit := self.ledger.propose(after.body())) is not None:
            part = after.parts.get(self.me)
            self.promised = part.amount if part else 0
            self.due = now + self._calm()
        return commit

    # Inside.

    def _hurry(self, now: float) -> None:
        # The next may find nothing left: the others are asked now, not when it has been turned away.
        if not self.room(now):
            self.due = min(self.due, max(now, self.calm))

    def _part(self) -> Part | None:
        return self.division.parts.get(self.me) if self.division else None

    def _entered(self) -> bool:
        part = self._part()
        return part is not None and self.claimed >= 0 and part.life == self.claimed

    def _took(self, now: float, outcome: Outcome | None) -> Outcome | None:
        if self.ledger.body is not self._read:
            # Told at every word from the store, of which few are about this document.
            self._read, self.division, self._unfit = self.ledger.body, None, ""
            if self._read is not None:
                try:
                    self.division = read(self._read)
                except ValueError as fault:
                    self._unfit = str(fault)
            # Until the parts have fallen, what ends here must not be begun again above the lowered whole.
            d, self.ceiling = self.division, None
            if d and d.free < 0 and self.me in d.parts:
                self.ceiling = goals(d.whole, {m: p.want for m, p in d.parts.items()})[self.me]
        if self._entered():
            self.right = max(self.right, self.until)
        if outcome is None:
            if self.division and any(p.want > p.amount for p in self.division.parts.values()):
                # Somebody is short, and all hear it at once: they give back one after the other, each as far
                # apart as a write takes. Over one time for all, hundreds would race and lose.
                wide = SPREAD * len(self.division.parts)
                self.due = min(self.due, max(self.calm, now + wide * self._chance()))
        else:
            self.promised = None
            self.lost = self.lost + 1 if outcome is Outcome.LOST else 0
            # All that lost the race were told at the same moment: they come back apart.
            self.due = now + (self._apart() if self.lost else self._calm())
            self.calm = self.due
        return outcome

    def _decide(self, now: float, d: Division, live: Mapping[str, int] | None) -> Division | None:
        part, use = d.parts.get(self.me), self.use(now)
        if self.recount and d.open:
            # An older copy of the store may show others less than they use: nothing is free in it.
            return d._replace(open=False, count=d.count + 1)
        self.recount = False
        if d.open:
            self.closed_since = None
        if self.leaving:
            if part is None or part.life not in self.lives:
                return None  # an earlier process's stays until what that one began is over
            return d.changed(self.me, part._replace(amount=use, want=use) if use else None)
        if part is None or part.life != self.claimed:
            return self._enter(d, part, use, now)
        if buried := self._over(now, d, live):
            for member in buried:
                d = d.changed(member, None)
            return d
        if not d.open:
            return self._recounted(now, d, live, part, use)
        return self._balance(now, d, part, use)

    def _enter(self, d: Division, part: Part | None, use: int, now: float) -> Division:
        # A part of an earlier claim is as large as what that one used: it is taken over as it is.
        want = self.want(now)
        if part is None:
            amount = min(want, max(0, d.free)) if d.open else use
            return d.changed(self.me, Part(amount, want, self.claimed, d.count))
        if part.life not in self.lives:
            # What that process had begun, nobody here knows: all of its part, until it is over.
            self.ghosts = part.amount, now + self.terms.outlasts
        return d.changed(self.me, Part(part.amount, want, self.claimed, part.count))

    def _over(self, now: float, d: Division, live: Mapping[str, int] | None) -> list[str]:
        """Parts whose holders' leases have been gone for so long that what they began is over."""
        if live is None:
            self.absent.clear()
            return []
        gone = {(m, p.life) for m, p in d.parts.items() if m != self.me and live.get(m) != p.life}
        self.absent = {key: self.absent.get(key, now) for key in gone}
        return sorted(m for (m, _), at in self.absent.items() if now - at >= self.terms.outlasts)

    def _recounted(self, now: float, d: Division, live, part: Part, use: int) -> Division | None:
        """A division that is counted: each states what it uses; it opens when nothing can be missing."""
        if part.count != d.count or part.amount != use:
            return d.changed(self.me, part._replace(amount=use, count=d.count))
        stated = {m: p.life for m, p in d.parts.items() if p.count == d.count}
        if live is None or dict(live) != stated or len(stated) != len(d.parts):
            self.closed_since = None
            return None
        if self.closed_since is None or self.closed_since[1] != (d.count, stated):
            self.closed_since = now, (d.count, stated)
        # One that was cut off may go on until its lease ends, and what it holds until that has lingered: so
        # may what a process held whose number another has claimed since.
        wait = self.ttl + self.terms.outlasts
        return d._replace(open=True) if now - self.closed_since[0] >= wait else None

    def _balance(self, now: float, d: Division, part: Part, use: int) -> Division | None:
        want = self.want(now)
        wanted = d.changed(self.me, part._replace(want=want))
        goal = goals(max(0, d.whole), {m: p.want for m, p in wanted.parts.items()})[self.me]
        free = max(0, d.free)
        amount = max(goal, use) if goal < part.amount else part.amount + min(goal - part.amount, free)
        # Others' lack, as they have told it: one whose part is all wanted will need the next as well.
        lack = sum(max(0, p.want + 1 - p.amount) for m, p in d.parts.items() if m != self.me)
        near = want >= part.amount and (amount > part.amount or want > part.want)
        owed = amount < part.amount and (d.free < 0 or lack > free)
        stale = abs(want - part.want) > max(2, int(STEP * goal))
        if not (near or owed or stale):
            return None
        return d.changed(self.me, part._replace(amount=amount if near or owed else part.amount, want=want))

    def _calm(self) -> float:
        # However many they are, the store takes as many writes.
        return max(CALM, len(self.division.parts) / WRITES if self.division else 0.0)

    def _apart(self) -> float:
        return AGAIN * self._chance() * 2 ** min(self.lost, 6)

    def _chance(self) -> float:
        self.draws += 1
        return crc32(f"{self.terms.name}:{self.me}:{self.seed}:{self.draws}".encode()) / 2**32
