"""Hostile clients in processes of their own: memory stays within its limit, usual requests are answered."""

import gc
import time
import weakref

import pytest
from floods import limit_mb, peak_mb, slowest_answer
from helpers import closing, until
from hostile_clients import HostileClient
from loopback import FRONT_PATIENCE_SECONDS, ProcessFleet
from node_world import SETTINGS, ProcessWorld, World
from plain_peers import PlainPeer

from herongap.daemon.http_connection import Server
from herongap.daemon.listen import listen
from herongap.http import Reply
from herongap.overload import ProcessLimits, RequestMemory
from herongap.standins.viewer import AttemptResult

DEADLINE_SECONDS = SETTINGS["Grades"][0]["Deadline"] / 1000
MOST_DESCRIPTORS = 1024
SECONDS = 6.0
LINE_CROWDS = ["slow_lines", "half_lines", "half_lines_after_message", "crowd_of_many_fields"]
FLOODS = {
    "not answered": [
        "unknown_releases",
        "unknown_acknowledgements",
        "notes",
        "heartbeats",
        "unknown_streamers",
    ],
    "refused": ["new_classes", "new_tenants", "same_id", "many_fields", "unreadable"],
    "accepted": ["new_titles", "long_descriptions", "cancelled", "handed_over", "handed_over_and_ended"],
}

DASH = """
[package both]
protocol = dash
join_target = 0.5
patience = 1.2
[dash]
keys = keys
"""
FRONT_MEMORY_MB = 192  # the most that the platform gives a controller
FRONT_FLOODS = ["get", "get_new_names", "delete_unknown", "post_unsound", "unreadable", "many_fields"]


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


@pytest.fixture
def start_process(tmp_path):
    yield from closing(ProcessWorld, tmp_path)


@pytest.fixture
def start_front(tmp_path):
    yield from closing(ProcessFleet, tmp_path)


@pytest.fixture
def start_clients():
    clients = []

    def start(names, address, seconds=SECONDS):
        clients.extend(HostileClient(name, address, seconds) for name in names)
        return clients

    yield start
    for client in clients:
        client.close()


def check_harm(w, clients) -> None:
    """Check the memory of the controller and the waits of usual requests until the clients have finished."""
    assert slowest_answer(w, SECONDS) < DEADLINE_SECONDS
    assert peak_mb(w) < limit_mb(w)
    counts = [client.finish() for client in clients]
    sent, connections = (sum(c.get(name, 0) for c in counts) for name in ("sent", "most"))
    assert sent > 5000 or connections > 400, "they did no harm"


# Guards against: hundreds of clients that write slowly or stop half way fill the memory as they come and go.
@pytest.mark.parametrize("crowd", LINE_CROWDS)
def test_hundreds_of_connections_do_not_fill_the_memory(start_process, start_clients, crowd):
    w = start_process(sockets=MOST_DESCRIPTORS)
    check_harm(w, start_clients([crowd], w.address))


# Guards against: one client at full speed, also under ever new names, holds up others or fills the memory.
@pytest.mark.parametrize("names", FLOODS.values(), ids=FLOODS)
def test_floods_of_small_or_unsound_requests_do_not_hold_up_others(start_process, start_clients, names):
    w = start_process(sockets=MOST_DESCRIPTORS)
    check_harm(w, start_clients(names, w.address))


def answered_and_closed(w, seconds: float) -> tuple[list[float], int]:
    """Request viewings one after the other, on a new connection where the last one was closed; return the
    waits for answers, and how many requests had their connection closed instead."""
    waits, closed, viewer, until = [], 0, w.viewer(), time.monotonic() + seconds
    while time.monotonic() < until:
        viewer = w.viewer() if viewer.ended else viewer
        began, ref = time.monotonic(), w.request_viewing(viewer)
        w.until(lambda: viewer.ended or viewer.received("up", ref) or viewer.received("down", ref))  # noqa: B023
        if viewer.received("up", ref) or viewer.received("down", ref):
            waits.append(time.monotonic() - began)
        else:
            closed += 1
    return waits, closed


# Guards against: connections whose input never ends take all descriptors, and usual ones are closed for them.
@pytest.mark.parametrize("crowd", ["crowd_of_heartbeats", "unread_refusals"])
def test_usual_connections_are_not_closed_for_hundreds_at_full_speed(start_process, start_clients, crowd):
    w = start_process(sockets=MOST_DESCRIPTORS)
    # It takes some seconds until the crowd has all descriptors.
    (client,) = start_clients([crowd], w.address, 2 * SECONDS)
    waits, closed = answered_and_closed(w, 2 * SECONDS)
    assert max(waits) < DEADLINE_SECONDS and closed <= (len(waits) + closed) / 4
    assert client.finish()["most"] > 400


# Guards against: a connection that has ended keeps what it had read until the garbage collector runs.
def test_a_connection_that_was_closed_here_is_freed_at_once(world):
    w = world()
    client = PlainPeer(w.address)
    client.send_raw(b"x" * 10_000)
    w.until(lambda: any(c.has_partial_line() for c in w.node.viewers.connections))
    gc.collect()
    gc.disable()
    try:
        (connection,) = w.node.viewers.connections
        ended = weakref.ref(connection)
        connection.close("shed")
        del connection
        w.until(lambda: ended() is None, 1.0)
    finally:
        gc.enable()
        client.close()


# The front, `herongap serve`.


def answers_of_a_front(front) -> list[AttemptResult]:
    """Have viewings set up at the front, one after the other; return the answers."""
    answers, until = [], time.monotonic() + SECONDS
    while time.monotonic() < until:
        viewer = front.viewer(f"usual-{len(answers)}")
        answers.append(viewer.post(4 * FRONT_PATIENCE_SECONDS))
        if answers[-1].status == 201:
            viewer.delete()
    return answers


def check_answers_of_a_front(front, clients, statuses=(201,)) -> None:
    answers = answers_of_a_front(front)
    assert {answer.status for answer in answers} <= set(statuses)
    assert max(answer.elapsed for answer in answers) < FRONT_PATIENCE_SECONDS
    counts = [client.finish() for client in clients]
    assert sum(c.get("sent", 0) for c in counts) > 5000 or counts[0].get("most", 0) > 400, "they did no harm"


# Guards against: clients whose requests cost much to parse, or follow at once, hold up others at the front.
@pytest.mark.parametrize("names", [["crowd_of_pages"], ["crowd_of_heads"], FRONT_FLOODS], ids=lambda n: n[0])
def test_a_front_answers_usual_requests_beside_clients_at_full_speed(start_front, start_clients, names):
    front = start_front()
    check_answers_of_a_front(front, start_clients(names, front.address))


# Guards against: the same where each request is handled at length; they also take the places of others.
def test_a_front_answers_or_refuses_in_time_beside_players_under_ever_new_names(start_front, start_clients):
    front = start_front(extra=DASH)
    clients = start_clients(["crowd_of_players"], front.address)
    check_answers_of_a_front(front, clients, statuses=(201, 503))


# Guards against: hundreds of clients that stop half way through a large request fill the front's memory.
def test_unfinished_requests_do_not_fill_the_memory_of_a_front(start_front, start_clients):
    front = start_front()
    clients = start_clients(4 * ["half_bodies"], front.address)
    answers_of_a_front(front)
    assert peak_mb(front) < FRONT_MEMORY_MB
    assert sum(client.finish()["connections"] for client in clients) > 2000, "they did no harm"


def test_large_requests_are_counted_beyond_a_small_size_until_they_are_answered():
    memory = RequestMemory(10_000)
    small = RequestMemory.SMALL_REQUEST_BYTES
    assert memory.grow(0, small) and memory.used == 0
    assert memory.grow(small, small + 6_000) and memory.used == 6_000
    assert not memory.grow(0, small + 4_001) and memory.used == 6_000
    assert memory.grow(0, small + 4_000) and memory.grow(0, small)
    memory.release(small + 6_000)
    memory.release(small + 4_000)
    assert memory.used == 0


# Guards against: a request that is refused or given up half way is counted for good.
@pytest.mark.parametrize("request_bytes, status", [
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + b"x" * 40_000, b"200"),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + b"x" * 39_000, b"408"),
    (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + b"x" * 15_000, b"400"),
    (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 101, b"431"),
    (b"POST / HTTP/1.1\nHost: a\nContent-Length: 10000\n\n" + b"\n" * 10_000, b"200"),
], ids=["answered", "too slow", "malformed", "many fields", "bare line feeds"])  # fmt: skip
def test_the_memory_of_a_request_is_given_back(request_bytes, status):
    limits = ProcessLimits(body_seconds=0.3, header_seconds=0.3)
    server = Server(listen(("127.0.0.1", 0)), lambda request, peer: Reply(200, (), b""), limits)
    client = PlainPeer(server.address)
    client.send_raw(request_bytes)
    until(lambda: client.receive().startswith(b"HTTP/1.1 " + status))
    until(lambda: not server.memory.used, 2.0)
    client.close()
    server.close()
