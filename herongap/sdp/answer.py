"""Creates offers and answers for the simulated streamers and viewers and the load tools.

No media is exchanged, but the texts are complete enough for an independent WebRTC implementation to accept
them.
"""

from typing import NamedTuple

import sdp_transform

from herongap.sdp.offer import Offer, SdpError

# Codecs in order of preference; a media section is answered with the first one that was offered.
CODECS = {"video": ("VP8", "H264", "VP9", "AV1"), "audio": ("opus", "PCMU")}
REVERSED = {"recvonly": "sendonly", "sendonly": "recvonly", "sendrecv": "sendonly", "inactive": "inactive"}
DISCARD_PORT = 9  # placeholder of a media section (RFC 8829); the candidate has the real port
HOST_CANDIDATE_PRIORITY = 2130706431  # RFC 8445, 5.1.2: the highest for a host candidate


class Endpoint(NamedTuple):
    """One end of a session: ICE credentials (RFC 8839), certificate fingerprint, address and session ID."""

    ufrag: str
    pwd: str
    fingerprint: str
    address: str
    port: int
    session: int


def create_answer(offered: Offer, local: Endpoint) -> str:
    """An ICE-lite answer that accepts each section with a known codec and rejects the others.

    Raises SdpError if no section can be accepted.
    """
    sections, mids = [], []
    direction = "sendonly" if offered.direction == "recvonly" else "recvonly"
    for media in offered.parsed["media"]:
        codec = _choose_codec(media)
        if codec is None:
            sections.append({**_section_base(media), "port": 0, "direction": "inactive"})
            continue
        mids.append(str(media.get("mid", "0")))
        sections.append(
            {
                **_section_base(media),
                "port": DISCARD_PORT,
                "payloads": str(codec["payload"]),
                "rtp": [codec],
                "fmtp": [f for f in media.get("fmtp", ()) if f["payload"] == codec["payload"]],
                "direction": direction,
                # RFC 9725, 4.2: the answerer is passive, so that the client starts DTLS.
                **_transport(local, "passive"),
                **(
                    {"ssrcs": [{"id": local.session % (1 << 32), "attribute": "cname", "value": "herongap"}]}
                    if direction == "sendonly"
                    else {}
                ),
            }
        )
    if not mids:
        raise SdpError("no codec in common")
    return _write(local, sections, mids, icelite="ice-lite")


def _transport(local: Endpoint, setup: str) -> dict:
    """The transport attributes of a section: its only candidate, and the DTLS role (RFC 8842)."""
    return {
        "rtcpMux": "rtcp-mux",
        "setup": setup,
        "iceUfrag": local.ufrag,
        "icePwd": local.pwd,
        "fingerprint": {"type": "sha-256", "hash": local.fingerprint},
        "candidates": [_candidate(local)],
        "endOfCandidates": "end-of-candidates",
    }


def create_offer(local: Endpoint, direction: str) -> str:
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
                "port": DISCARD_PORT,
                "protocol": "UDP/TLS/RTP/SAVPF",
                "payloads": str(codecs[0]["payload"]),
                "connection": {"version": 4, "ip": "0.0.0.0"},
                "mid": str(mid),
                "rtp": codecs,
                "fmtp": [],
                "direction": direction,
                **_transport(local, "actpass"),
            }
        )
    return _write(local, sections, ["0", "1"], iceOptions="trickle")


def _section_base(media: dict) -> dict:
    """What an answer repeats of an offered section, accepted or not, with only its first payload type."""
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


def _choose_codec(media: dict) -> dict | None:
    """The first codec of `CODECS` that was offered, under its first payload type; None if there is none."""
    names = CODECS.get(media.get("type"), ())
    offered = {str(r["codec"]).lower(): r for r in reversed(media.get("rtp", ()))}
    return next((offered[name.lower()] for name in names if name.lower() in offered), None)


def _candidate(local: Endpoint) -> dict:
    return {
        "foundation": "1",
        "component": 1,
        "protocol": "udp",
        "priority": HOST_CANDIDATE_PRIORITY,
        "ip": local.address,
        "port": local.port,
        "type": "host",
    }


def _write(local: Endpoint, sections: list[dict], mids: list[str], **session_attributes) -> str:
    return sdp_transform.write(
        {
            "version": 0,
            "origin": {
                "username": "-",
                "sessionId": local.session,
                "sessionVersion": 1,
                "netType": "IN",
                "ipVer": 4,
                "address": "127.0.0.1",
            },
            "name": "-",
            "timing": {"start": 0, "stop": 0},
            "groups": [{"type": "BUNDLE", "mids": " ".join(mids)}],
            **session_attributes,
            "media": sections,
        }
    )
