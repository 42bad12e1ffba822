"""Session descriptions (RFC 8866) as WebRTC offers and answers (RFC 8829), without I/O."""

from herongap.sdp.answer import Endpoint, create_answer, create_offer
from herongap.sdp.fragment import Fragment, read_fragment
from herongap.sdp.offer import Offer, SdpError, read_offer

__all__ = [
    "Endpoint",
    "Fragment",
    "Offer",
    "SdpError",
    "create_answer",
    "create_offer",
    "read_fragment",
    "read_offer",
]
