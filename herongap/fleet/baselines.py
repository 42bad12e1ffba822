"""Baseline placement policies, for comparison only; the module's components keep the rules in all of them.

`random`, `round-robin`, `least-used` and `two-choices` differ from the module in one decision: which of the
holders with spare capacity is chosen. Rungs, lowering, raising and blocking are the same. `blind` also
ignores loads: a random ready holder, always the highest rung that the viewer can use, never lowered, as a
controller without load estimates would do. Each policy is one or two classes that override components of the
module.
"""

from herongap.rules import Controller


class RandomHolder:
    """Chooses a random holder with spare capacity."""

    def pick(self, now, viewing, candidates):
        return candidates[int(self.state.random_fraction() * len(candidates))]


class RoundRobin:
    """Chooses the holders with spare capacity in turn, by sorted ids, separately for each package."""

    def pick(self, now, viewing, candidates):
        candidates = sorted(candidates, key=lambda streamer: streamer.entry.streamer)
        last = self.last_chosen.get(viewing.package.name)
        streamer = (
            candidates[0]
            if last is None
            else next((streamer for streamer in candidates if streamer.entry.streamer > last), candidates[0])
        )
        self.last_chosen[viewing.package.name] = streamer.entry.streamer
        return streamer


class LeastUsed:
    """Chooses the holder with spare capacity that has the fewest viewings of this controller."""

    def pick(self, now, viewing, candidates):
        return min(candidates, key=lambda streamer: (len(streamer.viewings), self.state.random_fraction()))


class TwoChoices:
    """Draws two holders and chooses the one with fewer viewings of this controller (Mitzenmacher, 2001)."""

    def pick(self, now, viewing, candidates):
        drawn = [candidates[int(self.state.random_fraction() * len(candidates))] for _ in range(2)]
        return min(drawn, key=lambda streamer: len(streamer.viewings))


class IgnoreLoad:
    """Treats every ready holder as empty."""

    def utilization(self, now, streamer, more=0.0):
        return 0.0


class FixedRungs:
    """Leaves playing viewings at their rung."""

    def cut(self, now, streamer):
        return None

    def raise_one(self, now, streamer):
        return None


BASELINES = {
    "random": {"QualityTable": RandomHolder},
    "round-robin": {"QualityTable": RoundRobin},
    "least-used": {"QualityTable": LeastUsed},
    "two-choices": {"QualityTable": TwoChoices},
    "blind": {"QualityTable": RandomHolder, "ControllerState": IgnoreLoad, "RungControl": FixedRungs},
}


def with_components(base: type, **components: type) -> type:
    """The deciding class `base` with classes that override its components of those names."""
    overrides = {
        name: type(component.__name__, (component, getattr(base, name)), {})
        for name, component in components.items()
    }
    return type(base.__name__, (base,), overrides)


def controller_class(policy: str, base: type = Controller) -> type:
    """The deciding class of a policy for a version of the module; "herongap" is the unchanged version."""
    return base if policy == "herongap" else with_components(base, **BASELINES[policy])


POLICIES = {name: controller_class(name) for name in ("herongap", *BASELINES)}
