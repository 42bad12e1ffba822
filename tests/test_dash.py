"""DASH without I/O: manifests, tokens, the ring of keys, what players report; and the keys on disk."""

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
GRANT = TokenClaims("v0-1", "news", "standard", "m", 0, 2, "s3", NOW, NOW + 60)


# Manifests, by the rules of ISO/IEC 23009-1.


def attribute(element, name):
    return element.attrib.get(name)


def seconds(span):
    assert span.startswith("PT") and span.endswith("S")
    return float(span[2:-1])


def check_mpd(data):
    """What the standard asks of any manifest of ours; gives the MPD element."""
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


def made(asset=None, floor=0, top=2, now=NOW, **more):
    asset = asset or Asset(VIDEOS, 2.0, NOW - 100)
    return check_mpd(
        build_manifest(asset, floor, top, "http://s/dash/t/", "http://f/dash/t?x=1", now, 5.0, **more)
    )


@given(
    st.sampled_from([0.96, 1.0, 2.0, 4.004]), st.booleans(), st.booleans(), st.floats(0.5, 5000),
    st.integers(0, 2), st.integers(0, 2),
)  # fmt: skip
def test_every_manifest_is_valid_and_names_only_the_allowed_rungs(segment, live, timeline, length, a, b):
    floor, top = sorted((a, b))
    asset = Asset(VIDEOS, segment, NOW - length if live else None, 0.0 if live else length, timeline)
    mpd = made(asset, floor, top)
    assert [r.get("id") for r in mpd.iter(f"{NS}Representation")] == [str(r) for r in range(floor, top + 1)]
    if timeline and not live:
        *_, last = mpd.iter(f"{NS}S")
        end = int(last.get("t")) + int(last.get("d")) * (1 + int(last.get("r", "0")))
        assert end == round(length * 1000), "the timeline covers the title, no more"


def test_a_live_timeline_shows_what_can_be_fetched():
    asset = Asset(VIDEOS, 2.0, NOW - 101, timeline=True)
    (s,) = made(asset).iter(f"{NS}S")
    first, last = available_segments(asset, NOW)
    assert (first, last) == (36, 50) and int(s.get("t")) == 70_000 and int(s.get("r")) == 14
    assert (last - first + 1) * 2.0 <= TIME_SHIFT_SECONDS


def test_titles_cannot_break_out_of_a_manifest():
    evil = 'x"/><!DOCTYPE a [<!ENTITY b SYSTEM "file:///etc/passwd">]>&b;<Period/>'
    data = build_manifest(Asset(VIDEOS, 2.0, None, 9.0), 0, 0, f"http://s/{evil}/", evil, NOW, 5.0)
    mpd = check_mpd(data)
    assert b"<!" not in data and mpd.find(f"{NS}BaseURL").text == f"http://s/{evil}/"
    assert len(mpd.findall(f"{NS}Period")) == 1


@pytest.mark.parametrize("floor, top", [(2, 1), (0, 3), (-1, 0)])
def test_rungs_that_there_are_not_are_refused(floor, top):
    with pytest.raises(ValueError):
        build_manifest(Asset(VIDEOS, 2.0, None, 9.0), floor, top, "b", "l", NOW, 5.0)


# Tokens.


def checker(*keys, streamer="s3"):
    return TokenVerifier(streamer, public_jwks(list(keys) or [KEY]))


def refused(check, token, now=NOW + 1, title="news"):
    with pytest.raises(TokenError) as found:
        check.verify(now, token, title)
    assert found.value.kind in TokenError.KINDS
    return found.value.kind


def test_a_token_is_good_for_its_title_at_its_streamer_in_its_time():
    token, check = mint(KEY, GRANT), checker()
    assert check.verify(NOW + 1, token, "news") == GRANT
    assert refused(checker(streamer="s4"), token) == "elsewhere"
    assert refused(check, token, title="sport") == "title"
    own = TokenVerifier("s3", public_jwks([KEY]), frozenset(["m"]))
    assert (
        own.verify(NOW + 1, token, "news") and refused(own, mint(KEY, GRANT._replace(member="n"))) == "member"
    )
    assert refused(check, token, NOW - CLOCK_SKEW_SECONDS - 1) == "early"
    assert check.verify(NOW + 60 + CLOCK_SKEW_SECONDS - 0.1, token, "news"), "clocks may differ by so much"
    assert refused(check, token, NOW + 60 + CLOCK_SKEW_SECONDS) == "expired"
    assert refused(check, token, NOW + 61 + CLOCK_SKEW_SECONDS) == "expired", (
        "also when it was checked before"
    )


def test_a_token_never_lasts_longer_than_granted():
    token = mint(KEY, GRANT._replace(begins=NOW + 0.9, ends=NOW + 10.9))
    assert refused(checker(), token, NOW + 10.9 + CLOCK_SKEW_SECONDS) == "expired"


def sign(header, claims, key=KEY):
    return jwt.encode(header, claims, key, algorithms=[header["alg"]])


def part(value):
    return base64.urlsafe_b64encode(json.dumps(value).encode()).rstrip(b"=").decode()


def test_mistaken_algorithms_and_headers_have_no_way_in():
    check, token = checker(), mint(KEY, GRANT)
    head, body, signature = token.split(".")
    claims = json.loads(base64.urlsafe_b64decode(body + "=="))
    good = {"alg": ALGORITHM, "kid": "k1", "typ": TOKEN_TYPE}
    assert check.verify(NOW, sign(good, claims), "news")
    # RFC 8725, 2.1: "none", and the public key taken for a shared secret.
    assert refused(check, f"{part({**good, 'alg': 'none'})}.{body}.") == "malformed"
    secret = OctKey.import_key(KEY.as_dict(private=False)["x"])
    assert refused(check, sign({**good, "alg": "HS256"}, claims, secret)) == "malformed"
    assert refused(check, sign({**good, "typ": "JWT"}, claims)) == "malformed", "made for something else"
    assert refused(check, sign({**good, "kid": "k9"}, claims)) == "unknown-key"
    assert refused(check, sign(good, claims, generate_key("k1"))) == "forged", (
        "another key under our key's name"
    )
    embedded = {**good, "jwk": generate_key("k1").as_dict(private=False)}
    forged = jws.serialize_compact(embedded, json.dumps(claims), generate_key("k1"), algorithms=[ALGORITHM])
    assert refused(check, forged) == "forged", "a key that a token brings along is not used"
    for change in (
        {"iss": "x"},
        {"rungs": [2, 0]},
        {"rungs": [0]},
        {"rungs": ["0", "1"]},
        {"exp": "never"},
        {"sub": 3},
    ):
        assert refused(check, sign(good, claims | change)) == "malformed", change
    missing = {k: v for k, v in claims.items() if k != "aud"}
    assert refused(check, sign(good, missing)) == "malformed"
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
        assert refused(check, junk) in ("malformed", "forged"), junk[:20]


def test_ten_thousand_forged_expired_and_foreign_tokens_are_all_refused():
    draw, check = random.Random(7), checker(KEY, generate_key("k2"))
    token, stranger = mint(KEY, GRANT), generate_key("k1")
    letters = string.ascii_letters + string.digits + "-_."
    kinds = {}
    for number in range(10_000):
        match number % 5:
            case 0:
                # One character of a good token is another one. The last of the signature holds unused bits:
                # it is left out, as what it says may be the same signature.
                at = draw.randrange(len(token) - 1)
                word = token[:at] + draw.choice(letters.replace(token[at], "")) + token[at + 1 :]
            case 1:
                word = token[: draw.randrange(len(token))]
            case 2:
                word = "".join(draw.choices(letters, k=draw.randrange(300)))
            case 3:
                if number % 50 == 3:
                    word = mint(stranger, GRANT._replace(viewing=f"v{number}"))
                else:
                    word = token.rsplit(".", 1)[0] + "." + "".join(draw.choices(letters[:-1], k=86))
            case _:
                ends = NOW - CLOCK_SKEW_SECONDS - draw.uniform(1, 1000)
                changed = (
                    GRANT._replace(begins=ends - 60, ends=ends)
                    if number % 2
                    else GRANT._replace(streamer="s4")
                )
                word = mint(KEY, changed) if number % 25 == 4 else token[::-1]
        kind = refused(check, word)
        kinds[kind] = kinds.get(kind, 0) + 1
    assert kinds.keys() >= {"malformed", "forged", "expired", "elsewhere"}
    assert check.verify(NOW + 1, token, "news") == GRANT


def test_a_checker_learns_new_keys_and_drops_what_the_old_ones_signed():
    two = generate_key("k2")
    check = checker()
    assert check.verify(NOW, mint(KEY, GRANT), "news") and refused(check, mint(two, GRANT)) == "unknown-key"
    check.set_keys(public_jwks([KEY, two]))
    assert check.verify(NOW, mint(two, GRANT), "news")
    check.set_keys(public_jwks([two]))
    assert refused(check, mint(KEY, GRANT)) == "unknown-key", "also a token that was checked before"
    for bad in ({}, {"keys": 3}, {"keys": [3]}, {"keys": [{"kty": "OKP", "crv": "Ed25519", "kid": "x"}]}):
        with pytest.raises(ValueError):
            check.set_keys(bad)
    assert check.verify(NOW, mint(two, GRANT), "news"), "a bad set leaves the old one"


# The ring.


@given(st.floats(30, 2000), st.floats(0.01, 0.9), st.floats(1, 500), st.integers(0, 40), st.randoms())
def test_through_any_rotation_each_token_finds_its_key_published(rotate, share, longest, steps, draw):
    ahead = rotate * share
    ring = KeyRotation([], rotate, ahead, longest)
    now, tokens, made = 0.0, [], 0
    fetched: list[tuple[float, set]] = []
    for _ in range(steps):
        if ring.needs_new_key(now):
            ring.add(SigningKey(f"k{made}", now))
            made += 1
        ring.remove_expired(now)
        signing = ring.signing_key(now)
        known = {key.kid for key in ring.published_keys(now)}
        assert signing.kid in known and len([k for k in ring.keys if k.created_at + ahead > now]) <= 1
        # A streamer that fetched the set within `ahead` knows the key already; only the very first is new.
        if signing.kid != "k0":
            assert all(
                signing.kid in kids for at, kids in fetched if at > now - ahead and at >= signing.created_at
            )
        tokens = [(kid, ends) for kid, ends in tokens if now < ends + CLOCK_SKEW_SECONDS]
        assert all(kid in known for kid, _ in tokens), "a long viewing's token is checked to its end"
        tokens.append((signing.kid, now + longest))
        fetched.append((now, known))
        now += draw.uniform(0, rotate / 2)


def test_the_first_key_signs_at_once_and_a_new_one_only_when_it_is_known():
    ring = KeyRotation([SigningKey("a", 0.0)], 100.0, 10.0, 30.0)
    assert ring.signing_key(0.0).kid == "a" and not ring.needs_new_key(99.0) and ring.needs_new_key(100.0)
    ring.add(SigningKey("b", 100.0))
    assert ring.signing_key(109.0).kid == "a" and {k.kid for k in ring.published_keys(109.0)} == {"a", "b"}
    assert ring.signing_key(110.0).kid == "b" and not ring.remove_expired(143.9)
    assert [k.kid for k in ring.remove_expired(144.0)] == ["a"]
    with pytest.raises(ValueError):
        KeyRotation([], 10.0, 10.0, 1.0)


# Keys on disk.


def test_keys_are_kept_for_their_owner_alone_rotated_and_never_logged(tmp_path, capfd):
    keys = KeyStore(tmp_path / "keys", 100.0, 10.0, 30.0)
    keys.load(NOW)
    (path,) = (tmp_path / "keys").glob("*.key")
    assert stat.S_IMODE(path.stat().st_mode) == 0o600 and stat.S_IMODE(path.parent.stat().st_mode) == 0o700
    private = json.loads(path.read_text())["key"]["d"]
    token = keys.mint(NOW, GRANT)
    again = KeyStore(tmp_path / "keys", 100.0, 10.0, 30.0)
    again.load(NOW + 100)
    assert len(again.pairs) == 2 and len(again.jwks(NOW + 100)["keys"]) == 2
    assert TokenVerifier("s3", again.jwks(NOW + 100)).verify(NOW + 1, token, "news") == GRANT
    assert "d" not in {name for key in again.jwks(NOW)["keys"] for name in key}
    (path.parent / "torn.key").write_text(f'{{"made": 1, "key": {{"d": "{private}"')
    os.chmod(path.parent / "torn.key", 0o600)
    again.load(NOW + 145)
    assert not path.exists() and len(again.pairs) == 1, "dead keys are deleted"
    told = "".join(capfd.readouterr())
    assert "key not read" in told and private not in told
    os.chmod(next(path.parent.glob("1*.key")), 0o640)
    with pytest.raises(UnsafePermissionsError):
        again.load(NOW + 146)


def test_the_commands_mint_and_verify(tmp_path):
    run, keys = CliRunner(), str(tmp_path / "keys")
    told = run.invoke(main, ["token", "keys", "--keys", keys])
    assert told.exit_code == 0 and "signs" in told.output
    (tmp_path / "jwks").write_text(run.invoke(main, ["token", "keys", "--keys", keys, "--jwks"]).output)
    asked = [
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
    token = run.invoke(main, asked).output.strip()
    check = ["token", "verify", "--jwks", str(tmp_path / "jwks"), "--title", "t", "--streamer"]
    good, bad = run.invoke(main, [*check, "s", token]), run.invoke(main, [*check, "x", token])
    assert good.exit_code == 0 and json.loads(good.output)["top"] == 2
    assert bad.exit_code == 1 and "elsewhere" in bad.output
    assert run.invoke(main, [*asked[:-1], "2-0"]).exit_code == 2
    assert run.invoke(main, [*asked, "--seconds", "9999"]).exit_code == 2


# What players report.


def test_reports_are_read_key_by_key():
    told = read_cmcd(
        'bl=21300,br=3200,bs,cid="faec5fc2",mtp=48100,ot=v,pr=1.08,rtp=12000,sid="6e2f,b550",su=false,x-y=1',
        {},
    )
    assert told == {
        "bl": 21300, "br": 3200, "bs": True, "cid": "faec5fc2", "mtp": 48100, "ot": "v", "pr": 1.08,
        "rtp": 12000, "sid": "6e2f,b550", "su": False,
    }  # fmt: skip
    headers = {"cmcd-request": 'nor="..%2Fs%2F3.m4s",bl=1', "cmcd-status": "bs", "other": "br=3"}
    assert read_cmcd(None, headers) == {"nor": "../s/3.m4s", "bl": 1, "bs": True}
    assert read_cmcd("br=abc,bl=-3,mtp=1e9,pr=x,ot=<video>,sid=bare,d=99", {}) == {"d": 99}


@given(st.text(max_size=200))
def test_no_report_breaks_its_reader(text):
    for value in read_cmcd(text, {"cmcd-object": text}).values():
        assert isinstance(value, int | float | str | bool)


# Players that ask too soon.


def test_a_player_is_believed_only_with_its_streamers_word_or_silence():
    d = EarlyReloadDetector()
    assert not any(d.manifest_requested(float(at), 1.0) for at in range(10)), "in time"
    assert (
        not d.manifest_requested(9.1, 1.0)
        and d.manifest_requested(9.2, 1.0)
        and not d.manifest_requested(9.3, 1.0)
    ), "not at every request"
    assert not d.streamer_answered(9.3, True)
    assert not any(d.manifest_requested(9.3 + i / 10, 1.0) for i in range(29)), (
        "the streamer has said that all is well"
    )
    assert d.manifest_requested(12.4, 1.0) and d.streamer_answered(12.4, False)
    d = EarlyReloadDetector()
    asked = [
        at / 10
        for at in range(20)
        if d.manifest_requested(at / 10, 1.0) and d.streamer_answered(at / 10, None)
    ]
    assert asked and asked[0] < 1.0, "twice without an answer"
