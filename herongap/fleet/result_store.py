"""Results stored on disk, so that an experiment that was killed resumes where it stopped."""

import json
from pathlib import Path

import lmdb

from herongap.errors import UnusableInputError

VERSION = b"herongap-experiment 1"
MAP_SIZE_BYTES = 1 << 32


class ResultStoreError(UnusableInputError):
    """The file is not a result store of this version."""

    advice = "name another file, or remove this one to compute the results again"


class ResultStore:
    """One result for each arm and seed, in an lmdb file; each is written in its own transaction."""

    def __init__(self, path: Path):
        """Open or create the store at `path`.

        Raises `ResultStoreError`, a ValueError, if the file belongs to another program or version.
        """
        self.env = lmdb.open(str(path), subdir=False, map_size=MAP_SIZE_BYTES, lock=True)
        with self.env.begin(write=True) as txn:
            found = txn.get(b"version")
            if found is None and txn.stat()["entries"] == 0:
                txn.put(b"version", VERSION)
            elif found != VERSION:
                raise ResultStoreError(f"{path} is no store of {VERSION.decode()}")

    def get(self, digest: str, seed: int) -> dict | None:
        """The result of the arm with this digest for a seed; None if there is none yet."""
        with self.env.begin() as txn:
            found = txn.get(f"{digest}/{seed}".encode())
        return None if found is None else json.loads(found)

    def put(self, digest: str, seed: int, result: dict) -> None:
        """Store the result of the arm with this digest for a seed."""
        with self.env.begin(write=True) as txn:
            txn.put(f"{digest}/{seed}".encode(), json.dumps(result).encode())

    def close(self) -> None:
        self.env.close()
