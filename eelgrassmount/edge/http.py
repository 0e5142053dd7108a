"""HTTP listeners based on uvicorn."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn
from attrs import frozen

from eelgrassmount.edge import headers as names
from eelgrassmount.edge.headers import find_header
from eelgrassmount.edge.protocol import ON_DISCONNECT, make_protocol
from eelgrassmount.errors import BodyTooLongError, BodyTooSlowError, ListenError
from eelgrassmount.verdict import Header

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Iterator

    from eelgrassmount.util.addresses import Address
    from eelgrassmount.util.background import Background

Receive = "Callable[[], Awaitable[Any]]"
Send = "Callable[[Any], Awaitable[None]]"
KEEP_ALIVE_TIMEOUT_S = 60
BACKLOG = 2048
BODY_TIMEOUT_S = 30.0
# Time to discard the rest of a rejected body before the connection is closed.
LINGER_TIMEOUT_S = 1.0
_START_POLL_INTERVAL_S = 0.005


@frozen
class HttpRequest:
    """An HTTP request as received; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: tuple[Header, ...]
    body: bytes

    @property
    def target(self) -> str:
        """Return the path with its query."""
        return f"{self.path}?{self.query}" if self.query else self.path


@frozen
class HttpReply:
    """An HTTP answer."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class HttpServer(uvicorn.Server):
    """A uvicorn server that does not handle signals and is stopped by `stop`."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stop_requested = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Handle no signals, since one process runs several servers."""
        yield

    async def main_loop(self) -> None:
        """Wait for `stop`, without the periodic polling of uvicorn."""
        await self.stop_requested.wait()

    def stop(self) -> None:
        """Stop accepting connections and close each open one after its answer."""
        self.should_exit = True
        self.stop_requested.set()


async def serve_http(
    app: Any,
    address: Address,
    group: Background,
    record_malformed: Callable[[], None] = lambda: None,
) -> HttpServer:
    """Start a listener in the task group and return when it listens.

    ``record_malformed`` is called for each request that can't be parsed. Raises
    `ListenError` if the address can't be bound.
    """
    listening = _bind_socket(address)
    config = uvicorn.Config(
        app,
        http=make_protocol(record_malformed),
        log_config=None,
        access_log=False,
        lifespan="off",
        interface="asgi3",
        ws="none",
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        backlog=BACKLOG,
        server_header=False,
        date_header=False,
        proxy_headers=False,
    )
    server = HttpServer(config)
    group.start_soon(server.serve, [listening])
    while not server.started:
        await anyio.sleep(_START_POLL_INTERVAL_S)
    return server


def _bind_socket(address: Address) -> socket.socket:
    # asyncio sets TCP_NODELAY only on sockets that were created for TCP explicitly.
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((address.host, address.port))
    except OSError as error:
        listening.close()
        raise ListenError(str(address), error.strerror or str(error)) from error
    return listening


async def read_request(
    scope: Any, receive: Receive, max_body_bytes: int
) -> HttpRequest | None:
    """Return a complete request, or ``None`` if its sender disconnected.

    Raises `BodyTooLongError` as soon as the body is known to exceed
    ``max_body_bytes``, and `BodyTooSlowError` after ``BODY_TIMEOUT_S``.
    """
    headers = tuple(
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    # The parser has checked that the value is a number.
    if int(find_header(headers, names.CONTENT_LENGTH) or 0) > max_body_bytes:
        raise BodyTooLongError
    event = await receive()
    if event["type"] == "http.disconnect":
        return None
    body = event.get("body", b"")
    if event.get("more_body", False):
        with anyio.move_on_after(BODY_TIMEOUT_S) as timeout:
            body = await _read_rest(body, receive, max_body_bytes)
        if timeout.cancelled_caught:
            raise BodyTooSlowError
    if body is None:
        return None
    return HttpRequest(
        method=scope["method"],
        path=scope["raw_path"].decode("latin-1"),
        query=scope["query_string"].decode("latin-1"),
        headers=headers,
        body=body,
    )


async def _read_rest(
    first: bytes, receive: Receive, max_body_bytes: int
) -> bytes | None:
    parts = [first]
    length = len(first)
    more = True
    while more:
        if length > max_body_bytes:
            raise BodyTooLongError
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        part = event.get("body", b"")
        parts.append(part)
        length += len(part)
        more = event.get("more_body", False)
    if length > max_body_bytes:
        raise BodyTooLongError
    return b"".join(parts)


async def send_reply(send: Send, reply: HttpReply) -> None:
    """Send a complete answer."""
    headers = [*_encode_headers(reply.headers), _encode_length(reply.body)]
    await send(
        {"type": "http.response.start", "status": reply.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": reply.body})


def _encode_headers(headers: Iterable[Header]) -> list[tuple[bytes, bytes]]:
    return [
        (header.name.encode("latin-1"), header.value.encode("latin-1"))
        for header in headers
    ]


def _encode_length(body: bytes) -> tuple[bytes, bytes]:
    return names.CONTENT_LENGTH.encode(), str(len(body)).encode()


async def reject_body(receive: Receive, send: Send, reply: HttpReply) -> None:
    """Answer a request without reading its body, then close the connection.

    A caller that is still sending could lose the answer if the connection closed
    immediately, so further bytes are discarded for ``LINGER_TIMEOUT_S``.
    """
    headers = [
        *_encode_headers(reply.headers),
        _encode_length(reply.body),
        (b"connection", b"close"),
    ]
    await send(
        {"type": "http.response.start", "status": reply.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": reply.body, "more_body": True})
    with anyio.move_on_after(LINGER_TIMEOUT_S):
        while (await receive()).get("more_body", False):
            continue
    await send({"type": "http.response.body", "body": b""})


async def run_until_disconnect(
    scope: Any, work: Callable[[], Awaitable[Any]]
) -> Any | None:
    """Run ``work`` and return its result, or ``None`` if the sender disconnects first.

    A disconnect cancels ``work``.
    """
    with anyio.CancelScope() as cancel_scope:
        scope[ON_DISCONNECT](cancel_scope.cancel)
        return await work()
    return None
