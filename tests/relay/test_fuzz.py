"""Fuzz tests: input of other writers is rejected, or valid once it is decoded."""

from __future__ import annotations

import json
import math
import re
import struct
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.errors import BadFrameError, PlatformDocumentError
from eelgrassmount.gen import ttypes
from eelgrassmount.platform import headers, heartbeats
from eelgrassmount.platform.heartbeats import read_announcement
from eelgrassmount.platform.topic_names import CONFIGURATION_KEY, LEARNED_KEY
from eelgrassmount.relay import frames
from eelgrassmount.relay.frames import decode_struct, encode_struct
from eelgrassmount.relay.rejected_messages import MAX_TRACKED_CAUSES
from eelgrassmount.topics.store import StoredRecord
from eelgrassmount.util.addresses import parse_address
from eelgrassmount.util.fields import find_field
from tests.relay.lone_node import SETTINGS, LoneNode, make_heartbeat, run

if TYPE_CHECKING:
    from collections.abc import Callable

PLAIN_NAME = re.compile(r"[A-Za-z0-9._:~-]{1,128}")
FIELD_PATHS = (
    *("address", "info.service", "info.version", "info.zone", "info.slots"),
    *("status.state", "status.sequence", "status.coldRemainingMs", "born"),
)
INTEGER_FIELDS = ("info.slots", "status.sequence", "born")
# Values that are invalid in most fields; `is_invalid` knows the exceptions.
INVALID_VALUES = (
    *(None, True, False, [], {}, "", " ", "7", "7.5", "true", "napping", "\ud800"),
    *(-1, -5, 7.5, 7.0, 10**20, 10**400, float("nan"), float("inf"), [7], {"a": 1}),
)
MISSING = object()
IDENTITIES = st.one_of(
    st.just("i-1"), st.text(max_size=140), st.sampled_from(["", "/"])
)


def is_invalid(path: str, value: Any) -> bool:
    """Return whether a value is invalid for a field."""
    if path in ("info.service", "info.version", "info.zone"):
        return value not in ("7", "7.5", "true", "napping", " ")
    if path == "status.coldRemainingMs":
        return value not in (7.5, 7.0) or isinstance(value, bool)
    if path == "born":
        return value is not MISSING
    return True


@st.composite
def invalid_bodies(draw) -> bytes:
    """Draw a heartbeat with one invalid or missing field."""
    path = draw(st.sampled_from(FIELD_PATHS))
    value = draw(
        st.sampled_from((MISSING, *INVALID_VALUES)).filter(
            lambda one: is_invalid(path, one)
        )
    )
    content = json.loads(make_heartbeat(9))
    parent = content
    *parents, name = path.split(".")
    for one in parents:
        parent = parent[one]
    if value is MISSING:
        del parent[name]
    else:
        parent[name] = value
    return json.dumps(content).encode()


def truncate(bodies: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Return a strategy of the first halves of bodies, which are invalid JSON."""
    return bodies.map(lambda body: body[: len(body) // 2])


malformed_bodies = st.one_of(
    invalid_bodies(),
    truncate(invalid_bodies()),
    st.binary(max_size=200),
    st.integers(1, 4000).map(lambda depth: b"[" * depth),
)


def read_heartbeat(body: bytes, identity: str = "i-1") -> Any:
    return read_announcement("POST", f"/instances/{identity}/heartbeat", body)


def check_heartbeat(body: bytes, identity: str = "i-1") -> None:
    """Check that a body is rejected, or that it has exactly the decoded values."""
    try:
        found = read_heartbeat(body, identity)
    except PlatformDocumentError as error:
        assert error.part
        return
    assert PLAIN_NAME.fullmatch(identity)
    content = json.loads(body)
    raw = [find_field(content, path) for path in INTEGER_FIELDS]
    assert [type(one) for one in raw if one is not None] == [int] * (
        len(raw) - raw.count(None)
    )
    assert [found.slots, found.sequence, found.incarnation.started_ms or None] == raw
    assert all(one is None or 0 <= one < 2**53 for one in raw)
    cold_ms = find_field(content, "status.coldRemainingMs")
    assert type(cold_ms) in (int, float)
    assert found.warm_up_s == cold_ms / 1000
    assert math.isfinite(cold_ms)
    assert cold_ms >= 0
    state = find_field(content, "status.state")
    assert state in ("ready", "draining")
    assert found.draining == (state == "draining")
    assert found.service == find_field(content, "info.service")
    assert str(parse_address(found.address)) == found.address
    for path in ("info.service", "info.version", "info.zone"):
        text = find_field(content, path)
        assert isinstance(text, str)
        assert 0 < len(text) <= 128


@given(malformed_bodies, IDENTITIES)
def test_heartbeat_is_rejected_or_decoded_exactly(body, identity):
    check_heartbeat(body, identity)


@given(invalid_bodies())
def test_heartbeat_with_one_invalid_field_is_rejected(body):
    with pytest.raises(PlatformDocumentError):
        read_heartbeat(body)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(
    st.one_of(
        st.binary(max_size=100),
        json_values.map(lambda one: json.dumps(one).encode()),
        json_values.map(lambda one: json.dumps({"born": one}).encode()),
    )
)
def test_leave_is_rejected_or_decoded_exactly(body):
    try:
        found = read_announcement("POST", "/instances/i-1/leave", body)
    except PlatformDocumentError:
        return
    assert found.leaving
    start = json.loads(body).get("born", 0) if body else 0
    assert type(start) is int
    assert found.incarnation.started_ms == start


def make_lenient_reader(convert: Callable[[Any], Any], lenient_path: str) -> Callable:
    """Return a field reader that converts one field instead of checking its type."""
    strict = {
        int: heartbeats.read_whole,
        float: heartbeats.read_number,
        str: heartbeats.read_name,
    }[convert]

    def read_field(content: Any, path: str, *args: Any) -> Any:
        if path == lenient_path:
            try:
                return convert(find_field(content, path) or 0)
            except (ValueError, TypeError, OverflowError) as error:
                raise PlatformDocumentError("heartbeat", "x", path) from error
        return strict(content, path, *args)

    return read_field


LENIENT_READERS = [
    ("read_whole", int, "info.slots"),
    ("read_whole", int, "status.sequence"),
    ("read_whole", int, "born"),
    ("read_number", float, "status.coldRemainingMs"),
    ("read_name", str, "info.service"),
    ("read_name", str, "info.zone"),
]


@pytest.mark.parametrize(("name", "convert", "path"), LENIENT_READERS)
def test_check_detects_decoder_that_converts_a_field(monkeypatch, name, convert, path):
    monkeypatch.setattr(heartbeats, name, make_lenient_reader(convert, path))

    @settings(max_examples=400, phases=[Phase.generate])
    @given(invalid_bodies())
    def check(body: bytes) -> None:
        check_heartbeat(body)

    with pytest.raises(AssertionError):
        check()


@pytest.mark.parametrize("name", ["read_choice", "read_address"])
def test_check_detects_decoder_that_accepts_any_state_or_address(monkeypatch, name):
    monkeypatch.setattr(heartbeats, name, lambda content, path, *rest: "ready")

    @settings(max_examples=400, phases=[Phase.generate])
    @given(invalid_bodies())
    def check(body: bytes) -> None:
        try:
            check_heartbeat(body)
        except (BadFrameError, ValueError) as error:
            raise AssertionError(str(error)) from error

    with pytest.raises(AssertionError):
        check()


names = st.sampled_from([b"eelgrassmount-instance-id", b"keep-alive", b"x"])


@given(st.lists(st.tuples(names, st.binary(max_size=140)), max_size=4))
def test_headers_of_health_answer_are_validated(found):
    head = headers.read_answer(found)
    assert head.instance == "" or PLAIN_NAME.fullmatch(head.instance)
    limit_s = headers.read_idle_limit(found)
    assert limit_s is None or 0 <= limit_s < 1e9


def pack(kind: str, value: Any) -> bytes:
    return struct.pack(f">{kind}", value)


def pack_text(value: bytes) -> bytes:
    return pack("i", len(value)) + value


# Thrift field types, each with a value.
texts = st.text("abc\u00e9\x00\ufffd", max_size=20) | st.sampled_from(
    ["n2", "127.0.0.1:7620", "desk", ""]
)
fields = st.one_of(
    st.tuples(st.just(11), texts.map(lambda one: pack_text(one.encode()))),
    st.tuples(st.just(11), st.binary(max_size=20).map(pack_text)),
    st.tuples(st.just(8), st.binary(min_size=4, max_size=4)),
    st.tuples(st.just(10), st.binary(min_size=8, max_size=8)),
    st.tuples(st.just(4), st.floats().map(lambda one: pack("d", one))),
    st.tuples(st.just(2), st.booleans().map(lambda one: pack("b", one))),
    st.tuples(st.sampled_from([12, 13, 14, 15]), st.binary(max_size=20)),
)


@st.composite
def random_structs(draw) -> bytes:
    """Draw an encoded thrift struct with fields of any type."""
    found = [
        bytes([kind]) + pack("h", draw(st.integers(1, 5))) + value
        for kind, value in draw(st.lists(fields, max_size=5))
    ]
    return b"".join(found) + draw(st.sampled_from([b"\x00", b"", b"\x00x"]))


@st.composite
def random_learned_records(draw) -> bytes:
    """Draw a record of learned calls whose rows may be invalid."""
    names = st.sampled_from(["shop/a/", "shop/b/", "", None])
    rows = st.builds(ttypes.RouteCalls, names, names, st.floats() | st.none())
    calls = draw(st.lists(rows, max_size=4))
    return encode_struct(ttypes.LearnedRecord(calls))


@st.composite
def random_node_records(draw) -> bytes:
    """Draw a node record whose fields may be invalid."""
    return encode_struct(
        ttypes.NodeRecord(*[draw(st.none() | texts) for _ in range(4)])
    )


def check_node(payload: bytes) -> None:
    """Check that a node record is rejected, or is valid once it is decoded."""
    try:
        found = decode_struct(ttypes.NodeRecord, payload)
    except BadFrameError:
        return
    for name in ("node_name", "failure_domain", "service_name"):
        text = getattr(found, name)
        assert isinstance(text, str)
        assert text
        assert text.isprintable()
    assert isinstance(found.address, str)
    assert parse_address(found.address).port > 0


def check_learned(payload: bytes) -> None:
    """Check that learned calls are rejected, or are valid once they are decoded."""
    try:
        found = decode_struct(ttypes.LearnedRecord, payload)
    except BadFrameError:
        return
    for row in found.calls:
        assert isinstance(row.run_route, str)
        assert row.run_route
        assert isinstance(row.called_route, str)
        assert isinstance(row.calls_per_run, float)
        assert 0 <= row.calls_per_run < math.inf


@given(st.one_of(st.binary(max_size=100), random_structs(), random_node_records()))
def test_node_record_is_rejected_or_valid(payload):
    check_node(payload)


@given(st.one_of(st.binary(max_size=100), random_structs(), random_learned_records()))
def test_record_of_learned_calls_is_rejected_or_valid(payload):
    check_learned(payload)


@pytest.mark.parametrize(
    ("check", "payloads"),
    [(check_node, random_node_records()), (check_learned, random_learned_records())],
    ids=["node", "learned"],
)
def test_check_detects_decoder_without_validation(monkeypatch, check, payloads):
    monkeypatch.setattr(frames, "check_struct", lambda struct: None)

    @settings(max_examples=400, phases=[Phase.generate])
    @given(payloads)
    def run_check(payload: bytes) -> None:
        check(payload)

    with pytest.raises((AssertionError, TypeError)):
        run_check()


@st.composite
def random_records(draw) -> StoredRecord:
    """Draw a record with a key that nodes read, or a random one."""
    key = draw(
        st.sampled_from([SETTINGS.name, "n2", LEARNED_KEY, CONFIGURATION_KEY, ""])
        | st.text(max_size=9)
    )
    value = draw(
        st.one_of(
            st.binary(max_size=60),
            random_structs(),
            random_node_records(),
            random_learned_records(),
        )
    )
    return StoredRecord(key, value)


@settings(max_examples=60)
@given(st.lists(random_records(), max_size=8))
def test_invalid_records_change_no_other_state(records):
    node = build_relay(SETTINGS)
    node.register_local_node()
    good = ttypes.NodeRecord("n3", "127.0.0.3:7620", "a", "list")
    node.apply_node_records((StoredRecord("n3", encode_struct(good)),))
    node.apply_node_records(tuple(records))
    node.apply_configuration_records(tuple(records))
    found = node.state.members.by_name
    assert found[SETTINGS.name].service == SETTINGS.service
    assert found["n3"].address == "127.0.0.3:7620"
    assert node.state.table.version == 0
    for member in found.values():
        assert str(parse_address(member.address)) == member.address
        assert member.name
        assert member.service
    assert len(found) <= 2 + len(records)
    assert sum(node.rejected_messages.totals.values()) <= 2 * len(records)


targets = st.sampled_from(
    [
        "/instances/i-1/heartbeat",
        "/instances/i-2/heartbeat",
        "/instances//heartbeat",
        "/instances/a/b/heartbeat",
        "/instances/i%2d1/heartbeat",
    ]
)
random_bytes = st.binary(min_size=1, max_size=60)


@settings(max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(st.tuples(targets, malformed_bodies), min_size=1, max_size=12),
    st.lists(random_bytes, max_size=3),
)
def test_listener_rejects_invalid_requests_without_state_change(calls, lines):
    async def scenario(lone: LoneNode) -> None:
        await lone.announce()
        before = lone.read_server_view()
        for target, body in calls:
            answer = await lone.post(target, body)
            assert 400 <= answer.status < 500
            assert lone.read_server_view() == before
        for line in lines:
            await send_invalid_request(line)
        assert lone.read_server_view() == before
        assert (await lone.announce(sequence=2)).status == 200
        rejected = lone.node.rejected_messages
        assert rejected.totals["announcement"] == len(calls)
        assert len(rejected._logged_s) <= min(MAX_TRACKED_CAUSES, len(calls))

    run(scenario)


async def send_invalid_request(line: bytes) -> None:
    """Send bytes that are no HTTP request, and read until the node closes."""
    address = SETTINGS.announce_address
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        try:
            await stream.send(line + b"\r\n\r\n")
            await stream.send_eof()
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
