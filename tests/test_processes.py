"""Several processes with faults between them: a fleet budget is kept, and a planted mistake is detected."""

import sys
from pathlib import Path

import pytest

from herongap.fleet.budget_rules import count_events
from herongap.fleet.checker import check
from herongap.fleet.day import read_day
from herongap.fleet.observations import ObservedRun
from herongap.rehearsal import play
from herongap.rehearsal.stage import Actors

DAY = """
[day]
list_by = etcd
seconds = 12
rate = 40
controllers = 4
streamers = 4
zones = 1
racks = 1
titles = 4
holders = 4
length = 1
longest = 2
ttl = 2
time_out = 0.5
[clients]
repeats = 0
doubles = 0
leaves = 0
[streamer]
consent = 1.5
join_wait = 1.5
[package standard]
share = 1
default = yes
join_target = 1
patience = 2
[budget held]
kind = held
counts = viewings
whole = 30
linger = 4
[budget begun]
kind = rate
counts = tune_ins
whole = 60
window = 2
[trouble stopped for longer than its lease]
kind = pause
at = 2
lasts = 3.5
on = 1
[trouble and then without a way to the store]
kind = store_cut
at = 4.5
lasts = 3.5
on = 1
[trouble lowered, and raised again]
kind = whole
at = 7
lasts = 3.5
size = 0.4
[trouble killed]
kind = kill
at = 5
lasts = 1
on = 2
[trouble a new leader]
kind = leader_change
at = 6
lasts = 0.6
[trouble no answers]
kind = store_oneway
at = 7
lasts = 2
on = 0
[trouble resets]
kind = store_reset
at = 9
lasts = 1
on = 3
"""
MISTAKEN = """
import sys
sys.path[:0] = [{tests!r}]
from test_accord import {name}
from herongap.daemon import budgets
budgets.BudgetShare = {name}
from herongap.rehearsal.controller import main
main(*sys.argv[1:])
"""


def play_day(folder, mistake=None):
    """Plays the day; `mistake` names a class of test_accord that replaces the division of budgets."""
    (folder / "day.ini").write_text(DAY)

    class Processes(Actors):
        if mistake:
            text = MISTAKEN.format(tests=str(Path(__file__).parent), name=mistake)
            controller = (sys.executable, "-c", text)

    return play(read_day(folder / "day.ini"), folder, 1, actors=Processes)


@pytest.mark.parametrize("mistake", [None, "IgnoresLeaseAfterPause"])
def test_a_fleet_budget_is_kept_while_processes_and_connections_to_the_store_fail(tmp_path, mistake):
    outcome = play_day(tmp_path, mistake)
    found = check(outcome)
    counts = count_events(ObservedRun(outcome))
    assert counts["pauses"] == 1 and counts["kills"] == 1 and counts["commits"] > 20, counts
    assert counts["counted"]["held"] > 100 and counts["counted"]["begun"] > 100, counts
    if mistake:
        assert any(b.rule == 7 and "though its claim was over" in b.what for b in found), found[:3]
    else:
        assert not found, [b[:3] for b in found]
