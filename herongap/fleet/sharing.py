"""A small world in which the shipped `Shares` are checked over all interleavings, with minicheck.

Two controllers, one whole of one, one store. The second is always there and quick; of the first each step may
come late or never (it is stopped), its answers are lost, and it may be killed and come back; time goes on in
steps of one second all the same. What is begun plays for `LASTS`. What moves are `herongap.accord.Shares`
themselves: each step makes them from their state, calls them, and takes the state off again.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from herongap.accord import Commit, Division, Kind, Part, Shares, Terms
from herongap.accord.ledger import write
from herongap.accord.shares import divided

TTL, LASTS = 2, 2
TERMS = Terms("one", Kind.HELD, 1, linger=LASTS)
START = write(Division(1, True, 1, {"0": Part(1, 1, 1, 1)}).body())


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


def _on(who: int, k: Kept, now: float, make: type) -> Shares:
    s = make(TERMS, str(who), float(TTL))
    ledger = s.ledger
    ledger.revision, ledger.version, data, ledger.out, ledger.doubt, ledger.count = k.ledger
    ledger._take(data)
    s._took(now, None)
    s.until, s.claimed, ledger.life = k.until, k.claimed, max(0, k.claimed)
    s.lives, s.used, s.ghosts, s.promised = set(k.lives), k.used, k.ghosts, k.promised
    s.absent = dict(k.absent)
    if not s.room(now):
        s.recent.append(now)  # there is always somebody who wants one more
    s.due = now
    return s


def _off(s: Shares, data: bytes | None, now: float, boot: int) -> Kept:
    ledger = s.ledger
    kept = ledger.revision, ledger.version, data, ledger.out, ledger.doubt, ledger.count
    ghosts = s.ghosts if s.ghosts[1] > now else (0, -9.0)
    absent = tuple(sorted(s.absent.items()))
    lives = tuple(sorted(s.lives))
    # A lease that is over is over, whenever it was.
    until = s.until if s.until > now else -9.0
    return Kept(kept, until, s.claimed, lives, s.used, ghosts, s.promised, absent, boot)


def _quick(now: float, store: Store, k: Kept, make: type) -> Kept:
    """The second controller hears at once what the store has, and looks who is there."""
    s = _on(1, k, now, make)
    s.leased(store.claims[1][0], now + TTL - 0.5, True)
    s.shown(now, store.revision, store.version, store.data)
    s._over(now, s.division, {str(w): claim for w, (claim, _) in enumerate(store.claims) if claim})
    return _off(s, store.data, now, k.boot)


def sharing(seconds: int = 7, commits: int = 2, kills: int = 1, make: type = Shares) -> Protocol:
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
            left = left[0], _quick(now + 1, there, left[1], make)
            yield "a second passes", (now + 1, there, left, sky, on, killed)
        for who, k in enumerate(kept):

            def at(s: Shares, data=k.ledger[2], who=who, store=store, sky=sky, things=things) -> tuple:
                new = _off(s, data, now, kept[who].boot)
                there = tuple(new if w == who else o for w, o in enumerate(kept))
                return now, store, there, sky, things, killed

            life, _ = store.claims[who]
            claims = list(store.claims)
            s = _on(who, k, now, make)
            if who == 1:
                pass
            elif not life:
                claims[who] = (store.revision + 1, now + TTL)
                there = store._replace(revision=store.revision + 1, claims=tuple(claims))
                s.leased(store.revision + 1, now + TTL - 0.5, True)
                yield f"{who} claims its number", at(s, store=there)
            elif life == k.claimed and k.until < now + TTL - 0.5:
                claims[who] = (life, now + TTL)
                s.leased(life, now + TTL - 0.5, True)
                yield f"{who} renews its lease", at(s, store=store._replace(claims=tuple(claims)))
            s = _on(who, k, now, make)
            if who == 0 and store.revision > k.ledger[0]:
                s.shown(now, store.revision, store.version, store.data)
                yield f"{who} reads", at(s, store.data)
                s = _on(who, k, now, make)
            if s.room(now):
                s.began(now)
                yield f"{who} begins one", at(s, things=(*things, (who, now + LASTS, k.boot)))
            s = _on(who, k, now, make)
            if s.ledger.count < commits or s.ledger.out:
                # What is decided on an older document is never taken: it is read first.
                s.shown(now, store.revision, store.version, store.data)
                live = {str(w): claim for w, (claim, _) in enumerate(store.claims) if claim}
                commit = s.step(float(now), live)
                if commit and not any(f.who == who for f in sky):
                    yield f"{who} commits", at(s, store.data, sky=(*sky, Flight(who, commit)))
                elif commit is None and s.absent != dict(k.absent):
                    yield f"{who} looks who is there", at(s, store.data)
            if killed < kills:
                anew = tuple(Kept(boot=k.boot + 1) if w == who else o for w, o in enumerate(kept))
                yield f"{who} is killed", (now, store, anew, sky, things, killed + 1)
        for i, f in enumerate(sky):
            rest = sky[:i] + sky[i + 1 :]
            if f.answer is None:
                won = f.commit.base == store.version
                there = store
                if won:
                    new = store.revision + 1
                    there = store._replace(revision=new, version=new, data=f.commit.data)
                back = f._replace(answer=(there.revision, won, there.version, there.data))
                heard = kept[0], _quick(now, there, kept[1], make)
                on_its_way = rest if f.who else (*rest, back)
                yield f"the store meets {f.who}", (now, there, heard, on_its_way, things, killed)
                continue
            for lost in (True, False):
                s = _on(f.who, kept[f.who], now, make)
                if lost:
                    s.unanswered(now, f.commit)
                else:
                    s.answered(now, f.commit, *f.answer)
                data = kept[f.who].ledger[2] if s.ledger.version != f.answer[2] or lost else f.answer[3]
                new = _off(s, data, now, kept[f.who].boot)
                heard = tuple(new if w == f.who else o for w, o in enumerate(kept))
                what = "an answer is lost to" if lost else "an answer reaches"
                yield f"{what} {f.who}", (now, store, heard, rest, things, killed)

    def within(state: dict) -> bool:
        return len(state["things"]) <= TERMS.whole

    def summed(state: dict) -> bool:
        d = divided(state["store"].data)
        return not d.open or sum(p.amount for p in d.parts.values()) <= d.whole

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
