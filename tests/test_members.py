"""Several processes of the program that know of each other by gossip alone, with faults between them."""

import gevent
import pytest
from helpers import closing
from members import Fleet, signal

from herongap.rehearsal.datagrams import Way

ALIVE = {n: "alive" for n in range(4)}


@pytest.fixture
def fleet(tmp_path):
    yield from closing(Fleet, tmp_path)


def test_a_cut_one_way_is_no_death_and_a_kill_is_found_and_a_restart_is_another(fleet):
    f = fleet()
    f.until(lambda: f.all_see(ALIVE), 15)
    f.relay.cut([(1, 2)])  # what 1 says never reaches 2; all else does
    gevent.sleep(1.0)
    f.processes[3].kill()
    took = f.until(lambda: f.all_see({3: "gone"}, (0, 1, 2)), 10)
    assert took < 8
    f.until(lambda: 1 in f.told(2)["deaf"] and 2 in f.told(1)["unheard_by"], 15)
    assert f.all_see({0: "alive", 1: "alive", 2: "alive"}, (0, 1, 2)) and f.relay.seen["lost"] > 5
    assert all(f.told(n)["counts"]["gone"] <= 1 for n in range(3)), "nobody but the dead was judged"
    before = f.told(0)["members"]["3"]["life"]
    f.processes[3] = f.start(3)
    f.until(lambda: f.all_see(ALIVE), 15)
    assert f.told(0)["members"]["3"]["life"] > before


@pytest.mark.parametrize("plain", [(), (2,)], ids=["as-shipped", "judges-before-it-asks"])
def test_who_was_stopped_judges_nobody_before_it_has_asked(tmp_path, plain):
    f = Fleet(tmp_path, plain=plain)
    try:
        f.until(lambda: f.all_see(ALIVE), 15)
        f.relay.cut((n, 2) for n in (0, 1, 3))  # it hears nobody, and begins to suspect
        f.until(lambda: "suspect" in [f.standing(n, 2) for n in (0, 1, 3)], 5)
        f.signal(2, signal.SIGSTOP)
        gevent.sleep(2)  # beyond its suspicion
        f.signal(2, signal.SIGCONT)
        gevent.sleep(0.3)  # nothing that waited in its socket can clear them
        f.relay.sound()
        f.until(lambda: f.all_see(ALIVE), 15)
        told = f.told(2)["counts"]
        assert (told["gone"] > 0) == bool(plain), told
        assert told["paused"] == (not plain)
    finally:
        f.close()


def test_all_are_restarted_in_a_row_while_datagrams_get_lost_doubled_and_late(fleet):
    f = fleet()
    f.until(lambda: f.all_see(ALIVE), 15)
    f.relay.set(Way(lost=0.2, doubled=0.2, late=(0.0, 0.08)), f.relay.pairs())
    lives = {}
    for number in range(4):
        lives[number] = f.told(number)["members"][str(number)]["life"]
        f.processes[number].kill()
        f.processes[number].wait()
        f.processes[number] = f.start(number)  # within a round of probes, under the same number
        gevent.sleep(0.2)

    def over_everywhere():
        found = [f.told(at).get("members", {}) for at in range(4)]
        return all(m.get(str(of), {}).get("life", 0) > life for m in found for of, life in lives.items())

    f.until(over_everywhere, 20)  # the old lives
    f.until(lambda: f.all_see(ALIVE), 20)
    f.until(lambda: min(f.relay.seen[what] for what in ("lost", "doubled", "late")) > 10, 30)
    f.until(lambda: f.all_see(ALIVE), 20)


def test_half_cut_from_half_while_one_is_killed_on_each_side(tmp_path):
    f = Fleet(tmp_path, size=6)
    try:
        f.until(lambda: f.all_see({n: "alive" for n in range(6)}), 20)
        f.relay.cut(f.relay.apart((0, 1, 2)))
        f.processes[0].kill()
        f.processes[5].kill()
        own, far = {0: "gone", 1: "alive", 2: "alive"}, {3: "alive", 4: "alive", 5: "gone"}
        f.until(lambda: f.all_see(own, (1, 2)) and f.all_see(far, (3, 4)), 15)
        f.until(lambda: f.all_see({3: "gone", 4: "gone"}, (1, 2)), 15)
        f.relay.sound()
        f.until(lambda: f.all_see(own | far, (1, 2, 3, 4)), 30)
    finally:
        f.close()
