"""Other ways to place, for comparison alone; the rules are kept by the module's own parts in all of them.

`random`, `round-robin`, `least-used` and `two-choices` differ from the design in one point: which of the
holders with room is taken. Rungs, cuts, raises and blocking stay. `blind` leaves out loads as well: any
ready holder by chance, always on the highest rung that the viewer can use, never cut; what a front without
estimates would do. Each is a class or two to be put before the module's part of that name.
"""

from herongap.rules import Controller


class RandomHolder:
    """Any holder with room, by chance."""

    def pick(self, now, vw, room):
        return room[int(self.state.random_fraction() * len(room))]


class RoundRobin:
    """The holders with room in turn, by sorted ids, one turn for each package."""

    def pick(self, now, vw, room):
        room = sorted(room, key=lambda st: st.entry.streamer)
        last = self.last_chosen.get(vw.package.name)
        st = room[0] if last is None else next((st for st in room if st.entry.streamer > last), room[0])
        self.last_chosen[vw.package.name] = st.entry.streamer
        return st


class LeastUsed:
    """The holder with room that has the fewest of this controller's own viewings."""

    def pick(self, now, vw, room):
        return min(room, key=lambda st: (len(st.viewings), self.state.random_fraction()))


class TwoChoices:
    """Of two holders with room, drawn by chance, the one with fewer own viewings (Mitzenmacher, 2001)."""

    def pick(self, now, vw, room):
        drawn = [room[int(self.state.random_fraction() * len(room))] for _ in range(2)]
        return min(drawn, key=lambda st: len(st.viewings))


class Blind:
    """Sees every ready holder as empty."""

    def utilization(self, now, st, more=0.0):
        return 0.0


class Unmoved:
    """Leaves what plays at its rung."""

    def cut(self, now, st):
        return None

    def raise_one(self, now, st):
        return None


BASELINES = {
    "random": {"QualityTable": RandomHolder},
    "round-robin": {"QualityTable": RoundRobin},
    "least-used": {"QualityTable": LeastUsed},
    "two-choices": {"QualityTable": TwoChoices},
    "blind": {"QualityTable": RandomHolder, "ControllerState": Blind, "RungControl": Unmoved},
}


def with_components(base: type, **parts: type) -> type:
    """The deciding class `base` with classes of ours put before its parts of those names."""
    put = {name: type(part.__name__, (part, getattr(base, name)), {}) for name, part in parts.items()}
    return type(base.__name__, (base,), put)


def controller_class(policy: str, base: type = Controller) -> type:
    """The deciding class of a policy on a version of the module; "herongap" is the version itself."""
    return base if policy == "herongap" else with_components(base, **BASELINES[policy])


POLICIES = {name: controller_class(name) for name in ("herongap", *BASELINES)}
