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


class Way(NamedTuple):
    """How datagrams of one pair fare: shares that are lost and doubled; seconds of delay, least and most."""

    lost: float = 0.0
    doubled: float = 0.0
    late: tuple[float, float] = (0.0, 0.0)


class Datagrams:
    """The relays of a fleet of that name. `ways` holds what is not sound, by (from, to); `seen` counts."""

    def __init__(self, fleet: str, seed: int):
        self.fleet, self.draw = fleet, Random(seed)
        self.ways: dict[Pair, Way] = {}
        self.seen: Counter = Counter()
        self.sockets: dict[int, socket.socket] = {}
        self.real: dict[int, tuple[str, int]] = {}
        self._greenlets: list = []

    def before(self, number: int, real: tuple[str, int]) -> tuple[str, int]:
        """A relay before the controller that listens at `real`; the address to be advertised."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        self.sockets[number], self.real[number] = sock, real
        self._greenlets.append(gevent.spawn(self._carry, number))
        return sock.getsockname()

    def set(self, way: Way, pairs: Iterable[Pair]) -> None:
        """From now on, these pairs fare so."""
        self.ways |= dict.fromkeys(pairs, way)

    def cut(self, pairs: Iterable[Pair]) -> None:
        """Nothing gets through from the first to the second of each pair."""
        self.set(Way(lost=1.0), pairs)

    def sound(self) -> None:
        """All is well again."""
        self.ways.clear()

    def apart(self, one: Iterable[int]) -> list[Pair]:
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
                way = self.ways.get((decode(data, self.fleet).sender, number), Way())
            except InvalidDatagram:
                way = Way()  # noise is carried as it is
            if self.draw.random() < way.lost:
                self.seen["lost"] += 1
                continue
            times = 1 + (self.draw.random() < way.doubled)
            self.seen["doubled"] += times - 1
            for _ in range(times):
                wait = self.draw.uniform(*way.late)
                self.seen["late" if wait else "passed"] += 1
                if wait:
                    gevent.spawn_later(wait, self._pass, number, data)
                else:
                    self._pass(number, data)

    def _pass(self, number: int, data: bytes) -> None:
        try:
            self.sockets[number].sendto(data, self.real[number])
        except OSError:
            self.seen["nobody"] += 1

    def close(self) -> None:
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        for sock in self.sockets.values():
            sock.close()
