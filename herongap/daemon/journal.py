"""The journal of viewings on disk, written ahead of the effects that depend on it; one lmdb environment.

    sent      before the tune-in leaves      so that no streamer holds what the journal does not know
    playing   before the viewer is told      so that no viewer plays what the journal does not know
    closing   before the teardown leaves     so that what was ending is not taken up again
    (gone)    after the end                  the latest that can be lost: then the streamer is asked

Writes reach the operating system at once and the disk when it likes: a killed process loses nothing, a crash
of the machine perhaps the last moments, and its streamers have ended the viewings by then. A store that
cannot be written is told once and left: viewings go on, and a restart then takes up what was written before.
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
from herongap.state import Known

FORMAT = 1
MOST = 512 << 20  # bytes of the environment; a viewing takes about 1 kB
log = structlog.get_logger()


class JournalEntry(msgspec.Struct, array_like=True):
    """One viewing. `key` and `digest` make its request known again, `remote` is its place at its streamer."""

    known: Known
    ask: ViewingRequest
    number: int
    streamer: int | str
    rung: int
    protocol: str
    secret: str
    owner: str | None
    key: list[Any]
    digest: str
    remote: list[Any] | None


class JournalLockedError(HerongapError, OSError):
    """Another process holds the journal."""

    advice = "end the other process, or name another file under [front] journal"


class Journal:
    """The journal at a path; raises OSError (JournalLockedError among them) if it cannot be opened.

    `name` is the front's name at streamers, which a restarted process keeps while it may have viewings there;
    `boot` counts its processes.
    """

    def __init__(self, path: str, name: str):
        os.makedirs(path, exist_ok=True)
        self.path, self.failing = path, False
        self._lock = os.open(os.path.join(path, "owner"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as fault:
            os.close(self._lock)
            raise JournalLockedError(f"{path}: another process keeps its journal there") from fault
        self._encode, self._decode = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(JournalEntry)
        self.env = self._opened()
        self.entries = self._read()
        known = self._meta("name")
        self.name = known if known and self.entries else name
        self.incarnation = int(self._meta("boot") or 0) + 1
        with self.env.begin(write=True) as txn:
            for key, value in (("format", FORMAT), ("name", self.name), ("boot", self.incarnation)):
                txn.put(f"meta/{key}".encode(), str(value).encode())

    def _opened(self) -> lmdb.Environment:
        try:
            env = lmdb.open(os.path.join(self.path, "viewings"), map_size=MOST, sync=False)
            with env.begin() as txn:
                found = txn.get(b"meta/format")
            if found is None or bytes(found) == b"%d" % FORMAT:
                return env
            env.close()
            cause = f"format {bytes(found)!r}, known is {FORMAT}"
        except lmdb.Error as fault:
            cause = repr(fault)
        folder = os.path.join(self.path, "viewings")
        log.error("journal not read, put aside", path=quarantine(folder), cause=cause)
        return lmdb.open(folder, map_size=MOST, sync=False)

    def _meta(self, key: str) -> str | None:
        with self.env.begin() as txn:
            found = txn.get(f"meta/{key}".encode())
        return None if found is None else bytes(found).decode()

    def _read(self) -> dict[str, JournalEntry]:
        entries = {}
        with self.env.begin() as txn:
            for key, value in txn.cursor():
                if not bytes(key).startswith(b"viewing/"):
                    continue
                try:
                    entry = self._decode.decode(bytes(value))
                    entries[str(entry.ask.viewing)] = entry
                except msgspec.MsgspecError as fault:
                    log.error("entry of the journal not read", key=bytes(key).decode(), cause=str(fault))
        return entries

    def put(self, entry: JournalEntry) -> None:
        self._write(entry.ask.viewing, self._encode.encode(entry))

    def drop(self, viewing: int | str) -> None:
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
        except lmdb.Error as fault:
            if not self.failing:
                self.failing = True
                log.error(
                    "journal not written: a restart now loses viewings", path=self.path, cause=repr(fault)
                )

    def close(self) -> None:
        self.env.close()
        os.close(self._lock)
