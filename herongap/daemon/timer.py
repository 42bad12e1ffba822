"""The one timer of a controller: the host says when it is to be woken next."""

from collections.abc import Callable

import structlog
from gevent.event import Event

STUMBLE = 0.05  # seconds after a fault of ours until the host is woken again
log = structlog.get_logger()


class Timer:
    """Rings at the time that was set last, on the host's clock; setting it anew replaces that."""

    def __init__(self, clock: Callable[[], float]):
        self.clock, self.due, self._changed = clock, float("inf"), Event()

    def set(self, at: float) -> None:
        self.due = at
        self._changed.set()

    def run(self, ring: Callable[[float], object]) -> None:
        """Call `ring` with the time whenever it is due; never returns."""
        while True:
            self._changed.clear()
            left = self.due - self.clock()
            if left > 0:
                self._changed.wait(None if left == float("inf") else left)
                continue
            self.due = float("inf")
            now = self.clock()
            try:
                ring(now)
            except Exception:
                log.exception("a fault of ours; the timer goes on")
                # The host was not asked what is due next.
                self.set(now + STUMBLE)
