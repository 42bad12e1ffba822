"""Releases on their way when something ends: to a streamer, and to a viewer's side, on real connections.

A release is owed until it is heard. Each test has the peer that should hear it reset its connection, or take
none, at the stated step.
"""

import time

import gevent
import pytest
from helpers import closing
from node_world import World
from plain_peers import LONG_DEADLINES, ManualListener, PlainPeer, hand_over


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def world_with_manual_streamer(world, **more):
    """A controller whose one streamer is the test's, connection by connection; a viewing that plays there."""
    w = world(streamers=1, **more)
    (upstream,) = w.node.port.upstreams.values()
    listener = ManualListener()
    upstream.address = listener.address
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    peer = listener.wait_for_connection()
    w.until(lambda: peer.received("new", ref))
    peer.send(t="up", ref=ref, d="plays")
    w.until(lambda: client.received("up", ref))
    return w, listener, client, peer, ref


# Towards streamers.


def test_a_release_that_its_streamer_reset_unread_is_told_again(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    client.send(t="down", ref=ref, c=16)
    w.until(lambda: client.received("ack", ref))  # so the release has left, and lies unread at its streamer
    peer.reset()
    again = listener.wait_for_connection()
    w.until(lambda: again.received("down", ref))
    # Answered it is told no more.
    again.send(t="down", ref=ref, c=31)
    w.until(lambda: not w.node.host.viewings)
    again.reset()
    gevent.sleep(0.6)
    assert not listener.accept_if_waiting()
    listener.close()


def test_a_release_goes_on_what_stands_and_is_not_told_again_where_all_was_read(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    w.node.port._need(w.node.port.upstreams["s-00000000"])
    other = listener.wait_for_connection()
    w.until(lambda: len(w.node.port.lines()) == 2)
    client.send(t="down", ref=ref, c=16)
    w.until(lambda: client.received("ack", ref))
    w.until(lambda: peer.received("down", ref) or other.received("down", ref))
    told, spare = (peer, other) if peer.received("down", ref) else (other, peer)
    told.reset()  # it had read it and has not answered: nobody here can know
    w.until(lambda: spare.received("down", ref))
    assert not listener.accept_if_waiting(), "no connection is made for what another one can carry"
    listener.close()


def test_one_that_was_silent_is_told_of_all_that_it_may_play_to_nobody(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    second = w.request_viewing(client)
    w.until(lambda: peer.received("new", second))
    peer.send(t="up", ref=second, d="plays")
    w.until(lambda: client.received("up", second))
    client.send(t="down", ref=ref, c=16)  # into the connection of one that is cut off
    w.until(lambda: client.received("ack", ref))
    w.node.port.upstreams["s-00000000"].liveness.last_heard -= 60.0  # nothing was heard for a minute
    w.until(lambda: client.received("down", second))
    again = listener.wait_for_connection()  # and now it is back
    w.until(lambda: again.received("down", second) and again.received("down", ref))
    listener.close()


def test_the_process_does_not_end_while_a_streamer_is_owed_a_release(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world, **LONG_DEADLINES)
    second = w.request_viewing(client)
    w.until(lambda: peer.received("new", second))
    listener.fill_backlog()
    peer.send(t="down", ref=ref, c=16)
    w.until(lambda: client.received("down", ref))
    peer.reset()  # the other may have been set up, and play to nobody
    w.until(lambda: w.node.port.upstreams["s-00000000"].owed)
    client.send(t="down", ref=second, c=16)
    w.until(lambda: not w.node.viewers.sessions)
    gevent.spawn(w.node.stop)
    gevent.sleep(1.2)
    assert not w.node.stopped.is_set(), "nobody waits and nothing plays, but its streamer has not been told"
    listener.clear_backlog()
    again = listener.wait_for_connection()
    w.until(lambda: again.received("down", second))
    w.until(w.node.stopped.is_set, 0.5)
    listener.close()


# Towards viewers.


def test_a_release_without_a_way_goes_on_the_next_connection_that_is_answered_whatever_the_answer(world):
    w = world(streamers=1)
    (streamer,) = w.streamers.values()
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    w.until(lambda: client.received("up", ref))
    client.reset()
    w.until(lambda: not w.node.viewers.connections)
    streamer.kill()
    w.until(lambda: ref in w.node.viewers.owed)
    # Nobody is left to play anything: each set-up is blocked, and no viewing will stand here for long.
    other = PlainPeer(w.address)
    refused = w.request_viewing(other)
    w.until(lambda: other.received("down", refused))
    w.until(lambda: other.received("down", ref), 0.5)
    assert [m["c"] for m in other.received("down", ref)] == [41]


def test_a_release_without_a_way_goes_with_a_viewing_that_is_handed_over(world):
    w = world(streamers=2)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    w.until(lambda: client.received("up", ref))
    client.reset()
    w.until(lambda: not w.node.viewers.connections)
    (name,) = [name for name, s in w.streamers.items() if s.set_ups]
    (sound,) = set(w.streamers) - {name}
    w.streamers[name].kill()
    w.until(lambda: ref in w.node.viewers.owed)
    other = PlainPeer(w.address)
    hand_over(w, other, sound)
    w.until(lambda: other.received("down", ref), 0.5)


def test_a_viewing_handed_over_at_a_streamer_that_has_left_is_released(world):
    w = world(streamers=2)
    name = "s-00000000"
    w.streamers.pop(name).close()
    w.resolver.serial += 1
    w.until(lambda: name not in w.node.port.upstreams)
    assert name in w.node.host.module.streamers, "the module remembers it yet"
    client = PlainPeer(w.address)
    hand_over(w, client, name)
    w.until(lambda: client.received("down", "0123456789abcdef"), 1.0)
    assert not w.node.host.viewings and not w.node.viewers.sessions


# Who is gone, and who only closed its door.


def test_a_streamer_that_closes_its_door_plays_on(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    listener.sock.close()
    second = w.request_viewing(client)
    w.until(lambda: peer.received("new", second))
    peer.send(t="down", ref=second, c=34)  # it drains: full for what is new, and no connection is kept open
    peer.close()
    w.until(lambda: client.received("down", second))
    gevent.sleep(0.6)  # it has been dialled again, and refused
    assert ref in w.node.host.viewings and not client.received("down", ref)
    w.streamers.clear()
    w.resolver.serial += 1
    w.until(lambda: client.received("down", ref), 1.5)  # as soon as the list says that it has gone


def test_a_viewing_handed_over_at_a_streamer_whose_door_is_closed_plays_on_while_it_may_live(world):
    w = world(streamers=2)
    name = "s-00000000"
    w.streamers[name].listener.close()
    w.streamers[name]._greenlet.kill()
    client = PlainPeer(w.address)
    hand_over(w, client, name)
    w.until(lambda: w.node.host.viewings)
    gevent.sleep(0.6)
    assert w.node.host.viewings and not client.received("down")
    w.until(
        lambda: client.received("down"), 6.0
    )  # nobody hears of its end there: not for longer than is allowed


def test_what_played_before_its_streamers_newest_start_is_over(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    peer.reset()  # as it dies; back at once, before anybody noticed, it answers what is asked of it
    again = listener.wait_for_connection()
    started = time.time()
    second = w.request_viewing(client)
    w.until(lambda: again.received("new", second))
    again.send(t="up", ref=second, d="plays")
    w.until(lambda: client.received("up", second))
    w.started["s-00000000"] = int(started * 1000)
    w.resolver.serial += 1
    w.until(lambda: client.received("down", ref), 1.5)
    assert [m["c"] for m in client.received("down", ref)] == [41]
    assert second in w.node.host.viewings and not client.received("down", second)
