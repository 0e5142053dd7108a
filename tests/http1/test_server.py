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


class ServerFixture:
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
def fixture() -> ServerFixture:
    return ServerFixture()


def test_request_in_parts_is_joined(fixture):
    fixture.receive(b"POST /p?q=1 HTTP/1.1\r\nHost: x\r\nContent-Le")
    fixture.receive(b"ngth: 5\r\n\r\nhel")
    assert fixture.exchanges == []
    fixture.receive(b"lo")
    (exchange,) = fixture.exchanges
    assert (exchange.method, exchange.target) == ("POST", "/p?q=1")
    assert exchange.body == b"hello"
    assert (b"host", b"x") in exchange.headers


def test_chunked_body_is_joined(fixture):
    fixture.receive(b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    fixture.receive(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert fixture.exchanges[0].body == b"abcde"


def test_answers_keep_the_order_of_the_requests(fixture):
    fixture.receive(GET + GET.replace(b"/a", b"/b"))
    first, second = fixture.exchanges
    second.respond(200, b"", b"second")
    assert fixture.transport.written == b""
    first.respond(200, b"", b"first")
    written = fixture.transport.written
    assert written.index(b"first") < written.index(b"second")


def test_only_the_first_answer_is_sent(fixture):
    fixture.receive(GET)
    fixture.exchanges[0].respond(504)
    fixture.exchanges[0].respond(200, b"", b"late")
    assert fixture.transport.written.startswith(b"HTTP/1.1 504 ")
    assert b"late" not in fixture.transport.written


def test_connection_closes_after_the_answer_to_its_last_request(fixture):
    fixture.receive(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n" + GET)
    assert len(fixture.exchanges) == 1
    fixture.exchanges[0].respond(200)
    assert b"connection: close\r\n" in fixture.transport.written
    assert fixture.transport.closing


def test_stopping_listener_closes_each_connection_after_its_answer(fixture):
    fixture.receive(GET)
    fixture.listener.stopping = True
    fixture.exchanges[0].respond(200)
    assert fixture.transport.written.count(b"connection: close") == 1
    assert fixture.transport.closing


def test_stopping_listener_answers_all_open_requests(fixture):
    """Closing after the first answer would drop a request that is being served."""
    abandoned = []
    fixture.receive(GET + GET)
    for exchange in fixture.exchanges:
        exchange.on_abandon = lambda: abandoned.append("left")
    fixture.listener.stopping = True
    fixture.exchanges[0].respond(200, b"", b"first")
    assert abandoned == []
    assert not fixture.transport.closing
    fixture.exchanges[1].respond(200, b"", b"second")
    assert fixture.transport.written.count(b"connection: close") == 1
    assert fixture.transport.written.endswith(b"second")
    assert fixture.transport.closing


def test_stopping_listener_ignores_requests_after_the_open_ones(fixture):
    fixture.receive(GET + GET)
    fixture.listener.stopping = True
    fixture.exchanges[1].respond(200, b"", b"second")
    fixture.receive(GET)
    assert len(fixture.exchanges) == 2
    fixture.exchanges[0].respond(200, b"", b"first")
    assert fixture.transport.written.endswith(b"second")
    assert fixture.transport.closing


def test_answer_that_is_ready_before_the_stop_is_sent(fixture):
    fixture.receive(GET + GET)
    fixture.exchanges[1].respond(200, b"", b"second")
    fixture.listener.stopping = True
    fixture.exchanges[0].respond(200, b"", b"first")
    assert fixture.transport.written.endswith(b"second")


def test_request_is_open_until_the_last_byte_of_its_answer_is_sent(fixture):
    """A node that stops earlier would truncate answers to slow clients."""
    fixture.receive(GET)
    fixture.listener.stopping = True
    fixture.transport.unsent_bytes = 100_000
    fixture.exchanges[0].respond(200, b"", b"long")
    assert fixture.listener.count_open() == 1
    fixture.transport.unsent_bytes = 0
    assert fixture.listener.count_open() == 0


def test_idle_connections_are_closed_and_busy_ones_are_not(fixture):
    fixture.receive(GET)
    fixture.listener.close_idle()
    assert not fixture.transport.closing
    fixture.exchanges[0].respond(200)
    fixture.listener.close_idle()
    assert fixture.transport.closing


def test_disconnect_of_the_client_abandons_the_request(fixture):
    fixture.receive(GET)
    abandoned = []
    fixture.exchanges[0].on_abandon = lambda: abandoned.append(True)
    fixture.connection.connection_lost(None)
    assert abandoned == [True]


def test_malformed_request_is_refused(fixture):
    fixture.receive(b"no request\r\n\r\n")
    assert fixture.transport.written.startswith(b"HTTP/1.1 400 ")
    assert fixture.transport.closing
    assert fixture.exchanges == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 200 + b"\r\n\r\n", b"431"),
        (b"PUT / HTTP/1.1\r\nContent-Length: 50\r\n\r\n" + b"a" * 50, b"413"),
    ],
)
def test_overlong_request_is_refused(fixture, data, status):
    fixture.listener.limits = ServerLimits(max_header_bytes=100, max_body_bytes=20)
    fixture.receive(data)
    assert fixture.transport.written.startswith(b"HTTP/1.1 " + status)
    assert fixture.transport.written.count(b"HTTP/1.1") == 1


def test_slow_request_is_timed_out(fixture):
    fixture.listener.limits = ServerLimits(header_timeout_s=3.0)
    fixture.receive(b"GET / HT")
    fixture.now_s += 3.5
    fixture.listener.sweep()
    assert fixture.transport.written.startswith(b"HTTP/1.1 408 ")


def test_idle_timeout_counts_from_the_last_answer(fixture):
    fixture.listener.limits = ServerLimits(idle_timeout_s=10.0)
    fixture.receive(GET)
    fixture.now_s += 8.0
    fixture.exchanges[0].respond(200)
    fixture.now_s += 8.0
    fixture.listener.sweep()
    assert not fixture.transport.closing
    fixture.now_s += 3.0
    fixture.listener.sweep()
    assert fixture.transport.closing


def test_reading_is_paused_while_many_requests_are_open(fixture):
    fixture.receive(GET * MAX_PIPELINED)
    assert not fixture.transport.reading
    fixture.exchanges[0].respond(200)
    assert fixture.transport.reading


def test_failure_of_the_handler_is_answered(fixture):
    def fail(exchange: Exchange) -> None:
        raise ValueError("wrong")

    fixture.listener.handle = fail
    fixture.receive(GET + GET)
    assert fixture.transport.written.count(b"HTTP/1.1 500 ") == 2
