"""Limits what a front accepts: connections, concurrent set-ups, and each peer's request rate, without I/O.

These limits protect the process and apply before a viewing exists; the deciding module decides what becomes
of a viewing. An overloaded front rejects new requests at once and keeps the viewings that it holds.
"""

from collections import Counter, OrderedDict
from typing import NamedTuple


class ProcessLimits(NamedTuple):
    """The limits of one process. Sizes in bytes, times in seconds, `pace` in requests a second."""

    connections: int = 4000
    connections_a_peer: int = 1000
    setting_up: int = 60
    held: int = 20000
    pace: float = 200.0
    burst: float = 400.0
    header: int = 16384
    header_fields: int = 100
    body: int = 65536
    pending_bytes: int = 8 << 20
    header_seconds: float = 5.0
    body_seconds: float = 5.0
    idle_seconds: float = 30.0
    write_seconds: float = 10.0
    lag: float = 0.25


class RequestMemory:
    """The bytes of large requests that a process holds at one time, `limit` at most.

    Small requests are not counted, so that clients that leave large ones unfinished harm no usual client.
    """

    SMALL_REQUEST_BYTES = 8192

    def __init__(self, limit: int):
        self.limit, self.used = limit, 0

    def grow(self, size: int, new_size: int) -> bool:
        """Whether a request may grow from one size to another; if so, it is counted with the new one."""
        more = self._counted(new_size) - self._counted(size)
        if more and self.used + more > self.limit:
            return False
        self.used += more
        return True

    def release(self, size: int) -> None:
        """Stop counting a request of that size."""
        self.used -= self._counted(size)

    def _counted(self, size: int) -> int:
        return max(0, size - self.SMALL_REQUEST_BYTES)


class OverloadGuard:
    """Counts connections, requests and lag of one process, and decides what it rejects."""

    MAX_TRACKED_PEERS = 10000  # peers whose request rate is limited; the least recently seen is dropped first

    def __init__(self, limits: ProcessLimits):
        self.limits = limits
        self.connections_by_peer: Counter[str] = Counter()
        self.open_connections = 0
        self.token_buckets: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self.lag, self.stopping = 0.0, False
        self.rejected: Counter[str] = Counter()

    def connect(self, peer: str) -> bool:
        """Whether one more connection of this peer is accepted; `disconnect` must follow for each that is."""
        if (
            self.open_connections >= self.limits.connections
            or self.connections_by_peer[peer] >= self.limits.connections_a_peer
        ):
            self.rejected["connection"] += 1
            return False
        self.connections_by_peer[peer] += 1
        self.open_connections += 1
        return True

    def disconnect(self, peer: str) -> None:
        """Record the end of an accepted connection."""
        self.open_connections -= 1
        self.connections_by_peer[peer] -= 1
        if not self.connections_by_peer[peer]:
            del self.connections_by_peer[peer]

    def record_lag(self, seconds: float) -> None:
        """Record how late the process ran a timer; the values are smoothed.

        A process that runs late answers late: the viewers of set-ups that it accepts now would give up first.
        """
        self.lag += 0.3 * (seconds - self.lag)

    def is_overloaded(self) -> bool:
        """Whether the process is so late that even reading new offers would harm accepted viewings.

        Checked before anything of a request is read: a rejection must cost next to nothing.
        """
        if self.lag > self.limits.lag:
            self.rejected["overloaded"] += 1
            return True
        return False

    def admit(self, now: float, peer: str, setting_up: int, held: int) -> tuple[str, float] | None:
        """Return None if a new viewing is accepted; else the problem to answer with, and after how many
        seconds to retry.
        """
        verdict = self._check(now, peer, setting_up, held)
        if verdict:
            self.rejected[verdict[0]] += 1
        return verdict

    def _check(self, now: float, peer: str, setting_up: int, held: int) -> tuple[str, float] | None:
        limits = self.limits
        if self.stopping:
            return "stopping", 0.0
        if setting_up >= limits.setting_up or held >= limits.held or self.lag > limits.lag:
            return "overloaded", 1.0
        tokens, updated_at = self.token_buckets.pop(peer, (limits.burst, now))
        tokens = min(limits.burst, tokens + (now - updated_at) * limits.pace)
        admitted = tokens >= 1
        self.token_buckets[peer] = tokens - admitted, now
        if len(self.token_buckets) > self.MAX_TRACKED_PEERS:
            self.token_buckets.popitem(last=False)
        return None if admitted else ("too-fast", (1 - tokens) / limits.pace)
