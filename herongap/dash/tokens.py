"""Session tokens: JWT (RFC 7519) signed with Ed25519 (RFC 8037, RFC 9864), keys as a JWK set (RFC 7517).

A token allows one viewing to fetch one title from one streamer, on rungs between a floor and a top, for a
limited time. A streamer verifies it locally with the published keys. It does not prove that only one player
uses it: a copied token works in another player until the token expires or the streamer ends the viewing.
"""

from collections import OrderedDict
from typing import NamedTuple

from joserfc import jwt
from joserfc.errors import JoseError
from joserfc.jwk import KeySet, OKPKey

from herongap.dash.key_rotation import CLOCK_SKEW_SECONDS
from herongap.errors import HerongapError, Unusable

ALGORITHM = "Ed25519"
TOKEN_TYPE = "herongap-session+jwt"  # RFC 8725, 3.11: rejects tokens issued for another purpose
ISSUER = "herongap"
MAX_TOKEN_CHARS = 2048  # longer ones are rejected unread


class InvalidJwksError(Unusable):
    """A JWK set cannot be used."""

    advice = "see the front that publishes it; the previous keys stay in use"


class TokenClaims(NamedTuple):
    """What a token allows: rungs from `floor` to `top` inclusive; times are in seconds since the epoch."""

    viewing: str
    title: str
    package: str
    member: str
    floor: int
    top: int
    streamer: str
    begins: float
    ends: float


class TokenError(HerongapError):
    """A token is rejected; `kind`, one of KINDS, is the reason."""

    advice = "see the kind: clock skew, keys that are not published, or a token of another front"

    KINDS = ("malformed", "forged", "unknown-key", "early", "expired", "elsewhere", "member", "title")

    def __init__(self, kind: str, kid: str = ""):
        super().__init__(kind)
        self.kind, self.kid = kind, kid


def generate_key(kid: str) -> OKPKey:
    """A new private key with this ID."""
    return OKPKey.generate_key("Ed25519", {"kid": kid, "use": "sig", "alg": ALGORITHM}, private=True)


def public_jwks(keys: list[OKPKey]) -> dict:
    """A JWK set of the public keys."""
    return {"keys": [key.as_dict(private=False) for key in keys]}


def mint(key: OKPKey, claims: TokenClaims) -> str:
    """Sign a token. Its times are rounded down to whole seconds, so that it ends by `claims.ends`."""
    payload = {
        "iss": ISSUER, "aud": claims.streamer, "sub": claims.viewing, "title": claims.title,
        "package": claims.package, "member": claims.member, "rungs": [claims.floor, claims.top],
        "nbf": int(claims.begins), "exp": int(claims.ends),
    }  # fmt: skip
    return jwt.encode(
        {"alg": ALGORITHM, "kid": key.kid, "typ": TOKEN_TYPE}, payload, key, algorithms=[ALGORITHM]
    )


class TokenVerifier:
    """Verifies tokens for one streamer; `members` are the members that it serves, None for all.

    Recently verified tokens are cached, as a player sends the same one with each segment request.
    """

    MAX_CACHED_TOKENS = 4096

    def __init__(self, streamer: str, jwks: dict, members: frozenset[str] | None = None):
        self.streamer, self.members = streamer, members
        self.cache: OrderedDict[str, TokenClaims] = OrderedDict()
        self.set_keys(jwks)

    def set_keys(self, jwks: dict) -> None:
        """Replace the keys by a newly published set. Raises InvalidJwksError, and keeps the old keys, if it
        is invalid.

        Keys of other types are ignored. The cache is cleared, as keys may have been removed.
        """
        try:
            usable = [
                k for k in jwks["keys"] if (k.get("kty"), k.get("crv")) == ("OKP", "Ed25519") and k.get("kid")
            ]
            # Only the parameters of RFC 8037 are used: nothing else in the set can change the verification.
            keys = [OKPKey.import_key({p: k[p] for p in ("kty", "crv", "x", "kid")}) for k in usable]
        except (JoseError, KeyError, TypeError, AttributeError, ValueError) as error:
            raise InvalidJwksError(f"not a JWK set: {error!r}") from error
        self.key_ids = {key.kid for key in keys}
        self.keys = KeySet(keys) if keys else None
        self.cache.clear()

    def verify(self, now: float, token: str, title: str) -> TokenClaims:
        """The claims of a valid token; raises TokenError. `now` is in seconds since the epoch."""
        claims = self.cache.get(token)
        if claims is None:
            claims = self._verify_signature(token)
            self.cache[token] = claims
            if len(self.cache) > self.MAX_CACHED_TOKENS:
                self.cache.popitem(last=False)
        if now >= claims.ends + CLOCK_SKEW_SECONDS:
            self.cache.pop(token, None)
            raise TokenError("expired")
        if now < claims.begins - CLOCK_SKEW_SECONDS:
            raise TokenError("early")
        if claims.streamer != self.streamer:
            raise TokenError("elsewhere")
        if self.members is not None and claims.member not in self.members:
            raise TokenError("member")
        if claims.title != title:
            raise TokenError("title")
        return claims

    def _verify_signature(self, token: str) -> TokenClaims:
        if len(token) > MAX_TOKEN_CHARS or not token.isascii():
            raise TokenError("malformed")
        kid = _read_key_id(token)
        if self.keys is None or kid not in self.key_ids:
            raise TokenError("unknown-key", kid)
        try:
            # One algorithm, whatever the header says: rejects "none" and confused key types (RFC 8725, 3.1).
            decoded = jwt.decode(token, self.keys, algorithms=[ALGORITHM])
        except (JoseError, ValueError) as error:
            raise TokenError("forged") from error
        return _read_claims(decoded.claims)


def _read_key_id(token: str) -> str:
    """The key ID in a token's header; raises TokenError unless the header has the expected algorithm and
    type.
    """
    from joserfc.jws import extract_compact

    try:
        header = extract_compact(token.encode()).headers()
    except (JoseError, ValueError, TypeError, AttributeError) as error:
        raise TokenError("malformed") from error
    if (
        header.get("alg") != ALGORITHM
        or header.get("typ") != TOKEN_TYPE
        or not isinstance(header.get("kid"), str)
    ):
        raise TokenError("malformed")
    return header["kid"]


def _read_claims(payload: dict) -> TokenClaims:
    try:
        floor, top = payload["rungs"]
        claims = TokenClaims(
            payload["sub"], payload["title"], payload["package"], payload["member"], floor, top,
            payload["aud"], float(payload["nbf"]), float(payload["exp"]),
        )  # fmt: skip
        texts = (claims.viewing, claims.title, claims.package, claims.member, claims.streamer)
        valid_rungs = all(isinstance(rung, int) and rung >= 0 for rung in (floor, top)) and floor <= top
        if payload["iss"] != ISSUER or not valid_rungs or not all(isinstance(text, str) for text in texts):
            raise TokenError("malformed")
    except (KeyError, TypeError, ValueError) as error:
        raise TokenError("malformed") from error
    return claims
