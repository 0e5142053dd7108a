"""Tests of the validation of frames and records from other nodes."""

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
NOTICE = ttypes.ServerNotice("i-1", 1_790_000_000_000, True, 8.5)
REJECTIONS = ttypes.ServerRejections(550_000, list(range(16)))
CALL = ttypes.RelayCall(
    *(1, "r1", "shop/list/", "desk", "front", 900, 1, True, False),
    *("GET", "/list/1", b"host: shop\r\n", b"", "", False, False, 0, False, False),
)
REPLY = ttypes.RelayReply(1, 0, None, 200, b"a: b\r\n", b"x", 3, 0)
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
GROUP = ttypes.GroupRate("shop/list/", 2, "press", 4.5)
GROUPS_TALLY = ttypes.RelayTally(**{**vars(TALLY), "groups": [GROUP] * 32})
SUBSCRIBE = ttypes.RelaySubscribe("n1", "a", 4, TALLY, True, 2)
RECORDS = [ttypes.RelayRecord("n2", b"value", 3)]
NEWS = ttypes.RelayNews("n1", True, False, 3, 4, RECORDS, TALLY, -1)
QUOTA_REQUEST = ttypes.RelayQuotaAsk(
    "n1", 7, ["n1", "n2"], [ttypes.QuotaUse("press", -2, 3)]
)
GRANT = ttypes.QuotaGrant("press", 3, 2, False, 0.5, 0.1)
QUOTA_GRANTS = ttypes.RelayQuotaGrants("n1", 7, [GRANT])
QUOTA_BORROW = ttypes.RelayQuotaBorrow("n1", 7, "press", 2.5)
QUOTA_LOAN = ttypes.RelayQuotaLoan("n1", 7, 1.5)
SLOT_OFFER = ttypes.RelaySlotOffer("n1", "list", 4)
STRUCTS = (
    *(HELLO, CALL, REPLY, REFUSAL, REPORT, SUSPECTS, NODE, LEARNED),
    *(SUBSCRIBE, NEWS, QUOTA_REQUEST, QUOTA_GRANTS, QUOTA_BORROW, QUOTA_LOAN),
    *(ttypes.RelayCancel(1), ttypes.RelayConfigRequest(0)),
    ttypes.RelayConfig(3, b"{}"),
    ttypes.RelayConfig(3, b"{}", "n1"),
    ttypes.RelaySubscribe(**{**vars(SUBSCRIBE), "sent_ms": 17}),
    ttypes.RelayNews(**{**vars(NEWS), "request_ms": 17, "log_age_ms": 0}),
    ttypes.RelayReport(**{**vars(REPORT), "usable_slots": 0.5, "notice": NOTICE}),
    ttypes.RelayReport(**{**vars(REPORT), "rejections": REJECTIONS}),
    ttypes.RelayHello(**{**vars(HELLO), "notice": NOTICE}),
    ttypes.RelayReply(**{**vars(REFUSAL), "wait_ms": 250}),
    ttypes.RelaySubscribe(**{**vars(SUBSCRIBE), "tally": GROUPS_TALLY}),
    ttypes.RelayReply(**{**vars(REFUSAL), "reason": "moved", "moved_to": "n2"}),
    SLOT_OFFER,
)
# Fields that are absent for answers and for servers without limits.
OPTIONAL_FIELDS = {
    ttypes.RelayReply: ("reason", "wait_ms", "moved_to"),
    ttypes.RelayReport: ("usable_slots", "notice", "rejections"),
    ttypes.RelayHello: ("notice",),
    ttypes.RelayConfig: ("node_name",),
    ttypes.RelaySubscribe: ("sent_ms",),
    ttypes.RelayNews: ("request_ms", "log_age_ms"),
}
LONG_TEXT = "x" * 70_000


def copy(one: Any, **changes: Any) -> Any:
    return type(one)(**{**vars(one), **changes})


def decode(one: Any) -> Any:
    return decode_struct(type(one), encode_struct(one))


def list_fields() -> list[tuple[Any, str]]:
    return [
        (one, name)
        for one in STRUCTS
        for name in vars(one)
        if name not in OPTIONAL_FIELDS.get(type(one), ())
    ]


@pytest.mark.parametrize("one", STRUCTS, ids=lambda one: type(one).__name__)
def test_valid_structs_are_decoded(one):
    assert decode(one) == one


# The thrift decoder sets a field to None if it is missing or of another type.
@pytest.mark.parametrize(
    ("one", "name"),
    list_fields(),
    ids=lambda value: value if isinstance(value, str) else type(value).__name__,
)
def test_error_names_the_missing_field(one, name):
    with pytest.raises(BadFrameError) as caught:
        decode(copy(one, **{name: None}))
    assert name in str(caught.value)


@pytest.mark.parametrize(
    ("one", "changes"),
    [
        (NODE, {"node_name": ""}),
        (NODE, {"node_name": LONG_TEXT}),
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
        (NODE, {"service_name": LONG_TEXT}),
        (HELLO, {"node_name": ""}),
        (HELLO, {"address": "n1"}),
        (HELLO, {"address": "127.0.0.1:70000"}),
        (HELLO, {"service_name": ""}),
        (HELLO, {"config_version": -1}),
        (HELLO, {"incarnation": LONG_TEXT}),
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
        (REPLY, {"outcome": 3}),
        (REPLY, {"outcome": -1}),
        (REPLY, {"status": 0}),
        (REPLY, {"status": 1000}),
        (REPLY, {"head": b"a: b\r\n\r\n"}),
        (REPLY, {"in_flight": -1}),
        (REPLY, {"queued": -1}),
        (REFUSAL, {"reason": "because"}),
        (REPORT, {"in_flight": -1}),
        (REPORT, {"queued": -1}),
        (REPORT, {"limit": -1}),
        (REFUSAL, {"wait_ms": -1}),
        (REPORT, {"usable_slots": 0.0}),
        (REPORT, {"notice": ttypes.ServerNotice("i 1", 0, False)}),
        (REPORT, {"notice": ttypes.ServerNotice("i1", 0, None)}),
        (HELLO, {"notice": ttypes.ServerNotice("i1", -1, False)}),
        (HELLO, {"notice": ttypes.ServerNotice("i1", 0, False, -1.0)}),
        (HELLO, {"notice": ttypes.ServerNotice("i1", 0, False, math.nan)}),
        (HELLO, {"notice": ttypes.ServerNotice("i1", 0, False, math.inf)}),
        (REPORT, {"usable_slots": math.nan}),
        (REPORT, {"usable_slots": 9.5}),
        (REPORT, {"rejections": copy(REJECTIONS, rejected_ppm=1_000_001)}),
        (REPORT, {"rejections": copy(REJECTIONS, rejected_ppm=-1)}),
        (REPORT, {"rejections": copy(REJECTIONS, rejected_ppm=None)}),
        (REPORT, {"rejections": copy(REJECTIONS, requests=None)}),
        (REPORT, {"rejections": copy(REJECTIONS, requests=[1] * 15)}),
        (REPORT, {"rejections": copy(REJECTIONS, requests=[-1] * 16)}),
        (REPORT, {"rejections": copy(REJECTIONS, requests=[2**31 - 1] * 16)}),
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
        (LEARNED, {"calls": [ttypes.RouteCalls("r", LONG_TEXT, 1.0)]}),
        (LEARNED, {"calls": [ttypes.RouteCalls("r", "s", None)]}),
        (SUBSCRIBE, {"node_name": ""}),
        (SUBSCRIBE, {"failure_domain": LONG_TEXT}),
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
        (SUBSCRIBE, {"tally": copy(TALLY, groups=[GROUP] * 33)}),
        *(
            (NEWS, {"tally": copy(TALLY, groups=[copy(GROUP, **changes)])})
            for changes in (
                *({"rate": 1e300}, {"rate": math.nan}, {"rate": -1.0}, {"rate": None}),
                *({"group": ""}, {"group": LONG_TEXT}, {"group": None}),
                *({"route_name": ""}, {"rank": -1}, {"rank": None}),
            )
        ),
        (QUOTA_REQUEST, {"node_name": ""}),
        (QUOTA_REQUEST, {"number": -1}),
        (QUOTA_REQUEST, {"holders": ["n1", ""]}),
        (QUOTA_REQUEST, {"uses": [ttypes.QuotaUse("", 0, 0)]}),
        (QUOTA_REQUEST, {"uses": [ttypes.QuotaUse("press", None, 0)]}),
        (QUOTA_REQUEST, {"uses": [ttypes.QuotaUse("press", 2_000_000, 0)]}),
        (QUOTA_REQUEST, {"uses": [ttypes.QuotaUse("press", -2_000_000, 0)]}),
        (QUOTA_REQUEST, {"uses": [ttypes.QuotaUse("press", 0, -1)]}),
        (QUOTA_GRANTS, {"number": -1}),
        (QUOTA_GRANTS, {"grants": [copy(GRANT, granted=4)]}),
        (QUOTA_GRANTS, {"grants": [copy(GRANT, granted=-1)]}),
        (QUOTA_GRANTS, {"grants": [copy(GRANT, wait_s=math.nan)]}),
        (QUOTA_GRANTS, {"grants": [copy(GRANT, gap_s=-1.0)]}),
        (QUOTA_GRANTS, {"grants": [copy(GRANT, free=None)]}),
        (QUOTA_BORROW, {"team_name": ""}),
        (QUOTA_BORROW, {"wanted": math.inf}),
        (QUOTA_BORROW, {"wanted": -0.5}),
        (SLOT_OFFER, {"node_name": ""}),
        (SLOT_OFFER, {"service_name": LONG_TEXT}),
        (SLOT_OFFER, {"slots": -1}),
        (SLOT_OFFER, {"slots": 2**31 - 1}),
        (REFUSAL, {"moved_to": LONG_TEXT}),
        (QUOTA_LOAN, {"amount": -0.5}),
        (QUOTA_LOAN, {"amount": math.nan}),
        (SUBSCRIBE, {"era": -2}),
        (NEWS, {"era": 2**62 + 1}),
        (NEWS, {"node_name": LONG_TEXT}),
        (NEWS, {"config_version": -1}),
        (NEWS, {"next_offset": -1}),
        (NEWS, {"log_age_ms": -1}),
        (NEWS, {"request_ms": 2**62 + 1}),
        (SUBSCRIBE, {"sent_ms": -1}),
        (ttypes.RelayConfig(3, b"{}"), {"node_name": LONG_TEXT}),
        (NEWS, {"records": [ttypes.RelayRecord("n2", None, 3)]}),
        (NEWS, {"records": [ttypes.RelayRecord("n2", b"", -1)]}),
        (NEWS, {"tally": copy(TALLY, calls=[ttypes.RouteCalls("r", "s", 1e300)])}),
        (SUSPECTS, {"crash_id": ""}),
        (SUSPECTS, {"crash_id": LONG_TEXT}),
        (SUSPECTS, {"digests": ["d", LONG_TEXT]}),
        (SUSPECTS, {"digests": [""]}),
    ],
    ids=lambda value: repr(value)[:60] if isinstance(value, dict) else "",
)
def test_value_out_of_range_is_rejected(one, changes):
    with pytest.raises(BadFrameError):
        decode(copy(one, **changes))


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"{}",
        b"\xff" * 100,
        b"\x00garbage",
        # Lists with a declared length of 2^31 - 1 entries, and deeply nested structs.
        b"\x0f\x00\x01\x0c" + struct.pack(">i", 2**31 - 1),
        b"\x0f\x00\x63\x02" + struct.pack(">i", 2**31 - 1),
        b"\x0c\x00\x63" * 100_000,
        # Strings with a declared length of 2^31 - 1 and of -5 bytes.
        b"\x0b\x00\x01" + struct.pack(">i", 2**31 - 1),
        b"\x0b\x00\x01" + struct.pack(">i", -5),
        # An integer in place of a string.
        b"\x08\x00\x01" + struct.pack(">i", 7) + b"\x00",
    ],
    ids=lambda payload: repr(payload[:8]),
)
@pytest.mark.parametrize("make", sorted({type(one) for one in STRUCTS}, key=str))
def test_malformed_bytes_are_rejected(make, payload):
    with pytest.raises(BadFrameError):
        decode_struct(make, payload)


# Empty rows take one byte each, but far more memory once they are decoded.
def test_list_with_too_many_entries_is_rejected():
    payload = b"\x0f\x00\x01\x0c" + struct.pack(">i", 200_000) + b"\x00" * 200_001
    with pytest.raises(BadFrameError):
        decode_struct(ttypes.LearnedRecord, payload)


# The default limit of the thrift decoder is shorter than the longest body. A body over
# the limit would drop the link with all its calls.
def test_body_longer_than_the_default_limit_of_thrift_is_decoded():
    body = bytes(17 * 1024 * 1024)
    assert len(body) < MAX_FRAME_BYTES
    assert decode(copy(REPLY, body=body)).body == body


class FailingConnection(FrameConnection):
    """A connection whose frame handler raises an exception."""

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


# The error must name the kind of the frame whose handler failed.
def test_connection_is_dropped_when_its_handler_fails():
    connection = FailingConnection()
    frame = encode_frame(FrameKind.PING, ttypes.RelayConfigRequest(0))
    connection.data_received(frame)
    assert connection.aborted
    assert connection.bad == ["the handler of PING failed"]


@pytest.mark.parametrize("payload", [b"", b"\x00", b"\xff\xff", b"{}"])
def test_connection_is_dropped_after_a_bad_frame(payload):
    connection = FailingConnection()
    frame = bytes([FrameKind.REPORT]) + payload
    connection.data_received(len(frame).to_bytes(4, "big") + frame)
    assert connection.aborted
    assert len(connection.bad) == 1
