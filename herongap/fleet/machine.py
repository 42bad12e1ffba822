"""A streamer without its sockets: places, link, warm-up, failure under overload, and the value of sessions.

The stand-in streamers of a rehearsal and the streamers of the model both run this code; they differ only in
the transport of requests. Times are seconds of the caller's clock, rates are kB a second.
"""

from collections import deque
from typing import NamedTuple

from herongap.fleet.links import max_min_rates, proportional_share
from herongap.interface import LoadReport


class MachineProfile(NamedTuple):
    """The properties that all simulated streamers share.

    `link` is the bandwidth of a streamer, `rack` that of a rack's uplink. A streamer that is warming up fails
    when more set-ups arrive within `tip_after` seconds than `fall_multiple` times places / warm_up, times the
    part of its capacity that it has warmed to, plus `slack` set-ups. `sharing` is how an uplink is divided
    among its streamers, "equal" or "max_min". A viewer that gets less than `leave_under` of its rate leaves
    with probability `leave_rate` times the missing part, each second.
    """

    ladder: tuple[float, ...]
    values: tuple[float, ...]
    link: float
    rack: float
    places: int
    full_from: float = 0.0
    warm_up: float = 10.0
    cold_start: float = 0.4
    fall_multiple: float = 2.5
    tip_after: float = 1.0
    slack: float = 0.0
    set_up: tuple[float, float] = (0.005, 0.03)
    tell: float = 2.0
    told_late: float = 0.4
    join_wait: float = 4.0
    consent: float = 5.0
    stall: float = 7.0
    sharing: str = "equal"
    leave_under: float = 0.75
    leave_rate: float = 0.0


class Session:
    """One viewing at a machine. Its earned value is computed from the machine's cumulative values."""

    __slots__ = (
        "name",
        "identity",
        "title",
        "rung",
        "front",
        "began",
        "consent",
        "earned",
        "value_at_rung_start",
        "resource",
    )

    def __init__(self, name: str, identity: str, title: str, rung: int, front: str, now: float):
        self.name, self.identity, self.title, self.rung, self.front = name, identity, title, rung, front
        self.began, self.consent = now, None
        self.earned, self.value_at_rung_start, self.resource = 0.0, 0.0, None


class Machine:
    """One streamer: its sessions, its faults and the share of their rate that its sessions get."""

    def __init__(
        self, profile: MachineProfile, name: str, zone: str, rack: "Rack", started: float | None = None
    ):
        self.profile, self.name, self.zone, self.rack, self.started = profile, name, zone, rack, started
        self.sessions: dict[str, Session] = {}
        self.demand, self.link_factor, self.silenced, self.overloaded = 0.0, 1.0, False, False
        self.faults: dict[str, dict] = {}
        self.share, self.utilization, self.accounted_until = 1.0, 0.0, 0.0
        # For each rung, the value that a session there would have earned since the start. A session stores
        # the value at which it joined its rung.
        self.cumulative_value = [0.0] * len(profile.ladder)
        self.set_ups: deque[float] = deque()
        # (time, link utilization, rack utilization, share), for reports that are sent with a delay.
        self.history: deque[tuple[float, float, float, float]] = deque(maxlen=200)
        rack.machines.append(self)

    def warmth(self, now: float) -> float:
        """The part of its capacity that is available: `cold_start` after a start, 1 after the warm-up."""
        if self.started is None:
            return 1.0
        profile = self.profile
        return min(
            1.0,
            profile.cold_start + (1 - profile.cold_start) * max(0.0, now - self.started) / profile.warm_up,
        )

    def link(self, now: float) -> float:
        """The bandwidth of its link, reduced by a fault and by its warm-up."""
        return max(1.0, self.profile.link * self.link_factor * self.warmth(now))

    def full(self) -> bool:
        """Whether it rejects further set-ups."""
        over_threshold = self.profile.full_from and self.utilization >= self.profile.full_from
        return bool(over_threshold) or len(self.sessions) >= self.profile.places

    def register_set_up(self, now: float) -> float | None:
        """Counts a set-up. Returns the limit if this set-up overloads a streamer that is warming up."""
        profile = self.profile
        while self.set_ups and self.set_ups[0] <= now - profile.tip_after:
            self.set_ups.popleft()
        self.set_ups.append(now)
        if self.overloaded or self.started is None or now - self.started >= profile.warm_up:
            return None
        allowed = max(
            1.0,
            profile.fall_multiple * profile.tip_after * profile.places / profile.warm_up * self.warmth(now),
        )
        self.overloaded = len(self.set_ups) > allowed + profile.slack
        return allowed if self.overloaded else None

    def start_session(self, now: float, session: Session) -> None:
        """Adds a session at its rung."""
        self.advance(now)
        self.sessions[session.name] = session
        session.value_at_rung_start = self.cumulative_value[session.rung]
        self.demand += self.profile.ladder[session.rung]
        self.rack.allocate(now)

    def change_rung(self, now: float, session: Session, rung: int) -> None:
        """Moves a session to another rung."""
        self.advance(now)
        session.earned += self.cumulative_value[session.rung] - session.value_at_rung_start
        self.demand += self.profile.ladder[rung] - self.profile.ladder[session.rung]
        session.rung, session.value_at_rung_start = rung, self.cumulative_value[rung]
        self.rack.allocate(now)

    def end_session(self, now: float, session: Session) -> tuple[float, float] | None:
        """Ends a session. Returns its seconds and its earned value, or None if it had ended already."""
        if session.name not in self.sessions:
            return None
        self.advance(now)
        del self.sessions[session.name]
        session.earned += self.cumulative_value[session.rung] - session.value_at_rung_start
        self.demand -= self.profile.ladder[session.rung]
        if not self.sessions:
            self.demand = 0.0  # discards the accumulated rounding error
        self.rack.allocate(now)
        return now - session.began, session.earned

    def advance(self, now: float) -> None:
        """Adds the value earned since the last call, at the share that has applied since then."""
        elapsed, self.accounted_until = now - self.accounted_until, now
        missing = self.profile.stall * max(0.0, 0.98 - (0.0 if self.silenced else self.share))
        if elapsed > 0 and self.sessions:
            for rung, value in enumerate(self.profile.values):
                if value > missing:
                    self.cumulative_value[rung] += elapsed * (value - missing)

    def muted(self, front: str = "") -> bool:
        """Whether no message reaches the controller of that name, or without a name, any controller."""
        if "silent" in self.faults or "hang" in self.faults:
            return True
        cut = self.faults.get("cut")
        return bool(cut and front and any(front.startswith(name) for name in cut["fronts"]))

    def apply_command(self, now: float, command: dict) -> None:
        """Begins or ends a fault, or starts the process anew, cold.

        The caller handles the effects on connections and sessions.
        """
        match command["do"]:
            case "start":
                self.started, self.overloaded = now, False
                self.set_ups.clear()
            case "sag":
                self.link_factor = command["to"]
            case "heal":
                self.faults.clear()
                self.link_factor = 1.0
            case "sound":
                self.faults.pop(command["fault"], None)
            case "die":
                pass
            case fault:
                self.faults[fault] = command
        self.advance(now)
        self.silenced = self.muted()
        self.rack.allocate(now)

    def load_report(self, at: float | None = None) -> LoadReport:
        """The utilization (demand over capacity) of link and uplink, now or at an earlier time."""
        if at is not None:
            for then, ratio, rack, _ in reversed(self.history):
                if then <= at:
                    return LoadReport(ratio, None, rack)
        return LoadReport(self.utilization, None, self.rack.utilization)

    def share_at(self, at: float) -> float:
        """The share of their rate that sessions got at an earlier time."""
        return next((share for then, _, _, share in reversed(self.history) if then <= at), 1.0)


class Rack:
    """The machines behind one uplink."""

    def __init__(self, capacity: float, sharing: str = "equal"):
        self.capacity, self.sharing, self.utilization = capacity, sharing, 0.0
        self.machines: list[Machine] = []

    def allocate(self, now: float) -> None:
        """Computes the share of every machine; all change when the demand of one changes.

        A machine gets the smaller of two shares: that of its own link, and that of the uplink. The uplink's
        share is either the same for its whole demand, or the max-min fair part of what passes the links.
        """
        demand = sum(m.demand for m in self.machines)
        self.utilization = demand / self.capacity
        passed = None
        if self.sharing == "max_min" and demand > self.capacity:
            passed = max_min_rates([min(m.demand, m.link(now)) for m in self.machines], self.capacity)
        for i, m in enumerate(self.machines):
            m.advance(now)
            link = m.link(now)
            m.utilization = m.demand / link
            through = (
                proportional_share(demand, self.capacity)
                if passed is None
                else passed[i] / max(m.demand, 1e-9)
            )
            m.share = min(proportional_share(m.demand, link), through, 1.0)

    def record_history(self, now: float) -> None:
        """Records utilization and shares for reports that are sent with a delay."""
        for m in self.machines:
            m.history.append((now, m.utilization, self.utilization, m.share))
