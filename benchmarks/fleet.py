"""How large a fleet the model bears: virtual seconds for each real second, memory, and what a request costs.

    python benchmarks/fleet.py [SIZE ...]        SIZE is CONTROLLERSxSTREAMERS, such as 230x160

Each size runs in a process of its own. Viewings come in proportion to the streamers, so that links are asked
for alike at every size; a tenth of the streamers go silent and a deploy replaces a third. All figures are
simulated but the time and memory, which are this machine's.
"""

import json
import resource
import subprocess
import sys
import time

from herongap.fleet.checker import check
from herongap.fleet.day import ClientSettings, Day, DaySettings, PackageSettings, StreamerSettings, Trouble
from herongap.fleet.figures import Outcome
from herongap.fleet.model import Model


def day(controllers: int, streamers: int, seconds: float) -> Day:
    """A day of that size; 0.75 viewings a second for each ten streamers, of 30 s on the mean."""
    size = DaySettings(
        seconds=seconds,
        rate=max(2.0, 0.075 * streamers),
        controllers=controllers,
        streamers=streamers,
        racks=max(2, streamers // 8),
        titles=max(40, 3 * streamers),
        length=30.0,
    )
    machines = StreamerSettings(link=3000.0, rack=20000.0, places=20)
    packages = {
        "standard": PackageSettings(share=0.65, join_target=1.5, patience=5.0, default=True),
        "priority": PackageSettings(share=0.35, join_target=0.8, patience=4.0, value=2.0, floor=1, seats=8),
    }
    troubles = {
        "silent": Trouble(kind="silent", at=seconds / 4, lasts=8, part=0.1),
        "deploy": Trouble(kind="deploy", at=seconds / 3, lasts=seconds / 2, part=0.33, size=0.05, extra=3),
    }
    return Day(size, ClientSettings(), machines, packages, troubles)


def one(controllers: int, streamers: int, seconds: float) -> dict:
    model = Model(day(controllers, streamers, seconds), 1)
    began = time.perf_counter()
    lines = model.run()
    real = time.perf_counter() - began
    asked = sum(what == "asked" for _, _, what, _ in lines)
    broken = len(check(Outcome(model.day, model.script, 0.0, lines)))
    return {
        "size": f"{controllers}x{streamers}",
        "viewings": asked,
        "held at most": model.held_most,
        "virtual s a real s": round((seconds + 40) / real, 2),
        "real s": round(real, 1),
        "ms a viewing": round(1000 * real / asked, 2),
        "MB": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        "rules broken": broken,
    }


def main(sizes: list[str]) -> None:
    if sizes[:1] == ["--one"]:
        print(json.dumps(one(int(sizes[1]), int(sizes[2]), float(sizes[3]))))
        return
    for size in sizes or ["3x16", "60x50", "230x160", "1000x1000"]:
        controllers, streamers = size.split("x")
        seconds = "30" if int(streamers) < 500 else "10"
        subprocess.run([sys.executable, __file__, "--one", controllers, streamers, seconds], check=True)


if __name__ == "__main__":
    main(sys.argv[1:])
