"""All stand-in streamers of one process: their racks, and the orders that make them fail."""

import json
import random
import time
from collections.abc import Callable

import gevent

from herongap.fleet.machine import MachineProfile, Rack

TICK = 0.1  # seconds between two looks at the shares


class Log:
    """What a stand-in saw on its sockets: one JSON array a line, [time, who, what, details]."""

    def __init__(self, write: Callable[[str], object], clock: Callable[[], float] = time.monotonic):
        self._write, self._clock = write, clock

    def __call__(self, who: str, what: str, **details) -> None:
        self._write(json.dumps([round(self._clock(), 6), who, what, details]) + "\n")


class Farm:
    """The streamers and their racks; each streamer adds itself."""

    def __init__(
        self, kind: MachineProfile, log: Log, seed: int, clock: Callable[[], float] = time.monotonic
    ):
        self.kind, self.log, self.clock = kind, log, clock
        self.random = random.Random(seed)
        self.streamers: dict[str, object] = {}
        self.racks: dict[str, Rack] = {}
        self._ticking = gevent.spawn(self._run)

    def add(self, streamer) -> None:
        self.streamers[streamer.name] = streamer

    def rack(self, name: str) -> Rack:
        if name not in self.racks:
            self.racks[name] = Rack(self.kind.rack, self.kind.sharing)
        return self.racks[name]

    def _run(self) -> None:
        # Shares change with warmth as well as with sessions; and notes are late, so the past is kept.
        while True:
            gevent.sleep(TICK)
            now = self.clock()
            for rack in self.racks.values():
                rack.allocate(now)
                rack.record_history(now)
            for st in self.streamers.values():
                st.sweep(now)

    def command(self, order: dict) -> None:
        """Carry out one order of a script: {"do": ..., "on": [streamers], ...}."""
        for name in order.get("on", list(self.streamers)):
            st = self.streamers[name]
            self.log(name, "order", **{k: v for k, v in order.items() if k != "on"})
            st.order(order)

    def close(self) -> None:
        self._ticking.kill()
        for st in self.streamers.values():
            st.die()
