"""What is known of all members: one word each, merged by the larger; and which words are still to be told.

A member's word is raised by itself alone: told that it is suspected or gone, it answers with a larger one.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from math import ceil, log10

import msgspec

from herongap.gossip.words import Word

SPREAD = 4  # a word is told so many times the decimal logarithm of the members: SWIM's lambda log n
KEEP = 600.0  # seconds for which one that is gone or left is remembered, so that a late word revives nothing


class Standing(IntEnum):
    """How a member stands; of two words of one life, raised as often, the larger standing holds."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Book:
    """One controller's words. `me` is its own."""

    def __init__(self, me: Word):
        self.me = me
        self.words: dict[int, Word] = {me.number: me}
        self.ended: dict[int, float] = {}
        self.changes = 0  # so far, in any word
        self._told: dict[int, int] = {me.number: 0}

    def merge(self, now: float, word: Word) -> Word | None:
        """Take a word if it is larger than what is known; the one that it replaces, or itself where new."""
        known = self.words.get(word.number)
        if word.number == self.me.number:
            return self._refute(word)
        if known is not None and word.rank <= known.rank:
            return None
        if known is None and word.standing >= Standing.GONE:
            # Of one never known: nothing to tell, but an older word of it must not pass for news.
            self._told[word.number] = 1 << 30
        else:
            self._told[word.number] = 0
        self.words[word.number] = word
        self.changes += 1
        if word.standing >= Standing.GONE:
            self.ended.setdefault(word.number, now)
        else:
            self.ended.pop(word.number, None)
        return known or word

    def _refute(self, word: Word) -> Word | None:
        """What is said of ourselves: a doubt about this life is answered; an older life is nobody's now."""
        me = self.me
        if word.life != me.life or word.standing == Standing.ALIVE or word.raised < me.raised:
            return None
        if me.standing == Standing.LEFT:
            return None
        self.say(msgspec.structs.replace(me, raised=word.raised + 1))
        return me

    def say(self, mine: Word) -> None:
        """Our own word, raised or ended; told anew to everybody."""
        self.me = self.words[mine.number] = mine
        self.changes += 1
        self._told[mine.number] = 0

    def live(self) -> Iterator[Word]:
        """All that are not gone, this one too."""
        return (word for word in self.words.values() if word.standing < Standing.GONE)

    def others(self) -> list[Word]:
        return [word for word in self.live() if word.number != self.me.number]

    def news(self, first: Iterable[int] = ()) -> tuple[Word, ...]:
        """The words that are still to be told, those in `first` and then the least told before the others."""
        most = SPREAD * ceil(log10(len(self.words) + 1))
        ahead = {number: i for i, number in enumerate(first)}
        due = [n for n, told in self._told.items() if told < most or n in ahead]
        due.sort(key=lambda n: (ahead.get(n, len(ahead)), self._told[n]))
        return tuple(self.words[n] for n in due if n in self.words)

    def told(self, words: Iterable[Word]) -> None:
        """These have been told once more."""
        for word in words:
            if self.words.get(word.number) is word:
                self._told[word.number] += 1

    def forget(self, now: float) -> None:
        """Drop those that ended long ago: names of a thousand restarts must not pile up."""
        for number in [n for n, at in self.ended.items() if now - at > KEEP]:
            del self.ended[number], self.words[number], self._told[number]
            self.changes += 1
