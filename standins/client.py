"""HTTP/1.1 client with persistent connections, for load generation."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import httptools
from attrs import field, frozen

from standins.web import split_address

if TYPE_CHECKING:
    from collections.abc import Mapping


@frozen
class Answer:
    """One complete HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class UnansweredError(Exception):
    """No complete answer arrived.

    The reason is ``connect`` (nothing was sent), ``closed``, ``malformed`` or
    ``timeout``.
    """

    reason: str


class _Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self.closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[Answer] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._fail("closed")

    def data_received(self, data: bytes) -> None:
        if self._waiter is None:
            # No request is open, so this can't be the answer to one.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail("malformed")
            self.abort()

    def on_message_begin(self) -> None:
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        waiter, self._waiter = self._waiter, None
        if not self._parser.should_keep_alive() or waiter is None:
            self.abort()
        if waiter is not None and not waiter.done():
            status = self._parser.get_status_code()
            waiter.set_result(Answer(status, self._headers, b"".join(self._chunks)))

    def send(self, data: bytes, timeout_s: float) -> asyncio.Future[Answer]:
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = loop.call_later(timeout_s, self._fail, "timeout")
        waiter.add_done_callback(lambda _: timer.cancel())
        self._transport.write(data)
        return waiter

    def abort(self) -> None:
        self.closed = True
        self._transport.abort()

    def _fail(self, reason: str) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(UnansweredError(reason))


class Client:
    """HTTP client that reuses connections to any number of addresses.

    Connections are bound to ``local_ip`` if it is given.
    """

    def __init__(self, local_ip: str | None = None) -> None:
        self._local = (local_ip, 0) if local_ip else None
        self._idle: dict[str, list[_Connection]] = {}

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Answer:
        """Send one request and return its answer, or raise ``UnansweredError``.

        A request that times out or is cancelled closes its connection.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        connection = await self._connect(address, timeout_s)
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}"]
        if headers:
            lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"content-length: {len(body)}", "", ""]
        data = "\r\n".join(lines).encode("latin-1") + body
        remaining_s = max(0.0, deadline - asyncio.get_running_loop().time())
        try:
            answer = await connection.send(data, remaining_s)
        except BaseException:
            connection.abort()
            raise
        if not connection.closed:
            self._idle.setdefault(address, []).append(connection)
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    async def _connect(self, address: str, timeout_s: float) -> _Connection:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    _Connection, host, port, local_addr=self._local
                )
        except OSError as error:
            # TimeoutError is a subclass of OSError.
            raise UnansweredError("connect") from error
        return connection
