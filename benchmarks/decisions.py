"""Cost of a decision by number of streamers and held viewings, on the library alone, with a profile.

    python benchmarks/decisions.py [--profile] [STREAMERSxHELD ...]

One controller with a package with seats, titles held by a fifth of the streamers (at least 5) or, with
`all`, by every one. Each size first fills its held viewings. Then 300 requests arrive at 20 a second, each
answered at once by its streamer, and as many viewings end. Every streamer reports its load each 2 seconds.
The result is microseconds for each request, with all work that it causes.
"""

import cProfile
import json
import pstats
import sys
import time
from pathlib import Path

from herongap.fleet.day import (
    ClientSettings,
    Day,
    DaySettings,
    PackageSettings,
    StreamerSettings,
    controller_ini,
)
from herongap.host import Host
from herongap.ini import parse_site_config
from herongap.interface import LoadReport, StreamerEntry, StreamerStatus, ViewingRequest

REQUESTS, REQUESTS_PER_SECOND, REPORT_INTERVAL_SECONDS = 300, 20.0, 2.0


class Port:
    """A port to streamers whose set-ups take no time."""

    def __init__(self):
        self.pending, self.blocked = [], 0

    def tune_in(self, request, number, streamer, rung, time_out):
        self.pending.append((request.viewing, number, streamer))

    def answer(self, viewing, answer):
        self.blocked += answer.verdict != "plays"

    def tear_down(self, viewing, number, streamer, wanted):
        self.pending.append((viewing, number, None))

    def nothing(self, *_):
        return None

    call_off = set_rung = viewing_ended = probe = follow = send_to_peer = wake = nothing


def site(streamers: int):
    """Returns the configuration of a controller, and the number of racks."""
    machines = StreamerSettings(link=40000.0, rack=400000.0, places=60)
    packages = {
        "standard": PackageSettings(share=0.7, join_target=1.5, patience=5.0, default=True),
        "seats": PackageSettings(share=0.3, join_target=0.8, patience=4.0, value=2.0, seats=200),
    }
    size = DaySettings(streamers=streamers, controllers=4, racks=max(2, streamers // 8))
    day = Day(size, ClientSettings(), machines, packages, {})
    return parse_site_config(controller_ini(day, 0, 1, Path("/tmp")), Path("/tmp/decisions.ini")), size.racks


class Run:
    """One run, with a number of streamers."""

    def __init__(self, streamers: int, everywhere: bool):
        configuration, racks = site(streamers)
        self.port, self.now, self.count, self.reported_at = Port(), 0.0, 0, 0.0
        self.names = [f"s{i}" for i in range(streamers)]
        self.host = Host(0.0, 1, configuration.deployment, self.port)
        entries = [
            StreamerEntry(n, f"z{i % 2}", "std", n, n, f"r{i % racks}", StreamerStatus.ACTIVE, 1.0, None)
            for i, n in enumerate(self.names)
        ]
        self.host.listed(0.0, "whole", entries)
        holder_count = streamers if everywhere else max(5, streamers // 5)
        self.holders = [
            frozenset(self.names[(t * 7 + k) % streamers] for k in range(holder_count)) for t in range(40)
        ]

    def settle(self) -> None:
        """Lets the streamers answer all pending calls, with their loads."""
        while self.port.pending:
            viewing, number, streamer = self.port.pending.pop()
            if streamer is None:
                self.host.torn_down(self.now, viewing, number)
            else:
                self.host.started(self.now, viewing, number, streamer, LoadReport(0.3, None, 0.3))

    def report_loads(self) -> None:
        """Reports the load of every streamer if it is due."""
        if self.now - self.reported_at >= REPORT_INTERVAL_SECONDS:
            self.reported_at = self.now
            for name in self.names:
                self.host.load_told(self.now, name, False, None, 0.3)
            self.settle()

    def request(self) -> None:
        """Sends one request and its replies."""
        self.count += 1
        title = self.count % 40
        package = "seats" if self.count % 3 == 0 else "standard"
        self.host.asked(
            self.now, ViewingRequest(self.count, self.count, package, None, title, self.holders[title], 3,
                                     4.0, None, False, False),
        )  # fmt: skip
        self.settle()

    def fill(self, held: int) -> None:
        """Sends requests until that many viewings are held."""
        while len(self.host.viewings) < held:
            self.now += 0.02
            self.report_loads()
            self.request()

    def run(self, held: int) -> float:
        """Returns the seconds for each request, without load reports."""
        spent = 0.0
        for _ in range(REQUESTS):
            self.now += 1 / REQUESTS_PER_SECOND
            self.report_loads()
            began = time.perf_counter()
            self.request()
            while len(self.host.viewings) > held:
                self.host.left(self.now, next(iter(self.host.viewings)))
                self.settle()
            spent += time.perf_counter() - began
        return spent / REQUESTS


def main(args: list[str]) -> None:
    profile = "--profile" in args
    grid = [a for a in args if a != "--profile"]
    for size in grid or ["16x0", "16x200", "160x200", "160x2000", "1000x200", "1000x2000"]:
        streamers, held = map(int, size.split("x"))
        for everywhere in (False, True):
            run = Run(streamers, everywhere)
            run.fill(held)
            profiler = cProfile.Profile()
            if profile:
                profiler.enable()
            spent = run.run(held)
            profiler.disable()
            result = {"streamers": streamers, "held": held, "holders": "all" if everywhere else "a fifth"}
            result |= {"us a request": round(spent * 1e6), "blocked": run.port.blocked}
            if profile:
                top = sorted(pstats.Stats(profiler).stats.items(), key=lambda row: -row[1][2])[:6]
                total = sum(row[2] for row in pstats.Stats(profiler).stats.values())
                result["own time"] = {f"{name[2]}": round(row[2] / total, 2) for name, row in top}
            print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
