"""A restart: what the journal has is set beside what streamers hold, and taken up, ended or let go.

`herongap.state.reconcile` says which; this asks the streamers, some at a time, and carries it out.
"""

import time

import gevent
import structlog
from gevent.pool import Pool as Greenlets

from herongap.daemon.journal import Journal, JournalEntry
from herongap.daemon.session import RemoteSession, Session
from herongap.daemon.session_service import SessionService
from herongap.host import Answer
from herongap.interface import EndReason
from herongap.state import Fate, Found, Kept, Known, reconcile

AT_ONCE = 20  # streamers' sessions asked about at one time: new viewings come first
TRIES, PAUSE = 3, 0.4  # how often a streamer that does not answer is asked, and seconds between
LISTED = 3.0  # seconds for which the list may still be on its way
log = structlog.get_logger()


class Recovery:
    """One start. `begin` before the front listens, `run` once it does."""

    def __init__(self, journal: Journal, door: SessionService, secrets: dict[str, Session]):
        self.journal, self.door, self.secrets = journal, door, secrets
        self.port, self.host = door.port, door.host
        self.told = dict.fromkeys(("adopted", "ended", "gone"), 0)

    def begin(self) -> None:
        """Make what was kept known again: a repeated offer then waits for it and is not set up twice."""
        for entry in self.journal.entries.values():
            session = Session(
                entry.ask.viewing, entry.secret, entry.protocol, entry.ask.title, "", b"", entry.owner,
                tuple(entry.key), entry.digest,
            )  # fmt: skip
            session.remote = RemoteSession(*entry.remote) if entry.remote else None
            self.port.sessions[entry.ask.viewing] = session
            self.door.repeats.add(session.key, session.digest, entry.ask.viewing)
            if entry.protocol != "dash":
                self.secrets[entry.secret] = session

    def run(self) -> None:
        began, entries = time.monotonic(), list(self.journal.entries.values())
        self._await_list(entries)
        asked = Greenlets(AT_ONCE)
        # What plays first, the dearest before others.
        entries.sort(key=lambda e: (e.known is not Known.PLAYING, -self._value(e)))
        asked.map(self._settle, entries)
        if entries:
            log.info("recovered", seconds=round(time.monotonic() - began, 3), **self.told)
        self.journal.entries.clear()

    def _value(self, entry: JournalEntry) -> float:
        package = self.door.packages.get(entry.ask.package)
        return package.value if package else 0.0

    def _await_list(self, entries: list[JournalEntry]) -> None:
        until = time.monotonic() + LISTED
        while time.monotonic() < until and any(e.streamer not in self.host.statuses for e in entries):
            gevent.sleep(0.02)

    def _settle(self, entry: JournalEntry) -> None:
        viewing, session = entry.ask.viewing, self.port.sessions[entry.ask.viewing]
        there = self._there(session)
        kept = Kept(viewing, entry.number, entry.streamer, entry.known, entry.rung, self._value(entry))
        found = {entry.streamer: [Found(viewing, entry.number, entry.rung)] if there else []}
        ((fate, _, _),) = reconcile([kept], found if there is not None else {entry.streamer: None})
        playable = entry.protocol != "dash" and entry.ask.package in self.door.packages
        if fate is Fate.ADOPT and playable:
            self._adopt(entry, session)
            return
        if session.remote and fate in (Fate.ADOPT, Fate.END, Fate.WAIT):
            # Not answered to the last: told to let go should it live, for nobody here controls it any more.
            self.port.remotes[viewing, entry.number] = session.remote
            self.port.tear_down(viewing, entry.number, entry.streamer, False)
        self._let_go(session, "gone" if fate is Fate.GONE else "ended")

    def _there(self, session: Session) -> bool | None:
        if session.remote is None:
            # Its answer never came, so nobody knows its address: its streamer ends it when no viewer comes.
            return False
        for turn in range(TRIES):
            if turn:
                gevent.sleep(PAUSE)
            if (there := self.port.there(session.remote)) is not None:
                return there
        return None

    def _adopt(self, entry: JournalEntry, session: Session) -> None:
        viewing, remote = entry.ask.viewing, session.remote
        self.port.remotes[viewing, entry.number] = remote
        ask = entry.ask._replace(holders=frozenset(entry.ask.holders))
        if not self.host.adopted(self.door.clock(), ask, entry.number, entry.streamer, entry.rung):
            self._let_go(session, "ended")
            return
        if self.port.budgets:
            self.port.budgets.adopted((viewing, entry.number), self.host.viewings[viewing].charged_budgets)
        self.told["adopted"] += 1
        session.answer = Answer("plays")
        session.done.set()
        self.port.follow_events(remote)

    def _let_go(self, session: Session, how: str) -> None:
        self.told[how] += 1
        session.answer = Answer("aborted", cause=EndReason.BROKEN)
        self.port.forget(session)
