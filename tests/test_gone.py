"""No attempt begins for a client that has gone, whatever its request waits for meanwhile.

In each test the close, or the cancellation, has reached the controller's machine and lies unread at the
moment at which an attempt could leave: the process was late. The limit is none at all, of 0.1 s.
"""

import socket
import time

import gevent
import pytest
from helpers import closing
from node_world import SETTINGS, World
from plain_peers import (
    LONG_DEADLINES,
    ManualListener,
    PlainPeer,
    hold_all_set_ups,
    hold_set_ups,
    send_immediately,
    set_up,
)

GOES = ["closes", "resets", "cancels"]


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def goes(client, ref, how):
    """The client gives up one set-up, as `how` says."""
    if how == "cancels":
        client.send(t="down", ref=ref, c=16)
    else:
        client.close() if how == "closes" else client.reset()


def news(w):
    return [m["ref"] for s in w.streamers.values() for m in s.set_ups]


def connected(w):
    """Connections stand everywhere, so that an attempt could leave at once."""
    for upstream in w.node.port.upstreams.values():
        w.node.port._need(upstream)
    w.until(lambda: all(upstream.lines for upstream in w.node.port.upstreams.values()))


def next_tick(w):
    """The controller's periodic job has run since: what it reckons from what was heard stands."""
    period = w.node.host.module.next_tick_at
    w.until(lambda: w.node.host.module.next_tick_at > period)


@pytest.mark.parametrize("first", [True, False])
@pytest.mark.parametrize("how", GOES)
def test_no_further_attempt_for_a_client_whose_leaving_lies_unread(world, how, first):
    w = world(**LONG_DEADLINES)
    held = hold_all_set_ups(w)
    connected(w)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: held)
    if first:  # whichever of the two a loop of events comes to first
        goes(client, ref, how)
    send_immediately(held[0][0], t="down", ref=ref, c=34, f={"load": "x0:0.1;x1:0.1"})
    if not first:
        goes(client, ref, how)
    w.until(lambda: ref not in w.node.host.viewings)
    gevent.sleep(0.3)
    assert news(w) == [ref]


@pytest.mark.parametrize("ticks", [True, False])
def test_the_other_sessions_of_a_connection_that_is_looked_at_are_served(world, ticks):
    w = world(**LONG_DEADLINES)
    held = hold_all_set_ups(w)
    client = PlainPeer(w.address)
    ref, other = w.request_viewing(client, left="30000"), w.request_viewing(client, left="30000")
    w.until(lambda: len(held) == 2)
    for peer, m in held:
        # With its load, as streamers say it: their places are full, not their links nor their racks'.
        send_immediately(peer, t="down", ref=m["ref"], c=34, f={"load": "x0:0.1;x1:0.1"})
    del held[:]
    # On the same connection, all unread as the two are to go on: a new one, the cancellation, half a line.
    third = w.request_viewing(client, left="30000")
    client.send(t="down", ref=ref, c=16)
    fourth = set_up("00000000000000ff")
    client.send_raw(fourth[:100])
    w.until(lambda: len(held) == 2)
    assert {m["ref"] for _, m in held} == {other, third}
    if ticks:
        next_tick(w)
    client.send_raw(fourth[100:])
    w.until(lambda: len(held) == 3)
    for peer, m in held:
        peer.send(t="up", ref=m["ref"], d="answer to " + m["ref"])
    w.until(lambda: len(client.received("up")) == 3)
    assert {m["ref"] for m in client.received("up")} == {other, third, "00000000000000ff"}
    assert not client.received("down") and not client.received("up", ref)


@pytest.mark.parametrize("ticks", [True, False])
def test_one_refusal_is_no_word_of_what_all_others_bear(world, ticks):
    w = world(**LONG_DEADLINES)
    held = hold_all_set_ups(w)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: held)
    send_immediately(
        held[0][0], t="down", ref=ref, c=34
    )  # by load, which it does not tell: the only word there is
    w.until(lambda: len(held) == 2)
    if ticks:
        next_tick(w)
    w.request_viewing(client, left="30000")
    w.until(lambda: len(held) == 3)


@pytest.mark.parametrize("first", [True, False])
@pytest.mark.parametrize("how", GOES)
def test_no_attempt_on_a_connection_that_comes_up_after_its_client_has_gone(world, how, first):
    w = world(streamers=1, **LONG_DEADLINES)
    listener = ManualListener()
    (name,) = w.streamers
    w.node.port.upstreams[name].address = listener.address
    listener.fill_backlog()
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: w.node.port.upstreams[name].connecting)
    listener.clear_backlog()
    if first:
        goes(client, ref, how)
    peer = (
        listener.accept_blocking()
    )  # 1 s or so; the controller is late all that time, and finds both at once
    if not first:
        goes(client, ref, how)
    w.until(lambda: ref not in w.node.host.viewings)
    gevent.sleep(0.3)
    assert not peer.received("new")
    listener.close()


@pytest.mark.parametrize("how", GOES)
def test_no_attempt_at_a_cold_turn_after_its_client_has_gone(world, how):
    few = SETTINGS["FamilyInfo"] | {"KindSlots": [100]}
    w = world(streamers=1, FleetSize=8, FamilyInfo=few, **LONG_DEADLINES)
    (name,) = w.streamers
    # It has just started, and turns at it come seldom.
    w.started[name] = int(time.time() * 1000)
    w.resolver.serial += 1
    w.until(lambda: w.node.host.module.streamers[name].entry.started)
    connected(w)
    turns, st = w.node.host.module.slow_start, w.node.host.module.streamers[name]
    begins = lambda: turns.next_slot(w.node.clock(), st) * turns.slot_seconds - w.node.clock()  # noqa: E731
    w.until(lambda: begins() > 2 * turns.slot_seconds)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: ref in w.node.host.viewings)
    assert begins() > 0 and not news(w), "it waits for its turn"
    goes(client, ref, how)
    # Late until within its turn.
    time.sleep(begins() + 0.5 * turns.slot_seconds)
    w.until(lambda: ref not in w.node.host.viewings)
    gevent.sleep(0.3)
    assert not news(w)


@pytest.mark.parametrize("how", GOES)
def test_a_set_up_that_waits_behind_a_full_buffer_never_arrives_whole(world, how):
    w = world(streamers=1, **LONG_DEADLINES)
    listener = ManualListener(small_buffer=True)
    (name,) = w.streamers
    upstream = w.node.port.upstreams[name]
    upstream.address = listener.address
    client = PlainPeer(w.address)
    first = w.request_viewing(client, left="30000")
    peer = listener.wait_for_connection()
    w.until(lambda: peer.received("new", first))
    peer.send(t="up", ref=first, d="plays")
    w.until(lambda: client.received("up", first))
    (line,) = upstream.lines
    line.sock._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    ref = w.request_viewing(client, left="30000", d="x" * 15800)
    w.until(lambda: line.behind)
    goes(client, ref, how)
    w.until(lambda: ref not in w.node.host.viewings)
    gevent.sleep(0.1)
    # Only now its streamer reads on.
    w.until(lambda: peer.is_closed() or not line.behind)
    gevent.sleep(0.1)
    assert not peer.received("new", ref)
    listener.close()


@pytest.mark.parametrize("first", [True, False])
def test_an_answer_for_a_client_that_has_gone_is_let_go_at_its_streamer(world, first):
    w = world(streamers=1, **LONG_DEADLINES)
    held = []
    (streamer,) = w.streamers.values()
    streamer.on_set_up = hold_set_ups(held)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: held)
    if first:
        client.close()
    send_immediately(held[0][0], t="up", ref=ref, d="d")
    client.close()
    w.until(lambda: streamer.received_count("down", ref))
    assert not w.node.host.viewings


def test_an_answer_that_its_client_never_got_whole_is_no_viewing(world):
    w = world(streamers=1, **LONG_DEADLINES)
    (streamer,) = w.streamers.values()
    held = []
    streamer.on_set_up = hold_set_ups(held)
    client = PlainPeer(w.address, small_buffer=True)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: held)
    (conn,) = w.node.viewers.connections
    conn.sock._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    held[0][0].send(t="up", ref=ref, d="x" * 15800)
    w.until(lambda: conn.behind)
    client.close()
    w.until(lambda: streamer.received_count("down", ref))
    w.until(lambda: not w.node.host.viewings and not w.node.viewers.sessions)
