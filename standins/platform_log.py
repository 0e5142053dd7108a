"""In-memory stand-in for the platform's log, with injectable faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit
from weakref import WeakSet

from attrs import define, field

from eelgrassmount.http1.server import HttpListener

if TYPE_CHECKING:
    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.http1.server import ServerConnection

MAX_PAGE = 500
OPERATOR_TOPIC = "keyed.op"
JSON = b"content-type: application/json\r\n"


class LogFault(Enum):
    """Faults of the log."""

    NONE = "none"
    UNAVAILABLE = "turned-away"  # answers every call with 503
    RATE_LIMITED = "limited"  # answers every call with 429
    SILENT = "silent"  # never answers
    RESET = "reset"  # closes the connection without an answer
    LOST = "lost"  # stores appends, then closes the connection


class AnswerLoss(Enum):
    """How answers are lost; their connections stay open and return nothing further."""

    WHOLE = "whole"
    REST = "rest"  # all bytes but the first half


@define(eq=False)
class Topic:
    """Records of a keyed topic; those before ``first`` can't be read any more."""

    records: list[tuple[str, bytes]] = field(factory=list)
    first: int = 0
    appended: asyncio.Event = field(factory=asyncio.Event)


@define(eq=False)
class PlatformLog:
    """Stores keyed topics in memory and serves them over HTTP.

    Answers have a header with the log epoch, ``era``, unless it is ``None``. The log
    may listen at several addresses; ``losses`` tells at which hosts answers are lost,
    and ``faults`` has faults of single hosts.
    """

    fault: LogFault = LogFault.NONE
    delay_s: float = 0.0
    calls: int = 0
    era: int | None = None
    topics: dict[str, Topic] = field(factory=dict)
    listener: HttpListener = field(init=False)
    losses: dict[str, AnswerLoss] = field(factory=dict)
    faults: dict[str, LogFault] = field(factory=dict)
    _hosts: dict[HttpListener, str] = field(factory=dict)
    _silent: WeakSet[ServerConnection] = field(factory=WeakSet)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the listener."""
        self.listener = HttpListener(self._handle, time.monotonic)

    async def start(self, host: str, port: int) -> None:
        """Start to accept calls."""
        await self.listener.start(host, port)

    async def listen(self, host: str, port: int) -> None:
        """Accept calls at one more address."""
        listener = HttpListener(self._handle, time.monotonic)
        self._hosts[listener] = host
        await listener.start(host, port)

    def end(self) -> None:
        """Stop at all addresses."""
        for listener in (self.listener, *self._hosts):
            listener.end()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record without a call, and return its offset."""
        found = self.find(topic)
        found.records.append((key, value))
        found.appended.set()
        found.appended = asyncio.Event()
        return len(found.records) - 1

    def find(self, name: str) -> Topic:
        """Return a topic; create it on first use."""
        return self.topics.setdefault(name, Topic())

    def copy(self) -> dict[str, Topic]:
        """Return a copy of all topics, for ``restore``."""
        return {
            name: Topic(list(topic.records), topic.first)
            for name, topic in self.topics.items()
        }

    def restore(self, copy: dict[str, Topic], rewrite: bool = True) -> None:
        """Replace all topics by an older copy and start a new log epoch.

        With ``rewrite``, all operator records from before are appended again.
        """
        before = self.topics
        self.era = (self.era or 0) + 1
        self.topics = copy
        for topic in before.values():
            # Wake pending reads, so that they are answered from the copy.
            topic.appended.set()
        if not rewrite:
            return
        for key, value in before.get(OPERATOR_TOPIC, Topic()).records:
            self.put(OPERATOR_TOPIC, key, value)

    def compact(self, name: str) -> None:
        """Drop the history of a topic; the newest record of each key can be read."""
        topic = self.find(name)
        topic.first = len(topic.records)

    def _handle(self, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, exchange: Exchange) -> None:
        self.calls += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        fault = self.faults.get(self._find_host(exchange), self.fault)
        if fault is LogFault.UNAVAILABLE:
            self._respond(exchange, 503)
        elif fault is LogFault.RATE_LIMITED:
            self._respond(exchange, 429)
        elif fault is LogFault.RESET:
            exchange.connection.transport.abort()
        elif fault is not LogFault.SILENT:
            await self._serve(exchange)

    def _find_host(self, exchange: Exchange) -> str:
        """Return the host at which a call arrived, unless it is the first one."""
        return self._hosts.get(exchange.connection.listener, "")

    def _respond(
        self, exchange: Exchange, status: int, head: bytes = b"", body: bytes = b""
    ) -> None:
        if self.era is not None:
            head += b"store-era: %d\r\n" % self.era
        loss = self.losses.get(self._find_host(exchange))
        if loss is not None and exchange.connection not in self._silent:
            self._silent.add(exchange.connection)
            if loss is AnswerLoss.REST:
                data = b"HTTP/1.1 %d -\r\n%s" % (status, head)
                data += b"content-length: %d\r\n\r\n%s" % (len(body), body)
                exchange.connection.transport.write(data[: len(data) // 2])
        if exchange.connection not in self._silent:
            exchange.respond(status, head, body)

    async def _serve(self, exchange: Exchange) -> None:
        parts = urlsplit(exchange.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = self.find(query.get("topic", ""))
        if parts.path == "/log-append":
            self._append(exchange, query["topic"])
        elif parts.path == "/log-newest":
            self._serve_newest(exchange, topic, query.get("after", ""))
        elif parts.path == "/log-read":
            await self._serve_read(exchange, query)
        else:
            self._respond(exchange, 404)

    def _append(self, exchange: Exchange, name: str) -> None:
        content = exchange.body[4:]
        key_end = 1 + content[0]
        offset = self.put(name, content[1:key_end].decode(), content[key_end:])
        if self.fault is LogFault.LOST:
            exchange.connection.transport.abort()
            return
        body = json.dumps({"offset": offset, "end": offset + 1}).encode()
        self._respond(exchange, 200, JSON, body)

    def _serve_newest(self, exchange: Exchange, topic: Topic, after: str) -> None:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(topic.records):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        keys = [key for key in sorted(newest) if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:MAX_PAGE]
        ]
        content = {
            "items": items,
            "more": len(keys) > MAX_PAGE,
            "end": len(topic.records),
        }
        self._respond(exchange, 200, JSON, json.dumps(content).encode())

    async def _serve_read(self, exchange: Exchange, query: dict[str, str]) -> None:
        start = int(query["from"])
        topic = self.find(query["topic"])
        wait_s = int(query.get("waitMs", "0")) / 1000
        if topic.first <= start == len(topic.records) and wait_s:
            # After a timeout the answer has no records.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait_s)
            topic = self.find(query["topic"])
        if not topic.first <= start <= len(topic.records):
            body = json.dumps({"first": topic.first}).encode()
            self._respond(exchange, 410, JSON, body)
            return
        body = len(topic.records).to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += len(content).to_bytes(4, "big") + content
        self._respond(exchange, 200, b"", body)
