"""Calls to the backend server on this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import httpcore
from attrs import define, field

from eelgrassmount.edge import headers as names
from eelgrassmount.edge.headers import (
    check_digest,
    find_header,
    keep_passing,
    read_whole_number,
)
from eelgrassmount.metrics import DropReason
from eelgrassmount.retry.decisions import LOST_REASONS
from eelgrassmount.util.addresses import parse_address
from eelgrassmount.verdict import (
    NOT_RUN,
    Answered,
    Header,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.calls.request import Call
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.timers import Clock

CONNECT_LIMIT_S = 0.5
MAX_IDLE_CONNECTIONS = 256
IDLE_LIMIT_S = 30.0
_SHED_STATUS = 503
# what a backend server answers when a downstream call of its own has failed
_GATEWAY_STATUSES = frozenset({502, 503, 504})
_LOST = (httpcore.RemoteProtocolError, httpcore.ReadError, httpcore.WriteError)


@define(eq=False)
class ServerClient:
    """A bounded set of connections to the backend server on this VM.

    A connection is used again only after its answer has been read completely
    and found good; any other one is closed, since a late answer may still
    come on it.
    """

    clock: Clock
    metrics: Metrics
    max_body_bytes: int
    _idle: list[httpcore.AsyncHTTP11Connection] = field(factory=list)
    _address: str = ""
    _backend: httpcore.AnyIOBackend = field(factory=httpcore.AnyIOBackend)

    async def send(
        self,
        address: str,
        call: Call,
        attempts_left: int,
        note_begun: Callable[[], None],
    ) -> Verdict:
        """Run a call on the server at ``address`` and return its verdict.

        ``note_begun`` is called just before the first byte is sent.
        """
        connection = await self._take(address)
        if connection is None:
            return NotRun(Reason.NO_SERVER)
        note_begun()
        reusable = False
        try:
            answer = await self._exchange(connection, address, call, attempts_left)
            reusable = not isinstance(answer, MayHaveRun)
        finally:
            await self._give_back(connection, address, reusable)
        return answer

    async def _take(self, address: str) -> httpcore.AsyncHTTP11Connection | None:
        if address != self._address:
            await self.close()
            self._address = address
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return await self._connect(address)

    async def _connect(self, address: str) -> httpcore.AsyncHTTP11Connection | None:
        target = parse_address(address)
        try:
            stream = await self._backend.connect_tcp(
                target.host, target.port, timeout=CONNECT_LIMIT_S
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return None
        origin = httpcore.Origin(b"http", target.host.encode(), target.port)
        return httpcore.AsyncHTTP11Connection(origin, stream, IDLE_LIMIT_S)

    async def _give_back(
        self, connection: httpcore.AsyncHTTP11Connection, address: str, reusable: bool
    ) -> None:
        room = len(self._idle) < MAX_IDLE_CONNECTIONS
        if reusable and room and address == self._address and connection.is_idle():
            self._idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        address: str,
        call: Call,
        attempts_left: int,
    ) -> Verdict:
        request = self._make_request(address, call, attempts_left)
        try:
            response = await connection.handle_async_request(request)
        except _LOST:
            return MayHaveRun(Reason.SERVER_CRASHED)
        body = await self._read_body(response)
        if isinstance(body, DropReason):
            self.metrics.dropped_answers.labels(body).inc()
            return MayHaveRun(Reason.BAD_ANSWER)
        return self._judge(call, response, body)

    def _make_request(
        self, address: str, call: Call, attempts_left: int
    ) -> httpcore.Request:
        context = call.context
        remaining_ms = context.measure_remaining(self.clock.read()) * 1000
        own = (
            (names.CALL, context.call_id),
            (names.ROOT, context.root_id),
            (names.CLASS, context.class_name),
            (names.ATTEMPTS, str(attempts_left)),
            (names.TIMEOUT_MS, str(max(1, int(remaining_ms)))),
            ("host", address),
            (names.CONTENT_LENGTH, str(len(call.request.body))),
        )
        passed = keep_passing(call.request.headers)
        return httpcore.Request(
            call.request.method.encode(),
            f"http://{address}{call.request.path}".encode(),
            headers=[
                *((header.name.encode(), header.value.encode()) for header in passed),
                *((name.encode(), value.encode()) for name, value in own),
            ],
            content=call.request.body,
        )

    async def _read_body(self, response: httpcore.Response) -> bytes | DropReason:
        if not _has_length(response):
            return DropReason.TRUNCATED
        parts = []
        length = 0
        try:
            async for part in response.aiter_stream():
                parts.append(part)
                length += len(part)
                if length > self.max_body_bytes:
                    return DropReason.OVER_LONG
            await response.aclose()
        except _LOST:
            return DropReason.TRUNCATED
        return b"".join(parts)

    def _judge(self, call: Call, response: httpcore.Response, body: bytes) -> Verdict:
        headers = tuple(
            Header(name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
        )
        if find_header(headers, names.CALL) != call.context.call_id:
            self.metrics.dropped_answers.labels(DropReason.WRONG_CALL).inc()
            return MayHaveRun(Reason.BAD_ANSWER)
        if not check_digest(headers, body):
            self.metrics.dropped_answers.labels(DropReason.BAD_DIGEST).inc()
            return MayHaveRun(Reason.BAD_ANSWER)
        failure = _find_failure(response.status, headers)
        return failure or Answered(response.status, keep_passing(headers), body)

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()


def _has_length(response: httpcore.Response) -> bool:
    # an answer that ends with its connection can't be told from a truncated one
    names_present = {name.lower() for name, _ in response.headers}
    return b"content-length" in names_present or b"transfer-encoding" in names_present


def _find_failure(status: int, headers: tuple[Header, ...]) -> Verdict | None:
    verdict_name = find_header(headers, names.VERDICT)
    if status not in _GATEWAY_STATUSES or verdict_name is None:
        return None
    retry_after_s = _read_retry_after(headers)
    if verdict_name == NOT_RUN and status == _SHED_STATUS:
        return NotRun(Reason.SERVER_SHED, retry_after_s)
    return MayHaveRun(_read_reason(headers), retry_after_s)


def _read_retry_after(headers: tuple[Header, ...]) -> float:
    try:
        return (read_whole_number(headers, names.RETRY_AFTER_MS) or 0) / 1000
    except ValueError:
        return 0.0


def _read_reason(headers: tuple[Header, ...]) -> Reason:
    try:
        reason = Reason(find_header(headers, names.REASON))
    except ValueError:
        return Reason.PARTIAL
    # its own hop has spent retries on these; this hop must not do so again
    return Reason.PARTIAL if reason in LOST_REASONS else reason
