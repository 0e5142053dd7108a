"""Handling of valid and invalid requests by the HTTP listeners."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.calls.inflight import InFlight
from eelgrassmount.calls.ingress import Reply
from eelgrassmount.edge import http, protocol
from eelgrassmount.edge.announcements import parse_announcement
from eelgrassmount.edge.backend import BackendListener
from eelgrassmount.edge.caller import CallerListener
from eelgrassmount.edge.headers import (
    choose_status,
    make_verdict_headers,
    parse_positive_integer,
    select_forwarded_headers,
)
from eelgrassmount.edge.http import serve_http
from eelgrassmount.errors import AnnouncementError, ListenError
from eelgrassmount.members.table import Identity, ServerState
from eelgrassmount.metrics import make_metrics
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.util.addresses import Address
from eelgrassmount.util.background import Background
from eelgrassmount.verdict import Answered, Header, MayHaveRun, NotRun, Reason
from tests.edge.servers import HOST

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from eelgrassmount.calls.request import Request

pytestmark = pytest.mark.anyio

MAX_BODY_BYTES = 100_000
TIMEOUT_S = 30.0


@define(eq=False)
class FakeIngress:
    """Echoes the request body; waits, fails or refuses on some paths."""

    requests: list[Request] = field(factory=list)
    cancelled: anyio.Event = field(factory=anyio.Event)

    async def handle(self, request: Request) -> Reply:
        self.requests.append(request)
        if request.path == "/desk/fail":
            raise RuntimeError("a fault")
        if request.path == "/desk/refuse":
            return Reply(NotRun(Reason.OVERLOAD, 1.25), "r1", "k1")
        if request.path == "/desk/wait":
            try:
                await anyio.sleep_forever()
            finally:
                self.cancelled.set()
        headers = (Header("x-own", "1"), Header("content-type", "text/plain"))
        return Reply(Answered(200, headers, request.body), "r1", "k1")


@define(eq=False)
class CallerFixture:
    """A listener for callers with a fake ingress."""

    ingress: FakeIngress
    address: Address
    listener: CallerListener

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp(self.address.host, self.address.port)

    async def send(self, *parts: bytes, end: bool = False) -> str:
        """Send bytes on a new connection and return the answer."""
        async with await self.connect() as stream:
            for part in parts:
                await stream.send(part)
            return await read_answer(stream)

    def count_refused(self, reason: Reason) -> float:
        return self.listener.metrics.refusals.labels(reason)._value.get()


async def read_answer(stream: anyio.abc.SocketStream) -> str:
    data = b""
    with anyio.fail_after(TIMEOUT_S):
        while not _is_complete(data):
            try:
                data += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                break
    return data.decode("latin-1")


def _is_complete(data: bytes) -> bool:
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    lines = head.lower().split(b"\r\n")
    lengths = [int(line[15:]) for line in lines if line.startswith(b"content-length:")]
    return len(body) >= lengths[0]


def find_free_address() -> Address:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return Address(HOST, probe.getsockname()[1])


@asynccontextmanager
async def run_listener(leaving: bool = False) -> AsyncIterator[CallerFixture]:
    ingress = FakeIngress()
    listener = CallerListener(
        ingress, MAX_BODY_BYTES, make_metrics(), InFlight(), lambda: leaving
    )
    address = find_free_address()
    async with anyio.create_task_group() as group:
        background = Background(group, lambda: None)
        server = await serve_http(
            listener, address, background, listener.record_malformed
        )
        yield CallerFixture(ingress, address, listener)
        server.stop()


def make_post(path: str = "/desk/x", body: bytes = b"hello", extra: str = "") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


async def test_request_and_answer_are_forwarded_unchanged() -> None:
    async with run_listener() as fixture:
        answer = await fixture.send(
            make_post("/desk/a%20b?q=%e9", extra="X-Cafe: \xe9\r\n")
        )
        request = fixture.ingress.requests[0]
    assert (request.service, request.method) == ("desk", "POST")
    assert (request.path, request.body) == ("/desk/a%20b?q=%e9", b"hello")
    assert Header("x-cafe", "\xe9") in request.headers
    assert answer.split("\r\n") == [
        "HTTP/1.1 200 OK",
        "x-own: 1",
        "content-type: text/plain",
        "eelgrassmount-verdict: answered",
        "eelgrassmount-root: r1",
        "eelgrassmount-next-key: k1",
        "content-length: 5",
        "",
        "hello",
    ]


async def test_refusals_and_internal_errors_carry_their_verdict() -> None:
    async with run_listener() as fixture:
        refusal = await fixture.send(make_post("/desk/refuse"))
        assert refusal.startswith("HTTP/1.1 429 ")
        for line in ("verdict: not-run", "reason: overload", "retry-after-ms: 1250"):
            assert f"eelgrassmount-{line}\r\n" in refusal
        assert "\r\nretry-after: 2\r\n" in refusal
        fault = await fixture.send(make_post("/desk/fail"))
        assert fault.startswith("HTTP/1.1 504 ")
        assert "verdict: may-have-run\r\neelgrassmount-reason: internal" in fault
        assert fixture.count_refused(Reason.OVERLOAD) == 1
        assert fixture.count_refused(Reason.INTERNAL) == 1


def make_chunked_post(*sizes: int) -> bytes:
    head = b"POST /desk/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%b\r\n" % (size, b"x" * size) for size in sizes)


# A declared length beyond the limit is refused although no body is sent.
OVERLONG_LENGTH = (
    b"POST /desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000\r\n\r\n"
)
TOO_LARGE = ("413", Reason.TOO_LARGE)
MALFORMED = ("400", Reason.MALFORMED)
REFUSED = {
    "declared": (OVERLONG_LENGTH, *TOO_LARGE),
    "expect": (OVERLONG_LENGTH[:-2] + b"Expect: 100-continue\r\n\r\n", *TOO_LARGE),
    "sent": (make_post(body=b"x" * (MAX_BODY_BYTES + 1)), *TOO_LARGE),
    "much": (make_post(body=b"x" * 3_000_000), *TOO_LARGE),
    "chunks": (make_chunked_post(*[50_000] * 3), *TOO_LARGE),
    "one chunk": (make_chunked_post(100_001), *TOO_LARGE),
    "garbage": (b"\x16\x03\x01\x02 hello\r\n\r\n", *MALFORMED),
    "no target": (b"GET\r\n\r\n", *MALFORMED),
    "odd target": (b"GET http:// HTTP/1.1\r\nHost: a\r\n\r\n", *MALFORMED),
    "bytes in the target": (b"GET /\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n", *MALFORMED),
    "header without colon": (make_post(extra="what\r\n"), *MALFORMED),
    "control character": (make_post(extra="X: a\0b\r\n"), *MALFORMED),
    "two lengths": (make_post(extra="Content-Length: 1\r\n"), *MALFORMED),
    "length and chunks": (
        make_post(extra="Transfer-Encoding: chunked\r\n"),
        *MALFORMED,
    ),
    "negative length": (OVERLONG_LENGTH.replace(b"9000000000", b"-1"), *MALFORMED),
    "long header": (make_post(extra=f"X: {'x' * 20_000}\r\n"), *MALFORMED),
    "long target": (make_post("/" + "x" * 20_000), *MALFORMED),
    "many headers": (make_post(extra="X: y\r\n" * 300), *MALFORMED),
    "tunnel": (b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\nhello", *MALFORMED),
    "tunnel to a path": (make_post().replace(b"POST", b"CONNECT"), *MALFORMED),
}


@pytest.mark.parametrize("name", REFUSED)
async def test_invalid_request_closes_only_its_own_connection(name: str) -> None:
    data, status, reason = REFUSED[name]
    async with run_listener() as fixture:
        answer = await fixture.send(data)
        assert answer.startswith(f"HTTP/1.1 {status} ")
        assert "eelgrassmount-verdict: not-run\r\n" in answer
        assert f"eelgrassmount-reason: {reason.value}\r\n" in answer
        assert "connection: close\r\n" in answer
        assert fixture.count_refused(reason) == 1
        assert (await fixture.send(make_post())).startswith("HTTP/1.1 200 ")
        assert len(fixture.ingress.requests) == 1


@pytest.mark.parametrize(
    "start", [b"GET /x", make_post()[:20], make_post()[:20] + b"X: "]
)
async def test_endless_head_is_refused(start: bytes) -> None:
    async with run_listener() as fixture, await fixture.connect() as stream:
        await stream.send(start)
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            for _ in range(100):
                await stream.send(b"x" * 1000)
                await anyio.sleep(0)
        assert fixture.count_refused(Reason.MALFORMED) == 1


async def test_slow_heads_and_bodies_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(protocol, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(http, "BODY_TIMEOUT_S", 0.05)
    async with run_listener() as fixture:
        assert await fixture.send() == ""
        assert (await fixture.send(make_post()[:30])).startswith("HTTP/1.1 400 ")
        answer = await fixture.send(make_post(body=b"x" * 1000)[:-10])
        assert answer.startswith("HTTP/1.1 503 ")
        assert "eelgrassmount-reason: deadline\r\n" in answer
        assert fixture.ingress.requests == []


async def test_body_in_pieces_is_joined() -> None:
    data = make_post(body=bytes(range(256)) * 300)
    async with run_listener() as fixture:
        pieces = [data[start : start + 9_999] for start in range(0, len(data), 9_999)]
        assert (await fixture.send(*pieces)).startswith("HTTP/1.1 200 ")
        assert fixture.ingress.requests[0].body == bytes(range(256)) * 300


# Guards against a body that is lost, or runs as a request of its own, because the
# parser ends a request at an offer of another protocol.
@pytest.mark.parametrize("piece_bytes", [60, 1_000])
@pytest.mark.parametrize("upgrade", ["h2c", "websocket"])
async def test_request_that_offers_an_upgrade_keeps_its_body(
    upgrade: str, piece_bytes: int
) -> None:
    body = make_post("/desk/smuggled")
    offer = f"Connection: Upgrade, X\r\nUpgrade: {upgrade}\r\nX: y\r\n"
    data = make_post(body=body, extra=offer)
    data += make_post("/desk/y", body=b"2nd")
    async with run_listener() as fixture, await fixture.connect() as stream:
        for start in range(0, len(data), piece_bytes):
            await stream.send(data[start : start + piece_bytes])
            await anyio.sleep(0.01)
        answers = ""
        while not answers.endswith("2nd"):
            with anyio.fail_after(TIMEOUT_S):
                answers += (await stream.receive()).decode()
        got = [(one.path, one.body) for one in fixture.ingress.requests]
        assert got == [("/desk/x", body), ("/desk/y", b"2nd")]
        assert answers.count("eelgrassmount-verdict") == 2


# Guards against trailers that name another class, deadline or key than the head.
async def test_trailers_of_a_chunked_body_are_no_headers() -> None:
    trailers = b"0\r\nX-Trailer: y\r\n\r\n"
    async with run_listener() as fixture:
        answer = await fixture.send(make_chunked_post(5) + trailers)
        assert answer.startswith("HTTP/1.1 200 ")
        names = [header.name for header in fixture.ingress.requests[0].headers]
        assert "host" in names
        assert "x-trailer" not in names


async def test_disconnect_of_the_caller_cancels_its_request() -> None:
    async with run_listener() as fixture:
        async with await fixture.connect() as stream:
            await stream.send(make_post("/desk/wait"))
            with anyio.fail_after(TIMEOUT_S):
                while not fixture.ingress.requests:
                    await anyio.sleep(0.001)
        with anyio.fail_after(TIMEOUT_S):
            await fixture.ingress.cancelled.wait()


async def test_requests_on_one_connection_are_answered_in_order() -> None:
    async with run_listener() as fixture, await fixture.connect() as stream:
        await stream.send(make_post(body=b"1st") + make_post(body=b"2nd"))
        data = ""
        while data.count("HTTP/1.1 200") < 2 or not data.endswith("2nd"):
            data += (await stream.receive()).decode()
        assert data.index("1st") < data.index("2nd")


async def test_leaving_node_closes_the_connections_of_callers() -> None:
    async with run_listener(leaving=True) as fixture, await fixture.connect() as stream:
        await stream.send(make_post())
        answer = await read_answer(stream)
        assert answer.startswith("HTTP/1.1 200 ")
        assert "connection: close\r\n" in answer
        with pytest.raises(anyio.EndOfStream), anyio.fail_after(TIMEOUT_S):
            await stream.receive()


async def test_address_in_use_is_an_error() -> None:
    async with run_listener() as fixture, anyio.create_task_group() as group:
        with pytest.raises(ListenError, match="can't listen on"):
            await serve_http(None, fixture.address, Background(group, lambda: None))


class FakeAnnouncements:
    shared_state = SharedNodeState(Identity("a", "b", "c", "d"))

    def apply(self, body: bytes) -> dict[str, Any]:
        return {"taken": parse_announcement(body, 0.0).service}

    def remove(self) -> None:
        """Accept the removal of the server."""


class FakeDownstream:
    async def handle(self, parent_id: str, name: str, request: Request) -> Any:
        if request.path == "/ratebook/fail":
            raise RuntimeError("a fault")
        return Answered(200, (), f"{parent_id}/{name}/{request.service}".encode())


ANNOUNCEMENT = b'{"service": "desk", "address": "127.1.0.1:9", "state": "serving"}'
ANNOUNCEMENT_PATH = "/_eelgrassmount/server"


@pytest.mark.parametrize(
    ("method", "path", "extra", "body", "status", "text"),
    [
        ("PUT", ANNOUNCEMENT_PATH, "", ANNOUNCEMENT, 200, '{"taken": "desk"}'),
        ("PUT", ANNOUNCEMENT_PATH, "", b"[]", 400, "must be a JSON object"),
        ("PUT", ANNOUNCEMENT_PATH, "", b"x", 400, "not JSON"),
        ("PUT", ANNOUNCEMENT_PATH, "", b"[" * 90_000, 400, "not JSON"),
        ("DELETE", ANNOUNCEMENT_PATH, "", b"", 200, ""),
        ("POST", ANNOUNCEMENT_PATH, "", ANNOUNCEMENT, 405, "announce with PUT"),
        ("GET", "/ratebook/x", "", b"", 400, "reason: malformed"),
        ("GET", "/ratebook/x", "Eelgrassmount-Parent: p\r\n", b"", 200, "p//ratebook"),
        ("GET", "/ratebook/fail", "Eelgrassmount-Parent: p\r\n", b"", 504, "internal"),
        ("PUT", ANNOUNCEMENT_PATH, "", b"x" * (MAX_BODY_BYTES + 1), 413, "too-large"),
    ],
)
async def test_backend_listener_answers(
    method: str, path: str, extra: str, body: bytes, status: int, text: str
) -> None:
    listener = BackendListener(FakeAnnouncements(), FakeDownstream(), MAX_BODY_BYTES)
    address = find_free_address()
    async with anyio.create_task_group() as group:
        server = await serve_http(listener, address, Background(group, lambda: None))
        async with await anyio.connect_tcp(address.host, address.port) as stream:
            await stream.send(
                make_post(path, body, extra).replace(b"POST", method.encode())
            )
            answer = await read_answer(stream)
        server.stop()
    assert answer.startswith(f"HTTP/1.1 {status} ")
    assert text in answer


@pytest.mark.parametrize(
    "change",
    [
        b'"service": "a/b"',
        b'"service": "\\ud800"',
        b'"service": ""',
        b'"service": 3',
        b'"address": "host:9"',
        b'"address": "127.0.0.1:0"',
        b'"state": "happy"',
        b'"state": ["serving"]',
        b'"load": "much"',
        b'"load": true',
    ],
)
def test_invalid_announcement_is_an_error(change: bytes) -> None:
    with pytest.raises(AnnouncementError):
        parse_announcement(ANNOUNCEMENT[:-1] + b", " + change + b"}", 0.0)


@given(st.binary(max_size=100))
def test_any_bytes_are_an_announcement_or_an_announcement_error(body: bytes) -> None:
    with suppress(AnnouncementError):
        parse_announcement(body, 0.0)


def test_announced_load_is_limited_to_its_range() -> None:
    for load, expected in (
        (b"-3", 0.0),
        (b"0.5", 0.5),
        (b"9" * 400, 1.0),
        (b"NaN", 0.0),
    ):
        body = ANNOUNCEMENT[:-1] + b', "load": ' + load + b"}"
        server = parse_announcement(body, 1.0)
        assert (server.load, server.state) == (expected, ServerState.SERVING)


@given(st.sampled_from(Reason), st.booleans(), st.floats(0, 1e6))
def test_every_verdict_has_a_status_and_headers(
    reason: Reason, ran: bool, delay_s: float
) -> None:
    verdict = MayHaveRun(reason, delay_s) if ran else NotRun(reason, delay_s)
    assert choose_status(verdict) in range(400, 600)
    headers = {header.name: header.value for header in make_verdict_headers(verdict)}
    assert headers["eelgrassmount-reason"] == reason.value
    if delay_s > 0:
        milliseconds = int(headers["eelgrassmount-retry-after-ms"])
        assert milliseconds >= delay_s * 1000
        assert int(headers["retry-after"]) * 1000 >= milliseconds - 999


@given(st.text(max_size=12))
def test_header_is_a_positive_integer_or_an_error(text: str) -> None:
    headers = (Header("x", text),)
    try:
        number = parse_positive_integer(headers, "x")
    except ValueError:
        assert not (text.isascii() and text.isdigit() and int(text) > 0)
    else:
        assert str(number) == text.lstrip("0")


def test_headers_of_one_connection_are_not_forwarded() -> None:
    dropped = ("connection", "host", "te", "eelgrassmount-call", "x-hop")
    headers = [Header(name, "X-Hop, close") for name in dropped]
    assert select_forwarded_headers([*headers, Header("x", "1")]) == (Header("x", "1"),)
