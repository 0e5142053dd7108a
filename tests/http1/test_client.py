"""Client side of HTTP/1.1 connections, without a socket."""

from __future__ import annotations

import pytest

from eelgrassmount.http1.answer_memory import AnswerMemory
from eelgrassmount.http1.client import (
    MAX_ANSWER_BODY_BYTES,
    MAX_ANSWER_HEADERS,
    PARSED_AT_ONCE_BYTES,
    ClientAnswer,
    ClientConnection,
    ExchangeFailure,
)
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


# Guards against bytes behind an answer that count as the answer to the next request.
def test_bytes_after_an_answer_of_exactly_one_slice_close_the_connection(setup):
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
    size = PARSED_AT_ONCE_BYTES - len(head % 10_000)
    answer = head % size + bytes(size)
    assert len(answer) == PARSED_AT_ONCE_BYTES
    setup.receive(answer + OK)
    assert [len(one.body) for one in setup.outcomes] == [size]
    assert setup.idle == []
    assert setup.transport.closing


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 " + b"O" * 70_000,
        b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 20_000,
        b"HTTP/1.1 200 OK\r\na: " + b"b" * 70_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 3_000,
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n"
        + bytes(MAX_ANSWER_BODY_BYTES + 1),
        b"HTTP/1.1 200 OK\r\n\r\n" + bytes(MAX_ANSWER_BODY_BYTES + 1),
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * 40_000,
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        + b"a: b\r\n" * 300,
    ],
    ids=lambda data: data[:60].decode("latin-1"),
)
def test_answer_without_end_is_given_up(setup, data):
    for start in range(0, len(data), 5_000):
        if not setup.outcomes:
            setup.receive(data[start : start + 5_000])
    assert setup.outcomes == [ExchangeFailure.OVERLONG]
    assert setup.transport.closing
    assert setup.connection.memory.total_bytes == 0


def test_answer_with_too_many_headers_is_not_delivered_without_some(setup):
    headers = b"a: b\r\n" * (MAX_ANSWER_HEADERS + 1)
    setup.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + headers + b"\r\n")
    assert setup.outcomes == [ExchangeFailure.OVERLONG]


def test_longest_of_many_incomplete_answers_is_given_up():
    memory = AnswerMemory(max_bytes=100_000)
    setups = [Setup() for _ in range(3)]
    for size, setup in zip((10_000, 60_000, 20_000), setups, strict=True):
        setup.connection.memory = memory
        setup.send()
        setup.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 80000\r\n\r\n" + bytes(size))
    setups[0].receive(bytes(20_000))
    assert [setup.outcomes for setup in setups] == [[], [ExchangeFailure.OVERLONG], []]
    setups[0].receive(bytes(50_000))
    assert len(setups[0].outcomes[0].body) == 80_000
    setups[2].lose_connection(OSError())
    assert memory.total_bytes == 0


# Guards against a call that waits for its deadline, or an answer that reaches a client,
# when the server has answered without a real status.
@pytest.mark.parametrize("status", ["000", "001", "099", "101", "600", "799", "999"])
@pytest.mark.parametrize("framing", ["content-length: 2\r\n", ""])
def test_answer_without_a_real_status_is_malformed(setup, status, framing):
    setup.receive(f"HTTP/1.1 {status} X\r\n{framing}\r\nhi".encode() + OK)
    assert setup.outcomes == [ExchangeFailure.MALFORMED]
    assert setup.transport.closing
    assert setup.idle == []


@pytest.mark.parametrize("status", ["000", "101", "799"])
def test_answer_without_a_real_status_behind_another_closes_the_connection(
    setup, status
):
    setup.receive(OK + f"HTTP/1.1 {status} X\r\n\r\n".encode())
    assert [answer.body for answer in setup.outcomes] == [b"hi"]
    assert setup.idle == []


@pytest.mark.parametrize("status", ["000", "799"])
def test_late_answer_without_a_real_status_is_malformed(setup, status):
    setup.receive(OK)
    setup.send(lambda answer: (b"x-id", b"8") in answer.headers)
    setup.receive(OK, f"HTTP/1.1 {status} X\r\nx-id: 8\r\n\r\n".encode())
    assert setup.outcomes[1:] == [ExchangeFailure.MALFORMED]
