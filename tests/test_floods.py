"""Peers that never stop sending: to the platform's controller, and to a front over HTTP."""

import gevent
import pytest
from floods import (
    Flood,
    hand_over_unknown_viewings,
    limit_mb,
    peak_mb,
    release_unknown_viewings,
    slowest_answer,
    unusable_set_up,
    usable_first,
)
from helpers import closing
from loopback import LoopbackFleet
from node_world import SETTINGS, ProcessWorld, World
from plain_peers import LONG_DEADLINES, PlainPeer, hand_over

from herongap.limiter import MAX_LAG_SECONDS
from herongap.platform.handovers import MAX_REJECTED_RELEASES, MAX_REJECTED_RELEASES_PER_STREAMER

DEADLINE_SECONDS = SETTINGS["Grades"][0]["Deadline"] / 1000
FLOOD_SECONDS = 3.0


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


@pytest.fixture
def start_process(tmp_path):
    yield from closing(ProcessWorld, tmp_path)


@pytest.fixture
def start_fleet(tmp_path):
    yield from closing(LoopbackFleet, tmp_path)


# Guards against: a peer whose input never ends holds the only thread, and no other request is answered.
@pytest.mark.parametrize(
    "clients, message",
    [(1, unusable_set_up), (1, usable_first), (8, unusable_set_up)],
    ids=["one client", "a usable set-up among the others", "eight clients"],
)
def test_clients_that_never_stop_sending_do_not_hold_up_others(start_process, clients, message):
    w = start_process()
    flood = Flood(w.address, message, clients)
    try:
        assert slowest_answer(w, FLOOD_SECONDS) < DEADLINE_SECONDS
    finally:
        flood.close()
    assert flood.sent > 2000, "the flood was none"
    # The longest turn alone does not make the process so late that it refuses set-ups.
    w.until(lambda: w.log_lines("figures"), 6.0)
    assert 0.0 < w.log_lines("figures")[0]["longest_turn"] < MAX_LAG_SECONDS


# Guards against: releases of unknown viewings are kept without a bound, and the process is killed for memory.
def test_releases_of_unknown_viewings_do_not_fill_the_memory(start_process):
    w = start_process()
    release_unknown_viewings(w.address, 8.0)
    assert peak_mb(w) < limit_mb(w)
    assert w.log_lines("too many releases of unknown viewings; one is ignored")


# Guards against: viewings that are handed over and that no streamer plays are held without a bound.
def test_handovers_of_unknown_viewings_do_not_fill_the_memory(start_process):
    w = start_process()
    flood = gevent.get_hub().threadpool.spawn(hand_over_unknown_viewings, w.address, "s-00000000", 20_000)
    flood.get(timeout=60.0)
    assert peak_mb(w) < limit_mb(w)


# Guards against: the ends of many viewings at a lost streamer hold the only thread, and nobody is answered.
def test_usual_requests_are_answered_when_a_streamer_with_handed_over_viewings_is_lost(start_process):
    w = start_process()
    flood = gevent.get_hub().threadpool.spawn(hand_over_unknown_viewings, w.address, "s-00000000", 20_000)
    flood.get(timeout=60.0)
    w.streamers.pop("s-00000000").kill()
    w.resolver.serial += 1
    assert slowest_answer(w, FLOOD_SECONDS) < DEADLINE_SECONDS
    assert w.log_lines("streamer lost")[0]["viewings"] == SETTINGS["FamilyInfo"]["KindSlots"][0]


# Guards against: more viewings are handed over at a streamer than it can play, and each is held.
def test_viewings_beyond_the_places_of_their_streamer_are_not_adopted(world):
    w = world(FamilyInfo=SETTINGS["FamilyInfo"] | {"KindSlots": [3]})
    client = PlainPeer(w.address)
    refs = [f"{number:016x}" for number in range(1, 6)]
    for ref in refs:
        hand_over(w, client, "s-00000000", ref)
    w.until(lambda: len(client.received("down")) == 2)
    assert [message["ref"] for message in client.received("down")] == refs[3:]
    assert list(w.node.host.viewings) == refs[:3]
    w.until(lambda: all(w.streamers["s-00000000"].received_count("down", ref) for ref in refs[3:]))
    client.close()


# Guards against: a client that requests many viewings keeps those that play from being handed over.
def test_viewings_that_wait_do_not_count_towards_what_may_be_adopted(world):
    w = world(**LONG_DEADLINES)
    w.node.viewers.max_placed = 2
    w.node.host.module.placement.place = lambda now, viewing: False  # all wait
    client = PlainPeer(w.address)
    for _ in range(5):
        w.request_viewing(client, left="30000")
    w.until(lambda: len(w.node.host.module.waiting) == 5)
    for ref in ("0123456789abcde0", "0123456789abcde1", "0123456789abcde2"):
        hand_over(w, client, "s-00000000", ref)
    w.until(lambda: client.received("down"))
    assert [message["ref"] for message in client.received("down")] == ["0123456789abcde2"]
    client.close()


# Guards against: releases of viewings that were not adopted are kept without a bound for a silent client.
def test_releases_of_viewings_that_were_not_adopted_are_kept_up_to_a_limit(world):
    w = world(FamilyInfo=SETTINGS["FamilyInfo"] | {"KindSlots": [1]})
    hand_over_all = hand_over_unknown_viewings, w.address, "s-00000000", 3 * MAX_REJECTED_RELEASES
    gevent.get_hub().threadpool.spawn(*hand_over_all).get(timeout=60.0)
    viewers = w.node.viewers
    assert 0 < len(viewers.unacknowledged) + len(viewers.pending_releases) <= MAX_REJECTED_RELEASES
    (upstream,) = [u for u in w.node.port.upstreams.values() if u.kept_messages()]
    assert upstream.kept_messages() <= MAX_REJECTED_RELEASES_PER_STREAMER


# Guards against: connections that wait to be accepted hold the only thread until none is left.
def test_open_connections_are_served_between_connections_that_are_accepted(world):
    w = world(sockets=4096)
    client = PlainPeer(w.address)
    client.send(t="hb", ref="01", c=0)
    w.until(lambda: client.received("hb_ok", "01"))
    crowd = [PlainPeer(w.address) for _ in range(300)]  # all wait, as the controller does not run meanwhile
    client.send(t="hb", ref="02", c=0)
    w.until(lambda: client.received("hb_ok", "02"))
    assert len(w.node.viewers.connections) < 150
    w.until(lambda: len(w.node.viewers.connections) == 301)
    for peer in crowd:
        peer.close()


GET = b"GET /nothing HTTP/1.1\r\nHost: front\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404"


# Guards against: a client that sends its next requests before it is answered holds the front's only thread.
def test_a_front_serves_others_between_the_requests_of_one_connection(start_fleet):
    fleet = start_fleet()
    greedy, usual = PlainPeer(fleet.daemon.address), PlainPeer(fleet.daemon.address)
    gevent.sleep(0.05)
    greedy.send_raw(400 * GET)
    usual.send_raw(GET)
    fleet.until(lambda: NOT_FOUND in usual.receive())
    assert greedy.receive().count(NOT_FOUND) < 200
    fleet.until(lambda: greedy.receive().count(NOT_FOUND) == 400)
    greedy.close()
    usual.close()


# Guards against: connections that wait to be accepted hold the front's only thread until none is left.
def test_a_front_serves_others_between_connections_that_are_accepted(start_fleet):
    fleet = start_fleet()
    usual = PlainPeer(fleet.daemon.address)
    gevent.sleep(0.05)
    crowd = [PlainPeer(fleet.daemon.address) for _ in range(200)]
    usual.send_raw(GET)
    fleet.until(lambda: NOT_FOUND in usual.receive())
    assert len(fleet.daemon.server.open) < 100
    fleet.until(lambda: len(fleet.daemon.server.open) == 201)
    for peer in (usual, *crowd):
        peer.close()
