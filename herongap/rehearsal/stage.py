"""Plays a script: streamers in a process, controllers in theirs, viewers here; all logs carry one clock."""

import json
import os
import random
import signal
import subprocess
import sys
import time
import zlib
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent import subprocess as green

from herongap.accord.shares import with_limit
from herongap.daemon.http_connection import Address
from herongap.fleet.day import (
    STORE_MEMBERS,
    Arrival,
    Day,
    Listing,
    TroubleStep,
    controller_ini,
    machine_profile_values,
    rack_of,
    script,
    zone_of,
)
from herongap.fleet.figures import Outcome
from herongap.rehearsal.errors import NoStage
from herongap.rehearsal.relay import Relay
from herongap.standins.etcd import Etcd, fill, put
from herongap.standins.farm import Log
from herongap.standins.player import Player
from herongap.standins.viewer import Viewer

COME_AGAIN = (0.3, 1.2)
PREFIX = "/herongap/"


class Actors:
    """The processes of a stage. Tests bring others, which run in their own process."""

    controller = (sys.executable, "-m", "herongap.rehearsal.controller")

    def __init__(self, day: Day, folder: Path, seed: int, policy: str):
        self.day, self.folder, self.seed, self.policy = day, folder, seed, policy
        self.farm: green.Popen | None = None
        self.fronts: dict[int, green.Popen] = {}
        self.leaving: list[green.Popen] = []

    def start_farm(self) -> dict[str, Address]:
        """Start the streamers; their addresses."""
        what = {
            "kind": machine_profile_values(self.day),
            "seed": self.seed,
            "log": str(self.folder / "streamers.jsonl"),
            "streamers": [
                [f"s{i}", zone_of(i, self.day), rack_of(i, self.day)]
                for i in range(self.day.settings.streamers)
            ],
        }
        (self.folder / "farm.json").write_text(json.dumps(what))
        self.farm = green.Popen(
            [sys.executable, "-m", "herongap.rehearsal.farm", str(self.folder / "farm.json")],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        return {name: tuple(address) for name, address in json.loads(self.farm.stdout.readline()).items()}

    def order(self, what: dict) -> None:
        self.farm.stdin.write(json.dumps(what) + "\n")
        self.farm.stdin.flush()

    def start_front(self, number: int, file: Path) -> Address:
        """Start a controller; the address that it listens on."""
        front = green.Popen(
            [*self.controller, str(file), self.policy],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        line = front.stdout.readline()
        if not line.startswith("listening "):
            raise NoStage(f"controller {number} did not start")
        self.fronts[number] = front
        host, _, port = line.strip().rpartition("/")[2].rpartition(":")
        return host, int(port)

    def kill_front(self, number: int) -> None:
        self.fronts.pop(number).kill()

    def signal_front(self, number: int, what: int) -> None:
        """SIGSTOP or SIGCONT; or SIGTERM, after which it is on its own."""
        front = self.fronts[number]
        front.send_signal(what)
        if what == signal.SIGTERM:
            self.leaving.append(self.fronts.pop(number))

    def set_clock(self, number: int, what: dict) -> None:
        front = self.fronts[number]
        front.stdin.write(json.dumps(what) + "\n")
        front.stdin.flush()

    def stop(self) -> None:
        for front in self.fronts.values():
            front.send_signal(signal.SIGCONT)
            front.send_signal(signal.SIGTERM)
        for front in (*self.fronts.values(), *self.leaving):
            try:
                front.wait(timeout=20)
            except subprocess.TimeoutExpired:
                front.kill()
        if self.farm:
            self.farm.stdin.close()
            self.farm.wait(timeout=10)


class Stage:
    """One rehearsal under way."""

    def __init__(self, day: Day, folder: Path, seed: int, actors: Actors):
        self.day, self.folder, self.seed, self.actors = day, folder, seed, actors
        self.script = script(day, seed)
        self.began = 0.0
        self.late = day.settings.list_late
        self.listing = Listing([f"s{i}" for i in range(day.settings.streamers)])
        self.places: dict[str, dict] = {}
        self.etcd: Etcd | None = None
        self.relays: dict[tuple[int, int], Relay] = {}
        self.paused: set[int] = set()
        self.fronts: dict[int, Address | None] = {}
        self.log_file = open(folder / "clients.jsonl", "w", encoding="utf-8")  # noqa: SIM115
        self.log = Log(self.log_file.write)
        self.wall = time.time() - time.monotonic()

    def play(self) -> Outcome:
        """Play the whole day; returns when the last viewer is done and all processes have ended."""
        try:
            for i, (name, address) in enumerate(self.actors.start_farm().items()):
                self.places[name] = {
                    "id": name, "url": f"http://{address[0]}:{address[1]}", "zone": zone_of(i, self.day),
                    "rack": rack_of(i, self.day),
                }  # fmt: skip
            (self.folder / "catalogue.json").write_text(json.dumps({"titles": self.script.titles}))
            if self.day.settings.list_by == "etcd":
                self.etcd = Etcd(STORE_MEMBERS, time.monotonic, self.log)
                fill(self.etcd.history, PREFIX, {name: self._value(name) for name in self.places})
                for name, whole in self.day.budgets.items():
                    # As an operator makes it. Made by a controller it is counted first: a linger passes.
                    made = with_limit(None, whole.whole, unused=True)
                    self.etcd.history.put(f"{PREFIX}budgets/{name}".encode(), made)
                self._log_list()
            else:
                self._write_list()
            for number in range(self.day.settings.controllers):
                if number not in self.day.late_joiners:
                    self._start_front(number)
            self.began = time.monotonic()
            playing = [gevent.spawn(self._follow_orders)]
            for arrival in self.script.arrivals:
                self._sleep_until(arrival.at)
                playing.append(gevent.spawn(self._live, arrival))
            gevent.joinall(playing, timeout=self.day.settings.seconds + 60)
            gevent.sleep(0.5)
        finally:
            self.log("stage", "stopping")
            self.actors.stop()
            for relay in self.relays.values():
                relay.close()
            if self.etcd:
                self.etcd.close()
            self.log_file.close()
        return Outcome(self.day, self.script, self.began, read_logs(self.folder))

    def _sleep_until(self, at: float) -> None:
        gevent.sleep(max(0.0, self.began + at - time.monotonic()))

    # Troubles.

    def _follow_orders(self) -> None:
        for order in self.script.steps:
            self._sleep_until(order.at)
            self._carry_out(order)

    def _carry_out(self, order: TroubleStep) -> None:
        self.log("stage", order.target, **order.command)
        if order.target == "farm":
            self.actors.order(order.command)
        elif order.target == "list_late":
            self.late = order.command["by"]
        elif order.target == "list":
            now = time.monotonic()
            gevent.spawn_later(self.late, self._relist, order.command, now)
        elif order.target == "etcd":
            self._trouble_etcd(order.command)
        elif order.target == "relays":
            self._trouble_relays(order.command)
        elif order.target == "members":
            self._trouble_members(order.command)
        else:
            for number in order.command["on"]:
                self._trouble_front(number, order.command)

    def _trouble_front(self, number: int, what: dict) -> None:
        there = self.fronts.get(number)
        if what["do"] == "start":
            if not there:
                self._start_front(number)
            return
        if not there:
            return  # another trouble has taken it away
        match what["do"]:
            case "kill":
                self.log("stage", "killed", front=number)
                self.fronts[number] = None
                self.paused.discard(number)
                self.actors.kill_front(number)
            case "leave":
                # Viewers are sent elsewhere from now on; those that it has it answers.
                self.log("stage", "left", front=number)
                self.fronts[number] = None
                self.actors.signal_front(number, signal.SIGTERM)
            case "pause":
                self.log("stage", "paused", front=number)
                self.paused.add(number)
                self.actors.signal_front(number, signal.SIGSTOP)
            case "go on":
                if number in self.paused:
                    self.paused.discard(number)
                    self.actors.signal_front(number, signal.SIGCONT)
                    self.log("stage", "went on", front=number)
            case "clock":
                self.actors.set_clock(number, {k: v for k, v in what.items() if k in ("rate", "step")})

    def _trouble_relays(self, what: dict) -> None:
        for (number, _), relay in self.relays.items():
            if number in what["on"]:
                if what["do"] == "begin":
                    relay.begin(what["trouble"], what["by"])
                else:
                    relay.end(what["trouble"])

    def _trouble_members(self, what: dict) -> None:
        if what["do"] == "elect":
            self.etcd.elect(what["by"])
            return
        for member in (self.etcd.members[number] for number in what["on"]):
            if what["trouble"] == "minority":
                member.part(what["do"] == "begin")
            else:
                (member.stop if what["do"] == "begin" else member.start)()

    def _relist(self, what: dict, at: float) -> None:
        self.listing.apply(what, at + self.wall)
        if self.etcd:
            self._put_list(what)
        else:
            self._write_list()

    def _value(self, name: str) -> dict:
        started = self.listing.started[name]
        told = {key: self.places[name][key] for key in ("url", "zone", "rack")}
        return told | ({} if started is None else {"started": started})

    def _put_list(self, what: dict) -> None:
        """What the streamers and their operators put and delete."""
        history = self.etcd.history
        for name in what["on"]:
            streamer, drain = f"{PREFIX}streamers/{name}", f"{PREFIX}drains/{name}"
            match what["standing"]:
                case "started":
                    # A new process: its key is made anew, and the drain of the old one ends.
                    history.delete(streamer.encode(), drain.encode())
                    put(history, streamer, v=1, **self._value(name))
                case "leaving":
                    put(history, drain, v=1, by="rehearsal")
                case "active":
                    history.delete(drain.encode())
                case "left" | "none":
                    history.delete(streamer.encode())
                case "back":
                    put(history, streamer, v=1, **self._value(name))
        self._log_list()

    def _trouble_etcd(self, what: dict) -> None:
        if self.etcd is None:
            raise NoStage("a trouble of etcd needs list_by = etcd")
        match what["do"]:
            case "cut":
                if what["compact"]:
                    self.etcd.history.compact()
                self.etcd.cut()
            case "stop":
                for member in self.etcd.members:
                    member.stop()
            case "start":
                for member in self.etcd.members:
                    member.start()
            case "whole":
                for name in what["names"]:
                    self._set_whole(name, round(what["times"] * self.day.budgets[name].whole))
            case "forgotten":
                self.etcd.history.delete(*(f"{PREFIX}budgets/{name}".encode() for name in what["names"]))

    def _set_whole(self, name: str, whole: int) -> None:
        key = f"{PREFIX}budgets/{name}".encode()
        there = self.etcd.history.now_at.get(key)
        if there:
            self.etcd.history.put(key, with_limit(there["value"], whole))

    def _log_list(self) -> None:
        self.log("stage", "listed", gone=self.listing.unavailable(), by=self.day.settings.list_by)

    def _write_list(self) -> None:
        shown = self.listing.visible()
        lines = [self.places[n] | {"standing": standing, "started": start} for n, standing, start in shown]
        new = self.folder / "streamers.json.new"
        new.write_text(json.dumps({"streamers": lines}))
        os.replace(new, self.folder / "streamers.json")
        self._log_list()

    def _start_front(self, number: int) -> None:
        file = self.folder / f"controller-{number}.ini"
        members = self._members(number) if self.etcd else None
        file.write_text(controller_ini(self.day, number, self.seed, self.folder, members))
        self.fronts[number] = self.actors.start_front(number, file)
        self.log("stage", "front", number=number, address=list(self.fronts[number]))
        # Where streamers have the keys of tokens.
        self.actors.order(
            {"do": "fronts", "at": [list(address) for address in self.fronts.values() if address]}
        )

    def _members(self, number: int) -> list[str]:
        """The members of the store as a controller reaches them: each through a relay of its own."""
        for i, member in enumerate(self.etcd.members):
            if (number, i) not in self.relays:
                self.relays[number, i] = Relay(member.address)
        return ["{}:{}".format(*self.relays[number, i].address) for i in range(STORE_MEMBERS)]

    # Viewers.

    def _live(self, arrival: Arrival) -> None:
        draw = random.Random(f"viewer {arrival.name} {self.seed}")
        self.log(arrival.name, "wants", package=arrival.package, title=arrival.title, seconds=arrival.length,
                 top=arrival.top)  # fmt: skip
        # Who may come by several protocols is of one kind or another by its name, in every play alike.
        protocols = self.day.packages[arrival.package].protocol
        protocol = protocols[zlib.crc32(arrival.name.encode()) % len(protocols)]
        if protocol == "dash":
            self._watch(arrival, draw)
            return
        target = f"/{protocol}/{arrival.title}?package={arrival.package}&top={arrival.top}"
        direction = "recvonly" if protocol == "whep" else "sendonly"
        viewer = Viewer(arrival.name, ("", 0), target, self.log, self.seed, direction=direction)
        left = arrival.length
        for _ in range(self.day.clients.tries):
            viewer.front = self._choose(arrival, draw)
            if viewer.front is None:
                gevent.sleep(draw.uniform(*COME_AGAIN))
                continue
            tried = self._ask(viewer, arrival, draw)
            if tried is None:
                return  # it left of its own will
            wait = draw.uniform(*COME_AGAIN)
            if tried.status == 201:
                began = time.monotonic()
                if arrival.habit == "trickles":
                    gevent.spawn(self._trickle, viewer, draw.random())
                if viewer.play(left):
                    viewer.delete()
                    return
                self.log(arrival.name, "lost", identity=viewer.identity)
                viewer.delete()
                left -= time.monotonic() - began
            if left < 0.5 or draw.random() >= self.day.clients.returns:
                return
            if tried.reply is not None:
                wait = max(wait, float(tried.reply.header("retry-after") or 0.0))
            gevent.sleep(wait)
            viewer.again()

    def _watch(self, arrival: Arrival, draw: random.Random) -> None:
        """A DASH player's part: it comes again as others do, to another front where its own is gone."""
        target = f"/dash/{arrival.title}?package={arrival.package}&top={arrival.top}"
        player = Player(arrival.name, ("", 0), target, self.log, self.seed)
        patience, end = self.day.packages[arrival.package].patience, time.monotonic() + arrival.length
        for _ in range(self.day.clients.tries):
            front = self._choose(arrival, draw)
            if front is not None:
                if front != player.front:
                    player.front = front
                    player.again()
                reply = self._join(player, arrival, patience)
                if reply is not None and reply.status == 200 and player.play(end - time.monotonic()):
                    player.delete()
                    break
                if draw.random() >= self.day.clients.returns:
                    break
                wait = float(reply.header("retry-after") or 0.0) if reply is not None else 0.0
                gevent.sleep(max(wait, draw.uniform(*COME_AGAIN)))
            else:
                gevent.sleep(draw.uniform(*COME_AGAIN))
            if end - time.monotonic() < 0.5:
                break
        self.log(arrival.name, "watched", played=round(player.played, 2), stalled=round(player.stalled, 2),
                 moves=player.moves, rungs=player.rungs, statuses=player.statuses)  # fmt: skip

    def _join(self, player: Player, arrival: Arrival, patience: float):
        if arrival.habit in ("repeats", "doubles"):
            # A second tab, or a retry while the first request is still out.
            second = gevent.spawn(player.join, patience)
            reply = player.join(patience)
            second.join()
            return reply
        return player.refresh(patience) if player.location else player.join(patience)

    def _choose(self, arrival: Arrival, draw: random.Random) -> Address | None:
        """A controller that listens, its own zone's for choice: what a balancer before the controllers
        does.
        """
        up = [n for n, address in self.fronts.items() if address]
        near = [n for n in up if n % self.day.settings.zones == arrival.zone]
        return self.fronts[draw.choice(near or up)] if up else None

    def _ask(self, viewer: Viewer, arrival: Arrival, draw: random.Random):
        patience = self.day.packages[arrival.package].patience
        if arrival.habit == "leaves":
            tried = viewer.post(patience, hang_up=draw.uniform(0.001, 0.08))
            return tried if tried.status == 201 else None
        if arrival.habit == "repeats":
            # Its own time-out is short: it repeats the same offer while the first may still be set up.
            first = viewer.post(patience, hang_up=draw.uniform(0.001, 0.08))
            return first if first.status else viewer.post(patience)
        if arrival.habit == "doubles":
            second = gevent.spawn(viewer.post, patience)
            tried = viewer.post(patience)
            second.join()
            return tried
        return viewer.post(patience)

    def _trickle(self, viewer: Viewer, wait: float) -> None:
        gevent.sleep(wait)
        try:
            status = viewer.restart_ice().status if wait < 0.3 else viewer.trickle().status
        except Exception as fault:  # whatever comes of it is what the log is for
            status = repr(fault)
        self.log(viewer.name, "trickled", identity=viewer.identity, status=status)


def read_logs(folder: Path) -> list[tuple[float, str, str, dict]]:
    """All lines of a rehearsal's logs in the order of their times."""
    lines = []
    for name in ("streamers.jsonl", "clients.jsonl"):
        with open(folder / name, encoding="utf-8") as file:
            lines += [tuple(json.loads(line)) for line in file if line.endswith("\n")]
    return sorted(lines, key=lambda line: line[0])


def play(
    day: Day, folder: Path, seed: int, policy: str = "herongap", actors: Callable | None = None
) -> Outcome:
    """Play one day in `folder`; see `policies` of `herongap.fleet.baselines` for what may decide it."""
    folder.mkdir(parents=True, exist_ok=True)
    return Stage(day, folder, seed, (actors or Actors)(day, folder, seed, policy)).play()
