"""Virtual time: due calls in one order, and chance by name."""

import zlib
from collections.abc import Callable
from heapq import heappop, heappush

import numpy as np


class Clock:
    """Runs calls at their times; those of one time in the order in which they were asked for."""

    def __init__(self):
        self.now, self._due, self._count = 0.0, [], 0

    def at(self, when: float, call: Callable, *args) -> None:
        self._count += 1
        heappush(self._due, (when, self._count, call, args))

    def after(self, seconds: float, call: Callable, *args) -> None:
        self.at(self.now + seconds, call, *args)

    def run(self, until: float) -> int:
        """Run what is due up to a time; how many calls that were."""
        ran = 0
        while self._due and self._due[0][0] <= until:
            self.now, _, call, args = heappop(self._due)
            call(*args)
            ran += 1
        self.now = max(self.now, until)
        return ran


def random_stream(seed: int, *name) -> np.random.Generator:
    """Chance of its own for each name: one more draw in one place moves nothing elsewhere.

    The name's checksum, not its `hash`, which differs from process to process.
    """
    return np.random.Generator(np.random.PCG64([seed, zlib.crc32(repr(name).encode())]))
