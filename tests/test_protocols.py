"""Protocols without I/O: valid input is accepted, and invalid input raises only the documented errors."""

import asyncio
import contextlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from herongap.http import (
    Reply,
    Request,
    bearer_token,
    etag_matches,
    link,
    preferred_wait,
    problem,
    problem_kind,
    read_links,
)
from herongap.interface import LoadReport
from herongap.orca import read_load, write_load
from herongap.sdp import Endpoint, SdpError, create_answer, create_offer, read_fragment, read_offer
from herongap.sdp.fragment import Fragment, write_fragment
from herongap.whep import EventReader, read_layer, write_event, write_layer
from herongap.whip import SessionResource

ENDPOINT = Endpoint("abcd", "p" * 24, ":".join(["AB"] * 32), "127.0.0.1", 5000, 4711)
OFFER = create_offer(ENDPOINT, "recvonly")


def test_independent_webrtc_implementation_accepts_offers_and_answers():
    aiortc = pytest.importorskip("aiortc")

    async def exchange():
        offering_peer = aiortc.RTCPeerConnection()
        offering_peer.addTransceiver("video", direction="recvonly")
        offering_peer.addTransceiver("audio", direction="recvonly")
        await offering_peer.setLocalDescription(await offering_peer.createOffer())
        offered = read_offer(offering_peer.localDescription.sdp.encode(), "recvonly")
        await offering_peer.setRemoteDescription(
            aiortc.RTCSessionDescription(create_answer(offered, ENDPOINT), "answer")
        )
        states = [offering_peer.signalingState]
        await offering_peer.close()
        answering_peer = aiortc.RTCPeerConnection()
        await answering_peer.setRemoteDescription(aiortc.RTCSessionDescription(OFFER, "offer"))
        await answering_peer.setLocalDescription(await answering_peer.createAnswer())
        states.append(answering_peer.signalingState)
        await answering_peer.close()
        return states

    assert asyncio.run(exchange()) == ["stable", "stable"]


def test_offer_identity_is_equal_for_copies_and_differs_between_offers():
    first = read_offer(OFFER.encode(), "recvonly").identity
    assert first == read_offer(OFFER.replace("candidate:1 1", "candidate:2 1").encode(), "recvonly").identity
    other = create_offer(ENDPOINT._replace(ufrag="efgh"), "recvonly")
    assert first != read_offer(other.encode(), "recvonly").identity


@pytest.mark.parametrize(
    "change, says",
    [
        (("v=0", "v=1"), "line 1"),
        (("a=setup:actpass", "a=setup:passive"), "setup"),
        (("a=rtcp-mux", "a=x"), "rtcp-mux"),
        (("a=group:BUNDLE 0 1", "a=group:BUNDLE 0"), "BUNDLE"),
        (("a=recvonly", "a=sendonly"), "recvonly"),
        (("a=ice-ufrag:abcd", "a=ice-ufrag:ab"), "RFC 8839"),
        (("m=audio", "m=application"), "application"),
        (("a=rtpmap:111 opus/48000/2", "a=x"), "codec"),
        (("s=-", "!=-"), "line 3"),
    ],
)
def test_invalid_offer_is_rejected_with_the_reason(change, says):
    with pytest.raises(SdpError, match=says):
        read_offer(OFFER.replace(*change).encode(), "recvonly")


@settings(max_examples=200)
@given(st.binary(max_size=300), st.integers(0, len(OFFER)))
def test_parsers_raise_only_their_documented_errors(noise, position):
    for body in (noise, OFFER[:position].encode() + noise + OFFER[position:].encode()):
        for read in (lambda b: read_offer(b, "recvonly"), read_fragment):
            with contextlib.suppress(SdpError):
                read(body)
    with contextlib.suppress(ValueError):
        read_layer(noise, 3)
    read_load("JSON " + noise.decode("latin-1"))
    read_links(noise.decode("latin-1"))


@settings(max_examples=100)
@given(st.lists(st.integers(1, 40), max_size=30))
def test_event_reader_is_independent_of_chunking(cuts):
    events = [
        ("load", {"link": 0.5}),
        ("delivery", {"share": 0.9}),
        ("inactive", {"resource": "/r/1", "reason": "x"}),
    ]
    stream = b":\n\n" + b"".join(write_event(*e) for e in events) + b"data: not json\n\n"
    reader, received, position = EventReader(), [], 0
    for cut in cuts:
        received += reader.feed(stream[position : position + cut])
        position += cut
    assert received + reader.feed(stream[position:]) == events
    with pytest.raises(ValueError, match="without an end"):
        EventReader().feed(b"x" * 70000)


@given(st.floats(0, 50), st.floats(0, 50))
def test_load_survives_encoding_and_decoding(link_ratio, rack):
    read = read_load(write_load(LoadReport(link_ratio, None, rack)))
    assert abs(read.link - link_ratio) < 1e-3 and abs(read.rack - rack) < 1e-3


def test_load_that_is_not_a_valid_number_is_absent():
    assert read_load('JSON {"named_metrics": {"link": "1", "rack": true}}') is None
    assert read_load('JSON {"named_metrics": {"link": -1}, "application_utilization": 0.7}') == LoadReport(
        None, 0.7, None
    )
    assert read_load("TEXT x=1") is None and read_load(None) is None
    assert read_load('JSON {"named_metrics": {"link": NaN, "rack": Infinity}}') is None


def patch_request(body, tag, kind="application/trickle-ice-sdpfrag"):
    headers = {"content-type": kind, **({"if-match": tag} if tag else {})}
    return Request("PATCH", "/r/1", headers, body)


def test_entity_tags_identify_ice_sessions():
    resource = SessionResource("x", "abcd", ENDPOINT)
    old_tag = resource.etag
    fragment = write_fragment(Fragment("abcd", "p" * 24, (("0", "1 1 udp 1 127.0.0.1 9 typ host"),), False))
    assert (
        resource.patch(patch_request(fragment, old_tag), ENDPOINT).status == 204
        and len(resource.candidates) == 1
    )
    assert resource.patch(patch_request(fragment, '"other"'), ENDPOINT).status == 412
    assert resource.patch(patch_request(fragment, ""), ENDPOINT).status == 428
    assert resource.patch(patch_request(fragment, old_tag, "text/plain"), ENDPOINT).status == 415
    assert resource.patch(patch_request(fragment, "*"), ENDPOINT).status == 400, (
        "a restart needs new credentials"
    )
    restart_fragment = write_fragment(Fragment("wxyz", "q" * 24, (), False))
    restarted = resource.patch(patch_request(restart_fragment, "*"), ENDPOINT._replace(ufrag="newu"))
    assert restarted.status == 200 and b"newu" in restarted.body and resource.etag != old_tag
    assert resource.patch(patch_request(fragment, old_tag), ENDPOINT).status == 412, (
        "fragments of the old ICE session are stale"
    )
    assert resource.patch(patch_request(restart_fragment, resource.etag), ENDPOINT).status == 204


def test_request_and_reply_headers():
    request = Request("POST", "/whep/a%2Fb?top=1&top=2", {
        "authorization": "Bearer abc", "if-match": '"a", "b"', "prefer": "respond-async, wait=2.5",
    })  # fmt: skip
    assert request.path == ["whep", "a/b"] and request.query == {"top": "2"}
    assert (
        bearer_token(request) == "abc"
        and bearer_token(Request("GET", "/", {"authorization": "Basic x"})) is None
    )
    assert (
        etag_matches(request, '"b"') and not etag_matches(request, '"c"') and preferred_wait(request) == 2.5
    )
    (found,) = read_links(link("/e?a=1,2", "x:y", events="a,b")[1])
    assert (found.url, found.rel, found.params) == ("/e?a=1,2", "x:y", {"events": "a,b"})
    reply = problem("blocked", "full", come_back=0.5)
    assert (
        reply.status == 503
        and problem_kind(reply.body) == "blocked"
        and json.loads(reply.body)["come_back"] == 0.5
    )
    assert problem_kind(b"[]") == problem_kind(b"\xff") == "" and Reply(200).header("x") is None
    assert read_layer(write_layer(2), 3) == 2
