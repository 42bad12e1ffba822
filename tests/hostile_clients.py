"""Clients that harm a server, run as a process of their own: `hostile_clients.py CLIENT HOST PORT SECONDS`.

Each function in `CLIENTS` is one kind. They send to one address for the given time and then end; the last
line that they print is what they counted, as JSON.
"""

import json
import os
import selectors
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import count

WINDOW = 500  # messages without an answer that a client may have on its way
CROWD = 600  # connections of a client that opens hundreds
DESCRIPTION = "0011223344556677\r\nc=IN IP4 10.0.0.1\r\nm=audio 1 RTP/AVP 0\r\n"
MAX_LINE_BYTES = 16384
RECEIVE_BYTES = 1 << 18
# Each process comes from an address of its own, as servers limit the connections of one peer.
SOURCE = f"127.1.{os.getpid() % 250}.1", 0

Address = tuple[str, int]


def encode(**message) -> bytes:
    """Encode one message of the platform."""
    return json.dumps({"f": {}, **message}).encode() + b"\n"


def set_up(number: int, description: str = DESCRIPTION, **fields) -> bytes:
    """Encode a set-up that is usable unless `fields` change that."""
    usable = {"class": "standard", "left": "1500", "tenant": "acme", "key": "7f3a9c21e0b4d655",
              "extras": "home:0;copies:3;top:2;viewer:00000000b4d65521"}  # fmt: skip
    return encode(t="new", ref=f"{number:016x}", d=description, f=usable | fields)


def with_many_fields(number: int) -> bytes:
    """Encode a message with as many short fields as fit into a line."""
    fields = ",".join(f'"{i:x}":{i % 10}' for i in range(1800))
    return b'{"t":"new","ref":"%016x","f":{%s}}\n' % (number, fields.encode())


# Messages that one client sends at full speed on one connection, by the number of the message.
MESSAGES: dict[str, Callable[[int], bytes]] = {
    "heartbeats": lambda n: encode(t="hb", ref=f"{n:016x}", c=0),
    "unknown_releases": lambda n: encode(t="down", ref=f"{n:016x}", c=16),
    "unknown_acknowledgements": lambda n: encode(t="ack", ref=f"{n:016x}"),
    "notes": lambda n: encode(t="tell", ref=f"{n:016x}", f={"note": "served", "value": "0.1"}),
    "new_classes": lambda n: set_up(n, **{"class": f"c{n}"}),
    "new_tenants": lambda n: set_up(n, tenant=f"t{n}"),
    "new_titles": lambda n: set_up(n, key=f"{n:016x}"),
    "long_descriptions": lambda n: set_up(n, description="x" * 15000),
    "cancelled": lambda n: set_up(n) + encode(t="down", ref=f"{n:016x}", c=16),
    "handed_over_and_ended": lambda n: (
        set_up(n, extras="home:0;copies:3;top:2;viewer:0b;at:s-00000000")
        + encode(t="down", ref=f"{n:016x}", c=16)
    ),
    "handed_over": lambda n: set_up(n, extras=f"home:0;copies:3;top:2;viewer:0b;at:s-0000000{n % 3}"),
    "unknown_streamers": lambda n: set_up(n, extras=f"home:0;copies:3;top:2;viewer:0b;at:s-{n:08x}"),
    "same_id": lambda n: set_up(1),
    "many_fields": with_many_fields,
    "unreadable": lambda n: b"{" * 100 + b"\n",
    "get": lambda n: b"GET /nothing HTTP/1.1\r\nHost: front\r\n\r\n",
    "get_new_names": lambda n: b"GET /%016x HTTP/1.1\r\nHost: front\r\n\r\n" % n,
    "dash_new_players": lambda n: b"GET /dash/1?session=%016x HTTP/1.1\r\nHost: front\r\n\r\n" % n,
    "delete_unknown": lambda n: b"DELETE /sessions/%016x HTTP/1.1\r\nHost: front\r\n\r\n" % n,
    "post_unsound": lambda n: post(b"v=0\r\n", n),
    "post_new_keys": lambda n: post(OFFER.replace(b"%USER%", b"u%07d" % (n % 10**7)), n),
}
OFFER = (
    b"v=0\r\no=- %USER% 2 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\n"
    b"m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=mid:0\r\na=recvonly\r\na=rtcp-mux\r\n"
    b"a=ice-ufrag:%USER%\r\na=ice-pwd:0123456789abcdef01234567\r\na=setup:actpass\r\n"
    b"a=fingerprint:sha-256 " + b":".join([b"AB"] * 32) + b"\r\na=rtpmap:96 VP8/90000\r\n"
)


def post(body: bytes, number: int) -> bytes:
    """Encode a POST of an offer with a new key."""
    return (
        b"POST /whep/1 HTTP/1.1\r\nHost: front\r\nContent-Type: application/sdp\r\n"
        b'Idempotency-Key: "%d"\r\nContent-Length: %d\r\n\r\n' % (number, len(body)) + body
    )


def flood(address: Address, seconds: float, message: Callable[[int], bytes]) -> dict[str, int]:
    """Send messages at full speed on one connection, and read all answers; connect again at its end."""
    numbers, counts, until = (
        count(0x7700_0000),
        {"sent": 0, "connections": 0, "answers": 0},
        end_after(seconds),
    )
    while time.monotonic() < until:
        with suppress(OSError), socket.create_connection(address, timeout=1.0) as sock:
            counts["connections"] += 1
            sock.setblocking(False)
            unsent, unanswered, silent_since = b"", 0, time.monotonic()
            with selectors.DefaultSelector() as selector:
                selector.register(sock, selectors.EVENT_READ)
                while time.monotonic() < until:
                    if len(unsent) < 65536 and (
                        unanswered < WINDOW or time.monotonic() - silent_since > 0.05
                    ):
                        batch = [message(next(numbers)) for _ in range(100)]
                        unsent, unanswered = unsent + b"".join(batch), unanswered + len(batch)
                        counts["sent"] += len(batch)
                    selector.modify(sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if unsent else 0))
                    for _, events in selector.select(0.05):
                        if events & selectors.EVENT_WRITE:
                            unsent = unsent[sock.send(unsent) :]
                        if events & selectors.EVENT_READ:
                            data = sock.recv(RECEIVE_BYTES)
                            if not data:
                                raise ConnectionResetError
                            silent_since = time.monotonic()
                            answers = (
                                data.count(b"\n") if b"HTTP/1.1" not in data else data.count(b"HTTP/1.1")
                            )
                            unanswered = max(0, unanswered - answers)
                            counts["answers"] += answers
    return counts


def end_after(seconds: float) -> float:
    """Return the time of the monotonic clock after so many seconds."""
    return time.monotonic() + seconds


class CrowdMember:
    """One of hundreds of connections; `chunks` are what it sends, each when its time has come."""

    def __init__(self, address: Address, chunks: Iterator[tuple[float, bytes]], small_buffer: bool):
        self.sock, self.chunks = socket.socket(), chunks
        if small_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.sock.settimeout(1.0)
        self.sock.bind(SOURCE)
        self.sock.connect(address)
        self.sock.setblocking(False)
        self.unsent, self.due = b"", 0.0

    def advance(self, reads: bool) -> bool:
        """Send what is due and read what has come; False once the connection has ended."""
        try:
            if reads and not self.sock.recv(RECEIVE_BYTES):
                return False
        except BlockingIOError:
            pass
        except OSError:
            return False
        if not self.unsent and time.monotonic() >= self.due:
            pause, self.unsent = next(self.chunks, (3600.0, b""))
            self.due = time.monotonic() + pause
        try:
            self.unsent = self.unsent[self.sock.send(self.unsent) :] if self.unsent else b""
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True


def crowd(
    address: Address,
    seconds: float,
    chunks: Callable[[int], Iterator[tuple[float, bytes]]],
    *,
    size: int = CROWD,
    reads: bool = True,
) -> dict[str, int]:
    """Keep hundreds of connections open, each of which sends its own chunks; replace those that end."""
    members: list[CrowdMember] = []
    counts, numbers, until = {"connections": 0, "ended": 0, "most": 0}, count(0x6600_0000), end_after(seconds)
    while time.monotonic() < until:
        opened = 0
        while len(members) < size and opened < 50 and time.monotonic() < until:
            opened += 1
            with suppress(OSError):
                members.append(CrowdMember(address, chunks(next(numbers)), small_buffer=not reads))
                counts["connections"] += 1
        counts["most"] = max(counts["most"], len(members))
        alive = [member for member in members if member.advance(reads)]
        for member in set(members) - set(alive):
            member.sock.close()
            counts["ended"] += 1
        members = alive
        time.sleep(0.005)
    for member in members:
        member.sock.close()
    return counts


def in_pieces(data: bytes, piece: int, pause: float) -> Iterator[tuple[float, bytes]]:
    """Yield data in pieces with a pause after each."""
    for i in range(0, len(data), piece):
        yield pause, data[i : i + piece]


HTTP_HEAD = b"POST /whep/1 HTTP/1.1\r\nHost: front\r\nContent-Type: application/sdp\r\n"
LARGE_BODY = HTTP_HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 65536
LARGE_HEAD = HTTP_HEAD + b"".join(b"%x:\r\n" % i for i in range(2500))
# What each connection of a crowd sends.
CROWDS: dict[str, Callable[[int], Iterator[tuple[float, bytes]]]] = {
    "slow_lines": lambda n: in_pieces(set_up(n, description="x" * 15000), 400, 0.05),
    "half_lines": lambda n: iter([(3600.0, set_up(n, description="x" * 15800)[:-20])]),
    "half_lines_after_message": lambda n: iter(
        [(0.1, encode(t="hb", ref=f"{n:016x}", c=0)), (3600.0, set_up(n, description="x" * 15800)[:-20])]
    ),
    "crowd_of_many_fields": lambda n: ((0.0, with_many_fields(n)) for _ in count()),
    "crowd_of_heartbeats": lambda n: ((0.0, 100 * encode(t="hb", ref=f"{n:016x}", c=0)) for _ in count()),
    "slow_heads": lambda n: in_pieces(LARGE_HEAD, 100, 0.03),
    "half_heads": lambda n: iter([(3600.0, LARGE_HEAD[:16000])]),
    "half_bodies": lambda n: iter([(3600.0, LARGE_BODY[:-20])]),
    "slow_bodies": lambda n: in_pieces(LARGE_BODY, 1000, 0.06),
    "crowd_of_pages": lambda n: ((0.0, 20 * MESSAGES["get"](n)) for _ in count()),
    "crowd_of_players": lambda n: (
        (0.0, b"".join(MESSAGES["dash_new_players"](1000 * (1000 * n + i) + j) for j in range(20)))
        for i in count()
    ),
    "crowd_of_heads": lambda n: ((0.0, LARGE_HEAD[:15000] + b"\r\n") for _ in count()),
}
# The same for connections that never read what they are sent.
UNREAD: dict[str, Callable[[int], Iterator[tuple[float, bytes]]]] = {
    "unread_heartbeats": lambda n: ((0.0, 100 * encode(t="hb", ref=f"{n:016x}", c=0)) for _ in count()),
    "unread_refusals": lambda n: ((0.0, 20 * set_up(n, tenant="none")) for _ in count()),
    "unread_pages": lambda n: ((0.0, 20 * MESSAGES["get"](n)) for _ in count()),
}


def come_again(address: Address, seconds: float) -> dict[str, int]:
    """Request viewings and leave; come again with the same ids, at once and seconds later; wait at last."""
    refs, counts = [f"{0x4400_0000 + number:016x}" for number in range(20)], {"sent": 0, "up": 0, "down": 0}
    for pause, stays in ((0.1, 0.05), (seconds / 2, 0.05), (0.0, seconds / 2)):
        for position, ref in enumerate(refs):
            with socket.create_connection(address, timeout=2.0) as sock:
                sock.sendall(set_up(int(ref, 16)))
                counts["sent"] += 1
                time.sleep(stays / len(refs))
                if stays > 1:
                    answer = sock.recv(RECEIVE_BYTES)
                    counts["up" if b'"up"' in answer else "down"] += 1
                if position % 2:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        time.sleep(pause)
    return counts


def close_unread(address: Address, seconds: float) -> dict[str, int]:
    """Send many usable set-ups at once and close the connection before most of them can have been read."""
    numbers, counts, until = count(0x3300_0000), {"sent": 0, "connections": 0}, end_after(seconds)
    while time.monotonic() < until:
        with socket.create_connection(address, timeout=2.0) as sock:
            sock.sendall(b"".join(set_up(next(numbers)) for _ in range(300)))
            counts["sent"] += 300
            counts["connections"] += 1
            if counts["connections"] % 2:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        time.sleep(0.3)
    return counts


RESET_AT_CLOSE = b"\1\0\0\0\0\0\0\0"
OTHERS: dict[str, Callable[[Address, float], dict[str, int]]] = {
    "come_again": come_again,
    "close_unread": close_unread,
}


def run(client: str, address: Address, seconds: float) -> dict[str, int]:
    """Run one kind of client; return what it counted."""
    if client in OTHERS:
        return OTHERS[client](address, seconds)
    if client in MESSAGES:
        return flood(address, seconds, MESSAGES[client])
    if client in CROWDS:
        return crowd(address, seconds, CROWDS[client])
    return crowd(address, seconds, UNREAD[client], reads=False)


class HostileClient:
    """One kind of client in a process of its own."""

    def __init__(self, client: str, address: Address, seconds: float):
        command = [sys.executable, __file__, client, address[0], str(address[1]), str(seconds)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.counts: dict[str, int] = {}

    def is_running(self) -> bool:
        """Whether it still sends."""
        return self.process.poll() is None

    def finish(self) -> dict[str, int]:
        """Wait for its end; return what it counted."""
        output, _ = self.process.communicate(timeout=60.0)
        self.counts = json.loads(output.splitlines()[-1])
        return self.counts

    def close(self) -> None:
        """End it."""
        if self.is_running():
            self.process.kill()
            self.process.wait()


if __name__ == "__main__":
    kind, host, port, time_limit = sys.argv[1:]
    print(json.dumps(run(kind, (host, int(port)), float(time_limit))))
