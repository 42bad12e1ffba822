"""Controllers as processes with gossip alone, and a relay for datagrams before each."""

import json
import os
import signal
import subprocess
import sys
import urllib.request

import gevent
from gevent import socket
from helpers import until
from loopback import INI

from herongap.rehearsal.datagrams import Datagrams

CONTROLLER = ("-m", "herongap.rehearsal.controller")
PLAIN = """
import sys
from functools import partial
from herongap.daemon import gossip
gossip.GossipConfig = partial(gossip.GossipConfig, detects_pauses=False)
from herongap.rehearsal.controller import main
main(*sys.argv[1:])
"""


def port(kind=socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Fleet:
    """`size` processes in one zone, with `relay` before them."""

    def __init__(self, folder, size=4, plain=()):
        self.folder, self.size, self.plain = folder, size, plain
        self.real = [port(socket.SOCK_DGRAM) for _ in range(size)]
        self.metrics = [port() for _ in range(size)]
        self.relay = Datagrams("test", 1)
        self.said = [self.relay.before(n, ("127.0.0.1", real)) for n, real in enumerate(self.real)]
        (folder / "streamers.json").write_text('{"streamers": []}')
        (folder / "catalogue.json").write_text('{"titles": {}}')
        self.processes = [self.start(number) for number in range(size)]

    def start(self, number):
        at = "127.0.0.1:{}".format
        text = INI.replace("listen = 127.0.0.1:0\nrecord = {name}.record\n", "").replace(
            "[front]\n",
            f"[front]\nlisten = 127.0.0.1:0\nnumber = {number}\ncontrollers = {self.size}\n"
            f"metrics = {at(self.metrics[number])}\nlog_to = log-{number}\n",
        )
        seeds = ", ".join(at(address[1]) for address in self.said)
        text += f"[gossip]\nlisten = {at(self.real[number])}\nfleet = test\nevery = 0.25\nseeds = {seeds}\n"
        text += f"advertise = {at(self.said[number][1])}\n"
        path = self.folder / f"front-{number}.ini"
        path.write_text(text)
        how = ("-c", PLAIN) if number in self.plain else CONTROLLER
        return subprocess.Popen(
            [sys.executable, *how, str(path), "herongap"], stdin=subprocess.PIPE, stdout=subprocess.DEVNULL
        )

    def told(self, number) -> dict:
        """What one says of the members; {} while it does not listen yet."""
        pool = gevent.get_hub().threadpool
        return pool.apply(self._get, (number,))

    def _get(self, number):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.metrics[number]}/list", timeout=2) as reply:
                return json.load(reply)["members"]
        except OSError:
            return {}

    def standing(self, of, at) -> str:
        return self.told(at).get("members", {}).get(str(of), {}).get("standing", "")

    def all_see(self, standings: dict, at=None) -> bool:
        at = range(self.size) if at is None else at
        return all(self.standing(of, n) == wanted for n in at for of, wanted in standings.items())

    def until(self, true, seconds) -> float:
        return until(true, seconds, look=0.05)

    def signal(self, number, which):
        os.kill(self.processes[number].pid, which)

    def close(self):
        for process in self.processes:
            process.kill()
            process.wait()
        self.relay.close()


__all__ = ["Fleet", "signal"]
