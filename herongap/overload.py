"""What a front takes on: connections, set-ups at one time, the pace of one peer. Decides without I/O.

These limits protect the process, before any viewing exists; what becomes of a viewing is the module's. An
overloaded front turns new requests away at once and keeps the viewings that it holds.
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
    body: int = 65536
    header_seconds: float = 5.0
    body_seconds: float = 5.0
    idle_seconds: float = 30.0
    write_seconds: float = 10.0
    lag: float = 0.25


class OverloadGuard:
    """The state behind the limits: who is connected, who asked lately, how far behind the process is."""

    MAX_TRACKED_PEERS = 10000  # peers whose pace is remembered; the longest idle is forgotten first

    def __init__(self, limits: ProcessLimits):
        self.limits = limits
        self.connections_by_peer: Counter[str] = Counter()
        self.open_connections = 0
        self.token_buckets: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self.lag, self.stopping = 0.0, False
        self.rejected: Counter[str] = Counter()

    def connect(self, peer: str) -> bool:
        """Whether one more connection of this peer is taken; each that is must be told to `disconnect`."""
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
        self.open_connections -= 1
        self.connections_by_peer[peer] -= 1
        if not self.connections_by_peer[peer]:
            del self.connections_by_peer[peer]

    def record_lag(self, seconds: float) -> None:
        """How late the process came to a thing it had set a time for, smoothed over some of them.

        A process that is late answers late: viewings taken now would be lost to their patience.
        """
        self.lag += 0.3 * (seconds - self.lag)

    def is_overloaded(self) -> bool:
        """Whether the process is so late that even reading offers would cost those that it has taken.

        Asked before anything of a request is looked at: a refusal must cost next to nothing.
        """
        if self.lag > self.limits.lag:
            self.rejected["overloaded"] += 1
            return True
        return False

    def admit(self, now: float, peer: str, setting_up: int, held: int) -> tuple[str, float] | None:
        """None if a new viewing is taken; else the problem to answer with, and when to come again
        (seconds).
        """
        verdict = self._admit(now, peer, setting_up, held)
        if verdict:
            self.rejected[verdict[0]] += 1
        return verdict

    def _admit(self, now: float, peer: str, setting_up: int, held: int) -> tuple[str, float] | None:
        b = self.limits
        if self.stopping:
            return "stopping", 0.0
        if setting_up >= b.setting_up or held >= b.held or self.lag > b.lag:
            return "overloaded", 1.0
        left, at = self.token_buckets.pop(peer, (b.burst, now))
        left = min(b.burst, left + (now - at) * b.pace)
        taken = left >= 1
        self.token_buckets[peer] = left - taken, now
        if len(self.token_buckets) > self.MAX_TRACKED_PEERS:
            self.token_buckets.popitem(last=False)
        return None if taken else ("too-fast", (1 - left) / b.pace)
