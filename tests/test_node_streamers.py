"""The platform's controller on loopback: what it holds at streamers, and what becomes of that."""

import time

import gevent
import pytest
from helpers import closing
from node_world import SETTINGS, World


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def test_viewings_handed_over_are_held_and_their_ends_told(world):
    w = world()
    v = w.viewer()
    extras = "home:0;copies:3;top:2;viewer:01;at:"
    at, gone = "s-00000001", "s-deadbeef"
    first = w.request_viewing(v, left="4294967", extras=extras + at)
    w.request_viewing(v, ref=first, left="4294967", extras=extras + at)  # those already held are passed over
    lost = w.request_viewing(v, left="4294967", extras=extras + gone)
    w.until(lambda: v.received("down", lost))  # where it would play, nobody is
    w.until(lambda: w.streamers[at].peers)
    peer = w.streamers[at].peers[0]
    peer.send(t="tell", ref=first, f={"note": "at_rung", "value": "2"})
    w.until(lambda: w.node.host.viewings[first].rung == 2)
    peer.send(t="down", ref=first, c=16)
    w.until(lambda: v.received("down", first))
    assert not v.received("up") and not w.node.host.viewings


PATIENT = [dict(SETTINGS["Grades"][0], Aim=6000.0, Deadline=9000.0), SETTINGS["Grades"][1]]


def playing_at_once(w, viewer, number):
    """Viewings whose set-ups were all open together, each on a connection; (peer, message) of each."""
    (s,) = w.streamers.values()
    waiting = []
    s.on_set_up = lambda peer, m: waiting.append((peer, m))
    for i in range(number):
        w.request_viewing(viewer, left="8000")
        w.until(lambda: len(waiting) == i + 1)  # noqa: B023
    for peer, m in waiting:
        s.play(peer, m)
    w.until(lambda: len(viewer.received("up")) == number)
    return waiting


def test_a_release_on_its_way_is_not_lost_with_a_connection_that_is_let_go(world):
    w = world(streamers=1, Grades=PATIENT)
    v = w.viewer()
    waiting = playing_at_once(w, v, 4)
    lines = w.node.port.lines()
    assert len(lines) == 4
    for line in lines:
        line.spoke -= 60.0  # long idle: the next look lets two of them go
    for peer, m in waiting:
        peer.send(t="down", ref=m["ref"], c=16)
    w.node.port.tend()  # before anything of this has been read
    w.until(lambda: len(v.received("down")) == 4, seconds=1.0)


def test_a_connection_that_breaks_while_idle_is_replaced_where_viewings_play(world):
    w = world(streamers=1, Grades=PATIENT)
    (s,) = w.streamers.values()
    waiting = playing_at_once(w, w.viewer(), 2)
    waiting[0][0].close()
    w.until(lambda: len(s.peers) == 3)


def test_another_id_at_a_streamers_address_ends_what_played_there(world):
    w = world(streamers=2)
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    old = w.node.host.viewings[ref].streamer
    same = w.streamers.pop(old)
    w.streamers["s-00000009"] = same  # it answers tests all the while
    w.resolver.serial += 1
    w.until(lambda: v.received("down", ref))
    again = w.request_viewing(v)
    w.until(lambda: v.received("up", again))
    assert w.node.host.viewings[again].streamer != old


def test_a_streamer_that_has_just_started_is_sent_no_more_than_its_pace(world):
    places = dict(SETTINGS["FamilyInfo"], KindSlots=[20])
    w = world(streamers=1, FamilyInfo=places)
    (sid,) = w.streamers
    w.started[sid] = int(time.time() * 1000)
    w.resolver.serial = 2
    w.until(lambda: w.node.resolver.serial == 2)
    v = w.viewer()
    refs = []
    for _ in range(20):
        refs.append(w.request_viewing(v))
        gevent.sleep(0.05)
    w.until(lambda: len(v.received("up")) + len(v.received("down")) == 20)
    # 20 places over 12 s, at 0.4 of its warmth, 2.5 times: under two a second, for all controllers together.
    assert len(w.streamers[sid].set_ups) <= 2
    assert all(m["c"] == 34 for m in v.received("down"))


def test_a_streamer_that_leaves_while_a_connection_to_it_comes_up_costs_nobody_an_answer(world):
    w = world(streamers=1)
    port = w.node.port
    (name,) = w.streamers

    def hangs(upstream, time_out):
        gevent.sleep(time_out)
        raise TimeoutError("timed out")

    port._open = hangs
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: port.attempts)
    w.streamers.clear()
    w.resolver.serial = 2
    w.node.resolver.nudge.set()
    w.until(lambda: port.upstreams[name].gone)
    port.tend()
    assert name in port.upstreams  # its tune-in is on no line yet, and has to be called off
    w.until(lambda: v.received("down", ref))
    port.tend()
    assert name not in port.upstreams


def test_the_timer_goes_on_after_a_fault_of_ours(world, monkeypatch):
    w = world()
    woken = []

    def woke(now):
        woken.append(now)
        if len(woken) == 1:
            raise RuntimeError("planted")

    w.until(lambda: w.node.port.alarm.due < float("inf"))
    monkeypatch.setattr(w.node.host, "woke", woke)
    w.until(lambda: len(woken) == 2)
