"""What a streamer is, apart from its sockets: places, link, warm-up, falling over, what its viewers get.

The stand-in streamers of a rehearsal and those of the model are this same code; only what carries requests
to them differs. Times are the caller's clock in seconds, rates kB a second.
"""

from collections import deque
from typing import NamedTuple

from herongap.fleet.links import max_min_rates, proportional_share
from herongap.interface import LoadReport


class MachineProfile(NamedTuple):
    """What all streamers of a farm have in common.

    `link` is a streamer's, `rack` a rack's uplink; it falls over where in `tip_after` seconds more set-ups
    come than `fall_multiple` times places / warm_up, times the share that it has warmed, and `slack` set-ups
    on top. `sharing` is how an uplink is shared among its streamers, "equal" or "max_min". Under
    `leave_under` of its rate a viewer leaves at a rate of `leave_rate` a second times what is missing to
    that.
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
    """One viewing at a machine. What it has earned is read off the machine's integrals."""

    __slots__ = (
        "name",
        "identity",
        "title",
        "rung",
        "front",
        "began",
        "consent",
        "earned",
        "since",
        "resource",
    )

    def __init__(self, name: str, identity: str, title: str, rung: int, front: str, now: float):
        self.name, self.identity, self.title, self.rung, self.front = name, identity, title, rung, front
        self.began, self.consent = now, None
        self.earned, self.since, self.resource = 0.0, 0.0, None


class Machine:
    """One streamer."""

    def __init__(
        self, kind: MachineProfile, name: str, zone: str, rack: "Rack", started: float | None = None
    ):
        self.kind, self.name, self.zone, self.rack, self.started = kind, name, zone, rack, started
        self.sessions: dict[str, Session] = {}
        self.demand, self.sag, self.mute, self.overloaded = 0.0, 1.0, False, False
        self.faults: dict[str, dict] = {}
        self.share, self.ratio, self.at = 1.0, 0.0, 0.0
        # For each rung, what a viewer there has earned since the start: sessions keep only where they came
        # in.
        self.gains = [0.0] * len(kind.ladder)
        self.set_ups: deque[float] = deque()
        # (time, link ratio, rack ratio, share): what notes tell some time later.
        self.past: deque[tuple[float, float, float, float]] = deque(maxlen=200)
        rack.machines.append(self)

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has warmed to."""
        if self.started is None:
            return 1.0
        k = self.kind
        return min(1.0, k.cold_start + (1 - k.cold_start) * max(0.0, now - self.started) / k.warm_up)

    def link(self, now: float) -> float:
        return max(1.0, self.kind.link * self.sag * self.warmth(now))

    def full(self) -> bool:
        """Whether it turns set-ups away."""
        over = self.kind.full_from and self.ratio >= self.kind.full_from
        return bool(over) or len(self.sessions) >= self.kind.places

    def register_set_up(self, now: float) -> float | None:
        """A set-up arrives; if that pushes it over, how many would have been borne."""
        k = self.kind
        while self.set_ups and self.set_ups[0] <= now - k.tip_after:
            self.set_ups.popleft()
        self.set_ups.append(now)
        if self.overloaded or self.started is None or now - self.started >= k.warm_up:
            return None
        most = max(1.0, k.fall_multiple * k.tip_after * k.places / k.warm_up * self.warmth(now))
        self.overloaded = len(self.set_ups) > most + k.slack
        return most if self.overloaded else None

    def start_session(self, now: float, session: Session) -> None:
        self.advance(now)
        self.sessions[session.name] = session
        session.since = self.gains[session.rung]
        self.demand += self.kind.ladder[session.rung]
        self.rack.allocate(now)

    def change_rung(self, now: float, session: Session, rung: int) -> None:
        """A session goes to another rung."""
        self.advance(now)
        session.earned += self.gains[session.rung] - session.since
        self.demand += self.kind.ladder[rung] - self.kind.ladder[session.rung]
        session.rung, session.since = rung, self.gains[rung]
        self.rack.allocate(now)

    def end_session(self, now: float, session: Session) -> tuple[float, float] | None:
        """A session ends: its seconds, and the value it earned; None if it had ended already."""
        if session.name not in self.sessions:
            return None
        self.advance(now)
        del self.sessions[session.name]
        session.earned += self.gains[session.rung] - session.since
        self.demand -= self.kind.ladder[session.rung]
        if not self.sessions:
            self.demand = 0.0  # sums of floats leave crumbs
        self.rack.allocate(now)
        return now - session.began, session.earned

    def advance(self, now: float) -> None:
        """Add what was earned since the last look, at the share that held since then."""
        passed, self.at = now - self.at, now
        missing = self.kind.stall * max(0.0, 0.98 - (0.0 if self.mute else self.share))
        if passed > 0 and self.sessions:
            for rung, value in enumerate(self.kind.values):
                if value > missing:
                    self.gains[rung] += passed * (value - missing)

    def muted(self, front: str = "") -> bool:
        """Whether nothing from here reaches the front of that name (no front at all, without one)."""
        if "silent" in self.faults or "hang" in self.faults:
            return True
        cut = self.faults.get("cut")
        return bool(cut and front and any(front.startswith(name) for name in cut["fronts"]))

    def apply_command(self, now: float, order: dict) -> None:
        """A fault begins or ends, or its process starts anew, cold; what else that means is the caller's."""
        match order["do"]:
            case "start":
                self.started, self.overloaded = now, False
                self.set_ups.clear()
            case "sag":
                self.sag = order["to"]
            case "heal":
                self.faults.clear()
                self.sag = 1.0
            case "sound":
                self.faults.pop(order["fault"], None)
            case "die":
                pass
            case fault:
                self.faults[fault] = order
        self.advance(now)
        self.mute = self.muted()
        self.rack.allocate(now)

    def load_report(self, at: float | None = None) -> LoadReport:
        """Asked over given of link and uplink, now or as it was at a time before."""
        if at is not None:
            for then, ratio, rack, _ in reversed(self.past):
                if then <= at:
                    return LoadReport(ratio, None, rack)
        return LoadReport(self.ratio, None, self.rack.ratio)

    def share_at(self, at: float) -> float:
        """The share that was delivered at a time before."""
        return next((share for then, _, _, share in reversed(self.past) if then <= at), 1.0)


class Rack:
    """Machines behind one uplink."""

    def __init__(self, size: float, sharing: str = "equal"):
        self.size, self.sharing, self.ratio = size, sharing, 0.0
        self.machines: list[Machine] = []

    def allocate(self, now: float) -> None:
        """Give every machine its share; those of all change where one asks for more or less.

        The smaller of two shares holds: that of the machine's own link, and that of the uplink, either equal
        for all that is asked of it or what max-min fairness leaves of what passes the links.
        """
        asked = sum(m.demand for m in self.machines)
        self.ratio = asked / self.size
        passed = None
        if self.sharing == "max_min" and asked > self.size:
            passed = max_min_rates([min(m.demand, m.link(now)) for m in self.machines], self.size)
        for i, m in enumerate(self.machines):
            m.advance(now)
            link = m.link(now)
            m.ratio = m.demand / link
            through = (
                proportional_share(asked, self.size) if passed is None else passed[i] / max(m.demand, 1e-9)
            )
            m.share = min(proportional_share(m.demand, link), through, 1.0)

    def record_history(self, now: float) -> None:
        """Keep what holds now for the notes that will tell it later."""
        for m in self.machines:
            m.past.append((now, m.ratio, self.ratio, m.share))
