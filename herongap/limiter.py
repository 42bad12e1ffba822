"""Decides which connections a controller on the platform keeps, without I/O.

A descriptor held by a peer that sends nothing is one that a viewer cannot have. These limits protect the
process and apply before a viewing exists; the deciding module decides what becomes of a viewing.
"""

from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import NamedTuple

# A new connection must have sent a message within this time, and a line that has begun must have ended.
MESSAGE_TIMEOUT_SECONDS = 2.0
MAX_LAG_SECONDS = 0.15  # a process that runs later than this rejects set-ups
MAX_SPARE_CONNECTIONS = 2  # idle connections to one streamer that are kept
# Spare connections beyond those are closed when idle for this share of their streamer's idle time-out.
STALE_IDLE_SHARE = 1 / 3
# A suspected connection to a streamer is closed unless something arrives on it within this time.
SUSPECT_TIMEOUT_SECONDS = 1.0
# A streamer that refused a connection is not dialled again for pending messages within this time.
REDIAL_DELAY_SECONDS = 1.0


def connections_to_close(now: float, connections: Iterable, room: bool, idle_limit: float) -> list:
    """Return the connections to one streamer that are to be closed.

    `room` tells whether descriptors are left. `idle_limit` is how many seconds a connection may be idle
    before its streamer might close it while a set-up is on its way.

    A connection has `attempts`, the set-ups in flight on it, `last_received`, when its streamer last sent
    something on it, and `suspected_at`, since when it may be dead, or None.
    """
    free = sorted(
        (connection for connection in connections if not connection.attempts),
        key=lambda connection: connection.last_received,
    )
    surplus = free[: max(0, len(free) - MAX_SPARE_CONNECTIONS)]
    surplus_limit = STALE_IDLE_SHARE * idle_limit if room else 0.0
    return [
        connection
        for connection in free
        if (connection.suspected_at is not None and now - connection.suspected_at > SUSPECT_TIMEOUT_SECONDS)
        or now - connection.last_received > (surplus_limit if connection in surplus else idle_limit)
    ]


class ClientRecord(NamedTuple):
    """One connection: when it was opened, when it last sent a valid message, and its unanswered set-ups."""

    opened_at: float
    last_message: float | None
    unanswered: int


class ConnectionLimiter:
    """All connections of viewers.

    `max_connections` are kept, and up to `hard_limit` where none of them may be closed.
    """

    def __init__(self, max_connections: int, hard_limit: int | None = None):
        self.max_connections = max_connections
        self.hard_limit = max_connections if hard_limit is None else hard_limit
        self.clients: dict[Hashable, ClientRecord] = {}
        self.partial_since: dict[Hashable, float] = {}
        self.lag = 0.0

    def record_lag(self, seconds: float) -> None:
        """Record how late the process ran a timer: the worst value counts, and decays."""
        self.lag = max(seconds, 0.7 * self.lag)

    def is_overloaded(self) -> bool:
        """Whether the process is so late that new set-ups would only delay those that it has accepted."""
        return self.lag > MAX_LAG_SECONDS

    def add(
        self,
        now: float,
        client: Hashable,
        is_quiet: Callable[[Hashable], bool],
        is_flooding: Callable[[Hashable], bool] = lambda client: False,
    ) -> list:
        """Add a connection; return those to close for it: silent ones first, then the least recently used.

        `is_quiet` tells whether a connection has nothing unread and nothing unsent: neither a request nor an
        answer on its way is cut off. Up to `hard_limit` the new connection is kept too, as it may have sent
        its request already; beyond it the oldest one that `is_flooding`, which is never quiet, is closed
        rather than the new one.
        """
        self.clients[client] = ClientRecord(now, None, 0)
        excess = len(self.clients) - self.max_connections
        if excess <= 0:
            return []
        idle = [(record.last_message is not None, record.last_message or record.opened_at, index, other)
                for index, (other, record) in enumerate(self.clients.items())
                if not record.unanswered and other is not client]  # fmt: skip
        victims = []
        for *_, victim in sorted(idle):
            if len(victims) == excess:
                break
            if is_quiet(victim):
                victims.append(victim)
        if len(self.clients) - len(victims) > self.hard_limit:
            others = [other for *_, other in sorted(idle, key=lambda entry: entry[2])]
            floods = (other for other in others if other not in victims and is_flooding(other))
            victims.append(next(floods, client))
        for victim in victims:
            self.remove(victim)
        return victims

    def message_received(self, now: float, client: Hashable) -> None:
        """Record a valid message of a client."""
        if record := self.clients.get(client):
            self.clients[client] = record._replace(last_message=now)

    def has_sent_message(self, client: Hashable) -> bool:
        """Whether the client has ever sent a valid message."""
        record = self.clients.get(client)
        return record is not None and record.last_message is not None

    def set_up_accepted(self, client: Hashable) -> None:
        """Record a set-up of the client that waits for an answer."""
        if record := self.clients.get(client):
            self.clients[client] = record._replace(unanswered=record.unanswered + 1)

    def set_up_answered(self, client: Hashable) -> None:
        """Record that one of the client's set-ups has its answer."""
        if record := self.clients.get(client):
            self.clients[client] = record._replace(unanswered=max(0, record.unanswered - 1))

    def remove(self, client: Hashable) -> None:
        """Forget a connection that has ended."""
        self.clients.pop(client, None)
        self.partial_since.pop(client, None)

    def pop_overdue(self, now: float, is_quiet: Callable, has_partial_line: Callable) -> Iterator:
        """Remove and yield the connections that sent no message in time, or did not end a line in time.

        `is_quiet` is as in `add`; `has_partial_line` tells whether a connection has begun a line and not
        ended it.
        """
        for client, record in list(self.clients.items()):
            if not has_partial_line(client):
                self.partial_since.pop(client, None)
                overdue = (
                    record.last_message is None
                    and now - record.opened_at > MESSAGE_TIMEOUT_SECONDS
                    and is_quiet(client)
                )
            else:
                # Only these checks see since when a line is partial; a complete message starts the time anew.
                since = self.partial_since.setdefault(client, now)
                if record.last_message is not None and record.last_message > since:
                    since = self.partial_since[client] = now
                # Answers that are still due there are sent first.
                overdue = now - since > MESSAGE_TIMEOUT_SECONDS and not record.unanswered
            if overdue:
                self.remove(client)
                yield client
