"""The signing keys on disk: one JSON file a key, readable by its owner alone, and never in a log.

Several fronts share a folder: a front that finds a key due makes one under a lock of the folder, so that they
do not make one each.
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
from herongap.errors import HerongapError, Unusable

log = structlog.get_logger()


class WrongKey(Unusable):
    """A file that does not hold the key that its name says."""

    advice = "remove the file, or put the key back that belongs under this name"


class UnsafePermissionsError(HerongapError, OSError):
    """A folder or a key that others may read or write."""

    advice = "take read and write from all others: chmod go-rwx"


class KeyStore:
    """The ring of a folder; times are seconds since the epoch."""

    def __init__(self, folder: str | Path, rotate: float, ahead: float, longest: float):
        self.folder, self.terms = Path(folder), (rotate, ahead, longest)
        self.pairs: dict[str, OKPKey] = {}
        self.ring = KeyRotation((), *self.terms)

    def load(self, now: float) -> None:
        """Read the folder, make a key if one is due and delete expired ones.

        Raises OSError (including UnsafePermissionsError) if the folder cannot be used. A key that cannot be
        read is logged and skipped.
        """
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        _safe(self.folder)
        with self._locked():
            self.pairs, made = {}, []
            for path in sorted(self.folder.glob("*.key")):
                if key := self._read(path):
                    made.append(key)
            self.ring = KeyRotation(made, *self.terms)
            if self.ring.needs_new_key(now):
                self._make(now)
            for key in self.ring.remove_expired(now):
                self._path(key.kid).unlink(missing_ok=True)
                self.pairs.pop(key.kid, None)
                log.info("key dropped", kid=key.kid)

    def mint(self, now: float, grant: TokenClaims) -> str:
        """A token by the key that signs now."""
        return mint(self.pairs[self.ring.signing_key(now).kid], grant)

    def jwks(self, now: float) -> dict:
        """What streamers are to know: the public halves alone."""
        return public_jwks([self.pairs[key.kid] for key in self.ring.published_keys(now)])

    def _path(self, kid: str) -> Path:
        return self.folder / f"{kid}.key"

    def _read(self, path: Path) -> SigningKey | None:
        _safe(path)
        try:
            kept = json.loads(path.read_text(encoding="utf-8"))
            pair = OKPKey.import_key(kept["key"])
            if pair.kid != path.stem or not pair.is_private:
                raise WrongKey("not the private key that its name says")
            self.pairs[pair.kid] = pair
            return SigningKey(pair.kid, float(kept["made"]))
        except (ValueError, KeyError, TypeError, JoseError) as fault:
            # The kind of fault alone: its words may hold parts of the key.
            log.error("key not read", path=str(path), cause=type(fault).__name__)
            return None

    def _make(self, now: float) -> None:
        taken = 0
        while self._path(kid := f"{int(now)}-{taken}").exists():
            taken += 1
        pair, path = generate_key(kid), self._path(kid)
        # Written aside with its mode from the first byte on, then renamed: nobody ever reads half a key.
        aside = path.with_suffix(".new")
        handle = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            json.dump({"made": now, "key": pair.as_dict(private=True)}, file)
            file.flush()
            os.fsync(file.fileno())
        os.rename(aside, path)
        self.pairs[kid] = pair
        self.ring.add(SigningKey(kid, now))
        log.info("key made", kid=kid)

    @contextmanager
    def _locked(self):
        handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            until = time.monotonic() + 5.0
            while True:
                try:
                    fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if time.monotonic() > until:
                        raise
                    gevent.sleep(0.01)  # viewings go on meanwhile
            yield
        finally:
            os.close(handle)


def _safe(path: Path) -> None:
    status = path.stat()
    if status.st_mode & 0o077 or status.st_uid != os.getuid():
        raise UnsafePermissionsError(
            f"{path}: others may read or write it; wanted is its owner alone (mode 0700, files 0600)"
        )
