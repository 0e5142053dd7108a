"""A backend server that sends exactly the bytes chosen by a test."""

from __future__ import annotations

import base64
import hashlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
from attrs import define, field

from eelgrassmount.calls.request import Call, Request
from eelgrassmount.context import Context, Tier
from eelgrassmount.verdict import Header

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from anyio.abc import SocketStream

HOST = "127.0.0.1"


def make_call(
    call_id: str = "c1", idempotent: bool = True, method: str = "POST", **change: Any
) -> Call:
    context = Context(
        root_id="root",
        call_id=call_id,
        parent_id="",
        class_name="lookup",
        deadline_s=2000.0,
        attempts_left=3,
        tier=Tier.REFUSED_FIRST,
        priority=0,
        depth=0,
        idempotent=idempotent,
    )
    content = {
        "service": "desk",
        "method": method,
        "path": "/desk/x?y=1",
        "headers": (Header("accept", "a"), Header("x-caf\xe9", "d\xe9j\xe0")),
        "body": b"payload",
    }
    return Call(context, Request(**{**content, **change}))


def make_answer(
    body: bytes = b"good",
    call_id: str = "c1",
    status: str = "200 OK",
    length: int | None = None,
    extra: str = "",
) -> bytes:
    length = len(body) if length is None else length
    head = f"HTTP/1.1 {status}\r\nEelgrassmount-Call: {call_id}\r\n"
    return f"{head}{extra}Content-Length: {length}\r\n\r\n".encode() + body


def make_digest(body: bytes) -> str:
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
    return f"Content-Digest: sha-256=:{digest}:\r\n"


@define(eq=False)
class ScriptedServer:
    """Answers requests with a function; records connections and requests."""

    address: str = ""
    connections: int = 0
    requests: list[bytes] = field(factory=list)
    streams: list[SocketStream] = field(factory=list)
    early_answer: bytes = b""
    answer: Callable[[bytes, int], bytes | None] = lambda request, number: b""

    async def serve(self, stream: SocketStream) -> None:
        """Read and answer requests.

        On ``None`` the server stays silent. An empty answer closes the connection, and
        a final ``b"!"``, which is not sent, closes it after the answer.
        """
        self.connections += 1
        number = self.connections
        self.streams.append(stream)
        async with stream:
            if self.early_answer:
                # The server answers after the first bytes and does not read the rest.
                await stream.receive(10)
                await stream.send(self.early_answer)
                await anyio.sleep_forever()
            try:
                while request := await _read_request(stream):
                    self.requests.append(request)
                    answer = self.answer(request, number)
                    if answer is None:
                        await anyio.sleep_forever()
                    await stream.send(answer.removesuffix(b"!"))
                    if not answer or answer.endswith(b"!"):
                        return
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

    async def send_unsolicited(self, data: bytes) -> None:
        """Send bytes on the first connection without a request, or close it."""
        if data:
            await self.streams[0].send(data)
        else:
            await self.streams[0].aclose()


async def _read_request(stream: SocketStream) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += await stream.receive()
    return head + b"\r\n\r\n" + body


@asynccontextmanager
async def run_server(
    answer: Callable[[bytes, int], bytes | None],
) -> AsyncIterator[ScriptedServer]:
    server = ScriptedServer(answer=answer)
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    server.address = f"{HOST}:{port}"
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, server.serve)
        yield server
        group.cancel_scope.cancel()
