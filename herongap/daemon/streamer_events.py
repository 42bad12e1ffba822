"""Following a streamer's event stream, and passing on what it tells."""

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
# How a streamer says that a session ended; anything else counts as broken off.
REASONS = {"ended": EndReason.PLAYED, "viewer-gone": EndReason.PLAYED}
WANTED = b'["active","inactive","layers","viewercount","load","delivery"]'


class Listener(Protocol):
    """Who is told what a streamer says."""

    def share_told(self, streamer: Id, share: float) -> None: ...

    def load_told(self, streamer: Id, uplink: bool, ratio: float) -> None: ...

    def ended_at(self, streamer: Id, resource: str, how: EndReason) -> None: ...

    def lost(self, streamer: Id, target: str, cause: str) -> None: ...


class EventSubscription:
    """One event stream: subscribe (POST), read (GET), come back after a break. `name` is the front's."""

    def __init__(self, listener: Listener, name: str, connect: float, clock: Callable[[], float],
                 streamer: Id, address: Address, target: str):  # fmt: skip
        self.listener, self.name, self.connect, self.clock = listener, name, connect, clock
        self.streamer, self.address, self.target = streamer, address, target
        self.liveness = StreamerLiveness(clock())
        self.call: ClientConnection | None = None
        self.silent = False
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        self._greenlet.kill(block=False)
        if self.call:
            self.call.close()

    def _run(self) -> None:
        wait = 0.05
        while True:
            unknown = False
            try:
                unknown = self._read_stream()
                wait = 0.05
            except (OSError, h11.ProtocolError, ValueError) as fault:
                log.info("event stream broke", streamer=self.streamer, cause=repr(fault))
            finally:
                if self.call:
                    self.call.close()
            if self.liveness.on_stream_broken(self.clock(), unknown):
                self._lost("its event stream cannot be had")
                return
            gevent.sleep(wait)
            wait = min(0.5, 2 * wait)

    def _lost(self, cause: str) -> None:
        self.listener.lost(self.streamer, self.target, cause)

    def _read_stream(self) -> bool:
        """Read until the stream ends; True if the streamer does not know it (any more)."""
        self.call = ClientConnection(self.address, self.connect)
        name = [("Via", f"1.1 {self.name}")]
        self.call.send("POST", self.target, [*name, ("Content-Type", "application/json")], WANTED)
        made = self.call.receive(2.0)
        if made.status in (404, 410):
            return True
        if made.status != 201 or not self.call.reusable():
            raise ConnectionError(f"no event stream: {made.status}")
        self.call.send(
            "GET", made.header("location") or self.target, [*name, ("Accept", "text/event-stream")]
        )
        head = self.call.head(time.monotonic() + 2.0)
        if head.status != 200:
            return head.status in (404, 410)
        reader, chunks = EventReader(), self.call.chunks(1.0)
        while True:
            try:
                chunk = next(chunks)
            except StopIteration:
                return False
            except TimeoutError:
                chunks = self.call.chunks(1.0)
                if self._quiet():
                    gevent.spawn(self._lost, "silent")
                    self.stop()
                continue
            self.liveness.on_data(self.clock())
            for name, data in reader.feed(chunk):
                self._tell(name, data)

    def _quiet(self) -> bool:
        word = self.liveness.check(self.clock())
        if word is Liveness.SILENT:
            self.listener.share_told(self.streamer, 0.0)
        return word is Liveness.LOST

    def _tell(self, name: str, data: dict) -> None:
        # A streamer's word is not to be trusted to be a number.
        with suppress(KeyError, TypeError, ValueError):
            if name == "delivery":
                self.listener.share_told(self.streamer, min(1.0, max(0.0, float(data["share"]))))
            elif name == "load":
                for key, uplink in (("link", False), ("rack", True)):
                    if data.get(key) is not None:
                        ratio = min(100.0, max(0.0, float(data[key])))
                        self.listener.load_told(self.streamer, uplink, ratio)
            elif name == "inactive" and "resource" in data:
                how = REASONS.get(data.get("reason"), EndReason.BROKEN)
                self.listener.ended_at(self.streamer, str(data["resource"]), how)
