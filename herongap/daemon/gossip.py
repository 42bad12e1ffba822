"""Carries datagrams between a UDP socket and `herongap.gossip`, which decides who lives, who hears whom."""

from collections.abc import Callable
from contextlib import suppress

import gevent
import structlog
from gevent import socket

from herongap.daemon.listen import Address, read_address
from herongap.gossip import Gossip, Standing, Terms, Word
from herongap.ini.parts import GossipPart

log = structlog.get_logger()
READ = 65536


class GossipMember:
    """One controller's membership on its socket. `life` tells one process under a number from the next.

    `changed()` is called when somebody came, or is gone.
    """

    def __init__(self, part: GossipPart, number: int, life: int, zone: str, seed: int,
                 clock: Callable[[], float], changed: Callable[[], None] = lambda: None):  # fmt: skip
        self.clock, self.changed = clock, changed
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(read_address(part.listen))
        host, port = read_address(part.advertise) if part.advertise else self.sock.getsockname()
        terms = Terms(every=part.every, patience=part.patience)
        me = Word(number, life, 0, Standing.ALIVE, host, port, zone)
        self.gossip = Gossip(clock(), me, part.fleet, terms, seed)
        self.gossip.known([read_address(seed) for seed in part.seeds])
        self.before: dict[int, tuple[int, Standing]] = {}
        self.said = -1  # the changes of the book that were told so far

    def run(self) -> None:
        """Ask whenever something is due, for ever."""
        while True:
            try:
                self.carry(self.gossip.tick(self.clock()))
            except Exception:
                log.exception("a fault of ours; membership goes on")
            gevent.sleep(max(0.005, self.gossip.due - self.clock()))

    def listen(self) -> None:
        """Take what comes, until the socket is closed."""
        while True:
            try:
                data, sender = self.sock.recvfrom(READ)
            except OSError:
                return
            try:
                self.carry(self.gossip.heard(self.clock(), data, sender))
            except Exception:
                log.exception("a fault of ours; the datagram is passed over", peer=sender[0])

    def carry(self, out: list[tuple[Address, bytes]]) -> None:
        for address, data in out:
            # Lost like any other: whoever waits for it asks again.
            with suppress(OSError):
                self.sock.sendto(data, address)
        self._say()

    def _say(self) -> None:
        if self.said == self.gossip.book.changes:
            return
        self.said = self.gossip.book.changes
        now = {n: (x.life, Standing(x.standing)) for n, x in self.gossip.book.words.items()}
        if now == self.before:
            return
        for number in now.keys() | self.before.keys():
            if now.get(number) != self.before.get(number):
                life, standing = now.get(number, (0, None))
                word = standing.name.lower() if standing is not None else "forgotten"
                told = log.debug if standing == Standing.SUSPECT else log.info
                told("member", number=number, life=life, standing=word)
        self.before = now
        self.changed()

    def status(self) -> dict:
        """Who lives, for operators."""
        g, now = self.gossip, self.clock()
        members = {
            str(n): {"life": x.life, "standing": Standing(x.standing).name.lower(), "zone": x.zone,
                     "at": f"{x.host}:{x.port}"}
            for n, x in sorted(g.book.words.items())
        }  # fmt: skip
        return {
            "members": members, "live": sum(1 for _ in g.book.live()), "deaf": g.deaf(now),
            "unheard_by": sorted(g.one_sided(now)), "health": g.health, "counts": g.counts,
        }  # fmt: skip

    def leave(self) -> None:
        """Tell some that this one ends by its own will."""
        self.carry(self.gossip.leave(self.clock()))

    def close(self) -> None:
        self.sock.close()
