"""Releases on their way when something ends: to a streamer, and to a viewer's side, on real connections.

A release is owed until it is heard. Each test has the peer that should hear it reset its connection, or take
none, at the stated step.
"""

import time

import gevent
import pytest
from helpers import closing
from node_world import World
from plain_peers import SLOW, Door, Plain, handed


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def at_door(world, **more):
    """A controller whose one streamer is the test's, connection by connection; a viewing that plays there."""
    w = world(streamers=1, **more)
    (upstream,) = w.node.port.upstreams.values()
    door = Door()
    upstream.address = door.address
    client = Plain(w.address)
    ref = w.ask(client)
    peer = door.taken()
    w.until(lambda: peer.of("new", ref))
    peer.say(t="up", ref=ref, d="plays")
    w.until(lambda: client.of("up", ref))
    return w, door, client, peer, ref


# Towards streamers.


def test_a_release_that_its_streamer_reset_unread_is_told_again(world):
    w, door, client, peer, ref = at_door(world)
    client.say(t="down", ref=ref, c=16)
    w.until(lambda: client.of("ack", ref))  # so the release has left, and lies unread at its streamer
    peer.reset()
    again = door.taken()
    w.until(lambda: again.of("down", ref))
    # Answered it is told no more.
    again.say(t="down", ref=ref, c=31)
    w.until(lambda: not w.node.host.viewings)
    again.reset()
    gevent.sleep(0.6)
    assert not door.waits()
    door.close()


def test_a_release_goes_on_what_stands_and_is_not_told_again_where_all_was_read(world):
    w, door, client, peer, ref = at_door(world)
    w.node.port._need(w.node.port.upstreams["s-00000000"])
    other = door.taken()
    w.until(lambda: len(w.node.port.lines()) == 2)
    client.say(t="down", ref=ref, c=16)
    w.until(lambda: client.of("ack", ref))
    w.until(lambda: peer.of("down", ref) or other.of("down", ref))
    told, spare = (peer, other) if peer.of("down", ref) else (other, peer)
    told.reset()  # it had read it and has not answered: nobody here can know
    w.until(lambda: spare.of("down", ref))
    assert not door.waits(), "no connection is made for what another one can carry"
    door.close()


def test_one_that_was_silent_is_told_of_all_that_it_may_play_to_nobody(world):
    w, door, client, peer, ref = at_door(world)
    second = w.ask(client)
    w.until(lambda: peer.of("new", second))
    peer.say(t="up", ref=second, d="plays")
    w.until(lambda: client.of("up", second))
    client.say(t="down", ref=ref, c=16)  # into the connection of one that is cut off
    w.until(lambda: client.of("ack", ref))
    w.node.port.upstreams["s-00000000"].liveness.last_heard -= 60.0  # nothing was heard for a minute
    w.until(lambda: client.of("down", second))
    again = door.taken()  # and now it is back
    w.until(lambda: again.of("down", second) and again.of("down", ref))
    door.close()


def test_the_process_does_not_end_while_a_streamer_is_owed_a_release(world):
    w, door, client, peer, ref = at_door(world, **SLOW)
    second = w.ask(client)
    w.until(lambda: peer.of("new", second))
    door.fill()
    peer.say(t="down", ref=ref, c=16)
    w.until(lambda: client.of("down", ref))
    peer.reset()  # the other may have been set up, and play to nobody
    w.until(lambda: w.node.port.upstreams["s-00000000"].owed)
    client.say(t="down", ref=second, c=16)
    w.until(lambda: not w.node.viewers.sessions)
    gevent.spawn(w.node.stop)
    gevent.sleep(1.2)
    assert not w.node.stopped.is_set(), "nobody waits and nothing plays, but its streamer has not been told"
    door.empty()
    again = door.taken()
    w.until(lambda: again.of("down", second))
    w.until(w.node.stopped.is_set, 0.5)
    door.close()


# Towards viewers.


def test_a_release_without_a_way_goes_on_the_next_connection_that_is_answered_whatever_the_answer(world):
    w = world(streamers=1)
    (streamer,) = w.streamers.values()
    client = Plain(w.address)
    ref = w.ask(client)
    w.until(lambda: client.of("up", ref))
    client.reset()
    w.until(lambda: not w.node.viewers.connections)
    streamer.die()
    w.until(lambda: ref in w.node.viewers.owed)
    # Nobody is left to play anything: each set-up is blocked, and no viewing will stand here for long.
    other = Plain(w.address)
    refused = w.ask(other)
    w.until(lambda: other.of("down", refused))
    w.until(lambda: other.of("down", ref), 0.5)
    assert [m["c"] for m in other.of("down", ref)] == [41]


def test_a_release_without_a_way_goes_with_a_viewing_that_is_handed_over(world):
    w = world(streamers=2)
    client = Plain(w.address)
    ref = w.ask(client)
    w.until(lambda: client.of("up", ref))
    client.reset()
    w.until(lambda: not w.node.viewers.connections)
    (name,) = [name for name, s in w.streamers.items() if s.news]
    (sound,) = set(w.streamers) - {name}
    w.streamers[name].die()
    w.until(lambda: ref in w.node.viewers.owed)
    other = Plain(w.address)
    handed(w, other, sound)
    w.until(lambda: other.of("down", ref), 0.5)


def test_a_viewing_handed_over_at_a_streamer_that_has_left_is_released(world):
    w = world(streamers=2)
    name = "s-00000000"
    w.streamers.pop(name).close()
    w.resolver.serial += 1
    w.until(lambda: name not in w.node.port.upstreams)
    assert name in w.node.host.module.streamers, "the module remembers it yet"
    client = Plain(w.address)
    handed(w, client, name)
    w.until(lambda: client.of("down", "0123456789abcdef"), 1.0)
    assert not w.node.host.viewings and not w.node.viewers.sessions


# Who is gone, and who only closed its door.


def test_a_streamer_that_closes_its_door_plays_on(world):
    w, door, client, peer, ref = at_door(world)
    door.sock.close()
    second = w.ask(client)
    w.until(lambda: peer.of("new", second))
    peer.say(t="down", ref=second, c=34)  # it drains: full for what is new, and no connection is kept open
    peer.close()
    w.until(lambda: client.of("down", second))
    gevent.sleep(0.6)  # it has been dialled again, and refused
    assert ref in w.node.host.viewings and not client.of("down", ref)
    w.streamers.clear()
    w.resolver.serial += 1
    w.until(lambda: client.of("down", ref), 1.5)  # as soon as the list says that it has gone


def test_a_viewing_handed_over_at_a_streamer_whose_door_is_closed_plays_on_while_it_may_live(world):
    w = world(streamers=2)
    name = "s-00000000"
    w.streamers[name].listener.close()
    w.streamers[name]._greenlet.kill()
    client = Plain(w.address)
    handed(w, client, name)
    w.until(lambda: w.node.host.viewings)
    gevent.sleep(0.6)
    assert w.node.host.viewings and not client.of("down")
    w.until(lambda: client.of("down"), 6.0)  # nobody hears of its end there: not for longer than is allowed


def test_what_played_before_its_streamers_newest_start_is_over(world):
    w, door, client, peer, ref = at_door(world)
    peer.reset()  # as it dies; back at once, before anybody noticed, it answers what is asked of it
    again = door.taken()
    started = time.time()
    second = w.ask(client)
    w.until(lambda: again.of("new", second))
    again.say(t="up", ref=second, d="plays")
    w.until(lambda: client.of("up", second))
    w.started["s-00000000"] = int(started * 1000)
    w.resolver.serial += 1
    w.until(lambda: client.of("down", ref), 1.5)
    assert [m["c"] for m in client.of("down", ref)] == [41]
    assert second in w.node.host.viewings and not client.of("down", second)
