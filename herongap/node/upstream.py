"""One streamer as its sockets show it: its connections, the set-ups on them, what it is still to be told."""

from collections.abc import Callable
from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM

from gevent import socket
from gevent.event import Event

from herongap.host.liveness import StreamerLiveness
from herongap.interface import EndReason, LoadReport, ViewingRequest
from herongap.limiter import SHUT, evictions
from herongap.node.connection import Connection

Address = tuple[str, int]
OURS = {EMFILE, ENFILE, ENOBUFS, ENOMEM}  # what keeps a connection from coming up here, not at its streamer


def dial(address: Address, time_out: float) -> socket.socket:
    """A connection that has come up within `time_out` seconds; raises OSError."""
    # Not `create_connection`, which has a thread look every address up, numbers too.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(time_out)
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    sock.settimeout(None)
    return sock


def unreached(fault: OSError) -> tuple[EndReason, LoadReport | None]:
    """How a tune-in ends whose connection did not come up: of our own shortage its streamer knows nothing."""
    return (EndReason.FULL, LoadReport()) if fault.errno in OURS else (EndReason.UNREACHED, None)


class Attempt:
    """A tune-in that is out: on its line, as the message `sent`, or waiting for one."""

    __slots__ = ("ask", "number", "rung", "until", "line", "sent")

    def __init__(self, ask: ViewingRequest, number: int, rung: int, until: float):
        self.ask, self.number, self.rung, self.until, self.line = ask, number, rung, until, None
        self.sent = b""


class Line(Connection):
    """A connection to a streamer, with the set-ups that it carries.

    `doubted` is since when it may be dead, as a set-up on it had no answer; None once it has spoken again.
    """

    def __init__(self, sock, upstream: "Upstream", heard: Callable, lost: Callable, now: float):
        self.upstream, self.attempts, self.spoke, self.doubted = upstream, {}, now, None
        super().__init__(sock, upstream.name, heard, lost)


class Upstream:
    """One streamer as its sockets show it."""

    def __init__(self, name: str, address: Address, liveness: StreamerLiveness):
        self.name, self.address, self.liveness = name, address, liveness
        self.lines: set[Line] = set()
        # For the next that opens: a message, until when, and the viewing that it releases, or "". Of those
        # that went out, by what they release: on which connection, unless it was answered.
        self.owed: list[tuple[bytes, float, str]] = []
        self.unheard: dict[str, tuple[Line, bytes, float]] = {}
        self.connecting, self.settled = 0, Event()  # set whenever one of those that come up did, or did not
        self.told_silent = self.gone = False
        # Whether its last connection was reset, as those of a dying process are; until when it is not dialled
        # for what it is owed.
        self.reset, self.shut = False, 0.0

    def settle(self, seconds: float) -> None:
        """Wait until one of those that are coming up did, or did not, for so long at most."""
        self.settled.clear()
        self.settled.wait(max(0.0, seconds))

    def say(self, line: Line | None, message: bytes, until: float, release: str = "") -> None:
        """Tell on `line`, or else on the next that opens until `until`. What releases the viewing `release`
        is told again where its connection breaks before its streamer has answered it.
        """
        if line is None or not line.send(message):
            self.owed.append((message, until, release))
        elif release:
            self.unheard[release] = line, message, until

    def pay(self, line: Line, now: float) -> None:
        """Tell on a connection that has just come up what is owed."""
        if self.owes(now):
            owed, self.owed = self.owed, []
            for entry in owed:
                self.say(line, *entry)

    def owes(self, now: float) -> bool:
        """Whether something is still worth telling."""
        self.owed = [entry for entry in self.owed if entry[1] > now]
        self.unheard = {ref: entry for ref, entry in self.unheard.items() if entry[-1] > now}
        return bool(self.owed)

    def unsettled(self, now: float) -> bool:
        """Whether something is still to be told, or has not left whole."""
        return not self.gone and (self.owes(now) or any(line.behind for line in self.lines))

    def lost(self, line: Line) -> None:
        """A connection has ended: what it may have taken along is owed again."""
        self.lines.discard(line)
        self.reset = line.broken and bool(line.cause)
        for ref, (at, message, until) in list(self.unheard.items()):
            if at is line and (line.broken or line.unsent(message)):
                del self.unheard[ref]
                self.owed.append((message, until, ref))

    def ends(self, gone: bool) -> None:
        """Nothing plays there for us any more: its process is `gone`, with all that it was owed; or it is
        only silent, and is told again what it has not answered, should it live.
        """
        if gone:
            self.owed = []
        else:
            self.owed += [(message, until, ref) for ref, (_, message, until) in self.unheard.items()]
        self.unheard = {}

    def refused(self, now: float) -> bool:
        """It refused a connection; whether its process is gone."""
        self.shut = now + SHUT
        return self.liveness.is_gone_after_refusal(self.reset, any(line.stands() for line in self.lines))

    def evict(self, now: float, room: bool, idle: float) -> None:
        """Let go of connections that are not needed, or may be dead."""
        for line in evictions(now, self.lines, room, idle):
            # Not closed at once: a release on its way here would be lost with it, and is never sent again
            # unless another connection opens.
            if line.half_closed:
                line.close("its streamer does not let go")
            else:
                line.doubted = now
                line.half_close()

    def sound(self, free: bool, now: float, idle: float) -> Line | None:
        """The connection that spoke last of those that stand as far as can be told: not doubted, with nothing
        that its streamer has left unread, still for under `idle` seconds; `free` of set-ups where wanted.
        """
        for line in sorted(self.lines, key=lambda line: -line.spoke):
            busy = line.half_closed or line.behind or (free and line.attempts)
            if not busy and now - line.spoke < idle and line.doubted is None:
                if line.stands():
                    return line
                line.doubted = now
        return None
