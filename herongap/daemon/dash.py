"""The DASH service: manifests whose URL and token belong to one viewing, and the keys that verify the tokens.

A *player session* is what one player holds: the secret URL where it refreshes its manifest. The viewing
behind it may be replaced (its streamer failed, the controller moved it, the player paused too long); the next
manifest then comes from a new viewing. A player session has one viewing at a time, however many tabs and
retries request it.
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
CORS = (("Access-Control-Allow-Origin", "*"),)  # players run in browsers
KEY_RELOAD_SECONDS = 30.0
CLOSE_TIMEOUT_SECONDS = 3.0
EXPIRY_CHECKS_PER_REQUEST = 8
log = structlog.get_logger()


@dataclass(slots=True, eq=False)
class PlayerSession:
    """One player's session.

    `attempt` counts the viewings requested for it, including rejected ones; `last_used` is the time of the
    last request.
    """

    secret: str
    key: tuple
    title: str
    package: str
    owner: str | None
    holders: frozenset
    top: str
    last_used: float
    attempt: int = 0
    session: Session | None = None
    closed: bool = False
    reload_detector: EarlyReloadDetector = field(default_factory=EarlyReloadDetector)


class DashService:
    """Serves /dash/TITLE, /manifests/SECRET and the key set."""

    def __init__(
        self, settings: DashPart, service: SessionService, wall_clock: Callable[[], float] = time.time
    ):
        self.settings, self.service, self.wall_clock = settings, service, wall_clock
        self.keys = KeyStore(settings.keys, settings.rotate, settings.ahead, settings.token)
        self.players: OrderedDict[str, PlayerSession] = OrderedDict()
        self.players_by_key: dict[tuple, PlayerSession] = {}
        self._loaded_at = 0.0
        self._videos = tuple(Video(rate) for rate in service.site.charter.ladder)
        self._update = min(settings.update, settings.token / 2)

    def load(self) -> None:
        """Read the keys and create one if it is due; raises OSError."""
        self.keys.load(self.wall_clock())
        self._loaded_at = self.service.clock()

    def handle(self, path: list[str], request: Request, peer: Peer) -> Reply | None:
        """Answer a request to one of the DASH paths; None for any other path."""
        if path == [".well-known", "jwks.json"] and request.method in ("GET", "HEAD"):
            self._reload_keys_if_due()
            cache = ("Cache-Control", f"max-age={int(self.settings.ahead / 4)}")
            keys = json.dumps(self.keys.jwks(self.wall_clock())).encode()
            return Reply(200, (("Content-Type", JSON), cache), keys)
        if len(path) != 2 or path[0] not in ("dash", "manifests") or not path[1]:
            return None
        # HEAD is not allowed: to answer it, a viewing would have to be set up.
        allowed = ("GET", "DELETE") if path[0] == "manifests" else ("GET",)
        if request.method not in allowed:
            return problem("bad-method", headers=[("Allow", ", ".join(allowed))])
        serve = self._join if path[0] == "dash" else self._refresh
        return serve(path[1], request, peer)

    # Player sessions.

    def _join(self, title: str, request: Request, peer: Peer) -> Reply:
        if isinstance(authorized := self.service.authorize("dash", title, request), Reply):
            return authorized
        owner, package, holders = authorized
        now = self.service.clock()
        self._expire(now)
        # A player that names its session gets the same player session again, after a timeout or in another
        # tab.
        name = request.query.get("session") or self._cmcd(request).get("sid")
        key = (owner, title, package, name or secrets.token_urlsafe(18))
        player = self.players_by_key.get(key)
        if player is None or player.closed:
            top = request.query.get("top", "")
            secret = secrets.token_urlsafe(18)
            player = PlayerSession(secret, key, title, package, owner, frozenset(holders), top, now)
            self.players[secret] = self.players_by_key[key] = player
        return self._manifest(player, request, peer)

    def _refresh(self, secret: str, request: Request, peer: Peer) -> Reply:
        player = self.players.get(secret)
        if player is None or player.closed:
            return problem("manifest-over")
        if request.method != "DELETE":
            return self._manifest(player, request, peer)
        player.closed = True
        if (session := player.session) and self._playing(session):
            self.service.host.left(self.service.clock(), session.viewing)
            session.closed.wait(CLOSE_TIMEOUT_SECONDS)
        return Reply(200, CORS)

    def _expire(self, now: float) -> None:
        """Drop player sessions that were not used for `remember` seconds and have no playing viewing."""
        for secret, player in list(self.players.items())[:EXPIRY_CHECKS_PER_REQUEST]:
            if now - player.last_used < self.service.site.front.remember:
                break
            if player.session and self._playing(player.session):
                # Still playing: moved to the end of the queue and checked again later.
                player.last_used = now
                self.players.move_to_end(secret)
                continue
            del self.players[secret]
            if self.players_by_key.get(player.key) is player:
                del self.players_by_key[player.key]

    # Manifests.

    def _manifest(self, player: PlayerSession, request: Request, peer: Peer) -> Reply:
        player.last_used = self.service.clock()
        self.players.move_to_end(player.secret)
        # A viewing may end between its answer and the check below; a second one is then requested.
        for _ in range(2):
            session = player.session
            hosted = session and self._playing(session)
            if hosted and self._given_up(player, session, hosted):
                hosted = None
            if not hosted:
                attempt = player.attempt
                session = self.service.open_session(self._session_request(player, attempt), peer)
                if player.attempt == attempt:
                    # Whatever the outcome, the next request is for another viewing.
                    player.attempt += 1
                if isinstance(session, Reply):
                    return session._replace(headers=(*session.headers, *CORS))
                if player.closed:
                    self.service.host.left(self.service.clock(), session.viewing)
                    return problem("manifest-over")
                if player.session is not session:
                    player.session, player.reload_detector = session, EarlyReloadDetector()
                hosted = self._playing(session)
            if hosted:
                return self._write(player, session, hosted, request)
        return problem("aborted", cause="broken")

    def _given_up(self, player: PlayerSession, session: Session, hosted) -> bool:
        """End a viewing that its player seems no longer to be served by; return whether it was ended."""
        if not player.reload_detector.manifest_requested(self.service.clock(), self._update):
            return False
        number, exists = hosted.number, self.service.port.session_exists(session.remote)
        now = self.service.clock()
        if not player.reload_detector.streamer_answered(now, exists) or self._playing(session) is not hosted:
            return False
        log.info(
            "viewing given up after early manifest requests",
            viewing=session.viewing,
            streamer=hosted.streamer,
            there=exists,
        )
        if exists is None:
            # It may still play at a streamer that cannot be reached: it is torn down as soon as possible.
            self.service.host.left(now, session.viewing)
        else:
            self.service.host.ended(now, session.viewing, number, EndReason.BROKEN)
        return True

    def _playing(self, session: Session):
        hosted = self.service.host.viewings.get(session.viewing)
        return hosted if hosted and hosted.state is ViewingState.PLAYING else None

    def _session_request(self, player: PlayerSession, attempt: int) -> SessionRequest:
        site, package = self.service.site, self.service.packages[player.package]
        # The identity joins the streamers' logs to the player's; each viewing of a player session has its
        # own.
        body = {"identity": f"{player.key[-1]}/{attempt}", "floor": package.floor, "top": package.top}
        return SessionRequest(
            "dash", player.title, player.package, player.owner, player.holders,
            ("line", player.secret, attempt), "", player.secret, JSON, json.dumps(body).encode(),
            site.patience[player.package], player.top,
        )  # fmt: skip

    def _write(self, player: PlayerSession, session: Session, hosted, request: Request) -> Reply:
        self._reload_keys_if_due()
        now, package = self.wall_clock(), self.service.packages[player.package]
        streamer, member = (
            str(hosted.streamer),
            self.service.site.tokens[player.owner].member if player.owner else "",
        )
        # The rung that is allowed now is the token's top: a raise takes effect with the next manifest.
        claims = TokenClaims(
            f"{self.service.port.name}/{session.viewing}", player.title, player.package, member,
            min(package.floor, hosted.rung), hosted.rung, streamer, now, now + self.settings.token,
        )  # fmt: skip
        token = self.keys.mint(now, claims)
        host, port = self.service.port.addresses[hosted.streamer]
        segment_base = f"http://{host}:{port}/dash/{quote(player.title, safe='')}/{token}/"
        own_base = self.settings.url or f"http://{request.headers.get('host', '')}"
        location = f"{own_base}/manifests/{player.secret}"
        body = build_manifest(
            self._asset(player.title), claims.floor, claims.top, segment_base, location, now, self._update
        )
        headers = (
            ("Content-Type", MPD_MEDIA_TYPE), ("Cache-Control", "no-store"), ("Content-Location", location),
            ("ETag", f'"{player.attempt - 1}"'), *CORS,
        )  # fmt: skip
        return Reply(200, headers, body)

    def _asset(self, title: str) -> Asset:
        duration = self.service.catalogue.lengths.get(title)
        if duration is None:
            # Segments of a live title are numbered from the epoch, so that all controllers agree.
            return Asset(self._videos, self.settings.segment, start_time=0.0)
        return Asset(self._videos, self.settings.segment, duration_seconds=duration)

    def _cmcd(self, request: Request) -> dict:
        return read_cmcd(request.query.get("CMCD"), request.headers)

    def _reload_keys_if_due(self) -> None:
        if self.service.clock() - self._loaded_at < KEY_RELOAD_SECONDS:
            return
        try:
            self.load()
        except OSError as error:
            # Signing continues with the loaded keys: a late rotation is no reason to reject players.
            self._loaded_at = self.service.clock()
            log.error("keys not reloaded", cause=str(error))
