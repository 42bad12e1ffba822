"""One connection of JSON lines: read by its own greenlet, written at once or as soon as the peer reads."""

import os
import socket as plain
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import gevent
import structlog
from gevent import socket

from herongap.platform.lines import LineBuffer, LineTooLongError
from herongap.platform.turns import TURN_BYTES, InputTurns, TurnPacer

# Bytes that a peer may leave unread before its connection is closed, and the most that `read_last` reads.
MAX_BACKLOG_BYTES = 1 << 18
# Seconds between two reads of input that is discarded: a peer that cannot be understood must cost nothing.
DISCARD_PAUSE_SECONDS = 0.01
# Lines that contain these bytes are logged as they pass: the id of one viewing, or "ref" for all.
TRACE = os.environ.get("HERONGAP_TRACE", "").encode()
log = structlog.get_logger()


class Connection:
    """An open connection.

    `on_line(connection, line)` is called for each line, `on_closed(connection)` once at its end, and
    `on_oversized(connection, error)` for a line that is too long; without it the connection is closed then.

    `on_line` may close the connection or set `discarding`; the lines that came with it are then dropped. A
    `half_closed` connection is only read to its end, and then is `read_to_end`. A `broken` one was ended by
    its peer, which may not have read the last messages sent to it. `pacer` spaces the turns of peers that
    never stop sending.
    """

    def __init__(
        self,
        sock: socket.socket,
        peer: str,
        on_line: Callable,
        on_closed: Callable,
        on_oversized: Callable | None = None,
        *,
        pacer: TurnPacer,
    ):
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        self.sock, self.peer, self._on_line, self._on_closed = sock, peer, on_line, on_closed
        self._on_oversized = on_oversized or (lambda connection, error: connection.close(str(error)))
        self.input, self.closed, self.cause = LineBuffer(), False, ""
        self._clock, self._turns, self._handling = pacer.clock, InputTurns(pacer), False
        self.discarding = self.half_closed = self.read_to_end = self.broken = self._ended = False
        # Messages that the system has not accepted in full; `unsent_bytes` are left. Of the first, `_sent`
        # bytes have been written.
        self._unsent: deque[bytes] = deque()
        self._sent, self.unsent_bytes, self._writer = 0, 0, None
        self._reader = gevent.spawn(self._read)

    # Writing.

    def send(self, data: bytes) -> bool:
        """Write a message, or queue it until the peer reads on; False if the connection has ended."""
        if self.closed or self.half_closed:
            return False
        if TRACE and TRACE in data:
            log.info("sent", peer=self.peer, line=data.decode())
        self._unsent.append(data)
        self.unsent_bytes += len(data)
        if self._writer is None:
            self._flush()
            if self._unsent and not self.closed:
                self._writer = gevent.spawn(self._write)
        if self.unsent_bytes > MAX_BACKLOG_BYTES:
            self.close("the peer does not read")
        return not self.closed

    def is_unsent(self, data: bytes) -> bool:
        """Whether that message, the very object, has not been written in full."""
        return any(data is message for message in self._unsent)

    def withdraw(self, data: bytes) -> bool:
        """Remove a message of which nothing has been written; False if it is too late for that."""
        for i, message in enumerate(self._unsent):
            if message is data and (i or not self._sent):
                del self._unsent[i]
                self.unsent_bytes -= len(data)
                return True
        return False

    def half_close(self) -> None:
        """Shut down the sending side once everything is written, and read on to the end."""
        self.half_closed = True
        if not self._unsent:
            with suppress(OSError):
                self.sock._sock.shutdown(plain.SHUT_WR)

    def _flush(self) -> None:
        """Write as much as the system accepts now."""
        while self._unsent and not self.closed:
            first = self._unsent[0]
            try:
                sent = self.sock._sock.send(memoryview(first)[self._sent :])
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.broken = True
                self.close(f"write failed: {error}")
                return
            self.unsent_bytes -= sent
            self._sent += sent
            if self._sent == len(first):
                self._unsent.popleft()
                self._sent = 0

    def _write(self) -> None:
        with suppress(OSError):
            while self._unsent and not self.closed:
                self.sock._wait(self.sock._write_event)
                self._flush()
        self._writer = None
        if self.half_closed and not self.closed:
            self.half_close()

    # Reading.

    def read_available(self) -> float:
        """Read and handle what has arrived, without waiting for the reader, for one turn at most.

        Return after how many seconds the rest may be read; 0.0 if nothing is left. At the end of the
        connection `on_closed` is called.
        """
        while not (self.closed or self._handling):
            if (pause := self._turns.pause()) > 0:
                return pause if self.has_unread_input() else 0.0
            if not self._read_chunk():
                self._turns.input_exhausted()
                break
        return 0.0

    def read_last(self) -> None:
        """Read and handle what has arrived, before the connection is closed; the amount is bounded."""
        for _ in range(MAX_BACKLOG_BYTES // TURN_BYTES):
            if self.closed or not self._read_chunk():
                break

    def is_open(self) -> bool:
        """Whether the peer has not closed the connection, as far as can be seen without waiting."""
        return not self.closed and self._peek() != b""

    def is_quiet(self) -> bool:
        """Whether no input is unread and no output unsent."""
        return self.closed or not (self._unsent or self.has_unread_input())

    def is_flooding(self) -> bool:
        """Whether the peer sends faster than it is served, so that its input has to wait."""
        return not self.closed and self._turns.pause() > 0

    def has_unread_input(self) -> bool:
        """Whether input that is not discarded has arrived and is unread."""
        return not (self.closed or self.discarding) and bool(self._peek())

    def has_partial_line(self) -> bool:
        """Whether the peer has begun a line, and no input that might end it is unread."""
        return self.input.has_partial_line and not self.has_unread_input()

    def _peek(self) -> bytes | None:
        """Return an unread byte, None if there is none, b"" at the end of the input."""
        try:
            return self.sock._sock.recv(1, plain.MSG_PEEK | plain.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    def close(self, cause: str = "") -> None:
        """Close it now, whatever is unsent; `on_closed` is called a moment later, never within this call."""
        if not self.closed:
            self.closed, self.cause = True, cause
            with suppress(OSError):
                self.sock._sock.shutdown(plain.SHUT_RDWR)
            # Not left to the reader: a greenlet that is killed before it ever ran would not call `on_closed`.
            gevent.spawn(self._end)

    def _read(self) -> None:
        try:
            while not self.closed:
                if (pause := self._turns.pause()) > 0:
                    gevent.sleep(pause)
                elif not self._read_chunk() and not self.closed:
                    self.sock._wait(self.sock._read_event)
                    self._turns.input_exhausted()
                elif self.discarding:
                    gevent.sleep(DISCARD_PAUSE_SECONDS)
        except OSError as error:
            self.cause = self.cause or str(error)
        finally:
            self._end()

    def _read_chunk(self) -> bool:
        """Read and handle some input without waiting; False without any, or at the connection's end."""
        try:
            data = self.sock._sock.recv(TURN_BYTES, plain.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self.cause = self.cause or str(error)
            self._end()
            return False
        if not data:
            self.read_to_end = True
            self._end()
            return False
        began = self._clock()
        self._handling = True
        try:
            self._handle_input(data)
        finally:
            self._handling = False
        self._turns.input_handled(len(data), began)
        return True

    def _handle_input(self, data: bytes) -> None:
        """Handle the lines that these bytes complete."""
        if self.discarding:
            return
        try:
            for line in self.input.feed(data):
                if TRACE and TRACE in line:
                    log.info("received", peer=self.peer, line=line.decode("utf-8", "replace"))
                try:
                    self._on_line(self, line)
                except Exception:
                    # One line that fails must not harm what else this connection carries.
                    log.exception("internal error; the line is skipped", peer=self.peer)
                if self.closed or self.discarding:
                    break
        except LineTooLongError as error:
            self._on_oversized(self, error)

    def _end(self) -> None:
        """Release the socket and call `on_closed`, once, however the connection ended."""
        if self._ended:
            return
        # A peer that closes after this side has half-closed has read everything; after a reset it may have
        # read nothing.
        self.broken |= not self.closed and not (self.half_closed and not self.cause)
        self.closed = self._ended = True
        if TRACE:
            log.info("closed", peer=self.peer, cause=self.cause)
        for greenlet in (self._reader, self._writer):
            if greenlet and greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)
        # A killed greenlet keeps its frame and so this connection. Its memory must be free at once, not only
        # when the garbage collector runs, however many connections end.
        self._reader = self._writer = None
        self.input = LineBuffer()
        with suppress(OSError):
            self.sock.close()
        self._on_closed(self)
