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

from herongap.etcd.messages import Event, KeyValue, Range, Watch


class Need(Enum):
    """What the follower needs next."""

    READ = "read"
    WATCH = "watch"


class Told(Enum):
    """What a message was worth."""

    TAKEN = "taken"
    PART = "part"  # more of it is to come
    OLD = "old"  # of a stream that is no longer ours, or known already
    BEHIND = "behind"  # its member has not got as far as we have seen: ask another
    FOREIGN = "foreign"  # its member belongs to another cluster, whose revisions mean nothing here
    ENDED = "ended"  # this watch is over
    COMPACTED = "compacted"  # where it was to go on is gone: read anew


class Item(NamedTuple):
    """A key's value and where it comes from. Another `create` is another key that has the same name."""

    value: bytes
    create: int
    mod: int


class Change(NamedTuple):
    """A key that is not as it was; None where it was not, or is no more."""

    key: str
    old: Item | None
    new: Item | None

    @property
    def replaced(self) -> bool:
        """Deleted and made again while nobody looked."""
        return bool(self.old and self.new and self.old.create != self.new.create)


class Follower:
    """The mirror and what is known of its source.

    Begins empty, or with what was remembered: `items` as they were at `revision` of `cluster`. `revision` is
    where the mirror stands, `seen` the highest revision that any member has shown.
    """

    __slots__ = ("cluster", "counts", "need", "items", "revision", "seen", "turn", "watching",
                 "_changes", "_pages", "_at", "_parts", "_adopted")  # fmt: skip

    def __init__(self, cluster: int = 0, revision: int = 0, items: dict[str, Item] | None = None):
        self.cluster, self.revision, self.seen = cluster, revision, revision
        self.items: dict[str, Item] = dict(items or {})
        self.need, self.turn, self.watching = Need.READ, 0, False
        self.counts = dict.fromkeys(
            ("reads", "watches", "events", "old", "behind", "foreign", "compacted"), 0
        )
        # What was remembered is news to whoever asks for changes.
        self._changes = {key: Change(key, None, item) for key, item in self.items.items()}
        self._pages: dict[str, Item] | None = None
        self._at, self._adopted = 0, False
        self._parts: list[Event] = []

    # Reading.

    def read_from(self) -> tuple[str, int]:
        """After which key, and at which revision, the next page is to be read; ("", 0) for the first."""
        if not self._pages:
            return "", 0
        return max(self._pages), self._at

    def paged(self, reply: Range) -> Told:
        """A page of a read."""
        if (told := self._met(reply.header.cluster_id)) is not None:
            return told
        first = self._pages is None
        if reply.header.revision < (self.seen if first else self._at):
            # Also what a member without its data says: an empty range is believed from none that is behind.
            self.counts["behind"] += 1
            self._pages = None
            return Told.BEHIND
        if first:
            self._pages, self._at = {}, reply.header.revision
        self.seen = max(self.seen, reply.header.revision)
        for kv in reply.kvs:
            self._pages[kv.key.decode("utf-8", "surrogateescape")] = _item(kv)
        if reply.more and reply.kvs:
            return Told.PART
        self._replace(self._pages, self._at)
        self._pages, self.need = None, Need.WATCH
        self.counts["reads"] += 1
        return Told.TAKEN

    def unread(self) -> None:
        """The read broke, or its revision was compacted under it: it begins again."""
        self._pages = None

    def _replace(self, items: dict[str, Item], revision: int) -> None:
        for key in self.items.keys() - items.keys():
            self._change(key, None)
        for key, item in items.items():
            old = self.items.get(key)
            if old and self._adopted:
                # Revisions of two clusters say nothing about each other: nobody started anew by this.
                old = self.items[key] = Item(old.value, item.create, item.mod)
            if old is None or old.mod != item.mod or old.value != item.value:
                self._change(key, item)
        self.revision, self._adopted = revision, False

    # Watching.

    def watch_from(self) -> tuple[int, int]:
        """A new watch begins: its turn, which comes back with each of its messages, and its first
        revision.
        """
        self.turn += 1
        self.watching, self._parts = False, []
        self.counts["watches"] += 1
        return self.turn, self.revision + 1

    def watched(self, turn: int, reply: Watch) -> Told:
        """A message of a watch."""
        if turn != self.turn or self.need is not Need.WATCH:
            return Told.OLD
        if (told := self._met(reply.header.cluster_id)) is not None:
            self.broke(turn)
            return told
        if reply.canceled:
            self.broke(turn)
            if reply.compact_revision:
                self.counts["compacted"] += 1
                self.need = Need.READ
                return Told.COMPACTED
            return Told.ENDED
        self.seen = max(self.seen, reply.header.revision)
        if reply.created:
            self.watching = True
            if reply.header.revision < self.revision:
                # It will tell us nothing until it has caught up, and perhaps it never does.
                self.counts["behind"] += 1
                return Told.BEHIND
            return Told.TAKEN
        if not self.watching:
            return Told.OLD
        if reply.fragment:
            self._parts += reply.events
            return Told.PART
        events, self._parts = self._parts + reply.events, []
        if events:
            return self._apply(events)
        if reply.header.revision < self.revision:
            return Told.OLD
        self.revision = reply.header.revision
        return Told.TAKEN

    def broke(self, turn: int) -> None:
        """A watch's stream ended. Fragments of what never came whole are dropped: they come again."""
        if turn == self.turn:
            self.turn += 1
            self.watching, self._parts = False, []

    def _apply(self, events: list[Event]) -> Told:
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
        self.seen = max(self.seen, last)
        return Told.TAKEN if last > before else Told.OLD

    # Both.

    def _met(self, cluster: int) -> Told | None:
        if self.cluster and cluster != self.cluster:
            self.counts["foreign"] += 1
            return Told.FOREIGN
        self.cluster = cluster
        return None

    def adopt(self, cluster: int) -> None:
        """Follow another cluster from now on: what is held stays until it has been read there."""
        self.cluster, self.seen, self.revision = cluster, 0, 0
        self.need, self._pages, self._adopted = Need.READ, None, True
        self.broke(self.turn)

    def _change(self, key: str, item: Item | None) -> None:
        old = self.items.pop(key, None)
        if item is not None:
            self.items[key] = item
        if old == item:
            return
        # What has changed twice since anybody looked is one change, from what they knew.
        first = self._changes.pop(key, None)
        since = first.old if first else old
        if since != item:
            self._changes[key] = Change(key, since, item)

    def changes(self) -> list[Change]:
        """What has changed since the last look."""
        found, self._changes = list(self._changes.values()), {}
        return found


def _item(kv: KeyValue) -> Item:
    return Item(kv.value, kv.create_revision, kv.mod_revision)
