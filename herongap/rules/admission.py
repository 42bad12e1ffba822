"""Admission: whether a viewing may be set up now, by retry rules, budgets and flood control. Never where."""

from collections import deque
from math import exp

from herongap.interface import BudgetScope, DeploymentConfig, RepeatSafety, RepeatScope

from .state import ControllerState, Streamer, Viewing

# A member floods when it requests so many times its usual rate, and so many viewings a second on top.
FLOOD_FACTOR, FLOOD_MARGIN = 4.0, 5.0
RUNS_REMEMBERED_SECONDS = 60.0
MAX_REMEMBERED_RUNS = 10_000


class Admission:
    """The retry budget, the fleet budgets, and the request rate of each member."""

    def __init__(self, state: ControllerState, now: float, config: DeploymentConfig):
        self.state = state
        self.retry_budget = config.extra_free is not None and (
            config.extra_free,
            config.extra_share,
            config.extra_window,
        )
        self.requests, self.retries = deque(), deque()
        # Zone, cell and time of the tune-ins of viewings that are over, with the expiry, by viewing.
        self.runs: dict[int, tuple[float, list[tuple]]] = {}
        self.started_at, self.controls_floods, self.rates = now, config.over_share < 0.5, {}
        # What may still be begun here of each fleet budget: nothing before the first report.
        self.budgets, self.remaining = config.wholes, dict.fromkeys((b.name for b in config.wholes), 0)

    def asked(self, now: float, member: str | None) -> bool:
        """Counts a request; whether it is part of a flood."""
        self.requests.extend([now] * bool(self.retry_budget))
        return self.controls_floods and member is not None and self.floods(now, member)

    def floods(self, now: float, member: str) -> bool:
        """Counts a request of a member; whether the member floods."""
        # The share of a member is known too roughly to be a limit, and only a part of its requests is seen
        # here: so its own usual rate is the measure. What it requests beyond that is worth little and must
        # not take the places of others.
        rate, usual, at = self.rates.get(member, (0.0, 0.0, now))
        rate = rate * exp((at - now) / 2) + 0.5
        flood = now - self.started_at > 5 and rate > FLOOD_FACTOR * usual + FLOOD_MARGIN
        # The mean of 20 s, or of the time since the start: if it began at 0, a steady high rate would be
        # taken for a flood for good.
        span = min(20.0, now - self.started_at + 1)
        self.rates[member] = rate, usual if flood else rate + (usual - rate) * exp((at - now) / span), now
        return flood

    def may_repeat(self, now: float) -> bool:
        """Whether the retry budget allows one more tune-in of a viewing that had one before."""
        if not self.retry_budget:
            return True
        free, share, window = self.retry_budget
        for times, since in ((self.retries, now - window - 0.1), (self.requests, now - window + 0.1)):
            while times and times[0] < since:
                times.popleft()
        return len(self.retries) + 1 <= free + share * len(self.requests)

    def remember_runs(self, now: float, viewing: Viewing) -> None:
        """Remembers where a viewing that is over may have run, if its package may not simply repeat it."""
        if not viewing.may_have_run or viewing.package.repeat is RepeatSafety.HARMLESS:
            return
        self.runs.pop(viewing.id, None)
        self.runs[viewing.id] = now + RUNS_REMEMBERED_SECONDS, viewing.may_have_run
        while len(self.runs) > MAX_REMEMBERED_RUNS or next(iter(self.runs.values()))[0] <= now:
            del self.runs[next(iter(self.runs))]

    def earlier_runs(self, now: float, viewing: Viewing) -> list[tuple]:
        """Where a viewing may have run that was requested before by the same id."""
        expires_at, runs = self.runs.get(viewing.id, (now, []))
        return runs if expires_at > now else []

    def may_repeat_at(self, now: float, viewing: Viewing, streamer: Streamer) -> bool:
        """Whether the package's terms allow this viewing at this streamer, given where it may have run."""
        package = viewing.package
        if not viewing.may_have_run or package.repeat is RepeatSafety.HARMLESS:
            return True
        return package.repeat is RepeatSafety.IN_GROUP and all(
            now - sent < package.repeat_window
            and (
                package.group is RepeatScope.ALL
                or (
                    zone == streamer.entry.zone
                    and (package.group is RepeatScope.ZONE or cell == streamer.entry.cell)
                )
            )
            for zone, cell, sent in viewing.may_have_run
        )

    def counting(self, viewing: Viewing, cold: bool) -> list[str]:
        """The names of the fleet budgets that the next tune-in of a viewing counts towards."""
        request, more = (
            viewing.request,
            [BudgetScope.FURTHER] * bool(viewing.tries) + [BudgetScope.COLD] * cold,
        )
        scopes = {BudgetScope.VIEWINGS, BudgetScope.TUNE_INS, *more}
        return [
            budget.name
            for budget in self.budgets
            if budget.scope in scopes
            and budget.package in (None, request.package)
            and budget.member in (None, request.member)
            and budget.title in (None, request.title)
        ]

    def within(self, viewing: Viewing, cold: bool) -> bool:
        """Whether all fleet budgets that it counts towards have room here; requests more of those without."""
        short = (
            {name for name in self.counting(viewing, cold) if self.remaining[name] < 1}
            if self.budgets
            else set()
        )
        # Requested while the viewing waits, not when it is blocked: other controllers may have some to give
        # by then.
        self.state.decisions += [("short", name) for name in sorted(short - viewing.short_budgets)]
        viewing.short_budgets |= short
        return not short

    def charge(self, viewing: Viewing, names: list[str]) -> None:
        """Counts a tune-in towards the named fleet budgets."""
        if self.budgets:
            viewing.charged_budgets = tuple(names)
            self.remaining.update((name, self.remaining[name] - 1) for name in names)
            self.state.decisions.append(("charge", viewing.id, viewing.charged_budgets))

    def may_adopt(self, streamer_id: int) -> bool:
        """Whether one more viewing that plays already may be handed over at a streamer."""
        # A streamer holds only so many, and none of them can be verified there.
        streamer, places = self.state.streamers.get(streamer_id), self.state.places
        return streamer is not None and len(streamer.viewings) < places.get(
            streamer.entry.kind, max(places.values(), default=0)
        )

    def handed(self, viewing: Viewing) -> None:
        """Counts a viewing that was handed over while it played."""
        windowed = {budget.name for budget in self.budgets if budget.scope is not BudgetScope.VIEWINGS}
        self.charge(viewing, [name for name in self.counting(viewing, False) if name not in windowed])

    def given(self, budget: str, room: int) -> None:
        """Sets what may still be begun here of a fleet budget; ends the cheapest viewings if below 0."""
        self.remaining[budget] = room
        held = [
            viewing
            for viewing in self.state.viewings.values()
            if room < 0 and budget in viewing.charged_budgets and viewing.playing
        ]
        stay = sorted(
            (viewing for viewing in held if not viewing.ending), key=lambda viewing: viewing.package.gain[0]
        )
        for viewing in stay[: max(0, len(stay) - len(held) - room)]:
            viewing.ending = True
            self.state.decisions.append(("move", viewing.id))
