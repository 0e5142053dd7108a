"""Journal of all runs, in a process that survives crashes of the backend servers."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Any

import anyio
import fire

from standins.web import (
    Listener,
    Request,
    Response,
    serve_until_signal,
    split_address,
)


class Journal:
    """Runs in the order of their starts, by the ``run`` id from the server."""

    def __init__(self) -> None:
        self._runs: dict[str, dict[str, Any]] = {}

    def record(self, line: bytes) -> None:
        """Record one JSON line: a started run, or an update of a recorded one."""
        entry = json.loads(line)
        self._runs.setdefault(entry["run"], {}).update(entry)

    async def handle(self, request: Request) -> Response:
        """Serve ``GET /runs`` (filters ``request`` and ``route``) and ``DELETE``."""
        await request.read()
        if request.path != "/runs":
            return Response.from_json({"error": "no such resource"}, 404)
        if request.method == "DELETE":
            self._runs.clear()
        filters = request.query.items()
        runs = [
            run
            for run in self._runs.values()
            if all(run.get(name) == value for name, value in filters)
        ]
        return Response.from_json({"runs": runs})


class _JournalProtocol(asyncio.Protocol):
    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._partial_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            self._journal.record(line)
        self._transport.write(b"." * len(lines))


class JournalConnection(asyncio.Protocol):
    """A backend server's connection; the journal sends a dot for each stored entry."""

    def __init__(self) -> None:
        self.closed = False
        self._waiters: deque[asyncio.Future[None]] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Complete the futures of the acknowledged entries, oldest first."""
        for _ in data:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the futures of all entries without acknowledgement."""
        self.closed = True
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(
                    ConnectionResetError("connection to the journal is closed")
                )

    def write(self, entry: dict[str, Any]) -> asyncio.Future[None]:
        """Send an entry; the future completes when the journal has stored it."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._transport.write(json.dumps(entry).encode() + b"\n")
        return waiter


async def open_connection(address: str) -> JournalConnection:
    """Connect to the journal at ``address`` (ip:port)."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(JournalConnection, host, port)
    return connection


def serve(address: str, admin_address: str) -> None:
    """Collect entries at ``address`` and serve ``GET /runs`` at the admin address."""

    async def run() -> None:
        journal = Journal()
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        await loop.create_server(
            lambda: _JournalProtocol(journal), host, port, backlog=1024
        )
        await serve_until_signal(Listener(admin_address, journal.handle).serve)

    anyio.run(run)


if __name__ == "__main__":
    fire.Fire(serve)
