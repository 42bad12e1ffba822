"""HTTP/1.1 on gevent sockets, blocking style: the server side and single calls to streamers.

h11 does the protocol. gevent's pywsgi is not used: it hides the peer's hanging up while a request is
handled, and bounds neither header counts nor slow senders, and both matter to a front.
"""

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
from herongap.http import Reply, Request, problem
from herongap.overload import ProcessLimits


class Peer:
    """The other end of a connection, while its request is handled."""

    def __init__(self, sock: socket.socket, name: str):
        self.sock, self.name, self.gone = sock, name, False

    def wait(self, done: Event, seconds: float) -> bool:
        """Wait for `done`; False if the time is up or the peer hangs up first, which `gone` then tells."""
        woken = Event()
        watcher = get_hub().loop.io(self.sock.fileno(), 1)

        def readable() -> None:
            with suppress(BlockingIOError):
                try:
                    more = self.sock._sock.recv(1, plain.MSG_PEEK | plain.MSG_DONTWAIT)
                except OSError:
                    more = b""
                watcher.stop()  # bytes of a next request hide a later end from us: then nobody is gone
                if not more:
                    self.gone = True
                    woken.set()

        def link(_) -> None:
            woken.set()

        done.rawlink(link)
        watcher.start(readable)
        try:
            woken.wait(max(0.0, seconds))
        finally:
            watcher.stop()
            watcher.close()
            done.unlink(link)
        return done.is_set()


def serve(
    sock: socket.socket, name: str, handle: Callable[[Request, Peer], Reply], bounds: ProcessLimits
) -> None:
    """Serve one connection until it ends. `handle` may block, and may raise: that is answered with 500."""
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=bounds.header)
    peer = Peer(sock, name)
    try:
        while _serve_one(sock, conn, peer, handle, bounds):
            conn.start_next_cycle()
    except (PeerDisconnectedError, OSError, h11.LocalProtocolError):
        pass
    finally:
        with suppress(OSError):
            sock.close()


def _serve_one(sock, conn, peer, handle, bounds) -> bool:
    try:
        request = _read_request(sock, conn, peer, bounds)
    except h11.RemoteProtocolError as fault:
        kind = "header-too-large" if fault.error_status_hint == 431 else "bad-request"
        _send(sock, conn, problem(kind, str(fault)), "", bounds, close=True)
        return False
    except gevent.Timeout:
        _send(sock, conn, problem("slow-request"), "", bounds, close=True)
        return False
    if request is None:
        return False
    if isinstance(request, Reply):
        _send(sock, conn, request, "", bounds, close=True)
        return False
    try:
        reply = handle(request, peer)
    except PeerDisconnectedError:
        raise
    except Exception as fault:
        get_hub().handle_error(gevent.getcurrent(), *_exc(fault))
        reply = problem("internal")
    _send(sock, conn, reply, request.method, bounds, close=False)
    return conn.our_state is h11.DONE and conn.their_state is h11.DONE


def _exc(fault: Exception) -> tuple:
    return type(fault), fault, fault.__traceback__


def _read_request(sock, conn, peer, bounds) -> Request | Reply | None:
    head = None
    body, size = [], 0
    deadline = time.monotonic() + bounds.idle_seconds
    begun = False
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            if head is not None and conn.they_are_waiting_for_100_continue:
                _write(sock, conn.send(h11.InformationalResponse(status_code=100, headers=[])), bounds)
            try:
                data = _receive(sock, deadline)
            except gevent.Timeout:
                if begun:
                    raise
                return None  # an idle connection is closed without a word
            if not data and head is None and not begun:
                return None
            if not begun:
                # One time for the whole head: a byte a second must not hold a connection for hours.
                begun, deadline = True, time.monotonic() + bounds.header_seconds
            conn.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
            deadline = time.monotonic() + bounds.body_seconds
            length = dict(event.headers).get(b"content-length")
            if length is not None and int(length) > bounds.body:
                # Said before the body is read: nobody waits for a hundred megabytes to be refused.
                return problem("too-large", f"at most {bounds.body} bytes")
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > bounds.body:
                return problem("too-large", f"at most {bounds.body} bytes")
            body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return _request(head, b"".join(body), peer)
        else:  # ConnectionClosed or PAUSED
            return None


def _request(head: h11.Request, body: bytes, peer: Peer) -> Request:
    headers: dict[str, str] = {}
    for name, value in head.headers:
        name, value = name.decode("ascii"), value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return Request(head.method.decode("ascii"), head.target.decode("latin-1"), headers, body, peer.name)


def _receive(sock, deadline: float) -> bytes:
    left = deadline - time.monotonic()
    if left <= 0:
        raise gevent.Timeout(0)
    sock.settimeout(left)
    try:
        return sock.recv(65536)
    except TimeoutError as slow:
        raise gevent.Timeout(left) from slow


def _write(sock, data: bytes, bounds) -> None:
    sock.settimeout(bounds.write_seconds)
    try:
        sock.sendall(data)
    except TimeoutError as slow:
        raise PeerDisconnectedError("slow reader") from slow


def _send(sock, conn, reply: Reply, method: str, bounds, close: bool) -> None:
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
        _write(sock, out + conn.send(h11.EndOfMessage()), bounds)
        if close:
            _linger(sock)
        return
    _write(sock, out, bounds)
    for chunk in body:
        _write(sock, conn.send(h11.Data(data=chunk)), bounds)
    _write(sock, conn.send(h11.EndOfMessage()), bounds)


def _linger(sock) -> None:
    # Closed with bytes unread, TCP resets the connection and the refusal is lost on its way to the peer.
    with suppress(OSError, TimeoutError):
        sock.shutdown(plain.SHUT_WR)
        sock.settimeout(0.5)
        for _ in range(64):
            if not sock.recv(65536):
                break


class ClientConnection:
    """One request to a streamer on a connection of its own or an idle one."""

    def __init__(self, address: Address, connect: float):
        """Connect; raises OSError. No byte of a request has been sent when it does."""
        self.sock = socket.create_connection(address, timeout=connect)
        self.sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        self.host = f"{address[0]}:{address[1]}"

    def send(
        self, method: str, target: str, headers: Iterable[tuple[str, str]] = (), body: bytes = b""
    ) -> None:
        """Send a request; raises OSError if not all of it could be handed to the network."""
        head = [("Host", self.host), ("Content-Length", str(len(body))), *headers]
        out = self.conn.send(h11.Request(method=method, target=target, headers=head))
        if body:
            out += self.conn.send(h11.Data(data=body))
        self.sock.settimeout(5.0)
        self.sock.sendall(out + self.conn.send(h11.EndOfMessage()))

    def receive(self, time_out: float, most: int = 1 << 20) -> Reply:
        """The whole reply; raises OSError (TimeoutError, ConnectionResetError) or h11.RemoteProtocolError."""
        deadline = time.monotonic() + time_out
        head, chunks = self.head(deadline), []
        while (chunk := self._data(deadline)) is not None:
            chunks.append(chunk)
            if sum(map(len, chunks)) > most:
                raise h11.RemoteProtocolError("the reply is too large")
        return Reply(head.status, head.headers, b"".join(chunks))

    def head(self, deadline: float) -> Reply:
        """The status and headers of the reply."""
        while True:
            event = self._event(deadline)
            if isinstance(event, h11.Response):
                headers = tuple((k.decode("ascii"), v.decode("latin-1")) for k, v in event.headers)
                return Reply(event.status_code, headers)

    def chunks(self, quiet: float):
        """The body as it comes; each chunk may take `quiet` seconds."""
        while (chunk := self.chunk(quiet)) is not None:
            yield chunk

    def chunk(self, quiet: float) -> bytes | None:
        """What comes next of the body within `quiet` seconds, None at its end."""
        return self._data(time.monotonic() + quiet)

    def _data(self, deadline: float) -> bytes | None:
        event = self._event(deadline)
        return bytes(event.data) if isinstance(event, h11.Data) else None

    def _event(self, deadline: float):
        while (event := self.conn.next_event()) is h11.NEED_DATA:
            left = deadline - time.monotonic()
            if left <= 0:
                raise TimeoutError("no answer")
            self.sock.settimeout(left)
            data = self.sock.recv(65536)
            if not data and self.conn.their_state is h11.SEND_RESPONSE:
                raise ConnectionResetError("closed before the answer")
            self.conn.receive_data(data)
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("closed before the answer")
        return event

    def hang_up(self) -> None:
        """Tell the peer that its answer is no longer waited for, and still be able to read it."""
        with suppress(OSError):
            self.sock.shutdown(plain.SHUT_WR)

    def reusable(self) -> bool:
        """Make ready for a next request; False if this connection bears none."""
        if self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE:
            self.conn.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        with suppress(OSError):
            self.sock.close()


def request_once(address: Address, method: str, target: str, headers=(), body: bytes = b"", time_out=5.0,
              connect=1.0) -> Reply:  # fmt: skip
    """One request on a connection of its own, and its reply; raises as `ClientConnection` does."""
    call = ClientConnection(address, connect)
    try:
        call.send(method, target, headers, body)
        return call.receive(time_out)
    finally:
        call.close()


class ConnectionPool:
    """Idle connections to one address, for requests that do no harm when sent twice (PATCH of a rung,
    DELETE).
    """

    KEEP = 8

    def __init__(self, address: Address, connect: float):
        self.address, self.connect, self.idle = address, connect, []

    def call(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes, time_out: float
    ) -> Reply:
        """One request and its reply; raises OSError or h11.RemoteProtocolError."""
        deadline = time.monotonic() + time_out
        while self.idle:
            call = self.idle.pop()
            try:
                return self._on(call, method, target, headers, body, deadline)
            except (OSError, h11.ProtocolError):
                call.close()  # an idle connection may have died unseen: once more on a new one
                if time.monotonic() >= deadline:
                    raise
        call = ClientConnection(self.address, min(self.connect, time_out))
        try:
            return self._on(call, method, target, headers, body, deadline)
        except BaseException:
            call.close()
            raise

    def keep(self, call: ClientConnection) -> None:
        """Take a connection whose reply was read whole, or close it."""
        if len(self.idle) < self.KEEP and call.reusable():
            self.idle.append(call)
        else:
            call.close()

    def _on(self, call, method, target, headers, body, deadline) -> Reply:
        call.send(method, target, headers, body)
        reply = call.receive(max(0.01, deadline - time.monotonic()))
        self.keep(call)
        return reply

    def close(self) -> None:
        for call in self.idle:
            call.close()
        self.idle.clear()


class Server:
    """Accepts connections and serves each in a greenlet of its own."""

    def __init__(
        self,
        listener: socket.socket,
        handle: Callable[[Request, Peer], Reply],
        bounds: ProcessLimits,
        overload_guard=None,
    ):
        self.listener, self.handle, self.bounds, self.overload_guard = (
            listener,
            handle,
            bounds,
            overload_guard,
        )
        self.address: Address = listener.getsockname()
        self.open: set = set()
        self._accepting = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, peer = self.listener.accept()
            except OSError as fault:
                if self.listener.closed:
                    return
                # Out of descriptors: those that are held go on, and accepting is tried again.
                get_hub().handle_error(self, *_exc(fault))
                gevent.sleep(0.1)
                continue
            if self.overload_guard and not self.overload_guard.connect(peer[0]):
                gevent.spawn(self._turn_away, sock)
                continue
            self.open.add(sock)
            gevent.spawn(self._serve, sock, peer[0])

    def _serve(self, sock, name: str) -> None:
        try:
            serve(sock, name, self.handle, self.bounds)
        finally:
            self.open.discard(sock)
            if self.overload_guard:
                self.overload_guard.disconnect(name)

    def _turn_away(self, sock) -> None:
        conn = h11.Connection(h11.SERVER)
        with suppress(OSError, PeerDisconnectedError, h11.LocalProtocolError):
            reply = problem("overloaded", "too many connections", [("Retry-After", "1")])
            _send(sock, conn, reply, "", self.bounds, close=True)
        with suppress(OSError):
            sock.close()

    def stop_accepting(self) -> None:
        self._accepting.kill(block=False)
        with suppress(OSError):
            self.listener.close()

    def close(self) -> None:
        """Stop accepting and cut every connection."""
        self.stop_accepting()
        for sock in list(self.open):
            with suppress(OSError):
                sock.shutdown(plain.SHUT_RDWR)
