"""The simulation model: formulas, reproducibility, the rules, and the statistics of experiments."""

import json
import math
import os
import signal
import threading
import time
from pathlib import Path
from types import SimpleNamespace
from typing import NamedTuple

import numpy as np
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from scipy import stats
from test_rehearsal import DAY, TROUBLES

from herongap.cli import main
from herongap.fleet import bound as bounds
from herongap.fleet import compare, runner
from herongap.fleet.bound import bound
from herongap.fleet.checker import check
from herongap.fleet.clock import Clock, random_stream
from herongap.fleet.day import controller_ini, read_day, script
from herongap.fleet.experiment import read_experiment, run_job
from herongap.fleet.figures import Outcome, report
from herongap.fleet.fit import best_distribution, fit_record, fit_zipf
from herongap.fleet.links import max_min_rates, proportional_share
from herongap.fleet.machine import Machine, MachineProfile, Rack, Session
from herongap.fleet.model import Model, SimulatedViewer
from herongap.fleet.result_store import ResultStore
from herongap.host import Recorder
from herongap.ini import ConfigFileError, parse_site_config

PROFILE = MachineProfile((100.0, 300.0), (0.4, 1.0), 1000.0, 1500.0, 5, warm_up=10.0)
PLAN = """
[experiment]
day = day.ini
least = {least}
most = {most}
batch = 2
half_width = {half}
bound_days = 0
[arm a]
[arm b]
{b}
"""


@given(st.lists(st.floats(0, 1e6), max_size=12), st.floats(1.0, 1e6))
def test_shares_add_up_to_the_capacity_and_are_fair(asked, size):
    rates = max_min_rates(asked, size)
    assert sum(rates) <= size * (1 + 1e-9) and all(g <= a for g, a in zip(rates, asked, strict=True))
    if sum(asked) >= size:
        assert sum(rates) == pytest.approx(size)
        # Max-min: all senders that get less than their demand get the same, highest rate.
        held = [g for g, a in zip(rates, asked, strict=True) if g < a - 1e-9 * size]
        assert all(g == pytest.approx(max(rates)) for g in held)
    else:
        assert rates == asked
    share = proportional_share(sum(asked), size)
    assert share * sum(asked) <= size * (1 + 1e-9) and (
        share == 1.0 or share * sum(asked) == pytest.approx(size)
    )


@pytest.mark.parametrize("sharing", ["equal", "max_min"])
def test_machine_divides_its_link_and_accounts_for_the_value_of_sessions(sharing):
    rack = Rack(1500.0, sharing)
    a, b = (Machine(PROFILE._replace(sharing=sharing), name, "", rack) for name in "ab")
    session = Session("1", "x", "t", 1, "f", 0.0)
    a.start_session(0.0, session)
    assert a.share == 1.0
    for i in range(4):
        a.start_session(1.0, Session(f"a{i}", "x", "t", 1, "f", 1.0))
    assert a.share == pytest.approx(1000 / 1500) and a.full()
    for i in range(3):
        b.start_session(2.0, Session(f"b{i}", "x", "t", 1, "f", 2.0))
    # A demand of 1500 and 900 on an uplink of 1500: in proportion to the demand, or 750 each.
    assert b.share == pytest.approx(1500 / 2400 if sharing == "equal" else 750 / 900)
    b.apply_command(3.0, {"do": "silent"})
    seconds, earned = a.end_session(4.0, session)
    assert seconds == 4.0 and earned == pytest.approx(
        1.0 + 0.0
    )  # full value for one second, then the cost of stalls exceeds it
    low = Session("low", "x", "t", 0, "f", 4.0)
    c = Machine(PROFILE, "c", "", Rack(1e9))
    c.start_session(4.0, low)
    c.change_rung(6.0, low, 1)
    assert c.end_session(9.0, low)[1] == pytest.approx(2 * 0.4 + 3 * 1.0)


def test_cold_machine_is_overloaded_above_the_configured_set_up_rate_only():
    for pace, overloads in ((0.45, False), (0.2, True)):
        m = Machine(PROFILE, "m", "", Rack(1e9), started=0.0)
        # 2.5 times 5 places in 10 s at a warmth of 0.4: half a set-up per second, but one is always allowed.
        exceeded = (
            [m.register_set_up(n * pace) for n in range(1, 8)]
            if overloads
            else [m.register_set_up(n * 1.05) for n in range(1, 8)]
        )
        assert any(most is not None for most in exceeded) is overloads and m.overloaded is overloads


def test_clock_runs_calls_in_order_and_random_streams_depend_on_their_name():
    clock, seen = Clock(), []
    for at, what in ((2.0, "b"), (1.0, "a"), (2.0, "c")):
        clock.at(at, seen.append, what)
    clock.at(1.5, lambda: clock.after(0.5, seen.append, "d"))
    assert clock.run(5.0) == 5 and seen == ["a", "b", "c", "d"] and clock.now == 5.0
    assert random_stream(1, "x").random() == random_stream(1, "x").random() != random_stream(1, "y").random()


@pytest.fixture
def bad_day(tmp_path):
    (tmp_path / "day.ini").write_text(DAY + TROUBLES)
    return read_day(tmp_path / "day.ini")


def test_day_is_reproducible_for_a_seed_and_keeps_the_rules(bad_day):
    for seed in range(3):
        first, again = Model(bad_day, seed), Model(bad_day, seed)
        assert first.run() == again.run()
        breaks = check(Outcome(bad_day, first.script, 0.0, first.lines))
        assert not breaks, breaks[:2]
    result = report(Outcome(bad_day, first.script, 0.0, first.lines), [])
    assert result.service + sum(result.lost.values()) == pytest.approx(1.0, abs=1e-4)
    assert 0.2 < result.service < bound(bad_day, first.script).service <= 1.0
    assert Model(bad_day, 0, luck=1).run() != Model(bad_day, 0).run()


@pytest.mark.parametrize(
    "trouble",
    [
        "crowd",
        "sag",
        "ageing",
        "cut",
        "silent",
        "hang",
        "slow",
        "late",
        "list_late",
        "empty_list",
        "controllers",
        "notes_lost",
    ],
)
def test_every_kind_of_trouble_keeps_the_rules_in_the_model(tmp_path, trouble):
    text = f"[trouble x]\nkind = {trouble}\nat = 0.5\nlasts = 3\npart = 0.5\nsize = 2\nextra = 1\n"
    (tmp_path / "day.ini").write_text(DAY + text)
    day = read_day(tmp_path / "day.ini")
    model = Model(day, 2)
    model.run()
    assert not check(Outcome(day, model.script, 0.0, model.lines))


def test_viewers_give_up_with_the_configured_probability(bad_day, monkeypatch):
    day = bad_day._replace(
        troubles={}, clients=bad_day.clients.model_copy(update={"repeats": 0.0, "leaves": 0.0})
    )
    checks, original = [], SimulatedViewer._gives_up
    monkeypatch.setattr(
        SimulatedViewer, "_gives_up", lambda self, m: checks.append(original(self, m)) or checks[-1]
    )
    for rate, part in ((0.0, 0.0), (0.3, 0.3)):
        model = Model(day, 1, profile={"leave_rate": rate, "leave_under": 2.0, "link": 1e6, "rack": 1e6})
        checks.clear()
        model.run()
        gave_up = sum(what == "gave-up" for _, _, what, _ in model.lines)
        # With a share of 1 and a limit of 2, a viewer leaves with a probability of 0.3 in each second.
        assert gave_up == sum(checks) and len(checks) > 50
        assert stats.binomtest(gave_up, len(checks), part).pvalue > 1e-4


def test_model_and_rehearsal_use_the_same_controller_settings(bad_day, tmp_path):
    site = parse_site_config(controller_ini(bad_day, 1, 7, tmp_path), tmp_path / "x.ini")
    model = Model(bad_day, 7)
    model.run()
    assert model.controllers[1].site.deployment == site.deployment and site.deployment.me == 1


def experiment(tmp_path, least=2, most=4, half=0.5, b="policy = random", text=None):
    day = (
        DAY.replace("seconds = 5", "seconds = 3")
        + "[trouble crowd]\nkind = crowd\nat = 1\nlasts = 1\nextra = 1\n"
    )
    (tmp_path / "day.ini").write_text(text or day)
    (tmp_path / "x.ini").write_text(PLAN.format(least=least, most=most, half=half, b=b))
    return read_experiment(tmp_path / "x.ini")


def test_results_do_not_depend_on_the_number_of_workers_or_a_killed_worker(tmp_path):
    plan_and_arms = experiment(tmp_path, least=4, half=0.5)
    first_store, second_store = ResultStore(tmp_path / "1"), ResultStore(tmp_path / "2")
    expected = runner.run(plan_and_arms, first_store, 1)
    killed = []

    def kill_one() -> None:
        me = os.getpid()
        for _ in range(400):
            for path in Path("/proc").glob("[0-9]*/stat"):
                try:
                    words = path.read_text().rsplit(")", 1)[1].split()
                    command = (path.parent / "cmdline").read_bytes()
                except OSError:
                    continue
                if int(words[1]) == me and b"spawn_main" in command:
                    os.kill(int(path.parent.name), signal.SIGKILL)
                    killed.append(path.parent.name)
                    return
            time.sleep(0.01)

    killer = threading.Thread(target=kill_one)
    killer.start()
    parallel = runner.run(plan_and_arms, second_store, 3)
    killer.join()
    assert killed and expected == parallel
    jobs_run = []
    assert (
        runner.run(plan_and_arms, first_store, 1, lambda done, of: jobs_run.append(done)) == expected
        and not jobs_run
    ), "all results were stored"


def test_difference_between_arms_is_found_only_where_there_is_one(tmp_path):
    def verdict(b):
        plan_and_arms = experiment(tmp_path, least=6, most=6, b=b)
        results = {
            arm.name: [run_job(arm, seed)["service"] for seed in range(1, 7)] for arm in plan_and_arms.arms
        }
        return compare.paired_difference(results["b"], results["a"], 0.95, 2)

    timid, same = verdict("set = MARK=0.1"), verdict("luck = 3")
    assert timid.differs and timid.mean < 0 and not same.differs and same.half > 0


def test_intervals_cover_with_the_stated_confidence():
    draw = np.random.default_rng(5)
    hits = sum(
        not compare.paired_difference(list(draw.normal(0, 1, 12)), [0.0] * 12, 0.95, 2).differs
        for _ in range(2000)
    )
    assert 0.935 < hits / 2000 < 0.965
    hits = 0
    for _ in range(2000):
        next_run, *others = draw.normal(3, 2, 9)
        result = compare.prediction_interval(others, 0.95)
        hits += result.low <= next_run <= result.high
    assert 0.935 < hits / 2000 < 0.965, "one more run falls into the interval with the stated confidence"
    wide = compare.paired_difference([1.0, 2.0, 4.0], [0.0] * 3, 0.95, 4)
    assert wide.half > compare.paired_difference([1.0, 2.0, 4.0], [0.0] * 3, 0.95, 2).half
    plan = type("P", (), {"least": 4, "most": 20, "batch": 3, "confidence": 0.95, "half_width": 0.1})
    assert compare.days_needed({"a": [], "b": []}, plan) == 4
    assert compare.days_needed({"a": [0.0] * 4, "b": [0.0, 1.0, 0.0, 1.0]}, plan) == 7
    assert compare.days_needed({"a": [0.0] * 4, "b": [0.5] * 4}, plan) == 0
    assert compare.days_needed({"a": [0.0] * 20, "b": [0.0, 1.0] * 10}, plan) == 0


@pytest.mark.parametrize(
    "b, says",
    [("policy = magic", "policy = magic: allowed"), ("set = NOTHING=1", "no such value"),
     ("module = nowhere.py", "nowhere"), ("day = nowhere.ini", "nowhere"), ("colour = red", "colour")],
)  # fmt: skip
def test_invalid_experiment_is_rejected_with_its_reason(tmp_path, b, says):
    with pytest.raises(ConfigFileError, match=says):
        experiment(tmp_path, b=b)


def test_store_separates_results_of_different_arms_and_rejects_other_versions(tmp_path):
    plan_and_arms = experiment(tmp_path)
    a, b = plan_and_arms.arms
    assert a.digest() != b.digest() and a.digest() == a._replace(name="z").digest()
    store = ResultStore(tmp_path / "s")
    store.put(a.digest(), 1, {"service": 0.5})
    store.close()
    store = ResultStore(tmp_path / "s")
    assert store.get(a.digest(), 1) == {"service": 0.5} and store.get(b.digest(), 1) is None
    with store.env.begin(write=True) as txn:
        txn.put(b"version", b"another")
    store.close()
    with pytest.raises(ValueError, match="no store"):
        ResultStore(tmp_path / "s")


def test_fit_recovers_the_parameters_of_a_record(tmp_path, bad_day):
    lines = []

    def recorded(number):
        start(number)
        if number == 0:
            front = model.controllers[0]
            front.host.recorder = Recorder(lines.append)
            front.host.recorder.start(0.0, 1, front.site.deployment)

    size = bad_day.settings.model_copy(update={"seconds": 60.0, "controllers": 1})
    alone = bad_day.clients.model_copy(update={"returns": 0.0})
    model = Model(bad_day._replace(troubles={}, settings=size, clients=alone), 4)
    start, model._start_controller = model._start_controller, recorded
    model.run()
    found = fit_record(lines[:-1] + [lines[-1][:10]])  # the last line is truncated
    assert found.rate == pytest.approx(25, rel=0.15) and found.titles == 6
    assert found.popularity == pytest.approx(0.8, abs=4 * found.popularity_error + 0.15)
    set_up = next(q for q in found.quantities if q.name == "set-up")
    assert 0.01 < set_up.mean < 0.05 and set_up.distance < 0.2
    draw = np.random.default_rng(1)
    assert best_distribution("x", list(draw.exponential(2.0, 4000))).mean == pytest.approx(2.0, rel=0.1)
    assert best_distribution("x", list(draw.lognormal(0, 1, 4000))).family == "lognormal"
    exponent, error = fit_zipf(
        sorted(np.bincount(draw.choice(30, 20000, p=(w := np.arange(1, 31) ** -1.1) / w.sum())))[::-1]
    )
    assert abs(exponent - 1.1) < 5 * error + 0.03
    with pytest.raises(ValueError, match="too few"):
        fit_record(lines[:2])


def test_lost_reports_reach_no_controller(tmp_path):
    text = DAY + "[trouble x]\nkind = notes_lost\nat = 0\nlasts = 3\npart = 1\nsize = %s\n"
    delivered = {}
    for share in ("1", "0"):
        (tmp_path / "day.ini").write_text(text % share)
        model = Model(read_day(tmp_path / "day.ini"), 2)
        delivered[share] = []
        for streamer in model.streamers.values():
            streamer._report_delivered = (
                lambda original=streamer._report_delivered, outcomes=delivered[share]: (
                    outcomes.append(original()) or outcomes[-1]
                )
            )
        model.run()
    assert delivered["0"] and all(delivered["0"])
    first = delivered["1"].index(True)
    assert first > 0 and all(delivered["1"][first:]), (
        "no report is delivered until the trouble ends, every one afterwards"
    )


def test_estimate_is_reproducible_and_includes_its_interval(tmp_path):
    (tmp_path / "day.ini").write_text(DAY)
    arguments = ["experiment", "estimate", str(tmp_path / "day.ini"), "--plays", "3", "--json", "--workers"]
    first, second = (CliRunner().invoke(main, [*arguments, workers]) for workers in ("1", "2"))
    assert first.exit_code == 0 and first.output == second.output, first.output
    result = json.loads(first.output)
    assert result["low"] < result["mean"] < result["high"]
    refused = CliRunner().invoke(main, [*arguments, "1", "--policy", "magic"])
    assert refused.exit_code == 2 and "least-used" in refused.output


def test_the_command_runs_resumes_and_reports(tmp_path):
    experiment(tmp_path, least=2, most=2)
    run = CliRunner()
    first = run.invoke(
        main,
        ["experiment", "run", str(tmp_path / "x.ini"), "--workers", "1", "--report", str(tmp_path / "out")],
    )
    assert first.exit_code == 0 and "against a" in first.output, first.output
    page = (tmp_path / "out" / "report.html").read_text()
    assert (
        "no difference" not in page
        and page.count("<img") == 3
        and (tmp_path / "out" / "over-time.png").exists()
    )
    again = run.invoke(main, ["experiment", "resume", str(tmp_path / "x.ini"), "--workers", "1"])
    assert again.exit_code == 0 and first.output.splitlines()[-3:-1] == again.output.splitlines()[-2:]
    result = run.invoke(main, ["experiment", "report", str(tmp_path / "x.ini"), str(tmp_path / "out2")])
    assert result.exit_code == 0 and (tmp_path / "out2" / "report.html").exists()


# Guards against: a bound of all that is requested is a last bit above 1, by the order of sums or the machine.
@pytest.mark.parametrize("above", [math.nextafter(1.0, 2.0), 1.0 + 1e-12])
def test_bound_is_1_at_most_whatever_the_solver_rounds(bad_day, monkeypatch, above):
    day_script = script(bad_day, 0)
    edges = np.arange(0.0, bad_day.settings.seconds + 60.0, bounds.WINDOW_SECONDS)
    offered = bounds._demand(bad_day, day_script, edges)[2]

    class Solved(NamedTuple):
        """A solution as scipy returns it, with a value just above the offered one."""

        success: bool
        fun: float
        ineqlin: SimpleNamespace

    def solve(gains, A_ub, b_ub, **more):  # noqa: N803
        prices = np.full(len(b_ub), -1.0)
        prices[::2] = 1e-18  # as a price just below 0
        return Solved(True, -offered * above, SimpleNamespace(marginals=prices))

    monkeypatch.setattr(bounds, "linprog", solve)
    found = bound(bad_day, day_script)
    assert found.service == 1.0
    assert all(0.0 <= share <= 1.0 for share in found.binds.values())


def test_bound_is_above_the_service_of_a_controller_and_names_the_limiting_constraint(bad_day):
    day = bad_day._replace(troubles={})
    roomy = day._replace(
        streamer_settings=day.streamer_settings.model_copy(update={"link": 1e6, "rack": 1e6, "places": 500})
    )
    assert bound(roomy, script(roomy, 1)).service == pytest.approx(1.0, abs=0.01)
    tight = day._replace(
        streamer_settings=day.streamer_settings.model_copy(update={"link": 700.0, "rack": 1e6})
    )
    found = bound(tight, script(tight, 1))
    assert found.service < 0.9 and found.binds["links"] > 0.3 and found.binds["uplinks"] < 0.01
    with pytest.raises(ValueError, match="stalls"):
        heavy = day._replace(settings=day.settings.model_copy(update={"values": [1.0, 2.0, 5.0, 9.0]}))
        bound(heavy, script(heavy, 1))
