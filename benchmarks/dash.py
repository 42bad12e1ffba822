"""Manifests and token checks a second, join time beside WHEP, and a rotation under load: all simulated.

    python benchmarks/dash.py rates            as ratios to a bare handler in the same run
    python benchmarks/dash.py joins [N]        DASH and WHEP joins in turn, open loop, 20 a second
    python benchmarks/dash.py rotation [S]     keys rotated every 2 s under players

Front, streamers and players share one process and this machine.
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
from herongap.ini import read_site
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
    """One front and eight streamers that start everything at once."""

    def __init__(self, near: Path, token=60.0, rotate=1e6, ahead=10.0):
        self.pool = StreamerPool(KIND, Log(lambda line: None), seed=1)
        self.streamers = [Streamer(self.pool, f"s{i}", "", f"r{i % 4}") for i in range(8)]
        listed = [{"id": st.name, "url": "http://{}:{}".format(*st.address)} for st in self.streamers]
        (near / "streamers.json").write_text(json.dumps({"streamers": listed}))
        (near / "catalogue.json").write_text(
            json.dumps({"titles": {"1": [st.name for st in self.streamers]}})
        )
        (near / "front.ini").write_text(INI.format(token=token, rotate=rotate, ahead=ahead))
        self.daemon = Daemon(read_site(near / "front.ini"))
        self.daemon.start()
        for st in self.streamers:
            st.segments.controllers, st.segments.segment = [self.daemon.address], 0.5

    def player(self, name: str) -> Player:
        return Player(name, self.daemon.address, "/dash/1?package=web", lambda *a, **k: None)

    def close(self) -> None:
        self.daemon.kill()
        self.pool.close()


def paced(call, seconds: float = 2.0) -> float:
    """Calls a second, one after the other."""
    count, began = 0, time.perf_counter()
    while (passed := time.perf_counter() - began) < seconds:
        call()
        count += 1
    return count / passed


def rates(near: Path) -> None:
    b = Bench(near)
    p = b.player("p")
    p.join()
    bare = Server(
        listen(("127.0.0.1", 0)), lambda request, peer: Reply(200, (), b"x" * 1000), ProcessLimits()
    )
    pools = [ConnectionPool(b.daemon.address, 1.0), ConnectionPool(bare.address, 1.0)]
    ratios, key = [], generate_key("k")
    for _ in range(5):
        mine = paced(lambda: pools[0].call("GET", p.location, (), b"", 2.0), 1.0)
        theirs = paced(lambda: pools[1].call("GET", "/", (), b"", 2.0), 1.0)
        ratios.append(mine / theirs)
    now = time.time()
    grant = TokenClaims("v", "1", "web", "", 0, 2, "s0", now, now + 60)
    tokens = [mint(key, grant._replace(viewing=f"v{i}")) for i in range(2000)]
    checker, i = TokenVerifier("s0", public_jwks([key])), iter(tokens * 50)
    first = paced(lambda: checker.verify(now, next(i), "1"), 0.4)
    again = paced(lambda: checker.verify(now, tokens[-1], "1"), 0.4)
    print(json.dumps({
        "manifests a second": round(mine), "bare handler": round(theirs),
        "ratio": [round(r, 3) for r in sorted(ratios)], "tokens checked a second": round(first),
        "checked before": round(again), "minted a second": round(paced(lambda: mint(key, grant), 0.4)),
    }))  # fmt: skip
    bare.close()
    b.close()


def joins(near: Path, count: int = 400) -> None:
    b, took, draw = Bench(near), {"dash": [], "whep": []}, random.Random(1)

    def dash(i: int) -> None:
        began, p = time.perf_counter(), b.player(f"p{i}")
        if p.join().status == 200:
            took["dash"].append(time.perf_counter() - began)
            p.delete()

    def whep(i: int) -> None:
        began, v = time.perf_counter(), Viewer(f"v{i}", b.daemon.address, "/whep/1", lambda *a, **k: None, i)
        if v.post(4).status == 201:
            took["whep"].append(time.perf_counter() - began)
            v.delete()

    running = []
    for i in range(count):
        gevent.sleep(draw.expovariate(20.0))
        running.append(gevent.spawn((dash, whep)[i % 2], i))
    gevent.joinall(running)
    told = {
        name: {f"p{q}_ms": round(1000 * float(np.percentile(values, q)), 1) for q in (50, 99)}
        | {"n": len(values)}
        for name, values in took.items()
    }
    told["p50 ratio"] = round(float(np.median(took["dash"]) / np.median(took["whep"])), 2)
    print(json.dumps(told))
    b.close()


def rotation(near: Path, seconds: float = 20.0) -> None:
    b = Bench(near, token=3.0, rotate=2.0, ahead=1.0)
    dash = b.daemon.handler.dash
    dash._reload_keys_if_due = dash.load
    players = [b.player(f"p{i}") for i in range(40)]
    for p in players:
        p.join()
    gevent.joinall([gevent.spawn(p.play, seconds) for p in players])
    refused: dict[str, int] = {}
    for st in b.streamers:
        for kind, n in st.segments.refused.items():
            refused[kind] = refused.get(kind, 0) + n
    print(json.dumps({
        "seconds": seconds, "keys made": 1 + int(seconds // 2), "players": len(players),
        "segments": sum(len(p.rungs) for p in players), "tokens refused": refused,
        "statuses not 200": sum(s != 200 for p in players for s in p.statuses),
        "kids at the end": [key.kid for key in dash.keys.rotation.keys],
    }))  # fmt: skip
    b.close()


def main(args: list[str]) -> None:
    observe.set_up("critical", "json", "-")
    name, *rest = args or [""]
    if name not in ("rates", "joins", "rotation"):
        sys.exit(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        globals()[name](Path(folder), *map(int, rest))


if __name__ == "__main__":
    main(sys.argv[1:])
