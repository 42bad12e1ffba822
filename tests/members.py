"""Controller processes with gossip only, each behind a datagram relay."""

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

from herongap.rehearsal.datagrams import DatagramRelay

CONTROLLER = ("-m", "herongap.rehearsal.controller")
WITHOUT_PAUSE_DETECTION = """
import sys
from functools import partial
from herongap.daemon import gossip
gossip.GossipConfig = partial(gossip.GossipConfig, detects_pauses=False)
from herongap.rehearsal.controller import main
main(*sys.argv[1:])
"""


def free_port(kind=socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Fleet:
    """`size` controller processes in one zone, behind `relay`."""

    def __init__(self, folder, size=4, without_pause_detection=()):
        self.folder, self.size, self.without_pause_detection = folder, size, without_pause_detection
        self.real_ports = [free_port(socket.SOCK_DGRAM) for _ in range(size)]
        self.metrics_ports = [free_port() for _ in range(size)]
        self.relay = DatagramRelay("test", 1)
        self.relay_addresses = [
            self.relay.add(n, ("127.0.0.1", port)) for n, port in enumerate(self.real_ports)
        ]
        (folder / "streamers.json").write_text('{"streamers": []}')
        (folder / "catalogue.json").write_text('{"titles": {}}')
        self.processes = [self.start(number) for number in range(size)]

    def start(self, number):
        address = "127.0.0.1:{}".format
        text = INI.replace("listen = 127.0.0.1:0\nrecord = {name}.record\n", "").replace(
            "[front]\n",
            f"[front]\nlisten = 127.0.0.1:0\nnumber = {number}\ncontrollers = {self.size}\n"
            f"metrics = {address(self.metrics_ports[number])}\nlog_to = log-{number}\n",
        )
        seeds = ", ".join(address(relayed[1]) for relayed in self.relay_addresses)
        text += (
            f"[gossip]\nlisten = {address(self.real_ports[number])}\nfleet = test\nevery = 0.25\n"
            f"seeds = {seeds}\n"
        )
        text += f"advertise = {address(self.relay_addresses[number][1])}\n"
        path = self.folder / f"front-{number}.ini"
        path.write_text(text)
        command = ("-c", WITHOUT_PAUSE_DETECTION) if number in self.without_pause_detection else CONTROLLER
        return subprocess.Popen(
            [sys.executable, *command, str(path), "herongap"],
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
        )

    def membership(self, number) -> dict:
        """The membership page of one controller; {} while it is not listening yet."""
        pool = gevent.get_hub().threadpool
        return pool.apply(self._get, (number,))

    def _get(self, number):
        try:
            with urllib.request.urlopen(
                f"http://127.0.0.1:{self.metrics_ports[number]}/list", timeout=2
            ) as reply:
                return json.load(reply)["members"]
        except OSError:
            return {}

    def status(self, of, at) -> str:
        """The status of one member as seen by another; empty if unknown."""
        return self.membership(at).get("members", {}).get(str(of), {}).get("standing", "")

    def all_see(self, statuses: dict, at=None) -> bool:
        at = range(self.size) if at is None else at
        return all(self.status(of, n) == wanted for n in at for of, wanted in statuses.items())

    def until(self, condition, seconds) -> float:
        return until(condition, seconds, look=0.05)

    def signal(self, number, signal_number):
        os.kill(self.processes[number].pid, signal_number)

    def close(self):
        for process in self.processes:
            process.kill()
            process.wait()
        self.relay.close()


__all__ = ["Fleet", "signal"]
