"""HTTP listeners of the stand-ins, which can drop connections."""

from __future__ import annotations

import contextlib
import json
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import anyio
import uvicorn
from attrs import define, field, frozen
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    from collections.abc import Iterator

_KEEP_ALIVE_S = 3600
_BACKLOG = 2048


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``; raise ``ValueError`` for a malformed address."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {address!r} must be ip:port")
    return host, int(port)


@define
class Request:
    """One HTTP request; its body has not been read yet."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    client: str
    listener: Listener = field(repr=False)
    scope: dict[str, Any] = field(repr=False)
    receive: Callable[[], Awaitable[dict[str, Any]]] = field(repr=False)

    async def read(self) -> bytes:
        """Return the whole body."""
        chunks = []
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise ConnectionResetError("the client closed the connection")
            chunks.append(message.get("body", b""))
            if not message.get("more_body", False):
                return b"".join(chunks)

    async def read_json(self) -> Any:
        """Return the parsed JSON body; an empty body counts as an empty object."""
        return json.loads(await self.read() or b"{}")

    async def wait_disconnect(self) -> None:
        """Wait until the client closes the connection; read the body before."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


@frozen
class Response:
    """One HTTP answer.

    With ``cut_after``, the connection is closed after that many bytes of the body;
    with ``repeat``, the answer is sent twice.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(factory=dict)
    cut_after: int | None = None
    repeat: bool = False

    @classmethod
    def from_json(cls, value: object, status: int = 200) -> Response:
        """Make an answer whose body is ``value`` as JSON."""
        body = json.dumps(value).encode()
        return cls(status, body, {"content-type": "application/json"})

    def encode(self) -> bytes:
        """Return the encoded answer, for a second copy on the connection."""
        lines = [f"HTTP/1.1 {self.status} Repeated"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines += [f"content-length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode() + self.body


Handler = Callable[[Request], Awaitable[Response | None]]


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        # Signals are handled once per process, by serve_until_signal.
        yield


class Listener:
    """One HTTP listener; a handler that returns ``None`` drops the connection.

    While ``refusing`` is set, each new connection is reset at once.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        host, port = split_address(address)
        self.refusing = False
        self._handler = handler
        config = uvicorn.Config(
            self._answer,
            host=host,
            port=port,
            http=_make_protocol(self),
            loop="asyncio",
            log_config=None,
            access_log=False,
            lifespan="off",
            ws="none",
            interface="asgi3",
            timeout_keep_alive=_KEEP_ALIVE_S,
            backlog=_BACKLOG,
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
        self._server = _Server(config)

    async def serve(self) -> None:
        """Serve until cancelled."""
        await self._server.serve()

    def drop_all(self) -> None:
        """Reset every open connection."""
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()

    async def _answer(self, scope: Any, receive: Any, send: Any) -> None:
        request = Request(
            scope["method"],
            scope["path"],
            dict(parse_qsl(scope["query_string"].decode("latin-1"))),
            {k.decode("latin-1"): v.decode("latin-1") for k, v in scope["headers"]},
            scope["client"][0],
            self,
            scope,
            receive,
        )
        try:
            response = await self._handler(request)
        except ConnectionResetError:
            response = None
        except (ValueError, KeyError, TypeError) as error:
            response = Response.from_json({"error": repr(error)}, 400)
        # The client may have disconnected in the meantime.
        with contextlib.suppress(ConnectionResetError):
            if response is None:
                self._find_transport(scope).abort()
            else:
                await self._send(scope, send, response)

    async def _send(self, scope: Any, send: Any, response: Response) -> None:
        headers = [(k.encode(), v.encode()) for k, v in response.headers.items()]
        headers.append((b"content-length", str(len(response.body)).encode()))
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        if response.cut_after is not None:
            part = response.body[: response.cut_after]
            await send({"type": "http.response.body", "body": part, "more_body": True})
            self._find_transport(scope).close()
            return
        await send({"type": "http.response.body", "body": response.body})
        if response.repeat:
            self._find_transport(scope).write(response.encode())

    def _find_transport(self, scope: Any) -> Any:
        for connection in self._server.server_state.connections:
            if connection.client == tuple(scope["client"]):
                return connection.transport
        raise ConnectionResetError("the client closed the connection")


def _make_protocol(listener: Listener) -> type[HttpToolsProtocol]:
    class Protocol(HttpToolsProtocol):
        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            if listener.refusing:
                transport.abort()

    return Protocol


async def wait_for_signal() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def serve_until_signal(*parts: Callable[[], Awaitable[None]]) -> None:
    """Run the parts side by side until SIGTERM or SIGINT, then cancel them."""
    async with anyio.create_task_group() as group:
        for part in parts:
            group.start_soon(part)
        await wait_for_signal()
        group.cancel_scope.cancel()
