"""Cold pace: when this controller may send something to a streamer that may have just started."""

from math import sqrt

from herongap.interface import DeploymentConfig

from .state import ControllerState, Streamer

FIRST = 0.45  # part of the join target that is taken by a first tune-in
FEW = 16  # controllers that share slots exactly: chance evens out among many alone
SURGE, SURE = 2, 3  # so much more than expected, and deviations of it, still fell nothing


class SlowStart:
    def __init__(self, known: ControllerState, now: float, c: DeploymentConfig):
        self.state, self.join = known, (1 - FIRST) * max(p.join_target for p in c.packages)
        n = max(1, min(c.places.values(), default=1)) * c.cold_start * c.fall_multiple
        n *= c.fall_within / c.warm_up
        # Over n, the allowance of the coldest, only 2 root n + 2 are put down to chance: with x slots in a
        # window, SURGE x + SURE root (SURGE x) stays within that.
        self.slot_seconds = c.fall_within / min(
            n, ((sqrt(SURE**2 + 4 * n + 8 * sqrt(n) + 8) - SURE) / 2) ** 2 / SURGE
        )
        self.begins = now + min(c.fall_within, self.slot_seconds * FEW)  # an earlier process's sends count

    def cold(self, now: float, st: Streamer) -> bool:
        return now - st.started < self.state.warm_up

    def may_send(self, now: float, st: Streamer) -> bool:
        """Cold streamers take one set-up in each of this controller's own slots."""
        slot = int(now / self.slot_seconds)
        if not self.cold(now, st):
            # Not all starts are told, or in time: what was not heard of for a warm-up takes one a slot.
            return now - st.reported_since >= self.state.warm_up or slot != st.slot
        mine = self.state.rank is not None and now > self.begins and slot != st.slot
        return mine and slot == self.next_slot(now, st)

    def may_still_send(self, now: float, viewing: int, ranked: bool) -> bool:
        """Whether a tune-in may still leave, by the pace; `ranked`: our place among others still holds."""
        vw = self.state.viewings.get(viewing)
        cold = vw is not None and vw.streamer is not None and self.cold(now, vw.streamer)
        # What a process that was stopped has left over must not fall into its next turn, nor into others'.
        return not cold or (ranked and now - vw.sent < self.slot_seconds * self.state.controllers)

    def next_slot(self, now: float, st: Streamer) -> int:
        """The slot in which this controller may next send something to a cold streamer: now, or later."""
        # Among hundreds a slot is for as many as want the streamer in the wait for it or within it, else all
        # wait too long. Own requests are a sample: the last second's, as far as they name it.
        k, slot = self.state, int(now / self.slot_seconds)
        wants = k.asks * (self.join + self.slot_seconds) * k.named[st.entry.holder_id] / max(k.named[None], 1)
        turns = min(k.controllers, max(FEW, 1 + int(k.controllers * wants)))
        # A turn that was set is kept, or each viewing more would move it; one set in a crowd not beyond that.
        if not slot <= st.turn < slot + turns:
            # Each streamer's fall elsewhere: one holder is soon due. One just passed counts, or a next might
            # come any moment as their number changes.
            just = slot - turns < st.turn < slot
            st.turn = st.turn + turns if just else slot + (k.rank + st.phase - slot) % turns
        return st.turn
