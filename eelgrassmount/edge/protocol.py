"""HTTP protocol of the listeners, with limits on the head of a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from eelgrassmount.edge import headers as names
from eelgrassmount.edge.headers import (
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    make_verdict_headers,
)
from eelgrassmount.http1.upgrades import (
    CONNECT,
    feed_without_upgrades,
    write_head_without_offer,
)
from eelgrassmount.verdict import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

# Maximum time for the first request's head, and for the rest of any incomplete head.
HEAD_TIMEOUT_S = 10.0
# Key of the ASGI scope for the function that registers a disconnect callback.
ON_DISCONNECT = "eelgrassmount.gone"
_TOO_LONG = "the head of the request is too long"
_NO_TUNNELS = "the method CONNECT is not supported"
_MALFORMED = "invalid HTTP request"


class BoundedProtocol(HttpToolsProtocol):
    """Refuses heads that are too long or too slow, and reports disconnects.

    The scope of each request has a function under ``ON_DISCONNECT``. It registers a
    callback for the loss of the connection.
    """

    record_malformed: Callable[[], None] = staticmethod(lambda: None)
    _in_head = True
    _head_bytes = 0
    _timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timer for the first request."""
        super().connection_made(transport)
        self._disconnect_callbacks: list[Callable[[], Any]] = []
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the requests that their caller disconnected."""
        super().connection_lost(exc)
        self._stop_timer()
        for callback in self._disconnect_callbacks:
            callback()
        self._disconnect_callbacks.clear()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request, unless its head is too long."""
        if self._in_head:
            # The parser does not report an incomplete header.
            self._head_bytes += len(data)
            if self._head_bytes > 2 * MAX_HEADER_BYTES + len(data):
                self.send_400_response(_TOO_LONG)
                return
        self._unset_keepalive_if_required()
        try:
            feed_without_upgrades(data, self._feed, self._decline_upgrade)
        except httptools.HttpParserError:
            self.send_400_response(_MALFORMED)
        if self._in_head and self._head_bytes and self._timer is None:
            self._start_timer()

    def _feed(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def _decline_upgrade(self) -> None:
        """Continue the present request without its offer of another protocol."""
        head = write_head_without_offer(self.parser, self.url, self.headers)
        self.parser = httptools.HttpRequestParser(self)
        self.parser.feed_data(head)

    def on_message_begin(self) -> None:
        """Start the head of a request."""
        super().on_message_begin()
        self._in_head = True
        self._header_bytes = 0
        self.scope[ON_DISCONNECT] = self._disconnect_callbacks.append

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        super().on_url(url)
        self._check_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are neither read nor forwarded."""
        if self._in_head:
            super().on_header(name, value)
        self._check_head(len(name) + len(value))

    def _check_head(self, length: int) -> None:
        self._header_bytes += length
        if self._header_bytes > MAX_HEADER_BYTES or len(self.headers) > MAX_HEADERS:
            raise ValueError(_TOO_LONG)

    def on_headers_complete(self) -> None:
        """Pass the request to the application, unless it offers an upgrade."""
        if self.parser.get_method() == CONNECT:
            raise ValueError(_NO_TUNNELS)
        if self.parser.should_upgrade():
            # It is parsed once more without the offer.
            return
        self._in_head = False
        self._head_bytes = 0
        self._stop_timer()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End the body of a request, unless it offers an upgrade."""
        if not self.parser.should_upgrade():
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Remove the disconnect callbacks of the answered request."""
        self._disconnect_callbacks.clear()
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse and count a malformed request and close the connection."""
        self.record_malformed()
        if self.transport.is_closing():
            return
        headers = make_verdict_headers(NotRun(Reason.MALFORMED))
        lines = [
            "HTTP/1.1 400 Bad Request",
            *(f"{header.name}: {header.value}" for header in headers),
            f"{names.CONTENT_LENGTH}: {len(msg) + 1}",
            "connection: close",
        ]
        head = "\r\n".join(lines)
        self.transport.write(f"{head}\r\n\r\n{msg}\n".encode())
        self.transport.close()

    def _start_timer(self) -> None:
        self._timer = self.loop.call_later(HEAD_TIMEOUT_S, self._refuse_slow)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _refuse_slow(self) -> None:
        self._timer = None
        if self.transport.is_closing():
            return
        if self._head_bytes:
            self.send_400_response("the head of the request came too slowly")
        else:
            self.transport.close()


def make_protocol(record_malformed: Callable[[], None]) -> type[BoundedProtocol]:
    """Return a protocol class that calls ``record_malformed`` on malformed requests."""

    class Protocol(BoundedProtocol):
        pass

    Protocol.record_malformed = staticmethod(record_malformed)
    return Protocol
