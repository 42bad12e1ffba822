"""Polls the resolver for the streamer list over UDP; `platform.streamer_list` parses the answers."""

import socket as plain
from collections.abc import Callable

import gevent
import structlog
from gevent import socket
from gevent.event import Event

from herongap.platform.queries import OpenQueries
from herongap.platform.streamer_list import InvalidAnswerError, StreamerList, encode_query, parse_answer
from herongap.platform.turns import InputTurns, TurnPacer

Address = tuple[str, int]
POLL_INTERVAL_SECONDS = 0.4
REPEAT_AFTER_SECONDS = 0.25  # without any answer the next query is sent
RETRY_DELAY_SECONDS = 0.02
SILENT_AFTER_FAILURES = 8  # consecutive queries during which no valid answer came
MAX_DATAGRAM_BYTES = 65535
log = structlog.get_logger()


class Resolver:
    """Calls `on_list` with each list that is newer than the last.

    `address` may change between two queries; setting `poll_now` sends the next query without delay.
    """

    def __init__(
        self,
        address: Address,
        seed: int,
        racks: int,
        serial: int,
        on_list: Callable[[StreamerList], None],
        clock: Callable[[], float],
    ):
        self.address, self.racks, self.serial, self.on_list = address, racks, serial, on_list
        self.clock, self.failures = clock, 0
        # Datagrams since the last valid answer: those that answer no open query, and other unusable ones.
        self.unmatched = self.invalid = 0
        self.poll_now = Event()
        self.pacer = TurnPacer(clock)
        self._queries = OpenQueries(seed)
        self._last_answer, self._slowest_answer = b"", 0.0
        self._answered = Event()  # a valid answer has come since the last query was judged
        self._socket: socket.socket | None = None
        self._connected_to: Address | None = None

    def run(self) -> None:
        """Send queries; never returns."""
        while True:
            try:
                self._send_query()
            except OSError as error:
                log.debug("cannot query the resolver", cause=str(error))
                self._connected_to = None  # so that the next query opens a new socket
            except Exception:
                log.exception("internal error; the resolver is queried again")
            answered = self._answered.wait(REPEAT_AFTER_SECONDS)
            self._answered.clear()
            self._count_failures(answered)
            self.poll_now.wait(POLL_INTERVAL_SECONDS if answered else RETRY_DELAY_SECONDS)
            self.poll_now.clear()

    def close(self) -> None:
        """Close the socket; `run` is to be ended before."""
        if self._socket:
            self._socket.close()

    def pop_slowest_answer(self) -> float:
        """Return how many seconds the slowest valid answer since the last call took."""
        slowest, self._slowest_answer = self._slowest_answer, 0.0
        return slowest

    def _count_failures(self, answered: bool) -> None:
        if answered and self.failures >= SILENT_AFTER_FAILURES:
            log.info("resolver answers again", after=self.failures)
        self.failures = 0 if answered else self.failures + 1
        if self.failures == SILENT_AFTER_FAILURES:
            log.warning(
                "resolver does not answer",
                address="{}:{}".format(*self.address),
                unmatched=self.unmatched,
                invalid=self.invalid,
            )

    def _send_query(self) -> None:
        """Send a query; raises OSError."""
        if self._connected_to != self.address:
            self._connect()
        self._socket.send(encode_query(self._queries.open(self.clock())))

    def _connect(self) -> None:
        """Open a socket that is connected to the address, so that the system drops packets from any other.

        All queries share one socket: with no descriptor left, a new one for each query could not be opened.
        """
        if self._socket:
            self._socket.close()
        self._connected_to, self._socket = None, socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._queries.close_all()
        self._socket.connect(self.address)
        self._connected_to = self.address
        gevent.spawn(self._receive, self._socket)

    def _receive(self, sock: socket.socket) -> None:
        """Handle what arrives until the socket is closed."""
        turns = InputTurns(self.pacer)
        while sock is self._socket:
            if (pause := turns.pause()) > 0:
                gevent.sleep(pause)
                continue
            try:
                data = sock._sock.recv(MAX_DATAGRAM_BYTES, plain.MSG_DONTWAIT)
            except (BlockingIOError, InterruptedError):
                try:
                    sock._wait(sock._read_event)
                except OSError:
                    return  # closed
                turns.input_exhausted()
                continue
            except OSError:
                # Nothing listens at the address: the system reports this once for a query.
                gevent.sleep(RETRY_DELAY_SECONDS)
                continue
            began = self.clock()
            self._handle_datagram(data)
            turns.input_handled(len(data), began)

    def _handle_datagram(self, data: bytes) -> None:
        query_id = int.from_bytes(data[:2], "big")
        age = self._queries.age(query_id, self.clock())
        if age is None:
            self.unmatched += 1
            return
        try:
            valid = self._handle_answer(data, query_id)
        except Exception:
            log.exception("internal error; the answer of the resolver is skipped")
            valid = False
        if not valid:
            self.invalid += 1
            return
        self._queries.close(query_id)
        self.unmatched = self.invalid = 0
        self._slowest_answer = max(self._slowest_answer, age)
        self._answered.set()

    def _handle_answer(self, data: bytes, query_id: int) -> bool:
        """Use an answer to an open query; whether it is valid."""
        if data[2:] == self._last_answer:
            return True
        try:
            streamer_list = parse_answer(data, query_id, self.racks)
        except InvalidAnswerError as error:
            log.debug("invalid answer of the resolver", cause=str(error))
            return False
        if streamer_list.serial < self.serial:
            return False  # older than the list in use: a drain that is known must not be undone
        self._last_answer = data[2:]
        if streamer_list.serial > self.serial:
            self.serial = streamer_list.serial
            self.on_list(streamer_list)
        return True
