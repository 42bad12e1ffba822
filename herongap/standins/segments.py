"""Segments of a fake streamer: synthetic bytes, with tokens verified locally.

A segment's size is that of its rung for its duration, divided by `SIZE_DIVISOR`, because loopback and Python
carry less than real links. Its transfer time is that of the full size at twice the rate that its session is
charged for, slowed by the share that its link delivers. A player behind an uncongested link thus gains one
second of buffer each second.
"""

import json
import time

import gevent
import h11
from gevent.lock import RLock

from herongap.daemon.http_connection import Address, Peer, PeerDisconnectedError, request_once
from herongap.dash import TokenError, TokenVerifier, read_cmcd
from herongap.http import Reply, Request, problem

SIZE_DIVISOR = 1000
UNCONGESTED_RATE_FACTOR = 2.0  # of the rate that the session is charged for
CHUNKS_PER_SEGMENT = 4
INIT_SEGMENT_BYTES = 200
KEY_SET_PATH = "/.well-known/jwks.json"
KEY_SET_FETCH_INTERVAL_SECONDS = 1.0
CORS_HEADERS = (("Access-Control-Allow-Origin", "*"),)


class Segments:
    """The segments of one streamer.

    The key set is read from the first of `controllers` that answers; the list is empty until it is set.
    """

    def __init__(self, streamer, wall=time.time):
        self.streamer, self.wall = streamer, wall
        self.controllers: list[Address] = []
        self.verifier = TokenVerifier(streamer.name, {"keys": []})
        self.by_viewing: dict[str, object] = {}
        self.segment = 2.0
        self.fetched_at, self.fetch_lock = float("-inf"), RLock()
        self.refused: dict[str, int] = {}

    def serve(self, path: list[str], request: Request, peer: Peer) -> Reply:
        """Handles GET /dash/TITLE/TOKEN/RUNG/FILE."""
        streamer = self.streamer
        _, title, token, rung, file = path
        if streamer.machine.muted():
            peer.wait(streamer.stopped, 600.0)
            raise PeerDisconnectedError
        try:
            grant = self._verify(token, title)
        except TokenError as error:
            self.refused[error.kind] = self.refused.get(error.kind, 0) + 1
            kind = "not-allowed" if error.kind in ("elsewhere", "member", "title") else "token-refused"
            return problem(kind, error.kind, CORS_HEADERS)
        session = self.by_viewing.get(grant.viewing)
        if session is None or session.name not in streamer.sessions:
            # The token is still valid, but its viewing has ended.
            self.by_viewing.pop(grant.viewing, None)
            return problem("manifest-over", headers=CORS_HEADERS)
        if not rung.isdigit() or not grant.floor <= int(rung) <= min(grant.top, session.rung):
            # The player ignored a manifest that lowered its top rung.
            return problem("rung-refused", f"at most {min(grant.top, session.rung)}", CORS_HEADERS)
        now = streamer.clock()
        if session.consent is None:
            streamer.log(streamer.name, "joined", identity=session.identity, session=session.name)
        session.consent = now
        cmcd = read_cmcd(request.query.get("CMCD"), request.headers)
        streamer.log(
            streamer.name, "segment", identity=session.identity, session=session.name, rung=int(rung),
            file=file, starved=bool(cmcd.get("bs")), buffer=cmcd.get("bl"),
        )  # fmt: skip
        rate = streamer.kind.ladder[int(rung)]
        is_init = file.startswith("init")
        size = INIT_SEGMENT_BYTES if is_init else int(rate * 1000 * self.segment / SIZE_DIVISOR)
        seconds = (
            0.0
            if is_init
            else self.segment / UNCONGESTED_RATE_FACTOR * rate / streamer.kind.ladder[session.rung]
        )
        return Reply(200, (("Content-Type", "video/mp4"), *CORS_HEADERS), self._paced(session, size, seconds))

    def _paced(self, session, size: int, seconds: float):
        """Yields the bytes at the pace of the link, and resets the connection when the session ends."""
        streamer = self.streamer
        for i in range(CHUNKS_PER_SEGMENT):
            if session.name not in streamer.sessions:
                raise ConnectionResetError("the session ended")
            chunk_size = size * (i + 1) // CHUNKS_PER_SEGMENT - size * i // CHUNKS_PER_SEGMENT
            yield bytes(chunk_size) or b"\0"
            gevent.sleep(seconds / CHUNKS_PER_SEGMENT / max(0.02, streamer.machine.share))
            session.consent = streamer.clock()

    def _verify(self, token: str, title: str):
        try:
            return self.verifier.verify(self.wall(), token, title)
        except TokenError as error:
            if error.kind != "unknown-key" or not self._fetch(error.kid):
                raise
        return self.verifier.verify(self.wall(), token, title)

    def _fetch(self, kid: str) -> bool:
        """Reads the published key set, at a limited rate whatever keys the tokens name."""
        with self.fetch_lock:
            # A request that waited for another one's fetch finds the key here.
            if kid in self.verifier.key_ids:
                return True
            now = self.streamer.clock()
            if now - self.fetched_at < KEY_SET_FETCH_INTERVAL_SECONDS:
                return False
            self.fetched_at = now
            return any(self._fetch_from(address) for address in self.controllers)

    def _fetch_from(self, address: Address) -> bool:
        try:
            self.verifier.set_keys(
                json.loads(request_once(address, "GET", KEY_SET_PATH, timeout=2.0, connect_timeout=0.5).body)
            )
            return True
        except (OSError, h11.ProtocolError, ValueError) as error:
            self.streamer.log(self.streamer.name, "keys-not-read", cause=repr(error)[:80])
            return False
