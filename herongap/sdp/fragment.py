"""Trickle ICE fragments (`application/trickle-ice-sdpfrag`, RFC 8840), as PATCH carries them."""

from typing import NamedTuple

from herongap.sdp.offer import SdpError


class Fragment(NamedTuple):
    """A fragment: credentials, candidates as (mid, candidate), and whether there are no more."""

    ufrag: str
    pwd: str
    candidates: tuple[tuple[str, str], ...]
    complete: bool


def read_fragment(body: bytes) -> Fragment:
    """Raises BadSdp for what RFC 8840 does not allow."""
    try:
        lines = body.decode("utf-8").splitlines()
    except UnicodeDecodeError as fault:
        raise SdpError("not UTF-8") from fault
    ufrag = pwd = mid = ""
    candidates, complete, media = [], False, False
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        if line[1:2] != "=" or line[0] not in "am":
            raise SdpError(f"line {number}: only a= and m= lines stand in a fragment")
        if line[0] == "m":
            media = True
            continue
        name, _, value = line[2:].partition(":")
        if name == "ice-ufrag":
            ufrag = value
        elif name == "ice-pwd":
            pwd = value
        elif name == "mid":
            mid = value
        elif name == "candidate":
            if not media:
                raise SdpError(f"line {number}: a candidate before any m= line")
            if len(value.split()) < 8:
                raise SdpError(f"line {number}: a candidate has at least eight fields")
            candidates.append((mid, value))
        elif name == "end-of-candidates":
            complete = True
    if not ufrag or not pwd:
        raise SdpError("a fragment names its ice-ufrag and ice-pwd")
    return Fragment(ufrag, pwd, tuple(candidates), complete)


def write_fragment(fragment: Fragment) -> bytes:
    """A fragment's text, one media section."""
    lines = [f"a=ice-ufrag:{fragment.ufrag}", f"a=ice-pwd:{fragment.pwd}"]
    mids = sorted({mid for mid, _ in fragment.candidates}) or ["0"]
    for mid in mids:
        lines += ["m=audio 9 UDP/TLS/RTP/SAVPF 0", f"a=mid:{mid}"]
        lines += [f"a=candidate:{text}" for of, text in fragment.candidates if of == mid]
        lines += ["a=end-of-candidates"] * fragment.complete
    return ("\r\n".join(lines) + "\r\n").encode()
