"""Server side of HTTP/1.1 connections, without a socket."""

from __future__ import annotations

import pytest

from eelgrassmount.http1.exchange import Exchange
from eelgrassmount.http1.server import (
    MAX_PIPELINED,
    HttpListener,
    ServerConnection,
    ServerLimits,
)
from tests.http1.transports import MemoryTransport

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class Setup:
    def __init__(self) -> None:
        self.now_s = 100.0
        self.exchanges: list[Exchange] = []
        self.listener = HttpListener(self.exchanges.append, lambda: self.now_s)
        self.connection = ServerConnection(self.listener)
        self.transport = MemoryTransport(self.connection)
        self.connection.connection_made(self.transport)

    def receive(self, data: bytes) -> None:
        self.connection.data_received(data)


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_request_in_parts_is_joined(setup):
    setup.receive(b"POST /p?q=1 HTTP/1.1\r\nHost: x\r\nContent-Le")
    setup.receive(b"ngth: 5\r\n\r\nhel")
    assert setup.exchanges == []
    setup.receive(b"lo")
    (exchange,) = setup.exchanges
    assert (exchange.method, exchange.target) == ("POST", "/p?q=1")
    assert exchange.body == b"hello"
    assert (b"host", b"x") in exchange.headers


def test_chunked_body_is_joined(setup):
    setup.receive(b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    setup.receive(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert setup.exchanges[0].body == b"abcde"


def test_answers_keep_the_order_of_the_requests(setup):
    setup.receive(GET + GET.replace(b"/a", b"/b"))
    first, second = setup.exchanges
    second.respond(200, b"", b"second")
    assert setup.transport.written == b""
    first.respond(200, b"", b"first")
    written = setup.transport.written
    assert written.index(b"first") < written.index(b"second")


def test_only_the_first_answer_is_sent(setup):
    setup.receive(GET)
    setup.exchanges[0].respond(504)
    setup.exchanges[0].respond(200, b"", b"late")
    assert setup.transport.written.startswith(b"HTTP/1.1 504 ")
    assert b"late" not in setup.transport.written


def test_connection_closes_after_the_answer_to_its_last_request(setup):
    setup.receive(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n" + GET)
    assert len(setup.exchanges) == 1
    setup.exchanges[0].respond(200)
    assert b"connection: close\r\n" in setup.transport.written
    assert setup.transport.closing


def test_stopping_listener_closes_each_connection_after_its_answer(setup):
    setup.receive(GET)
    setup.listener.stopping = True
    setup.exchanges[0].respond(200)
    assert setup.transport.written.count(b"connection: close") == 1
    assert setup.transport.closing


def test_stopping_listener_answers_all_open_requests(setup):
    """Closing after the first answer would drop a request that is being served."""
    abandoned = []
    setup.receive(GET + GET)
    for exchange in setup.exchanges:
        exchange.on_abandon = lambda: abandoned.append("left")
    setup.listener.stopping = True
    setup.exchanges[0].respond(200, b"", b"first")
    assert abandoned == []
    assert not setup.transport.closing
    setup.exchanges[1].respond(200, b"", b"second")
    assert setup.transport.written.count(b"connection: close") == 1
    assert setup.transport.written.endswith(b"second")
    assert setup.transport.closing


def test_stopping_listener_ignores_requests_after_the_open_ones(setup):
    setup.receive(GET + GET)
    setup.listener.stopping = True
    setup.exchanges[1].respond(200, b"", b"second")
    setup.receive(GET)
    assert len(setup.exchanges) == 2
    setup.exchanges[0].respond(200, b"", b"first")
    assert setup.transport.written.endswith(b"second")
    assert setup.transport.closing


def test_answer_that_is_ready_before_the_stop_is_sent(setup):
    setup.receive(GET + GET)
    setup.exchanges[1].respond(200, b"", b"second")
    setup.listener.stopping = True
    setup.exchanges[0].respond(200, b"", b"first")
    assert setup.transport.written.endswith(b"second")


def test_request_is_open_until_the_last_byte_of_its_answer_is_sent(setup):
    """A node that stops earlier would truncate answers to slow clients."""
    setup.receive(GET)
    setup.listener.stopping = True
    setup.transport.unsent_bytes = 100_000
    setup.exchanges[0].respond(200, b"", b"long")
    assert setup.listener.count_open() == 1
    setup.transport.unsent_bytes = 0
    assert setup.listener.count_open() == 0


def test_idle_connections_are_closed_and_busy_ones_are_not(setup):
    setup.receive(GET)
    setup.listener.close_idle()
    assert not setup.transport.closing
    setup.exchanges[0].respond(200)
    setup.listener.close_idle()
    assert setup.transport.closing


def test_disconnect_of_the_client_abandons_the_request(setup):
    setup.receive(GET)
    abandoned = []
    setup.exchanges[0].on_abandon = lambda: abandoned.append(True)
    setup.connection.connection_lost(None)
    assert abandoned == [True]


def test_malformed_request_is_refused(setup):
    setup.receive(b"no request\r\n\r\n")
    assert setup.transport.written.startswith(b"HTTP/1.1 400 ")
    assert setup.transport.closing
    assert setup.exchanges == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 200 + b"\r\n\r\n", b"431"),
        (b"PUT / HTTP/1.1\r\nContent-Length: 50\r\n\r\n" + b"a" * 50, b"413"),
    ],
)
def test_overlong_request_is_refused(setup, data, status):
    setup.listener.limits = ServerLimits(max_header_bytes=100, max_body_bytes=20)
    setup.receive(data)
    assert setup.transport.written.startswith(b"HTTP/1.1 " + status)
    assert setup.transport.written.count(b"HTTP/1.1") == 1


def test_slow_request_is_timed_out(setup):
    setup.listener.limits = ServerLimits(header_timeout_s=3.0)
    setup.receive(b"GET / HT")
    setup.now_s += 3.5
    setup.listener.sweep()
    assert setup.transport.written.startswith(b"HTTP/1.1 408 ")


def test_idle_timeout_counts_from_the_last_answer(setup):
    setup.listener.limits = ServerLimits(idle_timeout_s=10.0)
    setup.receive(GET)
    setup.now_s += 8.0
    setup.exchanges[0].respond(200)
    setup.now_s += 8.0
    setup.listener.sweep()
    assert not setup.transport.closing
    setup.now_s += 3.0
    setup.listener.sweep()
    assert setup.transport.closing


def test_reading_is_paused_while_many_requests_are_open(setup):
    setup.receive(GET * MAX_PIPELINED)
    assert not setup.transport.reading
    setup.exchanges[0].respond(200)
    assert setup.transport.reading


def test_failure_of_the_handler_is_answered(setup):
    def fail(exchange: Exchange) -> None:
        raise ValueError("wrong")

    setup.listener.handle = fail
    setup.receive(GET + GET)
    assert setup.transport.written.count(b"HTTP/1.1 500 ") == 2


# The following tests guard against requests that lose their body, or run it as another
# request, because the parser ends a message at an offer of another protocol.

OFFERS = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n",
    b"Connection: keep-alive, upgrade\r\nUpgrade: websocket\r\n",
    b"upgrade: TLS/1.0, HTTP/1.1\r\nconnection:UPGRADE\r\n",
    b"Connection: upgrade\r\nUpgrade: a\r\nUpgrade: b\r\n",
)
BODY = b"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
FRAMINGS = {
    "length": b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY),
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n"
    + b"".join(b"1\r\n%c\r\n" % byte for byte in BODY)
    + b"0\r\n\r\n",
}


@pytest.mark.parametrize("piece_bytes", [1, 7, 100, 10_000])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("offer", OFFERS)
def test_request_that_offers_an_upgrade_keeps_its_body(
    setup, offer, framing, piece_bytes
):
    request = b"POST /p?q HTTP/1.1\r\nHost: x\r\n" + offer + FRAMINGS[framing]
    data = request + GET + request + GET
    for start in range(0, len(data), piece_bytes):
        setup.receive(data[start : start + piece_bytes])
    got = [(one.method, one.target, one.body) for one in setup.exchanges]
    assert got == [("POST", "/p?q", BODY), ("GET", "/a", b"")] * 2
    for exchange in setup.exchanges:
        assert (b"host", b"x") in exchange.headers
        exchange.respond(200)
    assert setup.transport.written.count(b"HTTP/1.1 ") == 4
    assert not setup.transport.closing


@pytest.mark.parametrize("offer", OFFERS)
def test_request_without_a_body_may_offer_an_upgrade(setup, offer):
    setup.receive((b"GET /b HTTP/1.1\r\n" + offer + b"\r\n") * 40 + GET)
    assert [one.target for one in setup.exchanges] == ["/b"] * 40 + ["/a"]


def test_offer_of_an_upgrade_does_not_keep_a_connection_open(setup):
    head = b"POST / HTTP/1.1\r\nConnection: close, upgrade\r\nUpgrade: h2c\r\n"
    setup.receive(head + FRAMINGS["length"] + GET)
    assert [one.body for one in setup.exchanges] == [BODY]
    setup.exchanges[0].respond(200)
    assert setup.transport.closing


def test_limits_hold_for_a_request_that_offers_an_upgrade(setup):
    setup.listener.limits = ServerLimits(max_body_bytes=20, header_timeout_s=3.0)
    setup.receive(b"POST / HTTP/1.1\r\n" + OFFERS[0] + b"Content-Length: 30\r\n\r\n")
    assert not setup.connection.is_idle()
    setup.receive(BODY[:30])
    assert setup.transport.written.startswith(b"HTTP/1.1 413 ")
    assert setup.exchanges == []


def test_slow_body_behind_an_offer_of_an_upgrade_is_timed_out(setup):
    setup.listener.limits = ServerLimits(header_timeout_s=3.0)
    setup.receive(b"POST / HTTP/1.1\r\n" + OFFERS[0] + b"Content-Length: 30\r\n\r\n")
    setup.now_s += 3.5
    setup.listener.sweep()
    assert setup.transport.written.startswith(b"HTTP/1.1 408 ")


# Guards against a tunnel whose bytes, or whose request itself, run at a server.
@pytest.mark.parametrize("target", [b"h.example:80", b"/book/1"])
@pytest.mark.parametrize("offer", [b"", *OFFERS])
@pytest.mark.parametrize("framing", [b"\r\n" + BODY, FRAMINGS["length"]])
def test_tunnel_is_refused_and_its_bytes_ignored(setup, target, offer, framing):
    setup.receive(GET + b"CONNECT " + target + b" HTTP/1.1\r\n" + offer + framing)
    setup.receive(GET)
    assert [one.target for one in setup.exchanges] == ["/a"]
    setup.exchanges[0].respond(200)
    assert setup.transport.written.count(b"HTTP/1.1 ") == 2
    assert setup.transport.written.count(b"HTTP/1.1 400 ") == 1
    assert setup.transport.closing


def test_connection_preface_of_http2_is_refused_once(setup):
    setup.receive(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + GET)
    assert setup.transport.written.count(b"HTTP/1.1 ") == 1
    assert setup.exchanges == []


# Guards against trailers that name another request, deadline or key than the head.
def test_trailers_of_a_chunked_body_are_no_headers(setup):
    head = b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    setup.receive(head + b"1\r\na\r\n0\r\nHost: y\r\nX-Id: 7\r\n\r\n" + GET)
    first, second = setup.exchanges
    assert first.headers == [(b"host", b"x"), (b"transfer-encoding", b"chunked")]
    assert second.headers == [(b"host", b"x")]


def test_trailers_count_for_the_limit_of_headers(setup):
    setup.listener.limits = ServerLimits(max_header_bytes=100)
    head = b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
    setup.receive(head + b"X: " + b"a" * 80)
    setup.receive(b"\r\n\r\n")
    assert setup.transport.written.startswith(b"HTTP/1.1 431 ")
    assert setup.exchanges == []
