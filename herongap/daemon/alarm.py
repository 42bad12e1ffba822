"""The one timer of a controller: the host says when it is to be woken next."""

from collections.abc import Callable

from gevent.event import Event


class Alarm:
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
            ring(self.clock())
