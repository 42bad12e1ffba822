"""The part of a stand-in streamer that serves segments: synthetic bytes, tokens checked with nobody asked.

A segment's size is that of its rung for its duration, divided by `THIN` (loopback and Python bear less than
links do); the time it takes is that of the whole size, at twice the rate that its session is charged with and
with the share that its link delivers. A player of a link with room thus gains a second for each that passes.
"""

import json
import time

import gevent
import h11
from gevent.lock import RLock

from herongap.daemon.http_connection import Address, Peer, PeerDisconnectedError, request_once
from herongap.dash import TokenError, TokenVerifier, read_cmcd
from herongap.http import Reply, Request, problem

THIN = 1000
QUICK = 2.0  # times the session's rate at which a link with room delivers
CHUNKS = 4
KEYS = "/.well-known/jwks.json"
FETCH = 1.0  # seconds between two fetches of the key set
OPEN = (("Access-Control-Allow-Origin", "*"),)


class Segments:
    """Of one streamer. `fronts` are where the key set is had, the first that answers; none before anybody
    said.
    """

    def __init__(self, streamer, wall=time.time):
        self.streamer, self.wall = streamer, wall
        self.fronts: list[Address] = []
        self.checker = TokenVerifier(streamer.name, {"keys": []})
        self.by_viewing: dict[str, object] = {}
        self.segment = 2.0
        self.fetched, self.fetching = float("-inf"), RLock()
        self.refused: dict[str, int] = {}

    def serve(self, path: list[str], request: Request, peer: Peer) -> Reply:
        """GET /dash/TITLE/TOKEN/RUNG/FILE."""
        st = self.streamer
        _, title, token, rung, file = path
        if st.machine.muted():
            peer.wait(st.cut_off, 600.0)
            raise PeerDisconnectedError
        try:
            grant = self._check(token, title)
        except TokenError as refusal:
            self.refused[refusal.kind] = self.refused.get(refusal.kind, 0) + 1
            kind = "not-allowed" if refusal.kind in ("elsewhere", "member", "title") else "token-refused"
            return problem(kind, refusal.kind, OPEN)
        session = self.by_viewing.get(grant.viewing)
        if session is None or session.name not in st.sessions:
            # A token outlives its viewing, and is good for nothing then.
            self.by_viewing.pop(grant.viewing, None)
            return problem("manifest-over", headers=OPEN)
        if not rung.isdigit() or not grant.floor <= int(rung) <= min(grant.top, session.rung):
            # A player that ignores its manifests after a cut does not get what it asks for.
            return problem("rung-refused", f"at most {min(grant.top, session.rung)}", OPEN)
        now = st.clock()
        if session.consent is None:
            st.log(st.name, "joined", identity=session.identity, session=session.name)
        session.consent = now
        told = read_cmcd(request.query.get("CMCD"), request.headers)
        st.log(st.name, "segment", identity=session.identity, session=session.name, rung=int(rung), file=file,
               starved=bool(told.get("bs")), buffer=told.get("bl"))  # fmt: skip
        rate = st.kind.ladder[int(rung)]
        first = file.startswith("init")
        size = 200 if first else int(rate * 1000 * self.segment / THIN)
        seconds = 0.0 if first else self.segment / QUICK * rate / st.kind.ladder[session.rung]
        return Reply(200, (("Content-Type", "video/mp4"), *OPEN), self._paced(session, size, seconds))

    def _paced(self, session, size: int, seconds: float):
        """The bytes, as the link delivers them; broken off when the session ends."""
        st = self.streamer
        for i in range(CHUNKS):
            if session.name not in st.sessions:
                raise ConnectionResetError("its session ended")
            part = size * (i + 1) // CHUNKS - size * i // CHUNKS
            yield bytes(part) or b"\0"
            gevent.sleep(seconds / CHUNKS / max(0.02, st.machine.share))
            session.consent = st.clock()

    def _check(self, token: str, title: str):
        try:
            return self.checker.verify(self.wall(), token, title)
        except TokenError as refusal:
            if refusal.kind != "unknown-key" or not self._fetch(refusal.kid):
                raise
        return self.checker.verify(self.wall(), token, title)

    def _fetch(self, kid: str) -> bool:
        """Read the published keys; at most once in a while, whatever strangers' tokens name."""
        with self.fetching:
            # Whoever comes while the set is being fetched waits for it, and finds the key there.
            if kid in self.checker.key_ids:
                return True
            now = self.streamer.clock()
            if now - self.fetched < FETCH:
                return False
            self.fetched = now
            return any(self._fetch_from(address) for address in self.fronts)

    def _fetch_from(self, address: Address) -> bool:
        try:
            self.checker.set_keys(
                json.loads(request_once(address, "GET", KEYS, timeout=2.0, connect_timeout=0.5).body)
            )
            return True
        except (OSError, h11.ProtocolError, ValueError) as fault:
            self.streamer.log(self.streamer.name, "keys-not-read", cause=repr(fault)[:80])
            return False
