"""INI and JSON files and their checks, overload guard, liveness of a streamer, and the command line."""

import itertools
import json
import signal
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner
from loopback import INI

from herongap.cli import main
from herongap.daemon.file_watcher import FileWatcher
from herongap.daemon.session import read_remote_session
from herongap.host.liveness import (
    LOST_AFTER_SECONDS,
    PAID_TEST_TIMES,
    SILENT_AFTER_SECONDS,
    STREAM_GONE_AFTER_SECONDS,
    TESTED_LOST_AFTER_SECONDS,
    Liveness,
    StreamerLiveness,
)
from herongap.http import Reply
from herongap.ini import ConfigFileError, read_catalogue, read_list, read_site_config
from herongap.interface import StreamerStatus
from herongap.overload import OverloadGuard, ProcessLimits
from herongap.standins import Viewer
from herongap.standins.player import Player


def parse_site_config(tmp_path, text):
    (tmp_path / "x.ini").write_text(text)
    return read_site_config(tmp_path / "x.ini")


def test_a_front_file_becomes_a_deployment_config(tmp_path):
    made = parse_site_config(tmp_path, INI + "[budget]\nfree = 3\nshare = 0.1\nwindow = 5\n")
    config = made.deployment
    assert config.ladder == (100.0, 300.0, 900.0) and config.places == {"std": 400} and config.extra_free == 3
    assert {p.name: (p.floor, p.seats) for p in config.packages}["priority"] == (1, 2)
    assert made.defaults == {"whep": "standard", "whip": "publish"}
    assert made.streamers.list == str(tmp_path / "streamers.json") and made.front.record.startswith(
        str(tmp_path)
    )


@pytest.mark.parametrize(
    "change, says",
    [
        (("linger = 0.3", "linger = soon"), r"\[front\] linger = soon: .*number"),
        (("linger = 0.3", "lingers = 1"), r"\[front\] lingers = 1: unknown key; allowed: .*linger"),
        (("[cold]", "[warm]"), r"\[warm\]: unknown section; allowed: .*cold"),
        (("per_weight = 10000", ""), r"\[links\] per_weight: missing"),
        (("values = 0.3, 0.6, 1.0", "values = 0.3, 1.0"), r"\[ladder\] values: 3 are needed"),
        (("values = 0.3, 0.6, 1.0", "values = 0.6, 0.3, 1.0"), r"\[ladder\] values.*must not fall"),
        (("floor = 1", "floor = 3"), r"\[package priority\] floor = 3: must be a rung \(0 to 2\)"),
        (("listen = 127.0.0.1:0", "listen = here"), r"\[front\] listen = here: .*HOST:PORT"),
        (("patience = 1.0", "patience = 0.1"), r"\[package priority\] join_target"),
        (("[catalogue]\nfile = catalogue.json", ""), r"\[catalogue\]: missing; needed keys: file"),
        (("[places]\nstd = 400", ""), r"\[places\]: missing"),
        (("std = 400", "std = many"), r"\[places\] std = many: a whole number"),
        (("repeat = harmful", "repeat = maybe"), r"\[package publish\] repeat = maybe: .*harmless"),
    ],
)
def test_each_error_names_section_key_value_and_what_is_allowed(tmp_path, change, says):
    assert change[0] in INI
    with pytest.raises(ConfigFileError, match=says):
        parse_site_config(tmp_path, INI.replace(*change))


def test_all_errors_are_reported_at_once(tmp_path):
    with pytest.raises(ConfigFileError) as found:
        parse_site_config(
            tmp_path,
            INI.replace("linger = 0.3", "linger = x").replace("rack = 50000", "rack = y") + "[odd]\n",
        )
    assert len(str(found.value).splitlines()) == 3


def test_a_list_with_an_invalid_entry_is_rejected_as_a_whole():
    line = {"id": "s", "url": "http://127.0.0.1:80", "started": 100.0, "standing": "leaving", "rack": "r"}
    lines, addresses = read_list(json.dumps({"streamers": [line]}).encode(), epoch=-90.0)
    assert lines[0].status is StreamerStatus.LEAVING and lines[0].started == 10.0 and lines[0].rack == "r"
    assert lines[0].cell == lines[0].holder_id == "s" and addresses == {"s": ("127.0.0.1", 80)}
    for bad in (
        {**line, "url": "ftp://x"},
        {**line, "weight": 0},
        {**line, "standing": "odd"},
        {**line, "wieght": 1},
    ):
        with pytest.raises(ValueError):
            read_list(json.dumps({"streamers": [line, bad]}).encode(), 0.0)
    with pytest.raises(ValueError, match="twice"):
        read_list(json.dumps({"streamers": [line, line]}).encode(), 0.0)
    catalogue = read_catalogue(b'{"titles": {"a": ["s"], "*": ["t"]}}')
    assert catalogue.holders("a") == ["s"] and catalogue.holders("b") == ["t"]
    assert read_catalogue(b'{"titles": {}}').holders("b") is None


def test_an_unreadable_file_keeps_the_last_valid_content(tmp_path):
    contents = []

    def changed(data):
        contents.append(json.loads(data))

    path = tmp_path / "f"
    path.write_text("[1]")
    watched = FileWatcher(str(path), changed, 1.0)
    watched.read()
    watched.read()
    path.write_text("[1, 2")
    with pytest.raises(ValueError):
        watched.read()
    path.write_text("[1, 2, 3]")
    watched.read()
    assert contents == [[1], [1, 2, 3]]


def test_overload_guard_limits_connections_set_ups_rate_and_lag():
    overload_guard = OverloadGuard(
        ProcessLimits(
            connections=3, connections_a_peer=2, setting_up=5, held=10, pace=10.0, burst=3.0, lag=0.5
        )
    )
    assert [overload_guard.connect(p) for p in "aaabb"] == [True, True, False, True, False]
    overload_guard.disconnect("a")
    assert (
        overload_guard.connect("b")
        and overload_guard.open_connections == 3
        and overload_guard.rejected["connection"] == 2
    )
    assert [overload_guard.admit(0.0, "a", 0, 0) for _ in range(4)][:3] == [None] * 3
    kind, wait = overload_guard.admit(0.0, "a", 0, 0)
    assert kind == "too-fast" and 0 < wait <= 0.1
    assert overload_guard.admit(0.0, "b", 0, 0) is None, "the rate of one peer does not count for another"
    assert overload_guard.admit(0.11, "a", 0, 0) is None
    assert overload_guard.admit(9.0, "a", 5, 0)[0] == overload_guard.admit(9.0, "a", 0, 10)[0] == "overloaded"
    for _ in range(20):
        overload_guard.record_lag(2.0)
    assert overload_guard.admit(9.0, "a", 0, 0)[0] == "overloaded"
    for _ in range(20):
        overload_guard.record_lag(0.0)
    assert overload_guard.admit(9.0, "a", 0, 0) is None, "the overload has ended"
    overload_guard.stopping = True
    assert overload_guard.admit(9.0, "a", 0, 0)[0] == "stopping"
    overload_guard.stopping = False
    for n in range(overload_guard.MAX_TRACKED_PEERS + 50):
        overload_guard.admit(10.0, f"p{n}", 0, 0)
    assert len(overload_guard.token_buckets) == overload_guard.MAX_TRACKED_PEERS


def test_paid_tests_are_few_and_still_detect_an_end_in_time():
    liveness, tested = StreamerLiveness(0.0, *PAID_TEST_TIMES), []
    for quarter in range(1, 4 * 60):
        now = quarter / 4
        if now < 40 and quarter % 10 == 0:
            liveness.on_data(now)  # its own notices, each 2.5 s: no test is needed
        if liveness.is_test_due(now):
            tested.append(now)
        if liveness.check(now) is Liveness.LOST:
            break
    assert len(tested) == 1 and tested[0] > 40
    assert now - 39.75 <= LOST_AFTER_SECONDS - 1.0, (
        "it ended just after its last notice, and that is detected within 8 s"
    )
    assert (
        liveness.silent_after < PAID_TEST_TIMES[0]
        and liveness.check(37.5 + liveness.silent_after) is Liveness.SILENT
    )


def test_a_streamer_is_tested_no_more_often_than_needed_to_detect_silence_in_time():
    liveness, tested = StreamerLiveness(0.0, TESTED_LOST_AFTER_SECONDS), []
    for quarter in range(1, 4 * 20):
        now = quarter / 4
        if liveness.is_test_due(now):
            tested.append(now)
        if now == 9.0:
            liveness.on_data(now)  # an answer, after which it stays silent
    gaps = [b - a for a, b in itertools.pairwise((0.0, *tested))]
    assert (
        max(gaps) <= SILENT_AFTER_SECONDS - 1.0 and min(gaps) > SILENT_AFTER_SECONDS / 2 and len(tested) >= 12
    )
    assert any(9.0 < at <= 8.0 + SILENT_AFTER_SECONDS for at in tested), (
        "silent only after a test with time to answer"
    )


def test_a_silent_streamer_is_lost_after_a_while_and_a_broken_stream_if_it_stays_broken():
    liveness = StreamerLiveness(0.0)
    found = {half / 2: liveness.check(half / 2) for half in range(1, int(2 * LOST_AFTER_SECONDS) + 1)}
    assert [at for at, status in found.items() if status is Liveness.SILENT][0] == SILENT_AFTER_SECONDS
    assert [at for at, status in found.items() if status is Liveness.LOST] == [LOST_AFTER_SECONDS]
    assert liveness.check(LOST_AFTER_SECONDS + 0.1) is Liveness.LOST, "a further check gives the same result"
    liveness.on_data(LOST_AFTER_SECONDS)
    assert liveness.check(LOST_AFTER_SECONDS) is Liveness.ALIVE
    assert not liveness.on_stream_broken(10.0, unknown=False) and not liveness.on_stream_broken(
        10.0 + STREAM_GONE_AFTER_SECONDS - 0.1, unknown=False
    )
    assert liveness.on_stream_broken(10.0 + STREAM_GONE_AFTER_SECONDS, unknown=False) and StreamerLiveness(
        0.0
    ).on_stream_broken(0.0, unknown=True)
    liveness.on_data(12.0)
    assert not liveness.on_stream_broken(12.0, unknown=False), "a stream that reopened starts anew"


def test_time_for_which_the_process_was_paused_does_not_count_as_silence():
    for quiet in (0.0, 1.0, 2.0):  # before the pause
        liveness = StreamerLiveness(0.0)
        assert all(liveness.check(at) is Liveness.ALIVE for at in (0.0, quiet / 2, quiet))
        back = 60.0 + quiet
        assert liveness.check(back) is Liveness.ALIVE
        # A dead streamer is still detected, as late as if the clock had stood still during the pause.
        seen = {half / 2: liveness.check(back + half / 2) for half in range(1, 20)}
        assert [at for at, state in seen.items() if state is Liveness.SILENT][
            0
        ] == SILENT_AFTER_SECONDS - quiet
        assert [at for at, state in seen.items() if state is Liveness.LOST][0] == LOST_AFTER_SECONDS - quiet


def test_links_of_a_streamer_to_other_hosts_are_rejected():
    def remote(location, *links):
        return read_remote_session(
            "s", "/whep/1", Reply(201, (("Location", location), *(("Link", v) for v in links)), b"sdp")
        )

    assert remote("../r/1").path == "/r/1" and remote("/r/1?x=1").path == "/r/1?x=1"
    assert remote("http://elsewhere/r/1") is None and remote("//elsewhere/r/1") is None and remote("") is None
    layer = 'rel="urn:ietf:params:whep:ext:core:layer"'
    assert (
        remote("/r/1", f"</l>; {layer}").layer == "/l"
        and remote("/r/1", f"<http://x/l>; {layer}").layer == ""
    )


def test_check_and_help(tmp_path):
    run = CliRunner()
    (tmp_path / "x.ini").write_text(INI)
    bad = run.invoke(main, ["check", str(tmp_path / "x.ini")])
    assert bad.exit_code == 1 and "streamers.json" in bad.output and "catalogue.json" in bad.output
    (tmp_path / "streamers.json").write_text('{"streamers": []}')
    (tmp_path / "catalogue.json").write_text('{"titles": {}}')
    assert run.invoke(main, ["check", str(tmp_path / "x.ini")]).exit_code == 0
    assert run.invoke(main, ["check", "deploy/front.ini"]).exit_code == 0, "the sample must pass"
    listed = run.invoke(main, ["--help"]).output
    assert all(f"  {name} " in listed for name in ("serve", "demo", "check", "rehearse", "replay", "explain"))
    (tmp_path / "r").write_bytes(b"nonsense\n")
    assert run.invoke(main, ["replay", str(tmp_path / "r")]).exit_code == 2
    (tmp_path / "day.json").write_text('{"troubles": []}')
    assert run.invoke(main, ["rehearse", "--bench-day", str(tmp_path / "day.json")]).exit_code == 2


def demo(*more):
    process = subprocess.Popen(
        [sys.executable, "-m", "herongap.cli", "demo", *more], stdout=subprocess.PIPE, text=True
    )
    line = process.stdout.readline()
    assert line.startswith("listening http://127.0.0.1:"), line
    return process, ("127.0.0.1", int(line.rsplit(":", 1)[1]))


def test_demo_serves_without_credentials_until_a_signal():
    process, address = demo("--streamers", "3")
    try:
        log = lambda *args, **details: None  # noqa: E731
        viewer = Viewer("v", address, "/whep/20", log)
        assert viewer.post(5).status == 201
        assert Viewer("p", address, "/whip/1", log, direction="sendonly").post(5).status == 201
        assert Viewer("u", address, "/whep/21", log).post(5).status == 404
        player = Player("d", address, "/dash/20", log)
        assert player.join().status == 200 and player.play(1.0) and set(player.statuses) == {200}
        began = time.monotonic()
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=15) == 0 and time.monotonic() - began < 12
    finally:
        process.kill()


def test_a_second_signal_ends_at_once():
    process, address = demo("--streamers", "1")
    try:
        # An orderly stop waits for viewings that are being set up; a second signal does not.
        process.send_signal(signal.SIGINT)
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) in (0, 1)
    finally:
        process.kill()
