"""The platform controller on loopback: a graceful shutdown, and how soon changes of the list are known."""

import time

import gevent
import pytest
from helpers import closing
from node_world import FakeResolver, World

from herongap.interface import StreamerStatus


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def wait_until_stopped(w, seconds):
    w.until(w.node.stopped.is_set, seconds)


def test_set_ups_during_a_graceful_shutdown_are_served_and_answered(world):
    w = world()
    viewer = w.viewer()
    held = []
    for streamer in w.streamers.values():
        streamer.on_set_up = lambda peer, message: held.append((peer, message))
    first = w.request_viewing(viewer)
    stopping = gevent.spawn(w.node.stop)
    gevent.sleep(0.1)
    new = w.viewer()
    second = w.request_viewing(new)
    w.until(lambda: len(held) >= 2)
    gevent.sleep(0.2)
    for peer, message in held:
        peer.send(t="up", ref=message["ref"], d="late but whole")
    w.until(
        lambda: (
            (viewer.received("up", first) or viewer.received("down", first))
            and (new.received("up", second) or new.received("down", second))
        )
    )
    assert [viewer.received("up", first), new.received("up", second)] != [[], []]
    for ref in (first, second):
        for streamer in w.streamers.values():
            for peer in streamer.peers:
                peer.send(t="down", ref=ref, c=16)
    stopping.join(timeout=4.0)
    assert w.node.stopped.is_set()


def test_a_viewing_plays_on_after_sigterm_and_its_viewer_is_told_of_its_end(world):
    w = world()
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    (streamer,) = [streamer for streamer in w.streamers.values() if streamer.set_ups]
    gevent.spawn(w.node.stop)
    gevent.sleep(1.2)
    assert not w.node.stopped.is_set() and not streamer.received_count("down", ref)
    streamer.peers[0].send(t="down", ref=ref, c=16)
    w.until(lambda: viewer.received("down", ref))
    wait_until_stopped(w, 0.5)


def test_a_set_up_that_comes_too_late_is_refused_at_once_on_its_open_connection(world):
    w = world()
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    gevent.spawn(w.node.stop)
    w.until(lambda: w.node.viewers.shutting_down, 1.5)
    late = w.request_viewing(viewer)
    w.until(lambda: viewer.received("down", late), 0.3)
    assert viewer.received("down", late)[0]["c"] == 42
    with pytest.raises(OSError):
        w.viewer()


def test_a_late_process_answers_what_arrived_before_it_stops_listening(world):
    w = world()
    viewer = w.viewer()
    idle = w.viewer()
    viewer.send(t="hb", ref="01", c=0)
    w.until(lambda: viewer.received("hb_ok"))
    gevent.spawn(w.node.stop)
    gevent.sleep(0.55)
    new = w.viewer()  # the system has accepted it; the process has not yet
    refs = [(peer, w.request_viewing(peer)) for peer in (viewer, idle, new)]
    half = w.viewer()
    half.send_raw(b'{"t":"new","ref":"00112233')
    time.sleep(0.35)  # past the time at which the process stops listening
    for peer, ref in refs:
        w.until(lambda: peer.received("up", ref) or peer.received("down", ref))  # noqa: B023
    half.close()
    # A late process may refuse, but what arrived in time gets exactly one answer.
    assert all(len(peer.received("up", ref)) + len(peer.received("down", ref)) == 1 for peer, ref in refs)


def is_leaving(w, name="s-00000000"):
    """Return a condition: the controller knows that the streamer drains."""
    return lambda: w.node.host.statuses.get(name) is StreamerStatus.LEAVING


def test_a_change_is_known_in_time_though_answers_are_lost(world):
    w = world(streamers=2)
    w.until(lambda: w.resolver.query_count > 1)
    lost = []
    w.resolver.filter_answer = lambda data: lost.append(1) if len(lost) < 3 else data
    w.draining.add("s-00000000")
    w.resolver.serial += 1
    w.until(is_leaving(w), 1.5 + 0.25)  # published at most 1.5 s after it happened, and 0.25 s for the drain
    assert len(lost) == 3


def test_a_change_is_known_in_time_when_the_resolver_was_silent_for_three_seconds(world):
    w = world(streamers=2)
    w.resolver.filter_answer = lambda data: None
    w.draining.add("s-00000000")
    w.resolver.serial += 1
    gevent.sleep(3.0)
    assert not is_leaving(w)()
    w.resolver.filter_answer = lambda data: data
    w.until(is_leaving(w), 4.5 - 3.0)


def test_a_change_is_known_in_time_after_sighup_moved_the_resolver(world):
    w = world(streamers=2)
    w.until(lambda: w.resolver.query_count > 1)
    second = FakeResolver(w)
    w.resolver.filter_answer = lambda data: None  # the old one no longer answers
    w.draining.add("s-00000000")
    second.serial = 2
    w.configure(second.address)
    w.node.reload()
    w.until(is_leaving(w), 1.0)  # 4 s are allowed
    second.close()


def test_a_controller_knows_the_list_of_its_configuration_from_the_start(world):
    w = world(streamers=2)
    assert set(w.node.host.statuses) == set(w.streamers) and w.node.resolver.serial == 1
