"""The log client, with scripted answers on a socket."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from eelgrassmount.log_client import LogClient
from eelgrassmount.log_service import Appended, LogFailure, Page, Record

PAGE = b'{"first":3,"next":18,"records":[{"offset":17,"body":"aGk="}]}'


def answer(body: bytes, status: int = 200) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def run_client(reply: bytes | None, call: Callable, silent: bool = False) -> tuple:
    """Return the result of ``call(client)`` and the requests that the log received."""
    requests: list[bytes] = []

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            received = b""
            while b"\r\n\r\n" not in received:
                received += await stream.receive()
            requests.append(received)
            if silent:
                await anyio.sleep_forever()
            if reply:
                await stream.send(reply)

    async def main() -> object:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        client = LogClient(f"http://127.0.0.1:{port}/", timeout_s=0.3)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            result = await call(client)
            await client.close()
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(main), requests


async def append(client: LogClient) -> object:
    return await client.append("config", b"body")


async def read(client: LogClient) -> object:
    return await client.read("config", 17, 100, 0.05)


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (answer(b'{"offset":17}'), Appended(17)),
        (answer(b'{"offset":-1}'), True),
        (answer(b"[]"), True),
        (answer(b"x", 503), True),
        (answer(b"x", 429), False),
        (answer(b'{"offset":17}')[:-1], True),
        (b"nonsense\r\n\r\n", True),
        (None, True),
    ],
)
def test_append(reply: bytes | None, expected: object) -> None:
    result, requests = run_client(reply, append)
    assert requests[0].startswith(b"POST /streams/config/records HTTP/1.1\r\n")
    if isinstance(expected, bool):
        assert isinstance(result, LogFailure)
        result = result.sent
    assert result == expected


def test_read() -> None:
    result, requests = run_client(answer(PAGE), read)
    target = b"GET /streams/config/records?from=17&limit=100&wait_ms=50 HTTP/1.1"
    assert requests[0].startswith(target)
    assert result == Page(3, 18, (Record(17, b"hi"),))
    assert isinstance(run_client(answer(b'{"first":3}'), read)[0], LogFailure)


@pytest.mark.parametrize("call", [append, read])
def test_request_to_a_silent_log_times_out(call: Callable) -> None:
    result, _ = run_client(None, call, silent=True)
    assert isinstance(result, LogFailure)
    assert result.sent


def test_unreachable_log_receives_no_request() -> None:
    async def main() -> object:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        client = LogClient(f"http://127.0.0.1:{port}")
        return await client.append("config", b"body")

    result = anyio.run(main)
    assert isinstance(result, LogFailure)
    assert not result.sent


# Guards against a node that keeps an answer of the log that has no end.
@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\na: ",
    ],
)
def test_answer_without_end_is_a_failure(head: bytes, monkeypatch) -> None:
    monkeypatch.setattr("eelgrassmount.log_client.MAX_ANSWER_BYTES", 50_000)
    failure, _ = run_client(head + b"x" * 1_000_000, append)
    assert isinstance(failure, LogFailure)
    assert failure.sent
