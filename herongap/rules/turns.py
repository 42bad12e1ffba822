"""Cold pace: when this controller may send something to a streamer that may have just started."""
from herongap.interface import Charter

from .known import Known, Streamer

PACE = 0.6              # part of the allowance for cold streamers that is used
FEW = 16                # controllers that share slots exactly: chance evens out among many alone


class Turns:
    def __init__(self, known: Known, c: Charter):
        self.known = known
        slots = max(1, min(c.places.values(), default=1)) * c.cold_start * c.fall_multiple * PACE
        self.slot = c.warm_up / slots  # seconds in which all controllers together send one set-up

    def cold(self, now: float, st: Streamer) -> bool:
        return now - st.started < self.known.warm_up

    def paced(self, now: float, st: Streamer) -> bool:
        """Cold streamers take one set-up in each of this controller's own slots."""
        slot = int(now / self.slot)
        if not self.cold(now, st):
            # A controller that was away, or whose list is late, is not told of every start, and would send
            # all it has to the one that is empty: what it has not heard of for so long takes one a slot.
            return now - st.since >= self.known.warm_up or slot != st.slot
        return self.known.me is not None and slot != st.slot and slot == self.next_turn(now, st)

    def may_leave(self, now: float, viewing: int, ranked: bool) -> bool:
        """Whether a tune-in may still leave, by the pace; `ranked`: our place among others still holds."""
        vw = self.known.viewings.get(viewing)
        if vw is None or vw.streamer is None or not self.cold(now, vw.streamer):
            return True
        # What a process that was stopped has left over must not fall into its next turn, nor into others'.
        return ranked and now - vw.sent < self.slot * self.known.controllers

    def next_turn(self, now: float, st: Streamer) -> int:
        """The slot in which this controller may next send something to a cold streamer: now, or later."""
        # Among hundreds a slot is for as many as want the streamer at a time: one by one, all would wait too
        # long. Own wants are a sample: what waits beside this one, now or of late, as far as it names it.
        k, slot = self.known, int(now / self.slot)
        wants = max(k.queue, len(k.waiting) - 1) * k.named[st.line.shelf] / max(k.named[None], 1)
        turns = min(k.controllers, max(FEW, 1 + int(k.controllers * wants)))
        # A turn that was set is kept, or each viewing more would move it; one set in a crowd not beyond that.
        if not slot <= st.turn < slot + turns:
            # Each streamer's turns fall elsewhere: where several holders are cold, one of them is soon due.
            st.turn = slot + (k.me + st.phase - slot) % turns
        return st.turn
