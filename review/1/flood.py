"""A bad client: hundreds of set-ups of a class that does not exist at once, and each again when turned away.

    flood.py HOST PORT SECONDS

It has at most `WINDOW` set-ups without an answer, sends at full speed and reads whatever it is sent.
Prints what it sent and received.
"""

import json
import random
import socket
import sys
import time

WINDOW = 500


def set_up() -> bytes:
    """Encode a set-up whose class does not exist."""
    f = {"class": "gratis", "left": "5000", "tenant": "persbureau-noord", "key": "7f3a9c21e0b4d655",
         "extras": "home:1;copies:3;top:2;viewer:00000000b4d65521"}  # fmt: skip
    d = "0011223344556677\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
    return json.dumps({"t": "new", "ref": f"{random.getrandbits(64):016x}", "f": f, "d": d}).encode() + b"\n"


def main(host: str, port: str, seconds: str) -> None:
    stock = [set_up() for _ in range(WINDOW)]
    sent = answered = 0
    until = time.monotonic() + float(seconds)
    first = None
    with socket.create_connection((host, int(port))) as sock:
        sock.settimeout(0.5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while time.monotonic() < until:
            if room := WINDOW - (sent - answered):
                sock.sendall(b"".join(stock[(sent + i) % WINDOW] for i in range(room)))
                sent += room
            try:
                data = sock.recv(1 << 18)
            except TimeoutError:
                continue
            if not data:
                break
            if first is None:
                first = data.partition(b"\n")[0].decode()
            answered += data.count(b"\n")
    print(json.dumps({"sent": sent, "answered": answered, "first_answer": first}))


if __name__ == "__main__":
    main(*sys.argv[1:])
