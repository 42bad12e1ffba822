"""Asks the resolver over UDP, again and again; what is believed of an answer is `platform.roster`'s."""

from collections.abc import Callable
from contextlib import suppress
from zlib import crc32

import gevent
import structlog
from gevent import socket

from herongap.platform.roster import Doubtful, Roster, answer, query

Address = tuple[str, int]
EVERY, PATIENCE = 0.4, 0.25  # seconds between two questions; for one answer
log = structlog.get_logger()


class Resolver:
    """Calls `told` with each list that is newer than the last. `address` may change between two questions."""

    def __init__(self, address: Address, seed: int, racks: int, serial: int, told: Callable[[Roster], None]):
        self.address, self.racks, self.serial, self.told = address, racks, serial, told
        self.seed, self.asked, self.bad = seed, 0, 0
        self._last = b""
        self._sock: socket.socket | None = None
        self._reached: Address | None = None
        self.nudge = gevent.event.Event()

    def run(self) -> None:
        """Ask for ever."""
        while True:
            heard = False
            try:
                heard = self._ask()
            except OSError as fault:
                log.debug("resolver not asked", cause=str(fault))
                self._reached = None  # its socket is made anew
            except Exception:
                log.exception("a fault of ours; the resolver is asked again")
            if heard and self.bad >= 8:
                log.info("resolver back", after=self.bad)
            self.bad = 0 if heard else self.bad + 1
            if self.bad == 8:
                log.warning("resolver silent", address="{}:{}".format(*self.address))
            self.nudge.clear()
            self.nudge.wait(EVERY if heard else 0.02)

    def _ask(self) -> bool:
        """One question; whether it was answered well."""
        self.asked += 1
        # Ids that cannot be foretold, so that nobody else's packet passes for the answer.
        number = crc32(b"%d:%d" % (self.seed, self.asked)) & 0xFFFF
        sock = self._reach(self.address)
        sock.send(query(number))
        with gevent.Timeout(PATIENCE, False), suppress(ConnectionError):
            while True:
                data = sock.recv(65535)
                if data[:2] == number.to_bytes(2, "big") and self._take(data, number):
                    return True
        return False

    def _reach(self, address: Address) -> socket.socket:
        """The socket, connected: the system drops what comes from any other address.

        One for all questions: with no descriptor left, one that had to be opened for each would fall silent.
        """
        if self._reached != address:
            if self._sock:
                self._sock.close()
            self._reached, self._sock = None, socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._sock.connect(address)
            self._reached = address
        return self._sock

    def _take(self, data: bytes, number: int) -> bool:
        if data[2:] == self._last:
            return True
        try:
            roster = answer(data, number, self.racks)
        except Doubtful as fault:
            log.debug("resolver's answer not taken", cause=str(fault))
            return False
        if roster.serial < self.serial:
            return False  # older than what is known: drains that were heard must not be forgotten
        self._last = data[2:]
        if roster.serial > self.serial:
            self.serial = roster.serial
            self.told(roster)
        return True
