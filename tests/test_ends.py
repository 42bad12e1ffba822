"""Connections, processes, viewings and dials that end while messages are pending, on real connections.

Each test forces the unfavourable order: when something ends, a message that crosses it has arrived and is
unread, or is still in the controller's own buffer. It must be handled or delivered all the same.
"""

import gc
import os
import resource
import socket
import time
from contextlib import suppress

import gevent
import pytest
from helpers import closing
from node_world import SETTINGS, World
from plain_peers import (
    LONG_DEADLINES,
    ManualListener,
    PlainPeer,
    hand_over,
    hold_all_set_ups,
    hold_set_ups,
    send_immediately,
    set_up,
)

import herongap.limiter
from herongap.interface import StreamerStatus
from herongap.node.connection import Connection
from herongap.platform.lines import MAX_LINE_BYTES

MALFORMED_INPUT = {
    "no message": b"\x00\xff noise\n",
    "no type": b'{"t":"bogus"}\n',
    "never ends": b"x" * (MAX_LINE_BYTES + 1),
}


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def world_with_unsent_answer(world):
    """Start a viewing whose answer is mostly unsent, in the controller's own buffer."""
    w = world(streamers=1, **LONG_DEADLINES)
    (streamer,) = w.streamers.values()
    streamer.on_set_up = lambda peer, message: peer.send(t="up", ref=message["ref"], d="x" * 9000)
    client = PlainPeer(w.address, small_buffer=True)
    wait_until_read(w, client)
    for conn in w.node.viewers.connections:  # with a minimal send buffer
        conn.sock._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    ref = w.request_viewing(client)
    w.until(lambda: any(conn.unsent_bytes for conn in w.node.viewers.connections))
    return w, streamer, client, ref


def wait_until_read(w, peer, ref="b0"):
    """Wait until the controller has read everything that this peer has sent."""
    peer.send(t="hb", ref=ref, c=0)
    w.until(lambda: peer.received("hb_ok", ref))


# Clients that send malformed input.


@pytest.mark.parametrize("kind", MALFORMED_INPUT)
def test_accepted_set_ups_are_answered_before_malformed_input_ends_the_connection(world, kind):
    w = world(**LONG_DEADLINES)
    held = hold_all_set_ups(w)
    client, other = PlainPeer(w.address), PlainPeer(w.address)
    first = w.request_viewing(client)
    w.until(lambda: len(held) == 1)
    second = set_up("00000000000000aa")
    client.send_raw(second + MALFORMED_INPUT[kind])  # in one piece, after a complete set-up
    w.until(lambda: len(held) == 2)
    gevent.sleep(0.1)
    assert not client.is_closed()
    for peer, message in held:
        peer.send(t="up", ref=message["ref"], d="answer to " + message["ref"])
    w.until(client.is_closed, 0.5)
    assert {message["ref"] for message in client.received("up")} == {first, "00000000000000aa"}
    last = w.request_viewing(other)
    w.until(lambda: len(held) == 3)
    held[2][0].send(t="up", ref=last, d="d")
    w.until(lambda: other.received("up", last))


def test_an_unsent_answer_is_sent_before_malformed_input_ends_the_connection(world):
    w, _, client, ref = world_with_unsent_answer(world)
    client.send_raw(b"noise\n")
    gevent.sleep(0.1)
    w.until(client.is_closed, 6.0)  # the client reads on only now
    assert [len(message["d"]) for message in client.received("up", ref)] == [9000]


def test_a_client_that_sent_malformed_input_and_stays_connected_is_closed(world):
    w = world()
    client = PlainPeer(w.address)
    wait_until_read(w, client)
    client.send_raw(b"noise\n")
    w.until(client.is_closed, 0.5)
    w.until(lambda: not w.node.viewers.connections and not w.node.viewers.closing, 2.0)


def test_hundreds_of_malformed_connections_keep_no_descriptors(world):
    w = world(sockets=64)
    noisy = [PlainPeer(w.address) for _ in range(100)]
    for client in noisy:
        with suppress(OSError):
            client.send_raw(b"noise\n" * 100)
    # Well before the time after which silent connections are closed.
    w.until(lambda: not w.node.viewers.connections, herongap.limiter.MESSAGE_TIMEOUT_SECONDS / 2)
    assert not w.node.viewers.connections, "the controller waits for none of them"
    client = PlainPeer(w.address)
    # Clients that sent a valid message first are closed for new ones too, though their input is unread.
    old = [PlainPeer(w.address) for _ in range(31)]
    for one in old:
        wait_until_read(w, one)
        one.send_raw(b"noise\n")
    gevent.sleep(0.05)
    for one in old:
        one.send_raw(b"noise\n" * 100)
    for _ in range(3):
        late = PlainPeer(w.address)
        ref = w.request_viewing(late)
        w.until(lambda: late.received("up", ref))  # noqa: B023
    for one in (*noisy, *old, client):
        one.close()


def test_a_set_up_before_a_partial_line_is_answered(world, monkeypatch):
    monkeypatch.setattr(herongap.limiter, "MESSAGE_TIMEOUT_SECONDS", 0.2)
    w = world(**LONG_DEADLINES)
    held = hold_all_set_ups(w)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    client.send_raw(b'{"t":"new","ref":"00112233')
    w.until(lambda: held)
    gevent.sleep(0.8)
    assert not client.is_closed()
    held[0][0].send(t="up", ref=ref, d="d")
    w.until(client.is_closed, 1.0)
    assert client.received("up", ref)


def test_a_line_whose_end_is_unread_at_its_time_out_is_handled(world, monkeypatch):
    monkeypatch.setattr(herongap.limiter, "MESSAGE_TIMEOUT_SECONDS", 0.2)
    w = world()
    client = PlainPeer(w.address)
    wait_until_read(w, client)
    half = set_up("00000000000000aa")
    client.send_raw(half[:100])
    w.until(lambda: w.node.viewers.limiter.partial_since)
    client.send_raw(half[100:])
    time.sleep(0.3)  # the process is late, and runs its maintenance first
    w.node.viewers.maintain()
    # A late process may refuse the set-up, but must answer it.
    w.until(lambda: client.received("up", "00000000000000aa") or client.received("down", "00000000000000aa"))


# Shutdown of the process.


def test_the_process_does_not_exit_with_an_unsent_answer(world):
    w, streamer, client, ref = world_with_unsent_answer(world)
    streamer.peers[0].send(t="down", ref=ref, c=16)
    w.until(lambda: not w.node.host.viewings)
    gevent.spawn(w.node.stop)
    gevent.sleep(1.2)
    assert not w.node.stopped.is_set(), "no viewing plays and no request waits, but an answer is unsent"
    w.until(lambda: client.received("down", ref))
    assert [len(message["d"]) for message in client.received("up", ref)] == [9000]
    w.until(w.node.stopped.is_set, 0.5)


def test_connections_in_the_backlog_are_answered_when_the_listener_closes(world):
    w = world()
    gevent.sleep(0.05)
    # The system has accepted them; the process has not yet.
    clients = [PlainPeer(w.address) for _ in range(20)]
    refs = [w.request_viewing(client) for client in clients]
    w.node.viewers.stop()
    for client, ref in zip(clients, refs, strict=True):
        w.until(lambda: client.received("down", ref) or client.received("up", ref))  # noqa: B023
    with pytest.raises(ConnectionRefusedError):
        PlainPeer(w.address)


def test_an_unread_set_up_is_refused_and_not_reset_when_the_process_exits(world):
    w = world()
    client = PlainPeer(w.address)
    wait_until_read(w, client)
    w.node.viewers.stop()
    ref = w.request_viewing(client)  # unread
    w.node.viewers.close_all()
    w.until(client.is_closed)
    assert [message["c"] for message in client.received("down", ref)] == [42]


# Messages that cross the handover of a viewing that plays already.


def test_a_viewing_that_its_viewer_ended_before_the_handover_is_ended(world):
    w = world(streamers=1)
    ((name, streamer),) = w.streamers.items()
    one, two = PlainPeer(w.address), PlainPeer(w.address)
    ref = "0123456789abcdef"
    one.send(t="down", ref=ref, c=16)
    wait_until_read(w, one)
    hand_over(w, two, name, ref)
    w.until(lambda: streamer.received_count("down", ref))
    w.until(lambda: not w.node.host.viewings and not w.node.viewers.sessions)
    wait_until_read(w, two)
    assert not two.received("down") and not two.received("shift"), "the viewer knows of the end"


def test_a_viewing_that_its_streamer_ended_before_the_handover_is_released(world):
    w = world(streamers=1)
    ((name, streamer),) = w.streamers.items()
    client = PlainPeer(w.address)
    first, ref = w.request_viewing(client), "0123456789abcdef"
    w.until(lambda: client.received("up", first))
    # As to a restarted process: the streamer sends the release on the first connection that opens.
    streamer.peers[0].send(t="down", ref=ref, c=41)
    streamer.peers[0].send(t="down", ref=first, c=16)
    w.until(lambda: client.received("down", first))
    hand_over(w, client, name, ref)
    w.until(lambda: client.received("down", ref), 1.0)
    assert not w.node.host.viewings and [message["c"] for message in client.received("down", ref)] == [41]


def test_a_set_up_repeated_before_the_end_of_its_connection_is_read_is_served(world):
    w = world(streamers=1, **LONG_DEADLINES)
    (streamer,) = w.streamers.values()
    held = []
    streamer.on_set_up = hold_set_ups(held)
    old, new = PlainPeer(w.address), PlainPeer(w.address)
    wait_until_read(w, new)
    ref = w.request_viewing(old)
    w.until(lambda: len(held) == 1)
    old.close()
    w.request_viewing(new, ref)  # the repeated set-up is read before the end of the old connection
    w.until(lambda: new.read()[1:] or len(held) > 1)
    for peer, message in held[1:]:
        peer.send(t="up", ref=message["ref"], d="second")
    w.until(lambda: new.received("up", ref) or new.received("down", ref))
    assert [message["d"] for message in new.received("up", ref)] == ["second"]


def test_a_viewer_is_told_once_if_a_move_crosses_the_end_of_the_viewing(world):
    w = world(streamers=1)
    ((name, streamer),) = w.streamers.items()
    client = PlainPeer(w.address)
    for first in (True, False):
        ref = w.request_viewing(client)
        w.until(lambda: client.received("up", ref))  # noqa: B023
        peer = next(p for p in streamer.peers if p.received("new", ref))
        if first:  # the end is unread when the deciding module moves the viewing
            send_immediately(peer, t="down", ref=ref, c=16)
        w.node.host.module.state.decisions.append(("move", ref))
        w.node.host.woke(w.node.clock())
        if not first:
            send_immediately(peer, t="down", ref=ref, c=16)
        w.until(lambda: ref not in w.node.host.viewings and ref not in w.node.viewers.sessions)  # noqa: B023
        wait_until_read(w, client, f"b{first}")
        assert len(client.received("shift", ref)) + len(client.received("down", ref)) == 1


# Releases to streamers.


def test_a_possibly_started_viewing_is_released_once_its_streamer_is_reachable_again(world):
    w = world(streamers=2)
    listener = ManualListener()
    for upstream in w.node.port.upstreams.values():
        upstream.address = listener.address
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    peer = listener.wait_for_connection()
    w.until(lambda: peer.received("new", ref))
    listener.fill_backlog()
    peer.reset()
    w.until(lambda: any(upstream.pending for upstream in w.node.port.upstreams.values()))
    # The other streamer cannot be reached either; the connect time-out of the settings is 250 ms.
    w.until(lambda: client.received("down", ref))
    gevent.sleep(0.5)
    listener.clear_backlog()
    again = listener.wait_for_connection()
    w.until(lambda: again.received("down", ref))
    listener.close()


@pytest.mark.parametrize("more", [b"", b'{"t":"up","ref":"0000000000000001","f":{},"d":"other"}\n'])
def test_valid_lines_before_an_oversized_one_are_handled(world, more):
    w = world(streamers=1)
    (streamer,) = w.streamers.values()
    good = b'{"t":"up","ref":"0000000000000001","f":{},"d":"d"}\n'
    streamer.on_set_up = lambda peer, message: peer.send_raw(good + more + b"x" * (MAX_LINE_BYTES + 1))
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    w.until(lambda: client.received("up", ref))
    assert ref in w.node.host.viewings and not client.received("down", ref)


def test_a_streamer_that_refuses_connections_keeps_its_viewings(world):
    w = world(streamers=1)
    (streamer,) = w.streamers.values()
    client = PlainPeer(w.address)
    ref = w.request_viewing(client)
    w.until(lambda: client.received("up", ref))
    streamer.listener.close()
    streamer._greenlet.kill()
    (upstream,) = w.node.port.upstreams.values()
    (connection,) = upstream.connections
    connection.suspected_at = w.node.clock() + 60.0  # as after a cancelled set-up
    w.node.port._ensure_connection(upstream)  # as for a pending message
    w.until(lambda: not upstream.connecting)
    wait_until_read(w, client)
    assert not client.received("down") and ref in w.node.host.viewings


def test_nothing_is_sent_to_the_old_address_if_it_changes_during_a_dial(world):
    w = world(streamers=1, **LONG_DEADLINES)
    ((name, _),) = w.streamers.items()
    old, new = ManualListener(), ManualListener()
    upstream = w.node.port.upstreams[name]
    upstream.address = old.address
    old.fill_backlog()
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: upstream.connecting)
    w.node.port.listed({name: new.address})
    old.clear_backlog()
    peer = old.wait_for_connection()
    w.until(peer.is_closed)
    assert not peer.received("new", ref)
    old.close()
    new.close()


# Descriptors.


def test_connections_closed_by_the_limiter_free_their_descriptors(world):
    w = world(streamers=1, sockets=40, **LONG_DEADLINES)
    (streamer,) = w.streamers.values()
    held = []
    streamer.on_set_up = hold_set_ups(held)
    clients = [PlainPeer(w.address) for _ in range(22)]
    refs = [w.request_viewing(client) for client in clients]
    w.until(lambda: len(w.node.viewers.sessions) == 22)
    more = [PlainPeer(w.address) for _ in range(60)]
    for client in more:
        w.until(client.is_closed)
        client.close()
    w.until(lambda: len(w.node.viewers.connections) == 22)
    made = [o for o in gc.get_objects() if type(o) is Connection and o._on_closed.__self__ is w.node.viewers]
    assert sum(conn.sock.fileno() >= 0 for conn in made) == 22
    assert set(refs) == set(w.node.viewers.sessions)


def test_with_few_descriptors_set_ups_wait_for_a_connection_that_is_dialled(world):
    wide = SETTINGS["FamilyInfo"] | {"KbPerWeight": 3e6, "RackLinkKb": 9e7}
    w = world(streamers=1, sockets=12, FamilyInfo=wide, **LONG_DEADLINES)
    ((name, streamer),) = w.streamers.items()
    held, client = [], PlainPeer(w.address)
    streamer.on_set_up = hold_set_ups(held)
    w.node.host.load_told(w.node.clock(), name, False, None, 0.0)
    w.node.host.module.streamers[name].reported_since = -1e9  # known for long: set-ups are sent at once
    # All at the same time: four connections are dialled, the most that are allowed.
    refs = {w.request_viewing(client) for _ in range(9)}
    w.until(lambda: len(held) == 9)
    assert {message["ref"] for _, message in held} == refs and len(w.node.port.connections()) == 4


def test_the_list_is_updated_with_no_descriptor_left(world):
    w = world(streamers=2)
    w.until(lambda: w.resolver.query_count > 1)
    gevent.sleep(0.1)  # the query is answered, and the next one is not sent yet
    duplicates, (soft, hard) = [], resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(map(int, os.listdir("/proc/self/fd")))
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, hard))
    try:
        with pytest.raises(OSError):
            while True:
                duplicates.append(os.dup(0))
        w.draining.add("s-00000000")
        w.resolver.serial += 1
        w.until(lambda: w.node.host.statuses["s-00000000"] is StreamerStatus.LEAVING, 1.5)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for descriptor in duplicates:
            os.close(descriptor)
