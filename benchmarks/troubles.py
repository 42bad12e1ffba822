"""Runs days drawn by the bench in the fleet model at full size; checks the rules and reports the service.

    python benchmarks/troubles.py DAY.json [DAY.json ...]

A day that cannot be converted fails the run and is named. The exit code is 1 if a rule was broken. The
figures are simulated and can't be compared with the bench's, whose own random draws are not used.
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


def run_day(path: str) -> dict:
    """Runs one day with seed 1 and returns its figures."""
    day = from_bench(json.loads(Path(path).read_text()), full_size=True)
    model, began = Model(day, 1), time.perf_counter()
    outcome = Outcome(day, model.script, 0.0, model.run())
    breaks = check(outcome)
    figures = report(outcome, breaks)
    return {
        "day": Path(path).stem,
        "size": f"{day.settings.controllers}x{day.settings.streamers}",
        "troubles": ", ".join(t.kind for t in day.troubles.values()),
        "viewings": figures.viewings,
        "service": round(figures.service, 3),
        "rules broken": sorted({b.rule for b in breaks}),
        "breaks": len(breaks),
        "first": breaks[0].what if breaks else "",
        "real s": round(time.perf_counter() - began, 1),
    }


def main(paths: list[str]) -> int:
    if not paths:
        sys.exit(__doc__)
    with ProcessPoolExecutor(4) as pool:
        results = []
        for result in pool.map(run_day, paths):
            results.append(result)
            print(json.dumps(result), flush=True)
    return 1 if any(result["breaks"] for result in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
