"""Whether a viewing may be set up now, never where: repeats and their budget, wholes of the fleet, floods."""

from collections import deque
from math import exp

from herongap.interface import BudgetScope, DeploymentConfig, RepeatSafety, RepeatScope

from .state import ControllerState, Streamer, Viewing

FLOOD, LEAST = 4.0, 5.0  # a member floods at so many times its usual rate and so many viewings a second more


class Admission:
    def __init__(self, known: ControllerState, now: float, c: DeploymentConfig):
        self.state = known
        self.extra = c.extra_free is not None and (c.extra_free, c.extra_share, c.extra_window)
        self.taken, self.extras = deque(), deque()
        self.begun, self.shares, self.rates = now, c.over_share < 0.5, {}
        # Wholes of the fleet: what more may be begun here. Nothing before that is known.
        self.wholes, self.left_of = c.wholes, dict.fromkeys((w.name for w in c.wholes), 0)

    def asked(self, now: float, member: str | None) -> bool:
        self.taken.extend([now] * bool(self.extra))
        return self.shares and member is not None and self.floods(now, member)

    def floods(self, now: float, member: str) -> bool:
        # A member's share is told too roughly to count by, and only a part of it is seen here: so against its
        # own usual rate. What it asks beyond is worth little and must not take the others' places.
        rate, usual, at = self.rates.get(member, (0.0, 0.0, now))
        rate = rate * exp((at - now) / 2) + 0.5
        flood = now - self.begun > 5 and rate > FLOOD * usual + LEAST
        # Over 20 s, or the time lived: begun at nothing, a high steady rate would pass for a flood for good.
        span = min(20.0, now - self.begun + 1)
        self.rates[member] = rate, usual if flood else rate + (usual - rate) * exp((at - now) / span), now
        return flood

    def may_repeat(self, now: float) -> bool:
        """Whether the budget of further tune-ins has one left."""
        if not self.extra:
            return True
        free, share, window = self.extra
        for past, since in ((self.extras, now - window - 0.1), (self.taken, now - window + 0.1)):
            while past and past[0] < since:
                past.popleft()
        return len(self.extras) + 1 <= free + share * len(self.taken)

    def may_repeat_at(self, now: float, vw: Viewing, st: Streamer) -> bool:
        """Whether the package's terms let this viewing be set up at this streamer after what may have run."""
        p = vw.package
        if not vw.ran or p.repeat is RepeatSafety.HARMLESS:
            return True
        return p.repeat is RepeatSafety.IN_GROUP and all(
            now - sent < p.window
            and (
                p.group is RepeatScope.ALL
                or (zone == st.entry.zone and (p.group is RepeatScope.ZONE or cell == st.entry.cell))
            )
            for zone, cell, sent in vw.ran
        )

    def counting(self, vw: Viewing, cold: bool) -> list[str]:
        """The wholes for which a viewing's next tune-in counts."""
        ask, more = vw.ask, [BudgetScope.FURTHER] * bool(vw.tries) + [BudgetScope.COLD] * cold
        sorts = {BudgetScope.VIEWINGS, BudgetScope.TUNE_INS, *more}
        return [
            w.name
            for w in self.wholes
            if w.scope in sorts
            and w.package in (None, ask.package)
            and w.member in (None, ask.member)
            and w.title in (None, ask.title)
        ]

    def within(self, vw: Viewing, cold: bool) -> bool:
        """Whether every whole that it counts for has room here; of one that has none more is wanted."""
        short = {name for name in self.counting(vw, cold) if self.left_of[name] < 1} if self.wholes else set()
        # Asked for while the viewing waits, not when it is blocked: others may have some to give by then.
        self.state.decisions += [("short", name) for name in sorted(short - vw.short)]
        vw.short |= short
        return not short

    def charge(self, vw: Viewing, names: list[str]) -> None:
        if self.wholes:
            vw.charged = tuple(names)
            self.left_of.update((name, self.left_of[name] - 1) for name in names)
            self.state.decisions.append(("charge", vw.id, vw.charged))

    def handed(self, vw: Viewing) -> None:
        begun = {w.name for w in self.wholes if w.scope is not BudgetScope.VIEWINGS}
        self.charge(vw, [name for name in self.counting(vw, False) if name not in begun])

    def given(self, whole: str, room: int) -> None:
        self.left_of[whole] = room
        held = [vw for vw in self.state.viewings.values() if room < 0 and whole in vw.charged and vw.playing]
        stay = sorted((vw for vw in held if not vw.done), key=lambda vw: vw.package.gain[0])
        for vw in stay[: max(0, len(stay) - len(held) - room)]:
            vw.done = True
            self.state.decisions.append(("move", vw.id))
