"""Rotation of the signing keys: which key signs, which are published, when to create and delete one.

Decides without I/O. Each key passes through three phases. For `ahead` seconds it is published without
signing, so that every streamer has fetched it before the first token arrives. Then it signs until its
successor does. Then it stays published for the lifetime of the longest token it can have signed, plus an
allowance for clock skew; after that it is deleted.
"""

from collections.abc import Iterable
from typing import NamedTuple

from herongap.errors import UnusableInputError

CLOCK_SKEW_SECONDS = 2.0  # by which the clocks of controllers and streamers may differ


class RotationTimesError(UnusableInputError):
    """The rotation times are not allowed: `ahead` must be above 0 and below `rotate`."""

    advice = "set [dash] ahead under rotate, and above 0"


class SigningKey(NamedTuple):
    """A key's ID, and when it was created in seconds since the epoch."""

    kid: str
    created_at: float


class KeyRotation:
    """The keys of one signer, in the order of their creation.

    `rotate` is how long a key signs, `ahead` how long it is published before that, `longest` the maximum
    lifetime of a token; all in seconds.
    """

    def __init__(self, keys: Iterable[SigningKey], rotate: float, ahead: float, longest: float):
        if not 0 < ahead < rotate:
            raise RotationTimesError(
                "a key must be published before it signs, and for less time than it signs"
            )
        self.keys = sorted(keys, key=lambda key: (key.created_at, key.kid))
        self.rotate, self.ahead, self.longest = rotate, ahead, longest

    def needs_new_key(self, now: float) -> bool:
        """Whether to create a key: there is none, or the newest was created `rotate` seconds ago.

        The new key starts to sign `ahead` seconds after its creation; by then its predecessor has signed for
        `rotate` seconds.
        """
        return not self.keys or now >= self.keys[-1].created_at + self.rotate

    def add(self, key: SigningKey) -> None:
        """Add a key that was just created."""
        self.keys.append(key)
        self.keys.sort(key=lambda key: (key.created_at, key.kid))

    def signing_key(self, now: float) -> SigningKey | None:
        """The newest key that has been published for `ahead` seconds.

        At first start there is none yet: then the oldest key signs. None if there are no keys.
        """
        ready = [key for key in self.keys if key.created_at + self.ahead <= now]
        return ready[-1] if ready else self.keys[0] if self.keys else None

    def published_keys(self, now: float) -> list[SigningKey]:
        """The keys with which streamers may have to verify a token, now or soon."""
        return [key for i, key in enumerate(self.keys) if now < self._expires_at(i)]

    def remove_expired(self, now: float) -> list[SigningKey]:
        """Remove and return the keys whose tokens have all expired; their files can be deleted."""
        expired = [key for i, key in enumerate(self.keys) if now >= self._expires_at(i)]
        self.keys = [key for key in self.keys if key not in expired]
        return expired

    def _expires_at(self, index: int) -> float:
        """When the last token signed with a key has expired everywhere; never for the newest key."""
        if index + 1 == len(self.keys):
            return float("inf")
        # Twice the skew: a streamer accepts a token until the skew after its end, and its clock may be
        # late by as much.
        return self.keys[index + 1].created_at + self.ahead + self.longest + 2 * CLOCK_SKEW_SECONDS
