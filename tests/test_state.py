"""Seats with fencing tokens, and recovery of viewings after a restart."""

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


def test_repeated_grant_returns_one_seat_and_a_transfer_fences_the_old_device():
    seats = SeatRegistry(TERMS)
    first = seats.grant(0.0, "news", "paid", "ann", "phone")
    assert seats.grant(1.0, "news", "paid", "ann", "phone") == first, "a repeated request counts once"
    second = seats.grant(2.0, "news", "paid", "ann", "desk")
    assert second.fence > first.fence and len(seats.held["news", "paid"]) == 1
    assert seats.renew(3.0, first) is SeatRejection.STALE and not seats.release(3.0, first)
    assert seats.renew(3.0, second).until == 13.0
    seats.grant(3.0, "news", "strict", "ann", "phone")
    assert seats.grant(3.0, "news", "strict", "ann", "desk") is SeatRejection.HELD


def test_renewal_after_expiry_does_not_restore_the_seat():
    seats = SeatRegistry(TERMS)
    ann, bob = (seats.grant(0.0, "news", "paid", name, "d") for name in ("ann", "bob"))
    assert seats.grant(9.9, "news", "paid", "cid", "d") is SeatRejection.FULL
    cid = seats.grant(10.0, "news", "paid", "cid", "d")
    assert isinstance(cid, Seat) and seats.renew(10.0, ann) is SeatRejection.STALE
    assert not seats.release(10.1, bob) and seats.release(10.1, cid) and not seats.held


def test_restart_reuses_no_fence_and_grants_no_seat_above_capacity():
    seats = SeatRegistry(TERMS)
    stored = [seats.grant(0.0, "news", "paid", name, "d") for name in ("ann", "bob")]
    restarted = SeatRegistry(TERMS)
    assert not restarted.restore(500.0, stored, 4.0)
    assert restarted.grant(500.0, "news", "paid", "cid", "d") is SeatRejection.FULL
    assert restarted.renew(505.9, stored[0]).fence == stored[0].fence
    assert restarted.grant(506.0, "news", "paid", "cid", "d").fence == 3, (
        "bob's seat had expired; its fence is not reused"
    )
    late = SeatRegistry(TERMS)
    assert len(late.restore(0.0, stored, 3600.0)) == 2 and late.fence == 2


class SeatMachine(RuleBasedStateMachine):
    """Random grants, lost and late requests, and restarts, against the invariants of the seats."""

    @initialize()
    def begin(self):
        self.now, self.seats, self.tokens, self.fences = 0.0, SeatRegistry(TERMS), [], []

    @rule(
        editor=st.sampled_from("abcd"),
        device=st.sampled_from("xy"),
        package=st.sampled_from(["paid", "strict"]),
    )
    def grant(self, editor, device, package):
        seat = self.seats.grant(self.now, "t", package, editor, device)
        if isinstance(seat, Seat):
            if seat.fence not in self.fences:
                assert not self.fences or seat.fence > max(self.fences), "fences only grow"
                self.fences.append(seat.fence)
            self.tokens.append(seat)

    @precondition(lambda self: self.tokens)
    @rule(data=st.data(), release=st.booleans())
    def present_token(self, data, release):
        token = data.draw(st.sampled_from(self.tokens))
        newest = max(t.fence for t in self.tokens if (t.pool, t.editor) == (token.pool, token.editor))
        result = self.seats.release(self.now, token) if release else self.seats.renew(self.now, token)
        if token.fence < newest:
            assert result in (False, SeatRejection.STALE), "an older token has no effect"

    @rule(seconds=st.floats(0.1, 12.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(away=st.floats(0.0, 15.0))
    def restart(self, away):
        self.seats.expire(self.now)
        stored = [
            s._replace(until=s.until - self.now) for pool in self.seats.held.values() for s in pool.values()
        ]
        fence, self.now = self.seats.fence, 1000.0 * len(self.fences)
        self.seats = SeatRegistry(TERMS, fence)
        self.seats.restore(self.now, stored, away)

    @invariant()
    def never_above_capacity(self):
        self.seats.expire(self.now)
        for (_, package), held in self.seats.held.items():
            assert 0 < len(held) <= TERMS[package].capacity
            assert all(seat.until <= self.now + TERMS[package].lease_seconds for seat in held.values())


TestSeatMachine = SeatMachine.TestCase


# Recovery.


def journaled(viewing, stage=ViewingStage.PLAYING, number=0, streamer="s", value=1.0):
    return JournaledViewing(viewing, number, streamer, stage, 1, value)


def actions(*args):
    return {(action, v.viewing, v.number) for action, _, v in reconcile(*args)}


def test_action_for_each_combination_of_journal_and_sessions():
    entries = [
        journaled("plays"),
        journaled("ended"),
        journaled("sent", ViewingStage.SENT),
        journaled("never", ViewingStage.SENT),
        journaled("closing", ViewingStage.CLOSING),
    ]
    sessions = [
        StreamerSession("plays", 0, 1),
        StreamerSession("sent", 0, 1),
        StreamerSession("closing", 0, 1),
        StreamerSession("ghost", 3, 1),
    ]
    assert actions(entries, {"s": sessions}) == {
        (RecoveryAction.ADOPT, "plays", 0), (RecoveryAction.RELEASE, "ended", 0),
        (RecoveryAction.END, "sent", 0), (RecoveryAction.RELEASE, "never", 0),
        (RecoveryAction.END, "closing", 0), (RecoveryAction.END, "ghost", 3),
    }  # fmt: skip
    assert {action for action, *_ in reconcile(entries, {"s": None})} == {RecoveryAction.WAIT}, (
        "no answer proves nothing"
    )
    assert {action for action, *_ in reconcile(entries, {})} == {RecoveryAction.WAIT}


def test_older_tune_in_of_a_viewing_that_plays_elsewhere_is_ended():
    assert actions([journaled("v", number=2, streamer="b")],
                   {"a": [StreamerSession("v", 1, 0)], "b": [StreamerSession("v", 2, 0)]}) == {
        (RecoveryAction.ADOPT, "v", 2), (RecoveryAction.END, "v", 1),
    }  # fmt: skip


def test_restarted_streamer_holds_nothing_and_playing_viewings_come_first():
    assert actions([journaled("v")], {"s": []}) == {(RecoveryAction.RELEASE, "v", 0)}
    entries = [journaled("cheap"), journaled("dear", value=9.0), journaled("out", ViewingStage.SENT)]
    order = [
        v.viewing
        for _, _, v in reconcile(entries, {"s": [StreamerSession(v, 0, 1) for v in ("cheap", "dear", "out")]})
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
def test_every_viewing_and_session_gets_exactly_one_action(entries, sessions):
    entries = [JournaledViewing(v, n, s, stage, 1) for v, n, s, stage in entries]
    sessions = {
        s: None if found is None else [StreamerSession(v, n, 1) for v, n in found]
        for s, found in sessions.items()
    }
    results = reconcile(entries, sessions)
    counted = Counter((s, v.viewing, v.number) for _, s, v in results)
    expected = {(k.streamer, k.viewing, k.number) for k in entries}
    expected |= {(s, f.viewing, f.number) for s, found in sessions.items() for f in found or ()}
    assert counted.keys() == expected and set(counted.values()) <= {1}
    adopted = Counter(v.viewing for action, _, v in results if action is RecoveryAction.ADOPT)
    assert all(n == 1 for n in adopted.values()), "no viewing is adopted twice"
