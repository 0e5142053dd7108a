"""The client's side of an HTTP/1.1 connection, one request at a time."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING

import httptools
from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.util.addresses import Address

# a connection that answers no probe is given up after about three seconds
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_PERIOD_S = 1
KEEP_ALIVE_PROBES = 2
# bytes that the other side has not acknowledged for so long end the connection
UNACKNOWLEDGED_LIMIT_MS = 1500


class ExchangeFailure(Enum):
    """Why an exchange ended without an answer."""

    REFUSED = "refused"  # no byte of the request was sent
    CLOSED = "closed"  # the other side closed or reset the connection
    TRUNCATED = "truncated"  # the answer broke off
    MALFORMED = "malformed"  # the bytes are no answer
    CANCELLED = "cancelled"  # this side gave up


@define(eq=False)
class ClientAnswer:
    """A complete answer; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def enable_keep_alive(transport: asyncio.BaseTransport) -> None:
    """Let the system find out when the other side has gone silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_PERIOD_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)


async def open_connection(
    address: Address,
    limit_s: float,
    on_idle: Callable[[ClientConnection], None] = lambda connection: None,
    on_lost: Callable[[ClientConnection], None] = lambda connection: None,
) -> ClientConnection:
    """Connect to an address within ``limit_s`` seconds.

    Raises `OSError`, of which `TimeoutError` is one, when that is not possible.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(limit_s):
        _, connection = await loop.create_connection(
            lambda: ClientConnection(on_idle, on_lost), address.host, address.port
        )
    return connection


class ClientConnection(asyncio.Protocol):
    """Sends requests one after the other and tells each outcome once.

    ``on_idle`` is called when the connection may take the next request, and
    ``on_lost`` when it is gone.
    """

    def __init__(
        self,
        on_idle: Callable[[ClientConnection], None],
        on_lost: Callable[[ClientConnection], None],
    ):
        self.transport: asyncio.Transport | None = None
        self.on_idle = on_idle
        self.on_lost = on_lost
        self.closed = False
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None
        self._done: Callable[[ClientAnswer | ExchangeFailure], None] | None = None
        self._accepts: Callable[[ClientAnswer], bool] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._head_only = False
        self._begun = False
        self._answer: ClientAnswer | None = None
        self._reusable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport (called by the event loop)."""
        self.transport = transport
        enable_keep_alive(transport)

    def send(
        self,
        data: bytes,
        done: Callable[[ClientAnswer | ExchangeFailure], None],
        accepts: Callable[[ClientAnswer], bool] | None = None,
        head_only: bool = False,
    ) -> None:
        """Send a whole request; ``done`` is called once with what became of it.

        An answer that ``accepts`` turns down belongs to an earlier request and is
        skipped; the connection is not used again after it.
        """
        self._done = done
        self._accepts = accepts
        self._head_only = head_only
        self._begun = False
        self._reusable = True
        self._answer = None
        self._reset_answer()
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    def cancel(self) -> None:
        """Give up the request by closing the connection."""
        self._end(ExchangeFailure.CANCELLED)

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            self.closed = True
            if self.transport is not None:
                self.transport.abort()
            self.on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._done is None:
            # bytes that nobody has asked for
            self.close()
            return
        self._begun = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._answer is None:
                self._end(ExchangeFailure.MALFORMED)
                return
            # the answer before the bad bytes is complete
            self._reusable = False
        if self._answer is not None:
            self._finish(self._answer)

    def eof_received(self) -> bool:
        """Take an answer without a length as complete."""
        if self._done is not None and self._until_close and self._status >= 200:
            self._reusable = False
            self._complete()
            if self._answer is not None:
                self._finish(self._answer)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the open request."""
        if not self.closed:
            self.closed = True
            self.on_lost(self)
        self._tell(ExchangeFailure.TRUNCATED if self._begun else ExchangeFailure.CLOSED)
        # it leads back here: without this, a lost connection stays until the
        # collector runs
        self._parser = None

    def _end(self, outcome: ExchangeFailure) -> None:
        self.close()
        self._tell(outcome)

    def _tell(self, outcome: ClientAnswer | ExchangeFailure) -> None:
        done = self._done
        if done is not None:
            self._done = None
            done(outcome)

    def _finish(self, answer: ClientAnswer) -> None:
        self._answer = None
        if not self._reusable:
            self._end(answer)
            return
        done = self._done
        self._done = None
        self.on_idle(self)
        done(answer)

    def _complete(self) -> None:
        answer = ClientAnswer(self._status, self._headers, b"".join(self._body))
        if self._accepts is not None and not self._accepts(answer):
            self._reusable = False
            self._reset_answer()
            return
        self._answer = answer

    def _reset_answer(self) -> None:
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._until_close = False

    # callbacks of the parser

    def on_message_begin(self) -> None:
        """Notice an answer behind the one that was asked for."""
        if self._answer is not None:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if self._answer is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the status and how the body ends."""
        if self._answer is not None:
            return
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        names = [name for name, _ in self._headers]
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._until_close = not framed and self._status not in (204, 304)
        if self._head_only:
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self._answer is None:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Keep the complete answer; an interim one is skipped."""
        if self._answer is not None:
            return
        if self._status < 200:
            self._reset_answer()
            return
        self._complete()
