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

MARGIN = 0.5  # seconds that clocks may stray from each other over one lease
SETTLE = 1.0  # seconds for which others may not have heard of a number that was just claimed
AGAIN = 0.5  # seconds between two tries to get a lease or a number


class Step(Enum):
    """What is to be asked of the server next."""

    GRANT = "grant"
    CLAIM = "claim"
    KEEP = "keep"


class Place(NamedTuple):
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
        self.until = self.since = float("-inf")
        self.claimed, self.taken = False, False
        self.due = 0.0

    def step(self, now: float) -> Step | None:
        """What to ask of the server now, if anything; call again when `due` has come."""
        if self.lease and now >= self.until:
            self.lapsed()
        if now < self.due:
            return None
        return Step.GRANT if not self.lease else Step.KEEP if self.claimed else Step.CLAIM

    def granted(self, sent: float, lease: int, ttl: float) -> None:
        """A lease is ours; `sent` is when it was asked for."""
        self.lease, self.claimed = lease, False
        self.until = sent + ttl - MARGIN
        self.due = sent

    def claim_answered(self, now: float, sent: float, won: bool) -> None:
        """The claim of our number; lost where another holds it, which may be our own earlier process."""
        self.claimed, self.taken = won, not won
        if won:
            # Others hear of it when the server has taken it, which may be long after it was sent.
            self.since = now
        self.due = sent + (self.ttl / 3 if won else AGAIN)

    def kept(self, sent: float, ttl: float) -> None:
        """A keep-alive was answered; a `ttl` of 0 says that the lease is gone."""
        if ttl <= 0:
            self.lapsed()
            return
        self.until = max(self.until, sent + ttl - MARGIN)
        self.due = sent + self.ttl / 3

    def failed(self, now: float) -> None:
        """A request brought no answer, or an error: the lease may live on, it is tried again."""
        self.due = now + min(AGAIN, self.ttl / 6)

    def lapsed(self) -> None:
        """The lease is gone, or may be: its number is anybody's."""
        self.lease, self.claimed = 0, False
        self.until = self.since = float("-inf")

    def holds(self, now: float) -> bool:
        """Whether the number is ours beyond doubt."""
        return self.claimed and now < self.until

    def place(self, now: float, live: Collection[int] | None) -> Place:
        """Our place among the numbers that the list names as live, None where there is no list yet.

        Those who are not named any more have lost their lease at the server, and trusted it for less long.
        """
        if live is None:
            return Place(None, self.expected)
        others = {number for number in live if number != self.number}
        count = len(others) + 1
        if not self.holds(now) or now < self.since + SETTLE:
            return Place(None, count)
        return Place(sum(number < self.number for number in others), count)
