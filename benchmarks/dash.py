"""Manifest and token rates, join times of DASH and WHEP, and key rotation under load, with fake streamers.

    python benchmarks/dash.py rates            as ratios to a trivial handler in the same run
    python benchmarks/dash.py joins [N]        DASH and WHEP joins alternate, open loop, 20 a second
    python benchmarks/dash.py rotation [S]     keys rotated every 2 s while players run

Controller, streamers and players share one process.
"""

import json
import random
import sys
import tempfile
import time
from pathlib import Path

import common
import gevent
import numpy as np

from herongap import observe
from herongap.daemon.http_connection import ConnectionPool, Server
from herongap.daemon.listen import listen
from herongap.daemon.run import Daemon
from herongap.dash import TokenClaims, TokenVerifier, generate_key, mint, public_jwks
from herongap.http import Reply
from herongap.ini import read_site_config
from herongap.overload import ProcessLimits
from herongap.standins import Streamer, StreamerPool, Viewer
from herongap.standins.farm import Log
from herongap.standins.player import Player

INI = (
    common.INI
    + """
[streamers]
list = streamers.json
[package web]
protocol = dash
join_target = 1.5
patience = 4
[dash]
keys = keys
segment = 0.5
update = 0.5
token = {token}
rotate = {rotate}
ahead = {ahead}
"""
)
KIND = common.KIND._replace(set_up=(0.0, 0.0))


class Bench:
    """One controller and eight streamers whose set-ups take no time."""

    def __init__(self, folder: Path, token=60.0, rotate=1e6, ahead=10.0):
        self.pool = StreamerPool(KIND, Log(lambda line: None), seed=1)
        self.streamers = [Streamer(self.pool, f"s{i}", "", f"r{i % 4}") for i in range(8)]
        listed = [
            {"id": streamer.name, "url": "http://{}:{}".format(*streamer.address)}
            for streamer in self.streamers
        ]
        (folder / "streamers.json").write_text(json.dumps({"streamers": listed}))
        (folder / "catalogue.json").write_text(
            json.dumps({"titles": {"1": [streamer.name for streamer in self.streamers]}})
        )
        (folder / "front.ini").write_text(INI.format(token=token, rotate=rotate, ahead=ahead))
        self.daemon = Daemon(read_site_config(folder / "front.ini"))
        self.daemon.start()
        for streamer in self.streamers:
            streamer.segments.controllers, streamer.segments.segment = [self.daemon.address], 0.5

    def player(self, name: str) -> Player:
        return Player(name, self.daemon.address, "/dash/1?package=web", lambda *a, **k: None)

    def close(self) -> None:
        self.daemon.kill()
        self.pool.close()


def calls_per_second(call, seconds: float = 2.0) -> float:
    """Returns the rate of sequential calls."""
    count, began = 0, time.perf_counter()
    while (elapsed := time.perf_counter() - began) < seconds:
        call()
        count += 1
    return count / elapsed


def rates(folder: Path) -> None:
    """Prints the rates of manifests and of token checks."""
    bench = Bench(folder)
    player = bench.player("p")
    player.join()
    baseline = Server(
        listen(("127.0.0.1", 0)), lambda request, peer: Reply(200, (), b"x" * 1000), ProcessLimits()
    )
    pools = [ConnectionPool(bench.daemon.address, 1.0), ConnectionPool(baseline.address, 1.0)]
    ratios, key = [], generate_key("k")
    for _ in range(5):
        manifests = calls_per_second(lambda: pools[0].call("GET", player.location, (), b"", 2.0), 1.0)
        plain = calls_per_second(lambda: pools[1].call("GET", "/", (), b"", 2.0), 1.0)
        ratios.append(manifests / plain)
    now = time.time()
    claims = TokenClaims("v", "1", "web", "", 0, 2, "s0", now, now + 60)
    tokens = [mint(key, claims._replace(viewing=f"v{i}")) for i in range(2000)]
    verifier, i = TokenVerifier("s0", public_jwks([key])), iter(tokens * 50)
    first = calls_per_second(lambda: verifier.verify(now, next(i), "1"), 0.4)
    cached = calls_per_second(lambda: verifier.verify(now, tokens[-1], "1"), 0.4)
    print(json.dumps({
        "manifests a second": round(manifests), "bare handler": round(plain),
        "ratio": [round(r, 3) for r in sorted(ratios)], "tokens checked a second": round(first),
        "checked before": round(cached),
        "minted a second": round(calls_per_second(lambda: mint(key, claims), 0.4)),
    }))  # fmt: skip
    baseline.close()
    bench.close()


def joins(folder: Path, count: int = 400) -> None:
    """Prints the join times of DASH and WHEP."""
    bench, times, draw = Bench(folder), {"dash": [], "whep": []}, random.Random(1)

    def dash(i: int) -> None:
        began, player = time.perf_counter(), bench.player(f"p{i}")
        if player.join().status == 200:
            times["dash"].append(time.perf_counter() - began)
            player.delete()

    def whep(i: int) -> None:
        began = time.perf_counter()
        viewer = Viewer(f"v{i}", bench.daemon.address, "/whep/1", lambda *a, **k: None, i)
        if viewer.post(4).status == 201:
            times["whep"].append(time.perf_counter() - began)
            viewer.delete()

    running = []
    for i in range(count):
        gevent.sleep(draw.expovariate(20.0))
        running.append(gevent.spawn((dash, whep)[i % 2], i))
    gevent.joinall(running)
    result = {
        name: {f"p{q}_ms": round(1000 * float(np.percentile(values, q)), 1) for q in (50, 99)}
        | {"n": len(values)}
        for name, values in times.items()
    }
    result["p50 ratio"] = round(float(np.median(times["dash"]) / np.median(times["whep"])), 2)
    print(json.dumps(result))
    bench.close()


def rotation(folder: Path, seconds: float = 20.0) -> None:
    """Prints the errors of players while keys rotate."""
    bench = Bench(folder, token=3.0, rotate=2.0, ahead=1.0)
    dash = bench.daemon.handler.dash
    dash._reload_keys_if_due = dash.load
    players = [bench.player(f"p{i}") for i in range(40)]
    for p in players:
        p.join()
    gevent.joinall([gevent.spawn(p.play, seconds) for p in players])
    rejected: dict[str, int] = {}
    for streamer in bench.streamers:
        for kind, count in streamer.segments.refused.items():
            rejected[kind] = rejected.get(kind, 0) + count
    print(json.dumps({
        "seconds": seconds, "keys made": 1 + int(seconds // 2), "players": len(players),
        "segments": sum(len(p.rungs) for p in players), "tokens refused": rejected,
        "statuses not 200": sum(s != 200 for p in players for s in p.statuses),
        "kids at the end": [key.kid for key in dash.keys.rotation.keys],
    }))  # fmt: skip
    bench.close()


def main(args: list[str]) -> None:
    observe.configure_logging("critical", "json", "-")
    name, *rest = args or [""]
    if name not in ("rates", "joins", "rotation"):
        sys.exit(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        globals()[name](Path(folder), *map(int, rest))


if __name__ == "__main__":
    main(sys.argv[1:])
