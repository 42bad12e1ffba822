"""A platform controller on loopback, with its configuration, a fake resolver, fake streamers and viewers."""

import json
import os
import resource
import socket as plain
import subprocess
import sys
import time
from contextlib import suppress

import dns.flags
import dns.message
import dns.rrset
import gevent
from gevent import socket
from helpers import until

from herongap.daemon.listen import listen
from herongap.node.run import Node

OFFER = "0011223344556677\r\nc=IN IP4 10.0.0.1\r\nm=audio 1 RTP/AVP 0\r\n"
SETTINGS = {
    "Allowed": {"ConnIdle": 30000.0, "ConnectTimeout": 250.0, "MaxAttempts": 4, "MaxRetryAfter": 500.0,
                "Probes": False, "RetryAfter": True},
    "FamilyInfo": {"ClassFloor": [0, 1], "ClassScale": [1, 1], "KbPerWeight": 3000.0, "KindSlots": [2000],
                   "LadderKb": [100.0, 300.0, 900.0], "LevelWorth": [0.3, 0.6, 1.0], "Places": 3,
                   "RackLinkKb": 90000.0, "Racks": 2, "RefusesFrom": 1.2, "Seats": [0, 2], "ToldLate": 500.0},
    "FleetSize": 2,
    "Grades": [
        {"Aim": 540.0, "Credit": 1.0, "Deadline": 1800.0, "Idempotency": "pure", "Name": "standard"},
        {"Aim": 300.0, "Credit": 2.0, "Deadline": 1400.0, "Idempotency": "pure", "Name": "priority"},
    ],
    "Invariants": {"FallMultiple": 2.5, "LookBack": 5000.0, "MinExtra": 5.0, "RampTime": 12000.0,
                   "RepeatRatio": 0.1, "StartCapacity": 0.4},
    "Locality": "east", "Me": 0, "OverShareWorth": 0.1, "RegistryMode": "push", "Skus": ["std"],
    "Tenants": [{"Name": "acme"}],
}  # fmt: skip


def free_address() -> tuple[str, int]:
    """Return an address on which nothing listens."""
    sock = listen(("127.0.0.1", 0))
    try:
        return sock.getsockname()
    finally:
        sock.close()


class Peer:
    """A connection of JSON lines, read by a greenlet; `messages` are all that it received."""

    def __init__(self, sock):
        self.sock, self.messages, self.ended = sock, [], False
        gevent.spawn(self._read)

    def _read(self):
        rest = b""
        try:
            while data := self.sock.recv(65536):
                *lines, rest = (rest + data).split(b"\n")
                self.messages += [json.loads(line) for line in lines if line]
        except OSError:
            pass
        self.ended = True

    def send(self, **message):
        self.send_raw(json.dumps({"f": {}, **message}).encode() + b"\n")

    def send_raw(self, data: bytes):
        self.sock.sendall(data)

    def received(self, t: str, ref: str | None = None) -> list[dict]:
        """Return the received messages of type `t`, with the id `ref` if given."""
        return [message for message in self.messages if message["t"] == t and ref in (None, message["ref"])]

    def close(self):
        self.sock.close()


class FakeStreamer:
    """A streamer that calls `on_set_up(peer, message)` for each set-up; by default each viewing plays."""

    def __init__(self, address=("127.0.0.1", 0)):
        self.listener = listen(address)
        self.address = self.listener.getsockname()
        self.peers, self.on_set_up, self.set_ups = [], self.play, []
        self._greenlet = gevent.spawn(self._accept)

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            peer = Peer(sock)
            self.peers.append(peer)
            gevent.spawn(self._serve, peer)

    def _serve(self, peer):
        seen = 0
        while not (peer.ended and seen == len(peer.messages)):
            for message in peer.messages[seen:]:
                seen += 1
                if message["t"] == "hb":
                    peer.send(t="hb_ok", ref=message["ref"], c=1)
                elif message["t"] == "new":
                    self.set_ups.append(message)
                    self.on_set_up(peer, message)
            gevent.sleep(0.002)

    def play(self, peer, message):
        """Answer that the viewing plays."""
        peer.send(t="up", ref=message["ref"], d="answer to " + message["ref"])

    def received_count(self, t: str, ref: str) -> int:
        """Return how many messages of that type and id came, on all connections."""
        return sum(len(peer.received(t, ref)) for peer in self.peers)

    def kill(self):
        """Stop like a killed process: the listener is closed and open connections are reset."""
        self.listener.close()
        self._greenlet.kill(block=False)
        for peer in self.peers:
            peer.sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            peer.close()

    def close(self):
        self.listener.close()
        for peer in self.peers:
            peer.close()


class FakeResolver:
    """Answers with `world.streamers`; `filter_answer` returns an answer's bytes to send, None to drop it.

    Each answer holds the list of the moment at which it is sent, `delay` seconds after the query; `sent` has
    that time, the list's serial and the peer.
    """

    def __init__(self, world):
        self.world, self.filter_answer, self.query_count, self.serial = world, lambda data: data, 0, 1
        self.delay, self.sent = 0.0, []
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        gevent.spawn(self._run)

    def _run(self):
        while True:
            try:
                data, peer = self.sock.recvfrom(4096)
            except OSError:
                return
            self.query_count += 1
            if self.delay:
                gevent.spawn_later(self.delay, self._send_answer, data, peer)
            else:
                self._send_answer(data, peer)

    def _send_answer(self, query: bytes, peer):
        out = self.filter_answer(self.answer(query))
        if out is not None:
            self.sent.append((time.monotonic(), self.serial, peer))
            with suppress(OSError):  # closed meanwhile
                self.sock.sendto(out, peer)

    def answer(self, data: bytes) -> bytes:
        """Return the answer to a query."""
        query = dns.message.from_wire(data)
        response = dns.message.make_response(query)
        name = query.question[0].name
        world = self.world
        soa = f"ns.fleet.local. op.fleet.local. {self.serial} 1 1 1 1"
        response.authority.append(dns.rrset.from_text("fleet.local.", 0, "IN", "SOA", soa))
        for i, (sid, streamer) in enumerate(world.streamers.items()):
            host, priority = f"{sid}.east.hosts.", int(sid in world.draining)
            text = f'"kind=std" "cell={i}" "started={world.started.get(sid, 0)}"'
            port = streamer.address[1]
            response.answer += [dns.rrset.from_text(name, 0, "IN", "SRV", f"{priority} 40 {port} {host}")]
            response.additional += [
                dns.rrset.from_text(host, 0, "IN", "A", "127.0.0.1"),
                dns.rrset.from_text(host, 0, "IN", "TXT", text),
            ]
        return response.to_wire(max_size=8000)

    def close(self):
        self.sock.close()


class World:
    """One controller with `streamers` fake streamers, all of which hold every title."""

    def __init__(self, folder, streamers=3, sockets=256, clock=None, **settings):
        self.streamers = {f"s-{i:08x}": FakeStreamer() for i in range(streamers)}
        self.draining, self.started = set(), {}
        self.resolver = FakeResolver(self)
        self.address = free_address()
        self.path = folder / "config.json"
        self.settings, self.sockets = SETTINGS | settings, sockets
        self.peers, self.clock = [], clock
        self.configure(self.resolver.address)
        self.next_ref = 0
        self.start()

    def start(self):
        """Start the controller."""
        self.node = Node(str(self.path), self.clock)
        self.node.start()

    def configure(self, resolver_address):
        """Write the configuration file."""
        servers = [
            {"id": sid, "addr": "{}:{}".format(*streamer.address), "zone": "east", "kind": "std", "cell": i,
             "state": "Ready", "weight": 4, "started_ms": 0}
            for i, (sid, streamer) in enumerate(self.streamers.items())
        ]  # fmt: skip
        event = {"cursor": 1, "nodes": {"version": 1, "full": True, "servers": servers}}
        self.path.write_text(json.dumps({
            "name": "n0", "listen": "{}:{}".format(*self.address), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.sockets},
            "names": "{}:{}".format(*resolver_address), "known": {"cursor": 1, "cmds": [event]},
            "settings": self.settings,
        }))  # fmt: skip

    def viewer(self) -> Peer:
        """Open a connection of a viewer."""
        self.peers.append(Peer(socket.create_connection(self.address)))
        return self.peers[-1]

    def request_viewing(self, peer, ref=None, d=OFFER, **fields) -> str:
        """Send a set-up and return its id; a field that is None is left out."""
        self.next_ref += 1
        ref = ref or f"{self.next_ref:016x}"
        f = {"class": "standard", "left": "1500", "tenant": "acme", "key": "7f3a9c21e0b4d655",
             "extras": "home:0;copies:3;top:2;viewer:00000000b4d65521"}  # fmt: skip
        peer.send(
            t="new",
            ref=ref,
            f={name: value for name, value in (f | fields).items() if value is not None},
            d=d,
        )
        return ref

    def until(self, condition, seconds=3.0):
        """Wait until the condition holds, for at most `seconds`."""
        until(condition, seconds)

    def close(self):
        for part in (*self.peers, *self.streamers.values(), self.resolver):
            part.close()
        self.node.close()


class ProcessWorld(World):
    """The same with the controller in its own process, whose descriptors are limited to `sockets`."""

    def start(self):
        self.log = open(self.path.with_name("log"), "w+")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, "-m", "herongap.node"],
            env=os.environ | {"PROXY_CONFIG": str(self.path)},
            stderr=self.log,
            stdout=self.log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
        )
        until(lambda: self.log_lines("ready"), 30.0)

    def log_lines(self, event: str) -> list[dict]:
        """Return the lines of the controller's log with that event."""
        lines = self.path.with_name("log").read_text().splitlines()
        return [entry for entry in map(json.loads, lines) if entry["event"] == event]

    def close(self):
        self.process.kill()
        self.process.wait()
        self.log.close()
        for part in (*self.peers, *self.streamers.values(), self.resolver):
            part.close()
