"""HTTP listeners by uvicorn."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn
from attrs import frozen

from eelgrassmount.edge import headers as names
from eelgrassmount.errors import ListenError
from eelgrassmount.verdict import Header

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Iterator

    from eelgrassmount.util.addresses import Address
    from eelgrassmount.util.background import Background

Receive = "Callable[[], Awaitable[Any]]"
Send = "Callable[[Any], Awaitable[None]]"
KEEP_ALIVE_S = 60
BACKLOG = 2048
_START_POLL_S = 0.005


@frozen
class HttpRequest:
    """One request as it came over HTTP; header names are in lower case."""

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
    """One answer over HTTP."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class HttpServer(uvicorn.Server):
    """A server that leaves signals to the composition root."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ending = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Take no signal: one process has several of these servers."""
        yield

    async def main_loop(self) -> None:
        """Wait to be told to end, instead of looking ten times a second."""
        await self.ending.wait()

    def end(self) -> None:
        """Take no more connections, and end each one after its answer."""
        self.should_exit = True
        self.ending.set()


class BodyTooLong(Exception):
    """The body of a request is longer than allowed."""


async def serve_http(app: Any, address: Address, group: Background) -> HttpServer:
    """Start a listener in the task group and return when it listens.

    Raises `ListenError` when the address can't be bound.
    """
    listening = _bind_socket(address)
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan="off",
        interface="asgi3",
        ws="none",
        timeout_keep_alive=KEEP_ALIVE_S,
        backlog=BACKLOG,
        server_header=False,
        date_header=False,
        proxy_headers=False,
    )
    server = HttpServer(config)
    group.start_soon(server.serve, [listening])
    while not server.started:
        await anyio.sleep(_START_POLL_S)
    return server


def _bind_socket(address: Address) -> socket.socket:
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
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
    """Return a whole request, ``None`` when its sender has gone.

    Raises `BodyTooLong` as soon as the body passes ``max_body_bytes``.
    """
    parts = []
    length = 0
    more = True
    while more:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        part = event.get("body", b"")
        parts.append(part)
        length += len(part)
        if length > max_body_bytes:
            raise BodyTooLong
        more = event.get("more_body", False)
    return HttpRequest(
        method=scope["method"],
        path=scope["raw_path"].decode("latin-1"),
        query=scope["query_string"].decode("latin-1"),
        headers=tuple(
            Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ),
        body=b"".join(parts),
    )


async def send_reply(send: Send, reply: HttpReply) -> None:
    """Send a whole answer."""
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


async def run_until_gone(
    receive: Receive, work: Callable[[], Awaitable[Any]]
) -> Any | None:
    """Run ``work`` and return its result; cancel it when the sender goes.

    Returns ``None`` when the sender has gone first.
    """
    result = None
    async with anyio.create_task_group() as group:

        async def watch() -> None:
            while (await receive())["type"] != "http.disconnect":
                continue
            group.cancel_scope.cancel()

        group.start_soon(watch)
        result = await work()
        group.cancel_scope.cancel()
    return result
