"""Which connections a controller keeps, without sockets."""

from types import SimpleNamespace

import pytest
from structlog import DropEvent

from herongap.limiter import (
    MAX_LAG_SECONDS,
    MESSAGE_TIMEOUT_SECONDS,
    STALE_IDLE_SHARE,
    SUSPECT_TIMEOUT_SECONDS,
    ConnectionLimiter,
    connections_to_close,
)
from herongap.observe import LogRateLimiter
from herongap.platform.turns import MIN_PAUSE_SECONDS, TURN_BYTES, InputTurns, TurnPacer


def never(client):
    return False


def always(client):
    return True


def test_silent_connections_are_closed_first_then_the_least_recently_used():
    limiter = ConnectionLimiter(3)
    for i, client in enumerate("abc"):
        assert limiter.add(i / 10, client, always) == []
    limiter.message_received(1.0, "a")
    limiter.message_received(2.0, "c")
    assert limiter.add(2.1, "d", always) == ["b"]
    limiter.message_received(2.2, "d")
    assert limiter.add(2.3, "e", always) == ["a"]


def test_a_connection_with_an_unanswered_set_up_or_unread_data_is_not_closed():
    limiter = ConnectionLimiter(2)
    limiter.add(0.0, "a", always)
    limiter.add(0.0, "b", always)
    limiter.set_up_accepted("a")
    assert limiter.add(1.0, "c", lambda client: client != "b") == ["c"]
    limiter.set_up_answered("a")
    assert limiter.add(1.0, "d", lambda client: client != "b") == ["a"]


def test_the_oldest_connection_that_floods_is_closed_beyond_the_hard_limit_and_not_the_new_one():
    limiter = ConnectionLimiter(3, 4)
    for client in "abcd":
        limiter.add(0.0, client, never)
    limiter.set_up_accepted("a")
    floods = {"a", "c", "d"}.__contains__
    assert limiter.add(1.0, "e", never, floods) == ["c"], "the first one without an unanswered set-up"
    assert limiter.add(1.0, "f", never, floods) == ["d"]
    assert limiter.add(1.0, "g", never, floods) == ["g"]
    assert limiter.add(1.0, "h", lambda client: client in "be", floods) == ["b", "e"], "quiet ones come first"


def test_a_new_connection_is_kept_up_to_the_hard_limit_if_no_other_may_be_closed():
    limiter = ConnectionLimiter(2, 3)
    for client in "ab":
        limiter.add(0.0, client, always)
        limiter.set_up_accepted(client)
    assert limiter.add(1.0, "c", always) == []
    assert limiter.add(1.0, "d", never) == ["d"] and len(limiter.clients) == 3
    limiter.set_up_answered("a")
    assert limiter.add(1.0, "e", always) == ["a", "c"], (
        "closed until there are no more than `max_connections` again"
    )


def test_only_a_connection_that_never_sent_a_message_is_closed_for_silence():
    limiter = ConnectionLimiter(9)
    limiter.add(0.0, "silent", always)
    limiter.add(0.0, "active", always)
    limiter.message_received(0.1, "active")
    assert list(limiter.pop_overdue(MESSAGE_TIMEOUT_SECONDS - 0.1, always, never)) == []
    assert list(limiter.pop_overdue(MESSAGE_TIMEOUT_SECONDS + 0.1, never, never)) == []
    assert list(limiter.pop_overdue(MESSAGE_TIMEOUT_SECONDS + 0.1, always, never)) == ["silent"]
    assert list(limiter.pop_overdue(900.0, always, never)) == []


def test_a_partial_line_on_an_idle_connection_has_the_full_message_timeout():
    limiter = ConnectionLimiter(9)
    limiter.add(0.0, "a", always)
    limiter.message_received(0.1, "a")
    has_partial_line = {"a"}.__contains__
    assert list(limiter.pop_overdue(60.0, never, has_partial_line)) == []
    assert list(limiter.pop_overdue(60.0 + MESSAGE_TIMEOUT_SECONDS - 0.1, never, has_partial_line)) == []
    assert list(limiter.pop_overdue(60.0 + MESSAGE_TIMEOUT_SECONDS + 0.1, never, has_partial_line)) == ["a"]


def connection(last_received, suspected_at=None, attempts=()):
    return SimpleNamespace(last_received=last_received, suspected_at=suspected_at, attempts=attempts)


def test_two_idle_connections_to_a_streamer_are_kept_unless_suspected():
    busy, old, mid, new = connection(0.0, attempts=("a",)), connection(0.0), connection(1.0), connection(2.0)
    stale = STALE_IDLE_SHARE * 30.0
    assert connections_to_close(1.0 + stale, [busy, new, old, mid], True, 30.0) == [old]
    assert connections_to_close(2.5, [busy, new, old, mid], True, 30.0) == []
    assert connections_to_close(2.5, [busy, new, old, mid], False, 30.0) == [old]
    mid.suspected_at = 3.0
    assert connections_to_close(3.1 + SUSPECT_TIMEOUT_SECONDS, [busy, new, mid], True, 30.0) == [mid]


def test_no_connection_is_kept_that_its_streamer_may_close_during_a_set_up():
    busy, old, new = connection(0.0, attempts=("a",)), connection(0.0), connection(1.0)
    assert connections_to_close(29.9, [busy, old, new], True, 30.0) == []
    assert connections_to_close(30.5, [busy, old, new], True, 30.0) == [old]
    assert connections_to_close(2.5, [busy, old, new], True, 2.0) == [old], (
        "the idle limit of the settings applies, however short"
    )


def test_a_late_process_is_overloaded_until_it_has_been_on_time_for_a_while():
    limiter = ConnectionLimiter(9)
    limiter.record_lag(MAX_LAG_SECONDS / 2)
    assert not limiter.is_overloaded()
    limiter.record_lag(2 * MAX_LAG_SECONDS)
    assert limiter.is_overloaded()
    for _ in range(4):
        limiter.record_lag(0.0)
    assert not limiter.is_overloaded()


def test_log_lines_of_one_event_are_limited_and_the_omitted_ones_counted():
    now = [10.0]
    limiter = LogRateLimiter(2, lambda: now[0])

    def passes(event):
        try:
            return limiter(None, "info", {"event": event})
        except DropEvent:
            return None

    assert [bool(passes("a")) for _ in range(4)] == [True, True, False, False] and passes("b")
    now[0] = 11.0
    assert passes("a") == {"event": "a", "left_out": 2} and passes("a") == {"event": "a"}


# Guards against: many peers that never stop sending take all of the process's time between them.
def test_turns_of_many_peers_leave_half_of_the_time_for_other_work():
    now, turn_seconds = 0.0, 0.004
    pacer = TurnPacer(lambda: now)
    peers = {f"peer-{i}": 0.0 for i in range(40)}
    busy = 0.0
    while now < 10.0:
        peer, resumes_at = min(peers.items(), key=lambda item: item[1])
        now = max(now, resumes_at)
        now += turn_seconds
        busy += turn_seconds
        peers[peer] = pacer.next_turn_after(turn_seconds)
    # The first turn of each peer comes before any pause.
    assert busy - len(peers) * turn_seconds <= 0.5 * now
    assert pacer.pop_longest_turn() == pytest.approx(turn_seconds) and pacer.pop_longest_turn() == 0.0


def test_a_connection_pauses_after_a_full_turn_and_not_while_it_waits_for_input():
    now = 0.0
    turns = InputTurns(TurnPacer(lambda: now))
    for _ in range(10):
        turns.input_handled(TURN_BYTES - 1, now)
        turns.input_exhausted()
        assert turns.pause() == 0.0
    began, now = now, 0.002
    turns.input_handled(TURN_BYTES - 1, began)
    turns.input_handled(1, now)
    assert turns.pause() == pytest.approx(0.002)
    now = 0.004
    assert turns.pause() == pytest.approx(0.0, abs=1e-9)


# Guards against: the time between two messages counts as a turn, and the pause after it lasts as long.
def test_a_connection_that_is_seldom_read_does_not_pause_for_long():
    now = 0.0
    turns = InputTurns(TurnPacer(lambda: now))
    for _ in range(100):
        now += 10.0
        turns.input_handled(TURN_BYTES // 50, now)
        assert turns.pause() <= 2 * MIN_PAUSE_SECONDS
