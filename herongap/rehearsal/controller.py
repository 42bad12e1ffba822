"""The process of one controller of a rehearsal: the daemon as `herongap serve` runs it, with a policy by
name. Orders on standard input, one JSON object a line, make its clocks wrong.
"""

import json
import sys
import time
from pathlib import Path

import gevent
from gevent.fileobject import FileObject

from herongap import observe
from herongap.daemon.run import Daemon, run_until_signal
from herongap.fleet.baselines import POLICIES
from herongap.ini import read_site_config


class Clock:
    """The machine's clock as this process has it: it may run fast or slow, and never jumps."""

    def __init__(self):
        self.rate, self.at = 1.0, time.monotonic()
        self.shown = self.at

    def __call__(self) -> float:
        return self.shown + (time.monotonic() - self.at) * self.rate

    def run_at(self, rate: float) -> None:
        self.shown, self.at, self.rate = self(), time.monotonic(), rate


def follow_orders(clock: Clock) -> None:
    """{"rate": 1.05} of the clock that only runs forward, {"step": 3.0} seconds of the wall clock."""
    right, stepped = time.time, 0.0
    for line in FileObject(sys.stdin.buffer, "rb"):
        order = json.loads(line)
        clock.run_at(order.get("rate", clock.rate))
        stepped += order.get("step", 0.0)
        time.time = lambda by=stepped: right() + by


def main(file: str, policy: str) -> None:
    site = read_site_config(Path(file))
    observe.configure_logging(site.front.log_level, site.front.log_format, site.front.log_to)
    clock = Clock()
    daemon = Daemon(site, POLICIES[policy], clock)
    daemon.start()
    gevent.spawn(follow_orders, clock)
    run_until_signal(daemon)


if __name__ == "__main__":
    main(*sys.argv[1:])
