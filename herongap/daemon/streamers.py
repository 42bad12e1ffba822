"""The port to streamers: WHIP and WHEP calls in greenlets. It carries; when and whether is the host's to
say.
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
from herongap.state import Known
from herongap.whep import write_layer

Id = int | str
REAP = 10.0  # seconds for which the late answer to a tune-in is still waited for, to tear it down
CLOSE = 0.8  # seconds for one try of a teardown; two fit into what the host allows
log = structlog.get_logger()


class StreamerPort:
    """Carries the host's decisions to streamers, and what comes of them back."""

    def __init__(self, name: str, connect: float, targets: dict[str, str], clock=time.monotonic):
        self.name, self.connect, self.targets, self.clock = name, connect, targets, clock
        self.host: Host | None = None
        self.addresses: dict[Id, Address] = {}
        self.sessions: dict[Id, Session] = {}
        self.calls: dict[tuple[Id, int], ClientConnection | None] = {}
        self.remotes: dict[tuple[Id, int], RemoteSession] = {}
        self.pools: dict[Address, ConnectionPool] = {}
        self.subscriptions: dict[tuple[Id, str], EventSubscription] = {}
        self.on_over = lambda session, answer: None
        self.journal: Journal | None = None
        self.budgets: Budgets | None = None
        self.ranked: Callable[[], bool] = lambda: True  # whether our place among the controllers still holds
        self.alarm = Timer(clock)

    # The port.

    def tune_in(self, ask: ViewingRequest, number: int, streamer: Id, rung: int, time_out: float) -> None:
        log.debug(
            "tune-in",
            viewing=ask.viewing,
            streamer=streamer,
            number=number,
            rung=rung,
            time_out=round(time_out, 3),
        )
        self.calls[ask.viewing, number] = None
        if self.budgets:
            self.budgets.reserve((ask.viewing, number), self.host.viewings[ask.viewing].charged_budgets)
        self._keep(ask.viewing, Known.SENT)
        gevent.spawn(self._tune_in, ask, number, streamer, rung, time_out)

    def call_off(self, viewing: Id, number: int, streamer: Id) -> None:
        if call := self.calls.get((viewing, number)):
            call.hang_up()

    def set_rung(self, viewing: Id, number: int, streamer: Id, rung: int) -> None:
        session = self.sessions[viewing]
        session.rung = rung
        self._keep(viewing, Known.PLAYING)
        if not session.setting:
            session.setting = True
            gevent.spawn(self._set_rung, session, number)

    def tear_down(self, viewing: Id, number: int, streamer: Id, wanted: bool) -> None:
        if wanted:
            self._keep(viewing, Known.CLOSING)
        gevent.spawn(self._tear_down, viewing, number, streamer, wanted)

    def answer(self, viewing: Id, answer: Answer) -> None:
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
        self._keep(viewing, Known.PLAYING)
        session.done.set()

    def forget(self, session: Session, played: bool = True) -> None:
        """A session that is answered and held no more: whoever waits for its answer or its end is told."""
        del self.sessions[session.viewing]
        if self.journal:
            self.journal.drop(session.viewing)
        self.on_over(session, played)
        session.done.set()
        session.closed.set()

    def viewing_ended(self, viewing: Id, how: EndReason) -> None:
        if session := self.sessions.get(viewing):
            log.info(
                "ended",
                viewing=viewing,
                streamer=session.remote and session.remote.streamer,
                cause=how.name.lower(),
            )
            self.forget(session)
            if session.remote:
                self._unfollow(session.remote)

    def probe(self, streamer: Id) -> None:
        gevent.spawn(self._probe, streamer)

    def follow(self) -> None:
        """The list is followed from the start; a feed that failed comes back by itself."""

    def send_to_peer(self, peer: int, words: bytes) -> None:
        log.warning("no way to controllers", peer=peer)

    def request_budget(self, whole: str) -> None:
        if self.budgets:
            self.budgets.short(whole)

    def wake(self, at: float) -> None:
        self.alarm.set(at)

    def _keep(self, viewing: Id, known: Known) -> None:
        """Write a viewing down, before the effect that depends on it."""
        if self.journal is None or (session := self.sessions.get(viewing)) is None:
            return
        life = self.host.viewings[viewing]
        remote = list(session.remote) if session.remote else None
        self.journal.put(
            JournalEntry(
                known, life.request, life.number, life.streamer, life.rung, session.protocol, session.secret,
                session.owner, list(session.key), session.digest, remote,
            )
        )  # fmt: skip

    # The one timer.

    def run(self) -> None:
        """Wake the host whenever it asked to be; never returns."""
        self.alarm.run(self.host.woke)

    # What goes over the network.

    def _headers(self) -> list[tuple[str, str]]:
        return [("Via", f"1.1 {self.name}"), ("Accept", "*/*")]

    def _tune_in(self, ask: ViewingRequest, number: int, streamer: Id, rung: int, time_out: float) -> None:
        viewing, key = ask.viewing, (ask.viewing, number)
        session = self.sessions.get(viewing)
        how, load, sure = EndReason.UNREACHED, None, True
        try:
            if session is None:
                return
            # A connection of its own: on a kept one, a reset could not be told from one that came before the
            # request was read, and whether it ran is what the package's terms go by.
            call = ClientConnection(self.addresses[streamer], min(self.connect, 0.9 * time_out))
            if not self._leaves(viewing, number):
                call.close()
                how, load = EndReason.FULL, LoadReport()  # it never left, and its streamer is sound
                return
            self.calls[key] = call
            target = self.targets[session.protocol].format(title=quote(str(ask.title), safe=""), rung=rung)
            call.send(
                "POST",
                target,
                [
                    *self._headers(),
                    ("Content-Type", session.media_type),
                    ("Idempotency-Key", f'"{self.name}/{viewing}"'),
                ],
                session.offer,
            )
            how, sure = EndReason.BROKEN, False
            reply = call.receive(time_out + REAP)
            how, load, remote = self._read(streamer, target, reply)
            sure = reply.status != 201 and reply.status < 500 or how is EndReason.FULL
            if remote:
                self.remotes[key] = session.remote = remote
                how = None
                if self.host.started(self.clock(), viewing, number, streamer, load):
                    self.follow_events(remote)
                else:
                    log.info("late", viewing=viewing, streamer=streamer, number=number)
            self._pool(self.addresses[streamer]).keep(call)
        except (OSError, KeyError) as fault:
            log.debug("tune-in failed", viewing=viewing, streamer=streamer, cause=repr(fault))
            if call := self.calls.get(key):
                call.close()
        except h11.RemoteProtocolError as fault:
            how = EndReason.FAULTY
            log.warning("streamer answers no HTTP", viewing=viewing, streamer=streamer, cause=str(fault))
            self.calls[key].close()
        finally:
            self.calls.pop(key, None)
            if how is not None:
                self._over(key, sure)
                self.host.ended(self.clock(), viewing, number, how, load)

    def _leaves(self, viewing: Id, number: int) -> bool:
        """Whether a tune-in may leave now: much may have passed since it was decided."""
        if not self.host.sendable(viewing, number, self.clock(), self.ranked()):
            return False
        return self.budgets is None or self.budgets.leaves((viewing, number))

    def _over(self, thing: tuple[Id, int], sure: bool = True) -> None:
        if self.budgets:
            self.budgets.over(thing, sure)

    def _read(
        self, streamer: Id, target: str, reply: Reply
    ) -> tuple[EndReason, LoadReport | None, RemoteSession | None]:
        load = read_load(reply.header(LOAD_HEADER))
        if reply.status == 201:
            remote = read_remote_session(streamer, target, reply)
            return EndReason.FAULTY, load, remote
        if reply.status == 503:
            return EndReason.FULL, load, None
        if reply.status in (404, 429):
            # The streamer is sound, it only cannot play this one: nothing is to be held against its link.
            return EndReason.FULL, load or LoadReport(), None
        if reply.status in (400, 406, 415, 422):
            # The offer is at fault. Held against streamers, one client could set them all aside.
            return EndReason.NOT_SENT, load, None
        return EndReason.FAULTY, load, None

    def _set_rung(self, session: Session, number: int) -> None:
        # One after the other, the newest rung last: two at once could arrive in the other order.
        try:
            while session.rung is not None and (remote := session.remote) and remote.layer:
                rung, session.rung = session.rung, None
                try:
                    reply = self._call(
                        remote.streamer,
                        "POST",
                        remote.layer,
                        write_layer(rung),
                        2.0,
                        [("Content-Type", "application/json")],
                    )
                    gone = reply.status in (404, 410)
                except (OSError, h11.ProtocolError, KeyError) as fault:
                    log.warning(
                        "rung not set", viewing=session.viewing, streamer=remote.streamer, cause=repr(fault)
                    )
                    continue
                if gone:
                    self._over((session.viewing, number))
                    self.host.ended(self.clock(), session.viewing, number, EndReason.BROKEN)
        finally:
            session.setting = False

    def _tear_down(self, viewing: Id, number: int, streamer: Id, wanted: bool) -> None:
        remote, sure = self.remotes.pop((viewing, number), None), False
        for _ in range(2 if remote else 0):
            with suppress(OSError, h11.ProtocolError, KeyError):
                if sure := self._call(streamer, "DELETE", remote.path, b"", CLOSE).status < 500:
                    break
        self._over((viewing, number), sure)
        if wanted:
            self.host.torn_down(self.clock(), viewing, number)

    def _probe(self, streamer: Id) -> None:
        began = self.clock()
        how, load = EndReason.PLAYED, None
        try:
            target = self.targets["whep"].format(title="-", rung=0)
            load = read_load(self._call(streamer, "OPTIONS", target, b"", 0.5).header(LOAD_HEADER))
        except TimeoutError:
            how = EndReason.TIMED_OUT
        except (OSError, h11.ProtocolError, KeyError):
            how = EndReason.UNREACHED
        now = self.clock()
        self.host.probed(now, streamer, how, now - began, load)

    def there(self, remote: RemoteSession) -> bool | None:
        """Whether a streamer still has a session; None where it does not say."""
        try:
            # A session resource serves no GET (RFC 9725, 4.2: 405); what matters is that it is one.
            return self._call(remote.streamer, "GET", remote.path, b"", 0.5).status not in (404, 410)
        except (OSError, h11.ProtocolError, KeyError):
            return None

    def forward(
        self, remote: RemoteSession, method: str, headers: list[tuple[str, str]], body: bytes
    ) -> Reply:
        """A client's PATCH to its session's streamer; raises OSError, h11.ProtocolError or KeyError."""
        return self._call(remote.streamer, method, remote.path, body, 3.0, headers)

    def _call(
        self, streamer: Id, method: str, target: str, body: bytes, time_out: float, headers=()
    ) -> Reply:
        pool = self._pool(self.addresses[streamer])
        return pool.call(method, target, [*self._headers(), *headers], body, time_out)

    def _pool(self, address: Address) -> ConnectionPool:
        if address not in self.pools:
            self.pools[address] = ConnectionPool(address, self.connect)
        return self.pools[address]

    # Event streams: one for each address that streamers name, shared by the viewings that name it.

    def follow_events(self, remote: RemoteSession) -> None:
        """Hear what the streamer of a session says of it."""
        key = remote.streamer, remote.events
        if remote.events and key not in self.subscriptions:
            where = remote.streamer, self.addresses[remote.streamer], remote.events
            self.subscriptions[key] = EventSubscription(self, self.name, self.connect, self.clock, *where)

    def _unfollow(self, remote: RemoteSession) -> None:
        key = remote.streamer, remote.events
        if not any(
            s.remote and (s.remote.streamer, s.remote.events) == key for s in self.sessions.values()
        ) and (follower := self.subscriptions.pop(key, None)):
            follower.stop()

    def share_told(self, streamer: Id, share: float) -> None:
        self.host.share_told(self.clock(), streamer, share)

    def load_told(self, streamer: Id, uplink: bool, ratio: float) -> None:
        self.host.load_told(self.clock(), streamer, uplink, None, ratio)

    def ended_at(self, streamer: Id, resource: str, how: EndReason) -> None:
        """A streamer says that one of its sessions ended."""
        for (viewing, number), remote in list(self.remotes.items()):
            if remote.streamer == streamer and remote.path == resource:
                del self.remotes[viewing, number]
                self._over((viewing, number))
                self.host.ended(self.clock(), viewing, number, how)

    def lost(self, streamer: Id, target: str, cause: str) -> None:
        """A streamer's process is gone, and all that it played with it; `target` was its event stream."""
        self.subscriptions.pop((streamer, target), None)
        held = self.host.playing_at(streamer)
        log.warning("streamer lost", streamer=streamer, viewings=len(held), cause=cause)
        for viewing, number in held:
            # If it lives after all, only cut off from here, it is to let go of what nobody here knows any
            # more.
            self.tear_down(viewing, number, streamer, False)
            self.host.ended(self.clock(), viewing, number, EndReason.BROKEN)

    def close(self) -> None:
        for follower in self.subscriptions.values():
            follower.stop()
        for pool in self.pools.values():
            pool.close()
