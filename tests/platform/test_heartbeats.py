"""Valid and invalid heartbeats and leaves."""

from __future__ import annotations

import json
from typing import Any

import pytest

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.platform.heartbeats import read_announcement
from eelgrassmount.relay.heartbeats import Heartbeat

MISSING = object()
PATHS = (
    "address",
    "info.service",
    "info.version",
    "info.zone",
    "info.slots",
    "status.state",
    "status.sequence",
    "status.coldRemainingMs",
)
# invalid for every field of a heartbeat
INVALID_VALUES = (MISSING, None, True, [], {}, "", -5, -0.5)
# numbers that a JSON decoder may accept, and the part that is named as invalid
INVALID_NUMBERS = (
    ("NaN", "body"),
    ("-Infinity", "body"),
    ("1e400", ""),
    ("1e-400", ""),
)


def make_content(path: str = "", value: Any = MISSING) -> dict[str, Any]:
    """Return a valid heartbeat with one field replaced or removed."""
    content = {
        "address": "10.1.0.8:8301",
        "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 168},
        "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 500},
        "born": 1_790_000_000_000,
    }
    parent = content
    *outer_names, name = path.split(".")
    for outer_name in outer_names:
        parent = parent[outer_name]
    if value is not MISSING:
        parent[name] = value
    elif name:
        del parent[name]
    return content


def read(content: Any, identity: str = "i-7") -> Heartbeat:
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    return read_announcement("POST", f"/instances/{identity}/heartbeat", body)


def read_leave(body: bytes) -> Heartbeat:
    return read_announcement("POST", "/instances/i-7/leave", body)


def read_invalid(content: Any, identity: str = "i-7") -> PlatformDocumentError:
    with pytest.raises(PlatformDocumentError) as caught:
        read(content, identity)
    return caught.value


def test_valid_heartbeat_is_read():
    heartbeat = read(make_content())
    assert heartbeat.service == "desk"
    assert heartbeat.address == "10.1.0.8:8301"
    assert (heartbeat.slots, heartbeat.sequence) == (168, 4)
    assert heartbeat.warm_up_s == 0.5
    assert not heartbeat.draining
    assert heartbeat.incarnation.started_ms == 1_790_000_000_000


def test_unknown_fields_are_ignored():
    content = make_content()
    content["more"] = content["info"]["more"] = {"x": [1]}
    assert read(content) == read(make_content())


def test_start_is_optional():
    assert read(make_content("born")).incarnation.started_ms == 0
    assert read_leave(b"").incarnation.started_ms == 0
    assert read_leave(b'{"born":7}').incarnation.started_ms == 7


# Invalid heartbeats of other programs must not be converted and accepted: they would
# advance the sequence of this VM's server, so that its own heartbeats are ignored.
@pytest.mark.parametrize("value", INVALID_VALUES, ids=repr)
@pytest.mark.parametrize("path", PATHS)
def test_invalid_field_is_named(path, value):
    assert read_invalid(make_content(path, value)).part == path


@pytest.mark.parametrize(("text", "part"), INVALID_NUMBERS)
@pytest.mark.parametrize("path", ["info.slots", "status.sequence", "born"])
def test_invalid_number_is_refused(path, text, part):
    body = json.dumps(make_content(path, 123456)).replace("123456", text)
    assert read_invalid(body.encode()).part == (part or path)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("info.slots", "168"),
        ("info.slots", 168.0),
        ("info.slots", 168.5),
        ("info.slots", 0),
        ("info.slots", 10**9),
        ("status.sequence", "4"),
        ("status.sequence", 4.0),
        ("status.sequence", 2**53),
        ("status.sequence", 10**400),
        ("status.coldRemainingMs", "500"),
        ("status.coldRemainingMs", 1e12),
        ("status.coldRemainingMs", 10**400),
        ("status.state", "napping"),
        ("status.state", "READY"),
        ("status.state", "ready "),
        ("address", "10.1.0.8"),
        ("address", "10.1.0.8:0"),
        ("address", "10.1.0.8:65536"),
        ("address", "10.1.0.8:" + "9" * 5000),
        ("address", "desk:8301"),
        ("info.service", "x" * 129),
        ("info.service", "a\nb"),
        ("info.service", "\ud800"),
        ("info.zone", 7),
        ("info.version", 1.5),
        ("born", None),
        ("born", True),
        ("born", "1790000000000"),
        ("born", 1.79e12),
        ("born", 0),
        ("born", -1),
        ("born", 10**18),
        ("born", []),
    ],
    ids=lambda value: repr(value)[:20],
)
def test_value_of_another_type_or_range_is_named(path, value):
    assert read_invalid(make_content(path, value)).part == path


@pytest.mark.parametrize("path", ["info", "status"])
@pytest.mark.parametrize("value", [None, [], "x", 3, True])
def test_part_that_is_not_an_object_is_refused(path, value):
    assert read_invalid({**make_content(), path: value}).part.startswith(f"{path}.")


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"null",
        b"[]",
        b"7",
        b"{",
        b'{"a":NaN}',
        b'{"a":-Infinity}',
        b"[" * 100_000,
        b'{"a":' * 2_000,
        b"\xef\xbb\xbf{}",
        json.dumps(make_content()).encode("utf-16"),
        json.dumps(make_content()).encode() + b" " * 20_000,
        b'{"a":' + b"9" * 5_000 + b"}",
        b"\x80\x01\x00\x01",
    ],
    ids=lambda body: repr(body[:12]),
)
def test_invalid_body_is_refused(body):
    assert read_invalid(body).part == "body"


@pytest.mark.parametrize("value", ["null", "true", '"7"', "7.0", "0", "1e3"])
def test_leave_with_an_invalid_start_is_refused(value):
    with pytest.raises(PlatformDocumentError) as caught:
        read_leave(b'{"born":%s}' % value.encode())
    assert caught.value.part == "born"


@pytest.mark.parametrize("body", [b"x", b"[]", b"\xff", b"[" * 100_000])
def test_leave_with_an_invalid_body_is_refused(body):
    with pytest.raises(PlatformDocumentError):
        read_leave(body)


@pytest.mark.parametrize("identity", ["", "x" * 129, "a/b", "a b", "%41", "\x85", "i?"])
def test_invalid_identity_is_refused(identity):
    assert read_invalid(make_content(), identity).part == "id"


def test_error_message_names_the_field_and_the_cause():
    text = str(read_invalid(make_content("info.slots", "168")))
    assert text == (
        "heartbeat: can't be read (info.slots: give a whole number from 1 to 100000)"
    )
    text = str(read_invalid(b"{"))
    assert text == "heartbeat: can't be read (body: not JSON)"
