"""The process of a rehearsal's stand-in streamers: orders on standard input, one JSON object a line."""

import json
import sys

import gevent
from gevent.fileobject import FileObject

from herongap.standins import Kind, Streamer, StreamerPool
from herongap.standins.farm import Log


def main(file: str) -> None:
    """Start what FILE describes, print the addresses, and follow orders until the end of input."""
    with open(file, encoding="utf-8") as text:
        what = json.load(text)
    kind = what["kind"]
    with open(what["log"], "w", encoding="utf-8", buffering=1 << 16) as log:
        pool = StreamerPool(Kind(**kind), Log(log.write), what["seed"])
        for name, zone, rack in what["streamers"]:
            Streamer(pool, name, zone, rack)
        print(json.dumps({name: st.address for name, st in pool.streamers.items()}), flush=True)
        for line in FileObject(sys.stdin.buffer, "rb"):
            pool.carry_out(json.loads(line))
        gevent.sleep(0.2)
        pool.close()


if __name__ == "__main__":
    main(sys.argv[1])
