"""The messages of WHIP and WHEP: validation of requests and contents of responses."""

from collections.abc import Iterable

from herongap.http import ICE_FRAGMENT, SDP, Reply, Request, link, problem
from herongap.sdp import Fragment, Offer, SdpError, read_fragment, read_offer

# Extensions of WHEP, announced in Link headers.
EVENTS_EXTENSION = "urn:ietf:params:whep:ext:core:server-sent-events"
LAYERS_EXTENSION = "urn:ietf:params:whep:ext:core:layer"
# RFC 9725, 4.2: the response to OPTIONS. The CORS headers (fetch) are there because players run in browsers.
OPTIONS_HEADERS = (
    ("Accept-Post", SDP),
    ("Access-Control-Allow-Origin", "*"),
    ("Access-Control-Allow-Methods", "OPTIONS, POST, PATCH, DELETE"),
    ("Access-Control-Allow-Headers", "Authorization, Content-Type, If-Match, Idempotency-Key, Prefer"),
    ("Access-Control-Expose-Headers", "Location, ETag, Link, Retry-After"),
)
CORS_HEADERS = OPTIONS_HEADERS[1], OPTIONS_HEADERS[4]
# The direction of a client's media: a publisher sends, a viewer receives.
DIRECTIONS = {"whip": "sendonly", "whep": "recvonly"}


def check_offer(request: Request, protocol: str) -> Offer | Reply:
    """The offer in a POST request, or the reply that rejects it."""
    if request.media_type != SDP:
        # RFC 9725, 4.2: an unsupported media type gets 415 with the supported one.
        return problem("bad-type", f"{protocol} takes {SDP}", [("Accept-Post", SDP)])
    try:
        return read_offer(request.body, DIRECTIONS[protocol])
    except SdpError as error:
        return problem("bad-sdp", str(error))


def check_patch(request: Request) -> Fragment | Reply:
    """The fragment in a PATCH request, or the reply that rejects it."""
    if request.media_type != ICE_FRAGMENT:
        return problem("bad-type", f"PATCH takes {ICE_FRAGMENT}", [("Accept-Patch", ICE_FRAGMENT)])
    if "if-match" not in request.headers:
        # RFC 9725, 4.3.1: without it, a fragment from before an ICE restart could be applied after it.
        return problem(
            "tag-needed", "PATCH carries If-Match with the ETag of the session, or * to restart ICE"
        )
    try:
        return read_fragment(request.body)
    except SdpError as error:
        return problem("bad-fragment", str(error))


def created_reply(location: str, tag: str, answer: bytes, links: Iterable[tuple[str, str]] = ()) -> Reply:
    """201 with the answer (RFC 9725, 4.2)."""
    headers = ("Content-Type", SDP), ("Location", location), ("ETag", tag), ("Accept-Patch", ICE_FRAGMENT)
    return Reply(201, (*headers, *links, *CORS_HEADERS), answer)


def ice_links(servers: Iterable[str]) -> list[tuple[str, str]]:
    """Link headers for STUN and TURN servers (RFC 9725, 4.6), without credentials."""
    return [link(server, "ice-server") for server in servers]
