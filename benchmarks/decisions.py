"""What a decision costs by streamers and held viewings, on the library alone; and where the time goes.

    python benchmarks/decisions.py [--profile] [STREAMERSxHELD ...]

One controller with a package with seats, titles held by a fifth of the streamers (at least 5) or, with
`all`, by every one. Each size holds its viewings first; then 300 requests come at 20 a second, each is
answered at once by its streamer, and as many viewings leave. Notes come from every streamer each 2 seconds.
Microseconds a request over all that it brings about; the time is this machine's.
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
from herongap.ini import parse_site
from herongap.interface import LoadReport, StreamerEntry, StreamerStatus, ViewingRequest

REQUESTS, RATE, TELL = 300, 20.0, 2.0


class Port:
    """Streamers that start everything at once."""

    def __init__(self):
        self.out, self.blocked = [], 0

    def tune_in(self, ask, number, streamer, rung, time_out):
        self.out.append((ask.viewing, number, streamer))

    def answer(self, viewing, answer):
        self.blocked += answer.verdict != "plays"

    def tear_down(self, viewing, number, streamer, wanted):
        self.out.append((viewing, number, None))

    def nothing(self, *_):
        return None

    call_off = set_rung = viewing_ended = probe = follow = send_to_peer = wake = nothing


def site(streamers: int):
    machines = StreamerSettings(link=40000.0, rack=400000.0, places=60)
    packages = {
        "standard": PackageSettings(share=0.7, join_target=1.5, patience=5.0, default=True),
        "seats": PackageSettings(share=0.3, join_target=0.8, patience=4.0, value=2.0, seats=200),
    }
    size = DaySettings(streamers=streamers, controllers=4, racks=max(2, streamers // 8))
    day = Day(size, ClientSettings(), machines, packages, {})
    return parse_site(controller_ini(day, 0, 1, Path("/tmp")), Path("/tmp/decisions.ini")), size.racks


class Cost:
    """One size under way."""

    def __init__(self, streamers: int, everywhere: bool):
        made, racks = site(streamers)
        self.port, self.now, self.count, self.told = Port(), 0.0, 0, 0.0
        self.names = [f"s{i}" for i in range(streamers)]
        self.host = Host(0.0, 1, made.charter, self.port)
        lines = [
            StreamerEntry(n, f"z{i % 2}", "std", n, n, f"r{i % racks}", StreamerStatus.ACTIVE, 1.0, None)
            for i, n in enumerate(self.names)
        ]
        self.host.listed(0.0, "whole", lines)
        each = streamers if everywhere else max(5, streamers // 5)
        self.holders = [
            frozenset(self.names[(t * 7 + k) % streamers] for k in range(each)) for t in range(40)
        ]

    def settle(self) -> None:
        """Streamers answer, and tell their loads."""
        while self.port.out:
            viewing, number, streamer = self.port.out.pop()
            if streamer is None:
                self.host.torn_down(self.now, viewing, number)
            else:
                self.host.started(self.now, viewing, number, streamer, LoadReport(0.3, None, 0.3))

    def notes(self) -> None:
        if self.now - self.told >= TELL:
            self.told = self.now
            for name in self.names:
                self.host.load_told(self.now, name, False, None, 0.3)
            self.settle()

    def ask(self) -> None:
        self.count += 1
        title = self.count % 40
        package = "seats" if self.count % 3 == 0 else "standard"
        self.host.asked(
            self.now, ViewingRequest(self.count, self.count, package, None, title, self.holders[title], 3,
                                     4.0, None, False, False),
        )  # fmt: skip
        self.settle()

    def fill(self, held: int) -> None:
        while len(self.host.viewings) < held:
            self.now += 0.02
            self.notes()
            self.ask()

    def run(self, held: int) -> float:
        """Seconds for each request, notes left out."""
        spent = 0.0
        for _ in range(REQUESTS):
            self.now += 1 / RATE
            self.notes()
            began = time.perf_counter()
            self.ask()
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
            cost = Cost(streamers, everywhere)
            cost.fill(held)
            profiler = cProfile.Profile()
            if profile:
                profiler.enable()
            spent = cost.run(held)
            profiler.disable()
            told = {"streamers": streamers, "held": held, "holders": "all" if everywhere else "a fifth"}
            told |= {"us a request": round(spent * 1e6), "blocked": cost.port.blocked}
            if profile:
                top = sorted(pstats.Stats(profiler).stats.items(), key=lambda row: -row[1][2])[:6]
                whole = sum(row[2] for row in pstats.Stats(profiler).stats.values())
                told["own time"] = {f"{name[2]}": round(row[2] / whole, 2) for name, row in top}
            print(json.dumps(told), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
