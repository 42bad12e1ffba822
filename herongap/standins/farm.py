"""The pool of fake streamers of one process: their racks, and the orders that inject faults."""

import json
import random
import time
from collections.abc import Callable

import gevent

from herongap.fleet.machine import MachineProfile, Rack

UPDATE_INTERVAL_SECONDS = 0.1  # of the streamers' shares of their racks' uplinks


class Log:
    """Writes the events of a fake's sockets as JSON lines: [time, who, what, details]."""

    def __init__(self, write: Callable[[str], object], clock: Callable[[], float] = time.monotonic):
        self._write, self._clock = write, clock

    def __call__(self, who: str, what: str, **details) -> None:
        self._write(json.dumps([round(self._clock(), 6), who, what, details]) + "\n")


class StreamerPool:
    """The streamers and their racks. Each streamer adds itself."""

    def __init__(
        self, kind: MachineProfile, log: Log, seed: int, clock: Callable[[], float] = time.monotonic
    ):
        self.kind, self.log, self.clock = kind, log, clock
        self.random = random.Random(seed)
        self.streamers: dict[str, object] = {}
        self.racks: dict[str, Rack] = {}
        self._updater = gevent.spawn(self._update_shares)

    def add(self, streamer) -> None:
        """Adds a streamer."""
        self.streamers[streamer.name] = streamer

    def rack(self, name: str) -> Rack:
        """Returns the rack of that name, which is created at its first use."""
        if name not in self.racks:
            self.racks[name] = Rack(self.kind.rack, self.kind.sharing)
        return self.racks[name]

    def _update_shares(self) -> None:
        # Shares change with warm-up as well as with sessions. They are recorded because reports are delayed.
        while True:
            gevent.sleep(UPDATE_INTERVAL_SECONDS)
            now = self.clock()
            for rack in self.racks.values():
                rack.allocate(now)
                rack.record_history(now)
            for streamer in self.streamers.values():
                streamer.sweep(now)

    def carry_out(self, order: dict) -> None:
        """Carries out one order of a script: {"do": ..., "on": [streamers], ...}."""
        for name in order.get("on", list(self.streamers)):
            streamer = self.streamers[name]
            self.log(name, "order", **{k: v for k, v in order.items() if k != "on"})
            streamer.order(order)

    def close(self) -> None:
        """Ends all streamers."""
        self._updater.kill()
        for streamer in self.streamers.values():
            streamer.die()
