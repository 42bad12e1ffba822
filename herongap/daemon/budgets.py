"""Carries the shares of wholes between `herongap.accord` and the store. It decides nothing."""

from collections.abc import Callable, Iterable, Mapping

import gevent
import structlog
from gevent.event import Event

from herongap.accord import Commit, Shares, Terms
from herongap.etcd import messages as m
from herongap.etcd.follower import Item

LOOK = 0.05  # seconds between two looks at what is due; what is heard comes sooner
log = structlog.get_logger()


class Budgets:
    """One controller's shares, by the names of their budgets.

    `swap(body)` sends a transaction and gives its answer, and raises `faults` where nobody knows what became
    of it. `live()` gives each live controller's claim by its number, None while that is in doubt.
    """

    def __init__(self, terms: Iterable[Terms], prefix: str, number: int, ttl: float, seed: int,
                 clock: Callable, swap: Callable, faults: tuple,
                 live: Callable[[], Mapping[str, int] | None]):  # fmt: skip
        self.clock, self.swap, self.faults, self.live = clock, swap, faults, live
        self.shares = {t.name: Shares(t, str(number), ttl, seed) for t in terms}
        self.keys = {name: f"{prefix}budgets/{name}" for name in self.shares}
        self.nudge = Event()
        self.unknown = 0  # commits without an answer so far

    def heard(self, revision: int, items: Mapping[str, Item]) -> None:
        """The list has got to a revision: each document as it is there."""
        now = self.clock()
        for name, shares in self.shares.items():
            item = items.get(self.keys[name])
            bad = shares.bad
            shares.shown(now, revision, item.mod if item else 0, item.value if item else None)
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

    def leave(self) -> None:
        """This controller ends: what it does not use is given back at once."""
        now = self.clock()
        for shares in self.shares.values():
            shares.leaving, shares.due = True, now
        self.nudge.set()

    @property
    def left(self) -> bool:
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
            except Exception:
                log.exception("a fault of ours; the budgets go on")
            self.nudge.clear()
            self.nudge.wait(LOOK)

    def _send(self, shares: Shares, commit: Commit) -> None:
        name = shares.terms.name
        try:
            reply = self.swap(m.swap_body(self.keys[name], commit.base, commit.data))
        except self.faults as fault:
            self.unknown += 1
            log.warning("budget: outcome unknown, sent again", budget=name, cause=repr(fault))
            shares.unanswered(self.clock(), commit)
            return
        at = reply.header.revision
        revision, version, data = (at, at, commit.data) if reply.succeeded else reply.shown
        shares.answered(self.clock(), commit, revision, reply.succeeded, version, data)
        self.nudge.set()

    def told(self) -> dict:
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
