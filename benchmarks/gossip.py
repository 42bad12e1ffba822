"""Membership in virtual time: seconds to find a death, live ones called gone, bytes; beside plain SWIM.

    python benchmarks/gossip.py [SIZE ...] [--seeds N]

Each seed runs 30 s to settle, then a minute in which one in ten members is stopped for 0.3 to 7 s, twice,
while datagrams get lost; then three are killed. Plain SWIM has a fixed suspicion, no health, no notice of
pauses and no confirmations. Leases alone, of 6 s and renewed each 2 s, are computed: a death is told when the
lease is over, a pause past it is a death.
"""

import sys
import time
from random import Random
from statistics import mean, quantiles, stdev

from herongap.fleet.gossip_simulation import GossipSimulation
from herongap.gossip import GossipConfig, MemberStatus

PLAIN = GossipConfig(max_health=0, max_suspicion_factor=1.0, confirmations=0, detects_pauses=False)
TTL = 6.0


class Watch:
    """Counts, at each look, members that run and are newly called gone by another that runs."""

    def __init__(self, simulation: GossipSimulation):
        self.simulation, self.wrong, self.seen = simulation, 0, set()

    def look(self, stopped: dict[int, float]) -> None:
        now, members = self.simulation.clock.now, self.simulation.members
        for m in members.values():
            if m.dead or not m.running:
                continue
            for number, word in m.gossip.members.records.items():
                other, key = members.get(number), (m.number, number, word.incarnation, word.refutations)
                if word.status != MemberStatus.GONE or key in self.seen or other is None or other.dead:
                    continue
                self.seen.add(key)
                # Whoever is stopped now, or was until a moment ago, may be called gone: it did not answer.
                self.wrong += other.running and now - stopped.get(number, -99.0) > 5.0


def play(size: int, seed: int, lost: float, terms: GossipConfig) -> tuple[list[float], float, float, float]:
    """Seconds until each that runs knew of each death; wrong words an hour; bytes and datagrams a second."""
    simulation, chance, ended = GossipSimulation(size, seed, terms, lost), Random(seed), {}
    simulation.run(30)
    watch, sent, told = Watch(simulation), simulation.total_count("sent"), simulation.total_count("bytes")
    for number in chance.sample(range(size), max(1, size // 10)):
        for _ in range(2):
            at, lasts = 30 + chance.uniform(0, 45), chance.uniform(0.3, 7)
            simulation.clock.at(at, simulation.members[number].pause, lasts)
            ended[number] = max(ended.get(number, 0.0), at + lasts)
    while simulation.clock.now < 90:
        simulation.run(simulation.clock.now + 0.2)
        watch.look(ended)
    rate = [
        (simulation.total_count(name) - was) / 60 / size for name, was in (("sent", sent), ("bytes", told))
    ]
    found = []
    for number in chance.sample(range(size), 3):
        simulation.kill(number)
        began, left = simulation.clock.now, {m.number for m in simulation.members.values() if not m.dead}
        while left and simulation.clock.now < began + 40:
            simulation.run(simulation.clock.now + 0.1)
            knows = {n for n in left if simulation.status_at(number, n) == MemberStatus.GONE}
            found += [simulation.clock.now - began] * len(knows)
            left -= knows
        found += [40.0] * len(left)
    return found, watch.wrong / (size * 60 / 3600), rate[1], rate[0]


def leases(size: int, seed: int) -> tuple[list[float], float]:
    """The same for leases alone, where the store never fails."""
    chance = Random(seed)
    found = [TTL - chance.uniform(0, TTL / 3) for _ in range(3 * size)]
    pauses = 2 * max(1, size // 10)
    wrong = sum(chance.uniform(0.3, 7) > TTL - chance.uniform(0, TTL / 3) for _ in range(pauses))
    return found, wrong * (size - 1) / (size * 60 / 3600)


def line(name: str, size: int, lost: float, runs: list[tuple]) -> str:
    found = sorted(x for run in runs for x in run[0])
    cuts = quantiles(found, n=100)
    wrong = [run[1] for run in runs]
    wide = 1.96 * stdev(wrong) / len(wrong) ** 0.5 if len(wrong) > 1 else 0.0
    more = ""
    if len(runs[0]) > 2:
        more = f"{mean(r[2] for r in runs):7.0f} B/s {mean(r[3] for r in runs):5.1f} a second"
    return (f"{name:12} {size:4} {lost:5.0%}  found p50 {cuts[49]:5.1f} s p99 {cuts[98]:5.1f} s  wrong "
            f"{mean(wrong):8.2f} +- {wide:.2f} an hour  {more}")  # fmt: skip


def main(sizes: list[int], seeds: int) -> None:
    for size in sizes:
        for lost in (0.0, 0.05, 0.2):
            for name, terms in (("herongap", GossipConfig()), ("plain SWIM", PLAIN)):
                began = time.process_time()
                runs = [play(size, seed, lost, terms) for seed in range(1, seeds + 1)]
                cpu = (time.process_time() - began) / seeds / size / 100
                print(line(name, size, lost, runs), f" {1000 * cpu:.1f} ms of processor a second", flush=True)
        runs = [leases(size, seed) for seed in range(1, seeds + 1)]
        print(line("leases", size, 0.0, runs), flush=True)


if __name__ == "__main__":
    given = sys.argv[1:]
    count = int(given.pop(given.index("--seeds") + 1)) if "--seeds" in given else 3
    main([int(arg) for arg in given if arg.isdigit()] or [9, 50, 100, 230], count)
