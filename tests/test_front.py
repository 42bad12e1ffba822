"""The front on loopback sockets against stand-in streamers: the hard cases, each caused."""

import json
import time
from pathlib import Path

import gevent
import pytest
from gevent import socket
from loopback import World

from herongap.daemon.http_connection import ClientConnection
from herongap.daemon.run import Daemon
from herongap.host import replay
from herongap.host.viewing import ViewingState
from herongap.http import problem_kind
from herongap.ini import read_site
from herongap.sdp import create_offer


@pytest.fixture
def world(tmp_path):
    made = []

    def make(**more):
        made.append(World(tmp_path, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()


def raw(world, data, wait=6.0):
    """What the front answers to bytes as they are; b"" if it hangs up."""
    sock = socket.create_connection(world.daemon.address, timeout=wait)
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


def test_a_whole_viewing_and_a_publisher(world):
    w = world()
    v = w.viewer()
    tried = v.post(2)
    assert tried.status == 201 and v.location.startswith("/sessions/") and w.playing() == 1
    assert v.trickle().status == 204
    assert v.trickle('"old"').status == 412 and problem_kind(v.trickle('"old"').body) == "stale-tag"
    assert v.restart_ice().status == 200 and v.trickle().status == 204
    assert (
        problem_kind(v.call("PATCH", [("Content-Type", "application/trickle-ice-sdpfrag")], b"x").body)
        == "tag-needed"
    )
    assert v.call("PATCH", [("Content-Type", "text/plain"), ("If-Match", "*")], b"x").status == 415
    assert v.delete() == 200 and w.playing() == 0 and v.delete() == 404
    p = w.viewer("p", "/whip/1", direction="sendonly")
    assert p.post(2).status == 201 and p.delete() == 200
    assert w.viewer("q", "/whip/1").post(2).kind == "bad-sdp", "a publisher must not only receive"
    assert w.viewer("u", "/whep/nope").post(2).kind == "no-such-title"
    assert v.call("OPTIONS", target="/whep/1").header("accept-post") == "application/sdp"
    assert v.call("GET", target="/whep/1").status == 405 and v.call("GET", target="/x").status == 404


def test_a_late_201_is_torn_down_and_is_no_second_tune_in(world):
    w = world()
    w.order("slow", by=0.3)  # past the first tune-in's 0.225 s; every streamer answers late
    tried = w.viewer().post(3)
    assert tried.status in (502, 503) or tried.status == 201
    w.until(lambda: w.playing() == (tried.status == 201))
    posts = [(at, who) for at, who, what, _ in w.saw if what == "post"]
    ends = [at for at, _, what, _ in w.saw if what in ("hung-up", "started")]
    assert len(posts) > 1 and all(end <= at for end, (at, _) in zip(ends, posts[1:], strict=False))


def test_an_answer_at_the_edge_of_patience_is_one_answer(world):
    w = world(streamers=1)
    for number, delay in enumerate((0.15, 0.205, 0.22, 0.23, 0.3)):
        w.order("heal")
        w.order("slow", by=delay)
        v = w.viewer(f"v{number}")
        tried = v.post(1.2)
        assert tried.status in (201, 502, 503) and tried.taken < 1.2
        if tried.status == 201:
            assert v.delete() == 200
        w.until(lambda: w.playing() == 0)
        gevent.sleep(0.0)
        st = w.daemon.host.module.streamers["s0"]
        st.set_aside_until = -1e9  # each delay is a trial of its own
    assert not w.daemon.host.viewings


def test_a_repeated_offer_is_one_viewing(world):
    w = world()
    w.order("slow", by=0.15)
    v = w.viewer()
    first = gevent.spawn(v.post, 2)
    gevent.sleep(0.03)
    assert v.post(2, hang_up=0.01).status == 0, "a short time-out of the client's own"
    second, third = gevent.spawn(v.post, 2), v.post(2)  # while it is set up
    answers = [first.get(), second.get(), third, v.post(2)]  # and after its 201
    assert {a.status for a in answers} == {201}
    assert len({a.reply.header("location") for a in answers}) == 1 and w.count("post") == 1
    assert v.delete() == 200
    assert v.post(2).kind == "session-over" and w.count("post") == 1  # after its DELETE
    w.order("heal")
    w.order("fail", part=1.0)
    b = w.viewer("b")
    assert b.post(2).status in (502, 503)
    w.order("heal")
    w.until(lambda: b.post(2).status == 201, seconds=20)  # after its 503 it comes again


def test_an_idempotency_key_names_the_viewing(world):
    w = world()
    key = [("Idempotency-Key", '"k1"')]
    a = w.viewer("a", headers=key)
    assert a.post(2).status == 201
    assert a.post(2).status == 201 and w.count("post") == 1
    assert w.viewer("b", headers=key).post(2).kind == "key-reused"


def test_a_viewer_gone_mid_set_up_lingers_then_is_called_off(world):
    w = world()
    w.order("hang")
    v = w.viewer()
    assert v.post(2, hang_up=0.05).status == 0
    w.until(lambda: w.count("hung-up") == w.count("post") > 0 and not w.daemon.host.viewings)
    w.order("heal")
    w.order("slow", by=0.1)
    for st in w.daemon.host.module.streamers.values():
        st.set_aside_until = -1e9
    v = w.viewer("v2")
    assert v.post(2, hang_up=0.05).status == 0
    w.until(lambda: w.playing() == 1)  # it started within the linger, with nobody there
    w.until(lambda: w.playing() == 0 and not w.daemon.host.viewings)  # and is taken down after it


def test_a_lost_answer_is_repeated_or_not_by_the_packages_terms(world):
    w = world()
    w.order("lose")
    assert w.viewer("p", "/whip/1", direction="sendonly").post(2).kind == "aborted"
    assert w.count("post") == 1, "it may have run: a second would publish twice"
    w.order("lose", "s0", "s1")
    assert w.viewer("v").post(2).status in (201, 502, 503) and w.count("post") > 2


def test_refusals_and_faults_of_streamers(world):
    w = world()
    w.order("fail", part=1.0)
    tried = w.viewer("a").post(2)
    assert tried.status == 503 and tried.reply.header("retry-after")
    w.order("heal")
    for st in w.daemon.host.module.streamers.values():
        st.set_aside_until = -1e9
    w.order("die", "s0")
    v = w.viewer("b", "/whep/2")
    assert v.post(2).status == 503  # its one holder is gone
    assert w.viewer("c").post(2).status == 201


def test_a_streamer_that_dies_or_falls_silent_ends_its_viewings(world):
    w = world(streamers=1)
    v = w.viewer()
    assert v.post(2).status == 201
    w.until(lambda: w.daemon.port.subscriptions)
    gevent.sleep(0.1)
    w.order("die")
    w.until(lambda: not w.daemon.host.viewings)
    assert v.delete() == 404
    w.order("start")
    w.lines["s0"]["started"] = time.time()
    w.relist()
    w.until(lambda: w.viewer("b").post(2).status == 201, seconds=20)


def test_a_drain_is_kept_and_a_list_that_empties_and_returns(world):
    w = world()
    assert w.viewer("a").post(2).status == 201
    w.relist(s0="leaving", s1="leaving")
    w.until(lambda: w.daemon.host.statuses["s1"].name == "LEAVING")
    before = w.count("post")
    assert [w.viewer(f"d{i}").post(2).status for i in range(6)] == [201] * 6
    assert {who for _, who, what, _ in w.saw if what == "post"} >= {"s2"}
    assert (
        w.count("post")
        == before + 6
        == before + len([1 for _, who, what, _ in w.saw[-200:] if what == "post" and who == "s2"][-6:])
    )
    good = (w.folder / "streamers.json").read_bytes()
    (w.folder / "streamers.json").write_text('{"streamers": []}')
    w.until(lambda: not w.daemon.host.statuses)
    assert w.viewer("e").post(2).status == 503
    (w.folder / "streamers.json").write_text('{"streamers": [{"id": "broken"')
    gevent.sleep(0.1)
    (w.folder / "streamers.json").write_bytes(good)
    w.until(lambda: w.viewer("f").post(2).status == 201)


def test_two_controllers_do_not_push_a_cold_streamer_over(tmp_path):
    folders = [tmp_path / "0", tmp_path / "1"]
    for folder in folders:
        folder.mkdir()
    w = World(folders[0], streamers=1, extra="")
    try:
        ini = (folders[0] / "front.ini").read_text().replace("listen", "controllers = 2\nlisten")
        ini = ini.replace("std = 400", "std = 40")
        for number, folder in enumerate(folders):
            w.lines["s0"]["started"] = time.time()
            (folder / "streamers.json").write_text(json.dumps({"streamers": list(w.lines.values())}))
            (folder / "catalogue.json").write_text('{"titles": {"1": ["s0"]}}')
            (folder / "front.ini").write_text(
                ini.replace("controllers", f"number = {number}\ncontrollers", 1)
            )
        w.daemon.kill()
        w.order("start")
        daemons = [Daemon(read_site(folder / "front.ini")) for folder in folders]
        for daemon in daemons:
            daemon.start()
        posting = []
        for i in range(120):
            w.daemon = daemons[i % 2]
            posting.append(gevent.spawn(w.viewer(f"v{i}").post, 2))
            gevent.sleep(0.01)
        statuses = [g.get().status for g in posting]
        assert 201 in statuses and set(statuses) <= {201, 503} and not w.count("fell")
        daemons[0].kill()
    finally:
        w.close()


def test_seats_and_floors_hold_on_the_sockets(world):
    w = world()
    posts = [gevent.spawn(w.viewer(f"v{i}", "/whep/1?package=priority").post, 2) for i in range(6)]
    statuses = sorted(g.get().status for g in posts)
    assert statuses == [201, 201, 503, 503, 503, 503] and w.playing() == 2
    assert all(s.rung >= 1 for st in w.streamers for s in st.sessions.values())
    assert w.viewer("x", "/whep/1?package=nope").post(2).kind == "not-allowed"


def test_metrics_are_served_apart_from_viewers(world):
    w = world()
    w.daemon.kill()
    ini = w.folder / "front.ini"
    ini.write_text(ini.read_text().replace("[front]", "[front]\nmetrics = 127.0.0.1:0"))
    w.daemon = Daemon(read_site(ini))
    w.daemon.start()
    assert w.viewer().post(2).status == 201
    text = w.viewer("m").call("GET", target="/metrics").body
    assert b"no-such-page" in text, "viewers see no metrics"
    scraper = w.viewer("s")
    scraper.front = w.daemon.metrics.address
    text = scraper.call("GET", target="/metrics").body.decode()
    assert (
        'herongap_answers_total{verdict="plays"} 1.0' in text and 'herongap_held{state="playing"} 1.0' in text
    )


def test_tokens_map_to_members_and_packages(world):
    w = world(extra="[token desk]\nsecret = letmein-please\nmember = desk\npackages = standard\n")
    assert w.viewer("a").post(2).kind == "no-credentials"
    assert w.viewer("b", headers=[("Authorization", "Bearer wrong")]).post(2).kind == "bad-credentials"
    mine = [("Authorization", "Bearer letmein-please")]
    v = w.viewer("c", headers=mine)
    assert v.post(2).status == 201
    assert w.viewer("d", "/whep/1?package=priority", headers=mine).post(2).kind == "not-allowed"
    v.headers = []
    assert v.delete() == 401
    v.headers = mine
    assert v.delete() == 200


def test_hostile_bytes_get_a_clear_error_and_the_others_are_served(world):
    w = world(extra="[limits]\nheader_seconds = 0.4\nbody_seconds = 0.4\nbody = 20000\nidle_seconds = 1\n")
    head = b"POST /whep/1 HTTP/1.1\r\nHost: x\r\nContent-Type: application/sdp\r\n"
    slow = gevent.spawn(raw, w, [])
    sock = socket.create_connection(w.daemon.address)
    sock.sendall(b"POST /whep/1 HT")  # and then a byte now and again
    assert b" 413 " in raw(w, head + b"Content-Length: 100000000\r\n\r\n")
    big = b"%x\r\n%s\r\n" % (15000, b"x" * 15000)
    assert b" 413 " in raw(w, head + b"Transfer-Encoding: chunked\r\n\r\n" + big * 2)
    assert b" 431 " in raw(w, b"GET / HTTP/1.1\r\n" + b"X-Y: z\r\n" * 5000)
    assert b" 400 " in raw(w, b"\x00\x01\x02\r\n\r\n")
    assert b" 400 " in raw(w, head + b"Content-Length: twelve\r\n\r\n")
    assert b" 408 " in raw(w, head + b"Content-Length: 50\r\n\r\nhalf")
    v = w.viewer()
    for body in (
        b"",
        b"v=0\r\n",
        b"\xff\xfe",
        v.offer.replace("a=ice-ufrag", "a=x").encode(),
        b"v=0\r\no=- 1 1\r\ns=-\r\n",
        v.offer.replace("actpass", "passive").encode(),
        v.offer.replace("recvonly", "sendonly").encode(),
    ):
        reply = v.call("POST", [("Content-Type", "application/sdp")], body, "/whep/1")
        assert reply.status == 400 and problem_kind(reply.body) == "bad-sdp", body
    assert v.call("POST", [("Content-Type", "text/html")], b"x", "/whep/1").status == 415
    for _ in range(8):
        try:
            sock.sendall(b"T")
        except OSError:
            break
        gevent.sleep(0.1)
    assert b" 408 " in sock.recv(4096)
    slow.kill()
    assert v.post(2).status == 201 and w.playing() == 1


def test_an_overloaded_front_says_so_at_once_and_keeps_what_it_holds(world):
    w = world(extra="[limits]\nsetting_up = 3\nconnections = 40\n")
    held = w.viewer("held")
    assert held.post(2).status == 201
    w.order("slow", by=0.15)
    posts = [gevent.spawn(w.viewer(f"v{i}").post, 2) for i in range(12)]
    tried = [g.get() for g in posts]
    refused = [t for t in tried if t.kind == "overloaded"]
    assert len(refused) == 9 and all(t.reply.header("retry-after") and t.taken < 0.15 for t in refused)
    idle = [socket.create_connection(w.daemon.address) for _ in range(60)]
    gevent.sleep(0.05)
    assert w.viewer("more").post(1).kind == "overloaded"
    for sock in idle:
        sock.close()
    w.until(lambda: w.daemon.overload_guard.open_connections < 30)
    assert held.delete() == 200


def test_an_orderly_stop_answers_all_that_was_taken(world):
    w = world()
    w.order("slow", by=0.12)
    v = w.viewer("v")
    posting = gevent.spawn(v.post, 2)
    w.until(lambda: w.count("post") == 1)
    stopping = gevent.spawn(w.daemon.stop)
    gevent.sleep(0.01)
    assert w.viewer("late").post(1).kind == "stopping"
    assert posting.get().status == 201
    stopping.get(timeout=4)
    assert not w.daemon.host.viewings and w.playing() == 0
    with pytest.raises(OSError):
        ClientConnection(w.daemon.address, 0.2)


def test_a_killed_front_ends_what_it_held_and_answers_nothing_twice(world):
    w = world()
    v = w.viewer()
    assert v.post(2).status == 201
    w.until(lambda: any(st.streams for st in w.streamers))
    w.daemon.kill()
    w.until(lambda: w.playing() == 0, seconds=8)  # its streamers see its event streams go
    assert w.count("ended", reason="front-gone") == 1


def test_rungs_are_set_by_layers_and_loads_come_back(world):
    w = world(streamers=1)
    viewers = [w.viewer(f"v{i}") for i in range(10)]
    assert [v.post(2).status for v in viewers] == [201] * 10
    asked = w.streamers[0].machine.demand
    w.order("sag", to=0.3)
    w.until(lambda: w.count("rung") > 0 and w.streamers[0].machine.demand < asked, seconds=10)
    host = w.daemon.host
    w.until(
        lambda: (
            sorted(host.module.viewings[v].rung for v in host.viewings)
            == sorted(s.rung for s in w.streamers[0].sessions.values())
        )
    )
    rung, playing = viewers[0].restart_ice(), [life.state for life in host.viewings.values()]
    assert rung.status == 200 and set(playing) == {ViewingState.PLAYING}


def test_the_library_alone_gives_what_the_daemon_gave(world):
    w = world()
    for i in range(20):
        v = w.viewer(f"v{i}", f"/whep/{1 + i % 2}")
        if v.post(2).status == 201 and i % 3:
            v.delete()
    w.daemon.stop()
    (path,) = Path(w.folder).glob("*.record")
    with open(path, "rb") as lines:
        inputs, decisions, found = replay(lines)
    assert found is None and decisions > 40


def test_offers_of_the_stand_ins_are_what_the_front_checks():
    from herongap.sdp import Endpoint, read_offer

    me = Endpoint("abcd", "p" * 24, "AA:BB", "127.0.0.1", 9, 77)
    assert read_offer(create_offer(me, "recvonly").encode(), "recvonly").identity[1] == "abcd"
