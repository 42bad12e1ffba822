"""Runs a rehearsal: the streamers in one process, each controller in its own, the viewers in this one.

All logs use the same clock.
"""

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
from herongap.rehearsal.errors import RehearsalError
from herongap.rehearsal.relay import Relay
from herongap.standins.etcd import Etcd, fill, put
from herongap.standins.farm import Log
from herongap.standins.player import Player
from herongap.standins.viewer import Viewer

RETRY_DELAY_SECONDS = (0.3, 1.2)  # least and greatest
MIN_RETRY_SECONDS = 0.5  # with less time left, a viewer does not retry
PREFIX = "/herongap/"


class Actors:
    """The processes of a rehearsal. Tests replace them by actors within one process."""

    controller = (sys.executable, "-m", "herongap.rehearsal.controller")

    def __init__(self, day: Day, folder: Path, seed: int, policy: str):
        self.day, self.folder, self.seed, self.policy = day, folder, seed, policy
        self.streamers: green.Popen | None = None
        self.controllers: dict[int, green.Popen] = {}
        self.leaving: list[green.Popen] = []

    def start_streamers(self) -> dict[str, Address]:
        """Starts the streamers; returns their addresses by name."""
        config = {
            "kind": machine_profile_values(self.day),
            "seed": self.seed,
            "log": str(self.folder / "streamers.jsonl"),
            "streamers": [
                [f"s{i}", zone_of(i, self.day), rack_of(i, self.day)]
                for i in range(self.day.settings.streamers)
            ],
        }
        (self.folder / "farm.json").write_text(json.dumps(config))
        self.streamers = green.Popen(
            [sys.executable, "-m", "herongap.rehearsal.farm", str(self.folder / "farm.json")],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        return {
            name: tuple(address) for name, address in json.loads(self.streamers.stdout.readline()).items()
        }

    def order(self, order: dict) -> None:
        """Sends an order to the streamers."""
        self.streamers.stdin.write(json.dumps(order) + "\n")
        self.streamers.stdin.flush()

    def start_controller(self, number: int, file: Path) -> Address:
        """Starts a controller; returns the address that it listens on."""
        controller = green.Popen(
            [*self.controller, str(file), self.policy],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        line = controller.stdout.readline()
        if not line.startswith("listening "):
            raise RehearsalError(f"controller {number} did not start")
        self.controllers[number] = controller
        host, _, port = line.strip().rpartition("/")[2].rpartition(":")
        return host, int(port)

    def kill_controller(self, number: int) -> None:
        """Kills a controller."""
        self.controllers.pop(number).kill()

    def signal_controller(self, number: int, signal_number: int) -> None:
        """Sends SIGSTOP, SIGCONT or SIGTERM; after SIGTERM the controller shuts down by itself."""
        self.controllers[number].send_signal(signal_number)
        if signal_number == signal.SIGTERM:
            self.leaving.append(self.controllers.pop(number))

    def set_clock(self, number: int, order: dict) -> None:
        """Skews the clocks of a controller; see `herongap.rehearsal.controller`."""
        controller = self.controllers[number]
        controller.stdin.write(json.dumps(order) + "\n")
        controller.stdin.flush()

    def stop(self) -> None:
        """Shuts down all processes, and kills controllers that do not exit in time."""
        for controller in self.controllers.values():
            controller.send_signal(signal.SIGCONT)
            controller.send_signal(signal.SIGTERM)
        for controller in (*self.controllers.values(), *self.leaving):
            try:
                controller.wait(timeout=20)
            except subprocess.TimeoutExpired:
                controller.kill()
        if self.streamers:
            self.streamers.stdin.close()
            self.streamers.wait(timeout=10)


class Rehearsal:
    """One running rehearsal."""

    def __init__(self, day: Day, folder: Path, seed: int, actors: Actors):
        self.day, self.folder, self.seed, self.actors = day, folder, seed, actors
        self.script = script(day, seed)
        self.began = 0.0
        self.list_delay = day.settings.list_late
        self.listing = Listing([f"s{i}" for i in range(day.settings.streamers)])
        self.entries: dict[str, dict] = {}
        self.etcd: Etcd | None = None
        self.relays: dict[tuple[int, int], Relay] = {}
        self.paused: set[int] = set()
        self.controllers: dict[int, Address | None] = {}
        self.log_file = open(folder / "clients.jsonl", "w", encoding="utf-8")  # noqa: SIM115
        self.log = Log(self.log_file.write)
        self.wall_offset = time.time() - time.monotonic()

    def play(self) -> Outcome:
        """Plays the whole day; returns when the last viewer is done and all processes have ended."""
        try:
            for i, (name, address) in enumerate(self.actors.start_streamers().items()):
                self.entries[name] = {
                    "id": name, "url": f"http://{address[0]}:{address[1]}", "zone": zone_of(i, self.day),
                    "rack": rack_of(i, self.day),
                }  # fmt: skip
            (self.folder / "catalogue.json").write_text(json.dumps({"titles": self.script.titles}))
            if self.day.settings.list_by == "etcd":
                self.etcd = Etcd(STORE_MEMBERS, time.monotonic, self.log)
                fill(self.etcd.history, PREFIX, {name: self._streamer_value(name) for name in self.entries})
                for name, budget in self.day.budgets.items():
                    # Created in advance, as by an operator: a controller that creates a budget counts its use
                    # for the budget's `linger` first.
                    document = with_limit(None, budget.whole, unused=True)
                    self.etcd.history.put(f"{PREFIX}budgets/{name}".encode(), document)
                self._log_list()
            else:
                self._write_list()
            for number in range(self.day.settings.controllers):
                if number not in self.day.late_joiners:
                    self._start_controller(number)
            self.began = time.monotonic()
            running = [gevent.spawn(self._run_steps)]
            for arrival in self.script.arrivals:
                self._sleep_until(arrival.at)
                running.append(gevent.spawn(self._run_viewer, arrival))
            gevent.joinall(running, timeout=self.day.settings.seconds + 60)
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

    # Faults of the script.

    def _run_steps(self) -> None:
        for step in self.script.steps:
            self._sleep_until(step.at)
            self._run_step(step)

    def _run_step(self, step: TroubleStep) -> None:
        self.log("stage", step.target, **step.command)
        if step.target == "farm":
            self.actors.order(step.command)
        elif step.target == "list_late":
            self.list_delay = step.command["by"]
        elif step.target == "list":
            now = time.monotonic()
            gevent.spawn_later(self.list_delay, self._change_list, step.command, now)
        elif step.target == "etcd":
            self._command_etcd(step.command)
        elif step.target == "relays":
            self._command_relays(step.command)
        elif step.target == "members":
            self._command_members(step.command)
        else:
            for number in step.command["on"]:
                self._command_controller(number, step.command)

    def _command_controller(self, number: int, command: dict) -> None:
        address = self.controllers.get(number)
        if command["do"] == "start":
            if not address:
                self._start_controller(number)
            return
        if not address:
            return  # another fault has ended it
        match command["do"]:
            case "kill":
                self.log("stage", "killed", front=number)
                self.controllers[number] = None
                self.paused.discard(number)
                self.actors.kill_controller(number)
            case "leave":
                # New viewers go to other controllers; this one still answers those that it has.
                self.log("stage", "left", front=number)
                self.controllers[number] = None
                self.actors.signal_controller(number, signal.SIGTERM)
            case "pause":
                self.log("stage", "paused", front=number)
                self.paused.add(number)
                self.actors.signal_controller(number, signal.SIGSTOP)
            case "go on":
                if number in self.paused:
                    self.paused.discard(number)
                    self.actors.signal_controller(number, signal.SIGCONT)
                    self.log("stage", "went on", front=number)
            case "clock":
                self.actors.set_clock(number, {k: v for k, v in command.items() if k in ("rate", "step")})

    def _command_relays(self, command: dict) -> None:
        for (number, _), relay in self.relays.items():
            if number in command["on"]:
                if command["do"] == "begin":
                    relay.begin(command["trouble"], command["by"])
                else:
                    relay.end(command["trouble"])

    def _command_members(self, command: dict) -> None:
        if command["do"] == "elect":
            self.etcd.elect(command["by"])
            return
        for member in (self.etcd.members[number] for number in command["on"]):
            if command["trouble"] == "minority":
                member.partition(command["do"] == "begin")
            else:
                (member.stop if command["do"] == "begin" else member.start)()

    def _change_list(self, command: dict, at: float) -> None:
        self.listing.apply(command, at + self.wall_offset)
        if self.etcd:
            self._put_list(command)
        else:
            self._write_list()

    def _streamer_value(self, name: str) -> dict:
        started = self.listing.started[name]
        value = {key: self.entries[name][key] for key in ("url", "zone", "rack")}
        return value | ({} if started is None else {"started": started})

    def _put_list(self, command: dict) -> None:
        """Puts and deletes keys as the streamers and their operators do."""
        history = self.etcd.history
        for name in command["on"]:
            streamer, drain = f"{PREFIX}streamers/{name}", f"{PREFIX}drains/{name}"
            match command["standing"]:
                case "started":
                    # A new process creates its key again, which ends the drain of the previous one.
                    history.delete(streamer.encode(), drain.encode())
                    put(history, streamer, v=1, **self._streamer_value(name))
                case "leaving":
                    put(history, drain, v=1, by="rehearsal")
                case "active":
                    history.delete(drain.encode())
                case "left" | "none":
                    history.delete(streamer.encode())
                case "back":
                    put(history, streamer, v=1, **self._streamer_value(name))
        self._log_list()

    def _command_etcd(self, command: dict) -> None:
        if self.etcd is None:
            raise RehearsalError("a fault of etcd requires list_by = etcd")
        match command["do"]:
            case "cut":
                if command["compact"]:
                    self.etcd.history.compact()
                self.etcd.cut()
            case "stop":
                for member in self.etcd.members:
                    member.stop()
            case "start":
                for member in self.etcd.members:
                    member.start()
            case "whole":
                for name in command["names"]:
                    self._set_limit(name, round(command["times"] * self.day.budgets[name].whole))
            case "forgotten":
                self.etcd.history.delete(*(f"{PREFIX}budgets/{name}".encode() for name in command["names"]))

    def _set_limit(self, name: str, limit: int) -> None:
        key = f"{PREFIX}budgets/{name}".encode()
        entry = self.etcd.history.current.get(key)
        if entry:
            self.etcd.history.put(key, with_limit(entry["value"], limit))

    def _log_list(self) -> None:
        self.log("stage", "listed", gone=self.listing.unavailable(), by=self.day.settings.list_by)

    def _write_list(self) -> None:
        visible = self.listing.visible()
        entries = [
            self.entries[name] | {"standing": status, "started": started} for name, status, started in visible
        ]
        new_file = self.folder / "streamers.json.new"
        new_file.write_text(json.dumps({"streamers": entries}))
        os.replace(new_file, self.folder / "streamers.json")
        self._log_list()

    def _start_controller(self, number: int) -> None:
        file = self.folder / f"controller-{number}.ini"
        members = self._members(number) if self.etcd else None
        file.write_text(controller_ini(self.day, number, self.seed, self.folder, members))
        self.controllers[number] = self.actors.start_controller(number, file)
        self.log("stage", "front", number=number, address=list(self.controllers[number]))
        # Streamers fetch the keys of tokens from these controllers.
        self.actors.order(
            {"do": "fronts", "at": [list(address) for address in self.controllers.values() if address]}
        )

    def _members(self, number: int) -> list[str]:
        """Returns the store addresses for a controller: those of its relays, one to each store member."""
        for i, member in enumerate(self.etcd.members):
            if (number, i) not in self.relays:
                self.relays[number, i] = Relay(member.address)
        return ["{}:{}".format(*self.relays[number, i].address) for i in range(STORE_MEMBERS)]

    # Viewers.

    def _run_viewer(self, arrival: Arrival) -> None:
        rng = random.Random(f"viewer {arrival.name} {self.seed}")
        self.log(arrival.name, "wants", package=arrival.package, title=arrival.title, seconds=arrival.length,
                 top=arrival.top)  # fmt: skip
        # If the package has several protocols, a hash of the name chooses one, the same in every run.
        protocols = self.day.packages[arrival.package].protocol
        protocol = protocols[zlib.crc32(arrival.name.encode()) % len(protocols)]
        if protocol == "dash":
            self._run_player(arrival, rng)
            return
        target = f"/{protocol}/{arrival.title}?package={arrival.package}&top={arrival.top}"
        direction = "recvonly" if protocol == "whep" else "sendonly"
        viewer = Viewer(arrival.name, ("", 0), target, self.log, self.seed, direction=direction)
        remaining = arrival.length
        for _ in range(self.day.clients.tries):
            viewer.front = self._choose_controller(arrival, rng)
            if viewer.front is None:
                gevent.sleep(rng.uniform(*RETRY_DELAY_SECONDS))
                continue
            result = self._attempt(viewer, arrival, rng)
            if result is None:
                return  # the viewer hung up
            wait = rng.uniform(*RETRY_DELAY_SECONDS)
            if result.status == 201:
                began = time.monotonic()
                if arrival.habit == "trickles":
                    gevent.spawn(self._trickle, viewer, rng.random())
                if viewer.play(remaining):
                    viewer.delete()
                    return
                self.log(arrival.name, "lost", identity=viewer.identity)
                viewer.delete()
                remaining -= time.monotonic() - began
            if remaining < MIN_RETRY_SECONDS or rng.random() >= self.day.clients.returns:
                return
            if result.reply is not None:
                wait = max(wait, float(result.reply.header("retry-after") or 0.0))
            gevent.sleep(wait)
            viewer.new_offer()

    def _run_player(self, arrival: Arrival, rng: random.Random) -> None:
        """Runs a DASH player, which retries as viewers do, at another controller if its own has ended."""
        target = f"/dash/{arrival.title}?package={arrival.package}&top={arrival.top}"
        player = Player(arrival.name, ("", 0), target, self.log, self.seed)
        patience, end = self.day.packages[arrival.package].patience, time.monotonic() + arrival.length
        for _ in range(self.day.clients.tries):
            address = self._choose_controller(arrival, rng)
            if address is not None:
                if address != player.front:
                    player.front = address
                    player.new_session()
                reply = self._join(player, arrival, patience)
                if reply is not None and reply.status == 200 and player.play(end - time.monotonic()):
                    player.delete()
                    break
                if rng.random() >= self.day.clients.returns:
                    break
                wait = float(reply.header("retry-after") or 0.0) if reply is not None else 0.0
                gevent.sleep(max(wait, rng.uniform(*RETRY_DELAY_SECONDS)))
            else:
                gevent.sleep(rng.uniform(*RETRY_DELAY_SECONDS))
            if end - time.monotonic() < MIN_RETRY_SECONDS:
                break
        self.log(arrival.name, "watched", played=round(player.played, 2), stalled=round(player.stalled, 2),
                 moves=player.moves, rungs=player.rungs, statuses=player.statuses)  # fmt: skip

    def _join(self, player: Player, arrival: Arrival, patience: float):
        """Requests or refreshes a session, as the viewer's habit says; returns the reply, or None."""
        if arrival.habit in ("repeats", "doubles"):
            # A second tab, or a retry while the first request is pending.
            second = gevent.spawn(player.join, patience)
            reply = player.join(patience)
            second.join()
            return reply
        return player.refresh(patience) if player.location else player.join(patience)

    def _choose_controller(self, arrival: Arrival, rng: random.Random) -> Address | None:
        """Chooses a running controller, preferably of the viewer's zone, as a load balancer does."""
        running = [n for n, address in self.controllers.items() if address]
        local = [n for n in running if n % self.day.settings.zones == arrival.zone]
        return self.controllers[rng.choice(local or running)] if running else None

    def _attempt(self, viewer: Viewer, arrival: Arrival, rng: random.Random):
        """Posts an offer, as the viewer's habit says; returns the result, or None if the viewer left."""
        patience = self.day.packages[arrival.package].patience
        if arrival.habit == "leaves":
            result = viewer.post(patience, hang_up=rng.uniform(0.001, 0.08))
            return result if result.status == 201 else None
        if arrival.habit == "repeats":
            # The viewer has a short timeout: it repeats the offer while the first may still be in set-up.
            first = viewer.post(patience, hang_up=rng.uniform(0.001, 0.08))
            return first if first.status else viewer.post(patience)
        if arrival.habit == "doubles":
            second = gevent.spawn(viewer.post, patience)
            result = viewer.post(patience)
            second.join()
            return result
        return viewer.post(patience)

    def _trickle(self, viewer: Viewer, wait: float) -> None:
        gevent.sleep(wait)
        try:
            status = viewer.restart_ice().status if wait < 0.3 else viewer.trickle().status
        except Exception as error:  # whatever the failure is, it is logged as the status
            status = repr(error)
        self.log(viewer.name, "trickled", identity=viewer.identity, status=status)


def read_logs(folder: Path) -> list[tuple[float, str, str, dict]]:
    """Returns the entries of all logs of a rehearsal, sorted by time."""
    lines = []
    for name in ("streamers.jsonl", "clients.jsonl"):
        with open(folder / name, encoding="utf-8") as file:
            lines += [tuple(json.loads(line)) for line in file if line.endswith("\n")]
    return sorted(lines, key=lambda line: line[0])


def play(
    day: Day, folder: Path, seed: int, policy: str = "herongap", actors: Callable | None = None
) -> Outcome:
    """Plays one day in a folder. `policy` is a name of `herongap.fleet.baselines.POLICIES`."""
    folder.mkdir(parents=True, exist_ok=True)
    return Rehearsal(day, folder, seed, (actors or Actors)(day, folder, seed, policy)).play()
