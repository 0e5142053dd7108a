"""Client side of HTTP/1.1 connections, without a socket."""

from __future__ import annotations

import pytest

from eelgrassmount.http1.client import ClientAnswer, ClientConnection, ExchangeFailure
from tests.http1.transports import MemoryTransport

OK = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nhi"


class Setup:
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
def setup() -> Setup:
    setup = Setup()
    setup.send()
    return setup


def test_complete_answer_is_reported_and_the_connection_idle(setup):
    setup.receive(OK[:30], OK[30:])
    (answer,) = setup.outcomes
    assert (answer.status, answer.body) == (200, b"hi")
    assert (b"x-id", b"7") in answer.headers
    assert setup.idle == [setup.connection]


def test_connection_is_reused_for_a_second_request(setup):
    setup.receive(OK)
    setup.send()
    setup.receive(OK)
    assert [answer.body for answer in setup.outcomes] == [b"hi", b"hi"]


def test_interim_answer_is_skipped(setup):
    setup.receive(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
    assert [answer.status for answer in setup.outcomes] == [200]


def test_connection_is_not_reused_after_the_server_closes_it(setup):
    setup.receive(OK.replace(b"X-Id: 7", b"Connection: close"))
    assert setup.outcomes[0].status == 200
    assert setup.idle == []
    assert setup.lost == [setup.connection]


@pytest.mark.parametrize("extra", [OK, b"garbage\r\n\r\n", b"\x00"])
def test_bytes_after_an_answer_close_the_connection(setup, extra):
    setup.receive(OK + extra)
    assert [answer.body for answer in setup.outcomes] == [b"hi"]
    assert setup.idle == []


def test_unsolicited_bytes_close_the_connection(setup):
    setup.receive(OK)
    setup.receive(OK)
    assert len(setup.outcomes) == 1
    assert setup.connection.closed


def test_late_answer_to_an_earlier_request_is_skipped(setup):
    setup.receive(OK)
    setup.send(lambda answer: (b"x-id", b"8") in answer.headers)
    setup.receive(OK + OK.replace(b"7", b"8").replace(b"hi", b"yo"))
    assert setup.outcomes[1].body == b"yo"
    assert len(setup.idle) == 1


def test_answer_without_length_is_complete_when_the_connection_closes(setup):
    setup.receive(b"HTTP/1.1 200 OK\r\n\r\nab", b"cd")
    assert setup.outcomes == []
    setup.lose_connection()
    assert setup.outcomes[0].body == b"abcd"


def test_answer_without_length_is_truncated_when_the_connection_is_reset(setup):
    setup.receive(b"HTTP/1.1 200 OK\r\n\r\nab")
    setup.lose_connection(ConnectionResetError())
    assert setup.outcomes == [ExchangeFailure.TRUNCATED]


def test_incomplete_answer_is_truncated(setup):
    setup.receive(OK[:-1])
    setup.lose_connection()
    assert setup.outcomes == [ExchangeFailure.TRUNCATED]


def test_close_before_an_answer_is_reported(setup):
    setup.lose_connection()
    assert setup.outcomes == [ExchangeFailure.CLOSED]


def test_malformed_answer_closes_the_connection(setup):
    setup.receive(b"nonsense\r\n\r\n")
    assert setup.outcomes == [ExchangeFailure.MALFORMED]
    assert setup.connection.closed


def test_cancelled_request_closes_the_connection(setup):
    setup.connection.cancel()
    assert setup.outcomes == [ExchangeFailure.CANCELLED]
    assert setup.transport.closing
    setup.lose_connection(ConnectionResetError())
    assert setup.outcomes == [ExchangeFailure.CANCELLED]
