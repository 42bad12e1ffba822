"""A fake streamer: WHIP and WHEP resources, layers, event stream, load reports, and fault injection."""

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

HEARTBEAT_INTERVAL_SECONDS = 0.8  # of an event stream
HANG_SECONDS = 600.0  # longest time that a request is left unanswered
RECONNECT_GRACE_SECONDS = 2.0  # for a controller whose event stream has closed
SHORT_DELIVERY_SHARE = 0.98  # a lower share is reported
FINGERPRINT = ":".join(["5E"] * 32)


class Streamer:
    """A fake streamer that listens on loopback. `titles` are the titles that it has, None for all."""

    def __init__(
        self,
        pool,
        name: str,
        zone: str,
        rack: str,
        titles=None,
        started: float | None = None,
        address=("127.0.0.1", 0),
    ):
        self.pool, self.name, self.zone, self.titles = pool, name, zone, titles
        self.kind, self.log, self.clock = pool.kind, pool.log, pool.clock
        self.machine = Machine(pool.kind, name, zone, pool.rack(rack), started)
        self.streams: dict[str, list[Queue]] = {}
        self.boot = self.session_count = 0
        self._share_was_short = False
        self.segments = Segments(self)
        self.address = address
        pool.add(self)
        self.up()

    @property
    def faults(self) -> dict[str, dict]:
        """The active faults by name."""
        return self.machine.faults

    @property
    def sessions(self) -> dict[str, Session]:
        """The sessions by name."""
        return self.machine.sessions

    # Process.

    def up(self) -> None:
        """Starts the process: listens for HTTP, and for consent checks on a UDP port."""
        listener = listen(self.address)
        self.address = listener.getsockname()
        self.server = Server(listener, self.handle, ProcessLimits(idle_seconds=120.0, body=1 << 20))
        self.media = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.media.bind(("127.0.0.1", 0))
        self.boot += 1
        self.stopped = Event()
        self._greenlets = [gevent.spawn(self._answer_consent), gevent.spawn(self._report_load)]
        self.running = True
        self.log(self.name, "up", boot=self.boot, cold=self.machine.started is not None)

    def die(self) -> None:
        """Ends the process: its connections are reset and its sessions are lost."""
        if not self.running:
            return
        self.running = False
        self.log(self.name, "down")
        for session in list(self.sessions.values()):
            self.end(session, "died", notify=False)
        self.stopped.set()
        self.server.close()
        self.media.close()
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        self.streams.clear()

    def order(self, order: dict) -> None:
        """Carries out an order: a fault begins or ends, or the process starts or stops."""
        if order["do"] == "fronts":
            self.segments.controllers = [tuple(address) for address in order["at"]]
            return
        if order["do"] == "die":
            self.die()
        self.machine.apply_command(self.clock(), order)
        if order["do"] == "start" and not self.running:
            self.up()

    def sweep(self, now: float) -> None:
        """Ends the sessions whose viewers have left or never joined."""
        kind = self.kind
        for session in list(self.sessions.values()):
            # A viewer that has not joined yet has `join_wait` from the start of the session.
            last_consent = (
                session.began + kind.join_wait - kind.consent if session.consent is None else session.consent
            )
            if now - last_consent > kind.consent:
                self.end(session, "viewer-gone")

    # Faults.

    def _hang(self, peer: Peer, identity: str = "") -> None:
        """Leaves the request unanswered until the caller hangs up."""
        peer.wait(self.stopped, HANG_SECONDS)
        if identity:
            self.log(self.name, "hung-up", identity=identity)
        raise PeerDisconnectedError

    # HTTP.

    def handle(self, request: Request, peer: Peer) -> Reply:
        """Handles one request. The last entry of its Via header is the name of the controller."""
        controller = request.headers.get("via", "").split(" ")[-1]
        path = request.path
        if len(path) == 2 and path[0] in ("whip", "whep", "dash") and request.method == "POST":
            return self._post(path[0], path[1], request, peer, controller)
        if len(path) == 5 and path[0] == "dash" and request.method == "GET":
            return self.segments.serve(path, request, peer)
        if self.machine.muted(controller):
            if request.method == "DELETE" and len(path) > 1 and (target := self.sessions.get(path[1])):
                self.log(self.name, "let-go", identity=target.identity, session=target.name)
            self._hang(peer)
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
            self.end(session, "deleted", notify=False)
            return Reply(200)
        return problem("bad-method")

    def _post(self, protocol: str, title: str, request: Request, peer: Peer, controller: str) -> Reply:
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
            front=controller,
            title=title,
            rung=int(layer),
            cold=self.machine.warmth(self.clock()) < 1,
        )
        limit = self.machine.register_set_up(self.clock())
        if limit is not None:
            self.log(self.name, "fell", set_ups=len(self.machine.set_ups), most=limit)
        if self.machine.muted(controller):
            self._hang(peer, identity)
        if self.titles is not None and title not in self.titles:
            return self._reject(identity, problem("no-such-title"))
        delay = self.pool.random.uniform(*self.kind.set_up)
        if slow := self.faults.get("slow"):
            delay += slow["by"]
        if not self._delay(peer, delay, identity):
            raise PeerDisconnectedError
        if (failure := self.faults.get("fail")) and self.pool.random.random() < failure.get("part", 1.0):
            return self._reject(identity, problem("internal"))
        if self.machine.overloaded or not self.running:
            return self._reject(identity, problem("internal", "fell over"))
        if self.machine.full():
            return self._reject(identity, problem("blocked"), self._load_header())
        viewing = request.headers.get("idempotency-key", "").strip('"')
        return self._start(offer, identity, title, int(layer), controller, protocol, peer, viewing)

    def _delay(self, peer: Peer, delay: float, identity: str) -> bool:
        if peer.wait(self.stopped, delay) or peer.gone:
            self.log(self.name, "hung-up", identity=identity)
            return False
        return True

    def _reject(self, identity: str, reply: Reply, *headers) -> Reply:
        self.log(self.name, "refused", identity=identity, status=reply.status)
        return reply._replace(headers=(*reply.headers, *headers))

    def _start(self, offer, identity, title, rung, controller, protocol, peer, viewing) -> Reply:
        self.session_count += 1
        name = f"{self.boot}-{self.session_count}"
        session, text, tag = Session(name, identity, title, rung, controller, self.clock()), "{}", f'"{name}"'
        if offer is None:
            self.segments.by_viewing[viewing] = session
        else:
            local = self._endpoint(0)
            try:
                text = create_answer(offer, local)
            except SdpError as error:
                return self._reject(identity, problem("offer-refused", str(error)))
            session.resource = SessionResource(name, offer.identity[1], local)
            tag = session.resource.etag
        self.machine.start_session(self.clock(), session)
        self.log(
            self.name, "started", identity=identity, session=name, front=controller, title=title, rung=rung
        )
        if "lose" in self.faults:
            # The session runs but its answer is lost. The caller cannot tell this from a set-up that failed.
            self.log(self.name, "unanswered", identity=identity, session=name)
            with suppress(OSError):
                # Lingering for 0 s makes the close reset the connection.
                peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                peer.sock.close()
            raise PeerDisconnectedError
        links = [link(f"/r/{name}/layer", LAYERS_EXTENSION)]
        if protocol != "whip":
            links.append(
                link(
                    f"/events/{controller or '-'}",
                    EVENTS_EXTENSION,
                    events="active,inactive,layers,viewercount",
                )
            )
        return created_reply(f"/r/{name}", tag, text.encode(), [*links, self._load_header()])

    def _endpoint(self, restart: int) -> Endpoint:
        number = f"{self.session_count}x{restart}"
        host, port = self.media.getsockname()
        return Endpoint(
            f"s{number}{self.name}",
            f"{number:x<24}",
            FINGERPRINT,
            host,
            port,
            self.boot * 1_000_000 + self.session_count,
        )

    def _load_header(self) -> tuple[str, str]:
        return LOAD_HEADER, write_load(self.machine.load_report())

    def _layer(self, session: Session, request: Request) -> Reply:
        try:
            rung = read_layer(request.body, len(self.kind.ladder))
        except ValueError as error:
            return problem("bad-request", str(error))
        self.log(self.name, "rung", identity=session.identity, session=session.name, rung=rung)
        self.machine.change_rung(self.clock(), session, rung)
        return Reply(200)

    def end(self, session: Session, reason: str, notify: bool = True) -> None:
        """Ends a session, and notifies its controller unless the controller requested this."""
        if (usage := self.machine.end_session(self.clock(), session)) is None:
            return
        self.log(
            self.name,
            "ended",
            identity=session.identity,
            session=session.name,
            reason=reason,
            seconds=round(usage[0], 2),
            earned=round(usage[1], 3),
            joined=session.consent is not None,
        )
        if notify:
            self._send_event("inactive", {"resource": f"/r/{session.name}", "reason": reason}, session.front)

    # Event streams, one for each controller.

    def _events(self, path: list[str], request: Request, peer: Peer) -> Reply:
        if len(path) == 2 and request.method == "POST":
            if not any(session.front == path[1] for session in self.sessions.values()):
                return problem("no-such-session")
            return Reply(201, (("Location", f"/events/{path[1]}/{self.boot}"),))
        if len(path) == 3 and request.method == "GET" and path[2] == str(self.boot):
            return Reply(200, (("Content-Type", "text/event-stream"),), self._stream(path[1], self.boot))
        return problem("no-such-session")

    def _stream(self, controller: str, boot: int):
        queue = Queue()
        self.streams.setdefault(controller, []).append(queue)
        try:
            yield HEARTBEAT
            while self.running and self.boot == boot:
                try:
                    chunk = queue.get(timeout=HEARTBEAT_INTERVAL_SECONDS)
                except Empty:
                    chunk = HEARTBEAT
                if not self.machine.muted(controller):
                    yield chunk
        finally:
            # A controller whose stream has closed counts as gone: its sessions end unless it reconnects
            # within `RECONNECT_GRACE_SECONDS`.
            if queue in self.streams.get(controller, ()):
                self.streams[controller].remove(queue)
            if self.running and self.boot == boot:
                gevent.spawn_later(RECONNECT_GRACE_SECONDS, self._controller_gone, controller, boot)

    def _controller_gone(self, controller: str, boot: int) -> None:
        if (
            self.running
            and self.boot == boot
            and not self.streams.get(controller)
            and not self.machine.muted(controller)
        ):
            for session in [session for session in self.sessions.values() if session.front == controller]:
                self.end(session, "front-gone")

    def _send_event(self, name: str, data: dict, controller: str | None = None) -> None:
        for recipient, queues in self.streams.items():
            if controller in (None, recipient):
                for queue in queues:
                    queue.put(write_event(name, data))

    def _send_report(self, name: str, data: dict) -> None:
        loss = self.faults.get("notes_lost")
        if loss is None or self.pool.random.random() >= loss["part"]:
            self._send_event(name, data)

    def _report_load(self) -> None:
        """Reports the load every `tell` seconds, and the delivered share each second while it is below
        `SHORT_DELIVERY_SHARE` and once after it has recovered.
        """
        next_load = self.clock() + self.pool.random.uniform(0, self.kind.tell)
        while True:
            gevent.sleep(1.0)
            delay = self.kind.told_late + self.faults.get("late", {}).get("by", 0.0)
            now = self.clock()
            share = self.machine.share_at(now - delay)
            if share < SHORT_DELIVERY_SHARE or self._share_was_short:
                self._send_report("delivery", {"share": round(share, 4)})
            self._share_was_short = share < SHORT_DELIVERY_SHARE
            if now >= next_load:
                next_load = now + self.kind.tell
                load = self.machine.load_report(now - delay)
                self._send_report("load", {"link": round(load.link, 4), "rack": round(load.rack, 4)})

    def _answer_consent(self) -> None:
        while True:
            try:
                packet, sender = self.media.recvfrom(2048)
            except OSError:
                return  # the process has ended
            message = stun.read(packet)
            if (
                message is None
                or message[0] != stun.BINDING_REQUEST
                or "silent" in self.faults
                or "hang" in self.faults
            ):
                continue
            ufrag = message[2].partition(":")[0]
            for session in self.sessions.values():
                if session.resource and session.resource.local.ufrag == ufrag:
                    session.consent = self.clock()
                    self.media.sendto(stun.success(message[1]), sender)
                    break


def run_orders(pool, lines) -> None:
    """Carries out orders, one JSON object a line, until the end of input."""
    for line in lines:
        pool.carry_out(json.loads(line))
