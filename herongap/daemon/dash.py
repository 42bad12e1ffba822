"""The DASH front: manifests whose address and token are one viewing's, and the keys that streamers check by.

A player's *line* is what it holds on to: the secret address where it fetches its manifest again. The viewing
behind a line may change (its streamer died, the module moved it, its player paused too long): the next
manifest then comes from a new one. A line has one viewing at a time, however many tabs and retries ask.
"""

import json
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import quote

import structlog

from herongap.daemon.http_connection import Peer
from herongap.daemon.keys import KeyStore
from herongap.daemon.session import Session
from herongap.daemon.session_service import SessionRequest, SessionService
from herongap.dash import (
    MPD_MEDIA_TYPE,
    Asset,
    EarlyReloadDetector,
    TokenClaims,
    Video,
    build_manifest,
    read_cmcd,
)
from herongap.host import ViewingState
from herongap.http import Reply, Request, problem
from herongap.ini.parts import DashPart
from herongap.interface import EndReason

JSON = "application/json"
OPEN = (("Access-Control-Allow-Origin", "*"),)  # players run in browsers
RELOAD = 30.0  # seconds between two looks at the keys
log = structlog.get_logger()


@dataclass(slots=True, eq=False)
class Line:
    """One player's line. `turn` counts its viewings, those that were refused too; `used` is when it was last
    asked for.
    """

    secret: str
    key: tuple
    title: str
    package: str
    owner: str | None
    holders: frozenset
    top: str
    used: float
    turn: int = 0
    session: Session | None = None
    closed: bool = False
    doubt: EarlyReloadDetector = field(default_factory=EarlyReloadDetector)


class DashService:
    """Serves /dash/TITLE, /manifests/SECRET and the key set."""

    def __init__(self, terms: DashPart, door: SessionService, wall: Callable[[], float] = time.time):
        self.terms, self.door, self.wall = terms, door, wall
        self.keys = KeyStore(terms.keys, terms.rotate, terms.ahead, terms.token)
        self.lines: OrderedDict[str, Line] = OrderedDict()
        self.by_key: dict[tuple, Line] = {}
        self._loaded = 0.0
        self._videos = tuple(Video(rate) for rate in door.site.charter.ladder)
        self._update = min(terms.update, terms.token / 2)

    def load(self) -> None:
        """Read the keys, make one if it is due; raises OSError."""
        self.keys.load(self.wall())
        self._loaded = self.door.clock()

    def handle(self, path: list[str], request: Request, peer: Peer) -> Reply | None:
        """A request of this front's, None for any other."""
        if path == [".well-known", "jwks.json"] and request.method in ("GET", "HEAD"):
            self._reload_keys_if_due()
            kept = ("Cache-Control", f"max-age={int(self.terms.ahead / 4)}")
            keys = json.dumps(self.keys.jwks(self.wall())).encode()
            return Reply(200, (("Content-Type", JSON), kept), keys)
        if len(path) != 2 or path[0] not in ("dash", "manifests") or not path[1]:
            return None
        # No HEAD: to say what a manifest would be, a viewing would have to be set up.
        allowed = ("GET", "DELETE") if path[0] == "manifests" else ("GET",)
        if request.method not in allowed:
            return problem("bad-method", headers=[("Allow", ", ".join(allowed))])
        serve = self._first if path[0] == "dash" else self._again
        return serve(path[1], request, peer)

    # Lines.

    def _first(self, title: str, request: Request, peer: Peer) -> Reply:
        if isinstance(known := self.door.knock("dash", title, request), Reply):
            return known
        owner, package, holders = known
        now = self.door.clock()
        self._forget(now)
        # A player that names its session asks again for the same line: after a time-out, in another tab.
        named = request.query.get("session") or self._reported(request).get("sid")
        key = (owner, title, package, named or secrets.token_urlsafe(18))
        line = self.by_key.get(key)
        if line is None or line.closed:
            top = request.query.get("top", "")
            secret = secrets.token_urlsafe(18)
            line = Line(secret, key, title, package, owner, frozenset(holders), top, now)
            self.lines[secret] = self.by_key[key] = line
        return self._manifest(line, request, peer)

    def _again(self, secret: str, request: Request, peer: Peer) -> Reply:
        line = self.lines.get(secret)
        if line is None or line.closed:
            return problem("manifest-over")
        if request.method != "DELETE":
            return self._manifest(line, request, peer)
        line.closed = True
        if (session := line.session) and self._life(session):
            self.door.host.left(self.door.clock(), session.viewing)
            session.closed.wait(3.0)
        return Reply(200, OPEN)

    def _forget(self, now: float) -> None:
        """Lines that nobody asked for since `remember` seconds, and behind which nothing plays."""
        for secret, line in list(self.lines.items())[:8]:
            if now - line.used < self.door.site.front.remember:
                break
            if line.session and self._life(line.session):
                # It plays on: looked at again when its turn comes round.
                line.used = now
                self.lines.move_to_end(secret)
                continue
            del self.lines[secret]
            if self.by_key.get(line.key) is line:
                del self.by_key[line.key]

    # Manifests.

    def _manifest(self, line: Line, request: Request, peer: Peer) -> Reply:
        line.used = self.door.clock()
        self.lines.move_to_end(line.secret)
        # A viewing may end between its answer and this line: then once more, with a new one.
        for _ in range(2):
            session = line.session
            life = session and self._life(session)
            if life and self._given_up(line, session, life):
                life = None
            if not life:
                turn = line.turn
                session = self.door.enter(self._wish(line, turn), peer)
                if line.turn == turn:
                    # Whatever came of it: what is asked for next is another viewing.
                    line.turn += 1
                if isinstance(session, Reply):
                    return session._replace(headers=(*session.headers, *OPEN))
                if line.closed:
                    self.door.host.left(self.door.clock(), session.viewing)
                    return problem("manifest-over")
                if line.session is not session:
                    line.session, line.doubt = session, EarlyReloadDetector()
                life = self._life(session)
            if life:
                return self._write(line, session, life, request)
        return problem("aborted", cause="broken")

    def _given_up(self, line: Line, session: Session, life) -> bool:
        """Whether a viewing that its player seems not to be served by any more was ended just now."""
        if not line.doubt.manifest_requested(self.door.clock(), self._update):
            return False
        number, there = life.number, self.door.port.there(session.remote)
        now = self.door.clock()
        if not line.doubt.streamer_answered(now, there) or self._life(session) is not life:
            return False
        log.info("player believed", viewing=session.viewing, streamer=life.streamer, there=there)
        if there is None:
            # It may play on there, unseen from here: it is told to stop as soon as it can be.
            self.door.host.left(now, session.viewing)
        else:
            self.door.host.ended(now, session.viewing, number, EndReason.BROKEN)
        return True

    def _life(self, session: Session):
        life = self.door.host.viewings.get(session.viewing)
        return life if life and life.state is ViewingState.PLAYING else None

    def _wish(self, line: Line, turn: int) -> SessionRequest:
        site, package = self.door.site, self.door.packages[line.package]
        # What joins the streamers' logs to the player's; each viewing of a line has its own.
        body = {"identity": f"{line.key[-1]}/{turn}", "floor": package.floor, "top": package.top}
        return SessionRequest(
            "dash", line.title, line.package, line.owner, line.holders, ("line", line.secret, turn), "",
            line.secret, JSON, json.dumps(body).encode(), site.patience[line.package], line.top,
        )  # fmt: skip

    def _write(self, line: Line, session: Session, life, request: Request) -> Reply:
        self._reload_keys_if_due()
        now, package = self.wall(), self.door.packages[line.package]
        streamer, member = str(life.streamer), self.door.site.tokens[line.owner].member if line.owner else ""
        # The rung that the module allows now is the token's top: a raise comes with the next manifest.
        grant = TokenClaims(
            f"{self.door.port.name}/{session.viewing}", line.title, line.package, member,
            min(package.floor, life.rung), life.rung, streamer, now, now + self.terms.token,
        )  # fmt: skip
        token = self.keys.mint(now, grant)
        host, port = self.door.port.addresses[life.streamer]
        base = f"http://{host}:{port}/dash/{quote(line.title, safe='')}/{token}/"
        near = self.terms.url or f"http://{request.headers.get('host', '')}"
        location = f"{near}/manifests/{line.secret}"
        body = build_manifest(
            self._asset(line.title), grant.floor, grant.top, base, location, now, self._update
        )
        told = (
            ("Content-Type", MPD_MEDIA_TYPE), ("Cache-Control", "no-store"), ("Content-Location", location),
            ("ETag", f'"{line.turn - 1}"'), *OPEN,
        )  # fmt: skip
        return Reply(200, told, body)

    def _asset(self, title: str) -> Asset:
        recorded = self.door.catalogue.lengths.get(title)
        if recorded is None:
            # A live title's segments are counted from the epoch, so that all fronts count alike.
            return Asset(self._videos, self.terms.segment, start_time=0.0)
        return Asset(self._videos, self.terms.segment, duration_seconds=recorded)

    def _reported(self, request: Request) -> dict:
        return read_cmcd(request.query.get("CMCD"), request.headers)

    def _reload_keys_if_due(self) -> None:
        if self.door.clock() - self._loaded < RELOAD:
            return
        try:
            self.load()
        except OSError as fault:
            # What is held goes on signing; a rotation that is late is no reason to turn players away.
            self._loaded = self.door.clock()
            log.error("keys not read", cause=str(fault))
