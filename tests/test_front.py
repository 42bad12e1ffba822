"""The daemon on loopback sockets against stand-in streamers: normal use and provoked failures."""

import json
import time
from pathlib import Path

import gevent
import pytest
from gevent import socket
from loopback import KIND, LoopbackFleet

from herongap.daemon.http_connection import ClientConnection
from herongap.daemon.run import Daemon
from herongap.host import replay
from herongap.host.viewing import ViewingState
from herongap.http import problem_kind
from herongap.ini import read_site_config
from herongap.sdp import create_offer


@pytest.fixture
def start_fleet(tmp_path):
    started = []

    def start(**more):
        started.append(LoopbackFleet(tmp_path, **more))
        return started[-1]

    yield start
    for fleet in started:
        fleet.close()


def send_raw(fleet, data, timeout=6.0):
    """Send bytes to the daemon and return its answer; b"" if it closes the connection."""
    sock = socket.create_connection(fleet.daemon.address, timeout=timeout)
    try:
        for part in data if isinstance(data, list) else [data]:
            sock.sendall(part)
        out = b""
        while chunk := sock.recv(65536):
            out += chunk
        return out
    except OSError:
        return out if "out" in locals() else b""
    finally:
        sock.close()


def test_viewing_and_publishing_end_to_end(start_fleet):
    fleet = start_fleet()
    viewer = fleet.viewer()
    outcome = viewer.post(2)
    assert outcome.status == 201 and viewer.location.startswith("/sessions/") and fleet.session_count() == 1
    assert viewer.trickle().status == 204
    assert viewer.trickle('"old"').status == 412 and problem_kind(viewer.trickle('"old"').body) == "stale-tag"
    assert viewer.restart_ice().status == 200 and viewer.trickle().status == 204
    assert (
        problem_kind(viewer.call("PATCH", [("Content-Type", "application/trickle-ice-sdpfrag")], b"x").body)
        == "tag-needed"
    )
    assert viewer.call("PATCH", [("Content-Type", "text/plain"), ("If-Match", "*")], b"x").status == 415
    assert viewer.delete() == 200 and fleet.session_count() == 0 and viewer.delete() == 404
    publisher = fleet.viewer("p", "/whip/1", direction="sendonly")
    assert publisher.post(2).status == 201 and publisher.delete() == 200
    assert fleet.viewer("q", "/whip/1").post(2).kind == "bad-sdp", "a publisher must not only receive"
    assert fleet.viewer("u", "/whep/nope").post(2).kind == "no-such-title"
    assert viewer.call("OPTIONS", target="/whep/1").header("accept-post") == "application/sdp"
    assert (
        viewer.call("GET", target="/whep/1").status == 405 and viewer.call("GET", target="/x").status == 404
    )


def test_a_late_201_is_torn_down_and_tune_ins_do_not_overlap(start_fleet):
    fleet = start_fleet()
    fleet.command("slow", by=0.3)  # longer than the first tune-in's time-out of 0.225 s, at every streamer
    outcome = fleet.viewer().post(3)
    assert outcome.status in (502, 503) or outcome.status == 201
    fleet.until(lambda: fleet.session_count() == (outcome.status == 201))
    posts = [(at, who) for at, who, what, _ in fleet.streamer_events if what == "post"]
    ends = [at for at, _, what, _ in fleet.streamer_events if what in ("hung-up", "started")]
    assert len(posts) > 1 and all(end <= at for end, (at, _) in zip(ends, posts[1:], strict=False))


def test_an_answer_near_the_patience_limit_is_given_once(start_fleet):
    fleet = start_fleet(streamers=1)
    for number, delay in enumerate((0.15, 0.205, 0.22, 0.23, 0.3)):
        fleet.command("heal")
        fleet.command("slow", by=delay)
        viewer = fleet.viewer(f"v{number}")
        outcome = viewer.post(1.2)
        assert outcome.status in (201, 502, 503) and outcome.elapsed < 1.2
        if outcome.status == 201:
            assert viewer.delete() == 200
        fleet.until(lambda: fleet.session_count() == 0)
        gevent.sleep(0.0)
        streamer = fleet.daemon.host.module.streamers["s0"]
        streamer.set_aside_until = -1e9  # each delay is tested independently
    assert not fleet.daemon.host.viewings


def test_a_repeated_offer_is_one_viewing(start_fleet):
    fleet = start_fleet()
    fleet.command("slow", by=0.15)
    viewer = fleet.viewer()
    first = gevent.spawn(viewer.post, 2)
    gevent.sleep(0.03)
    assert viewer.post(2, hang_up=0.01).status == 0, "the client itself gives up early"
    second, third = gevent.spawn(viewer.post, 2), viewer.post(2)  # during the set-up
    answers = [first.get(), second.get(), third, viewer.post(2)]  # and after the 201
    assert {a.status for a in answers} == {201}
    assert len({a.reply.header("location") for a in answers}) == 1 and fleet.count("post") == 1
    assert viewer.delete() == 200
    assert viewer.post(2).kind == "session-over" and fleet.count("post") == 1  # after the DELETE
    fleet.command("heal")
    fleet.command("fail", part=1.0)
    b = fleet.viewer("b")
    assert b.post(2).status in (502, 503)
    fleet.command("heal")
    fleet.until(lambda: b.post(2).status == 201, seconds=20)  # after a 503 the same offer is accepted again


def test_an_idempotency_key_identifies_the_viewing(start_fleet):
    fleet = start_fleet()
    key = [("Idempotency-Key", '"k1"')]
    a = fleet.viewer("a", headers=key)
    assert a.post(2).status == 201
    assert a.post(2).status == 201 and fleet.count("post") == 1
    assert fleet.viewer("b", headers=key).post(2).kind == "key-reused"


def test_a_viewer_that_disconnects_during_set_up_is_called_off_after_the_linger_time(start_fleet):
    fleet = start_fleet()
    fleet.command("hang")
    viewer = fleet.viewer()
    assert viewer.post(2, hang_up=0.05).status == 0
    fleet.until(lambda: fleet.count("hung-up") == fleet.count("post") > 0 and not fleet.daemon.host.viewings)
    fleet.command("heal")
    fleet.command("slow", by=0.1)
    for streamer in fleet.daemon.host.module.streamers.values():
        streamer.set_aside_until = -1e9
    viewer = fleet.viewer("v2")
    assert viewer.post(2, hang_up=0.05).status == 0
    fleet.until(lambda: fleet.session_count() == 1)  # it starts within the linger time, without its viewer
    # Afterwards it is torn down.
    fleet.until(lambda: fleet.session_count() == 0 and not fleet.daemon.host.viewings)


def test_a_lost_answer_is_retried_only_if_the_package_allows_it(start_fleet):
    fleet = start_fleet()
    fleet.command("lose")
    assert fleet.viewer("p", "/whip/1", direction="sendonly").post(2).kind == "aborted"
    assert fleet.count("post") == 1, "it may have run: a retry could publish twice"
    fleet.command("lose", "s0", "s1")
    assert fleet.viewer("v").post(2).status in (201, 502, 503) and fleet.count("post") > 2


def test_rejections_and_failures_of_streamers(start_fleet):
    fleet = start_fleet()
    fleet.command("fail", part=1.0)
    outcome = fleet.viewer("a").post(2)
    assert outcome.status == 503 and outcome.reply.header("retry-after")
    fleet.command("heal")
    for streamer in fleet.daemon.host.module.streamers.values():
        streamer.set_aside_until = -1e9
    fleet.command("die", "s0")
    viewer = fleet.viewer("b", "/whep/2")
    assert viewer.post(2).status == 503  # the only holder of its title is gone
    assert fleet.viewer("c").post(2).status == 201


def test_viewings_end_with_a_streamer_that_dies(start_fleet):
    fleet = start_fleet(streamers=1)
    viewer = fleet.viewer()
    assert viewer.post(2).status == 201
    fleet.until(lambda: fleet.daemon.port.subscriptions)
    gevent.sleep(0.1)
    fleet.command("die")
    fleet.until(lambda: not fleet.daemon.host.viewings)
    assert viewer.delete() == 404
    fleet.command("start")
    fleet.list_entries["s0"]["started"] = time.time()
    fleet.write_list()
    fleet.until(lambda: fleet.viewer("b").post(2).status == 201, seconds=20)


def test_a_drain_is_respected_and_an_emptied_list_recovers(start_fleet):
    fleet = start_fleet()
    assert fleet.viewer("a").post(2).status == 201
    fleet.write_list(s0="leaving", s1="leaving")
    fleet.until(lambda: fleet.daemon.host.statuses["s1"].name == "LEAVING")
    before = fleet.count("post")
    assert [fleet.viewer(f"d{i}").post(2).status for i in range(6)] == [201] * 6
    assert {who for _, who, what, _ in fleet.streamer_events if what == "post"} >= {"s2"}
    assert (
        fleet.count("post")
        == before + 6
        == before
        + len([1 for _, who, what, _ in fleet.streamer_events[-200:] if what == "post" and who == "s2"][-6:])
    )
    good = (fleet.folder / "streamers.json").read_bytes()
    (fleet.folder / "streamers.json").write_text('{"streamers": []}')
    fleet.until(lambda: not fleet.daemon.host.statuses)
    assert fleet.viewer("e").post(2).status == 503
    (fleet.folder / "streamers.json").write_text('{"streamers": [{"id": "broken"')
    gevent.sleep(0.1)
    (fleet.folder / "streamers.json").write_bytes(good)
    fleet.until(lambda: fleet.viewer("f").post(2).status == 201)


def test_two_controllers_do_not_overload_a_cold_streamer(tmp_path):
    folders = [tmp_path / "0", tmp_path / "1"]
    for folder in folders:
        folder.mkdir()
    fleet = LoopbackFleet(folders[0], streamers=1, extra="")
    try:
        ini = (folders[0] / "front.ini").read_text().replace("listen", "controllers = 2\nlisten")
        ini = ini.replace("std = 400", "std = 40")
        for number, folder in enumerate(folders):
            fleet.list_entries["s0"]["started"] = time.time()
            (folder / "streamers.json").write_text(
                json.dumps({"streamers": list(fleet.list_entries.values())})
            )
            (folder / "catalogue.json").write_text('{"titles": {"1": ["s0"]}}')
            (folder / "front.ini").write_text(
                ini.replace("controllers", f"number = {number}\ncontrollers", 1)
            )
        fleet.daemon.kill()
        fleet.command("start")
        daemons = [Daemon(read_site_config(folder / "front.ini")) for folder in folders]
        for daemon in daemons:
            daemon.start()
        posting = []
        for i in range(120):
            fleet.daemon = daemons[i % 2]
            posting.append(gevent.spawn(fleet.viewer(f"v{i}").post, 2))
            gevent.sleep(0.01)
        statuses = [g.get().status for g in posting]
        assert 201 in statuses and set(statuses) <= {201, 503} and not fleet.count("fell")
        daemons[0].kill()
    finally:
        fleet.close()


def test_seats_and_rung_floors_are_enforced(start_fleet):
    fleet = start_fleet()
    posts = [gevent.spawn(fleet.viewer(f"v{i}", "/whep/1?package=priority").post, 2) for i in range(6)]
    statuses = sorted(g.get().status for g in posts)
    assert statuses == [201, 201, 503, 503, 503, 503] and fleet.session_count() == 2
    assert all(s.rung >= 1 for st in fleet.streamers for s in st.sessions.values())
    assert fleet.viewer("x", "/whep/1?package=nope").post(2).kind == "not-allowed"


def test_metrics_are_served_at_an_address_of_their_own(start_fleet):
    fleet = start_fleet()
    fleet.daemon.kill()
    ini = fleet.folder / "front.ini"
    ini.write_text(ini.read_text().replace("[front]", "[front]\nmetrics = 127.0.0.1:0"))
    fleet.daemon = Daemon(read_site_config(ini))
    fleet.daemon.start()
    assert fleet.viewer().post(2).status == 201
    text = fleet.viewer("m").call("GET", target="/metrics").body
    assert b"no-such-page" in text, "viewers see no metrics"
    scraper = fleet.viewer("s")
    scraper.front = fleet.daemon.metrics.address
    text = scraper.call("GET", target="/metrics").body.decode()
    assert (
        'herongap_answers_total{verdict="plays"} 1.0' in text and 'herongap_held{state="playing"} 1.0' in text
    )


def test_tokens_map_to_members_and_packages(start_fleet):
    fleet = start_fleet(extra="[token desk]\nsecret = letmein-please\nmember = desk\npackages = standard\n")
    assert fleet.viewer("a").post(2).kind == "no-credentials"
    assert fleet.viewer("b", headers=[("Authorization", "Bearer wrong")]).post(2).kind == "bad-credentials"
    mine = [("Authorization", "Bearer letmein-please")]
    viewer = fleet.viewer("c", headers=mine)
    assert viewer.post(2).status == 201
    assert fleet.viewer("d", "/whep/1?package=priority", headers=mine).post(2).kind == "not-allowed"
    viewer.headers = []
    assert viewer.delete() == 401
    viewer.headers = mine
    assert viewer.delete() == 200


def test_malformed_requests_get_an_error_and_others_are_served(start_fleet):
    fleet = start_fleet(
        extra="[limits]\nheader_seconds = 0.4\nbody_seconds = 0.4\nbody = 20000\nidle_seconds = 1\n"
    )
    head = b"POST /whep/1 HTTP/1.1\r\nHost: x\r\nContent-Type: application/sdp\r\n"
    slow = gevent.spawn(send_raw, fleet, [])
    sock = socket.create_connection(fleet.daemon.address)
    sock.sendall(b"POST /whep/1 HT")  # followed by a byte from time to time
    assert b" 413 " in send_raw(fleet, head + b"Content-Length: 100000000\r\n\r\n")
    big = b"%x\r\n%s\r\n" % (15000, b"x" * 15000)
    assert b" 413 " in send_raw(fleet, head + b"Transfer-Encoding: chunked\r\n\r\n" + big * 2)
    assert b" 431 " in send_raw(fleet, b"GET / HTTP/1.1\r\n" + b"X-Y: z\r\n" * 5000)
    assert b" 400 " in send_raw(fleet, b"\x00\x01\x02\r\n\r\n")
    assert b" 400 " in send_raw(fleet, head + b"Content-Length: twelve\r\n\r\n")
    assert b" 408 " in send_raw(fleet, head + b"Content-Length: 50\r\n\r\nhalf")
    viewer = fleet.viewer()
    for body in (
        b"",
        b"v=0\r\n",
        b"\xff\xfe",
        viewer.offer.replace("a=ice-ufrag", "a=x").encode(),
        b"v=0\r\no=- 1 1\r\ns=-\r\n",
        viewer.offer.replace("actpass", "passive").encode(),
        viewer.offer.replace("recvonly", "sendonly").encode(),
    ):
        reply = viewer.call("POST", [("Content-Type", "application/sdp")], body, "/whep/1")
        assert reply.status == 400 and problem_kind(reply.body) == "bad-sdp", body
    assert viewer.call("POST", [("Content-Type", "text/html")], b"x", "/whep/1").status == 415
    for _ in range(8):
        try:
            sock.sendall(b"T")
        except OSError:
            break
        gevent.sleep(0.1)
    assert b" 408 " in sock.recv(4096)
    slow.kill()
    assert viewer.post(2).status == 201 and fleet.session_count() == 1


# Guards against: a highest rung in digits that Python's `int` does not take leaves a session without an end.
@pytest.mark.parametrize("top", ["%C2%B2", "%D9%A1", "9" * 5000], ids=["superscript", "Arabic-Indic", "long"])
def test_a_highest_rung_that_is_no_number_is_ignored(start_fleet, top):
    fleet = start_fleet()
    assert fleet.viewer(target=f"/whep/1?top={top}").post(2.0).status == 201
    (viewing,) = fleet.daemon.host.viewings.values()
    assert viewing.request.top == len(KIND.ladder) - 1


def test_an_overloaded_controller_rejects_at_once_and_keeps_its_viewings(start_fleet):
    fleet = start_fleet(extra="[limits]\nsetting_up = 3\nconnections = 40\n")
    held = fleet.viewer("held")
    assert held.post(2).status == 201
    fleet.command("slow", by=0.15)
    posts = [gevent.spawn(fleet.viewer(f"v{i}").post, 2) for i in range(12)]
    outcomes = [g.get() for g in posts]
    refused = [t for t in outcomes if t.kind == "overloaded"]
    assert len(refused) == 9 and all(t.reply.header("retry-after") and t.elapsed < 0.15 for t in refused)
    idle = [socket.create_connection(fleet.daemon.address) for _ in range(60)]
    fleet.until(lambda: fleet.daemon.overload_guard.open_connections == 40)
    assert fleet.viewer("more").post(1).kind == "overloaded"
    for sock in idle:
        sock.close()
    fleet.until(lambda: fleet.daemon.overload_guard.open_connections < 30)
    assert held.delete() == 200


def test_a_graceful_stop_answers_all_accepted_requests(start_fleet):
    fleet = start_fleet()
    fleet.command("slow", by=0.12)
    viewer = fleet.viewer("v")
    posting = gevent.spawn(viewer.post, 2)
    fleet.until(lambda: fleet.count("post") == 1)
    stopping = gevent.spawn(fleet.daemon.stop)
    gevent.sleep(0.01)
    assert fleet.viewer("late").post(1).kind == "stopping"
    assert posting.get().status == 201
    stopping.get(timeout=4)
    assert not fleet.daemon.host.viewings and fleet.session_count() == 0
    with pytest.raises(OSError):
        ClientConnection(fleet.daemon.address, 0.2)


def test_streamers_end_the_sessions_of_a_killed_controller(start_fleet):
    fleet = start_fleet()
    viewer = fleet.viewer()
    assert viewer.post(2).status == 201
    fleet.until(lambda: any(st.streams for st in fleet.streamers))
    fleet.daemon.kill()
    # The streamers notice that the controller's event streams closed.
    fleet.until(lambda: fleet.session_count() == 0, seconds=8)
    assert fleet.count("ended", reason="front-gone") == 1


def test_rungs_are_set_by_layer_requests_and_loads_are_reported(start_fleet):
    fleet = start_fleet(streamers=1)
    viewers = [fleet.viewer(f"v{i}") for i in range(10)]
    assert [v.post(2).status for v in viewers] == [201] * 10
    asked = fleet.streamers[0].machine.demand
    fleet.command("sag", to=0.3)
    fleet.until(lambda: fleet.count("rung") > 0 and fleet.streamers[0].machine.demand < asked, seconds=10)
    host = fleet.daemon.host
    fleet.until(
        lambda: (
            sorted(host.module.viewings[v].rung for v in host.viewings)
            == sorted(s.rung for s in fleet.streamers[0].sessions.values())
        )
    )
    rung, playing = viewers[0].restart_ice(), [life.state for life in host.viewings.values()]
    assert rung.status == 200 and set(playing) == {ViewingState.PLAYING}


def test_a_replay_of_the_record_makes_the_same_decisions(start_fleet):
    fleet = start_fleet()
    for i in range(20):
        viewer = fleet.viewer(f"v{i}", f"/whep/{1 + i % 2}")
        if viewer.post(2).status == 201 and i % 3:
            viewer.delete()
    fleet.daemon.stop()
    (path,) = Path(fleet.folder).glob("*.record")
    with open(path, "rb") as lines:
        inputs, decisions, found = replay(lines)
    assert found is None and decisions > 40


def test_offers_of_the_stand_ins_pass_the_offer_check():
    from herongap.sdp import Endpoint, read_offer

    me = Endpoint("abcd", "p" * 24, "AA:BB", "127.0.0.1", 9, 77)
    assert read_offer(create_offer(me, "recvonly").encode(), "recvonly").identity[1] == "abcd"
