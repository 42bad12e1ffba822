"""Drawn bench days in the fleet model at their whole size: are the rules kept, and what is served?

    python benchmarks/troubles.py DAY.json [DAY.json ...]

A day that cannot be played is named and counts as a failure. Exit code 1 if a rule broke. All figures are
simulated, and not the bench's: its own random draws are not taken over.
"""

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from herongap.fleet.checker import check
from herongap.fleet.figures import Outcome, report
from herongap.fleet.model import Model
from herongap.rehearsal import from_bench


def one(path: str) -> dict:
    """One day, with seed 1."""
    day = from_bench(json.loads(Path(path).read_text()), whole=True)
    model, began = Model(day, 1), time.perf_counter()
    outcome = Outcome(day, model.script, 0.0, model.run())
    breaks = check(outcome)
    told = report(outcome, breaks)
    return {
        "day": Path(path).stem,
        "size": f"{day.settings.controllers}x{day.settings.streamers}",
        "troubles": ", ".join(t.kind for t in day.troubles.values()),
        "viewings": told.viewings,
        "service": round(told.service, 3),
        "rules broken": sorted({b.rule for b in breaks}),
        "breaks": len(breaks),
        "first": breaks[0].what if breaks else "",
        "real s": round(time.perf_counter() - began, 1),
    }


def main(paths: list[str]) -> int:
    if not paths:
        sys.exit(__doc__)
    with ProcessPoolExecutor(4) as pool:
        found = []
        for told in pool.map(one, paths):
            found.append(told)
            print(json.dumps(told), flush=True)
    return 1 if any(told["breaks"] for told in found) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
