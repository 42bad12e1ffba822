"""The platform controller on loopback: the viewings that it holds at streamers, and how they end."""

import time

import gevent
import pytest
from helpers import closing
from node_world import SETTINGS, FakeStreamer, World


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def test_viewings_that_are_handed_over_are_held_until_they_end(world):
    w = world()
    viewer = w.viewer()
    extras = "home:0;copies:3;top:2;viewer:01;at:"
    streamer, missing = "s-00000001", "s-deadbeef"
    first = w.request_viewing(viewer, left="4294967", extras=extras + streamer)
    # A viewing that is held already is ignored.
    w.request_viewing(viewer, ref=first, left="4294967", extras=extras + streamer)
    lost = w.request_viewing(viewer, left="4294967", extras=extras + missing)
    w.until(lambda: viewer.received("down", lost))  # its streamer does not exist
    w.until(lambda: w.streamers[streamer].peers)
    peer = w.streamers[streamer].peers[0]
    peer.send(t="tell", ref=first, f={"note": "at_rung", "value": "2"})
    w.until(lambda: w.node.host.viewings[first].rung == 2)
    peer.send(t="down", ref=first, c=16)
    w.until(lambda: viewer.received("down", first))
    assert not viewer.received("up") and not w.node.host.viewings


LONG_DEADLINES = [dict(SETTINGS["Grades"][0], Aim=6000.0, Deadline=9000.0), SETTINGS["Grades"][1]]


def playing_at_once(w, viewer, number):
    """Start viewings at the same time, so that each has a connection; return (peer, message) of each."""
    (streamer,) = w.streamers.values()
    waiting = []
    streamer.on_set_up = lambda peer, message: waiting.append((peer, message))
    for i in range(number):
        w.request_viewing(viewer, left="8000")
        w.until(lambda: len(waiting) == i + 1)  # noqa: B023
    for peer, message in waiting:
        streamer.play(peer, message)
    w.until(lambda: len(viewer.received("up")) == number)
    return waiting


def test_a_release_in_transit_is_not_lost_when_a_surplus_connection_is_closed(world):
    w = world(streamers=1, Grades=LONG_DEADLINES)
    viewer = w.viewer()
    waiting = playing_at_once(w, viewer, 4)
    connections = w.node.port.connections()
    assert len(connections) == 4
    for connection in connections:
        connection.last_received -= 60.0  # long idle: the next maintenance closes two of them
    for peer, message in waiting:
        peer.send(t="down", ref=message["ref"], c=16)
    w.node.port.maintain()  # before any of the releases has been read
    w.until(lambda: len(viewer.received("down")) == 4, seconds=1.0)


def test_a_broken_idle_connection_is_replaced_if_viewings_play_at_the_streamer(world):
    w = world(streamers=1, Grades=LONG_DEADLINES)
    (streamer,) = w.streamers.values()
    waiting = playing_at_once(w, w.viewer(), 2)
    waiting[0][0].close()
    w.until(lambda: len(streamer.peers) == 3)


def test_another_streamer_at_an_address_ends_the_viewings_of_the_old_one(world):
    w = world(streamers=2)
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    old = w.node.host.viewings[ref].streamer
    same = w.streamers.pop(old)
    w.streamers["s-00000009"] = same  # it answers heartbeats all the time
    w.resolver.serial += 1
    w.until(lambda: viewer.received("down", ref))
    again = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", again))
    assert w.node.host.viewings[again].streamer != old


# Guards against: a viewing that was set up at a new process, by the name of the old one, plays on for nobody.
def test_viewings_at_a_new_streamer_that_was_taken_for_the_old_one_are_stopped_there(world):
    w = world(streamers=1)
    ((name, old),) = w.streamers.items()
    w.until(lambda: w.node.resolver.serial)
    old.kill()
    new = FakeStreamer(old.address)  # the list does not tell yet
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    w.streamers = {"s-00000009": new}
    w.resolver.serial += 1
    w.until(lambda: viewer.received("down", ref))
    w.until(lambda: new.received_count("down", ref) == 1)
    old.close()


def test_viewings_that_a_restarted_streamer_may_play_are_stopped_there(world):
    w = world(streamers=1)
    ((name, streamer),) = w.streamers.items()
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    w.started[name] = int((time.time() + 1) * 1000)  # by the list it started after the set-up
    w.resolver.serial += 1
    w.until(lambda: viewer.received("down", ref))
    w.until(lambda: streamer.received_count("down", ref) == 1)


# Guards against: a connection that is opened for one that left the list carries what the new one there sends.
def test_a_streamer_that_left_the_list_is_not_dialled_for_pending_messages(world):
    w = world(streamers=2)
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    name = w.node.host.viewings[ref].streamer
    old = w.streamers.pop(name)
    w.resolver.serial += 1
    w.until(lambda: w.node.port.upstreams[name].delisted)
    for peer in old.peers:
        peer.close()
    upstream = w.node.port.upstreams[name]
    w.until(lambda: not upstream.connections)
    opened = len(old.peers)
    w.node.port.set_rung(ref, 0, name, 1)
    gevent.sleep(0.1)
    assert len(old.peers) == opened
    old.close()


def test_a_starting_streamer_gets_no_more_set_ups_than_slow_start_allows(world):
    places = dict(SETTINGS["FamilyInfo"], KindSlots=[20])
    w = world(streamers=1, FamilyInfo=places)
    (sid,) = w.streamers
    w.started[sid] = int(time.time() * 1000)
    w.resolver.serial = 2
    w.until(lambda: w.node.resolver.serial == 2)
    viewer = w.viewer()
    refs = []
    for _ in range(20):
        refs.append(w.request_viewing(viewer))
        gevent.sleep(0.05)
    w.until(lambda: len(viewer.received("up")) + len(viewer.received("down")) == 20)
    # 20 places over 12 s, at 0.4 of the full rate, times 2.5: under two a second, for all controllers.
    assert len(w.streamers[sid].set_ups) <= 2
    assert all(message["c"] == 34 for message in viewer.received("down"))


def test_a_set_up_is_answered_though_its_streamer_leaves_while_it_is_dialled(world):
    w = world(streamers=1)
    port = w.node.port
    (name,) = w.streamers

    def hang(upstream, time_out):
        gevent.sleep(time_out)
        raise TimeoutError("timed out")

    port._connect = hang
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: port.attempts)
    w.streamers.clear()
    w.resolver.serial = 2
    w.node.resolver.poll_now.set()
    w.until(lambda: port.upstreams[name].delisted)
    port.maintain()
    assert name in port.upstreams  # its tune-in has no connection yet, and must be called off
    w.until(lambda: viewer.received("down", ref))
    port.maintain()
    assert name not in port.upstreams


def test_the_timer_continues_after_an_internal_error(world, monkeypatch):
    w = world()
    woken = []

    def woke(now):
        woken.append(now)
        if len(woken) == 1:
            raise RuntimeError("planted")

    w.until(lambda: w.node.port.timer.due < float("inf"))
    monkeypatch.setattr(w.node.host, "woke", woke)
    w.until(lambda: len(woken) == 2)
