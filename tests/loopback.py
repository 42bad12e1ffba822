"""A front with stand-in streamers in the test's own process, on loopback."""

import json
import os
import time

import gevent
from helpers import until

from herongap.daemon.run import Daemon
from herongap.ini import read_site
from herongap.rehearsal.stage import Actors
from herongap.rules import Controller
from herongap.standins import Farm, MachineProfile, Streamer, Viewer
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
KIND = MachineProfile(
    (100.0, 300.0, 900.0), (0.3, 0.6, 1.0), 10000.0, 50000.0, 40, warm_up=4.0, set_up=(0.001, 0.01)
)


class World:
    """One front, some streamers, and what they saw."""

    def __init__(self, folder, streamers=3, extra="", make=Controller, titles=None, kind=KIND,
                 clock=time.monotonic):  # fmt: skip
        self.folder, self.saw = folder, []
        self.farm = Farm(kind, Log(lambda line: self.saw.append(json.loads(line))), seed=1)
        self.streamers = [Streamer(self.farm, f"s{i}", "", f"r{i}") for i in range(streamers)]
        self.lines = {}
        for st in self.streamers:
            self.lines[st.name] = {"id": st.name, "url": "http://{}:{}".format(*st.address)}
        names = list(self.lines)
        self.catalogue(titles or {"1": names, "2": names[:1]})
        self.relist()
        (folder / "front.ini").write_text(INI + extra)
        self.daemon = Daemon(read_site(folder / "front.ini"), make, clock)
        self.daemon.start()
        self.seen_by_clients = []

    def catalogue(self, titles) -> None:
        (self.folder / "catalogue.json").write_text(json.dumps({"titles": titles}))

    def relist(self, **standings) -> None:
        """Write the list anew, with the standing of some streamers changed."""
        for name, standing in standings.items():
            self.lines[name]["standing"] = standing
        (self.folder / "list.new").write_text(json.dumps({"streamers": list(self.lines.values())}))
        os.replace(self.folder / "list.new", self.folder / "streamers.json")

    def viewer(self, name="v", target="/whep/1", **more) -> Viewer:
        log = Log(lambda line: self.seen_by_clients.append(json.loads(line)))
        return Viewer(name, self.daemon.address, target, log, **more)

    def order(self, do, *names, **more) -> None:
        self.farm.command({"do": do, "on": list(names) or [st.name for st in self.streamers], **more})

    def count(self, what, **where) -> int:
        """How many lines of the streamers are of that kind."""
        return sum(w == what and all(d.get(k) == v for k, v in where.items()) for _, _, w, d in self.saw)

    def playing(self) -> int:
        return sum(len(st.sessions) for st in self.streamers)

    def until(self, true, seconds=5.0) -> None:
        until(true, seconds)

    def close(self) -> None:
        self.daemon.kill()
        self.farm.close()


class Here(Actors):
    """A rehearsal's actors in this process; `make` decides for all, `spoil` may break a controller's host."""

    make, spoil = Controller, staticmethod(lambda daemon: None)

    def start_farm(self):
        self.log = open(self.folder / "streamers.jsonl", "w", encoding="utf-8")  # noqa: SIM115
        from herongap.fleet.day import machine_profile_values, rack_of, zone_of

        self.farm = Farm(MachineProfile(**machine_profile_values(self.day)), Log(self.log.write), self.seed)
        for i in range(self.day.settings.streamers):
            Streamer(self.farm, f"s{i}", zone_of(i, self.day), rack_of(i, self.day))
        return {name: st.address for name, st in self.farm.streamers.items()}

    def order(self, what):
        self.farm.command(what)

    def start_front(self, number, file):
        daemon = self.fronts[number] = Daemon(read_site(file), self.make)
        daemon.start()
        self.spoil(daemon)
        return daemon.address

    def kill_front(self, number):
        self.fronts.pop(number).kill()

    def stop(self):
        gevent.joinall([gevent.spawn(daemon.stop) for daemon in self.fronts.values()])
        gevent.sleep(0.1)
        self.farm.close()
        self.log.close()
