"""Recovery after a restart: the journal is compared with what streamers hold, and each viewing is settled.

`herongap.state.reconcile` decides whether a viewing is adopted, ended or released; this module asks the
streamers, a limited number at a time, and carries the decision out.
"""

import time

import gevent
import structlog
from gevent.pool import Pool as GreenletPool

from herongap.daemon.journal import Journal, JournalEntry
from herongap.daemon.session import RemoteSession, Session
from herongap.daemon.session_service import SessionService
from herongap.host import Answer
from herongap.interface import EndReason
from herongap.state import JournaledViewing, RecoveryAction, StreamerSession, ViewingStage, reconcile

MAX_CONCURRENT_CHECKS = 20  # sessions checked at one time: new viewings have precedence
ATTEMPTS, RETRY_SECONDS = 3, 0.4  # for a streamer that does not answer
LIST_WAIT_SECONDS = 3.0  # for the streamer list, which may not have arrived yet
log = structlog.get_logger()


class Recovery:
    """The recovery of one start. Call `restore_sessions` before the server listens, and `run` afterwards."""

    def __init__(self, journal: Journal, service: SessionService, sessions_by_secret: dict[str, Session]):
        self.journal, self.service, self.sessions_by_secret = journal, service, sessions_by_secret
        self.port, self.host = service.port, service.host
        self.counts = dict.fromkeys(("adopted", "ended", "gone"), 0)

    def restore_sessions(self) -> None:
        """Register the journal's sessions, so that a repeated offer waits for one instead of starting
        another.
        """
        for entry in self.journal.entries.values():
            session = Session(
                entry.request.viewing, entry.secret, entry.protocol, entry.request.title, "", b"",
                entry.owner, tuple(entry.repeat_key), entry.digest,
            )  # fmt: skip
            session.remote = RemoteSession(*entry.remote) if entry.remote else None
            self.port.sessions[entry.request.viewing] = session
            self.service.register_repeats(
                entry.request.viewing, session.repeat_key, session.digest, entry.request.package
            )
            if entry.protocol != "dash":
                self.sessions_by_secret[entry.secret] = session

    def run(self) -> None:
        """Settle every viewing of the journal, then forget its entries."""
        began, entries = time.monotonic(), list(self.journal.entries.values())
        self._await_list(entries)
        checks = GreenletPool(MAX_CONCURRENT_CHECKS)
        # Playing viewings first, the most valuable ones before the others.
        entries.sort(key=lambda e: (e.stage is not ViewingStage.PLAYING, -self._value(e)))
        checks.map(self._settle, entries)
        if entries:
            log.info("recovered", seconds=round(time.monotonic() - began, 3), **self.counts)
        self.journal.entries.clear()

    def _value(self, entry: JournalEntry) -> float:
        package = self.service.packages.get(entry.request.package)
        return package.value if package else 0.0

    def _await_list(self, entries: list[JournalEntry]) -> None:
        deadline = time.monotonic() + LIST_WAIT_SECONDS
        while time.monotonic() < deadline and any(e.streamer not in self.host.statuses for e in entries):
            gevent.sleep(0.02)

    def _settle(self, entry: JournalEntry) -> None:
        viewing, session = entry.request.viewing, self.port.sessions[entry.request.viewing]
        exists = self._exists(session)
        journaled = JournaledViewing(
            viewing, entry.number, entry.streamer, entry.stage, entry.rung, self._value(entry)
        )
        found = {entry.streamer: [StreamerSession(viewing, entry.number, entry.rung)] if exists else []}
        ((action, _, _),) = reconcile([journaled], found if exists is not None else {entry.streamer: None})
        adoptable = entry.protocol != "dash" and entry.request.package in self.service.packages
        if action is RecoveryAction.ADOPT and adoptable:
            self._adopt(entry, session)
            return
        if session.remote and action in (RecoveryAction.ADOPT, RecoveryAction.END, RecoveryAction.WAIT):
            # The streamer may have given no answer and still play it: it is torn down, because this
            # controller no longer controls it.
            self.port.remote_sessions[viewing, entry.number] = session.remote
            self.port.tear_down(viewing, entry.number, entry.streamer, False)
        self._release(session, "gone" if action is RecoveryAction.RELEASE else "ended")

    def _exists(self, session: Session) -> bool | None:
        if session.remote is None:
            # The answer to the tune-in never arrived, so the session's address is unknown. Its streamer ends
            # it when no viewer connects.
            return False
        for attempt in range(ATTEMPTS):
            if attempt:
                gevent.sleep(RETRY_SECONDS)
            if (exists := self.port.session_exists(session.remote)) is not None:
                return exists
        return None

    def _adopt(self, entry: JournalEntry, session: Session) -> None:
        viewing, remote = entry.request.viewing, session.remote
        self.port.remote_sessions[viewing, entry.number] = remote
        request = entry.request._replace(holders=frozenset(entry.request.holders))
        if not self.host.adopted(self.service.clock(), request, entry.number, entry.streamer, entry.rung):
            self._release(session, "ended")
            return
        if self.port.budgets:
            self.port.budgets.adopted((viewing, entry.number), self.host.viewings[viewing].charged_budgets)
        self.counts["adopted"] += 1
        session.answer = Answer("plays")
        session.answered.set()
        self.port.follow_events(remote)

    def _release(self, session: Session, outcome: str) -> None:
        self.counts[outcome] += 1
        session.answer = Answer("aborted", cause=EndReason.BROKEN)
        self.port.forget(session)
