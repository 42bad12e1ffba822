"""Carries datagrams between a UDP socket and `herongap.gossip`, which keeps the membership of the fleet."""

from collections.abc import Callable
from contextlib import suppress

import gevent
import structlog
from gevent import socket

from herongap.daemon.listen import Address, read_address
from herongap.gossip import Gossip, GossipConfig, MemberRecord, MemberStatus
from herongap.ini.parts import GossipPart

log = structlog.get_logger()
READ_SIZE_BYTES = 65536


class GossipMember:
    """One controller's membership, on a UDP socket of its own.

    `incarnation` tells the processes apart that run under the same controller number. `on_change()` is called
    when a member joined, left or changed its status.
    """

    def __init__(self, part: GossipPart, number: int, incarnation: int, zone: str, seed: int,
                 clock: Callable[[], float], on_change: Callable[[], None] = lambda: None):  # fmt: skip
        self.clock, self.on_change = clock, on_change
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(read_address(part.listen))
        host, port = read_address(part.advertise) if part.advertise else self.sock.getsockname()
        config = GossipConfig(probe_interval=part.every, ack_timeout=part.patience)
        me = MemberRecord(number, incarnation, 0, MemberStatus.ALIVE, host, port, zone)
        self.protocol = Gossip(clock(), me, part.fleet, config, seed)
        self.protocol.set_seeds([read_address(seed) for seed in part.seeds])
        self.reported_members: dict[int, tuple[int, MemberStatus]] = {}
        self.reported_changes = -1  # the membership's change counter when it was last reported

    def run(self) -> None:
        """Send probes and updates whenever they are due; never returns."""
        while True:
            try:
                self.send(self.protocol.tick(self.clock()))
            except Exception:
                log.exception("internal error in the membership protocol; it continues")
            gevent.sleep(max(0.005, self.protocol.due - self.clock()))

    def listen(self) -> None:
        """Process incoming datagrams until the socket is closed."""
        while True:
            try:
                data, sender = self.sock.recvfrom(READ_SIZE_BYTES)
            except OSError:
                return
            try:
                self.send(self.protocol.receive(self.clock(), data, sender))
            except Exception:
                log.exception("internal error while processing a datagram; it is dropped", peer=sender[0])

    def send(self, datagrams: list[tuple[Address, bytes]]) -> None:
        """Send datagrams, then report any membership change."""
        for address, data in datagrams:
            # A failed send is a lost datagram: the protocol retries.
            with suppress(OSError):
                self.sock.sendto(data, address)
        self._report_changes()

    def _report_changes(self) -> None:
        if self.reported_changes == self.protocol.members.change_count:
            return
        self.reported_changes = self.protocol.members.change_count
        now = {n: (x.incarnation, MemberStatus(x.status)) for n, x in self.protocol.members.records.items()}
        if now == self.reported_members:
            return
        for number in now.keys() | self.reported_members.keys():
            if now.get(number) != self.reported_members.get(number):
                incarnation, status = now.get(number, (0, None))
                status_name = status.name.lower() if status is not None else "forgotten"
                write_log = log.debug if status == MemberStatus.SUSPECT else log.info
                write_log("member", number=number, life=incarnation, standing=status_name)
        self.reported_members = now
        self.on_change()

    def status(self) -> dict:
        """Return the members and their status, for operators."""
        g, now = self.protocol, self.clock()
        members = {
            str(n): {"life": x.incarnation, "standing": MemberStatus(x.status).name.lower(), "zone": x.zone,
                     "at": f"{x.host}:{x.port}"}
            for n, x in sorted(g.members.records.items())
        }  # fmt: skip
        return {
            "members": members, "live": sum(1 for _ in g.members.live()), "deaf": g.unheard(now),
            "unheard_by": sorted(g.unheard_by(now)), "health": g.health, "counts": g.counts,
        }  # fmt: skip

    def leave(self) -> None:
        """Announce an orderly shutdown to some members."""
        self.send(self.protocol.leave(self.clock()))

    def close(self) -> None:
        """Close the socket, which also ends `listen`."""
        self.sock.close()
