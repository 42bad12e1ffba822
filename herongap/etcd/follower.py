"""The follower of one prefix: a mirror of its keys that is never older than it was.

It reads the prefix once at a revision and watches from the next. Whatever breaks, it knows what it needs
next: to watch on from where it is, or, where that has been compacted away, to read everything anew. What it
holds is always the true content of the prefix at `revision`; `fleet/worlds.py` checks that over all
interleavings of a small world, with this very class.

What the protocol promises (etcd.io, "KV API guarantees"): events come in the order of their revisions, all
events of one revision together unless they are fragments, none left out from the start of a watch on; a
message without events is progress: everything up to its revision has been delivered.
"""

from enum import Enum
from typing import NamedTuple

from herongap.etcd.messages import Event, KeyValue, RangeResponse, WatchResponse


class NextAction(Enum):
    """What the follower needs next."""

    READ = "read"
    WATCH = "watch"


class MessageOutcome(Enum):
    """What a message was worth."""

    APPLIED = "taken"
    PARTIAL = "part"  # more of it is to come
    STALE = "old"  # of a stream that is no longer ours, or known already
    MEMBER_BEHIND = "behind"  # its member has not got as far as we have seen: ask another
    OTHER_CLUSTER = "foreign"  # its member belongs to another cluster, whose revisions mean nothing here
    CANCELED = "ended"  # this watch is over
    COMPACTED = "compacted"  # where it was to go on is gone: read anew


class KeyEntry(NamedTuple):
    """A key's value and where it comes from. Another `create` is another key that has the same name."""

    value: bytes
    create_revision: int
    mod_revision: int


class KeyChange(NamedTuple):
    """A key that is not as it was; None where it was not, or is no more."""

    key: str
    old: KeyEntry | None
    new: KeyEntry | None

    @property
    def recreated(self) -> bool:
        """Deleted and made again while nobody looked."""
        return bool(self.old and self.new and self.old.create_revision != self.new.create_revision)


class PrefixFollower:
    """The mirror and what is known of its source.

    Begins empty, or with what was remembered: `items` as they were at `revision` of `cluster`. `revision` is
    where the mirror stands, `seen` the highest revision that any member has shown.
    """

    __slots__ = ("cluster", "counts", "next_action", "items", "revision", "highest_revision", "watch_number",
                 "watching", "_changes", "_pages", "_read_revision", "_fragments",
                 "_cluster_switched")  # fmt: skip

    def __init__(self, cluster: int = 0, revision: int = 0, items: dict[str, KeyEntry] | None = None):
        self.cluster, self.revision, self.highest_revision = cluster, revision, revision
        self.items: dict[str, KeyEntry] = dict(items or {})
        self.next_action, self.watch_number, self.watching = NextAction.READ, 0, False
        self.counts = dict.fromkeys(
            ("reads", "watches", "events", "old", "behind", "foreign", "compacted"), 0
        )
        # What was remembered is news to whoever asks for changes.
        self._changes = {key: KeyChange(key, None, item) for key, item in self.items.items()}
        self._pages: dict[str, KeyEntry] | None = None
        self._read_revision, self._cluster_switched = 0, False
        self._fragments: list[Event] = []

    # Reading.

    def next_page_start(self) -> tuple[str, int]:
        """After which key, and at which revision, the next page is to be read; ("", 0) for the first."""
        if not self._pages:
            return "", 0
        return max(self._pages), self._read_revision

    def handle_page(self, reply: RangeResponse) -> MessageOutcome:
        """A page of a read."""
        if (told := self._check_cluster(reply.header.cluster_id)) is not None:
            return told
        first = self._pages is None
        if reply.header.revision < (self.highest_revision if first else self._read_revision):
            # Also what a member without its data says: an empty range is believed from none that is behind.
            self.counts["behind"] += 1
            self._pages = None
            return MessageOutcome.MEMBER_BEHIND
        if first:
            self._pages, self._read_revision = {}, reply.header.revision
        self.highest_revision = max(self.highest_revision, reply.header.revision)
        for kv in reply.kvs:
            self._pages[kv.key.decode("utf-8", "surrogateescape")] = _item(kv)
        if reply.more and reply.kvs:
            return MessageOutcome.PARTIAL
        self._replace_all(self._pages, self._read_revision)
        self._pages, self.next_action = None, NextAction.WATCH
        self.counts["reads"] += 1
        return MessageOutcome.APPLIED

    def abort_read(self) -> None:
        """The read broke, or its revision was compacted under it: it begins again."""
        self._pages = None

    def _replace_all(self, items: dict[str, KeyEntry], revision: int) -> None:
        for key in self.items.keys() - items.keys():
            self._change(key, None)
        for key, item in items.items():
            old = self.items.get(key)
            if old and self._cluster_switched:
                # Revisions of two clusters say nothing about each other: nobody started anew by this.
                old = self.items[key] = KeyEntry(old.value, item.create_revision, item.mod_revision)
            if old is None or old.mod_revision != item.mod_revision or old.value != item.value:
                self._change(key, item)
        self.revision, self._cluster_switched = revision, False

    # Watching.

    def start_watch(self) -> tuple[int, int]:
        """A new watch begins: its turn, which comes back with each of its messages, and its first
        revision.
        """
        self.watch_number += 1
        self.watching, self._fragments = False, []
        self.counts["watches"] += 1
        return self.watch_number, self.revision + 1

    def handle_watch(self, watch_number: int, reply: WatchResponse) -> MessageOutcome:
        """A message of a watch."""
        if watch_number != self.watch_number or self.next_action is not NextAction.WATCH:
            return MessageOutcome.STALE
        if (told := self._check_cluster(reply.header.cluster_id)) is not None:
            self.stop_watch(watch_number)
            return told
        if reply.canceled:
            self.stop_watch(watch_number)
            if reply.compact_revision:
                self.counts["compacted"] += 1
                self.next_action = NextAction.READ
                return MessageOutcome.COMPACTED
            return MessageOutcome.CANCELED
        self.highest_revision = max(self.highest_revision, reply.header.revision)
        if reply.created:
            self.watching = True
            if reply.header.revision < self.revision:
                # It will tell us nothing until it has caught up, and perhaps it never does.
                self.counts["behind"] += 1
                return MessageOutcome.MEMBER_BEHIND
            return MessageOutcome.APPLIED
        if not self.watching:
            return MessageOutcome.STALE
        if reply.fragment:
            self._fragments += reply.events
            return MessageOutcome.PARTIAL
        events, self._fragments = self._fragments + reply.events, []
        if events:
            return self._apply(events)
        if reply.header.revision < self.revision:
            return MessageOutcome.STALE
        self.revision = reply.header.revision
        return MessageOutcome.APPLIED

    def stop_watch(self, watch_number: int) -> None:
        """A watch's stream ended. Fragments of what never came whole are dropped: they come again."""
        if watch_number == self.watch_number:
            self.watch_number += 1
            self.watching, self._fragments = False, []

    def _apply(self, events: list[Event]) -> MessageOutcome:
        before = last = self.revision
        for event in events:
            kv = event.kv
            if kv.mod_revision <= before or kv.mod_revision < last:
                self.counts["old"] += 1
                continue
            last = kv.mod_revision
            key = kv.key.decode("utf-8", "surrogateescape")
            self._change(key, None if event.type == "DELETE" else _item(kv))
            self.counts["events"] += 1
        self.revision = last
        self.highest_revision = max(self.highest_revision, last)
        return MessageOutcome.APPLIED if last > before else MessageOutcome.STALE

    # Both.

    def _check_cluster(self, cluster: int) -> MessageOutcome | None:
        if self.cluster and cluster != self.cluster:
            self.counts["foreign"] += 1
            return MessageOutcome.OTHER_CLUSTER
        self.cluster = cluster
        return None

    def switch_cluster(self, cluster: int) -> None:
        """Follow another cluster from now on: what is held stays until it has been read there."""
        self.cluster, self.highest_revision, self.revision = cluster, 0, 0
        self.next_action, self._pages, self._cluster_switched = NextAction.READ, None, True
        self.stop_watch(self.watch_number)

    def _change(self, key: str, item: KeyEntry | None) -> None:
        old = self.items.pop(key, None)
        if item is not None:
            self.items[key] = item
        if old == item:
            return
        # What has changed twice since anybody looked is one change, from what they knew.
        first = self._changes.pop(key, None)
        since = first.old if first else old
        if since != item:
            self._changes[key] = KeyChange(key, since, item)

    def take_changes(self) -> list[KeyChange]:
        """What has changed since the last look."""
        found, self._changes = list(self._changes.values()), {}
        return found


def _item(kv: KeyValue) -> KeyEntry:
    return KeyEntry(kv.value, kv.create_revision, kv.mod_revision)
