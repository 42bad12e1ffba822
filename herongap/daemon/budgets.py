"""Carries the shares of wholes between `herongap.accord`, the store and the host. It decides nothing."""

from collections.abc import Callable, Hashable, Iterable, Mapping

import gevent
import structlog
from gevent.event import Event

from herongap.accord import Commit, Kind, Shares, Tally, Terms
from herongap.etcd import messages as m
from herongap.etcd.follower import KeyEntry
from herongap.ini.parts import WholeTerms

LOOK = 0.05  # seconds between two looks at what is due; what is heard comes sooner
log = structlog.get_logger()


def budget_terms(name: str, whole: WholeTerms) -> Terms:
    """A budget as its section of the file states it."""
    w = whole
    keep = w.without_store == "keep"
    return Terms(name, Kind(w.kind), w.whole, w.floor, w.window, w.linger, keep)


class Budgets:
    """One controller's shares, by the names of their budgets.

    `swap(body)` sends a transaction and gives its answer, and raises `faults` where nobody knows what became
    of it. `live()` gives each live controller's claim by its number, None while that is in doubt.
    `given(name, room)` is told of each whole of which more or less may be begun than before.
    """

    def __init__(self, terms: Iterable[Terms], prefix: str, number: int, ttl: float, seed: int,
                 clock: Callable, swap: Callable, faults: tuple,
                 live: Callable[[], Mapping[str, int] | None],
                 given: Callable[[str, int], None] = lambda name, room: None):  # fmt: skip
        self.clock, self.swap, self.faults, self.live, self.given = clock, swap, faults, live, given
        self.shares = {t.name: Shares(t, str(number), ttl, seed) for t in terms}
        self.tally = Tally(self.shares)
        self.keys = {name: f"{prefix}budgets/{name}" for name in self.shares}
        self.nudge = Event()
        self.unknown_outcomes = 0  # commits without an answer so far

    def heard(self, revision: int, items: Mapping[str, KeyEntry]) -> None:
        """The list has got to a revision: each document as it is there."""
        now = self.clock()
        for name, shares in self.shares.items():
            item = items.get(self.keys[name])
            bad = shares.bad
            shares.shown(now, revision, item.mod_revision if item else 0, item.value if item else None)
            if shares.bad and shares.bad != bad:
                log.error("budget not understood, nothing of it is used", budget=name, cause=shares.bad)
        self.nudge.set()

    def leased(self, life: int, until: float, holds: bool, failing: bool) -> None:
        """How our number stands: by which claim it is ours, until when, and whether a renewal has failed."""
        for shares in self.shares.values():
            shares.leased(life, until, holds, failing)

    def set_back(self) -> None:
        """The store is another one than before."""
        for shares in self.shares.values():
            shares.set_back()

    # What the port tells: a thing is (viewing, number) of a tune-in.

    def reserve(self, thing: Hashable, wholes: Iterable[str]) -> None:
        self.tally.reserve(self.clock(), thing, wholes)

    def leaves(self, thing: Hashable) -> bool:
        """Whether it may leave now: every part that it counts for still covers it."""
        fine = self.tally.leaves(self.clock(), thing)
        if not fine:
            log.info("budget gone before it left", thing=thing)
        return fine

    def adopted(self, thing: Hashable, wholes: Iterable[str]) -> None:
        self.tally.adopted(self.clock(), thing, wholes)

    def over(self, thing: Hashable, sure: bool = True) -> None:
        """It is over, or (not `sure`) nobody here will hear of its end."""
        (self.tally.over if sure else self.tally.lost)(self.clock(), thing)
        self.nudge.set()

    def short(self, whole: str) -> None:
        self.shares[whole].refused(self.clock())
        self.nudge.set()

    def leave(self) -> None:
        """This controller ends: what it does not use is given back at once."""
        now = self.clock()
        for shares in self.shares.values():
            shares.leaving, shares.due = True, now
        self.nudge.set()

    @property
    def released(self) -> bool:
        """Whether nothing here is ours any more."""
        return all(s.division is None or s.me not in s.division.parts for s in self.shares.values())

    def run(self) -> None:
        """Commit what is due, for ever; each on a greenlet of its own, so that none waits for another."""
        while True:
            try:
                due = [shares for shares in self.shares.values() if shares.due <= self.clock()]
                live = self.live() if due else None
                for shares in due:
                    if (commit := shares.step(self.clock(), live)) is not None:
                        gevent.spawn(self._send, shares, commit)
                for name, room in self.tally.rooms(self.clock()):
                    self.given(name, room)
            except Exception:
                log.exception("a fault of ours; the budgets go on")
            self.nudge.clear()
            self.nudge.wait(LOOK)

    def _send(self, shares: Shares, commit: Commit) -> None:
        name = shares.terms.name
        try:
            reply = self.swap(m.swap_body(self.keys[name], commit.base, commit.data))
        except self.faults as fault:
            self.unknown_outcomes += 1
            # Once for each commit: the same word a hundred times a second hides the others on the page.
            told = log.debug if shares.ledger.doubt else log.warning
            told("budget: outcome unknown, sent again", budget=name, cause=repr(fault))
            shares.unanswered(self.clock(), commit)
            return
        at = reply.header.revision
        revision, version, data = (at, at, commit.data) if reply.succeeded else reply.conflict
        shares.answered(self.clock(), commit, revision, reply.succeeded, version, data)
        self.nudge.set()

    def status(self) -> dict:
        """Where each budget stands here, for operators."""
        now, told = self.clock(), {}
        for name, s in self.shares.items():
            d = s.division
            told[name] = {
                "whole": d.whole if d else None, "open": bool(d and d.open), "mine": s.mine(now),
                "use": s.use(now), "want": s.want(now), "doubt": s.ledger.doubt, "bad": s.bad,
                "parts": {m: p._asdict() for m, p in sorted(d.parts.items())} if d else {},
            }  # fmt: skip
        return told
