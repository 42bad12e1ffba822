"""Reads player reports: CMCD (CTA-5004), sent as a query argument or in its four headers.

A key that cannot be parsed is ignored and the others are kept: an invalid value must not cost a player its
segment.
"""

import re
from collections.abc import Mapping
from urllib.parse import unquote

MAX_CHARS = 2048  # of each part; the rest is ignored
HEADERS = ("cmcd-object", "cmcd-request", "cmcd-session", "cmcd-status")
INTEGER_KEYS = frozenset(("br", "bl", "d", "dl", "mtp", "rtp", "tb"))  # kbps, ms, ms, ms, kbps, kbps, kbps
FLAG_KEYS = frozenset(("bs", "su"))
TOKEN_KEYS = frozenset(("ot", "sf", "st"))
STRING_KEYS = frozenset(("cid", "sid", "nor", "nrr"))
_PAIR = re.compile(r'([a-z0-9.-]+)(?:=("(?:[^"\\]|\\.)*"|[^,"]*))?(?:,|$)')


def read_cmcd(query: str | None, headers: Mapping[str, str]) -> dict[str, int | float | str | bool]:
    """The known keys with their values; a request may combine the query argument and the headers.

    `query` is the value of the argument, URL-decoded once; header names are in lower case.
    """
    found: dict[str, int | float | str | bool] = {}
    for part in (query or "", *(headers.get(name, "") for name in HEADERS)):
        for match in _PAIR.finditer(part[:MAX_CHARS]):
            key, raw = match[1], match[2]
            value = _parse_value(key, raw)
            if value is not None:
                found[key] = value
    return found


def _parse_value(key: str, raw: str | None) -> int | float | str | bool | None:
    """The value in the type of its key; None for an unknown key or an invalid value."""
    if key in FLAG_KEYS:
        return {None: True, "true": True, "false": False}.get(raw)
    if not raw:
        return None
    if key in INTEGER_KEYS:
        return int(raw) if raw.isascii() and raw.isdigit() and len(raw) < 12 else None
    if key == "pr":
        return float(raw) if re.fullmatch(r"[0-9]{1,3}(\.[0-9]{1,3})?", raw) else None
    if key in TOKEN_KEYS:
        return raw if re.fullmatch(r"[a-z0-9]{1,2}", raw) else None
    if key in STRING_KEYS and len(raw) >= 2 and raw[0] == raw[-1] == '"':
        text = re.sub(r"\\(.)", r"\1", raw[1:-1])
        return unquote(text) if key in ("nor", "nrr") else text
    return None
