"""A relay for datagrams before each controller: what one says to another is lost, doubled, late, or passed.

Controllers name the relay's address as theirs (`[gossip] advertise`), so that whatever any other says to one
comes by here. Who says it is read from the datagram itself.
"""

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import gevent
from gevent import socket

from herongap.gossip import InvalidDatagram, decode

Pair = tuple[int, int]


class LinkFaults(NamedTuple):
    """How datagrams of one pair fare: shares that are lost and doubled; seconds of delay, least and most."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)


class DatagramRelay:
    """The relays of a fleet of that name. `ways` holds what is not sound, by (from, to); `seen` counts."""

    def __init__(self, fleet: str, seed: int):
        self.fleet, self.draw = fleet, Random(seed)
        self.faults: dict[Pair, LinkFaults] = {}
        self.counts: Counter = Counter()
        self.sockets: dict[int, socket.socket] = {}
        self.real: dict[int, tuple[str, int]] = {}
        self._greenlets: list = []

    def add(self, number: int, real: tuple[str, int]) -> tuple[str, int]:
        """A relay before the controller that listens at `real`; the address to be advertised."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        self.sockets[number], self.real[number] = sock, real
        self._greenlets.append(gevent.spawn(self._carry, number))
        return sock.getsockname()

    def set_faults(self, faults: LinkFaults, pairs: Iterable[Pair]) -> None:
        """From now on, these pairs fare so."""
        self.faults |= dict.fromkeys(pairs, faults)

    def cut(self, pairs: Iterable[Pair]) -> None:
        """Nothing gets through from the first to the second of each pair."""
        self.set_faults(LinkFaults(loss=1.0), pairs)

    def clear_faults(self) -> None:
        """All is well again."""
        self.faults.clear()

    def pairs_between(self, one: Iterable[int]) -> list[Pair]:
        """All pairs, both ways, between these controllers and the others."""
        one = set(one)
        return [(a, b) for a in self.sockets for b in self.sockets if (a in one) != (b in one)]

    def pairs(self) -> list[Pair]:
        return [(a, b) for a in self.sockets for b in self.sockets if a != b]

    def _carry(self, number: int) -> None:
        sock = self.sockets[number]
        while True:
            try:
                data, _ = sock.recvfrom(65536)
            except OSError:
                return
            try:
                faults = self.faults.get((decode(data, self.fleet).sender, number), LinkFaults())
            except InvalidDatagram:
                faults = LinkFaults()  # noise is carried as it is
            if self.draw.random() < faults.loss:
                self.counts["lost"] += 1
                continue
            times = 1 + (self.draw.random() < faults.duplication)
            self.counts["doubled"] += times - 1
            for _ in range(times):
                wait = self.draw.uniform(*faults.delay)
                self.counts["late" if wait else "passed"] += 1
                if wait:
                    gevent.spawn_later(wait, self._pass, number, data)
                else:
                    self._pass(number, data)

    def _pass(self, number: int, data: bytes) -> None:
        try:
            self.sockets[number].sendto(data, self.real[number])
        except OSError:
            self.counts["nobody"] += 1

    def close(self) -> None:
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        for sock in self.sockets.values():
            sock.close()
