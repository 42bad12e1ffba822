"""A scripted DASH player: manifests, segments chosen by a throughput rule, a buffer, and CMCD.

It plays in real time: each second uses up a second of buffer, and an empty buffer is a stall. It handles
errors as real players do: after a rejected token or rung, an ended session or a broken connection it fetches
its manifest again, and after a 503 it waits for the time in Retry-After.
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
MAX_BUFFER_SECONDS = 6.0
THROUGHPUT_SAFETY_FACTOR = 0.8  # share of the measured throughput that a rung may use
MAX_REFRESH_FAILURES = 4  # in a row
NETWORK_ERRORS = (OSError, h11.ProtocolError)


class Manifest(NamedTuple):
    """The parts of a manifest that a player uses. `rates` are kB/s by rung; times are in seconds."""

    base: str
    location: str
    update: float
    segment: float
    rates: dict[int, float]
    live: bool
    streamer: Address
    count: int


def read_manifest(data: bytes, now: float) -> Manifest:
    """Parses an MPD; `now` is the wall clock, by which live segments are numbered."""
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
    """One player of one title at one controller. `buffer`, `stalled` and `played` are in seconds."""

    def __init__(self, name: str, front: Address, target: str, log, seed: int = 0, headers=(),
                 clock=time.monotonic):  # fmt: skip
        self.name, self.front, self.target, self.log, self.clock = name, front, target, log, clock
        self.headers, self.random = list(headers), random.Random(f"{seed} {name}")
        self.new_session()
        self.next_segment = 1
        self.buffer = self.played = self.stalled = 0.0
        self.throughput, self.starved, self.moves = 0.0, False, 0
        self.rungs: list[int] = []
        self.statuses: list[int] = []
        self.read_at = float("-inf")
        self.pools: dict[Address, ConnectionPool] = {}

    def new_session(self) -> None:
        """Begins a new session, as a player does that was restarted or that changes controllers."""
        self.session_id, self.turn = f"{self.random.getrandbits(64):016x}", 0
        self.manifest, self.location = None, ""

    # Manifests.

    def join(self, patience: float = 5.0) -> Reply | None:
        """Fetches the first manifest; returns the reply, None if there was none in time."""
        separator = "&" if "?" in self.target else "?"
        return self._fetch(f"{self.target}{separator}session={self.session_id}", patience)

    def refresh(self, patience: float = 5.0) -> Reply | None:
        """Fetches the session's manifest again; returns the reply, None if there was none in time."""
        return self._fetch(self.location, patience)

    def _fetch(self, target: str, patience: float) -> Reply | None:
        began, reply, kind = self.clock(), None, ""
        try:
            reply = request_once(self.front, "GET", target, self.headers, timeout=patience)
        except TimeoutError:
            kind = "gave-up"
        except NETWORK_ERRORS as error:
            kind = f"broken: {error!r}"[:80]
        status = reply.status if reply else 0
        self.statuses.append(status)
        turn = int(reply.header("etag").strip('"')) if status == 200 else self.turn
        if status != 200 or turn >= self.turn:
            # This request made a new viewing, or would have: logged as other clients log theirs.
            self._log_request(f"{self.session_id}/{turn}", began, status, kind, patience, reply)
            self.turn = turn + 1
        if status == 200:
            self._read(reply)
        return reply

    def _log_request(self, identity, began, status, kind, patience, reply) -> None:
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
        previous, self.manifest = self.manifest, read_manifest(reply.body, time.time())
        self.location, self.read_at = self.manifest.location, self.clock()
        if previous is None:
            # A live title is joined at its latest complete segment; numbers count from the epoch.
            self.next_segment = self.manifest.count if self.manifest.live else max(1, self.next_segment)
        elif previous.streamer != self.manifest.streamer:
            self.moves += 1

    # Playing.

    def play(self, seconds: float) -> bool:
        """Plays for that long, or to the end of a recorded title; returns False if it had to give up."""
        end = self.clock() + seconds
        failures = 0
        while self.clock() < end:
            manifest = self.manifest
            if manifest is None or self.clock() - self.read_at >= manifest.update:
                reply = self.refresh() if self.location else self.join()
                if reply is None or reply.status != 200:
                    failures += 1
                    if failures > MAX_REFRESH_FAILURES or (reply is not None and reply.status in (404, 410)):
                        return False
                    wait = float(reply.header("retry-after") or 0.3) if reply is not None else 0.3
                    self._wait(min(wait, max(0.0, end - self.clock())))
                    if manifest is None or reply is None or reply.status == 503:
                        continue
                failures, manifest = 0, self.manifest
            if not manifest.live and self.next_segment > manifest.count:
                return True
            if self.buffer >= MAX_BUFFER_SECONDS:
                self._wait(min(0.25, end - self.clock()))
                continue
            if manifest.live and self.next_segment > int(time.time() / manifest.segment):
                self._wait(0.1)
                continue
            if not self._fetch_segment(manifest):
                self.read_at = float("-inf")  # fetch the manifest before anything else
                self._wait(0.05)
        return True

    def _fetch_segment(self, manifest: Manifest) -> bool:
        rung = self._choose_rung(manifest)
        cmcd = f'bl={int(self.buffer * 1000)},br={int(manifest.rates[rung] * 8)},sid="{self.session_id}"'
        cmcd += ",bs" if self.starved else ""
        pool = self.pools.setdefault(manifest.streamer, ConnectionPool(manifest.streamer, 0.5))
        began = self.clock()
        try:
            target = f"{manifest.base}{rung}/{self.next_segment}.m4s?CMCD={quote(cmcd)}"
            reply = pool.call("GET", target, self.headers, b"", 4 * manifest.segment)
        except NETWORK_ERRORS as error:
            self._use_buffer(self.clock() - began)
            self.log(self.name, "segment-lost", cause=repr(error)[:80])
            return False
        elapsed = self.clock() - began
        self._use_buffer(elapsed)
        self.statuses.append(reply.status)
        if reply.status != 200:
            self.log(self.name, "segment-refused", status=reply.status, kind=problem_kind(reply.body))
            return False
        self.starved = False
        self.throughput = manifest.rates[rung] * manifest.segment / max(elapsed, 1e-3)
        self.buffer += manifest.segment
        self.next_segment += 1
        self.rungs.append(rung)
        return True

    def _choose_rung(self, manifest: Manifest) -> int:
        """Returns the highest rung that the measured throughput carries, or the lowest if none fits."""
        fits = [
            rung
            for rung, rate in manifest.rates.items()
            if rate <= THROUGHPUT_SAFETY_FACTOR * self.throughput
        ]
        return max(fits, default=min(manifest.rates))

    def _wait(self, seconds: float) -> None:
        gevent.sleep(max(0.0, seconds))
        self._use_buffer(max(0.0, seconds))

    def _use_buffer(self, seconds: float) -> None:
        """Plays the buffer for that long. What it does not hold counts as a stall once playing has begun."""
        used = min(self.buffer, seconds)
        self.buffer -= used
        self.played += used
        if seconds > used and self.rungs:
            self.stalled += seconds - used
            self.starved = True

    def delete(self) -> int:
        """Ends the session; returns the status, 0 without a reply."""
        try:
            return request_once(self.front, "DELETE", self.location, self.headers).status
        except NETWORK_ERRORS:
            return 0
