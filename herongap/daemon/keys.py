"""The signing keys on disk: one JSON file per key, readable only by its owner. Keys never appear in a log.

Several controllers may share a folder. The one that finds a new key due creates it under a lock on the
folder, so that they do not create one each.
"""

import fcntl
import json
import os
import time
from contextlib import contextmanager
from pathlib import Path

import gevent
import structlog
from joserfc.errors import JoseError
from joserfc.jwk import OKPKey

from herongap.dash import KeyRotation, SigningKey, TokenClaims, generate_key, mint, public_jwks
from herongap.errors import HerongapError, UnusableInputError

LOCK_TIMEOUT_SECONDS = 5.0
log = structlog.get_logger()


class WrongKey(UnusableInputError):  # noqa: N818  # the class name is logged as the cause
    """A file that does not hold the key that its name states."""

    advice = "remove the file, or put the key back that belongs under this name"


class UnsafePermissionsError(HerongapError, OSError):
    """A folder or a key file that other users may read or write."""

    advice = "remove the permissions of all other users: chmod go-rwx"


class KeyStore:
    """The keys of one folder; times are seconds since the epoch."""

    def __init__(self, folder: str | Path, rotate: float, ahead: float, longest: float):
        self.folder, self.schedule = Path(folder), (rotate, ahead, longest)
        self.pairs: dict[str, OKPKey] = {}
        self.rotation = KeyRotation((), *self.schedule)

    def load(self, now: float) -> None:
        """Read the folder, make a key if one is due and delete expired ones.

        Raises OSError (including UnsafePermissionsError) if the folder cannot be used. A key that cannot be
        read is logged and skipped.
        """
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        _check_permissions(self.folder)
        with self._folder_lock():
            self.pairs, loaded = {}, []
            for path in sorted(self.folder.glob("*.key")):
                if key := self._read(path):
                    loaded.append(key)
            self.rotation = KeyRotation(loaded, *self.schedule)
            if self.rotation.needs_new_key(now):
                self._create_key(now)
            for key in self.rotation.remove_expired(now):
                self._path(key.kid).unlink(missing_ok=True)
                self.pairs.pop(key.kid, None)
                log.info("expired key deleted", kid=key.kid)

    def mint(self, now: float, claims: TokenClaims) -> str:
        """Return a token signed with the current signing key."""
        return mint(self.pairs[self.rotation.signing_key(now).kid], claims)

    def jwks(self, now: float) -> dict:
        """Return the JWK set that streamers verify tokens with: the public keys alone."""
        return public_jwks([self.pairs[key.kid] for key in self.rotation.published_keys(now)])

    def _path(self, kid: str) -> Path:
        return self.folder / f"{kid}.key"

    def _read(self, path: Path) -> SigningKey | None:
        _check_permissions(path)
        try:
            record = json.loads(path.read_text(encoding="utf-8"))
            pair = OKPKey.import_key(record["key"])
            if pair.kid != path.stem or not pair.is_private:
                raise WrongKey("not the private key that the file name states")
            self.pairs[pair.kid] = pair
            return SigningKey(pair.kid, float(record["made"]))
        except (ValueError, KeyError, TypeError, JoseError) as error:
            # Only the type of the error is logged: its message may contain parts of the key.
            log.error("key not read", path=str(path), cause=type(error).__name__)
            return None

    def _create_key(self, now: float) -> None:
        suffix = 0
        while self._path(kid := f"{int(now)}-{suffix}").exists():
            suffix += 1
        pair, path = generate_key(kid), self._path(kid)
        # Written to a temporary file that has its final mode from the start, then renamed, so that no reader
        # ever sees an incomplete key.
        temporary = path.with_suffix(".new")
        handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            json.dump({"made": now, "key": pair.as_dict(private=True)}, file)
            file.flush()
            os.fsync(file.fileno())
        os.rename(temporary, path)
        self.pairs[kid] = pair
        self.rotation.add(SigningKey(kid, now))
        log.info("key created", kid=kid)

    @contextmanager
    def _folder_lock(self):
        handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            deadline = time.monotonic() + LOCK_TIMEOUT_SECONDS
            while True:
                try:
                    fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if time.monotonic() > deadline:
                        raise
                    gevent.sleep(0.01)  # other greenlets run meanwhile
            yield
        finally:
            os.close(handle)


def _check_permissions(path: Path) -> None:
    status = path.stat()
    if status.st_mode & 0o077 or status.st_uid != os.getuid():
        raise UnsafePermissionsError(
            f"{path}: other users may read or write it; only its owner may (folder mode 0700, files 0600)"
        )
