"""What a front takes on: connections, set-ups at one time, the pace of one peer. Decides without I/O.

These limits protect the process, before any viewing exists; what becomes of a viewing is the module's. An
overloaded front turns new requests away at once and keeps the viewings that it holds.
"""

from collections import Counter, OrderedDict
from typing import NamedTuple


class Bounds(NamedTuple):
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


class Intake:
    """The state behind the limits: who is connected, who asked lately, how far behind the process is."""

    PEERS = 10000  # peers whose pace is remembered; the longest idle is forgotten first

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self.connected: Counter[str] = Counter()
        self.total = 0
        self.buckets: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self.behind, self.stopping = 0.0, False
        self.turned_away: Counter[str] = Counter()

    def connect(self, peer: str) -> bool:
        """Whether one more connection of this peer is taken; each that is must be told to `disconnect`."""
        if self.total >= self.bounds.connections or self.connected[peer] >= self.bounds.connections_a_peer:
            self.turned_away["connection"] += 1
            return False
        self.connected[peer] += 1
        self.total += 1
        return True

    def disconnect(self, peer: str) -> None:
        self.total -= 1
        self.connected[peer] -= 1
        if not self.connected[peer]:
            del self.connected[peer]

    def lagged(self, seconds: float) -> None:
        """How late the process came to a thing it had set a time for, smoothed over some of them.

        A process that is late answers late: viewings taken now would be lost to their patience.
        """
        self.behind += 0.3 * (seconds - self.behind)

    def swamped(self) -> bool:
        """Whether the process is so late that even reading offers would cost those that it has taken.

        Asked before anything of a request is looked at: a refusal must cost next to nothing.
        """
        if self.behind > self.bounds.lag:
            self.turned_away["overloaded"] += 1
            return True
        return False

    def admit(self, now: float, peer: str, setting_up: int, held: int) -> tuple[str, float] | None:
        """None if a new viewing is taken; else the problem to answer with, and when to come again
        (seconds).
        """
        verdict = self._admit(now, peer, setting_up, held)
        if verdict:
            self.turned_away[verdict[0]] += 1
        return verdict

    def _admit(self, now: float, peer: str, setting_up: int, held: int) -> tuple[str, float] | None:
        b = self.bounds
        if self.stopping:
            return "stopping", 0.0
        if setting_up >= b.setting_up or held >= b.held or self.behind > b.lag:
            return "overloaded", 1.0
        left, at = self.buckets.pop(peer, (b.burst, now))
        left = min(b.burst, left + (now - at) * b.pace)
        taken = left >= 1
        self.buckets[peer] = left - taken, now
        if len(self.buckets) > self.PEERS:
            self.buckets.popitem(last=False)
        return None if taken else ("too-fast", (1 - left) / b.pace)
