"""HTTP exchanges with a backend server, one at a time on a connection."""

from __future__ import annotations

import asyncio
import select
from dataclasses import dataclass

import anyio
import httptools
from attrs import define, field

from eelgrassmount.edge import headers as names
from eelgrassmount.edge.headers import (
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    find_header,
)
from eelgrassmount.http1.statuses import FINAL_STATUSES, is_possible
from eelgrassmount.metrics import DropReason
from eelgrassmount.verdict import Header

# Leaves room for the status line and separators beside the largest allowed headers.
_MAX_HEAD_BYTES = 4 * MAX_HEADER_BYTES
_EVENTS = select.POLLIN | select.POLLRDHUP
_NO_BODY_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """A complete answer as received; header names are in lower case.

    ``extra`` is set if more bytes followed it, which belong to no call.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    keep_alive: bool
    extra: bool


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The connection closed before the first byte of an answer."""


@dataclass(frozen=True, slots=True)
class BadAnswer:
    """The received bytes are not one complete answer."""

    reason: DropReason


ExchangeResult = RawAnswer | NoAnswer | BadAnswer


@define(eq=False)
class _AnswerParser:
    """Assembles one answer from the callbacks of the HTTP parser."""

    method: str
    max_body_bytes: int
    status: int = 0
    done: bool = False
    keep_alive: bool = False
    extra: bool = False
    fault: DropReason | None = None
    headers: list[Header] = field(factory=list)
    _header_bytes: int = 0
    _body_bytes: int = 0
    _parts: list[bytes] = field(factory=list)
    parser: httptools.HttpResponseParser = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)

    def fail(self, reason: DropReason) -> None:
        """Record the first fault of the answer."""
        self.fault = self.fault or reason

    def on_message_begin(self) -> None:
        """Record that another message follows the answer."""
        self.extra = self.done

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if self.done:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES or len(self.headers) >= MAX_HEADERS:
            self.fail(DropReason.OVER_LONG)
            return
        name_text = name.decode("latin-1").lower()
        value_text = value.decode("latin-1").rstrip(" \t")
        self.headers.append(Header(name_text, value_text))

    def on_headers_complete(self) -> None:
        """Check the status and that the end of the answer can be detected."""
        status = self.parser.get_status_code()
        if self.done:
            return
        if not is_possible(status):
            self.fail(DropReason.MALFORMED)
            return
        if status not in FINAL_STATUSES:
            return
        self.status = status
        self.keep_alive = self.parser.should_keep_alive()
        if self.method == "HEAD":
            # The answer has no body, although it may have a Content-Length.
            self.done = True
        elif status not in _NO_BODY_STATUSES and not self._has_length():
            # An answer that ends with its connection may be truncated.
            self.fail(DropReason.TRUNCATED)

    def _has_length(self) -> bool:
        return any(
            header.name in (names.CONTENT_LENGTH, "transfer-encoding")
            for header in self.headers
        )

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        if self.done:
            return
        self._body_bytes += len(part)
        if self._body_bytes > self.max_body_bytes:
            self.fail(DropReason.OVER_LONG)
            return
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """Record the end of the answer, or skip an informational answer before it."""
        if self.status:
            self.done = True
            return
        self.headers.clear()

    def feed(self, data: bytes) -> None:
        """Parse received bytes and set ``done`` or ``fault``."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.done:
                self.extra = True
                return
            self.fail(DropReason.MALFORMED)

    def make_answer(self) -> RawAnswer:
        """Return the complete answer."""
        body = b"".join(self._parts)
        headers = tuple(self.headers)
        return RawAnswer(self.status, headers, body, self.keep_alive, self.extra)


class Connection(asyncio.Protocol):
    """A connection to a backend server, used by one call at a time.

    A stream could buffer unread bytes, which would become part of the next answer, so
    this is a protocol. ``released_s`` is when the last call ended, in monotonic
    seconds. ``process`` is the name of the server's process, empty if unknown.
    ``unsolicited`` is set if bytes arrived while no call was waiting.
    """

    def __init__(self) -> None:
        self.released_s = 0.0
        self.process = ""
        self.unsolicited = False
        self._lost = False
        self._poll = select.poll()
        self._received_bytes = 0
        self._answer_parser: _AnswerParser | None = None
        self._result: asyncio.Future[ExchangeResult] | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of a new connection."""
        self._transport = transport
        self._poll.register(transport.get_extra_info("socket").fileno(), _EVENTS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the waiting call without a complete answer."""
        self._lost = True
        if self._received_bytes:
            self._complete(BadAnswer(DropReason.TRUNCATED))
        else:
            self._complete(NoAnswer())

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer to the waiting call."""
        answer_parser = self._answer_parser
        if answer_parser is None or self._result.done():
            self.unsolicited = True
            self._transport.abort()
            return
        self._received_bytes += len(data)
        answer_parser.feed(data)
        if not answer_parser.status and self._received_bytes > _MAX_HEAD_BYTES:
            answer_parser.fail(DropReason.OVER_LONG)
        if answer_parser.fault is not None:
            self._complete(BadAnswer(answer_parser.fault))
        elif answer_parser.done:
            self._complete(answer_parser.make_answer())

    def _complete(self, result: ExchangeResult) -> None:
        if self._result is not None and not self._result.done():
            self._result.set_result(result)

    def is_reusable(self) -> bool:
        """Return whether nothing arrived since the last answer, including a close."""
        if self._lost or self.unsolicited:
            return False
        # The event loop may not have read the latest bytes yet.
        events = [event for _, event in self._poll.poll(0)]
        self.unsolicited = select.POLLIN in events
        return not events

    async def exchange(
        self, method: str, data: bytes, max_body_bytes: int
    ) -> ExchangeResult:
        """Send a complete request and return the result."""
        if self._lost:
            return NoAnswer()
        self._received_bytes = 0
        self._answer_parser = _AnswerParser(method, max_body_bytes)
        self._result = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            result = await self._result
        finally:
            self._answer_parser = None
            self._result = None
        if isinstance(result, RawAnswer):
            self.process = find_header(result.headers, names.SERVER) or self.process
        return result

    def is_request_sent(self) -> bool:
        """Return whether the whole request has been passed to the operating system."""
        return self._transport.get_write_buffer_size() == 0

    def close(self) -> None:
        """Close the connection immediately, which ends a waiting call."""
        self._transport.abort()


async def connect(host: str, port: int, timeout_s: float) -> Connection | None:
    """Return a new connection, or ``None`` if it fails or takes too long."""
    loop = asyncio.get_running_loop()
    with anyio.move_on_after(timeout_s):
        try:
            _, connection = await loop.create_connection(Connection, host, port)
        except OSError:
            return None
        return connection
    return None
