"""One document in the store that all controllers change by compare-and-swap: read, decide, commit, resolve.

A commit names the version that it was decided on and succeeds only while that is the newest version. A commit
whose reply is lost has an unknown outcome: it may still be in flight and succeed later. It is resolved by
sending the same bytes again. Of two commits on one version at most one ever succeeds, and the document keeps
each writer's newest mark, so the next version that is read shows whether this writer's commit is in it. Until
then the caller does not act on the commit, and no other commit is proposed here.

    {"v": 1, "marks": {"WRITER": "INCARNATION.COUNT"}, "body": {...}}
"""

from enum import Enum
from typing import Any, NamedTuple

import msgspec

from herongap.errors import Unusable

VERSION = 1


class InvalidDocument(Unusable):
    """A document of the store that cannot be parsed, or that has another format version."""

    advice = "find out which process wrote it; the document is not used until it can be parsed"


class CommitOutcome(Enum):
    """The known result of a commit."""

    COMMITTED = "done"
    CONFLICT = "lost"  # another commit on the same version succeeded: decide again on the new version


class Commit(NamedTuple):
    """A write that succeeds only if the document has version `base_version` (its mod revision; 0: none)."""

    base_version: int
    data: bytes
    mark: str


class StoredDocument(msgspec.Struct):
    """The value under the document's key. `marks` holds the newest commit of each writer."""

    v: int
    marks: dict[str, str] = {}
    body: Any = None

    @classmethod
    def decode(cls, data: bytes) -> "StoredDocument":
        """Parse a document; raises InvalidDocument, a ValueError, with the reason."""
        try:
            document = msgspec.json.decode(data, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise InvalidDocument(str(error)) from error
        if document.v != VERSION:
            raise InvalidDocument(f"unsupported version {document.v}; expected {VERSION}")
        return document


def encode_document(body: Any, marks: dict[str, str] | None = None) -> bytes:
    """The bytes of a document; without marks it is one that no writer has committed to."""
    return msgspec.json.encode(StoredDocument(VERSION, marks or {}, body))


class SharedDocument:
    """One writer's view of the document.

    `incarnation` distinguishes the processes of one writer and must never be reused. `body` is None if there
    is no document or it cannot be parsed. In the latter case `error` holds the reason, and nothing is
    committed over the unknown content.
    """

    def __init__(self, writer: str, incarnation: int):
        self.writer, self.incarnation, self.commit_count = writer, incarnation, 0
        self.revision, self.version = -1, 0
        self.body: Any = None
        self.error = ""
        self.marks: dict[str, str] = {}
        self.pending: Commit | None = None
        self.uncertain = False  # no reply arrived for the pending commit

    def observe(self, revision: int, version: int, data: bytes | None) -> CommitOutcome | None:
        """Take in the document as of a store revision; the outcome of the pending commit if this resolves it.

        A revision older than one already seen is ignored: a member of the store may lag behind.
        """
        if revision < self.revision:
            return None
        self.revision = revision
        if version != self.version or self.body is None:
            self.version = version
            self._load(data)
        if self.pending is None or version == self.pending.base_version:
            return None
        # The base version is superseded for good: the commit is in this document or will never succeed.
        committed = data is not None and self.marks.get(self.writer) == self.pending.mark
        self.pending, self.uncertain = None, False
        return CommitOutcome.COMMITTED if committed else CommitOutcome.CONFLICT

    def propose(self, body: Any) -> Commit | None:
        """A commit of a new body on the known version; None while one is pending or no version is known."""
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
        """The store's reply to a commit: it succeeded at `revision`, or the conflicting document is returned.

        This may be a late reply to a commit that an earlier read has resolved already.
        """
        return self.observe(revision, revision, commit.data) if won else self.observe(revision, version, data)

    def handle_unknown_outcome(self) -> None:
        """No conclusive reply arrived; `commit_to_resend` then returns the commit to send again."""
        self.uncertain = self.pending is not None

    def commit_to_resend(self) -> Commit | None:
        """The commit with an unknown outcome, to be sent again unchanged."""
        return self.pending if self.uncertain else None

    def reset(self) -> None:
        """The store was replaced or restored from a backup: drop everything that was known about it."""
        self.revision, self.version, self.body, self.marks, self.error = -1, 0, None, {}, ""
        self.pending, self.uncertain = None, False

    def _load(self, data: bytes | None) -> None:
        self.body, self.marks, self.error = None, {}, ""
        if data is None:
            return
        try:
            document = StoredDocument.decode(data)
        except ValueError as error:
            self.error = str(error)
            return
        self.body, self.marks = document.body, document.marks
