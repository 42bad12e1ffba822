"""HTTP/1.1 on gevent sockets, in blocking style: a server, and client connections to streamers and etcd.

h11 implements the protocol. gevent's pywsgi is not used: it hides a peer's disconnect while a request is
handled, and it limits neither header counts nor slow senders.
"""

import itertools
import socket as plain
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from http.client import responses

import gevent
import h11
from gevent import socket
from gevent.event import Event
from gevent.hub import get_hub

from herongap.daemon.errors import PeerDisconnectedError
from herongap.daemon.listen import Address
from herongap.daemon.request_reader import RequestReader
from herongap.http import Reply, Request, problem
from herongap.overload import ProcessLimits, RequestMemory
from herongap.platform.turns import MIN_PAUSE_SECONDS, TURN_ACCEPTS, TurnPacer

READ_SIZE_BYTES = 65536
MAX_REPLY_HEAD_BYTES = 65536


class Peer:
    """The client end of a server connection, while its request is handled."""

    def __init__(self, sock: socket.socket, name: str):
        self.sock, self.name, self.gone = sock, name, False

    def wait(self, done: Event, seconds: float) -> bool:
        """Wait for `done`; False if the time is up or the peer disconnects first, which sets `gone`."""
        wakeup = Event()
        watcher = get_hub().loop.io(self.sock.fileno(), 1)

        def readable() -> None:
            with suppress(BlockingIOError):
                try:
                    more = self.sock._sock.recv(1, plain.MSG_PEEK | plain.MSG_DONTWAIT)
                except OSError:
                    more = b""
                # Bytes of a next request hide a later disconnect: the peer then counts as connected.
                watcher.stop()
                if not more:
                    self.gone = True
                    wakeup.set()

        def wake(_) -> None:
            wakeup.set()

        done.rawlink(wake)
        watcher.start(readable)
        try:
            wakeup.wait(max(0.0, seconds))
        finally:
            watcher.stop()
            watcher.close()
            done.unlink(wake)
        return done.is_set()


def serve(
    sock: socket.socket,
    name: str,
    handle: Callable[[Request, Peer], Reply],
    limits: ProcessLimits,
    memory: RequestMemory,
    pacer: TurnPacer,
) -> None:
    """Serve one connection until it ends. `handle` may block; an exception of it is answered with 500.

    A client whose next request is there already is served again when `pacer` says so.
    """
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header)
    peer, reader = Peer(sock, name), RequestReader(sock, conn, name, limits, memory)
    try:
        while _serve_one(sock, conn, peer, reader, handle, limits):
            conn.start_next_cycle()
            if reader.has_input():
                now = pacer.clock()
                gevent.sleep(pacer.next_turn_after(reader.turn_seconds(now)) - now)
            reader.busy_seconds = 0.0
    except (PeerDisconnectedError, OSError, h11.LocalProtocolError):
        pass
    finally:
        with suppress(OSError):
            sock.close()


def _serve_one(sock, conn, peer, reader, handle, limits) -> bool:
    try:
        return _answer_next(sock, conn, peer, reader, handle, limits)
    finally:
        reader.finish()


def _answer_next(sock, conn, peer, reader, handle, limits) -> bool:
    try:
        request = reader.read()
    except h11.RemoteProtocolError as error:
        kind = "header-too-large" if error.error_status_hint == 431 else "bad-request"
        _send(sock, conn, problem(kind, str(error)), "", limits, close=True)
        return False
    except gevent.Timeout:
        _send(sock, conn, problem("slow-request"), "", limits, close=True)
        return False
    if request is None:
        return False
    if isinstance(request, Reply):
        _send(sock, conn, request, "", limits, close=True)
        return False
    try:
        reply = handle(request, peer)
    except PeerDisconnectedError:
        raise
    except Exception as error:
        get_hub().handle_error(gevent.getcurrent(), *_exc_info(error))
        reply = problem("internal")
    _send(sock, conn, reply, request.method, limits, close=False)
    return conn.our_state is h11.DONE and conn.their_state is h11.DONE


def _exc_info(error: Exception) -> tuple:
    return type(error), error, error.__traceback__


def _write(sock, data: bytes, limits) -> None:
    sock.settimeout(limits.write_seconds)
    try:
        sock.sendall(data)
    except TimeoutError as error:
        raise PeerDisconnectedError("slow reader") from error


def _send(sock, conn, reply: Reply, method: str, limits, close: bool) -> None:
    body = reply.body
    headers = [*reply.headers]
    if isinstance(body, bytes):
        if reply.status != 204:
            headers.append(("Content-Length", str(len(body))))
    else:
        headers.append(("Transfer-Encoding", "chunked"))
    if close:
        headers.append(("Connection", "close"))
    out = conn.send(
        h11.Response(status_code=reply.status, headers=headers, reason=responses.get(reply.status, ""))
    )
    if method == "HEAD" or reply.status == 204:
        body = b""
    if isinstance(body, bytes):
        if body:
            out += conn.send(h11.Data(data=body))
        _write(sock, out + conn.send(h11.EndOfMessage()), limits)
        if close:
            _drain_before_close(sock)
        return
    _write(sock, out, limits)
    for chunk in body:
        _write(sock, conn.send(h11.Data(data=chunk)), limits)
    _write(sock, conn.send(h11.EndOfMessage()), limits)


def _drain_before_close(sock) -> None:
    # If the socket were closed with unread bytes, TCP would reset the connection and the reply could be lost.
    with suppress(OSError, TimeoutError):
        sock.shutdown(plain.SHUT_WR)
        sock.settimeout(0.5)
        for _ in range(64):
            if not sock.recv(READ_SIZE_BYTES):
                break


class ClientConnection:
    """A connection to a server, for one request at a time."""

    def __init__(self, address: Address, connect_timeout: float):
        """Connect, within `connect_timeout` seconds.

        Raises OSError, in which case no byte of a request was sent.
        """
        self.sock = socket.create_connection(address, timeout=connect_timeout)
        self.sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_REPLY_HEAD_BYTES)
        self.host = f"{address[0]}:{address[1]}"

    def send(
        self, method: str, target: str, headers: Iterable[tuple[str, str]] = (), body: bytes = b""
    ) -> None:
        """Send a request; raises OSError if it could not be handed to the network completely."""
        head = [("Host", self.host), ("Content-Length", str(len(body))), *headers]
        out = self.conn.send(h11.Request(method=method, target=target, headers=head))
        if body:
            out += self.conn.send(h11.Data(data=body))
        self.sock.settimeout(5.0)
        self.sock.sendall(out + self.conn.send(h11.EndOfMessage()))

    def receive(self, timeout: float, max_size: int = 1 << 20) -> Reply:
        """Read the whole reply, at most `max_size` bytes of body.

        Raises OSError (TimeoutError, ConnectionResetError) or h11.RemoteProtocolError.
        """
        deadline = time.monotonic() + timeout
        head, chunks = self.head(deadline), []
        while (chunk := self._data(deadline)) is not None:
            chunks.append(chunk)
            if sum(map(len, chunks)) > max_size:
                raise h11.RemoteProtocolError("reply too large")
        return Reply(head.status, head.headers, b"".join(chunks))

    def head(self, deadline: float) -> Reply:
        """Read the status and headers of the reply."""
        while True:
            event = self._event(deadline)
            if isinstance(event, h11.Response):
                headers = tuple((k.decode("ascii"), v.decode("latin-1")) for k, v in event.headers)
                return Reply(event.status_code, headers)

    def chunks(self, timeout: float):
        """Yield the body as it arrives; each chunk may take `timeout` seconds."""
        while (chunk := self.chunk(timeout)) is not None:
            yield chunk

    def chunk(self, timeout: float) -> bytes | None:
        """Read the next chunk of the body within `timeout` seconds; None at its end."""
        return self._data(time.monotonic() + timeout)

    def _data(self, deadline: float) -> bytes | None:
        event = self._event(deadline)
        return bytes(event.data) if isinstance(event, h11.Data) else None

    def _event(self, deadline: float):
        while (event := self.conn.next_event()) is h11.NEED_DATA:
            left = deadline - time.monotonic()
            if left <= 0:
                raise TimeoutError("no answer")
            self.sock.settimeout(left)
            data = self.sock.recv(READ_SIZE_BYTES)
            if not data and self.conn.their_state is h11.SEND_RESPONSE:
                raise ConnectionResetError("connection closed before the answer")
            self.conn.receive_data(data)
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("connection closed before the answer")
        return event

    def half_close(self) -> None:
        """Shut down the sending side: the answer is no longer awaited, but can still be read."""
        with suppress(OSError):
            self.sock.shutdown(plain.SHUT_WR)

    def reusable(self) -> bool:
        """Prepare for another request; False if this connection cannot carry one."""
        if self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE:
            self.conn.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            self.sock.close()


def request_once(address: Address, method: str, target: str, headers=(), body: bytes = b"", timeout=5.0,
              connect_timeout=1.0) -> Reply:  # fmt: skip
    """Send one request on a new connection and return its reply; raises as `ClientConnection` does."""
    connection = ClientConnection(address, connect_timeout)
    try:
        connection.send(method, target, headers, body)
        return connection.receive(timeout)
    finally:
        connection.close()


class ConnectionPool:
    """Idle connections to one address, for requests that are safe to send twice (PATCH of a rung, DELETE)."""

    MAX_IDLE = 8

    def __init__(self, address: Address, connect_timeout: float):
        self.address, self.connect_timeout, self.idle = address, connect_timeout, []

    def call(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes, timeout: float
    ) -> Reply:
        """Send one request and return its reply; raises OSError or h11.RemoteProtocolError."""
        deadline = time.monotonic() + timeout
        while self.idle:
            connection = self.idle.pop()
            try:
                return self._exchange(connection, method, target, headers, body, deadline)
            except (OSError, h11.ProtocolError):
                connection.close()  # an idle connection may have been closed unnoticed: retry on another one
                if time.monotonic() >= deadline:
                    raise
        connection = ClientConnection(self.address, min(self.connect_timeout, timeout))
        try:
            return self._exchange(connection, method, target, headers, body, deadline)
        except BaseException:
            connection.close()
            raise

    def keep(self, connection: ClientConnection) -> None:
        """Keep a connection whose reply was read completely, or close it."""
        if len(self.idle) < self.MAX_IDLE and connection.reusable():
            self.idle.append(connection)
        else:
            connection.close()

    def _exchange(self, connection, method, target, headers, body, deadline) -> Reply:
        connection.send(method, target, headers, body)
        reply = connection.receive(max(0.01, deadline - time.monotonic()))
        self.keep(connection)
        return reply

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Server:
    """Accepts connections and serves each in its own greenlet."""

    def __init__(
        self,
        listener: socket.socket,
        handle: Callable[[Request, Peer], Reply],
        limits: ProcessLimits,
        overload_guard=None,
    ):
        self.listener, self.handle, self.limits, self.overload_guard = (
            listener,
            handle,
            limits,
            overload_guard,
        )
        self.address: Address = listener.getsockname()
        self.open: set = set()
        self.memory, self.pacer = RequestMemory(limits.pending_bytes), TurnPacer(time.monotonic)
        self._accepting = gevent.spawn(self._accept)

    def _accept(self) -> None:
        for accepted in itertools.count(1):
            if accepted % TURN_ACCEPTS == 0:
                gevent.sleep(MIN_PAUSE_SECONDS)
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                if self.listener.closed:
                    return
                # Out of file descriptors: open connections continue, and accepting is retried.
                get_hub().handle_error(self, *_exc_info(error))
                gevent.sleep(0.1)
                continue
            if self.overload_guard and not self.overload_guard.connect(peer[0]):
                gevent.spawn(self._reject, sock)
                continue
            self.open.add(sock)
            gevent.spawn(self._serve, sock, peer[0])

    def _serve(self, sock, name: str) -> None:
        try:
            serve(sock, name, self.handle, self.limits, self.memory, self.pacer)
        finally:
            self.open.discard(sock)
            if self.overload_guard:
                self.overload_guard.disconnect(name)

    def _reject(self, sock) -> None:
        conn = h11.Connection(h11.SERVER)
        with suppress(OSError, PeerDisconnectedError, h11.LocalProtocolError):
            reply = problem("overloaded", "too many connections", [("Retry-After", "1")])
            _send(sock, conn, reply, "", self.limits, close=True)
        with suppress(OSError):
            sock.close()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections continue."""
        self._accepting.kill(block=False)
        with suppress(OSError):
            self.listener.close()

    def close(self) -> None:
        """Stop accepting and shut down every connection."""
        self.stop_accepting()
        for sock in list(self.open):
            with suppress(OSError):
                sock.shutdown(plain.SHUT_RDWR)
