"""Peers of the platform's tests that act at stated steps: plain sockets, whose calls let no greenlet run.

Between two calls that wait (`until`, `gevent.sleep`) the controller under test does nothing, as a process
that is late does. So what reached it meanwhile, and in which order, is the test's to say.
"""

import json
import socket
from contextlib import suppress

from helpers import until
from node_world import OFFER, SETTINGS

# Nothing is due for long: what happens is the test's to say.
LONG_DEADLINES = dict(
    Grades=[{**grade, "Aim": 20000.0, "Deadline": 40000.0} for grade in SETTINGS["Grades"]],
    Allowed=SETTINGS["Allowed"] | {"ConnectTimeout": 5000.0},
)


def line(**message) -> bytes:
    """A message as it goes over a connection."""
    return json.dumps({"f": {}, **message}).encode() + b"\n"


def set_up(ref: str) -> bytes:
    """A whole set-up, to be sent in parts, or with something behind it."""
    f = {"class": "standard", "left": "30000", "key": "7f3a9c21e0b4d655",
         "extras": "home:0;copies:3;top:2;viewer:00000000b4d65521"}  # fmt: skip
    return line(t="new", ref=ref, d=OFFER, f=f)


def hand_over(w, peer, name, ref="0123456789abcdef"):
    """A viewing that plays at that streamer already, told as to a controller that has just started."""
    w.request_viewing(peer, ref, left="9007199254740991", d="",
          extras=f"home:0;copies:3;top:2;viewer:00000000b4d65521;at:{name}")  # fmt: skip


def hold_set_ups(held: list):
    """A streamer that keeps what it is asked until the test answers."""
    return lambda peer, m: held.append((peer, m))


def hold_all_set_ups(w) -> list:
    """Every streamer keeps what it is asked: (peer, message) for each, in the order in which they came."""
    held = []
    for s in w.streamers.values():
        s.on_set_up = hold_set_ups(held)
    return held


def send_immediately(peer, **message):
    """What a streamer of the test's says, written at once: no greenlet runs before."""
    peer.sock._sock.sendall(line(**message))


class PlainPeer:
    """A connection of JSON lines whose reads are the test's own. `small`: its system holds little for it."""

    def __init__(self, address=None, sock=None, small_buffer=False):
        self.sock = sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if small_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        if address:
            self.sock.connect(address)
        self.sock.setblocking(False)
        self.data, self.ended = b"", False

    def send(self, **message):
        self.send_raw(line(**message))

    def send_raw(self, data: bytes):
        self.sock.sendall(data)

    def read(self) -> list[dict]:
        """All whole messages so far; what has come is read, and nothing is waited for."""
        with suppress(BlockingIOError):
            try:
                while not self.ended:
                    data = self.sock.recv(65536)
                    self.data, self.ended = self.data + data, not data
            except ConnectionError:
                self.ended = True
        return [json.loads(line) for line in self.data.split(b"\n")[:-1] if line]

    def received(self, t: str, ref: str | None = None) -> list[dict]:
        return [m for m in self.read() if m["t"] == t and ref in (None, m["ref"])]

    def is_closed(self) -> bool:
        self.read()
        return self.ended

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()

    def close(self):
        self.sock.close()


class ManualListener:
    """A streamer's listener that takes a connection when the test says so, and can be `full`: then the next
    one comes up about 1 s after there is room again, as its machine asks once more.
    """

    def __init__(self, small_buffer=False):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if small_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = self.sock.getsockname()
        self.fillers, self.peers = [], []

    def fill_backlog(self):
        while True:
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.settimeout(0.1)
            self.fillers.append(filler)
            try:
                filler.connect(self.address)
            except OSError:
                return

    def clear_backlog(self):
        """Make room, with whatever had come up of the fillers closed."""
        for filler in self.fillers:
            filler.close()
        self.sock.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                self.sock.accept()[0].close()

    def accept_if_waiting(self) -> bool:
        """Whether a connection waits to be taken; it is."""
        self.sock.setblocking(False)
        with suppress(BlockingIOError):
            self.peers.append(PlainPeer(sock=self.sock.accept()[0]))
            return True
        return False

    def accept_blocking(self, seconds=4.0) -> PlainPeer:
        """The next connection that comes up. Nothing else runs meanwhile."""
        self.sock.settimeout(seconds)
        self.peers.append(PlainPeer(sock=self.sock.accept()[0]))
        return self.peers[-1]

    def wait_for_connection(self) -> PlainPeer:
        """The same, while everything runs on."""
        until(self.accept_if_waiting)
        return self.peers[-1]

    def close(self):
        for part in (self.sock, *self.fillers, *self.peers):
            part.close()
