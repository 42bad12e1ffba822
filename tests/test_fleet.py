"""The model: its formulas, its sameness for a seed, its rules, and what experiments say of it."""

import json
import os
import signal
import threading
import time
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from scipy import stats
from test_rehearsal import DAY, TROUBLES

from herongap.cli import main
from herongap.fleet import compare, runner
from herongap.fleet.arms import job, read_experiment
from herongap.fleet.bound import bound
from herongap.fleet.checker import check
from herongap.fleet.clock import Clock, stream
from herongap.fleet.day import front_ini, read_day, script
from herongap.fleet.figures import Outcome, report
from herongap.fleet.fit import best, fit_record, zipf
from herongap.fleet.links import equal, max_min
from herongap.fleet.machine import Kind, Machine, Rack, Session
from herongap.fleet.model import Model, Viewer
from herongap.fleet.result_store import ResultStore
from herongap.host import Recorder
from herongap.ini import Faults, parse_site

KIND = Kind((100.0, 300.0), (0.4, 1.0), 1000.0, 1500.0, 5, warm_up=10.0)
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
def test_shares_conserve_and_are_fair(asked, size):
    given_ = max_min(asked, size)
    assert sum(given_) <= size * (1 + 1e-9) and all(g <= a for g, a in zip(given_, asked, strict=True))
    if sum(asked) >= size:
        assert sum(given_) == pytest.approx(size)
        # Nobody is held under another that gets more: max-min.
        held = [g for g, a in zip(given_, asked, strict=True) if g < a - 1e-9 * size]
        assert all(g == pytest.approx(max(given_)) for g in held)
    else:
        assert given_ == asked
    share = equal(sum(asked), size)
    assert share * sum(asked) <= size * (1 + 1e-9) and (
        share == 1.0 or share * sum(asked) == pytest.approx(size)
    )


@pytest.mark.parametrize("sharing", ["equal", "max_min"])
def test_a_machine_shares_its_link_and_accounts_what_viewers_get(sharing):
    rack = Rack(1500.0, sharing)
    a, b = (Machine(KIND._replace(sharing=sharing), name, "", rack) for name in "ab")
    one = Session("1", "x", "t", 1, "f", 0.0)
    a.begin(0.0, one)
    assert a.share == 1.0
    for i in range(4):
        a.begin(1.0, Session(f"a{i}", "x", "t", 1, "f", 1.0))
    assert a.share == pytest.approx(1000 / 1500) and a.full()
    for i in range(3):
        b.begin(2.0, Session(f"b{i}", "x", "t", 1, "f", 2.0))
    # 1500 and 900 asked of 1500: in equal parts of what is asked, or 750 each.
    assert b.share == pytest.approx(1500 / 2400 if sharing == "equal" else 750 / 900)
    b.order(3.0, {"do": "silent"})
    seconds, earned = a.finish(4.0, one)
    assert seconds == 4.0 and earned == pytest.approx(
        1.0 + 0.0
    )  # one whole second, then stalls beyond all value
    low = Session("low", "x", "t", 0, "f", 4.0)
    c = Machine(KIND, "c", "", Rack(1e9))
    c.begin(4.0, low)
    c.step(6.0, low, 1)
    assert c.finish(9.0, low)[1] == pytest.approx(2 * 0.4 + 3 * 1.0)


def test_a_cold_machine_falls_over_at_the_stated_pace_and_not_under_it():
    for pace, falls in ((0.45, False), (0.2, True)):
        m = Machine(KIND, "m", "", Rack(1e9), started=0.0)
        # 2.5 times 5 places in 10 s at 0.4 warmth: half a set-up a second, but one is always borne.
        fell = [m.knock(n * pace) for n in range(1, 8)] if falls else [m.knock(n * 1.05) for n in range(1, 8)]
        assert any(most is not None for most in fell) is falls and m.fallen is falls


def test_time_runs_in_order_and_chance_goes_by_name():
    clock, seen = Clock(), []
    for at, what in ((2.0, "b"), (1.0, "a"), (2.0, "c")):
        clock.at(at, seen.append, what)
    clock.at(1.5, lambda: clock.after(0.5, seen.append, "d"))
    assert clock.run(5.0) == 5 and seen == ["a", "b", "c", "d"] and clock.now == 5.0
    assert stream(1, "x").random() == stream(1, "x").random() != stream(1, "y").random()


@pytest.fixture
def bad(tmp_path):
    (tmp_path / "day.ini").write_text(DAY + TROUBLES)
    return read_day(tmp_path / "day.ini")


def test_a_day_is_the_same_for_a_seed_and_keeps_the_rules(bad):
    for seed in range(3):
        first, again = Model(bad, seed), Model(bad, seed)
        assert first.run() == again.run()
        breaks = check(Outcome(bad, first.script, 0.0, first.lines))
        assert not breaks, breaks[:2]
    told = report(Outcome(bad, first.script, 0.0, first.lines), [])
    assert told.service + sum(told.lost.values()) == pytest.approx(1.0, abs=1e-4)
    assert 0.2 < told.service < bound(bad, first.script).service <= 1.0
    assert Model(bad, 0, luck=1).run() != Model(bad, 0).run()


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


def test_viewers_give_up_as_the_formula_says(bad, monkeypatch):
    day = bad._replace(troubles={}, clients=bad.clients.model_copy(update={"repeats": 0.0, "leaves": 0.0}))
    looks, once = [], Viewer._gives_up
    monkeypatch.setattr(Viewer, "_gives_up", lambda self, m: looks.append(once(self, m)) or looks[-1])
    for rate, part in ((0.0, 0.0), (0.3, 0.3)):
        model = Model(day, 1, kind={"leave_rate": rate, "leave_under": 2.0, "link": 1e6, "rack": 1e6})
        looks.clear()
        model.run()
        gone = sum(what == "gave-up" for _, _, what, _ in model.lines)
        # At a share of 1 and a limit of 2 a viewer leaves with 0.3 in each second that it is there.
        assert gone == sum(looks) and len(looks) > 50
        assert stats.binomtest(gone, len(looks), part).pvalue > 1e-4


def test_the_models_front_reads_the_file_that_a_rehearsals_does(bad, tmp_path):
    made = parse_site(front_ini(bad, 1, 7, tmp_path), tmp_path / "x.ini")
    model = Model(bad, 7)
    model.run()
    assert model.fronts[1].site.charter == made.charter and made.charter.me == 1


def experiment(tmp_path, least=2, most=4, half=0.5, b="policy = random", text=None):
    day = (
        DAY.replace("seconds = 5", "seconds = 3")
        + "[trouble crowd]\nkind = crowd\nat = 1\nlasts = 1\nextra = 1\n"
    )
    (tmp_path / "day.ini").write_text(text or day)
    (tmp_path / "x.ini").write_text(PLAN.format(least=least, most=most, half=half, b=b))
    return read_experiment(tmp_path / "x.ini")


def test_results_are_the_same_for_one_worker_and_for_more_and_after_a_killed_worker(tmp_path):
    made = experiment(tmp_path, least=4, half=0.5)
    one, more = ResultStore(tmp_path / "1"), ResultStore(tmp_path / "2")
    alone = runner.run(made, one, 1)
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
    together = runner.run(made, more, 3)
    killer.join()
    assert killed and alone == together
    ran = []
    assert runner.run(made, one, 1, lambda done, of: ran.append(done)) == alone and not ran, "all was kept"


def test_arms_that_differ_are_told_and_those_that_do_not_are_not(tmp_path):
    def verdict(b):
        made = experiment(tmp_path, least=6, most=6, b=b)
        results = {arm.name: [job(arm, seed)["service"] for seed in range(1, 7)] for arm in made.arms}
        return compare.paired(results["b"], results["a"], 0.95, 2)

    timid, same = verdict("set = MARK=0.1"), verdict("luck = 3")
    assert timid.differs and timid.mean < 0 and not same.differs and same.half > 0


def test_intervals_cover_as_often_as_they_say():
    draw = np.random.default_rng(5)
    hits = sum(
        not compare.paired(list(draw.normal(0, 1, 12)), [0.0] * 12, 0.95, 2).differs for _ in range(2000)
    )
    assert 0.935 < hits / 2000 < 0.965
    hits = 0
    for _ in range(2000):
        one, *others = draw.normal(3, 2, 9)
        told = compare.foreseen(others, 0.95)
        hits += told.low <= one <= told.high
    assert 0.935 < hits / 2000 < 0.965, "one more play falls into the interval as often as it says"
    wide = compare.paired([1.0, 2.0, 4.0], [0.0] * 3, 0.95, 4)
    assert wide.half > compare.paired([1.0, 2.0, 4.0], [0.0] * 3, 0.95, 2).half
    plan = type("P", (), {"least": 4, "most": 20, "batch": 3, "confidence": 0.95, "half_width": 0.1})
    assert compare.wanted({"a": [], "b": []}, plan) == 4
    assert compare.wanted({"a": [0.0] * 4, "b": [0.0, 1.0, 0.0, 1.0]}, plan) == 7
    assert compare.wanted({"a": [0.0] * 4, "b": [0.5] * 4}, plan) == 0
    assert compare.wanted({"a": [0.0] * 20, "b": [0.0, 1.0] * 10}, plan) == 0


@pytest.mark.parametrize(
    "b, says",
    [("policy = magic", "policy = magic: allowed"), ("set = NOTHING=1", "no such value"),
     ("module = nowhere.py", "nowhere"), ("day = nowhere.ini", "nowhere"), ("colour = red", "colour")],
)  # fmt: skip
def test_a_bad_experiment_is_refused_with_its_reason(tmp_path, b, says):
    with pytest.raises(Faults, match=says):
        experiment(tmp_path, b=b)


def test_the_store_is_its_own_and_keeps_apart_what_differs(tmp_path):
    made = experiment(tmp_path)
    a, b = made.arms
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


def test_a_fit_finds_what_a_record_was_made_of(tmp_path, bad):
    lines = []

    def recorded(number):
        start(number)
        if number == 0:
            front = model.fronts[0]
            front.host.recorder = Recorder(lines.append)
            front.host.recorder.start(0.0, 1, front.site.charter)

    size = bad.size.model_copy(update={"seconds": 60.0, "controllers": 1})
    alone = bad.clients.model_copy(update={"returns": 0.0})
    model = Model(bad._replace(troubles={}, size=size, clients=alone), 4)
    start, model._start_front = model._start_front, recorded
    model.run()
    found = fit_record(lines[:-1] + [lines[-1][:10]])  # cut in the middle of a line
    assert found.rate == pytest.approx(25, rel=0.15) and found.titles == 6
    assert found.popularity == pytest.approx(0.8, abs=4 * found.popularity_error + 0.15)
    set_up = next(q for q in found.quantities if q.name == "set-up")
    assert 0.01 < set_up.mean < 0.05 and set_up.distance < 0.2
    draw = np.random.default_rng(1)
    assert best("x", list(draw.exponential(2.0, 4000))).mean == pytest.approx(2.0, rel=0.1)
    assert best("x", list(draw.lognormal(0, 1, 4000))).family == "lognormal"
    exponent, error = zipf(
        sorted(np.bincount(draw.choice(30, 20000, p=(w := np.arange(1, 31) ** -1.1) / w.sum())))[::-1]
    )
    assert abs(exponent - 1.1) < 5 * error + 0.03
    with pytest.raises(ValueError, match="too few"):
        fit_record(lines[:2])


def test_notes_that_are_lost_reach_no_controller(tmp_path):
    text = DAY + "[trouble x]\nkind = notes_lost\nat = 0\nlasts = 3\npart = 1\nsize = %s\n"
    told = {}
    for share in ("1", "0"):
        (tmp_path / "day.ini").write_text(text % share)
        model = Model(read_day(tmp_path / "day.ini"), 2)
        told[share] = []
        for machine in model.machines.values():
            machine._arrives = lambda there=machine._arrives, notes=told[share]: (
                notes.append(there()) or notes[-1]
            )
        model.run()
    assert told["0"] and all(told["0"])
    first = told["1"].index(True)
    assert first > 0 and all(told["1"][first:]), "none until the trouble ends, all from then on"


def test_an_estimate_is_the_same_again_and_names_its_interval(tmp_path):
    (tmp_path / "day.ini").write_text(DAY)
    asked = ["experiment", "estimate", str(tmp_path / "day.ini"), "--plays", "3", "--json", "--workers"]
    one, two = (CliRunner().invoke(main, [*asked, workers]) for workers in ("1", "2"))
    assert one.exit_code == 0 and one.output == two.output, one.output
    told = json.loads(one.output)
    assert told["low"] < told["mean"] < told["high"]
    refused = CliRunner().invoke(main, [*asked, "1", "--policy", "magic"])
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
    told = run.invoke(main, ["experiment", "report", str(tmp_path / "x.ini"), str(tmp_path / "out2")])
    assert told.exit_code == 0 and (tmp_path / "out2" / "report.html").exists()


def test_a_bound_is_above_what_a_controller_gets_and_says_what_binds(bad):
    day = bad._replace(troubles={})
    roomy = day._replace(machines=day.machines.model_copy(update={"link": 1e6, "rack": 1e6, "places": 500}))
    assert bound(roomy, script(roomy, 1)).service == pytest.approx(1.0, abs=0.01)
    tight = day._replace(machines=day.machines.model_copy(update={"link": 700.0, "rack": 1e6}))
    found = bound(tight, script(tight, 1))
    assert found.service < 0.9 and found.binds["links"] > 0.3 and found.binds["uplinks"] < 0.01
    with pytest.raises(ValueError, match="stalls"):
        heavy = day._replace(size=day.size.model_copy(update={"values": [1.0, 2.0, 5.0, 9.0]}))
        bound(heavy, script(heavy, 1))
