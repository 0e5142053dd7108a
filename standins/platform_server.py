"""A stand-in for a backend server of the platform."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.http1.server import HttpListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange

SIGNATURE = b"eelgrassmount-response-signature"
REQUEST_ID = b"eelgrassmount-attempt-id"
EXPECTED = b"eelgrassmount-expect-instance"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"


@define(eq=False)
class PlatformServer:
    """Runs each request for ``work_s`` seconds and signs the answer.

    ``runs`` holds the ids of the requests that started to run, and ``run_times_s`` when
    they did. ``answer``, when set, replaces the correct answer. ``rate_limit`` and
    ``leaving`` are named in all answers, or in none to health checks. A server that is
    not ``healthy`` says so in health checks only.
    """

    incarnation: str
    work_s: float = 0.0
    runs: list[str] = field(factory=list)
    run_times_s: list[float] = field(factory=list)
    rate_limit: str | None = None
    leaving: bool = False
    names_in_health: bool = True
    healthy: bool = True
    seen: list[dict[bytes, bytes]] = field(factory=list)
    answer: Callable[[Exchange], None] | None = None
    listener: HttpListener = field(init=False)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the listener."""
        self.listener = HttpListener(self._handle, time.monotonic)

    async def start(self, host: str, port: int) -> None:
        """Start to accept requests."""
        await self.listener.start(host, port)

    def _handle(self, exchange: Exchange) -> None:
        names = dict(exchange.headers)
        if names.get(EXPECTED, b"").decode() not in ("", self.incarnation):
            instance = self.incarnation.encode()
            exchange.respond(421, b"eelgrassmount-instance-id: %s\r\n" % instance)
            return
        if REQUEST_ID not in names:
            # Only health checks have no request id.
            instance = self.incarnation.encode()
            head = b"eelgrassmount-instance-id: %s\r\n" % instance
            if self.names_in_health:
                head += self._make_statements()
            takes_calls = self.healthy and not self.leaving
            exchange.respond(200 if takes_calls else 503, head)
            return
        self.runs.append(names.get(REQUEST_ID, b"").decode())
        self.run_times_s.append(time.monotonic())
        self.seen.append(names)
        task = asyncio.get_running_loop().create_task(self._run(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, exchange: Exchange) -> None:
        if self.work_s:
            await asyncio.sleep(self.work_s)
        if self.answer is not None:
            self.answer(exchange)
            return
        names = dict(exchange.headers)
        head = b"%s: signed\r\n%s: %s\r\n" % (
            SIGNATURE,
            REQUEST_ID,
            names.get(REQUEST_ID, b""),
        )
        head += self._make_statements()
        exchange.respond(200, head, b"%s by %s" % (exchange.target.encode(), head[:5]))

    def _make_statements(self) -> bytes:
        """Return the header lines in which the server describes itself."""
        lines = b""
        if self.rate_limit is not None:
            lines += b"%s: %s\r\n" % (RATE_LIMIT, self.rate_limit.encode())
        if self.leaving:
            lines += b"%s: 1\r\n" % LEAVING
        return lines
