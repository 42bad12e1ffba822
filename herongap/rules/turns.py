"""Cold pace: when this controller may send something to a streamer that may have just started."""
from math import sqrt

from herongap.interface import Charter

from .known import Known, Streamer

PACE = 0.65             # part of the allowance for cold streamers that is used at most
FIRST = 0.45            # part of the join target that is taken by a first tune-in
FEW = 16                # controllers that share slots exactly: chance evens out among many alone


class Turns:
    def __init__(self, known: Known, c: Charter):
        self.known, self.wait = known, (1 - FIRST) * max(p.join_target for p in c.packages)
        n = max(1, min(c.places.values(), default=1)) * c.cold_start * c.fall_multiple
        n *= c.fall_within / c.warm_up
        # Over n + 3 root n + 3 fell the coldest. A surge may send twice what turns allow, until they follow.
        self.slot = c.fall_within / min(PACE * n, (n + 3 * sqrt(n) + 3) / 2)

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
        cold = vw is not None and vw.streamer is not None and self.cold(now, vw.streamer)
        # What a process that was stopped has left over must not fall into its next turn, nor into others'.
        return not cold or (ranked and now - vw.sent < self.slot * self.known.controllers)

    def next_turn(self, now: float, st: Streamer) -> int:
        """The slot in which this controller may next send something to a cold streamer: now, or later."""
        # Among hundreds a slot is for as many as want the streamer at a time, or all would wait too long. Own
        # requests are a sample: those of the last second, this one too, as far as requests name it.
        k, slot = self.known, int(now / self.slot)
        wants = k.asks * self.wait * k.named[st.line.shelf] / max(k.named[None], 1)
        turns = min(k.controllers, max(FEW, 1 + int(k.controllers * wants)))
        # A turn that was set is kept, or each viewing more would move it; one set in a crowd not beyond that.
        if not slot <= st.turn < slot + turns:
            # Each streamer's fall elsewhere: of several holders one is soon due. One just passed counts:
            # as their number changes, a next might come any moment.
            just = slot - turns < st.turn < slot
            st.turn = st.turn + turns if just else slot + (k.me + st.phase - slot) % turns
        return st.turn
