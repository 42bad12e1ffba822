"""The last good streamer list, cached on disk so that a controller can start without etcd.

The cache is one lmdb environment with a single record. The record is written whole in one transaction,
without waiting for the disk: losing the last second of a list costs nothing, and a checksum detects a record
torn by a crash of the machine. A cache that cannot be read (torn, of another format, not an lmdb store) is
moved to another name for inspection, and the daemon starts without it.
"""

import os
import zlib
from collections.abc import Mapping

import lmdb
import msgspec
import structlog

from herongap.daemon.quarantine import quarantine
from herongap.errors import Unusable
from herongap.etcd.follower import KeyEntry

FORMAT = 1
MAP_SIZE_BYTES = 256 << 20  # a list of 10,000 streamers takes about 2 MB
KEY = b"list"
log = structlog.get_logger()


class CachedList(msgspec.Struct, array_like=True):
    """The cached record."""

    cluster: int
    revision: int
    items: dict[str, KeyEntry]


class Unreadable(Unusable):
    """The stored record is damaged or has an unknown format."""

    advice = "remove the file; the list is read from the store"


class ListCache:
    """The cache in one directory, which is created if it does not exist."""

    def __init__(self, path: str):
        self.path = path
        self.env: lmdb.Environment | None = None

    def load(self) -> tuple[int, int, dict[str, KeyEntry]] | None:
        """Return the cluster, revision and items saved last; None if there are none."""
        try:
            self._open()
            with self.env.begin() as txn:
                data = txn.get(KEY)
            return None if data is None else self._read(bytes(data))
        except (lmdb.Error, Unreadable, OSError) as error:
            self._quarantine(error)
            return None

    def save(self, cluster: int, revision: int, items: Mapping[str, KeyEntry]) -> bool:
        """Save a list; a full or broken disk is logged and has no other effect."""
        try:
            self._open()
            body = msgspec.msgpack.encode(CachedList(cluster, revision, dict(items)))
            header = b"%d %08x " % (FORMAT, zlib.crc32(body))
            with self.env.begin(write=True) as txn:
                txn.put(KEY, header + body)
            return True
        except (lmdb.Error, OSError) as error:
            log.error("list not saved to the cache", path=self.path, cause=repr(error))
            return False

    def close(self) -> None:
        """Close the environment if it is open."""
        if self.env:
            self.env.close()
            self.env = None

    def _open(self) -> None:
        if self.env is None:
            os.makedirs(self.path, exist_ok=True)
            self.env = lmdb.open(self.path, map_size=MAP_SIZE_BYTES, sync=False)

    def _read(self, data: bytes) -> tuple[int, int, dict[str, KeyEntry]]:
        try:
            number, checksum, body = data.split(b" ", 2)
            if int(number) != FORMAT:
                raise Unreadable(f"format {int(number)}, expected {FORMAT}")
            if int(checksum, 16) != zlib.crc32(body):
                raise Unreadable("torn record: the checksum does not match")
            cached = msgspec.msgpack.decode(body, type=CachedList)
        except (ValueError, msgspec.MsgspecError) as error:
            raise error if isinstance(error, Unreadable) else Unreadable(repr(error)) from error
        return cached.cluster, cached.revision, cached.items

    def _quarantine(self, error: Exception) -> None:
        self.close()
        try:
            bad_path = quarantine(self.path)
        except OSError as rename_error:
            log.error(
                "cached list not readable", path=self.path, cause=repr(error), and_then=repr(rename_error)
            )
            return
        log.error("cached list not readable, moved aside", path=bad_path, cause=repr(error))
