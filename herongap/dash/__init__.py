"""DASH with session tokens, without I/O: manifests, tokens, key rotation, player reports (CMCD)."""

from herongap.dash.cmcd import read_cmcd
from herongap.dash.early_reload import EarlyReloadDetector
from herongap.dash.key_rotation import KeyRotation, SigningKey
from herongap.dash.mpd import MPD_MEDIA_TYPE, Asset, Video, build_manifest
from herongap.dash.tokens import TokenClaims, TokenError, TokenVerifier, generate_key, mint, public_jwks

__all__ = [
    "MPD_MEDIA_TYPE",
    "Asset",
    "EarlyReloadDetector",
    "KeyRotation",
    "SigningKey",
    "TokenClaims",
    "TokenError",
    "TokenVerifier",
    "Video",
    "build_manifest",
    "generate_key",
    "mint",
    "public_jwks",
    "read_cmcd",
]
