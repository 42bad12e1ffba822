"""Wholes from the file to the tune-in: the INI, what the module decides on them, the tally of what counts,
the relay, the checker's seventh rule, and the command line.
"""

import json
import subprocess
import sys
import time

import gevent
import pytest
from click.testing import CliRunner
from helpers import deployment_config, make_controller, pull_decisions, viewing_request
from loopback import INI
from test_etcd import PREFIX, cluster
from test_host import Port
from test_parts import parse_site

from herongap.accord import Division, Kind, Part, Shares, Tally, Terms
from herongap.accord.ledger import write
from herongap.accord.shares import divided
from herongap.cli import main
from herongap.daemon.budgets import budget_terms
from herongap.daemon.http_connection import request_once
from herongap.fleet.checker import check
from herongap.fleet.day import read_day, script
from herongap.fleet.figures import Outcome
from herongap.host import Host
from herongap.ini import Faults
from herongap.interface import BudgetScope, EndReason, FleetBudget, LoadReport
from herongap.rehearsal.relay import Relay

ETCD = "[etcd]\nendpoints = 127.0.0.1:2379\n"
BUDGET = """[budget seats]
kind = held
counts = viewings
package = priority
whole = 40
linger = 8
[budget further]
kind = rate
counts = further
whole = 6
window = 2
without_store = stop
"""


def divided_ini(budget=BUDGET, etcd=ETCD):
    return INI.replace("list = streamers.json\n", "") + etcd + budget


# The file.


def test_budgets_of_a_file_become_wholes_of_the_charter_and_terms_of_shares(tmp_path):
    made = parse_site(tmp_path, divided_ini())
    assert made.charter.wholes == (
        FleetBudget("seats", BudgetScope.VIEWINGS, "priority"),
        FleetBudget("further", BudgetScope.FURTHER),
    )
    all_ = [budget_terms(name, whole) for name, whole in made.wholes.items()]
    assert all_ == [
        Terms("seats", Kind.HELD, 40, linger=8.0),
        Terms("further", Kind.RATE, 6, window=2.0, keep=False),
    ]


@pytest.mark.parametrize(
    "change, says",
    [
        (("linger = 8", ""), r"\[budget seats\] linger = 0.0: above 0 where kind = held"),
        (("linger = 8", "linger = 8\nwindow = 1"), r"\[budget seats\] window = 1.0: .* else absent"),
        (("window = 2", ""), r"\[budget further\] window"),
        (("counts = further", "counts = viewings"), r"\[budget further\] counts = viewings: held counts"),
        (("package = priority", "package = gold"), r"\[budget seats\] package = gold: no \[package gold\]"),
        (("whole = 40", "whole = 40\nfloor = 41"), r"\[budget seats\] floor = 41: 1 of them are more"),
        (("whole = 40", "whole = -1"), r"\[budget seats\] whole = -1: .*greater than or equal to 0"),
        (("whole = 40", "part = 40"), r"\[budget seats\] part = 40: unknown key; allowed: .*whole"),
        (("budget seats", "budget a/b"), r"\[budget a/b\]: a name of letters"),
        (("[etcd]\nendpoints = 127.0.0.1:2379\n", ""), r"\[budget seats\]: needs \[etcd\]"),
    ],
)
def test_each_error_of_a_budget_names_section_key_value_and_what_is_allowed(tmp_path, change, says):
    text = divided_ini()
    assert change[0] in text
    with pytest.raises(Faults, match=says):
        parse_site(tmp_path, text.replace(*change))


# What the module decides.


def divided_among(*wholes, **rooms):
    c = make_controller(deployment_config(wholes=wholes))
    for name, room in rooms.items():
        c.given(0.0, name, room)
    return c


def verbs(decisions, *wanted):
    return [d for d in decisions if d[0] in wanted]


def test_nothing_is_begun_before_a_part_is_known_and_more_is_asked_for_once_a_viewing():
    c = divided_among(FleetBudget("all", BudgetScope.VIEWINGS))
    c.asked(1.0, viewing_request(1))
    found = pull_decisions(c, 1.0)
    assert verbs(found, "tune_in", "block") == [] and verbs(found, "short") == [("short", "all")]
    c.listed(1.05, "changes", ())
    assert verbs(pull_decisions(c, 1.05), "short") == []
    c.given(1.1, "all", 1)
    found = pull_decisions(c, 1.1)
    assert [d[0] for d in verbs(found, "charge", "tune_in")] == ["charge", "tune_in"]
    assert verbs(found, "charge") == [("charge", 1, ("all",))]
    # The room is used up by the decision, before anybody has told so.
    c.asked(1.1, viewing_request(2))
    assert verbs(pull_decisions(c, 1.1), "tune_in") == []
    # It waits no longer than any that finds no room, and is told when to come again.
    assert ("block", 2, 0.5) in pull_decisions(c, 1.6)


def test_a_whole_counts_what_it_names_and_nothing_else():
    c = divided_among(
        FleetBudget("title", BudgetScope.VIEWINGS, "news", title=7),
        FleetBudget("member", BudgetScope.TUNE_INS, member="m"),
        FleetBudget("other", BudgetScope.VIEWINGS, "sports"),
    )
    c.asked(1.0, viewing_request(1, title=1))
    assert verbs(pull_decisions(c, 1.0), "charge") == [("charge", 1, ())]
    c.asked(1.0, viewing_request(2, title=7))
    c.asked(1.0, viewing_request(3)._replace(member="m"))
    found = pull_decisions(c, 1.0)
    assert verbs(found, "tune_in") == [] and set(verbs(found, "short")) == {
        ("short", "title"),
        ("short", "member"),
    }


def test_a_further_tune_in_counts_and_the_first_does_not():
    c = divided_among(FleetBudget("further", BudgetScope.FURTHER), further=0)
    c.asked(1.0, viewing_request(1))
    (_, _, streamer, time_out) = verbs(pull_decisions(c, 1.0), "tune_in")[0]
    c.ended(1.2, 1, 0, streamer, EndReason.FULL, 0.2, False, LoadReport())
    found = pull_decisions(c, 1.2)
    assert verbs(found, "tune_in") == [] and verbs(found, "short") == [("short", "further")]
    c.given(1.25, "further", 1)
    assert ("charge", 1, ("further",)) in pull_decisions(c, 1.25)


def test_what_may_be_cold_counts_there_and_what_is_warm_does_not():
    c = divided_among(FleetBudget("cold", BudgetScope.COLD), cold=0)
    for st in c.streamers.values():
        st.started = 0.0
    c.asked(5.0, viewing_request(1))
    found = pull_decisions(c, 5.0)
    assert verbs(found, "tune_in") == []
    c.asked(11.0, viewing_request(2))
    assert verbs(pull_decisions(c, 11.0), "charge") == [("charge", 2, ())]


def test_what_must_end_is_the_cheapest_and_none_is_ended_twice():
    c = divided_among(FleetBudget("all", BudgetScope.VIEWINGS), all=3)
    for i in range(3):
        c.asked(1.0, viewing_request(i))
        (_, _, streamer, _) = verbs(pull_decisions(c, 1.0), "tune_in")[0]
        c.started(1.1, i, 0, streamer, 0.1)
        pull_decisions(c, 1.1)
    c.given(5.0, "all", -2)
    moved = verbs(pull_decisions(c, 5.0), "move")
    assert len(moved) == 2
    c.given(5.1, "all", -2)
    assert verbs(pull_decisions(c, 5.1), "move") == []
    gone = moved[0][1]
    vw = c.viewings[gone]
    c.ended(5.2, gone, 0, vw.streamer.entry.streamer, EndReason.PLAYED, 4.0, True, None)
    c.given(5.2, "all", -1)
    assert verbs(pull_decisions(c, 5.2), "move") == [], "the other one is on its way out already"


def test_a_host_keeps_what_a_tune_in_counts_for_and_moves_no_viewing_that_is_going():
    port = Port()
    host = Host(0.0, 7, deployment_config(wholes=(FleetBudget("all", BudgetScope.VIEWINGS),)), port)
    host.listed(0.0, "whole", [st.entry for st in make_controller().streamers.values()])
    host.given(0.0, "all", 1)
    host.asked(1.0, viewing_request(1))
    assert host.viewings[1].charged_budgets == ("all",)
    _, _, number, streamer, _, _ = port.last("tune_in")
    host.asked(1.0, viewing_request(2))
    assert ("request_budget", "all") in port.effects
    host.started(1.1, 1, number, streamer, None)
    host.left(2.0, 1)
    host.given(2.1, "all", -1)
    assert sum(e[0] == "tear_down" for e in port.effects) == 1


# What counts, thing by thing.


def tallied(amount=4, linger=8.0):
    held = Terms("held", Kind.HELD, 12, linger=linger)
    rate = Terms("rate", Kind.RATE, 12, window=2.0)
    shares = {t.name: Shares(t, "1", 5.0) for t in (held, rate)}
    for s in shares.values():
        s.leased(5, 100.0, True)
        s.shown(0.0, 10, 10, write(Division(12, True, 1, {"1": Part(amount, 1, 5, 1)}).body()))
    return Tally(shares)


def test_one_room_is_not_used_by_two_decisions_and_counts_until_it_is_over():
    t = tallied()
    assert dict(t.rooms(0.0)) == {"held": 4, "rate": 4} and not dict(t.rooms(0.0))
    t.reserve(0.0, ("a", 0), ("held", "rate"))
    assert not dict(t.rooms(0.0)), "the module has taken it off already"
    assert t.shares["held"].room(0.0) == 3 and t.leaves(0.1, ("a", 0)) and t.shares["held"].room(0.1) == 3
    t.over(1.0, ("a", 0))
    t.over(1.0, ("a", 0))
    assert dict(t.rooms(1.0)) == {"held": 4}, "the rate counts for its window and a tenth more"
    assert not dict(t.rooms(2.2)) and dict(t.rooms(2.31)) == {"rate": 4}


def test_what_was_decided_under_a_part_that_is_gone_does_not_leave():
    t = tallied()
    t.reserve(0.0, ("a", 0), ("held",))
    t.reserve(0.0, ("b", 0), ("held",))
    assert t.leaves(0.1, ("a", 0))
    assert not t.leaves(100.0, ("b", 0)), "stopped meanwhile, for longer than its lease"
    assert t.shares["held"].use(100.0) == 1 and not t.pending


def test_what_nobody_will_hear_of_counts_for_as_long_as_it_may_last():
    t = tallied()
    t.reserve(0.0, ("a", 0), ("held",))
    t.leaves(0.0, ("a", 0))
    t.lost(1.0, ("a", 0))
    dict(t.rooms(1.0))
    assert t.shares["held"].room(9.7) == 3 and not dict(t.rooms(9.7))
    assert dict(t.rooms(9.81)) == {"held": 4}


def test_what_must_end_is_told_without_what_nobody_can_end():
    t = tallied(linger=1.0)
    for name in "abc":
        t.reserve(0.0, (name, 0), ("held",))
        t.leaves(0.0, (name, 0))
    t.lost(100.0, ("c", 0))
    t.shares["held"].leased(5, 100.0, False)
    assert dict(t.rooms(100.9))["held"] == 0
    assert dict(t.rooms(101.0))["held"] == -2


def test_what_an_earlier_process_began_and_is_held_on_counts():
    t = tallied()
    dict(t.rooms(0.0))
    t.adopted(0.0, ("a", 3), ("held",))
    assert not dict(t.rooms(0.0)) and t.shares["held"].room(0.0) == 3


# The network between a controller and the store.


def test_a_relay_holds_back_resets_and_passes():
    with cluster() as etcd:
        relay = Relay(etcd.members[0].address)

        def ask_it(quiet=0.3):
            body = json.dumps({"key": "YQ==", "value": "MQ=="}).encode()
            return request_once(relay.address, "POST", "/v3/kv/put", [], body, time_out=quiet).status

        assert ask_it() == 200
        before = etcd.history.revision
        relay.begin("cut")
        with pytest.raises(TimeoutError):
            ask_it()
        assert etcd.history.revision == before
        relay.end("cut")
        gevent.sleep(0.6)  # what was held back passes now
        before = etcd.history.revision
        relay.begin("oneway")
        with pytest.raises(TimeoutError):
            ask_it()
        assert etcd.history.revision == before + 1, "it arrived"
        relay.end("oneway")
        relay.begin("reset")
        with pytest.raises(ConnectionResetError):
            ask_it()
        assert etcd.history.revision == before + 2 and relay.resets == 1
        relay.end("reset")
        relay.begin("slow", 0.2)
        began = time.monotonic()
        assert ask_it(2.0) == 200 and time.monotonic() - began >= 0.2
        relay.close()


def test_while_a_leader_is_chosen_some_writes_are_taken_and_none_acknowledged():
    with cluster() as etcd:
        lease = etcd.history.grant(time.monotonic(), 1.0)
        before = etcd.history.revision
        etcd.elect(0.4)
        for i in range(40):
            body = json.dumps({"key": "YQ==", "value": "MQ=="}).encode()
            assert request_once(etcd.members[0].address, "POST", "/v3/kv/put", [], body).status == 503, i
        assert before < etcd.history.revision < before + 40
        gevent.sleep(0.6)
        assert etcd.history.leases[lease][0] > time.monotonic() + 0.5, "its whole time again"
        etcd.members[0].part(True)
        revision = etcd.history.revision
        assert request_once(etcd.members[0].address, "POST", "/v3/kv/put", [], body).status == 503
        etcd.history.put(b"b", b"2")
        assert etcd.members[0].revision() == revision
        etcd.members[0].part(False)
        assert etcd.members[0].revision() == revision + 1


# The checker's seventh rule, on lines made by hand.

DAY = """[day]
list_by = etcd
[package standard]
share = 1
join_target = 1
patience = 2
[budget held]
kind = held
counts = viewings
whole = 2
linger = 1
[budget rate]
kind = rate
counts = tune_ins
whole = 3
window = 2
"""
FRONT = "herongap-0-1"


def lines_of(*things, claim=(0.0, 1e9), documents=()):
    """Sessions of one front, (begin, end) each, a claim that stands for a time, and documents at their
    times.
    """
    out = [(claim[0], "etcd", "controllers", {"name": "0", "value": json.dumps({"name": FRONT})})]
    out.append((claim[1], "etcd", "controllers", {"name": "0", "value": None}))
    for at, d in documents:
        out.append((at, "etcd", "budgets", {"name": "held", "value": write(d.body()).decode()}))
    for i, (begin, end) in enumerate(things):
        of = {"identity": f"i{i}"}
        out.append((begin, f"v{i}", "wants", {"package": "standard"}))
        out.append((begin, f"v{i}", "asked", of))
        out.append((begin, "s0", "post", of | {"front": FRONT, "rung": 0, "title": "1", "cold": False}))
        started = of | {"session": f"x{i}", "front": FRONT, "rung": 0, "title": "1"}
        out.append((begin + 0.01, "s0", "started", started))
        out.append((end, "s0", "ended", of | {"session": f"x{i}"}))
    return sorted(out, key=lambda line: line[0])


def sevenths(tmp_path, *things, **more):
    (tmp_path / "day.ini").write_text(DAY)
    day = read_day(tmp_path / "day.ini")
    found = check(Outcome(day, script(day, 1), 0.0, lines_of(*things, **more)))
    return [b.what for b in found if b.rule == 7]


def test_the_checker_finds_what_is_above_a_whole_and_what_comes_from_who_has_no_claim(tmp_path):
    kept = [(1.0, 3.0), (2.0, 4.0), (3.5, 5.0)]
    assert sevenths(tmp_path, *kept) == []
    assert sevenths(tmp_path, *kept, (3.6, 3.9)) == ["held: 3 held of 2"]
    assert sevenths(tmp_path, (1.0, 1.1), (1.5, 1.6), (2.0, 2.1), (2.9, 2.95)) == ["rate: 4 in 2 s, of 3"]
    (found, _) = sevenths(tmp_path, *kept, claim=(0.0, 3.0))
    assert found == f"held: {FRONT} sent to s0 though its claim was over"
    assert sevenths(tmp_path, *kept, claim=(1.5, 1e9))[0].startswith("held: herongap-0-1 sent")


def test_a_lowered_whole_binds_when_nobody_can_have_missed_it(tmp_path):
    def day(at):
        documents = [(0.0, Division(2, True, 1, {})), (1.0, Division(1, True, 1, {}))]
        return sevenths(tmp_path, (at, at + 1), (at + 0.5, at + 0.9), documents=documents)

    assert day(6.0) == []  # the lease of who is cut off lasts 6 s
    assert day(8.0) == ["held: 2 held of 1"]


@pytest.mark.parametrize(
    "change, says",
    [
        (("list_by = etcd", "list_by = file"), r"\[budget held\]: needs \[day\] list_by = etcd"),
        (("linger = 1", "linger = 1\nmember = m"), r"\[budget held\] member = m: viewers of a day have none"),
    ],
)
def test_a_day_whose_wholes_could_not_be_judged_is_refused(tmp_path, change, says):
    assert change[0] in DAY
    (tmp_path / "day.ini").write_text(DAY.replace(*change))
    with pytest.raises(Faults, match=says):
        read_day(tmp_path / "day.ini")


def test_the_checker_reads_the_parts_of_every_revision(tmp_path):
    def parts(*amounts, whole=2, open_=True):
        return Division(whole, open_, 1, {str(i): Part(a, a, 1, 1) for i, a in enumerate(amounts)})

    assert sevenths(tmp_path, documents=[(1.0, parts(1, 1)), (2.0, parts(1, 1, whole=1))]) == []
    assert sevenths(tmp_path, documents=[(1.0, parts(2, 2, open_=False))]) == []
    assert sevenths(tmp_path, documents=[(1.0, parts(1, 1)), (2.0, parts(2, 1))]) == [
        "held: parts of 3, whole 2"
    ]


# For operators.


def test_an_operator_makes_shows_raises_and_lowers_a_whole(tmp_path):
    run = CliRunner().invoke
    with cluster() as etcd:
        file = tmp_path / "f.ini"
        file.write_text(divided_ini().replace("127.0.0.1:2379", etcd.addresses[0]))
        key = f"{PREFIX}budgets/seats".encode()

        def there():
            return divided(etcd.history.now_at[key]["value"])

        def gone(*words):
            # The command blocks: it runs on a thread, the stand-in here.
            return gevent.get_hub().threadpool.apply(run, (main, ["budget", *words]))

        assert gone("set", str(file), "seats", "40").exit_code == 0 and not there().open
        etcd.history.delete(key)
        assert gone("set", str(file), "seats", "40", "--unused").exit_code == 0
        assert there() == Division(40, True, 1, {})
        parts = {"0": Part(30, 3, 5, 1), "1": Part(10, 1, 6, 1)}
        etcd.history.put(key, write(there()._replace(parts=parts).body(), {"0": "5.1"}))
        assert gone("set", str(file), "seats", "20").exit_code == 0
        assert there().free == -20 and there().parts == parts
        assert json.loads(etcd.history.now_at[key]["value"])["marks"] == {"0": "5.1"}
        shown = gone("show", str(file))
        assert shown.exit_code == 0 and "seats: whole 20, free -20" in shown.output
        assert "controller 0    part     30" in shown.output and "claim is gone" in shown.output
        assert gone("set", str(file), "nobody", "1").exit_code == 1
        etcd.history.put(key, b"{}")
        assert gone("show", str(file), "--json").exit_code == 1
        assert gone("set", str(file), "seats", "1").exit_code == 1
        assert etcd.history.now_at[key]["value"] == b"{}"


def test_the_platform_and_the_bench_load_nothing_of_it():
    text = "import sys, herongap.node.run, herongap.benchlink.adapter\n"
    text += "print([m for m in sys.modules if 'accord' in m or 'gossip' in m])"
    found = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert found.stdout == "[]\n"
