"""What all protocol handlers of one controller share: authentication, repeated requests, and new sessions.

A protocol handler reads its request into a `SessionRequest`. The service passes it to the host once, however
often it is repeated, and returns the session that plays or the reply that rejects the request.
"""

import hmac
import math
import secrets
import time
from collections.abc import Callable, Collection
from itertools import count
from typing import NamedTuple

import gevent
import structlog

from herongap.daemon.http_connection import Peer, PeerDisconnectedError
from herongap.daemon.session import Session
from herongap.daemon.streamers import StreamerPort
from herongap.host import Host, RepeatDetector, RepeatMatch
from herongap.http import Reply, Request, bearer_token, problem
from herongap.ini import Catalogue, SiteConfig
from herongap.interface import EndReason, RepeatSafety, ViewingRequest
from herongap.overload import OverloadGuard

MAX_REMEMBERED_REQUESTS = 100_000
MAX_RUNG_DIGITS = 4
Id = int | str
ANSWER_TIMEOUT_SECONDS = 660.0  # only guards against an error in the host, which answers within the patience
log = structlog.get_logger()


class SessionRequest(NamedTuple):
    """A protocol handler's request for a session.

    Requests with the same `repeat_key` are one viewing, and must then also have the same `digest`. `holders`
    are the streamers that have the title, `owner` is the name of the caller's token. `offer`, of type
    `media_type`, is sent to the streamer. `patience` is how many seconds the viewer waits for an answer.
    `top` is the highest rung that it wants, in digits; with any other text the package's own limit applies.
    """

    protocol: str
    title: str
    package: str
    owner: str | None
    holders: Collection[str]
    repeat_key: tuple
    digest: str
    viewer: str
    media_type: str
    offer: bytes
    patience: float
    top: str = ""


def highest_requested_rung(text: str, otherwise: int) -> int:
    """Return the rung that a client names in ASCII digits; `otherwise` for any other text."""
    valid = text.isascii() and text.isdigit() and len(text) <= MAX_RUNG_DIGITS
    return int(text) if valid else otherwise


class SessionService:
    """Authenticates requests and creates sessions for all protocol handlers.

    `host` and `port` belong to one controller; `overload_guard` limits what the process accepts.
    """

    def __init__(self, site: SiteConfig, host: Host, port: StreamerPort, overload_guard: OverloadGuard,
                 catalogue: Catalogue, clock=time.monotonic):  # fmt: skip
        self.site, self.host, self.port, self.overload_guard = site, host, port, overload_guard
        self.catalogue, self.clock = catalogue, clock
        self.repeats = RepeatDetector(site.front.remember, MAX_REMEMBERED_REQUESTS)
        self.packages = {p.name: p for p in site.deployment.packages}
        self.setting_up = 0  # sessions that have no answer yet
        self.on_session_closed: list[Callable[[Session], None]] = []
        self._ids = count(1)
        port.on_session_closed = self._session_closed

    # Authentication and authorization.

    def authenticate(self, request: Request) -> str | None | Reply:
        """Return the name of the caller's token, None if tokens are not used, or a rejecting reply."""
        if not self.site.tokens:
            return None
        challenge = [("WWW-Authenticate", 'Bearer realm="herongap"')]
        credentials = bearer_token(request)
        if credentials is None:
            return problem("no-credentials", headers=challenge)
        found = None
        for name, token in self.site.tokens.items():
            # All tokens are compared, each in constant time, so that timing does not reveal how much matched.
            if hmac.compare_digest(token.secret.encode(), credentials.encode("utf-8", "replace")):
                found = name
        if found is None:
            challenge = [("WWW-Authenticate", 'Bearer realm="herongap", error="invalid_token"')]
            return problem("bad-credentials", headers=challenge)
        return found

    def _choose_package(self, protocol: str, request: Request, owner: str | None) -> str | Reply:
        name = request.query.get("package") or self.site.defaults.get(protocol)
        if name not in self.packages or protocol not in self.site.protocols[name]:
            return problem("not-allowed", f"no package {name!r} for {protocol}")
        if owner and (allowed := self.site.tokens[owner].packages) and name not in allowed:
            return problem("not-allowed", f"this token does not cover package {name!r}")
        return name

    def authorize(self, protocol: str, title: str, request: Request) -> tuple | Reply:
        """Return the owner, package and holders for a request for a title, or the reply that rejects it."""
        if self.overload_guard.is_overloaded():
            return problem("overloaded", headers=[("Retry-After", "1")])
        if isinstance(owner := self.authenticate(request), Reply):
            return owner
        if isinstance(package := self._choose_package(protocol, request, owner), Reply):
            return package
        if (holders := self.catalogue.holders(title)) is None:
            return problem("no-such-title", f"no title {title!r}")
        return owner, package, holders

    # Sessions.

    def open_session(self, request: SessionRequest, peer: Peer) -> Session | Reply:
        """Return the session once it plays, or the reply that rejects the request; blocks until then."""
        now = self.clock()
        repeat, viewing = self.repeats.match(now, request.repeat_key, request.digest)
        if repeat is RepeatMatch.JOIN:
            log.info("repeated", viewing=viewing)
            return self._wait_for_answer(self.port.sessions[viewing], peer)
        if repeat is RepeatMatch.ENDED:
            return problem("session-over")
        if repeat is RepeatMatch.CONFLICT:
            return problem("key-reused")
        if refusal := self.overload_guard.admit(now, peer.name, self.setting_up, len(self.port.sessions)):
            kind, retry_after = refusal
            return problem(
                kind, headers=[("Retry-After", str(math.ceil(retry_after)))] if retry_after else ()
            )
        return self._wait_for_answer(self._create(request, peer), peer)

    def _create(self, request: SessionRequest, peer: Peer) -> Session:
        package = self.packages[request.package]
        # With a journal, ids contain the incarnation: viewings of the previous process may still be playing.
        incarnation = f".{self.port.journal.incarnation}" if self.port.journal else ""
        viewing = f"v{self.site.front.number}{incarnation}-{next(self._ids)}"
        session = Session(
            viewing,
            secrets.token_urlsafe(18),
            request.protocol,
            request.title,
            request.media_type,
            request.offer,
            request.owner,
            request.repeat_key,
            request.digest,
        )
        viewing_request = ViewingRequest(
            viewing=viewing,
            viewer=request.viewer,
            package=request.package,
            member=(self.site.tokens[request.owner].member or None) if request.owner else None,
            title=request.title,
            holders=frozenset(request.holders),
            top=min(package.top, highest_requested_rung(request.top, package.top)),
            time_left=max(0.0, request.patience - self.site.front.answer_ahead),
            length=None,
            moved=False,
            is_retry=False,
        )
        log.debug(
            "viewing requested", viewing=viewing, package=request.package, title=request.title, peer=peer.name
        )
        self.port.sessions[viewing] = session
        self.register_repeats(viewing, request.repeat_key, request.digest, request.package)
        self.setting_up += 1
        session.answered.rawlink(lambda _: self._setup_finished())
        self.host.asked(self.clock(), viewing_request)
        return session

    def register_repeats(self, viewing: Id, repeat_key: tuple, digest: str, package_name: str) -> None:
        """Have requests with that key join the viewing."""
        package = self.packages.get(package_name)
        # The next viewing of that key would have another id, by which no streamer recognises the repeat.
        harmful = package is None or package.repeat is not RepeatSafety.HARMLESS
        self.repeats.add(repeat_key, digest, viewing, harmful)

    def _setup_finished(self) -> None:
        self.setting_up -= 1

    def _wait_for_answer(self, session: Session, peer: Peer) -> Session | Reply:
        session.waiters += 1
        try:
            if not session.answered.is_set() and not peer.wait(session.answered, ANSWER_TIMEOUT_SECONDS):
                raise PeerDisconnectedError
        finally:
            session.waiters -= 1
            if not session.waiters and peer.gone:
                # The viewer may reconnect with the same offer, which must then not be set up a second time.
                gevent.spawn_later(self.site.front.linger, self._abandon, session)
        answer = session.answer
        if answer.verdict == "plays":
            return session
        if answer.verdict == "gone":
            raise PeerDisconnectedError
        if answer.cause is EndReason.NOT_SENT:
            return problem("offer-refused")
        if answer.verdict == "blocked":
            headers = [("Retry-After", str(math.ceil(answer.come_back)))] if answer.come_back else []
            return problem("blocked", headers=headers, come_back=answer.come_back)
        return problem("aborted", cause=answer.cause.name.lower() if answer.cause else "none")

    def _abandon(self, session: Session) -> None:
        """Report to the host that the viewer has left, unless it has reconnected by now."""
        if not session.waiters:
            self.host.left(self.clock(), session.viewing)

    def _session_closed(self, session: Session, played: bool) -> None:
        may_have_run = session.answer is not None and session.answer.may_have_run
        self.repeats.remove(self.clock(), session.viewing, played, may_have_run)
        for callback in self.on_session_closed:
            callback(session)
