"""Which key signs, which are published, and when a new one is made or an old one dropped. Decides without
I/O.

A key goes through three times. For `ahead` seconds it is published and signs nothing, so that every streamer
has fetched it before the first token comes. Then it signs until its successor does. Then it is published for
as long as the longest token that it can have signed lasts, and for what clocks may differ by; then it is
dropped.
"""

from collections.abc import Iterable
from typing import NamedTuple

from herongap.errors import Unusable

CLOCK_SKEW_SECONDS = 2.0  # seconds by which the clocks of fronts and streamers may differ


class BadRotation(Unusable):
    """Times of key rotation that cannot be kept."""

    advice = "set [dash] ahead under rotate, and above 0"


class SigningKey(NamedTuple):
    """A key by its id, and when it was made, in seconds since the epoch."""

    kid: str
    created_at: float


class KeyRotation:
    """The keys of one signer.

    `rotate` is how long a key signs, `ahead` how long it is published before that, `longest` the life of a
    token; all in seconds.
    """

    def __init__(self, keys: Iterable[SigningKey], rotate: float, ahead: float, longest: float):
        if not 0 < ahead < rotate:
            raise BadRotation("a key must be published before it signs, for less than it signs")
        self.keys = sorted(keys, key=lambda key: (key.created_at, key.kid))
        self.rotate, self.ahead, self.longest = rotate, ahead, longest

    def needs_new_key(self, now: float) -> bool:
        """Whether a new key is to be made: there is none, or the newest will soon have signed for long
        enough.
        """
        return not self.keys or now >= self.keys[-1].created_at + self.rotate

    def add(self, key: SigningKey) -> None:
        self.keys.append(key)
        self.keys.sort(key=lambda key: (key.created_at, key.kid))

    def signing_key(self, now: float) -> SigningKey | None:
        """The newest key that has been published for long enough; the oldest where none has, as at first
        start.
        """
        ready = [key for key in self.keys if key.created_at + self.ahead <= now]
        return ready[-1] if ready else self.keys[0] if self.keys else None

    def published_keys(self, now: float) -> list[SigningKey]:
        """The keys that streamers are to know."""
        return [key for i, key in enumerate(self.keys) if now < self._ends(i)]

    def remove_expired(self, now: float) -> list[SigningKey]:
        """Keys that no token in force can have been signed by; they are forgotten here, and to be deleted."""
        over = [key for i, key in enumerate(self.keys) if now >= self._ends(i)]
        self.keys = [key for key in self.keys if key not in over]
        return over

    def _ends(self, i: int) -> float:
        if i + 1 == len(self.keys):
            return float("inf")
        return self.keys[i + 1].created_at + self.ahead + self.longest + 2 * CLOCK_SKEW_SECONDS
