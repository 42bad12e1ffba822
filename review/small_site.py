"""Stand-ins for the cases from 6 on: a small deployment on loopback with one controller of the deploy file.

The controller is a process of its own, started by the line `run` of deploy/balancer.toml. Resolver,
streamers and viewers are small stand-ins in this process. They keep to the protocol page; where it is silent
they behave like sound peers. Times are seconds of the Unix clock.
"""

import json
import os
import random
import shutil
import signal
import socket as plain
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

import dns.message
import dns.rrset
import gevent
from gevent import socket

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLACK_SECONDS = 0.05  # by which the protocol page extends every limit
OFFER = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


def settings(**more) -> dict:
    """The settings of a small deployment; the figures lie in the ranges of the given pages."""
    return {
        "Allowed": {"Cancelling": True, "ConnIdle": 30000.0, "ConnectTimeout": 250.0, "MaxAttempts": 5,
                    "MaxRetryAfter": 500.0, "PeerMessages": False, "Probes": False, "RetryAfter": True},
        "FamilyInfo": {"ClassFloor": [0, 1], "ClassScale": [0.7, 1.2], "IsLive": [False, False],
                       "JoinAdds": 1.0, "KbPerWeight": 9000.0, "KindSlots": [60],
                       "LadderKb": [159.0, 272.0, 467.0, 802.0, 1376.0],
                       "LevelWorth": [0.29, 0.49, 0.67, 0.84, 1.0], "Places": 4, "RackLinkKb": 90000.0,
                       "Racks": 2, "RefusesFrom": 1.2, "Seats": [0, 0], "Tell": 4000.0, "ToldLate": 910.0,
                       "TopByClass": [4, 4]},
        "FleetSize": 2,
        "Grades": [
            {"Aim": 1500.0, "Credit": 1.0, "Deadline": 5000.0, "Group": "all", "Idempotency": "pure",
             "Name": "standard", "Stream": True, "Window": 5000.0},
            {"Aim": 800.0, "Credit": 2.0, "Deadline": 4000.0, "Group": "all", "Idempotency": "pure",
             "Name": "priority", "Stream": True, "Window": 5000.0},
        ],
        "Invariants": {"AnswerSlack": 40.0, "DrainGrace": 250.0, "FallMultiple": 2.5, "LookBack": 5000.0,
                       "MinExtra": 5.0, "RampTime": 12000.0, "RepeatRatio": 0.1, "StartCapacity": 0.4,
                       "TipAfter": 1000.0},
        "Locality": "floor-1", "Me": 0, "OverShareWorth": 0.1, "Prices": {"Probe": 0.0},
        "RegistryMode": "push", "Report": {"Columns": ["x0", "x1"], "Via": "inline"}, "Skus": ["std-2c"],
        "Tenants": [{"Name": "persbureau-noord"}, {"Name": "fotohuis-zuid"}], "Zones": ["floor-1", "floor-2"],
    } | more  # fmt: skip


class Record:
    """The record of a case: what was sent, answered and run, each line with seconds since the start."""

    def __init__(self, path: Path):
        self.began = time.time()
        self.file = open(path, "w", buffering=1)  # noqa: SIM115

    def __call__(self, *parts) -> None:
        line = f"{time.time() - self.began:8.3f} " + " ".join(map(str, parts))
        self.file.write(line + "\n")


class Lines:
    """A connection of JSON lines that a greenlet reads; `on_message(self, message)`, `on_end(self)`."""

    def __init__(self, sock, on_message, on_end=None):
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        self.sock, self.on_message, self.on_end, self.ended = sock, on_message, on_end, False
        # What is sent on a connection whose path has died never arrives.
        self.lost = False
        self.reader = gevent.spawn(self._read)

    def _read(self) -> None:
        rest = b""
        with suppress(OSError):
            while data := self.sock.recv(65536):
                *lines, rest = (rest + data).split(b"\n")
                for line in filter(None, lines):
                    self.on_message(self, json.loads(line))
        self.ended = True
        if not self.lost:
            self.close()
        if self.on_end:
            self.on_end(self)

    def send(self, **message) -> bool:
        """Send a message; False if this side knows that the connection has ended."""
        if self.ended:
            return False
        if self.lost:
            return True
        try:
            self.sock.sendall(json.dumps({"f": {}} | message).encode() + b"\n")
        except OSError:
            return False
        return True

    def close(self, reset: bool = False) -> None:
        self.ended = True
        with suppress(OSError):
            if reset:
                self.sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.sock.close()


class Session:
    """A set-up at a streamer, and the session that stands afterwards."""

    def __init__(self, ref: str, connection: Lines, f: dict):
        self.ref, self.connection, self.f = ref, connection, f
        self.stands, self.over, self.began, self.ended_at = False, False, time.time(), None


class Streamer:
    """One streamer. `life(ref)` is how long a session stands; `delay` is the time of a set-up.

    It sends a session's release on the connection of its set-up, failing that on any open one, and also on
    the next connection that is opened.
    """

    def __init__(self, record: Record, name: str, address=("127.0.0.1", 0), life=None, delay=0.06):
        self.record, self.name, self.delay = record, name, delay
        self.life = life or (lambda ref: 30.0)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(256)
        self.address = self.listener.getsockname()
        self.connections: list[Lines] = []
        self.sessions: dict[str, Session] = {}
        self.to_repeat: list[dict] = []
        self.set_ups: list[tuple[float, str]] = []
        # `on_set_up(session)` may take a set-up over by returning True.
        self.on_set_up = lambda session: False
        self.opened = 0
        self.hung = False
        self.acceptor = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.opened += 1
            connection = Lines(sock, self._on_message, self._on_end)
            connection.number = self.opened
            self.connections.append(connection)
            self.record(self.name, "connection", connection.number, "opened")
            repeat, self.to_repeat = self.to_repeat, []
            for message in repeat:
                self.record(self.name, "sends again on connection", connection.number, message)
                connection.send(**message)

    def _on_end(self, connection: Lines) -> None:
        self.connections.remove(connection)
        self.record(self.name, "connection", connection.number, "ended")
        for session in list(self.sessions.values()):
            if session.connection is connection and not session.stands:
                self.sessions.pop(session.ref)  # the set-up is abandoned

    def _on_message(self, connection: Lines, message: dict) -> None:
        ref = message["ref"]
        if message["t"] == "hb":
            connection.send(t="hb_ok", ref=ref, c=1)
            return
        self.record(
            self.name, "got on connection", connection.number, message["t"], ref, message.get("c", "")
        )
        if message["t"] == "new":
            session = self.sessions[ref] = Session(ref, connection, message["f"])
            self.set_ups.append((time.time(), ref))
            if not self.on_set_up(session):
                gevent.spawn_later(self.delay, self.start, session)
        elif message["t"] == "down":
            session = self.sessions.pop(ref, None)
            connection.send(t="ack", ref=ref)
            if session and session.stands:
                self._release(session, 31)
        elif message["t"] == "ack":
            self.to_repeat = [entry for entry in self.to_repeat if entry["ref"] != ref]

    def start(self, session: Session) -> None:
        """Answer a set-up: the session stands."""
        if self.sessions.get(session.ref) is not session:
            return
        session.stands, session.began = True, time.time()
        self.record(self.name, "answers on connection", session.connection.number, session.ref)
        session.connection.send(
            t="up", ref=session.ref, d=f"{self.name} for {session.ref}\r\n", f={"load": "x0:0.2;x1:0.1"}
        )
        gevent.spawn_later(self.life(session.ref), self.end, session)

    def end(self, session: Session, cause: int = 16) -> None:
        """End a standing session."""
        if self.sessions.get(session.ref) is session:
            del self.sessions[session.ref]
            self._release(session, cause)

    def _release(self, session: Session, cause: int) -> None:
        session.over, session.ended_at = True, time.time()
        message = {"t": "down", "ref": session.ref, "c": cause, "f": {}}
        open_ones = [session.connection, *self.connections]
        used = next((c for c in open_ones if not c.ended and c.send(**message)), None)
        self.record(self.name, "releases", session.ref, "cause", cause, "on connection", used and used.number)
        self.to_repeat.append(message)

    def close(self, reset: bool = True) -> None:
        self.listener.close()
        self.acceptor.kill(block=False)
        for connection in list(self.connections):
            connection.close(reset)


class Resolver:
    """Answers each query with the whole list of the site."""

    def __init__(self, site: "Site"):
        self.site, self.silent, self.queries = site, False, 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.told: dict[int, float] = {}  # by number of the event: when an answer with it was sent first
        self.loop = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            try:
                data, peer = self.sock.recvfrom(4096)
            except OSError:
                return
            self.queries += 1
            if self.silent:
                continue
            site, query = self.site, dns.message.from_wire(data)
            response, name = dns.message.make_response(query), query.question[0].name
            soa = f"ns.fleet.local. op.fleet.local. {site.serial} 1 1 1 1"
            response.authority.append(dns.rrset.from_text("fleet.local.", 0, "IN", "SOA", soa))
            for entry in site.listed.values():
                host = f"{entry['id']}.{entry['zone']}.hosts."
                address, port = entry["addr"].split(":")
                priority = int(entry["state"] == "Terminating")
                text = f'"kind={entry["kind"]}" "cell={entry["cell"]}" "started={entry["started_ms"]}"'
                weight = entry["weight"] * 10
                response.answer.append(
                    dns.rrset.from_text(name, 0, "IN", "SRV", f"{priority} {weight} {port} {host}")
                )
                response.additional.append(dns.rrset.from_text(host, 0, "IN", "A", address))
                response.additional.append(dns.rrset.from_text(host, 0, "IN", "TXT", text))
            with suppress(OSError):
                self.sock.sendto(response.to_wire(max_size=8000), peer)
                self.told.setdefault(site.serial, time.time())


class Request:
    """A request of a viewer: when it was sent, its answers and releases with their times."""

    def __init__(self, ref: str, left: float, connection):
        self.ref, self.sent_at, self.left, self.connection = ref, time.time(), left, connection
        self.answers: list[tuple[float, dict]] = []
        self.releases: list[tuple[float, dict]] = []
        self.given_up = self.connection_lost = False

    @property
    def plays(self) -> bool:
        return bool(self.answers) and self.answers[0][1]["t"] == "up"


class Viewers:
    """The viewers' side: requests on a few connections, each of which many sessions share."""

    def __init__(self, site: "Site"):
        self.site, self.record, self.requests = site, site.record, {}
        self.random = random.Random(48)
        self.connections: list[Lines] = []

    def connect(self) -> Lines:
        sock = socket.create_connection(self.site.address, timeout=5)
        sock.settimeout(None)
        connection = Lines(sock, self._on_message, self._on_end)
        self.connections.append(connection)
        return connection

    def _on_end(self, connection: Lines) -> None:
        self.record("viewers: a connection ended")
        if connection in self.connections:
            self.connections.remove(connection)
        for request in self.requests.values():
            if request.connection is connection and not request.answers:
                request.connection_lost = True

    def _on_message(self, connection: Lines, message: dict) -> None:
        request = self.requests.get(message["ref"])
        if message["t"] in ("hb_ok", "ack", "wait") or request is None:
            return
        self.record("viewer", message["ref"], "got", message["t"], message.get("c", ""))
        if request.answers and request.plays and message["t"] in ("down", "shift"):
            request.releases.append((time.time(), message))
            connection.send(t="ack", ref=message["ref"])
        elif not request.given_up:
            request.answers.append((time.time(), message))

    def ask(
        self, connection: Lines, package="standard", left=5.0, title="7f3a9c21e0b4d655", **extras
    ) -> Request:
        """Send a request; extras name home, copies and top."""
        ref = f"{self.random.getrandbits(64):016x}"
        request = self.requests[ref] = Request(ref, left, connection)
        info = {"home": 0, "copies": 4, "top": 4, "viewer": ref} | extras
        f = {"class": package, "left": str(int(left * 1000)), "tenant": "persbureau-noord", "key": title,
             "extras": ";".join(f"{name}:{value}" for name, value in info.items())}  # fmt: skip
        self.record("viewer", ref, "asks for", package, "left", left, extras or "")
        connection.send(t="new", ref=ref, f=f, d=OFFER)
        return request

    def end(self, request: Request, connection: Lines | None = None) -> None:
        """The viewer gives its set-up up, or ends its session."""
        self.record("viewer", request.ref, "ends")
        request.given_up = True
        (connection or request.connection).send(t="down", ref=request.ref, c=16)


class Site:
    """One controller in a process of its own, and its peers."""

    def __init__(self, record: Path, streamers: int = 4, sockets: int = 256, **more):
        self.record = Record(record)
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.streamers: dict[str, Streamer] = {}
        self.listed: dict[str, dict] = {}
        self.serial = 1
        for cell in range(streamers):
            name = f"s-{0xC41F7A + 977 * cell:08x}"
            self.streamers[name] = Streamer(self.record, name)
            self.list_streamer(name, cell, "floor-1" if cell % 2 == 0 else "floor-2")
        self.resolver = Resolver(self)
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.address = sock.getsockname()
        self.sockets, self.settings, self.processes = sockets, settings(**more), []
        self.path = self.tmp / "config.json"
        self.process = None
        self.viewers = Viewers(self)

    def list_streamer(self, name: str, cell: int, zone: str, state="Ready", started=0.0) -> None:
        host, port = self.streamers[name].address
        self.listed[name] = {"id": name, "addr": f"{host}:{port}", "zone": zone, "kind": "std-2c",
                             "cell": cell, "state": state, "weight": 4,
                             "started_ms": int(started * 1000)}  # fmt: skip

    def drain(self, name: str) -> None:
        """Have a streamer drain: the list says so from now on."""
        self.listed[name]["state"] = "Terminating"
        self.serial += 1
        self.record(name, "drains, event", self.serial)

    def replace(self, name: str) -> None:
        """End a streamer, and start a new one in its place at another address."""
        entry = self.listed.pop(name)
        old = self.streamers.pop(name)
        for session in [s for s in old.sessions.values() if s.stands]:
            old.end(session, 41)
        old.close()
        new = f"s-{0xE00000 + self.serial:08x}"
        self.streamers[new] = Streamer(self.record, new, life=old.life, delay=old.delay)
        self.list_streamer(new, entry["cell"], entry["zone"], started=time.time())
        self.serial += 1
        self.record(name, "has gone,", new, "has started, event", self.serial)

    def configure(self) -> None:
        event = {"cursor": self.serial,
                 "nodes": {"version": self.serial, "full": True,
                           "servers": list(self.listed.values())}}  # fmt: skip
        self.path.write_text(json.dumps({
            "name": "n0", "listen": "{}:{}".format(*self.address), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "names": "{}:{}".format(*self.resolver.address),
            "known": {"cursor": self.serial, "cmds": [event]}, "settings": self.settings,
        }))  # fmt: skip

    def start(self, **environment) -> None:
        """Start the controller and wait until it passes a test."""
        self.configure()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = open(self.tmp / "log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=os.environ
            | {"PROXY_CONFIG": str(self.path), "PROXY_NAME": "n0", "TMPDIR": str(self.tmp)}
            | {"PROXY_LISTEN": "{}:{}".format(*self.address), "PYTHONDONTWRITEBYTECODE": "1"}
            | environment,
            stdout=self.log,
            stderr=self.log,
            stdin=subprocess.DEVNULL,
        )
        self.processes.append(self.process)
        self.record("controller started, pid", self.process.pid)
        passed, until = [], time.time() + 30
        while not passed:
            if time.time() > until or self.process.poll() is not None:
                raise RuntimeError("the controller does not become ready")
            with suppress(OSError):
                sock = socket.create_connection(self.address, timeout=1)
                sock.settimeout(None)
                test = Lines(sock, lambda connection, message: passed.append(message["c"] == 1))
                test.send(t="hb", ref="00000000000000aa", c=0)
                gevent.sleep(0.1)
                test.close()
            gevent.sleep(0.05)
        self.record("controller ready")

    def signal(self, number: int) -> None:
        self.record("controller gets signal", signal.Signals(number).name)
        self.process.send_signal(number)

    def wait_for(self, condition, seconds: float) -> bool:
        """Wait until the condition holds, for that time at most; whether it does."""
        until = time.time() + seconds
        while not condition():
            if time.time() >= until:
                return False
            gevent.sleep(0.005)
        return True

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                with suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.log.close()
        if keep := os.environ.get("KEEP_LOG"):
            shutil.copy(self.tmp / "log", keep)
        shutil.rmtree(self.tmp, ignore_errors=True)


def play(case, record: Path, **site_options) -> None:
    """Run a case and exit with its code; `case(site)` returns what broke the rule, or an empty list."""
    site, code = Site(record, **site_options), 2

    def stop() -> None:
        site.close()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop)
    try:
        with gevent.Timeout(110):
            broken = case(site)
        for line in broken:
            site.record("BROKEN:", line)
        crashed = site.process.poll()
        site.record("controller's exit code", crashed, "; rule", "broken" if broken else "held")
        print("broken: " + "; ".join(broken) if broken else "held")
        code = 1 if broken else 0
    except (Exception, gevent.Timeout) as error:
        site.record("the case could not run:", repr(error))
        print("could not run:", repr(error), file=sys.stderr)
    finally:
        site.close()
    os._exit(code)
