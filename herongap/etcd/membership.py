"""A controller's own lease and number, and its rank among the live controllers. Decides without I/O.

A controller obtains a lease, claims `controllers/NUMBER` under it, and keeps it alive. By its own clock it
relies on the lease until `ttl - CLOCK_MARGIN_SECONDS` after it sent the last request that was answered. The
server counts from later, so a controller never relies on its lease for longer than the server does, however
long replies take or the process is suspended.

The rank divides two things among the live controllers: the rate at which cold streamers get work, and the
capacity kept free. While its lease is uncertain, and for SETTLE_SECONDS after the claim, a controller has
no rank. It goes on playing and placing, but sends nothing to a cold streamer, as other controllers may have
taken over its slots or may not know of it yet.
"""

from collections.abc import Collection
from enum import Enum
from typing import NamedTuple

CLOCK_MARGIN_SECONDS = 0.5  # by which two clocks may drift apart over one lease
SETTLE_SECONDS = 1.0  # for which others may not have heard of a number that was just claimed
RETRY_SECONDS = 0.5  # between two attempts to get a lease or a number


class LeaseRequest(Enum):
    """A request to the lease server."""

    GRANT = "grant"
    CLAIM = "claim"
    KEEP_ALIVE = "keep"


class ControllerRank(NamedTuple):
    """A rank among `count` live controllers; None while the controller has no rank."""

    rank: int | None
    count: int


class Membership:
    """One controller's lease and number.

    `expected` is the number of controllers that the operators run; it is used until the live ones are known.
    """

    def __init__(self, number: int, expected: int, ttl: float):
        self.number, self.expected, self.ttl = number, expected, ttl
        self.lease = 0
        self.trusted_until = self.claimed_at = float("-inf")
        self.claimed, self.taken_by_other = False, False
        self.next_due = 0.0

    def next_request(self, now: float) -> LeaseRequest | None:
        """The request to send now, if any; call again at `next_due`."""
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
        """A lease was granted; `sent` is when it was requested."""
        self.lease, self.claimed = lease, False
        self.trusted_until = sent + ttl - CLOCK_MARGIN_SECONDS
        self.next_due = sent

    def claim_answered(self, now: float, sent: float, won: bool) -> None:
        """The claim was answered; it fails while another process, or an earlier one, holds the number."""
        self.claimed, self.taken_by_other = won, not won
        if won:
            # Others are notified once the server has accepted the claim, which may be long after it was sent.
            self.claimed_at = now
        self.next_due = sent + (self.ttl / 3 if won else RETRY_SECONDS)

    def keepalive_answered(self, sent: float, ttl: float) -> None:
        """A keep-alive was answered; a `ttl` of 0 means that the lease has expired."""
        if ttl <= 0:
            self.lease_lost()
            return
        self.trusted_until = max(self.trusted_until, sent + ttl - CLOCK_MARGIN_SECONDS)
        self.next_due = sent + self.ttl / 3

    def request_failed(self, now: float) -> None:
        """A request got no reply, or an error. The lease may still be valid: the request is retried."""
        self.next_due = now + min(RETRY_SECONDS, self.ttl / 6)

    def lease_lost(self) -> None:
        """The lease has expired, or may have: another process may claim the number."""
        self.lease, self.claimed = 0, False
        self.trusted_until = self.claimed_at = float("-inf")

    def holds_number(self, now: float) -> bool:
        """Whether this controller certainly holds its number."""
        return self.claimed and now < self.trusted_until

    def rank_among(self, now: float, live: Collection[int] | None) -> ControllerRank:
        """This controller's rank among the live numbers; `live` is None before the first list.

        A number that is no longer listed has lost its lease at the server, and its holder stopped relying
        on the lease before that.
        """
        if live is None:
            return ControllerRank(None, self.expected)
        others = {number for number in live if number != self.number}
        count = len(others) + 1
        if not self.holds_number(now) or now < self.claimed_at + SETTLE_SECONDS:
            return ControllerRank(None, count)
        return ControllerRank(sum(number < self.number for number in others), count)
