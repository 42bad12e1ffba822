"""Fleet budgets from the INI file to the tune-in: settings, decisions of the module, the usage counter, the
relay to the store, rule 7 of the checker, and the command line.
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
from test_parts import parse_site_config

from herongap.accord import Allocation, Allotment, BudgetKind, BudgetShare, BudgetTerms, UsageCounter
from herongap.accord.document import encode_document
from herongap.accord.shares import read_allocation
from herongap.cli import main
from herongap.daemon.budgets import budget_terms
from herongap.daemon.http_connection import request_once
from herongap.fleet.checker import check
from herongap.fleet.day import read_day, script
from herongap.fleet.figures import Outcome
from herongap.host import Host
from herongap.ini import ConfigFileError
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


def budget_ini(budget=BUDGET, etcd=ETCD):
    return INI.replace("list = streamers.json\n", "") + etcd + budget


# Settings.


def test_budget_sections_become_fleet_budgets_and_budget_terms(tmp_path):
    made = parse_site_config(tmp_path, budget_ini())
    assert made.deployment.wholes == (
        FleetBudget("seats", BudgetScope.VIEWINGS, "priority"),
        FleetBudget("further", BudgetScope.FURTHER),
    )
    all_terms = [budget_terms(name, whole) for name, whole in made.fleet_budgets.items()]
    assert all_terms == [
        BudgetTerms("seats", BudgetKind.HELD, 40, linger=8.0),
        BudgetTerms("further", BudgetKind.RATE, 6, window=2.0, keep_without_store=False),
    ]


@pytest.mark.parametrize(
    "change, message",
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
def test_budget_error_names_section_key_value_and_allowed_values(tmp_path, change, message):
    text = budget_ini()
    assert change[0] in text
    with pytest.raises(ConfigFileError, match=message):
        parse_site_config(tmp_path, text.replace(*change))


# Decisions of the module.


def controller_with_budgets(*budgets, **rooms):
    controller = make_controller(deployment_config(wholes=budgets))
    for name, room in rooms.items():
        controller.given(0.0, name, room)
    return controller


def decisions_of(decisions, *kinds):
    return [d for d in decisions if d[0] in kinds]


def test_viewing_waits_for_room_and_requests_more_only_once():
    controller = controller_with_budgets(FleetBudget("all", BudgetScope.VIEWINGS))
    controller.asked(1.0, viewing_request(1))
    found = pull_decisions(controller, 1.0)
    assert decisions_of(found, "tune_in", "block") == [] and decisions_of(found, "short") == [
        ("short", "all")
    ]
    controller.listed(1.05, "changes", ())
    assert decisions_of(pull_decisions(controller, 1.05), "short") == []
    controller.given(1.1, "all", 1)
    found = pull_decisions(controller, 1.1)
    assert [d[0] for d in decisions_of(found, "charge", "tune_in")] == ["charge", "tune_in"]
    assert decisions_of(found, "charge") == [("charge", 1, ("all",))]
    # The decision itself uses up the room, before any new room is reported.
    controller.asked(1.1, viewing_request(2))
    assert decisions_of(pull_decisions(controller, 1.1), "tune_in") == []
    # It waits no longer than any viewing without room and is told when to retry.
    assert ("block", 2, 0.5) in pull_decisions(controller, 1.6)


def test_budget_counts_only_what_its_scope_selects():
    controller = controller_with_budgets(
        FleetBudget("title", BudgetScope.VIEWINGS, "news", title=7),
        FleetBudget("member", BudgetScope.TUNE_INS, member="m"),
        FleetBudget("other", BudgetScope.VIEWINGS, "sports"),
    )
    controller.asked(1.0, viewing_request(1, title=1))
    assert decisions_of(pull_decisions(controller, 1.0), "charge") == [("charge", 1, ())]
    controller.asked(1.0, viewing_request(2, title=7))
    controller.asked(1.0, viewing_request(3)._replace(member="m"))
    found = pull_decisions(controller, 1.0)
    assert decisions_of(found, "tune_in") == [] and set(decisions_of(found, "short")) == {
        ("short", "title"),
        ("short", "member"),
    }


def test_further_budget_counts_all_tune_ins_but_the_first():
    controller = controller_with_budgets(FleetBudget("further", BudgetScope.FURTHER), further=0)
    controller.asked(1.0, viewing_request(1))
    (_, _, streamer, time_out) = decisions_of(pull_decisions(controller, 1.0), "tune_in")[0]
    controller.ended(1.2, 1, 0, streamer, EndReason.FULL, 0.2, False, LoadReport())
    found = pull_decisions(controller, 1.2)
    assert decisions_of(found, "tune_in") == [] and decisions_of(found, "short") == [("short", "further")]
    controller.given(1.25, "further", 1)
    assert ("charge", 1, ("further",)) in pull_decisions(controller, 1.25)


def test_cold_budget_counts_possibly_cold_tune_ins_only():
    controller = controller_with_budgets(FleetBudget("cold", BudgetScope.COLD), cold=0)
    for streamer in controller.streamers.values():
        streamer.started = 0.0
    controller.asked(5.0, viewing_request(1))
    found = pull_decisions(controller, 5.0)
    assert decisions_of(found, "tune_in") == []
    controller.asked(11.0, viewing_request(2))
    assert decisions_of(pull_decisions(controller, 11.0), "charge") == [("charge", 2, ())]


def test_negative_room_ends_the_cheapest_viewings_and_none_twice():
    controller = controller_with_budgets(FleetBudget("all", BudgetScope.VIEWINGS), all=3)
    for i in range(3):
        controller.asked(1.0, viewing_request(i))
        (_, _, streamer, _) = decisions_of(pull_decisions(controller, 1.0), "tune_in")[0]
        controller.started(1.1, i, 0, streamer, 0.1)
        pull_decisions(controller, 1.1)
    controller.given(5.0, "all", -2)
    moved = decisions_of(pull_decisions(controller, 5.0), "move")
    assert len(moved) == 2
    controller.given(5.1, "all", -2)
    assert decisions_of(pull_decisions(controller, 5.1), "move") == []
    ended = moved[0][1]
    viewing = controller.viewings[ended]
    controller.ended(5.2, ended, 0, viewing.streamer.entry.streamer, EndReason.PLAYED, 4.0, True, None)
    controller.given(5.2, "all", -1)
    assert decisions_of(pull_decisions(controller, 5.2), "move") == [], "the other one is ending already"


def test_host_keeps_charged_budgets_and_ends_no_viewing_that_is_leaving():
    port = Port()
    host = Host(0.0, 7, deployment_config(wholes=(FleetBudget("all", BudgetScope.VIEWINGS),)), port)
    host.listed(0.0, "whole", [streamer.entry for streamer in make_controller().streamers.values()])
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


# The usage counter.


def usage_counter(amount=4, linger=8.0):
    held = BudgetTerms("held", BudgetKind.HELD, 12, linger=linger)
    rate = BudgetTerms("rate", BudgetKind.RATE, 12, window=2.0)
    shares = {terms.name: BudgetShare(terms, "1", 5.0) for terms in (held, rate)}
    for share in shares.values():
        share.update_lease(5, 100.0, True)
        share.observe(
            0.0, 10, 10, encode_document(Allocation(12, True, 1, {"1": Allotment(amount, 1, 5, 1)}).to_body())
        )
    return UsageCounter(shares)


def test_reserved_room_is_used_once_and_counts_until_the_end():
    counter = usage_counter()
    assert dict(counter.room_changes(0.0)) == {"held": 4, "rate": 4} and not dict(counter.room_changes(0.0))
    counter.reserve(0.0, ("a", 0), ("held", "rate"))
    assert not dict(counter.room_changes(0.0)), "the module has subtracted it already"
    assert (
        counter.shares["held"].room(0.0) == 3
        and counter.try_start(0.1, ("a", 0))
        and counter.shares["held"].room(0.1) == 3
    )
    counter.finish(1.0, ("a", 0))
    counter.finish(1.0, ("a", 0))
    assert dict(counter.room_changes(1.0)) == {"held": 4}, (
        "the rate budget counts for its window plus a tenth"
    )
    assert not dict(counter.room_changes(2.2)) and dict(counter.room_changes(2.31)) == {"rate": 4}


def test_reservation_under_an_expired_allotment_is_not_sent():
    counter = usage_counter()
    counter.reserve(0.0, ("a", 0), ("held",))
    counter.reserve(0.0, ("b", 0), ("held",))
    assert counter.try_start(0.1, ("a", 0))
    assert not counter.try_start(100.0, ("b", 0)), "the process was suspended for longer than its lease"
    assert counter.shares["held"].usage(100.0) == 1 and not counter.pending


def test_item_with_unknown_end_counts_for_the_linger_time():
    counter = usage_counter()
    counter.reserve(0.0, ("a", 0), ("held",))
    counter.try_start(0.0, ("a", 0))
    counter.mark_uncertain(1.0, ("a", 0))
    dict(counter.room_changes(1.0))
    assert counter.shares["held"].room(9.7) == 3 and not dict(counter.room_changes(9.7))
    assert dict(counter.room_changes(9.81)) == {"held": 4}


def test_overdue_count_excludes_items_with_unknown_end():
    counter = usage_counter(linger=1.0)
    for name in "abc":
        counter.reserve(0.0, (name, 0), ("held",))
        counter.try_start(0.0, (name, 0))
    counter.mark_uncertain(100.0, ("c", 0))
    counter.shares["held"].update_lease(5, 100.0, False)
    assert dict(counter.room_changes(100.9))["held"] == 0
    assert dict(counter.room_changes(101.0))["held"] == -2


def test_adopted_item_counts():
    counter = usage_counter()
    dict(counter.room_changes(0.0))
    counter.adopt(0.0, ("a", 3), ("held",))
    assert not dict(counter.room_changes(0.0)) and counter.shares["held"].room(0.0) == 3


# The network between a controller and the store.


def test_relay_delays_resets_and_passes_requests():
    with cluster() as etcd:
        relay = Relay(etcd.members[0].address)

        def put_status(time_out=0.3):
            body = json.dumps({"key": "YQ==", "value": "MQ=="}).encode()
            return request_once(relay.address, "POST", "/v3/kv/put", [], body, timeout=time_out).status

        assert put_status() == 200
        before = etcd.history.revision
        relay.begin("cut")
        with pytest.raises(TimeoutError):
            put_status()
        assert etcd.history.revision == before
        relay.end("cut")
        gevent.sleep(0.6)  # the delayed requests pass now
        before = etcd.history.revision
        relay.begin("oneway")
        with pytest.raises(TimeoutError):
            put_status()
        assert etcd.history.revision == before + 1, "the request arrived although its reply did not"
        relay.end("oneway")
        relay.begin("reset")
        with pytest.raises(ConnectionResetError):
            put_status()
        assert etcd.history.revision == before + 2 and relay.resets == 1
        relay.end("reset")
        relay.begin("slow", 0.2)
        began = time.monotonic()
        assert put_status(2.0) == 200 and time.monotonic() - began >= 0.2
        relay.close()


def test_during_an_election_some_writes_are_applied_and_none_acknowledged():
    with cluster() as etcd:
        lease = etcd.history.grant(time.monotonic(), 1.0)
        before = etcd.history.revision
        etcd.elect(0.4)
        for i in range(40):
            body = json.dumps({"key": "YQ==", "value": "MQ=="}).encode()
            assert request_once(etcd.members[0].address, "POST", "/v3/kv/put", [], body).status == 503, i
        assert before < etcd.history.revision < before + 40
        gevent.sleep(0.6)
        assert etcd.history.leases[lease][0] > time.monotonic() + 0.5, (
            "the lease was extended by its full time"
        )
        etcd.members[0].partition(True)
        revision = etcd.history.revision
        assert request_once(etcd.members[0].address, "POST", "/v3/kv/put", [], body).status == 503
        etcd.history.put(b"b", b"2")
        assert etcd.members[0].revision() == revision
        etcd.members[0].partition(False)
        assert etcd.members[0].revision() == revision + 1


# Rule 7 of the checker, on hand-made event lines.

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


def event_lines(*sessions, claim=(0.0, 1e9), documents=()):
    """Event lines of one front's sessions, (begin, end) each, its claim, and documents at their times."""
    lines = [(claim[0], "etcd", "controllers", {"name": "0", "value": json.dumps({"name": FRONT})})]
    lines.append((claim[1], "etcd", "controllers", {"name": "0", "value": None}))
    for at, allocation in documents:
        lines.append(
            (at, "etcd", "budgets", {"name": "held", "value": encode_document(allocation.to_body()).decode()})
        )
    for i, (begin, end) in enumerate(sessions):
        fields = {"identity": f"i{i}"}
        lines.append((begin, f"v{i}", "wants", {"package": "standard"}))
        lines.append((begin, f"v{i}", "asked", fields))
        lines.append((begin, "s0", "post", fields | {"front": FRONT, "rung": 0, "title": "1", "cold": False}))
        started = fields | {"session": f"x{i}", "front": FRONT, "rung": 0, "title": "1"}
        lines.append((begin + 0.01, "s0", "started", started))
        lines.append((end, "s0", "ended", fields | {"session": f"x{i}"}))
    return sorted(lines, key=lambda line: line[0])


def rule_7_breaks(tmp_path, *sessions, **options):
    (tmp_path / "day.ini").write_text(DAY)
    day = read_day(tmp_path / "day.ini")
    found = check(Outcome(day, script(day, 1), 0.0, event_lines(*sessions, **options)))
    return [violation.what for violation in found if violation.rule == 7]


def test_checker_finds_usage_above_the_limit_and_sessions_without_a_claim(tmp_path):
    within_limit = [(1.0, 3.0), (2.0, 4.0), (3.5, 5.0)]
    assert rule_7_breaks(tmp_path, *within_limit) == []
    assert rule_7_breaks(tmp_path, *within_limit, (3.6, 3.9)) == ["held: 3 held of 2"]
    assert rule_7_breaks(tmp_path, (1.0, 1.1), (1.5, 1.6), (2.0, 2.1), (2.9, 2.95)) == [
        "rate: 4 in 2 s, of 3"
    ]
    (found, _) = rule_7_breaks(tmp_path, *within_limit, claim=(0.0, 3.0))
    assert found == f"held: {FRONT} sent to s0 though its claim was over"
    assert rule_7_breaks(tmp_path, *within_limit, claim=(1.5, 1e9))[0].startswith("held: herongap-0-1 sent")


def test_lowered_limit_applies_once_no_lease_predates_it(tmp_path):
    def breaks(at):
        documents = [(0.0, Allocation(2, True, 1, {})), (1.0, Allocation(1, True, 1, {}))]
        return rule_7_breaks(tmp_path, (at, at + 1), (at + 0.5, at + 0.9), documents=documents)

    assert breaks(6.0) == []  # the lease of a partitioned controller lasts 6 s
    assert breaks(8.0) == ["held: 2 held of 1"]


@pytest.mark.parametrize(
    "change, message",
    [
        (("list_by = etcd", "list_by = file"), r"\[budget held\]: needs \[day\] list_by = etcd"),
        (("linger = 1", "linger = 1\nmember = m"), r"\[budget held\] member = m: viewers of a day have none"),
    ],
)
def test_day_with_unverifiable_budgets_is_rejected(tmp_path, change, message):
    assert change[0] in DAY
    (tmp_path / "day.ini").write_text(DAY.replace(*change))
    with pytest.raises(ConfigFileError, match=message):
        read_day(tmp_path / "day.ini")


def test_checker_sums_the_allotments_of_every_revision(tmp_path):
    def allocation(*amounts, limit=2, open_=True):
        return Allocation(limit, open_, 1, {str(i): Allotment(a, a, 1, 1) for i, a in enumerate(amounts)})

    assert (
        rule_7_breaks(tmp_path, documents=[(1.0, allocation(1, 1)), (2.0, allocation(1, 1, limit=1))]) == []
    )
    assert rule_7_breaks(tmp_path, documents=[(1.0, allocation(2, 2, open_=False))]) == []
    assert rule_7_breaks(tmp_path, documents=[(1.0, allocation(1, 1)), (2.0, allocation(2, 1))]) == [
        "held: parts of 3, whole 2"
    ]


# Operator commands.


def test_operator_creates_shows_and_lowers_a_budget(tmp_path):
    run = CliRunner().invoke
    with cluster() as etcd:
        file = tmp_path / "f.ini"
        file.write_text(budget_ini().replace("127.0.0.1:2379", etcd.addresses[0]))
        key = f"{PREFIX}budgets/seats".encode()

        def stored():
            return read_allocation(etcd.history.current[key]["value"])

        def run_budget(*args):
            # The command blocks, so it runs on a thread while the etcd stand-in runs on this one.
            return gevent.get_hub().threadpool.apply(run, (main, ["budget", *args]))

        assert run_budget("set", str(file), "seats", "40").exit_code == 0 and not stored().open
        etcd.history.delete(key)
        assert run_budget("set", str(file), "seats", "40", "--unused").exit_code == 0
        assert stored() == Allocation(40, True, 1, {})
        allotments = {"0": Allotment(30, 3, 5, 1), "1": Allotment(10, 1, 6, 1)}
        etcd.history.put(
            key, encode_document(stored()._replace(allotments=allotments).to_body(), {"0": "5.1"})
        )
        assert run_budget("set", str(file), "seats", "20").exit_code == 0
        assert stored().free == -20 and stored().allotments == allotments
        assert json.loads(etcd.history.current[key]["value"])["marks"] == {"0": "5.1"}
        shown = run_budget("show", str(file))
        assert shown.exit_code == 0 and "seats: whole 20, free -20" in shown.output
        assert "controller 0    part     30" in shown.output and "claim is gone" in shown.output
        assert run_budget("set", str(file), "nobody", "1").exit_code == 1
        etcd.history.put(key, b"{}")
        assert run_budget("show", str(file), "--json").exit_code == 1
        assert run_budget("set", str(file), "seats", "1").exit_code == 1
        assert etcd.history.current[key]["value"] == b"{}"


def test_platform_and_bench_adapters_import_neither_accord_nor_gossip():
    text = "import sys, herongap.node.run, herongap.benchlink.adapter\n"
    text += "print([m for m in sys.modules if 'accord' in m or 'gossip' in m])"
    found = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert found.stdout == "[]\n"
