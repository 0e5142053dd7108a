"""A request on a server connection, and its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.server import ServerConnection

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@frozen(eq=False)
class Answer:
    """An answer that is not sent yet; ``head`` has complete header lines."""

    status: int
    head: bytes
    body: bytes


@define(eq=False, repr=False)
class Exchange:
    """One request on a connection, and its answer.

    ``headers`` are pairs of lower-case name and value; they may contain secrets.
    ``on_abandon`` is called if the connection closes before the answer.
    """

    connection: ServerConnection
    method: str
    target: str
    headers: list[tuple[bytes, bytes]] = field(repr=False)
    body: bytes = field(repr=False)
    keep_alive: bool
    arrived_s: float
    on_abandon: Callable[[], None] | None = None
    answer: Answer | None = None

    def get_peer_ip(self) -> str:
        """Return the IP address of the client, empty if it has disconnected."""
        transport = self.connection.transport
        peer = None if transport is None else transport.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    def respond(self, status: int, head: bytes = b"", body: bytes = b"") -> None:
        """Set the answer unless there is one; ``head`` has complete header lines."""
        if self.answer is not None:
            return
        self.on_abandon = None
        self.answer = Answer(status, head, body)
        self.connection.flush()

    def encode_answer(self, closing: bool) -> bytes:
        """Return the answer as bytes; ``closing`` marks the last of a connection."""
        answer = self.answer
        # The length of the body is unknown for an answer to HEAD without one.
        is_unknown = self.method == "HEAD" and not answer.body
        length = b"" if is_unknown else b"content-length: %d\r\n" % len(answer.body)
        return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n%s" % (
            answer.status,
            REASONS.get(answer.status, b"-"),
            answer.head,
            length,
            b"connection: close\r\n" if closing else b"",
            b"" if self.method == "HEAD" else answer.body,
        )
