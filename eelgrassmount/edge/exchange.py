"""One HTTP exchange with a backend server on a connection of its own."""

from __future__ import annotations

import asyncio
import select
from dataclasses import dataclass

import anyio
import httptools
from attrs import define, field

from eelgrassmount.edge import headers as names
from eelgrassmount.edge.headers import (
    FINAL_STATUSES,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    find_header,
)
from eelgrassmount.metrics import DropReason
from eelgrassmount.verdict import Header

# with the names and values that the limits of headers allow, and more
_MAX_HEAD_BYTES = 4 * MAX_HEADER_BYTES
_EVENTS = select.POLLIN | select.POLLRDHUP
_NO_BODY_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """A whole answer as it came; header names are in lower case.

    ``extra`` tells that more came behind it, which belongs to no call.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    keep_alive: bool
    extra: bool


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The connection ended before the first byte of an answer."""


@dataclass(frozen=True, slots=True)
class BadAnswer:
    """What came is not one whole answer."""

    reason: DropReason


ExchangeResult = RawAnswer | NoAnswer | BadAnswer


@define(eq=False)
class _Collector:
    """Collects one answer from the parser's callbacks."""

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
        """Note the first thing that is wrong with the answer."""
        self.fault = self.fault or reason

    def on_message_begin(self) -> None:
        """Note bytes that follow a whole answer."""
        self.extra = self.done

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
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
        """Check that the end of the answer can be told."""
        status = self.parser.get_status_code()
        if self.done or status < FINAL_STATUSES.start:
            return
        self.status = status
        self.keep_alive = self.parser.should_keep_alive()
        if status not in FINAL_STATUSES:
            self.fail(DropReason.MALFORMED)
        elif self.method == "HEAD":
            # its length is that of the body which it does not have
            self.done = True
        elif status not in _NO_BODY_STATUSES and not self._has_length():
            # an answer that ends with its connection may be a truncated one
            self.fail(DropReason.TRUNCATED)

    def _has_length(self) -> bool:
        return any(
            header.name in (names.CONTENT_LENGTH, "transfer-encoding")
            for header in self.headers
        )

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        if self.done:
            return
        self._body_bytes += len(part)
        if self._body_bytes > self.max_body_bytes:
            self.fail(DropReason.OVER_LONG)
            return
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """Note the end of the answer, or of an informational one before it."""
        if self.status:
            self.done = True
            return
        self.headers.clear()

    def feed(self, data: bytes) -> None:
        """Parse what came; ``done`` or ``fault`` tell the rest."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.done:
                self.extra = True
                return
            self.fail(DropReason.MALFORMED)

    def make_answer(self) -> RawAnswer:
        """Return the whole answer."""
        body = b"".join(self._parts)
        headers = tuple(self.headers)
        return RawAnswer(self.status, headers, body, self.keep_alive, self.extra)


class Connection(asyncio.Protocol):
    """A connection to a backend server, used by one call at a time.

    It is a protocol and no stream, because a stream may have taken bytes that
    nobody has read, and these would then belong to the next call's answer.
    ``used_s`` is when it was last given back, in monotonic seconds. ``process``
    is how the process at the other end names itself, as far as known, ``unasked``
    tells that something came while no call was waiting.
    """

    def __init__(self) -> None:
        self.used_s = 0.0
        self.process = ""
        self.unasked = False
        self._lost = False
        self._poll = select.poll()
        self._received_bytes = 0
        self._collector: _Collector | None = None
        self._result: asyncio.Future[ExchangeResult] | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport of a new connection."""
        self._transport = transport
        self._poll.register(transport.get_extra_info("socket").fileno(), _EVENTS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call that waits: nothing more will come."""
        self._lost = True
        if self._received_bytes:
            self._end(BadAnswer(DropReason.TRUNCATED))
        else:
            self._end(NoAnswer())

    def data_received(self, data: bytes) -> None:
        """Take a part of the answer that a call waits for."""
        collector = self._collector
        if collector is None or self._result.done():
            self.unasked = True
            self._transport.abort()
            return
        self._received_bytes += len(data)
        collector.feed(data)
        if not collector.status and self._received_bytes > _MAX_HEAD_BYTES:
            collector.fail(DropReason.OVER_LONG)
        if collector.fault is not None:
            self._end(BadAnswer(collector.fault))
        elif collector.done:
            self._end(collector.make_answer())

    def _end(self, result: ExchangeResult) -> None:
        if self._result is not None and not self._result.done():
            self._result.set_result(result)

    def is_quiet(self) -> bool:
        """Tell whether nothing came since the last answer, not even its end."""
        if self._lost or self.unasked:
            return False
        # what the loop has not come to read yet
        events = [event for _, event in self._poll.poll(0)]
        self.unasked = select.POLLIN in events
        return not events

    async def exchange(
        self, method: str, data: bytes, max_body_bytes: int
    ) -> ExchangeResult:
        """Send a whole request and return what came of it."""
        if self._lost:
            return NoAnswer()
        self._received_bytes = 0
        self._collector = _Collector(method, max_body_bytes)
        self._result = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            result = await self._result
        finally:
            self._collector = None
            self._result = None
        if isinstance(result, RawAnswer):
            self.process = find_header(result.headers, names.SERVER) or self.process
        return result

    def is_sent(self) -> bool:
        """Tell whether the server has been handed the whole request."""
        return self._transport.get_write_buffer_size() == 0

    def close(self) -> None:
        """Close the connection at once; a call that waits on it ends."""
        self._transport.abort()


async def connect(host: str, port: int, limit_s: float) -> Connection | None:
    """Return a new connection, ``None`` when there is none within ``limit_s``."""
    loop = asyncio.get_running_loop()
    with anyio.move_on_after(limit_s):
        try:
            _, connection = await loop.create_connection(Connection, host, port)
        except OSError:
            return None
        return connection
    return None
