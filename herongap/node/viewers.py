"""The viewers' side: connections on which set-ups come and answers leave. It carries; it decides nothing."""

from collections.abc import Callable
from contextlib import suppress

import gevent
import structlog

from herongap.host import Answer, Host
from herongap.interface import EndReason
from herongap.limiter import DOUBT, ConnectionLimiter
from herongap.node.connection import Connection
from herongap.platform import messages
from herongap.platform.launch import Launch
from herongap.platform.messages import Message, Unfit, Unreadable

log = structlog.get_logger()


class Session:
    """A viewing as its viewer's side has it: its connection, and what it offers until it plays."""

    __slots__ = ("conn", "offer", "reply", "answered", "mine")  # `reply`, once answered: until it has left

    def __init__(self, conn: Connection, offer: str):
        # The reply is kept apart: one that the host finds late must not be the offer of the next tune-in.
        self.conn, self.offer, self.reply, self.answered, self.mine = conn, offer, "", False, False


class Viewers:
    """All connections of viewers. `listener` is accepted from until `stop`."""

    def __init__(self, launch: Launch, host: Host, limiter: ConnectionLimiter, clock: Callable[[], float]):
        self.launch, self.host, self.limiter, self.clock = launch, host, limiter, clock
        self.sessions: dict[str, Session] = {}
        self.owed: dict[str, tuple[bytes, float]] = {}
        self.ended: dict[str, float] = {}  # releases of what is not held: its set-up with `at` may come later
        # Connections that are let go, and until when their peers may close them first.
        self.leaving: dict[Connection, float] = {}
        # Releases on their way: what a connection took along when it broke is told again on another.
        self.unheard: dict[str, tuple[Connection, bytes, float]] = {}
        self.connections: set[Connection] = set()
        # On which viewings have stood, the newest last; and on which set-ups were answered at all.
        self.trusted: dict[Connection, None] = {}
        self.served: dict[Connection, None] = {}
        self.ready = self.shutting_down = False
        self.listener = None

    def accept(self, listener) -> None:
        self.listener = listener
        while True:
            try:
                sock, peer = listener.accept()
            except OSError as fault:
                if listener.closed:
                    return
                # Out of descriptors: those that are held go on, and accepting is tried again.
                log.error("cannot accept connections", cause=str(fault))
                gevent.sleep(0.1)
                continue
            try:
                self._take(sock, peer)
            except OSError:
                continue  # reset before it was looked at

    def _take(self, sock, peer) -> None:
        conn = Connection(sock, peer[0], self._heard, self._lost, self._refuse)
        self.connections.add(conn)
        if victims := self.limiter.came(self.clock(), conn, Connection.quiet):
            for victim in victims:
                victim.close("shed")
            # Their descriptors are free only when they have ended: a crowd at the door must not outrun that.
            gevent.sleep(0)

    def pending(self) -> tuple[int, int, int]:
        """How many set-ups wait for an answer, connections hold something unread or unsent, viewings play."""
        waiting = sum(not session.answered for session in self.sessions.values())
        return waiting, sum(not conn.quiet() for conn in self.connections), len(self.sessions) - waiting

    def stop(self) -> None:
        """Take no more connections than the system has taken for us; set-ups are refused at once from now."""
        self.shutting_down = True
        if not self.listener or self.listener.closed:
            return
        self.listener.settimeout(0.0)
        with suppress(OSError):
            while True:
                self._take(*self.listener.accept())
        with suppress(OSError):
            self.listener.close()

    def leave(self) -> None:
        """Hear what has come to the last moment, and end every connection: nothing is owed on any by now."""
        for conn in list(self.connections):
            conn.look()
            conn.close("stopped")

    def tend(self) -> None:
        """Once in a short while: close what says nothing, drop what can no longer be told."""
        now = self.clock()
        for conn in self.limiter.overdue(now, Connection.quiet, Connection.half_line):
            if conn.behind:
                conn.deaf, conn.cause = True, "silent"
                self._let_go(conn)
            else:
                conn.close("silent")
        for conn, until in list(self.leaving.items()):
            # With all that was owed sent, its peer has a moment to close first, and read what is on its way.
            self.leaving[conn] = until = until if conn.behind else min(until, now + DOUBT)
            if until <= now:
                conn.close("not understood")
        for told in (self.owed, self.unheard):
            for ref in [ref for ref, entry in told.items() if entry[-1] <= now]:
                del told[ref]
        self.ended = {ref: until for ref, until in self.ended.items() if until > now}

    def look(self, ref: str) -> bool:
        """Hear what lies unread of whoever asked for a viewing that is set up; whether that was all of it."""
        session = self.sessions.get(ref)
        return session is None or session.conn is None or session.conn.look()

    # What viewers say.

    def _heard(self, conn: Connection, line: bytes) -> None:
        try:
            m = messages.read(line)
            if m.t == "new":
                self._new(conn, m)
            elif m.t == "down":
                self._down(conn, m)
            elif m.t == "hb":
                self._sound(conn)
                conn.send(messages.hb_ok(m.ref[:64], self.ready))
            elif m.t == "ack":
                self.unheard.pop(m.ref, None)
            elif m.t not in ("wait", "tell"):
                raise Unreadable(f"unknown message {m.t!r:.20}")
        except Unreadable as fault:
            self._refuse(conn, fault)

    def _refuse(self, conn: Connection, fault: Exception) -> None:
        """Nothing that follows there can be made out. What was taken on it has its answer first."""
        log.info("viewer not understood", peer=conn.peer, cause=str(fault)[:120])
        conn.deaf, conn.cause = True, str(fault)
        if self.limiter.of_use(conn):
            self._let_go(conn)
        else:
            conn.close(str(fault))  # nothing but noise, perhaps by the hundreds: free at once

    def _let_go(self, conn: Connection) -> None:
        open_here = (one for one in self.sessions.values() if one.conn is conn and not one.answered)
        if conn.half_closed or any(open_here):
            return
        conn.half_close()
        self.leaving[conn] = self.clock() + messages.OWED

    def _sound(self, conn: Connection) -> None:
        self.limiter.spoke(self.clock(), conn)

    def _new(self, conn: Connection, m: Message) -> None:
        if not messages.NAMES.fullmatch(m.ref):
            raise Unreadable("a set-up without an id")
        session = self.sessions.get(m.ref)
        try:
            ask, at = messages.asked(m, self.launch.terms)
            if at is not None:
                self._handed(conn, m, ask, at)
                return
            if session is not None and not session.answered and session.conn is not conn:
                # The same again after its connection has gone, which may lie unread.
                session.conn.look()
                session = self.sessions.get(m.ref)
            if session is not None:
                if session.conn is conn:
                    raise Unreadable("an id that is open already")
                raise Unfit("an id that is open elsewhere")
            if not m.d:
                raise Unfit("no description")
        except Unfit as fault:
            log.info("set-up refused", peer=conn.peer, cause=str(fault)[:120])
            conn.send(messages.down(m.ref, messages.FAILED))
            return
        self._sound(conn)
        if self.shutting_down or self.limiter.is_overloaded():
            conn.send(messages.down(m.ref, messages.BUSY, self.launch.charter.come_back))
            return
        now = self.clock()
        self.limiter.took(conn)
        self.sessions[m.ref] = Session(conn, m.d)
        self.host.asked(now, ask._replace(time_left=max(0.0, ask.time_left - messages.AHEAD)))

    def _handed(self, conn: Connection, m: Message, ask, at: str) -> None:
        if m.ref in self.sessions or m.ref in self.host.viewings:
            return
        self._sound(conn)
        session = self.sessions[m.ref] = Session(conn, "")
        session.answered = True
        self.trusted[conn] = None
        self._pay(conn)
        floor = next(p.floor for p in self.launch.charter.packages if p.name == ask.package)
        # One that has left is known to the module for a while yet, and nobody would hear of its end.
        if at not in self.host.port.upstreams or not self.host.adopted(self.clock(), ask, 0, at, floor):
            self.over(m.ref, EndReason.BROKEN)
        elif self.ended.pop(m.ref, None):
            # Its viewer has ended it, on another connection: that came first.
            session.mine = True
            self.host.left(self.clock(), m.ref)
        elif how := self.host.port.ended(m.ref, at):
            self.host.ended(self.clock(), m.ref, 0, how)

    def _down(self, conn: Connection, m: Message) -> None:
        self._sound(conn)
        if (session := self.sessions.get(m.ref)) is None:
            self.ended[m.ref[:64]] = self.clock() + messages.OWED
            return
        if not session.answered and session.conn is not conn:
            return  # only whoever asked may take it back
        session.mine = True
        conn.send(messages.ack(m.ref))
        self.host.left(self.clock(), m.ref)

    def _lost(self, conn: Connection) -> None:
        self.connections.discard(conn)
        self.leaving.pop(conn, None)
        self.trusted.pop(conn, None)
        self.served.pop(conn, None)
        self.limiter.went(conn)
        for ref, session in list(self.sessions.items()):
            if session.conn is not conn:
                continue
            if session.answered and not (session.reply and conn.unsent(session.reply)):
                session.conn = None  # a viewing that stands belongs to no connection
            elif ref in self.sessions:
                # Nobody is left to be answered, or the answer never left whole.
                session.mine = True
                self.host.left(self.clock(), ref)

        for ref, (at, message, until) in list(self.unheard.items()):
            if at is conn:
                del self.unheard[ref]
                self._tell(ref, message, None, until)

    # What the host has for viewers.

    def description(self, ref: str) -> str:
        """What the viewer offered; "" once it plays."""
        return self.sessions[ref].offer

    def answered(self, ref: str, description: str) -> None:
        """What a streamer answered, to be passed on if the host takes it."""
        if session := self.sessions.get(ref):
            session.reply = description

    def answer(self, ref: str, answer: Answer) -> None:
        session = self.sessions[ref]
        conn = session.conn
        self.limiter.settled(conn)
        if answer.verdict == "plays":
            up = messages.up(ref, session.reply)
            session.offer = session.reply = ""
            # One that has gone hears nothing: its end, told in a moment, then ends the viewing too.
            session.answered = conn.send(up)
            if session.answered:
                session.reply = up if conn.unsent(up) else ""
                self.trusted.pop(conn, None)
                self.trusted[conn] = None
        else:
            del self.sessions[ref]
            if answer.verdict == "blocked":
                conn.send(messages.down(ref, messages.REFUSED, answer.come_back))
            elif answer.verdict == "aborted":
                conn.send(messages.down(ref, messages.FAILED))
        if not conn.closed:
            self.served[conn] = None
            self._pay(conn)
        if conn.deaf:
            self._let_go(conn)

    def moved(self, ref: str) -> None:
        """The host takes a viewing off its streamer; unless its viewer ended it, that one comes again."""
        session = self.sessions.get(ref)
        if session and not session.mine:
            session.mine = True
            self._release(ref, session, messages.shift(ref))

    def over(self, ref: str, how: EndReason) -> None:
        session = self.sessions.pop(ref, None)
        if session and not session.mine and how is not EndReason.CALLED_OFF:
            cause = messages.ENDED if how is EndReason.PLAYED else messages.CUT
            self._release(ref, session, messages.down(ref, cause))

    def _release(self, ref: str, session: Session, message: bytes) -> None:
        self._tell(ref, message, session.conn, self.clock() + messages.OWED)

    def _tell(self, ref: str, message: bytes, first: Connection | None, until: float) -> None:
        """A release, on the connection that is best for it, kept until it is acknowledged."""
        for conn in (first, *reversed(self.trusted), *reversed(self.served)):
            if conn is not None and conn.send(message):
                self.unheard[ref] = conn, message, until
                return
        # No way to its viewer's side is open: it goes with the next that opens.
        self.owed[ref] = message, until

    def _pay(self, conn: Connection) -> None:
        owed, self.owed = self.owed, {}
        for ref, (message, until) in owed.items():
            self._tell(ref, message, conn, until)
