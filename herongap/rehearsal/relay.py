"""The network between one controller and one member of the store, which can fail."""

import struct
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from herongap.daemon.http_connection import Address

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing tells the other side of it as a reset
CHUNK = 65536


class Relay:
    """Bytes pass both ways, unless told otherwise.

    `cut`: neither way; `oneway`: requests arrive, answers do not; what was held back comes when that ends, as
    after a partition. `slow`: answers come so many seconds later. `reset`: the connection is reset where an
    answer was about to pass, so its request has been read.
    """

    def __init__(self, to: Address):
        self.to, self.troubles, self.changed = to, {}, Event()
        self.resets = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = self.server.address

    def begin(self, trouble: str, by: float = 0.0) -> None:
        """Several at a time, each until its own end."""
        self.troubles[trouble] = by

    def end(self, trouble: str) -> None:
        self.troubles.pop(trouble, None)
        changed, self.changed = self.changed, Event()
        changed.set()

    def close(self) -> None:
        self.server.stop()

    def _serve(self, near: socket.socket, _) -> None:
        self._held("cut")
        try:
            far = socket.create_connection(self.to, 2.0)
        except OSError:
            near.close()
            return
        for sock in (near, far):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        up = gevent.spawn(self._pass, near, far, ("cut",))
        self._pass(far, near, ("cut", "oneway"), answers=True)
        up.kill()

    def _pass(self, a: socket.socket, b: socket.socket, held_by: tuple, answers: bool = False) -> None:
        with suppress(OSError):
            while data := a.recv(CHUNK):
                if answers and "reset" in self.troubles:
                    self.resets += 1
                    b.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    break
                self._held(*held_by)
                if answers and (by := self.troubles.get("slow")):
                    gevent.sleep(by)
                b.sendall(data)
        self._held(*held_by)
        for sock in (a, b):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR) if "reset" not in self.troubles else None
            sock.close()

    def _held(self, *by: str) -> None:
        while any(trouble in self.troubles for trouble in by):
            self.changed.wait(0.5)
