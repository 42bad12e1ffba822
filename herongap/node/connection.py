"""One connection of JSON lines: read by a greenlet of its own, written at once or when the peer takes it."""

import os
import socket as plain
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import gevent
import structlog
from gevent import socket

from herongap.platform.lines import Lines, TooLong

BACKLOG = 1 << 18  # bytes that a peer may leave unread before it is given up, and that one look reads at most
CHUNK = 16384
# Seconds between two reads of what is only thrown away: a peer that is not understood must cost nothing.
PAUSE = 0.01
# Lines that hold these bytes are logged as they pass: the id of one viewing, or "ref" for all.
TRACE = os.environ.get("HERONGAP_TRACE", "").encode()
log = structlog.get_logger()


class Connection:
    """A connection that stands. `heard(conn, line)` is called for each line, `lost(conn)` once at its end,
    `spoilt(conn, fault)` for a line that is too long to be one; without it the connection ends there.

    `heard` may close the connection, or make it `deaf`; the lines that came with it are then dropped. A
    `half_closed` one is only read to its end. One that is `broken` was ended by its peer, which may not have
    read what it was sent last.
    """

    def __init__(
        self, sock: socket.socket, peer: str, heard: Callable, lost: Callable, spoilt: Callable | None = None
    ):
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        self.sock, self.peer, self._heard, self._lost = sock, peer, heard, lost
        self._spoilt = spoilt or (lambda conn, fault: conn.close(str(fault)))
        self.lines, self.closed, self.cause = Lines(), False, ""
        self.deaf = self.half_closed = self.broken = self._ended = False
        # Messages that the system has not taken yet, `behind` bytes; of the first it has taken `_sent`.
        self._unsent: deque[bytes] = deque()
        self._sent, self.behind, self._writer = 0, 0, None
        self._reader = gevent.spawn(self._read)

    # Writing.

    def send(self, data: bytes) -> bool:
        """Write, or keep for when the peer reads on; False if the connection has ended."""
        if self.closed or self.half_closed:
            return False
        if TRACE and TRACE in data:
            log.info("sent", peer=self.peer, line=data.decode())
        self._unsent.append(data)
        self.behind += len(data)
        if self._writer is None:
            self._flush()
            if self._unsent and not self.closed:
                self._writer = gevent.spawn(self._write)
        if self.behind > BACKLOG:
            self.close("its peer reads nothing")
        return not self.closed

    def unsent(self, data: bytes) -> bool:
        """Whether that message, the very object, has not left whole."""
        return any(data is waiting for waiting in self._unsent)

    def withdraw(self, data: bytes) -> bool:
        """Take back a message of which nothing has left; False if it is too late for that."""
        for i, waiting in enumerate(self._unsent):
            if waiting is data and (i or not self._sent):
                del self._unsent[i]
                self.behind -= len(data)
                return True
        return False

    def half_close(self) -> None:
        """Say that nothing more will be sent, once all has been, and read on to the end."""
        self.half_closed = True
        if not self._unsent:
            with suppress(OSError):
                self.sock._sock.shutdown(plain.SHUT_WR)

    def _flush(self) -> None:
        """Write what the system takes."""
        while self._unsent and not self.closed:
            first = self._unsent[0]
            try:
                sent = self.sock._sock.send(memoryview(first)[self._sent :])
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:
                self.broken = True
                self.close(f"not written: {fault}")
                return
            self.behind -= sent
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

    def look(self) -> bool:
        """Hear what lies unread, as its reader would in a moment; whether that was all of it.

        Bounded, or a peer that never stops would keep everybody else waiting. At its end `lost` is called.
        """
        for _ in range(BACKLOG // CHUNK):
            if self.closed:
                break
            try:
                data = self.sock._sock.recv(CHUNK, plain.MSG_DONTWAIT)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as fault:
                data, self.cause = b"", self.cause or str(fault)
            if not self._took(data):
                self._end()
        else:
            return False
        return True

    def stands(self) -> bool:
        """Whether its peer has not closed it, as far as can be told here and now."""
        return not self.closed and self._peek() != b""

    def quiet(self) -> bool:
        """Whether nothing that its peer sent is still to be heard, and nothing for it still unsent."""
        return self.closed or not (self._unsent or self.unread())

    def unread(self) -> bool:
        """Whether something that its peer sent is still to be heard."""
        return not (self.closed or self.deaf) and bool(self._peek())

    def half_line(self) -> bool:
        """Whether its peer has begun a line, and nothing that may end it lies unread."""
        return self.lines.begun and not self.unread()

    def _peek(self) -> bytes | None:
        """A byte that lies unread, None where none does, b"" at its end."""
        try:
            return self.sock._sock.recv(1, plain.MSG_PEEK | plain.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    def close(self, cause: str = "") -> None:
        """End it now, whatever is unsent. `lost` is called a moment later, never from within this call."""
        if not self.closed:
            self.closed, self.cause = True, cause
            with suppress(OSError):
                self.sock._sock.shutdown(plain.SHUT_RDWR)
            # Not left to the reader: one that is killed before it ever ran would tell nobody.
            gevent.spawn(self._end)

    def _read(self) -> None:
        try:
            while not self.closed:
                if not self._took(self.sock.recv(CHUNK)):
                    break
                if self.deaf:
                    gevent.sleep(PAUSE)
        except OSError as fault:
            self.cause = self.cause or str(fault)
        finally:
            self._end()

    def _took(self, data: bytes) -> bool:
        """Hear the lines that these bytes end; False where there are none, at the peer's end."""
        if self.deaf or not data:
            return bool(data)
        try:
            for line in self.lines.feed(data):
                if TRACE and TRACE in line:
                    log.info("heard", peer=self.peer, line=line.decode("utf-8", "replace"))
                try:
                    self._heard(self, line)
                except Exception:
                    # One line that we cannot deal with must not cost what else this connection carries.
                    log.exception("a fault of ours; the line is passed over", peer=self.peer)
                if self.closed or self.deaf:
                    break
        except TooLong as fault:
            self._spoilt(self, fault)
        return True

    def _end(self) -> None:
        """Once, however it ended."""
        if self._ended:
            return
        # Half closed it had everything, if it closed in its turn; reset, it may have read nothing.
        self.broken |= not self.closed and not (self.half_closed and not self.cause)
        self.closed = self._ended = True
        if TRACE:
            log.info("closed", peer=self.peer, cause=self.cause)
        for greenlet in (self._reader, self._writer):
            if greenlet and greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)
        with suppress(OSError):
            self.sock.close()
        self._lost(self)
