"""Bytes of a connection, cut into lines, in bounded memory however they arrive."""

from collections.abc import Iterator

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

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The lines that these bytes end, empty ones left out; then raises TooLong where one is, after which
        it is spent. Lines ended before that one were sent whole, and are owed what any line is.
        """
        *lines, rest = (self._rest + data).split(b"\n") if b"\n" in data else (self._rest + data,)
        self._rest = rest
        for line in lines:
            if len(line) > MOST:
                raise TooLong(f"a line of over {MOST} bytes")
            if line:
                yield line
        if len(rest) > MOST:
            self._rest = b""
            raise TooLong(f"over {MOST} bytes without a line feed")
