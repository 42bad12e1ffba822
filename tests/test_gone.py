"""No attempt begins for a client that has gone, whatever its request was waiting for.

In each test the process is late: the close or the cancellation has arrived and is unread when an attempt
could be sent. The limit is 0.1 s after the client has gone; these tests allow no attempt at all.
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

WAYS_TO_LEAVE = ["closes", "resets", "cancels"]


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def leave(client, ref, how):
    """Have the client give up one set-up, as `how` says."""
    if how == "cancels":
        client.send(t="down", ref=ref, c=16)
    else:
        client.close() if how == "closes" else client.reset()


def set_up_ids(w):
    """Return the ids of all set-ups that streamers received."""
    return [message["ref"] for streamer in w.streamers.values() for message in streamer.set_ups]


def connect_all(w):
    """Open a connection to each streamer, so that an attempt could be sent at once."""
    for upstream in w.node.port.upstreams.values():
        w.node.port._ensure_connection(upstream)
    w.until(lambda: all(upstream.connections for upstream in w.node.port.upstreams.values()))


def next_tick(w):
    """Wait until the deciding module's periodic job has run: its estimates include all reports so far."""
    before = w.node.host.module.next_tick_at
    w.until(lambda: w.node.host.module.next_tick_at > before)


@pytest.mark.parametrize("first", [True, False])
@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_no_further_attempt_for_a_client_whose_leaving_is_unread(world, how, first):
    w = world(**LONG_DEADLINES)
    held = hold_all_set_ups(w)
    connect_all(w)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: held)
    if first:  # the event loop may handle either of the two first
        leave(client, ref, how)
    send_immediately(held[0][0], t="down", ref=ref, c=34, f={"load": "x0:0.1;x1:0.1"})
    if not first:
        leave(client, ref, how)
    w.until(lambda: ref not in w.node.host.viewings)
    gevent.sleep(0.3)
    assert set_up_ids(w) == [ref]


@pytest.mark.parametrize("ticks", [True, False])
def test_other_sessions_on_a_connection_that_is_read_early_are_served(world, ticks):
    w = world(**LONG_DEADLINES)
    held = hold_all_set_ups(w)
    client = PlainPeer(w.address)
    ref, other = w.request_viewing(client, left="30000"), w.request_viewing(client, left="30000")
    w.until(lambda: len(held) == 2)
    for peer, message in held:
        # With a load report: their places are full, and neither their links nor their racks are.
        send_immediately(peer, t="down", ref=message["ref"], c=34, f={"load": "x0:0.1;x1:0.1"})
    del held[:]
    # Unread on the same connection when the two are retried: a new set-up, a cancellation, a partial line.
    third = w.request_viewing(client, left="30000")
    client.send(t="down", ref=ref, c=16)
    fourth = set_up("00000000000000ff")
    client.send_raw(fourth[:100])
    w.until(lambda: len(held) == 2)
    assert {message["ref"] for _, message in held} == {other, third}
    if ticks:
        next_tick(w)
    client.send_raw(fourth[100:])
    w.until(lambda: len(held) == 3)
    for peer, message in held:
        peer.send(t="up", ref=message["ref"], d="answer to " + message["ref"])
    w.until(lambda: len(client.received("up")) == 3)
    assert {message["ref"] for message in client.received("up")} == {other, third, "00000000000000ff"}
    assert not client.received("down") and not client.received("up", ref)


@pytest.mark.parametrize("ticks", [True, False])
def test_one_refusal_does_not_limit_what_other_streamers_get(world, ticks):
    w = world(**LONG_DEADLINES)
    held = hold_all_set_ups(w)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: held)
    # Refused for load, without a load report: the only information about any streamer's load.
    send_immediately(held[0][0], t="down", ref=ref, c=34)
    w.until(lambda: len(held) == 2)
    if ticks:
        next_tick(w)
    w.request_viewing(client, left="30000")
    w.until(lambda: len(held) == 3)


@pytest.mark.parametrize("first", [True, False])
@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_no_attempt_on_a_connection_that_opens_after_its_client_has_gone(world, how, first):
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
        leave(client, ref, how)
    # This takes about 1 s, in which the controller does nothing: it finds both at once.
    peer = listener.accept_blocking()
    if not first:
        leave(client, ref, how)
    w.until(lambda: ref not in w.node.host.viewings)
    gevent.sleep(0.3)
    assert not peer.received("new")
    listener.close()


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_no_attempt_in_a_slow_start_slot_after_its_client_has_gone(world, how):
    few = SETTINGS["FamilyInfo"] | {"KindSlots": [100]}
    w = world(streamers=1, FleetSize=8, FamilyInfo=few, **LONG_DEADLINES)
    (name,) = w.streamers
    # The streamer has just started, and slots for set-ups at it are rare.
    w.started[name] = int(time.time() * 1000)
    w.resolver.serial += 1
    w.until(lambda: w.node.host.module.streamers[name].entry.started)
    connect_all(w)
    slots, streamer = w.node.host.module.slow_start, w.node.host.module.streamers[name]
    to_slot = lambda: slots.next_slot(w.node.clock(), streamer) * slots.slot_seconds - w.node.clock()  # noqa: E731
    w.until(lambda: to_slot() > 2 * slots.slot_seconds)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: ref in w.node.host.viewings)
    assert to_slot() > 0 and not set_up_ids(w), "it waits for its slot"
    leave(client, ref, how)
    # The process is late until the middle of the slot.
    time.sleep(to_slot() + 0.5 * slots.slot_seconds)
    w.until(lambda: ref not in w.node.host.viewings)
    gevent.sleep(0.3)
    assert not set_up_ids(w)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_a_set_up_behind_a_full_send_buffer_never_arrives_in_full(world, how):
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
    (connection,) = upstream.connections
    connection.sock._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    ref = w.request_viewing(client, left="30000", d="x" * 15800)
    w.until(lambda: connection.unsent_bytes)
    leave(client, ref, how)
    w.until(lambda: ref not in w.node.host.viewings)
    gevent.sleep(0.1)
    # The streamer reads on only now.
    w.until(lambda: peer.is_closed() or not connection.unsent_bytes)
    gevent.sleep(0.1)
    assert not peer.received("new", ref)
    listener.close()


@pytest.mark.parametrize("first", [True, False])
def test_a_viewing_that_starts_after_its_client_has_gone_is_released(world, first):
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


def test_a_viewing_whose_answer_never_arrived_in_full_is_released(world):
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
    w.until(lambda: conn.unsent_bytes)
    client.close()
    w.until(lambda: streamer.received_count("down", ref))
    w.until(lambda: not w.node.host.viewings and not w.node.viewers.sessions)
