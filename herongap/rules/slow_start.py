"""Slow start: when this controller may send a tune-in to a streamer that may have just started.

Time is divided into slots. The controllers take turns in the slots of each cold streamer, so that all of
them together stay within what it can take while it warms up.
"""

from math import sqrt

from herongap.interface import DeploymentConfig

from .state import ControllerState, Streamer

FIRST_TUNE_IN_PART = 0.45  # part of the join target that the first tune-in may take
MIN_TURNS = 16  # up to so many controllers share the slots exactly; among many more, chance evens out
# A cold streamer still copes with so many times the expected tune-ins, plus so many standard deviations.
SURGE_FACTOR, SURGE_DEVIATIONS = 2, 3


class SlowStart:
    """The slots of this controller at cold streamers."""

    def __init__(self, state: ControllerState, now: float, config: DeploymentConfig):
        self.state, self.join_wait = (
            state,
            (1 - FIRST_TUNE_IN_PART) * max(p.join_target for p in config.packages),
        )
        allowed = max(1, min(config.places.values(), default=1)) * config.cold_start * config.fall_multiple
        allowed *= config.fall_within / config.warm_up
        # Beyond `allowed`, what the coldest streamer takes in a window, only 2 sqrt(allowed) + 2 more are
        # accepted as chance. With x slots in a window,
        # SURGE_FACTOR x + SURGE_DEVIATIONS sqrt(SURGE_FACTOR x) stays within that.
        self.slot_seconds = config.fall_within / min(
            allowed,
            ((sqrt(SURGE_DEVIATIONS**2 + 4 * allowed + 8 * sqrt(allowed) + 8) - SURGE_DEVIATIONS) / 2) ** 2
            / SURGE_FACTOR,
        )
        # What an earlier process of this controller sent still counts for a while.
        self.starts_at = now + min(config.fall_within, self.slot_seconds * MIN_TURNS)

    def is_cold(self, now: float, streamer: Streamer) -> bool:
        """Whether a streamer may still be warming up."""
        return now - streamer.started < self.state.warm_up

    def may_send(self, now: float, streamer: Streamer) -> bool:
        """Whether a tune-in may go to this streamer now; a cold one takes one in each own slot."""
        slot = int(now / self.slot_seconds)
        if not self.is_cold(now, streamer):
            # Not every start is listed, or in time: a streamer that has not reported its load throughout a
            # warm-up takes one tune-in in a slot.
            return now - streamer.reported_since >= self.state.warm_up or slot != streamer.last_slot
        own = self.state.rank is not None and now > self.starts_at and slot != streamer.last_slot
        return own and slot == self.next_slot(now, streamer)

    def may_still_send(self, now: float, viewing_id: int, ranked: bool) -> bool:
        """Whether a decided tune-in may still be sent; `ranked` if the own rank is still valid."""
        viewing = self.state.viewings.get(viewing_id)
        cold = viewing is not None and viewing.streamer is not None and self.is_cold(now, viewing.streamer)
        # What a paused process did not send in time must not fall into its next slot or into those of others.
        return not cold or (ranked and now - viewing.sent_at < self.slot_seconds * self.state.controllers)

    def next_slot(self, now: float, streamer: Streamer) -> int:
        """The slot, this one or a later one, in which this controller may send to a cold streamer."""
        # Among hundreds of controllers, the turns are divided among as many as are expected to want the
        # streamer while they wait for a turn or during it: else all would wait too long. The requests of this
        # controller in the last second are a sample of those of all, as far as they name the streamer.
        state, slot = self.state, int(now / self.slot_seconds)
        wanted = (
            state.recent_requests
            * (self.join_wait + self.slot_seconds)
            * state.named_holders[streamer.entry.holder_id]
            / max(state.named_holders[None], 1)
        )
        turns = min(state.controllers, max(MIN_TURNS, 1 + int(state.controllers * wanted)))
        # A slot once chosen is kept, as each further viewing would move it; but a slot chosen while many
        # wanted the streamer is not kept beyond the present number of turns.
        if not slot <= streamer.own_slot < slot + turns:
            # The slots differ by streamer, so that one of the holders is due soon. One that has just passed
            # counts too: with a changed number of turns, the next one could come at any moment.
            just_passed = slot - turns < streamer.own_slot < slot
            streamer.own_slot = (
                streamer.own_slot + turns
                if just_passed
                else slot + (state.rank + streamer.slot_phase - slot) % turns
            )
        return streamer.own_slot
