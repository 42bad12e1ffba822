"""Other ways to place, for comparison alone: the same rules kept, the design left out.

Neither looks at load or scores, sets rungs by room, cuts or raises; each gives a viewing the highest rung
that its viewer can use. What the rules need (drains, cold pace, seats, floors, budget, terms) is the
module's own.
"""

from herongap.rules import Controller


class Blind(Controller):
    """Sees every ready holder as empty."""

    def use(self, now, st, more=0.0):
        return 0.0

    def cut(self, now, st):
        return None

    def raise_one(self, now, st):
        return None


class RandomHolder(Blind):
    """Any ready holder, by chance."""

    def pick(self, now, vw, room):
        return room[int(self.chance() * len(room))]


class LeastUsed(Blind):
    """The ready holder with the fewest of this controller's own viewings."""

    def pick(self, now, vw, room):
        return min(room, key=lambda st: (len(st.held), self.chance()))


POLICIES = {"herongap": Controller, "random": RandomHolder, "least-used": LeastUsed}
