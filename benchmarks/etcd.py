"""The streamer registry on a fake etcd. All figures are simulated; times depend on the machine.

    python benchmarks/etcd.py drains [DRAINS] [CUTS]  new work after a drain was received
    python benchmarks/etcd.py latency [CHANGES]       from a change until the follower has it
    python benchmarks/etcd.py resync [KEYS ...]       from a compaction until the list is complete again
    python benchmarks/etcd.py flood [SECONDS]         1,000 events a second: CPU, memory
    python benchmarks/etcd.py herd [CONTROLLERS]      all watches break at once
    python benchmarks/etcd.py states [CHANGES]        states of the checked models, and the mistakes found

Store, streamers, viewers and controller share one process, so times include the load of all of them.
"""

import json
import random
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import common
import gevent
import numpy as np
from minicheck import check_liveness, check_safety

from herongap import observe
from herongap.daemon.etcd import StreamerRegistry
from herongap.daemon.run import Daemon
from herongap.fleet import protocol_models
from herongap.ini import read_site_config
from herongap.ini.sections import EtcdSection as EtcdConfig
from herongap.rehearsal.stage import PREFIX
from herongap.standins import Streamer, StreamerPool, Viewer
from herongap.standins.etcd import Etcd, fill, put
from herongap.standins.farm import Log

GRACE_SECONDS = 0.25
INI = (
    common.INI
    + """
[etcd]
endpoints = {endpoints}
"""
)


def wait(condition, seconds=30.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError("the condition did not become true")
        gevent.sleep(0.001)


def report(**figures) -> None:
    print(json.dumps(figures), flush=True)


def start_registries(etcd: Etcd, count: int, **settings) -> list[StreamerRegistry]:
    """Starts registries, each as of another controller."""
    registries = []
    for number in range(count):
        config = EtcdConfig(endpoints=",".join(etcd.addresses), **settings)
        name = f"herongap-{number}-1"
        registry = StreamerRegistry(
            config, number, count, number, name, time.monotonic, lambda *_: None, lambda *_: None
        )
        registry.running = registry.start()
        registries.append(registry)
    return registries


def drains(count: int = 1000, cuts: int = 500) -> int:
    """Drains and undrains the streamers of a controller under load while its watches break."""
    streamer_events, store_events = [], []
    started = time.monotonic()
    etcd = Etcd(3, time.monotonic, lambda who, what, **d: store_events.append((time.monotonic(), what, d)))
    pool = StreamerPool(common.KIND, Log(lambda line: streamer_events.append(json.loads(line))), seed=1)
    streamers = [Streamer(pool, f"s{i}", "", f"r{i % 4}") for i in range(16)]
    values = {streamer.name: {"url": "http://{}:{}".format(*streamer.address)} for streamer in streamers}
    fill(etcd.history, PREFIX, values)
    draw, busy = random.Random(1), [True]
    with tempfile.TemporaryDirectory() as folder:
        directory = Path(folder)
        (directory / "catalogue.json").write_text(json.dumps({"titles": {"1": list(values)}}))
        (directory / "front.ini").write_text(INI.format(endpoints=", ".join(etcd.addresses)))
        daemon = Daemon(read_site_config(directory / "front.ini"))
        daemon.start()
        wait(lambda: daemon.registry.state == "following")

        def run_viewer(number: int) -> None:
            viewer = Viewer(f"v{number}", daemon.address, "/whep/1", lambda *a, **k: None, number)
            if viewer.post(4).status == 201:
                viewer.play(0.5)
                viewer.delete()

        def load() -> None:
            number = 0
            while busy[0]:
                number += 1
                gevent.spawn(run_viewer, number)
                gevent.sleep(draw.expovariate(50.0))

        def break_streams() -> None:
            for i in range(cuts):
                gevent.sleep(draw.uniform(0.5, 1.5) * count * 0.1 / cuts)
                member = draw.choice(etcd.members)
                member.break_after_bytes = draw.choice([0, 0, draw.randrange(1, 4000)])
                if i % 3:
                    etcd.cut()
                    continue
                # All members are down while streamers drain, and the missed changes are compacted.
                for member in etcd.members:
                    member.stop()
                gevent.sleep(draw.uniform(0.05, 0.3))
                etcd.history.compact()
                for member in etcd.members:
                    member.start()

        running = [gevent.spawn(load), gevent.spawn(break_streams)]
        drained: list[str] = []
        for _ in range(count):
            gevent.sleep(draw.uniform(0.05, 0.15))
            if len(drained) >= 10:
                etcd.history.delete(f"{PREFIX}drains/{drained.pop(0)}".encode())
            name = draw.choice([name for name in values if name not in drained])
            drained.append(name)
            put(etcd.history, f"{PREFIX}drains/{name}", v=1)
        running[1].join(timeout=60)
        busy[0] = False
        gevent.sleep(2)
        daemon.kill()
    etcd.close()
    pool.close()
    # By streamer: when the controller first received the drain that is still in effect.
    events = [(at, 0, what, d) for at, what, d in store_events]
    events += [(at, 1, "post", {"streamer": who}) for at, who, what, _ in streamer_events if what == "post"]
    known_since: dict[str, float] = {}
    posts = late = 0
    delays, unknown, drained_now = [], 0, set()
    for at, _, what, d in sorted(events, key=lambda event: event[:2]):
        name = d["streamer"]
        if what == "post":
            posts += 1
            unknown += name in drained_now and name not in known_since
            if name in known_since:
                delays.append(at - known_since[name])
                late += at - known_since[name] > GRACE_SECONDS
        elif what == "drain":
            (drained_now.add if d["drained"] else drained_now.discard)(name)
            if not d["drained"]:
                known_since.pop(name, None)
        elif d["drained"] and name in drained_now:
            known_since.setdefault(name, at)
    counts = daemon.registry.follower.counts
    report(
        drains=count,
        forced_disconnects=cuts,
        tune_ins=posts,
        later_than_grace=late,
        within_grace=len(delays),
        latest_ms=round(1000 * max(delays, default=0.0), 1),
        before_it_could_be_known=unknown,
        watches=counts["watches"],
        compacted=counts["compacted"],
        seconds=round(time.monotonic() - started),
    )
    return 1 if late else 0


def latency(count: int = 2000) -> int:
    """Measures single changes, 200 a second."""
    etcd, seen = Etcd(3, time.monotonic), {}
    (registry,) = start_registries(etcd, 1)
    registry.on_list_change = lambda kind, lines, _: [
        seen.setdefault(line.streamer, time.monotonic()) for line in lines
    ]
    wait(lambda: registry.state == "following")
    sent = {}
    for i in range(count):
        sent[f"n{i}"] = time.monotonic()
        put(etcd.history, f"{PREFIX}streamers/n{i}", v=1, url="http://127.0.0.1:1")
        gevent.sleep(0.005)
    wait(lambda: len(seen) == count)
    latencies = 1000 * np.array([seen[name] - at for name, at in sent.items()])
    report(
        changes=count,
        p50_ms=round(float(np.percentile(latencies, 50)), 2),
        p99_ms=round(float(np.percentile(latencies, 99)), 2),
        most_ms=round(float(latencies.max()), 2),
    )
    registry.close()
    etcd.close()
    return 0


def resync(sizes: list[int]) -> int:
    """Measures the time to a complete list after the changes that a broken watch missed were compacted."""
    for size in sizes:
        etcd = Etcd(1, time.monotonic)
        value = {"url": "http://127.0.0.1:1", "zone": "z1", "rack": "r12"}
        fill(etcd.history, PREFIX, {f"n{i}": value for i in range(size)})
        (registry,) = start_registries(etcd, 1, time_out=30.0)
        wait(lambda f=registry: f.state == "following", 120)
        took = []
        for turn in range(5):
            put(etcd.history, f"{PREFIX}drains/n{turn}", v=1)
            gevent.sleep(0.05)
            etcd.members[0].stop()
            put(etcd.history, f"{PREFIX}drains/m{turn}", v=1)
            etcd.history.compact()
            reads = registry.follower.counts["reads"]
            etcd.members[0].start()
            began = time.monotonic()
            wait(lambda f=registry, n=reads: f.follower.counts["reads"] > n, 60)
            took.append(time.monotonic() - began)
        report(keys=size, resync_ms=[round(1000 * t) for t in sorted(took)])
        registry.close()
        etcd.close()
    return 0


def flood(seconds: float = 20.0) -> int:
    """Runs a follower in a separate process while 1,000 keys change a second."""
    etcd = Etcd(1, time.monotonic)
    value = {"url": "http://127.0.0.1:1"}
    fill(etcd.history, PREFIX, {f"n{i}": value for i in range(1000)})
    process = subprocess.Popen(
        [sys.executable, __file__, "follow", etcd.addresses[0], str(seconds + 3)],
        stdout=subprocess.PIPE,
        text=True,
    )
    wait(lambda: etcd.members[0].streams)
    began, count = time.monotonic(), 0
    while time.monotonic() - began < seconds:
        for _ in range(10):
            put(etcd.history, f"{PREFIX}streamers/n{count % 1000}", v=1, weight=1 + count % 7, **value)
            count += 1
        gevent.sleep(max(0.0, began + count / 1000 - time.monotonic()))
    hub = gevent.get_hub().threadpool
    usage = json.loads(hub.apply(process.stdout.readline))
    report(events=count, a_second=round(count / seconds), **usage)
    etcd.close()
    return 0 if usage["events_taken"] >= count else 1


def follow(address: str, seconds: float) -> int:
    """Runs the follower process of `flood`."""
    registry = StreamerRegistry(
        EtcdConfig(endpoints=address),
        0,
        1,
        1,
        "herongap-0-1",
        time.monotonic,
        lambda *_: None,
        lambda *_: None,
    )
    registry.start()
    wait(lambda: registry.state == "following")
    before = resource.getrusage(resource.RUSAGE_SELF)
    gevent.sleep(seconds)
    after = resource.getrusage(resource.RUSAGE_SELF)
    cpu = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    report(
        cpu_s=round(cpu, 2),
        us_an_event=round(1e6 * cpu / max(1, registry.follower.counts["events"])),
        MB_before=round(before.ru_maxrss / 1024),
        MB_most=round(after.ru_maxrss / 1024),
        events_taken=registry.follower.counts["events"],
    )
    return 0


def herd(count: int = 230) -> int:
    """Breaks the connections of all controllers to all members at once, and measures their recovery."""
    etcd = Etcd(3, time.monotonic)
    fill(etcd.history, PREFIX, {f"n{i}": {"url": "http://127.0.0.1:1"} for i in range(160)})
    fleet = start_registries(etcd, count, ttl=30.0)
    wait(lambda: all(f.state == "following" for f in fleet), 60)
    for name, compacted in (("cut", False), ("cut and compacted", True), ("away for 3 s", False)):
        before = [m.requests for m in etcd.members]
        put(etcd.history, f"{PREFIX}drains/n1", v=1)
        if name.startswith("away"):
            for member in etcd.members:
                member.stop()
            gevent.sleep(3.0)
            for member in etcd.members:
                member.start()
        if compacted:
            for member in etcd.members:
                member.stop()
            put(etcd.history, f"{PREFIX}drains/n2", v=1)
            etcd.history.compact()
            for member in etcd.members:
                member.start()
        began, recovered = time.monotonic(), {}
        if name == "cut":
            etcd.cut()
            gevent.sleep(0.001)
        while len(recovered) < count and time.monotonic() - began < 60:
            gevent.sleep(0.005)
            for i, f in enumerate(fleet):
                if f.follower.watching and f.follower.revision == etcd.history.revision:
                    recovered.setdefault(i, time.monotonic() - began)
        took = np.array(sorted(recovered.values()))
        requests = [m.requests - b for m, b in zip(etcd.members, before, strict=True)]
        report(
            herd=name,
            controllers=count,
            back=len(recovered),
            p50_s=round(float(np.percentile(took, 50)), 3),
            last_s=round(float(took.max()), 3),
            requests=requests,
        )
    for f in fleet:
        gevent.killall(f.running)
    etcd.close()
    return 0


def states(changes: int = 3) -> int:
    """Explores the worlds with `minicheck`; returns 1 if a property fails or a mistake is not found."""
    failures = 0
    for world in (
        protocol_models.follower_model(2),
        protocol_models.follower_model(changes),
        protocol_models.lease_model(),
    ):
        began = time.monotonic()
        transition_count = [0]

        def counted(state, inner=world.transitions, transition_count=transition_count):
            found = inner(state)
            transition_count[0] += len(found)
            return found

        found = check_safety(world.__class__(**{**vars(world), "transitions": counted}), max_states=5_000_000)
        holds = {name: p["holds"] for name, p in found["properties"].items()}
        failures += not all(holds.values())
        report(
            world=world.name,
            states=found["reachable_states"],
            transitions=transition_count[0],
            holds=holds,
            seconds=round(time.monotonic() - began, 1),
        )
    live = check_liveness(protocol_models.follower_model(2))["holds"]
    failures += live is not True
    report(world="following", from_every_state_it_can_catch_up=live)
    for mistake in protocol_models.FAULTY_VARIANTS:
        properties = check_safety(protocol_models.faulty_model(mistake, 2))["properties"]
        counterexamples = {n: p["counterexample"] for n, p in properties.items() if p["holds"] is False}
        failures += not counterexamples
        steps = min(map(len, counterexamples.values()), default=0) - 1
        report(mistake=mistake.__name__, what=mistake.__doc__, broken=list(counterexamples), steps=steps)
    return 1 if failures else 0


def main(args: list[str]) -> int:
    observe.configure_logging("critical", "json", "-")
    name, *rest = args or [""]
    match name:
        case "drains":
            return drains(*map(int, rest))
        case "latency" | "herd" | "states":
            return globals()[name](*map(int, rest))
        case "resync":
            return resync([int(r) for r in rest] or [100, 1000, 10000])
        case "flood":
            return flood(*map(float, rest))
        case "follow":
            return follow(rest[0], float(rest[1]))
    sys.exit(__doc__)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
