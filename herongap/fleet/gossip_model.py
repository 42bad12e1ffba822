"""A small model in which minicheck checks the shipped `MemberTable` over all interleavings.

One member runs, may be restarted, and refutes suspicions of itself; two observers suspect it, declare it gone
and spread their records. Every record that was ever sent may reach any member at any time, any number of
times, or never: that covers lost, late, duplicated and reordered messages.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from minicheck import Protocol

from herongap.gossip import MemberRecord, MemberStatus, MemberTable

SUBJECT = 1  # the number of the observed member
FIRST_OBSERVER = 10  # the number of the first observer


class ObserverState(NamedTuple):
    """One observer's record of the member, and the highest precedence that its record ever had."""

    record: MemberRecord
    highest_precedence: tuple[int, int, int]


def _changed(record: MemberRecord, **changes) -> MemberRecord:
    return msgspec.structs.replace(record, **changes)


def _merged(record: MemberRecord, observer: int, known: MemberRecord, table_type: type) -> MemberRecord:
    """The record that an observer has of the member after it received `record`."""
    table = table_type(MemberRecord(observer, 1, 0, MemberStatus.ALIVE, "", 1, ""))
    table.records[SUBJECT], table._send_counts[SUBJECT] = known, 0
    table.merge(0.0, record)
    return table.records[SUBJECT]


def gossip_model(
    max_incarnations: int = 2, max_refutations: int = 2, table_type: type = MemberTable
) -> Protocol:
    """The model with at most so many incarnations of the member, and so many refutations in each."""
    first = MemberRecord(SUBJECT, 1, 0, MemberStatus.ALIVE, "", 1, "")

    def transitions(state: tuple) -> Iterator[tuple[str, tuple]]:
        own, sent, refutations, observers = state
        if own.incarnation < max_incarnations:
            new = _changed(first, incarnation=own.incarnation + 1)
            yield "the member is restarted", (new, sent | {new}, (*refutations, 0), observers)
        for record in sent:
            table = table_type(own)
            table.merge(0.0, record)
            if table.own != own and table.own.refutations <= max_refutations:
                raised = (*refutations[:-1], table.own.refutations)
                yield (
                    f"the member refutes {record.precedence}",
                    (table.own, sent | {table.own}, raised, observers),
                )
            for i, observer in enumerate(observers):
                merged = _merged(record, FIRST_OBSERVER + i, observer.record, table_type)
                if merged != observer.record:
                    yield (
                        f"observer {i} receives {record.precedence}",
                        (own, sent, refutations, _replace_record(observers, i, merged)),
                    )
        for i, observer in enumerate(observers):
            if observer.record.status < MemberStatus.GONE:
                worse = _changed(observer.record, status=observer.record.status + 1)
                action = "suspects the member" if worse.status == MemberStatus.SUSPECT else "declares it gone"
                yield (
                    f"observer {i} {action}",
                    (own, sent | {worse}, refutations, _replace_record(observers, i, worse)),
                )

    def precedence_never_decreases(state: dict) -> bool:
        return all(
            observer.record.precedence >= observer.highest_precedence for observer in state["observers"]
        )

    def refutations_are_its_own(state: dict) -> bool:
        refutations = state["refutations"]
        return all(
            observer.record.incarnation <= len(refutations)
            and observer.record.refutations <= refutations[observer.record.incarnation - 1]
            for observer in state["observers"]
        )

    def refutations_answer_suspicions(state: dict) -> bool:
        own, sent = state["own"], state["sent"]
        suspicions = (
            record
            for record in sent
            if record.incarnation == own.incarnation and record.status > MemberStatus.ALIVE
        )
        return not own.refutations or any(record.refutations >= own.refutations - 1 for record in suspicions)

    observer = ObserverState(first, first.precedence)
    return Protocol(
        name="gossip_model",
        candidate=False,
        fields=("own", "sent", "refutations", "observers"),
        initial=(first, frozenset({first}), (0,), (observer, observer)),
        transitions=lambda state: list(transitions(state)),
        invariants={
            "no older record replaces a newer one": precedence_never_decreases,
            "only the member itself raises its refutations": refutations_are_its_own,
            "the member refutes suspicions of its current incarnation only": refutations_answer_suspicions,
        },
        goal=lambda state: any(observer.record.incarnation == 2 for observer in state["observers"]),
    )


def _replace_record(
    observers: tuple[ObserverState, ...], index: int, record: MemberRecord
) -> tuple[ObserverState, ...]:
    return tuple(
        ObserverState(record, max(observer.highest_precedence, record.precedence)) if i == index else observer
        for i, observer in enumerate(observers)
    )
