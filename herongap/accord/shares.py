"""How one whole is read_allocation among the controllers: what each may use, gives back, asks for and takes.

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

from herongap.accord.document import (
    Commit,
    CommitOutcome,
    InvalidDocument,
    SharedDocument,
    StoredDocument,
    encode_document,
)

REACT = 2.0  # seconds for which what was turned away is wanted
MARGIN = 0.5  # seconds and
DRIFT = 0.1  # part of a time by which clocks may stray from each other while it passes
CALM = 0.1  # seconds between two changes of one part
WRITES = 80.0  # changes of one whole a second, by all controllers together
SPREAD = 0.006  # seconds for each controller over which they answer to one that is short
AGAIN = 0.02  # seconds after a lost race or a silence, and more by chance the oftener there was one
STEP = 0.25  # part of its goal by which a want must move to be told though nobody waits for it


class BudgetKind(Enum):
    HELD = "held"
    RATE = "rate"


class BudgetTerms(NamedTuple):
    """One budget. `limit` is what a division is made with; afterwards the division's own counts.

    `floor` is what each controller wants at least, `window` (rate) in seconds. `linger` (held) is how long
    something may outlast its controller's lease where nobody ends it, as a process that is stopped ends
    nothing: the longest that streamers play without a word. `keep_without_store`: a part is used until its
    lease ends; else it is not used once a renewal has failed.
    """

    name: str
    kind: BudgetKind
    limit: int
    floor: int = 0
    window: float = 0.0
    linger: float = 0.0
    keep_without_store: bool = True

    @property
    def grace_period(self) -> float:
        """For how long after its lease what a controller has begun may count, by anybody's clock."""
        return (self.window if self.kind is BudgetKind.RATE else self.linger) * (1 + DRIFT) + MARGIN


class Allotment(NamedTuple):
    """What one controller may use, what it could use, which claim of its number (`life`) wrote it, and in
    which count of the division.
    """

    amount: int
    want: int
    life: int
    count: int


class Allocation(NamedTuple):
    """The whole and its parts, by controller. While it is not `open` its uses are counted: each states what
    it uses, and nothing is begun. `count` numbers these times.
    """

    limit: int
    open: bool
    count: int
    allotments: dict[str, Allotment]

    @property
    def free(self) -> int:
        """What nobody has; below 0 after the whole was lowered."""
        return self.limit - sum(part.amount for part in self.allotments.values())

    def to_body(self) -> dict:
        parts = {member: list(part) for member, part in self.allotments.items()}
        return {"whole": self.limit, "open": self.open, "count": self.count, "parts": parts}

    def with_allotment(self, member: str, part: Allotment | None) -> "Allocation":
        parts = {m: p for m, p in self.allotments.items() if m != member}
        return self._replace(allotments=parts if part is None else parts | {member: part})


def parse_allocation(body: object) -> Allocation:
    """A division as the document has it; raises ValueError."""
    try:
        parts = {str(m): Allotment(*map(int, p)) for m, p in body["parts"].items()}
        found = Allocation(int(body["whole"]), bool(body["open"]), int(body["count"]), parts)
    except (KeyError, TypeError, AttributeError) as fault:
        raise InvalidDocument(f"no division: {fault!r}") from fault
    if found.limit < 0 or any(p.amount < 0 or p.want < 0 for p in parts.values()):
        raise InvalidDocument("no division: below nothing")
    return found


def read_allocation(data: bytes) -> Allocation:
    """The division in a document's bytes; raises ValueError."""
    return parse_allocation(StoredDocument.decode(data).body)


def with_limit(data: bytes | None, limit: int, unused: bool = False) -> bytes:
    """The document with another whole; or, where there is none, one that is made: open at once if it is
    `unused`, else to be counted first. Raises ValueError.
    """
    if data is None:
        return encode_document(Allocation(limit, unused, 1, {}).to_body())
    document = StoredDocument.decode(data)
    return encode_document(parse_allocation(document.body)._replace(limit=limit).to_body(), document.marks)


def fair_shares(limit: int, wants: Mapping[str, int]) -> dict[str, int]:
    """What each should have: the smaller wants in full, the others alike, what is spare evenly on top.

    The sum is the whole exactly, or 0 without anybody: each division rounds down what the earlier ones get,
    and the largest wants, which come last, get what that leaves.
    """
    left, found = limit, {}
    order = sorted(wants, key=lambda m: (wants[m], m))
    for i, member in enumerate(order):
        found[member] = min(wants[member], left // (len(order) - i))
        left -= found[member]
    for i, member in enumerate(order):
        extra = left // (len(order) - i)
        found[member] += extra
        left -= extra
    return found


class BudgetShare:
    """One controller's part of one budget.

    `controller` is the controller's number. Before each effect ask `room(now)`; tell what was begun
    when it leaves, and what ended when it is over.
    """

    def __init__(self, terms: BudgetTerms, controller: str, ttl: float, seed: int = 0):
        self.terms, self.controller, self.ttl, self.seed = terms, controller, ttl, seed
        self.document = SharedDocument(controller, 0)
        self.lease_until = float("-inf")  # of the lease
        self.trusted_until = float("-inf")  # until when a part of ours was last trusted
        self.incarnation = -1  # the revision of the claim of our number: our life; -1 without one
        self.incarnations: set[int] = set()
        self.renewal_failing = self.leaving = self.recount_needed = False
        self.held_count, self.reserved_count, self.inherited = 0, 0, (0, float("-inf"))
        self.rejections: deque[float] = deque()  # when something was turned away
        self.start_times: deque[float] = deque()
        self.allocation: Allocation | None = None
        self._read, self._unfit = None, ""  # the body that the division was read from; what was wrong with it
        self.promised_amount: int | None = None  # what our commit that is out would leave us
        self.ceiling: int | None = None  # our goal, where the whole was lowered under its parts
        self.due, self.write_allowed_at, self.failed_writes, self.draws = 0.0, 0.0, 0, 0
        self.absent_since: dict[tuple[str, int], float] = {}
        self.recount_since: tuple[float, object] | None = None

    # The lease, as `Membership` has it.

    def update_lease(self, life: int, until: float, holds: bool, failing: bool = False) -> None:
        """How our number stands: ours by the claim that made its key at revision `life`, until `until` by our
        clock; `failing` if a renewal has failed. Without `holds` it is anybody's, and may be claimed anew.
        """
        self.renewal_failing = failing
        if not holds:
            self.incarnation = -1
            return
        self.incarnation = self.document.incarnation = life
        self.incarnations.add(life)
        self.lease_until = until
        if self._is_registered():
            self.trusted_until = until

    def restore_usage(self, now: float, used: int) -> None:
        """What an earlier process of this number held has been counted: so much of it is held on here."""
        self.held_count, self.inherited = used, (0, now)

    @property
    def error(self) -> str:
        """Why the document cannot be used, "" if it can."""
        return self.document.error or self._unfit

    # What is used.

    def allowance(self, now: float) -> int:
        """What may be used at most now: 0 without a lease, or while the part is not by this claim."""
        part = self._allotment()
        if (
            now >= self.lease_until
            or not self._is_registered()
            or not self.allocation.open
            or self.recount_needed
        ):
            return 0
        if self.renewal_failing and not self.terms.keep_without_store:
            return 0
        amount = part.amount if self.promised_amount is None else min(part.amount, self.promised_amount)
        return amount if self.ceiling is None else min(amount, self.ceiling)

    def usage(self, now: float) -> int:
        """What is in use, or (rate) was begun within the window, by a clock that may run fast, and what is
        about to leave.

        What an earlier process of this number may have begun counts as well, until it is over or recovered.
        """
        more = self.reserved_count + (self.inherited[0] if now < self.inherited[1] else 0)
        if self.terms.kind is BudgetKind.HELD:
            return self.held_count + more
        while self.start_times and self.start_times[0] <= now - self.terms.window * (1 + DRIFT):
            self.start_times.popleft()
        return len(self.start_times) + more

    def room(self, now: float) -> int:
        """How many more may be begun now, to be asked just before each effect leaves."""
        return max(0, self.allowance(now) - self.usage(now))

    def reserve(self, now: float) -> None:
        """Something is about to leave that will count."""
        self.reserved_count += 1
        self._expedite(now)

    def may_start(self, now: float) -> bool:
        """Whether what was reserved may leave now; asked just before it does, as much may have passed."""
        return self.usage(now) <= self.allowance(now)

    def record_start(self, now: float) -> None:
        """Something leaves that counts."""
        if self.terms.kind is BudgetKind.HELD:
            self.held_count += 1
        else:
            self.start_times.append(now)
        self._expedite(now)

    def record_end(self, now: float) -> None:
        """Something held is over."""
        if self.terms.kind is BudgetKind.HELD:
            self.held_count -= 1

    def record_rejection(self, now: float) -> None:
        """Something was turned away for want of room."""
        self.rejections.append(now)
        self._expedite(now)

    def overdue(self, now: float) -> int:
        """How much of what is held must be ended now, as its part may be handed on."""
        if self.terms.kind is BudgetKind.RATE or not self.held_count:
            return 0
        if now < self.lease_until and self._is_registered():
            return max(0, self.held_count - self._allotment().amount) if self.allocation.open else 0
        # A new claim alone renews nothing: the part may have been handed on, or may be while it is entered.
        return self.held_count if now >= self.trusted_until + self.terms.linger else 0

    def want(self, now: float) -> int:
        """What is used, and what was turned away lately. What may come is what the spare is for."""
        while self.rejections and self.rejections[0] <= now - REACT:
            self.rejections.popleft()
        return max(self.terms.floor, self.usage(now) + len(self.rejections))

    # The document.

    def observe(self, now: float, revision: int, version: int, data: bytes | None) -> CommitOutcome | None:
        """The document at a revision of the store, read or watched."""
        return self._apply(now, self.document.observe(revision, version, data))

    def handle_reply(
        self, now: float, commit: Commit, revision: int, won: bool, version: int, data: bytes | None
    ) -> CommitOutcome | None:
        """What the store said to a commit of ours."""
        return self._apply(now, self.document.handle_reply(commit, revision, won, version, data))

    def handle_unknown_outcome(self, now: float, commit: Commit) -> None:
        """No answer came to that commit: it is sent again, and what it promised is kept meanwhile."""
        if commit == self.document.pending:
            self.document.handle_unknown_outcome()
        # A store that refuses at once, as while it elects, must not be asked a thousand times a second.
        self.failed_writes += 1
        self.due = now + self._retry_delay()

    def handle_store_restored(self) -> None:
        """The store is another one, or an older copy: uses are counted anew before anybody gets more."""
        self.incarnation = -1
        self.document.reset()
        self.allocation, self.promised_amount, self.ceiling, self.recount_needed = None, None, None, True
        self.absent_since.clear()

    def next_commit(self, now: float, live: Mapping[str, int] | None) -> Commit | None:
        """What is to be committed now, if anything; call again when `due` has come or something was heard.

        `live` is each live controller's claim, None while that is in doubt.
        """
        if now < self.due:
            return None
        if (again := self.document.commit_to_resend()) is not None:
            self.due = now + self._retry_delay()
            return again
        if (
            now >= self.lease_until
            or self.incarnation < 0
            or self.document.revision < self.incarnation
            or self.error
        ):
            return None
        before = self.allocation or Allocation(self.terms.limit, False, 1, {})
        after = self._decide(now, before, live)
        if after is None or after == before:
            self.due = now + CALM
            return None
        if (commit := self.document.propose(after.to_body())) is not None:
            part = after.allotments.get(self.controller)
            self.promised_amount = part.amount if part else 0
            self.due = now + self._write_interval()
        return commit

    # Inside.

    def _expedite(self, now: float) -> None:
        # The next may find nothing left: the others are asked now, not when it has been turned away.
        if not self.room(now):
            self.due = min(self.due, max(now, self.write_allowed_at))

    def _allotment(self) -> Allotment | None:
        return self.allocation.allotments.get(self.controller) if self.allocation else None

    def _is_registered(self) -> bool:
        part = self._allotment()
        return part is not None and self.incarnation >= 0 and part.life == self.incarnation

    def _apply(self, now: float, outcome: CommitOutcome | None) -> CommitOutcome | None:
        if self.document.body is not self._read:
            # Told at every word from the store, of which few are about this document.
            self._read, self.allocation, self._unfit = self.document.body, None, ""
            if self._read is not None:
                try:
                    self.allocation = parse_allocation(self._read)
                except ValueError as fault:
                    self._unfit = str(fault)
            # Until the parts have fallen, what ends here must not be begun again above the lowered whole.
            d, self.ceiling = self.allocation, None
            if d and d.free < 0 and self.controller in d.allotments:
                self.ceiling = fair_shares(d.limit, {m: p.want for m, p in d.allotments.items()})[
                    self.controller
                ]
        if self._is_registered():
            self.trusted_until = max(self.trusted_until, self.lease_until)
        if outcome is None:
            if self.allocation and any(p.want > p.amount for p in self.allocation.allotments.values()):
                # Somebody is short, and all hear it at once: they give back one after the other, each as far
                # apart as a write takes. Over one time for all, hundreds would race and lose.
                wide = SPREAD * len(self.allocation.allotments)
                self.due = min(self.due, max(self.write_allowed_at, now + wide * self._random()))
        else:
            self.promised_amount = None
            self.failed_writes = self.failed_writes + 1 if outcome is CommitOutcome.CONFLICT else 0
            # All that lost the race were told at the same moment: they come back apart.
            self.due = now + (self._retry_delay() if self.failed_writes else self._write_interval())
            self.write_allowed_at = self.due
        return outcome

    def _decide(self, now: float, d: Allocation, live: Mapping[str, int] | None) -> Allocation | None:
        part, use = d.allotments.get(self.controller), self.usage(now)
        if self.recount_needed and d.open:
            # An older copy of the store may show others less than they use: nothing is free in it.
            return d._replace(open=False, count=d.count + 1)
        self.recount_needed = False
        if d.open:
            self.recount_since = None
        if self.leaving:
            if part is None or part.life not in self.incarnations:
                return None  # an earlier process's stays until what that one began is over
            return d.with_allotment(self.controller, part._replace(amount=use, want=use) if use else None)
        if part is None or part.life != self.incarnation:
            return self._register(d, part, use, now)
        if buried := self._expired_controllers(now, d, live):
            for member in buried:
                d = d.with_allotment(member, None)
            return d
        if not d.open:
            return self._recount_step(now, d, live, part, use)
        return self._rebalance(now, d, part, use)

    def _register(self, d: Allocation, part: Allotment | None, use: int, now: float) -> Allocation:
        # A part of an earlier claim is as large as what that one used: it is taken over as it is.
        want = self.want(now)
        if part is None:
            amount = min(want, max(0, d.free)) if d.open else use
            return d.with_allotment(self.controller, Allotment(amount, want, self.incarnation, d.count))
        if part.life not in self.incarnations:
            # What that process had begun, nobody here knows: all of its part, until it is over.
            self.inherited = part.amount, now + self.terms.grace_period
        return d.with_allotment(self.controller, Allotment(part.amount, want, self.incarnation, part.count))

    def _expired_controllers(self, now: float, d: Allocation, live: Mapping[str, int] | None) -> list[str]:
        """Parts whose holders' leases have been gone for so long that what they began is over."""
        if live is None:
            self.absent_since.clear()
            return []
        gone = {
            (m, p.life) for m, p in d.allotments.items() if m != self.controller and live.get(m) != p.life
        }
        self.absent_since = {key: self.absent_since.get(key, now) for key in gone}
        return sorted(m for (m, _), at in self.absent_since.items() if now - at >= self.terms.grace_period)

    def _recount_step(self, now: float, d: Allocation, live, part: Allotment, use: int) -> Allocation | None:
        """A division that is counted: each states what it uses; it opens when nothing can be missing."""
        if part.count != d.count or part.amount != use:
            return d.with_allotment(self.controller, part._replace(amount=use, count=d.count))
        stated = {m: p.life for m, p in d.allotments.items() if p.count == d.count}
        if live is None or dict(live) != stated or len(stated) != len(d.allotments):
            self.recount_since = None
            return None
        if self.recount_since is None or self.recount_since[1] != (d.count, stated):
            self.recount_since = now, (d.count, stated)
        # One that was cut off may go on until its lease ends, and what it holds until that has lingered: so
        # may what a process held whose number another has claimed since.
        wait = self.ttl + self.terms.grace_period
        return d._replace(open=True) if now - self.recount_since[0] >= wait else None

    def _rebalance(self, now: float, d: Allocation, part: Allotment, use: int) -> Allocation | None:
        want = self.want(now)
        wanted = d.with_allotment(self.controller, part._replace(want=want))
        goal = fair_shares(max(0, d.limit), {m: p.want for m, p in wanted.allotments.items()})[
            self.controller
        ]
        free = max(0, d.free)
        amount = max(goal, use) if goal < part.amount else part.amount + min(goal - part.amount, free)
        # Others' lack, as they have told it: one whose part is all wanted will need the next as well.
        lack = sum(max(0, p.want + 1 - p.amount) for m, p in d.allotments.items() if m != self.controller)
        near = want >= part.amount and (amount > part.amount or want > part.want)
        owed = amount < part.amount and (d.free < 0 or lack > free)
        stale = abs(want - part.want) > max(2, int(STEP * goal))
        if not (near or owed or stale):
            return None
        return d.with_allotment(
            self.controller, part._replace(amount=amount if near or owed else part.amount, want=want)
        )

    def _write_interval(self) -> float:
        # However many they are, the store takes as many writes.
        return max(CALM, len(self.allocation.allotments) / WRITES if self.allocation else 0.0)

    def _retry_delay(self) -> float:
        return AGAIN * self._random() * 2 ** min(self.failed_writes, 6)

    def _random(self) -> float:
        self.draws += 1
        return crc32(f"{self.terms.name}:{self.controller}:{self.seed}:{self.draws}".encode()) / 2**32
