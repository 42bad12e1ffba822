"""Bytes of a connection, cut into lines, in bounded memory however they arrive."""

from herongap.errors import Unusable

MOST = 16384  # bytes of the longest line, its line feed not counted


class TooLong(Unusable):
    """A line that is longer than any message may be; nothing after it can be made out."""

    advice = "see whose connection it was; it is closed"


class Lines:
    """The reader of one connection. `begun` says that a line has begun and not ended."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def begun(self) -> bool:
        return bool(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that these bytes end, empty ones left out; raises TooLong, after which it is spent.

        Lines ended before the one too long are lost with it: their sender is not to be trusted.
        """
        if b"\n" not in data:
            self._rest += data
            if len(self._rest) > MOST:
                raise TooLong(f"over {MOST} bytes without a line feed")
            return []
        first, *lines, rest = data.split(b"\n")
        lines.insert(0, self._rest + first)
        if max(len(rest), max(map(len, lines))) > MOST:
            raise TooLong(f"a line of over {MOST} bytes")
        self._rest = rest
        return [line for line in lines if line]
