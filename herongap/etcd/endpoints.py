"""Selection of the etcd member to use, delays between attempts, and detection of a replaced cluster.

Decides without I/O. Delays grow exponentially with consecutive failures and are drawn uniformly from their
range ("full jitter", AWS Architecture Blog, 2015), so that 230 controllers that lose one member do not all
reconnect at once.
"""

import zlib
from typing import NamedTuple

BASE_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.05, 5.0  # upper ends of the first range and of the widest
# Upper end of the range after the first failure: the streamer list gets no updates until the watch is back.
FIRST_DELAY_SECONDS = 0.02
AVOID_SECONDS = 10.0  # for which a member that lagged or belonged to another cluster is used last
CONFIRMATIONS = 2  # replies in which every member must name the same other cluster


class EndpointState(NamedTuple):
    """A member's recent failures, and the other cluster it has named so far."""

    failures: int = 0
    avoid_until: float = 0.0
    cluster: int = 0
    cluster_replies: int = 0


class EndpointSelector:
    """The members of one cluster, in the order of the settings."""

    def __init__(self, addresses: list[str], seed: int):
        self.addresses, self.seed, self._draws = addresses, seed, 0
        self.states = {address: EndpointState() for address in addresses}
        # Different controllers start at different members.
        self._next = zlib.crc32(b"%d" % seed) % len(addresses)
        self.failures = 0

    def choose(self, now: float) -> str:
        """The member to use: healthy ones before failed ones, otherwise in rotation."""
        order = self.addresses[self._next :] + self.addresses[: self._next]

        def rank(address: str) -> tuple:
            state = self.states[address]
            return now < state.avoid_until, state.failures

        return min(order, key=rank)

    def retry_delay(self) -> float:
        """Seconds to wait before the next attempt; 0 after a success."""
        if not self.failures:
            return 0.0
        longest = (
            FIRST_DELAY_SECONDS
            if self.failures == 1
            else min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2 ** min(self.failures, 10))
        )
        return longest * self._draw()

    def mark_healthy(self, address: str) -> None:
        """Record that a request to the member succeeded."""
        self.failures = 0
        self.states[address] = EndpointState()

    def mark_failed(self, address: str) -> None:
        """Record a request without a reply, or with an error."""
        self.failures += 1
        state = self.states[address]
        self.states[address] = state._replace(failures=state.failures + 1)
        self._rotate(address)

    def mark_silent(self, address: str) -> None:
        """Record a watch without any message, not even a progress notification, for too long.

        Another member is used next, without a delay.
        """
        self._rotate(address)

    def mark_behind(self, now: float, address: str) -> None:
        """Record that the member lags behind a revision that another one has reported."""
        self.failures += 1
        self.states[address] = self.states[address]._replace(avoid_until=now + AVOID_SECONDS)
        self._rotate(address)

    def mark_other_cluster(self, now: float, address: str, cluster: int) -> bool:
        """Record that the member belongs to another cluster; returns whether to switch to that cluster.

        A single misconfigured member must not empty the streamer list. A cluster that was created anew,
        such as from a backup, shows in that every member names the same cluster repeatedly.
        """
        state = self.states[address]
        replies = state.cluster_replies + 1 if state.cluster == cluster else 1
        self.states[address] = state._replace(
            avoid_until=now + AVOID_SECONDS, cluster=cluster, cluster_replies=replies
        )
        self.failures += 1
        self._rotate(address)
        if all(s.cluster == cluster and s.cluster_replies >= CONFIRMATIONS for s in self.states.values()):
            self.states = {a: EndpointState() for a in self.addresses}
            self.failures = 0
            return True
        return False

    def _rotate(self, address: str) -> None:
        self._next = (self.addresses.index(address) + 1) % len(self.addresses)

    def _draw(self) -> float:
        """A pseudo-random number from 0 to 1, reproducible from the seed."""
        self._draws += 1
        return zlib.crc32(b"%d %d" % (self.seed, self._draws)) / 2**32
