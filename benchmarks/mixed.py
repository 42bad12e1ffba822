"""The service that DASH players received in rehearsals, from the logs of `herongap rehearse --folder`.

    python benchmarks/mixed.py FOLDER [FOLDER ...]

The stall ratio is stalled time over playing and stalled time, as players count it. Beside it is the share
that the deciding module estimated as not delivered, over both controllers, from the records. The rung fetched
is compared with the rung that the streamer was charging for at that moment. All figures are simulated.
"""

import json
import sys
from collections import Counter
from pathlib import Path

from herongap.host import ViewingState
from herongap.host.replay import steps


def read_json_lines(path: Path):
    """Yields the values of the complete lines of a file."""
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.endswith("\n"):
                yield json.loads(line)


def undelivered_share(folder: Path) -> float:
    """Returns the share of the held viewings' time that the module estimated as not delivered."""
    held = lost = 0.0
    for path in sorted(folder.glob("*.record")):
        previous = None
        with open(path, "rb") as record:
            for step in steps(record):
                now, host = step.input.now, step.host
                if previous is not None and now > previous:
                    shares = [
                        host.module.streamers[viewing.streamer].share
                        for viewing in host.viewings.values()
                        if viewing.state is ViewingState.PLAYING and viewing.streamer in host.module.streamers
                    ]
                    held += (now - previous) * len(shares)
                    lost += (now - previous) * sum(1 - share for share in shares)
                previous = now
    return lost / max(held, 1e-9)


def summarize(folder: Path) -> dict:
    """Returns the figures of one rehearsal."""
    charged: dict[str, int] = {}
    pairs: Counter = Counter()
    refused: Counter = Counter()
    for _, who, what, d in read_json_lines(folder / "streamers.jsonl"):
        if what in ("started", "rung"):
            charged[who, d["identity"]] = d["rung"]
        elif what == "segment" and (who, d["identity"]) in charged:
            pairs[d["rung"], charged[who, d["identity"]]] += 1
    watched = []
    for _, _, what, d in read_json_lines(folder / "clients.jsonl"):
        if what == "watched":
            watched.append(d)
            refused.update(status for status in d["statuses"] if status != 200)
    played, stalled = (sum(d[key] for d in watched) for key in ("played", "stalled"))
    segments = sum(pairs.values())
    top_rung = max(charged.values(), default=0)
    return {
        "players": len(watched),
        "played s": round(played),
        "stalls": round(stalled / max(1.0, played + stalled), 4),
        "missing, as the module held": round(undelivered_share(folder), 4),
        "without a stall": round(sum(d["stalled"] < 0.05 for d in watched) / max(1, len(watched)), 3),
        "moves": sum(d["moves"] for d in watched),
        "segments": segments,
        "mean rung fetched": round(sum(f * n for (f, _), n in pairs.items()) / max(1, segments), 3),
        "mean rung charged": round(sum(c * n for (_, c), n in pairs.items()) / max(1, segments), 3),
        "fetched above charged": sum(n for (f, c), n in pairs.items() if f > c),
        "top rung": top_rung,
        "refused": dict(sorted(refused.items())),
    }


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    for name in sys.argv[1:]:
        print(json.dumps({"day": Path(name).name, **summarize(Path(name))}))
