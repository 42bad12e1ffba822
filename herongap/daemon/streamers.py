"""The host's port to streamers: WHIP and WHEP requests in greenlets.

It implements `herongap.host.Port`: it carries out the host's decisions and reports the results. What is sent,
and when, is decided by the host.
"""

import time
from collections.abc import Callable
from contextlib import suppress
from urllib.parse import quote

import gevent
import h11
import structlog

from herongap.daemon.budgets import Budgets
from herongap.daemon.http_connection import Address, ClientConnection, ConnectionPool
from herongap.daemon.journal import Journal, JournalEntry
from herongap.daemon.session import RemoteSession, Session, read_remote_session
from herongap.daemon.streamer_events import EventSubscription
from herongap.daemon.timer import Timer
from herongap.host import Answer, Host
from herongap.http import Reply
from herongap.interface import EndReason, LoadReport, ViewingRequest
from herongap.orca import LOAD_HEADER, read_load
from herongap.state import ViewingStage
from herongap.whep import write_layer

Id = int | str
LATE_ANSWER_SECONDS = 10.0  # how long a late answer to a tune-in is awaited, so that it can be torn down
# Timeouts of single requests.
TEARDOWN_SECONDS = 0.8  # two attempts fit into the time that the host allows
SET_RUNG_SECONDS = 2.0
PROBE_SECONDS = 0.5
EXISTS_SECONDS = 0.5
FORWARD_SECONDS = 3.0
log = structlog.get_logger()


class StreamerPort:
    """Carries the host's decisions to streamers, and their results back to the host.

    `targets` holds the path template of each protocol. A tune-in is identified by (viewing, number).
    `sessions` holds the viewings of this controller by id, `remote_sessions` the streamers' resources by
    tune-in.
    """

    def __init__(self, name: str, connect_timeout: float, targets: dict[str, str], clock=time.monotonic):
        self.name, self.connect_timeout, self.targets, self.clock = name, connect_timeout, targets, clock
        self.host: Host | None = None
        self.addresses: dict[Id, Address] = {}
        self.sessions: dict[Id, Session] = {}
        self.tune_in_connections: dict[tuple[Id, int], ClientConnection | None] = {}
        self.remote_sessions: dict[tuple[Id, int], RemoteSession] = {}
        self.pools: dict[Address, ConnectionPool] = {}
        self.subscriptions: dict[tuple[Id, str], EventSubscription] = {}
        self.on_session_closed = lambda session, played: None
        self.journal: Journal | None = None
        self.budgets: Budgets | None = None
        # Whether the last reported rank of this controller among the controllers still holds.
        self.is_rank_valid: Callable[[], bool] = lambda: True
        self.timer = Timer(clock)

    # The methods of `herongap.host.Port`.

    def tune_in(self, request: ViewingRequest, number: int, streamer: Id, rung: int, timeout: float) -> None:
        """Send a tune-in in its own greenlet; its result is reported to the host."""
        log.debug(
            "tune-in",
            viewing=request.viewing,
            streamer=streamer,
            number=number,
            rung=rung,
            time_out=round(timeout, 3),
        )
        self.tune_in_connections[request.viewing, number] = None
        if self.budgets:
            self.budgets.reserve(
                (request.viewing, number), self.host.viewings[request.viewing].charged_budgets
            )
        self._write_journal(request.viewing, ViewingStage.SENT)
        gevent.spawn(self._tune_in, request, number, streamer, rung, timeout)

    def call_off(self, viewing: Id, number: int, streamer: Id) -> None:
        """Half-close the connection of a tune-in, so that the streamer can see that it was canceled."""
        if connection := self.tune_in_connections.get((viewing, number)):
            connection.half_close()

    def set_rung(self, viewing: Id, number: int, streamer: Id, rung: int) -> None:
        """Set the rung of a playing viewing at its streamer; only the newest pending rung is sent."""
        session = self.sessions[viewing]
        session.pending_rung = rung
        self._write_journal(viewing, ViewingStage.PLAYING)
        if not session.setting_rung:
            session.setting_rung = True
            gevent.spawn(self._set_rung, session, number)

    def tear_down(self, viewing: Id, number: int, streamer: Id, wanted: bool) -> None:
        """Delete a session at its streamer, and report to the host when that is done if it is `wanted`."""
        if wanted:
            self._write_journal(viewing, ViewingStage.CLOSING)
        gevent.spawn(self._tear_down, viewing, number, streamer, wanted)

    def answer(self, viewing: Id, answer: Answer) -> None:
        """Give the viewer the answer to its request."""
        session = self.sessions[viewing]
        log.info(
            "answered",
            viewing=viewing,
            verdict=answer.verdict,
            streamer=session.remote and session.remote.streamer,
            cause=answer.cause and answer.cause.name.lower(),
        )
        session.answer = answer
        if answer.verdict != "plays":
            self.forget(session, played=False)
            return
        self._write_journal(viewing, ViewingStage.PLAYING)
        session.answered.set()

    def forget(self, session: Session, played: bool = True) -> None:
        """Drop a session that was rejected or (`played`) has ended, and wake all that wait for either."""
        del self.sessions[session.viewing]
        if self.journal:
            self.journal.drop(session.viewing)
        self.on_session_closed(session, played)
        session.answered.set()
        session.closed.set()

    def viewing_ended(self, viewing: Id, reason: EndReason) -> None:
        """Drop the session of a viewing that played and has ended."""
        if session := self.sessions.get(viewing):
            log.info(
                "ended",
                viewing=viewing,
                streamer=session.remote and session.remote.streamer,
                cause=reason.name.lower(),
            )
            self.forget(session)
            if session.remote:
                self._unsubscribe_if_unused(session.remote)

    def probe(self, streamer: Id) -> None:
        """Request the load of a streamer; the result is reported to the host."""
        gevent.spawn(self._probe, streamer)

    def follow(self) -> None:
        """Do nothing: the streamer list is followed from the start, and its source retries by itself."""

    def send_to_peer(self, peer: int, words: bytes) -> None:
        """Log that messages to other controllers are not supported."""
        log.warning("messages to other controllers are not supported", peer=peer)

    def request_budget(self, budget: str) -> None:
        """Request a larger share of a fleet budget."""
        if self.budgets:
            self.budgets.request_more(budget)

    def wake(self, at: float) -> None:
        """Set the time at which the host is woken."""
        self.timer.set(at)

    def _write_journal(self, viewing: Id, stage: ViewingStage) -> None:
        """Record a viewing in the journal, before the effect that depends on it."""
        if self.journal is None or (session := self.sessions.get(viewing)) is None:
            return
        hosted = self.host.viewings[viewing]
        remote = list(session.remote) if session.remote else None
        self.journal.put(
            JournalEntry(
                stage, hosted.request, hosted.number, hosted.streamer, hosted.rung, session.protocol,
                session.secret, session.owner, list(session.repeat_key), session.digest, remote,
            )
        )  # fmt: skip

    # The timer.

    def run(self) -> None:
        """Wake the host at the times that it sets; never returns."""
        self.timer.run(self.host.woke)

    # Requests to streamers.

    def _headers(self) -> list[tuple[str, str]]:
        return [("Via", f"1.1 {self.name}"), ("Accept", "*/*")]

    def _tune_in(self, request: ViewingRequest, number: int, streamer: Id, rung: int, timeout: float) -> None:
        viewing, tune_in = request.viewing, (request.viewing, number)
        session = self.sessions.get(viewing)
        reason, load, confirmed = EndReason.UNREACHED, None, True
        try:
            if session is None:
                return
            # A new connection: a reused one may have been reset before the request was read, which could not
            # be told from a later reset. Whether the request ran decides if the package allows a retry.
            connection = ClientConnection(self.addresses[streamer], min(self.connect_timeout, 0.9 * timeout))
            if not self._may_send(viewing, number):
                connection.close()
                # It was not sent, so nothing counts against the streamer.
                reason, load = EndReason.FULL, LoadReport()
                return
            self.tune_in_connections[tune_in] = connection
            target = self.targets[session.protocol].format(
                title=quote(str(request.title), safe=""), rung=rung
            )
            connection.send(
                "POST",
                target,
                [
                    *self._headers(),
                    ("Content-Type", session.media_type),
                    ("Idempotency-Key", f'"{self.name}/{viewing}"'),
                ],
                session.offer,
            )
            reason, confirmed = EndReason.BROKEN, False
            reply = connection.receive(timeout + LATE_ANSWER_SECONDS)
            reason, load, remote = self._read_tune_in_reply(streamer, target, reply)
            confirmed = reply.status != 201 and reply.status < 500 or reason is EndReason.FULL
            if remote:
                self.remote_sessions[tune_in] = session.remote = remote
                reason = None
                if self.host.started(self.clock(), viewing, number, streamer, load):
                    self.follow_events(remote)
                else:
                    log.info("late start torn down", viewing=viewing, streamer=streamer, number=number)
            self._pool(self.addresses[streamer]).keep(connection)
        except (OSError, KeyError) as error:
            log.debug("tune-in failed", viewing=viewing, streamer=streamer, cause=repr(error))
            if connection := self.tune_in_connections.get(tune_in):
                connection.close()
        except h11.RemoteProtocolError as error:
            reason = EndReason.FAULTY
            log.warning("invalid HTTP from streamer", viewing=viewing, streamer=streamer, cause=str(error))
            self.tune_in_connections[tune_in].close()
        finally:
            self.tune_in_connections.pop(tune_in, None)
            if reason is not None:
                self._release_budgets(tune_in, confirmed)
                self.host.ended(self.clock(), viewing, number, reason, load)

    def _may_send(self, viewing: Id, number: int) -> bool:
        """Return whether a tune-in may still be sent, as time has passed since it was decided."""
        if not self.host.sendable(viewing, number, self.clock(), self.is_rank_valid()):
            return False
        return self.budgets is None or self.budgets.may_send((viewing, number))

    def _release_budgets(self, tune_in: tuple[Id, int], confirmed: bool = True) -> None:
        """Stop counting a tune-in; `confirmed` if the streamer certainly does not play it."""
        if self.budgets:
            self.budgets.ended(tune_in, confirmed)

    def _read_tune_in_reply(
        self, streamer: Id, target: str, reply: Reply
    ) -> tuple[EndReason, LoadReport | None, RemoteSession | None]:
        """Read the reply to a tune-in; the end reason counts only where there is no remote session."""
        load = read_load(reply.header(LOAD_HEADER))
        if reply.status == 201:
            remote = read_remote_session(streamer, target, reply)
            return EndReason.FAULTY, load, remote
        if reply.status == 503:
            return EndReason.FULL, load, None
        if reply.status in (404, 429):
            # The streamer is healthy and only cannot play this title. With an empty load report, nothing
            # counts against its link.
            return EndReason.FULL, load or LoadReport(), None
        if reply.status in (400, 406, 415, 422):
            # The offer is invalid. If this counted against streamers, one client could have them all
            # excluded.
            return EndReason.NOT_SENT, load, None
        return EndReason.FAULTY, load, None

    def _set_rung(self, session: Session, number: int) -> None:
        # One request at a time, the newest rung last: concurrent requests could arrive in the wrong order.
        try:
            while session.pending_rung is not None and (remote := session.remote) and remote.layer:
                rung, session.pending_rung = session.pending_rung, None
                try:
                    reply = self._call(
                        remote.streamer,
                        "POST",
                        remote.layer,
                        write_layer(rung),
                        SET_RUNG_SECONDS,
                        [("Content-Type", "application/json")],
                    )
                    gone = reply.status in (404, 410)
                except (OSError, h11.ProtocolError, KeyError) as error:
                    log.warning(
                        "rung not set", viewing=session.viewing, streamer=remote.streamer, cause=repr(error)
                    )
                    continue
                if gone:
                    self._release_budgets((session.viewing, number))
                    self.host.ended(self.clock(), session.viewing, number, EndReason.BROKEN)
        finally:
            session.setting_rung = False

    def _tear_down(self, viewing: Id, number: int, streamer: Id, wanted: bool) -> None:
        remote, confirmed = self.remote_sessions.pop((viewing, number), None), False
        for _ in range(2 if remote else 0):
            with suppress(OSError, h11.ProtocolError, KeyError):
                if (
                    confirmed := self._call(streamer, "DELETE", remote.path, b"", TEARDOWN_SECONDS).status
                    < 500
                ):
                    break
        self._release_budgets((viewing, number), confirmed)
        if wanted:
            self.host.torn_down(self.clock(), viewing, number)

    def _probe(self, streamer: Id) -> None:
        began = self.clock()
        outcome, load = EndReason.PLAYED, None
        try:
            target = self.targets["whep"].format(title="-", rung=0)
            load = read_load(self._call(streamer, "OPTIONS", target, b"", PROBE_SECONDS).header(LOAD_HEADER))
        except TimeoutError:
            outcome = EndReason.TIMED_OUT
        except (OSError, h11.ProtocolError, KeyError):
            outcome = EndReason.UNREACHED
        now = self.clock()
        self.host.probed(now, streamer, outcome, now - began, load)

    def session_exists(self, remote: RemoteSession) -> bool | None:
        """Return whether a streamer still has a session; None if it does not say."""
        try:
            # A session resource serves no GET (RFC 9725, 4.2: 405); only its existence matters here.
            return self._call(remote.streamer, "GET", remote.path, b"", EXISTS_SECONDS).status not in (
                404,
                410,
            )
        except (OSError, h11.ProtocolError, KeyError):
            return None

    def forward(
        self, remote: RemoteSession, method: str, headers: list[tuple[str, str]], body: bytes
    ) -> Reply:
        """Forward a client's PATCH to its streamer; raises OSError, h11.ProtocolError or KeyError."""
        return self._call(remote.streamer, method, remote.path, body, FORWARD_SECONDS, headers)

    def _call(self, streamer: Id, method: str, target: str, body: bytes, timeout: float, headers=()) -> Reply:
        pool = self._pool(self.addresses[streamer])
        return pool.call(method, target, [*self._headers(), *headers], body, timeout)

    def _pool(self, address: Address) -> ConnectionPool:
        if address not in self.pools:
            self.pools[address] = ConnectionPool(address, self.connect_timeout)
        return self.pools[address]

    # Event streams: one per address that streamers name, shared by the sessions that name it.

    def follow_events(self, remote: RemoteSession) -> None:
        """Subscribe to the event stream of a session, unless that is done already."""
        key = remote.streamer, remote.events
        if remote.events and key not in self.subscriptions:
            source = remote.streamer, self.addresses[remote.streamer], remote.events
            self.subscriptions[key] = EventSubscription(
                self, self.name, self.connect_timeout, self.clock, *source
            )

    def _unsubscribe_if_unused(self, remote: RemoteSession) -> None:
        key = remote.streamer, remote.events
        if not any(
            s.remote and (s.remote.streamer, s.remote.events) == key for s in self.sessions.values()
        ) and (subscription := self.subscriptions.pop(key, None)):
            subscription.stop()

    def on_share_reported(self, streamer: Id, share: float) -> None:
        """Report the share of its load that a streamer delivers."""
        self.host.share_told(self.clock(), streamer, share)

    def on_load_reported(self, streamer: Id, uplink: bool, ratio: float) -> None:
        """Report the load of a streamer's link, or of its rack's uplink."""
        self.host.load_told(self.clock(), streamer, uplink, None, ratio)

    def on_session_ended(self, streamer: Id, resource: str, reason: EndReason) -> None:
        """Handle a streamer's report that one of its sessions ended."""
        for tune_in, remote in list(self.remote_sessions.items()):
            if remote.streamer == streamer and remote.path == resource:
                self._session_ended(tune_in, reason)

    def _session_ended(self, tune_in: tuple[Id, int], reason: EndReason) -> None:
        if self.remote_sessions.pop(tune_in, None):
            self._release_budgets(tune_in)
            self.host.ended(self.clock(), *tune_in, reason)

    def on_stream_restored(self, streamer: Id, target: str) -> None:
        """Check the sessions of a streamer whose event stream broke: another process may answer there now."""
        gevent.spawn(self._check_sessions, streamer, target)

    def _check_sessions(self, streamer: Id, target: str) -> None:
        for tune_in, remote in list(self.remote_sessions.items()):
            if (remote.streamer, remote.events) == (streamer, target) and (
                self.session_exists(remote) is False
            ):
                log.info("session not found after a break", viewing=tune_in[0], streamer=streamer)
                self._session_ended(tune_in, EndReason.BROKEN)

    def on_streamer_lost(self, streamer: Id, target: str, cause: str) -> None:
        """End all viewings of a streamer whose process is gone; `target` was its event stream."""
        self.subscriptions.pop((streamer, target), None)
        playing = self.host.playing_at(streamer)
        log.warning("streamer lost", streamer=streamer, viewings=len(playing), cause=cause)
        for viewing, number in playing:
            # The streamer may still run and only be cut off from this controller. Then it must release its
            # sessions, as they are no longer controlled.
            self.tear_down(viewing, number, streamer, False)
        self.host.all_ended(self.clock(), playing, EndReason.BROKEN)

    def close(self) -> None:
        """Stop all subscriptions and close all idle connections."""
        for subscription in self.subscriptions.values():
            subscription.stop()
        for pool in self.pools.values():
            pool.close()
