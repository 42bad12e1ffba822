"""What DASH players got on rehearsed days, from the logs of `herongap rehearse --folder`.

    python benchmarks/mixed.py FOLDER [FOLDER ...]

Stalls are seconds without a picture over seconds wanted of it, as players count them; beside them the part
that the module held to be missing of what its viewings ask for, over both fronts, from the records. The rung
fetched is set beside the rung that the module had its streamer charge at that moment. All figures are
simulated.
"""

import json
import sys
from collections import Counter
from pathlib import Path

from herongap.host import ViewingState
from herongap.host.replay import steps


def lines(path: Path):
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.endswith("\n"):
                yield json.loads(line)


def missing(folder: Path) -> float:
    """The part of the held viewings' time that the module took for not delivered."""
    held = lost = 0.0
    for path in sorted(folder.glob("*.record")):
        before = None
        with open(path, "rb") as record:
            for step in steps(record):
                now, host = step.input.now, step.host
                if before is not None and now > before:
                    shares = [
                        host.module.streamers[life.streamer].share
                        for life in host.viewings.values()
                        if life.state is ViewingState.PLAYING and life.streamer in host.module.streamers
                    ]
                    held += (now - before) * len(shares)
                    lost += (now - before) * sum(1 - share for share in shares)
                before = now
    return lost / max(held, 1e-9)


def one(folder: Path) -> dict:
    charged: dict[str, int] = {}
    pairs: Counter = Counter()
    refused: Counter = Counter()
    for _, who, what, d in lines(folder / "streamers.jsonl"):
        if what in ("started", "rung"):
            charged[who, d["identity"]] = d["rung"]
        elif what == "segment" and (who, d["identity"]) in charged:
            pairs[d["rung"], charged[who, d["identity"]]] += 1
    watched = []
    for _, _, what, d in lines(folder / "clients.jsonl"):
        if what == "watched":
            watched.append(d)
            refused.update(status for status in d["statuses"] if status != 200)
    played, stalled = (sum(d[key] for d in watched) for key in ("played", "stalled"))
    segments = sum(pairs.values())
    ladder = max(charged.values(), default=0)
    return {
        "players": len(watched),
        "played s": round(played),
        "stalls": round(stalled / max(1.0, played + stalled), 4),
        "missing, as the module held": round(missing(folder), 4),
        "without a stall": round(sum(d["stalled"] < 0.05 for d in watched) / max(1, len(watched)), 3),
        "moves": sum(d["moves"] for d in watched),
        "segments": segments,
        "mean rung fetched": round(sum(f * n for (f, _), n in pairs.items()) / max(1, segments), 3),
        "mean rung charged": round(sum(c * n for (_, c), n in pairs.items()) / max(1, segments), 3),
        "fetched above charged": sum(n for (f, c), n in pairs.items() if f > c),
        "top rung": ladder,
        "refused": dict(sorted(refused.items())),
    }


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    for name in sys.argv[1:]:
        print(json.dumps({"day": Path(name).name, **one(Path(name))}))
