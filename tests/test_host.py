"""The library alone: one answer for each viewing whatever the order of events, and records replay."""

import random

import pytest
from helpers import NEWS, deployment_config, make_controller, streamer_entry, viewing_request

from herongap.errors import InternalMisuseError
from herongap.host import (
    Answer,
    Host,
    Recorder,
    RecordError,
    RepeatDetector,
    RepeatMatch,
    ViewingState,
    replay,
)
from herongap.host.replay import explain
from herongap.interface import EndReason, LoadReport, RepeatSafety, StreamerStatus


class Port:
    """Records every effect."""

    def __init__(self):
        self.effects, self.answers, self.at = [], {}, None

    def __getattr__(self, name):
        return lambda *args: self.effects.append((name, *args))

    def answer(self, viewing, answer):
        assert viewing not in self.answers, "answered twice"
        self.answers[viewing] = answer

    def wake(self, at):
        self.at = at

    def last(self, name):
        return next(e for e in reversed(self.effects) if e[0] == name)


def make_host(record=None, **terms):
    port = Port()
    config = deployment_config(extra_free=2.0, extra_share=0.1, extra_window=5.0, **terms)
    host = Host(0.0, 7, config, port, Recorder(record.append) if record is not None else None)
    host.listed(0.0, "whole", tuple(streamer_entry(10 + i, i) for i in range(3)))
    return host, port


def sent(port):
    """The viewing, number, streamer and time-out of the last tune-in."""
    _, request, number, streamer, _, time_out = port.last("tune_in")
    return request.viewing, number, streamer, time_out


# Guards against: each end at a lost streamer looks at all other viewings there, in quadratic time.
def test_viewings_that_end_together_are_followed_by_one_round_of_decisions():
    record = []
    host, port = make_host(record)
    for number in range(50):
        assert host.adopted(1.0, viewing_request(number), 0, 10, 0)
    raised = []
    host.module.rung_control.raise_one = lambda now, streamer: raised.append(streamer)
    host.all_ended(2.0, [*host.playing_at(10), (49, 7), (99, 0)], EndReason.BROKEN)
    assert not host.viewings and not host.module.viewings and len(raised) <= 1
    assert [e[1] for e in port.effects if e[0] == "viewing_ended"] == list(range(50))
    assert replay(record)[2] is None


def test_viewings_are_adopted_up_to_the_places_of_their_streamer():
    host, _ = make_host()
    for number in range(host.module.state.places["std"]):
        assert host.may_adopt(10)
        host.adopted(1.0, viewing_request(number), 0, 10, 0)
    assert not host.may_adopt(10) and host.may_adopt(11) and not host.may_adopt(99)


@pytest.mark.parametrize("offset, plays", [(-0.001, True), (0.0, False), (0.001, False)])
def test_a_start_just_before_at_and_just_after_the_time_out(offset, plays):
    host, port = make_host()
    host.asked(1.0, viewing_request(1, time_left=0.4))
    viewing, number, streamer, time_out = sent(port)
    assert host.started(1.0 + time_out + offset, viewing, number, streamer, None) is plays
    if plays:
        assert port.answers[1].verdict == "plays"
        return
    assert 1 not in port.answers or port.answers[1].verdict != "plays"
    assert ("tear_down", 1, number, streamer, False) in port.effects and host.counts["late"] == 1
    assert ("call_off", 1, number, streamer) in port.effects


def test_a_viewer_that_leaves_during_set_up_cancels_the_tune_in_and_a_late_start_is_torn_down():
    host, port = make_host()
    host.asked(1.0, viewing_request(1))
    viewing, number, streamer, _ = sent(port)
    host.left(1.1, 1)
    assert port.answers[1].verdict == "gone" and ("call_off", 1, number, streamer) in port.effects
    assert not host.started(1.2, 1, number, streamer, None)
    assert ("tear_down", 1, number, streamer, False) in port.effects and not host.module.viewings


def test_a_tune_in_decided_before_a_pause_is_not_sent_to_a_cold_streamer():
    host, port = make_host()
    host.counted(0.0, 0, 2)
    lines = [streamer.entry._replace(started=0.0) for streamer in host.module.streamers.values()]
    host.listed(0.0, "changes", lines)
    host.asked(1.0, viewing_request(1))
    while not any(e[0] == "tune_in" for e in port.effects):
        host.woke(port.at)
    viewing, number, streamer, _ = sent(port)
    at = host.viewings[viewing].sent_at
    assert host.sendable(viewing, number, at + 0.001)
    assert not host.sendable(viewing, number, at + 0.001, ranked=False), "others may have its slots by now"
    cycle = host.module.slow_start.slot_seconds * 2
    assert host.sendable(viewing, number, at + 0.9 * cycle)
    assert not host.sendable(viewing, number, at + cycle), "it would fall into the controller's own next slot"
    host.listed(at, "changes", [host.module.streamers[streamer].entry._replace(started=-99.0)])
    host.module.streamers[streamer].started = -99.0
    assert host.sendable(viewing, number, at + cycle, ranked=False), "a warm streamer can take it"


def test_a_drain_between_decision_and_send_stops_the_tune_in():
    host, port = make_host()
    host.asked(1.0, viewing_request(1))
    viewing, number, streamer, _ = sent(port)
    assert host.sendable(1, number, 1.0)
    host.listed(1.01, "changes", (streamer_entry(streamer, streamer - 10, StreamerStatus.LEAVING),))
    assert not host.sendable(1, number, 1.01)
    host.ended(1.01, 1, number, EndReason.UNREACHED)
    assert sent(port)[2] != streamer and host.sendable(1, number + 1, 1.01)


def test_a_seat_is_free_only_when_its_streamer_has_stopped_the_viewing():
    from helpers import NEWS

    host, port = make_host(packages=(NEWS._replace(seats=1),))
    host.asked(1.0, viewing_request(1))
    viewing, number, streamer, _ = sent(port)
    host.started(1.1, 1, number, streamer, None)
    host.left(2.0, 1)
    host.asked(2.1, viewing_request(2))
    assert sent(port)[0] == 1, "the seat is still taken"
    host.torn_down(2.2, 1, number)
    assert sent(port)[0] == 2
    host.started(2.3, 2, 0, sent(port)[2], None)
    host.left(3.0, 2)
    host.asked(4.99, viewing_request(3, time_left=9.0))
    host.woke(5.01)  # its streamer never confirmed the teardown: it counts as ended after a while
    assert sent(port)[0] == 3


def test_a_viewing_of_an_earlier_process_is_adopted_with_its_seat_and_controlled():
    record = []
    seats = NEWS._replace(seats=1)
    host, port = make_host(record, packages=(seats,))
    assert host.adopted(1.0, viewing_request(1), 2, 10, 1)
    hosted = host.viewings[1]
    assert (hosted.state, hosted.number, hosted.streamer, hosted.rung) == (ViewingState.PLAYING, 2, 10, 1)
    assert 1 not in port.answers, "the earlier process gave its answer"
    host.asked(1.1, viewing_request(2, time_left=0.5))
    host.woke(1.7)
    assert port.answers[2].verdict == "blocked", "its seat is taken"
    host.load_told(2.0, 10, False, None, 0.05)
    host.load_told(9.0, 10, False, None, 0.05)
    assert ("set_rung", 1, 2, 10, 2) in port.effects, "it is raised like any other viewing"
    host.ended(9.5, 1, 2, EndReason.PLAYED)
    host.asked(9.6, viewing_request(3))
    assert port.last("tune_in")[1].viewing == 3 and host.counts["adopted"] == 1
    assert not host.adopted(10.0, viewing_request(4), 0, 99, 0)
    assert ("tear_down", 4, 0, 99, False) in port.effects and 4 not in host.viewings
    assert replay(record)[2] is None
    with pytest.raises(InternalMisuseError):
        host.adopted(11.0, viewing_request(3), 0, 10, 0)


def test_an_empty_list_blocks_viewings_until_streamers_return():
    host, port = make_host()
    host.listed(1.0, "whole", ())
    host.asked(1.1, viewing_request(1))
    while 1 not in port.answers:
        host.woke(port.at)
    assert port.answers[1].verdict == "blocked"
    host.listed(9.0, "whole", tuple(streamer_entry(10 + i, i) for i in range(3)))
    host.asked(9.1, viewing_request(2))
    assert sent(port)[0] == 2


def test_a_viewing_that_may_have_run_is_not_repeated_if_that_is_harmful():
    from helpers import NEWS

    for reason, repeated in (
        (EndReason.BROKEN, False),
        (EndReason.TIMED_OUT, False),
        (EndReason.UNREACHED, True),
        (EndReason.FULL, True),
    ):
        host, port = make_host(packages=(NEWS._replace(repeat=RepeatSafety.HARMFUL),))
        host.asked(1.0, viewing_request(1))
        viewing, number, streamer, _ = sent(port)
        host.ended(1.05, 1, number, reason)
        assert (sent(port)[1] == 1) is repeated, reason
        assert repeated or port.answers[1] == Answer("aborted", cause=reason)


def test_invalid_transitions_are_rejected():
    host, port = make_host()
    hosted = host.asked(1.0, viewing_request(1))
    with pytest.raises(InternalMisuseError, match="held already"):
        host.asked(1.0, viewing_request(1))
    with pytest.raises(InternalMisuseError, match="cannot become"):
        hosted.transition_to(ViewingState.CLOSING)
    hosted.record_answer(Answer("blocked"))
    with pytest.raises(InternalMisuseError, match="was answered"):
        hosted.record_answer(Answer("plays"))


def drive(seed, record):
    """A random run: streamers answer anything at any time, viewers leave, lists change."""
    r = random.Random(seed)
    host, port = make_host(record)
    pending, now, requests = {}, 0.0, 0
    for _ in range(1500):
        now = round(now + r.expovariate(8), 6)
        while port.at is not None and port.at <= now:
            at, port.at = port.at, None
            host.woke(at)
        for effect in port.effects:
            if effect[0] == "tune_in":
                pending[effect[1].viewing, effect[2]] = effect[3]
        port.effects.clear()
        chance = r.random()
        if chance < 0.35:
            requests += 1
            host.asked(now, viewing_request(requests, r.randint(0, 2), time_left=r.uniform(0.1, 3)))
        elif chance < 0.75 and pending:
            viewing, number = r.choice(list(pending))
            streamer = pending.pop((viewing, number))
            load = r.choice((None, LoadReport(link=r.uniform(0, 0.8), rack=r.uniform(0, 0.8))))
            if r.random() < 0.85:
                host.started(now, viewing, number, streamer, load)
            else:
                host.ended(now, viewing, number, r.choice([EndReason.FULL] * 8 + list(EndReason)), load)
        elif chance < 0.85 and requests:
            host.left(now, r.randint(1, requests))
        elif chance < 0.9 and host.viewings:
            viewing = r.choice(list(host.viewings))
            host.torn_down(now, viewing, host.viewings[viewing].number)
        elif chance < 0.93:
            host.share_told(now, r.randint(10, 13), r.uniform(0.35, 1))
        elif chance < 0.96:
            host.load_told(now, r.randint(10, 13), r.random() < 0.5, None, r.uniform(0, 1))
        elif chance < 0.98 and host.viewings:
            viewing = r.choice(list(host.viewings))
            host.ended(now, viewing, host.viewings[viewing].number, EndReason.BROKEN)
        else:
            streamer = r.randint(10, 12)
            host.listed(
                now,
                "changes",
                (
                    streamer_entry(
                        streamer, streamer - 10, r.choice([StreamerStatus.ACTIVE] * 7 + list(StreamerStatus))
                    ),
                ),
            )
    for _ in range(200):
        now = max(now, port.at)
        host.woke(now)
    unanswered = [viewing for viewing in range(1, requests + 1) if viewing not in port.answers]
    assert not unanswered and not any(
        hosted.state is ViewingState.WAITING for hosted in host.viewings.values()
    )
    return host


def test_every_viewing_gets_one_answer_and_every_record_replays():
    for seed in range(6):
        record = []
        host = drive(seed, record)
        assert all(host.counts[k] for k in ("plays", "blocked", "gone", "late")), host.counts
        inputs, decisions, found = replay(record)
        assert found is None and inputs > 1500 and decisions > 1000


def test_a_record_shows_where_decisions_differ_and_why_one_was_taken():
    record = []
    drive(1, record)
    place = next(i for i, line in enumerate(record) if line.startswith(b'["tune_in"'))
    changed = [
        line.replace(b'"tune_in"', b'"probe"') if i == place else line for i, line in enumerate(record)
    ]
    _, _, found = replay(changed)
    assert found and found.recorded[0] == "probe" and found.decided[0] == "tune_in"
    explained = "\n".join(explain(record, 1))
    assert "asked" in explained and "tune_in" in explained and "link 0." in explained


def test_a_record_cut_off_within_a_line_is_read_up_to_there_and_an_unreadable_line_is_reported():
    record = []
    drive(2, record)
    complete = b"".join(record)
    lines = complete[: len(complete) // 2].splitlines(keepends=True)
    assert replay(lines)[2] is None
    with pytest.raises(RecordError, match="line 5"):
        replay([*record[:4], b"{nonsense\n", *record[4:]])
    with pytest.raises(RecordError, match="line 1"):
        replay([b"{}\n"])


def test_repeated_requests_are_one_viewing_until_it_has_ended():
    repeats = RepeatDetector(remember=10.0, most=2)
    assert repeats.match(0.0, ("a",), "x") == (RepeatMatch.NEW, None)
    repeats.add(("a",), "x", 1)
    assert repeats.match(1.0, ("a",), "x") == (RepeatMatch.JOIN, 1)
    assert repeats.match(1.0, ("a",), "other offer") == (RepeatMatch.CONFLICT, None)
    repeats.remove(2.0, 1, played=False)
    assert repeats.match(2.0, ("a",), "x") == (RepeatMatch.NEW, None), "a blocked viewer may retry"
    repeats.add(("a",), "x", 2)
    repeats.remove(3.0, 2, played=True)
    assert repeats.match(4.0, ("a",), "x") == (RepeatMatch.ENDED, None)
    assert repeats.match(13.0, ("a",), "x") == (RepeatMatch.NEW, None)
    for n in range(5):
        repeats.add((n,), "x", n)
        repeats.remove(20.0, n, played=True)
    repeats.match(20.0, (9,), "x")
    assert len(repeats.ended) == 2, "the number of remembered viewings is limited"


def test_only_the_design_uses_its_own_choice_of_streamer():
    from herongap.fleet.baselines import POLICIES

    controller = make_controller()
    unchanged = [
        name
        for name, make in POLICIES.items()
        if make.QualityTable.pick is type(controller).QualityTable.pick
    ]
    assert unchanged == ["herongap"] and {"random", "least-used"} < set(POLICIES)
