"""The host of one deciding module: inputs with their times in, effects out through a port.

Each input is recorded and passed to the module, and all decisions that follow from it are carried out. The
host keeps the time-outs, so that each takes effect at the time of an input and a replay repeats it: whatever
is due by the time of an input comes before that input.
"""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from herongap.errors import InternalMisuseError
from herongap.host.port import Id, Port
from herongap.host.record import Recorder
from herongap.host.viewing import Answer, HostedViewing, ViewingState
from herongap.interface import (
    DeploymentConfig,
    EndReason,
    LoadReport,
    StreamerEntry,
    StreamerStatus,
    ViewingRequest,
)
from herongap.rules import Controller

COUNTS = ("asked", "plays", "blocked", "aborted", "gone", "tune_ins", "late", "adopted")
TEAR_DOWN_SECONDS = 2.0  # time to confirm a teardown; after it the viewing counts as ended anyway


class InvalidHostInputError(InternalMisuseError):
    """An input that the host cannot take in its present state, or a decision that it does not know."""

    advice = "internal error: keep the record and report it to the maintainers"


class Host:
    """One controller: its deciding module, the viewings that it is responsible for, and their time-outs.

    `make` builds the module from (now, seed, config); baselines, and tests with broken controllers, replace
    it.
    """

    def __init__(
        self,
        now: float,
        seed: int,
        config: DeploymentConfig,
        port: Port,
        recorder: Recorder | None = None,
        make: Callable = Controller,
    ):
        self.port, self.recorder = port, recorder
        self.viewings: dict[Id, HostedViewing] = {}
        self.statuses: dict[Id, StreamerStatus] = {}
        self.counts = dict.fromkeys(COUNTS, 0)
        self._due: list[tuple] = []
        self._next_wake_at = float("inf")
        if recorder:
            recorder.start(now, seed, config)
        self.module = make(now, seed, config)
        self._finish_input(now)

    # Inputs. Each is one line of the record, under the name of its method.

    def listed(self, now: float, kind: str, lines: Iterable[StreamerEntry]) -> None:
        """A streamer list; `kind` is "changes", "whole", "remembered" or (without lines) "failed"."""
        lines = tuple(lines)
        self._begin_input(now, "listed", kind, lines)
        if kind in ("whole", "remembered"):
            self.statuses = {}
        for line in lines:
            self.statuses[line.streamer] = line.status
            if kind == "changes" and line.status is StreamerStatus.LEFT:
                del self.statuses[line.streamer]  # each deployment brings new names: they would pile up
        self.module.listed(now, kind, lines)
        self._finish_input(now)

    def asked(self, now: float, request: ViewingRequest) -> HostedViewing:
        """A viewer requests a viewing and waits `request.time_left` seconds; `Port.answer` follows once."""
        self._begin_input(now, "asked", request)
        if request.viewing in self.viewings:
            raise InvalidHostInputError(f"viewing {request.viewing} is held already")
        hosted = self.viewings[request.viewing] = HostedViewing(request, now)
        self.counts["asked"] += 1
        self.module.asked(now, request)
        self._finish_input(now)
        return hosted

    def started(self, now: float, viewing: Id, number: int, streamer: Id, load: LoadReport | None) -> bool:
        """A streamer started a viewing; False if that is too late, and the viewing is torn down there."""
        self._begin_input(now, "started", viewing, number, streamer, load)
        hosted = self._current(viewing, number, ViewingState.PENDING)
        if hosted is None:
            # The tune-in timed out, its viewer left, or its deadline passed. Left running, the viewing would
            # hold a place and play to nobody, beside the tune-in that followed.
            self.counts["late"] += 1
            self.port.tear_down(viewing, number, streamer, False)
            self._finish_input(now)
            return False
        hosted.transition_to(ViewingState.PLAYING)
        self.module.started(now, viewing, number, streamer, now - hosted.sent_at)
        self._report_load(now, viewing, streamer, load)
        self._answer(viewing, hosted, Answer("plays"))
        self._finish_input(now)
        return True

    def adopted(self, now: float, request: ViewingRequest, number: int, streamer: Id, rung: int) -> bool:
        """A viewing of an earlier process of this controller still plays: it is held and controlled again.

        Its answer was given then; `number` is that of the tune-in that plays. False if its streamer is not on
        the list: nothing could be decided about it, so it is torn down.
        """
        self._begin_input(now, "adopted", request, number, streamer, rung)
        if request.viewing in self.viewings:
            raise InvalidHostInputError(f"viewing {request.viewing} is held already")
        if streamer not in self.module.streamers:
            self.port.tear_down(request.viewing, number, streamer, False)
            self._finish_input(now)
            return False
        self.viewings[request.viewing] = HostedViewing.adopted(request, now, number, streamer, rung)
        self.counts["adopted"] += 1
        self.module.handed(now, request, streamer)
        self.module.rung_told(now, request.viewing, rung)
        self._finish_input(now)
        return True

    def ended(
        self, now: float, viewing: Id, number: int, reason: EndReason, load: LoadReport | None = None
    ) -> None:
        """A pending tune-in, or the viewing that it started, ended; ignored if it has ended already."""
        self._begin_input(now, "ended", viewing, number, reason, load)
        if hosted := self._current(
            viewing, number, ViewingState.PENDING, ViewingState.PLAYING, ViewingState.CLOSING
        ):
            self._end(now, viewing, hosted, reason, load)
        self._finish_input(now)

    def all_ended(self, now: float, ends: Iterable[tuple[Id, int]], reason: EndReason) -> None:
        """Viewings, each with the number of its tune-in, ended together, as their streamer was lost.

        Decisions follow from all ends at once: after each single one, all other viewings of the streamer
        would be looked at. Those that have ended already are ignored.
        """
        ends = tuple(ends)
        self._begin_input(now, "all_ended", ends, reason)
        for viewing, number in ends:
            if hosted := self._current(viewing, number, ViewingState.PLAYING, ViewingState.CLOSING):
                self._end(now, viewing, hosted, reason, None)
        self._finish_input(now)

    def left(self, now: float, viewing: Id) -> None:
        """The viewer left or ended the viewing; ignored if it has ended already."""
        self._begin_input(now, "left", viewing)
        hosted = self.viewings.get(viewing)
        if hosted and hosted.state is ViewingState.WAITING:
            self.module.left(now, viewing)
            self._finish(viewing, hosted, Answer("gone", cause=hosted.cause))
        elif hosted and hosted.state is ViewingState.PENDING:
            self.module.left(now, viewing)
            self.port.call_off(viewing, hosted.number, hosted.streamer)
            self._report_end(now, viewing, hosted, EndReason.CALLED_OFF, True, None)
            self._finish(viewing, hosted, Answer("gone", cause=hosted.cause))
        elif hosted and hosted.state is ViewingState.PLAYING:
            self._close(now, viewing, hosted)
        self._finish_input(now)

    def torn_down(self, now: float, viewing: Id, number: int) -> None:
        """A streamer confirmed a teardown that was requested."""
        self._begin_input(now, "torn_down", viewing, number)
        if hosted := self._current(viewing, number, ViewingState.CLOSING):
            self._end(now, viewing, hosted, EndReason.PLAYED, None)
        self._finish_input(now)

    def share_told(self, now: float, streamer: Id, share: float) -> None:
        """A streamer delivers this share of the demand, 0 to 1."""
        self._begin_input(now, "share_told", streamer, share)
        if streamer in self.module.streamers:
            self.module.share_told(now, streamer, share)
        self._finish_input(now)

    def rung_told(self, now: float, viewing: Id, rung: int) -> None:
        """A streamer reports the rung at which it plays a viewing; ignored if the viewing is not held."""
        self._begin_input(now, "rung_told", viewing, rung)
        if hosted := self.viewings.get(viewing):
            hosted.rung = rung
            self.module.rung_told(now, viewing, rung)
        self._finish_input(now)

    def load_told(self, now: float, streamer: Id, uplink: bool, viewing: Id | None, ratio: float) -> None:
        """A streamer reports demand over capacity of its link, or of its rack's uplink."""
        self._begin_input(now, "load_told", streamer, uplink, viewing, ratio)
        if streamer in self.module.streamers:
            self.module.load_told(now, streamer, uplink, viewing, ratio)
        self._finish_input(now)

    def probed(
        self, now: float, streamer: Id, reason: EndReason, taken: float, load: LoadReport | None
    ) -> None:
        """The result of a probe after `taken` seconds, PLAYED if it was answered."""
        self._begin_input(now, "probed", streamer, reason, taken, load)
        if streamer in self.module.streamers:
            self.module.probed(now, streamer, reason, taken, load)
        self._finish_input(now)

    def counted(self, now: float, rank: int | None, controllers: int) -> None:
        """The number of live controllers and the rank of this one, from 0; None while that is uncertain."""
        self._begin_input(now, "counted", rank, controllers)
        self.module.counted(now, rank, controllers)
        self._finish_input(now)

    def given(self, now: float, budget: str, room: int) -> None:
        """How many more viewings of a fleet budget may start here; if negative, how many must end."""
        self._begin_input(now, "given", budget, room)
        self.module.given(now, budget, room)
        self._finish_input(now)

    def heard(self, now: float, peer: int, message: bytes) -> None:
        """A message of another controller."""
        self._begin_input(now, "heard", peer, message)
        self.module.heard(now, peer, message)
        self._finish_input(now)

    def woke(self, now: float) -> None:
        """A time that was passed to `Port.wake` has come."""
        self._begin_input(now, "woke")
        self._finish_input(now)

    # Queries. They change nothing and are not recorded.

    def sendable(self, viewing: Id, number: int, now: float, ranked: bool = True) -> bool:
        """Whether a tune-in may still be sent; call it just before sending.

        Between the decision and the moment when a connection is open, the streamer may have begun to drain,
        the viewer may have left, or the time-out may have passed. The process may have been paused: `ranked`
        says whether the rank that `counted` reported last is still valid.
        """
        hosted = self._current(viewing, number, ViewingState.PENDING)
        valid = hosted is not None and self.statuses.get(hosted.streamer) is StreamerStatus.ACTIVE
        return valid and self.module.may_still_send(now, viewing, ranked)

    def placed_count(self) -> int:
        """The number of viewings that play, or for which a tune-in is in flight."""
        return len(self.viewings) - len(self.module.waiting)

    def may_adopt(self, streamer: Id) -> bool:
        """Whether one more viewing may be adopted that is said to play at a streamer."""
        return self.module.may_adopt(streamer)

    def playing_at(self, streamer: Id) -> list[tuple[Id, int]]:
        """The viewings that play at a streamer, with the numbers of their tune-ins."""
        return [
            (viewing, hosted.number)
            for viewing, hosted in self.viewings.items()
            if hosted.streamer == streamer and hosted.state is ViewingState.PLAYING
        ]

    # Internals.

    def _begin_input(self, now: float, name: str, *args) -> None:
        """Record an input, and handle what is due by its time before it."""
        if self.recorder:
            self.recorder.input(now, name, args)
        self._run_due(now)

    def _run_due(self, now: float) -> None:
        """Handle the wake-ups and time-outs that are due, each with the decisions that follow from it."""
        while self._due and self._due[0][0] <= now:
            _, what, viewing, number = heappop(self._due)
            if what == "wake":
                self.module.woke(now)
            elif what == "time_out" and (hosted := self._current(viewing, number, ViewingState.PENDING)):
                self.port.call_off(viewing, number, hosted.streamer)
                self._end(now, viewing, hosted, EndReason.TIMED_OUT, None)
            elif what == "torn_down" and (hosted := self._current(viewing, number, ViewingState.CLOSING)):
                self._end(now, viewing, hosted, EndReason.PLAYED, None)
            self._carry_out_decisions(now)

    def _finish_input(self, now: float) -> None:
        """Carry out the decisions that follow from an input, and request the next wake-up."""
        self._carry_out_decisions(now)
        due = self._due[0][0] if self._due else float("inf")
        if due != self._next_wake_at and due < float("inf"):
            self._next_wake_at = due
            self.port.wake(due)

    def _carry_out_decisions(self, now: float) -> None:
        while (decision := self.module.decide(now)) is not None:
            if self.recorder:
                self.recorder.decision(decision)
            self._act(now, *decision)

    def _act(self, now: float, verb: str, *rest) -> None:
        match verb, rest:
            case "wake", (at,):
                heappush(self._due, (at, "wake", "", 0))
            case "tune_in", (viewing, streamer, time_out):
                hosted = self.viewings[viewing]
                hosted.transition_to(ViewingState.PENDING)
                hosted.tune_ins += 1
                hosted.streamer, hosted.sent_at = streamer, now
                self.counts["tune_ins"] += 1
                heappush(self._due, (now + time_out, "time_out", viewing, hosted.number))
                self.port.tune_in(hosted.request, hosted.number, streamer, hosted.rung, time_out)
            case "rung", (viewing, rung):
                hosted = self.viewings[viewing]
                hosted.rung = rung
                if hosted.state is ViewingState.PLAYING:
                    self.port.set_rung(viewing, hosted.number, hosted.streamer, rung)
            case "block", (viewing, come_back):
                hosted = self.viewings[viewing]
                self._finish(viewing, hosted, Answer("blocked", come_back, hosted.cause))
            case "abort", (viewing,):
                hosted = self.viewings[viewing]
                self._finish(viewing, hosted, Answer("aborted", cause=hosted.cause))
            case "call_off", (viewing, number):
                if hosted := self._current(viewing, number, ViewingState.PENDING):
                    self.port.call_off(viewing, number, hosted.streamer)
                    self._end(now, viewing, hosted, EndReason.CALLED_OFF, None)
            case "move", (viewing,):
                if hosted := self._current(viewing, self.viewings[viewing].number, ViewingState.PLAYING):
                    self._close(now, viewing, hosted)
            case "charge", (viewing, budgets):
                self.viewings[viewing].charged_budgets = budgets
            case "short", (budget,):
                self.port.request_budget(budget)
            case "probe", (streamer,):
                self.port.probe(streamer)
            case "follow", ():
                self.port.follow()
            case "tell", (peer, message):
                self.port.send_to_peer(peer, message)
            case _:
                raise InvalidHostInputError(f"unknown decision {verb!r} of the module")

    def _current(self, viewing: Id, number: int, *states: ViewingState) -> HostedViewing | None:
        hosted = self.viewings.get(viewing)
        return hosted if hosted and hosted.number == number and hosted.state in states else None

    def _close(self, now: float, viewing: Id, hosted: HostedViewing) -> None:
        """Have a playing viewing torn down at its streamer."""
        # The seat is free only when the streamer has stopped the viewing. If the module was notified sooner,
        # it could put another viewing on that seat while the streamer still plays the first.
        hosted.transition_to(ViewingState.CLOSING)
        heappush(self._due, (now + TEAR_DOWN_SECONDS, "torn_down", viewing, hosted.number))
        self.port.tear_down(viewing, hosted.number, hosted.streamer, True)

    def _end(
        self, now: float, viewing: Id, hosted: HostedViewing, reason: EndReason, load: LoadReport | None
    ) -> None:
        """Handle the end of a tune-in, whose viewing waits again, or of a viewing that played."""
        played = hosted.state is not ViewingState.PENDING
        self._report_end(now, viewing, hosted, reason, played, load)
        if not played:
            hosted.transition_to(ViewingState.WAITING)
            return
        hosted.transition_to(ViewingState.ENDED)
        del self.viewings[viewing]
        self.port.viewing_ended(viewing, reason)

    def _report_end(
        self,
        now: float,
        viewing: Id,
        hosted: HostedViewing,
        reason: EndReason,
        closed: bool,
        load: LoadReport | None,
    ) -> None:
        """Report an end to the module; `closed` if no other tune-in of the viewing may follow."""
        hosted.cause = reason
        if hosted.streamer in self.module.streamers:
            self.module.ended(
                now, viewing, hosted.number, hosted.streamer, reason, now - hosted.sent_at, closed, load
            )

    def _report_load(self, now: float, viewing: Id, streamer: Id, load: LoadReport | None) -> None:
        for uplink, ratio in ((False, load and load.link), (True, load and load.rack)):
            if ratio is not None:
                self.module.load_told(now, streamer, uplink, viewing, ratio)

    def _answer(self, viewing: Id, hosted: HostedViewing, answer: Answer) -> None:
        hosted.record_answer(answer)
        self.counts[answer.verdict] += 1
        self.port.answer(viewing, answer)

    def _finish(self, viewing: Id, hosted: HostedViewing, answer: Answer) -> None:
        """Remove a viewing that never played, and answer its viewer."""
        hosted.transition_to(ViewingState.ENDED)
        del self.viewings[viewing]
        self._answer(viewing, hosted, answer)
