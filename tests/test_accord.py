"""What controllers settle among themselves: one document changed by all, and wholes divided by it."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st
from minicheck import check_safety

from herongap.accord import (
    Allocation,
    Allotment,
    BudgetKind,
    BudgetShare,
    BudgetTerms,
    CommitOutcome,
    SharedDocument,
)
from herongap.accord import shares as rules
from herongap.accord.document import encode_document
from herongap.accord.shares import fair_shares, parse_allocation, read_allocation
from herongap.fleet import worlds
from herongap.fleet.settling import Net, World
from herongap.fleet.sharing import sharing

HELD = BudgetTerms("held", BudgetKind.HELD, 40, floor=1, linger=8.0)
RATE = BudgetTerms("rate", BudgetKind.RATE, 60, floor=1, window=5.0)
ROUGH = Net(0.004, 0.02, 0.05, 0.02)


# The ledger.


def test_a_commit_without_an_answer_is_resolved_by_sending_it_again_and_by_what_is_read():
    a, b = SharedDocument("a", 1), SharedDocument("b", 1)
    for ledger in (a, b):
        ledger.observe(1, 0, None)
    first = a.propose("x")
    a.handle_unknown_outcome()
    assert a.commit_to_resend() == first and a.propose("y") is None, (
        "nothing else is committed while it is in doubt"
    )
    assert a.observe(5, 0, None) is None and a.uncertain, "it may still be on its way"
    assert a.observe(6, 6, first.data) is CommitOutcome.COMMITTED and a.body == "x"
    # Another writer's commit on top of it hides neither: its mark stays.
    b.observe(6, 6, first.data)
    second, third = a.propose("y"), b.propose("z")
    a.handle_unknown_outcome()
    assert b.handle_reply(third, 7, True, 7, third.data) is CommitOutcome.COMMITTED
    assert a.handle_reply(second, 7, False, 7, third.data) is CommitOutcome.CONFLICT
    assert a.body == "z" and a.observe(6, 6, first.data) is None and a.version == 7, "older is passed over"
    assert a.handle_reply(first, 6, True, 6, first.data) is None and a.body == "z", (
        "an answer to one long resolved"
    )


def test_a_document_that_is_not_understood_is_not_written_over():
    a = SharedDocument("a", 1)
    for data in (b"no json", b'{"v": 2, "body": 1}', b"[]"):
        a.observe(a.revision + 1, a.revision + 1, data)
        assert a.error and a.body is None and a.propose("x") is None
    a.observe(9, 9, b'{"v": 1, "body": 3}')
    assert not a.error and a.body == 3 and a.propose("x").base_version == 9


def test_of_a_commit_in_doubt_all_interleavings_give_the_true_outcome():
    found = check_safety(worlds.settling(flights=1))
    assert found["exhaustive"] and found["reachable_states"] > 100000
    assert all(p["holds"] is True for p in found["properties"].values()), found


# How a whole is divided.


@given(
    st.integers(0, 500), st.dictionaries(st.text(max_size=3), st.integers(0, 300), min_size=1, max_size=20)
)
def test_goals_give_out_the_whole_exactly_and_the_smaller_wants_in_full(whole, wants):
    found = fair_shares(whole, wants)
    assert sum(found.values()) == whole and min(found.values()) >= 0
    short = [m for m in wants if found[m] < wants[m]]
    if sum(wants.values()) <= whole:
        assert not short
    for m in short:
        assert all(found[m] >= found[o] - 1 for o in wants), (
            "nobody has more than one who is short, but by one"
        )


EMPTY = {"whole": 1, "open": True, "count": 1, "parts": {}}


@pytest.mark.parametrize(
    "body", [None, 3, {"whole": 1}, EMPTY | {"whole": -1}, EMPTY | {"parts": {"1": [-1, 0, 0, 0]}}]
)
def test_what_is_no_division_is_refused(body):
    with pytest.raises(ValueError):
        parse_allocation(body)


def told(parts: dict[str, Allotment], whole: int = 12, open_: bool = True) -> bytes:
    return encode_document(Allocation(whole, open_, 1, parts).to_body())


def one(terms: BudgetTerms = HELD, parts=None, whole: int = 12, life: int = 5) -> BudgetShare:
    s = BudgetShare(terms, "1", 5.0)
    s.update_lease(life, 4.5, True)
    s.observe(0.0, 10, 10, told({"1": Allotment(4, 1, life, 1)} if parts is None else parts, whole))
    return s


def test_a_part_ends_by_its_holders_own_clock_and_by_another_claim_of_its_number():
    s = one()
    assert s.room(4.4) == 4 and s.room(4.5) == 0, "after a pause the lease is looked at first"
    s.update_lease(s.incarnation, 9.5, True)
    assert s.room(4.5) == 4
    s.update_lease(11, 20.0, True)
    assert s.room(6.0) == 0, "the part is by an earlier claim, which another may have buried"
    s.observe(6.0, 12, 12, told({"1": Allotment(4, 1, 11, 1)}))
    assert s.room(6.0) == 4


def test_one_that_gives_back_stops_using_it_before_the_write_leaves():
    s = one(parts={"1": Allotment(10, 10, 5, 1), "2": Allotment(2, 8, 6, 1)})
    for _ in range(3):
        s.record_start(0.0)
    commit = s.next_commit(3.0, {"1": 5, "2": 6})
    there = read_allocation(commit.data)
    assert there.allotments["1"].amount < 10 and there.free > 0 and there.allotments["2"].amount == 2
    assert s.allowance(3.0) == there.allotments["1"].amount, (
        "not used from here on, whatever becomes of the write"
    )
    s.handle_unknown_outcome(3.1, commit)
    assert s.allowance(3.1) == there.allotments["1"].amount and s.next_commit(4.0, {"1": 5, "2": 6}) == commit
    s.handle_reply(
        4.1, commit, 11, False, 11, told({"1": Allotment(10, 10, 5, 1), "2": Allotment(2, 8, 6, 1)})
    )
    assert s.allowance(4.1) == 10, "it was not taken, so all is still ours"


def test_a_larger_part_is_used_when_the_store_has_it_and_not_before():
    s = one(parts={"1": Allotment(2, 2, 5, 1), "2": Allotment(2, 2, 6, 1)})
    for _ in range(2):
        s.record_start(0.0)
    s.record_rejection(0.1)
    commit = s.next_commit(0.1, {"1": 5, "2": 6})
    assert s.room(0.2) == 0
    assert (
        s.handle_reply(0.3, commit, 11, True, 11, commit.data) is CommitOutcome.COMMITTED and s.room(0.3) > 0
    )


def test_a_whole_that_is_lowered_cuts_nobody_and_gives_nothing_new():
    s = one(parts={"1": Allotment(6, 6, 5, 1), "2": Allotment(6, 6, 6, 1)}, whole=6)
    for _ in range(5):
        s.record_start(0.0)
    commit = s.next_commit(0.1, {"1": 5, "2": 6})
    assert read_allocation(commit.data).allotments["1"].amount == 5 and s.overdue(0.1) == 0, (
        "what plays goes on"
    )
    s.handle_reply(0.2, commit, 11, True, 11, commit.data)
    s.record_end(0.5)
    assert s.room(0.5) == 0, "what ends is not begun again while the parts are above the whole"
    assert s.next_commit(2.9, {"1": 5, "2": 6}) is not None and s.room(2.9) == 0


def test_a_part_of_the_dead_is_kept_until_what_it_held_is_over():
    s = one(parts={"1": Allotment(2, 1, 5, 1), "2": Allotment(10, 8, 6, 1)})
    s.update_lease(s.incarnation, 1000.0, True)

    def parts(now: float, live):
        commit = s.next_commit(now, live)
        return None if commit is None else read_allocation(commit.data).allotments

    assert parts(1.0, {"1": 5, "2": 6}) is None
    assert parts(2.0, {"1": 5}) is None
    assert parts(2.5, None) is None, "with the list in doubt the count of absence begins anew"
    assert parts(3.0, {"1": 5}) is None
    assert parts(3.0 + HELD.grace_period - 0.01, {"1": 5}) is None
    assert "2" not in parts(4.0 + HELD.grace_period, {"1": 5})


def test_a_new_process_of_a_number_counts_what_the_one_before_may_hold():
    s = one(parts={"1": Allotment(7, 7, 3, 1)})
    commit = s.next_commit(0.0, {"1": 5})
    s.handle_reply(0.1, commit, 11, True, 11, commit.data)
    assert s.allowance(0.1) == 7 and s.room(0.1) == 0
    s.update_lease(s.incarnation, 100.0, True)
    assert s.room(HELD.grace_period - 0.1) == 0
    assert s.room(HELD.grace_period + 0.1) == 7, "it is over by then"
    again = one(parts={"1": Allotment(7, 7, 3, 1)})
    commit = again.next_commit(0.0, {"1": 5})
    again.handle_reply(0.1, commit, 11, True, 11, commit.data)
    again.restore_usage(0.2, 2)
    assert again.room(0.2) == 5, "the journal told what it held"


def test_what_is_held_without_a_lease_is_ended_before_its_part_may_be_handed_on():
    s = one()
    for _ in range(3):
        s.record_start(1.0)
    s.update_lease(5, 4.5, False)
    assert s.room(2.0) == 0 and s.overdue(4.5 + HELD.linger - 0.1) == 0
    s.update_lease(20, 100.0, True)  # a new claim of the number does not bring the part back
    assert s.overdue(4.5 + HELD.linger) == 3


def test_a_budget_that_stops_gives_nothing_once_a_renewal_has_failed():
    s = one(HELD._replace(keep_without_store=False))
    s.update_lease(5, 4.5, True, failing=True)
    assert s.room(0.5) == 0
    s.update_lease(s.incarnation, 9.0, True)
    assert s.room(0.5) == 4


def test_a_store_that_was_set_back_gives_nothing_until_all_is_counted():
    s = one()
    s.record_start(0.0)
    s.handle_store_restored()
    s.update_lease(2, 4.5, True)
    s.observe(0.1, 3, 3, told({"1": Allotment(9, 9, 2, 1)}))
    assert s.room(0.1) == 0
    closing = s.next_commit(0.2, {"1": 2})
    assert not read_allocation(closing.data).open
    s.handle_reply(0.3, closing, 4, True, 4, closing.data)
    counted = s.next_commit(0.9, {"1": 2})
    assert read_allocation(counted.data).allotments["1"].amount == 1
    s.handle_reply(1.0, counted, 5, True, 5, counted.data)
    s.update_lease(s.incarnation, 100.0, True)
    assert s.next_commit(2.0, {"1": 2}) is None and s.room(2.0) == 0
    late = 2.1 + 5.0 + HELD.grace_period
    assert read_allocation(s.next_commit(late, {"1": 2}).data).open


# Many processes, with all between them that can fail, from one seed.


@dataclass
class Story:
    """A day of a world: troubles drawn from its seed."""

    seed: int
    make: type = BudgetShare
    kinds: tuple = ("pause", "pause", "kill", "start", "away", "demand", "leave", "lower", "deaf", "deaf")
    numbers: int = 8
    gap: float = 3.0
    world: World = field(init=False)

    def play(self, troubles: int = 25) -> World:
        w = self.world = World(
            self.seed, self.numbers, (HELD, RATE), ROUGH, demand=2.0, lasts=4.0, make=self.make
        )
        r = w.random
        w.run(5.0)
        for _ in range(troubles):
            w.run(w.now + r.uniform(0.1, 1.0) * self.gap)
            n = r.randrange(self.numbers)
            match r.choice(self.kinds):
                case "pause":
                    w.pause(n, r.choice([0.3, 1.5, 4.0, 8.0, 20.0]))
                case "kill":
                    w.kill(n)
                case "start" if n not in w.processes:
                    w.start(n)
                case "deaf":
                    w.deafen(n, r.choice([1.0, 3.0, 6.0]))
                case "leave":
                    w.leave(n)
                case "away":
                    w.store.away = True
                    w.after(r.choice([0.5, 3.0, 8.0]), setattr, w.store, "away", False)
                case "demand":
                    w.demand[n] = r.choice([0, 1, 10, 20])
                case "lower":
                    w.lower("held", r.choice([10, 40, 60]))
                case "keep":
                    w.store.keep()
                case "back":
                    w.set_back()
        w.run(w.now + 10.0)
        return w


@pytest.mark.parametrize("seed", range(12))
def test_no_trouble_brings_the_sum_above_the_whole(seed):
    w = Story(seed).play()
    assert not w.broken and w.let_in > 100 and w.unknown > 20


@pytest.mark.parametrize("seed", range(100, 108))
def test_no_older_copy_of_the_store_does(seed):
    w = Story(seed, kinds=("pause", "kill", "start", "demand", "keep", "back", "deaf")).play()
    assert not w.broken and w.backs > 0


def test_a_crowd_that_moves_gets_the_parts_of_those_who_do_not_use_them():
    w = World(1, 8, (HELD,), demand=1.0, lasts=2.0)
    w.run(10.0)
    w.demand = dict.fromkeys(w.demand, 0.2) | {3: 40.0}
    w.run(14.0)
    parts = w.division("held").allotments
    assert parts["3"].amount >= 28 and len(w.held["held"]) >= 28 and not w.broken


def test_twelve_share_a_whole_of_three_and_it_is_used():
    w = World(2, 12, (HELD._replace(limit=3, floor=0),), demand=2.0)
    w.run(20.0)
    used = []
    for _ in range(100):
        w.run(w.now + 0.1)
        used.append(len(w.held["held"]))
    assert not w.broken and max(used) == 3 and sum(used) / len(used) > 2.0


class ReassignsImmediately(BudgetShare):
    """Hands a part on as soon as its holder's lease is gone."""

    def _expired_controllers(self, now, d, live):
        gone = [
            m
            for m, p in d.allotments.items()
            if m != self.controller and live is not None and live.get(m) != p.life
        ]
        return sorted(gone)


class TreatsUnknownAsFailed(BudgetShare):
    """Takes a commit without an answer for one that was not taken."""

    def handle_unknown_outcome(self, now, commit):
        self.document.pending, self.promised_amount = None, None


class CountsStartsLate(BudgetShare):
    """Counts a use when its answer comes."""

    def record_start(self, now):
        self.waiting = [*getattr(self, "waiting", []), now]

    def room(self, now):
        for at in [at for at in getattr(self, "waiting", []) if at <= now - 0.2]:
            self.waiting.remove(at)
            super().record_start(at)
        return super().room(now)

    def record_end(self, now):
        if getattr(self, "waiting", []):
            self.waiting.pop()
        else:
            super().record_end(now)


class IgnoresLeaseAfterPause(BudgetShare):
    """Goes on after a pause with what it had."""

    def allowance(self, now):
        part = self._allotment()
        return part.amount if part and part.life in self.incarnations else 0

    def overdue(self, now):
        return 0


class RoundsGoalUp(BudgetShare):
    """Takes its goal, rounded up, whether it is free or not."""

    def _rebalance(self, now, d, part, use):
        wants = {m: p.want for m, p in d.allotments.items()} | {self.controller: self.want(now)}
        goal = fair_shares(d.limit, wants)[self.controller] + 1
        return (
            d.with_allotment(self.controller, part._replace(amount=max(goal, use)))
            if goal > part.amount
            else None
        )


class RegistersAboveLimit(BudgetShare):
    """Enters with its floor though nothing is free."""

    def _register(self, d, part, use, now):
        if part is None:
            return d.with_allotment(self.controller, Allotment(3, 3, self.incarnation, d.count))
        return super()._register(d, part, use, now)


PAUSED, KILLED = (
    (("pause", "demand", "demand"), 4, 2.0),
    (("kill", "start", "demand"), 4, 2.0),
)


@pytest.mark.parametrize(
    ("mistake", "story", "seeds"),
    [
        (ReassignsImmediately, KILLED, (0, 1)),
        (IgnoresLeaseAfterPause, PAUSED, (6,)),
        (CountsStartsLate, PAUSED, (0, 1)),
        (RoundsGoalUp, PAUSED, (0, 1)),
        (RegistersAboveLimit, KILLED, (0, 1)),
    ],
)
def test_a_planted_mistake_is_caught_and_without_it_the_same_day_is_kept(mistake, story, seeds):
    assert any(Story(seed, mistake, *story).play(100).broken for seed in seeds)
    assert not any(Story(seed, BudgetShare, *story).play(100).broken for seed in seeds)


def test_all_interleavings_of_a_small_world_keep_the_whole():
    found = check_safety(sharing(5, 1, 0))
    assert found["exhaustive"] and found["reachable_states"] > 10000
    assert all(p["holds"] is True for p in found["properties"].values()), found


@pytest.mark.parametrize(
    ("mistake", "world", "most"),
    [
        (ReassignsImmediately, (6, 2, 1), 60000),
        (IgnoresLeaseAfterPause, (5, 2, 0), 30000),
        (TreatsUnknownAsFailed, (5, 2, 0), 30000),
        (RoundsGoalUp, (4, 1, 0), 4000),
        (RegistersAboveLimit, (4, 1, 0), 4000),
    ],
)
def test_a_planted_mistake_is_found_by_a_short_way(mistake, world, most):
    found = check_safety(sharing(*world, make=mistake), max_states=most)
    ways = [p["counterexample"] for p in found["properties"].values() if p["holds"] is False]
    assert ways and len(min(ways, key=len)) <= 12


@pytest.mark.parametrize(("make", "kept"), [(BudgetShare, True), (TreatsUnknownAsFailed, False)])
def test_who_hears_nothing_of_what_it_gave_back_does_not_use_it(make, kept):
    w = World(1, 3, (HELD,), demand=2.0, lasts=4.0, make=make)
    w.demand[0] = 20.0
    w.run(10.0)
    w.demand[0] = 1.0
    w.run(16.0)
    w.demand |= {1: 30.0, 2: 30.0}
    shares = w.processes[0].shares["held"]
    while shares.promised_amount is None or shares.promised_amount >= shares._allotment().amount:
        w.run(w.now + 0.001)
    w.deafen(0, 5.0)  # what it gives back is on its way, and it will not hear that it was taken
    w.demand[0] = 30.0
    w.run(w.now + 4.0)
    assert w.unknown > 0 and bool(w.broken) is not kept


def test_what_outlasts_a_lease_allows_for_clocks_that_stray():
    assert HELD.grace_period > HELD.linger * (1 + rules.DRIFT) and RATE.grace_period > RATE.window * (
        1 + rules.DRIFT
    )
