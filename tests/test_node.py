"""The platform controller on loopback sockets: viewers, invalid messages, the resolver, releases."""

from heapq import heapify

import gevent
import pytest
from helpers import closing
from node_world import OFFER, FakeResolver, FakeStreamer, World

from herongap.interface import StreamerStatus


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def test_a_viewing_plays_and_its_viewer_is_told_of_its_end(world):
    w = world()
    viewer = w.viewer()
    viewer.send(t="hb", ref="01", c=0)
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    assert viewer.received("hb_ok")[0]["c"] == 1
    assert viewer.received("up", ref)[0]["d"] == "answer to " + ref
    (streamer,) = [streamer for streamer in w.streamers.values() if streamer.set_ups]
    sent = streamer.set_ups[0]
    assert (sent["ref"], sent["d"]) == (ref, OFFER)
    assert (sent["f"]["class"], sent["f"]["key"]) == ("standard", "7f3a9c21e0b4d655")
    # The release may arrive after the viewer's connection has ended; it is then sent on another.
    viewer.close()
    other = w.viewer()
    again = w.request_viewing(other)
    w.until(lambda: other.received("up", again))
    streamer.peers[0].send(t="down", ref=ref, c=16)
    w.until(lambda: other.received("down", ref))
    assert len(other.received("down", ref)) == 1


def test_a_late_answer_is_never_the_offer_of_the_next_tune_in(world):
    w = world(streamers=2)
    late = []

    def hold(peer, message):
        late.append((peer, message))

    for streamer in w.streamers.values():
        streamer.on_set_up = hold
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: len(late) == 1)
    # The answer and the time-out coincide: the host runs due timers before it handles the answer.
    due = w.node.host._due
    due[:] = [(0.0, *entry[1:]) if entry[1] == "time_out" else entry for entry in due]
    heapify(due)
    late[0][0].send(t="up", ref=ref, d="answer to " + ref)
    w.until(lambda: len(late) == 2)
    assert late[1][1]["d"] == OFFER
    w.until(lambda: late[0][0].received("down", ref))  # a viewing that started too late is released
    late[1][0].send(t="up", ref=ref, d="second")
    w.until(lambda: viewer.received("up", ref))
    assert [message["d"] for message in viewer.received("up", ref)] == ["second"]


def test_viewers_are_told_at_once_when_their_streamer_dies(world):
    w = world(streamers=1)
    viewer = w.viewer()
    refs = []
    for i in range(3):
        refs.append(w.request_viewing(viewer))
        w.until(lambda: len(viewer.received("up")) == i + 1)  # noqa: B023
    w.streamers["s-00000000"].kill()
    w.until(lambda: len(viewer.received("down")) == 3, seconds=1.0)
    assert {message["ref"] for message in viewer.received("down")} == set(refs)
    assert {message["c"] for message in viewer.received("down")} == {41}


def test_a_cancelled_set_up_is_released_at_its_streamer(world):
    w = world()
    viewer = w.viewer()
    for streamer in w.streamers.values():
        streamer.on_set_up = lambda peer, message: None
    ref = w.request_viewing(viewer)
    w.until(lambda: any(streamer.received_count("new", ref) for streamer in w.streamers.values()))
    viewer.send(t="down", ref=ref, c=16)
    w.until(lambda: any(streamer.received_count("down", ref) for streamer in w.streamers.values()))
    gevent.sleep(0.05)
    assert not viewer.received("up") and not viewer.received("down") and not w.node.host.viewings


def test_a_new_streamer_at_an_old_address_is_not_taken_for_the_old_one(world):
    w = world(streamers=1)
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    old = w.streamers.pop("s-00000000")
    old.kill()
    gevent.sleep(0.01)  # the listener is closed once its greenlet has ended
    w.streamers["s-00000009"] = FakeStreamer(old.address)
    w.resolver.serial += 1
    w.until(lambda: viewer.received("down", ref) and "s-00000009" in w.node.host.statuses)
    again = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", again))


def test_a_release_lost_with_its_connection_is_sent_again(world):
    w = world(streamers=1)
    viewer, other = w.viewer(), w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    w.request_viewing(other)
    w.until(lambda: other.received("up"))
    (streamer,) = w.streamers.values()
    streamer.peers[0].send(t="down", ref=ref, c=16)
    w.until(lambda: viewer.received("down", ref))
    viewer.close()
    w.until(lambda: other.received("down", ref))
    other.send(t="ack", ref=ref)
    w.until(lambda: not w.node.viewers.unacknowledged)


def test_the_viewings_of_a_silent_streamer_are_lost_in_time(world):
    w = world(streamers=1)
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    upstream = w.node.port.upstreams["s-00000000"]
    upstream.liveness.last_heard -= 60.0  # silent for a minute
    w.until(lambda: viewer.received("down", ref), seconds=1.0)
    assert viewer.received("down", ref)[0]["c"] == 41


def test_a_reload_uses_the_new_resolver_and_a_bad_file_changes_nothing(world):
    w = world(streamers=2)
    w.path.write_text("{ half a file")
    w.node.reload()
    assert w.node.resolver.address == w.resolver.address
    second = FakeResolver(w)
    w.configure(second.address)
    w.resolver.close()
    w.node.reload()
    w.until(lambda: second.query_count)
    w.draining.add("s-00000000")
    second.serial = 2
    w.until(lambda: w.node.host.statuses["s-00000000"] is StreamerStatus.LEAVING)
    second.close()


def test_only_valid_and_newer_answers_of_the_resolver_are_used(world):
    w = world(streamers=2)
    resolver = w.resolver
    resolver.filter_answer = lambda data: None
    w.until(lambda: w.node.resolver.failures > 1)
    w.draining.add("s-00000000")
    resolver.serial = 5
    damages = (
        lambda data: data[:-20],
        lambda data: bytes([data[0] ^ 1]) + data[1:],
        lambda data: data[:2] + bytes([data[2] | 2]) + data[3:],  # truncated
        lambda data: data[:3] + bytes([data[3] & 0xF0 | 2]) + data[4:],  # SERVFAIL
        lambda data: b"\xff" * 40,
    )
    for damage in damages:
        before, resolver.filter_answer = resolver.query_count, damage
        w.until(lambda: resolver.query_count >= before + 2)  # noqa: B023
        assert w.node.resolver.serial == 1
    resolver.filter_answer = lambda data: data
    w.until(lambda: w.node.resolver.serial == 5)
    assert w.node.host.statuses["s-00000000"] is StreamerStatus.LEAVING
    w.draining.clear()
    resolver.serial, before = 4, resolver.query_count
    w.until(lambda: resolver.query_count >= before + 3)
    assert w.node.host.statuses["s-00000000"] is StreamerStatus.LEAVING


MALFORMED = (
    b"\x00\xff noise\n",
    b"x" * 20000,
    b"[" * 15000 + b"\n",
    b'{"t":"new","ref":"0011223344556677","f":[],"d":""}\n',
    b'{"t":"new","ref":"","f":{},"d":"x"}\n',
    b'{"t":"what","ref":"0011223344556677","f":{}}\n',
    b'{"t":"new","ref":"0011223344556677","f":{"left":NaN},"d":"x"}\n',
    b'{"t":"new","ref":"0011223344556677","f":{"left":true},"d":"x"}\n',
    b'{"t":7}\n',
    b"GET / HTTP/1.1\r\n\r\n",
)
INVALID_FIELDS = (
    {"class": "gold"}, {"class": None}, {"tenant": "nobody"}, {"left": "-5"}, {"left": "1e400"},
    {"left": "nan"},
    {"left": "9" * 400}, {"left": None}, {"key": "../../etc"}, {"key": None}, {"hint": "-1"}, {"hint": "inf"},
    {"extras": "home:0;copies:99;top:2"}, {"extras": "home:-1;copies:1;top:2"}, {"extras": "home"},
    {"extras": "home:0;copies:1;top:9999999999999"}, {"extras": "home:\u0661;copies:1;top:2"},
    {"extras": None},
)  # fmt: skip


def test_invalid_messages_are_rejected_and_other_clients_are_unaffected(world):
    w = world()
    good = w.viewer()
    for data in MALFORMED:
        bad = w.viewer()
        bad.send_raw(data)
        w.until(lambda: bad.ended, seconds=1.0)  # noqa: B023
        assert not bad.received("up")
    bad = w.viewer()
    for fields in INVALID_FIELDS:
        ref = w.request_viewing(bad, **fields)
        w.until(lambda: bad.received("down", ref), seconds=1.0)  # noqa: B023
        assert bad.received("down", ref)[0]["c"] == 47
    assert not bad.received("up") and not any(streamer.set_ups for streamer in w.streamers.values())
    ref = w.request_viewing(good)
    w.until(lambda: good.received("up", ref))
    assert not w.node.viewers.sessions.keys() - {ref}


def test_a_set_up_with_an_id_in_use_is_refused_and_the_first_one_served(world):
    w = world()
    held = []
    for streamer in w.streamers.values():
        streamer.on_set_up = lambda peer, message: held.append((peer, message))
    viewer, thief, twice = w.viewer(), w.viewer(), w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: held)
    w.request_viewing(thief, ref=ref, d="another")
    thief.send(t="down", ref=ref, c=16)  # nor may it cancel the request of another
    w.until(lambda: thief.received("down", ref))
    held[0][0].send(t="up", ref=ref, d="the answer")
    w.until(lambda: viewer.received("up", ref))
    assert (
        [message["d"] for message in viewer.received("up", ref)] == ["the answer"]
        and not viewer.received("down")
        and not thief.received("up")
    )
    repeated = w.request_viewing(twice)
    w.request_viewing(twice, ref=repeated)
    w.until(lambda: twice.ended)
    w.until(lambda: repeated not in w.node.host.viewings)


def test_connections_that_send_nothing_or_a_partial_line_are_closed(world):
    w = world()
    silent, half = w.viewer(), w.viewer()
    half.send_raw(b'{"t":"new"')
    w.until(lambda: silent.ended and half.ended, seconds=2.9)


INVALID_ANSWERS = (
    b"\x00\x01\xfe\n",
    b"y" * 20000,
    b'{"t":"up","ref":"REF","f":{}}\n',
    b'{"t":"up","ref":"REF","f":{"load":"x0:nan"},"d":"x"}\n',
    b'{"t":"up","ref":"REF"',
)


@pytest.mark.parametrize("answer", INVALID_ANSWERS)
def test_an_invalid_answer_ends_its_connection_and_the_viewing_starts_elsewhere(world, answer):
    w = world(streamers=2)
    first = []

    def answer_invalidly(peer, message):
        if first:
            peer.send(t="up", ref=message["ref"], d="good")
            return
        first.append(peer)
        peer.send_raw(answer.replace(b"REF", message["ref"].encode()))
        if not answer.endswith((b"\n", b"y")):
            peer.close()

    for streamer in w.streamers.values():
        streamer.on_set_up = answer_invalidly
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    assert [message["d"] for message in viewer.received("up", ref)] == ["good"]
    # It may have started at the first streamer, so it is released there.
    bad = next(streamer for streamer in w.streamers.values() if first[0] in streamer.peers)
    w.until(lambda: bad.received_count("down", ref))


def test_answers_to_no_set_up_and_repeated_answers_are_ignored(world):
    w = world(streamers=1)
    (streamer,) = w.streamers.values()

    def answer_more(peer, message):
        peer.send(t="up", ref="ffffffffffffffff", d="to no set-up")
        peer.send(t="up", ref=message["ref"], d="good")
        peer.send(t="up", ref=message["ref"], d="second copy")

    streamer.on_set_up = answer_more
    viewer = w.viewer()
    ref = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", ref))
    gevent.sleep(0.05)
    assert [message["d"] for message in viewer.received("up")] == ["good"] and w.node.host.playing_at(
        "s-00000000"
    )
    assert not streamer.received_count("down", ref)


def test_no_more_seats_are_taken_than_the_package_has(world):
    w = world()
    viewer = w.viewer()
    refs = []
    for _ in range(3):
        refs.append(w.request_viewing(viewer, **{"class": "priority"}))
        w.until(lambda: viewer.received("up", refs[-1]) or viewer.received("down", refs[-1]))
    assert len(viewer.received("up")) == 2 and viewer.received("down", refs[-1])[0]["c"] == 34
    assert float(viewer.received("down", refs[-1])[0]["f"]["wait"]) == 500
    sent = [message for streamer in w.streamers.values() for message in streamer.set_ups]
    assert all(int(message["f"]["rung"]) >= 1 for message in sent)
