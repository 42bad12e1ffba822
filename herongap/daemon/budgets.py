"""Carries budget shares between `herongap.accord`, the store and the host. It decides nothing."""

from collections.abc import Callable, Hashable, Iterable, Mapping

import gevent
import structlog
from gevent.event import Event

from herongap.accord import BudgetKind, BudgetShare, BudgetTerms, Commit, UsageCounter
from herongap.etcd import messages as m
from herongap.etcd.follower import KeyEntry
from herongap.ini.parts import WholeTerms

POLL_SECONDS = 0.05  # between two checks of what is due; events are handled sooner
log = structlog.get_logger()


def budget_terms(name: str, section: WholeTerms) -> BudgetTerms:
    """Convert a budget's section of the configuration file."""
    w = section
    keep = w.without_store == "keep"
    return BudgetTerms(name, BudgetKind(w.kind), w.whole, w.floor, w.window, w.linger, keep)


class Budgets:
    """One controller's shares of the fleet budgets, by budget name.

    `commit(body)` sends a transaction and returns its answer; it raises one of `network_errors` if the
    outcome is unknown. `live_claims()` returns each live controller's claim by its number, None while that is
    uncertain. `on_room_change(name, room)` is called for each budget whose room for new work has changed.
    """

    def __init__(self, terms: Iterable[BudgetTerms], prefix: str, number: int, ttl: float, seed: int,
                 clock: Callable, commit: Callable, network_errors: tuple,
                 live_claims: Callable[[], Mapping[str, int] | None],
                 on_room_change: Callable[[str, int], None] = lambda name, room: None):  # fmt: skip
        self.clock, self.commit, self.network_errors, self.live_claims, self.on_room_change = (
            clock,
            commit,
            network_errors,
            live_claims,
            on_room_change,
        )
        self.shares = {t.name: BudgetShare(t, str(number), ttl, seed) for t in terms}
        self.usage = UsageCounter(self.shares)
        self.keys = {name: f"{prefix}budgets/{name}" for name in self.shares}
        self.wakeup = Event()
        self.unknown_outcomes = 0  # commits that had no answer

    def documents_changed(self, revision: int, items: Mapping[str, KeyEntry]) -> None:
        """Take the budget documents as they are at a revision of the list."""
        now = self.clock()
        for name, shares in self.shares.items():
            item = items.get(self.keys[name])
            previous_error = shares.error
            shares.observe(now, revision, item.mod_revision if item else 0, item.value if item else None)
            if shares.error and shares.error != previous_error:
                log.error(
                    "budget document not readable, the budget is not used", budget=name, cause=shares.error
                )
        self.wakeup.set()

    def lease_changed(self, claim_revision: int, until: float, holds: bool, renewal_failing: bool) -> None:
        """Take the state of our lease: the claim of our number, its end, and whether a renewal has failed."""
        for shares in self.shares.values():
            shares.update_lease(claim_revision, until, holds, renewal_failing)

    def reset(self) -> None:
        """Drop what is known of the documents: the store is another one than before."""
        for shares in self.shares.values():
            shares.handle_store_restored()

    # Reports of the port. A `tune_in` is identified by (viewing, number).

    def reserve(self, tune_in: Hashable, budgets: Iterable[str]) -> None:
        """Reserve room for a tune-in that is to be sent."""
        self.usage.reserve(self.clock(), tune_in, budgets)

    def may_send(self, tune_in: Hashable) -> bool:
        """Return whether a tune-in may be sent now: every share that it counts against still covers it."""
        covered = self.usage.try_start(self.clock(), tune_in)
        if not covered:
            log.info("budget share lost before the tune-in was sent", thing=tune_in)
        return covered

    def adopted(self, tune_in: Hashable, budgets: Iterable[str]) -> None:
        """Count a tune-in of an earlier process whose viewing was adopted."""
        self.usage.adopt(self.clock(), tune_in, budgets)

    def ended(self, tune_in: Hashable, confirmed: bool = True) -> None:
        """Release a tune-in that has ended, or (not `confirmed`) one whose end will not be reported here."""
        (self.usage.finish if confirmed else self.usage.mark_uncertain)(self.clock(), tune_in)
        self.wakeup.set()

    def request_more(self, budget: str) -> None:
        """Record that work was refused for lack of this budget, so that a larger share is requested."""
        self.shares[budget].record_rejection(self.clock())
        self.wakeup.set()

    def leave(self) -> None:
        """Return everything unused at once, because this controller is shutting down."""
        now = self.clock()
        for shares in self.shares.values():
            shares.leaving, shares.due = True, now
        self.wakeup.set()

    @property
    def released(self) -> bool:
        """Whether this controller has no share left."""
        return all(
            s.allocation is None or s.controller not in s.allocation.allotments for s in self.shares.values()
        )

    def run(self) -> None:
        """Commit what is due; never returns.

        Each commit has its own greenlet, so that none blocks another.
        """
        while True:
            try:
                due = [shares for shares in self.shares.values() if shares.due <= self.clock()]
                live = self.live_claims() if due else None
                for shares in due:
                    if (commit := shares.next_commit(self.clock(), live)) is not None:
                        gevent.spawn(self._send, shares, commit)
                for name, room in self.usage.room_changes(self.clock()):
                    self.on_room_change(name, room)
            except Exception:
                log.exception("internal error in the budgets; they continue")
            self.wakeup.clear()
            self.wakeup.wait(POLL_SECONDS)

    def _send(self, shares: BudgetShare, commit: Commit) -> None:
        name = shares.terms.name
        try:
            reply = self.commit(m.swap_body(self.keys[name], commit.base_version, commit.data))
        except self.network_errors as error:
            self.unknown_outcomes += 1
            # One warning per commit: repeated a hundred times a second it would hide other messages.
            write_log = log.debug if shares.document.uncertain else log.warning
            write_log("budget commit: outcome unknown, retrying", budget=name, cause=repr(error))
            shares.handle_unknown_outcome(self.clock(), commit)
            return
        at = reply.header.revision
        revision, version, data = (at, at, commit.data) if reply.succeeded else reply.conflict
        shares.handle_reply(self.clock(), commit, revision, reply.succeeded, version, data)
        self.wakeup.set()

    def status(self) -> dict:
        """Return the state of each budget on this controller, for operators."""
        now, status = self.clock(), {}
        for name, s in self.shares.items():
            d = s.allocation
            status[name] = {
                "whole": d.limit if d else None, "open": bool(d and d.open), "mine": s.allowance(now),
                "use": s.usage(now), "want": s.want(now), "doubt": s.document.uncertain, "bad": s.error,
                "parts": {m: p._asdict() for m, p in sorted(d.allotments.items())} if d else {},
            }  # fmt: skip
        return status
