"""The front's HTTP side: WHIP and WHEP requests in, the host's one answer out."""

import hashlib
import hmac
import math
import secrets
import time
from itertools import count

import gevent
import h11
import structlog

from herongap.daemon.session import Session
from herongap.daemon.streamers import Streamers
from herongap.daemon.wire import Hung, Peer
from herongap.host import Again, Host, Repeats, State
from herongap.http import Reply, Request, bearer, problem, wait_preferred
from herongap.ini import Catalogue, Site
from herongap.intake import Intake
from herongap.interface import Asked, Ending
from herongap.sdp import Offer
from herongap.whip import OPTIONS_HEADERS, check_offer, check_patch, created, ice_links

log = structlog.get_logger()


class Front:
    """Answers requests. `host` and `port` are one controller's; `intake` bounds what the process takes on."""

    def __init__(
        self,
        site: Site,
        host: Host,
        port: Streamers,
        intake: Intake,
        catalogue: Catalogue,
        clock=time.monotonic,
    ):
        self.site, self.host, self.port, self.intake = site, host, port, intake
        self.catalogue, self.clock = catalogue, clock
        self.repeats = Repeats(site.front.remember, 100_000)
        self.secrets: dict[str, Session] = {}
        self.setting_up = 0
        self.packages = {p.name: p for p in site.charter.packages}
        self._ids = count(1)
        port.on_over = self._over

    def handle(self, request: Request, peer: Peer) -> Reply:
        """One request; blocks until its reply is known."""
        path = request.path
        if len(path) == 2 and path[0] in ("whip", "whep") and path[1]:
            if request.method == "POST":
                if self.intake.swamped():
                    return problem("overloaded", headers=[("Retry-After", "1")])
                return self._post(path[0], path[1], request, peer)
            if request.method == "OPTIONS":
                return Reply(200, OPTIONS_HEADERS)
            return problem("bad-method", headers=[("Allow", "OPTIONS, POST")])
        if len(path) == 2 and path[0] == "sessions":
            if request.method == "OPTIONS":
                return Reply(200, OPTIONS_HEADERS)
            if request.method not in ("PATCH", "DELETE"):
                return problem("bad-method", headers=[("Allow", "OPTIONS, PATCH, DELETE")])
            session = self.secrets.get(path[1])
            if session is None:
                return problem("no-such-session")
            if isinstance(owner := self._caller(request), Reply):
                return owner
            if owner != session.owner:
                return problem("not-allowed", "this session was made with another token")
            return self._patch(session, request) if request.method == "PATCH" else self._delete(session)
        return problem("no-such-page")

    # Who calls, and for what.

    def _caller(self, request: Request) -> str | None | Reply:
        """The name of the caller's token, None where tokens are not used, or the refusal."""
        if not self.site.tokens:
            return None
        challenge = [("WWW-Authenticate", 'Bearer realm="herongap"')]
        given = bearer(request)
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
        if name not in self.packages or self.site.protocols[name] != protocol:
            return problem("not-allowed", f"no package {name!r} for {protocol}")
        if owner and (allowed := self.site.tokens[owner].packages) and name not in allowed:
            return problem("not-allowed", f"this token does not cover package {name!r}")
        return name

    # Requests.

    def _post(self, protocol: str, title: str, request: Request, peer: Peer) -> Reply:
        if isinstance(owner := self._caller(request), Reply):
            return owner
        if isinstance(package := self._package(protocol, request, owner), Reply):
            return package
        if (holders := self.catalogue.holders(title)) is None:
            return problem("no-such-title", f"no title {title!r}")
        offer = check_offer(request, protocol)
        if isinstance(offer, Reply):
            return offer
        now = self.clock()
        key, digest = self._identity(request, offer, owner)
        again, viewing = self.repeats.seen(now, key, digest)
        if again is Again.JOIN:
            log.info("repeated", viewing=viewing)
            return self._await(self.port.sessions[viewing], peer)
        if again is Again.OVER:
            return problem("session-over")
        if again is Again.CLASH:
            return problem("key-reused")
        if refusal := self.intake.admit(now, request.peer, self.setting_up, len(self.port.sessions)):
            kind, come_back = refusal
            return problem(kind, headers=[("Retry-After", str(math.ceil(come_back)))] if come_back else ())
        return self._take(protocol, title, package, owner, holders, key, digest, request, peer)

    def _identity(self, request: Request, offer: Offer, owner: str | None) -> tuple[tuple, str]:
        """What makes two requests one viewing, and what must then be equal in both."""
        if given := request.headers.get("idempotency-key"):
            return ("key", owner, given), hashlib.sha256(request.body).hexdigest()
        return ("offer", owner, *offer.identity), ""

    def _take(self, protocol, title, package, owner, holders, key, digest, request, peer) -> Reply:
        p = self.packages[package]
        viewing = f"v{self.site.front.number}-{next(self._ids)}"
        session = Session(viewing, secrets.token_urlsafe(18), protocol, title, request.body, owner)
        self.port.sessions[viewing] = session
        self.repeats.take(key, digest, viewing)
        patience = min(self.site.patience[package], wait_preferred(request) or math.inf)
        top = request.query.get("top", "")
        ask = Asked(
            viewing=viewing,
            viewer=key[2],
            package=package,
            member=(self.site.tokens[owner].member or None) if owner else None,
            title=title,
            holders=frozenset(holders),
            top=min(p.top, int(top)) if top.isdigit() else p.top,
            left=max(0.0, patience - self.site.front.answer_ahead),
            length=None,
            moved=False,
            again=False,
        )
        log.debug("asked", viewing=viewing, package=package, title=title, peer=peer.name)
        self.setting_up += 1
        session.done.rawlink(lambda _: self._set_up())
        self.host.asked(self.clock(), ask)
        return self._await(session, peer)

    def _set_up(self) -> None:
        self.setting_up -= 1

    def _await(self, session: Session, peer: Peer) -> Reply:
        session.waiting += 1
        try:
            # The host answers by the patience of the viewing; this is only against a fault there.
            if not session.done.is_set() and not peer.wait(session.done, 660.0):
                raise Hung
        finally:
            session.waiting -= 1
            if not session.waiting and peer.gone:
                # Its viewer may be on its way back with the same offer, which then must not be set up twice.
                gevent.spawn_later(self.site.front.linger, self._abandon, session)
        answer = session.answer
        if answer.verdict == "plays":
            remote = session.remote
            self.secrets[session.secret] = session
            links = ice_links(self.site.front.ice_servers)
            return created(f"/sessions/{session.secret}", remote.tag, remote.answer, links)
        if answer.verdict == "gone":
            raise Hung
        if answer.cause is Ending.NOT_SENT:
            return problem("offer-refused")
        if answer.verdict == "blocked":
            wait = [("Retry-After", str(math.ceil(answer.come_back)))] if answer.come_back else []
            return problem("blocked", headers=wait, come_back=answer.come_back)
        return problem("aborted", cause=answer.cause.name.lower() if answer.cause else "none")

    def _abandon(self, session: Session) -> None:
        if not session.waiting:
            self.host.left(self.clock(), session.viewing)

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
        except (OSError, h11.ProtocolError, KeyError) as fault:
            log.warning(
                "patch not carried",
                viewing=session.viewing,
                streamer=session.remote.streamer,
                cause=repr(fault),
            )
            return problem("streamer-lost")
        kept = tuple((k, v) for k, v in reply.headers if k.lower() in ("content-type", "etag"))
        return Reply(reply.status, (*kept, *OPTIONS_HEADERS[1::3]), reply.body)

    def _delete(self, session: Session) -> Reply:
        life = self.host.lives.get(session.viewing)
        if life is None or life.state is not State.PLAYING:
            return problem("no-such-session")
        self.host.left(self.clock(), session.viewing)
        session.closed.wait(3.0)
        return Reply(200, OPTIONS_HEADERS[1:2])

    def _over(self, session: Session, played: bool) -> None:
        self.secrets.pop(session.secret, None)
        self.repeats.drop(self.clock(), session.viewing, played)
