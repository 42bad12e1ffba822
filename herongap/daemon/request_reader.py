"""Reads the requests of one connection with h11, within the limits of the process."""

import re
import socket as plain
import time
from contextlib import suppress

import gevent
import h11

from herongap.http import Reply, Request, problem
from herongap.overload import ProcessLimits, RequestMemory

HEAD_END = re.compile(rb"\n\r?\n")  # h11 takes lines that end without a carriage return too
# Read at once; what follows a request in it waits in h11's buffer until that request has been answered.
READ_SIZE_BYTES = 16384
# The most that handling a request counts for in a turn: a longer one has waited, and others were served.
MAX_HANDLING_SECONDS = 0.005


class RequestReader:
    """The reading side of one server connection.

    `busy_seconds` is the time that parsing has taken since it was last set to 0.
    """

    def __init__(self, sock, conn: h11.Connection, peer: str, limits: ProcessLimits, memory: RequestMemory):
        self.sock, self.conn, self.peer, self.limits, self.memory = sock, conn, peer, limits, memory
        self.busy_seconds, self._read_at = 0.0, 0.0
        self._size = 0  # bytes received of the present request
        self._deadline = 0.0
        self._head: h11.Request | None = None

    def has_input(self) -> bool:
        """Whether the client has sent something of its next request already."""
        if self.conn.trailing_data[0]:
            return True
        with suppress(OSError):
            return bool(self.sock._sock.recv(1, plain.MSG_PEEK | plain.MSG_DONTWAIT))
        return False

    def read(self) -> Request | Reply | None:
        """Return the next request, the reply that refuses it, or None at the end of the connection.

        Raises h11.RemoteProtocolError for what is no HTTP, gevent.Timeout for a request that comes too
        slowly, OSError for a broken connection. `finish` must follow.
        """
        self._head, body, body_size = None, [], 0
        arrived = len(self.conn.trailing_data[0])
        if not self._grow(arrived):
            return self._out_of_memory()
        # One deadline for the whole head: a byte a second must not hold a connection for hours.
        self._deadline = time.monotonic() + (
            self.limits.header_seconds if arrived else self.limits.idle_seconds
        )
        while True:
            began = time.monotonic()
            if self._head is None and self._field_count() > self.limits.header_fields:
                return problem("header-too-large", f"at most {self.limits.header_fields} fields")
            event = self.conn.next_event()
            self.busy_seconds += time.monotonic() - began
            if event is h11.NEED_DATA:
                if (reply := self._receive()) is not True:
                    return reply
            elif isinstance(event, h11.Request):
                self._head = event
                self._deadline = time.monotonic() + self.limits.body_seconds
                length = dict(event.headers).get(b"content-length")
                if length is not None and int(length) > self.limits.body:
                    # Refused before the body is read: a client need not send a hundred megabytes first.
                    return self._too_large()
            elif isinstance(event, h11.Data):
                body_size += len(event.data)
                if body_size > self.limits.body:
                    return self._too_large()
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._read_at = time.monotonic()
                return self._request(b"".join(body))
            else:  # ConnectionClosed or PAUSED
                return None

    def turn_seconds(self, now: float) -> float:
        """Return for how long the present request has kept the process busy, now that it is answered."""
        return self.busy_seconds + min(now - self._read_at, MAX_HANDLING_SECONDS)

    def finish(self) -> None:
        """Give back the memory of the present request, which has been answered or given up."""
        self.memory.release(self._size)
        self._size = 0

    def _grow(self, size: int) -> bool:
        grown = self.memory.grow(self._size, self._size + size)
        self._size += size if grown else 0
        return grown

    def _field_count(self) -> int:
        """Count the header fields that have arrived, of a head that h11 has not parsed yet."""
        received = self.conn.trailing_data[0]
        end = HEAD_END.search(received)
        return received.count(b"\n", 0, end.start() if end else len(received))

    def _receive(self) -> Reply | bool | None:
        """Pass what arrives next to h11; True unless the request ends here, with a reply or without."""
        if self._head is not None and self.conn.they_are_waiting_for_100_continue:
            self._write(self.conn.send(h11.InformationalResponse(status_code=100, headers=[])))
        started = self._size > 0
        try:
            data = self._receive_bytes()
        except gevent.Timeout:
            if started:
                raise
            return None  # an idle connection is closed without a reply
        if not data and not started:
            return None
        if not started:
            self._deadline = time.monotonic() + self.limits.header_seconds
        if not self._grow(len(data)):
            return self._out_of_memory()
        self.conn.receive_data(data)
        return True

    def _receive_bytes(self) -> bytes:
        left = self._deadline - time.monotonic()
        if left <= 0:
            raise gevent.Timeout(0)
        self.sock.settimeout(left)
        try:
            return self.sock.recv(READ_SIZE_BYTES)
        except TimeoutError as error:
            raise gevent.Timeout(left) from error

    def _write(self, data: bytes) -> None:
        self.sock.settimeout(self.limits.write_seconds)
        self.sock.sendall(data)

    def _request(self, body: bytes) -> Request:
        headers: dict[str, str] = {}
        for name, value in self._head.headers:
            name, value = name.decode("ascii"), value.decode("latin-1")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        method, target = self._head.method.decode("ascii"), self._head.target.decode("latin-1")
        return Request(method, target, headers, body, self.peer)

    def _too_large(self) -> Reply:
        return problem("too-large", f"at most {self.limits.body} bytes")

    def _out_of_memory(self) -> Reply:
        return problem("overloaded", "too many large requests at a time", [("Retry-After", "1")])
