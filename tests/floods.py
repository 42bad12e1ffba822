"""Clients that send at full speed, each from a thread of its own, and read what they are sent."""

import json
import select
import socket
import threading
import time
from contextlib import suppress
from itertools import count

from plain_peers import encode_line, set_up

WINDOW = 500  # messages without an answer that a client may have on its way


def unusable_set_up(number: int) -> bytes:
    """Encode a set-up of a class that does not exist."""
    return set_up(f"{number:016x}").replace(b'"standard"', b'"gratis"')


def usable_first(number: int) -> bytes:
    """Encode a usable set-up, after that only unusable ones."""
    return unusable_set_up(number) if number % 10_000 else set_up(f"{number:016x}")


class Flood:
    """Runs `clients` threads until it is closed; `message(number)` encodes what they send."""

    def __init__(self, address, message, clients=1):
        self.address, self.message, self.stopped = address, message, False
        self._numbers = count(0x7700_0000)
        self.sent = 0
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(clients)]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self.stopped:
            with suppress(OSError), socket.create_connection(self.address) as sock:
                self._use(sock)

    def _use(self, sock):
        """Keep `WINDOW` messages on their way until the connection ends."""
        stock = [self.message(next(self._numbers)) for _ in range(WINDOW)]
        sock.setblocking(False)
        unsent, unanswered = b"", 0
        while not self.stopped:
            if not unsent and unanswered <= WINDOW // 2:
                batch = stock[: WINDOW - unanswered]
                unsent, unanswered = b"".join(batch), unanswered + len(batch)
                self.sent += len(batch)
            readable, writable, _ = select.select([sock], [sock] if unsent else [], [], 0.1)
            if writable:
                unsent = unsent[sock.send(unsent) :]
            if readable:
                data = sock.recv(1 << 18)
                if not data:
                    return
                unanswered -= data.count(b"\n")

    def close(self):
        self.stopped = True
        for thread in self._threads:
            thread.join(5.0)


def release_unknown_viewings(address, seconds: float) -> None:
    """Send releases of viewings that nobody knows, at full speed; the controller answers none of them."""
    numbers, until = count(0x9900_0000), time.monotonic() + seconds
    with socket.create_connection(address) as sock:
        while time.monotonic() < until:
            refs = (f"{next(numbers):016x}" for _ in range(WINDOW))
            sock.sendall(b"".join(encode_line(t="down", ref=ref, c=16) for ref in refs))


def hand_over_unknown_viewings(address, streamer: str, number: int) -> None:
    """Hand over viewings that the streamer does not play, as a client may that knows its name."""
    extras = f"home:0;copies:3;top:2;viewer:00000000b4d65521;at:{streamer}"
    f = {"class": "standard", "left": "9007199254740991", "key": "7f3a9c21e0b4d655", "extras": extras}
    with socket.create_connection(address) as sock:
        for i in range(number):
            sock.sendall(encode_line(t="new", ref=f"{0x5500_0000 + i:016x}", d="", f=f))
        sock.sendall(encode_line(t="hb", ref="01", c=0))
        while b"hb_ok" not in sock.recv(1 << 18):
            continue  # until the controller has handled all that came before


def slowest_answer(world, seconds: float) -> float:
    """Have viewings set up one after the other for that long; return the longest wait for an answer."""
    viewer, longest, until = world.viewer(), 0.0, time.monotonic() + seconds
    while time.monotonic() < until:
        began = time.monotonic()
        ref = world.request_viewing(viewer)
        world.until(lambda: viewer.received("up", ref) or viewer.received("down", ref), 30.0)  # noqa: B023
        longest = max(longest, time.monotonic() - began)
    return longest


def peak_mb(w) -> float:
    """Return the most memory that the controller has had."""
    with open(f"/proc/{w.process.pid}/status") as file:
        (peak_kb,) = [int(line.split()[1]) for line in file if line.startswith("VmHWM")]
    return peak_kb / 1024


def limit_mb(w) -> float:
    """Return the memory over which the platform kills the controller."""
    return json.loads(w.path.read_text())["limits"]["memory_mb"]
