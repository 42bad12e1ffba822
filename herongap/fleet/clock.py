"""Virtual time: scheduled calls in a fixed order, and random streams by name."""

import zlib
from collections.abc import Callable
from heapq import heappop, heappush

import numpy as np


class Clock:
    """Runs scheduled calls at their times, and calls of the same time in the order of scheduling."""

    def __init__(self):
        self.now, self._due, self._count = 0.0, [], 0

    def at(self, when: float, call: Callable, *args) -> None:
        """Schedules a call at a time."""
        self._count += 1
        heappush(self._due, (when, self._count, call, args))

    def after(self, seconds: float, call: Callable, *args) -> None:
        """Schedules a call after a delay."""
        self.at(self.now + seconds, call, *args)

    def run(self, until: float) -> int:
        """Runs the calls that are due up to a time and returns their number."""
        ran = 0
        while self._due and self._due[0][0] <= until:
            self.now, _, call, args = heappop(self._due)
            call(*args)
            ran += 1
        self.now = max(self.now, until)
        return ran


def random_stream(seed: int, *name) -> np.random.Generator:
    """A random generator for each name, so that an additional draw in one place changes no other.

    Seeded with a checksum of the name instead of its `hash`, which differs between processes.
    """
    return np.random.Generator(np.random.PCG64([seed, zlib.crc32(repr(name).encode())]))
