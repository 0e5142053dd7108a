"""Whatever others write: it is sound once it is decoded, or it changes nothing."""

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
from eelgrassmount.platform.topics import CONFIGURATION_KEY, LEARNED_KEY
from eelgrassmount.relay import frames
from eelgrassmount.relay.frames import decode_struct, encode_struct
from eelgrassmount.relay.refused import MAX_TOLD
from eelgrassmount.topics.store import StoredRecord
from eelgrassmount.util.addresses import parse_address
from eelgrassmount.util.fields import find_field
from tests.relay.lone_node import SETTINGS, LoneNode, make_heartbeat, run

if TYPE_CHECKING:
    from collections.abc import Callable

PLAIN = re.compile(r"[A-Za-z0-9._:~-]{1,128}")
PATHS = (
    *("address", "info.service", "info.version", "info.zone", "info.slots"),
    *("status.state", "status.sequence", "status.coldRemainingMs", "born"),
)
WHOLE = ("info.slots", "status.sequence", "born")
# a body is wrong in one field with a value that no field may have, so that a decoder
# that lets one of them pass is seen
ODD = (
    *(None, True, False, [], {}, "", " ", "7", "7.5", "true", "napping", "\ud800"),
    *(-1, -5, 7.5, 7.0, 10**20, 10**400, float("nan"), float("inf"), [7], {"a": 1}),
)
GONE = object()
IDENTITIES = st.one_of(
    st.just("i-1"), st.text(max_size=140), st.sampled_from(["", "/"])
)


def is_odd(path: str, value: Any) -> bool:
    """Tell whether a value can't be that of a field."""
    if path in ("info.service", "info.version", "info.zone"):
        return value not in ("7", "7.5", "true", "napping", " ")
    if path == "status.coldRemainingMs":
        return value not in (7.5, 7.0) or isinstance(value, bool)
    if path == "born":
        return value is not GONE
    return True


@st.composite
def odd_bodies(draw) -> bytes:
    """Return a heartbeat with one field that is wrong or missing."""
    path = draw(st.sampled_from(PATHS))
    value = draw(st.sampled_from((GONE, *ODD)).filter(lambda one: is_odd(path, one)))
    content = json.loads(make_heartbeat(9))
    holder = content
    *above, name = path.split(".")
    for one in above:
        holder = holder[one]
    if value is GONE:
        del holder[name]
    else:
        holder[name] = value
    return json.dumps(content).encode()


def cut(bodies: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Return the begins of bodies, which are no JSON."""
    return bodies.map(lambda body: body[: len(body) // 2])


bad_bodies = st.one_of(
    odd_bodies(),
    cut(odd_bodies()),
    st.binary(max_size=200),
    st.integers(1, 4000).map(lambda depth: b"[" * depth),
)


def read(body: bytes, identity: str = "i-1") -> Any:
    return read_announcement("POST", f"/instances/{identity}/heartbeat", body)


def check_heartbeat(body: bytes, identity: str = "i-1") -> None:
    """Check that a body is refused, or says just what was decoded from it."""
    try:
        found = read(body, identity)
    except PlatformDocumentError as error:
        assert error.part
        return
    assert PLAIN.fullmatch(identity)
    content = json.loads(body)
    raw = [find_field(content, path) for path in WHOLE]
    assert [type(one) for one in raw if one is not None] == [int] * (
        len(raw) - raw.count(None)
    )
    assert [found.slots, found.sequence, found.incarnation.started_ms or None] == raw
    assert all(one is None or 0 <= one < 2**53 for one in raw)
    cold_ms = find_field(content, "status.coldRemainingMs")
    assert type(cold_ms) in (int, float)
    assert found.cold_s == cold_ms / 1000
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


@given(bad_bodies, IDENTITIES)
def test_heartbeat(body, identity):
    check_heartbeat(body, identity)


@given(odd_bodies())
def test_heartbeat_that_is_odd_in_one_field_is_refused(body):
    with pytest.raises(PlatformDocumentError):
        read(body)


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
def test_leave(body):
    try:
        found = read_announcement("POST", "/instances/i-1/leave", body)
    except PlatformDocumentError:
        return
    assert found.leaving
    start = json.loads(body).get("born", 0) if body else 0
    assert type(start) is int
    assert found.incarnation.started_ms == start


def coerce(convert: Callable[[Any], Any], wrong_path: str) -> Callable:
    """Return a reader that converts one field in passing, as a mutant does."""
    strict = {
        int: heartbeats.read_whole,
        float: heartbeats.read_number,
        str: heartbeats.read_name,
    }[convert]

    def read_field(content: Any, path: str, *args: Any) -> Any:
        if path == wrong_path:
            try:
                return convert(find_field(content, path) or 0)
            except (ValueError, TypeError, OverflowError) as error:
                raise PlatformDocumentError("heartbeat", "x", path) from error
        return strict(content, path, *args)

    return read_field


MUTANTS = [
    ("read_whole", int, "info.slots"),
    ("read_whole", int, "status.sequence"),
    ("read_whole", int, "born"),
    ("read_number", float, "status.coldRemainingMs"),
    ("read_name", str, "info.service"),
    ("read_name", str, "info.zone"),
]


@pytest.mark.parametrize(("name", "convert", "path"), MUTANTS)
def test_decoder_that_converts_a_field_in_passing_is_seen(
    monkeypatch, name, convert, path
):
    monkeypatch.setattr(heartbeats, name, coerce(convert, path))

    @settings(max_examples=400, phases=[Phase.generate])
    @given(odd_bodies())
    def check(body: bytes) -> None:
        check_heartbeat(body)

    with pytest.raises(AssertionError):
        check()


@pytest.mark.parametrize("name", ["read_choice", "read_address"])
def test_decoder_that_takes_any_state_or_address_is_seen(monkeypatch, name):
    monkeypatch.setattr(heartbeats, name, lambda content, path, *rest: "ready")

    @settings(max_examples=400, phases=[Phase.generate])
    @given(odd_bodies())
    def check(body: bytes) -> None:
        try:
            check_heartbeat(body)
        except (BadFrameError, ValueError) as error:
            raise AssertionError(str(error)) from error

    with pytest.raises(AssertionError):
        check()


names = st.sampled_from([b"eelgrassmount-instance-id", b"keep-alive", b"x"])


@given(st.lists(st.tuples(names, st.binary(max_size=140)), max_size=4))
def test_health_answer(found):
    head = headers.read_answer(found)
    assert head.instance == "" or PLAIN.fullmatch(head.instance)
    limit_s = headers.read_idle_limit(found)
    assert limit_s is None or 0 <= limit_s < 1e9


def pack(kind: str, value: Any) -> bytes:
    return struct.pack(f">{kind}", value)


def pack_text(value: bytes) -> bytes:
    return pack("i", len(value)) + value


# types of thrift, with a value of each
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
def odd_structs(draw) -> bytes:
    """Return a struct of thrift with fields of any type."""
    found = [
        bytes([kind]) + pack("h", draw(st.integers(1, 5))) + value
        for kind, value in draw(st.lists(fields, max_size=5))
    ]
    return b"".join(found) + draw(st.sampled_from([b"\x00", b"", b"\x00x"]))


@st.composite
def odd_learned(draw) -> bytes:
    """Return a record of learned calls in which rows may be odd."""
    names = st.sampled_from(["shop/a/", "shop/b/", "", None])
    rows = st.builds(ttypes.RouteCalls, names, names, st.floats() | st.none())
    calls = draw(st.lists(rows, max_size=4))
    return encode_struct(ttypes.LearnedRecord(calls))


@st.composite
def odd_nodes(draw) -> bytes:
    """Return a record of a node in which fields may be odd."""
    return encode_struct(
        ttypes.NodeRecord(*[draw(st.none() | texts) for _ in range(4)])
    )


def check_node(payload: bytes) -> None:
    """Check that a record of a node is refused, or can be used as it is."""
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
    """Check that learned calls are refused, or can be used as they are."""
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


@given(st.one_of(st.binary(max_size=100), odd_structs(), odd_nodes()))
def test_record_of_a_node(payload):
    check_node(payload)


@given(st.one_of(st.binary(max_size=100), odd_structs(), odd_learned()))
def test_record_of_learned_calls(payload):
    check_learned(payload)


@pytest.mark.parametrize(
    ("check", "payloads"),
    [(check_node, odd_nodes()), (check_learned, odd_learned())],
    ids=["node", "learned"],
)
def test_decoder_of_records_that_checks_nothing_is_seen(monkeypatch, check, payloads):
    monkeypatch.setattr(frames, "check_struct", lambda struct: None)

    @settings(max_examples=400, phases=[Phase.generate])
    @given(payloads)
    def run_check(payload: bytes) -> None:
        check(payload)

    with pytest.raises((AssertionError, TypeError)):
        run_check()


@st.composite
def odd_records(draw) -> StoredRecord:
    """Return a record under a key that a node looks at."""
    key = draw(
        st.sampled_from([SETTINGS.name, "n2", LEARNED_KEY, CONFIGURATION_KEY, ""])
        | st.text(max_size=9)
    )
    value = draw(
        st.one_of(st.binary(max_size=60), odd_structs(), odd_nodes(), odd_learned())
    )
    return StoredRecord(key, value)


@settings(max_examples=60)
@given(st.lists(odd_records(), max_size=8))
def test_records_change_nothing_of_others(records):
    node = build_relay(SETTINGS)
    node.put_own()
    good = ttypes.NodeRecord("n3", "127.0.0.3:7620", "a", "list")
    node.take_nodes((StoredRecord("n3", encode_struct(good)),))
    node.take_nodes(tuple(records))
    node.take_configuration(tuple(records))
    found = node.beliefs.members.by_name
    assert found[SETTINGS.name].service == SETTINGS.service
    assert found["n3"].address == "127.0.0.3:7620"
    assert node.beliefs.table.version == 0
    for member in found.values():
        assert str(parse_address(member.address)) == member.address
        assert member.name
        assert member.service
    assert len(found) <= 2 + len(records)
    assert sum(node.refused.totals.values()) <= 2 * len(records)


targets = st.sampled_from(
    [
        "/instances/i-1/heartbeat",
        "/instances/i-2/heartbeat",
        "/instances//heartbeat",
        "/instances/a/b/heartbeat",
        "/instances/i%2d1/heartbeat",
    ]
)
noise = st.binary(min_size=1, max_size=60)


@settings(max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(st.tuples(targets, bad_bodies), min_size=1, max_size=12),
    st.lists(noise, max_size=3),
)
def test_listener_over_its_socket(calls, lines):
    async def scenario(lone: LoneNode) -> None:
        await lone.announce()
        before = lone.read_server_view()
        for target, body in calls:
            answer = await lone.post(target, body)
            assert 400 <= answer.status < 500
            assert lone.read_server_view() == before
        for line in lines:
            await send_noise(line)
        assert lone.read_server_view() == before
        assert (await lone.announce(sequence=2)).status == 200
        refused = lone.node.refused
        assert refused.totals["announcement"] == len(calls)
        assert len(refused._told_s) <= min(MAX_TOLD, len(calls))

    run(scenario)


async def send_noise(line: bytes) -> None:
    """Send bytes that are no request and read on until the node closes."""
    address = SETTINGS.announce_address
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        try:
            await stream.send(line + b"\r\n\r\n")
            await stream.send_eof()
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
