"""A scripted DASH player: manifest, segments by a throughput rule under its rungs, a buffer, CMCD.

It plays in real time: a second of buffer is used up each second, an empty buffer is a stall. What it does on
errors is what players do: a refused token or rung, a session that is gone or a connection that breaks make it
fetch its manifest again, 503 makes it wait as told.
"""

import random
import time
from typing import NamedTuple
from urllib.parse import quote, urlsplit
from xml.etree import ElementTree as Xml

import gevent
import h11

from herongap.daemon.http_connection import Address, ConnectionPool, request_once
from herongap.http import Reply, problem_kind

NS = "{urn:mpeg:dash:schema:mpd:2011}"
AHEAD = 6.0  # seconds of buffer at which it pauses
SAFE = 0.8  # part of the measured throughput that a rung may take
NETWORK = (OSError, h11.ProtocolError)


class Manifest(NamedTuple):
    """What a player takes from a manifest. `rates` are kB a second by rung."""

    base: str
    location: str
    update: float
    segment: float
    rates: dict[int, float]
    live: bool
    streamer: Address
    count: int


def read_manifest(data: bytes, now: float) -> Manifest:
    mpd = Xml.fromstring(data)
    template = next(mpd.iter(f"{NS}SegmentTemplate"))
    segment = int(template.get("duration")) / int(template.get("timescale"))
    rates = {int(r.get("id")): int(r.get("bandwidth")) / 8000 for r in mpd.iter(f"{NS}Representation")}
    base = mpd.find(f"{NS}BaseURL").text
    parts = urlsplit(base)
    live = mpd.get("type") == "dynamic"
    length = mpd.get("mediaPresentationDuration")
    count = int(now / segment) if live else -(-float(length[2:-1]) // segment)
    location, update = urlsplit(mpd.find(f"{NS}Location").text).path, mpd.get("minimumUpdatePeriod")
    streamer = parts.hostname, parts.port
    return Manifest(parts.path, location, float(update[2:-1]), segment, rates, live, streamer, int(count))


class Player:
    """One player of one title at one front. Times are the clock's; `stalled` and `played` are seconds."""

    def __init__(self, name: str, front: Address, target: str, log, seed: int = 0, headers=(),
                 clock=time.monotonic):  # fmt: skip
        self.name, self.front, self.target, self.log, self.clock = name, front, target, log, clock
        self.headers, self.random = list(headers), random.Random(f"{seed} {name}")
        self.again()
        self.next = 1
        self.buffer = self.played = self.stalled = 0.0
        self.rate, self.starved, self.moves = 0.0, False, 0
        self.rungs: list[int] = []
        self.statuses: list[int] = []
        self.read_at = float("-inf")
        self.pools: dict[Address, ConnectionPool] = {}

    def again(self) -> None:
        """Begin a new session, as a player does that is opened anew or goes to another front."""
        self.sid, self.turn = f"{self.random.getrandbits(64):016x}", 0
        self.manifest, self.location = None, ""

    # Manifests.

    def join(self, patience: float = 5.0) -> Reply | None:
        """The first manifest; its reply, None where none came in time."""
        sign = "&" if "?" in self.target else "?"
        return self._fetch(f"{self.target}{sign}session={self.sid}", patience)

    def refresh(self, patience: float = 5.0) -> Reply | None:
        return self._fetch(self.location, patience)

    def _fetch(self, target: str, patience: float) -> Reply | None:
        began, reply, kind = self.clock(), None, ""
        try:
            reply = request_once(self.front, "GET", target, self.headers, timeout=patience)
        except TimeoutError:
            kind = "gave-up"
        except NETWORK as fault:
            kind = f"broken: {fault!r}"[:80]
        status = reply.status if reply else 0
        self.statuses.append(status)
        turn = int(reply.header("etag").strip('"')) if status == 200 else self.turn
        if status != 200 or turn >= self.turn:
            # A viewing of its own, which this request made, or would have: one line each, as other clients.
            self._told(f"{self.sid}/{turn}", began, status, kind, patience, reply)
            self.turn = turn + 1
        if status == 200:
            self._read(reply)
        return reply

    def _told(self, identity, began, status, kind, patience, reply) -> None:
        self.log(
            self.name, "asked", identity=identity, target=self.target, patience=patience, front=self.front[1]
        )
        location = reply.header("content-location") if status == 200 else ""
        kind = kind or (problem_kind(reply.body) if status != 200 else "")
        self.log(
            self.name, "answered", identity=identity, asked=began, status=201 if status == 200 else status,
            kind=kind, taken=round(self.clock() - began, 4), front=self.front[1], location=location,
        )  # fmt: skip

    def _read(self, reply: Reply) -> None:
        before, self.manifest = self.manifest, read_manifest(reply.body, time.time())
        self.location, self.read_at = self.manifest.location, self.clock()
        if before is None:
            # A live title is joined where a segment is whole; numbers are counted from the epoch.
            self.next = self.manifest.count if self.manifest.live else max(1, self.next)
        elif before.streamer != self.manifest.streamer:
            self.moves += 1

    # Playing.

    def play(self, seconds: float) -> bool:
        """Play for so long, or to the end of a recorded title; False if it had to give up."""
        end = self.clock() + seconds
        refused = 0
        while self.clock() < end:
            m = self.manifest
            if m is None or self.clock() - self.read_at >= m.update:
                reply = self.refresh() if self.location else self.join()
                if reply is None or reply.status != 200:
                    refused += 1
                    if refused > 4 or (reply is not None and reply.status in (404, 410)):
                        return False
                    wait = float(reply.header("retry-after") or 0.3) if reply is not None else 0.3
                    self._pass(min(wait, max(0.0, end - self.clock())))
                    if m is None or reply is None or reply.status == 503:
                        continue
                refused, m = 0, self.manifest
            if not m.live and self.next > m.count:
                return True
            if self.buffer >= AHEAD:
                self._pass(min(0.25, end - self.clock()))
                continue
            if m.live and self.next > int(time.time() / m.segment):
                self._pass(0.1)
                continue
            if not self._segment(m):
                self.read_at = float("-inf")  # ask for the manifest before anything else
                self._pass(0.05)
        return True

    def _segment(self, m: Manifest) -> bool:
        rung = self._choose(m)
        told = f'bl={int(self.buffer * 1000)},br={int(m.rates[rung] * 8)},sid="{self.sid}"'
        told += ",bs" if self.starved else ""
        pool = self.pools.setdefault(m.streamer, ConnectionPool(m.streamer, 0.5))
        began = self.clock()
        try:
            target = f"{m.base}{rung}/{self.next}.m4s?CMCD={quote(told)}"
            reply = pool.call("GET", target, self.headers, b"", 4 * m.segment)
        except NETWORK as fault:
            self._use(self.clock() - began)
            self.log(self.name, "segment-lost", cause=repr(fault)[:80])
            return False
        took = self.clock() - began
        self._use(took)
        self.statuses.append(reply.status)
        if reply.status != 200:
            self.log(self.name, "segment-refused", status=reply.status, kind=problem_kind(reply.body))
            return False
        self.starved = False
        self.rate = m.rates[rung] * m.segment / max(took, 1e-3)
        self.buffer += m.segment
        self.next += 1
        self.rungs.append(rung)
        return True

    def _choose(self, m: Manifest) -> int:
        """The highest rung that the measured throughput carries; the lowest first."""
        fits = [rung for rung, rate in m.rates.items() if rate <= SAFE * self.rate]
        return max(fits, default=min(m.rates))

    def _pass(self, seconds: float) -> None:
        gevent.sleep(max(0.0, seconds))
        self._use(max(0.0, seconds))

    def _use(self, seconds: float) -> None:
        """Time passes: the buffer is played, and what it does not hold is a stall once playing has begun."""
        used = min(self.buffer, seconds)
        self.buffer -= used
        self.played += used
        if seconds > used and self.rungs:
            self.stalled += seconds - used
            self.starved = True

    def delete(self) -> int:
        """End the session; the status, 0 where none came."""
        try:
            return request_once(self.front, "DELETE", self.location, self.headers).status
        except NETWORK:
            return 0
