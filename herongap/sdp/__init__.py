"""Session descriptions (RFC 8866) as offers and answers of WebRTC (RFC 8829), without I/O."""

from herongap.sdp.answer import Endpoint, answer, offer
from herongap.sdp.fragment import Fragment, read_fragment
from herongap.sdp.offer import BadSdp, Offer, read_offer

__all__ = ["BadSdp", "Endpoint", "Fragment", "Offer", "answer", "offer", "read_fragment", "read_offer"]
