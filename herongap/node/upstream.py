"""One streamer as its sockets show it: its connections, the set-ups on them, what it is still to be told."""

from collections.abc import Callable
from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM

from gevent import socket
from gevent.event import Event

from herongap.host.pulse import Pulse
from herongap.interface import Asked, Ending, Load
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


def unreached(fault: OSError) -> tuple[Ending, Load | None]:
    """How a tune-in ends whose connection did not come up: of our own shortage its streamer knows nothing."""
    return (Ending.FULL, Load()) if fault.errno in OURS else (Ending.UNREACHED, None)


class Attempt:
    """A tune-in that is out: on its line, as the message `sent`, or waiting for one."""

    __slots__ = ("ask", "number", "rung", "until", "line", "sent")

    def __init__(self, ask: Asked, number: int, rung: int, until: float):
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

    def __init__(self, name: str, address: Address, pulse: Pulse):
        self.name, self.address, self.pulse = name, address, pulse
        self.lines: set[Line] = set()
        self.owed: list[tuple[bytes, float]] = []  # messages for the next that opens, and until when
        self.connecting, self.settled = 0, Event()  # set whenever one of those that come up did, or did not
        self.told_silent = self.gone = False

    def settle(self, seconds: float) -> None:
        """Wait until one of those that are coming up did, or did not, for so long at most."""
        self.settled.clear()
        self.settled.wait(max(0.0, seconds))

    def pay(self, line: Line, now: float) -> None:
        """Tell on a connection that has just come up what is owed."""
        if self.owes(now):
            self.owed = [(message, until) for message, until in self.owed if not line.send(message)]

    def owes(self, now: float) -> bool:
        """Whether something is still worth telling."""
        self.owed = [(message, until) for message, until in self.owed if until > now]
        return bool(self.owed)

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
