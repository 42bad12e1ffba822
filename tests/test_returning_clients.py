"""Clients that leave and come again: what may not be repeated runs once, and nothing unread is sent on."""

from collections import Counter

import gevent
import pytest
from helpers import NEWS, closing, deployment_config, streamer_entry, viewing_request
from hostile_clients import HostileClient
from loopback import LoopbackFleet
from node_world import SETTINGS, ProcessWorld

from herongap.host import Host
from herongap.host.replay import NullPort
from herongap.interface import EndReason, RepeatSafety, RepeatScope
from herongap.rules.admission import MAX_REMEMBERED_RUNS, RUNS_REMEMBERED_SECONDS

SECONDS = 4.0
SET_UP_SECONDS = 0.3
WARM = {"Invariants": SETTINGS["Invariants"] | {"RampTime": 500.0}}


@pytest.fixture
def start_process(tmp_path):
    yield from closing(ProcessWorld, tmp_path)


@pytest.fixture
def start_fleet(tmp_path):
    yield from closing(LoopbackFleet, tmp_path)


def run_client(w, name: str) -> tuple[dict[str, int], Counter]:
    """Run a client in a process of its own; return what it counted and the set-ups at streamers by id."""
    for streamer in w.streamers.values():
        streamer.on_set_up = lambda peer, message, play=streamer.play: gevent.spawn_later(
            SET_UP_SECONDS, play, peer, message
        )
    client = HostileClient(name, w.address, SECONDS)
    try:
        w.until(lambda: not client.is_running(), 10 * SECONDS)
        gevent.sleep(1.0)
        return client.finish(), Counter(m["ref"] for s in w.streamers.values() for m in s.set_ups)
    finally:
        client.close()


# Guards against: an id that may not run twice does, when it comes again after its client had left.
def test_an_id_that_comes_again_does_not_run_twice_if_it_may_not_be_repeated(start_process):
    w = start_process(**WARM, Grades=[g | {"Idempotency": "side_effect"} for g in SETTINGS["Grades"]])
    gevent.sleep(0.6)
    counts, ran = run_client(w, "come_again")
    assert len(ran) >= 10, "too few reached a streamer"
    assert max(ran.values()) == 1
    assert counts["up"] + counts["down"] == 20, "each that stayed was answered"


# Guards against: requests that were unread when their client closed its connection are sent on afterwards.
def test_requests_of_a_client_that_has_closed_its_connection_are_not_sent_on(start_process):
    w = start_process(**WARM)
    gevent.sleep(0.6)
    counts, ran = run_client(w, "close_unread")
    assert counts["sent"] > 2000 and sum(ran.values()) <= counts["connections"]


def make_host(repeat: RepeatSafety, group=RepeatScope.CELL, cells=2) -> tuple[Host, list]:
    """Return a host whose package has these terms, and the list of its decisions and answers."""
    package = NEWS._replace(repeat=repeat, group=group)
    config = deployment_config(packages=(package,), warm_up=0.001, cold_start=1.0)
    effects = []

    class Port(NullPort):
        def tune_in(self, request, number, streamer, rung, time_out):
            effects.append(("tune_in", streamer))

        def answer(self, viewing, answer):
            effects.append((answer.verdict, answer.cause))

    host = Host(0.0, 7, config, Port())
    host.listed(0.0, "whole", tuple(streamer_entry(10 + i, i) for i in range(cells)))
    return host, effects


def leave_during_a_tune_in(host, now: float, viewing: int) -> None:
    host.asked(now, viewing_request(viewing))
    host.woke(now + 0.1)
    assert host.viewings[viewing].streamer is not None
    host.left(now + 0.2, viewing)


def test_a_viewing_that_left_during_a_tune_in_is_aborted_when_it_comes_again_if_a_repeat_harms():
    host, effects = make_host(RepeatSafety.HARMFUL)
    leave_during_a_tune_in(host, 1.0, 1)
    effects.clear()
    for at in (1.3, 30.0):  # at once, and seconds later
        host.asked(at, viewing_request(1))
        host.woke(at + 1.0)
    assert effects == [("aborted", None), ("aborted", None)]
    host.asked(31.0, viewing_request(2))
    host.woke(31.1)
    assert effects[-1][0] == "tune_in", "another viewing is set up"


def test_a_viewing_that_played_is_aborted_when_it_comes_again_if_a_repeat_harms():
    host, effects = make_host(RepeatSafety.HARMFUL)
    host.asked(1.0, viewing_request(1))
    host.woke(1.1)
    host.started(1.2, 1, 0, host.viewings[1].streamer, None)
    host.ended(2.0, 1, 0, EndReason.PLAYED)
    effects.clear()
    host.asked(3.0, viewing_request(1))
    host.woke(4.0)
    assert effects == [("aborted", None)]


def test_a_viewing_that_comes_again_is_set_up_again_if_a_repeat_is_harmless_or_it_never_ran():
    host, effects = make_host(RepeatSafety.HARMLESS)
    leave_during_a_tune_in(host, 1.0, 1)
    leave_during_a_tune_in(host, 2.0, 1)
    host, effects = make_host(RepeatSafety.HARMFUL, cells=1)
    host.asked(1.0, viewing_request(1))
    host.woke(1.1)
    host.ended(1.2, 1, 0, EndReason.UNREACHED)
    assert effects[-1] == ("blocked", EndReason.UNREACHED)
    leave_during_a_tune_in(host, 20.0, 1)


def test_a_viewing_that_comes_again_goes_to_the_group_in_which_its_repeat_is_recognised():
    host, effects = make_host(RepeatSafety.IN_GROUP)
    leave_during_a_tune_in(host, 1.0, 1)
    (first,) = [effect for effect in effects if effect[0] == "tune_in"]
    effects.clear()
    host.asked(1.5, viewing_request(1))
    host.woke(1.6)
    assert effects == [first]


def test_earlier_runs_are_remembered_for_a_time_and_up_to_a_number():
    host, _ = make_host(RepeatSafety.HARMFUL)
    admission = host.module.admission
    leave_during_a_tune_in(host, 1.0, 1)
    leave_during_a_tune_in(host, 2.0 + RUNS_REMEMBERED_SECONDS, 1)
    assert len(admission.runs) == 1
    for number in range(2, MAX_REMEMBERED_RUNS + 2):
        viewing = admission.runs[1]
        admission.runs[number] = viewing
    leave_during_a_tune_in(host, 3.0 + RUNS_REMEMBERED_SECONDS, -1)
    assert len(admission.runs) == MAX_REMEMBERED_RUNS and -1 in admission.runs


# Guards against: an offer that may not be set up twice is, when its publisher comes again after it had left.
def test_a_publisher_that_comes_again_with_its_offer_is_not_set_up_twice(start_fleet):
    fleet = start_fleet()
    fleet.command("slow", by=0.6)
    publisher = fleet.viewer("p", "/whip/1", direction="sendonly")
    assert publisher.post(2, hang_up=0.05).status == 0
    fleet.until(lambda: fleet.count("post") == 1 and not fleet.daemon.host.viewings)
    assert publisher.post(2).kind == "session-over"
    gevent.sleep(1.0)
    assert publisher.post(2).kind == "session-over" and fleet.count("post") == 1
    publisher.new_offer()
    fleet.command("heal")
    assert publisher.post(2).status == 201


def test_a_publisher_whose_answer_was_lost_is_not_set_up_twice_by_the_same_offer(start_fleet):
    fleet = start_fleet()
    fleet.command("lose")
    publisher = fleet.viewer("p", "/whip/1", direction="sendonly")
    assert publisher.post(2).kind == "aborted"
    assert publisher.post(2).kind == "session-over" and fleet.count("post") == 1
