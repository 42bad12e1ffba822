"""The HTTP request handler: serves WHIP and WHEP itself and passes DASH requests to the DASH service."""

import hashlib
import math

import h11
import structlog

from herongap.daemon.dash import DashService
from herongap.daemon.http_connection import Peer
from herongap.daemon.session import Session
from herongap.daemon.session_service import SessionRequest, SessionService
from herongap.host import ViewingState
from herongap.http import SDP, Reply, Request, preferred_wait, problem
from herongap.sdp import Offer
from herongap.whip import OPTIONS_HEADERS, check_offer, check_patch, created_reply, ice_links

CLOSE_TIMEOUT_SECONDS = 3.0
log = structlog.get_logger()


class RequestHandler:
    """Answers HTTP requests. `dash` is None where DASH is not served."""

    def __init__(self, service: SessionService, dash: DashService | None = None):
        self.service, self.dash = service, dash
        self.site, self.host, self.port, self.clock = service.site, service.host, service.port, service.clock
        self.sessions_by_secret: dict[str, Session] = {}
        service.on_session_closed.append(lambda session: self.sessions_by_secret.pop(session.secret, None))

    def handle(self, request: Request, peer: Peer) -> Reply:
        """Answer one request; blocks until its reply is known."""
        path = request.path
        if self.dash and (reply := self.dash.handle(path, request, peer)):
            return reply
        if len(path) == 2 and path[0] in ("whip", "whep") and path[1]:
            if request.method == "POST":
                return self._post(path[0], path[1], request, peer)
            if request.method == "OPTIONS":
                return Reply(200, OPTIONS_HEADERS)
            return problem("bad-method", headers=[("Allow", "OPTIONS, POST")])
        if len(path) == 2 and path[0] == "sessions":
            if request.method == "OPTIONS":
                return Reply(200, OPTIONS_HEADERS)
            if request.method not in ("PATCH", "DELETE"):
                return problem("bad-method", headers=[("Allow", "OPTIONS, PATCH, DELETE")])
            session = self.sessions_by_secret.get(path[1])
            if session is None:
                return problem("no-such-session")
            if isinstance(owner := self.service.authenticate(request), Reply):
                return owner
            if owner != session.owner:
                return problem("not-allowed", "this session was created with another token")
            return self._patch(session, request) if request.method == "PATCH" else self._delete(session)
        return problem("no-such-page")

    def _post(self, protocol: str, title: str, request: Request, peer: Peer) -> Reply:
        if isinstance(authorized := self.service.authorize(protocol, title, request), Reply):
            return authorized
        owner, package, holders = authorized
        offer = check_offer(request, protocol)
        if isinstance(offer, Reply):
            return offer
        repeat_key, digest = self._identity(request, offer, owner)
        patience = min(self.site.patience[package], preferred_wait(request) or math.inf)
        top = request.query.get("top", "")
        session = self.service.open_session(
            SessionRequest(
                protocol,
                title,
                package,
                owner,
                holders,
                repeat_key,
                digest,
                repeat_key[2],
                SDP,
                request.body,
                patience,
                top,
            ),
            peer,
        )
        if isinstance(session, Reply):
            return session
        self.sessions_by_secret[session.secret] = session
        links = ice_links(self.site.front.ice_servers)
        return created_reply(f"/sessions/{session.secret}", session.remote.tag, session.remote.answer, links)

    def _identity(self, request: Request, offer: Offer, owner: str | None) -> tuple[tuple, str]:
        """Return the key that identifies a repeated request, and the digest that must then be equal."""
        if idempotency_key := request.headers.get("idempotency-key"):
            return ("key", owner, idempotency_key), hashlib.sha256(request.body).hexdigest()
        return ("offer", owner, *offer.identity), ""

    def _patch(self, session: Session, request: Request) -> Reply:
        fragment = check_patch(request)
        if isinstance(fragment, Reply):
            return fragment
        headers = [
            ("Content-Type", request.headers["content-type"]),
            ("If-Match", request.headers["if-match"]),
        ]
        try:
            reply = self.port.forward(session.remote, "PATCH", headers, request.body)
        except (OSError, h11.ProtocolError, KeyError) as error:
            log.warning(
                "PATCH not forwarded",
                viewing=session.viewing,
                streamer=session.remote.streamer,
                cause=repr(error),
            )
            return problem("streamer-lost")
        forwarded = tuple((k, v) for k, v in reply.headers if k.lower() in ("content-type", "etag"))
        return Reply(reply.status, (*forwarded, *OPTIONS_HEADERS[1::3]), reply.body)

    def _delete(self, session: Session) -> Reply:
        hosted = self.host.viewings.get(session.viewing)
        if hosted is None or hosted.state is not ViewingState.PLAYING:
            return problem("no-such-session")
        self.host.left(self.clock(), session.viewing)
        session.closed.wait(CLOSE_TIMEOUT_SECONDS)
        return Reply(200, OPTIONS_HEADERS[1:2])
