"""The platform's protocol without I/O: lines under any cutting, messages, lists, configurations."""

import json
from contextlib import suppress

import dns.message
import dns.rrset
import pytest
from hypothesis import given
from hypothesis import strategies as st
from node_world import SETTINGS

from herongap.interface import EndReason, StreamerStatus
from herongap.platform import config, messages, streamer_list
from herongap.platform.deployment import deployment_config
from herongap.platform.lines import MAX_LINE_BYTES, LineBuffer, LineTooLongError
from herongap.platform.shutdown import GracefulShutdown

CONTEXT = messages.MessageContext(frozenset({"standard"}), frozenset({"acme"}), 3, 2)
TEXTS = st.binary(max_size=60).map(lambda b: b.replace(b"\n", b""))


@given(st.lists(TEXTS, max_size=12), st.data())
def test_lines_are_the_same_however_their_bytes_arrive(texts, data):
    stream = b"".join(text + b"\n" for text in texts) + b"begun"
    lines, got, at = LineBuffer(), [], 0
    while at < len(stream):
        size = data.draw(st.integers(1, len(stream) - at))
        got += lines.feed(stream[at : at + size])
        at += size
    assert got == [text for text in texts if text] and lines.has_partial_line


@given(st.lists(st.integers(1, 6000), min_size=1, max_size=60))
def test_no_more_is_kept_than_a_line_may_have(sizes):
    lines, fed = LineBuffer(), 0
    for size in sizes:
        fed += size
        if fed > MAX_LINE_BYTES:
            with pytest.raises(LineTooLongError):
                list(lines.feed(b"x" * size))
            return
        assert list(lines.feed(b"x" * size)) == []
    assert list(lines.feed(b"\n")) == [b"x" * fed]


def test_a_line_may_be_as_long_as_a_message_and_not_a_byte_more():
    assert list(LineBuffer().feed(b"x" * MAX_LINE_BYTES + b"\n")) == [b"x" * MAX_LINE_BYTES]
    with pytest.raises(LineTooLongError):
        list(LineBuffer().feed(b"x" * (MAX_LINE_BYTES + 1) + b"\n"))


def test_lines_that_came_whole_before_one_too_long_are_heard():
    for rest in (b"x" * (MAX_LINE_BYTES + 1), b"x" * (MAX_LINE_BYTES + 1) + b"\nd\n"):
        got = []
        with pytest.raises(LineTooLongError):
            got.extend(LineBuffer().feed(b"a\nb\n" + rest))
        assert got == [b"a", b"b"]


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_unreadable(data):
    try:
        m = messages.parse_message(data)
    except messages.MalformedMessageError:
        return
    assert isinstance(m.t, str) and isinstance(m.f, dict)


@given(st.text(max_size=40), st.floats(), st.integers())
def test_any_fields_are_a_request_or_unfit(text, real, whole):
    for value in (text, real, whole):
        for name in ("class", "tenant", "left", "hint", "key", "extras"):
            f = {
                "class": "standard",
                "left": "900",
                "key": "7f3a9c21e0b4d655",
                "extras": "home:1;copies:2;top:1",
            }
            m = messages.Message("new", "0011223344556677", f | {name: value}, None, "x")
            try:
                ask, at = messages.parse_request(m, CONTEXT)
            except messages.InvalidFieldError:
                continue
            assert 0 < ask.time_left <= messages.MAX_DURATION_SECONDS and 0 <= ask.top <= CONTEXT.top_rung
            assert ask.holders and ask.holders <= {0, 1, 2} and ask.package == "standard"


def test_a_set_up_as_the_platform_writes_it():
    line = (
        b'{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"standard","left":"1500","tenant":"acme",'
        b'"key":"7f3a9c21e0b4d655","hint":"8200.0","extras":"home:2;copies:2;top:2;viewer:0b;again:1"},"d":"x"}'
    )
    ask, at = messages.parse_request(messages.parse_message(line), CONTEXT)
    assert (ask.time_left, ask.length, ask.top, ask.is_retry, ask.viewer, at) == (
        1.5,
        8.2,
        2,
        True,
        "0b",
        None,
    )
    assert ask.holders == {2, 0}
    told = json.loads(messages.encode_set_up(ask, 1, 0.2285, "x"))
    assert told == {
        "t": "new", "ref": "9b1f03aa5c7e2d41", "d": "x",
        "f": {"class": "standard", "key": "7f3a9c21e0b4d655", "left": "228", "rung": "1"},
    }  # fmt: skip


def test_causes_say_how_a_viewing_ended():
    assert (
        messages.END_REASONS_BEFORE_ANSWER[34] is EndReason.FULL
        and messages.END_REASONS_BEFORE_ANSWER[102] is EndReason.NOT_SENT
    )
    assert (
        messages.END_REASONS_AFTER_ANSWER[31] is EndReason.CALLED_OFF
        and 41 not in messages.END_REASONS_AFTER_ANSWER
    )
    assert json.loads(messages.encode_down("a", 34, 0.5))["f"] == {"wait": "500"}
    assert json.loads(messages.encode_down("a", 47))["f"] == {}


def test_reports_and_notes_with_figures_out_of_range_are_not_taken():
    good = messages.Message("up", "a", {"load": "x0:0.5;x1:1.2;queue:3"})
    assert messages.parse_load(good)[0] == 0.5 and messages.parse_load(good).rack == 1.2
    for text in ("x0:nan", "x0:-1", "x0", "x1:1e9"):
        with pytest.raises(messages.InvalidFieldError):
            messages.parse_load(messages.Message("up", "a", {"load": text}))
    for f in ({"note": "served"}, {"note": "served", "value": "inf"}, {"note": "loud", "value": "1"}):
        with pytest.raises(messages.InvalidFieldError):
            messages.parse_note(messages.Message("tell", "a", f))


def answered(number=7, serial=42, names=("s-1", "s-2"), drop="") -> bytes:
    told = dns.message.make_response(dns.message.from_wire(streamer_list.encode_query(number)))
    if drop != "SOA":
        soa = f"ns. op. {serial} 1 1 1 1"
        told.authority.append(dns.rrset.from_text("fleet.local.", 0, "IN", "SOA", soa))
    for i, name in enumerate(names):
        host = f"{name}.east.hosts."
        told.answer.append(dns.rrset.from_text(streamer_list.SERVICE, 0, "IN", "SRV", f"{i} 205 5080 {host}"))
        told.additional.append(dns.rrset.from_text(host, 0, "IN", "A", f"10.1.0.{i}"))
        if drop != name:
            text = f'"kind=std" "cell={i}" "started={i * 1500}"'
            told.additional.append(dns.rrset.from_text(host, 0, "IN", "TXT", text))
    return told.to_wire(max_size=8000)


def test_a_list_as_the_resolver_tells_it():
    told = streamer_list.parse_answer(answered(), 7, 2)
    assert told.serial == 42 and told.addresses == {"s-1": ("10.1.0.0", 5080), "s-2": ("10.1.0.1", 5080)}
    one, two = told.entries["s-1"], told.entries["s-2"]
    assert (one.status, two.status) == (StreamerStatus.ACTIVE, StreamerStatus.LEAVING)
    assert (one.weight, one.started, two.started, two.zone, two.rack) == (20.5, None, 1.5, "east", 1)


@pytest.mark.parametrize(
    "data, number",
    [
        (answered(), 8),
        (answered(drop="SOA"), 7),
        (answered(drop="s-2"), 7),
        (streamer_list.encode_query(7), 7),
        (answered()[:50], 7),
        (answered()[:3] + b"\x82" + answered()[4:], 7),  # a failure
        (b"", 7),
    ],
)
def test_doubtful_answers_are_not_believed(data, number):
    with pytest.raises(streamer_list.InvalidAnswerError):
        streamer_list.parse_answer(data, number, 2)


def test_eight_thousand_bytes_of_compressed_names_are_read():
    data = answered(names=[f"s-{i:08x}" for i in range(60)])
    assert 5000 < len(data) <= 8000
    assert len(streamer_list.parse_answer(data, 7, 2).entries) == 60


@given(st.binary(max_size=300))
def test_any_bytes_are_a_list_or_doubtful(data):
    with suppress(streamer_list.InvalidAnswerError):
        streamer_list.parse_answer(b"\0\7" + data, 7, 2)


def configuration() -> dict:
    def line(name, state):
        return {"id": name, "addr": "10.1.0.9:5080", "zone": "east", "kind": "std", "cell": 2, "state": state,
                "weight": 4, "started_ms": 0}  # fmt: skip

    events = [
        {
            "cursor": 1,
            "nodes": {"version": 1, "full": True, "servers": [line("a", "Ready"), line("b", "Ready")]},
        },
        {
            "cursor": 2,
            "nodes": {"version": 2, "full": False, "servers": [line("a", "Gone"), line("c", "Terminating")]},
        },
    ]
    return {
        "name": "n3", "listen": "10.0.0.4:5080", "seed": "8c1f30d27a5be964", "names": "10.2.0.1:5300",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
        "known": {"cursor": 2, "cmds": events},
    }  # fmt: skip


def test_a_configuration_and_the_events_in_it():
    read = config.parse_config(json.dumps(configuration()).encode())
    assert (
        read.listen == ("10.0.0.4", 5080)
        and read.longest_deadline == 1.8
        and read.deployment.packages[1].seats == 2
    )
    assert {n: line.status for n, line in read.initial_list.entries.items()} == {
        "b": StreamerStatus.ACTIVE, "c": StreamerStatus.LEAVING,
    }  # fmt: skip
    assert read.initial_list.serial == 2


def test_unknown_keys_are_taken_and_optional_ones_may_be_absent():
    told = json.loads(json.dumps(configuration()))  # its settings are everybody's
    plain = config.parse_config(json.dumps(told).encode()).deployment
    told["settings"] |= {"Novelty": {"of": [1]}, "Prices": {"Probe": 9.0}}
    told["settings"]["Grades"][0]["AimStretch"] = 2.0
    told["novel"] = told["limits"]["novel"] = 1
    assert config.parse_config(json.dumps(told).encode()).deployment == plain
    for name in ("MinExtra", "RepeatRatio", "LookBack"):
        rules = told["settings"]["Invariants"]
        told["settings"]["Invariants"] = {key: value for key, value in rules.items() if key != name}
    del told["settings"]["Tenants"]
    read = config.parse_config(json.dumps(told).encode())
    assert read.deployment.extra_free is None and not read.message_context.members, "no budget, no members"


@pytest.mark.parametrize("name", ["listen", "seed", "names", "limits", "settings", "known"])
def test_a_configuration_that_lacks_something_says_what(name):
    told = configuration()
    del told[name]
    with pytest.raises(config.ConfigError, match=name):
        config.parse_config(json.dumps(told).encode())


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"[" * 100000])
def test_no_configuration_at_all_is_a_fault(data):
    with pytest.raises(config.ConfigError):
        config.parse_config(data)


def test_what_a_controller_does_after_sigterm_at_each_stated_moment():
    p = GracefulShutdown(100.0, 1.8)
    # New connections come until 0.4 s, requests until 0.6 s: all that is taken as ever, and nothing ends it.
    assert all(
        p.is_listening(100.0 + t) and not p.is_complete(100.0 + t, 0, 0, 0) for t in (0.0, 0.2, 0.4, 0.6, 0.7)
    )
    assert not p.is_listening(100.8)
    assert not p.is_complete(100.8, 1, 0, 0), "who waits for an answer gets it"
    assert not p.is_complete(100.8, 0, 1, 0), "what came and is not read yet may be a request"
    assert not p.is_complete(100.8, 0, 0, 5), "what plays, plays on"
    assert p.is_complete(100.8, 0, 0, 0)
    # The kill comes no sooner than 3 s, or the longest patience, and 0.7 s: it has gone by itself before.
    assert not p.is_complete(103.4, 0, 0, 5) and p.is_complete(103.5, 1, 1, 5)
    longer = GracefulShutdown(100.0, 5.0)
    assert not longer.is_complete(105.4, 0, 0, 5) and longer.is_complete(105.5, 0, 0, 5)


def test_probes_are_for_deployments_in_which_nothing_else_tells_load():
    allowed = SETTINGS["Allowed"] | {"Probes": True}
    for via, probes in (("on_probe", True), ("inline", False), ("off", False)):
        told = SETTINGS | {"Allowed": allowed, "Report": {"Columns": ["x0"], "Via": via}}
        assert deployment_config(told).probes is probes
    cases = (0.08, allowed, True), (0, allowed, False), (0.08, SETTINGS["Allowed"], False)
    for probe, allow, paid in cases:
        told = configuration() | {"settings": SETTINGS | {"Allowed": allow, "Prices": {"Probe": probe}}}
        assert config.parse_config(json.dumps(told).encode()).heartbeats_charged is paid
    assert not deployment_config(SETTINGS | {"Allowed": allowed}).probes
    assert not deployment_config(SETTINGS | {"Report": {"Columns": [], "Via": "on_probe"}}).probes
