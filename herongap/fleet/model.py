"""Simulates one day in virtual time: real controllers of the library, simulated streamers and viewers.

The model writes log entries of the same format as the stand-ins and clients of a rehearsal, so that the same
checker and the same report evaluate both. Both also play the same script of a day.
"""

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from herongap.etcd.membership import SETTLE_SECONDS
from herongap.fleet import day as days
from herongap.fleet.clock import Clock, random_stream
from herongap.fleet.day import LIST_POLL_SECONDS, Arrival, Day, Listing, Script, TroubleStep
from herongap.fleet.errors import UnsupportedTroubleError
from herongap.fleet.machine import Machine, MachineProfile, Rack, Session
from herongap.host import Answer, Host
from herongap.host.liveness import LOST_AFTER_SECONDS, SILENT_AFTER_SECONDS, STREAM_GONE_AFTER_SECONDS
from herongap.ini import SiteConfig, parse_site_config
from herongap.interface import EndReason, LoadReport, StreamerEntry, StreamerStatus, ViewingRequest
from herongap.rules import Controller

Id = int | str
# Interval between updates of what changes without an event: warm-up, allocated rates and reports.
TICK_SECONDS = 0.25
# Time after which a controller stops waiting for the confirmation of a teardown.
TEARDOWN_TIMEOUT_SECONDS = 1.6
# Time without an answer to its consent checks after which a viewer considers its session lost.
VIEWER_TIMEOUT_SECONDS = 4.0
# Time after which a streamer ends the sessions of a controller that is gone.
CONTROLLER_GONE_SECONDS = 2.0
# Range from which a viewer draws its delay before the next request.
RETRY_DELAY_SECONDS = (0.3, 1.2)
# One-way delay between a client and its controller.
CLIENT_DELAY_SECONDS = 0.0015
# One-way delay between a controller and a streamer, with the time that both need to process a message.
STREAMER_DELAY_SECONDS = 0.0012
# A lower delivered share is reported.
SHORT_DELIVERY_SHARE = 0.98


class PendingTuneIn(NamedTuple):
    """A tune-in in flight on the simulated network."""

    request: ViewingRequest
    number: int
    streamer: str
    rung: int


class SimulatedController:
    """One controller process. It is also the port through which its host reaches the simulated network."""

    def __init__(self, model: "Model", number: int, site: SiteConfig, seed: int, controller_type: Callable):
        self.model, self.number, self.site = model, number, site
        self.clock = model.clock
        model.process_count += 1
        # The name has a process number: streamers see a restarted controller as another one.
        self.name, self.port = f"herongap-{number}-{model.process_count}", model.process_count
        self.running, self.wake_generation, self.started_at = True, 0, model.clock.now
        self.clients: dict[Id, SimulatedViewer] = {}
        self.pending: dict[tuple[Id, int], PendingTuneIn] = {}
        self.sessions: dict[tuple[Id, int], Session] = {}
        self.followed_streamers: set[str] = set()
        self.host = Host(self.clock.now, seed, site.deployment, self, None, controller_type)

    # The host's port; `herongap.host.port` documents these methods.

    def tune_in(
        self, request: ViewingRequest, number: int, streamer: str, rung: int, time_out: float
    ) -> None:
        self.pending[request.viewing, number] = PendingTuneIn(request, number, streamer, rung)
        self.clock.after(STREAMER_DELAY_SECONDS, self._connected, request.viewing, number)

    def call_off(self, viewing: Id, number: int, streamer: str) -> None:
        if self.pending.pop((viewing, number), None):
            self.clock.after(
                STREAMER_DELAY_SECONDS, self.model.streamers[streamer].cancel_set_up, self, viewing, number
            )

    def set_rung(self, viewing: Id, number: int, streamer: str, rung: int) -> None:
        self.clock.after(
            STREAMER_DELAY_SECONDS, self.model.streamers[streamer].change_rung, self, viewing, number, rung
        )

    def tear_down(self, viewing: Id, number: int, streamer: str, wanted: bool) -> None:
        self.clock.after(
            STREAMER_DELAY_SECONDS,
            self.model.streamers[streamer].delete_session,
            self,
            viewing,
            number,
            wanted,
        )

    def answer(self, viewing: Id, answer: Answer) -> None:
        client = self.clients[viewing]
        if answer.verdict != "plays":
            del self.clients[viewing]
        self.clock.after(CLIENT_DELAY_SECONDS, client.receive_answer, self, viewing, answer)

    def viewing_ended(self, viewing: Id, reason: EndReason) -> None:
        self.clients.pop(viewing, None)

    def probe(self, streamer: str) -> None:
        self.clock.after(2 * STREAMER_DELAY_SECONDS, self._probe_answered, streamer)

    def follow(self) -> None:
        return None

    def send_to_peer(self, peer: int, message: bytes) -> None:
        return None

    def request_budget(self, budget: str) -> None:
        """Fleet budgets are not modelled here; `fleet/budget_simulation.py` models them."""

    def wake(self, at: float) -> None:
        self.wake_generation += 1
        self.clock.at(max(at, self.clock.now), self._wake_time_reached, self.wake_generation)

    # Events from the clock and the streamers.

    def _wake_time_reached(self, generation: int) -> None:
        if self.running and generation == self.wake_generation:
            self.host.woke(self.clock.now)

    def _connected(self, viewing: Id, number: int) -> None:
        tune_in = self.pending.get((viewing, number))
        if not self.running or tune_in is None:
            return
        streamer = self.model.streamers[tune_in.streamer]
        if not streamer.running or not self.host.sendable(viewing, number, self.clock.now):
            self.ended(viewing, number, EndReason.UNREACHED)
            return
        streamer.receive_tune_in(self, tune_in)

    def started(self, viewing: Id, number: int, streamer: str, session: Session, load: LoadReport) -> None:
        """Handles the answer of a tune-in that set up a session."""
        if not self.running:
            return
        self.pending.pop((viewing, number), None)
        self.sessions[viewing, number] = session
        if self.host.started(self.clock.now, viewing, number, streamer, load):
            self.followed_streamers.add(streamer)

    def ended(self, viewing: Id, number: int, reason: EndReason, load: LoadReport | None = None) -> None:
        """Handles the failure of a tune-in or the end of its session."""
        self.pending.pop((viewing, number), None)
        if self.running:
            self.host.ended(self.clock.now, viewing, number, reason, load)

    def torn_down(self, viewing: Id, number: int) -> None:
        """Handles the confirmation of a teardown, or its timeout."""
        if self.running:
            self.host.torn_down(self.clock.now, viewing, number)

    def share_reported(self, streamer: str, share: float) -> None:
        """Handles a report of the delivered share."""
        if self.running:
            self.host.share_told(self.clock.now, streamer, share)

    def load_reported(self, streamer: str, load: LoadReport) -> None:
        """Handles a report of the load of a streamer and its uplink."""
        for uplink, ratio in ((False, load.link), (True, load.rack)):
            if self.running:
                self.host.load_told(self.clock.now, streamer, uplink, None, ratio)

    def streamer_lost(self, streamer: str) -> None:
        """Ends all viewings of a streamer whose process has ended."""
        if self.running:
            self.followed_streamers.discard(streamer)
            for viewing, number in self.host.playing_at(streamer):
                self.tear_down(viewing, number, streamer, False)
                self.host.ended(self.clock.now, viewing, number, EndReason.BROKEN)

    def _probe_answered(self, streamer: str) -> None:
        target = self.model.streamers[streamer]
        reachable = target.running and not target.muted(self)
        if self.running:
            reason = (
                EndReason.PLAYED
                if reachable
                else EndReason.TIMED_OUT
                if target.running
                else EndReason.UNREACHED
            )
            self.host.probed(
                self.clock.now,
                streamer,
                reason,
                2 * STREAMER_DELAY_SECONDS,
                target.machine.load_report() if reachable else None,
            )


class SimulatedStreamer:
    """A streamer process with its faults, as controllers and viewers see it over the network."""

    def __init__(self, model: "Model", name: str, zone: str, rack: Rack):
        self.model, self.name, self.clock = model, name, model.clock
        self.machine = Machine(model.profile, name, zone, rack)
        self.running, self.session_count, self.share_was_short = True, 0, False
        self.faults = self.machine.faults
        self.pending_set_ups: dict[tuple[str, Id, int], SimulatedController] = {}
        self.random = random_stream(model.seed, "streamer", name)
        self.notes_random = random_stream(model.seed, "notes", name)
        self.silent_since: float | None = None
        self.next_load_report_at = self.clock.now + self.random.uniform(0, model.profile.tell)

    def log(self, event: str, **details) -> None:
        self.model.log(self.name, event, **details)

    def muted(self, controller: SimulatedController) -> bool:
        """Whether no message of this streamer reaches that controller."""
        return self.machine.muted(controller.name)

    def receive_tune_in(self, controller: SimulatedController, tune_in: PendingTuneIn) -> None:
        """Handles the request of a tune-in."""
        now, viewing, number = self.clock.now, tune_in.request.viewing, tune_in.number
        identity = self.model.identities[controller.name, viewing]
        self.log("post", identity=identity, front=controller.name, title=tune_in.request.title,
                 rung=tune_in.rung, cold=self.machine.warmth(now) < 1)  # fmt: skip
        allowed = self.machine.register_set_up(now)
        if allowed is not None:
            self.log("fell", set_ups=len(self.machine.set_ups), most=allowed)
        self.pending_set_ups[controller.name, viewing, number] = controller
        if self.muted(controller):
            return
        delay = self.random.uniform(*self.model.profile.set_up) + self.faults.get("slow", {}).get("by", 0.0)
        self.clock.after(delay, self._set_up, controller, tune_in, identity, self.random.random())

    def _set_up(
        self, controller: SimulatedController, tune_in: PendingTuneIn, identity: str, failure_draw: float
    ) -> None:
        viewing, number = tune_in.request.viewing, tune_in.number
        if self.pending_set_ups.pop((controller.name, viewing, number), None) is None:
            return  # the controller cancelled it, or the streamer process has died
        failure = self.faults.get("fail")
        if self.machine.overloaded or (failure and failure_draw < failure.get("part", 1.0)):
            self.log("refused", identity=identity, status=500)
            self.clock.after(STREAMER_DELAY_SECONDS, controller.ended, viewing, number, EndReason.FAULTY)
            return
        if self.machine.full():
            self.log("refused", identity=identity, status=503)
            self.clock.after(
                STREAMER_DELAY_SECONDS,
                controller.ended,
                viewing,
                number,
                EndReason.FULL,
                self.machine.load_report(),
            )
            return
        self.session_count += 1
        name, now = f"{self.model.process_count}-{self.session_count}", self.clock.now
        session = Session(name, identity, tune_in.request.title, tune_in.rung, controller.name, now)
        session.resource = viewing, number
        self.machine.start_session(self.clock.now, session)
        self.log("started", identity=identity, session=session.name, front=controller.name,
                 title=tune_in.request.title, rung=tune_in.rung)  # fmt: skip
        self.clock.after(self.model.profile.join_wait, self._end_if_not_joined, session)
        if "lose" in self.faults:
            self.log("unanswered", identity=identity, session=session.name)
            self.clock.after(STREAMER_DELAY_SECONDS, controller.ended, viewing, number, EndReason.BROKEN)
            return
        load = self.machine.load_report()
        self.clock.after(
            STREAMER_DELAY_SECONDS, controller.started, viewing, number, self.name, session, load
        )

    def cancel_set_up(self, controller: SimulatedController, viewing: Id, number: int) -> None:
        """Drops a pending set-up whose controller closed the connection."""
        if self.pending_set_ups.pop((controller.name, viewing, number), None):
            self.log("hung-up", identity=self.model.identities[controller.name, viewing])

    def _end_if_not_joined(self, session: Session) -> None:
        if session.consent is None:
            self.end_session(session, "viewer-gone")

    def change_rung(self, controller: SimulatedController, viewing: Id, number: int, rung: int) -> None:
        """Handles a request to change the rung of a session."""
        session = controller.sessions.get((viewing, number))
        if session and session.name in self.machine.sessions and self.running and not self.muted(controller):
            self.log("rung", identity=session.identity, session=session.name, rung=rung)
            self.machine.change_rung(self.clock.now, session, rung)

    def delete_session(self, controller: SimulatedController, viewing: Id, number: int, wanted: bool) -> None:
        """Handles a teardown. If `wanted`, the controller learns of its end: at once if the streamer answers
        or its process has ended, by a timeout if the streamer is muted.
        """
        session = controller.sessions.pop((viewing, number), None)
        if session and self.running and self.muted(controller) and session.name in self.machine.sessions:
            self.log("let-go", identity=session.identity, session=session.name)
        reached = self.running and not self.muted(controller)
        if session and reached and session.name in self.machine.sessions:
            self.log("delete", identity=session.identity, session=session.name)
            self.end_session(session, "deleted", notify=False)
        if wanted:
            delay = STREAMER_DELAY_SECONDS if reached or not self.running else TEARDOWN_TIMEOUT_SECONDS
            self.clock.after(delay, controller.torn_down, viewing, number)

    def end_session(self, session: Session, reason: str, notify: bool = True) -> None:
        """Ends a session, and with `notify` reports this to its controller."""
        totals = self.machine.end_session(self.clock.now, session)
        if totals is None:
            return
        result = dict(
            seconds=round(totals[0], 2), earned=round(totals[1], 3), joined=session.consent is not None
        )
        self.log("ended", identity=session.identity, session=session.name, reason=reason, **result)
        controller = self.model.controllers_by_name.get(session.front)
        if notify and controller and not self.muted(controller):
            end_reason = EndReason.PLAYED if reason == "viewer-gone" else EndReason.BROKEN
            self.clock.after(STREAMER_DELAY_SECONDS, controller.ended, *session.resource, end_reason)

    # Process state and faults.

    def crash(self) -> None:
        """Ends the process with all its sessions and pending set-ups."""
        if not self.running:
            return
        self.running = False
        self.log("down")
        for session in list(self.machine.sessions.values()):
            self.end_session(session, "died", notify=False)
        for (name, viewing, number), controller in list(self.pending_set_ups.items()):
            self.log("hung-up", identity=self.model.identities[name, viewing])
            self.clock.after(STREAMER_DELAY_SECONDS, controller.ended, viewing, number, EndReason.BROKEN)
        self.pending_set_ups.clear()
        for controller in self.model.controllers.values():
            if controller and self.name in controller.followed_streamers:
                self.clock.after(
                    STREAM_GONE_AFTER_SECONDS + STREAMER_DELAY_SECONDS, self._notify_lost, controller
                )

    def _notify_lost(self, controller: SimulatedController) -> None:
        if self.name in controller.followed_streamers:
            controller.streamer_lost(self.name)

    def apply_command(self, command: dict) -> None:
        """Begins or ends a fault, or starts or ends the process."""
        now = self.clock.now
        if command["do"] == "die":
            self.crash()
        self.machine.apply_command(now, command)
        if command["do"] == "start" and not self.running:
            self.running = True
            # Controllers that followed the old process detect the restart when they reconnect.
            for controller in self.model.controllers.values():
                if controller and self.name in controller.followed_streamers:
                    self.clock.after(2 * STREAMER_DELAY_SECONDS, self._notify_lost, controller)
        silent = bool(self.faults.keys() & {"silent", "hang", "cut"})
        if silent and self.silent_since is None:
            self.silent_since = now
            self.clock.after(SILENT_AFTER_SECONDS, self._report_silence, now)
        elif not silent:
            self.silent_since = None

    def _report_silence(self, since: float) -> None:
        """Each second, reports a share of 0 to the controllers that no longer receive heartbeats of this
        streamer, until they declare it lost.
        """
        if self.silent_since != since or not self.running:
            return
        silent_seconds = self.clock.now - since
        for controller in list(self.model.controllers.values()):
            if controller and self.name in controller.followed_streamers and self.muted(controller):
                if silent_seconds >= LOST_AFTER_SECONDS:
                    controller.streamer_lost(self.name)
                else:
                    controller.share_reported(self.name, 0.0)
        self.clock.after(1.0, self._report_silence, since)

    def send_reports(self) -> None:
        """Runs each second. Reports the delivered share while it is below 0.98 and once after it has
        recovered, and the load every `tell` seconds.
        """
        now, profile = self.clock.now, self.model.profile
        delay = profile.told_late + self.faults.get("late", {}).get("by", 0.0)
        share = self.machine.share_at(now - delay)
        load_due = now >= self.next_load_report_at
        if load_due:
            self.next_load_report_at = now + profile.tell
        if self.running and (load_due or share < SHORT_DELIVERY_SHARE or self.share_was_short):
            load = self.machine.load_report(now - delay) if load_due else None
            for name in sorted({session.front for session in self.machine.sessions.values()}):
                controller = self.model.controllers_by_name.get(name)
                if controller and not self.muted(controller):
                    if (share < SHORT_DELIVERY_SHARE or self.share_was_short) and self._report_delivered():
                        self.clock.after(STREAMER_DELAY_SECONDS, controller.share_reported, self.name, share)
                    if load and self._report_delivered():
                        self.clock.after(STREAMER_DELAY_SECONDS, controller.load_reported, self.name, load)
        self.share_was_short = share < SHORT_DELIVERY_SHARE

    def _report_delivered(self) -> bool:
        """Draws whether one report is delivered; the fault `notes_lost` drops a part of them."""
        lost = self.faults.get("notes_lost")
        return lost is None or self.notes_random.random() >= lost["part"]


class SimulatedViewer:
    """One viewer of the script, from its first request to the end of its last session."""

    def __init__(self, model: "Model", arrival: Arrival):
        self.model, self.arrival, self.clock = model, arrival, model.clock
        self.random = random_stream(model.seed, "viewer", arrival.name)
        self.remaining_seconds, self.attempts, self.offer_count = arrival.length, 0, 0
        self.requested_at = self.playing_since = 0.0
        self.identity, self.controller, self.viewing = "", None, None
        self.hung_up = False
        model.log(arrival.name, "wants", package=arrival.package, title=arrival.title, seconds=arrival.length,
                  top=arrival.top)  # fmt: skip

    def log(self, event: str, **details) -> None:
        self.model.log(self.arrival.name, event, identity=self.identity, **details)

    def send_request(self) -> None:
        """Sends a request with a new offer to a running controller, in the viewer's zone if there is one."""
        if self.attempts >= self.model.day.clients.tries:
            return
        self.attempts += 1
        controller = self.model.choose_controller(self.arrival.zone, self.random)
        if controller is None:
            self.clock.after(self.random.uniform(*RETRY_DELAY_SECONDS), self.send_request)
            return
        self.offer_count += 1
        self.identity, self.controller = f"{self.arrival.name}/{self.offer_count}", controller
        terms = self.model.day.packages[self.arrival.package]
        self.requested_at = self.clock.now
        self.viewing = f"v{controller.number}-{self.identity}"
        self.log("asked", target="", patience=terms.patience, front=controller.port)
        self.model.identities[controller.name, self.viewing] = self.identity
        self.clock.after(CLIENT_DELAY_SECONDS, self._request_arrives, controller, self.viewing, terms)
        if self.arrival.habit == "leaves":
            self.clock.after(self.random.uniform(0.001, 0.08), self._hang_up, controller, self.viewing)

    def _request_arrives(self, controller: SimulatedController, viewing: Id, terms) -> None:
        if not controller.running:
            self._log_answer(0, "broken")
            self._retry_later(0.0)
            return
        package = next(p for p in controller.site.deployment.packages if p.name == self.arrival.package)
        controller.clients[viewing] = self
        time_left = max(0.0, terms.patience - controller.site.front.answer_ahead)
        holders = self.model.script.titles[self.arrival.title]
        controller.host.asked(
            self.clock.now,
            ViewingRequest(viewing, self.identity, self.arrival.package, None, self.arrival.title,
                           frozenset(holders), min(package.top, self.arrival.top), time_left, None,
                           False, False),
        )  # fmt: skip

    def _hang_up(self, controller: SimulatedController, viewing: Id) -> None:
        if self.viewing == viewing and not self.hung_up and self.playing_since == 0.0:
            self.hung_up = True
            self._log_answer(0, "hung-up")
            self.clock.after(controller.site.front.linger, self._report_departure, controller, viewing)

    def _report_departure(self, controller: SimulatedController, viewing: Id) -> None:
        if controller.running:
            controller.host.left(self.clock.now, viewing)

    def _log_answer(self, status: int, kind: str = "", location: str = "") -> None:
        taken = round(self.clock.now - self.requested_at, 4)
        outcome = dict(status=status, kind=kind, taken=taken, front=self.controller.port, location=location)
        self.log("answered", asked=self.requested_at, **outcome)

    def receive_answer(self, controller: SimulatedController, viewing: Id, answer: Answer) -> None:
        """Handles the controller's answer to the request."""
        if self.hung_up or viewing != self.viewing:
            return
        if answer.verdict == "plays":
            self._log_answer(201, location=viewing)
            self.playing_since = self.clock.now
            hosted = controller.host.viewings.get(viewing)
            session = controller.sessions.get((viewing, hosted.number)) if hosted else None
            if session is None:
                self._session_lost()  # the session ended while the answer was in flight
                return
            session.consent = self.clock.now
            self._renew_consent(session, self.clock.now)
        elif answer.verdict in ("blocked", "aborted"):
            self._log_answer(503 if answer.verdict == "blocked" else 502, answer.verdict)
            # Rounded up, as the Retry-After header has whole seconds.
            self._retry_later(-(-answer.come_back // 1) if answer.come_back else 0.0)

    def _renew_consent(self, session: Session, last_answer_at: float) -> None:
        """Renews consent each second. Deletes the session when its length is played, when the streamer no
        longer answers, or when the viewer gives up.
        """
        now = self.clock.now
        streamer = self.model.streamers[self._streamer_name(session)]
        alive = streamer.running and session.name in streamer.machine.sessions
        if alive and not (streamer.faults.keys() & {"silent", "hang"}):
            last_answer_at = now
        if now - self.playing_since >= self.remaining_seconds - 1e-9:
            self._delete_session(session)
        elif now - last_answer_at > VIEWER_TIMEOUT_SECONDS:
            self.log("lost")
            self._delete_session(session)
            self._session_lost()
        elif alive and now > self.playing_since and self._gives_up(streamer.machine):
            self.log("gave-up")
            self._delete_session(session)
        else:
            self.clock.after(
                min(1.0, max(0.0, self.remaining_seconds - (now - self.playing_since))),
                self._renew_consent,
                session,
                last_answer_at,
            )

    def _streamer_name(self, session: Session) -> str:
        return self.model.streamer_of_session[session.name, session.front, session.identity]

    def _gives_up(self, machine: Machine) -> bool:
        """Draws whether the viewer leaves: each second with probability `leave_rate` times the amount by
        which the delivered share is below `leave_under`.
        """
        profile = self.model.profile
        missing = profile.leave_under - machine.share
        return profile.leave_rate > 0 and missing > 0 and self.random.random() < profile.leave_rate * missing

    def _delete_session(self, session: Session) -> None:
        self.log("deleting")
        # A streamer that the teardown does not reach ends the session when consent expires.
        streamer = self.model.streamers[self._streamer_name(session)]
        self.clock.after(self.model.profile.consent, streamer.end_session, session, "viewer-gone")
        self.clock.after(CLIENT_DELAY_SECONDS, self._report_departure, self.controller, self.viewing)

    def _session_lost(self) -> None:
        self.remaining_seconds -= self.clock.now - self.playing_since
        self.playing_since = 0.0
        self._retry_later(0.0)

    def _retry_later(self, wait: float) -> None:
        if self.remaining_seconds >= 0.5 and self.random.random() < self.model.day.clients.returns:
            self.clock.after(max(wait, self.random.uniform(*RETRY_DELAY_SECONDS)), self.send_request)


class Model:
    """The simulation of one day; `run` returns its log entries.

    `controller_type` is the deciding class of all controllers. `profile` overrides fields of the day's
    MachineProfile. Without `keep_log` no log entries are collected. `luck` changes the seed of the
    controllers' random draws and nothing else.
    """

    def __init__(
        self,
        day: Day,
        seed: int,
        controller_type: Callable = Controller,
        profile: dict | None = None,
        keep_log: bool = True,
        luck: int = 0,
    ):
        self.day, self.seed, self.luck = day, seed, luck
        self.controller_type, self.keep_log = controller_type, keep_log
        self.script: Script = days.script(day, seed)
        self.profile = MachineProfile(**{**days.machine_profile_values(day), **(profile or {})})
        self.clock, self.lines, self.process_count = Clock(), [], 0
        self.identities: dict[tuple[str, Id], str] = {}
        self.streamer_of_session: dict[tuple[str, str, str], str] = {}
        self.controllers_by_name: dict[str, SimulatedController] = {}
        self.controllers: dict[int, SimulatedController | None] = {}
        racks: dict[str, Rack] = {}
        self.streamers: dict[str, SimulatedStreamer] = {}
        for i in range(day.settings.streamers):
            rack = racks.setdefault(days.rack_of(i, day), Rack(self.profile.rack, self.profile.sharing))
            self.streamers[f"s{i}"] = SimulatedStreamer(self, f"s{i}", days.zone_of(i, day), rack)
        self.racks = racks
        self.list_delay = day.settings.list_late
        self.listing = Listing(list(self.streamers))
        self.rack_names = {f"s{i}": days.rack_of(i, day) for i in range(day.settings.streamers)}
        self.killed: dict[int, float] = {}
        self.held_most = self.held_sum = self.ticks = 0

    def log(self, source: str, event: str, **details) -> None:
        """Records a log entry, and where sessions start."""
        if event == "started":
            self.streamer_of_session[details["session"], details["front"], details["identity"]] = source
        if self.keep_log:
            self.lines.append((self.clock.now, source, event, details))

    def run(self) -> list[tuple[float, str, str, dict]]:
        """Simulates the day and 40 s more, in which the remaining viewers finish; returns the log entries."""
        for number in range(self.day.settings.controllers):
            self._start_controller(number)
        for arrival in self.script.arrivals:
            self.clock.at(arrival.at, self._viewer_arrives, arrival)
        for step in self.script.steps:
            self.clock.at(step.at, self._apply_step, step)
        self.clock.at(TICK_SECONDS, self._tick)
        self.clock.run(self.day.settings.seconds + 40.0)
        self.log("stage", "stopping")
        for streamer in self.streamers.values():
            for session in list(streamer.machine.sessions.values()):
                streamer.end_session(session, "deleted", notify=False)
        return self.lines

    def choose_controller(self, zone: int, random) -> SimulatedController | None:
        """Draws a running controller, of the given zone if there is one."""
        running = [controller for controller in self.controllers.values() if controller]
        same_zone = [
            controller for controller in running if controller.number % self.day.settings.zones == zone
        ] or running
        return same_zone[int(random.integers(len(same_zone)))] if same_zone else None

    def _viewer_arrives(self, arrival: Arrival) -> None:
        SimulatedViewer(self, arrival).send_request()

    def _tick(self) -> None:
        now = self.clock.now
        for rack in self.racks.values():
            rack.allocate(now)
            rack.record_history(now)
        self.ticks += 1
        if self.ticks % int(1 / TICK_SECONDS) == 0:
            for streamer in self.streamers.values():
                streamer.send_reports()
        session_count = sum(len(streamer.machine.sessions) for streamer in self.streamers.values())
        self.held_most, self.held_sum = max(self.held_most, session_count), self.held_sum + session_count
        self.clock.after(TICK_SECONDS, self._tick)

    # Steps of troubles, with the same effects as in a rehearsal.

    def _apply_step(self, step: TroubleStep) -> None:
        self.log("stage", step.target, **step.command)
        if step.target == "farm":
            for name in step.command["on"]:
                self.log(name, "order", **{k: v for k, v in step.command.items() if k != "on"})
                self.streamers[name].apply_command(step.command)
        elif step.target == "etcd":
            raise UnsupportedTroubleError("troubles of etcd need a rehearsal: the model has no etcd")
        elif step.target == "list_late":
            self.list_delay = step.command["by"]
        elif step.target == "list":
            self.clock.after(self.list_delay, self._apply_listing, step.command, self.clock.now)
        elif step.command["do"] == "kill":
            for number in step.command["on"]:
                self._kill_controller(number)
        else:
            for number in step.command["on"]:
                self._start_controller(number)

    def _apply_listing(self, command: dict, at: float) -> None:
        self.listing.apply(command, at)
        self.log("stage", "listed", gone=self.listing.unavailable())
        for controller in self.controllers.values():
            if controller:
                self.clock.after(LIST_POLL_SECONDS / 2, self._send_list, controller)

    def _streamer_entry(self, entry: tuple[str, str, float | None]) -> StreamerEntry:
        name, status, started = entry
        zone, rack = self.streamers[name].machine.zone, self.rack_names[name]
        return StreamerEntry(
            name, zone, "std", name, name, rack, StreamerStatus[status.upper()], 1.0, started
        )

    def _send_list(self, controller: SimulatedController) -> None:
        if controller.running:
            controller.host.listed(
                self.clock.now, "whole", tuple(map(self._streamer_entry, self.listing.visible()))
            )

    def _kill_controller(self, number: int) -> None:
        controller = self.controllers[number]
        self.log("stage", "killed", front=number)
        self.controllers[number], controller.running = None, False
        if self.day.settings.counted == "live":
            self.killed[number] = self.clock.now
            self.clock.after(self.day.settings.ttl, self._send_controller_counts)
        for client in list(controller.clients.values()):
            if not client.hung_up and client.playing_since == 0.0:
                client._log_answer(0, "broken")
                client._retry_later(0.0)
        self.clock.after(CONTROLLER_GONE_SECONDS, self._controller_gone, controller)
        for (viewing, tune_in_number), tune_in in list(controller.pending.items()):
            self.streamers[tune_in.streamer].cancel_set_up(controller, viewing, tune_in_number)

    def _send_controller_counts(self) -> None:
        """Sends each controller its rank and the number of controllers with a lease. The lease of a killed
        controller lasts for its TTL.
        """
        now, ttl = self.clock.now, self.day.settings.ttl
        live = [
            n
            for n, controller in self.controllers.items()
            if controller or now < self.killed.get(n, -1e9) + ttl
        ]
        for rank, number in enumerate(sorted(live)):
            controller = self.controllers[number]
            if controller:
                settled = now >= controller.started_at + SETTLE_SECONDS
                controller.host.counted(now, rank if settled else None, len(live))

    def _controller_gone(self, controller: SimulatedController) -> None:
        self.controllers_by_name.pop(controller.name, None)
        for streamer in self.streamers.values():
            if streamer.running and not streamer.muted(controller):
                for session in [s for s in streamer.machine.sessions.values() if s.front == controller.name]:
                    streamer.end_session(session, "front-gone", notify=False)

    def _start_controller(self, number: int) -> None:
        site = _site(self.day, number, self.seed)
        controller_seed = self.seed * 1000 + number + self.luck * 7919 * 1000
        controller = SimulatedController(self, number, site, controller_seed, self.controller_type)
        self.controllers[number] = self.controllers_by_name[controller.name] = controller
        self.log("stage", "front", number=number, address=["", controller.port])
        self._send_list(controller)
        if self.day.settings.counted == "live":
            self._send_controller_counts()
            self.clock.after(SETTLE_SECONDS, self._send_controller_counts)


def _site(day: Day, number: int, seed: int) -> SiteConfig:
    folder = Path(tempfile.gettempdir())
    return parse_site_config(days.controller_ini(day, number, seed, folder), folder / "model.ini")
