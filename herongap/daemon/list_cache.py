"""The last good list, kept on disk for a start without etcd. One lmdb environment, one record.

The record is written whole in one transaction, without waiting for the disk: losing the last second of a list
costs nothing, and a checksum tells a record that a crash of the machine has torn. What cannot be read (torn,
of another format, not a store at all) is put aside under another name, for people to look at, and the start
goes on without it.
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
MOST = 256 << 20  # bytes of the environment, of which a list of 10,000 streamers takes about 2 MB
KEY = b"list"
log = structlog.get_logger()


class Kept(msgspec.Struct, array_like=True):
    cluster: int
    revision: int
    items: dict[str, KeyEntry]


class Unreadable(Unusable):
    """What stands there is no record of ours."""

    advice = "remove the file; the list is read from the store"


class ListCache:
    """The store at a path; a directory is made there."""

    def __init__(self, path: str):
        self.path = path
        self.env: lmdb.Environment | None = None

    def load(self) -> tuple[int, int, dict[str, KeyEntry]] | None:
        """Cluster, revision and items as they were last saved; None where there are none."""
        try:
            self._open()
            with self.env.begin() as txn:
                data = txn.get(KEY)
            return None if data is None else self._read(bytes(data))
        except (lmdb.Error, Unreadable, OSError) as fault:
            self._put_aside(fault)
            return None

    def save(self, cluster: int, revision: int, items: Mapping[str, KeyEntry]) -> bool:
        """Keep a list; a full or broken disk is told and changes nothing else."""
        try:
            self._open()
            body = msgspec.msgpack.encode(Kept(cluster, revision, dict(items)))
            head = b"%d %08x " % (FORMAT, zlib.crc32(body))
            with self.env.begin(write=True) as txn:
                txn.put(KEY, head + body)
            return True
        except (lmdb.Error, OSError) as fault:
            log.error("list not kept", path=self.path, cause=repr(fault))
            return False

    def close(self) -> None:
        if self.env:
            self.env.close()
            self.env = None

    def _open(self) -> None:
        if self.env is None:
            os.makedirs(self.path, exist_ok=True)
            self.env = lmdb.open(self.path, map_size=MOST, sync=False)

    def _read(self, data: bytes) -> tuple[int, int, dict[str, KeyEntry]]:
        try:
            number, check, body = data.split(b" ", 2)
            if int(number) != FORMAT:
                raise Unreadable(f"format {int(number)}, known is {FORMAT}")
            if int(check, 16) != zlib.crc32(body):
                raise Unreadable("torn: its checksum does not fit")
            kept = msgspec.msgpack.decode(body, type=Kept)
        except (ValueError, msgspec.MsgspecError) as fault:
            raise fault if isinstance(fault, Unreadable) else Unreadable(repr(fault)) from fault
        return kept.cluster, kept.revision, kept.items

    def _put_aside(self, fault: Exception) -> None:
        self.close()
        try:
            aside = quarantine(self.path)
        except OSError as worse:
            log.error("remembered list not read", path=self.path, cause=repr(fault), and_then=repr(worse))
            return
        log.error("remembered list not read, put aside", path=aside, cause=repr(fault))
