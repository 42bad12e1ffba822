"""All stand-in streamers of one process: their racks, the shares that links and uplinks give, their
faults.
"""

import json
import random
import time
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

import gevent

TICK = 0.1  # seconds between two looks at the shares


class Kind(NamedTuple):
    """What all streamers of a farm have in common; rates in kB a second, times in seconds."""

    ladder: tuple[float, ...]
    values: tuple[float, ...]
    link: float
    rack: float
    places: int
    full_from: float = 0.0
    warm_up: float = 10.0
    cold_start: float = 0.4
    fall_multiple: float = 2.5
    tip_after: float = 1.0
    set_up: tuple[float, float] = (0.005, 0.03)
    tell: float = 2.0
    told_late: float = 0.4
    join_wait: float = 4.0
    consent: float = 5.0
    stall: float = 7.0


class Log:
    """What a stand-in saw on its sockets: one JSON array a line, [time, who, what, details]."""

    def __init__(self, write: Callable[[str], object], clock: Callable[[], float] = time.monotonic):
        self._write, self._clock = write, clock

    def __call__(self, who: str, what: str, **details) -> None:
        self._write(json.dumps([round(self._clock(), 6), who, what, details]) + "\n")


class Farm:
    """The streamers and what they share. `streamers` is filled by `add`."""

    def __init__(self, kind: Kind, log: Log, seed: int, clock: Callable[[], float] = time.monotonic):
        self.kind, self.log, self.clock = kind, log, clock
        self.random = random.Random(seed)
        self.streamers: dict[str, object] = {}
        self.sags: dict[str, float] = defaultdict(lambda: 1.0)
        # What was asked of each rack's uplink over what it gives, newest last, for reports that come late.
        self.asked: dict[str, float] = {}
        self.past: dict[str, deque] = defaultdict(lambda: deque(maxlen=100))
        self._ticking = gevent.spawn(self._run)

    def add(self, streamer) -> None:
        self.streamers[streamer.name] = streamer

    def _run(self) -> None:
        last = self.clock()
        while True:
            gevent.sleep(TICK)
            now = self.clock()
            self.share_out(now, now - last)
            last = now

    def share_out(self, now: float, passed: float) -> None:
        """Give every session its share: equal for all on a link, and again for all on a rack's uplink.

        A link of size L asked for A gives each session min(1, L/A) of its rate; an uplink likewise of what
        comes through the links (the bench's formula: the smaller of the two shares).
        """
        racks: dict[str, list] = defaultdict(list)
        for st in self.streamers.values():
            racks[st.rack].append(st)
        for rack, members in racks.items():
            asked = sum(st.asked() for st in members)
            self.asked[rack] = asked / self.kind.rack
            for st in members:
                link = st.link_now(now)
                st.link_ratio = st.asked() / link
                st.share = min(1.0, 1 / max(st.link_ratio, 1e-9), 1 / max(self.asked[rack], 1e-9))
                st.past.append((now, st.link_ratio, self.asked[rack], st.share))
                st.play(now, passed)

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
