"""The list over etcd, on a stand-in of ours: all figures are simulated, times are this machine's.

    python benchmarks/etcd.py drains [DRAINS] [CUTS]  new work after a drain was told, seen at the streamers
    python benchmarks/etcd.py latency [CHANGES]       from a change to the follower's knowing
    python benchmarks/etcd.py resync [KEYS ...]       from a compaction to a whole list again
    python benchmarks/etcd.py flood [SECONDS]         1,000 events a second: CPU, memory
    python benchmarks/etcd.py herd [CONTROLLERS]      all watches break at once
    python benchmarks/etcd.py states [CHANGES]        states of the small worlds, and the mistakes found

Store, streamers, viewers and controller share one process, so times hold the load of all of them.
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
from herongap.ini import read_site
from herongap.ini.parts import Etcd as Terms
from herongap.rehearsal.stage import PREFIX
from herongap.standins import Farm, Streamer, Viewer
from herongap.standins.etcd import Etcd, fill, put
from herongap.standins.farm import Log

GRACE = 0.25
INI = (
    common.INI
    + """
[etcd]
endpoints = {endpoints}
"""
)


def wait(true, seconds=30.0) -> None:
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            raise TimeoutError("it never came")
        gevent.sleep(0.001)


def told(**figures) -> None:
    print(json.dumps(figures), flush=True)


def feeds(etcd: Etcd, count: int, **terms) -> list[StreamerRegistry]:
    made = []
    for number in range(count):
        t = Terms(endpoints=",".join(etcd.addresses), **terms)
        name = f"herongap-{number}-1"
        feed = StreamerRegistry(
            t, number, count, number, name, time.monotonic, lambda *_: None, lambda *_: None
        )
        feed.running = feed.start()
        made.append(feed)
    return made


def drains(count: int = 1000, cuts: int = 500) -> int:
    """A front under load whose streamers are drained and undrained while its watches break."""
    lines, marks = [], []
    started = time.monotonic()
    etcd = Etcd(3, time.monotonic, lambda who, what, **d: marks.append((time.monotonic(), what, d)))
    farm = Farm(common.KIND, Log(lambda line: lines.append(json.loads(line))), seed=1)
    streamers = [Streamer(farm, f"s{i}", "", f"r{i % 4}") for i in range(16)]
    values = {st.name: {"url": "http://{}:{}".format(*st.address)} for st in streamers}
    fill(etcd.history, PREFIX, values)
    draw, busy = random.Random(1), [True]
    with tempfile.TemporaryDirectory() as folder:
        near = Path(folder)
        (near / "catalogue.json").write_text(json.dumps({"titles": {"1": list(values)}}))
        (near / "front.ini").write_text(INI.format(endpoints=", ".join(etcd.addresses)))
        daemon = Daemon(read_site(near / "front.ini"))
        daemon.start()
        wait(lambda: daemon.registry.state == "following")

        def live(number: int) -> None:
            viewer = Viewer(f"v{number}", daemon.address, "/whep/1", lambda *a, **k: None, number)
            if viewer.post(4).status == 201:
                viewer.play(0.5)
                viewer.delete()

        def load() -> None:
            number = 0
            while busy[0]:
                number += 1
                gevent.spawn(live, number)
                gevent.sleep(draw.expovariate(50.0))

        def cutting() -> None:
            for i in range(cuts):
                gevent.sleep(draw.uniform(0.5, 1.5) * count * 0.1 / cuts)
                member = draw.choice(etcd.members)
                member.cut_after = draw.choice([0, 0, draw.randrange(1, 4000)])
                if i % 3:
                    etcd.cut()
                    continue
                # Away while streamers drain, and what was missed is compacted.
                for member in etcd.members:
                    member.stop()
                gevent.sleep(draw.uniform(0.05, 0.3))
                etcd.history.compact()
                for member in etcd.members:
                    member.start()

        running = [gevent.spawn(load), gevent.spawn(cutting)]
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
    farm.close()
    # Of each streamer in turn: when this front was first told of the drain that still stands.
    words = [(at, 0, what, d) for at, what, d in marks]
    words += [(at, 1, "post", {"streamer": who}) for at, who, what, _ in lines if what == "post"]
    since: dict[str, float] = {}
    posts = late = 0
    after, unknown, standing = [], 0, set()
    for at, _, what, d in sorted(words, key=lambda w: w[:2]):
        name = d["streamer"]
        if what == "post":
            posts += 1
            unknown += name in standing and name not in since
            if name in since:
                after.append(at - since[name])
                late += at - since[name] > GRACE
        elif what == "drain":
            (standing.add if d["drained"] else standing.discard)(name)
            if not d["drained"]:
                since.pop(name, None)
        elif d["drained"] and name in standing:
            since.setdefault(name, at)
    counts = daemon.registry.follower.counts
    told(drains=count, forced_disconnects=cuts, tune_ins=posts, later_than_grace=late,
         within_grace=len(after), latest_ms=round(1000 * max(after, default=0.0), 1),
         before_it_could_be_known=unknown, watches=counts["watches"], compacted=counts["compacted"],
         seconds=round(time.monotonic() - started))  # fmt: skip
    return 1 if late else 0


def latency(count: int = 2000) -> int:
    """One change at a time, 200 a second."""
    etcd, seen = Etcd(3, time.monotonic), {}
    (feed,) = feeds(etcd, 1)
    feed.on_list_change = lambda kind, lines, _: [
        seen.setdefault(line.streamer, time.monotonic()) for line in lines
    ]
    wait(lambda: feed.state == "following")
    sent = {}
    for i in range(count):
        sent[f"n{i}"] = time.monotonic()
        put(etcd.history, f"{PREFIX}streamers/n{i}", v=1, url="http://127.0.0.1:1")
        gevent.sleep(0.005)
    wait(lambda: len(seen) == count)
    took = 1000 * np.array([seen[name] - at for name, at in sent.items()])
    told(changes=count, p50_ms=round(float(np.percentile(took, 50)), 2),
         p99_ms=round(float(np.percentile(took, 99)), 2), most_ms=round(float(took.max()), 2))  # fmt: skip
    feed.close()
    etcd.close()
    return 0


def resync(sizes: list[int]) -> int:
    """The watch breaks and what it missed is compacted: how long until the list is whole again."""
    for size in sizes:
        etcd = Etcd(1, time.monotonic)
        value = {"url": "http://127.0.0.1:1", "zone": "z1", "rack": "r12"}
        fill(etcd.history, PREFIX, {f"n{i}": value for i in range(size)})
        (feed,) = feeds(etcd, 1, time_out=30.0)
        wait(lambda f=feed: f.state == "following", 120)
        took = []
        for turn in range(5):
            put(etcd.history, f"{PREFIX}drains/n{turn}", v=1)
            gevent.sleep(0.05)
            etcd.members[0].stop()
            put(etcd.history, f"{PREFIX}drains/m{turn}", v=1)
            etcd.history.compact()
            reads = feed.follower.counts["reads"]
            etcd.members[0].start()
            began = time.monotonic()
            wait(lambda f=feed, n=reads: f.follower.counts["reads"] > n, 60)
            took.append(time.monotonic() - began)
        told(keys=size, resync_ms=[round(1000 * t) for t in sorted(took)])
        feed.close()
        etcd.close()
    return 0


def flood(seconds: float = 20.0) -> int:
    """The follower in a process of its own while 1,000 keys change a second."""
    etcd = Etcd(1, time.monotonic)
    value = {"url": "http://127.0.0.1:1"}
    fill(etcd.history, PREFIX, {f"n{i}": value for i in range(1000)})
    process = subprocess.Popen(
        [sys.executable, __file__, "follow", etcd.addresses[0], str(seconds + 3)],
        stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    wait(lambda: etcd.members[0].streams)
    began, count = time.monotonic(), 0
    while time.monotonic() - began < seconds:
        for _ in range(10):
            put(etcd.history, f"{PREFIX}streamers/n{count % 1000}", v=1, weight=1 + count % 7, **value)
            count += 1
        gevent.sleep(max(0.0, began + count / 1000 - time.monotonic()))
    hub = gevent.get_hub().threadpool
    got = json.loads(hub.apply(process.stdout.readline))
    told(events=count, a_second=round(count / seconds), **got)
    etcd.close()
    return 0 if got["events_taken"] >= count else 1


def follow(address: str, seconds: float) -> int:
    """The process of `flood`."""
    feed = StreamerRegistry(Terms(endpoints=address), 0, 1, 1, "herongap-0-1", time.monotonic,
                lambda *_: None, lambda *_: None)  # fmt: skip
    feed.start()
    wait(lambda: feed.state == "following")
    before = resource.getrusage(resource.RUSAGE_SELF)
    gevent.sleep(seconds)
    after = resource.getrusage(resource.RUSAGE_SELF)
    cpu = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    told(cpu_s=round(cpu, 2), us_an_event=round(1e6 * cpu / max(1, feed.follower.counts["events"])),
         MB_before=round(before.ru_maxrss / 1024), MB_most=round(after.ru_maxrss / 1024),
         events_taken=feed.follower.counts["events"])  # fmt: skip
    return 0


def herd(count: int = 230) -> int:
    """All controllers lose all members at once and come back."""
    etcd = Etcd(3, time.monotonic)
    fill(etcd.history, PREFIX, {f"n{i}": {"url": "http://127.0.0.1:1"} for i in range(160)})
    fleet = feeds(etcd, count, ttl=30.0)
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
        began, back = time.monotonic(), {}
        if name == "cut":
            etcd.cut()
            gevent.sleep(0.001)
        while len(back) < count and time.monotonic() - began < 60:
            gevent.sleep(0.005)
            for i, f in enumerate(fleet):
                if f.follower.watching and f.follower.revision == etcd.history.revision:
                    back.setdefault(i, time.monotonic() - began)
        took = np.array(sorted(back.values()))
        asked = [m.requests - b for m, b in zip(etcd.members, before, strict=True)]
        told(herd=name, controllers=count, back=len(back), p50_s=round(float(np.percentile(took, 50)), 3),
             last_s=round(float(took.max()), 3), requests=asked)  # fmt: skip
    for f in fleet:
        gevent.killall(f.running)
    etcd.close()
    return 0


def states(changes: int = 3) -> int:
    """What `minicheck` explores; exit code 1 where a property fails or a mistake is not found."""
    bad = 0
    for world in (
        protocol_models.follower_model(2),
        protocol_models.follower_model(changes),
        protocol_models.lease_model(),
    ):
        began = time.monotonic()
        moves = [0]

        def counted(state, inner=world.transitions, moves=moves):
            found = inner(state)
            moves[0] += len(found)
            return found

        found = check_safety(world.__class__(**{**vars(world), "transitions": counted}), max_states=5_000_000)
        holds = {name: p["holds"] for name, p in found["properties"].items()}
        bad += not all(holds.values())
        told(world=world.name, states=found["reachable_states"], transitions=moves[0], holds=holds,
             seconds=round(time.monotonic() - began, 1))  # fmt: skip
    live = check_liveness(protocol_models.follower_model(2))["holds"]
    bad += live is not True
    told(world="following", from_every_state_it_can_catch_up=live)
    for mistake in protocol_models.FAULTY_VARIANTS:
        properties = check_safety(protocol_models.faulty_model(mistake, 2))["properties"]
        ways = {n: p["counterexample"] for n, p in properties.items() if p["holds"] is False}
        bad += not ways
        steps = min(map(len, ways.values()), default=0) - 1
        told(mistake=mistake.__name__, what=mistake.__doc__, broken=list(ways), steps=steps)
    return 1 if bad else 0


def main(args: list[str]) -> int:
    observe.set_up("critical", "json", "-")
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
