"""Connections of viewers, on which set-ups arrive and answers leave; nothing is decided here."""

from collections.abc import Callable
from contextlib import suppress

import gevent
import structlog

from herongap.daemon.listen import LISTEN_BACKLOG
from herongap.host import Answer, Host
from herongap.interface import EndReason, ViewingRequest
from herongap.limiter import SUSPECT_TIMEOUT_SECONDS, ConnectionLimiter
from herongap.node.connection import Connection
from herongap.platform import messages
from herongap.platform.config import NodeConfig
from herongap.platform.handovers import MAX_REJECTED_RELEASES, max_placed_viewings
from herongap.platform.messages import InvalidFieldError, MalformedMessageError, Message
from herongap.platform.turns import TURN_ACCEPTS, TurnPacer

ACCEPT_RETRY_SECONDS = 0.1  # without a free descriptor
# Releases of unknown viewings that are kept at once: a client may send any number of them.
MAX_EARLY_RELEASES = 10_000
log = structlog.get_logger()


class Session:
    """A viewing as its viewer's side sees it: its connection, and the viewer's offer until it plays.

    `reply` is what a streamer answered, and once `answered` the encoded answer until it is written in full.
    `end_known` says that the viewer ended the viewing, or was told of its end.
    """

    __slots__ = ("connection", "offer", "reply", "answered", "end_known")

    def __init__(self, connection: Connection, offer: str):
        # The reply has a field of its own: a reply that the host rejects as late must not become the offer of
        # the next tune-in.
        self.connection, self.offer, self.reply = connection, offer, ""
        self.answered, self.end_known = False, False


class Viewers:
    """All connections of viewers and their sessions; `stop` ends accepting connections from `listener`."""

    def __init__(
        self, config: NodeConfig, host: Host, limiter: ConnectionLimiter, clock: Callable[[], float]
    ):
        self.config, self.host, self.limiter, self.clock = config, host, limiter, clock
        self.sessions: dict[str, Session] = {}
        self.max_placed = max_placed_viewings(config.memory_mb)
        # Releases that no open connection could carry, with their expiry, by viewing.
        self.pending_releases: dict[str, tuple[bytes, float]] = {}
        # Viewings that were released but are not held, with the expiry: a set-up with `at` may come later.
        self.early_releases: dict[str, float] = {}
        # Half-closed connections, and until when their peers may close them.
        self.closing: dict[Connection, float] = {}
        # Releases that were sent and not acknowledged: those lost with a connection are sent on another.
        self.unacknowledged: dict[str, tuple[Connection, bytes, float]] = {}
        self.connections: set[Connection] = set()
        # Connections that may carry releases, the most recent last: those on which viewings began to play,
        # were handed over or were ended by their viewers, and those on which usable set-ups arrived.
        self.with_viewings: dict[Connection, None] = {}
        self.with_set_ups: dict[Connection, None] = {}
        self.input_pacer, self.accept_pacer = TurnPacer(clock), TurnPacer(clock)
        self.ready = self.shutting_down = False
        self.listener = None

    def accept(self, listener) -> None:
        """Accept connections until the listener is closed."""
        self.listener = listener
        while not listener.closed:
            began = self.clock()
            if self._accept_waiting(TURN_ACCEPTS):
                now = self.clock()
                gevent.sleep(self.accept_pacer.next_turn_after(now - began) - now)
                continue
            listener.settimeout(None)
            with suppress(OSError):  # closed meanwhile
                if not listener.closed:
                    listener._wait(listener._read_event)

    def _accept_waiting(self, most: int) -> bool:
        """Accept the connections that wait, `most` at most; whether more may be accepted at once."""
        self.listener.settimeout(0.0)
        for _ in range(most):
            try:
                sock, peer = self.listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if self.listener.closed:
                    return False
                # Out of descriptors: open connections continue, and accepting is retried.
                log.error("cannot accept connections", cause=str(error))
                gevent.sleep(ACCEPT_RETRY_SECONDS)
                return False
            # One that was reset before it was handled is left out.
            with suppress(OSError):
                self._add_connection(sock, peer)
        return True

    def _add_connection(self, sock, peer) -> None:
        connection = Connection(
            sock, peer[0], self._on_line, self._on_closed, self._stop_reading, pacer=self.input_pacer
        )
        self.connections.add(connection)
        victims = self.limiter.add(self.clock(), connection, Connection.is_quiet, Connection.is_flooding)
        if victims:
            for victim in victims:
                victim.close("shed")
            # Their descriptors are free only once they have ended: many new connections must not outrun that.
            gevent.sleep(0)

    def unfinished(self) -> tuple[int, int, int]:
        """Return the numbers of unanswered set-ups, of connections with unread or unsent data, of playing
        viewings.
        """
        waiting = sum(not session.answered for session in self.sessions.values())
        busy = sum(not connection.is_quiet() for connection in self.connections)
        return waiting, busy, len(self.sessions) - waiting

    def stop(self) -> None:
        """Accept only the connections that the system has accepted already; refuse set-ups from now on."""
        self.shutting_down = True
        if not self.listener or self.listener.closed:
            return
        self._accept_waiting(LISTEN_BACKLOG)
        with suppress(OSError):
            self.listener.close()

    def close_all(self) -> None:
        """Handle the input that has arrived, and close every connection; no output is pending by now."""
        for connection in list(self.connections):
            connection.read_last()
            connection.close("stopped")

    def maintain(self) -> None:
        """Close connections that send nothing, and drop what has expired.

        To be called several times a second.
        """
        now = self.clock()
        overdue = self.limiter.pop_overdue(now, Connection.is_quiet, Connection.has_partial_line)
        for connection in overdue:
            if connection.unsent_bytes:
                connection.discarding, connection.cause = True, "silent"
                self._close_gracefully(connection)
            else:
                connection.close("silent")
        for connection, until in list(self.closing.items()):
            # Once all output is written, the peer has a moment to close first and to read what is on its way.
            if not connection.unsent_bytes:
                until = min(until, now + SUSPECT_TIMEOUT_SECONDS)
            self.closing[connection] = until
            if until <= now:
                connection.close("invalid message")
        for releases in (self.pending_releases, self.unacknowledged):
            for ref in [ref for ref, entry in releases.items() if entry[-1] <= now]:
                del releases[ref]
                sent = releases is self.unacknowledged
                log.warning(
                    "release of a viewing dropped", viewing=ref, sent=sent, viewers=len(self.connections)
                )
        self.early_releases = {ref: until for ref, until in self.early_releases.items() if until > now}

    def read_available(self, ref: str) -> float:
        """Handle what has arrived from the viewer of a viewing that is set up.

        Return after how many seconds the rest may be read; 0.0 if nothing is left.
        """
        session = self.sessions.get(ref)
        if session is None or session.connection is None:
            return 0.0
        return session.connection.read_available()

    # Messages of viewers.

    def _on_line(self, connection: Connection, line: bytes) -> None:
        try:
            message = messages.parse_message(line)
            if message.t == "new":
                self._on_new(connection, message)
            elif message.t == "down":
                self._on_down(connection, message)
            elif message.t == "hb":
                self._record_message(connection)
                connection.send(messages.encode_heartbeat_reply(message.ref[:64], self.ready))
            elif message.t == "ack":
                self.unacknowledged.pop(message.ref, None)
            elif message.t not in ("wait", "tell"):
                raise MalformedMessageError(f"unknown message type {message.t!r:.20}")
        except MalformedMessageError as error:
            self._stop_reading(connection, error)

    def _stop_reading(self, connection: Connection, error: Exception) -> None:
        """Discard the rest of the input, which cannot be parsed, and close the connection.

        Set-ups that were accepted on it are answered first.
        """
        log.info("invalid message of a viewer", peer=connection.peer, cause=str(error)[:120])
        connection.discarding, connection.cause = True, str(error)
        if self.limiter.has_sent_message(connection):
            self._close_gracefully(connection)
        else:
            connection.close(str(error))  # never sent anything valid, perhaps one of hundreds: freed at once

    def _close_gracefully(self, connection: Connection) -> None:
        unanswered = (
            session
            for session in self.sessions.values()
            if session.connection is connection and not session.answered
        )
        if connection.half_closed or any(unanswered):
            return
        connection.half_close()
        self.closing[connection] = self.clock() + messages.RELEASE_RETENTION_SECONDS

    def _record_message(self, connection: Connection) -> None:
        self.limiter.message_received(self.clock(), connection)

    def _on_new(self, connection: Connection, message: Message) -> None:
        if not messages.ID_PATTERN.fullmatch(message.ref):
            raise MalformedMessageError("a set-up without an id")
        session = self.sessions.get(message.ref)
        try:
            request, streamer = messages.parse_request(message, self.config.message_context)
            if streamer is not None:
                self._on_handover(connection, message, request, streamer)
                return
            if session is not None and not session.answered and session.connection is not connection:
                # Repeated after the end of its first connection, which may still be unread.
                session.connection.read_available()
                session = self.sessions.get(message.ref)
            if session is not None:
                if session.connection is connection:
                    raise MalformedMessageError("this id is in use on this connection already")
                raise InvalidFieldError("this id is in use on another connection")
            if not message.d:
                raise InvalidFieldError("a set-up without a session description")
        except InvalidFieldError as error:
            log.info("invalid set-up", peer=connection.peer, cause=str(error)[:120])
            connection.send(messages.encode_down(message.ref, messages.CAUSE_FAILED))
            return
        self._record_message(connection)
        self._may_carry_releases(connection, self.with_set_ups)
        if self.shutting_down or self.limiter.is_overloaded():
            come_back = self.config.deployment.come_back
            connection.send(messages.encode_down(message.ref, messages.CAUSE_BUSY, come_back))
            return
        now = self.clock()
        self.limiter.set_up_accepted(connection)
        self.sessions[message.ref] = Session(connection, message.d)
        time_left = max(0.0, request.time_left - messages.ANSWER_MARGIN_SECONDS)
        self.host.asked(now, request._replace(time_left=time_left))

    def _on_handover(
        self, connection: Connection, message: Message, request: ViewingRequest, streamer: str
    ) -> None:
        """Adopt a viewing that plays at `streamer` already."""
        if message.ref in self.sessions or message.ref in self.host.viewings:
            return
        self._record_message(connection)
        session = self.sessions[message.ref] = Session(connection, "")
        session.answered = True
        self._may_carry_releases(connection, self.with_viewings)
        floor = next(p.floor for p in self.config.deployment.packages if p.name == request.package)
        if not self._may_adopt(streamer) or not self.host.adopted(self.clock(), request, 0, streamer, floor):
            self._reject_handover(connection, message.ref, streamer)
        elif self.early_releases.pop(message.ref, None):
            # Its viewer ended it, on another connection, before this set-up arrived.
            session.end_known = True
            self.host.left(self.clock(), message.ref)
        elif how := self.host.port.pop_early_release(message.ref, streamer):
            self.host.ended(self.clock(), message.ref, 0, how)

    def _may_adopt(self, streamer: str) -> bool:
        # The deciding module remembers a streamer that has left for a while, but no end of a viewing there
        # would be reported.
        return (
            streamer in self.host.port.upstreams
            and self.host.placed_count() < self.max_placed
            and self.host.may_adopt(streamer)
        )

    def _reject_handover(self, connection: Connection, ref: str, streamer: str) -> None:
        """Release a viewing that is not adopted, towards its viewer and at its streamer."""
        log.info("handed over viewing not adopted", viewing=ref, streamer=streamer)
        session = self.sessions.pop(ref)
        self.host.port.release_rejected(ref, streamer)
        message = messages.encode_down(ref, messages.CAUSE_CUT)
        if len(self.unacknowledged) + len(self.pending_releases) < MAX_REJECTED_RELEASES:
            self._release(ref, session, message)
        else:
            connection.send(message)

    def _on_down(self, connection: Connection, message: Message) -> None:
        self._record_message(connection)
        ref = message.ref
        if (session := self.sessions.get(ref)) is None:
            self._on_down_without_session(connection, ref)
            return
        if not session.answered and session.connection is not connection:
            return  # only the connection that requested a viewing may cancel it
        session.end_known = True
        connection.send(messages.encode_ack(ref))
        if session.answered:
            self._may_carry_releases(connection, self.with_viewings)
        self.host.left(self.clock(), ref)

    def _on_down_without_session(self, connection: Connection, ref: str) -> None:
        """Handle the end of a viewing that is not held: it has just ended, or is handed over later."""
        if ref in self.pending_releases or ref in self.unacknowledged:
            # Its viewer ends it too, and needs no release any more.
            self.pending_releases.pop(ref, None)
            self.unacknowledged.pop(ref, None)
            connection.send(messages.encode_ack(ref))
            self._may_carry_releases(connection, self.with_viewings)
            return
        if len(self.early_releases) >= MAX_EARLY_RELEASES:
            log.warning("too many releases of unknown viewings; one is ignored", peer=connection.peer)
            return
        self.early_releases[ref[:64]] = self.clock() + messages.RELEASE_RETENTION_SECONDS

    def _on_closed(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.closing.pop(connection, None)
        self.with_viewings.pop(connection, None)
        self.with_set_ups.pop(connection, None)
        self.limiter.remove(connection)
        for ref, session in list(self.sessions.items()):
            if session.connection is not connection:
                continue
            if session.answered and not (session.reply and connection.is_unsent(session.reply)):
                session.connection = None  # a playing viewing does not depend on a connection
            elif ref in self.sessions:
                # The viewer has gone, or its answer was not sent in full.
                session.end_known = True
                self.host.left(self.clock(), ref)

        for ref, (sent_on, message, expires_at) in list(self.unacknowledged.items()):
            if sent_on is connection:
                del self.unacknowledged[ref]
                self._deliver_release(ref, message, None, expires_at)

    # Messages of the host for viewers.

    def offer(self, ref: str) -> str:
        """Return the session description that the viewer offered; "" once the viewing plays."""
        return self.sessions[ref].offer

    def set_reply(self, ref: str, description: str) -> None:
        """Keep what a streamer answered, to be sent to the viewer if the host takes the answer."""
        if session := self.sessions.get(ref):
            session.reply = description

    def answer(self, ref: str, answer: Answer) -> None:
        """Send the answer to a set-up."""
        session = self.sessions[ref]
        connection = session.connection
        self.limiter.set_up_answered(connection)
        if answer.verdict == "plays":
            up = messages.encode_up(ref, session.reply)
            session.offer = session.reply = ""
            # If the viewer has gone, the end of its connection is reported next and ends the viewing too.
            session.answered = connection.send(up)
            if session.answered:
                session.reply = up if connection.is_unsent(up) else ""
                self._may_carry_releases(connection, self.with_viewings)
        else:
            del self.sessions[ref]
            if answer.verdict == "blocked":
                connection.send(messages.encode_down(ref, messages.CAUSE_REFUSED, answer.come_back))
            elif answer.verdict == "aborted":
                connection.send(messages.encode_down(ref, messages.CAUSE_FAILED))
        if connection.discarding:
            self._close_gracefully(connection)

    def viewing_moved(self, ref: str) -> None:
        """Tell the viewer of a viewing that the host takes off its streamer to request it again."""
        session = self.sessions.get(ref)
        if session and not session.end_known:
            session.end_known = True
            self._release(ref, session, messages.encode_shift(ref))

    def viewing_ended(self, ref: str, how: EndReason) -> None:
        """Tell the viewer of a viewing that it has ended, unless the viewer knows."""
        session = self.sessions.pop(ref, None)
        if session and not session.end_known and how is not EndReason.CALLED_OFF:
            cause = messages.CAUSE_ENDED if how is EndReason.PLAYED else messages.CAUSE_CUT
            self._release(ref, session, messages.encode_down(ref, cause))

    def _release(self, ref: str, session: Session, message: bytes) -> None:
        expires_at = self.clock() + messages.RELEASE_RETENTION_SECONDS
        self._deliver_release(ref, message, session.connection, expires_at)

    def _deliver_release(
        self, ref: str, message: bytes, preferred: Connection | None, expires_at: float
    ) -> None:
        """Send a release on the best open connection, and keep it until it is acknowledged."""
        for connection in (preferred, *reversed(self.with_viewings), *reversed(self.with_set_ups)):
            if connection is not None and connection.send(message):
                self.unacknowledged[ref] = connection, message, expires_at
                return
        # No connection to the viewer's side is known to be open: it is sent on the next one.
        log.info("release of a viewing waits", viewing=ref, viewers=len(self.connections))
        self.pending_releases[ref] = message, expires_at

    def _may_carry_releases(self, connection: Connection, kind: dict[Connection, None]) -> None:
        """Note that a connection of that kind comes from viewers, and send what waits for one."""
        if connection.closed:
            return
        kind.pop(connection, None)
        kind[connection] = None
        pending, self.pending_releases = self.pending_releases, {}
        for ref, (message, expires_at) in pending.items():
            self._deliver_release(ref, message, connection, expires_at)
