"""Trickle ICE fragments (`application/trickle-ice-sdpfrag`, RFC 8840), the bodies of PATCH requests."""

from typing import NamedTuple

from herongap.sdp.offer import SdpError


class Fragment(NamedTuple):
    """A fragment: ICE credentials, candidates as (mid, candidate), and whether the list is complete."""

    ufrag: str
    pwd: str
    candidates: tuple[tuple[str, str], ...]
    complete: bool


def read_fragment(body: bytes) -> Fragment:
    """Parse a fragment; raises SdpError for anything that RFC 8840 does not allow."""
    try:
        lines = body.decode("utf-8").splitlines()
    except UnicodeDecodeError as error:
        raise SdpError("not UTF-8") from error
    ufrag = pwd = mid = ""
    candidates, complete, media = [], False, False
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        if line[1:2] != "=" or line[0] not in "am":
            raise SdpError(f"line {number}: a fragment may contain only a= and m= lines")
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
                raise SdpError(f"line {number}: a candidate needs at least eight fields")
            candidates.append((mid, value))
        elif name == "end-of-candidates":
            complete = True
    if not ufrag or not pwd:
        raise SdpError("a fragment must contain ice-ufrag and ice-pwd")
    return Fragment(ufrag, pwd, tuple(candidates), complete)


def write_fragment(fragment: Fragment) -> bytes:
    """The text of a fragment, with one media section for each mid."""
    lines = [f"a=ice-ufrag:{fragment.ufrag}", f"a=ice-pwd:{fragment.pwd}"]
    mids = sorted({mid for mid, _ in fragment.candidates}) or ["0"]
    for mid in mids:
        lines += ["m=audio 9 UDP/TLS/RTP/SAVPF 0", f"a=mid:{mid}"]
        lines += [f"a=candidate:{text}" for section, text in fragment.candidates if section == mid]
        lines += ["a=end-of-candidates"] * fragment.complete
    return ("\r\n".join(lines) + "\r\n").encode()
