"""A TCP relay between a controller and a member of the store, with fault injection."""

import struct
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from herongap.daemon.http_connection import Address

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: close sends a reset
CHUNK_BYTES = 65536


class Relay:
    """Relays bytes both ways until a fault begins. The faults are:

    - `cut`: nothing passes; `oneway`: requests pass, replies do not. Held bytes pass when the fault ends, as
      after a network partition.
    - `slow`: each reply is delayed by a number of seconds
    - `reset`: the connection is reset when a reply is about to pass, so the request has been received
    """

    def __init__(self, target: Address):
        self.target, self.faults, self.changed = target, {}, Event()
        self.resets = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = self.server.address

    def begin(self, fault: str, by: float = 0.0) -> None:
        """Begins a fault; several may be active at a time. `by` is the delay in seconds."""
        self.faults[fault] = by

    def end(self, fault: str) -> None:
        """Ends a fault and lets held bytes pass."""
        self.faults.pop(fault, None)
        changed, self.changed = self.changed, Event()
        changed.set()

    def close(self) -> None:
        """Stops the relay."""
        self.server.stop()

    def _serve(self, client: socket.socket, _) -> None:
        self._wait_while("cut")
        try:
            server = socket.create_connection(self.target, 2.0)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        requests = gevent.spawn(self._forward, client, server, ("cut",))
        self._forward(server, client, ("cut", "oneway"), replies=True)
        requests.kill()

    def _forward(
        self, source: socket.socket, target: socket.socket, held_by: tuple, replies: bool = False
    ) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if replies and "reset" in self.faults:
                    self.resets += 1
                    target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                    break
                self._wait_while(*held_by)
                if replies and (delay := self.faults.get("slow")):
                    gevent.sleep(delay)
                target.sendall(data)
        self._wait_while(*held_by)
        for sock in (source, target):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR) if "reset" not in self.faults else None
            sock.close()

    def _wait_while(self, *faults: str) -> None:
        while any(fault in self.faults for fault in faults):
            self.changed.wait(0.5)
