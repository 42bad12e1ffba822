"""A controller that was suspended, or late, for longer than a streamer may be silent.

What its streamers sent meanwhile is unread; it must be read before any of them counts as lost. The suspension
is a jump of the controller's clock between two calls of the test, in which nothing else runs.
"""

import socket
import time
from contextlib import suppress

import gevent
import pytest
from helpers import closing
from loopback import LoopbackFleet as Front
from node_world import World as Platform
from plain_peers import LONG_DEADLINES, PlainPeer, hold_all_set_ups, send_immediately

from herongap.interface import StreamerStatus
from herongap.node.resolver import REPEAT_AFTER_SECONDS

SUSPENSION_SECONDS = 30.0  # longer than a streamer may be silent before its viewings are lost


class Clock:
    """A clock that is ahead of `base` by the time for which the process was suspended."""

    def __init__(self, base):
        self.base, self.suspended = base, 0.0

    def __call__(self) -> float:
        return self.base() + self.suspended


@pytest.fixture
def platform(tmp_path):
    yield from closing(Platform, tmp_path)


@pytest.fixture
def front(tmp_path):
    yield from closing(Front, tmp_path)


@pytest.mark.parametrize("answers", [True, False])
def test_a_suspended_platform_controller_ends_no_viewing(platform, answers):
    clock = Clock(time.time)
    w = platform(streamers=2, clock=clock)
    viewer = w.viewer()
    refs = []
    for _ in range(6):
        refs.append(w.request_viewing(viewer))
        w.until(lambda: viewer.received("up", refs[-1]))
    assert all(w.node.host.playing_at(name) for name in w.streamers), "a viewing plays at each streamer"
    clock.suspended += SUSPENSION_SECONDS
    if answers:  # the streamers have answered; that is unread
        for streamer in w.streamers.values():
            send_immediately(streamer.peers[0], t="hb_ok", ref="00", c=1)
    gevent.sleep(1.0)  # several liveness checks
    assert (
        not viewer.received("down")
        and not viewer.received("shift")
        and set(refs) == set(w.node.host.viewings)
    )
    state = w.node.host.module.state
    assert all(streamer.set_aside_until < clock() for streamer in state.streamers.values()), (
        "no streamer is set aside for the controller's own suspension"
    )
    again = w.request_viewing(viewer)
    w.until(lambda: viewer.received("up", again), 1.0)


def test_a_suspended_front_ends_no_viewing_and_continues_to_place_new_ones(front):
    clock = Clock(time.monotonic)
    w = front(streamers=2, clock=clock)
    held = [w.viewer(f"v{i}") for i in range(6)]
    assert all(viewer.post(2).status == 201 for viewer in held)
    port, state = w.daemon.port, w.daemon.host.module.state
    w.until(
        lambda: (
            len(port.subscriptions) == 2 and all(f.liveness.last_heard for f in port.subscriptions.values())
        )
    )
    w.command("silent")  # their event streams stay open and send nothing for now
    gevent.sleep(1.2)  # until each liveness check finds a stream silent
    clock.suspended += SUSPENSION_SECONDS
    gevent.sleep(1.2)
    assert len(w.daemon.host.viewings) == 6 and w.session_count() == 6
    assert all(streamer.set_aside_until < clock() for streamer in state.streamers.values()), (
        "no streamer is set aside for the controller's own suspension"
    )
    w.command("heal")
    assert w.viewer("b").post(2).status == 201


def test_an_unread_answer_of_the_resolver_is_used_by_a_late_process(platform):
    w = platform(streamers=2, **LONG_DEADLINES)
    held = hold_all_set_ups(w)
    resolver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    resolver.bind(("127.0.0.1", 0))
    resolver.setblocking(False)
    client = PlainPeer(w.address)
    ref = w.request_viewing(client, left="30000")
    w.until(lambda: held)
    (other,) = [name for name, streamer in w.streamers.items() if not streamer.set_ups]
    w.node.resolver.address = resolver.getsockname()
    queries = []

    def query_arrived():
        with suppress(BlockingIOError):
            queries.append(resolver.recvfrom(4096))
        return bool(queries)

    w.until(query_arrived)
    w.draining.add(other)
    w.resolver.serial += 1
    resolver.sendto(w.resolver.answer(queries[0][0]), queries[0][1])
    send_immediately(held[0][0], t="down", ref=ref, c=34)  # so that the other streamer is tried at once
    time.sleep(REPEAT_AFTER_SECONDS + 0.1)  # the process is late, and no further query is answered
    w.until(lambda: w.node.host.statuses[other] is StreamerStatus.LEAVING, 0.5)
    gevent.sleep(0.3)
    assert not w.streamers[other].set_ups
    resolver.close()
