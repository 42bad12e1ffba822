"""Detects repeated requests: whether a request is for a viewing that exists already, and what it gets.

A viewer that repeats its POST after a time-out must not be set up twice. Requests are matched by an
`Idempotency-Key` (draft-ietf-httpapi-idempotency-key-header) if one is sent, otherwise by the identity of the
offer, which `herongap.sdp` defines.
"""

from collections import OrderedDict
from enum import Enum

Id = int | str


class RepeatMatch(Enum):
    """How a request relates to the known viewings."""

    NEW = 1  # no viewing, or one that was rejected and whose viewer retries
    JOIN = 2  # its viewing is being set up or plays: it gets the one answer of that viewing
    ENDED = 3  # its viewing played and has ended: a delayed copy of the request starts nothing
    CONFLICT = 4  # the key was used for another offer


class RepeatDetector:
    """The identities of held viewings, and for `remember` seconds those of viewings that played and ended.

    At most `most` ended viewings are remembered.
    """

    def __init__(self, remember: float, most: int):
        self.remember, self.most = remember, most
        self.held: dict[tuple, tuple[Id, str]] = {}
        self.keys: dict[Id, tuple] = {}
        # Held viewings that must never be set up twice.
        self.harmful: set[Id] = set()
        self.ended: OrderedDict[tuple, float] = OrderedDict()

    def match(self, now: float, key: tuple, offer: str) -> tuple[RepeatMatch, Id | None]:
        """How a request with this key and offer relates to the known viewings, and the viewing it joins."""
        while self.ended and (len(self.ended) > self.most or next(iter(self.ended.values())) <= now):
            self.ended.popitem(last=False)
        if held := self.held.get(key):
            viewing, first_offer = held
            return (RepeatMatch.JOIN, viewing) if first_offer == offer else (RepeatMatch.CONFLICT, None)
        return (RepeatMatch.ENDED, None) if key in self.ended else (RepeatMatch.NEW, None)

    def add(self, key: tuple, offer: str, viewing: Id, harmful: bool = False) -> None:
        """Notes the viewing that was taken on for a key; `harmful` if it must never be set up twice."""
        self.held[key] = viewing, offer
        self.keys[viewing] = key
        if harmful:
            self.harmful.add(viewing)

    def remove(self, now: float, viewing: Id, played: bool, may_have_run: bool = False) -> None:
        """Notes the end of a viewing. If it never played its key is free at once, as its viewer may retry.

        Not so if it must not be set up twice and `may_have_run`.
        """
        if (key := self.keys.pop(viewing, None)) is None:
            return
        del self.held[key]
        harmful = viewing in self.harmful
        self.harmful.discard(viewing)
        if played or (harmful and may_have_run):
            self.ended[key] = now + self.remember
            self.ended.move_to_end(key)
