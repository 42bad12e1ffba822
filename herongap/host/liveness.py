"""Whether a streamer that plays viewings of ours still lives, told by its event stream. Decides without I/O.

A stream that breaks may be a hiccup; one that cannot be had again means that the streamer's process is gone,
and its viewings with it. A stream that stands but stays silent, heartbeats and all, is a streamer that hangs
or is cut off: it is told to the module as delivering nothing, and after a longer while its viewings count as
lost. Who was stopped, or late, judges nobody by that time: what was said meanwhile lies unread.
"""

from enum import Enum

SILENT_AFTER_SECONDS = (
    2.5  # seconds without a word, three heartbeats, after which it counts as delivering nothing
)
LOST_AFTER_SECONDS = 8.0  # seconds without a word after which its viewings are lost
TESTED_LOST_AFTER_SECONDS = 4.0  # the same where it has been tested all the time and passed no test
# Seconds without a word, and since the last test, until the next. Deployments charge for each: no more than
# leave a sound one a second to answer before it counts as silent.
TEST_INTERVAL_SECONDS = SILENT_AFTER_SECONDS / 2
# The last two where each test is paid for: just often enough to tell of an end within LOST. Where streamers
# send notes of their own more often than that, none is needed.
PAID_TEST_TIMES = LOST_AFTER_SECONDS - 1.5, LOST_AFTER_SECONDS / 2
STREAM_GONE_AFTER_SECONDS = 1.5  # seconds for which a broken stream may fail to come back
MAX_CHECK_GAP_SECONDS = (
    1.5  # seconds at most between two questions for a word, of a process that is neither stopped nor late
)


class Liveness(Enum):
    """What the host is to be told."""

    ALIVE = 1
    SILENT = 2
    LOST = 3


class StreamerLiveness:
    """The event stream, or the tests, of one streamer; silent for `lost` seconds its viewings are lost, and
    after `test` seconds it is tested.
    """

    def __init__(self, now: float, lost: float = LOST_AFTER_SECONDS, test: float = TEST_INTERVAL_SECONDS):
        self.last_heard, self.broken, self.lost, self.every, self.tested = now, None, lost, test, now
        self.asked = now
        self.silent_after = max(SILENT_AFTER_SECONDS, test + 1.0)

    def on_data(self, now: float) -> None:
        """Bytes came on the stream."""
        self.last_heard, self.broken = now, None

    def on_stream_broken(self, now: float, unknown: bool) -> bool:
        """The stream broke, or could not be had; True if its viewings are lost.

        `unknown` says that the streamer answered and knows nothing of the stream: it is a new process.
        """
        if self.broken is None:
            self.broken = now
        return unknown or now - self.broken >= STREAM_GONE_AFTER_SECONDS

    def is_gone_after_refusal(self, reset: bool, stands: bool) -> bool:
        """Whether one that refused a connection is gone: `reset`, if its last one was, and `stands`, if one
        does still.

        One that drains closes its door too, and plays on; one that dies resets what it had open. Where
        nothing was open nobody can tell: its silence will, or the list.
        """
        return reset and not stands

    def is_test_due(self, now: float) -> bool:
        """Whether it is to be tested now; asked about several times a second."""
        if due := now - max(self.last_heard, self.tested) > self.every:
            self.tested = now
        return due

    def check(self, now: float) -> Liveness:
        """What is to be told now; asked about once a second."""
        if (gap := now - max(self.last_heard, self.asked)) > MAX_CHECK_GAP_SECONDS:
            self.last_heard += gap  # nobody listened then
        self.asked, quiet = now, now - self.last_heard
        return (
            Liveness.LOST
            if quiet >= self.lost
            else Liveness.SILENT
            if quiet >= self.silent_after
            else Liveness.ALIVE
        )
