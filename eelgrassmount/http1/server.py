"""Server side of HTTP/1.1 connections."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools
from attrs import define, field, frozen
from loguru import logger

from eelgrassmount.http1.exchange import Exchange
from eelgrassmount.http1.upgrades import (
    CONNECT,
    feed_without_upgrades,
    write_head_without_offer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

# Open requests on one connection, beyond which reading from it is paused.
MAX_PIPELINED = 64
# Interval of the check for idle and slow connections.
SWEEP_INTERVAL_S = 1.0


@frozen
class ServerLimits:
    """Limits on the size of a request and on slow or idle connections."""

    max_header_bytes: int = 65536
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@define(eq=False, repr=False)
class HttpListener:
    """Accepts connections and passes each complete request to ``handle``.

    While ``stopping`` is set, each connection closes after it has answered its open
    requests. `close_idle` closes the connections without open requests.
    """

    handle: Callable[[Exchange], None]
    clock: Callable[[], float]
    limits: ServerLimits = field(factory=ServerLimits)
    stopping: bool = False
    connections: set[ServerConnection] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; raise `OSError` if it can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024, reuse_address=True
        )

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """Stop accepting connections and abort all open ones."""
        self.stop_listening()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def count_open(self) -> int:
        """Return the number of requests whose answer is not sent completely."""
        return sum(
            len(connection.pending) + connection.is_sending()
            for connection in self.connections
        )

    def close_idle(self) -> None:
        """Close the connections without an open request."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()

    def sweep(self) -> None:
        """Close connections that exceed the idle or header timeout."""
        now_s = self.clock()
        for connection in list(self.connections):
            connection.check_timeouts(now_s)


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one client and sends the answers in the same order."""

    def __init__(self, listener: HttpListener):
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.pending: deque[Exchange] = deque()
        self.last_active_s = listener.clock()
        self.closed = False
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._fields = self._headers
        self._header_bytes = 0
        self._max_header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reading = False
        self._ignoring_input = False
        self._paused = False

    @property
    def stopping(self) -> bool:
        """Whether the connection closes after the answers to its open requests."""
        return self.listener.stopping

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by the event loop)."""
        self.transport = transport
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the open requests of the connection."""
        self.closed = True
        self.listener.connections.discard(self)
        for exchange in self.pending:
            if exchange.on_abandon is not None:
                exchange.on_abandon()
        self.pending.clear()
        # The parser refers to this object. Breaking the cycle frees a closed connection
        # before the next garbage collection.
        self._parser = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._ignoring_input:
            return
        self.last_active_s = self.listener.clock()
        try:
            feed_without_upgrades(data, self._feed, self._decline_upgrade)
        except httptools.HttpParserError as error:
            if not self._ignoring_input:
                logger.info("malformed request", error=str(error))
                self._refuse(400)

    def _feed(self, data: bytes) -> None:
        if not self._ignoring_input:
            self._parser.feed_data(data)

    def _decline_upgrade(self) -> None:
        """Continue the present request without its offer of another protocol."""
        if self._ignoring_input:
            return
        head = write_head_without_offer(self._parser, self._url, self._headers)
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    def is_idle(self) -> bool:
        """Return whether there is no open or incomplete request."""
        return not self.pending and not self._reading

    def is_sending(self) -> bool:
        """Return whether bytes of an answer are not sent yet."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def check_timeouts(self, now_s: float) -> None:
        """Close the connection if it exceeds a timeout."""
        limits = self.listener.limits
        inactive_s = now_s - self.last_active_s
        if self._reading and inactive_s > limits.header_timeout_s:
            self._refuse(408)
        elif self.is_idle() and inactive_s > limits.idle_timeout_s:
            self.close()

    def close(self) -> None:
        """Close the connection after the written bytes are sent."""
        if not self.closed and self.transport is not None:
            self.closed = True
            self.transport.close()

    def flush(self) -> None:
        """Send the answers that are ready, in the order of the requests."""
        pending = self.pending
        while pending and pending[0].answer is not None:
            exchange = pending.popleft()
            if self.closed:
                continue
            # While stopping, only the answer to the last open request closes the
            # connection. An earlier close would drop requests that are being served.
            closing = not exchange.keep_alive or (self.stopping and not pending)
            self.transport.write(exchange.encode_answer(closing))
            self.last_active_s = self.listener.clock()
            if closing:
                self._abandon_pending()
                self.close()
        if self._paused and len(pending) < MAX_PIPELINED:
            self._paused = False
            if not self.closed:
                self.transport.resume_reading()

    def _abandon_pending(self) -> None:
        """Abandon the requests after the one whose answer closes the connection."""
        for exchange in list(self.pending):
            if exchange.on_abandon is not None:
                exchange.on_abandon()
        self.pending.clear()

    def _refuse(self, status: int) -> None:
        self._ignoring_input = True
        exchange = Exchange(
            self, "GET", "", [], b"", False, self.listener.clock(), None
        )
        self.pending.append(exchange)
        exchange.respond(status)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._url = b""
        self._headers = self._fields = []
        self._header_bytes = 0
        self._max_header_bytes = self.listener.limits.max_header_bytes
        self._body = []
        self._body_bytes = 0
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or a trailer."""
        self._fields.append((name.lower(), value))
        size = self._header_bytes + len(name) + len(value) + 4
        self._header_bytes = size
        if size > self._max_header_bytes:
            self._refuse(431)
            raise httptools.HttpParserCallbackError("the headers are too long")

    def on_headers_complete(self) -> None:
        """Keep trailers apart, which are neither read nor forwarded."""
        self._fields = []

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.listener.limits.max_body_bytes:
            self._refuse(413)
            raise httptools.HttpParserCallbackError("the body is too long")

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        parser = self._parser
        if parser.should_upgrade():
            self._end_at_upgrade(parser.get_method())
            return
        self._reading = False
        if self.pending and self.stopping:
            # The answer to an earlier request closes the connection.
            self._ignoring_input = True
        if self._ignoring_input or self.closed:
            return
        keep_alive = parser.should_keep_alive()
        exchange = Exchange(
            self,
            parser.get_method().decode("ascii"),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body) if self._body else b"",
            keep_alive,
            self.last_active_s,
        )
        self._body = []
        self._ignoring_input = not keep_alive
        self.pending.append(exchange)
        if len(self.pending) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        try:
            self.listener.handle(exchange)
        except Exception:
            # The client gets an answer even if the handler fails.
            logger.exception("request handler failed")
            exchange.respond(500)

    def _end_at_upgrade(self, method: bytes) -> None:
        """Refuse a tunnel; the rest of any other request is still to be parsed."""
        if method == CONNECT:
            logger.info("tunnel refused", target=self._url.decode("latin-1"))
            self._refuse(400)
