"""WHIP (RFC 9725) and the parts that WHEP (draft-ietf-wish-whep) shares with it, without I/O."""

from herongap.whip.messages import (
    EVENTS_EXTENSION,
    LAYERS_EXTENSION,
    OPTIONS_HEADERS,
    check_offer,
    check_patch,
    created_reply,
    ice_links,
)
from herongap.whip.resource import SessionResource

__all__ = [
    "EVENTS_EXTENSION",
    "LAYERS_EXTENSION",
    "OPTIONS_HEADERS",
    "SessionResource",
    "check_offer",
    "check_patch",
    "created_reply",
    "ice_links",
]
