"""In-memory stand-in for the append-only log service, with injectable faults."""

from __future__ import annotations

import base64
import time
from collections import Counter, deque
from typing import Any

import anyio
import fire
from attrs import define, field

from standins.web import Listener, Request, Response, serve_until_signal

_DEFAULT_LIMIT = 100
_DEFAULT_RETENTION = 100_000


@define
class Stream:
    """Records of one stream; ``first`` is the offset of the oldest stored record."""

    first: int = 0
    records: deque[bytes] = field(factory=deque)
    appended: anyio.Event = field(factory=anyio.Event)

    @property
    def next(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, record: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.next
        self.records.append(record)
        appended, self.appended = self.appended, anyio.Event()
        appended.set()
        return offset

    def trim(self, retention: int) -> None:
        """Drop the oldest records beyond ``retention``."""
        while len(self.records) > retention:
            self.records.popleft()
            self.first += 1


@define
class Faults:
    """Active faults.

    ``slow_ms`` delays each answer. ``lose_answer`` is the number of appends that are
    still to be stored without an answer.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answer: int = 0


class Log:
    """HTTP handlers, streams, faults and counts of the log."""

    def __init__(self, address: str, admin_address: str, retention: int) -> None:
        self.listener = Listener(address, self._handle)
        self.admin = Listener(admin_address, self._handle_admin)
        self._retention = retention
        self._faults = Faults()
        self._streams: dict[str, Stream] = {}
        self._appends: dict[str, Counter[int]] = {}
        self._reads = 0

    async def _handle(self, request: Request) -> Response | None:
        _, head, name, tail = (request.path + "//").split("/")[:4]
        if head != "streams" or tail != "records" or not name:
            return Response.from_json({"error": "no such resource"}, 404)
        stream = self._streams.setdefault(name, Stream())
        if request.method == "POST":
            return await self._append(request, name, stream)
        return await self._read(request, stream)

    async def _append(
        self, request: Request, name: str, stream: Stream
    ) -> Response | None:
        record = await request.read()
        await anyio.sleep(self._faults.slow_ms / 1000)
        if self._faults.down:
            return None
        offset = stream.append(record)
        stream.trim(self._retention)
        self._appends.setdefault(name, Counter())[int(time.monotonic())] += 1
        if self._faults.lose_answer > 0:
            self._faults.lose_answer -= 1
            return None
        return Response.from_json({"offset": offset})

    async def _read(self, request: Request, stream: Stream) -> Response | None:
        await request.read()
        await anyio.sleep(self._faults.slow_ms / 1000)
        start = int(request.query.get("from", 0))
        limit = int(request.query.get("limit", _DEFAULT_LIMIT))
        wait_ms = int(request.query.get("wait_ms", 0))
        if start >= stream.next and wait_ms > 0:
            with anyio.move_on_after(wait_ms / 1000):
                while start >= stream.next:
                    await stream.appended.wait()
        if self._faults.down:
            return None
        self._reads += 1
        start = max(start, stream.first)
        end = min(start + limit, stream.next)
        records = [
            {
                "offset": offset,
                "body": base64.b64encode(
                    stream.records[offset - stream.first]
                ).decode(),
            }
            for offset in range(start, end)
        ]
        answer = {"first": stream.first, "next": stream.next, "records": records}
        return Response.from_json(answer)

    async def _handle_admin(self, request: Request) -> Response:
        change = await request.read_json()
        if request.path == "/faults":
            for name, value in change.items():
                self._set_fault(name, value)
            return Response.from_json({"faults": repr(self._faults)})
        if request.path == "/stats":
            return Response.from_json(self._stats())
        return Response.from_json({"error": "no such resource"}, 404)

    def _set_fault(self, name: str, value: Any) -> None:
        if name == "retention":
            self._retention = int(value)
            for stream in self._streams.values():
                stream.trim(self._retention)
            return
        if name not in Faults.__slots__:
            raise ValueError(f"unknown fault {name!r}")
        setattr(self._faults, name, value)
        if self._faults.down:
            self.listener.drop_all()
        self.listener.refusing = self._faults.down

    def _stats(self) -> dict[str, Any]:
        streams = {
            name: {"first": stream.first, "next": stream.next}
            for name, stream in self._streams.items()
        }
        appends = {name: dict(counts) for name, counts in self._appends.items()}
        return {"streams": streams, "appends": appends, "reads": self._reads}


def serve(
    address: str, admin_address: str, retention: int = _DEFAULT_RETENTION
) -> None:
    """Serve the log at ``address`` (ip:port), with ``retention`` records per stream.

    Faults are set with ``POST /faults`` on the admin address, for example
    ``{"slow_ms": 200}``, ``{"down": true}``, ``{"lose_answer": 1}`` or
    ``{"retention": 10}``.
    """

    async def run() -> None:
        log = Log(address, admin_address, retention)
        await serve_until_signal(log.listener.serve, log.admin.serve)

    anyio.run(run)


if __name__ == "__main__":
    fire.Fire(serve)
