"""What stand-in streamers and clients observed on their sockets, by viewing; the only input of the rules."""

from collections import defaultdict
from typing import NamedTuple

from herongap.fleet.figures import Outcome

# The two ends of an exchange are read by different processes, so the log entry of an earlier event may carry
# the later time.
CLOCK_SLACK_SECONDS = 0.05


class Violation(NamedTuple):
    """A violation of a rule: its number, seconds since the start of the day, message, and log entries."""

    rule: int
    at: float
    what: str
    evidence: list


class ObservedRequest(NamedTuple):
    """One POST of a client and its answer."""

    name: str
    identity: str
    requested_at: float
    answered_at: float
    status: int
    kind: str
    controller_port: int
    location: str


class ObservedTuneIn(NamedTuple):
    """One tune-in as a streamer saw it: from its POST until it was answered or cancelled by its caller."""

    streamer: str
    begin: float
    end: float
    outcome: str
    status: int
    controller: str
    rung: int
    title: str
    cold: bool


class ObservedSession(NamedTuple):
    """One session as a streamer had it. `reported` is whether its controller got the answer."""

    streamer: str
    begin: float
    end: float
    controller: str
    title: str
    tune_in: ObservedTuneIn
    reported: bool
    released_at: float


class ObservedRun:
    """The logs of a rehearsal, grouped by the identities of offers."""

    def __init__(self, outcome: Outcome):
        self.outcome, self.day, self.began = outcome, outcome.day, outcome.began
        self.package_of: dict[str, str] = {}
        self.requests: list[ObservedRequest] = []
        self.tune_ins: dict[str, list[ObservedTuneIn]] = defaultdict(list)
        self.sessions: dict[str, list[ObservedSession]] = defaultdict(list)
        self.rungs: dict[str, list[tuple[float, str, int]]] = defaultdict(list)
        self.overloads: list[tuple[float, str, dict]] = []
        self.unavailable: list[tuple[float, set[str]]] = []
        self.listed_by = "file"
        # The drains in etcd: (time, streamer, drained); and their notifications: (time, controller, streamer,
        # drained).
        self.drained: list[tuple[float, str, bool]] = []
        self.drain_notifications: list[tuple[float, str, str, bool]] = []
        # Controller number by the port of its process.
        self.controllers: dict[int, int] = {}
        self.killed_at: dict[int, float] = {}
        self.left_at: dict[int, float] = {}
        # By controller number: when it was paused and resumed, and the highest rate of its clock.
        self.pauses: dict[int, list[list[float]]] = defaultdict(list)
        self.clock_rates: dict[int, float] = defaultdict(lambda: 1.0)
        # Values in the store: (time, budget or controller number, value; None when the key was deleted).
        self.budgets: list[tuple[float, str, str | None]] = []
        self.claims: list[tuple[float, str, str | None]] = []
        self.silenced_at: dict[str, list[float]] = defaultdict(list)
        self.released_at: dict[tuple[str, str], float] = {}
        self.entries: dict[str, list] = defaultdict(list)
        self.stopping_at = float("inf")
        self._read_log(outcome.lines)

    def _read_log(self, entries) -> None:
        wants: dict[str, str] = {}
        open_tune_ins: dict[tuple[str, str], list] = defaultdict(list)
        open_sessions: dict[tuple[str, str], tuple] = {}
        unreported: set[tuple[str, str]] = set()
        for at, source, event, details in entries:
            identity = details.get("identity")
            if identity:
                self.entries[identity].append((round(at - self.began, 4), source, event, details))
            if source == "stage":
                self._read_stage_event(at, event, details)
            elif source == "etcd" and event == "drain":
                self.drained.append((at, details["streamer"], details["drained"]))
            elif source == "etcd" and event == "budgets":
                self.budgets.append((at, details["name"], details["value"]))
            elif source == "etcd" and event == "controllers":
                self.claims.append((at, details["name"], details["value"]))
            elif source == "etcd" and event == "told":
                self.drain_notifications.append(
                    (at, details["front"], details["streamer"], details["drained"])
                )
            elif event == "wants":
                wants[source] = details["package"]
            elif event == "asked":
                self.package_of[identity] = wants[source]
            elif event == "answered":
                self.requests.append(
                    ObservedRequest(
                        source,
                        identity,
                        details["asked"],
                        at,
                        details["status"],
                        details["kind"],
                        details["front"],
                        details["location"],
                    )
                )
            elif event == "post":
                open_tune_ins[source, identity].append((at, details))
            elif event in ("started", "refused", "hung-up"):
                tune_in = self._close_tune_in(
                    open_tune_ins, source, identity, at, event, details.get("status", 0)
                )
                if event == "started":
                    self.rungs[identity].append((at, source, details["rung"]))
                    open_sessions[source, details["session"]] = (at, details, tune_in)
            elif event == "let-go":
                self.released_at.setdefault((source, details["session"]), at)
            elif event == "unanswered":
                unreported.add((source, details["session"]))
            elif event == "ended":
                begin, started, tune_in = open_sessions.pop((source, details["session"]))
                self._add_session(
                    identity,
                    source,
                    begin,
                    at,
                    started,
                    tune_in,
                    (source, details["session"]) not in unreported,
                )
            elif event == "rung":
                self.rungs[identity].append((at, source, details["rung"]))
            elif event == "fell":
                self.overloads.append((at, source, details))
            elif event == "order" and details["do"] in ("silent", "hang", "cut"):
                self.silenced_at[source].append(at)
        for (source, identity), remaining in list(open_tune_ins.items()):
            while remaining:
                self._close_tune_in(open_tune_ins, source, identity, float("inf"), "nothing", 0)
        for (source, name), (begin, started, tune_in) in open_sessions.items():
            reported = (source, name) not in unreported
            self._add_session(started["identity"], source, begin, float("inf"), started, tune_in, reported)

    def _read_stage_event(self, at: float, event: str, details: dict) -> None:
        if event == "front":
            self.controllers[details["address"][1]] = details["number"]
        elif event in ("killed", "left"):
            port = max(
                (p for p, n in self.controllers.items() if n == details["front"]),
                key=list(self.controllers).index,
            )
            (self.killed_at if event == "killed" else self.left_at)[port] = at
            self._resume(details["front"], at)
        elif event == "paused":
            self.pauses[details["front"]].append([at, float("inf")])
        elif event == "went on":
            self._resume(details["front"], at)
        elif event == "controllers" and details["do"] == "clock":
            for number in details["on"]:
                self.clock_rates[number] = max(self.clock_rates[number], details.get("rate", 1.0))
        elif event == "listed":
            self.unavailable.append((at, set(details["gone"])))
            self.listed_by = details.get("by", "file")
        elif event == "stopping":
            self.stopping_at = at

    def _resume(self, number: int, at: float) -> None:
        if self.pauses[number] and self.pauses[number][-1][1] == float("inf"):
            self.pauses[number][-1][1] = at

    def paused_seconds(self, number: int, since: float, until: float) -> float:
        """For how many seconds of a period the controller's process was paused."""
        return sum(max(0.0, min(until, b) - max(since, a)) for a, b in self.pauses.get(number, ()))

    def _close_tune_in(self, open_tune_ins, source, identity, at, outcome, status) -> ObservedTuneIn | None:
        if not open_tune_ins[source, identity]:
            return None
        begin, details = open_tune_ins[source, identity].pop(0)
        tune_in = ObservedTuneIn(
            source,
            begin,
            at,
            outcome,
            status,
            details["front"],
            details["rung"],
            details["title"],
            details.get("cold", False),
        )
        self.tune_ins[identity].append(tune_in)
        return tune_in

    def _add_session(self, identity, source, begin, end, started, tune_in, reported) -> None:
        released_at = self.released_at.get((source, started["session"]), float("inf"))
        session = ObservedSession(
            source, begin, end, started["front"], started["title"], tune_in, reported, released_at
        )
        self.sessions[identity].append(session)

    def violation(self, rule: int, at: float, what: str, identity: str | None = None) -> Violation:
        """A violation with all log entries of that identity as evidence."""
        return Violation(rule, round(at - self.began, 3), what, self.entries.get(identity, []))
