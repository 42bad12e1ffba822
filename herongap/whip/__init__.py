"""WHIP (RFC 9725) and what WHEP (draft-ietf-wish-whep) shares with it, without I/O."""

from herongap.whip.messages import (
    EVENTS,
    LAYERS,
    OPTIONS_HEADERS,
    check_offer,
    check_patch,
    created,
    ice_links,
)
from herongap.whip.resource import Resource

__all__ = [
    "EVENTS",
    "LAYERS",
    "OPTIONS_HEADERS",
    "Resource",
    "check_offer",
    "check_patch",
    "created",
    "ice_links",
]
