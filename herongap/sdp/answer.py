"""Offers and answers made: what our stand-ins and the front's load tools say of themselves.

Written so that an independent WebRTC stack takes them; no media flows.
"""

from typing import NamedTuple

import sdp_transform

from herongap.sdp.offer import Offer, SdpError

# Codecs by preference; a media section is answered with the first that was offered.
CODECS = {"video": ("VP8", "H264", "VP9", "AV1"), "audio": ("opus", "PCMU")}
REVERSED = {"recvonly": "sendonly", "sendonly": "recvonly", "sendrecv": "sendonly", "inactive": "inactive"}


class Endpoint(NamedTuple):
    """One end of a session: credentials (RFC 8839), certificate digest and where it listens."""

    ufrag: str
    pwd: str
    fingerprint: str
    address: str
    port: int
    session: int


def create_answer(offered: Offer, me: Endpoint) -> str:
    """An ICE-lite answer that takes every section with a codec of ours and refuses the others."""
    sections, mids = [], []
    # RFC 9725, 4.2: the answerer is passive, so that the client starts DTLS.
    direction = "sendonly" if offered.direction == "recvonly" else "recvonly"
    for media in offered.parsed["media"]:
        chosen = _codec(media)
        if chosen is None:
            sections.append({**_bare(media), "port": 0, "direction": "inactive"})
            continue
        mids.append(str(media.get("mid", "0")))
        sections.append(
            {
                **_bare(media),
                "port": 9,
                "payloads": str(chosen["payload"]),
                "rtp": [chosen],
                "fmtp": [f for f in media.get("fmtp", ()) if f["payload"] == chosen["payload"]],
                "direction": direction,
                **_transport(me, "passive"),
                **(
                    {"ssrcs": [{"id": me.session % (1 << 32), "attribute": "cname", "value": "herongap"}]}
                    if direction == "sendonly"
                    else {}
                ),
            }
        )
    if not mids:
        raise SdpError("no codec in common")
    return _write(me, sections, mids, icelite="ice-lite")


def _transport(me: Endpoint, setup: str) -> dict:
    """How this endpoint is reached: one candidate, all there will be, and who begins DTLS (RFC 8842)."""
    return {
        "rtcpMux": "rtcp-mux",
        "setup": setup,
        "iceUfrag": me.ufrag,
        "icePwd": me.pwd,
        "fingerprint": {"type": "sha-256", "hash": me.fingerprint},
        "candidates": [_candidate(me)],
        "endOfCandidates": "end-of-candidates",
    }


def create_offer(me: Endpoint, direction: str) -> str:
    """An offer of one audio and one video section, "recvonly" or "sendonly"."""
    rtp = {
        "audio": [{"payload": 111, "codec": "opus", "rate": 48000, "encoding": 2}],
        "video": [{"payload": 96, "codec": "VP8", "rate": 90000}],
    }
    sections = []
    for mid, (kind, codecs) in enumerate(rtp.items()):
        sections.append(
            {
                "type": kind,
                "port": 9,
                "protocol": "UDP/TLS/RTP/SAVPF",
                "payloads": str(codecs[0]["payload"]),
                "connection": {"version": 4, "ip": "0.0.0.0"},
                "mid": str(mid),
                "rtp": codecs,
                "fmtp": [],
                "direction": direction,
                **_transport(me, "actpass"),
            }
        )
    return _write(me, sections, ["0", "1"], iceOptions="trickle")


def _bare(media: dict) -> dict:
    payloads = str(media["payloads"])
    return {
        "type": media["type"],
        "protocol": media["protocol"],
        "payloads": payloads.split()[0],
        "connection": {"version": 4, "ip": "0.0.0.0"},
        "rtp": [r for r in media.get("rtp", ()) if str(r["payload"]) == payloads.split()[0]],
        "fmtp": [],
        "mid": media.get("mid", "0"),
    }


def _codec(media: dict) -> dict | None:
    names = CODECS.get(media.get("type"), ())
    offered = {str(r["codec"]).lower(): r for r in reversed(media.get("rtp", ()))}
    return next((offered[name.lower()] for name in names if name.lower() in offered), None)


def _candidate(me: Endpoint) -> dict:
    return {
        "foundation": "1",
        "component": 1,
        "protocol": "udp",
        "priority": 2130706431,
        "ip": me.address,
        "port": me.port,
        "type": "host",
    }


def _write(me: Endpoint, sections: list[dict], mids: list[str], **more) -> str:
    return sdp_transform.write(
        {
            "version": 0,
            "origin": {
                "username": "-",
                "sessionId": me.session,
                "sessionVersion": 1,
                "netType": "IN",
                "ipVer": 4,
                "address": "127.0.0.1",
            },
            "name": "-",
            "timing": {"start": 0, "stop": 0},
            "groups": [{"type": "BUNDLE", "mids": " ".join(mids)}],
            **more,
            "media": sections,
        }
    )
