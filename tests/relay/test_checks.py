"""Frames and records of other writers, as decoded from bytes."""

from __future__ import annotations

import math
import struct
from typing import Any

import pytest

from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import (
    MAX_FRAME_BYTES,
    FrameConnection,
    FrameKind,
    decode_struct,
    encode_frame,
    encode_struct,
)

HELLO = ttypes.RelayHello("n1", "ab", "desk", 3, "127.0.0.1:7620", "a")
CALL = ttypes.RelayCall(
    *(1, "r1", "shop/list/", "desk", "front", 900, 1, True, False),
    *("GET", "/list/1", b"host: shop\r\n", b"", "", False, False, 0, False, False),
)
ANSWER = ttypes.RelayReply(1, 0, None, 200, b"a: b\r\n", b"x", 3, 0)
REFUSAL = ttypes.RelayReply(1, 1, "overload", 0, b"", b"", 3, 0)
REPORT = ttypes.RelayReport(
    *(True, 3, 0, 9, 500, 3, [ttypes.RouteTime("shop/list/", 30.0)]),
    [ttypes.RouteCalls("shop/a/", "shop/b/", 2.0), ttypes.RouteCalls("c", "", 0.0)],
    *(0, [ttypes.RouteCount("shop/list/", 4.5)], 20, 0),
)
SUSPECTS = ttypes.RelaySuspects("n1/i-1", ["d1"])
NODE = ttypes.NodeRecord("n1", "127.0.0.1:7620", "a", "desk")
LEARNED = ttypes.LearnedRecord([ttypes.RouteCalls("shop/a/", "shop/b/", 2.0)])
COUNTS = [ttypes.RouteCount("shop/list/", 4.5)]
TALLY = ttypes.RelayTally(
    *(3, [ttypes.OfferedRate("shop/list/", 2, 4.5)]),
    *([ttypes.ServiceCounts("desk", 2, COUNTS)], COUNTS),
    [ttypes.RouteCalls("shop/a/", "shop/b/", 2.0)],
)
SUBSCRIBE = ttypes.RelaySubscribe("n1", "a", 4, TALLY, True, 2)
RECORDS = [ttypes.RelayRecord("n2", b"value", 3)]
NEWS = ttypes.RelayNews("n1", True, False, 3, 4, RECORDS, TALLY, -1)
ASK = ttypes.RelayQuotaAsk("n1", 7, ["n1", "n2"], [ttypes.QuotaUse("press", -2, 3)])
GRANT = ttypes.QuotaGrant("press", 3, 2, False, 0.5, 0.1)
GRANTS = ttypes.RelayQuotaGrants("n1", 7, [GRANT])
BORROW = ttypes.RelayQuotaBorrow("n1", 7, "press", 2.5)
LOAN = ttypes.RelayQuotaLoan("n1", 7, 1.5)
STRUCTS = (
    *(HELLO, CALL, ANSWER, REFUSAL, REPORT, SUSPECTS, NODE, LEARNED),
    *(SUBSCRIBE, NEWS, ASK, GRANTS, BORROW, LOAN),
    *(ttypes.RelayCancel(1), ttypes.RelayConfigRequest(0)),
    ttypes.RelayConfig(3, b"{}"),
)
LONG = "x" * 70_000


def copy(one: Any, **changes: Any) -> Any:
    return type(one)(**{**vars(one), **changes})


def decode(one: Any) -> Any:
    return decode_struct(type(one), encode_struct(one))


def list_fields() -> list[tuple[Any, str]]:
    return [
        (one, name)
        for one in STRUCTS
        for name in vars(one)
        if not (one in (ANSWER, REFUSAL) and name == "reason")
    ]


@pytest.mark.parametrize("one", STRUCTS, ids=lambda one: type(one).__name__)
def test_frames_as_nodes_send_them(one):
    assert decode(one) == one


# A decoder of thrift leaves a field that is missing, or that came in another type, at
# None. A record without a name made a member called None, and a report without numbers
# ended the connection by an exception.
@pytest.mark.parametrize(
    ("one", "name"),
    list_fields(),
    ids=lambda value: value if isinstance(value, str) else type(value).__name__,
)
def test_missing_field_is_named(one, name):
    with pytest.raises(BadFrameError) as caught:
        decode(copy(one, **{name: None}))
    assert name in str(caught.value)


@pytest.mark.parametrize(
    ("one", "changes"),
    [
        (NODE, {"node_name": ""}),
        (NODE, {"node_name": LONG}),
        (NODE, {"node_name": "a\nb"}),
        (NODE, {"node_name": "\ufffd"}),
        (NODE, {"address": "n1"}),
        (NODE, {"address": "127.0.0.1:70000"}),
        (NODE, {"address": "127.0.0.1:0"}),
        (NODE, {"address": "127.0.0.1:-1"}),
        (NODE, {"address": "127.0.0.1:" + "9" * 5000}),
        (NODE, {"address": "host:7620"}),
        (NODE, {"failure_domain": ""}),
        (NODE, {"service_name": ""}),
        (NODE, {"service_name": LONG}),
        (HELLO, {"node_name": ""}),
        (HELLO, {"address": "n1"}),
        (HELLO, {"address": "127.0.0.1:70000"}),
        (HELLO, {"service_name": ""}),
        (HELLO, {"config_version": -1}),
        (HELLO, {"incarnation": LONG}),
        (CALL, {"remaining_ms": -1}),
        (CALL, {"remaining_ms": 2**31 - 1}),
        (CALL, {"sequence": -1}),
        (CALL, {"method": ""}),
        (CALL, {"method": "GET / HTTP/1.1\r\nx: y\r\n\r\nGET"}),
        (CALL, {"target": "/a\nb"}),
        (CALL, {"target": ""}),
        (CALL, {"target": "/\u2603"}),
        (CALL, {"request_id": "a\r\nb: c"}),
        (CALL, {"caller_service": "\ufffd"}),
        (CALL, {"route_name": ""}),
        (CALL, {"head": b"a: b"}),
        (CALL, {"head": b"a: b\r\n\r\nGET / HTTP/1.1\r\n"}),
        (CALL, {"head": b"\r\n"}),
        (ANSWER, {"outcome": 3}),
        (ANSWER, {"outcome": -1}),
        (ANSWER, {"status": 0}),
        (ANSWER, {"status": 1000}),
        (ANSWER, {"head": b"a: b\r\n\r\n"}),
        (ANSWER, {"in_flight": -1}),
        (ANSWER, {"queued": -1}),
        (REFUSAL, {"reason": "because"}),
        (REPORT, {"in_flight": -1}),
        (REPORT, {"queued": -1}),
        (REPORT, {"limit": -1}),
        (REPORT, {"limit": 2**31 - 1}),
        (REPORT, {"demand": -1}),
        (REPORT, {"wait": -1}),
        (REPORT, {"config_version": -1}),
        (REPORT, {"failures_ppm": -1}),
        (REPORT, {"failures_ppm": 1_000_001}),
        (REPORT, {"lost_ppm": -1}),
        (REPORT, {"times": [ttypes.RouteTime("r", math.nan)]}),
        (REPORT, {"times": [ttypes.RouteTime("r", -1.0)]}),
        (REPORT, {"times": [ttypes.RouteTime("", 1.0)]}),
        (REPORT, {"times": [ttypes.RouteTime(None, 1.0)]}),
        (REPORT, {"counts": [ttypes.RouteCount("r", math.inf)]}),
        (REPORT, {"counts": [ttypes.RouteCount("r", None)]}),
        (REPORT, {"calls": [ttypes.RouteCalls("r", "s", -1.0)]}),
        (LEARNED, {"calls": [ttypes.RouteCalls("r", "s", math.nan)]}),
        (LEARNED, {"calls": [ttypes.RouteCalls("r", "s", 1e300)]}),
        (LEARNED, {"calls": [ttypes.RouteCalls("", "s", 1.0)]}),
        (LEARNED, {"calls": [ttypes.RouteCalls(None, "s", 1.0)]}),
        (LEARNED, {"calls": [ttypes.RouteCalls("r", None, 1.0)]}),
        (LEARNED, {"calls": [ttypes.RouteCalls("r", LONG, 1.0)]}),
        (LEARNED, {"calls": [ttypes.RouteCalls("r", "s", None)]}),
        (SUBSCRIBE, {"node_name": ""}),
        (SUBSCRIBE, {"failure_domain": LONG}),
        (SUBSCRIBE, {"next_offset": -1}),
        (SUBSCRIBE, {"tally": ttypes.RelayTally()}),
        (SUBSCRIBE, {"tally": copy(TALLY, nodes=-1)}),
        (SUBSCRIBE, {"tally": copy(TALLY, offered=[ttypes.OfferedRate("r", 0, -1.0)])}),
        (SUBSCRIBE, {"tally": copy(TALLY, offered=[ttypes.OfferedRate("r", -1, 1.0)])}),
        (SUBSCRIBE, {"tally": copy(TALLY, offered=[ttypes.OfferedRate("r", None, 1)])}),
        (SUBSCRIBE, {"tally": copy(TALLY, runs=[ttypes.RouteCount("r", math.nan)])}),
        (SUBSCRIBE, {"tally": copy(TALLY, asked=[ttypes.ServiceCounts("d", 1)])}),
        (SUBSCRIBE, {"tally": copy(TALLY, asked=[ttypes.ServiceCounts("", 1, [])])}),
        (SUBSCRIBE, {"tally": copy(TALLY, calls=[ttypes.RouteCalls("r", "", 1.0)])}),
        (ASK, {"node_name": ""}),
        (ASK, {"number": -1}),
        (ASK, {"holders": ["n1", ""]}),
        (ASK, {"uses": [ttypes.QuotaUse("", 0, 0)]}),
        (ASK, {"uses": [ttypes.QuotaUse("press", None, 0)]}),
        (ASK, {"uses": [ttypes.QuotaUse("press", 2_000_000, 0)]}),
        (ASK, {"uses": [ttypes.QuotaUse("press", -2_000_000, 0)]}),
        (ASK, {"uses": [ttypes.QuotaUse("press", 0, -1)]}),
        (GRANTS, {"number": -1}),
        (GRANTS, {"grants": [copy(GRANT, granted=4)]}),
        (GRANTS, {"grants": [copy(GRANT, granted=-1)]}),
        (GRANTS, {"grants": [copy(GRANT, wait_s=math.nan)]}),
        (GRANTS, {"grants": [copy(GRANT, gap_s=-1.0)]}),
        (GRANTS, {"grants": [copy(GRANT, free=None)]}),
        (BORROW, {"team_name": ""}),
        (BORROW, {"wanted": math.inf}),
        (BORROW, {"wanted": -0.5}),
        (LOAN, {"amount": -0.5}),
        (LOAN, {"amount": math.nan}),
        (SUBSCRIBE, {"era": -2}),
        (NEWS, {"era": 2**62 + 1}),
        (NEWS, {"node_name": LONG}),
        (NEWS, {"config_version": -1}),
        (NEWS, {"next_offset": -1}),
        (NEWS, {"records": [ttypes.RelayRecord("n2", None, 3)]}),
        (NEWS, {"records": [ttypes.RelayRecord("n2", b"", -1)]}),
        (NEWS, {"tally": copy(TALLY, calls=[ttypes.RouteCalls("r", "s", 1e300)])}),
        (SUSPECTS, {"crash_id": ""}),
        (SUSPECTS, {"crash_id": LONG}),
        (SUSPECTS, {"digests": ["d", LONG]}),
        (SUSPECTS, {"digests": [""]}),
    ],
    ids=lambda value: repr(value)[:60] if isinstance(value, dict) else "",
)
def test_value_out_of_range_is_refused(one, changes):
    with pytest.raises(BadFrameError):
        decode(copy(one, **changes))


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"{}",
        b"\xff" * 100,
        b"\x00garbage",
        # lists that say that they have two thousand million entries, or are deep
        b"\x0f\x00\x01\x0c" + struct.pack(">i", 2**31 - 1),
        b"\x0f\x00\x63\x02" + struct.pack(">i", 2**31 - 1),
        b"\x0c\x00\x63" * 100_000,
        # a text that says that it is as long, or less than empty
        b"\x0b\x00\x01" + struct.pack(">i", 2**31 - 1),
        b"\x0b\x00\x01" + struct.pack(">i", -5),
        # a whole number where a text is due
        b"\x08\x00\x01" + struct.pack(">i", 7) + b"\x00",
    ],
    ids=lambda payload: repr(payload[:8]),
)
@pytest.mark.parametrize("make", sorted({type(one) for one in STRUCTS}, key=str))
def test_bytes_that_are_no_struct_are_refused(make, payload):
    with pytest.raises(BadFrameError):
        decode_struct(make, payload)


# 200,000 empty rows, a byte each, took 23 MB once they were decoded.
def test_list_with_very_many_entries_is_refused():
    payload = b"\x0f\x00\x01\x0c" + struct.pack(">i", 200_000) + b"\x00" * 200_001
    with pytest.raises(BadFrameError):
        decode_struct(ttypes.LearnedRecord, payload)


# The decoder's own limit of 16,384,000 bytes was below that of a body, so that the
# link to a node was dropped, with all calls on it, whenever it carried a longer one.
def test_long_bodies_are_carried():
    body = bytes(17 * 1024 * 1024)
    assert len(body) < MAX_FRAME_BYTES
    assert decode(copy(ANSWER, body=body)).body == body


class Failing(FrameConnection):
    """A connection whose handler fails."""

    def __init__(self):
        super().__init__()
        self.bad: list[str] = []
        self.aborted = False

    def handle_frame(self, kind, struct):
        raise ZeroDivisionError("handler")

    def handle_bad_frame(self, error):
        self.bad.append(error.detail)

    def handle_connection_lost(self):
        pass

    def abort(self):
        self.aborted = True


# An exception in the handler of a frame left the protocol, without a line that told
# which frame it was.
def test_connection_is_dropped_when_its_handler_fails():
    connection = Failing()
    frame = encode_frame(FrameKind.PING, ttypes.RelayConfigRequest(0))
    connection.data_received(frame)
    assert connection.aborted
    assert connection.bad == ["the handler of PING failed"]


@pytest.mark.parametrize("payload", [b"", b"\x00", b"\xff\xff", b"{}"])
def test_connection_is_dropped_behind_a_bad_frame(payload):
    connection = Failing()
    frame = bytes([FrameKind.REPORT]) + payload
    connection.data_received(len(frame).to_bytes(4, "big") + frame)
    assert connection.aborted
    assert len(connection.bad) == 1
