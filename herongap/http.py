"""HTTP messages as plain values, problem documents, and the headers shared by the protocols. No I/O."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from herongap.errors import UnusableInputError

# Status and title of each problem type (RFC 9457); the types are stable, so that clients can rely on them.
PROBLEMS = {
    "bad-request": (400, "The request cannot be read"),
    "bad-sdp": (400, "The session description cannot be used"),
    "bad-fragment": (400, "The ICE fragment cannot be used"),
    "no-credentials": (401, "A bearer token is needed"),
    "bad-credentials": (401, "The bearer token is not known here"),
    "token-refused": (401, "The session token is not good here"),
    "rung-refused": (403, "This rung is not allowed now"),
    "not-allowed": (403, "The token does not cover this request"),
    "no-such-title": (404, "No such title"),
    "no-such-session": (404, "No such session, or it has ended"),
    "no-such-page": (404, "Nothing is served at this address"),
    "bad-method": (405, "The method is not served here"),
    "slow-request": (408, "The request came too slowly"),
    "manifest-over": (410, "This manifest's session has ended"),
    "session-over": (409, "The session of this offer has ended; make a new offer"),
    "stale-tag": (412, "The ICE session that If-Match names is not the present one"),
    "too-large": (413, "The body is larger than is taken"),
    "bad-type": (415, "The body's media type is not taken"),
    "offer-refused": (422, "The streamer cannot take this offer"),
    "key-reused": (422, "The Idempotency-Key was used for another offer"),
    "tag-needed": (428, "If-Match is needed here"),
    "too-fast": (429, "This peer asks too fast"),
    "header-too-large": (431, "The header is larger than is taken"),
    "internal": (500, "The front failed"),
    "not-served": (501, "This feature is not served"),
    "aborted": (502, "The session could not be set up"),
    "streamer-lost": (502, "The streamer of this session does not answer"),
    "blocked": (503, "No room for this session now"),
    "overloaded": (503, "This front takes no more sessions now"),
    "stopping": (503, "This front is stopping"),
}
PROBLEM_URN = "urn:herongap:problem:"
PROBLEM_JSON, SDP, ICE_FRAGMENT = (
    "application/problem+json",
    "application/sdp",
    "application/trickle-ice-sdpfrag",
)


class UrlError(UnusableInputError):
    """The address of a streamer or a member is not an http URL."""

    advice = "write it as http://HOST:PORT in the list, or in the file that contains it"


@dataclass(slots=True)
class Request:
    """A complete request. Header names are in lower case; repeated headers are joined with commas."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    peer: str = ""

    @property
    def path(self) -> list[str]:
        """The path's segments, each decoded on its own, so that an escaped slash does not split one."""
        return [unquote(part) for part in urlsplit(self.target).path.split("/")[1:]]

    @property
    def query(self) -> dict[str, str]:
        """The query's arguments; the last value of a repeated one counts."""
        return {k: v[-1] for k, v in parse_qs(urlsplit(self.target).query, keep_blank_values=True).items()}

    @property
    def media_type(self) -> str:
        """The media type of the body without parameters, in lower case."""
        return self.headers.get("content-type", "").partition(";")[0].strip().lower()


class Reply(NamedTuple):
    """A response; `body` may be an iterable of chunks, each of which is sent at once."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | Iterable[bytes] = b""

    def header(self, name: str) -> str | None:
        """The first header of this name, in any case; None without one."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


def problem(kind: str, detail: str = "", headers: Iterable[tuple[str, str]] = (), **extensions) -> Reply:
    """An error response in `application/problem+json`; `kind` is a key of PROBLEMS.

    Keyword arguments become extension members of the document.
    """
    status, title = PROBLEMS[kind]
    body = {
        "type": PROBLEM_URN + kind,
        "title": title,
        "status": status,
        **({"detail": detail} if detail else {}),
        **extensions,
    }
    return Reply(status, (("Content-Type", PROBLEM_JSON), *headers), json.dumps(body).encode())


def problem_kind(body: bytes) -> str:
    """The key of PROBLEMS in a problem document; "" for any other document."""
    try:
        problem_type = json.loads(body).get("type", "")
    except (ValueError, AttributeError):
        return ""
    return problem_type.removeprefix(PROBLEM_URN) if isinstance(problem_type, str) else ""


def parse_url(url: str) -> tuple[str, int]:
    """Host and port of a streamer's URL; raises UrlError for any other form than http://HOST:PORT."""
    try:
        parts = urlsplit(url)
        if parts.scheme == "http" and parts.hostname and parts.port:
            return parts.hostname, parts.port
    except ValueError:
        pass
    raise UrlError(f"url {url!r} is not http://HOST:PORT")


class LinkTarget(NamedTuple):
    """One target of a Link header (RFC 8288)."""

    url: str
    rel: str
    params: dict[str, str]


_LINK = re.compile(r'<([^<>"]*)>((?:\s*;\s*[\w*-]+\s*(?:=\s*(?:"[^"]*"|[^",;\s]+))?)*)\s*(?:,|$)')
_PARAM = re.compile(r';\s*([\w*-]+)\s*(?:=\s*(?:"([^"]*)"|([^",;\s]+)))?')


def read_links(value: str) -> list[LinkTarget]:
    """The targets of a Link header; invalid parts are ignored, as RFC 8288 requires."""
    found = []
    for match in _LINK.finditer(value):
        params = {name.lower(): quoted or bare for name, quoted, bare in _PARAM.findall(match[2])}
        found += [LinkTarget(match[1], rel, params) for rel in params.pop("rel", "").split()]
    return found


def link(url: str, rel: str, **params: str) -> tuple[str, str]:
    """A Link header with one target."""
    parameters = "".join(f'; {name}="{value}"' for name, value in params.items())
    return "Link", f'<{url}>; rel="{rel}"{parameters}'


def bearer_token(request: Request) -> str | None:
    """The token of an `Authorization: Bearer` header (RFC 6750), None without one."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() or None if scheme.lower() == "bearer" else None


def etag_matches(request: Request, tag: str) -> bool:
    """Whether If-Match (RFC 9110, 13.1.1; strong comparison) lists this entity tag or *."""
    listed = [part.strip() for part in request.headers.get("if-match", "").split(",")]
    return "*" in listed or tag in listed


def preferred_wait(request: Request) -> float | None:
    """The seconds of `Prefer: wait` (RFC 7240, 4.3), which say how long the client will wait."""
    for part in request.headers.get("prefer", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "wait" and re.fullmatch(
            r"[0-9]{1,4}(\.[0-9]{1,3})?", value.strip().strip('"')
        ):
            return float(value.strip().strip('"'))
    return None
