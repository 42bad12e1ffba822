"""How one budget is divided among the controllers: escrow with leases, max-min fair shares.

The allocation is a document of the store (`document.py`): the limit and each controller's allotment. No write
may raise the sum of the allotments above the limit. So controllers need to trust only the store, and none
ever takes an allotment from another:

- A controller writes the amount it wants into its own allotment. From the same wants all controllers compute
  the same goals, the amounts that each should have, by max-min fairness (D. Bertsekas and R. Gallager, "Data
  Networks", 6.5.2), with the surplus divided evenly on top.
- A controller above its goal returns what it does not use, and stops using it before the write is sent. A
  controller below its goal takes from the free amount. A viewing that the controller's own allotment covers
  needs no request to anyone (escrow: P. O'Neil, 1986).
- An allotment is valid for its holder only while the holder's lease lasts by its own, earlier clock (C. Gray
  and D. Cheriton, 1989), and only if the current claim of the controller's number wrote it. For everyone else
  it counts until the holder's lease is seen to be gone and `linger` has passed since, when everything that
  the holder had begun has ended.

A `held` budget limits what is in use at one time. A controller that holds something without a lease must have
ended it `linger` after the lease (`overdue`). A `rate` budget limits what is begun in any window; there the
window takes the place of `linger`. All times are by the controller's own monotonic clock.
"""

from collections import deque
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple
from zlib import crc32

from herongap.accord.document import (
    Commit,
    CommitOutcome,
    InvalidDocumentError,
    SharedDocument,
    StoredDocument,
    encode_document,
)

REJECTION_MEMORY_SECONDS = 2.0  # a rejected request counts as wanted for this long
CLOCK_MARGIN_SECONDS = 0.5  # constant part of the difference between two clocks over an interval
MAX_CLOCK_DRIFT = 0.1  # proportional part of that difference, as a fraction of the interval
MIN_WRITE_INTERVAL_SECONDS = 0.1  # between two changes of one allotment
MAX_WRITES_PER_SECOND = 80.0  # to one document, by all controllers together
RESPONSE_SPREAD_SECONDS = 0.006  # per controller, over which they respond to one that runs short
RETRY_DELAY_SECONDS = 0.02  # after a conflict or a missing reply; randomized, doubled on each further failure
MAX_BACKOFF_DOUBLINGS = 6
WANT_CHANGE_FRACTION = 0.25  # of the goal: a want that moves by more is written even without a shortage
MIN_WANT_CHANGE = 2  # a want that moves by this or less is not written on its own


class BudgetKind(Enum):
    """What a budget limits: the number in use at one time, or the number begun within a window."""

    HELD = "held"
    RATE = "rate"


class BudgetTerms(NamedTuple):
    """The configuration of one budget.

    `limit` initializes a new allocation; afterwards the limit stored in the allocation applies. `floor` is
    the least that each controller wants. `window` (rate) is in seconds. `linger` (held) is how many seconds
    something may outlast its controller's lease if the controller does not end it, as when its process is
    suspended: the longest that streamers play without hearing from the controller. With `keep_without_store`
    an allotment is used until its lease ends, otherwise only until a lease renewal fails.
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
        """Seconds after its lease for which a controller's usage may still count, by any process's clock."""
        return (self.window if self.kind is BudgetKind.RATE else self.linger) * (
            1 + MAX_CLOCK_DRIFT
        ) + CLOCK_MARGIN_SECONDS


class Allotment(NamedTuple):
    """The share of one controller: the amount that it may use and the amount that it could use.

    `life` is the incarnation that wrote it, a claim of the controller's number. `count` is the recount of the
    allocation in which it was stated.
    """

    amount: int
    want: int
    life: int
    count: int


class Allocation(NamedTuple):
    """The limit and the allotments, by controller.

    While it is not `open` the usage is recounted: each controller states what it uses, and nothing is begun.
    `count` is the number of the recount.
    """

    limit: int
    open: bool
    count: int
    allotments: dict[str, Allotment]

    @property
    def free(self) -> int:
        """The amount that no controller has; negative after the limit was lowered."""
        return self.limit - sum(allotment.amount for allotment in self.allotments.values())

    def to_body(self) -> dict:
        """The body of the stored document; its keys are fixed by the format."""
        parts = {controller: list(allotment) for controller, allotment in self.allotments.items()}
        return {"whole": self.limit, "open": self.open, "count": self.count, "parts": parts}

    def with_allotment(self, controller: str, allotment: Allotment | None) -> "Allocation":
        """A copy with one allotment replaced, or removed if None."""
        others = {c: a for c, a in self.allotments.items() if c != controller}
        return self._replace(allotments=others if allotment is None else others | {controller: allotment})


def parse_allocation(body: object) -> Allocation:
    """The allocation in the body of a document; raises InvalidDocumentError, a ValueError."""
    try:
        allotments = {str(c): Allotment(*map(int, a)) for c, a in body["parts"].items()}
        allocation = Allocation(int(body["whole"]), bool(body["open"]), int(body["count"]), allotments)
    except (KeyError, TypeError, AttributeError) as error:
        raise InvalidDocumentError(f"not an allocation: {error!r}") from error
    if allocation.limit < 0 or any(a.amount < 0 or a.want < 0 for a in allotments.values()):
        raise InvalidDocumentError("not an allocation: negative amount")
    return allocation


def read_allocation(data: bytes) -> Allocation:
    """The allocation in a document's bytes; raises InvalidDocumentError, a ValueError."""
    return parse_allocation(StoredDocument.decode(data).body)


def with_limit(data: bytes | None, limit: int, unused: bool = False) -> bytes:
    """The document with another limit, or a new document if there is none.

    A new allocation is open at once if it is `unused`, otherwise the usage is counted first. Raises
    InvalidDocumentError, a ValueError.
    """
    if data is None:
        return encode_document(Allocation(limit, unused, 1, {}).to_body())
    document = StoredDocument.decode(data)
    return encode_document(parse_allocation(document.body)._replace(limit=limit).to_body(), document.marks)


def fair_shares(limit: int, wants: Mapping[str, int]) -> dict[str, int]:
    """Max-min fair goals: the smaller wants in full, the others equally, the surplus evenly on top.

    The sum is exactly the limit, or 0 if there are no wants. Each division rounds down the share of the
    earlier controllers; the largest wants come last and receive the remainder.
    """
    remaining, goals = limit, {}
    order = sorted(wants, key=lambda controller: (wants[controller], controller))
    for i, controller in enumerate(order):
        goals[controller] = min(wants[controller], remaining // (len(order) - i))
        remaining -= goals[controller]
    for i, controller in enumerate(order):
        extra = remaining // (len(order) - i)
        goals[controller] += extra
        remaining -= extra
    return goals


class BudgetShare:
    """One controller's share of one budget.

    `controller` is the controller's number. Check `room(now)` before each counted effect, call
    `record_start(now)` when it is sent and `record_end(now)` when it has ended.
    """

    def __init__(self, terms: BudgetTerms, controller: str, ttl: float, seed: int = 0):
        self.terms, self.controller, self.ttl, self.seed = terms, controller, ttl, seed
        self.document = SharedDocument(controller, 0)
        self.lease_until = float("-inf")
        self.trusted_until = float("-inf")  # end of the last lease under which our allotment was valid
        self.incarnation = -1  # revision of the current claim of our number; -1 without one
        self.incarnations: set[int] = set()  # all claims of this process
        self.renewal_failing = self.leaving = self.recount_needed = False
        # `inherited` is the usage of an earlier process and the time until which it counts.
        self.held_count, self.reserved_count, self.inherited = 0, 0, (0, float("-inf"))
        self.rejections: deque[float] = deque()  # times of rejected requests
        self.start_times: deque[float] = deque()  # kind `rate` only
        self.allocation: Allocation | None = None
        self._parsed_body, self._parse_error = None, ""  # the body that `allocation` was parsed from
        self.promised_amount: int | None = None  # our allotment as in the pending commit
        self.ceiling: int | None = None  # our goal, if the limit was lowered below the sum of the allotments
        # `due` is when to call `next_commit` next; `draws` counts the random numbers used so far.
        self.due, self.write_allowed_at, self.failed_writes, self.draws = 0.0, 0.0, 0, 0
        # Since when the claim of each (controller, incarnation) has been gone.
        self.absent_since: dict[tuple[str, int], float] = {}
        # Since when all live controllers have been counted, and the counted set, which must stay the same.
        self.recount_since: tuple[float, object] | None = None

    # The lease, as reported by `Membership`.

    def update_lease(self, incarnation: int, until: float, holds: bool, failing: bool = False) -> None:
        """Update the state of our claim on the controller number.

        The claim that created its key at revision `incarnation` is ours until `until` by our clock; `failing`
        means that a renewal has failed. Without `holds` the number is not ours: any process may claim it.
        """
        self.renewal_failing = failing
        if not holds:
            self.incarnation = -1
            return
        self.incarnation = self.document.incarnation = incarnation
        self.incarnations.add(incarnation)
        self.lease_until = until
        if self._is_registered():
            self.trusted_until = until

    def restore_usage(self, now: float, held: int) -> None:
        """Set the usage that was recovered from an earlier process and continues to be held here."""
        self.held_count, self.inherited = held, (0, now)

    @property
    def error(self) -> str:
        """The reason why the document cannot be used; empty if it can."""
        return self.document.error or self._parse_error

    # Usage.

    def allowance(self, now: float) -> int:
        """The most that may be in use now; 0 without a lease or without an allotment of the current claim."""
        allotment = self._allotment()
        if (
            now >= self.lease_until
            or not self._is_registered()
            or not self.allocation.open
            or self.recount_needed
        ):
            return 0
        if self.renewal_failing and not self.terms.keep_without_store:
            return 0
        amount = (
            allotment.amount if self.promised_amount is None else min(allotment.amount, self.promised_amount)
        )
        return amount if self.ceiling is None else min(amount, self.ceiling)

    def usage(self, now: float) -> int:
        """What is in use, or (rate) was begun within the window of a fast clock, including reservations.

        What an earlier process of this controller may have begun counts too, until it has ended or was
        recovered.
        """
        additional = self.reserved_count + (self.inherited[0] if now < self.inherited[1] else 0)
        if self.terms.kind is BudgetKind.HELD:
            return self.held_count + additional
        while self.start_times and self.start_times[0] <= now - self.terms.window * (1 + MAX_CLOCK_DRIFT):
            self.start_times.popleft()
        return len(self.start_times) + additional

    def room(self, now: float) -> int:
        """How many more may be begun now; to be checked just before each counted effect is sent."""
        return max(0, self.allowance(now) - self.usage(now))

    def reserve(self, now: float) -> None:
        """Count an effect that is about to be sent."""
        self.reserved_count += 1
        self._expedite(now)

    def may_start(self, now: float) -> bool:
        """Whether a reserved effect may be sent now; checked again just before, as time may have passed."""
        return self.usage(now) <= self.allowance(now)

    def record_start(self, now: float) -> None:
        """Count an effect that is being sent."""
        if self.terms.kind is BudgetKind.HELD:
            self.held_count += 1
        else:
            self.start_times.append(now)
        self._expedite(now)

    def record_end(self, now: float) -> None:
        """Stop counting something held that has ended."""
        if self.terms.kind is BudgetKind.HELD:
            self.held_count -= 1

    def record_rejection(self, now: float) -> None:
        """Note a request that was rejected for lack of room."""
        self.rejections.append(now)
        self._expedite(now)

    def overdue(self, now: float) -> int:
        """How many held items must be ended now because their allotment may be given to others."""
        if self.terms.kind is BudgetKind.RATE or not self.held_count:
            return 0
        if now < self.lease_until and self._is_registered():
            return max(0, self.held_count - self._allotment().amount) if self.allocation.open else 0
        # A new claim alone does not make the allotment valid again: before it is registered under the new
        # claim, its amount may be given to others.
        return self.held_count if now >= self.trusted_until + self.terms.linger else 0

    def want(self, now: float) -> int:
        """Current usage plus recent rejections.

        Requests to come are not included: the evenly divided surplus is there for them.
        """
        while self.rejections and self.rejections[0] <= now - REJECTION_MEMORY_SECONDS:
            self.rejections.popleft()
        return max(self.terms.floor, self.usage(now) + len(self.rejections))

    # The document.

    def observe(self, now: float, revision: int, version: int, data: bytes | None) -> CommitOutcome | None:
        """Take in the document as of a store revision, from a read or a watch."""
        return self._apply(now, self.document.observe(revision, version, data))

    def handle_reply(
        self, now: float, commit: Commit, revision: int, won: bool, version: int, data: bytes | None
    ) -> CommitOutcome | None:
        """Take in the store's reply to a commit of ours."""
        return self._apply(now, self.document.handle_reply(commit, revision, won, version, data))

    def handle_unknown_outcome(self, now: float, commit: Commit) -> None:
        """Handle a missing reply: the commit is sent again.

        Until its outcome is known, the smaller of the old and the new amount applies.
        """
        if commit == self.document.pending:
            self.document.handle_unknown_outcome()
        # A store that rejects at once, as during an election, must not be called a thousand times a second.
        self.failed_writes += 1
        self.due = now + self._retry_delay()

    def handle_store_restored(self) -> None:
        """The store was replaced or restored from an older copy: recount all usage before granting more."""
        self.incarnation = -1
        self.document.reset()
        self.allocation, self.promised_amount, self.ceiling, self.recount_needed = None, None, None, True
        self.absent_since.clear()

    def next_commit(self, now: float, live: Mapping[str, int] | None) -> Commit | None:
        """The commit to send now, if any; call again at `due` and after each reply or notification.

        `live` holds the claim of each live controller, None while that is uncertain.
        """
        if now < self.due:
            return None
        if (resend := self.document.commit_to_resend()) is not None:
            self.due = now + self._retry_delay()
            return resend
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
            self.due = now + MIN_WRITE_INTERVAL_SECONDS
            return None
        if (commit := self.document.propose(after.to_body())) is not None:
            allotment = after.allotments.get(self.controller)
            self.promised_amount = allotment.amount if allotment else 0
            self.due = now + self._write_interval()
        return commit

    def _expedite(self, now: float) -> None:
        # Without room the next request would be rejected: request more now, not after a rejection.
        if not self.room(now):
            self.due = min(self.due, max(now, self.write_allowed_at))

    def _allotment(self) -> Allotment | None:
        return self.allocation.allotments.get(self.controller) if self.allocation else None

    def _is_registered(self) -> bool:
        allotment = self._allotment()
        return allotment is not None and self.incarnation >= 0 and allotment.life == self.incarnation

    def _apply(self, now: float, outcome: CommitOutcome | None) -> CommitOutcome | None:
        if self.document.body is not self._parsed_body:
            # This runs on every notification of the store; few of them change this document.
            self._parsed_body, self.allocation, self._parse_error = self.document.body, None, ""
            if self._parsed_body is not None:
                try:
                    self.allocation = parse_allocation(self._parsed_body)
                except ValueError as error:
                    self._parse_error = str(error)
            # While the allotments exceed a lowered limit, what ends here must not be begun again above it.
            allocation, self.ceiling = self.allocation, None
            if allocation and allocation.free < 0 and self.controller in allocation.allotments:
                self.ceiling = fair_shares(
                    allocation.limit, {c: a.want for c, a in allocation.allotments.items()}
                )[self.controller]
        if self._is_registered():
            self.trusted_until = max(self.trusted_until, self.lease_until)
        if outcome is None:
            if self.allocation and any(a.want > a.amount for a in self.allocation.allotments.values()):
                # One controller runs short and all are notified at once. They return amounts one after the
                # other, about the duration of a write apart. With one fixed delay range, however many they
                # are, the writes of hundreds of controllers would conflict.
                spread = RESPONSE_SPREAD_SECONDS * len(self.allocation.allotments)
                self.due = min(self.due, max(self.write_allowed_at, now + spread * self._random()))
        else:
            self.promised_amount = None
            self.failed_writes = self.failed_writes + 1 if outcome is CommitOutcome.CONFLICT else 0
            # Controllers whose commits conflicted learn it at the same moment: a random delay separates their
            # retries.
            self.due = now + (self._retry_delay() if self.failed_writes else self._write_interval())
            self.write_allowed_at = self.due
        return outcome

    def _decide(
        self, now: float, allocation: Allocation, live: Mapping[str, int] | None
    ) -> Allocation | None:
        allotment, usage = allocation.allotments.get(self.controller), self.usage(now)
        if self.recount_needed and allocation.open:
            # An older copy of the store may show less than the others use: its free amount cannot be trusted.
            return allocation._replace(open=False, count=allocation.count + 1)
        self.recount_needed = False
        if allocation.open:
            self.recount_since = None
        if self.leaving:
            if allotment is None or allotment.life not in self.incarnations:
                return None  # an earlier process's allotment stays until what that process began has ended
            return allocation.with_allotment(
                self.controller, allotment._replace(amount=usage, want=usage) if usage else None
            )
        if allotment is None or allotment.life != self.incarnation:
            return self._register(allocation, allotment, usage, now)
        if expired := self._expired_controllers(now, allocation, live):
            for controller in expired:
                allocation = allocation.with_allotment(controller, None)
            return allocation
        if not allocation.open:
            return self._recount_step(now, allocation, live, allotment, usage)
        return self._rebalance(now, allocation, allotment, usage)

    def _register(
        self, allocation: Allocation, allotment: Allotment | None, usage: int, now: float
    ) -> Allocation:
        # The allotment of an earlier claim covers what its process used: it is taken over unchanged.
        want = self.want(now)
        if allotment is None:
            amount = min(want, max(0, allocation.free)) if allocation.open else usage
            return allocation.with_allotment(
                self.controller, Allotment(amount, want, self.incarnation, allocation.count)
            )
        if allotment.life not in self.incarnations:
            # What that process had begun is unknown: count its whole allotment until the grace period ends.
            self.inherited = allotment.amount, now + self.terms.grace_period
        return allocation.with_allotment(
            self.controller, Allotment(allotment.amount, want, self.incarnation, allotment.count)
        )

    def _expired_controllers(
        self, now: float, allocation: Allocation, live: Mapping[str, int] | None
    ) -> list[str]:
        """Controllers whose lease has been gone so long that everything they began has ended."""
        if live is None:
            self.absent_since.clear()
            return []
        absent = {
            (c, a.life)
            for c, a in allocation.allotments.items()
            if c != self.controller and live.get(c) != a.life
        }
        self.absent_since = {key: self.absent_since.get(key, now) for key in absent}
        return sorted(
            c for (c, _), since in self.absent_since.items() if now - since >= self.terms.grace_period
        )

    def _recount_step(
        self, now: float, allocation: Allocation, live, allotment: Allotment, usage: int
    ) -> Allocation | None:
        """During a recount: state our usage, and open the allocation once no usage can be missing."""
        if allotment.count != allocation.count or allotment.amount != usage:
            return allocation.with_allotment(
                self.controller, allotment._replace(amount=usage, count=allocation.count)
            )
        counted = {c: a.life for c, a in allocation.allotments.items() if a.count == allocation.count}
        if live is None or dict(live) != counted or len(counted) != len(allocation.allotments):
            self.recount_since = None
            return None
        if self.recount_since is None or self.recount_since[1] != (allocation.count, counted):
            self.recount_since = now, (allocation.count, counted)
        # A partitioned controller may go on until its lease ends, and what it holds until `linger` after
        # that. The same holds for a process whose number another process has claimed since.
        wait = self.ttl + self.terms.grace_period
        return allocation._replace(open=True) if now - self.recount_since[0] >= wait else None

    def _rebalance(
        self, now: float, allocation: Allocation, allotment: Allotment, usage: int
    ) -> Allocation | None:
        want = self.want(now)
        wanted = allocation.with_allotment(self.controller, allotment._replace(want=want))
        goal = fair_shares(max(0, allocation.limit), {c: a.want for c, a in wanted.allotments.items()})[
            self.controller
        ]
        free = max(0, allocation.free)
        amount = (
            max(goal, usage)
            if goal < allotment.amount
            else allotment.amount + min(goal - allotment.amount, free)
        )
        # What the others lack by their stated wants; one that wants all that it has will need one more soon.
        shortage = sum(
            max(0, a.want + 1 - a.amount) for c, a in allocation.allotments.items() if c != self.controller
        )
        grows = want >= allotment.amount and (amount > allotment.amount or want > allotment.want)
        must_return = amount < allotment.amount and (allocation.free < 0 or shortage > free)
        want_is_stale = abs(want - allotment.want) > max(MIN_WANT_CHANGE, int(WANT_CHANGE_FRACTION * goal))
        if not (grows or must_return or want_is_stale):
            return None
        return allocation.with_allotment(
            self.controller,
            allotment._replace(amount=amount if grows or must_return else allotment.amount, want=want),
        )

    def _write_interval(self) -> float:
        # Keeps the total number of writes to the store constant, however many controllers there are.
        return max(
            MIN_WRITE_INTERVAL_SECONDS,
            len(self.allocation.allotments) / MAX_WRITES_PER_SECOND if self.allocation else 0.0,
        )

    def _retry_delay(self) -> float:
        return RETRY_DELAY_SECONDS * self._random() * 2 ** min(self.failed_writes, MAX_BACKOFF_DOUBLINGS)

    def _random(self) -> float:
        self.draws += 1
        return crc32(f"{self.terms.name}:{self.controller}:{self.seed}:{self.draws}".encode()) / 2**32
