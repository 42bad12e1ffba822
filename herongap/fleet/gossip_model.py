"""A small world in which the shipped `MemberTable` is checked over all interleavings, with minicheck.

One member lives, may be started again, and hears doubts of itself; two others suspect it, judge it, and tell
each other. Each word that was ever said may reach anybody at any time, any number of times, or never: that
covers words that are lost, late, doubled and out of order.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from minicheck import Protocol

from herongap.gossip import MemberRecord, MemberStatus, MemberTable

SUBJECT = 1


class Seen(NamedTuple):
    """What one of the others thinks of the member, and the largest that it ever thought."""

    word: MemberRecord
    most: tuple[int, int, int]


def _said(word: MemberRecord, **changes) -> MemberRecord:
    return msgspec.structs.replace(word, **changes)


def _heard(word: MemberRecord, by: int, known: MemberRecord, make: type) -> MemberRecord:
    """What `by` thinks once it has heard a word."""
    book = make(MemberRecord(by, 1, 0, MemberStatus.ALIVE, "", 1, ""))
    book.records[SUBJECT], book._send_counts[SUBJECT] = known, 0
    book.merge(0.0, word)
    return book.records[SUBJECT]


def gossip_model(lives: int = 2, raises: int = 2, make: type = MemberTable) -> Protocol:
    """The world with so many lives of the member, which raises its word so often in each."""
    first = MemberRecord(SUBJECT, 1, 0, MemberStatus.ALIVE, "", 1, "")

    def moves(state: tuple) -> Iterator[tuple[str, tuple]]:
        own, said, raised, others = state
        if own.incarnation < lives:
            new = _said(first, incarnation=own.incarnation + 1)
            yield "it is started again", (new, said | {new}, (*raised, 0), others)
        for word in said:
            book = make(own)
            book.merge(0.0, word)
            if book.own != own and book.own.refutations <= raises:
                upon = (*raised[:-1], book.own.refutations)
                yield f"it answers {word.precedence}", (book.own, said | {book.own}, upon, others)
            for i, seen in enumerate(others):
                now = _heard(word, 10 + i, seen.word, make)
                if now != seen.word:
                    yield f"{i} hears {word.precedence}", (own, said, raised, _put(others, i, now))
        for i, seen in enumerate(others):
            if seen.word.status < MemberStatus.GONE:
                worse = _said(seen.word, status=seen.word.status + 1)
                what = "suspects" if worse.status == MemberStatus.SUSPECT else "judges"
                yield f"{i} {what} it", (own, said | {worse}, raised, _put(others, i, worse))

    def never_back(state: dict) -> bool:
        return all(seen.word.precedence >= seen.most for seen in state["others"])

    def its_own(state: dict) -> bool:
        raised = state["raised"]
        return all(
            seen.word.incarnation <= len(raised)
            and seen.word.refutations <= raised[seen.word.incarnation - 1]
            for seen in state["others"]
        )

    def asked_for(state: dict) -> bool:
        own, said = state["own"], state["said"]
        doubts = (w for w in said if w.incarnation == own.incarnation and w.status > MemberStatus.ALIVE)
        return not own.refutations or any(w.refutations >= own.refutations - 1 for w in doubts)

    seen = Seen(first, first.precedence)
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
        goal=lambda state: any(seen.word.incarnation == 2 for seen in state["others"]),
    )


def _put(others: tuple[Seen, ...], i: int, word: MemberRecord) -> tuple[Seen, ...]:
    return tuple(Seen(word, max(o.most, word.precedence)) if j == i else o for j, o in enumerate(others))
