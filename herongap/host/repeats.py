"""Whether a request that looks like an earlier one is the same viewing, and what it gets.

A viewer that repeats its POST after a time-out must not be set up twice. The sameness is told by an
`Idempotency-Key` (draft-ietf-httpapi-idempotency-key-header) where one is sent, else by the offer's own
identity, of which `herongap.sdp` says what it is made.
"""

from collections import OrderedDict
from enum import Enum

Id = int | str


class RepeatMatch(Enum):
    """What a request is, beside the viewings already known."""

    NEW = 1  # no viewing, or one that was turned away: its viewer comes again
    JOIN = 2  # its viewing is being set up, or plays: it gets that viewing's one answer
    ENDED = 3  # its viewing played and has ended: a copy that was late on its way starts nothing
    CONFLICT = 4  # the key was used for another offer


class RepeatDetector:
    """The identities of viewings that are held, and for `remember` seconds of those that played and ended."""

    def __init__(self, remember: float, most: int):
        self.remember, self.most = remember, most
        self.held: dict[tuple, tuple[Id, str]] = {}
        self.keys: dict[Id, tuple] = {}
        self.ended: OrderedDict[tuple, float] = OrderedDict()

    def match(self, now: float, key: tuple, offer: str) -> tuple[RepeatMatch, Id | None]:
        """What a request with this key and this offer is, and the viewing it belongs to."""
        while self.ended and (len(self.ended) > self.most or next(iter(self.ended.values())) <= now):
            self.ended.popitem(last=False)
        if held := self.held.get(key):
            viewing, first = held
            return (RepeatMatch.JOIN, viewing) if first == offer else (RepeatMatch.CONFLICT, None)
        return (RepeatMatch.ENDED, None) if key in self.ended else (RepeatMatch.NEW, None)

    def add(self, key: tuple, offer: str, viewing: Id) -> None:
        """A viewing was taken for this key."""
        self.held[key] = viewing, offer
        self.keys[viewing] = key

    def remove(self, now: float, viewing: Id, played: bool) -> None:
        """A viewing is over. One that never played frees its key at once: a blocked viewer may come again."""
        if (key := self.keys.pop(viewing, None)) is None:
            return
        del self.held[key]
        if played:
            self.ended[key] = now + self.remember
            self.ended.move_to_end(key)
