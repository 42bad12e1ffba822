"""An offer read and checked, as far as a front that never touches media must understand it."""

from typing import NamedTuple

import sdp_transform

from herongap.errors import Unusable

# RFC 8866, section 5: the lines that must stand, in this order.
REQUIRED = ("v=0", "o=", "s=")
DIRECTIONS = ("sendrecv", "sendonly", "recvonly", "inactive")


class SdpError(Unusable):
    """A description that cannot be used; the text says what is wrong with it."""

    advice = "see who sent it; it is answered with 400 or 422"


class Offer(NamedTuple):
    """What of an offer the front and its streamers go by.

    `identity` is the same for every copy of one offer and differs between offers: the origin (RFC 8866,
    section 5.2, "globally unique"), the ICE user fragment (RFC 8445) and the certificate's fingerprint.
    """

    identity: tuple[str, str, str]
    direction: str
    media: tuple[dict, ...]
    parsed: dict


def read_offer(body: bytes, direction: str) -> Offer:
    """Check an offer of a client that wants to send ("sendonly", WHIP) or receive ("recvonly", WHEP).

    Raises BadSdp. What RFC 9725, section 4.2 asks of offers is checked: bundled media, ICE, DTLS and
    multiplexed RTCP.
    """
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as fault:
        raise SdpError("not UTF-8") from fault
    lines = text.splitlines()
    for place, start in enumerate(REQUIRED):
        if len(lines) <= place or not lines[place].startswith(start):
            raise SdpError(f"line {place + 1} must begin with {start!r}")
    for number, line in enumerate(lines, 1):
        if line and (len(line) < 2 or line[1] != "=" or not line[0].isalpha()):
            raise SdpError(f"line {number} is not of the form x=value")
    try:
        parsed = sdp_transform.parse(text)
    except Exception as fault:  # the parser's own errors are of many kinds, all of them about the text
        raise SdpError(f"cannot be parsed: {fault}") from fault
    media = tuple(m for m in parsed.get("media", ()) if m.get("port") != 0 or m.get("bundleOnly"))
    if not media:
        raise SdpError("no media section is offered")
    found = [_check(parsed, m, direction) for m in media]
    if len(media) > 1:
        bundled = set()
        for group in parsed.get("groups", ()):
            if group.get("type") == "BUNDLE":
                bundled |= set(str(group.get("mids", "")).split())
        if not {str(m.get("mid")) for m in media} <= bundled:
            raise SdpError("the media sections are not all in one BUNDLE group")
    origin = parsed.get("origin") or {}
    words = [str(origin.get(k, "")) for k in ("username", "sessionId", "sessionVersion", "address")]
    if not all(words):
        raise SdpError("the o= line is not whole")
    return Offer((" ".join(words), *found[0]), direction, media, parsed)


def _check(parsed: dict, media: dict, direction: str) -> tuple[str, str]:
    kind = media.get("type")
    if kind not in ("audio", "video"):
        raise SdpError(f"media of type {kind!r} is not served")
    if not media.get("rtp"):
        raise SdpError(f"the {kind} section names no codec")

    def of(name: str):
        return media.get(name) or parsed.get(name)

    for name, line in (("iceUfrag", "ice-ufrag"), ("icePwd", "ice-pwd"), ("fingerprint", "fingerprint")):
        if not of(name):
            raise SdpError(f"the {kind} section has no a={line}")
    if not 4 <= len(str(of("iceUfrag"))) <= 256 or not 22 <= len(str(of("icePwd"))) <= 256:
        raise SdpError("ice-ufrag or ice-pwd has a length outside RFC 8839")  # section 5.4
    if of("setup") not in ("actpass", "active"):
        raise SdpError("an offer's a=setup must be actpass")
    if not media.get("rtcpMux"):
        raise SdpError(f"the {kind} section lacks a=rtcp-mux")
    told = media.get("direction", "sendrecv")
    if told not in (direction, "sendrecv"):
        raise SdpError(f"the {kind} section is {told}, it must be {direction}")
    mark = of("fingerprint")
    return str(of("iceUfrag")), f"{mark.get('type')} {mark.get('hash')}"
