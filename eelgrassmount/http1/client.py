"""Client side of HTTP/1.1 connections, one request at a time."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING

import httptools
from attrs import define

from eelgrassmount.http1.answer_memory import AnswerMemory
from eelgrassmount.http1.statuses import FINAL_STATUSES, is_possible

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.util.addresses import Address

# TCP keep-alive closes a silent connection about three seconds after its last bytes.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
MAX_KEEP_ALIVE_PROBES = 2
# Time without an acknowledgement of sent bytes after which the connection is closed.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
MAX_ANSWER_BODY_BYTES = 8 * 1024 * 1024
MAX_ANSWER_HEADERS = 256
# Bytes before a body: status line, headers and interim answers.
MAX_ANSWER_HEAD_BYTES = 64 * 1024
# The same with chunk sizes and trailers.
MAX_FRAMING_BYTES = 128 * 1024
# The limits are checked after so many bytes, as short chunks take long to parse.
PARSED_AT_ONCE_BYTES = 32 * 1024
# An answer with one of them does not end with its connection.
_LENGTH_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class ExchangeFailure(Enum):
    """The reason why an exchange ended without an answer."""

    REFUSED = "refused"  # The connection failed and no byte of the request was sent.
    CLOSED = "closed"  # The server closed or reset the connection before an answer.
    TRUNCATED = "truncated"  # The answer is incomplete.
    MALFORMED = "malformed"  # The received bytes are not an HTTP answer.
    OVERLONG = "overlong"  # The answer is too long, or its bytes have no end.
    CANCELLED = "cancelled"  # The client cancelled the request.


@define(eq=False, repr=False)
class ClientAnswer:
    """A complete answer; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def enable_keep_alive(transport: asyncio.BaseTransport) -> None:
    """Let the operating system close the connection when its peer goes silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, MAX_KEEP_ALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


async def open_connection(
    address: Address,
    timeout_s: float,
    on_idle: Callable[[ClientConnection], None] = lambda connection: None,
    on_lost: Callable[[ClientConnection], None] = lambda connection: None,
    memory: AnswerMemory | None = None,
) -> ClientConnection:
    """Connect to an address within ``timeout_s`` seconds.

    Connections that share ``memory`` share its limit on incomplete answers.
    Raises `OSError`, including `TimeoutError`, if this fails.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: ClientConnection(on_idle, on_lost, memory),
            address.host,
            address.port,
        )
    return connection


class ClientConnection(asyncio.Protocol):
    """Sends requests one after the other and reports each outcome once.

    ``on_idle`` is called when the connection is ready for the next request, and
    ``on_lost`` when it has closed. ``unsuccessful_ids`` are kept by the owner of the
    connection: the ids of requests that were answered on it without success.
    """

    def __init__(
        self,
        on_idle: Callable[[ClientConnection], None],
        on_lost: Callable[[ClientConnection], None],
        memory: AnswerMemory | None = None,
    ):
        self.transport: asyncio.Transport | None = None
        self.on_idle = on_idle
        self.on_lost = on_lost
        self.memory = memory or AnswerMemory()
        self.closed = False
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None
        self.unsuccessful_ids: set[bytes] = set()
        self._on_done: Callable[[ClientAnswer | ExchangeFailure], None] | None = None
        self._accepts: Callable[[ClientAnswer], bool] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._head_only = False
        self._answer_started = False
        self._answer: ClientAnswer | None = None
        self._reusable = False
        self._received_bytes = 0
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by the event loop)."""
        self.transport = transport
        enable_keep_alive(transport)

    def send(
        self,
        data: bytes,
        on_done: Callable[[ClientAnswer | ExchangeFailure], None],
        accepts: Callable[[ClientAnswer], bool] | None = None,
        head_only: bool = False,
    ) -> None:
        """Send a complete request and call ``on_done`` once with its outcome.

        An answer that ``accepts`` rejects belongs to an earlier request and is skipped;
        the connection is then not reused.
        """
        self._on_done = on_done
        self._accepts = accepts
        self._head_only = head_only
        self._answer_started = False
        self._reusable = True
        self._answer = None
        self._received_bytes = 0
        self._body_bytes = 0
        self._reset_answer()
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    def cancel(self) -> None:
        """Cancel the request by closing the connection."""
        self._close_with(ExchangeFailure.CANCELLED)

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            self.closed = True
            if self.transport is not None:
                self.transport.abort()
            self.on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        for start in range(0, len(data), PARSED_AT_ONCE_BYTES):
            if not self.closed:
                end = start + PARSED_AT_ONCE_BYTES
                self._parse(data[start:end], end >= len(data))

    def _parse(self, data: bytes, is_last: bool) -> None:
        if self._on_done is None:
            # No request is waiting for an answer.
            self.close()
            return
        self._answer_started = True
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._answer is None:
                self._close_with(ExchangeFailure.MALFORMED)
                return
            # The answer before the malformed bytes is complete.
            self._reusable = False
        if self._is_overlong():
            self.give_up_answer()
        elif self._answer is not None:
            # Bytes that follow an answer are not the answer to a later request.
            self._reusable = self._reusable and is_last
            self._finish(self._answer)
        elif not self.closed:
            self.memory.hold(self, self._received_bytes)

    def _is_overlong(self) -> bool:
        if len(self._headers) > MAX_ANSWER_HEADERS:
            return True
        if self._answer is not None:
            # Bytes after a complete answer are not part of it.
            return False
        framing_bytes = self._received_bytes - self._body_bytes
        max_bytes = MAX_FRAMING_BYTES if self._body_bytes else MAX_ANSWER_HEAD_BYTES
        return framing_bytes > max_bytes or self._body_bytes > MAX_ANSWER_BODY_BYTES

    def give_up_answer(self) -> None:
        """Close the connection because its answer takes too much memory."""
        self._reset_answer()
        self._close_with(ExchangeFailure.OVERLONG)

    def eof_received(self) -> bool:
        """Complete an answer without a length."""
        if (
            self._on_done is not None
            and self._until_close
            and self._status in FINAL_STATUSES
        ):
            self._reusable = False
            self._complete()
            if self._answer is not None:
                self._finish(self._answer)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the failure of the open request."""
        if not self.closed:
            self.closed = True
            self.on_lost(self)
        self._report(
            ExchangeFailure.TRUNCATED
            if self._answer_started
            else ExchangeFailure.CLOSED
        )
        # The parser refers to this object. Breaking the cycle frees a closed connection
        # before the next garbage collection.
        self._parser = None

    def _close_with(self, outcome: ExchangeFailure) -> None:
        self.close()
        self._report(outcome)

    def _report(self, outcome: ClientAnswer | ExchangeFailure) -> None:
        self.memory.release(self)
        on_done = self._on_done
        if on_done is not None:
            self._on_done = None
            on_done(outcome)

    def _finish(self, answer: ClientAnswer) -> None:
        self._answer = None
        if not self._reusable:
            self._close_with(answer)
            return
        self.memory.release(self)
        on_done = self._on_done
        self._on_done = None
        self.on_idle(self)
        on_done(answer)

    def _complete(self) -> None:
        answer = ClientAnswer(self._status, self._headers, bytes(self._body))
        if self._accepts is not None and not self._accepts(answer):
            self._reusable = False
            self._reset_answer()
            return
        self._answer = answer

    def _reset_answer(self) -> None:
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        # Small parts would take far more memory as objects of their own.
        self._body = bytearray()
        self._until_close = False
        self._has_length = False

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Detect a further answer after the one to the request."""
        if self._answer is not None:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if self._answer is None:
            if len(self._headers) > MAX_ANSWER_HEADERS:
                return
            name = name.lower()
            self._headers.append((name, value))
            if name in _LENGTH_HEADERS:
                self._has_length = True

    def on_headers_complete(self) -> None:
        """Record the status and determine how the body ends."""
        status = self._parser.get_status_code()
        if not is_possible(status):
            raise httptools.HttpParserCallbackError(f"status {status:03}")
        if self._answer is not None:
            return
        self._status = status
        if self._status not in FINAL_STATUSES:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._until_close = not self._has_length and self._status not in (204, 304)
        if self._head_only:
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        if self._answer is None:
            self._body_bytes += len(body)
            self._body += body

    def on_message_complete(self) -> None:
        """Store the complete answer; skip an interim answer."""
        if self._answer is not None:
            return
        if self._status not in FINAL_STATUSES:
            self._reset_answer()
            return
        self._complete()
