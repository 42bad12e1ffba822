"""Discovery that is slow or answers out of order, and the controller that polls it."""

import time

import gevent
import pytest
from helpers import closing
from node_world import World

from herongap.interface import StreamerStatus
from herongap.node.resolver import SILENT_AFTER_FAILURES

DRAIN_GRACE_SECONDS = 0.25  # after a drain was told, no set-up goes to its streamer


@pytest.fixture
def world(tmp_path):
    yield from closing(World, tmp_path)


# Guards against: answers that each come after the next query has left are all dropped.
@pytest.mark.parametrize("delay", [0.26, 0.3, 0.55, 2.0])
def test_a_drain_is_known_in_time_though_each_answer_is_slow(world, delay):
    w = world()
    w.resolver.delay = delay
    gevent.sleep(2 * delay)  # every answer is late by now
    name = "s-00000000"
    w.draining.add(name)
    w.resolver.serial = 2
    w.until(lambda: w.node.host.statuses[name] is StreamerStatus.LEAVING, delay + 3.0)
    told = next(sent_at for sent_at, serial, _ in w.resolver.sent if serial == 2)
    assert time.monotonic() - told < DRAIN_GRACE_SECONDS
    assert w.node.resolver.failures < SILENT_AFTER_FAILURES, "it does answer"


def test_an_answer_to_an_earlier_query_does_not_bring_back_an_older_list(world):
    w = world()
    resolver, held = w.resolver, []
    resolver.filter_answer = lambda data: held.append(data)
    w.until(lambda: len(held) == 1)
    w.draining.add("s-00000000")
    resolver.serial = 2
    resolver.filter_answer = lambda data: data
    w.until(lambda: w.node.host.statuses["s-00000000"] is StreamerStatus.LEAVING)
    *_, peer = resolver.sent[-1]
    resolver.sock.sendto(held[0], peer)
    queries = resolver.query_count
    w.until(lambda: resolver.query_count > queries)
    assert w.node.host.statuses["s-00000000"] is StreamerStatus.LEAVING
