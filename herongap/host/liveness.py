"""Whether a streamer that plays viewings of this controller is alive, judged by its event stream. No I/O.

A stream that breaks may be a short disturbance; if it cannot be opened again, the streamer's process is gone,
and its viewings with it. A stream that stays open without any data, not even heartbeats, belongs to a
streamer that hangs or is cut off: it is reported to the module as delivering nothing, and after some more
time its viewings count as lost. Time during which this process was paused or late does not count, as whatever
the streamer sent then has not been read yet.
"""

from enum import Enum

SILENT_AFTER_SECONDS = 2.5  # three heartbeats
LOST_AFTER_SECONDS = 8.0
TESTED_LOST_AFTER_SECONDS = 4.0  # for a streamer that was tested all that time and passed no test
# Silence, and time since the last test, until the next test. Deployments charge for each test: no more of
# them than leave a healthy streamer a second to answer before it counts as silent.
TEST_INTERVAL_SECONDS = SILENT_AFTER_SECONDS / 2
# The time until a streamer is lost and the test interval where each test is charged for: just often enough to
# detect an end within LOST_AFTER_SECONDS. A streamer that sends notices more often needs no test.
PAID_TEST_TIMES = LOST_AFTER_SECONDS - 1.5, LOST_AFTER_SECONDS / 2
STREAM_GONE_AFTER_SECONDS = 1.5  # time for which a broken stream may fail to reopen
MAX_CHECK_GAP_SECONDS = 1.5  # longest time between two checks of a process that is neither paused nor late


class Liveness(Enum):
    """What the host is to assume of a streamer."""

    ALIVE = 1
    SILENT = 2
    LOST = 3


class StreamerLiveness:
    """The event stream, or the tests, of one streamer.

    Its viewings are lost after `lost_after` seconds of silence; it is tested every `test_interval` seconds of
    silence.
    """

    def __init__(
        self, now: float, lost_after: float = LOST_AFTER_SECONDS, test_interval: float = TEST_INTERVAL_SECONDS
    ):
        self.last_heard, self.broken_at, self.lost_after, self.test_interval, self.last_tested = (
            now,
            None,
            lost_after,
            test_interval,
            now,
        )
        self.last_checked = now
        self.silent_after = max(SILENT_AFTER_SECONDS, test_interval + 1.0)

    def on_data(self, now: float) -> None:
        """Data arrived on the stream."""
        self.last_heard, self.broken_at = now, None

    def on_stream_broken(self, now: float, unknown: bool) -> bool:
        """The stream broke or could not be opened; True if its viewings are lost.

        `unknown` says that the streamer answered and does not know the stream: it is a new process.
        """
        if self.broken_at is None:
            self.broken_at = now
        return unknown or now - self.broken_at >= STREAM_GONE_AFTER_SECONDS

    def is_gone_after_refusal(self, reset: bool, has_connection: bool) -> bool:
        """Whether a streamer that refused a connection is gone.

        `reset` says that its last connection was reset, `has_connection` that another one is still open. A
        streamer that drains refuses connections too, and plays on; one that dies resets its open connections.
        If none was open, only its silence or the streamer list can tell.
        """
        return reset and not has_connection

    def is_test_due(self, now: float) -> bool:
        """Whether to test it now; called several times a second."""
        if due := now - max(self.last_heard, self.last_tested) > self.test_interval:
            self.last_tested = now
        return due

    def check(self, now: float) -> Liveness:
        """What to assume of it now; called about once a second."""
        if (gap := now - max(self.last_heard, self.last_checked)) > MAX_CHECK_GAP_SECONDS:
            self.last_heard += gap  # nothing was read in that time
        self.last_checked, silence = now, now - self.last_heard
        return (
            Liveness.LOST
            if silence >= self.lost_after
            else Liveness.SILENT
            if silence >= self.silent_after
            else Liveness.ALIVE
        )
