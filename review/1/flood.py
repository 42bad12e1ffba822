"""A bad client: hundreds of set-ups of a class that does not exist at once, and each again when turned away.

    flood.py HOST PORT SECONDS

It has at most `WINDOW` set-ups without an answer, sends at full speed and reads whatever it is sent. When its
connection is closed it comes again. Prints what it sent and received.
"""

import json
import random
import socket
import sys
import time
from contextlib import suppress

WINDOW = 500


def set_up() -> bytes:
    """Encode a set-up whose class does not exist."""
    f = {"class": "gratis", "left": "5000", "tenant": "persbureau-noord", "key": "7f3a9c21e0b4d655",
         "extras": "home:1;copies:3;top:2;viewer:00000000b4d65521"}  # fmt: skip
    d = "0011223344556677\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
    return json.dumps({"t": "new", "ref": f"{random.getrandbits(64):016x}", "f": f, "d": d}).encode() + b"\n"


def main(host: str, port: str, seconds: str) -> None:
    stock = [set_up() for _ in range(WINDOW)]
    until = time.monotonic() + float(seconds)
    report = {"connections": 0, "sent": 0, "answered": 0, "first_answer": None}
    while time.monotonic() < until:
        with suppress(OSError):
            connect(host, int(port), stock, until, report)
    print(json.dumps(report))


def connect(host: str, port: int, stock: list[bytes], until: float, report: dict) -> None:
    """Use one connection until its end; then the same begins again."""
    sent = answered = 0
    with socket.create_connection((host, port)) as sock:
        report["connections"] += 1
        sock.settimeout(0.5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while time.monotonic() < until:
            if room := WINDOW - (sent - answered):
                sock.sendall(b"".join(stock[(sent + i) % WINDOW] for i in range(room)))
                sent += room
                report["sent"] += room
            try:
                data = sock.recv(1 << 18)
            except TimeoutError:
                continue
            if not data:
                return
            report["first_answer"] = report["first_answer"] or data.partition(b"\n")[0].decode()
            answered += data.count(b"\n")
            report["answered"] += data.count(b"\n")


if __name__ == "__main__":
    main(*sys.argv[1:])
