"""One connection of JSON lines: read by a greenlet of its own, written at once or when the peer takes it."""

import os
import socket as plain
from collections.abc import Callable
from contextlib import suppress

import gevent
import structlog
from gevent import socket

from herongap.platform.lines import Lines, TooLong

BACKLOG = 1 << 18  # bytes that a peer may leave unread before it is given up
CHUNK = 16384
# Lines that hold these bytes are logged as they pass: the id of one viewing, or "ref" for all.
TRACE = os.environ.get("HERONGAP_TRACE", "").encode()
log = structlog.get_logger()


class Wire:
    """A connection that stands. `heard(wire, line)` is called for each line, `lost(wire)` once at its end.

    `heard` may close the wire; the lines that came with it are then dropped.
    """

    def __init__(self, sock: socket.socket, peer: str, heard: Callable, lost: Callable):
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        self.sock, self.peer, self._heard, self._lost = sock, peer, heard, lost
        self.lines, self.closed, self.cause = Lines(), False, ""
        self._out, self._writer = bytearray(), None
        self._reader = gevent.spawn(self._read)

    def send(self, data: bytes) -> bool:
        """Write, or keep for when the peer reads on; False if the connection has ended."""
        if self.closed:
            return False
        if TRACE and TRACE in data:
            log.info("sent", peer=self.peer, line=data.decode())
        if not self._out:
            try:
                sent = self.sock._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as fault:
                self.close(f"not written: {fault}")
                return False
            data = data[sent:]
        if data:
            self._out += data
            if len(self._out) > BACKLOG:
                self.close("its peer reads nothing")
                return False
            if self._writer is None:
                self._writer = gevent.spawn(self._write)
        return True

    def stands(self) -> bool:
        """Whether its peer has not closed it, as far as can be told here and now."""
        if self.closed:
            return False
        try:
            return bool(self.sock._sock.recv(1, plain.MSG_PEEK | plain.MSG_DONTWAIT))
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False

    def quiet(self) -> bool:
        """Whether nothing that its peer sent is still unread."""
        try:
            return self.closed or not self.sock._sock.recv(1, plain.MSG_PEEK | plain.MSG_DONTWAIT)
        except OSError:
            return True

    def finish(self) -> None:
        """Say that nothing more will be sent, and read on to the end: what is on its way here is not lost."""
        with suppress(OSError):
            self.sock._sock.shutdown(plain.SHUT_WR)

    def close(self, cause: str = "") -> None:
        if not self.closed:
            self.closed, self.cause = True, cause
            # Wakes the reader, which tells of the end: nobody is called back from within a call here.
            with suppress(OSError):
                self.sock._sock.shutdown(plain.SHUT_RDWR)
            self._reader.kill(block=False)

    def _read(self) -> None:
        try:
            while not self.closed:
                data = self.sock.recv(CHUNK)
                if not data:
                    break
                for line in self.lines.feed(data):
                    if TRACE and TRACE in line:
                        log.info("heard", peer=self.peer, line=line.decode("utf-8", "replace"))
                    try:
                        self._heard(self, line)
                    except Exception:
                        # One line that we cannot deal with must not cost what else this connection carries.
                        log.exception("a fault of ours; the line is passed over", peer=self.peer)
                    if self.closed:
                        break
        except (TooLong, OSError) as fault:
            self.cause = self.cause or str(fault)
        finally:
            self.closed = True
            if TRACE:
                log.info("closed", peer=self.peer, cause=self.cause)
            if self._writer:
                self._writer.kill(block=False)
            with suppress(OSError):
                self.sock.close()
            self._lost(self)

    def _write(self) -> None:
        with suppress(OSError):
            while self._out and not self.closed:
                part = bytes(self._out[:65536])
                self.sock.sendall(part)
                del self._out[: len(part)]
        self._writer = None
