"""The messages of WHIP and WHEP: which requests may pass, and what the replies carry."""

from collections.abc import Iterable

from herongap.http import ICE_FRAGMENT, SDP, Reply, Request, link, problem
from herongap.sdp import Fragment, Offer, SdpError, read_fragment, read_offer

# Extensions of WHEP, announced by Link.
EVENTS_EXTENSION = "urn:ietf:params:whep:ext:core:server-sent-events"
LAYERS_EXTENSION = "urn:ietf:params:whep:ext:core:layer"
# RFC 9725, 4.2: what an endpoint says to OPTIONS; CORS (fetch) needs the rest, as players run in browsers.
OPTIONS_HEADERS = (
    ("Accept-Post", SDP),
    ("Access-Control-Allow-Origin", "*"),
    ("Access-Control-Allow-Methods", "OPTIONS, POST, PATCH, DELETE"),
    ("Access-Control-Allow-Headers", "Authorization, Content-Type, If-Match, Idempotency-Key, Prefer"),
    ("Access-Control-Expose-Headers", "Location, ETag, Link, Retry-After"),
)
CORS_HEADERS = OPTIONS_HEADERS[1], OPTIONS_HEADERS[4]
# The side of the client: a publisher sends, a viewer receives.
DIRECTIONS = {"whip": "sendonly", "whep": "recvonly"}


def check_offer(request: Request, protocol: str) -> Offer | Reply:
    """The offer that a POST carries, or the reply that refuses it."""
    if request.media_type != SDP:
        # RFC 9725, 4.2: an unsupported type gets 415 with what is taken.
        return problem("bad-type", f"{protocol} takes {SDP}", [("Accept-Post", SDP)])
    try:
        return read_offer(request.body, DIRECTIONS[protocol])
    except SdpError as fault:
        return problem("bad-sdp", str(fault))


def check_patch(request: Request) -> Fragment | Reply:
    """The fragment that a PATCH carries, or the reply that refuses it."""
    if request.media_type != ICE_FRAGMENT:
        return problem("bad-type", f"PATCH takes {ICE_FRAGMENT}", [("Accept-Patch", ICE_FRAGMENT)])
    if "if-match" not in request.headers:
        # RFC 9725, 4.3.1: without it an old fragment could pass for a new one after a restart.
        return problem(
            "tag-needed", "PATCH carries If-Match with the ETag of the session, or * to restart ICE"
        )
    try:
        return read_fragment(request.body)
    except SdpError as fault:
        return problem("bad-fragment", str(fault))


def created_reply(location: str, tag: str, answer: bytes, links: Iterable[tuple[str, str]] = ()) -> Reply:
    """201 with the answer (RFC 9725, 4.2)."""
    head = ("Content-Type", SDP), ("Location", location), ("ETag", tag), ("Accept-Patch", ICE_FRAGMENT)
    return Reply(201, (*head, *links, *CORS_HEADERS), answer)


def ice_links(servers: Iterable[str]) -> list[tuple[str, str]]:
    """Link headers for STUN and TURN servers (RFC 9725, 4.6); no secrets are handed out."""
    return [link(server, "ice-server") for server in servers]
