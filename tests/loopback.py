"""A daemon and stand-in streamers on loopback, in the test's own process."""

import json
import os
import subprocess
import sys
import time

import gevent
from helpers import until

from herongap.daemon.run import Daemon
from herongap.ini import read_site_config
from herongap.rehearsal.stage import Actors
from herongap.rules import Controller
from herongap.standins import MachineProfile, Streamer, StreamerPool, Viewer
from herongap.standins.farm import Log

INI = """
[front]
listen = 127.0.0.1:0
record = {name}.record
linger = 0.3
stop_within = 3
[ladder]
rates = 100, 300, 900
values = 0.3, 0.6, 1.0
[package standard]
default = yes
join_target = 0.5
patience = 1.2
[package priority]
join_target = 0.5
patience = 1.0
floor = 1
seats = 2
[package publish]
protocol = whip
join_target = 0.5
patience = 1.2
repeat = harmful
[links]
per_weight = 10000
rack = 50000
[places]
std = 400
[cold]
warm_up = 4
[streamers]
list = streamers.json
look = 0.02
[catalogue]
file = catalogue.json
"""
FRONT_PATIENCE_SECONDS = 1.2  # of the default package
KIND = MachineProfile(
    (100.0, 300.0, 900.0), (0.3, 0.6, 1.0), 10000.0, 50000.0, 40, warm_up=4.0, set_up=(0.001, 0.01)
)


class LoopbackFleet:
    """One daemon, some stand-in streamers, and the events that the streamers logged.

    `extra` is appended to the daemon's configuration; `make_controller` builds its deciding module.
    """

    def __init__(self, folder, streamers=3, extra="", make_controller=Controller, titles=None, kind=KIND,
                 clock=time.monotonic):  # fmt: skip
        self.folder, self.streamer_events = folder, []
        self.pool = StreamerPool(
            kind, Log(lambda line: self.streamer_events.append(json.loads(line))), seed=1
        )
        self.streamers = [Streamer(self.pool, f"s{i}", "", f"r{i}") for i in range(streamers)]
        self.list_entries = {}
        for streamer in self.streamers:
            self.list_entries[streamer.name] = {
                "id": streamer.name,
                "url": "http://{}:{}".format(*streamer.address),
            }
        names = list(self.list_entries)
        self.write_catalogue(titles or {"1": names, "2": names[:1]})
        self.write_list()
        (folder / "front.ini").write_text(INI + extra)
        self.client_events = []
        self.start_daemon(make_controller, clock)

    def start_daemon(self, make_controller, clock) -> None:
        """Start the daemon."""
        self.daemon = Daemon(read_site_config(self.folder / "front.ini"), make_controller, clock)
        self.daemon.start()

    @property
    def address(self) -> tuple[str, int]:
        """The address at which the daemon serves."""
        return self.daemon.address

    def write_catalogue(self, titles) -> None:
        (self.folder / "catalogue.json").write_text(json.dumps({"titles": titles}))

    def write_list(self, **statuses) -> None:
        """Replace the streamer list, with the status of some streamers changed."""
        for name, status in statuses.items():
            self.list_entries[name]["standing"] = status
        (self.folder / "list.new").write_text(json.dumps({"streamers": list(self.list_entries.values())}))
        os.replace(self.folder / "list.new", self.folder / "streamers.json")

    def viewer(self, name="v", target="/whep/1", **more) -> Viewer:
        log = Log(lambda line: self.client_events.append(json.loads(line)))
        return Viewer(name, self.address, target, log, **more)

    def command(self, do, *names, **more) -> None:
        """Give a command to the named streamers, or to all."""
        self.pool.carry_out({"do": do, "on": list(names) or [st.name for st in self.streamers], **more})

    def count(self, event, **fields) -> int:
        """Count the streamers' events of a kind that have these field values."""
        return sum(
            kind == event and all(data.get(k) == v for k, v in fields.items())
            for _, _, kind, data in self.streamer_events
        )

    def session_count(self) -> int:
        """Count the sessions at all streamers."""
        return sum(len(st.sessions) for st in self.streamers)

    def until(self, condition, seconds=5.0) -> None:
        """Wait until the condition is true."""
        until(condition, seconds)

    def close(self) -> None:
        self.daemon.kill()
        self.pool.close()


class ProcessFleet(LoopbackFleet):
    """The same with the daemon in a process of its own, as `herongap serve` starts it."""

    address = None

    def start_daemon(self, make_controller, clock) -> None:
        self.log = open(self.folder / "log", "w")  # noqa: SIM115
        command = [sys.executable, "-c", "from herongap.cli import main; main()", "serve"]
        self.process = subprocess.Popen(
            [*command, str(self.folder / "front.ini")], stdout=subprocess.PIPE, stderr=self.log, text=True
        )
        listening = self.process.stdout.readline()
        host, _, port = listening.strip().rpartition("/")[2].rpartition(":")
        self.address = host, int(port)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        self.log.close()
        self.pool.close()


class InProcessActors(Actors):
    """A rehearsal's actors in this process.

    `make_controller` builds the deciding module of every daemon; `break_daemon` may break a started one.
    """

    make_controller, break_daemon = Controller, staticmethod(lambda daemon: None)

    def start_streamers(self):
        self.log = open(self.folder / "streamers.jsonl", "w", encoding="utf-8")  # noqa: SIM115
        from herongap.fleet.day import machine_profile_values, rack_of, zone_of

        self.pool = StreamerPool(
            MachineProfile(**machine_profile_values(self.day)), Log(self.log.write), self.seed
        )
        for i in range(self.day.settings.streamers):
            Streamer(self.pool, f"s{i}", zone_of(i, self.day), rack_of(i, self.day))
        return {name: streamer.address for name, streamer in self.pool.streamers.items()}

    def order(self, what):
        self.pool.carry_out(what)

    def start_controller(self, number, file):
        daemon = self.controllers[number] = Daemon(read_site_config(file), self.make_controller)
        daemon.start()
        self.break_daemon(daemon)
        return daemon.address

    def kill_controller(self, number):
        self.controllers.pop(number).kill()

    def stop(self):
        gevent.joinall([gevent.spawn(daemon.stop) for daemon in self.controllers.values()])
        gevent.sleep(0.1)
        self.pool.close()
        self.log.close()
