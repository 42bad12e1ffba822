"""The process of one controller of a rehearsal: the daemon as `herongap serve` runs it, with a named policy.

Orders on standard input, one JSON object a line, skew its clocks.
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
    """A monotonic clock that can run fast or slow, and never jumps."""

    def __init__(self):
        self.rate, self.real_base = 1.0, time.monotonic()
        self.shown_base = self.real_base

    def __call__(self) -> float:
        return self.shown_base + (time.monotonic() - self.real_base) * self.rate

    def run_at(self, rate: float) -> None:
        """Runs at this many seconds for each real second from now on."""
        self.shown_base, self.real_base, self.rate = self(), time.monotonic(), rate


def follow_orders(clock: Clock) -> None:
    """Carries out orders: {"rate": 1.05} of the monotonic clock, {"step": 3.0} seconds of the wall clock."""
    real_time, offset = time.time, 0.0
    for line in FileObject(sys.stdin.buffer, "rb"):
        order = json.loads(line)
        clock.run_at(order.get("rate", clock.rate))
        offset += order.get("step", 0.0)
        time.time = lambda by=offset: real_time() + by


def main(file: str, policy: str) -> None:
    """Runs the daemon with the configuration of a file and a policy of `herongap.fleet.baselines`."""
    site = read_site_config(Path(file))
    observe.configure_logging(site.front.log_level, site.front.log_format, site.front.log_to)
    clock = Clock()
    daemon = Daemon(site, POLICIES[policy], clock)
    daemon.start()
    gevent.spawn(follow_orders, clock)
    run_until_signal(daemon)


if __name__ == "__main__":
    main(*sys.argv[1:])
