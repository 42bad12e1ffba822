"""One document in the store that all controllers change by compare-and-swap: read, decide, commit, resolve.

A commit names the version that it was decided on and is taken only while that is the newest. One whose
answer is lost is neither done nor undone: it may still be on its way and be taken later. It is resolved by
sending it again, word for word: of two commits on one version at most one is ever taken, and each writer's
newest mark stays in the document, so that whatever is read next tells whether ours was among those taken.
Until then nothing acts on it, and nothing else is committed here.

    {"v": 1, "marks": {"WRITER": "LIFE.COUNT"}, "body": {...}}
"""

from enum import Enum
from typing import Any, NamedTuple

import msgspec

from herongap.errors import Unusable

VERSION = 1


class InvalidDocument(Unusable):
    """A document of the store that cannot be read, or is of another version."""

    advice = "see who wrote it; nothing is used of it until it can be read"


class CommitOutcome(Enum):
    """What became of a commit."""

    COMMITTED = "done"
    CONFLICT = "lost"  # another came first: decide anew on what is there now


class Commit(NamedTuple):
    """To be put if the document still has version `base_version` (its mod revision; 0: if there is none)."""

    base_version: int
    data: bytes
    mark: str


class StoredDocument(msgspec.Struct):
    """What stands under the key: `marks` are each writer's newest commit."""

    v: int
    marks: dict[str, str] = {}
    body: Any = None

    @classmethod
    def decode(cls, data: bytes) -> "StoredDocument":
        """Raises ValueError with the reason."""
        try:
            found = msgspec.json.decode(data, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
            raise InvalidDocument(str(fault)) from fault
        if found.v != VERSION:
            raise InvalidDocument(f"version {found.v}, known is {VERSION}")
        return found


def encode_document(body: Any, marks: dict[str, str] | None = None) -> bytes:
    """A document's bytes; without marks as one that no writer has committed to."""
    return msgspec.json.encode(StoredDocument(VERSION, marks or {}, body))


class SharedDocument:
    """One writer's view of the document.

    `incarnation` tells its processes apart, and must never be used twice.

    `body` is None where there is no document, or none that can be read: `error` then says why, and nothing is
    committed over what was not understood.
    """

    def __init__(self, writer: str, incarnation: int):
        self.writer, self.incarnation, self.commit_count = writer, incarnation, 0
        self.revision, self.version = -1, 0
        self.body: Any = None
        self.error = ""
        self.marks: dict[str, str] = {}
        self.pending: Commit | None = None
        self.uncertain = False

    def observe(self, revision: int, version: int, data: bytes | None) -> CommitOutcome | None:
        """The document as it was at a revision of the store; what our commit became, if that is known by it.

        Older than what is known already is passed over: a member of the store may be behind.
        """
        if revision < self.revision:
            return None
        self.revision = revision
        if version != self.version or self.body is None:
            self.version = version
            self._load(data)
        if self.pending is None or version == self.pending.base_version:
            return None
        # Its base is gone for good, so it is either in the document or never will be.
        done = data is not None and self.marks.get(self.writer) == self.pending.mark
        self.pending, self.uncertain = None, False
        return CommitOutcome.COMMITTED if done else CommitOutcome.CONFLICT

    def propose(self, body: Any) -> Commit | None:
        """A commit of a new body on the version known; None while one is out or nothing is known."""
        if self.pending is not None or self.revision < 0 or self.error:
            return None
        self.commit_count += 1
        mark = f"{self.incarnation}.{self.commit_count}"
        data = encode_document(body, self.marks | {self.writer: mark})
        self.pending, self.uncertain = Commit(self.version, data, mark), False
        return self.pending

    def handle_reply(
        self, commit: Commit, revision: int, won: bool, version: int, data: bytes | None
    ) -> CommitOutcome | None:
        """The store's answer to a commit: taken at `revision`, or else the document that stood in the way.

        It may be the late answer to one that was resolved long ago by what was read.
        """
        return self.observe(revision, revision, commit.data) if won else self.observe(revision, version, data)

    def handle_unknown_outcome(self) -> None:
        """No answer came, or one that does not say. `commit_to_resend` tells what is to be sent now."""
        self.uncertain = self.pending is not None

    def commit_to_resend(self) -> Commit | None:
        """The commit in doubt, to be sent once more as it was."""
        return self.pending if self.uncertain else None

    def reset(self) -> None:
        """The store is another one, or was set back: nothing that was known of it holds any more."""
        self.revision, self.version, self.body, self.marks, self.error = -1, 0, None, {}, ""
        self.pending, self.uncertain = None, False

    def _load(self, data: bytes | None) -> None:
        self.body, self.marks, self.error = None, {}, ""
        if data is None:
            return
        try:
            found = StoredDocument.decode(data)
        except ValueError as fault:
            self.error = str(fault)
            return
        self.body, self.marks = found.body, found.marks
