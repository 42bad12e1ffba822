"""The single timer of a controller: the host sets the time at which it is to be woken next."""

from collections.abc import Callable

import structlog
from gevent.event import Event

RETRY_AFTER_ERROR_SECONDS = 0.05
log = structlog.get_logger()


class Timer:
    """Fires at the time set last, on the host's clock; setting a new time replaces the previous one."""

    def __init__(self, clock: Callable[[], float]):
        self.clock, self.due, self._changed = clock, float("inf"), Event()

    def set(self, at: float) -> None:
        """Set the time at which the timer fires."""
        self.due = at
        self._changed.set()

    def run(self, callback: Callable[[float], object]) -> None:
        """Call `callback` with the current time whenever the timer is due; never returns."""
        while True:
            self._changed.clear()
            left = self.due - self.clock()
            if left > 0:
                self._changed.wait(None if left == float("inf") else left)
                continue
            self.due = float("inf")
            now = self.clock()
            try:
                callback(now)
            except Exception:
                log.exception("internal error in the timer callback; the timer continues")
                # The callback failed before it could set the next due time.
                self.set(now + RETRY_AFTER_ERROR_SECONDS)
