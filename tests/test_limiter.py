"""Which connections of viewers are kept, without sockets."""

from types import SimpleNamespace

from structlog import DropEvent

from herongap.limiter import DOUBT, LAG, MUTE, STALE, ConnectionLimiter, evictions
from herongap.observe import Seldom


def nobody(who):
    return False


def anybody(who):
    return True


def test_mute_connections_go_first_then_those_longest_without_use():
    limiter = ConnectionLimiter(3)
    for i, who in enumerate("abc"):
        assert limiter.came(i / 10, who, anybody) == []
    limiter.spoke(1.0, "a")
    limiter.spoke(2.0, "c")
    assert limiter.came(2.1, "d", anybody) == ["b"]
    limiter.spoke(2.2, "d")
    assert limiter.came(2.3, "e", anybody) == ["a"]


def test_one_with_a_set_up_open_or_bytes_unread_is_not_shed():
    limiter = ConnectionLimiter(2)
    limiter.came(0.0, "a", anybody)
    limiter.came(0.0, "b", anybody)
    limiter.took("a")
    assert limiter.came(1.0, "c", lambda who: who != "b") == ["c"]
    limiter.settled("a")
    assert limiter.came(1.0, "d", lambda who: who != "b") == ["a"]


def test_a_newcomer_is_kept_where_nobody_else_may_go_until_descriptors_end():
    limiter = ConnectionLimiter(2, 3)
    for who in "ab":
        limiter.came(0.0, who, anybody)
        limiter.took(who)
    assert limiter.came(1.0, "c", anybody) == []
    assert limiter.came(1.0, "d", nobody) == ["d"] and len(limiter.known) == 3
    limiter.settled("a")
    assert limiter.came(1.0, "e", anybody) == ["a", "c"], "until it is as many as are kept again"


def test_silence_ends_a_connection_that_never_spoke_and_no_other():
    limiter = ConnectionLimiter(9)
    limiter.came(0.0, "mute", anybody)
    limiter.came(0.0, "spoke", anybody)
    limiter.spoke(0.1, "spoke")
    assert list(limiter.overdue(MUTE - 0.1, anybody, nobody)) == []
    assert list(limiter.overdue(MUTE + 0.1, nobody, nobody)) == []
    assert list(limiter.overdue(MUTE + 0.1, anybody, nobody)) == ["mute"]
    assert list(limiter.overdue(900.0, anybody, nobody)) == []


def test_a_line_that_has_only_just_begun_on_an_idle_connection_may_still_end():
    limiter = ConnectionLimiter(9)
    limiter.came(0.0, "a", anybody)
    limiter.spoke(0.1, "a")
    half = {"a"}.__contains__
    assert list(limiter.overdue(60.0, nobody, half)) == []
    assert list(limiter.overdue(60.0 + MUTE - 0.1, nobody, half)) == []
    assert list(limiter.overdue(60.0 + MUTE + 0.1, nobody, half)) == ["a"]


def line(spoke, doubted=None, attempts=()):
    return SimpleNamespace(spoke=spoke, doubted=doubted, attempts=attempts)


def test_two_idle_connections_to_a_streamer_are_kept_and_doubted_ones_are_not():
    busy, old, mid, new = line(0.0, attempts=("a",)), line(0.0), line(1.0), line(2.0)
    stale = STALE * 30.0
    assert evictions(1.0 + stale, [busy, new, old, mid], True, 30.0) == [old]
    assert evictions(2.5, [busy, new, old, mid], True, 30.0) == []
    assert evictions(2.5, [busy, new, old, mid], False, 30.0) == [old]
    mid.doubted = 3.0
    assert evictions(3.1 + DOUBT, [busy, new, mid], True, 30.0) == [mid]


def test_no_connection_is_kept_that_its_streamer_may_close_under_a_set_up():
    busy, old, new = line(0.0, attempts=("a",)), line(0.0), line(1.0)
    assert evictions(29.9, [busy, old, new], True, 30.0) == []
    assert evictions(30.5, [busy, old, new], True, 30.0) == [old]
    assert evictions(2.5, [busy, old, new], True, 2.0) == [old], "as the settings say, however short"


def test_a_late_process_turns_away_until_it_has_been_in_time_for_a_while():
    limiter = ConnectionLimiter(9)
    limiter.record_lag(LAG / 2)
    assert not limiter.is_overloaded()
    limiter.record_lag(2 * LAG)
    assert limiter.is_overloaded()
    for _ in range(4):
        limiter.record_lag(0.0)
    assert not limiter.is_overloaded()


def test_lines_of_one_kind_are_limited_and_what_was_left_out_is_counted():
    now = [10.0]
    seldom = Seldom(2, lambda: now[0])

    def passes(event):
        try:
            return seldom(None, "info", {"event": event})
        except DropEvent:
            return None

    assert [bool(passes("a")) for _ in range(4)] == [True, True, False, False] and passes("b")
    now[0] = 11.0
    assert passes("a") == {"event": "a", "left_out": 2} and passes("a") == {"event": "a"}
