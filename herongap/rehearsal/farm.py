"""The process of a rehearsal's fake streamers: orders on standard input, one JSON object a line."""

import json
import sys

import gevent
from gevent.fileobject import FileObject

from herongap.standins import MachineProfile, Streamer, StreamerPool
from herongap.standins.farm import Log


def main(file: str) -> None:
    """Starts the streamers of a file, prints their addresses, and carries out orders until EOF."""
    with open(file, encoding="utf-8") as text:
        config = json.load(text)
    kind = config["kind"]
    with open(config["log"], "w", encoding="utf-8", buffering=1 << 16) as log:
        pool = StreamerPool(MachineProfile(**kind), Log(log.write), config["seed"])
        for name, zone, rack in config["streamers"]:
            Streamer(pool, name, zone, rack)
        print(json.dumps({name: streamer.address for name, streamer in pool.streamers.items()}), flush=True)
        for line in FileObject(sys.stdin.buffer, "rb"):
            pool.carry_out(json.loads(line))
        gevent.sleep(0.2)
        pool.close()


if __name__ == "__main__":
    main(sys.argv[1])
