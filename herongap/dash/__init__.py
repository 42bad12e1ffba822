"""DASH with session tokens, without I/O: manifests, tokens, the ring of keys, what players report."""

from herongap.dash.cmcd import read_cmcd
from herongap.dash.doubt import Doubt
from herongap.dash.mpd import MPD, Asset, Video, manifest
from herongap.dash.ring import Key, Ring
from herongap.dash.tokens import Checker, Grant, Refusal, mint, new_key, published

__all__ = [
    "MPD",
    "Asset",
    "Checker",
    "Doubt",
    "Grant",
    "Key",
    "Refusal",
    "Ring",
    "Video",
    "manifest",
    "mint",
    "new_key",
    "published",
    "read_cmcd",
]
