"""Membership in virtual time: detection time, false positives and traffic, compared with plain SWIM.

    python benchmarks/gossip.py [SIZE ...] [--seeds N]

Each seed runs 30 s to settle, then a minute in which one in ten members is paused for 0.3 to 7 s, twice, with
datagram loss; then three are killed. Plain SWIM has a fixed suspicion timeout, no health score, no detection
of pauses and no confirmations. Leases alone, of 6 s and renewed each 2 s, are computed: a failure is detected
when the lease expires, and a longer pause counts as a failure.
"""

import sys
import time
from random import Random
from statistics import mean, quantiles, stdev

from herongap.fleet.gossip_simulation import GossipSimulation
from herongap.gossip import GossipConfig, MemberStatus

PLAIN = GossipConfig(max_health=0, max_suspicion_factor=1.0, confirmations=0, detects_pauses=False)
LEASE_SECONDS = 6.0
UNDETECTED_SECONDS = 40.0  # counted for a death that was not detected
PAUSE_GRACE_SECONDS = 5.0


class FalsePositives:
    """Counts running members that another running member newly declares gone."""

    def __init__(self, simulation: GossipSimulation):
        self.simulation, self.count, self.counted = simulation, 0, set()

    def update(self, stopped: dict[int, float]) -> None:
        now, members = self.simulation.clock.now, self.simulation.members
        for m in members.values():
            if m.dead or not m.running:
                continue
            for number, record in m.gossip.members.records.items():
                other, key = members.get(number), (m.number, number, record.incarnation, record.refutations)
                if record.status != MemberStatus.GONE or key in self.counted or other is None or other.dead:
                    continue
                self.counted.add(key)
                # A member that is paused, or was until a moment ago, did not answer: not a false positive.
                self.count += other.running and now - stopped.get(number, -99.0) > PAUSE_GRACE_SECONDS


def play(size: int, seed: int, lost: float, terms: GossipConfig) -> tuple[list[float], float, float, float]:
    """Returns the detection times of deaths, false positives an hour, and bytes and datagrams a second."""
    simulation, chance, ended = GossipSimulation(size, seed, terms, lost), Random(seed), {}
    simulation.run(30)
    false_positives, sent, sent_bytes = (
        FalsePositives(simulation),
        simulation.total_count("sent"),
        simulation.total_count("bytes"),
    )
    for number in chance.sample(range(size), max(1, size // 10)):
        for _ in range(2):
            at, lasts = 30 + chance.uniform(0, 45), chance.uniform(0.3, 7)
            simulation.clock.at(at, simulation.members[number].pause, lasts)
            ended[number] = max(ended.get(number, 0.0), at + lasts)
    while simulation.clock.now < 90:
        simulation.run(simulation.clock.now + 0.2)
        false_positives.update(ended)
    rate = [
        (simulation.total_count(name) - was) / 60 / size
        for name, was in (("sent", sent), ("bytes", sent_bytes))
    ]
    found = []
    for number in chance.sample(range(size), 3):
        simulation.kill(number)
        began, unaware = simulation.clock.now, {m.number for m in simulation.members.values() if not m.dead}
        while unaware and simulation.clock.now < began + UNDETECTED_SECONDS:
            simulation.run(simulation.clock.now + 0.1)
            aware = {n for n in unaware if simulation.status_at(number, n) == MemberStatus.GONE}
            found += [simulation.clock.now - began] * len(aware)
            unaware -= aware
        found += [UNDETECTED_SECONDS] * len(unaware)
    return found, false_positives.count / (size * 60 / 3600), rate[1], rate[0]


def leases(size: int, seed: int) -> tuple[list[float], float]:
    """Returns detection times and false positives an hour of leases alone; the store never fails."""
    chance = Random(seed)
    found = [LEASE_SECONDS - chance.uniform(0, LEASE_SECONDS / 3) for _ in range(3 * size)]
    pauses = 2 * max(1, size // 10)
    wrong = sum(
        chance.uniform(0.3, 7) > LEASE_SECONDS - chance.uniform(0, LEASE_SECONDS / 3) for _ in range(pauses)
    )
    return found, wrong * (size - 1) / (size * 60 / 3600)


def summary(name: str, size: int, lost: float, runs: list[tuple]) -> str:
    """Returns one line of output."""
    found = sorted(x for run in runs for x in run[0])
    percentiles = quantiles(found, n=100)
    wrong = [run[1] for run in runs]
    interval = 1.96 * stdev(wrong) / len(wrong) ** 0.5 if len(wrong) > 1 else 0.0
    traffic = ""
    if len(runs[0]) > 2:
        traffic = f"{mean(r[2] for r in runs):7.0f} B/s {mean(r[3] for r in runs):5.1f} a second"
    return (
        f"{name:12} {size:4} {lost:5.0%}  found p50 {percentiles[49]:5.1f} s p99 {percentiles[98]:5.1f} s  "
        f"wrong {mean(wrong):8.2f} +- {interval:.2f} an hour  {traffic}"
    )


def main(sizes: list[int], seeds: int) -> None:
    for size in sizes:
        for lost in (0.0, 0.05, 0.2):
            for name, terms in (("herongap", GossipConfig()), ("plain SWIM", PLAIN)):
                began = time.process_time()
                runs = [play(size, seed, lost, terms) for seed in range(1, seeds + 1)]
                cpu = (time.process_time() - began) / seeds / size / 100
                print(
                    summary(name, size, lost, runs), f" {1000 * cpu:.1f} ms of processor a second", flush=True
                )
        runs = [leases(size, seed) for seed in range(1, seeds + 1)]
        print(summary("leases", size, 0.0, runs), flush=True)


if __name__ == "__main__":
    given = sys.argv[1:]
    count = int(given.pop(given.index("--seeds") + 1)) if "--seeds" in given else 3
    main([int(arg) for arg in given if arg.isdigit()] or [9, 50, 100, 230], count)
