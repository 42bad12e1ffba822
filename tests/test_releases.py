"""Releases that are in transit when something ends: to a streamer, and to a viewer, on real connections.

A release is pending until it is acknowledged. In each test the peer that should receive it resets its
connection, or accepts none, at a certain step.
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
    """Start a viewing at a streamer that is played by the test, connection by connection."""
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


# Releases to streamers.


def test_a_release_that_was_reset_unread_is_sent_again(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    client.send(t="down", ref=ref, c=16)
    w.until(lambda: client.received("ack", ref))  # the release is sent, and unread at the streamer
    peer.reset()
    again = listener.wait_for_connection()
    w.until(lambda: again.received("down", ref))
    # Once it is answered it is not sent again.
    again.send(t="down", ref=ref, c=31)
    w.until(lambda: not w.node.host.viewings)
    again.reset()
    gevent.sleep(0.6)
    assert not listener.accept_if_waiting()
    listener.close()


def test_a_lost_release_is_sent_on_another_open_connection(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    w.node.port._ensure_connection(w.node.port.upstreams["s-00000000"])
    other = listener.wait_for_connection()
    w.until(lambda: len(w.node.port.connections()) == 2)
    client.send(t="down", ref=ref, c=16)
    w.until(lambda: client.received("ack", ref))
    w.until(lambda: peer.received("down", ref) or other.received("down", ref))
    first, second = (peer, other) if peer.received("down", ref) else (other, peer)
    first.reset()  # it read the release, which the controller cannot know without an answer
    w.until(lambda: second.received("down", ref))
    assert not listener.accept_if_waiting(), "no connection is opened while another one can carry it"
    listener.close()


def test_a_silent_streamer_gets_all_releases_when_it_is_back(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    second = w.request_viewing(client)
    w.until(lambda: peer.received("new", second))
    peer.send(t="up", ref=second, d="plays")
    w.until(lambda: client.received("up", second))
    client.send(t="down", ref=ref, c=16)  # as if it were cut off
    w.until(lambda: client.received("ack", ref))
    w.node.port.upstreams["s-00000000"].liveness.last_heard -= 60.0  # silent for a minute
    w.until(lambda: client.received("down", second))
    again = listener.wait_for_connection()  # it is back
    w.until(lambda: again.received("down", second) and again.received("down", ref))
    listener.close()


def keep_alive(w, peer):
    """Have a streamer send something on a connection now and then, so that it never counts as silent."""

    def send():
        while not peer.is_closed():
            peer.send(t="wait", ref="00000000000000ff")
            gevent.sleep(0.2)

    gevent.spawn(send)


def world_with_a_lost_answer(world):
    """Have the answer to a set-up get lost while a viewing plays and another connection is open.

    Return the world, the listener, the client, and the streamer's connection on which nothing arrives any
    more; the release of a viewing is lost on it too.
    """
    w, listener, client, first, ref = world_with_manual_streamer(world)
    w.node.port._ensure_connection(w.node.port.upstreams["s-00000000"])
    second = listener.wait_for_connection()
    w.until(lambda: len(w.node.port.connections()) == 2)
    set_up = w.request_viewing(client)
    w.until(lambda: first.received("new", set_up) or second.received("new", set_up))
    dead, sound = (first, second) if first.received("new", set_up) else (second, first)
    keep_alive(w, sound)
    return w, listener, client, dead, ref


# Guards against: a release that is lost with an answer is never sent again, as no connection is opened.
@pytest.mark.parametrize("closes", [False, True], ids=["its end never arrives", "the streamer closes it"])
def test_a_connection_is_opened_for_releases_that_were_lost_with_an_answer(world, closes):
    w, listener, client, dead, ref = world_with_a_lost_answer(world)
    if closes:
        w.until(dead.is_closed)  # the controller half-closes it
        dead.close()
    again = listener.wait_for_connection()
    again.send(t="down", ref=ref, c=16)
    w.until(lambda: client.received("down", ref))
    listener.close()


# Guards against: the same, if that connection does not come up at the first try.
def test_a_connection_for_lost_releases_is_dialled_until_it_opens(world):
    w, listener, client, dead, ref = world_with_a_lost_answer(world)
    listener.fill_backlog()
    w.until(dead.is_closed)
    dead.close()
    gevent.sleep(1.0)  # some dials time out
    listener.clear_backlog()
    again = listener.wait_for_connection()
    again.send(t="down", ref=ref, c=16)
    w.until(lambda: client.received("down", ref))
    listener.close()


# Guards against: a connection is opened for each idle one that is closed, and no release can have been lost.
def test_no_connection_is_opened_when_an_idle_one_is_closed_by_both_sides(world):
    w, listener, client, first, ref = world_with_manual_streamer(world)
    w.node.port._ensure_connection(w.node.port.upstreams["s-00000000"])
    second = listener.wait_for_connection()
    w.until(lambda: len(w.node.port.connections()) == 2)
    keep_alive(w, second)
    idle = next(c for c in w.node.port.connections() if c.sock.getsockname() == first.sock.getpeername())
    idle.last_received -= 60.0
    w.until(first.is_closed)
    first.close()
    w.until(lambda: len(w.node.port.connections()) == 1)
    gevent.sleep(0.6)
    assert not listener.accept_if_waiting()
    listener.close()


def test_the_process_does_not_exit_while_a_release_is_pending(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world, **LONG_DEADLINES)
    second = w.request_viewing(client)
    w.until(lambda: peer.received("new", second))
    listener.fill_backlog()
    peer.send(t="down", ref=ref, c=16)
    w.until(lambda: client.received("down", ref))
    peer.reset()  # the second viewing may have started, and would play for no viewer
    w.until(lambda: w.node.port.upstreams["s-00000000"].pending)
    client.send(t="down", ref=second, c=16)
    w.until(lambda: not w.node.viewers.sessions)
    gevent.spawn(w.node.stop)
    gevent.sleep(1.2)
    assert not w.node.stopped.is_set(), "no request waits and no viewing plays, but a release is pending"
    listener.clear_backlog()
    again = listener.wait_for_connection()
    w.until(lambda: again.received("down", second))
    w.until(w.node.stopped.is_set, 0.5)
    listener.close()


# Releases to viewers.


def test_a_pending_release_is_sent_on_the_next_connection_that_gets_any_answer(world):
    w = world(streamers=1)
    (streamer,) = w.streamers.values()
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    w.until(lambda: client.received("up", ref))
    client.reset()
    w.until(lambda: not w.node.viewers.connections)
    streamer.kill()
    w.until(lambda: ref in w.node.viewers.pending_releases)
    # No streamer is left: each set-up is refused, so that no connection with a playing viewing will open.
    other = PlainPeer(w.address)
    refused = w.request_viewing(other)
    w.until(lambda: other.received("down", refused))
    w.until(lambda: other.received("down", ref), 0.5)
    assert [message["c"] for message in other.received("down", ref)] == [41]


def test_a_pending_release_is_sent_on_the_connection_of_a_handover(world):
    w = world(streamers=2)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    w.until(lambda: client.received("up", ref))
    client.reset()
    w.until(lambda: not w.node.viewers.connections)
    (name,) = [name for name, streamer in w.streamers.items() if streamer.set_ups]
    (healthy,) = set(w.streamers) - {name}
    w.streamers[name].kill()
    w.until(lambda: ref in w.node.viewers.pending_releases)
    other = PlainPeer(w.address)
    hand_over(w, other, healthy)
    w.until(lambda: other.received("down", ref), 0.5)


def test_a_viewing_that_is_handed_over_at_a_streamer_that_has_left_is_released(world):
    w = world(streamers=2)
    name = "s-00000000"
    w.streamers.pop(name).close()
    w.resolver.serial += 1
    w.until(lambda: name not in w.node.port.upstreams)
    assert name in w.node.host.module.streamers, "the deciding module still remembers it"
    client = PlainPeer(w.address)
    hand_over(w, client, name)
    w.until(lambda: client.received("down", "0123456789abcdef"), 1.0)
    assert not w.node.host.viewings and not w.node.viewers.sessions


# Streamers that are gone, and streamers that only refuse connections.


def test_viewings_continue_at_a_streamer_that_refuses_connections(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    listener.sock.close()
    second = w.request_viewing(client)
    w.until(lambda: peer.received("new", second))
    peer.send(t="down", ref=second, c=34)  # it drains: it refuses set-ups and closes its connections
    peer.close()
    w.until(lambda: client.received("down", second))
    gevent.sleep(0.6)  # it has been dialled again and has refused
    assert ref in w.node.host.viewings and not client.received("down", ref)
    w.streamers.clear()
    w.resolver.serial += 1
    w.until(lambda: client.received("down", ref), 1.5)  # as soon as it has left the list


def test_a_viewing_handed_over_at_a_streamer_that_refuses_connections_is_held_until_silence(world):
    w = world(streamers=2)
    name = "s-00000000"
    w.streamers[name].listener.close()
    w.streamers[name]._greenlet.kill()
    client = PlainPeer(w.address)
    hand_over(w, client, name)
    w.until(lambda: w.node.host.viewings)
    gevent.sleep(0.6)
    assert w.node.host.viewings and not client.received("down")
    # Its end could not be reported from there, so it is held no longer than is allowed.
    w.until(lambda: client.received("down"), 6.0)


def test_viewings_from_before_a_restart_of_their_streamer_are_ended(world):
    w, listener, client, peer, ref = world_with_manual_streamer(world)
    peer.reset()  # it dies, and is back at once, before its silence is noticed
    again = listener.wait_for_connection()
    started = time.time()
    second = w.request_viewing(client)
    w.until(lambda: again.received("new", second))
    again.send(t="up", ref=second, d="plays")
    w.until(lambda: client.received("up", second))
    w.started["s-00000000"] = int(started * 1000)
    w.resolver.serial += 1
    w.until(lambda: client.received("down", ref), 1.5)
    assert [message["c"] for message in client.received("down", ref)] == [41]
    assert second in w.node.host.viewings and not client.received("down", second)


# Releases to viewers whose own connections are closed.


def viewings_without_connection(world, number, **settings):
    """Start viewings whose connection then ends; return the world, a streamer's peer and the viewings."""
    w = world(streamers=1, **settings)
    (streamer,) = w.streamers.values()
    client = PlainPeer(w.address)
    refs = []
    for _ in range(number):
        refs.append(w.request_viewing(client))
        w.until(lambda: client.received("up", refs[-1]))
    client.close()
    w.until(lambda: not w.node.viewers.connections)
    return w, streamer, refs


def end_at_streamer(w, streamer, ref):
    """Have the streamer end a viewing, and wait until the controller knows."""
    streamer.peers[0].send(t="down", ref=ref, c=16)
    w.until(lambda: streamer.received_count("ack", ref))


# Guards against: a release waits although viewers have a connection open, as no set-up was answered on it.
@pytest.mark.parametrize("waits", [False, True], ids=["release after it", "release before it"])
def test_a_release_is_sent_where_a_viewer_ended_another_viewing(world, waits):
    w, streamer, (first, second) = viewings_without_connection(world, 2)
    if waits:
        end_at_streamer(w, streamer, second)
    other = PlainPeer(w.address)
    other.send(t="down", ref=first, c=16)
    w.until(lambda: other.received("ack", first))
    if not waits:
        end_at_streamer(w, streamer, second)
    w.until(lambda: other.received("down", second), 1.0)
    other.send(t="ack", ref=second)
    w.until(lambda: not w.node.viewers.unacknowledged)
    other.close()


# Guards against: the same on a connection whose only set-up has no answer yet.
def test_a_release_is_sent_where_a_set_up_waits_for_its_answer(world):
    w, streamer, (ref,) = viewings_without_connection(world, 1, **LONG_DEADLINES)
    streamer.on_set_up = lambda peer, message: None
    other = PlainPeer(w.address)
    w.request_viewing(other)
    w.until(lambda: len(streamer.set_ups) == 2)
    end_at_streamer(w, streamer, ref)
    w.until(lambda: other.received("down", ref), 1.0)
    other.close()


# Guards against: the same on a connection whose set-ups an overloaded controller refuses.
def test_a_release_is_sent_where_a_set_up_was_refused_for_overload(world):
    w, streamer, (ref,) = viewings_without_connection(world, 1)
    end_at_streamer(w, streamer, ref)
    w.node.viewers.limiter.lag = 60.0
    other = PlainPeer(w.address)
    refused = w.request_viewing(other)
    w.until(lambda: other.received("down", refused))
    assert other.received("down", refused)[0]["c"] == 42
    w.until(lambda: other.received("down", ref), 1.0)
    other.close()


def test_a_viewer_that_ends_a_viewing_whose_release_waits_is_sent_none(world):
    w, streamer, (first, second) = viewings_without_connection(world, 2)
    end_at_streamer(w, streamer, first)
    end_at_streamer(w, streamer, second)
    other = PlainPeer(w.address)
    other.send(t="down", ref=first, c=16)
    w.until(lambda: other.received("down", second))
    assert other.received("ack", first) and not other.received("down", first)
    assert first not in w.node.viewers.early_releases
    other.close()


def test_a_release_is_not_sent_to_a_client_that_never_asked_for_a_viewing(world):
    w, streamer, (ref,) = viewings_without_connection(world, 1)
    stranger = PlainPeer(w.address)
    stranger.send(t="hb", ref="01", c=0)
    stranger.send(t="down", ref="00000000ffffffff", c=16)
    unusable = w.request_viewing(stranger, **{"class": "gold"})
    w.until(lambda: stranger.received("down", unusable))
    end_at_streamer(w, streamer, ref)
    other = PlainPeer(w.address)
    w.request_viewing(other)
    w.until(lambda: other.received("down", ref))
    assert not stranger.received("down", ref)
    stranger.close()
    other.close()
