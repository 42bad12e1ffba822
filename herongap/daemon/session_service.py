"""What all fronts of one controller share: who asks, whether it is a viewing known already, its one answer.

A protocol handler reads its request into a `SessionRequest`; the service takes it to the host once, however
often it comes, and gives the session that plays or the reply that refuses.
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
from herongap.ini import Catalogue, Site
from herongap.interface import EndReason, ViewingRequest
from herongap.overload import OverloadGuard

log = structlog.get_logger()


class SessionRequest(NamedTuple):
    """What a front asks the door for. `key` is what makes two wishes one viewing, `digest` what must then be
    equal in both; `offer` of `media_type` is what the streamer is sent. Patience in seconds.
    """

    protocol: str
    title: str
    package: str
    owner: str | None
    holders: Collection[str]
    key: tuple
    digest: str
    viewer: str
    media_type: str
    offer: bytes
    patience: float
    top: str = ""


class SessionService:
    """The shared part of all fronts. `host` and `port` are one controller's; `overload_guard` bounds what the
    process takes on.
    """

    def __init__(self, site: Site, host: Host, port: StreamerPort, overload_guard: OverloadGuard,
                 catalogue: Catalogue, clock=time.monotonic):  # fmt: skip
        self.site, self.host, self.port, self.overload_guard = site, host, port, overload_guard
        self.catalogue, self.clock = catalogue, clock
        self.repeats = RepeatDetector(site.front.remember, 100_000)
        self.packages = {p.name: p for p in site.charter.packages}
        self.setting_up = 0
        self.over: list[Callable[[Session], None]] = []
        self._ids = count(1)
        port.on_over = self._over

    # Who asks, and for what.

    def caller(self, request: Request) -> str | None | Reply:
        """The name of the caller's token, None where tokens are not used, or the refusal."""
        if not self.site.tokens:
            return None
        challenge = [("WWW-Authenticate", 'Bearer realm="herongap"')]
        given = bearer_token(request)
        if given is None:
            return problem("no-credentials", headers=challenge)
        found = None
        for name, token in self.site.tokens.items():
            # All are compared, each in constant time: how long it takes must not tell how much was right.
            if hmac.compare_digest(token.secret.encode(), given.encode("utf-8", "replace")):
                found = name
        if found is None:
            challenge = [("WWW-Authenticate", 'Bearer realm="herongap", error="invalid_token"')]
            return problem("bad-credentials", headers=challenge)
        return found

    def _package(self, protocol: str, request: Request, owner: str | None) -> str | Reply:
        name = request.query.get("package") or self.site.defaults.get(protocol)
        if name not in self.packages or protocol not in self.site.protocols[name]:
            return problem("not-allowed", f"no package {name!r} for {protocol}")
        if owner and (allowed := self.site.tokens[owner].packages) and name not in allowed:
            return problem("not-allowed", f"this token does not cover package {name!r}")
        return name

    def knock(self, protocol: str, title: str, request: Request) -> tuple | Reply:
        """The owner, the package and the holders of a request for a title, or the reply that refuses it."""
        if self.overload_guard.is_overloaded():
            return problem("overloaded", headers=[("Retry-After", "1")])
        if isinstance(owner := self.caller(request), Reply):
            return owner
        if isinstance(package := self._package(protocol, request, owner), Reply):
            return package
        if (holders := self.catalogue.holders(title)) is None:
            return problem("no-such-title", f"no title {title!r}")
        return owner, package, holders

    # Viewings.

    def enter(self, wish: SessionRequest, peer: Peer) -> Session | Reply:
        """The session of a wish, which plays, or the reply that says why there is none; blocks until then."""
        now = self.clock()
        again, viewing = self.repeats.match(now, wish.key, wish.digest)
        if again is RepeatMatch.JOIN:
            log.info("repeated", viewing=viewing)
            return self._await(self.port.sessions[viewing], peer)
        if again is RepeatMatch.ENDED:
            return problem("session-over")
        if again is RepeatMatch.CONFLICT:
            return problem("key-reused")
        if refusal := self.overload_guard.admit(now, peer.name, self.setting_up, len(self.port.sessions)):
            kind, come_back = refusal
            return problem(kind, headers=[("Retry-After", str(math.ceil(come_back)))] if come_back else ())
        return self._await(self._take(wish, peer), peer)

    def _take(self, wish: SessionRequest, peer: Peer) -> Session:
        p = self.packages[wish.package]
        # With a journal each process has ids of its own: those of the one before may still play.
        process = f".{self.port.journal.incarnation}" if self.port.journal else ""
        viewing = f"v{self.site.front.number}{process}-{next(self._ids)}"
        session = Session(
            viewing,
            secrets.token_urlsafe(18),
            wish.protocol,
            wish.title,
            wish.media_type,
            wish.offer,
            wish.owner,
            wish.key,
            wish.digest,
        )
        self.port.sessions[viewing] = session
        self.repeats.add(wish.key, wish.digest, viewing)
        ask = ViewingRequest(
            viewing=viewing,
            viewer=wish.viewer,
            package=wish.package,
            member=(self.site.tokens[wish.owner].member or None) if wish.owner else None,
            title=wish.title,
            holders=frozenset(wish.holders),
            top=min(p.top, int(wish.top)) if wish.top.isdigit() else p.top,
            time_left=max(0.0, wish.patience - self.site.front.answer_ahead),
            length=None,
            moved=False,
            is_retry=False,
        )
        log.debug("asked", viewing=viewing, package=wish.package, title=wish.title, peer=peer.name)
        self.setting_up += 1
        session.done.rawlink(lambda _: self._set_up())
        self.host.asked(self.clock(), ask)
        return session

    def _set_up(self) -> None:
        self.setting_up -= 1

    def _await(self, session: Session, peer: Peer) -> Session | Reply:
        session.waiting += 1
        try:
            # The host answers by the patience of the viewing; this is only against a fault there.
            if not session.done.is_set() and not peer.wait(session.done, 660.0):
                raise PeerDisconnectedError
        finally:
            session.waiting -= 1
            if not session.waiting and peer.gone:
                # Its viewer may be on its way back with the same offer, which then must not be set up twice.
                gevent.spawn_later(self.site.front.linger, self._abandon, session)
        answer = session.answer
        if answer.verdict == "plays":
            return session
        if answer.verdict == "gone":
            raise PeerDisconnectedError
        if answer.cause is EndReason.NOT_SENT:
            return problem("offer-refused")
        if answer.verdict == "blocked":
            wait = [("Retry-After", str(math.ceil(answer.come_back)))] if answer.come_back else []
            return problem("blocked", headers=wait, come_back=answer.come_back)
        return problem("aborted", cause=answer.cause.name.lower() if answer.cause else "none")

    def _abandon(self, session: Session) -> None:
        if not session.waiting:
            self.host.left(self.clock(), session.viewing)

    def _over(self, session: Session, played: bool) -> None:
        self.repeats.remove(self.clock(), session.viewing, played)
        for told in self.over:
            told(session)
