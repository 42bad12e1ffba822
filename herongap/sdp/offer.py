"""Reads and checks offers, to the extent needed by a front that never handles media."""

from typing import NamedTuple

import sdp_transform

from herongap.errors import Unusable

# RFC 8866, section 5: the mandatory first lines, in this order.
REQUIRED = ("v=0", "o=", "s=")
DIRECTIONS = ("sendrecv", "sendonly", "recvonly", "inactive")


class SdpError(Unusable):
    """A session description is invalid; the message says how."""

    advice = "see who sent it; the response has status 400 or 422"


class Offer(NamedTuple):
    """The parts of an offer that the front and its streamers use.

    `identity` is the same for every copy of one offer and differs between offers: the origin (RFC 8866,
    section 5.2, "globally unique"), the ICE user fragment (RFC 8445) and the certificate's fingerprint.
    """

    identity: tuple[str, str, str]
    direction: str
    media: tuple[dict, ...]
    parsed: dict


def read_offer(body: bytes, direction: str) -> Offer:
    """Parse and check an offer of a client that sends ("sendonly", WHIP) or receives ("recvonly", WHEP).

    Raises SdpError. Checks what RFC 9725, section 4.2 requires of offers: bundled media, ICE, DTLS and
    multiplexed RTCP.
    """
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise SdpError("not UTF-8") from error
    lines = text.splitlines()
    for index, start in enumerate(REQUIRED):
        if len(lines) <= index or not lines[index].startswith(start):
            raise SdpError(f"line {index + 1} must begin with {start!r}")
    for number, line in enumerate(lines, 1):
        if line and (len(line) < 2 or line[1] != "=" or not line[0].isalpha()):
            raise SdpError(f"line {number} is not of the form x=value")
    try:
        parsed = sdp_transform.parse(text)
    except Exception as error:  # the parser raises many types of exceptions for invalid text
        raise SdpError(f"cannot be parsed: {error}") from error
    media = tuple(m for m in parsed.get("media", ()) if m.get("port") != 0 or m.get("bundleOnly"))
    if not media:
        raise SdpError("no media section is offered")
    credentials = [_check_section(parsed, m, direction) for m in media]
    if len(media) > 1:
        bundled = set()
        for group in parsed.get("groups", ()):
            if group.get("type") == "BUNDLE":
                bundled |= set(str(group.get("mids", "")).split())
        if not {str(m.get("mid")) for m in media} <= bundled:
            raise SdpError("the media sections are not all in one BUNDLE group")
    origin = parsed.get("origin") or {}
    origin_fields = [str(origin.get(k, "")) for k in ("username", "sessionId", "sessionVersion", "address")]
    if not all(origin_fields):
        raise SdpError("the o= line is incomplete")
    return Offer((" ".join(origin_fields), *credentials[0]), direction, media, parsed)


def _check_section(parsed: dict, media: dict, direction: str) -> tuple[str, str]:
    """Check one media section; returns its ICE user fragment and its certificate fingerprint."""
    kind = media.get("type")
    if kind not in ("audio", "video"):
        raise SdpError(f"media of type {kind!r} is not supported")
    if not media.get("rtp"):
        raise SdpError(f"the {kind} section has no codec")

    def attribute(name: str):
        return media.get(name) or parsed.get(name)

    for name, line in (("iceUfrag", "ice-ufrag"), ("icePwd", "ice-pwd"), ("fingerprint", "fingerprint")):
        if not attribute(name):
            raise SdpError(f"the {kind} section has no a={line}")
    if not 4 <= len(str(attribute("iceUfrag"))) <= 256 or not 22 <= len(str(attribute("icePwd"))) <= 256:
        raise SdpError("ice-ufrag or ice-pwd has a length outside RFC 8839")  # section 5.4
    if attribute("setup") not in ("actpass", "active"):
        raise SdpError("an offer's a=setup must be actpass")
    if not media.get("rtcpMux"):
        raise SdpError(f"the {kind} section has no a=rtcp-mux")
    offered_direction = media.get("direction", "sendrecv")
    if offered_direction not in (direction, "sendrecv"):
        raise SdpError(f"the {kind} section is {offered_direction}, it must be {direction}")
    fingerprint = attribute("fingerprint")
    return str(attribute("iceUfrag")), f"{fingerprint.get('type')} {fingerprint.get('hash')}"
