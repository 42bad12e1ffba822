"""The journal of viewings on disk: one lmdb environment, written before the effects that depend on it.

    sent      before the tune-in is sent     so that no streamer holds a session the journal does not have
    playing   before the viewer is answered  so that no viewer plays a session the journal does not have
    closing   before the teardown is sent    so that a viewing that was ending is not adopted again
    (gone)    after the end                  this write may be lost: recovery then asks the streamer

Writes reach the operating system at once and the disk at its own pace. A killed process loses nothing; a
crash of the machine may lose the last moments, and by the time it is back the streamers have ended those
viewings. If the journal cannot be written, this is logged once: viewings continue, and a restart adopts only
what was written before.
"""

import fcntl
import os
from typing import Any

import lmdb
import msgspec
import structlog

from herongap.daemon.quarantine import quarantine
from herongap.errors import HerongapError
from herongap.interface import ViewingRequest
from herongap.state import ViewingStage

FORMAT = 1
MAP_SIZE_BYTES = 512 << 20  # a viewing takes about 1 kB
log = structlog.get_logger()


class JournalEntry(msgspec.Struct, array_like=True):
    """One viewing.

    `repeat_key` and `digest` identify a repeated request, `remote` holds the fields of its `RemoteSession`.
    """

    stage: ViewingStage
    request: ViewingRequest
    number: int
    streamer: int | str
    rung: int
    protocol: str
    secret: str
    owner: str | None
    repeat_key: list[Any]
    digest: str
    remote: list[Any] | None


class JournalLockedError(HerongapError, OSError):
    """Another process holds the journal."""

    advice = "end the other process, or name another file under [front] journal"


class Journal:
    """The journal at a path; raises OSError (including JournalLockedError) if it cannot be opened.

    `name` is the controller's name at streamers; a restarted process keeps the previous name while it may
    still have viewings there. `incarnation` counts the processes that have opened this journal.
    """

    def __init__(self, path: str, name: str):
        os.makedirs(path, exist_ok=True)
        self.path, self.failing = path, False
        self._lock = os.open(os.path.join(path, "owner"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self._lock)
            raise JournalLockedError(f"{path}: another process has its journal there") from error
        self._encode, self._decode = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(JournalEntry)
        self.env = self._open_environment()
        self.entries = self._read_entries()
        previous_name = self._read_meta("name")
        self.name = previous_name if previous_name and self.entries else name
        self.incarnation = int(self._read_meta("boot") or 0) + 1
        with self.env.begin(write=True) as txn:
            for key, value in (("format", FORMAT), ("name", self.name), ("boot", self.incarnation)):
                txn.put(f"meta/{key}".encode(), str(value).encode())

    def _open_environment(self) -> lmdb.Environment:
        try:
            env = lmdb.open(os.path.join(self.path, "viewings"), map_size=MAP_SIZE_BYTES, sync=False)
            with env.begin() as txn:
                found = txn.get(b"meta/format")
            if found is None or bytes(found) == b"%d" % FORMAT:
                return env
            env.close()
            cause = f"format {bytes(found)!r}, expected {FORMAT}"
        except lmdb.Error as error:
            cause = repr(error)
        folder = os.path.join(self.path, "viewings")
        log.error("journal not readable, moved aside", path=quarantine(folder), cause=cause)
        return lmdb.open(folder, map_size=MAP_SIZE_BYTES, sync=False)

    def _read_meta(self, key: str) -> str | None:
        with self.env.begin() as txn:
            found = txn.get(f"meta/{key}".encode())
        return None if found is None else bytes(found).decode()

    def _read_entries(self) -> dict[str, JournalEntry]:
        entries = {}
        with self.env.begin() as txn:
            for key, value in txn.cursor():
                if not bytes(key).startswith(b"viewing/"):
                    continue
                try:
                    entry = self._decode.decode(bytes(value))
                    entries[str(entry.request.viewing)] = entry
                except msgspec.MsgspecError as error:
                    log.error(
                        "journal entry not readable, skipped", key=bytes(key).decode(), cause=str(error)
                    )
        return entries

    def put(self, entry: JournalEntry) -> None:
        """Write the entry of a viewing, replacing its previous one."""
        self._write(entry.request.viewing, self._encode.encode(entry))

    def drop(self, viewing: int | str) -> None:
        """Delete the entry of a viewing."""
        self._write(viewing, None)

    def _write(self, viewing: int | str, value: bytes | None) -> None:
        key = f"viewing/{viewing}".encode()
        try:
            with self.env.begin(write=True) as txn:
                if value is None:
                    txn.delete(key)
                else:
                    txn.put(key, value)
            if self.failing:
                self.failing = False
                log.info("journal written again", path=self.path)
        except lmdb.Error as error:
            if not self.failing:
                self.failing = True
                log.error(
                    "journal not written: a restart now loses viewings", path=self.path, cause=repr(error)
                )

    def close(self) -> None:
        """Close the environment and release the lock."""
        self.env.close()
        os.close(self._lock)
