"""The platform's controller on loopback sockets, with streamers, a resolver and viewers of our own."""

from heapq import heapify

import gevent
import pytest
from helpers import closing
from node_world import OFFER, FakeResolver, FakeStreamer, World

from herongap.interface import StreamerStatus


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


def test_a_viewing_plays_and_its_end_is_told(world):
    w = world()
    v = w.viewer()
    v.send(t="hb", ref="01", c=0)
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    assert v.received("hb_ok")[0]["c"] == 1
    assert v.received("up", ref)[0]["d"] == "answer to " + ref
    (streamer,) = [s for s in w.streamers.values() if s.set_ups]
    sent = streamer.set_ups[0]
    assert (sent["ref"], sent["d"]) == (ref, OFFER)
    assert (sent["f"]["class"], sent["f"]["key"]) == ("standard", "7f3a9c21e0b4d655")
    # Its release comes on another connection than its answer, and its viewer's may be gone too.
    v.close()
    other = w.viewer()
    again = w.request_viewing(other)
    w.until(lambda: other.received("up", again))
    streamer.peers[0].send(t="down", ref=ref, c=16)
    w.until(lambda: other.received("down", ref))
    assert len(other.received("down", ref)) == 1


def test_a_late_answer_is_never_the_offer_of_the_next_tune_in(world):
    w = world(streamers=2)
    late = []

    def holds(peer, m):
        late.append((peer, m))

    for s in w.streamers.values():
        s.on_set_up = holds
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: len(late) == 1)
    # The answer and the time-out fall together: the host runs what is due before it takes the answer.
    due = w.node.host._due
    due[:] = [(0.0, *entry[1:]) if entry[1] == "time_out" else entry for entry in due]
    heapify(due)
    late[0][0].send(t="up", ref=ref, d="answer to " + ref)
    w.until(lambda: len(late) == 2)
    assert late[1][1]["d"] == OFFER
    w.until(lambda: late[0][0].received("down", ref))  # what started too late is let go there
    late[1][0].send(t="up", ref=ref, d="second")
    w.until(lambda: v.received("up", ref))
    assert [m["d"] for m in v.received("up", ref)] == ["second"]


def test_a_streamer_that_dies_is_told_to_its_viewers_at_once(world):
    w = world(streamers=1)
    v = w.viewer()
    refs = []
    for i in range(3):
        refs.append(w.request_viewing(v))
        w.until(lambda: len(v.received("up")) == i + 1)  # noqa: B023
    w.streamers["s-00000000"].kill()
    w.until(lambda: len(v.received("down")) == 3, seconds=1.0)
    assert {m["ref"] for m in v.received("down")} == set(refs)
    assert {m["c"] for m in v.received("down")} == {41}


def test_what_a_viewer_takes_back_is_let_go_at_its_streamer(world):
    w = world()
    v = w.viewer()
    for s in w.streamers.values():
        s.on_set_up = lambda peer, m: None
    ref = w.request_viewing(v)
    w.until(lambda: any(s.received_count("new", ref) for s in w.streamers.values()))
    v.send(t="down", ref=ref, c=16)
    w.until(lambda: any(s.received_count("down", ref) for s in w.streamers.values()))
    gevent.sleep(0.05)
    assert not v.received("up") and not v.received("down") and not w.node.host.viewings


def test_a_streamer_replaced_at_its_address_does_not_pass_for_the_one_before(world):
    w = world(streamers=1)
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    old = w.streamers.pop("s-00000000")
    old.kill()
    gevent.sleep(0.01)  # its listener is closed when its greenlet has ended
    w.streamers["s-00000009"] = FakeStreamer(old.address)
    w.resolver.serial += 1
    w.until(lambda: v.received("down", ref) and "s-00000009" in w.node.host.statuses)
    again = w.request_viewing(v)
    w.until(lambda: v.received("up", again))


def test_a_release_that_its_connection_took_along_is_told_again(world):
    w = world(streamers=1)
    v, other = w.viewer(), w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    w.request_viewing(other)
    w.until(lambda: other.received("up"))
    (streamer,) = w.streamers.values()
    streamer.peers[0].send(t="down", ref=ref, c=16)
    w.until(lambda: v.received("down", ref))
    v.close()
    w.until(lambda: other.received("down", ref))
    other.send(t="ack", ref=ref)
    w.until(lambda: not w.node.viewers.unheard)


def test_a_silent_streamer_loses_its_viewings_within_the_time_for_it(world):
    w = world(streamers=1)
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    upstream = w.node.port.upstreams["s-00000000"]
    upstream.liveness.last_heard -= 60.0  # nothing was heard for a minute
    w.until(lambda: v.received("down", ref), seconds=1.0)
    assert v.received("down", ref)[0]["c"] == 41


def test_a_reload_takes_the_new_resolver_and_a_bad_file_changes_nothing(world):
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


def test_of_a_resolver_only_good_newer_answers_are_believed(world):
    w = world(streamers=2)
    r = w.resolver
    r.filter_answer = lambda data: None
    w.until(lambda: w.node.resolver.bad > 1)
    w.draining.add("s-00000000")
    r.serial = 5
    spoils = (
        lambda data: data[:-20],
        lambda data: bytes([data[0] ^ 1]) + data[1:],
        lambda data: data[:2] + bytes([data[2] | 2]) + data[3:],  # truncated
        lambda data: data[:3] + bytes([data[3] & 0xF0 | 2]) + data[4:],  # SERVFAIL
        lambda data: b"\xff" * 40,
    )
    for spoil in spoils:
        asked, r.filter_answer = r.query_count, spoil
        w.until(lambda: r.query_count >= asked + 2)  # noqa: B023
        assert w.node.resolver.serial == 1
    r.filter_answer = lambda data: data
    w.until(lambda: w.node.resolver.serial == 5)
    assert w.node.host.statuses["s-00000000"] is StreamerStatus.LEAVING
    w.draining.clear()
    r.serial, asked = 4, r.query_count
    w.until(lambda: r.query_count >= asked + 3)
    assert w.node.host.statuses["s-00000000"] is StreamerStatus.LEAVING


BAD = (
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
UNFIT = (
    {"class": "gold"}, {"class": None}, {"tenant": "nobody"}, {"left": "-5"}, {"left": "1e400"},
    {"left": "nan"},
    {"left": "9" * 400}, {"left": None}, {"key": "../../etc"}, {"key": None}, {"hint": "-1"}, {"hint": "inf"},
    {"extras": "home:0;copies:99;top:2"}, {"extras": "home:-1;copies:1;top:2"}, {"extras": "home"},
    {"extras": "home:0;copies:1;top:9999999999999"}, {"extras": "home:\u0661;copies:1;top:2"},
    {"extras": None},
)  # fmt: skip


def test_bad_clients_get_an_end_and_the_usual_ones_notice_nothing(world):
    w = world()
    good = w.viewer()
    for data in BAD:
        bad = w.viewer()
        bad.send_raw(data)
        w.until(lambda: bad.ended, seconds=1.0)  # noqa: B023
        assert not bad.received("up")
    bad = w.viewer()
    for fields in UNFIT:
        ref = w.request_viewing(bad, **fields)
        w.until(lambda: bad.received("down", ref), seconds=1.0)  # noqa: B023
        assert bad.received("down", ref)[0]["c"] == 47
    assert not bad.received("up") and not any(s.set_ups for s in w.streamers.values())
    ref = w.request_viewing(good)
    w.until(lambda: good.received("up", ref))
    assert not w.node.viewers.sessions.keys() - {ref}


def test_an_id_that_is_open_already_is_refused_and_its_owner_served(world):
    w = world()
    held = []
    for s in w.streamers.values():
        s.on_set_up = lambda peer, m: held.append((peer, m))
    v, thief, twice = w.viewer(), w.viewer(), w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: held)
    w.request_viewing(thief, ref=ref, d="another")
    thief.send(t="down", ref=ref, c=16)  # nor may it take back what another asked for
    w.until(lambda: thief.received("down", ref))
    held[0][0].send(t="up", ref=ref, d="the answer")
    w.until(lambda: v.received("up", ref))
    assert (
        [m["d"] for m in v.received("up", ref)] == ["the answer"]
        and not v.received("down")
        and not thief.received("up")
    )
    mine = w.request_viewing(twice)
    w.request_viewing(twice, ref=mine)
    w.until(lambda: twice.ended)
    w.until(lambda: mine not in w.node.host.viewings)


def test_connections_that_say_nothing_or_half_a_line_are_closed(world):
    w = world()
    mute, half = w.viewer(), w.viewer()
    half.send_raw(b'{"t":"new"')
    w.until(lambda: mute.ended and half.ended, seconds=2.9)


SPOILT = (
    b"\x00\x01\xfe\n",
    b"y" * 20000,
    b'{"t":"up","ref":"REF","f":{}}\n',
    b'{"t":"up","ref":"REF","f":{"load":"x0:nan"},"d":"x"}\n',
    b'{"t":"up","ref":"REF"',
)


@pytest.mark.parametrize("spoilt", SPOILT)
def test_a_spoilt_answer_costs_its_connection_and_the_viewing_goes_elsewhere(world, spoilt):
    w = world(streamers=2)
    first = []

    def spoils(peer, m):
        if first:
            peer.send(t="up", ref=m["ref"], d="good")
            return
        first.append(peer)
        peer.send_raw(spoilt.replace(b"REF", m["ref"].encode()))
        if not spoilt.endswith((b"\n", b"y")):
            peer.close()

    for s in w.streamers.values():
        s.on_set_up = spoils
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    assert [m["d"] for m in v.received("up", ref)] == ["good"]
    # It may have started there: it is let go.
    bad = next(s for s in w.streamers.values() if first[0] in s.peers)
    w.until(lambda: bad.received_count("down", ref))


def test_what_a_streamer_says_beyond_its_answer_is_passed_over(world):
    w = world(streamers=1)
    (s,) = w.streamers.values()

    def more(peer, m):
        peer.send(t="up", ref="ffffffffffffffff", d="nobody asked")
        peer.send(t="up", ref=m["ref"], d="good")
        peer.send(t="up", ref=m["ref"], d="second copy")

    s.on_set_up = more
    v = w.viewer()
    ref = w.request_viewing(v)
    w.until(lambda: v.received("up", ref))
    gevent.sleep(0.05)
    assert [m["d"] for m in v.received("up")] == ["good"] and w.node.host.playing_at("s-00000000")
    assert not s.received_count("down", ref)


def test_seats_are_kept_through_the_sockets(world):
    w = world()
    v = w.viewer()
    refs = []
    for _ in range(3):
        refs.append(w.request_viewing(v, **{"class": "priority"}))
        w.until(lambda: v.received("up", refs[-1]) or v.received("down", refs[-1]))
    assert len(v.received("up")) == 2 and v.received("down", refs[-1])[0]["c"] == 34
    assert float(v.received("down", refs[-1])[0]["f"]["wait"]) == 500
    sent = [m for s in w.streamers.values() for m in s.set_ups]
    assert all(int(m["f"]["rung"]) >= 1 for m in sent)
