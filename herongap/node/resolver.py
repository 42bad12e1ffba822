"""Polls the resolver for the streamer list over UDP; `platform.streamer_list` parses the answers."""

from collections.abc import Callable
from contextlib import suppress
from zlib import crc32

import gevent
import structlog
from gevent import socket

from herongap.platform.streamer_list import InvalidAnswerError, StreamerList, encode_query, parse_answer

Address = tuple[str, int]
POLL_INTERVAL_SECONDS, ANSWER_TIMEOUT_SECONDS = 0.4, 0.25
RETRY_DELAY_SECONDS = 0.02
SILENT_AFTER_FAILURES = 8  # consecutive queries without a valid answer
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
    ):
        self.address, self.racks, self.serial, self.on_list = address, racks, serial, on_list
        self.seed, self.query_count, self.failures = seed, 0, 0
        self._last_answer = b""
        self._socket: socket.socket | None = None
        self._connected_to: Address | None = None
        self.poll_now = gevent.event.Event()

    def run(self) -> None:
        """Send queries; never returns."""
        while True:
            answered = False
            try:
                answered = self._query()
            except OSError as error:
                log.debug("cannot query the resolver", cause=str(error))
                self._connected_to = None  # so that the next query opens a new socket
            except Exception:
                log.exception("internal error; the resolver is queried again")
            if answered and self.failures >= SILENT_AFTER_FAILURES:
                log.info("resolver answers again", after=self.failures)
            self.failures = 0 if answered else self.failures + 1
            if self.failures == SILENT_AFTER_FAILURES:
                log.warning("resolver does not answer", address="{}:{}".format(*self.address))
            self.poll_now.clear()
            self.poll_now.wait(POLL_INTERVAL_SECONDS if answered else RETRY_DELAY_SECONDS)

    def _query(self) -> bool:
        """Send one query; whether it got a valid answer."""
        self.query_count += 1
        # The ids are hard to predict, so that no other sender's packet passes for the answer.
        query_id = crc32(b"%d:%d" % (self.seed, self.query_count)) & 0xFFFF
        sock = self._connected_socket(self.address)
        sock.send(encode_query(query_id))
        with gevent.Timeout(ANSWER_TIMEOUT_SECONDS, False), suppress(ConnectionError):
            while True:
                data = sock.recv(65535)
                if data[:2] == query_id.to_bytes(2, "big") and self._handle_answer(data, query_id):
                    return True
        return False

    def _connected_socket(self, address: Address) -> socket.socket:
        """Return a socket connected to `address`, so that the system drops packets from any other.

        All queries share one socket: with no descriptor left, a new one for each query could not be opened.
        """
        if self._connected_to != address:
            if self._socket:
                self._socket.close()
            self._connected_to, self._socket = None, socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._socket.connect(address)
            self._connected_to = address
        return self._socket

    def _handle_answer(self, data: bytes, query_id: int) -> bool:
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
