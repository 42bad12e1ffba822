"""Whether a streamer that plays viewings of ours still lives, told by its event stream. Decides without I/O.

A stream that breaks may be a hiccup; one that cannot be had again means that the streamer's process is gone,
and its viewings with it. A stream that stands but stays silent, heartbeats and all, is a streamer that hangs
or is cut off: it is told to the module as delivering nothing, and after a longer while its viewings count as
lost. Who was stopped, or late, judges nobody by that time: what was said meanwhile lies unread.
"""

from enum import Enum

SILENT = 2.5  # seconds without a word, three heartbeats, after which it counts as delivering nothing
LOST = 8.0  # seconds without a word after which its viewings are lost
TESTED = 4.0  # the same where it has been tested all the time and passed no test
# Seconds without a word, and since the last test, until the next. Deployments charge for each: no more than
# leave a sound one a second to answer before it counts as silent.
TEST = SILENT / 2
# The last two where each test is paid for: just often enough to tell of an end within LOST. Where streamers
# send notes of their own more often than that, none is needed.
PAID = LOST - 1.5, LOST / 2
GONE = 1.5  # seconds for which a broken stream may fail to come back
ASKED = 1.5  # seconds at most between two questions for a word, of a process that is neither stopped nor late


class Word(Enum):
    """What the host is to be told."""

    FINE = 1
    SILENT = 2
    LOST = 3


class Pulse:
    """The event stream, or the tests, of one streamer; silent for `lost` seconds its viewings are lost, and
    after `test` seconds it is tested.
    """

    def __init__(self, now: float, lost: float = LOST, test: float = TEST):
        self.heard, self.broken, self.lost, self.every, self.tested = now, None, lost, test, now
        self.asked = now
        self.silent = max(SILENT, test + 1.0)

    def spoke(self, now: float) -> None:
        """Bytes came on the stream."""
        self.heard, self.broken = now, None

    def broke(self, now: float, unknown: bool) -> bool:
        """The stream broke, or could not be had; True if its viewings are lost.

        `unknown` says that the streamer answered and knows nothing of the stream: it is a new process.
        """
        if self.broken is None:
            self.broken = now
        return unknown or now - self.broken >= GONE

    def refused(self, reset: bool, stands: bool) -> bool:
        """Whether one that refused a connection is gone: `reset`, if its last one was, and `stands`, if one
        does still.

        One that drains closes its door too, and plays on; one that dies resets what it had open. Where
        nothing was open nobody can tell: its silence will, or the list.
        """
        return reset and not stands

    def test(self, now: float) -> bool:
        """Whether it is to be tested now; asked about several times a second."""
        if due := now - max(self.heard, self.tested) > self.every:
            self.tested = now
        return due

    def word(self, now: float) -> Word:
        """What is to be told now; asked about once a second."""
        if (gap := now - max(self.heard, self.asked)) > ASKED:
            self.heard += gap  # nobody listened then
        self.asked, quiet = now, now - self.heard
        return Word.LOST if quiet >= self.lost else Word.SILENT if quiet >= self.silent else Word.FINE
