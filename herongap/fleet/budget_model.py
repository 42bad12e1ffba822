"""A small world in which the shipped `BudgetShare` are checked over all interleavings, with minicheck.

Two controllers, one whole of one, one store. The second is always there and quick; of the first each step may
come late or never (it is stopped), its answers are lost, and it may be killed and come back; time goes on in
steps of one second all the same. What is begun plays for `LASTS`. What moves are
`herongap.accord.BudgetShare` themselves: each step makes them from their state, calls them, and
takes the state off again.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from herongap.accord import Allocation, Allotment, BudgetKind, BudgetShare, BudgetTerms, Commit
from herongap.accord.document import encode_document
from herongap.accord.shares import read_allocation

TTL, LASTS = 2, 2
TERMS = BudgetTerms("one", BudgetKind.HELD, 1, linger=LASTS)
START = encode_document(Allocation(1, True, 1, {"0": Allotment(1, 1, 1, 1)}).to_body())


class Store(NamedTuple):
    """The document and, for each controller, its claim (0: none) and when the lease ends."""

    revision: int
    version: int
    data: bytes
    claims: tuple[tuple[int, int], ...]


class Flight(NamedTuple):
    """A commit on its way, and with an answer (revision, won, version, data) on its way back."""

    who: int
    commit: Commit
    answer: tuple | None = None


class Kept(NamedTuple):
    """One controller's shares, taken off."""

    ledger: tuple = (-1, 0, None, None, False, 0)
    until: float = -9.0
    claimed: int = -1
    lives: tuple = ()
    used: int = 0
    ghosts: tuple = (0, -9.0)
    promised: int | None = None
    absent: tuple = ()
    boot: int = 0  # which process of its number it is


def _on(who: int, k: Kept, now: float, share_type: type) -> BudgetShare:
    s = share_type(TERMS, str(who), float(TTL))
    ledger = s.document
    ledger.revision, ledger.version, data, ledger.pending, ledger.uncertain, ledger.commit_count = k.ledger
    ledger._load(data)
    s._apply(now, None)
    s.lease_until, s.incarnation, ledger.incarnation = k.until, k.claimed, max(0, k.claimed)
    s.incarnations, s.held_count, s.inherited, s.promised_amount = set(k.lives), k.used, k.ghosts, k.promised
    s.absent_since = dict(k.absent)
    if not s.room(now):
        s.rejections.append(now)  # there is always somebody who wants one more
    s.due = now
    return s


def _off(s: BudgetShare, data: bytes | None, now: float, boot: int) -> Kept:
    ledger = s.document
    kept = ledger.revision, ledger.version, data, ledger.pending, ledger.uncertain, ledger.commit_count
    ghosts = s.inherited if s.inherited[1] > now else (0, -9.0)
    absent = tuple(sorted(s.absent_since.items()))
    lives = tuple(sorted(s.incarnations))
    # A lease that is over is over, whenever it was.
    until = s.lease_until if s.lease_until > now else -9.0
    return Kept(kept, until, s.incarnation, lives, s.held_count, ghosts, s.promised_amount, absent, boot)


def _quick(now: float, store: Store, k: Kept, share_type: type) -> Kept:
    """The second controller hears at once what the store has, and looks who is there."""
    s = _on(1, k, now, share_type)
    s.update_lease(store.claims[1][0], now + TTL - 0.5, True)
    s.observe(now, store.revision, store.version, store.data)
    s._expired_controllers(
        now, s.allocation, {str(w): claim for w, (claim, _) in enumerate(store.claims) if claim}
    )
    return _off(s, store.data, now, k.boot)


def budget_model(
    seconds: int = 7, commits: int = 2, kills: int = 1, share_type: type = BudgetShare
) -> Protocol:
    """The world for so many seconds, with so many commits of each process and so many kills."""

    def moves(state: tuple) -> Iterator[tuple[str, tuple]]:
        now, store, kept, sky, things, killed = state
        if now < seconds:
            # What is over is heard of by those that are there; a process begun meanwhile knows nothing of it.
            over = [(who, boot) for who, end, boot in things if end <= now + 1]
            left = tuple(k._replace(used=k.used - over.count((w, k.boot))) for w, k in enumerate(kept))
            (life, end), (other, _) = store.claims
            first = (0, 0) if end <= now + 1 else (life, end)
            there = store._replace(claims=(first, (other, now + 1 + TTL)))
            on = tuple(thing for thing in things if thing[1] > now + 1)
            left = left[0], _quick(now + 1, there, left[1], share_type)
            yield "a second passes", (now + 1, there, left, sky, on, killed)
        for who, k in enumerate(kept):

            def at(s: BudgetShare, data=k.ledger[2], who=who, store=store, sky=sky, things=things) -> tuple:
                new = _off(s, data, now, kept[who].boot)
                there = tuple(new if w == who else o for w, o in enumerate(kept))
                return now, store, there, sky, things, killed

            life, _ = store.claims[who]
            claims = list(store.claims)
            s = _on(who, k, now, share_type)
            if who == 1:
                pass
            elif not life:
                claims[who] = (store.revision + 1, now + TTL)
                there = store._replace(revision=store.revision + 1, claims=tuple(claims))
                s.update_lease(store.revision + 1, now + TTL - 0.5, True)
                yield f"{who} claims its number", at(s, store=there)
            elif life == k.claimed and k.until < now + TTL - 0.5:
                claims[who] = (life, now + TTL)
                s.update_lease(life, now + TTL - 0.5, True)
                yield f"{who} renews its lease", at(s, store=store._replace(claims=tuple(claims)))
            s = _on(who, k, now, share_type)
            if who == 0 and store.revision > k.ledger[0]:
                s.observe(now, store.revision, store.version, store.data)
                yield f"{who} reads", at(s, store.data)
                s = _on(who, k, now, share_type)
            if s.room(now):
                s.record_start(now)
                yield f"{who} begins one", at(s, things=(*things, (who, now + LASTS, k.boot)))
            s = _on(who, k, now, share_type)
            if s.document.commit_count < commits or s.document.pending:
                # What is decided on an older document is never taken: it is read first.
                s.observe(now, store.revision, store.version, store.data)
                live = {str(w): claim for w, (claim, _) in enumerate(store.claims) if claim}
                commit = s.next_commit(float(now), live)
                if commit and not any(f.who == who for f in sky):
                    yield f"{who} commits", at(s, store.data, sky=(*sky, Flight(who, commit)))
                elif commit is None and s.absent_since != dict(k.absent):
                    yield f"{who} looks who is there", at(s, store.data)
            if killed < kills:
                anew = tuple(Kept(boot=k.boot + 1) if w == who else o for w, o in enumerate(kept))
                yield f"{who} is killed", (now, store, anew, sky, things, killed + 1)
        for i, f in enumerate(sky):
            rest = sky[:i] + sky[i + 1 :]
            if f.answer is None:
                won = f.commit.base_version == store.version
                there = store
                if won:
                    new = store.revision + 1
                    there = store._replace(revision=new, version=new, data=f.commit.data)
                back = f._replace(answer=(there.revision, won, there.version, there.data))
                heard = kept[0], _quick(now, there, kept[1], share_type)
                on_its_way = rest if f.who else (*rest, back)
                yield f"the store meets {f.who}", (now, there, heard, on_its_way, things, killed)
                continue
            for lost in (True, False):
                s = _on(f.who, kept[f.who], now, share_type)
                if lost:
                    s.handle_unknown_outcome(now, f.commit)
                else:
                    s.handle_reply(now, f.commit, *f.answer)
                data = kept[f.who].ledger[2] if s.document.version != f.answer[2] or lost else f.answer[3]
                new = _off(s, data, now, kept[f.who].boot)
                heard = tuple(new if w == f.who else o for w, o in enumerate(kept))
                what = "an answer is lost to" if lost else "an answer reaches"
                yield f"{what} {f.who}", (now, store, heard, rest, things, killed)

    def within(state: dict) -> bool:
        return len(state["things"]) <= TERMS.limit

    def summed(state: dict) -> bool:
        d = read_allocation(state["store"].data)
        return not d.open or sum(p.amount for p in d.allotments.values()) <= d.limit

    store = Store(3, 3, START, ((1, TTL), (2, TTL)))
    first = Kept((3, 3, START, None, False, 0), TTL - 0.5, 1, (1,))
    second = Kept((3, 3, START, None, False, 0), TTL - 0.5, 2, (2,))
    return Protocol(
        name="sharing",
        candidate=False,
        fields=("now", "store", "kept", "sky", "things", "killed"),
        initial=(0, store, (first, second), (), (), 0),
        transitions=lambda state: list(moves(state)),
        invariants={"no more plays than the whole": within, "the parts are within the whole": summed},
        goal=lambda state: any(who == 1 for who, *_ in state["things"]),
    )
