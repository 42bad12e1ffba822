"""What stand-in streamers and clients saw on their sockets, by viewing. The rules read nothing else."""

from collections import defaultdict
from typing import NamedTuple

from herongap.fleet.figures import Outcome

# Two sockets of one exchange are read by different processes; what one does before another may be seen after
# it.
CLOCK_SLACK_SECONDS = 0.05


class Violation(NamedTuple):
    """A broken rule: its number, when (seconds into the day), what, and the lines that show it."""

    rule: int
    at: float
    what: str
    evidence: list


class ObservedRequest(NamedTuple):
    """One POST of a client and what came of it."""

    name: str
    identity: str
    asked: float
    answered: float
    status: int
    kind: str
    front: int
    location: str


class ObservedTuneIn(NamedTuple):
    """One tune-in as a streamer saw it: from its POST until it was answered or its caller hung up."""

    streamer: str
    begin: float
    end: float
    how: str
    status: int
    front: str
    rung: int
    title: str
    cold: bool


class ObservedSession(NamedTuple):
    """One session as a streamer held it."""

    streamer: str
    begin: float
    end: float
    front: str
    title: str
    out: ObservedTuneIn
    told: bool
    let_go: float


class ObservedRun:
    """The logs of a rehearsal, put together by the identities of offers."""

    def __init__(self, outcome: Outcome):
        self.outcome, self.day, self.began = outcome, outcome.day, outcome.began
        self.package: dict[str, str] = {}
        self.posts: list[ObservedRequest] = []
        self.outs: dict[str, list[ObservedTuneIn]] = defaultdict(list)
        self.sessions: dict[str, list[ObservedSession]] = defaultdict(list)
        self.rungs: dict[str, list[tuple[float, str, int]]] = defaultdict(list)
        self.fell: list[tuple[float, str, dict]] = []
        self.gone: list[tuple[float, set[str]]] = []
        self.listed_by = "file"
        # What an etcd has: (time, streamer, no new work to it), and whom it told so: (time, front, ...).
        self.drained: list[tuple[float, str, bool]] = []
        self.told: list[tuple[float, str, str, bool]] = []
        self.fronts: dict[int, int] = {}
        self.killed: dict[int, float] = {}
        self.left: dict[int, float] = {}
        # By a controller's number: when it was stopped, and when it went on; clocks made to run fast.
        self.paused: dict[int, list[list[float]]] = defaultdict(list)
        self.fast: dict[int, float] = defaultdict(lambda: 1.0)
        # What the store had: (time, budget or number, value, None where it went).
        self.budgets: list[tuple[float, str, str | None]] = []
        self.claims: list[tuple[float, str, str | None]] = []
        self.muted: dict[str, list[float]] = defaultdict(list)
        self.let_go: dict[tuple[str, str], float] = {}
        self.lines: dict[str, list] = defaultdict(list)
        self.stopping = float("inf")
        self._read(outcome.lines)

    def _read(self, lines) -> None:
        wants: dict[str, str] = {}
        open_outs: dict[tuple[str, str], list] = defaultdict(list)
        open_sessions: dict[tuple[str, str], tuple] = {}
        untold: set[tuple[str, str]] = set()
        for at, who, what, d in lines:
            identity = d.get("identity")
            if identity:
                self.lines[identity].append((round(at - self.began, 4), who, what, d))
            if who == "stage":
                self._stage(at, what, d)
            elif who == "etcd" and what == "drain":
                self.drained.append((at, d["streamer"], d["drained"]))
            elif who == "etcd" and what == "budgets":
                self.budgets.append((at, d["name"], d["value"]))
            elif who == "etcd" and what == "controllers":
                self.claims.append((at, d["name"], d["value"]))
            elif who == "etcd" and what == "told":
                self.told.append((at, d["front"], d["streamer"], d["drained"]))
            elif what == "wants":
                wants[who] = d["package"]
            elif what == "asked":
                self.package[identity] = wants[who]
            elif what == "answered":
                self.posts.append(
                    ObservedRequest(
                        who, identity, d["asked"], at, d["status"], d["kind"], d["front"], d["location"]
                    )
                )
            elif what == "post":
                open_outs[who, identity].append((at, d))
            elif what in ("started", "refused", "hung-up"):
                out = self._out(open_outs, who, identity, at, what, d.get("status", 0))
                if what == "started":
                    self.rungs[identity].append((at, who, d["rung"]))
                    open_sessions[who, d["session"]] = (at, d, out)
            elif what == "let-go":
                self.let_go.setdefault((who, d["session"]), at)
            elif what == "unanswered":
                untold.add((who, d["session"]))
            elif what == "ended":
                begin, started, out = open_sessions.pop((who, d["session"]))
                self._session(identity, who, begin, at, started, out, (who, d["session"]) not in untold)
            elif what == "rung":
                self.rungs[identity].append((at, who, d["rung"]))
            elif what == "fell":
                self.fell.append((at, who, d))
            elif what == "order" and d["do"] in ("silent", "hang", "cut"):
                self.muted[who].append(at)
        for (who, identity), left in list(open_outs.items()):
            while left:
                self._out(open_outs, who, identity, float("inf"), "nothing", 0)
        for (who, name), (begin, started, out) in open_sessions.items():
            told = (who, name) not in untold
            self._session(started["identity"], who, begin, float("inf"), started, out, told)

    def _stage(self, at: float, what: str, d: dict) -> None:
        if what == "front":
            self.fronts[d["address"][1]] = d["number"]
        elif what in ("killed", "left"):
            port = max((p for p, n in self.fronts.items() if n == d["front"]), key=list(self.fronts).index)
            (self.killed if what == "killed" else self.left)[port] = at
            self._goes_on(d["front"], at)
        elif what == "paused":
            self.paused[d["front"]].append([at, float("inf")])
        elif what == "went on":
            self._goes_on(d["front"], at)
        elif what == "controllers" and d["do"] == "clock":
            for number in d["on"]:
                self.fast[number] = max(self.fast[number], d.get("rate", 1.0))
        elif what == "listed":
            self.gone.append((at, set(d["gone"])))
            self.listed_by = d.get("by", "file")
        elif what == "stopping":
            self.stopping = at

    def _goes_on(self, number: int, at: float) -> None:
        if self.paused[number] and self.paused[number][-1][1] == float("inf"):
            self.paused[number][-1][1] = at

    def stopped(self, number: int, since: float, until: float) -> float:
        """For how many seconds of a time a controller's process was stopped by the stage."""
        return sum(max(0.0, min(until, b) - max(since, a)) for a, b in self.paused.get(number, ()))

    def _out(self, open_outs, who, identity, at, how, status) -> ObservedTuneIn | None:
        if not open_outs[who, identity]:
            return None
        begin, d = open_outs[who, identity].pop(0)
        out = ObservedTuneIn(
            who, begin, at, how, status, d["front"], d["rung"], d["title"], d.get("cold", False)
        )
        self.outs[identity].append(out)
        return out

    def _session(self, identity, who, begin, end, started, out, told) -> None:
        let_go = self.let_go.get((who, started["session"]), float("inf"))
        held = ObservedSession(who, begin, end, started["front"], started["title"], out, told, let_go)
        self.sessions[identity].append(held)

    def broken(self, rule: int, at: float, what: str, identity: str | None = None) -> Violation:
        return Violation(rule, round(at - self.began, 3), what, self.lines.get(identity, []))
