"""Which member of an etcd cluster to ask, how long to wait, and when another cluster is believed.

Decides without I/O. Waits grow with the failures in a row and are drawn evenly from their range ("full
jitter", AWS Architecture Blog, 2015), so that 230 controllers that lose one member do not come back as one.
"""

import zlib
from typing import NamedTuple

BASE, MOST = 0.05, 5.0  # seconds: the first wait's range, and the widest
FIRST = 0.02  # the range of the very first wait: work goes on without news until the watch is back
SHUN = 10.0  # seconds for which a member that was behind or foreign is asked last
BELIEVE = 2  # rounds in which every member must name the same other cluster


class Endpoint(NamedTuple):
    """How a member has done."""

    fails: int = 0
    shunned: float = 0.0
    cluster: int = 0
    said: int = 0


class Endpoints:
    """The members of one cluster, in the order of the settings."""

    def __init__(self, addresses: list[str], seed: int):
        self.addresses, self.seed, self._draws = addresses, seed, 0
        self.state = {address: Endpoint() for address in addresses}
        # Controllers begin at different members.
        self._next = zlib.crc32(b"%d" % seed) % len(addresses)
        self.fails = 0

    def choose(self, now: float) -> str:
        """The member to ask: those that were fine before those that failed, in turn."""
        order = self.addresses[self._next :] + self.addresses[: self._next]

        def worth(address: str) -> tuple:
            st = self.state[address]
            return now < st.shunned, st.fails

        return min(order, key=worth)

    def wait(self) -> float:
        """Seconds to wait before the next try: 0 after one that went well."""
        if not self.fails:
            return 0.0
        wide = FIRST if self.fails == 1 else min(MOST, BASE * 2 ** min(self.fails, 10))
        return wide * self._chance()

    def fine(self, address: str) -> None:
        """It did what it was asked."""
        self.fails = 0
        self.state[address] = Endpoint()

    def failed(self, address: str) -> None:
        """No answer, or an error."""
        self.fails += 1
        st = self.state[address]
        self.state[address] = st._replace(fails=st.fails + 1)
        self._turn(address)

    def quiet(self, address: str) -> None:
        """A watch there said nothing for too long, not even of progress: another is asked, without a wait."""
        self._turn(address)

    def behind(self, now: float, address: str) -> None:
        """It has not got as far as another had."""
        self.fails += 1
        self.state[address] = self.state[address]._replace(shunned=now + SHUN)
        self._turn(address)

    def foreign(self, now: float, address: str, cluster: int) -> bool:
        """It belongs to another cluster; True where that is to be believed.

        One member that was pointed elsewhere must not empty the list. A cluster that was made anew, as from a
        backup, shows in that every member says the same, again and again.
        """
        st = self.state[address]
        said = st.said + 1 if st.cluster == cluster else 1
        self.state[address] = st._replace(shunned=now + SHUN, cluster=cluster, said=said)
        self.fails += 1
        self._turn(address)
        if all(s.cluster == cluster and s.said >= BELIEVE for s in self.state.values()):
            self.state = {a: Endpoint() for a in self.addresses}
            self.fails = 0
            return True
        return False

    def _turn(self, address: str) -> None:
        self._next = (self.addresses.index(address) + 1) % len(self.addresses)

    def _chance(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d %d" % (self.seed, self._draws)) / 2**32
