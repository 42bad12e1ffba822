"""The host's port on the platform: sends decisions to streamers and viewers, handles messages of streamers.

A connection carries one set-up at a time, so that an invalid answer or a broken connection harms no other
viewing. Only when descriptors are short do set-ups share a connection.
"""

from collections import Counter
from collections.abc import Callable
from errno import EMFILE
from itertools import count
from math import inf

import gevent
import structlog

from herongap.daemon.timer import Timer
from herongap.host import Answer, Host, ViewingState
from herongap.host.liveness import (
    PAID_TEST_TIMES,
    TEST_INTERVAL_SECONDS,
    TESTED_LOST_AFTER_SECONDS,
    Liveness,
    StreamerLiveness,
)
from herongap.interface import EndReason, LoadReport, ViewingRequest
from herongap.node.upstream import Address, Attempt, StreamerConnection, Upstream, dial, dial_failure
from herongap.platform import messages
from herongap.platform.config import NodeConfig
from herongap.platform.handovers import MAX_REJECTED_RELEASES_PER_STREAMER
from herongap.platform.messages import InvalidFieldError, MalformedMessageError, Message
from herongap.platform.turns import TurnPacer

PROBE_TIMEOUT_SECONDS = 0.5
log = structlog.get_logger()


class StreamerPort:
    """Carries messages between the host and the streamers; `viewers` is the port to the viewers."""

    def __init__(self, config: NodeConfig, clock: Callable[[], float]):
        self.connect_timeout, self.clock = config.connect_timeout, clock
        # Descriptors: beyond `share_above` connections set-ups share them, beyond `max_connections` none is
        # dialled.
        self.share_above = config.sockets // 3
        self.max_connections = config.sockets // 3 + config.sockets // 20
        # A streamer may close a connection that has been idle for longer than this, just as a set-up is sent.
        self.idle_limit = max(config.idle_timeout - config.connect_timeout, config.idle_timeout / 2) or inf
        # How long a cancelled tune-in is remembered, so that a late answer to it is recognised.
        self.late_answer_seconds = config.longest_deadline + messages.RELEASE_RETENTION_SECONDS
        self.liveness_times = (
            PAID_TEST_TIMES
            if config.heartbeats_charged
            else (TESTED_LOST_AFTER_SECONDS, TEST_INTERVAL_SECONDS)
        )
        self.host: Host | None = None
        self.viewers = None
        self.upstreams: dict[str, Upstream] = {}
        self.attempts: dict[tuple[str, str], Attempt] = {}
        self.cancelled: dict[tuple[str, str], float] = {}
        # Ends of viewings that were not handed over yet, with their expiry: the release by the streamer may
        # arrive before the set-up whose `at` names that streamer.
        self.early_releases: dict[tuple[str, str], tuple[EndReason, float]] = {}
        self.timer, self.input_pacer = Timer(clock), TurnPacer(clock)
        self._heartbeat_ids = count(1)
        self.probes: dict[str, tuple[str, float]] = {}

    # Changes of the streamer list.

    def listed(self, addresses: dict[str, Address]) -> None:
        """Take the addresses of the newest list; a streamer that has left is kept while it plays viewings."""
        now = self.clock()
        for name, address in addresses.items():
            if (upstream := self.upstreams.get(name)) is None:
                self.upstreams[name] = Upstream(name, address, StreamerLiveness(now, *self.liveness_times))
            elif upstream.address != address:
                # The old connections are closed; the streamer reports ends of its viewings on the next one.
                upstream.address, upstream.redial_at = address, 0.0
                for connection in upstream.connections:
                    connection.half_close()
        for name, upstream in self.upstreams.items():
            upstream.delisted = name not in addresses

    def remove_replaced(self) -> None:
        """End the viewings at streamers whose address another streamer has now.

        To be called once the host has the new list too, as the host may place these viewings anew at once.
        """
        listed = {upstream.address: upstream for upstream in self.upstreams.values() if not upstream.delisted}
        for upstream in list(self.upstreams.values()):
            if upstream.delisted and (successor := listed.get(upstream.address)):
                # Whatever answers there is not the streamer that played these viewings. Those that were set
                # up since it came up play there, and are held by the name of the old one.
                lost = self.host.playing_at(upstream.name)
                self._streamer_lost(upstream, "replaced")
                for viewing, _ in lost:
                    self._release(successor, viewing)

    # The host's port.

    def tune_in(
        self, request: ViewingRequest, number: int, streamer: str, rung: int, time_out: float
    ) -> None:
        attempt = Attempt(request, number, rung, self.clock() + time_out)
        self.attempts[streamer, request.viewing] = attempt
        # Sent only after the host's call has returned: input that has arrived by now is handled first.
        gevent.spawn(self._start_attempt, self.upstreams[streamer], attempt)

    def connections(self) -> list[StreamerConnection]:
        """Return all connections to streamers."""
        return [connection for upstream in self.upstreams.values() for connection in upstream.connections]

    def unsent_count(self) -> int:
        """Return to how many streamers a message is pending or has not been written in full."""
        return sum(upstream.has_unsent(self.clock()) for upstream in self.upstreams.values())

    def has_room(self, limit: int | None = None) -> bool:
        """Whether there are fewer connections than `limit`; by default, whether a set-up may have its own."""
        in_use = sum(len(upstream.connections) + upstream.connecting for upstream in self.upstreams.values())
        return in_use < (limit or self.share_above)

    def pop_early_release(self, viewing: str, streamer: str) -> EndReason | None:
        """Return how a viewing that is handed over only now has ended already, None if it has not."""
        return self.early_releases.pop((streamer, viewing), (None,))[0]

    def call_off(self, viewing: str, number: int, streamer: str) -> None:
        if attempt := self.attempts.pop((streamer, viewing), None):
            self._cancel(self.upstreams[streamer], attempt)

    def set_rung(self, viewing: str, number: int, streamer: str, rung: int) -> None:
        self._deliver(self.upstreams[streamer], messages.encode_step(viewing, rung))

    def tear_down(self, viewing: str, number: int, streamer: str, wanted: bool) -> None:
        if upstream := self.upstreams.get(streamer):
            self._release(upstream, viewing)
        if wanted:
            self.viewers.viewing_moved(viewing)

    def answer(self, viewing: str, answer: Answer) -> None:
        self.viewers.answer(viewing, answer)

    def viewing_ended(self, viewing: str, reason: EndReason) -> None:
        self.viewers.viewing_ended(viewing, reason)

    def probe(self, streamer: str) -> None:
        ref = self._next_heartbeat_id()
        self.probes[ref] = streamer, self.clock()
        self._deliver(self.upstreams[streamer], messages.encode_heartbeat(ref))

    def follow(self) -> None: ...  # the resolver is polled from the start

    def send_to_peer(self, peer: int, message: bytes) -> None:
        log.warning("no connection to other controllers", peer=peer)

    def request_budget(self, budget: str) -> None: ...  # the platform has no store to divide budgets through

    def wake(self, at: float) -> None:
        self.timer.set(at)

    def run(self) -> None:
        """Wake the host at the times that it requested; never returns."""
        self.timer.run(lambda now: self.host.woke(now))

    # Connections and tune-ins.

    def _connect(self, upstream: Upstream, time_out: float) -> StreamerConnection:
        """Open a connection; raises OSError."""
        if not self.has_room(self.max_connections):
            raise OSError(EMFILE, "as many connections to streamers as descriptors allow")
        upstream.connecting, address = upstream.connecting + 1, upstream.address
        try:
            sock = dial(address, time_out)
        finally:
            upstream.connecting -= 1
            upstream.dial_finished.set()
        if upstream.address != address:
            sock.close()
            raise ConnectionAbortedError("the streamer's address changed while it was dialled")
        connection = StreamerConnection(sock, upstream, self._on_line, self._on_closed, self.input_pacer)
        upstream.connections.add(connection)
        upstream.last_was_reset = upstream.release_may_be_lost = False
        upstream.deliver_pending(connection, self.clock())
        return connection

    def _start_attempt(self, upstream: Upstream, attempt: Attempt) -> None:
        """Send a tune-in, on a connection that may have to be opened first."""
        key, opened = (upstream.name, attempt.request.viewing), None
        while self._may_send(upstream, attempt):
            connection = opened or upstream.healthy_connection(self.has_room(), self.clock(), self.idle_limit)
            if connection and not connection.closed:
                self._send_set_up(connection, attempt)
                return
            if not opened and upstream.connecting and not self.has_room():
                # Descriptors are short: wait for a connection that is being opened for another set-up.
                upstream.wait_for_dial(attempt.deadline - self.clock())
                continue
            try:
                if opened:
                    raise ConnectionAbortedError("closed as soon as it was open")
                time_out = max(0.01, min(self.connect_timeout, attempt.deadline - self.clock()))
                opened = self._connect(upstream, time_out)
            except OSError as error:
                if self.attempts.get(key) is attempt:
                    del self.attempts[key]
                    log.info("streamer not reached", streamer=upstream.name, cause=str(error))
                    self.host.ended(
                        self.clock(), attempt.request.viewing, attempt.number, *dial_failure(error)
                    )
                return

    def _may_send(self, upstream: Upstream, attempt: Attempt) -> bool:
        """Whether a tune-in may still be sent now; nothing else runs between this check and its sending."""
        viewing, key = attempt.request.viewing, (upstream.name, attempt.request.viewing)
        # Timers that are due run first, as this process may be late. Input of the viewer is read before the
        # check, as the viewer may have left meanwhile.
        self.host.woke(self.clock())
        while self.attempts.get(key) is attempt and (pause := self.viewers.read_available(viewing)):
            gevent.sleep(pause)
        if self.attempts.get(key) is not attempt:
            return False
        if self.host.sendable(viewing, attempt.number, self.clock()):
            return True
        # The streamer began to drain meanwhile, or its slot has passed. The tune-in was never sent, and must
        # not count as a failure of the streamer.
        del self.attempts[key]
        self.host.ended(self.clock(), viewing, attempt.number, EndReason.FULL, LoadReport())
        return False

    def _send_set_up(self, connection: StreamerConnection, attempt: Attempt) -> None:
        attempt.connection, connection.attempts[attempt.request.viewing] = connection, attempt
        offer = self.viewers.offer(attempt.request.viewing)
        time_left = attempt.deadline - self.clock()
        attempt.sent = messages.encode_set_up(attempt.request, attempt.rung, time_left, offer)
        connection.send(attempt.sent)  # if this fails, `_on_closed` reports it to the host

    def _deliver(
        self,
        upstream: Upstream,
        message: bytes,
        connection: StreamerConnection | None = None,
        release: str = "",
    ) -> None:
        """Send a message that belongs to no pending set-up, on any connection or else on the next one."""
        now = self.clock()
        upstream.deliver(
            connection or upstream.healthy_connection(False, now, self.idle_limit),
            message,
            now + messages.RELEASE_RETENTION_SECONDS,
            release,
        )
        if upstream.pending and not upstream.delisted:
            self._ensure_connection(upstream)

    def _release(
        self, upstream: Upstream, viewing: str, connection: StreamerConnection | None = None
    ) -> None:
        """Have the streamer stop a viewing, on `connection` if its set-up was sent there."""
        self._deliver(upstream, messages.encode_down(viewing, messages.CAUSE_ENDED), connection, viewing)

    def release_rejected(self, viewing: str, streamer: str) -> None:
        """Have a streamer stop a viewing that was not adopted; beyond the limit nothing is sent."""
        upstream = self.upstreams.get(streamer)
        if upstream and upstream.kept_messages() < MAX_REJECTED_RELEASES_PER_STREAMER:
            self._release(upstream, viewing)

    def _ensure_connection(self, upstream: Upstream) -> None:
        if not upstream.connecting and self.clock() >= upstream.redial_at:
            upstream.connecting += 1
            gevent.spawn(self._redial, upstream)

    def _redial(self, upstream: Upstream) -> None:
        upstream.connecting -= 1
        try:
            self._connect(upstream, self.connect_timeout)
        except ConnectionRefusedError:
            if upstream.connection_refused(self.clock()):
                self._streamer_lost(upstream, "refused")
        except OSError as error:
            log.debug("streamer not reached", streamer=upstream.name, cause=str(error))

    def _cancel(self, upstream: Upstream, attempt: Attempt) -> None:
        connection = attempt.connection
        if (
            not connection
            or not connection.attempts.pop(attempt.request.viewing, None)
            or connection.withdraw(attempt.sent)
        ):
            return  # nothing of it was sent
        if connection.is_unsent(attempt.sent) and not connection.attempts:
            connection.close("cancelled before it was sent in full")  # sent in full, it would start a viewing
            return
        self.cancelled[upstream.name, attempt.request.viewing] = self.clock() + self.late_answer_seconds
        self._release(upstream, attempt.request.viewing, connection)
        if connection.suspected_at is None and not connection.closed:
            # The connection carries no further set-up until the streamer has answered this heartbeat.
            connection.suspected_at = self.clock()
            connection.send(messages.encode_heartbeat(self._next_heartbeat_id()))

    def _next_heartbeat_id(self) -> str:
        return f"{next(self._heartbeat_ids):016x}"

    def _on_closed(self, connection: StreamerConnection) -> None:
        upstream = connection.upstream
        upstream.connection_closed(connection)
        if other := upstream.pending and upstream.healthy_connection(False, self.clock(), self.idle_limit):
            upstream.deliver_pending(other, self.clock())
        if connection.may_have_lost_messages() and self.host.playing_at(upstream.name):
            upstream.release_may_be_lost = True
            log.info("a streamer's release may be lost", streamer=upstream.name, cause=connection.cause)
        if upstream.needs_connection() and not upstream.delisted:
            self._ensure_connection(upstream)
        for attempt in list(connection.attempts.values()):  # handling one may cancel others
            key = upstream.name, attempt.request.viewing
            if self.attempts.get(key) is not attempt:
                continue
            del self.attempts[key]
            log.info("connection lost during a tune-in", streamer=upstream.name, cause=connection.cause)
            if connection.is_unsent(attempt.sent):
                # It was not sent in full, so nothing was started.
                self.host.ended(self.clock(), attempt.request.viewing, attempt.number, EndReason.UNREACHED)
                continue
            # The streamer may have started it, and would play it for no viewer.
            self._release(upstream, attempt.request.viewing)
            self.cancelled[key] = self.clock() + self.late_answer_seconds
            self.host.ended(self.clock(), attempt.request.viewing, attempt.number, EndReason.BROKEN)

    def _streamer_lost(self, upstream: Upstream, cause: str) -> None:
        """Handle the loss of a streamer's process, and with it of all viewings that it played."""
        lost = self.host.playing_at(upstream.name)
        if lost:
            log.warning("streamer lost", streamer=upstream.name, viewings=len(lost), cause=cause)
        upstream.viewings_lost(cause != "silent")
        for connection in list(upstream.connections):
            connection.close(cause)
        self.host.all_ended(self.clock(), lost, EndReason.BROKEN)

    def maintain(self) -> None:
        """Close surplus connections, test the streamers that play viewings, and drop what has expired.

        To be called several times a second.
        """
        now = self.clock()
        playing = Counter(
            viewing.streamer
            for viewing in self.host.viewings.values()
            if viewing.state is ViewingState.PLAYING
        )
        with_attempts = {name for name, _ in self.attempts}
        for upstream in list(self.upstreams.values()):
            upstream.close_surplus(now, self.has_room(), self.idle_limit)
            upstream.drop_expired(now)
            upstream.release_may_be_lost &= playing[upstream.name] > 0
            if upstream.needs_connection() and not upstream.delisted:
                self._ensure_connection(upstream)
            if playing[upstream.name]:
                self._check_liveness(upstream, now)
                continue
            # A tune-in may still wait for a connection. If its streamer were removed, the time-out could not
            # call it off, and its viewer would never be answered.
            if upstream.delisted and upstream.name not in with_attempts and not upstream.connecting:
                for connection in list(upstream.connections):
                    connection.close()
                del self.upstreams[upstream.name]
            upstream.liveness.on_data(now)
            upstream.reported_silent = False
        self.cancelled = {key: until for key, until in self.cancelled.items() if until > now}
        self.early_releases = {key: end for key, end in self.early_releases.items() if end[1] > now}
        expired = [ref for ref, (_, sent_at) in self.probes.items() if now - sent_at > PROBE_TIMEOUT_SECONDS]
        for ref in expired:
            streamer, sent_at = self.probes.pop(ref)
            self.host.probed(now, streamer, EndReason.TIMED_OUT, now - sent_at, None)

    def _check_liveness(self, upstream: Upstream, now: float) -> None:
        if not upstream.connections and upstream.delisted:
            # Not in the list and not connected: a process that listens there later is another streamer.
            self._streamer_lost(upstream, "gone")
        elif not upstream.connections:
            self._ensure_connection(upstream)
        elif upstream.liveness.is_test_due(now):
            self._deliver(upstream, messages.encode_heartbeat(self._next_heartbeat_id()))
        status = upstream.liveness.check(now)
        if status is Liveness.LOST:
            lost = self.host.playing_at(upstream.name)
            self._streamer_lost(upstream, "silent")
            # If its process still runs and only the network is down, it must stop the viewings dropped here.
            for viewing, _ in lost:
                self._release(upstream, viewing)
            upstream.liveness.on_data(now)
        elif status is Liveness.SILENT and not upstream.reported_silent:
            upstream.reported_silent = True
            self.host.share_told(now, upstream.name, 0.0)

    # Messages of streamers.

    def _on_line(self, connection: StreamerConnection, line: bytes) -> None:
        upstream = connection.upstream
        try:
            message = messages.parse_message(line)
            now = self.clock()
            connection.last_received = now
            connection.suspected_at = connection.suspected_at if connection.half_closed else None
            upstream.liveness.on_data(now)
            upstream.reported_silent = False
            if message.t in ("down", "ack"):
                upstream.unacknowledged.pop(message.ref, None)
            match message.t:
                case "up":
                    self._on_up(upstream, connection, message)
                case "down":
                    self._on_down(upstream, connection, message)
                case "tell":
                    self._on_note(upstream, message)
                case "hb_ok":
                    if probe := self.probes.pop(message.ref, None):
                        streamer, sent_at = probe
                        reason = EndReason.PLAYED if message.c else EndReason.FAULTY
                        self.host.probed(now, streamer, reason, now - sent_at, messages.parse_load(message))
                case "wait" | "ack":
                    pass
                case _:
                    raise MalformedMessageError(f"unknown message type {message.t!r:.20}")
        except (MalformedMessageError, InvalidFieldError) as error:
            # The rest of the input cannot be trusted any more.
            log.warning("invalid message of a streamer", streamer=upstream.name, cause=str(error)[:120])
            connection.close(str(error))

    def _on_up(self, upstream: Upstream, connection: StreamerConnection, message: Message) -> None:
        key = upstream.name, message.ref
        if not message.d:
            raise InvalidFieldError("an answer without a session description")
        self.viewers.read_available(message.ref)  # the viewer may have left: its message may be unread
        attempt = self.attempts.get(key)
        if attempt is not None and attempt.connection is connection:
            load = messages.parse_load(message)
            del self.attempts[key], connection.attempts[message.ref]
            self.viewers.set_reply(message.ref, message.d)
            if not self.host.started(self.clock(), message.ref, attempt.number, upstream.name, load):
                log.info("late answer", streamer=upstream.name, viewing=message.ref)
        elif self.cancelled.pop(key, None):
            # A late answer to a cancelled tune-in: the streamer plays it for no viewer.
            self._release(upstream, message.ref, connection)

    def _on_down(self, upstream: Upstream, connection: StreamerConnection, message: Message) -> None:
        key = upstream.name, message.ref
        load = messages.parse_load(message)
        if (attempt := self.attempts.get(key)) is not None:
            if attempt.connection is connection:
                del self.attempts[key], connection.attempts[message.ref]
                reason = messages.END_REASONS_BEFORE_ANSWER.get(message.c, EndReason.BROKEN)
                self.host.ended(self.clock(), message.ref, attempt.number, reason, load)
            return
        viewing = self.host.viewings.get(message.ref)
        reason = messages.END_REASONS_AFTER_ANSWER.get(message.c, EndReason.BROKEN)
        if viewing is None or viewing.streamer != upstream.name:
            if key not in self.cancelled:
                self.early_releases[key] = reason, self.clock() + messages.RELEASE_RETENTION_SECONDS
        elif viewing.state is ViewingState.PLAYING:
            self.host.ended(self.clock(), message.ref, viewing.number, reason, load)
            connection.send(messages.encode_ack(message.ref))
        elif viewing.state is ViewingState.CLOSING:
            self.host.torn_down(self.clock(), message.ref, viewing.number)

    def _on_note(self, upstream: Upstream, message: Message) -> None:
        name, value = messages.parse_note(message)
        now = self.clock()
        if name == "served":
            self.host.share_told(now, upstream.name, value)
        elif name == "at_rung":
            self.host.rung_told(now, message.ref, int(value))
        else:
            self.host.load_told(now, upstream.name, name == "rack_use", message.ref, value)
