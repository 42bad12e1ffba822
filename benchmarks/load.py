"""A load generator process: viewings at a fixed rate, whether or not earlier ones were answered (open loop).

    python benchmarks/load.py PORT RATE SECONDS HOLD SEED

Each viewing is a POST, and after HOLD seconds a DELETE. Prints one JSON line: [status, seconds] of each POST.
The time counts from when the POST was due, so a delayed load generator can't make the controller look faster.
"""

import json
import sys
import time

import gevent

from herongap.standins.viewer import Viewer


def main(port: int, rate: float, seconds: float, hold: float, seed: int) -> None:
    results, running = [], []
    viewers = [
        Viewer(f"b{seed}-{i}", ("127.0.0.1", port), f"/whep/{i % 20}?top=0", lambda *a, **d: None, seed)
        for i in range(int(rate * seconds))
    ]

    def run_viewing(viewer: Viewer, due: float) -> None:
        result = viewer.post(10.0)
        results.append([result.status, time.monotonic() - due])
        if result.status == 201:
            gevent.sleep(hold)
            viewer.delete()

    start = time.monotonic() + 0.1
    for i, viewer in enumerate(viewers):
        due = start + i / rate
        gevent.sleep(max(0.0, due - time.monotonic()))
        running.append(gevent.spawn(run_viewing, viewer, due))
    gevent.joinall(running, timeout=30)
    print(json.dumps(results))


if __name__ == "__main__":
    port, rate, seconds, hold, seed = sys.argv[1:]
    main(int(port), float(rate), float(seconds), float(hold), int(seed))
