"""A small world in which the shipped `Book` is checked over all interleavings, with minicheck.

One member lives, may be started again, and hears doubts of itself; two others suspect it, judge it, and tell
each other. Each word that was ever said may reach anybody at any time, any number of times, or never: that
covers words that are lost, late, doubled and out of order.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from minicheck import Protocol

from herongap.gossip import Book, Standing, Word

SUBJECT = 1


class Seen(NamedTuple):
    """What one of the others thinks of the member, and the largest that it ever thought."""

    word: Word
    most: tuple[int, int, int]


def _said(word: Word, **changes) -> Word:
    return msgspec.structs.replace(word, **changes)


def _heard(word: Word, by: int, known: Word, make: type) -> Word:
    """What `by` thinks once it has heard a word."""
    book = make(Word(by, 1, 0, Standing.ALIVE, "", 1, ""))
    book.words[SUBJECT], book._told[SUBJECT] = known, 0
    book.merge(0.0, word)
    return book.words[SUBJECT]


def rumours(lives: int = 2, raises: int = 2, make: type = Book) -> Protocol:
    """The world with so many lives of the member, which raises its word so often in each."""
    first = Word(SUBJECT, 1, 0, Standing.ALIVE, "", 1, "")

    def moves(state: tuple) -> Iterator[tuple[str, tuple]]:
        own, said, raised, others = state
        if own.life < lives:
            new = _said(first, life=own.life + 1)
            yield "it is started again", (new, said | {new}, (*raised, 0), others)
        for word in said:
            book = make(own)
            book.merge(0.0, word)
            if book.me != own and book.me.raised <= raises:
                upon = (*raised[:-1], book.me.raised)
                yield f"it answers {word.rank}", (book.me, said | {book.me}, upon, others)
            for i, seen in enumerate(others):
                now = _heard(word, 10 + i, seen.word, make)
                if now != seen.word:
                    yield f"{i} hears {word.rank}", (own, said, raised, _put(others, i, now))
        for i, seen in enumerate(others):
            if seen.word.standing < Standing.GONE:
                worse = _said(seen.word, standing=seen.word.standing + 1)
                what = "suspects" if worse.standing == Standing.SUSPECT else "judges"
                yield f"{i} {what} it", (own, said | {worse}, raised, _put(others, i, worse))

    def never_back(state: dict) -> bool:
        return all(seen.word.rank >= seen.most for seen in state["others"])

    def its_own(state: dict) -> bool:
        raised = state["raised"]
        return all(
            seen.word.life <= len(raised) and seen.word.raised <= raised[seen.word.life - 1]
            for seen in state["others"]
        )

    def asked_for(state: dict) -> bool:
        own, said = state["own"], state["said"]
        doubts = (w for w in said if w.life == own.life and w.standing > Standing.ALIVE)
        return not own.raised or any(w.raised >= own.raised - 1 for w in doubts)

    seen = Seen(first, first.rank)
    return Protocol(
        name="rumours",
        candidate=False,
        fields=("own", "said", "raised", "others"),
        initial=(first, frozenset({first}), (0,), (seen, seen)),
        transitions=lambda state: list(moves(state)),
        invariants={
            "no older word replaces a newer": never_back,
            "only itself raises its word": its_own,
            "it answers doubts of this life alone": asked_for,
        },
        goal=lambda state: any(seen.word.life == 2 for seen in state["others"]),
    )


def _put(others: tuple[Seen, ...], i: int, word: Word) -> tuple[Seen, ...]:
    return tuple(Seen(word, max(o.most, word.rank)) if j == i else o for j, o in enumerate(others))
