"""A controller that was stopped, or late, for longer than it gives its streamers: what they said meanwhile
lies unread, and is heard before any of them is judged.

The stop is a leap of the controller's clock between two calls of the test, in which nothing else runs.
"""

import socket
import time
from contextlib import suppress

import gevent
import pytest
from helpers import closing
from loopback import World as Front
from node_world import World as Platform
from plain_peers import LONG_DEADLINES, PlainPeer, hold_all_set_ups, send_immediately

from herongap.interface import StreamerStatus
from herongap.node.resolver import PATIENCE

STOP = 30.0  # seconds: over any time after which a silent streamer's viewings are lost


class Clock:
    """The machine's, and what the process was stopped for so far."""

    def __init__(self, right):
        self.right, self.stopped = right, 0.0

    def __call__(self) -> float:
        return self.right() + self.stopped


@pytest.fixture
def platform(tmp_path):
    yield from closing(Platform, tmp_path)


@pytest.fixture
def front(tmp_path):
    yield from closing(Front, tmp_path)


@pytest.mark.parametrize("said", [True, False])
def test_a_stopped_controller_of_the_platform_ends_none_of_what_plays(platform, said):
    clock = Clock(time.time)
    w = platform(streamers=2, clock=clock)
    v = w.viewer()
    refs = []
    for _ in range(6):
        refs.append(w.request_viewing(v))
        w.until(lambda: v.received("up", refs[-1]))
    assert all(w.node.host.playing_at(name) for name in w.streamers), "something plays at each"
    clock.stopped += STOP
    if said:  # its streamers have: that lies unread
        for s in w.streamers.values():
            send_immediately(s.peers[0], t="hb_ok", ref="00", c=1)
    gevent.sleep(1.0)  # several looks at what is silent
    assert not v.received("down") and not v.received("shift") and set(refs) == set(w.node.host.viewings)
    known = w.node.host.module.state
    assert all(st.set_aside_until < clock() for st in known.streamers.values()), (
        "nobody is set aside for our own stop"
    )
    again = w.request_viewing(v)
    w.until(lambda: v.received("up", again), 1.0)


def test_a_stopped_front_ends_none_of_what_plays_and_goes_on_placing(front):
    clock = Clock(time.monotonic)
    w = front(streamers=2, clock=clock)
    held = [w.viewer(f"v{i}") for i in range(6)]
    assert all(v.post(2).status == 201 for v in held)
    port, known = w.daemon.port, w.daemon.host.module.state
    w.until(
        lambda: (
            len(port.subscriptions) == 2 and all(f.liveness.last_heard for f in port.subscriptions.values())
        )
    )
    w.order("silent")  # their event streams stand, and say nothing for now
    gevent.sleep(1.2)  # until each look at one is a look at its silence
    clock.stopped += STOP
    gevent.sleep(1.2)
    assert len(w.daemon.host.viewings) == 6 and w.playing() == 6
    assert all(st.set_aside_until < clock() for st in known.streamers.values()), (
        "nobody is set aside for our own stop"
    )
    w.order("heal")
    assert w.viewer("b").post(2).status == 201


def test_an_answer_of_the_resolver_that_a_late_process_finds_unread_is_taken(platform):
    w = platform(streamers=2, **LONG_DEADLINES)
    held = hold_all_set_ups(w)
    resolver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    resolver.bind(("127.0.0.1", 0))
    resolver.setblocking(False)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: held)
    (other,) = [name for name, s in w.streamers.items() if not s.set_ups]
    w.node.resolver.address = resolver.getsockname()
    asked = []

    def question():
        with suppress(BlockingIOError):
            asked.append(resolver.recvfrom(4096))
        return bool(asked)

    w.until(question)
    w.draining.add(other)
    w.resolver.serial += 1
    resolver.sendto(w.resolver.answer(asked[0][0]), asked[0][1])
    send_immediately(held[0][0], t="down", ref=ref, c=34)  # so that it goes on to the other at once
    time.sleep(PATIENCE + 0.1)  # the process is late, and no other question is ever answered
    w.until(lambda: w.node.host.statuses[other] is StreamerStatus.LEAVING, 0.5)
    gevent.sleep(0.3)
    assert not w.streamers[other].set_ups
    resolver.close()
