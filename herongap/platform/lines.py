"""Splits the bytes of a connection into lines, in bounded memory however the bytes arrive."""

from collections.abc import Iterator

from herongap.errors import UnusableInputError

MAX_LINE_BYTES = 16384  # without the line feed


class LineTooLongError(UnusableInputError):
    """A line longer than any message may be; nothing after it on the connection can be parsed."""

    advice = "see whose connection it was; it is closed"


class LineBuffer:
    """The received bytes of one connection that do not end a line yet."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_line(self) -> bool:
        """Whether a line has begun and not ended."""
        return bool(self._partial)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the non-empty lines that these bytes complete.

        Raises LineTooLongError at a line that is too long, after which the buffer must not be used. The lines
        completed before that one are yielded first: they arrived in full and are handled like any other.
        """
        *lines, partial = (self._partial + data).split(b"\n") if b"\n" in data else (self._partial + data,)
        self._partial = partial
        for line in lines:
            if len(line) > MAX_LINE_BYTES:
                raise LineTooLongError(f"line longer than {MAX_LINE_BYTES} bytes")
            if line:
                yield line
        if len(partial) > MAX_LINE_BYTES:
            self._partial = b""
            raise LineTooLongError(f"more than {MAX_LINE_BYTES} bytes without a line feed")
