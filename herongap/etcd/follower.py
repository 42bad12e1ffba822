"""A local mirror of all keys under one prefix, kept up to date by reading once and then watching.

The follower reads the prefix at one revision and watches from the next one. After any failure it knows what
to do next: resume the watch at its revision or, where that revision has been compacted, read the prefix
again. Its content is always the exact content of the prefix at `revision`, and it never goes back to an older
state. `fleet/protocol_models.py` checks both properties over all interleavings of a small model that uses
this class.

The guarantees of etcd that this relies on (etcd.io, "KV API guarantees"): events arrive in the order of
their revisions; all events of one revision arrive together unless they are fragmented; no event is missing
after the start of a watch; a message without events is a progress notification: everything up to its revision
has been delivered.
"""

from enum import Enum
from typing import NamedTuple

from herongap.etcd.messages import Event, KeyValue, RangeResponse, WatchResponse


class NextAction(Enum):
    """The request that the follower needs next."""

    READ = "read"
    WATCH = "watch"


class MessageOutcome(Enum):
    """The result of processing a message from etcd."""

    APPLIED = "taken"
    PARTIAL = "part"  # more pages or fragments follow
    STALE = "old"  # from an earlier watch, or its content is already in the mirror
    MEMBER_BEHIND = "behind"  # the member lags behind the highest revision seen: use another member
    OTHER_CLUSTER = "foreign"  # the member belongs to another cluster, whose revisions are not comparable
    CANCELED = "ended"  # the server canceled this watch
    COMPACTED = "compacted"  # the start revision has been compacted: read the prefix again


class KeyEntry(NamedTuple):
    """A key's value and revisions. A different create revision shows that the key was created anew."""

    value: bytes
    create_revision: int
    mod_revision: int


class KeyChange(NamedTuple):
    """The old and the new entry of a changed key; None where the key did not or does not exist."""

    key: str
    old: KeyEntry | None
    new: KeyEntry | None

    @property
    def recreated(self) -> bool:
        """Whether the key was deleted and created again between the two states."""
        return bool(self.old and self.new and self.old.create_revision != self.new.create_revision)


class PrefixFollower:
    """The mirrored entries and the state of the read or watch that updates them.

    Starts empty or from a saved mirror: `items` as they were at `revision` of `cluster`. `revision` is the
    revision of the mirror, `highest_revision` the highest one that any member has reported. `watch_number`
    identifies the current watch, so that late messages of earlier watches can be recognized.
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
        # The entries of a saved mirror are reported as changes too.
        self._changes = {key: KeyChange(key, None, entry) for key, entry in self.items.items()}
        self._pages: dict[str, KeyEntry] | None = None
        self._read_revision, self._cluster_switched = 0, False
        self._fragments: list[Event] = []

    # Reading the prefix.

    def next_page_start(self) -> tuple[str, int]:
        """The key after which the next page starts, and the revision to read at; ("", 0) for the first."""
        if not self._pages:
            return "", 0
        return max(self._pages), self._read_revision

    def handle_page(self, response: RangeResponse) -> MessageOutcome:
        """Process one page of a read; the mirror is replaced when the last page has arrived."""
        if (rejected := self._check_cluster(response.header.cluster_id)) is not None:
            return rejected
        first = self._pages is None
        if response.header.revision < (self.highest_revision if first else self._read_revision):
            # A member that has lost its data answers with an empty range: the pages of a member that is
            # behind are rejected.
            self.counts["behind"] += 1
            self._pages = None
            return MessageOutcome.MEMBER_BEHIND
        if first:
            self._pages, self._read_revision = {}, response.header.revision
        self.highest_revision = max(self.highest_revision, response.header.revision)
        for kv in response.kvs:
            self._pages[kv.key.decode("utf-8", "surrogateescape")] = _to_entry(kv)
        if response.more and response.kvs:
            return MessageOutcome.PARTIAL
        self._replace_all(self._pages, self._read_revision)
        self._pages, self.next_action = None, NextAction.WATCH
        self.counts["reads"] += 1
        return MessageOutcome.APPLIED

    def abort_read(self) -> None:
        """Discard the pages read so far, so that the read starts again from the first page.

        For a read that failed, or whose revision was compacted between two pages.
        """
        self._pages = None

    def _replace_all(self, entries: dict[str, KeyEntry], revision: int) -> None:
        for key in self.items.keys() - entries.keys():
            self._change(key, None)
        for key, entry in entries.items():
            old = self.items.get(key)
            if old and self._cluster_switched:
                # Revisions of two clusters are not comparable: take over the new ones, so that the key does
                # not appear to have been created anew.
                old = self.items[key] = KeyEntry(old.value, entry.create_revision, entry.mod_revision)
            if old is None or old.mod_revision != entry.mod_revision or old.value != entry.value:
                self._change(key, entry)
        self.revision, self._cluster_switched = revision, False

    # Watching.

    def start_watch(self) -> tuple[int, int]:
        """Begin a new watch; returns its number, which is passed with each of its messages, and the start
        revision.
        """
        self.watch_number += 1
        self.watching, self._fragments = False, []
        self.counts["watches"] += 1
        return self.watch_number, self.revision + 1

    def handle_watch(self, watch_number: int, response: WatchResponse) -> MessageOutcome:
        """Process one message of a watch."""
        if watch_number != self.watch_number or self.next_action is not NextAction.WATCH:
            return MessageOutcome.STALE
        if (rejected := self._check_cluster(response.header.cluster_id)) is not None:
            self.stop_watch(watch_number)
            return rejected
        if response.canceled:
            self.stop_watch(watch_number)
            if response.compact_revision:
                self.counts["compacted"] += 1
                self.next_action = NextAction.READ
                return MessageOutcome.COMPACTED
            return MessageOutcome.CANCELED
        self.highest_revision = max(self.highest_revision, response.header.revision)
        if response.created:
            self.watching = True
            if response.header.revision < self.revision:
                # This member sends nothing until it has caught up, which may never happen.
                self.counts["behind"] += 1
                return MessageOutcome.MEMBER_BEHIND
            return MessageOutcome.APPLIED
        if not self.watching:
            return MessageOutcome.STALE
        if response.fragment:
            self._fragments += response.events
            return MessageOutcome.PARTIAL
        events, self._fragments = self._fragments + response.events, []
        if events:
            return self._apply(events)
        if response.header.revision < self.revision:
            return MessageOutcome.STALE
        self.revision = response.header.revision
        return MessageOutcome.APPLIED

    def stop_watch(self, watch_number: int) -> None:
        """The stream of a watch ended. Incomplete messages are dropped; the next watch sends them again."""
        if watch_number == self.watch_number:
            self.watch_number += 1
            self.watching, self._fragments = False, []

    def _apply(self, events: list[Event]) -> MessageOutcome:
        """Apply the events of a complete message, except those that the mirror already contains."""
        before = last = self.revision
        for event in events:
            kv = event.kv
            if kv.mod_revision <= before or kv.mod_revision < last:
                self.counts["old"] += 1
                continue
            last = kv.mod_revision
            key = kv.key.decode("utf-8", "surrogateescape")
            self._change(key, None if event.type == "DELETE" else _to_entry(kv))
            self.counts["events"] += 1
        self.revision = last
        self.highest_revision = max(self.highest_revision, last)
        return MessageOutcome.APPLIED if last > before else MessageOutcome.STALE

    # Shared by reading and watching.

    def _check_cluster(self, cluster: int) -> MessageOutcome | None:
        """OTHER_CLUSTER if `cluster` is not the followed one, else None; the first one seen is followed."""
        if self.cluster and cluster != self.cluster:
            self.counts["foreign"] += 1
            return MessageOutcome.OTHER_CLUSTER
        self.cluster = cluster
        return None

    def switch_cluster(self, cluster: int) -> None:
        """Follow another cluster from now on; the present entries stay until that cluster has been read."""
        self.cluster, self.highest_revision, self.revision = cluster, 0, 0
        self.next_action, self._pages, self._cluster_switched = NextAction.READ, None, True
        self.stop_watch(self.watch_number)

    def _change(self, key: str, entry: KeyEntry | None) -> None:
        old = self.items.pop(key, None)
        if entry is not None:
            self.items[key] = entry
        if old == entry:
            return
        # Changes of a key since the last `take_changes` are merged into one, from the state reported then.
        earlier = self._changes.pop(key, None)
        reported = earlier.old if earlier else old
        if reported != entry:
            self._changes[key] = KeyChange(key, reported, entry)

    def take_changes(self) -> list[KeyChange]:
        """Return the changes since the last call, one for each changed key, and clear them."""
        found, self._changes = list(self._changes.values()), {}
        return found


def _to_entry(kv: KeyValue) -> KeyEntry:
    return KeyEntry(kv.value, kv.create_revision, kv.mod_revision)
