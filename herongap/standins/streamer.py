"""One stand-in streamer: WHIP and WHEP resources, layers, event stream, load, and faults set while it
runs.
"""

import json
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event
from gevent.queue import Empty, Queue

from herongap.daemon.http_connection import Peer, PeerDisconnectedError, Server
from herongap.daemon.listen import listen
from herongap.fleet.machine import Machine, Session
from herongap.http import SDP, Reply, Request, link, problem
from herongap.orca import LOAD_HEADER, write_load
from herongap.overload import ProcessLimits
from herongap.sdp import Endpoint, SdpError, create_answer
from herongap.standins import stun
from herongap.standins.segments import Segments
from herongap.whep import read_layer, write_event
from herongap.whep.events import HEARTBEAT
from herongap.whip import EVENTS_EXTENSION, LAYERS_EXTENSION, SessionResource, check_offer, created_reply

BEAT = 0.8  # seconds between heartbeats of an event stream
FINGERPRINT = ":".join(["5E"] * 32)


class Streamer:
    """Listens on loopback; `titles` names what it holds, None for everything."""

    def __init__(
        self,
        farm,
        name: str,
        zone: str,
        rack: str,
        titles=None,
        started: float | None = None,
        address=("127.0.0.1", 0),
    ):
        self.farm, self.name, self.zone, self.titles = farm, name, zone, titles
        self.kind, self.log, self.clock = farm.kind, farm.log, farm.clock
        self.machine = Machine(farm.kind, name, zone, farm.rack(rack), started)
        self.streams: dict[str, list[Queue]] = {}
        self.boot = self.count = 0
        self._short = False
        self.segments = Segments(self)
        self.address = address
        farm.add(self)
        self.up()

    @property
    def faults(self) -> dict[str, dict]:
        return self.machine.faults

    @property
    def sessions(self) -> dict[str, Session]:
        return self.machine.sessions

    # Its process.

    def up(self) -> None:
        """Start the process: listen for HTTP, and for consent on UDP of the same address."""
        listener = listen(self.address)
        self.address = listener.getsockname()
        self.server = Server(listener, self.handle, ProcessLimits(idle_seconds=120.0, body=1 << 20))
        self.media = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.media.bind(("127.0.0.1", 0))
        self.boot += 1
        self.cut_off = Event()
        self._greenlets = [gevent.spawn(self._consent), gevent.spawn(self._report)]
        self.running = True
        self.log(self.name, "up", boot=self.boot, cold=self.machine.started is not None)

    def die(self) -> None:
        """The process ends: connections are reset, what it played is gone."""
        if not self.running:
            return
        self.running = False
        self.log(self.name, "down")
        for session in list(self.sessions.values()):
            self.end(session, "died", tell=False)
        self.cut_off.set()
        self.server.close()
        self.media.close()
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        self.streams.clear()

    def order(self, order: dict) -> None:
        """A fault begins or ends, or the process comes or goes."""
        if order["do"] == "fronts":
            self.segments.fronts = [tuple(address) for address in order["at"]]
            return
        if order["do"] == "die":
            self.die()
        self.machine.apply_command(self.clock(), order)
        if order["do"] == "start" and not self.running:
            self.up()

    def sweep(self, now: float) -> None:
        """End the sessions whose viewers are no longer there, or never came."""
        k = self.kind
        for s in list(self.sessions.values()):
            last = s.began + k.join_wait - k.consent if s.consent is None else s.consent
            if now - last > k.consent:
                self.end(s, "viewer-gone")

    # Faults.

    def _stand_still(self, peer: Peer, identity: str = "") -> None:
        """Take and never answer, until the caller hangs up."""
        peer.wait(self.cut_off, 600.0)
        if identity:
            self.log(self.name, "hung-up", identity=identity)
        raise PeerDisconnectedError

    # HTTP.

    def handle(self, request: Request, peer: Peer) -> Reply:
        front = request.headers.get("via", "").split(" ")[-1]
        path = request.path
        if len(path) == 2 and path[0] in ("whip", "whep", "dash") and request.method == "POST":
            return self._post(path[0], path[1], request, peer, front)
        if len(path) == 5 and path[0] == "dash" and request.method == "GET":
            return self.segments.serve(path, request, peer)
        if self.machine.muted(front):
            if request.method == "DELETE" and len(path) > 1 and (asked := self.sessions.get(path[1])):
                self.log(self.name, "let-go", identity=asked.identity, session=asked.name)
            self._stand_still(peer)
        if request.method == "OPTIONS":
            return Reply(200, (("Accept-Post", SDP), self._load_header()))
        if path[0] == "events":
            return self._events(path, request, peer)
        session = self.sessions.get(path[1]) if path[0] == "r" and len(path) > 1 else None
        if session is None:
            return problem("no-such-session")
        if len(path) == 3 and path[2] == "layer" and request.method == "POST":
            return self._layer(session, request)
        if request.method == "PATCH" and session.resource:
            return session.resource.patch(request, self._endpoint(session.resource.restarts + 1))
        if request.method == "DELETE":
            self.log(self.name, "delete", identity=session.identity, session=session.name)
            self.end(session, "deleted", tell=False)
            return Reply(200)
        return problem("bad-method")

    def _post(self, protocol: str, title: str, request: Request, peer: Peer, front: str) -> Reply:
        if protocol == "dash":
            offer, identity = None, str(json.loads(request.body)["identity"])
        else:
            offer = check_offer(request, protocol)
            if isinstance(offer, Reply):
                return offer
            identity = " ".join(offer.identity)
        layer = request.query.get("layer", "0")
        self.log(
            self.name,
            "post",
            identity=identity,
            front=front,
            title=title,
            rung=int(layer),
            cold=self.machine.warmth(self.clock()) < 1,
        )
        most = self.machine.register_set_up(self.clock())
        if most is not None:
            self.log(self.name, "fell", set_ups=len(self.machine.set_ups), most=most)
        if self.machine.muted(front):
            self._stand_still(peer, identity)
        if self.titles is not None and title not in self.titles:
            return self._refuse(identity, problem("no-such-title"))
        delay = self.farm.random.uniform(*self.kind.set_up)
        if slow := self.faults.get("slow"):
            delay += slow["by"]
        if not self._pause(peer, delay, identity):
            raise PeerDisconnectedError
        if (bad := self.faults.get("fail")) and self.farm.random.random() < bad.get("part", 1.0):
            return self._refuse(identity, problem("internal"))
        if self.machine.overloaded or not self.running:
            return self._refuse(identity, problem("internal", "fell over"))
        if self.machine.full():
            return self._refuse(identity, problem("blocked"), self._load_header())
        named = request.headers.get("idempotency-key", "").strip('"')
        return self._start(offer, identity, title, int(layer), front, protocol, peer, named)

    def _pause(self, peer: Peer, delay: float, identity: str) -> bool:
        if peer.wait(self.cut_off, delay) or peer.gone:
            self.log(self.name, "hung-up", identity=identity)
            return False
        return True

    def _refuse(self, identity: str, reply: Reply, *headers) -> Reply:
        self.log(self.name, "refused", identity=identity, status=reply.status)
        return reply._replace(headers=(*reply.headers, *headers))

    def _start(self, offer, identity, title, rung, front, protocol, peer, named) -> Reply:
        self.count += 1
        name = f"{self.boot}-{self.count}"
        session, text, tag = Session(name, identity, title, rung, front, self.clock()), "{}", f'"{name}"'
        if offer is None:
            self.segments.by_viewing[named] = session
        else:
            me = self._endpoint(0)
            try:
                text = create_answer(offer, me)
            except SdpError as fault:
                return self._refuse(identity, problem("offer-refused", str(fault)))
            session.resource = SessionResource(name, offer.identity[1], me)
            tag = session.resource.etag
        self.machine.start_session(self.clock(), session)
        self.log(self.name, "started", identity=identity, session=name, front=front, title=title, rung=rung)
        if "lose" in self.faults:
            # The session runs, its answer never arrives: what the caller cannot tell from one that never ran.
            self.log(self.name, "unanswered", identity=identity, session=name)
            with suppress(OSError):
                peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                peer.sock.close()
            raise PeerDisconnectedError
        links = [link(f"/r/{name}/layer", LAYERS_EXTENSION)]
        if protocol != "whip":
            links.append(
                link(f"/events/{front or '-'}", EVENTS_EXTENSION, events="active,inactive,layers,viewercount")
            )
        return created_reply(f"/r/{name}", tag, text.encode(), [*links, self._load_header()])

    def _endpoint(self, restart: int) -> Endpoint:
        number = f"{self.count}x{restart}"
        host, port = self.media.getsockname()
        return Endpoint(
            f"s{number}{self.name}",
            f"{number:x<24}",
            FINGERPRINT,
            host,
            port,
            self.boot * 1_000_000 + self.count,
        )

    def _load_header(self) -> tuple[str, str]:
        return LOAD_HEADER, write_load(self.machine.load_report())

    def _layer(self, session: Session, request: Request) -> Reply:
        try:
            rung = read_layer(request.body, len(self.kind.ladder))
        except ValueError as fault:
            return problem("bad-request", str(fault))
        self.log(self.name, "rung", identity=session.identity, session=session.name, rung=rung)
        self.machine.change_rung(self.clock(), session, rung)
        return Reply(200)

    def end(self, session: Session, reason: str, tell: bool = True) -> None:
        """A session ends; its front hears of it where it did not ask for it."""
        if (got := self.machine.end_session(self.clock(), session)) is None:
            return
        self.log(
            self.name,
            "ended",
            identity=session.identity,
            session=session.name,
            reason=reason,
            seconds=round(got[0], 2),
            earned=round(got[1], 3),
            joined=session.consent is not None,
        )
        if tell:
            self._tell("inactive", {"resource": f"/r/{session.name}", "reason": reason}, session.front)

    # The event streams, one a front.

    def _events(self, path: list[str], request: Request, peer: Peer) -> Reply:
        if len(path) == 2 and request.method == "POST":
            if not any(s.front == path[1] for s in self.sessions.values()):
                return problem("no-such-session")
            return Reply(201, (("Location", f"/events/{path[1]}/{self.boot}"),))
        if len(path) == 3 and request.method == "GET" and path[2] == str(self.boot):
            return Reply(200, (("Content-Type", "text/event-stream"),), self._stream(path[1], self.boot))
        return problem("no-such-session")

    def _stream(self, front: str, boot: int):
        queue = Queue()
        self.streams.setdefault(front, []).append(queue)
        try:
            yield HEARTBEAT
            while self.running and self.boot == boot:
                try:
                    chunk = queue.get(timeout=BEAT)
                except Empty:
                    chunk = HEARTBEAT
                if not self.machine.muted(front):
                    yield chunk
        finally:
            # A front whose stream is gone is gone: what it held ends with it, unless it comes back at once.
            if queue in self.streams.get(front, ()):
                self.streams[front].remove(queue)
            if self.running and self.boot == boot:
                gevent.spawn_later(2.0, self._front_gone, front, boot)

    def _front_gone(self, front: str, boot: int) -> None:
        if (
            self.running
            and self.boot == boot
            and not self.streams.get(front)
            and not self.machine.muted(front)
        ):
            for session in [s for s in self.sessions.values() if s.front == front]:
                self.end(session, "front-gone")

    def _tell(self, name: str, data: dict, front: str | None = None) -> None:
        for to, queues in self.streams.items():
            if front in (None, to):
                for queue in queues:
                    queue.put(write_event(name, data))

    def _note(self, name: str, data: dict) -> None:
        lost = self.faults.get("notes_lost")
        if lost is None or self.farm.random.random() >= lost["part"]:
            self._tell(name, data)

    def _report(self) -> None:
        """Load every `tell` seconds; the share delivered each second while it is short, and once more
        after.
        """
        told = self.clock() + self.farm.random.uniform(0, self.kind.tell)
        while True:
            gevent.sleep(1.0)
            late = self.kind.told_late + self.faults.get("late", {}).get("by", 0.0)
            now = self.clock()
            share = self.machine.share_at(now - late)
            if share < 0.98 or self._short:
                self._note("delivery", {"share": round(share, 4)})
            self._short = share < 0.98
            if now >= told:
                told = now + self.kind.tell
                load = self.machine.load_report(now - late)
                self._note("load", {"link": round(load.link, 4), "rack": round(load.rack, 4)})

    def _consent(self) -> None:
        while True:
            try:
                packet, sender = self.media.recvfrom(2048)
            except OSError:
                return  # the process ended
            message = stun.read(packet)
            if message is None or message[0] != 0x0001 or "silent" in self.faults or "hang" in self.faults:
                continue
            mine = message[2].partition(":")[0]
            for session in self.sessions.values():
                if session.resource and session.resource.local.ufrag == mine:
                    session.consent = self.clock()
                    self.media.sendto(stun.success(message[1]), sender)
                    break


def run_orders(farm, lines) -> None:
    """Carry out orders, one JSON object a line, until the end of input."""
    for line in lines:
        farm.command(json.loads(line))
