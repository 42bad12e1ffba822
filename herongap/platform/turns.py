"""Decides, without I/O, when a peer that sends without a break is served again.

One thread serves all peers. A socket whose peer sends as fast as it is read never makes its reader wait, so
the reader itself has to stop after a bounded turn. Turns that follow another one without a wait for input are
spaced here; they take half of the process's time at most, however many such peers there are.
"""

from collections.abc import Callable

TURN_BYTES = 16384  # input of one connection that is handled in one turn
TURN_ACCEPTS = 16  # connections that are accepted in one turn
# Shortest pause: the event loop looks for input of other peers and for due timers only when it waits.
MIN_PAUSE_SECONDS = 0.001


class TurnPacer:
    """Spaces the turns of several peers; `clock` returns seconds."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self._reserved_until = 0.0
        self._longest_turn = 0.0

    def next_turn_after(self, duration: float) -> float:
        """Return when a peer may be served again whose turn took that many seconds and ends now."""
        duration = max(duration, MIN_PAUSE_SECONDS)
        self._longest_turn = max(self._longest_turn, duration)
        # Each turn reserves its own time once more for all other work.
        self._reserved_until = max(self._reserved_until, self.clock() - duration) + 2 * duration
        return self._reserved_until

    def pop_longest_turn(self) -> float:
        """Return how long (seconds) the longest turn since the last call was that was followed by a pause."""
        longest, self._longest_turn = self._longest_turn, 0.0
        return longest


class InputTurns:
    """The turns of one connection: how much of its input was handled, and when it is read again."""

    def __init__(self, pacer: TurnPacer):
        self._pacer = pacer
        self._handled_bytes, self._duration, self._resumes_at = 0, 0.0, 0.0

    def input_exhausted(self) -> None:
        """Begin a new turn, as all input of the peer has been handled."""
        self._handled_bytes, self._duration = 0, 0.0

    def input_handled(self, size: int, began: float) -> None:
        """Count bytes that were handled from that time until now; a full turn is followed by a pause."""
        self._handled_bytes += size
        self._duration += self._pacer.clock() - began
        if self._handled_bytes >= TURN_BYTES:
            self._resumes_at = self._pacer.next_turn_after(self._duration)
            self.input_exhausted()

    def pause(self) -> float:
        """Return for how many seconds the connection is not read; 0.0 if it may be read now."""
        return max(0.0, self._resumes_at - self._pacer.clock())
