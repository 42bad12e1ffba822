"""Which connections a controller on the platform keeps: the process's own limits, decided without I/O.

A descriptor held by somebody who says nothing is one that a viewer cannot have. These limits protect the
process, before any viewing exists; what becomes of a viewing is the module's.
"""

from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import NamedTuple

MUTE = 2.0  # seconds in which a new connection must have said something, and a line must have ended
LAG = 0.15  # seconds by which a process may come late to its own times before it turns set-ups away
SPARE = 2  # idle connections to one streamer that are kept
STALE = 1 / 3  # of the time after which its streamer closes an idle one: those beyond that are closed
DOUBT = 1.0  # seconds that a connection to a streamer has to show that it lives
SHUT = 1.0  # seconds until a streamer that refused a connection is dialled again for what it is owed


def evictions(now: float, lines: Iterable, room: bool, idle: float) -> list:
    """The connections to one streamer that are to be closed; `room` tells whether descriptors are left,
    `idle` for how many seconds one may be still before its streamer might close it under a set-up.

    A connection has `attempts`, the set-ups that it carries, `spoke`, when its streamer last said something
    on it, and `doubted`, since when it may be dead, or None.
    """
    free = sorted((line for line in lines if not line.attempts), key=lambda line: line.spoke)
    beyond = free[: max(0, len(free) - SPARE)]
    stale = STALE * idle if room else 0.0
    return [
        line
        for line in free
        if (line.doubted is not None and now - line.doubted > DOUBT)
        or now - line.spoke > (stale if line in beyond else idle)
    ]


class Known(NamedTuple):
    """One connection: when it came and last said something of use, its set-ups that wait for an answer."""

    since: float
    spoke: float | None
    waiting: int


class ConnectionLimiter:
    """All viewers' connections; `most` are kept, and up to `limit` where none of them may be closed."""

    def __init__(self, most: int, limit: int | None = None):
        self.most, self.limit = most, most if limit is None else limit
        self.known: dict[Hashable, Known] = {}
        self.half: dict[Hashable, float] = {}
        self.behind = 0.0

    def record_lag(self, seconds: float) -> None:
        """How late the process came to a thing it had set a time for: the worst counts, and fades."""
        self.behind = max(seconds, 0.7 * self.behind)

    def is_overloaded(self) -> bool:
        """Whether the process is so late that new set-ups would only make those late that it has taken."""
        return self.behind > LAG

    def came(self, now: float, who: Hashable, quiet: Callable[[Hashable], bool]) -> list:
        """One more connection; those to be closed for it: mute ones first, then those longest without use.

        `quiet` tells whether nothing of a connection is still unread, or unsent: a request on its way is not
        cut off, nor an answer. Nor is the newcomer, which may have sent its request already, up to `limit`.
        """
        self.known[who] = Known(now, None, 0)
        over = len(self.known) - self.most
        if over <= 0:
            return []
        idle = [(k.spoke is not None, k.spoke or k.since, i, w)
                for i, (w, k) in enumerate(self.known.items()) if not k.waiting and w is not who]  # fmt: skip
        victims = []
        for *_, victim in sorted(idle):
            if len(victims) == over:
                break
            if quiet(victim):
                victims.append(victim)
        if len(self.known) - len(victims) > self.limit:
            victims.append(who)
        for victim in victims:
            self.went(victim)
        return victims

    def spoke(self, now: float, who: Hashable) -> None:
        """It said something that only a viewer's side says."""
        if known := self.known.get(who):
            self.known[who] = known._replace(spoke=now)

    def of_use(self, who: Hashable) -> bool:
        """Whether it has ever said something that only a viewer's side says."""
        known = self.known.get(who)
        return known is not None and known.spoke is not None

    def took(self, who: Hashable) -> None:
        """A set-up of its waits for an answer."""
        if known := self.known.get(who):
            self.known[who] = known._replace(waiting=known.waiting + 1)

    def settled(self, who: Hashable) -> None:
        """One of its set-ups has its answer."""
        if known := self.known.get(who):
            self.known[who] = known._replace(waiting=max(0, known.waiting - 1))

    def went(self, who: Hashable) -> None:
        self.known.pop(who, None)
        self.half.pop(who, None)

    def overdue(self, now: float, quiet: Callable, begun: Callable) -> Iterator:
        """Those that said nothing for too long since they came, or left a line begun for so long.

        `quiet` as above; `begun` tells whether a connection has begun a line and not ended it.
        """
        for who, known in list(self.known.items()):
            if not begun(who):
                self.half.pop(who, None)
                late = known.spoke is None and now - known.since > MUTE and quiet(who)
            else:
                # Since when, only these looks tell; a whole message since then begins it anew.
                since = self.half.setdefault(who, now)
                if known.spoke is not None and known.spoke > since:
                    since = self.half[who] = now
                late = now - since > MUTE and not known.waiting  # what is owed there goes out first
            if late:
                self.went(who)
                yield who
