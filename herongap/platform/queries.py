"""Decides, without I/O, whether an answer of the resolver belongs to a query of this controller.

A query is repeated when its answer takes long, but stays open: an answer says what the list was when it was
sent, however long that took, and a resolver may need longer for each answer than queries are apart.
"""

from zlib import crc32

OPEN_SECONDS = 10.0  # a query that has no answer after this time gets none


class OpenQueries:
    """The queries that have no answer yet, by id, and when each was sent."""

    def __init__(self, seed: int):
        self._seed, self._count = seed, 0
        self._sent_at: dict[int, float] = {}

    def open(self, now: float) -> int:
        """Open a query; return its id (0 to 65535).

        The ids are hard to predict, so that no other sender's packet passes for the answer.
        """
        self._count += 1
        query_id = crc32(b"%d:%d" % (self._seed, self._count)) & 0xFFFF
        self._sent_at = {other: at for other, at in self._sent_at.items() if now - at <= OPEN_SECONDS}
        self._sent_at[query_id] = now
        return query_id

    def age(self, query_id: int, now: float) -> float | None:
        """Return how many seconds ago the open query of that id was sent, None if there is none."""
        sent_at = self._sent_at.get(query_id)
        return None if sent_at is None or now - sent_at > OPEN_SECONDS else now - sent_at

    def close(self, query_id: int) -> None:
        """Close a query, as it has its answer."""
        self._sent_at.pop(query_id, None)

    def close_all(self) -> None:
        """Close all queries, as another resolver is queried from now on."""
        self._sent_at.clear()
