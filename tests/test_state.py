"""Seats by tokens, and what recovery makes of what it finds."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from herongap.state import (
    JournaledViewing,
    RecoveryAction,
    Seat,
    SeatRegistry,
    SeatRejection,
    SeatTerms,
    StreamerSession,
    ViewingStage,
    reconcile,
)

TERMS = {"paid": SeatTerms(2, 10.0), "strict": SeatTerms(2, 10.0, transferable=False)}


def test_a_seat_is_one_however_often_it_is_asked_for_and_moves_with_its_editor():
    seats = SeatRegistry(TERMS)
    first = seats.grant(0.0, "news", "paid", "ann", "phone")
    assert seats.grant(1.0, "news", "paid", "ann", "phone") == first, "a repeated set-up counts once"
    second = seats.grant(2.0, "news", "paid", "ann", "desk")
    assert second.fence > first.fence and len(seats.held["news", "paid"]) == 1
    assert seats.renew(3.0, first) is SeatRejection.STALE and not seats.release(3.0, first)
    assert seats.renew(3.0, second).until == 13.0
    seats.grant(3.0, "news", "strict", "ann", "phone")
    assert seats.grant(3.0, "news", "strict", "ann", "desk") is SeatRejection.HELD


def test_a_renewal_that_comes_after_the_end_brings_nothing_back():
    seats = SeatRegistry(TERMS)
    ann, bob = (seats.grant(0.0, "news", "paid", name, "d") for name in ("ann", "bob"))
    assert seats.grant(9.9, "news", "paid", "cid", "d") is SeatRejection.FULL
    cid = seats.grant(10.0, "news", "paid", "cid", "d")
    assert isinstance(cid, Seat) and seats.renew(10.0, ann) is SeatRejection.STALE
    assert not seats.release(10.1, bob) and seats.release(10.1, cid) and not seats.held


def test_a_restart_gives_no_number_twice_and_no_seat_above_the_terms():
    seats = SeatRegistry(TERMS)
    kept = [seats.grant(0.0, "news", "paid", name, "d") for name in ("ann", "bob")]
    again = SeatRegistry(TERMS)
    assert not again.restore(500.0, kept, 4.0)
    assert again.grant(500.0, "news", "paid", "cid", "d") is SeatRejection.FULL
    assert again.renew(505.9, kept[0]).fence == kept[0].fence
    assert again.grant(506.0, "news", "paid", "cid", "d").fence == 3, (
        "bob's had ended, its number is not reused"
    )
    late = SeatRegistry(TERMS)
    assert len(late.restore(0.0, kept, 3600.0)) == 2 and late.fence == 2


class SeatMachine(RuleBasedStateMachine):
    """Editors, devices, lost and late messages, restarts; a model of who may hold what."""

    @initialize()
    def begin(self):
        self.now, self.seats, self.tokens, self.given = 0.0, SeatRegistry(TERMS), [], []

    @rule(
        editor=st.sampled_from("abcd"),
        device=st.sampled_from("xy"),
        package=st.sampled_from(["paid", "strict"]),
    )
    def ask(self, editor, device, package):
        seat = self.seats.grant(self.now, "t", package, editor, device)
        if isinstance(seat, Seat):
            if seat.fence not in self.given:
                assert not self.given or seat.fence > max(self.given), "numbers only grow"
                self.given.append(seat.fence)
            self.tokens.append(seat)

    @precondition(lambda self: self.tokens)
    @rule(data=st.data(), release=st.booleans())
    def old_message(self, data, release):
        token = data.draw(st.sampled_from(self.tokens))
        newest = max(t.fence for t in self.tokens if (t.pool, t.editor) == (token.pool, token.editor))
        taken = self.seats.release(self.now, token) if release else self.seats.renew(self.now, token)
        if token.fence < newest:
            assert taken in (False, SeatRejection.STALE), "an older token does nothing"

    @rule(seconds=st.floats(0.1, 12.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(away=st.floats(0.0, 15.0))
    def restart(self, away):
        self.seats.expire(self.now)
        kept = [
            s._replace(until=s.until - self.now) for pool in self.seats.held.values() for s in pool.values()
        ]
        fence, self.now = self.seats.fence, 1000.0 * len(self.given)
        self.seats = SeatRegistry(TERMS, fence)
        self.seats.restore(self.now, kept, away)

    @invariant()
    def never_above_the_terms(self):
        self.seats.expire(self.now)
        for (_, package), held in self.seats.held.items():
            assert 0 < len(held) <= TERMS[package].capacity
            assert all(seat.until <= self.now + TERMS[package].lease_seconds for seat in held.values())


TestSeatMachine = SeatMachine.TestCase


# Recovery.


def kept(viewing, known=ViewingStage.PLAYING, number=0, streamer="s", value=1.0):
    return JournaledViewing(viewing, number, streamer, known, 1, value)


def fates(*args):
    return {(fate, v.viewing, v.number) for fate, _, v in reconcile(*args)}


def test_each_kind_of_find_has_its_fate():
    had = [
        kept("plays"),
        kept("ended"),
        kept("sent", ViewingStage.SENT),
        kept("never", ViewingStage.SENT),
        kept("closing", ViewingStage.CLOSING),
    ]
    there = [
        StreamerSession("plays", 0, 1),
        StreamerSession("sent", 0, 1),
        StreamerSession("closing", 0, 1),
        StreamerSession("ghost", 3, 1),
    ]
    assert fates(had, {"s": there}) == {
        (RecoveryAction.ADOPT, "plays", 0), (RecoveryAction.RELEASE, "ended", 0),
        (RecoveryAction.END, "sent", 0), (RecoveryAction.RELEASE, "never", 0),
        (RecoveryAction.END, "closing", 0), (RecoveryAction.END, "ghost", 3),
    }  # fmt: skip
    assert {fate for fate, *_ in reconcile(had, {"s": None})} == {RecoveryAction.WAIT}, "silence says nothing"
    assert {fate for fate, *_ in reconcile(had, {})} == {RecoveryAction.WAIT}


def test_an_older_tune_in_of_a_viewing_that_plays_elsewhere_is_a_ghost():
    assert fates([kept("v", number=2, streamer="b")],
                 {"a": [StreamerSession("v", 1, 0)], "b": [StreamerSession("v", 2, 0)]}) == {
        (RecoveryAction.ADOPT, "v", 2), (RecoveryAction.END, "v", 1),
    }  # fmt: skip


def test_a_streamer_that_started_anew_holds_nothing_and_what_plays_comes_first():
    assert fates([kept("v")], {"s": []}) == {(RecoveryAction.RELEASE, "v", 0)}
    had = [kept("cheap"), kept("dear", value=9.0), kept("out", ViewingStage.SENT)]
    order = [
        v.viewing
        for _, _, v in reconcile(had, {"s": [StreamerSession(v, 0, 1) for v in ("cheap", "dear", "out")]})
    ]
    assert order == ["dear", "cheap", "out"]


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 2), st.sampled_from("ab"), st.sampled_from(ViewingStage)),
        unique_by=lambda k: k[0], max_size=6,
    ),
    st.dictionaries(
        st.sampled_from("ab"),
        st.none() | st.lists(st.tuples(st.integers(0, 7), st.integers(0, 2)), unique=True, max_size=6),
    ),
)  # fmt: skip
def test_nothing_is_lost_doubled_or_set_up(had, there):
    had = [JournaledViewing(v, n, s, known, 1) for v, n, s, known in had]
    there = {
        s: None if found is None else [StreamerSession(v, n, 1) for v, n in found]
        for s, found in there.items()
    }
    told = reconcile(had, there)
    counted = Counter((s, v.viewing, v.number) for _, s, v in told)
    wanted = {(k.streamer, k.viewing, k.number) for k in had}
    wanted |= {(s, f.viewing, f.number) for s, found in there.items() for f in found or ()}
    assert counted.keys() == wanted and set(counted.values()) <= {1}
    adopted = Counter(v.viewing for fate, _, v in told if fate is RecoveryAction.ADOPT)
    assert all(n == 1 for n in adopted.values()), "no viewing is taken up twice"
