"""The host of one deciding module: inputs with times in, effects out through a port.

Each input is noted, told to the module, and followed by all decisions that come of it. Time-outs belong to
the host, so that they fall at the time of an input and are the same in a replay; whatever is due by the time
of an input comes before it.
"""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from herongap.errors import Misuse
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
TEAR_DOWN = 2.0  # seconds that a streamer has to confirm a teardown before the viewing counts as gone anyway


class WrongInput(Misuse):
    """An input that the host cannot take as things stand, or a decision that it does not know."""

    advice = "a fault of ours: keep the record, and tell the maintainers"


class Host:
    """One controller: its module, the viewings it answers for, and their due times.

    `seed` and `charter` are the module's. `make` builds the deciding module from (now, seed, charter);
    baselines and broken controllers of the tests put others in its place.
    """

    def __init__(
        self,
        now: float,
        seed: int,
        charter: DeploymentConfig,
        port: Port,
        recorder: Recorder | None = None,
        make: Callable = Controller,
    ):
        self.port, self.recorder = port, recorder
        self.viewings: dict[Id, HostedViewing] = {}
        self.statuses: dict[Id, StreamerStatus] = {}
        self.counts = dict.fromkeys(COUNTS, 0)
        self._due: list[tuple] = []
        self._armed = float("inf")
        if recorder:
            recorder.start(now, seed, charter)
        self.module = make(now, seed, charter)
        self._pump(now)

    # Inputs: what the world did. Each is one line of the record.

    def listed(self, now: float, kind: str, lines: Iterable[StreamerEntry]) -> None:
        """A list of streamers, `kind` "changes", "whole", "remembered" or (without lines) "failed"."""
        lines = tuple(lines)
        self._enter(now, "listed", kind, lines)
        if kind in ("whole", "remembered"):
            self.statuses = {}
        for line in lines:
            self.statuses[line.streamer] = line.status
            if kind == "changes" and line.status is StreamerStatus.LEFT:
                del self.statuses[line.streamer]  # each deploy brings new names: they would pile up
        self.module.listed(now, kind, lines)
        self._pump(now)

    def asked(self, now: float, ask: ViewingRequest) -> HostedViewing:
        """A viewer wants a viewing, and will wait `ask.time_left` seconds; `Port.answer` follows once."""
        self._enter(now, "asked", ask)
        if ask.viewing in self.viewings:
            raise WrongInput(f"viewing {ask.viewing} is held already")
        life = self.viewings[ask.viewing] = HostedViewing(ask, now)
        self.counts["asked"] += 1
        self.module.asked(now, ask)
        self._pump(now)
        return life

    def started(self, now: float, viewing: Id, number: int, streamer: Id, load: LoadReport | None) -> bool:
        """A streamer started a tune-in; False where that came too late, and it is torn down there."""
        self._enter(now, "started", viewing, number, streamer, load)
        life = self._current(viewing, number, ViewingState.PENDING)
        if life is None:
            # Its time-out, its viewer's leaving or its patience came first. Left alone it would hold a place
            # and play to nobody beside the tune-in that followed it.
            self.counts["late"] += 1
            self.port.tear_down(viewing, number, streamer, False)
            self._pump(now)
            return False
        life.transition_to(ViewingState.PLAYING)
        self.module.started(now, viewing, number, streamer, now - life.sent_at)
        self._loaded(now, viewing, streamer, load)
        self._conclude(viewing, life, Answer("plays"))
        self._pump(now)
        return True

    def adopted(self, now: float, ask: ViewingRequest, number: int, streamer: Id, rung: int) -> bool:
        """A viewing of this controller's earlier process plays on: it is held and controlled again.

        Its answer was given then; `number` is that of the tune-in that plays. False, and it is torn down
        there, where the streamer is not on the list: nothing could be decided about it.
        """
        self._enter(now, "adopted", ask, number, streamer, rung)
        if ask.viewing in self.viewings:
            raise WrongInput(f"viewing {ask.viewing} is held already")
        if streamer not in self.module.streamers:
            self.port.tear_down(ask.viewing, number, streamer, False)
            self._pump(now)
            return False
        self.viewings[ask.viewing] = HostedViewing.adopted(ask, now, number, streamer, rung)
        self.counts["adopted"] += 1
        self.module.handed(now, ask, streamer)
        self.module.rung_told(now, ask.viewing, rung)
        self._pump(now)
        return True

    def ended(
        self, now: float, viewing: Id, number: int, how: EndReason, load: LoadReport | None = None
    ) -> None:
        """A tune-in that was out, or the viewing that it started, ended; what is over already is passed
        over.
        """
        self._enter(now, "ended", viewing, number, how, load)
        if life := self._current(
            viewing, number, ViewingState.PENDING, ViewingState.PLAYING, ViewingState.CLOSING
        ):
            self._end(now, viewing, life, how, load)
        self._pump(now)

    def left(self, now: float, viewing: Id) -> None:
        """The viewer went, or ended the viewing; what is over already is passed over."""
        self._enter(now, "left", viewing)
        life = self.viewings.get(viewing)
        if life and life.state is ViewingState.WAITING:
            self.module.left(now, viewing)
            self._finish(viewing, life, Answer("gone", cause=life.cause))
        elif life and life.state is ViewingState.PENDING:
            self.module.left(now, viewing)
            self.port.call_off(viewing, life.number, life.streamer)
            self._tell_end(now, viewing, life, EndReason.CALLED_OFF, True, None)
            self._finish(viewing, life, Answer("gone", cause=life.cause))
        elif life and life.state is ViewingState.PLAYING:
            self._close(now, viewing, life)
        self._pump(now)

    def torn_down(self, now: float, viewing: Id, number: int) -> None:
        """A streamer confirmed a teardown that was asked of it."""
        self._enter(now, "torn_down", viewing, number)
        if life := self._current(viewing, number, ViewingState.CLOSING):
            self._end(now, viewing, life, EndReason.PLAYED, None)
        self._pump(now)

    def share_told(self, now: float, streamer: Id, share: float) -> None:
        """A streamer delivers this share of what is asked of it, 0 to 1."""
        self._enter(now, "share_told", streamer, share)
        if streamer in self.module.streamers:
            self.module.share_told(now, streamer, share)
        self._pump(now)

    def rung_told(self, now: float, viewing: Id, rung: int) -> None:
        """A streamer told the rung at which it plays a viewing; one that is not held is passed over."""
        self._enter(now, "rung_told", viewing, rung)
        if life := self.viewings.get(viewing):
            life.rung = rung
            self.module.rung_told(now, viewing, rung)
        self._pump(now)

    def load_told(self, now: float, streamer: Id, uplink: bool, viewing: Id | None, ratio: float) -> None:
        """A streamer told what is asked of its link (or its rack's uplink) over what that gives."""
        self._enter(now, "load_told", streamer, uplink, viewing, ratio)
        if streamer in self.module.streamers:
            self.module.load_told(now, streamer, uplink, viewing, ratio)
        self._pump(now)

    def probed(self, now: float, streamer: Id, how: EndReason, taken: float, load: LoadReport | None) -> None:
        """What came of a probe, PLAYED where it was answered."""
        self._enter(now, "probed", streamer, how, taken, load)
        if streamer in self.module.streamers:
            self.module.probed(now, streamer, how, taken, load)
        self._pump(now)

    def counted(self, now: float, rank: int | None, controllers: int) -> None:
        """How many controllers live, and which of them (from 0) this one is; None while that is in doubt."""
        self._enter(now, "counted", rank, controllers)
        self.module.counted(now, rank, controllers)
        self._pump(now)

    def given(self, now: float, whole: str, room: int) -> None:
        """How many more may be begun here that count for a whole; below 0: so many that play must end."""
        self._enter(now, "given", whole, room)
        self.module.given(now, whole, room)
        self._pump(now)

    def heard(self, now: float, peer: int, words: bytes) -> None:
        """A message of another controller."""
        self._enter(now, "heard", peer, words)
        self.module.heard(now, peer, words)
        self._pump(now)

    def woke(self, now: float) -> None:
        """The time of a `wake` has come."""
        self._enter(now, "woke")
        self._pump(now)

    # Questions: they change nothing and are in no record.

    def sendable(self, viewing: Id, number: int, now: float, ranked: bool = True) -> bool:
        """Whether a tune-in may still leave, asked just before it does.

        Between the decision and the moment its connection stands, its streamer's drain may have been heard,
        its viewer may have left, or its time may be up. The process may have been stopped: `ranked` says
        whether what `counted` told last still holds.
        """
        life = self._current(viewing, number, ViewingState.PENDING)
        sound = life is not None and self.statuses.get(life.streamer) is StreamerStatus.ACTIVE
        return sound and self.module.may_still_send(now, viewing, ranked)

    def playing_at(self, streamer: Id) -> list[tuple[Id, int]]:
        """The viewings playing at a streamer, with the numbers of their tune-ins."""
        return [
            (vw, life.number)
            for vw, life in self.viewings.items()
            if life.streamer == streamer and life.state is ViewingState.PLAYING
        ]

    # Inside.

    def _enter(self, now: float, name: str, *args) -> None:
        if self.recorder:
            self.recorder.input(now, name, args)
        self._run_due(now)

    def _run_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, what, viewing, number = heappop(self._due)
            if what == "wake":
                self.module.woke(now)
            elif what == "time_out" and (life := self._current(viewing, number, ViewingState.PENDING)):
                self.port.call_off(viewing, number, life.streamer)
                self._end(now, viewing, life, EndReason.TIMED_OUT, None)
            elif what == "torn_down" and (life := self._current(viewing, number, ViewingState.CLOSING)):
                self._end(now, viewing, life, EndReason.PLAYED, None)
            self._pull(now)

    def _pump(self, now: float) -> None:
        self._pull(now)
        due = self._due[0][0] if self._due else float("inf")
        if due != self._armed and due < float("inf"):
            self._armed = due
            self.port.wake(due)

    def _pull(self, now: float) -> None:
        while (decision := self.module.decide(now)) is not None:
            if self.recorder:
                self.recorder.decision(decision)
            self._act(now, *decision)

    def _act(self, now: float, verb: str, *rest) -> None:
        match verb, rest:
            case "wake", (at,):
                heappush(self._due, (at, "wake", "", 0))
            case "tune_in", (viewing, streamer, time_out):
                life = self.viewings[viewing]
                life.transition_to(ViewingState.PENDING)
                life.tune_ins += 1
                life.streamer, life.sent_at = streamer, now
                self.counts["tune_ins"] += 1
                heappush(self._due, (now + time_out, "time_out", viewing, life.number))
                self.port.tune_in(life.request, life.number, streamer, life.rung, time_out)
            case "rung", (viewing, rung):
                life = self.viewings[viewing]
                life.rung = rung
                if life.state is ViewingState.PLAYING:
                    self.port.set_rung(viewing, life.number, life.streamer, rung)
            case "block", (viewing, come_back):
                life = self.viewings[viewing]
                self._finish(viewing, life, Answer("blocked", come_back, life.cause))
            case "abort", (viewing,):
                life = self.viewings[viewing]
                self._finish(viewing, life, Answer("aborted", cause=life.cause))
            case "call_off", (viewing, number):
                if life := self._current(viewing, number, ViewingState.PENDING):
                    self.port.call_off(viewing, number, life.streamer)
                    self._end(now, viewing, life, EndReason.CALLED_OFF, None)
            case "move", (viewing,):
                if life := self._current(viewing, self.viewings[viewing].number, ViewingState.PLAYING):
                    self._close(now, viewing, life)
            case "charge", (viewing, wholes):
                self.viewings[viewing].charged_budgets = wholes
            case "short", (whole,):
                self.port.request_budget(whole)
            case "probe", (streamer,):
                self.port.probe(streamer)
            case "follow", ():
                self.port.follow()
            case "tell", (peer, words):
                self.port.send_to_peer(peer, words)
            case _:
                raise WrongInput(f"the module decided {verb!r}, which no host knows")

    def _current(self, viewing: Id, number: int, *states: ViewingState) -> HostedViewing | None:
        life = self.viewings.get(viewing)
        return life if life and life.number == number and life.state in states else None

    def _close(self, now: float, viewing: Id, life: HostedViewing) -> None:
        # The seat is free when the streamer has let go, not before: told sooner, the module could put another
        # viewing on that seat while the streamer still plays the first.
        life.transition_to(ViewingState.CLOSING)
        heappush(self._due, (now + TEAR_DOWN, "torn_down", viewing, life.number))
        self.port.tear_down(viewing, life.number, life.streamer, True)

    def _end(
        self, now: float, viewing: Id, life: HostedViewing, how: EndReason, load: LoadReport | None
    ) -> None:
        played = life.state is not ViewingState.PENDING
        self._tell_end(now, viewing, life, how, played, load)
        if not played:
            life.transition_to(ViewingState.WAITING)
            return
        life.transition_to(ViewingState.ENDED)
        del self.viewings[viewing]
        self.port.viewing_ended(viewing, how)

    def _tell_end(
        self,
        now: float,
        viewing: Id,
        life: HostedViewing,
        how: EndReason,
        closed: bool,
        load: LoadReport | None,
    ) -> None:
        life.cause = how
        if life.streamer in self.module.streamers:
            self.module.ended(now, viewing, life.number, life.streamer, how, now - life.sent_at, closed, load)

    def _loaded(self, now: float, viewing: Id, streamer: Id, load: LoadReport | None) -> None:
        for uplink, ratio in ((False, load and load.link), (True, load and load.rack)):
            if ratio is not None:
                self.module.load_told(now, streamer, uplink, viewing, ratio)

    def _conclude(self, viewing: Id, life: HostedViewing, answer: Answer) -> None:
        life.record_answer(answer)
        self.counts[answer.verdict] += 1
        self.port.answer(viewing, answer)

    def _finish(self, viewing: Id, life: HostedViewing, answer: Answer) -> None:
        life.transition_to(ViewingState.ENDED)
        del self.viewings[viewing]
        self._conclude(viewing, life, answer)
