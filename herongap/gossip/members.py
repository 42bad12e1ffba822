"""The member table: one record per member, merged by precedence, and which records are still to be spread.

Only a member itself increases its refutation count: when it learns that it is suspected or declared gone, it
answers with a record of higher precedence.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from math import ceil, log10

import msgspec

from herongap.gossip.messages import MemberRecord

RETRANSMIT_FACTOR = 4  # a record is sent this often, times log10 of the members: SWIM's lambda log n
ENDED_RETENTION_SECONDS = 600.0  # members that are gone or left are kept, so that late records revive nothing
NEVER_SEND = 1 << 30  # send count of a record that is not to be spread


class MemberStatus(IntEnum):
    """The status of a member; with equal incarnation and refutations the larger status holds."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class MemberTable:
    """One controller's records of all members. `own` is its own record."""

    def __init__(self, own: MemberRecord):
        self.own = own
        self.records: dict[int, MemberRecord] = {own.number: own}
        self.ended_at: dict[int, float] = {}
        self.change_count = 0  # of all records so far
        self._send_counts: dict[int, int] = {own.number: 0}

    def merge(self, now: float, record: MemberRecord) -> MemberRecord | None:
        """Store a record if it takes precedence; returns the replaced record, or itself if new, else None."""
        known = self.records.get(record.number)
        if record.number == self.own.number:
            return self._refute(record)
        if known is not None and record.precedence <= known.precedence:
            return None
        if known is None and record.status >= MemberStatus.GONE:
            # The member was never known here: its end is not news, and an older record must not become news.
            self._send_counts[record.number] = NEVER_SEND
        else:
            self._send_counts[record.number] = 0
        self.records[record.number] = record
        self.change_count += 1
        if record.status >= MemberStatus.GONE:
            self.ended_at.setdefault(record.number, now)
        else:
            self.ended_at.pop(record.number, None)
        return known or record

    def _refute(self, record: MemberRecord) -> MemberRecord | None:
        """Refute a suspicion of this incarnation; a record of an older incarnation needs no answer."""
        own = self.own
        if (
            record.incarnation != own.incarnation
            or record.status == MemberStatus.ALIVE
            or record.refutations < own.refutations
        ):
            return None
        if own.status == MemberStatus.LEFT:
            return None
        self.announce(msgspec.structs.replace(own, refutations=record.refutations + 1))
        return own

    def announce(self, own: MemberRecord) -> None:
        """Replace our own record and spread it to all members."""
        self.own = self.records[own.number] = own
        self.change_count += 1
        self._send_counts[own.number] = 0

    def live(self) -> Iterator[MemberRecord]:
        """All members that have not ended, including this one."""
        return (record for record in self.records.values() if record.status < MemberStatus.GONE)

    def others(self) -> list[MemberRecord]:
        """All other members that have not ended."""
        return [record for record in self.live() if record.number != self.own.number]

    def pending_records(self, first: Iterable[int] = ()) -> tuple[MemberRecord, ...]:
        """The records still to be spread: those of `first`, then the others, least sent first."""
        max_sends = RETRANSMIT_FACTOR * ceil(log10(len(self.records) + 1))
        position = {number: i for i, number in enumerate(first)}
        due = [n for n, sent in self._send_counts.items() if sent < max_sends or n in position]
        due.sort(key=lambda n: (position.get(n, len(position)), self._send_counts[n]))
        return tuple(self.records[n] for n in due if n in self.records)

    def mark_sent(self, records: Iterable[MemberRecord]) -> None:
        """Count one more transmission of each of these records."""
        for record in records:
            if self.records.get(record.number) is record:
                self._send_counts[record.number] += 1

    def prune(self, now: float) -> None:
        """Drop members that ended long ago, so that a thousand restarts do not accumulate."""
        for number in [n for n, at in self.ended_at.items() if now - at > ENDED_RETENTION_SECONDS]:
            del self.ended_at[number], self.records[number], self._send_counts[number]
            self.change_count += 1
