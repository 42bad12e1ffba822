"""What is known of all members: one word each, merged by the larger; and which words are still to be told.

A member's word is raised by itself alone: told that it is suspected or gone, it answers with a larger one.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from math import ceil, log10

import msgspec

from herongap.gossip.messages import MemberRecord

SPREAD = 4  # a word is told so many times the decimal logarithm of the members: SWIM's lambda log n
KEEP = 600.0  # seconds for which one that is gone or left is remembered, so that a late word revives nothing


class MemberStatus(IntEnum):
    """How a member stands; of two words of one life, raised as often, the larger standing holds."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class MemberTable:
    """One controller's words. `me` is its own."""

    def __init__(self, me: MemberRecord):
        self.own = me
        self.records: dict[int, MemberRecord] = {me.number: me}
        self.ended_at: dict[int, float] = {}
        self.change_count = 0  # so far, in any word
        self._send_counts: dict[int, int] = {me.number: 0}

    def merge(self, now: float, word: MemberRecord) -> MemberRecord | None:
        """Take a word if it is larger than what is known; the one that it replaces, or itself where new."""
        known = self.records.get(word.number)
        if word.number == self.own.number:
            return self._refute(word)
        if known is not None and word.precedence <= known.precedence:
            return None
        if known is None and word.status >= MemberStatus.GONE:
            # Of one never known: nothing to tell, but an older word of it must not pass for news.
            self._send_counts[word.number] = 1 << 30
        else:
            self._send_counts[word.number] = 0
        self.records[word.number] = word
        self.change_count += 1
        if word.status >= MemberStatus.GONE:
            self.ended_at.setdefault(word.number, now)
        else:
            self.ended_at.pop(word.number, None)
        return known or word

    def _refute(self, word: MemberRecord) -> MemberRecord | None:
        """What is said of ourselves: a doubt about this life is answered; an older life is nobody's now."""
        me = self.own
        if (
            word.incarnation != me.incarnation
            or word.status == MemberStatus.ALIVE
            or word.refutations < me.refutations
        ):
            return None
        if me.status == MemberStatus.LEFT:
            return None
        self.announce(msgspec.structs.replace(me, refutations=word.refutations + 1))
        return me

    def announce(self, mine: MemberRecord) -> None:
        """Our own word, raised or ended; told anew to everybody."""
        self.own = self.records[mine.number] = mine
        self.change_count += 1
        self._send_counts[mine.number] = 0

    def live(self) -> Iterator[MemberRecord]:
        """All that are not gone, this one too."""
        return (word for word in self.records.values() if word.status < MemberStatus.GONE)

    def others(self) -> list[MemberRecord]:
        return [word for word in self.live() if word.number != self.own.number]

    def pending_records(self, first: Iterable[int] = ()) -> tuple[MemberRecord, ...]:
        """The words that are still to be told, those in `first` and then the least told before the others."""
        most = SPREAD * ceil(log10(len(self.records) + 1))
        ahead = {number: i for i, number in enumerate(first)}
        due = [n for n, told in self._send_counts.items() if told < most or n in ahead]
        due.sort(key=lambda n: (ahead.get(n, len(ahead)), self._send_counts[n]))
        return tuple(self.records[n] for n in due if n in self.records)

    def mark_sent(self, words: Iterable[MemberRecord]) -> None:
        """These have been told once more."""
        for word in words:
            if self.records.get(word.number) is word:
                self._send_counts[word.number] += 1

    def prune(self, now: float) -> None:
        """Drop those that ended long ago: names of a thousand restarts must not pile up."""
        for number in [n for n, at in self.ended_at.items() if now - at > KEEP]:
            del self.ended_at[number], self.records[number], self._send_counts[number]
            self.change_count += 1
