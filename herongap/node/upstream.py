"""One streamer's connections, the set-ups in flight on them, and its undelivered messages."""

from collections.abc import Callable
from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM

from gevent import socket
from gevent.event import Event

from herongap.host.liveness import StreamerLiveness
from herongap.interface import EndReason, LoadReport, ViewingRequest
from herongap.limiter import REDIAL_DELAY_SECONDS, connections_to_close
from herongap.node.connection import Connection
from herongap.platform.turns import TurnPacer

Address = tuple[str, int]
# Errors that keep this process from opening a connection, whatever the state of the streamer.
LOCAL_SHORTAGE_ERRORS = {EMFILE, ENFILE, ENOBUFS, ENOMEM}


def dial(address: Address, time_out: float) -> socket.socket:
    """Open a connection within `time_out` seconds; raises OSError."""
    # Not `create_connection`, which resolves every address in a thread, numeric ones too.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(time_out)
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    sock.settimeout(None)
    return sock


def dial_failure(error: OSError) -> tuple[EndReason, LoadReport | None]:
    """Return how a tune-in ends whose connection could not be opened.

    A shortage of descriptors or memory in this process is not a failure of the streamer: it counts as FULL.
    """
    if error.errno in LOCAL_SHORTAGE_ERRORS:
        return EndReason.FULL, LoadReport()
    return EndReason.UNREACHED, None


class Attempt:
    """A pending tune-in: sent on its connection as the message `sent`, or waiting for a connection."""

    __slots__ = ("request", "number", "rung", "deadline", "connection", "sent")

    def __init__(self, request: ViewingRequest, number: int, rung: int, deadline: float):
        self.request, self.number, self.rung = request, number, rung
        self.deadline, self.connection = deadline, None
        self.sent = b""


class StreamerConnection(Connection):
    """A connection to a streamer, with the set-ups in flight on it.

    `suspected_at` is since when it may be dead, as a set-up on it got no answer; None once the streamer has
    sent something on it again. `given_up` says that it was closed as it sent nothing any more.
    """

    def __init__(self, sock, upstream: "Upstream", on_line: Callable, on_closed: Callable, pacer: TurnPacer):
        self.upstream, self.attempts = upstream, {}
        self.last_received, self.suspected_at, self.given_up = pacer.clock(), None, False
        super().__init__(sock, upstream.name, on_line, on_closed, pacer=pacer)

    def may_have_lost_messages(self) -> bool:
        """Whether the streamer may have sent something on this connection, now closed, that never arrived."""
        return self.given_up or not (self.half_closed and self.read_to_end)


class Upstream:
    """One streamer, its connections and its undelivered messages."""

    def __init__(self, name: str, address: Address, liveness: StreamerLiveness):
        self.name, self.address, self.liveness = name, address, liveness
        self.connections: set[StreamerConnection] = set()
        # For the next connection that opens: a message, its expiry, and the viewing that it releases, or "".
        self.pending: list[tuple[bytes, float, str]] = []
        # Releases that were sent and not answered, by viewing, with their connection and expiry.
        self.unacknowledged: dict[str, tuple[StreamerConnection, bytes, float]] = {}
        self.connecting, self.dial_finished = 0, Event()  # the event is set whenever a dial succeeds or fails
        self.reported_silent = self.delisted = False
        # Whether the last connection was reset, as those of a dying process are.
        self.last_was_reset = False
        # Until when the streamer is not dialled for pending messages.
        self.redial_at = 0.0
        # Whether a release by the streamer may have been lost with a connection. The streamer sends it again
        # on the next connection that opens, even if others are open.
        self.release_may_be_lost = False

    def wait_for_dial(self, seconds: float) -> None:
        """Wait until a dial that is under way succeeds or fails, for at most `seconds`."""
        self.dial_finished.clear()
        self.dial_finished.wait(max(0.0, seconds))

    def deliver(
        self, connection: StreamerConnection | None, message: bytes, expires_at: float, release: str = ""
    ) -> None:
        """Send a message on `connection`, or else on the next one that opens before `expires_at`.

        A message that releases the viewing `release` is sent again if its connection breaks before the
        streamer has answered.
        """
        if connection is None or not connection.send(message):
            self.pending.append((message, expires_at, release))
        elif release:
            self.unacknowledged[release] = connection, message, expires_at

    def deliver_pending(self, connection: StreamerConnection, now: float) -> None:
        """Send the pending messages on a connection."""
        self.drop_expired(now)
        if self.pending:
            pending, self.pending = self.pending, []
            for entry in pending:
                self.deliver(connection, *entry)

    def drop_expired(self, now: float) -> None:
        """Drop the messages that were not delivered in time."""
        self.pending = [entry for entry in self.pending if entry[1] > now]
        self.unacknowledged = {
            viewing: entry for viewing, entry in self.unacknowledged.items() if entry[-1] > now
        }

    def kept_messages(self) -> int:
        """Return how many messages are pending, or were sent and not answered."""
        return len(self.pending) + len(self.unacknowledged)

    def needs_connection(self) -> bool:
        """Whether a connection is to be opened, as something waits for it here or at the streamer."""
        return bool(self.pending) or self.release_may_be_lost

    def has_unsent(self, now: float) -> bool:
        """Whether a message is pending, or has not been written in full."""
        self.drop_expired(now)
        return not self.delisted and (
            bool(self.pending) or any(connection.unsent_bytes for connection in self.connections)
        )

    def connection_closed(self, connection: StreamerConnection) -> None:
        """Handle the end of a connection: releases that may have been lost with it become pending again."""
        self.connections.discard(connection)
        self.last_was_reset = connection.broken and bool(connection.cause)
        for viewing, (sent_on, message, expires_at) in list(self.unacknowledged.items()):
            if sent_on is connection and (connection.broken or connection.is_unsent(message)):
                del self.unacknowledged[viewing]
                self.pending.append((message, expires_at, viewing))

    def viewings_lost(self, process_gone: bool) -> None:
        """Handle the loss of all viewings at the streamer.

        If its process is gone, nothing is left to deliver. If it is only silent, it may still run: releases
        that it has not answered are sent again.
        """
        if process_gone:
            self.pending = []
        else:
            self.pending += [
                (message, expires_at, viewing)
                for viewing, (_, message, expires_at) in self.unacknowledged.items()
            ]
        self.unacknowledged = {}

    def connection_refused(self, now: float) -> bool:
        """Handle a refused connection; whether the streamer's process is gone."""
        self.redial_at = now + REDIAL_DELAY_SECONDS
        return self.liveness.is_gone_after_refusal(
            self.last_was_reset, any(connection.is_open() for connection in self.connections)
        )

    def close_surplus(self, now: float, room: bool, idle_limit: float) -> None:
        """Close connections that are not needed or may be dead."""
        for connection in connections_to_close(now, self.connections, room, idle_limit):
            # Not closed at once: a release on its way here would be lost, and a streamer sends it again only
            # when another connection opens.
            if connection.half_closed:
                connection.close("the streamer does not close its side")
            else:
                connection.given_up = connection.suspected_at is not None
                connection.suspected_at = now
                connection.half_close()

    def healthy_connection(
        self, without_attempts: bool, now: float, idle_limit: float
    ) -> StreamerConnection | None:
        """Return the most recently active connection that appears to be open, or None.

        It is not suspected, has no unsent output and was idle for less than `idle_limit` seconds. With
        `without_attempts` no set-up is in flight on it.
        """
        for connection in sorted(self.connections, key=lambda connection: -connection.last_received):
            busy = (
                connection.half_closed
                or connection.unsent_bytes
                or (without_attempts and connection.attempts)
            )
            if not busy and now - connection.last_received < idle_limit and connection.suspected_at is None:
                if connection.is_open():
                    return connection
                connection.suspected_at = now
        return None
