"""A UDP relay in front of each controller, which drops, duplicates or delays gossip datagrams.

Controllers advertise the relay's address as their own (`[gossip] advertise`), so every datagram to them
passes through it. The sender is read from the datagram itself.
"""

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import gevent
from gevent import socket

from herongap.gossip import InvalidDatagramError, decode

MAX_DATAGRAM_BYTES = 65536

Pair = tuple[int, int]  # numbers of the sending and the receiving controller


class LinkFaults(NamedTuple):
    """Faults between two controllers: shares lost and duplicated, least and greatest delay in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)


class DatagramRelay:
    """The relays of one fleet. `faults` are by (sender, receiver); `counts` are of datagrams by outcome."""

    def __init__(self, fleet: str, seed: int):
        self.fleet, self.random = fleet, Random(seed)
        self.faults: dict[Pair, LinkFaults] = {}
        self.counts: Counter = Counter()
        self.sockets: dict[int, socket.socket] = {}
        self.targets: dict[int, tuple[str, int]] = {}
        self._greenlets: list = []

    def add(self, number: int, target: tuple[str, int]) -> tuple[str, int]:
        """Adds a relay to the controller that listens at `target`; returns the address to advertise."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        self.sockets[number], self.targets[number] = sock, target
        self._greenlets.append(gevent.spawn(self._relay, number))
        return sock.getsockname()

    def set_faults(self, faults: LinkFaults, pairs: Iterable[Pair]) -> None:
        """Sets the faults of these pairs from now on."""
        self.faults |= dict.fromkeys(pairs, faults)

    def cut(self, pairs: Iterable[Pair]) -> None:
        """Drops every datagram from the first to the second of each pair."""
        self.set_faults(LinkFaults(loss=1.0), pairs)

    def clear_faults(self) -> None:
        """Removes all faults."""
        self.faults.clear()

    def pairs_between(self, group: Iterable[int]) -> list[Pair]:
        """Returns all pairs, in both directions, between these controllers and the others."""
        group = set(group)
        return [(a, b) for a in self.sockets for b in self.sockets if (a in group) != (b in group)]

    def pairs(self) -> list[Pair]:
        """Returns all pairs of two different controllers."""
        return [(a, b) for a in self.sockets for b in self.sockets if a != b]

    def _relay(self, number: int) -> None:
        sock = self.sockets[number]
        while True:
            try:
                data, _ = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            try:
                faults = self.faults.get((decode(data, self.fleet).sender, number), LinkFaults())
            except InvalidDatagramError:
                faults = LinkFaults()  # an invalid datagram is relayed without faults
            if self.random.random() < faults.loss:
                self.counts["lost"] += 1
                continue
            copies = 1 + (self.random.random() < faults.duplication)
            self.counts["doubled"] += copies - 1
            for _ in range(copies):
                delay = self.random.uniform(*faults.delay)
                self.counts["late" if delay else "passed"] += 1
                if delay:
                    gevent.spawn_later(delay, self._deliver, number, data)
                else:
                    self._deliver(number, data)

    def _deliver(self, number: int, data: bytes) -> None:
        try:
            self.sockets[number].sendto(data, self.targets[number])
        except OSError:
            self.counts["unreachable"] += 1

    def close(self) -> None:
        """Stops all relays."""
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        for sock in self.sockets.values():
            sock.close()
