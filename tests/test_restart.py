"""The platform's controller on loopback: after SIGTERM, on each sort of connection; when changes are told."""

import time

import gevent
import pytest
from helpers import closing
from node_world import FakeResolver, World

from herongap.interface import StreamerStatus


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def stopped(w, seconds):
    w.until(w.node.stopped.is_set, seconds)


def test_a_planned_restart_serves_what_still_comes_and_answers_all(world):
    w = world()
    v = w.viewer()
    held = []
    for s in w.streamers.values():
        s.on_set_up = lambda peer, m: held.append((peer, m))
    first = w.request_viewing(v)
    stopping = gevent.spawn(w.node.stop)
    gevent.sleep(0.1)
    new = w.viewer()
    second = w.request_viewing(new)
    w.until(lambda: len(held) >= 2)
    gevent.sleep(0.2)
    for peer, m in held:
        peer.send(t="up", ref=m["ref"], d="late but whole")
    w.until(
        lambda: (
            (v.received("up", first) or v.received("down", first))
            and (new.received("up", second) or new.received("down", second))
        )
    )
    assert [v.received("up", first), new.received("up", second)] != [[], []]
    for ref in (first, second):
        for s in w.streamers.values():
            for peer in s.peers:
                peer.send(t="down", ref=ref, c=16)
    stopping.join(timeout=4.0)
    assert w.node.stopped.is_set()


def test_what_plays_plays_on_after_sigterm_and_its_end_is_told(world):
    w = world()
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    (streamer,) = [s for s in w.streamers.values() if s.set_ups]
    gevent.spawn(w.node.stop)
    gevent.sleep(1.2)
    assert not w.node.stopped.is_set() and not streamer.received_count("down", ref)
    streamer.peers[0].send(t="down", ref=ref, c=16)
    w.until(lambda: v.received("down", ref))
    stopped(w, 0.5)


def test_a_set_up_that_comes_too_late_is_refused_at_once_on_the_connection_that_is_open(world):
    w = world()
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    gevent.spawn(w.node.stop)
    w.until(lambda: w.node.viewers.shutting_down, 1.5)
    late = w.request_viewing(v)
    w.until(lambda: v.received("down", late), 0.3)
    assert v.received("down", late)[0]["c"] == 42
    with pytest.raises(OSError):
        w.viewer()


def test_a_process_that_comes_late_takes_what_reached_it_before_it_stops_listening(world):
    w = world()
    v = w.viewer()
    idle = w.viewer()
    v.send(t="hb", ref="01", c=0)
    w.until(lambda: v.received("hb_ok"))
    gevent.spawn(w.node.stop)
    gevent.sleep(0.55)
    new = w.viewer()  # its machine has accepted it; the process does not come to it for a while
    refs = [(peer, w.request_viewing(peer)) for peer in (v, idle, new)]
    half = w.viewer()
    half.send_raw(b'{"t":"new","ref":"00112233')
    time.sleep(0.35)  # beyond the time at which it stops listening
    for peer, ref in refs:
        w.until(lambda: peer.received("up", ref) or peer.received("down", ref))  # noqa: B023
    half.close()
    # Late as it was it may refuse, but what reached it in time has its one answer.
    assert all(len(peer.received("up", ref)) + len(peer.received("down", ref)) == 1 for peer, ref in refs)


def drained(w, name="s-00000000"):
    return lambda: w.node.host.statuses.get(name) is StreamerStatus.LEAVING


def test_a_change_is_known_before_it_counts_as_told_though_answers_get_lost(world):
    w = world(streamers=2)
    w.until(lambda: w.resolver.query_count > 1)
    lost = []
    w.resolver.filter_answer = lambda data: lost.append(1) if len(lost) < 3 else data
    w.draining.add("s-00000000")
    w.resolver.serial += 1
    w.until(drained(w), 1.5 + 0.25)  # told 1.5 s after it happened at the latest, and 0.25 s for the drain
    assert len(lost) == 3


def test_a_change_is_known_in_time_when_the_resolver_was_silent_for_three_seconds(world):
    w = world(streamers=2)
    w.resolver.filter_answer = lambda data: None
    w.draining.add("s-00000000")
    w.resolver.serial += 1
    gevent.sleep(3.0)
    assert not drained(w)()
    w.resolver.filter_answer = lambda data: data
    w.until(drained(w), 4.5 - 3.0)


def test_a_change_is_known_in_time_after_sighup_moved_the_resolver(world):
    w = world(streamers=2)
    w.until(lambda: w.resolver.query_count > 1)
    second = FakeResolver(w)
    w.resolver.filter_answer = lambda data: None  # the old one no longer answers
    w.draining.add("s-00000000")
    second.serial = 2
    w.configure(second.address)
    w.node.reload()
    w.until(drained(w), 1.0)  # of 4 s
    second.close()


def test_a_controller_that_has_just_started_knows_what_its_configuration_holds_at_once(world):
    w = world(streamers=2)
    assert set(w.node.host.statuses) == set(w.streamers) and w.node.resolver.serial == 1
