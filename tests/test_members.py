"""Several processes of the program that know of each other by gossip alone, with faults between them."""

import gevent
import pytest
from helpers import closing
from members import Fleet, signal

ALIVE = {n: "alive" for n in range(4)}


@pytest.fixture
def fleet(tmp_path):
    yield from closing(Fleet, tmp_path)


def test_a_cut_one_way_is_no_death_and_a_kill_is_found_and_a_restart_is_another(fleet):
    f = fleet()
    f.until(lambda: f.all_see(ALIVE), 15)
    f.cut.add((1, 2))  # what 1 says never reaches 2; all else does
    gevent.sleep(2.0)
    f.processes[3].kill()
    took = f.until(lambda: f.all_see({3: "gone"}, (0, 1, 2)), 10)
    assert took < 8
    f.until(lambda: 1 in f.told(2)["deaf"] and 2 in f.told(1)["unheard_by"], 15)
    assert f.all_see({0: "alive", 1: "alive", 2: "alive"}, (0, 1, 2)) and f.dropped > 5
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
        f.cut |= {(n, 2) for n in (0, 1, 3)}  # it hears nobody, and begins to suspect
        f.until(lambda: "suspect" in [f.standing(n, 2) for n in (0, 1, 3)], 5)
        f.signal(2, signal.SIGSTOP)
        gevent.sleep(4)
        f.signal(2, signal.SIGCONT)
        gevent.sleep(0.3)  # nothing that waited in its socket can clear them
        f.cut.clear()
        f.until(lambda: f.all_see(ALIVE), 15)
        told = f.told(2)["counts"]
        assert (told["gone"] > 0) == bool(plain), told
        assert told["paused"] == (not plain)
    finally:
        f.close()
