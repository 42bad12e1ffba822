"""Peers with plain sockets, whose calls let no greenlet run, so that a test controls every step.

Between two calls that wait (`until`, `gevent.sleep`) the controller under test does nothing, like a process
that runs late. The test thereby decides what has arrived when the controller continues, and in which order.
"""

import json
import socket
from contextlib import suppress

from helpers import until
from node_world import OFFER, SETTINGS

# No time-out falls due during a test.
LONG_DEADLINES = dict(
    Grades=[{**grade, "Aim": 20000.0, "Deadline": 40000.0} for grade in SETTINGS["Grades"]],
    Allowed=SETTINGS["Allowed"] | {"ConnectTimeout": 5000.0},
)


def encode_line(**message) -> bytes:
    """Encode a message."""
    return json.dumps({"f": {}, **message}).encode() + b"\n"


def set_up(ref: str) -> bytes:
    """Encode a complete set-up, to be sent in parts or together with other data."""
    f = {"class": "standard", "left": "30000", "key": "7f3a9c21e0b4d655",
         "extras": "home:0;copies:3;top:2;viewer:00000000b4d65521"}  # fmt: skip
    return encode_line(t="new", ref=ref, d=OFFER, f=f)


def hand_over(w, peer, name, ref="0123456789abcdef"):
    """Send the set-up of a viewing that plays at that streamer already, as to a restarted controller."""
    w.request_viewing(peer, ref, left="9007199254740991", d="",
                      extras=f"home:0;copies:3;top:2;viewer:00000000b4d65521;at:{name}")  # fmt: skip


def hold_set_ups(held: list):
    """Return an `on_set_up` that leaves set-ups unanswered and appends (peer, message) to `held`."""
    return lambda peer, message: held.append((peer, message))


def hold_all_set_ups(w) -> list:
    """Have every streamer leave set-ups unanswered; return the list to which each adds (peer, message)."""
    held = []
    for streamer in w.streamers.values():
        streamer.on_set_up = hold_set_ups(held)
    return held


def send_immediately(peer, **message):
    """Send a message of a fake streamer before any other greenlet runs."""
    peer.sock._sock.sendall(encode_line(**message))


class PlainPeer:
    """A connection of JSON lines that reads only when the test does; `small_buffer` shrinks its buffer."""

    def __init__(self, address=None, sock=None, small_buffer=False):
        self.sock = sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if small_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        if address:
            self.sock.connect(address)
        self.sock.setblocking(False)
        self.data, self.ended = b"", False

    def send(self, **message):
        self.send_raw(encode_line(**message))

    def send_raw(self, data: bytes):
        self.sock.sendall(data)

    def receive(self) -> bytes:
        """Read what has arrived, without waiting; return all bytes so far."""
        with suppress(BlockingIOError):
            try:
                while not self.ended:
                    data = self.sock.recv(65536)
                    self.data, self.ended = self.data + data, not data
            except ConnectionError:
                self.ended = True
        return self.data

    def read(self) -> list[dict]:
        """Read what has arrived, without waiting; return all complete messages so far."""
        return [json.loads(line) for line in self.receive().split(b"\n")[:-1] if line]

    def received(self, t: str, ref: str | None = None) -> list[dict]:
        """Return the received messages of type `t`, with the id `ref` if given."""
        return [message for message in self.read() if message["t"] == t and ref in (None, message["ref"])]

    def is_closed(self) -> bool:
        """Whether the other side has closed or reset the connection."""
        self.receive()
        return self.ended

    def reset(self):
        """Close the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()

    def close(self):
        self.sock.close()


class ManualListener:
    """A streamer's listener that accepts a connection only when the test says so.

    Its backlog can be filled. The next connection then opens about 1 s after there is room again, when the
    system of the connecting side repeats its SYN.
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
        """Fill the backlog, so that further connections stay pending."""
        while True:
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.settimeout(0.1)
            self.fillers.append(filler)
            try:
                filler.connect(self.address)
            except OSError:
                return

    def clear_backlog(self):
        """Make room in the backlog by closing the connections that fill it."""
        for filler in self.fillers:
            filler.close()
        self.sock.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                self.sock.accept()[0].close()

    def accept_if_waiting(self) -> bool:
        """Accept a connection if one is waiting; whether there was one."""
        self.sock.setblocking(False)
        with suppress(BlockingIOError):
            self.peers.append(PlainPeer(sock=self.sock.accept()[0]))
            return True
        return False

    def accept_blocking(self, seconds=4.0) -> PlainPeer:
        """Return the next connection; no greenlet runs while it waits."""
        self.sock.settimeout(seconds)
        self.peers.append(PlainPeer(sock=self.sock.accept()[0]))
        return self.peers[-1]

    def wait_for_connection(self) -> PlainPeer:
        """Return the next connection, while other greenlets run."""
        until(self.accept_if_waiting)
        return self.peers[-1]

    def close(self):
        for part in (self.sock, *self.fillers, *self.peers):
            part.close()
