"""What players report with their requests: CMCD (CTA-5004), as a query argument or in its four headers.

A key that cannot be read is left out and the others stay: a player's odd word must not cost it its segment.
"""

import re
from collections.abc import Mapping
from urllib.parse import unquote

MOST = 2048  # characters that are looked at
HEADERS = ("cmcd-object", "cmcd-request", "cmcd-session", "cmcd-status")
WHOLE = frozenset(("br", "bl", "d", "dl", "mtp", "rtp", "tb"))  # kbps, ms, ms, ms, kbps, kbps, kbps
FLAGS = frozenset(("bs", "su"))
TOKENS = frozenset(("ot", "sf", "st"))
TEXTS = frozenset(("cid", "sid", "nor", "nrr"))
_PAIR = re.compile(r'([a-z0-9.-]+)(?:=("(?:[^"\\]|\\.)*"|[^,"]*))?(?:,|$)')


def read_cmcd(query: str | None, headers: Mapping[str, str]) -> dict[str, int | float | str | bool]:
    """The keys that are known, in their own types; both ways of sending may be mixed.

    `query` is the argument's value, decoded once as any query is; header names are in lower case.
    """
    found: dict[str, int | float | str | bool] = {}
    for part in (query or "", *(headers.get(name, "") for name in HEADERS)):
        for match in _PAIR.finditer(part[:MOST]):
            key, raw = match[1], match[2]
            value = _value(key, raw)
            if value is not None:
                found[key] = value
    return found


def _value(key: str, raw: str | None) -> int | float | str | bool | None:
    if key in FLAGS:
        return {None: True, "true": True, "false": False}.get(raw)
    if not raw:
        return None
    if key in WHOLE:
        return int(raw) if raw.isascii() and raw.isdigit() and len(raw) < 12 else None
    if key == "pr":
        return float(raw) if re.fullmatch(r"\d{1,3}(\.\d{1,3})?", raw) else None
    if key in TOKENS:
        return raw if re.fullmatch(r"[a-z0-9]{1,2}", raw) else None
    if key in TEXTS and len(raw) >= 2 and raw[0] == raw[-1] == '"':
        text = re.sub(r"\\(.)", r"\1", raw[1:-1])
        return unquote(text) if key in ("nor", "nrr") else text
    return None
