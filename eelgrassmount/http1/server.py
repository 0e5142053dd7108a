"""The server's side of an HTTP/1.1 connection."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools
from attrs import define, field, frozen
from loguru import logger

from eelgrassmount.http1.exchange import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable

# answers kept in order for one client; beyond it the connection is not read on
MAX_PIPELINED = 64
# how often the connections are looked through for those that take too long
SWEEP_INTERVAL_S = 1.0


@frozen
class ServerLimits:
    """What a client may send, and how many seconds it may take or stay idle."""

    max_header_bytes: int = 65536
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@define(eq=False)
class HttpListener:
    """Takes connections and hands each complete request to ``handle``.

    ``stopping`` makes each connection close behind the answers to what it has read;
    connections without an open request are closed by `close_idle`.
    """

    handle: Callable[[Exchange], None]
    clock: Callable[[], float]
    limits: ServerLimits = field(factory=ServerLimits)
    stopping: bool = False
    connections: set[ServerConnection] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Bind the address, raising `OSError` when that is not possible."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024, reuse_address=True
        )

    def stop_listening(self) -> None:
        """Take no more connections."""
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """Take nothing more and drop all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def count_open(self) -> int:
        """Return how many requests have no answer yet, or not all of it."""
        return sum(
            len(connection.pending) + connection.is_sending()
            for connection in self.connections
        )

    def close_idle(self) -> None:
        """Close the connections that have no open request."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()

    def sweep(self) -> None:
        """Close connections that are idle or slow beyond the limits."""
        now_s = self.clock()
        for connection in list(self.connections):
            connection.check_age(now_s)


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one client and sends the answers in their order."""

    def __init__(self, listener: HttpListener):
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.pending: deque[Exchange] = deque()
        self.last_s = listener.clock()
        self.closed = False
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reading = False
        self._last_taken = False
        self._paused = False

    @property
    def stopping(self) -> bool:
        """Tell whether the connection closes behind the answers that are open."""
        return self.listener.stopping

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport (called by the event loop)."""
        self.transport = transport
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the open requests that nobody waits for them any more."""
        self.closed = True
        self.listener.connections.discard(self)
        for exchange in self.pending:
            if exchange.on_abandon is not None:
                exchange.on_abandon()
        self.pending.clear()
        # it leads back here: without this, what a connection holds stays until the
        # collector runs
        self._parser = None

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._last_taken:
            return
        self.last_s = self.listener.clock()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            if not self._last_taken:
                logger.info("malformed request", error=str(error))
                self._refuse(400)

    def is_idle(self) -> bool:
        """Tell whether no request is open or half read."""
        return not self.pending and not self._reading

    def is_sending(self) -> bool:
        """Tell whether bytes of an answer wait for the client to read."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def check_age(self, now_s: float) -> None:
        """Close the connection when its client takes too long."""
        limits = self.listener.limits
        age_s = now_s - self.last_s
        if self._reading and age_s > limits.header_timeout_s:
            self._refuse(408)
        elif self.is_idle() and age_s > limits.idle_timeout_s:
            self.close()

    def close(self) -> None:
        """Close the connection behind what has been written."""
        if not self.closed and self.transport is not None:
            self.closed = True
            self.transport.close()

    def flush(self) -> None:
        """Send the answers that are ready and next in order."""
        pending = self.pending
        while pending and pending[0].answer is not None:
            exchange = pending.popleft()
            if self.closed:
                continue
            # what was read is answered, also behind the first answer of the end: of two
            # requests on a connection, one was dropped with its server at work
            closing = not exchange.keep_alive or (self.stopping and not pending)
            self.transport.write(exchange.write_answer(closing))
            self.last_s = self.listener.clock()
            if closing:
                self._drop_behind()
                self.close()
        if self._paused and len(pending) < MAX_PIPELINED:
            self._paused = False
            if not self.closed:
                self.transport.resume_reading()

    def _drop_behind(self) -> None:
        """Abandon requests behind an answer that closes; they count as not read."""
        for exchange in list(self.pending):
            if exchange.on_abandon is not None:
                exchange.on_abandon()
        self.pending.clear()

    def _refuse(self, status: int) -> None:
        self._last_taken = True
        exchange = Exchange(
            self, "GET", "", [], b"", False, self.listener.clock(), None
        )
        self.pending.append(exchange)
        exchange.respond(status)

    # callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self.listener.limits.max_header_bytes:
            self._refuse(431)
            raise httptools.HttpParserCallbackError("the headers are too long")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.listener.limits.max_body_bytes:
            self._refuse(413)
            raise httptools.HttpParserCallbackError("the body is too long")

    def on_message_complete(self) -> None:
        """Hand the complete request on."""
        self._reading = False
        if self.stopping and self.pending:
            # the answers of those before close the connection: it counts as not read
            self._last_taken = True
        if self._last_taken or self.closed:
            return
        parser = self._parser
        keep_alive = parser.should_keep_alive()
        exchange = Exchange(
            self,
            parser.get_method().decode("ascii"),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            keep_alive,
            self.last_s,
        )
        self._body = []
        self._last_taken = not keep_alive
        self.pending.append(exchange)
        if len(self.pending) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        try:
            self.listener.handle(exchange)
        except Exception:
            # whatever went wrong, the client gets an answer that promises nothing
            logger.exception("request handler failed")
            exchange.respond(500)
