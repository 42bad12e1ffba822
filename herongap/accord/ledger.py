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


class BadDocument(Unusable):
    """A document of the store that cannot be read, or is of another version."""

    advice = "see who wrote it; nothing is used of it until it can be read"


class Outcome(Enum):
    """What became of a commit."""

    DONE = "done"
    LOST = "lost"  # another came first: decide anew on what is there now


class Commit(NamedTuple):
    """To be put if the document still has version `base` (its mod revision; 0: if there is none)."""

    base: int
    data: bytes
    mark: str


class Document(msgspec.Struct):
    """What stands under the key: `marks` are each writer's newest commit."""

    v: int
    marks: dict[str, str] = {}
    body: Any = None

    @classmethod
    def read(cls, data: bytes) -> "Document":
        """Raises ValueError with the reason."""
        try:
            found = msgspec.json.decode(data, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
            raise BadDocument(str(fault)) from fault
        if found.v != VERSION:
            raise BadDocument(f"version {found.v}, known is {VERSION}")
        return found


def write(body: Any, marks: dict[str, str] | None = None) -> bytes:
    """A document's bytes; without marks as one that no writer has committed to."""
    return msgspec.json.encode(Document(VERSION, marks or {}, body))


class Ledger:
    """One writer's view of the document. `life` tells its processes apart, and must never be used twice.

    `body` is None where there is no document, or none that can be read: `bad` then says why, and nothing is
    committed over what was not understood.
    """

    def __init__(self, me: str, life: int):
        self.me, self.life, self.count = me, life, 0
        self.revision, self.version = -1, 0
        self.body: Any = None
        self.bad = ""
        self.marks: dict[str, str] = {}
        self.out: Commit | None = None
        self.doubt = False

    def shown(self, revision: int, version: int, data: bytes | None) -> Outcome | None:
        """The document as it was at a revision of the store; what our commit became, if that is known by it.

        Older than what is known already is passed over: a member of the store may be behind.
        """
        if revision < self.revision:
            return None
        self.revision = revision
        if version != self.version or self.body is None:
            self.version = version
            self._take(data)
        if self.out is None or version == self.out.base:
            return None
        # Its base is gone for good, so it is either in the document or never will be.
        done = data is not None and self.marks.get(self.me) == self.out.mark
        self.out, self.doubt = None, False
        return Outcome.DONE if done else Outcome.LOST

    def propose(self, body: Any) -> Commit | None:
        """A commit of a new body on the version known; None while one is out or nothing is known."""
        if self.out is not None or self.revision < 0 or self.bad:
            return None
        self.count += 1
        mark = f"{self.life}.{self.count}"
        data = write(body, self.marks | {self.me: mark})
        self.out, self.doubt = Commit(self.version, data, mark), False
        return self.out

    def answered(
        self, commit: Commit, revision: int, won: bool, version: int, data: bytes | None
    ) -> Outcome | None:
        """The store's answer to a commit: taken at `revision`, or else the document that stood in the way.

        It may be the late answer to one that was resolved long ago by what was read.
        """
        return self.shown(revision, revision, commit.data) if won else self.shown(revision, version, data)

    def unanswered(self) -> None:
        """No answer came, or one that does not say. `again` tells what is to be sent now."""
        self.doubt = self.out is not None

    def again(self) -> Commit | None:
        """The commit in doubt, to be sent once more as it was."""
        return self.out if self.doubt else None

    def forget(self) -> None:
        """The store is another one, or was set back: nothing that was known of it holds any more."""
        self.revision, self.version, self.body, self.marks, self.bad = -1, 0, None, {}, ""
        self.out, self.doubt = None, False

    def _take(self, data: bytes | None) -> None:
        self.body, self.marks, self.bad = None, {}, ""
        if data is None:
            return
        try:
            found = Document.read(data)
        except ValueError as fault:
            self.bad = str(fault)
            return
        self.body, self.marks = found.body, found.marks
