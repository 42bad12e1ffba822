"""Shared documents changed by compare-and-swap, and the budgets that controllers divide through them."""

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
from herongap.accord import shares as budget_shares
from herongap.accord.document import encode_document
from herongap.accord.shares import fair_shares, parse_allocation, read_allocation
from herongap.fleet import protocol_models
from herongap.fleet.budget_model import budget_model
from herongap.fleet.budget_simulation import BudgetSimulation, NetworkConditions

HELD = BudgetTerms("held", BudgetKind.HELD, 40, floor=1, linger=8.0)
RATE = BudgetTerms("rate", BudgetKind.RATE, 60, floor=1, window=5.0)
ROUGH = NetworkConditions(0.004, 0.02, 0.05, 0.02)


# The shared document.


def test_commit_without_reply_is_resolved_by_resending_or_by_a_read():
    a, b = SharedDocument("a", 1), SharedDocument("b", 1)
    for document in (a, b):
        document.observe(1, 0, None)
    first = a.propose("x")
    a.handle_unknown_outcome()
    assert a.commit_to_resend() == first and a.propose("y") is None, (
        "no other commit is proposed while the outcome is unknown"
    )
    assert a.observe(5, 0, None) is None and a.uncertain, "it may still be in flight"
    assert a.observe(6, 6, first.data) is CommitOutcome.COMMITTED and a.body == "x"
    # A later commit of another writer does not hide ours: the document keeps the mark of each writer.
    b.observe(6, 6, first.data)
    second, third = a.propose("y"), b.propose("z")
    a.handle_unknown_outcome()
    assert b.handle_reply(third, 7, True, 7, third.data) is CommitOutcome.COMMITTED
    assert a.handle_reply(second, 7, False, 7, third.data) is CommitOutcome.CONFLICT
    assert a.body == "z" and a.observe(6, 6, first.data) is None and a.version == 7, (
        "older revisions are ignored"
    )
    assert a.handle_reply(first, 6, True, 6, first.data) is None and a.body == "z", (
        "a late reply to a resolved commit"
    )


def test_document_that_cannot_be_parsed_is_not_overwritten():
    a = SharedDocument("a", 1)
    for data in (b"no json", b'{"v": 2, "body": 1}', b"[]"):
        a.observe(a.revision + 1, a.revision + 1, data)
        assert a.error and a.body is None and a.propose("x") is None
    a.observe(9, 9, b'{"v": 1, "body": 3}')
    assert not a.error and a.body == 3 and a.propose("x").base_version == 9


def test_all_interleavings_resolve_an_unknown_outcome_correctly():
    found = check_safety(protocol_models.document_model(max_in_flight=1))
    assert found["exhaustive"] and found["reachable_states"] > 100000
    assert all(p["holds"] is True for p in found["properties"].values()), found


# The division of a budget.


@given(
    st.integers(0, 500), st.dictionaries(st.text(max_size=3), st.integers(0, 300), min_size=1, max_size=20)
)
def test_fair_shares_sum_to_the_limit_and_satisfy_the_smaller_wants(limit, wants):
    goals = fair_shares(limit, wants)
    assert sum(goals.values()) == limit and min(goals.values()) >= 0
    short = [c for c in wants if goals[c] < wants[c]]
    if sum(wants.values()) <= limit:
        assert not short
    for c in short:
        assert all(goals[c] >= goals[o] - 1 for o in wants), (
            "no controller has more than one that is short, apart from rounding by one"
        )


EMPTY = {"whole": 1, "open": True, "count": 1, "parts": {}}


@pytest.mark.parametrize(
    "body", [None, 3, {"whole": 1}, EMPTY | {"whole": -1}, EMPTY | {"parts": {"1": [-1, 0, 0, 0]}}]
)
def test_invalid_allocation_is_rejected(body):
    with pytest.raises(ValueError):
        parse_allocation(body)


def stored_allocation(allotments: dict[str, Allotment], limit: int = 12, open_: bool = True) -> bytes:
    return encode_document(Allocation(limit, open_, 1, allotments).to_body())


def leased_share(
    terms: BudgetTerms = HELD, allotments=None, limit: int = 12, incarnation: int = 5
) -> BudgetShare:
    """The share of controller 1, leased until 4.5, which has read the allocation."""
    share = BudgetShare(terms, "1", 5.0)
    share.update_lease(incarnation, 4.5, True)
    share.observe(
        0.0,
        10,
        10,
        stored_allocation(
            {"1": Allotment(4, 1, incarnation, 1)} if allotments is None else allotments, limit
        ),
    )
    return share


def test_allotment_expires_with_the_lease_and_with_a_new_claim_of_the_number():
    share = leased_share()
    assert share.room(4.4) == 4 and share.room(4.5) == 0, "the lease is checked first, also after a pause"
    share.update_lease(share.incarnation, 9.5, True)
    assert share.room(4.5) == 4
    share.update_lease(11, 20.0, True)
    assert share.room(6.0) == 0, "the allotment is of an earlier claim and may have been reassigned"
    share.observe(6.0, 12, 12, stored_allocation({"1": Allotment(4, 1, 11, 1)}))
    assert share.room(6.0) == 4


def test_returned_amount_is_not_used_once_the_write_is_sent():
    share = leased_share(allotments={"1": Allotment(10, 10, 5, 1), "2": Allotment(2, 8, 6, 1)})
    for _ in range(3):
        share.record_start(0.0)
    commit = share.next_commit(3.0, {"1": 5, "2": 6})
    proposed = read_allocation(commit.data)
    assert proposed.allotments["1"].amount < 10 and proposed.free > 0 and proposed.allotments["2"].amount == 2
    assert share.allowance(3.0) == proposed.allotments["1"].amount, (
        "not used from now on, whatever the outcome of the write"
    )
    share.handle_unknown_outcome(3.1, commit)
    assert (
        share.allowance(3.1) == proposed.allotments["1"].amount
        and share.next_commit(4.0, {"1": 5, "2": 6}) == commit
    )
    share.handle_reply(
        4.1,
        commit,
        11,
        False,
        11,
        stored_allocation({"1": Allotment(10, 10, 5, 1), "2": Allotment(2, 8, 6, 1)}),
    )
    assert share.allowance(4.1) == 10, "the commit failed, so the whole allotment is still ours"


def test_larger_allotment_is_used_only_after_the_commit():
    share = leased_share(allotments={"1": Allotment(2, 2, 5, 1), "2": Allotment(2, 2, 6, 1)})
    for _ in range(2):
        share.record_start(0.0)
    share.record_rejection(0.1)
    commit = share.next_commit(0.1, {"1": 5, "2": 6})
    assert share.room(0.2) == 0
    assert (
        share.handle_reply(0.3, commit, 11, True, 11, commit.data) is CommitOutcome.COMMITTED
        and share.room(0.3) > 0
    )


def test_lowered_limit_ends_nothing_and_admits_nothing_new():
    share = leased_share(allotments={"1": Allotment(6, 6, 5, 1), "2": Allotment(6, 6, 6, 1)}, limit=6)
    for _ in range(5):
        share.record_start(0.0)
    commit = share.next_commit(0.1, {"1": 5, "2": 6})
    assert read_allocation(commit.data).allotments["1"].amount == 5 and share.overdue(0.1) == 0, (
        "what is held continues"
    )
    share.handle_reply(0.2, commit, 11, True, 11, commit.data)
    share.record_end(0.5)
    assert share.room(0.5) == 0, "an ended item is not replaced while the allotments exceed the limit"
    assert share.next_commit(2.9, {"1": 5, "2": 6}) is not None and share.room(2.9) == 0


def test_allotment_of_a_dead_controller_is_kept_for_the_grace_period():
    share = leased_share(allotments={"1": Allotment(2, 1, 5, 1), "2": Allotment(10, 8, 6, 1)})
    share.update_lease(share.incarnation, 1000.0, True)

    def committed_allotments(now: float, live):
        commit = share.next_commit(now, live)
        return None if commit is None else read_allocation(commit.data).allotments

    assert committed_allotments(1.0, {"1": 5, "2": 6}) is None
    assert committed_allotments(2.0, {"1": 5}) is None
    assert committed_allotments(2.5, None) is None, (
        "the absence is timed anew after the live controllers were unknown"
    )
    assert committed_allotments(3.0, {"1": 5}) is None
    assert committed_allotments(3.0 + HELD.grace_period - 0.01, {"1": 5}) is None
    assert "2" not in committed_allotments(4.0 + HELD.grace_period, {"1": 5})


def test_restarted_process_counts_what_its_predecessor_may_hold():
    share = leased_share(allotments={"1": Allotment(7, 7, 3, 1)})
    commit = share.next_commit(0.0, {"1": 5})
    share.handle_reply(0.1, commit, 11, True, 11, commit.data)
    assert share.allowance(0.1) == 7 and share.room(0.1) == 0
    share.update_lease(share.incarnation, 100.0, True)
    assert share.room(HELD.grace_period - 0.1) == 0
    assert share.room(HELD.grace_period + 0.1) == 7, "it has ended by then"
    restarted = leased_share(allotments={"1": Allotment(7, 7, 3, 1)})
    commit = restarted.next_commit(0.0, {"1": 5})
    restarted.handle_reply(0.1, commit, 11, True, 11, commit.data)
    restarted.restore_usage(0.2, 2)
    assert restarted.room(0.2) == 5, "the recovered usage replaces the whole allotment"


def test_items_held_without_a_lease_are_overdue_after_the_linger_time():
    share = leased_share()
    for _ in range(3):
        share.record_start(1.0)
    share.update_lease(5, 4.5, False)
    assert share.room(2.0) == 0 and share.overdue(4.5 + HELD.linger - 0.1) == 0
    share.update_lease(20, 100.0, True)  # a new claim does not revalidate the allotment
    assert share.overdue(4.5 + HELD.linger) == 3


def test_budget_that_stops_without_the_store_has_no_room_after_a_failed_renewal():
    share = leased_share(HELD._replace(keep_without_store=False))
    share.update_lease(5, 4.5, True, failing=True)
    assert share.room(0.5) == 0
    share.update_lease(share.incarnation, 9.0, True)
    assert share.room(0.5) == 4


def test_restored_store_gives_no_room_until_usage_is_recounted():
    share = leased_share()
    share.record_start(0.0)
    share.handle_store_restored()
    share.update_lease(2, 4.5, True)
    share.observe(0.1, 3, 3, stored_allocation({"1": Allotment(9, 9, 2, 1)}))
    assert share.room(0.1) == 0
    closing = share.next_commit(0.2, {"1": 2})
    assert not read_allocation(closing.data).open
    share.handle_reply(0.3, closing, 4, True, 4, closing.data)
    counted = share.next_commit(0.9, {"1": 2})
    assert read_allocation(counted.data).allotments["1"].amount == 1
    share.handle_reply(1.0, counted, 5, True, 5, counted.data)
    share.update_lease(share.incarnation, 100.0, True)
    assert share.next_commit(2.0, {"1": 2}) is None and share.room(2.0) == 0
    late = 2.1 + 5.0 + HELD.grace_period
    assert read_allocation(share.next_commit(late, {"1": 2}).data).open


# Simulated controllers with faults drawn from a seed.


@dataclass
class FaultScenario:
    """A simulated run with random faults."""

    seed: int
    make: type = BudgetShare
    kinds: tuple = (
        "pause",
        "pause",
        "kill",
        "start",
        "store unavailable",
        "demand",
        "shut down",
        "change limit",
        "drop incoming",
        "drop incoming",
    )
    controllers: int = 8
    max_gap: float = 3.0  # seconds between two faults
    simulation: BudgetSimulation = field(init=False)

    def play(self, faults: int = 25) -> BudgetSimulation:
        simulation = self.simulation = BudgetSimulation(
            self.seed,
            self.controllers,
            (HELD, RATE),
            ROUGH,
            demand=2.0,
            mean_hold_seconds=4.0,
            share_type=self.make,
        )
        random = simulation.random
        simulation.run(5.0)
        for _ in range(faults):
            simulation.run(simulation.now + random.uniform(0.1, 1.0) * self.max_gap)
            number = random.randrange(self.controllers)
            match random.choice(self.kinds):
                case "pause":
                    simulation.pause(number, random.choice([0.3, 1.5, 4.0, 8.0, 20.0]))
                case "kill":
                    simulation.kill(number)
                case "start" if number not in simulation.processes:
                    simulation.start(number)
                case "drop incoming":
                    simulation.drop_incoming(number, random.choice([1.0, 3.0, 6.0]))
                case "shut down":
                    simulation.shut_down(number)
                case "store unavailable":
                    simulation.store.unavailable = True
                    simulation.after(
                        random.choice([0.5, 3.0, 8.0]), setattr, simulation.store, "unavailable", False
                    )
                case "demand":
                    simulation.demand[number] = random.choice([0, 1, 10, 20])
                case "change limit":
                    simulation.change_limit("held", random.choice([10, 40, 60]))
                case "back up":
                    simulation.store.take_backup()
                case "restore":
                    simulation.restore_store()
        simulation.run(simulation.now + 10.0)
        return simulation


@pytest.mark.parametrize("seed", range(12))
def test_usage_stays_within_the_limit_under_faults(seed):
    simulation = FaultScenario(seed).play()
    assert not simulation.violations and simulation.admitted > 100 and simulation.unknown_outcomes > 20


@pytest.mark.parametrize("seed", range(100, 108))
def test_usage_stays_within_the_limit_when_the_store_is_restored_from_a_copy(seed):
    simulation = FaultScenario(
        seed, kinds=("pause", "kill", "start", "demand", "back up", "restore", "drop incoming")
    ).play()
    assert not simulation.violations and simulation.restore_count > 0


def test_allotments_follow_demand_that_moves_to_another_controller():
    simulation = BudgetSimulation(1, 8, (HELD,), demand=1.0, mean_hold_seconds=2.0)
    simulation.run(10.0)
    simulation.demand = dict.fromkeys(simulation.demand, 0.2) | {3: 40.0}
    simulation.run(14.0)
    allotments = simulation.allocation("held").allotments
    assert allotments["3"].amount >= 28 and len(simulation.held["held"]) >= 28 and not simulation.violations


def test_twelve_controllers_share_and_use_a_limit_of_three():
    simulation = BudgetSimulation(2, 12, (HELD._replace(limit=3, floor=0),), demand=2.0)
    simulation.run(20.0)
    used = []
    for _ in range(100):
        simulation.run(simulation.now + 0.1)
        used.append(len(simulation.held["held"]))
    assert not simulation.violations and max(used) == 3 and sum(used) / len(used) > 2.0


class ReassignsImmediately(BudgetShare):
    """Reassigns an allotment as soon as its holder's lease is gone, without the grace period."""

    def _expired_controllers(self, now, allocation, live):
        absent = [
            c
            for c, a in allocation.allotments.items()
            if c != self.controller and live is not None and live.get(c) != a.life
        ]
        return sorted(absent)


class TreatsUnknownAsFailed(BudgetShare):
    """Treats a commit without a reply as failed."""

    def handle_unknown_outcome(self, now, commit):
        self.document.pending, self.promised_amount = None, None


class CountsStartsLate(BudgetShare):
    """Counts a start only when its reply arrives."""

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
    """Continues after a pause without checking the lease."""

    def allowance(self, now):
        allotment = self._allotment()
        return allotment.amount if allotment and allotment.life in self.incarnations else 0

    def overdue(self, now):
        return 0


class RoundsGoalUp(BudgetShare):
    """Takes its goal rounded up, even if that amount is not free."""

    def _rebalance(self, now, allocation, allotment, usage):
        wants = {c: a.want for c, a in allocation.allotments.items()} | {self.controller: self.want(now)}
        goal = fair_shares(allocation.limit, wants)[self.controller] + 1
        return (
            allocation.with_allotment(self.controller, allotment._replace(amount=max(goal, usage)))
            if goal > allotment.amount
            else None
        )


class RegistersAboveLimit(BudgetShare):
    """Registers with an allotment although nothing is free."""

    def _register(self, allocation, allotment, usage, now):
        if allotment is None:
            return allocation.with_allotment(
                self.controller, Allotment(3, 3, self.incarnation, allocation.count)
            )
        return super()._register(allocation, allotment, usage, now)


PAUSED, KILLED = (
    (("pause", "demand", "demand"), 4, 2.0),
    (("kill", "start", "demand"), 4, 2.0),
)


@pytest.mark.parametrize(
    ("variant", "scenario", "seeds"),
    [
        (ReassignsImmediately, KILLED, (0, 1)),
        (IgnoresLeaseAfterPause, PAUSED, (6,)),
        (CountsStartsLate, PAUSED, (0, 1)),
        (RoundsGoalUp, PAUSED, (0, 1)),
        (RegistersAboveLimit, KILLED, (0, 1)),
    ],
)
def test_faulty_variant_breaks_the_limit_where_the_real_protocol_does_not(variant, scenario, seeds):
    assert any(FaultScenario(seed, variant, *scenario).play(100).violations for seed in seeds)
    assert not any(FaultScenario(seed, BudgetShare, *scenario).play(100).violations for seed in seeds)


def test_all_interleavings_of_a_small_model_keep_the_limit():
    found = check_safety(budget_model(5, 1, 0))
    assert found["exhaustive"] and found["reachable_states"] > 10000
    assert all(p["holds"] is True for p in found["properties"].values()), found


@pytest.mark.parametrize(
    ("variant", "model", "max_states"),
    [
        (ReassignsImmediately, (6, 2, 1), 60000),
        (IgnoresLeaseAfterPause, (5, 2, 0), 30000),
        (TreatsUnknownAsFailed, (5, 2, 0), 30000),
        (RoundsGoalUp, (4, 1, 0), 4000),
        (RegistersAboveLimit, (4, 1, 0), 4000),
    ],
)
def test_model_checker_finds_a_short_counterexample_for_each_faulty_variant(variant, model, max_states):
    found = check_safety(budget_model(*model, share_type=variant), max_states=max_states)
    counterexamples = [p["counterexample"] for p in found["properties"].values() if p["holds"] is False]
    assert counterexamples and len(min(counterexamples, key=len)) <= 12


@pytest.mark.parametrize(
    ("share_type", "within_limit"), [(BudgetShare, True), (TreatsUnknownAsFailed, False)]
)
def test_returned_amount_is_not_used_while_no_reply_arrives(share_type, within_limit):
    simulation = BudgetSimulation(1, 3, (HELD,), demand=2.0, mean_hold_seconds=4.0, share_type=share_type)
    simulation.demand[0] = 20.0
    simulation.run(10.0)
    simulation.demand[0] = 1.0
    simulation.run(16.0)
    simulation.demand |= {1: 30.0, 2: 30.0}
    share = simulation.processes[0].shares["held"]
    while share.promised_amount is None or share.promised_amount >= share._allotment().amount:
        simulation.run(simulation.now + 0.001)
    simulation.drop_incoming(
        0, 5.0
    )  # the commit that returns an amount is in flight, and its reply will be lost
    simulation.demand[0] = 30.0
    simulation.run(simulation.now + 4.0)
    assert simulation.unknown_outcomes > 0 and bool(simulation.violations) is not within_limit


def test_grace_period_allows_for_clock_drift():
    assert HELD.grace_period > HELD.linger * (
        1 + budget_shares.MAX_CLOCK_DRIFT
    ) and RATE.grace_period > RATE.window * (1 + budget_shares.MAX_CLOCK_DRIFT)
