"""The controller: each input only updates the state; the host then takes decisions until none is left."""

from heapq import heappop, heappush

from herongap.interface import DeploymentConfig, EndReason, LoadReport, StreamerEntry, ViewingRequest

from .admission import Admission
from .placement import MIN_TIME_LEFT_SECONDS, TICK_SECONDS, Placement, QualityTable
from .rung_control import MIN_RUNG_SECONDS, RungControl
from .slow_start import SlowStart
from .state import ControllerState, Viewing

RECHECK_SECONDS = 0.02  # least time between two checks of all waiting viewings
HOLD_PART = 0.4  # part of the join target for which a viewing waits for room


class Controller:
    """Takes the inputs of one controller and decides."""

    # Class attributes, so that baselines and the tests' broken controllers can replace them by name.
    ControllerState, QualityTable, SlowStart, Admission, RungControl, Placement = (
        ControllerState,
        QualityTable,
        SlowStart,
        Admission,
        RungControl,
        Placement,
    )

    def __init__(self, now: float, seed: int, config: DeploymentConfig):
        self.state = state = self.ControllerState(seed, config)
        self.quality_table, self.slow_start = (
            self.QualityTable(state, now),
            self.SlowStart(state, now, config),
        )
        self.admission, self.rung_control = self.Admission(state, now, config), self.RungControl(state)
        self.placement = self.Placement(
            self.quality_table, self.slow_start, self.admission, self.rung_control, config
        )
        self.streamers, self.viewings, self.waiting = state.streamers, state.viewings, state.waiting
        self.share_told, self.load_told = state.share_told, self.rung_control.load_told
        self.unplaced, self.due, self.may_still_send = [], self.placement.due, self.slow_start.may_still_send
        self.may_adopt = self.admission.may_adopt
        self.next_tick_at, self.wake, self.recheck_at = now, -1e9, now
        state.decisions.extend([("follow",)] * config.must_follow)

    # Inputs, as `herongap.host` passes them on. The record names them, so their names stay.

    def listed(self, now: float, kind: str, lines: tuple[StreamerEntry, ...]) -> None:
        """A streamer list, or the news that it could not be had."""
        if kind == "failed":
            heappush(self.due, (now + 0.5 + self.state.random_fraction(), "follow", 0))
        else:
            self.state.listed(now, kind, lines)

    def asked(self, now: float, request: ViewingRequest) -> None:
        """A viewer requests a viewing."""
        viewing = self.viewings[request.viewing] = Viewing(request, self.state.packages[request.package], now)
        if earlier := self.admission.earlier_runs(now, viewing):
            # Its viewer left and came again: a tune-in now is a further one of the same viewing.
            viewing.may_have_run, viewing.tries = list(earlier), len(earlier)
        self.state.recent_requests += 1
        self.state.named_holders.update((None, *request.holders))
        viewing.is_flood = self.admission.asked(now, request.member)
        self.wait(viewing, now + HOLD_PART * viewing.package.join_target)

    def wait(self, viewing: Viewing, until: float) -> None:
        """Lets a viewing wait for room, at most until then."""
        self.waiting[viewing.id], viewing.hold_until = (
            viewing,
            min(until, viewing.deadline - MIN_TIME_LEFT_SECONDS),
        )
        heappush(self.due, (viewing.hold_until, "hold", viewing.id))
        self.unplaced.append(viewing)

    def handed(self, now: float, request: ViewingRequest, streamer_id: int) -> None:
        """A viewing that plays already is handed over to this controller."""
        viewing = self.viewings[request.viewing] = Viewing(request, self.state.packages[request.package], now)
        # It played before, so the load of others has not grown with it. No rung was chosen for it here: any
        # load report may raise it.
        viewing.unsampled, viewing.playing, viewing.tries, viewing.rung_set_at = (
            True,
            True,
            1,
            now - MIN_RUNG_SECONDS,
        )
        self.state.assign(now, viewing, self.streamers[streamer_id])
        self.quality_table.cells[viewing.package.name, streamer_id][0] += 1
        self.admission.handed(viewing)

    def rung_told(self, now: float, viewing_id: int, rung: float) -> None:
        """A streamer reports the rung at which it plays a viewing."""
        if (viewing := self.viewings.get(viewing_id)) and viewing.streamer is not None:
            self.state.set_rung(now, viewing, int(rung))

    def started(self, now: float, viewing_id: int, number: int, streamer_id: int, taken: float) -> None:
        """A streamer started a viewing."""
        if viewing := self.viewings.get(viewing_id):
            viewing.playing, viewing.rung_set_at = True, now
            self.quality_table.cells[viewing.package.name, streamer_id][0] += 1

    def ended(
        self,
        now: float,
        viewing_id: int,
        number: int,
        streamer_id: int,
        reason: EndReason,
        taken: float,
        closed: bool,
        load: LoadReport | None,
    ) -> None:
        """A tune-in, or the viewing that it started, ended; `closed` if no other tune-in may follow."""
        state, streamer = self.state, self.streamers[streamer_id]
        state.on_load_report(now, streamer, load)
        if (viewing := self.viewings.get(viewing_id)) is None:
            return
        if viewing.streamer is not None:
            # Other controllers lose viewings there too, and their load on the other streamers stays.
            viewing.unsampled |= reason is EndReason.BROKEN
            state.release(now, viewing)
        if not viewing.playing and reason is EndReason.FULL:
            # A streamer that refuses by load, without a report, is assumed to be at that load.
            if load is None and state.full_from:
                streamer.link.on_report(now, state.full_from, 0.0)
        elif reason is EndReason.BROKEN or not (
            viewing.playing or reason in (EndReason.CALLED_OFF, EndReason.NOT_SENT)
        ):
            self.quality_table.failed(now, viewing, streamer, reason)
        if reason not in (EndReason.FULL, EndReason.UNREACHED, EndReason.NOT_SENT):
            viewing.may_have_run.append((streamer.entry.zone, streamer.entry.cell, viewing.sent_at))
        if closed or viewing.ending:
            self.admission.remember_runs(now, viewing)
            del self.viewings[viewing_id]
        else:
            viewing.tried.add(streamer_id)
            viewing.tries = state.tune_ins if reason is EndReason.NOT_SENT else viewing.tries
            self.wait(viewing, max(now + 0.05, viewing.join_deadline))
        state.recheck = True

    def left(self, now: float, viewing_id: int) -> None:
        """The viewer left before its request was answered."""
        if viewing := self.viewings.get(viewing_id):
            viewing.ending = True
            self.waiting.pop(viewing_id, None)
            if viewing.streamer is None:
                del self.viewings[viewing_id]

    def probed(
        self, now: float, streamer_id: int, reason: EndReason, taken: float, load: LoadReport | None
    ) -> None:
        """The result of a probe, PLAYED if it was answered."""
        self.state.on_load_report(now, self.streamers[streamer_id], load)
        if reason is not EndReason.PLAYED:
            self.state.set_aside(now, self.streamers[streamer_id], True)
        self.placement.probing.discard(streamer_id)
        self.unplaced += [viewing for viewing in self.waiting.values() if viewing.probed == streamer_id]
        self.state.recheck = True

    def heard(self, now: float, peer: int, message: bytes) -> None:
        """A message of another controller: ignored, as the demand of others helped too little."""

    def counted(self, now: float, rank: int | None, controllers: int) -> None:
        """The number of live controllers and the rank of this one, None if uncertain."""
        self.state.rank, self.state.controllers, self.state.recheck = rank, controllers, True
        for streamer in self.streamers.values():
            streamer.own_slot = -1

    def given(self, now: float, budget: str, room: int) -> None:
        """What may still be begun here of a fleet budget."""
        self.admission.given(budget, room)
        self.state.recheck = True

    def woke(self, now: float) -> None:
        """The time of a `wake` decision has come."""
        # With rounding, a timer can fire slightly early; one that has fired must not pass for one that is
        # set. A timer that an earlier one has replaced fires too, and must not set another: there would be
        # ever more of them.
        if now + 0.01 >= self.wake:
            self.wake = -1e9

    def decide(self, now: float) -> tuple | None:
        """The next decision, None if there is none."""
        if not (decisions := self.state.decisions):
            self.process_due(now)
        return decisions.popleft() if decisions else None

    def process_due(self, now: float) -> None:
        """Runs what is due, checks what has changed, and sets the next timer."""
        state, place = self.state, self.placement.place
        while self.due and self.due[0][0] <= now:
            _, what, viewing_id = heappop(self.due)
            if what == "follow":
                state.decisions.append(("follow",))
            elif (
                (viewing := self.waiting.get(viewing_id))
                and not place(now, viewing)
                and now >= max(viewing.hold_until, viewing.slot_due_at)
            ):
                self.placement.give_up(now, viewing)
        if now >= self.next_tick_at:
            # The only periodic job: capacities, scores and ranks, the price of a step.
            self.next_tick_at, state.recheck = now + TICK_SECONDS, True
            for part in (state, self.quality_table, self.rung_control):
                part.tick(now)
        for streamer_id in state.to_check:
            self.rung_control.cut(now, self.streamers[streamer_id])
            self.rung_control.raise_one(now, self.streamers[streamer_id])
        state.to_check.clear()
        # A further request makes no room: waiting viewings are checked only when something else has changed,
        # and not at every single report, as with many of them all time would go into checks.
        if recheck := state.recheck and now >= self.recheck_at:
            state.recheck, self.recheck_at = False, now + RECHECK_SECONDS
        unplaced, self.unplaced = list(self.waiting.values()) if recheck else self.unplaced, []
        for viewing in unplaced:
            if self.waiting.get(viewing.id) is viewing:
                place(now, viewing)
        wake = min([self.next_tick_at, *(at for at, *_ in self.due[:1]), *[self.recheck_at] * state.recheck])
        if not now < self.wake <= wake:
            self.wake = wake
            state.decisions.append(("wake", wake))
