"""Several controller processes that know each other by gossip only, with network and process faults."""

import gevent
import pytest
from helpers import closing
from members import Fleet, signal

from herongap.rehearsal.datagrams import LinkFaults

ALIVE = {n: "alive" for n in range(4)}


@pytest.fixture
def start_fleet(tmp_path):
    yield from closing(Fleet, tmp_path)


def test_one_way_cut_is_no_death_and_kill_and_restart_are_detected(start_fleet):
    fleet = start_fleet()
    fleet.until(lambda: fleet.all_see(ALIVE), 15)
    fleet.relay.cut([(1, 2)])  # datagrams from 1 never reach 2; all others arrive
    gevent.sleep(1.0)
    fleet.processes[3].kill()
    seconds = fleet.until(lambda: fleet.all_see({3: "gone"}, (0, 1, 2)), 10)
    assert seconds < 8
    fleet.until(lambda: 1 in fleet.membership(2)["deaf"] and 2 in fleet.membership(1)["unheard_by"], 15)
    assert fleet.all_see({0: "alive", 1: "alive", 2: "alive"}, (0, 1, 2)) and fleet.relay.counts["lost"] > 5
    assert all(fleet.membership(n)["counts"]["gone"] <= 1 for n in range(3)), (
        "no member but the killed one was declared gone"
    )
    incarnation = fleet.membership(0)["members"]["3"]["life"]
    fleet.processes[3] = fleet.start(3)
    fleet.until(lambda: fleet.all_see(ALIVE), 15)
    assert fleet.membership(0)["members"]["3"]["life"] > incarnation


@pytest.mark.parametrize(
    "without_detection", [(), (2,)], ids=["with-pause-detection", "without-pause-detection"]
)
def test_suspended_process_declares_nobody_gone_before_catching_up(tmp_path, without_detection):
    fleet = Fleet(tmp_path, without_pause_detection=without_detection)
    try:
        fleet.until(lambda: fleet.all_see(ALIVE), 15)
        fleet.relay.cut((n, 2) for n in (0, 1, 3))  # it hears no member and begins to suspect them
        fleet.until(lambda: "suspect" in [fleet.status(n, 2) for n in (0, 1, 3)], 5)
        fleet.signal(2, signal.SIGSTOP)
        gevent.sleep(2)  # longer than its suspicion timeout
        fleet.signal(2, signal.SIGCONT)
        gevent.sleep(0.3)  # nothing queued in its socket refutes the suspicions
        fleet.relay.clear_faults()
        fleet.until(lambda: fleet.all_see(ALIVE), 15)
        counts = fleet.membership(2)["counts"]
        assert (counts["gone"] > 0) == bool(without_detection), counts
        assert counts["paused"] == (not without_detection)
    finally:
        fleet.close()


def test_rolling_restart_while_datagrams_are_lost_duplicated_and_delayed(start_fleet):
    fleet = start_fleet()
    fleet.until(lambda: fleet.all_see(ALIVE), 15)
    fleet.relay.set_faults(LinkFaults(loss=0.2, duplication=0.2, delay=(0.0, 0.08)), fleet.relay.pairs())
    old_incarnations = {}
    for number in range(4):
        old_incarnations[number] = fleet.membership(number)["members"][str(number)]["life"]
        fleet.processes[number].kill()
        fleet.processes[number].wait()
        fleet.processes[number] = fleet.start(number)  # under the same number, within one round of probes
        gevent.sleep(0.2)

    def all_see_new_incarnations():
        pages = [fleet.membership(at).get("members", {}) for at in range(4)]
        return all(
            members.get(str(of), {}).get("life", 0) > old
            for members in pages
            for of, old in old_incarnations.items()
        )

    fleet.until(all_see_new_incarnations, 20)
    fleet.until(lambda: fleet.all_see(ALIVE), 20)
    fleet.until(lambda: min(fleet.relay.counts[what] for what in ("lost", "doubled", "late")) > 10, 30)
    fleet.until(lambda: fleet.all_see(ALIVE), 20)


def test_partition_with_a_kill_on_each_side_heals(tmp_path):
    fleet = Fleet(tmp_path, size=6)
    try:
        fleet.until(lambda: fleet.all_see({n: "alive" for n in range(6)}), 20)
        fleet.relay.cut(fleet.relay.pairs_between((0, 1, 2)))
        fleet.processes[0].kill()
        fleet.processes[5].kill()
        first_half, second_half = {0: "gone", 1: "alive", 2: "alive"}, {3: "alive", 4: "alive", 5: "gone"}
        fleet.until(lambda: fleet.all_see(first_half, (1, 2)) and fleet.all_see(second_half, (3, 4)), 15)
        fleet.until(lambda: fleet.all_see({3: "gone", 4: "gone"}, (1, 2)), 15)
        fleet.relay.clear_faults()
        fleet.until(lambda: fleet.all_see(first_half | second_half, (1, 2, 3, 4)), 30)
    finally:
        fleet.close()
