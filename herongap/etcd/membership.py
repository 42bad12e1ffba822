"""Which controllers live, and what one may do whose own lease is in doubt. Decides without I/O.

A controller takes a lease, claims `controllers/NUMBER` under it, and keeps it alive. By its own clock it
trusts the lease until `ttl - MARGIN` after it sent the request that was answered last: the server counts from
later, so it never trusts longer than the server does, however long answers take or the process sleeps.

What the count is for: pace at cold streamers and room ahead are divided among the live controllers, each by
its rank among them. While its lease is in doubt, and a while after it has won it, a controller has no rank:
it goes on playing and placing, but sends nothing to a cold streamer, for others may have taken its turns over
or may not know of it yet.
"""

from collections.abc import Collection
from enum import Enum
from typing import NamedTuple

CLOCK_MARGIN_SECONDS = 0.5  # seconds that clocks may stray from each other over one lease
SETTLE_SECONDS = 1.0  # seconds for which others may not have heard of a number that was just claimed
RETRY_SECONDS = 0.5  # seconds between two tries to get a lease or a number


class LeaseRequest(Enum):
    """What is to be asked of the server next."""

    GRANT = "grant"
    CLAIM = "claim"
    KEEP_ALIVE = "keep"


class ControllerRank(NamedTuple):
    """What the module is told: a rank among `count` live controllers, None while there is none."""

    rank: int | None
    count: int


class Membership:
    """One controller's lease and number.

    `expected` is how many controllers the operators run: what is counted on until the live ones are known.
    """

    def __init__(self, number: int, expected: int, ttl: float):
        self.number, self.expected, self.ttl = number, expected, ttl
        self.lease = 0
        self.trusted_until = self.claimed_at = float("-inf")
        self.claimed, self.taken_by_other = False, False
        self.next_due = 0.0

    def next_request(self, now: float) -> LeaseRequest | None:
        """What to ask of the server now, if anything; call again when `due` has come."""
        if self.lease and now >= self.trusted_until:
            self.lease_lost()
        if now < self.next_due:
            return None
        return (
            LeaseRequest.GRANT
            if not self.lease
            else LeaseRequest.KEEP_ALIVE
            if self.claimed
            else LeaseRequest.CLAIM
        )

    def lease_granted(self, sent: float, lease: int, ttl: float) -> None:
        """A lease is ours; `sent` is when it was asked for."""
        self.lease, self.claimed = lease, False
        self.trusted_until = sent + ttl - CLOCK_MARGIN_SECONDS
        self.next_due = sent

    def claim_answered(self, now: float, sent: float, won: bool) -> None:
        """The claim of our number; lost where another holds it, which may be our own earlier process."""
        self.claimed, self.taken_by_other = won, not won
        if won:
            # Others hear of it when the server has taken it, which may be long after it was sent.
            self.claimed_at = now
        self.next_due = sent + (self.ttl / 3 if won else RETRY_SECONDS)

    def keepalive_answered(self, sent: float, ttl: float) -> None:
        """A keep-alive was answered; a `ttl` of 0 says that the lease is gone."""
        if ttl <= 0:
            self.lease_lost()
            return
        self.trusted_until = max(self.trusted_until, sent + ttl - CLOCK_MARGIN_SECONDS)
        self.next_due = sent + self.ttl / 3

    def request_failed(self, now: float) -> None:
        """A request brought no answer, or an error: the lease may live on, it is tried again."""
        self.next_due = now + min(RETRY_SECONDS, self.ttl / 6)

    def lease_lost(self) -> None:
        """The lease is gone, or may be: its number is anybody's."""
        self.lease, self.claimed = 0, False
        self.trusted_until = self.claimed_at = float("-inf")

    def holds_number(self, now: float) -> bool:
        """Whether the number is ours beyond doubt."""
        return self.claimed and now < self.trusted_until

    def rank_among(self, now: float, live: Collection[int] | None) -> ControllerRank:
        """Our place among the numbers that the list names as live, None where there is no list yet.

        Those who are not named any more have lost their lease at the server, and trusted it for less long.
        """
        if live is None:
            return ControllerRank(None, self.expected)
        others = {number for number in live if number != self.number}
        count = len(others) + 1
        if not self.holds_number(now) or now < self.claimed_at + SETTLE_SECONDS:
            return ControllerRank(None, count)
        return ControllerRank(sum(number < self.number for number in others), count)
