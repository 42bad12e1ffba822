"""Results kept on disk, so that an experiment that was killed goes on where it was."""

import json
from pathlib import Path

import lmdb

from herongap.errors import Unusable

VERSION = b"herongap-experiment 1"


class ResultStoreError(Unusable):
    """A file that is no store of results of this version."""

    advice = "name another file, or remove it: results are then made anew"


class ResultStore:
    """One result for each arm and seed, in an lmdb file; each is written in a transaction of its own."""

    def __init__(self, path: Path):
        """Open or make the store at `path`; raises ValueError if it is another program's, or of another
        version.
        """
        self.env = lmdb.open(str(path), subdir=False, map_size=1 << 32, lock=True)
        with self.env.begin(write=True) as txn:
            found = txn.get(b"version")
            if found is None and txn.stat()["entries"] == 0:
                txn.put(b"version", VERSION)
            elif found != VERSION:
                raise ResultStoreError(f"{path} is no store of {VERSION.decode()}")

    def get(self, digest: str, seed: int) -> dict | None:
        with self.env.begin() as txn:
            found = txn.get(f"{digest}/{seed}".encode())
        return None if found is None else json.loads(found)

    def put(self, digest: str, seed: int, result: dict) -> None:
        with self.env.begin(write=True) as txn:
            txn.put(f"{digest}/{seed}".encode(), json.dumps(result).encode())

    def close(self) -> None:
        self.env.close()
