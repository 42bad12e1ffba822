"""One day in virtual time: real controllers of the library, modelled streamers, viewers, what lies between.

The model writes the lines that stand-ins and clients of a rehearsal write, of the same shape, so that the
same checker and the same report judge both. A day's script is the same for both too.
"""

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from herongap.etcd.membership import SETTLE_SECONDS
from herongap.fleet import day as days
from herongap.fleet.clock import Clock, stream
from herongap.fleet.day import LOOK, Arrival, Day, Listing, Order, Script
from herongap.fleet.errors import NotModelled
from herongap.fleet.machine import Kind, Machine, Rack, Session
from herongap.host import Answer, Host
from herongap.host.liveness import LOST_AFTER_SECONDS, SILENT_AFTER_SECONDS, STREAM_GONE_AFTER_SECONDS
from herongap.ini import Site, parse_site
from herongap.interface import EndReason, LoadReport, StreamerEntry, StreamerStatus, ViewingRequest
from herongap.rules import Controller

Id = int | str
TICK = 0.25  # seconds between two looks at what changes by itself: warmth, notes
CLOSE = 1.6  # seconds until a front gives up on a teardown that nobody confirms
LOST_AFTER = 4.0  # seconds without consent after which a viewer takes its session for lost
FRONT_GONE = 2.0  # seconds after which a streamer ends what a lost front held
COME_AGAIN = (0.3, 1.2)
CLIENT_MS = 0.0015  # seconds between a client and its front, one way
WAY = 0.0012  # seconds between a front and a streamer, one way, and what both do with a message


class Out(NamedTuple):
    """A tune-in on its way, as the model's network knows it."""

    ask: ViewingRequest
    number: int
    streamer: str
    rung: int


class Front:
    """One controller and its port to the model's streamers."""

    def __init__(self, model: "Model", number: int, site: Site, seed: int, make: Callable):
        self.model, self.number, self.site = model, number, site
        self.clock = model.clock
        model.boots += 1
        # As a restarted front is another one to streamers.
        self.name, self.port = f"herongap-{number}-{model.boots}", model.boots
        self.up, self.armed, self.began = True, 0, model.clock.now
        self.clients: dict[Id, Viewer] = {}
        self.outs: dict[tuple[Id, int], Out] = {}
        self.plays: dict[tuple[Id, int], Session] = {}
        self.follows: set[str] = set()
        self.host = Host(self.clock.now, seed, site.charter, self, None, make)

    # The port.

    def tune_in(self, ask: ViewingRequest, number: int, streamer: str, rung: int, time_out: float) -> None:
        self.outs[ask.viewing, number] = Out(ask, number, streamer, rung)
        self.clock.after(WAY, self._connected, ask.viewing, number)

    def call_off(self, viewing: Id, number: int, streamer: str) -> None:
        if self.outs.pop((viewing, number), None):
            self.clock.after(WAY, self.model.machines[streamer].hung_up, self, viewing, number)

    def set_rung(self, viewing: Id, number: int, streamer: str, rung: int) -> None:
        self.clock.after(WAY, self.model.machines[streamer].layer, self, viewing, number, rung)

    def tear_down(self, viewing: Id, number: int, streamer: str, wanted: bool) -> None:
        self.clock.after(WAY, self.model.machines[streamer].delete, self, viewing, number, wanted)

    def answer(self, viewing: Id, answer: Answer) -> None:
        client = self.clients[viewing]
        if answer.verdict != "plays":
            del self.clients[viewing]
        self.clock.after(CLIENT_MS, client.answered, self, viewing, answer)

    def viewing_ended(self, viewing: Id, how: EndReason) -> None:
        self.clients.pop(viewing, None)

    def probe(self, streamer: str) -> None:
        self.clock.after(2 * WAY, self._probed, streamer)

    def follow(self) -> None:
        return None

    def send_to_peer(self, peer: int, words: bytes) -> None:
        return None

    def request_budget(self, whole: str) -> None:
        """No wholes are divided here; `fleet/budget_simulation.py` has those."""

    def wake(self, at: float) -> None:
        self.armed += 1
        self.clock.at(max(at, self.clock.now), self._woke, self.armed)

    # What comes back.

    def _woke(self, armed: int) -> None:
        if self.up and armed == self.armed:
            self.host.woke(self.clock.now)

    def _connected(self, viewing: Id, number: int) -> None:
        out = self.outs.get((viewing, number))
        if not self.up or out is None:
            return
        machine = self.model.machines[out.streamer]
        if not machine.running or not self.host.sendable(viewing, number, self.clock.now):
            self.ended(viewing, number, EndReason.UNREACHED)
            return
        machine.post(self, out)

    def started(self, viewing: Id, number: int, streamer: str, session: Session, load: LoadReport) -> None:
        if not self.up:
            return
        self.outs.pop((viewing, number), None)
        self.plays[viewing, number] = session
        if self.host.started(self.clock.now, viewing, number, streamer, load):
            self.follows.add(streamer)

    def ended(self, viewing: Id, number: int, how: EndReason, load: LoadReport | None = None) -> None:
        self.outs.pop((viewing, number), None)
        if self.up:
            self.host.ended(self.clock.now, viewing, number, how, load)

    def torn_down(self, viewing: Id, number: int) -> None:
        if self.up:
            self.host.torn_down(self.clock.now, viewing, number)

    def told_share(self, streamer: str, share: float) -> None:
        if self.up:
            self.host.share_told(self.clock.now, streamer, share)

    def told_load(self, streamer: str, load: LoadReport) -> None:
        for uplink, ratio in ((False, load.link), (True, load.rack)):
            if self.up:
                self.host.load_told(self.clock.now, streamer, uplink, None, ratio)

    def lost(self, streamer: str) -> None:
        """A streamer's process is gone, and all that it played with it."""
        if self.up:
            self.follows.discard(streamer)
            for viewing, number in self.host.playing_at(streamer):
                self.tear_down(viewing, number, streamer, False)
                self.host.ended(self.clock.now, viewing, number, EndReason.BROKEN)

    def _probed(self, streamer: str) -> None:
        machine = self.model.machines[streamer]
        fine = machine.running and not machine.muted(self)
        if self.up:
            how = (
                EndReason.PLAYED if fine else EndReason.TIMED_OUT if machine.running else EndReason.UNREACHED
            )
            self.host.probed(self.clock.now, streamer, how, 2 * WAY, machine.machine.load() if fine else None)


class Streamer:
    """A machine and its faults, as its network shows them."""

    def __init__(self, model: "Model", name: str, zone: str, rack: Rack):
        self.model, self.name, self.clock = model, name, model.clock
        self.machine = Machine(model.kind, name, zone, rack)
        self.running, self.count, self.short = True, 0, False
        self.faults = self.machine.faults
        self.waiting: dict[tuple[str, Id, int], Front] = {}
        self.draw = stream(model.seed, "streamer", name)
        self.notes_draw = stream(model.seed, "notes", name)
        self.silent_since: float | None = None
        self.tells = self.clock.now + self.draw.uniform(0, model.kind.tell)

    def log(self, what: str, **details) -> None:
        self.model.log(self.name, what, **details)

    def muted(self, front: Front) -> bool:
        """Whether nothing from here reaches that front."""
        return self.machine.muted(front.name)

    def post(self, front: Front, out: Out) -> None:
        """A tune-in arrives."""
        now, viewing, number = self.clock.now, out.ask.viewing, out.number
        identity = self.model.identities[front.name, viewing]
        self.log("post", identity=identity, front=front.name, title=out.ask.title, rung=out.rung,
                 cold=self.machine.warmth(now) < 1)  # fmt: skip
        most = self.machine.knock(now)
        if most is not None:
            self.log("fell", set_ups=len(self.machine.set_ups), most=most)
        self.waiting[front.name, viewing, number] = front
        if self.muted(front):
            return
        delay = self.draw.uniform(*self.model.kind.set_up) + self.faults.get("slow", {}).get("by", 0.0)
        self.clock.after(delay, self._set_up, front, out, identity, self.draw.random())

    def _set_up(self, front: Front, out: Out, identity: str, chance: float) -> None:
        viewing, number = out.ask.viewing, out.number
        if self.waiting.pop((front.name, viewing, number), None) is None:
            return  # hung up on, or its process has died
        bad = self.faults.get("fail")
        if self.machine.fallen or (bad and chance < bad.get("part", 1.0)):
            self.log("refused", identity=identity, status=500)
            self.clock.after(WAY, front.ended, viewing, number, EndReason.FAULTY)
            return
        if self.machine.full():
            self.log("refused", identity=identity, status=503)
            self.clock.after(WAY, front.ended, viewing, number, EndReason.FULL, self.machine.load())
            return
        self.count += 1
        name, now = f"{self.model.boots}-{self.count}", self.clock.now
        session = Session(name, identity, out.ask.title, out.rung, front.name, now)
        session.resource = viewing, number
        self.machine.begin(self.clock.now, session)
        self.log("started", identity=identity, session=session.name, front=front.name, title=out.ask.title,
                 rung=out.rung)  # fmt: skip
        self.clock.after(self.model.kind.join_wait, self._unjoined, session)
        if "lose" in self.faults:
            self.log("unanswered", identity=identity, session=session.name)
            self.clock.after(WAY, front.ended, viewing, number, EndReason.BROKEN)
            return
        load = self.machine.load()
        self.clock.after(WAY, front.started, viewing, number, self.name, session, load)

    def hung_up(self, front: Front, viewing: Id, number: int) -> None:
        if self.waiting.pop((front.name, viewing, number), None):
            self.log("hung-up", identity=self.model.identities[front.name, viewing])

    def _unjoined(self, session: Session) -> None:
        if session.consent is None:
            self.end(session, "viewer-gone")

    def layer(self, front: Front, viewing: Id, number: int, rung: int) -> None:
        session = front.plays.get((viewing, number))
        if session and session.name in self.machine.sessions and self.running and not self.muted(front):
            self.log("rung", identity=session.identity, session=session.name, rung=rung)
            self.machine.step(self.clock.now, session, rung)

    def delete(self, front: Front, viewing: Id, number: int, wanted: bool) -> None:
        session = front.plays.pop((viewing, number), None)
        if session and self.running and self.muted(front) and session.name in self.machine.sessions:
            self.log("let-go", identity=session.identity, session=session.name)
        reached = self.running and not self.muted(front)
        if session and reached and session.name in self.machine.sessions:
            self.log("delete", identity=session.identity, session=session.name)
            self.end(session, "deleted", tell=False)
        if wanted:
            late = WAY if reached or not self.running else CLOSE
            self.clock.after(late, front.torn_down, viewing, number)

    def end(self, session: Session, reason: str, tell: bool = True) -> None:
        got = self.machine.finish(self.clock.now, session)
        if got is None:
            return
        told = dict(seconds=round(got[0], 2), earned=round(got[1], 3), joined=session.consent is not None)
        self.log("ended", identity=session.identity, session=session.name, reason=reason, **told)
        front = self.model.names.get(session.front)
        if tell and front and not self.muted(front):
            how = EndReason.PLAYED if reason == "viewer-gone" else EndReason.BROKEN
            self.clock.after(WAY, front.ended, *session.resource, how)

    # Its process, and its faults.

    def die(self) -> None:
        if not self.running:
            return
        self.running = False
        self.log("down")
        for session in list(self.machine.sessions.values()):
            self.end(session, "died", tell=False)
        for (name, viewing, number), front in list(self.waiting.items()):
            self.log("hung-up", identity=self.model.identities[name, viewing])
            self.clock.after(WAY, front.ended, viewing, number, EndReason.BROKEN)
        self.waiting.clear()
        for front in self.model.fronts.values():
            if front and self.name in front.follows:
                self.clock.after(STREAM_GONE_AFTER_SECONDS + WAY, self._gone, front)

    def _gone(self, front: Front) -> None:
        if self.name in front.follows:
            front.lost(self.name)

    def order(self, order: dict) -> None:
        now = self.clock.now
        if order["do"] == "die":
            self.die()
        self.machine.order(now, order)
        if order["do"] == "start" and not self.running:
            self.running = True
            # What followed the old process learns at its next try that this is a new one.
            for front in self.model.fronts.values():
                if front and self.name in front.follows:
                    self.clock.after(2 * WAY, self._gone, front)
        quiet = bool(self.faults.keys() & {"silent", "hang", "cut"})
        if quiet and self.silent_since is None:
            self.silent_since = now
            self.clock.after(SILENT_AFTER_SECONDS, self._silence, now)
        elif not quiet:
            self.silent_since = None

    def _silence(self, since: float) -> None:
        """Fronts that follow a streamer without a word are told so each second, and lose it in the end."""
        if self.silent_since != since or not self.running:
            return
        quiet = self.clock.now - since
        for front in list(self.model.fronts.values()):
            if front and self.name in front.follows and self.muted(front):
                if quiet >= LOST_AFTER_SECONDS:
                    front.lost(self.name)
                else:
                    front.told_share(self.name, 0.0)
        self.clock.after(1.0, self._silence, since)

    def report(self) -> None:
        """Each second: the share delivered while it is short, and once more after; loads every `tell`
        seconds.
        """
        now, kind = self.clock.now, self.model.kind
        late = kind.told_late + self.faults.get("late", {}).get("by", 0.0)
        share = self.machine.share_at(now - late)
        tells = now >= self.tells
        if tells:
            self.tells = now + kind.tell
        if self.running and (tells or share < 0.98 or self.short):
            load = self.machine.load(now - late) if tells else None
            for name in sorted({session.front for session in self.machine.sessions.values()}):
                front = self.model.names.get(name)
                if front and not self.muted(front):
                    if (share < 0.98 or self.short) and self._arrives():
                        self.clock.after(WAY, front.told_share, self.name, share)
                    if load and self._arrives():
                        self.clock.after(WAY, front.told_load, self.name, load)
        self.short = share < 0.98

    def _arrives(self) -> bool:
        """Whether this one note does."""
        lost = self.faults.get("notes_lost")
        return lost is None or self.notes_draw.random() >= lost["part"]


class Viewer:
    """One viewer of the script, from its first request to its last second."""

    def __init__(self, model: "Model", arrival: Arrival):
        self.model, self.arrival, self.clock = model, arrival, model.clock
        self.draw = stream(model.seed, "viewer", arrival.name)
        self.left, self.tries, self.turn = arrival.length, 0, 0
        self.asked_at = self.began = 0.0
        self.identity, self.front, self.viewing = "", None, None
        self.stopped = False
        model.log(arrival.name, "wants", package=arrival.package, title=arrival.title, seconds=arrival.length,
                  top=arrival.top)  # fmt: skip

    def log(self, what: str, **details) -> None:
        self.model.log(self.arrival.name, what, identity=self.identity, **details)

    def ask(self) -> None:
        """A request, with a new offer, to a front of its own zone if one is up."""
        if self.tries >= self.model.day.clients.tries:
            return
        self.tries += 1
        front = self.model.choose(self.arrival.zone, self.draw)
        if front is None:
            self.clock.after(self.draw.uniform(*COME_AGAIN), self.ask)
            return
        self.turn += 1
        self.identity, self.front = f"{self.arrival.name}/{self.turn}", front
        terms = self.model.day.packages[self.arrival.package]
        self.asked_at = self.clock.now
        self.viewing = f"v{front.number}-{self.identity}"
        self.log("asked", target="", patience=terms.patience, front=front.port)
        self.model.identities[front.name, self.viewing] = self.identity
        self.clock.after(CLIENT_MS, self._arrive, front, self.viewing, terms)
        if self.arrival.habit == "leaves":
            self.clock.after(self.draw.uniform(0.001, 0.08), self._hang_up, front, self.viewing)

    def _arrive(self, front: Front, viewing: Id, terms) -> None:
        if not front.up:
            self._answer(0, "broken")
            self._again(0.0)
            return
        package = next(p for p in front.site.charter.packages if p.name == self.arrival.package)
        front.clients[viewing] = self
        left = max(0.0, terms.patience - front.site.front.answer_ahead)
        holders = self.model.script.titles[self.arrival.title]
        front.host.asked(
            self.clock.now,
            ViewingRequest(viewing, self.identity, self.arrival.package, None, self.arrival.title,
                           frozenset(holders), min(package.top, self.arrival.top), left, None, False, False),
        )  # fmt: skip

    def _hang_up(self, front: Front, viewing: Id) -> None:
        if self.viewing == viewing and not self.stopped and self.began == 0.0:
            self.stopped = True
            self._answer(0, "hung-up")
            self.clock.after(front.site.front.linger, self._leave, front, viewing)

    def _leave(self, front: Front, viewing: Id) -> None:
        if front.up:
            front.host.left(self.clock.now, viewing)

    def _answer(self, status: int, kind: str = "", location: str = "") -> None:
        taken = round(self.clock.now - self.asked_at, 4)
        told = dict(status=status, kind=kind, taken=taken, front=self.front.port, location=location)
        self.log("answered", asked=self.asked_at, **told)

    def answered(self, front: Front, viewing: Id, answer: Answer) -> None:
        """The front's one answer arrives."""
        if self.stopped or viewing != self.viewing:
            return
        if answer.verdict == "plays":
            self._answer(201, location=viewing)
            self.began = self.clock.now
            life = front.host.viewings.get(viewing)
            session = front.plays.get((viewing, life.number)) if life else None
            if session is None:
                self._lost_now()  # it ended on the way
                return
            session.consent = self.clock.now
            self._play(session, self.clock.now)
        elif answer.verdict in ("blocked", "aborted"):
            self._answer(503 if answer.verdict == "blocked" else 502, answer.verdict)
            self._again(-(-answer.come_back // 1) if answer.come_back else 0.0)

    def _play(self, session: Session, heard: float) -> None:
        """Consent each second: it ends when its time is over, or when its streamer no longer answers."""
        now = self.clock.now
        machine = self.model.machines[self._streamer(session)]
        here = machine.running and session.name in machine.machine.sessions
        if here and not (machine.faults.keys() & {"silent", "hang"}):
            heard = now
        if now - self.began >= self.left - 1e-9:
            self._delete(session)
        elif now - heard > LOST_AFTER:
            self.log("lost")
            self._delete(session)
            self._lost_now()
        elif here and now > self.began and self._gives_up(machine.machine):
            self.log("gave-up")
            self._delete(session)
        else:
            self.clock.after(min(1.0, max(0.0, self.left - (now - self.began))), self._play, session, heard)

    def _streamer(self, session: Session) -> str:
        return self.model.where[session.name, session.front, session.identity]

    def _gives_up(self, machine: Machine) -> bool:
        """Under `leave_under` viewers leave at `leave_rate` a second times what is missing to it."""
        kind = self.model.kind
        missing = kind.leave_under - machine.share
        return kind.leave_rate > 0 and missing > 0 and self.draw.random() < kind.leave_rate * missing

    def _delete(self, session: Session) -> None:
        self.log("deleting")
        # A streamer that the teardown does not reach notices that nobody consents any more.
        machine = self.model.machines[self._streamer(session)]
        self.clock.after(self.model.kind.consent, machine.end, session, "viewer-gone")
        self.clock.after(CLIENT_MS, self._leave, self.front, self.viewing)

    def _lost_now(self) -> None:
        self.left -= self.clock.now - self.began
        self.began = 0.0
        self._again(0.0)

    def _again(self, wait: float) -> None:
        if self.left >= 0.5 and self.draw.random() < self.model.day.clients.returns:
            self.clock.after(max(wait, self.draw.uniform(*COME_AGAIN)), self.ask)


class Model:
    """A day; `run` plays it and gives the lines.

    `make` decides for every controller; `luck` gives their chance another seed, and changes nothing else.
    """

    def __init__(
        self,
        day: Day,
        seed: int,
        make: Callable = Controller,
        kind: dict | None = None,
        keep: bool = True,
        luck: int = 0,
    ):
        self.day, self.seed, self.make, self.keep, self.luck = day, seed, make, keep, luck
        self.script: Script = days.script(day, seed)
        self.kind = Kind(**{**days.farm_kind(day), **(kind or {})})
        self.clock, self.lines, self.boots = Clock(), [], 0
        self.identities: dict[tuple[str, Id], str] = {}
        self.where: dict[tuple[str, str, str], str] = {}
        self.names: dict[str, Front] = {}
        self.fronts: dict[int, Front | None] = {}
        racks: dict[str, Rack] = {}
        self.machines: dict[str, Streamer] = {}
        for i in range(day.size.streamers):
            rack = racks.setdefault(days.rack_of(i, day), Rack(self.kind.rack, self.kind.sharing))
            self.machines[f"s{i}"] = Streamer(self, f"s{i}", days.zone_of(i, day), rack)
        self.racks = racks
        self.late = day.size.list_late
        self.listing = Listing(list(self.machines))
        self.racked = {f"s{i}": days.rack_of(i, day) for i in range(day.size.streamers)}
        self.killed: dict[int, float] = {}
        self.held_most = self.held_sum = self.ticks = 0

    def log(self, who: str, what: str, **details) -> None:
        if what == "started":
            self.where[details["session"], details["front"], details["identity"]] = who
        if self.keep:
            self.lines.append((self.clock.now, who, what, details))

    def run(self) -> list[tuple[float, str, str, dict]]:
        """Play the day to its end, and a little longer for those that are still there."""
        for number in range(self.day.size.controllers):
            self._start_front(number)
        for arrival in self.script.arrivals:
            self.clock.at(arrival.at, self._come, arrival)
        for order in self.script.orders:
            self.clock.at(order.at, self._carry_out, order)
        self.clock.at(TICK, self._tick)
        self.clock.run(self.day.size.seconds + 40.0)
        self.log("stage", "stopping")
        for machine in self.machines.values():
            for session in list(machine.machine.sessions.values()):
                machine.end(session, "deleted", tell=False)
        return self.lines

    def choose(self, zone: int, draw) -> Front | None:
        up = [front for front in self.fronts.values() if front]
        near = [front for front in up if front.number % self.day.size.zones == zone] or up
        return near[int(draw.integers(len(near)))] if near else None

    def _come(self, arrival: Arrival) -> None:
        Viewer(self, arrival).ask()

    def _tick(self) -> None:
        now = self.clock.now
        for rack in self.racks.values():
            rack.share_out(now)
            rack.note(now)
        self.ticks += 1
        if self.ticks % int(1 / TICK) == 0:
            for machine in self.machines.values():
                machine.report()
        held = sum(len(m.machine.sessions) for m in self.machines.values())
        self.held_most, self.held_sum = max(self.held_most, held), self.held_sum + held
        self.clock.after(TICK, self._tick)

    # Troubles, as the stage of a rehearsal carries them out.

    def _carry_out(self, order: Order) -> None:
        self.log("stage", order.to, **order.what)
        if order.to == "farm":
            for name in order.what["on"]:
                self.log(name, "order", **{k: v for k, v in order.what.items() if k != "on"})
                self.machines[name].order(order.what)
        elif order.to == "etcd":
            raise NotModelled("a trouble of etcd is for rehearsals: the model has no etcd")
        elif order.to == "list_late":
            self.late = order.what["by"]
        elif order.to == "list":
            self.clock.after(self.late, self._relist, order.what, self.clock.now)
        elif order.what["do"] == "kill":
            for number in order.what["on"]:
                self._kill_front(number)
        else:
            for number in order.what["on"]:
                self._start_front(number)

    def _relist(self, what: dict, at: float) -> None:
        self.listing.change(what, at)
        self.log("stage", "listed", gone=self.listing.gone())
        for front in self.fronts.values():
            if front:
                self.clock.after(LOOK / 2, self._list_to, front)

    def _line(self, shown: tuple[str, str, float | None]) -> StreamerEntry:
        name, standing, started = shown
        zone, rack = self.machines[name].machine.zone, self.racked[name]
        return StreamerEntry(
            name, zone, "std", name, name, rack, StreamerStatus[standing.upper()], 1.0, started
        )

    def _list_to(self, front: Front) -> None:
        if front.up:
            front.host.listed(self.clock.now, "whole", tuple(map(self._line, self.listing.shown())))

    def _kill_front(self, number: int) -> None:
        front = self.fronts[number]
        self.log("stage", "killed", front=number)
        self.fronts[number], front.up = None, False
        if self.day.size.counted == "live":
            self.killed[number] = self.clock.now
            self.clock.after(self.day.size.ttl, self._recount)
        for client in list(front.clients.values()):
            if not client.stopped and client.began == 0.0:
                client._answer(0, "broken")
                client._again(0.0)
        self.clock.after(FRONT_GONE, self._front_gone, front)
        for (viewing, number_), out in list(front.outs.items()):
            self.machines[out.streamer].hung_up(front, viewing, number_)

    def _recount(self) -> None:
        """Controllers know each other through leases: the dead count until theirs have run out."""
        now, ttl = self.clock.now, self.day.size.ttl
        live = [n for n, up in self.fronts.items() if up or now < self.killed.get(n, -1e9) + ttl]
        for rank, number in enumerate(sorted(live)):
            front = self.fronts[number]
            if front:
                settled = now >= front.began + SETTLE_SECONDS
                front.host.counted(now, rank if settled else None, len(live))

    def _front_gone(self, front: Front) -> None:
        self.names.pop(front.name, None)
        for machine in self.machines.values():
            if machine.running and not machine.muted(front):
                for session in [s for s in machine.machine.sessions.values() if s.front == front.name]:
                    machine.end(session, "front-gone", tell=False)

    def _start_front(self, number: int) -> None:
        site = _site(self.day, number, self.seed)
        chance = self.seed * 1000 + number + self.luck * 7919 * 1000
        front = Front(self, number, site, chance, self.make)
        self.fronts[number] = self.names[front.name] = front
        self.log("stage", "front", number=number, address=["", front.port])
        self._list_to(front)
        if self.day.size.counted == "live":
            self._recount()
            self.clock.after(SETTLE_SECONDS, self._recount)


def _site(day: Day, number: int, seed: int) -> Site:
    folder = Path(tempfile.gettempdir())
    return parse_site(days.front_ini(day, number, seed, folder), folder / "model.ini")
