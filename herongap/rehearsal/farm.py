"""The process of a rehearsal's stand-in streamers: orders on standard input, one JSON object a line."""

import json
import sys

import gevent
from gevent.fileobject import FileObject

from herongap.standins import Farm, MachineProfile, Streamer
from herongap.standins.farm import Log


def main(file: str) -> None:
    """Start what FILE describes, print the addresses, and follow orders until the end of input."""
    with open(file, encoding="utf-8") as text:
        what = json.load(text)
    kind = what["kind"]
    with open(what["log"], "w", encoding="utf-8", buffering=1 << 16) as log:
        farm = Farm(MachineProfile(**kind), Log(log.write), what["seed"])
        for name, zone, rack in what["streamers"]:
            Streamer(farm, name, zone, rack)
        print(json.dumps({name: st.address for name, st in farm.streamers.items()}), flush=True)
        for line in FileObject(sys.stdin.buffer, "rb"):
            farm.command(json.loads(line))
        gevent.sleep(0.2)
        farm.close()


if __name__ == "__main__":
    main(sys.argv[1])
