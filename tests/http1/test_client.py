"""Client side of HTTP/1.1 connections, without a socket."""

from __future__ import annotations

import pytest

from eelgrassmount.http1.client import ClientAnswer, ClientConnection, ExchangeFailure
from tests.http1.transports import MemoryTransport

OK = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nhi"


class ClientFixture:
    def __init__(self) -> None:
        self.idle: list[ClientConnection] = []
        self.lost: list[ClientConnection] = []
        self.outcomes: list[ClientAnswer | ExchangeFailure] = []
        self.connection = ClientConnection(self.idle.append, self.lost.append)
        self.transport = MemoryTransport(self.connection)
        self.connection.connection_made(self.transport)

    def send(self, accepts=None) -> None:
        self.connection.send(b"request", self.outcomes.append, accepts)

    def receive(self, *parts: bytes) -> None:
        for part in parts:
            self.connection.data_received(part)

    def lose_connection(self, error: Exception | None = None) -> None:
        if error is None:
            self.connection.eof_received()
        self.connection.connection_lost(error)


@pytest.fixture
def fixture() -> ClientFixture:
    fixture = ClientFixture()
    fixture.send()
    return fixture


def test_complete_answer_is_reported_and_the_connection_idle(fixture):
    fixture.receive(OK[:30], OK[30:])
    (answer,) = fixture.outcomes
    assert (answer.status, answer.body) == (200, b"hi")
    assert (b"x-id", b"7") in answer.headers
    assert fixture.idle == [fixture.connection]


def test_connection_is_reused_for_a_second_request(fixture):
    fixture.receive(OK)
    fixture.send()
    fixture.receive(OK)
    assert [answer.body for answer in fixture.outcomes] == [b"hi", b"hi"]


def test_interim_answer_is_skipped(fixture):
    fixture.receive(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
    assert [answer.status for answer in fixture.outcomes] == [200]


def test_connection_is_not_reused_after_the_server_closes_it(fixture):
    fixture.receive(OK.replace(b"X-Id: 7", b"Connection: close"))
    assert fixture.outcomes[0].status == 200
    assert fixture.idle == []
    assert fixture.lost == [fixture.connection]


@pytest.mark.parametrize("extra", [OK, b"garbage\r\n\r\n", b"\x00"])
def test_bytes_after_an_answer_close_the_connection(fixture, extra):
    fixture.receive(OK + extra)
    assert [answer.body for answer in fixture.outcomes] == [b"hi"]
    assert fixture.idle == []


def test_unsolicited_bytes_close_the_connection(fixture):
    fixture.receive(OK)
    fixture.receive(OK)
    assert len(fixture.outcomes) == 1
    assert fixture.connection.closed


def test_late_answer_to_an_earlier_request_is_skipped(fixture):
    fixture.receive(OK)
    fixture.send(lambda answer: (b"x-id", b"8") in answer.headers)
    fixture.receive(OK + OK.replace(b"7", b"8").replace(b"hi", b"yo"))
    assert fixture.outcomes[1].body == b"yo"
    assert len(fixture.idle) == 1


def test_answer_without_length_is_complete_when_the_connection_closes(fixture):
    fixture.receive(b"HTTP/1.1 200 OK\r\n\r\nab", b"cd")
    assert fixture.outcomes == []
    fixture.lose_connection()
    assert fixture.outcomes[0].body == b"abcd"


def test_answer_without_length_is_truncated_when_the_connection_is_reset(fixture):
    fixture.receive(b"HTTP/1.1 200 OK\r\n\r\nab")
    fixture.lose_connection(ConnectionResetError())
    assert fixture.outcomes == [ExchangeFailure.TRUNCATED]


def test_incomplete_answer_is_truncated(fixture):
    fixture.receive(OK[:-1])
    fixture.lose_connection()
    assert fixture.outcomes == [ExchangeFailure.TRUNCATED]


def test_close_before_an_answer_is_reported(fixture):
    fixture.lose_connection()
    assert fixture.outcomes == [ExchangeFailure.CLOSED]


def test_malformed_answer_closes_the_connection(fixture):
    fixture.receive(b"nonsense\r\n\r\n")
    assert fixture.outcomes == [ExchangeFailure.MALFORMED]
    assert fixture.connection.closed


def test_cancelled_request_closes_the_connection(fixture):
    fixture.connection.cancel()
    assert fixture.outcomes == [ExchangeFailure.CANCELLED]
    assert fixture.transport.closing
    fixture.lose_connection(ConnectionResetError())
    assert fixture.outcomes == [ExchangeFailure.CANCELLED]
