"""Session tokens: JWT (RFC 7519) signed with Ed25519 (RFC 8037, RFC 9864), keys as a JWK set (RFC 7517).

A token says that one viewing may fetch one title from one streamer, on rungs between a floor and a top, for a
time. A streamer checks it with the published keys and asks nobody. What it does not promise: that only one
player uses it. A token that is copied is good elsewhere until it ends or its viewing does at that streamer.
"""

from collections import OrderedDict
from typing import NamedTuple

from joserfc import jwt
from joserfc.errors import JoseError
from joserfc.jwk import KeySet, OKPKey

from herongap.dash.key_rotation import CLOCK_SKEW_SECONDS
from herongap.errors import HerongapError, Unusable

ALGORITHM = "Ed25519"
TOKEN_TYPE = (
    "herongap-session+jwt"  # RFC 8725, 3.11: a token made for anything else must not pass for one of these
)
ISSUER = "herongap"
MOST = 2048  # characters of a token that is looked at


class BadKeys(Unusable):
    """A JWK set that cannot be used."""

    advice = "see the front that publishes it; the keys before stay in force"


class TokenClaims(NamedTuple):
    """What a token allows. Rungs from `floor` to `top`, both with; times in seconds since the epoch."""

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
    """Why a token is not taken: `kind` is one of KINDS."""

    advice = "see the kind: clocks, keys that were not published, or a token of another front"

    KINDS = ("malformed", "forged", "unknown-key", "early", "expired", "elsewhere", "member", "title")

    def __init__(self, kind: str, kid: str = ""):
        super().__init__(kind)
        self.kind, self.kid = kind, kid


def generate_key(kid: str) -> OKPKey:
    return OKPKey.generate_key("Ed25519", {"kid": kid, "use": "sig", "alg": ALGORITHM}, private=True)


def public_jwks(keys: list[OKPKey]) -> dict:
    """A JWK set of the public halves."""
    return {"keys": [key.as_dict(private=False) for key in keys]}


def mint(key: OKPKey, grant: TokenClaims) -> str:
    """A token. Times are whole seconds in it, rounded so that it never lasts longer than granted."""
    claims = {
        "iss": ISSUER, "aud": grant.streamer, "sub": grant.viewing, "title": grant.title,
        "package": grant.package, "member": grant.member, "rungs": [grant.floor, grant.top],
        "nbf": int(grant.begins), "exp": int(grant.ends),
    }  # fmt: skip
    return jwt.encode(
        {"alg": ALGORITHM, "kid": key.kid, "typ": TOKEN_TYPE}, claims, key, algorithms=[ALGORITHM]
    )


class TokenVerifier:
    """What one streamer checks tokens by; `members` are those that it serves, None for all.

    Tokens that it has checked lately are not verified again: a player brings the same one with each segment.
    """

    KEPT = 4096

    def __init__(self, streamer: str, jwks: dict, members: frozenset[str] | None = None):
        self.streamer, self.members = streamer, members
        self.checked: OrderedDict[str, TokenClaims] = OrderedDict()
        self.set_keys(jwks)

    def set_keys(self, jwks: dict) -> None:
        """Take a newly published set; raises ValueError, and keeps the old one, if it cannot be used.

        Keys of other kinds are passed over. What was checked with keys that are gone is checked anew.
        """
        try:
            usable = [
                k for k in jwks["keys"] if (k.get("kty"), k.get("crv")) == ("OKP", "Ed25519") and k.get("kid")
            ]
            # Only what RFC 8037 needs is taken over: no word in the set changes how a token is checked.
            keys = [OKPKey.import_key({p: k[p] for p in ("kty", "crv", "x", "kid")}) for k in usable]
        except (JoseError, KeyError, TypeError, AttributeError, ValueError) as fault:
            raise BadKeys(f"not a JWK set: {fault!r}") from fault
        self.key_ids = {key.kid for key in keys}
        self.keys = KeySet(keys) if keys else None
        self.checked.clear()

    def verify(self, now: float, token: str, title: str) -> TokenClaims:
        """What the token allows here; raises Refusal. `now` is in seconds since the epoch."""
        grant = self.checked.get(token)
        if grant is None:
            grant = self._verify(token)
            self.checked[token] = grant
            if len(self.checked) > self.KEPT:
                self.checked.popitem(last=False)
        if now >= grant.ends + CLOCK_SKEW_SECONDS:
            self.checked.pop(token, None)
            raise TokenError("expired")
        if now < grant.begins - CLOCK_SKEW_SECONDS:
            raise TokenError("early")
        if grant.streamer != self.streamer:
            raise TokenError("elsewhere")
        if self.members is not None and grant.member not in self.members:
            raise TokenError("member")
        if grant.title != title:
            raise TokenError("title")
        return grant

    def _verify(self, token: str) -> TokenClaims:
        if len(token) > MOST or not token.isascii():
            raise TokenError("malformed")
        kid = _header(token)
        if self.keys is None or kid not in self.key_ids:
            raise TokenError("unknown-key", kid)
        try:
            # One algorithm, whatever the header says: no way in for "none" and mistaken keys (RFC 8725, 3.1).
            found = jwt.decode(token, self.keys, algorithms=[ALGORITHM])
        except (JoseError, ValueError) as fault:
            raise TokenError("forged") from fault
        return _grant(found.claims)


def _header(token: str) -> str:
    """The key that a token names; raises Refusal unless its header is one of ours."""
    from joserfc.jws import extract_compact

    try:
        header = extract_compact(token.encode()).headers()
    except (JoseError, ValueError, TypeError, AttributeError) as fault:
        raise TokenError("malformed") from fault
    if (
        header.get("alg") != ALGORITHM
        or header.get("typ") != TOKEN_TYPE
        or not isinstance(header.get("kid"), str)
    ):
        raise TokenError("malformed")
    return header["kid"]


def _grant(claims: dict) -> TokenClaims:
    try:
        floor, top = claims["rungs"]
        grant = TokenClaims(
            claims["sub"], claims["title"], claims["package"], claims["member"], floor, top,
            claims["aud"], float(claims["nbf"]), float(claims["exp"]),
        )  # fmt: skip
        texts = (grant.viewing, grant.title, grant.package, grant.member, grant.streamer)
        whole = all(isinstance(rung, int) and rung >= 0 for rung in (floor, top)) and floor <= top
        if claims["iss"] != ISSUER or not whole or not all(isinstance(text, str) for text in texts):
            raise TokenError("malformed")
    except (KeyError, TypeError, ValueError) as fault:
        raise TokenError("malformed") from fault
    return grant
