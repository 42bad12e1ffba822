"""The platform's protocol without I/O: lines in any fragments, messages, streamer lists, configurations."""

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
from herongap.platform.queries import OPEN_SECONDS, OpenQueries
from herongap.platform.shutdown import GracefulShutdown

CONTEXT = messages.MessageContext(frozenset({"standard"}), frozenset({"acme"}), 3, 2)
TEXTS = st.binary(max_size=60).map(lambda b: b.replace(b"\n", b""))


@given(st.lists(TEXTS, max_size=12), st.data())
def test_lines_do_not_depend_on_how_their_bytes_arrive(texts, data):
    stream = b"".join(text + b"\n" for text in texts) + b"partial"
    buffer, lines, position = LineBuffer(), [], 0
    while position < len(stream):
        size = data.draw(st.integers(1, len(stream) - position))
        lines += buffer.feed(stream[position : position + size])
        position += size
    assert lines == [text for text in texts if text] and buffer.has_partial_line


@given(st.lists(st.integers(1, 6000), min_size=1, max_size=60))
def test_no_more_bytes_are_buffered_than_the_longest_line(sizes):
    buffer, fed = LineBuffer(), 0
    for size in sizes:
        fed += size
        if fed > MAX_LINE_BYTES:
            with pytest.raises(LineTooLongError):
                list(buffer.feed(b"x" * size))
            return
        assert list(buffer.feed(b"x" * size)) == []
    assert list(buffer.feed(b"\n")) == [b"x" * fed]


def test_the_longest_line_is_accepted_and_one_byte_more_is_not():
    assert list(LineBuffer().feed(b"x" * MAX_LINE_BYTES + b"\n")) == [b"x" * MAX_LINE_BYTES]
    with pytest.raises(LineTooLongError):
        list(LineBuffer().feed(b"x" * (MAX_LINE_BYTES + 1) + b"\n"))


def test_complete_lines_before_an_oversized_one_are_yielded():
    for rest in (b"x" * (MAX_LINE_BYTES + 1), b"x" * (MAX_LINE_BYTES + 1) + b"\nd\n"):
        lines = []
        with pytest.raises(LineTooLongError):
            lines.extend(LineBuffer().feed(b"a\nb\n" + rest))
        assert lines == [b"a", b"b"]


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_malformed(data):
    try:
        m = messages.parse_message(data)
    except messages.MalformedMessageError:
        return
    assert isinstance(m.t, str) and isinstance(m.f, dict)


@given(st.text(max_size=40), st.floats(), st.integers())
def test_any_fields_are_a_request_or_invalid(text, real, integer):
    for value in (text, real, integer):
        for name in ("class", "tenant", "left", "hint", "key", "extras"):
            f = {
                "class": "standard",
                "left": "900",
                "key": "7f3a9c21e0b4d655",
                "extras": "home:1;copies:2;top:1",
            }
            m = messages.Message("new", "0011223344556677", f | {name: value}, None, "x")
            try:
                request, _ = messages.parse_request(m, CONTEXT)
            except messages.InvalidFieldError:
                continue
            assert (
                0 < request.time_left <= messages.MAX_DURATION_SECONDS
                and 0 <= request.top <= CONTEXT.top_rung
            )
            assert request.holders and request.holders <= {0, 1, 2} and request.package == "standard"


def set_up_with(**changes) -> messages.Message:
    """Return a set-up of which only these fields differ from a usable one."""
    usable = {"class": "standard", "left": "900", "key": "7f3a9c21e0b4d655",
              "extras": "home:2;copies:3;top:1"}  # fmt: skip
    return messages.Message("new", "0011223344556677", usable | changes, None, "x")


OTHER_SCRIPTS = ["\u0661\u0665\u0660\u0660", "\uff11"]
OUT_OF_RANGE = ["nan", "Infinity", "1e999", "-900", "9" * 41]
NO_JSON = ["1_500", " 900", "900 ", "900\n", "+900", "0900", "0x9", "9.", ".9", "1e", ""]
NO_NUMBERS = OTHER_SCRIPTS + OUT_OF_RANGE + NO_JSON


# Guards against: a text that Python takes for a number, and JSON does not, is answered as a good set-up.
@pytest.mark.parametrize("text", NO_NUMBERS, ids=ascii)
@pytest.mark.parametrize("name", ["left", "hint"])
def test_a_figure_that_is_no_number_in_json_is_rejected(name, text):
    with pytest.raises(messages.InvalidFieldError):
        messages.parse_request(set_up_with(**{name: text}), CONTEXT)


# Guards against: a home cell beyond the deployment's cells is taken as the remainder of a division.
@pytest.mark.parametrize("home", ["3", "4000000", "2147483648", "-1", "1_0", "\u0661", ""])
def test_a_home_cell_out_of_range_is_rejected(home):
    with pytest.raises(messages.InvalidFieldError):
        messages.parse_request(set_up_with(extras=f"home:{home};copies:3;top:1"), CONTEXT)


@pytest.mark.parametrize("flag", ["moved:2", "again:yes", "again:"])
def test_a_flag_that_is_neither_0_nor_1_is_rejected(flag):
    with pytest.raises(messages.InvalidFieldError):
        messages.parse_request(set_up_with(extras=f"home:0;copies:3;top:1;{flag}"), CONTEXT)


@pytest.mark.parametrize(
    "text, seconds", [("1500", 1.5), ("8200.0", 8.2), ("1e3", 1.0), (1500, 1.5), ("0.5", 5e-4)]
)
def test_figures_as_json_writes_them_are_accepted(text, seconds):
    request, _ = messages.parse_request(set_up_with(left=text, hint=text), CONTEXT)
    assert request.time_left == request.length == pytest.approx(seconds)
    assert request.holders == {2, 0, 1}


def test_a_set_up_in_the_form_that_the_platform_sends():
    line = (
        b'{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"standard","left":"1500","tenant":"acme",'
        b'"key":"7f3a9c21e0b4d655","hint":"8200.0","extras":"home:2;copies:2;top:2;viewer:0b;again:1"},"d":"x"}'
    )
    request, streamer = messages.parse_request(messages.parse_message(line), CONTEXT)
    assert (request.time_left, request.length, request.top, request.is_retry, request.viewer, streamer) == (
        1.5,
        8.2,
        2,
        True,
        "0b",
        None,
    )
    assert request.holders == {2, 0}
    sent = json.loads(messages.encode_set_up(request, 1, 0.2285, "x"))
    assert sent == {
        "t": "new", "ref": "9b1f03aa5c7e2d41", "d": "x",
        "f": {"class": "standard", "key": "7f3a9c21e0b4d655", "left": "228", "rung": "1"},
    }  # fmt: skip


def test_causes_are_mapped_to_end_reasons():
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


def test_load_reports_and_notes_with_values_out_of_range_are_rejected():
    good = messages.Message("up", "a", {"load": "x0:0.5;x1:1.2;queue:3"})
    assert messages.parse_load(good)[0] == 0.5 and messages.parse_load(good).rack == 1.2
    for text in ("x0:nan", "x0:-1", "x0", "x1:1e9", "x0:1_0", "x0:\u0661"):
        with pytest.raises(messages.InvalidFieldError):
            messages.parse_load(messages.Message("up", "a", {"load": text}))
    for f in ({"note": "served"}, {"note": "served", "value": "inf"}, {"note": "loud", "value": "1"}):
        with pytest.raises(messages.InvalidFieldError):
            messages.parse_note(messages.Message("tell", "a", f))


def encode_answer(query_id=7, serial=42, names=("s-1", "s-2"), drop="") -> bytes:
    """Encode a resolver's answer; `drop` is "SOA" or the streamer whose TXT record is missing."""
    response = dns.message.make_response(dns.message.from_wire(streamer_list.encode_query(query_id)))
    if drop != "SOA":
        soa = f"ns. op. {serial} 1 1 1 1"
        response.authority.append(dns.rrset.from_text("fleet.local.", 0, "IN", "SOA", soa))
    for i, name in enumerate(names):
        host = f"{name}.east.hosts."
        response.answer.append(
            dns.rrset.from_text(streamer_list.SERVICE, 0, "IN", "SRV", f"{i} 205 5080 {host}")
        )
        response.additional.append(dns.rrset.from_text(host, 0, "IN", "A", f"10.1.0.{i}"))
        if drop != name:
            text = f'"kind=std" "cell={i}" "started={i * 1500}"'
            response.additional.append(dns.rrset.from_text(host, 0, "IN", "TXT", text))
    return response.to_wire(max_size=8000)


def test_a_list_in_an_answer_of_the_resolver():
    parsed = streamer_list.parse_answer(encode_answer(), 7, 2)
    assert parsed.serial == 42 and parsed.addresses == {"s-1": ("10.1.0.0", 5080), "s-2": ("10.1.0.1", 5080)}
    one, two = parsed.entries["s-1"], parsed.entries["s-2"]
    assert (one.status, two.status) == (StreamerStatus.ACTIVE, StreamerStatus.LEAVING)
    assert (one.weight, one.started, two.started, two.zone, two.rack) == (20.5, None, 1.5, "east", 1)


@pytest.mark.parametrize(
    "data, query_id",
    [
        (encode_answer(), 8),
        (encode_answer(drop="SOA"), 7),
        (encode_answer(drop="s-2"), 7),
        (streamer_list.encode_query(7), 7),
        (encode_answer()[:50], 7),
        (encode_answer()[:3] + b"\x82" + encode_answer()[4:], 7),  # the response code is a failure
        (b"", 7),
    ],
)
def test_invalid_answers_are_rejected(data, query_id):
    with pytest.raises(streamer_list.InvalidAnswerError):
        streamer_list.parse_answer(data, query_id, 2)


def test_an_answer_of_eight_thousand_bytes_with_compressed_names_is_parsed():
    data = encode_answer(names=[f"s-{i:08x}" for i in range(60)])
    assert 5000 < len(data) <= 8000
    assert len(streamer_list.parse_answer(data, 7, 2).entries) == 60


@given(st.binary(max_size=300))
def test_any_bytes_are_a_list_or_an_invalid_answer(data):
    with suppress(streamer_list.InvalidAnswerError):
        streamer_list.parse_answer(b"\0\7" + data, 7, 2)


def configuration() -> dict:
    def server(name, state):
        return {"id": name, "addr": "10.1.0.9:5080", "zone": "east", "kind": "std", "cell": 2, "state": state,
                "weight": 4, "started_ms": 0}  # fmt: skip

    events = [
        {
            "cursor": 1,
            "nodes": {"version": 1, "full": True, "servers": [server("a", "Ready"), server("b", "Ready")]},
        },
        {
            "cursor": 2,
            "nodes": {
                "version": 2,
                "full": False,
                "servers": [server("a", "Gone"), server("c", "Terminating")],
            },
        },
    ]
    return {
        "name": "n3", "listen": "10.0.0.4:5080", "seed": "8c1f30d27a5be964", "names": "10.2.0.1:5300",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
        "known": {"cursor": 2, "cmds": events},
    }  # fmt: skip


def test_a_configuration_and_the_streamer_list_of_its_events():
    parsed = config.parse_config(json.dumps(configuration()).encode())
    assert (
        parsed.listen == ("10.0.0.4", 5080)
        and parsed.longest_deadline == 1.8
        and parsed.deployment.packages[1].seats == 2
    )
    assert {name: entry.status for name, entry in parsed.initial_list.entries.items()} == {
        "b": StreamerStatus.ACTIVE, "c": StreamerStatus.LEAVING,
    }  # fmt: skip
    assert parsed.initial_list.serial == 2


def test_unknown_keys_are_ignored_and_optional_ones_may_be_absent():
    document = json.loads(json.dumps(configuration()))  # a deep copy: SETTINGS is shared by all tests
    plain = config.parse_config(json.dumps(document).encode()).deployment
    document["settings"] |= {"Novelty": {"of": [1]}, "Prices": {"Probe": 9.0}}
    document["settings"]["Grades"][0]["AimStretch"] = 2.0
    document["novel"] = document["limits"]["novel"] = 1
    assert config.parse_config(json.dumps(document).encode()).deployment == plain
    for name in ("MinExtra", "RepeatRatio", "LookBack"):
        rules = document["settings"]["Invariants"]
        document["settings"]["Invariants"] = {key: value for key, value in rules.items() if key != name}
    del document["settings"]["Tenants"]
    parsed = config.parse_config(json.dumps(document).encode())
    assert parsed.deployment.extra_free is None and not parsed.message_context.members, (
        "without these keys there is no budget for repeats, and there are no members"
    )


@pytest.mark.parametrize("name", ["listen", "seed", "names", "limits", "settings", "known"])
def test_the_error_names_the_missing_key(name):
    document = configuration()
    del document[name]
    with pytest.raises(config.ConfigError, match=name):
        config.parse_config(json.dumps(document).encode())


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"[" * 100000])
def test_bytes_that_are_no_configuration_are_rejected(data):
    with pytest.raises(config.ConfigError):
        config.parse_config(data)


def test_graceful_shutdown_follows_the_times_of_the_platform():
    shutdown = GracefulShutdown(100.0, 1.8)
    # New connections come until 0.4 s and requests until 0.6 s; until then it accepts all and does not exit.
    assert all(
        shutdown.is_listening(100.0 + t) and not shutdown.is_complete(100.0 + t, 0, 0, 0)
        for t in (0.0, 0.2, 0.4, 0.6, 0.7)
    )
    assert not shutdown.is_listening(100.8)
    assert not shutdown.is_complete(100.8, 1, 0, 0), "a request is unanswered"
    assert not shutdown.is_complete(100.8, 0, 1, 0), "unread data may be a request"
    assert not shutdown.is_complete(100.8, 0, 0, 5), "a viewing plays"
    assert shutdown.is_complete(100.8, 0, 0, 0)
    # SIGKILL comes no sooner than the longest deadline, at least 3 s, plus 0.7 s: it exits before that.
    assert not shutdown.is_complete(103.4, 0, 0, 5) and shutdown.is_complete(103.5, 1, 1, 5)
    longer = GracefulShutdown(100.0, 5.0)
    assert not longer.is_complete(105.4, 0, 0, 5) and longer.is_complete(105.5, 0, 0, 5)


def test_probes_are_sent_only_where_nothing_else_reports_load():
    allowed = SETTINGS["Allowed"] | {"Probes": True}
    for via, probes in (("on_probe", True), ("inline", False), ("off", False)):
        settings = SETTINGS | {"Allowed": allowed, "Report": {"Columns": ["x0"], "Via": via}}
        assert deployment_config(settings).probes is probes
    cases = (0.08, allowed, True), (0, allowed, False), (0.08, SETTINGS["Allowed"], False)
    for probe, allow, paid in cases:
        document = configuration() | {"settings": SETTINGS | {"Allowed": allow, "Prices": {"Probe": probe}}}
        assert config.parse_config(json.dumps(document).encode()).heartbeats_charged is paid
    assert not deployment_config(SETTINGS | {"Allowed": allowed}).probes
    assert not deployment_config(SETTINGS | {"Report": {"Columns": [], "Via": "on_probe"}}).probes


def test_a_query_stays_open_until_it_is_answered_or_too_old():
    queries = OpenQueries(seed=7)
    ids = [queries.open(now=0.3 * i) for i in range(5)]
    assert len(set(ids)) == 5
    assert [queries.age(query_id, 2.0) for query_id in ids] == pytest.approx([2.0, 1.7, 1.4, 1.1, 0.8])
    queries.close(ids[2])
    assert queries.age(ids[2], 2.0) is None and queries.age(ids[1], 2.0) is not None
    assert queries.age(ids[0], OPEN_SECONDS + 0.1) is None
    queries.close_all()
    assert all(queries.age(query_id, 2.0) is None for query_id in ids)
