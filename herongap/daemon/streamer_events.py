"""Subscriptions to the event streams of streamers, whose events are passed on to a listener."""

import time
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import gevent
import h11
import structlog

from herongap.daemon.http_connection import Address, ClientConnection
from herongap.host.liveness import Liveness, StreamerLiveness
from herongap.interface import EndReason
from herongap.whep import EventReader

Id = int | str
log = structlog.get_logger()
# The reasons that streamers give for the regular end of a session; any other counts as broken off.
END_REASONS = {"ended": EndReason.PLAYED, "viewer-gone": EndReason.PLAYED}
EVENT_TYPES = b'["active","inactive","layers","viewercount","load","delivery"]'


class StreamerEventListener(Protocol):
    """Receives what streamers report.

    A share is the part of its load that a streamer delivers, 0 to 1; a load is the ratio of demand to
    capacity of its link or of its rack's uplink. A session that ended is named by its resource at the
    streamer, a streamer that was lost with the target of its event stream. A stream is restored when it can
    be read again after a break.
    """

    def on_share_reported(self, streamer: Id, share: float) -> None: ...

    def on_load_reported(self, streamer: Id, uplink: bool, ratio: float) -> None: ...

    def on_session_ended(self, streamer: Id, resource: str, reason: EndReason) -> None: ...

    def on_stream_restored(self, streamer: Id, target: str) -> None: ...

    def on_streamer_lost(self, streamer: Id, target: str, cause: str) -> None: ...


class EventSubscription:
    """One event stream: subscribe (POST), read (GET), reconnect after a break.

    `name` is the controller's name, sent in the Via header.
    """

    def __init__(self, listener: StreamerEventListener, name: str, connect_timeout: float,
                 clock: Callable[[], float], streamer: Id, address: Address, target: str):  # fmt: skip
        self.listener, self.name, self.connect_timeout, self.clock = listener, name, connect_timeout, clock
        self.streamer, self.address, self.target = streamer, address, target
        self.liveness = StreamerLiveness(clock())
        self.connection: ClientConnection | None = None
        self.silent = self._was_read = False
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the subscription and close its connection."""
        self._greenlet.kill(block=False)
        if self.connection:
            self.connection.close()

    def _run(self) -> None:
        backoff = 0.05
        while True:
            unknown = False
            try:
                unknown = self._read_stream()
                backoff = 0.05
            except (OSError, h11.ProtocolError, ValueError) as error:
                log.info("event stream broke", streamer=self.streamer, cause=repr(error))
            finally:
                if self.connection:
                    self.connection.close()
            if self.liveness.on_stream_broken(self.clock(), unknown):
                self._report_lost("its event stream cannot be restored")
                return
            gevent.sleep(backoff)
            backoff = min(0.5, 2 * backoff)

    def _report_lost(self, cause: str) -> None:
        self.listener.on_streamer_lost(self.streamer, self.target, cause)

    def _read_stream(self) -> bool:
        """Read until the stream ends; True if the streamer does not know it (any more)."""
        self.connection = ClientConnection(self.address, self.connect_timeout)
        via = [("Via", f"1.1 {self.name}")]
        self.connection.send("POST", self.target, [*via, ("Content-Type", "application/json")], EVENT_TYPES)
        created = self.connection.receive(2.0)
        if created.status in (404, 410):
            return True
        if created.status != 201 or not self.connection.reusable():
            raise ConnectionError(f"no event stream: {created.status}")
        self.connection.send(
            "GET", created.header("location") or self.target, [*via, ("Accept", "text/event-stream")]
        )
        head = self.connection.head(time.monotonic() + 2.0)
        if head.status != 200:
            return head.status in (404, 410)
        if self._was_read:
            self.listener.on_stream_restored(self.streamer, self.target)
        self._was_read = True
        reader, chunks = EventReader(), self.connection.chunks(1.0)
        while True:
            try:
                chunk = next(chunks)
            except StopIteration:
                return False
            except TimeoutError:
                chunks = self.connection.chunks(1.0)
                if self._check_silence():
                    gevent.spawn(self._report_lost, "silent")
                    self.stop()
                continue
            self.liveness.on_data(self.clock())
            for event, data in reader.feed(chunk):
                self._dispatch(event, data)

    def _check_silence(self) -> bool:
        """Report a silent streamer as delivering nothing; True if it counts as lost."""
        liveness = self.liveness.check(self.clock())
        if liveness is Liveness.SILENT:
            self.listener.on_share_reported(self.streamer, 0.0)
        return liveness is Liveness.LOST

    def _dispatch(self, event: str, data: dict) -> None:
        # Values that a streamer sends may be missing or of the wrong type; such an event is ignored.
        with suppress(KeyError, TypeError, ValueError):
            if event == "delivery":
                self.listener.on_share_reported(self.streamer, min(1.0, max(0.0, float(data["share"]))))
            elif event == "load":
                for key, uplink in (("link", False), ("rack", True)):
                    if data.get(key) is not None:
                        ratio = min(100.0, max(0.0, float(data[key])))
                        self.listener.on_load_reported(self.streamer, uplink, ratio)
            elif event == "inactive" and "resource" in data:
                reason = END_REASONS.get(data.get("reason"), EndReason.BROKEN)
                self.listener.on_session_ended(self.streamer, str(data["resource"]), reason)
