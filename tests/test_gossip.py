"""Gossip membership without I/O, in virtual time: record merging, failure detection, pauses, partitions."""

import random
from functools import partial

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from minicheck import check_safety

from herongap.errors import InternalMisuseError
from herongap.fleet.gossip_model import gossip_model
from herongap.fleet.gossip_simulation import GossipSimulation
from herongap.gossip import (
    Datagram,
    Gossip,
    GossipConfig,
    InvalidDatagramError,
    MemberRecord,
    MemberStatus,
    MemberTable,
    decode,
    encode,
    messages,
)

ME = MemberRecord(0, 1, 0, MemberStatus.ALIVE, "10.0.0.1", 10000, "a")
OTHER = MemberRecord(1, 5, 0, MemberStatus.ALIVE, "10.0.0.1", 10001, "b")


def changed(record, **changes):
    return msgspec.structs.replace(record, **changes)


records = st.builds(
    MemberRecord, st.integers(0, 3), st.integers(1, 3), st.integers(0, 3), st.integers(0, 3),
    st.just("10.0.0.1"), st.integers(1, 65535), st.just("a"),
)  # fmt: skip


@given(st.lists(records, max_size=12), st.randoms())
def test_merge_does_not_depend_on_order_or_repetition(received, rng):
    tables = []
    for times in (1, 2):
        table, order = MemberTable(changed(ME, number=9)), received * times
        rng.shuffle(order)
        for record in order:
            table.merge(0.0, record)
        tables.append({n: x.precedence for n, x in table.records.items()})
    assert tables[0] == tables[1]
    for number, precedence in tables[0].items():
        if number != 9:
            assert precedence == max(x.precedence for x in received if x.number == number)


def test_only_the_member_itself_refutes_and_only_its_own_incarnation():
    table = MemberTable(ME)
    assert table.merge(0.0, changed(ME, status=MemberStatus.SUSPECT)) == ME
    assert (table.own.refutations, table.own.status) == (1, MemberStatus.ALIVE)
    for old in (
        changed(ME, status=MemberStatus.GONE),
        changed(ME, incarnation=0, refutations=9, status=MemberStatus.GONE),
    ):
        table.merge(0.0, old)  # refuted already; another incarnation
    assert table.own.refutations == 1
    table.merge(0.0, changed(ME, refutations=4, status=MemberStatus.GONE))
    assert table.own.refutations == 5 and table.records[0] == table.own


def test_late_record_of_an_old_incarnation_changes_nothing():
    table = MemberTable(ME)
    table.merge(0.0, changed(OTHER, incarnation=6))
    for late in (
        changed(OTHER, refutations=9, status=MemberStatus.GONE),
        OTHER,
        changed(OTHER, status=MemberStatus.LEFT),
    ):
        assert table.merge(1.0, late) is None
    assert table.records[1].incarnation == 6 and table.records[1].status == MemberStatus.ALIVE
    table.merge(2.0, changed(OTHER, incarnation=6, status=MemberStatus.GONE))
    assert table.merge(3.0, changed(OTHER, incarnation=6)) is None, "a late record does not revive a member"
    assert table.merge(3.0, changed(OTHER, incarnation=6, refutations=1)) is not None, (
        "its own refutation does"
    )


def test_members_that_ended_long_ago_are_pruned():
    table = MemberTable(ME)
    for restart in range(1000):
        table.merge(float(restart), changed(OTHER, number=1 + restart, status=MemberStatus.ALIVE))
        table.merge(float(restart), changed(OTHER, number=1 + restart, status=MemberStatus.GONE))
        table.prune(float(restart))
    assert len(table.records) < 700 and len(table._send_counts) == len(table.records)


def test_datagrams_fit_and_invalid_ones_are_counted_and_dropped():
    many = tuple(changed(OTHER, number=n, zone="a-zone-with-a-long-name") for n in range(230))
    oversized = Datagram(messages.VERSION, "f", messages.PING, 0, 1, 1, records=many)
    data = encode(oversized)
    assert len(data) <= 1200 and 10 < len(decode(data, "f").records) < 230
    noise = random.Random(1).randbytes(200)
    other_fleet = encode(msgspec.structs.replace(oversized, fleet="g", records=()))
    newer_version = encode(msgspec.structs.replace(oversized, version=2, records=()))
    g = Gossip(0.0, ME, "f", GossipConfig(), 1)
    for bad in (b"", noise, data[:50], data + b"x", b"\x93" * 1000, other_fleet, newer_version, b"z" * 1201):
        with pytest.raises(InvalidDatagramError) as raised:
            decode(bad, "f")
        assert raised.value.cause and raised.value.advice
        assert g.receive(0.0, bad, ("10.0.0.9", 1)) == []
    assert g.counts["unreadable"] == 8 and list(g.members.records) == [0]


def test_member_must_start_alive():
    with pytest.raises(InternalMisuseError):
        Gossip(0.0, changed(ME, status=MemberStatus.GONE), "f", GossipConfig(), 1)


def running_simulation(size, seed=1, warm_up=12.0, **options):
    simulation = GossipSimulation(size, seed, **options)
    simulation.run(warm_up)
    return simulation


def all_see_all_alive(simulation, size):
    return all(simulation.all_see(number, MemberStatus.ALIVE) for number in range(size))


@pytest.mark.parametrize("loss_rate", [0.0, 0.05, 0.2])
def test_all_detect_a_dead_member_and_declare_no_live_one_gone(loss_rate):
    for seed in (1, 2):
        simulation = running_simulation(30, seed, warm_up=25.0, loss_rate=loss_rate)
        assert all(len(m.gossip.members.records) == 30 for m in simulation.members.values())
        simulation.kill(3)
        detected = partial(simulation.all_see, 3, MemberStatus.GONE)
        assert simulation.run_until(detected, 20) < 8
        simulation.run(simulation.clock.now + 40)
        alive = [x for x in simulation.members if x != 3]
        assert all(
            simulation.all_see(x, MemberStatus.ALIVE)
            or simulation.all_see(x, MemberStatus.SUSPECT)
            or loss_rate
            for x in alive
        )
        assert all(simulation.status_at(x, at) < MemberStatus.GONE for x in alive for at in alive)
        if loss_rate:
            assert simulation.total_count("suspected") > 1 and simulation.total_count("refuted") > 0


def test_one_way_link_causes_neither_death_nor_flapping():
    simulation = running_simulation(9)
    simulation.is_blocked = lambda a, b: (a, b) == (1, 2)
    simulation.run(60)
    assert all_see_all_alive(simulation, 9)
    sender, receiver = simulation.members[1].gossip, simulation.members[2].gossip
    assert receiver.unheard(60.0) == [1] and sender.unheard_by(60.0) == [2]
    refutations = [m.gossip.members.own.refutations for m in simulation.members.values()]
    assert max(refutations) <= 2, "a one-way link must not cause repeated suspicions"


def test_member_that_nobody_hears_is_gone_and_declares_nobody_gone():
    simulation = running_simulation(9)
    simulation.is_blocked = lambda a, b: a == 4
    simulation.run_until(lambda: simulation.all_see(4, MemberStatus.GONE), 20)
    simulation.run(simulation.clock.now + 20)
    assert (
        simulation.all_see(4, MemberStatus.GONE)
        and sum(simulation.all_see(x, MemberStatus.ALIVE, (4,)) for x in range(9)) == 8
    )
    simulation.is_blocked = lambda a, b: False
    assert simulation.run_until(lambda: simulation.all_see(4, MemberStatus.ALIVE), 30) < 30, (
        "heard again, it has refuted"
    )


@pytest.mark.parametrize("detects_pauses", [True, False])
def test_suspended_member_declares_nobody_gone_before_catching_up(detects_pauses):
    declared_gone = 0
    for seed in range(12):
        simulation = running_simulation(12, seed, config=GossipConfig(detects_pauses=detects_pauses))
        simulation.is_blocked = lambda a, b: b == 5  # it begins to suspect the others
        simulation.run(simulation.clock.now + 1.2)
        simulation.members[5].pause(7.0)
        simulation.is_blocked = lambda a, b: False
        simulation.run(simulation.clock.now + 20)
        declared_gone += simulation.members[5].gossip.counts["gone"]
        assert simulation.run_until(partial(all_see_all_alive, simulation, 12), 30) < 30
    assert declared_gone == 0 if detects_pauses else declared_gone > 3


def test_restart_within_a_round_is_a_new_incarnation_everywhere():
    simulation = running_simulation(9)
    simulation.kill(2)
    simulation.run(simulation.clock.now + 0.2)
    simulation.start(2, 7)
    tables = [m.gossip.members for number, m in simulation.members.items() if number != 2]
    assert simulation.run_until(lambda: all(table.records[2].incarnation == 7 for table in tables), 15) < 10
    simulation.run(simulation.clock.now + 20)
    assert simulation.all_see(2, MemberStatus.ALIVE) and all(
        table.records[2].incarnation == 7 for table in tables
    )


def test_member_joins_through_any_seed_and_partitions_heal():
    simulation = running_simulation(12, warm_up=0.0)
    simulation.is_blocked = lambda a, b: (a < 6) != (b < 6)
    simulation.run(30)
    assert simulation.status_at(8, 1) in (None, MemberStatus.GONE)
    simulation.is_blocked = lambda a, b: False
    assert simulation.run_until(partial(all_see_all_alive, simulation, 12), 90) < 90
    late = simulation.start(40, 1)
    late.gossip.set_seeds([("10.0.0.1", 10007)])
    assert simulation.run_until(lambda: simulation.all_see(40, MemberStatus.ALIVE), 30) < 30


def test_member_that_leaves_is_never_suspected():
    simulation = running_simulation(9)
    leaver = simulation.members[4]
    simulation.send(leaver, leaver.gossip.leave(simulation.clock.now))
    simulation.run(simulation.clock.now + 0.5)
    simulation.kill(4)
    simulation.run(simulation.clock.now + 15)
    assert simulation.all_see(4, MemberStatus.LEFT) and simulation.total_count("gone") == 0


def test_controller_count_is_the_larger_one_unless_the_store_ranks_us():
    g = Gossip(0.0, ME, "f", GossipConfig(), 1)
    g.members.merge(0.0, OTHER)
    g.members.merge(0.0, changed(OTHER, number=2, status=MemberStatus.GONE))
    assert (g.controller_count(1, False), g.controller_count(5, False), g.controller_count(1, True)) == (
        2,
        5,
        1,
    )


class LastRecordWins(MemberTable):
    """Accepts every record, in order of arrival."""

    def merge(self, now, record):
        if record.number == self.own.number:
            return super().merge(now, record)
        known, self.records[record.number] = self.records.get(record.number), record
        self._send_counts[record.number] = 0
        return known


class LateRecordRevives(MemberTable):
    """A late record revives a member that was declared gone."""

    def merge(self, now, record):
        known = self.records.get(record.number)
        if known and known.incarnation == record.incarnation and (known.status, record.status) == (2, 0):
            self.records[record.number] = record
            return known
        return super().merge(now, record)


class RefutesAnyIncarnation(MemberTable):
    """Refutes records of older incarnations too."""

    def _refute(self, record):
        if record.status == MemberStatus.ALIVE:
            return None
        self.announce(changed(self.own, refutations=record.refutations + 1))
        return self.own


class RefutesForOthers(MemberTable):
    """Increases the refutation count of another member, which only that member may do."""

    def merge(self, now, record):
        known = self.records.get(record.number)
        if known and record.number != self.own.number and record.status > known.status:
            record = changed(record, refutations=record.refutations + 1)
        return super().merge(now, record)


def test_all_interleavings_of_two_incarnations_keep_the_invariants():
    for model in ((2, 1), (2, 2), (3, 1)):
        found = check_safety(gossip_model(*model))
        assert found["exhaustive"] and found["reachable_states"] > 1000
        assert all(p["holds"] is True for p in found["properties"].values()), found


@pytest.mark.parametrize(
    "variant, max_length",
    [(LastRecordWins, 4), (LateRecordRevives, 5), (RefutesAnyIncarnation, 6), (RefutesForOthers, 4)],
)
def test_model_checker_finds_a_short_counterexample_for_each_faulty_variant(variant, max_length):
    found = check_safety(gossip_model(2, 2, variant), max_states=8000)
    counterexamples = [p["counterexample"] for p in found["properties"].values() if p["holds"] is False]
    assert counterexamples and len(min(counterexamples, key=len)) <= max_length, found
