"""Which member of an etcd cluster to ask, how long to wait, and when another cluster is believed.

Decides without I/O. Waits grow with the failures in a row and are drawn evenly from their range ("full
jitter", AWS Architecture Blog, 2015), so that 230 controllers that lose one member do not come back as one.
"""

import zlib
from typing import NamedTuple

BASE_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.05, 5.0  # seconds: the first wait's range, and the widest
FIRST_DELAY_SECONDS = (
    0.02  # the range of the very first wait: work goes on without news until the watch is back
)
AVOID_SECONDS = 10.0  # seconds for which a member that was behind or foreign is asked last
CONFIRMATIONS = 2  # rounds in which every member must name the same other cluster


class EndpointState(NamedTuple):
    """How a member has done."""

    failures: int = 0
    avoid_until: float = 0.0
    cluster: int = 0
    cluster_replies: int = 0


class EndpointSelector:
    """The members of one cluster, in the order of the settings."""

    def __init__(self, addresses: list[str], seed: int):
        self.addresses, self.seed, self._draws = addresses, seed, 0
        self.states = {address: EndpointState() for address in addresses}
        # Controllers begin at different members.
        self._next = zlib.crc32(b"%d" % seed) % len(addresses)
        self.failures = 0

    def choose(self, now: float) -> str:
        """The member to ask: those that were fine before those that failed, in turn."""
        order = self.addresses[self._next :] + self.addresses[: self._next]

        def worth(address: str) -> tuple:
            st = self.states[address]
            return now < st.avoid_until, st.failures

        return min(order, key=worth)

    def retry_delay(self) -> float:
        """Seconds to wait before the next try: 0 after one that went well."""
        if not self.failures:
            return 0.0
        wide = (
            FIRST_DELAY_SECONDS
            if self.failures == 1
            else min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2 ** min(self.failures, 10))
        )
        return wide * self._chance()

    def mark_healthy(self, address: str) -> None:
        """It did what it was asked."""
        self.failures = 0
        self.states[address] = EndpointState()

    def mark_failed(self, address: str) -> None:
        """No answer, or an error."""
        self.failures += 1
        st = self.states[address]
        self.states[address] = st._replace(failures=st.failures + 1)
        self._turn(address)

    def mark_silent(self, address: str) -> None:
        """A watch there said nothing for too long, not even of progress: another is asked, without a wait."""
        self._turn(address)

    def mark_behind(self, now: float, address: str) -> None:
        """It has not got as far as another had."""
        self.failures += 1
        self.states[address] = self.states[address]._replace(avoid_until=now + AVOID_SECONDS)
        self._turn(address)

    def mark_other_cluster(self, now: float, address: str, cluster: int) -> bool:
        """It belongs to another cluster; True where that is to be believed.

        One member that was pointed elsewhere must not empty the list. A cluster that was made anew, as from a
        backup, shows in that every member says the same, again and again.
        """
        st = self.states[address]
        cluster_replies = st.cluster_replies + 1 if st.cluster == cluster else 1
        self.states[address] = st._replace(
            avoid_until=now + AVOID_SECONDS, cluster=cluster, cluster_replies=cluster_replies
        )
        self.failures += 1
        self._turn(address)
        if all(s.cluster == cluster and s.cluster_replies >= CONFIRMATIONS for s in self.states.values()):
            self.states = {a: EndpointState() for a in self.addresses}
            self.failures = 0
            return True
        return False

    def _turn(self, address: str) -> None:
        self._next = (self.addresses.index(address) + 1) % len(self.addresses)

    def _chance(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d %d" % (self.seed, self._draws)) / 2**32
