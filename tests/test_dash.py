"""DASH without I/O: manifests, tokens, key rotation, player reports; and the key files."""

import base64
import json
import os
import random
import stat
import string
from xml.etree import ElementTree as Xml

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from joserfc import jws, jwt
from joserfc.jwk import OctKey

from herongap.cli import main
from herongap.daemon.keys import KeyStore, UnsafePermissionsError
from herongap.dash import (
    Asset,
    EarlyReloadDetector,
    KeyRotation,
    SigningKey,
    TokenClaims,
    TokenError,
    TokenVerifier,
    Video,
    build_manifest,
    generate_key,
    mint,
    public_jwks,
    read_cmcd,
)
from herongap.dash.key_rotation import CLOCK_SKEW_SECONDS
from herongap.dash.mpd import TIME_SHIFT_SECONDS, available_segments
from herongap.dash.tokens import ALGORITHM, TOKEN_TYPE

NS = "{urn:mpeg:dash:schema:mpd:2011}"
VIDEOS = (Video(100.0), Video(300.0, width=640, height=360), Video(900.0))
NOW = 1_800_000_000.0
KEY = generate_key("k1")
CLAIMS = TokenClaims("v0-1", "news", "standard", "m", 0, 2, "s3", NOW, NOW + 60)


# Manifests, by ISO/IEC 23009-1.


def attribute(element, name):
    return element.attrib.get(name)


def seconds(span):
    assert span.startswith("PT") and span.endswith("S")
    return float(span[2:-1])


def check_mpd(data):
    """Check what the standard requires of every manifest; returns the MPD element."""
    mpd = Xml.fromstring(data)
    assert mpd.tag == f"{NS}MPD" and mpd.get("profiles") and seconds(mpd.get("minBufferTime")) > 0
    # 5.3.1.3, the schema's sequence: BaseURL, Location, Period.
    order = [child.tag.removeprefix(NS) for child in mpd]
    assert order == sorted(order, key=["BaseURL", "Location", "Period"].index) and "Period" in order
    if mpd.get("type") == "dynamic":
        # 5.3.1.2: both shall be present for dynamic.
        assert mpd.get("availabilityStartTime") and mpd.get("publishTime")
        assert "mediaPresentationDuration" not in mpd.attrib
    else:
        assert mpd.get("type") == "static" and seconds(mpd.get("mediaPresentationDuration")) > 0
        assert "availabilityStartTime" not in mpd.attrib
    ids = [r.get("id") for r in mpd.iter(f"{NS}Representation")]
    assert ids and len(set(ids)) == len(ids), "5.3.5.2: ids are unique within a Period"
    for r in mpd.iter(f"{NS}Representation"):
        assert int(r.get("bandwidth")) > 0 and " " not in r.get("id")
    for group in mpd.iter(f"{NS}AdaptationSet"):
        assert group.get("mimeType") and group.get("segmentAlignment") == "true"
        (template,) = group.findall(f"{NS}SegmentTemplate")
        media, timeline = template.get("media"), template.find(f"{NS}SegmentTimeline")
        # 5.3.9.2.1: either a duration or a timeline, never both; 5.3.9.4.4: $Number$ or $Time$, not both.
        assert (template.get("duration") is None) == (timeline is not None)
        assert ("$Time$" in media) != ("$Number$" in media) and "$RepresentationID$" in media
        assert ("$Time$" in media) == (timeline is not None) and int(template.get("timescale")) > 0
        if timeline is not None:
            end = None
            for s in timeline:
                start = int(s.get("t"))
                assert end is None or start == end, "5.3.9.6.1: without gaps and overlaps"
                end = start + int(s.get("d")) * (1 + int(s.get("r", "0")))
    return mpd


def build_checked_manifest(asset=None, floor=0, top=2, now=NOW, **more):
    asset = asset or Asset(VIDEOS, 2.0, NOW - 100)
    return check_mpd(
        build_manifest(asset, floor, top, "http://s/dash/t/", "http://f/dash/t?x=1", now, 5.0, **more)
    )


@given(
    st.sampled_from([0.96, 1.0, 2.0, 4.004]), st.booleans(), st.booleans(), st.floats(0.5, 5000),
    st.integers(0, 2), st.integers(0, 2),
)  # fmt: skip
def test_every_manifest_is_valid_and_lists_only_the_allowed_rungs(segment, live, timeline, length, a, b):
    floor, top = sorted((a, b))
    asset = Asset(VIDEOS, segment, NOW - length if live else None, 0.0 if live else length, timeline)
    mpd = build_checked_manifest(asset, floor, top)
    assert [r.get("id") for r in mpd.iter(f"{NS}Representation")] == [str(r) for r in range(floor, top + 1)]
    if timeline and not live:
        *_, last = mpd.iter(f"{NS}S")
        end = int(last.get("t")) + int(last.get("d")) * (1 + int(last.get("r", "0")))
        assert end == round(length * 1000), "the timeline covers exactly the title"


def test_live_timeline_lists_the_available_segments():
    asset = Asset(VIDEOS, 2.0, NOW - 101, timeline=True)
    (s,) = build_checked_manifest(asset).iter(f"{NS}S")
    first, last = available_segments(asset, NOW)
    assert (first, last) == (36, 50) and int(s.get("t")) == 70_000 and int(s.get("r")) == 14
    assert (last - first + 1) * 2.0 <= TIME_SHIFT_SECONDS


def test_names_of_titles_are_escaped_in_a_manifest():
    evil = 'x"/><!DOCTYPE a [<!ENTITY b SYSTEM "file:///etc/passwd">]>&b;<Period/>'
    data = build_manifest(Asset(VIDEOS, 2.0, None, 9.0), 0, 0, f"http://s/{evil}/", evil, NOW, 5.0)
    mpd = check_mpd(data)
    assert b"<!" not in data and mpd.find(f"{NS}BaseURL").text == f"http://s/{evil}/"
    assert len(mpd.findall(f"{NS}Period")) == 1


@pytest.mark.parametrize("floor, top", [(2, 1), (0, 3), (-1, 0)])
def test_rungs_that_do_not_exist_are_rejected(floor, top):
    with pytest.raises(ValueError):
        build_manifest(Asset(VIDEOS, 2.0, None, 9.0), floor, top, "b", "l", NOW, 5.0)


# Tokens.


def verifier_for(*keys, streamer="s3"):
    return TokenVerifier(streamer, public_jwks(list(keys) or [KEY]))


def rejection(verifier, token, now=NOW + 1, title="news"):
    with pytest.raises(TokenError) as found:
        verifier.verify(now, token, title)
    assert found.value.kind in TokenError.KINDS
    return found.value.kind


def test_token_is_valid_for_its_title_at_its_streamer_within_its_time():
    token, verifier = mint(KEY, CLAIMS), verifier_for()
    assert verifier.verify(NOW + 1, token, "news") == CLAIMS
    assert rejection(verifier_for(streamer="s4"), token) == "elsewhere"
    assert rejection(verifier, token, title="sport") == "title"
    own = TokenVerifier("s3", public_jwks([KEY]), frozenset(["m"]))
    assert (
        own.verify(NOW + 1, token, "news")
        and rejection(own, mint(KEY, CLAIMS._replace(member="n"))) == "member"
    )
    assert rejection(verifier, token, NOW - CLOCK_SKEW_SECONDS - 1) == "early"
    assert verifier.verify(NOW + 60 + CLOCK_SKEW_SECONDS - 0.1, token, "news"), (
        "within the allowed clock skew"
    )
    assert rejection(verifier, token, NOW + 60 + CLOCK_SKEW_SECONDS) == "expired"
    assert rejection(verifier, token, NOW + 61 + CLOCK_SKEW_SECONDS) == "expired", (
        "also when it was verified before"
    )


def test_token_never_lasts_longer_than_its_claims():
    token = mint(KEY, CLAIMS._replace(begins=NOW + 0.9, ends=NOW + 10.9))
    assert rejection(verifier_for(), token, NOW + 10.9 + CLOCK_SKEW_SECONDS) == "expired"


def sign(header, claims, key=KEY):
    return jwt.encode(header, claims, key, algorithms=[header["alg"]])


def encode_part(value):
    return base64.urlsafe_b64encode(json.dumps(value).encode()).rstrip(b"=").decode()


def test_other_algorithms_headers_and_claims_are_rejected():
    verifier, token = verifier_for(), mint(KEY, CLAIMS)
    head, body, signature = token.split(".")
    claims = json.loads(base64.urlsafe_b64decode(body + "=="))
    good = {"alg": ALGORITHM, "kid": "k1", "typ": TOKEN_TYPE}
    assert verifier.verify(NOW, sign(good, claims), "news")
    # RFC 8725, 2.1: "none", and the public key taken for a shared secret.
    assert rejection(verifier, f"{encode_part({**good, 'alg': 'none'})}.{body}.") == "malformed"
    secret = OctKey.import_key(KEY.as_dict(private=False)["x"])
    assert rejection(verifier, sign({**good, "alg": "HS256"}, claims, secret)) == "malformed"
    assert rejection(verifier, sign({**good, "typ": "JWT"}, claims)) == "malformed", (
        "a token issued for another purpose"
    )
    assert rejection(verifier, sign({**good, "kid": "k9"}, claims)) == "unknown-key"
    assert rejection(verifier, sign(good, claims, generate_key("k1"))) == "forged", (
        "another key with the ID of a published one"
    )
    embedded = {**good, "jwk": generate_key("k1").as_dict(private=False)}
    forged = jws.serialize_compact(embedded, json.dumps(claims), generate_key("k1"), algorithms=[ALGORITHM])
    assert rejection(verifier, forged) == "forged", "a key embedded in the token is not used"
    for change in (
        {"iss": "x"},
        {"rungs": [2, 0]},
        {"rungs": [0]},
        {"rungs": ["0", "1"]},
        {"exp": "never"},
        {"sub": 3},
    ):
        assert rejection(verifier, sign(good, claims | change)) == "malformed", change
    missing = {k: v for k, v in claims.items() if k != "aud"}
    assert rejection(verifier, sign(good, missing)) == "malformed"
    for junk in (
        "",
        ".",
        "..",
        "a.b.c",
        "e30.e30.",
        token + "." + token,
        "x" * 1_000_000,
        "\u00fc.a.b",
        token + "=",
    ):
        assert rejection(verifier, junk) in ("malformed", "forged"), junk[:20]


def test_ten_thousand_forged_expired_and_foreign_tokens_are_all_rejected():
    rng, verifier = random.Random(7), verifier_for(KEY, generate_key("k2"))
    token, foreign_key = mint(KEY, CLAIMS), generate_key("k1")
    letters = string.ascii_letters + string.digits + "-_."
    kinds = {}
    for number in range(10_000):
        match number % 5:
            case 0:
                # One character of a valid token is replaced. The last one of the signature is left out:
                # some of its bits are unused, so that another character may encode the same signature.
                at = rng.randrange(len(token) - 1)
                candidate = token[:at] + rng.choice(letters.replace(token[at], "")) + token[at + 1 :]
            case 1:
                candidate = token[: rng.randrange(len(token))]
            case 2:
                candidate = "".join(rng.choices(letters, k=rng.randrange(300)))
            case 3:
                if number % 50 == 3:
                    candidate = mint(foreign_key, CLAIMS._replace(viewing=f"v{number}"))
                else:
                    candidate = token.rsplit(".", 1)[0] + "." + "".join(rng.choices(letters[:-1], k=86))
            case _:
                ends = NOW - CLOCK_SKEW_SECONDS - rng.uniform(1, 1000)
                changed = (
                    CLAIMS._replace(begins=ends - 60, ends=ends)
                    if number % 2
                    else CLAIMS._replace(streamer="s4")
                )
                candidate = mint(KEY, changed) if number % 25 == 4 else token[::-1]
        kind = rejection(verifier, candidate)
        kinds[kind] = kinds.get(kind, 0) + 1
    assert kinds.keys() >= {"malformed", "forged", "expired", "elsewhere"}
    assert verifier.verify(NOW + 1, token, "news") == CLAIMS


def test_new_keys_are_accepted_and_tokens_of_removed_keys_rejected():
    two = generate_key("k2")
    verifier = verifier_for()
    assert (
        verifier.verify(NOW, mint(KEY, CLAIMS), "news")
        and rejection(verifier, mint(two, CLAIMS)) == "unknown-key"
    )
    verifier.set_keys(public_jwks([KEY, two]))
    assert verifier.verify(NOW, mint(two, CLAIMS), "news")
    verifier.set_keys(public_jwks([two]))
    assert rejection(verifier, mint(KEY, CLAIMS)) == "unknown-key", "also a token that was verified before"
    for bad in ({}, {"keys": 3}, {"keys": [3]}, {"keys": [{"kty": "OKP", "crv": "Ed25519", "kid": "x"}]}):
        with pytest.raises(ValueError):
            verifier.set_keys(bad)
    assert verifier.verify(NOW, mint(two, CLAIMS), "news"), "an invalid set leaves the old keys in use"


# Key rotation.


@given(st.floats(30, 2000), st.floats(0.01, 0.9), st.floats(1, 500), st.integers(0, 40), st.randoms())
def test_each_token_finds_its_key_published_through_any_rotation(rotate, share, longest, steps, draw):
    ahead = rotate * share
    rotation = KeyRotation([], rotate, ahead, longest)
    now, tokens, created = 0.0, [], 0
    fetched: list[tuple[float, set]] = []
    for _ in range(steps):
        if rotation.needs_new_key(now):
            rotation.add(SigningKey(f"k{created}", now))
            created += 1
        rotation.remove_expired(now)
        signing = rotation.signing_key(now)
        known = {key.kid for key in rotation.published_keys(now)}
        assert signing.kid in known and len([k for k in rotation.keys if k.created_at + ahead > now]) <= 1
        # A streamer that fetched the set within `ahead` already knows the key, except for the very first one.
        if signing.kid != "k0":
            assert all(
                signing.kid in kids for at, kids in fetched if at > now - ahead and at >= signing.created_at
            )
        tokens = [(kid, ends) for kid, ends in tokens if now < ends + CLOCK_SKEW_SECONDS]
        assert all(kid in known for kid, _ in tokens), (
            "the key of a token stays published until the token expires"
        )
        tokens.append((signing.kid, now + longest))
        fetched.append((now, known))
        now += draw.uniform(0, rotate / 2)


def test_first_key_signs_at_once_and_a_new_one_after_its_publication():
    rotation = KeyRotation([SigningKey("a", 0.0)], 100.0, 10.0, 30.0)
    assert (
        rotation.signing_key(0.0).kid == "a"
        and not rotation.needs_new_key(99.0)
        and rotation.needs_new_key(100.0)
    )
    rotation.add(SigningKey("b", 100.0))
    assert rotation.signing_key(109.0).kid == "a" and {k.kid for k in rotation.published_keys(109.0)} == {
        "a",
        "b",
    }
    assert rotation.signing_key(110.0).kid == "b" and not rotation.remove_expired(143.9)
    assert [k.kid for k in rotation.remove_expired(144.0)] == ["a"]
    with pytest.raises(ValueError):
        KeyRotation([], 10.0, 10.0, 1.0)


# Key files.


def test_key_files_are_private_rotated_and_never_logged(tmp_path, capfd):
    keys = KeyStore(tmp_path / "keys", 100.0, 10.0, 30.0)
    keys.load(NOW)
    (path,) = (tmp_path / "keys").glob("*.key")
    assert stat.S_IMODE(path.stat().st_mode) == 0o600 and stat.S_IMODE(path.parent.stat().st_mode) == 0o700
    private = json.loads(path.read_text())["key"]["d"]
    token = keys.mint(NOW, CLAIMS)
    reloaded = KeyStore(tmp_path / "keys", 100.0, 10.0, 30.0)
    reloaded.load(NOW + 100)
    assert len(reloaded.pairs) == 2 and len(reloaded.jwks(NOW + 100)["keys"]) == 2
    assert TokenVerifier("s3", reloaded.jwks(NOW + 100)).verify(NOW + 1, token, "news") == CLAIMS
    assert "d" not in {name for key in reloaded.jwks(NOW)["keys"] for name in key}
    (path.parent / "torn.key").write_text(f'{{"made": 1, "key": {{"d": "{private}"')
    os.chmod(path.parent / "torn.key", 0o600)
    reloaded.load(NOW + 145)
    assert not path.exists() and len(reloaded.pairs) == 1, "expired keys are deleted"
    logged = "".join(capfd.readouterr())
    assert "key not read" in logged and private not in logged
    os.chmod(next(path.parent.glob("1*.key")), 0o640)
    with pytest.raises(UnsafePermissionsError):
        reloaded.load(NOW + 146)


def test_token_commands_mint_and_verify(tmp_path):
    run, keys = CliRunner(), str(tmp_path / "keys")
    listing = run.invoke(main, ["token", "keys", "--keys", keys])
    assert listing.exit_code == 0 and "signs" in listing.output
    (tmp_path / "jwks").write_text(run.invoke(main, ["token", "keys", "--keys", keys, "--jwks"]).output)
    mint_arguments = [
        "token",
        "mint",
        "--keys",
        keys,
        "--viewing",
        "v",
        "--title",
        "t",
        "--streamer",
        "s",
        "--rungs",
        "0-2",
    ]
    token = run.invoke(main, mint_arguments).output.strip()
    verify_arguments = ["token", "verify", "--jwks", str(tmp_path / "jwks"), "--title", "t", "--streamer"]
    accepted, rejected = (
        run.invoke(main, [*verify_arguments, "s", token]),
        run.invoke(main, [*verify_arguments, "x", token]),
    )
    assert accepted.exit_code == 0 and json.loads(accepted.output)["top"] == 2
    assert rejected.exit_code == 1 and "elsewhere" in rejected.output
    assert run.invoke(main, [*mint_arguments[:-1], "2-0"]).exit_code == 2
    assert run.invoke(main, [*mint_arguments, "--seconds", "9999"]).exit_code == 2


# Player reports.


def test_valid_cmcd_keys_are_read_and_invalid_ones_ignored():
    report = read_cmcd(
        'bl=21300,br=3200,bs,cid="faec5fc2",mtp=48100,ot=v,pr=1.08,rtp=12000,sid="6e2f,b550",su=false,x-y=1',
        {},
    )
    assert report == {
        "bl": 21300, "br": 3200, "bs": True, "cid": "faec5fc2", "mtp": 48100, "ot": "v", "pr": 1.08,
        "rtp": 12000, "sid": "6e2f,b550", "su": False,
    }  # fmt: skip
    headers = {"cmcd-request": 'nor="..%2Fs%2F3.m4s",bl=1', "cmcd-status": "bs", "other": "br=3"}
    assert read_cmcd(None, headers) == {"nor": "../s/3.m4s", "bl": 1, "bs": True}
    assert read_cmcd("br=abc,bl=-3,mtp=1e9,pr=x,ot=<video>,sid=bare,d=99", {}) == {"d": 99}


@given(st.text(max_size=200))
def test_any_text_is_read_as_cmcd_without_an_error(text):
    for value in read_cmcd(text, {"cmcd-object": text}).values():
        assert isinstance(value, int | float | str | bool)


# Early reloads.


def test_viewing_is_given_up_only_on_its_streamers_answer_or_silence():
    detector = EarlyReloadDetector()
    assert not any(detector.manifest_requested(float(at), 1.0) for at in range(10)), "none is early"
    assert (
        not detector.manifest_requested(9.1, 1.0)
        and detector.manifest_requested(9.2, 1.0)
        and not detector.manifest_requested(9.3, 1.0)
    ), "not at every request"
    assert not detector.streamer_answered(9.3, True)
    assert not any(detector.manifest_requested(9.3 + i / 10, 1.0) for i in range(29)), (
        "the streamer has confirmed the viewing"
    )
    assert detector.manifest_requested(12.4, 1.0) and detector.streamer_answered(12.4, False)
    detector = EarlyReloadDetector()
    given_up_at = [
        at / 10
        for at in range(20)
        if detector.manifest_requested(at / 10, 1.0) and detector.streamer_answered(at / 10, None)
    ]
    assert given_up_at and given_up_at[0] < 1.0, "two queries without an answer"
