"""Client for the backend server on this VM."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.edge import headers as names
from eelgrassmount.edge.exchange import (
    BadAnswer,
    Connection,
    ExchangeResult,
    NoAnswer,
    RawAnswer,
    connect,
)
from eelgrassmount.edge.headers import (
    find_header,
    is_digest_valid,
    parse_positive_integer,
    select_forwarded_headers,
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

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_CONNECTIONS = 256
IDLE_TIMEOUT_S = 30.0
# Weight of the newest latency in the moving average.
LATENCY_SMOOTHING = 0.1
_SHED_STATUS = 503
# Statuses with which a backend server reports that a downstream call failed.
_GATEWAY_STATUSES = frozenset({502, 503, 504})
_MAX_RETRY_AFTER_MS = 3_600_000


@define(eq=False)
class Exchange:
    """A call that is running on the backend server.

    A probe that finds the outcome over another connection calls `resolve`.
    """

    call: Call
    connection: Connection
    started_s: float
    verdict: Verdict | None = None

    def resolve(self, verdict: Verdict) -> None:
        """Set the verdict on the call and close its silent connection."""
        if self.verdict is None:
            self.verdict = verdict
            self.connection.close()


@define(eq=False)
class ServerClient:
    """A bounded pool of connections to the backend server on this VM.

    A connection is reused only after a complete and valid answer. Others are closed,
    since a late answer may still arrive on them. ``mean_latency_s`` is an exponential
    moving average of the latency of calls.
    """

    clock: Clock
    metrics: Metrics
    max_body_bytes: int
    mean_latency_s: float = 0.0
    exchanges: dict[str, Exchange] = field(factory=dict)
    _idle: deque[Connection] = field(factory=deque)
    _address: str = ""
    _process: str = ""

    async def send(
        self,
        address: str,
        call: Call,
        attempts_left: int,
        on_start: Callable[[], None],
    ) -> Verdict:
        """Run a call on the server at ``address`` and return its verdict.

        ``on_start`` is called just before the first byte is sent.
        """
        data = self._encode(address, call, attempts_left)
        if data is None:
            return NotRun(Reason.MALFORMED)
        connection = await self._acquire(address)
        if connection is None:
            return NotRun(Reason.NO_SERVER)
        on_start()
        reusable = False
        exchange = Exchange(call, connection, self.clock.read())
        self.exchanges[call.context.call_id] = exchange
        try:
            result = await connection.exchange(
                call.request.method, data, self.max_body_bytes
            )
            self._process = connection.process or self._process
            verdict = exchange.verdict or self.judge(call, result)
            if exchange.verdict is not None:
                # The failure that silenced this connection may affect the others.
                self.close()
            reusable = _is_reusable(result, verdict)
        finally:
            del self.exchanges[call.context.call_id]
            self._release(connection, address, reusable)
        if isinstance(verdict, Answered):
            self._record_latency(self.clock.read() - exchange.started_s)
        return verdict

    def _record_latency(self, seconds: float) -> None:
        if not self.mean_latency_s:
            self.mean_latency_s = seconds
        self.mean_latency_s += LATENCY_SMOOTHING * (seconds - self.mean_latency_s)

    async def _acquire(self, address: str) -> Connection | None:
        if address != self._address:
            self._address = address
            self._process = ""
            self.close()
        oldest_s = self.clock.read() - IDLE_TIMEOUT_S
        while self._idle and self._idle[0].released_s < oldest_s:
            self._idle.popleft().close()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable():
                return connection
            if connection.unsolicited:
                self.metrics.dropped_answers.labels(DropReason.LATE).inc()
            connection.close()
        return await self._connect(address)

    async def _connect(self, address: str) -> Connection | None:
        # If the process that answered last also answers a later probe, it has not
        # restarted in between, so this connection leads to it.
        process = self._process
        target = parse_address(address)
        connection = await connect(target.host, target.port, CONNECT_TIMEOUT_S)
        if connection is not None:
            connection.process = process
        return connection

    def _release(self, connection: Connection, address: str, reusable: bool) -> None:
        has_room = len(self._idle) < MAX_IDLE_CONNECTIONS
        if (
            reusable
            and has_room
            and address == self._address
            and connection.is_request_sent()
        ):
            connection.released_s = self.clock.read()
            self._idle.append(connection)
            return
        connection.close()

    def _encode(self, address: str, call: Call, attempts_left: int) -> bytes | None:
        """Return a call as an HTTP request, or ``None`` if it contains invalid text."""
        context = call.context
        request = call.request
        remaining_ms = context.compute_remaining_s(self.clock.read()) * 1000
        forwarded = select_forwarded_headers(request.headers)
        lines = [
            f"{request.method} {request.path} HTTP/1.1",
            *(f"{header.name}: {header.value}" for header in forwarded),
            f"host: {address}",
            f"{names.CALL}: {context.call_id}",
            f"{names.ROOT}: {context.root_id}",
            f"{names.CLASS}: {context.class_name}",
            f"{names.ATTEMPTS}: {attempts_left}",
            f"{names.TIMEOUT_MS}: {max(1, int(remaining_ms))}",
            f"{names.CONTENT_LENGTH}: {len(request.body)}",
        ]
        text = "\r\n".join(lines)
        # A request from another node may contain line breaks or NUL characters.
        if text.count("\n") != len(lines) - 1 or "\0" in text:
            return None
        if lines[0].count(" ") != 2:
            return None
        try:
            return b"%b\r\n\r\n%b" % (text.encode("latin-1"), request.body)
        except UnicodeEncodeError:
            return None

    def judge(self, call: Call, result: ExchangeResult) -> Verdict:
        """Return the verdict on a call from the result of its exchange."""
        match result:
            case NoAnswer():
                return MayHaveRun(Reason.SERVER_CRASHED)
            case BadAnswer(reason):
                return self._drop(reason)
        if result.extra:
            self.metrics.dropped_answers.labels(DropReason.DOUBLED).inc()
        if find_header(result.headers, names.CALL) != call.context.call_id:
            return self._drop(DropReason.WRONG_CALL)
        if not is_digest_valid(result.headers, result.body):
            return self._drop(DropReason.BAD_DIGEST)
        failure = _find_failure(result.status, result.headers)
        if failure is not None:
            return failure
        return Answered(
            result.status, select_forwarded_headers(result.headers), result.body
        )

    def _drop(self, reason: DropReason) -> Verdict:
        self.metrics.dropped_answers.labels(reason).inc()
        return MayHaveRun(Reason.BAD_ANSWER)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()


def _is_reusable(result: ExchangeResult, verdict: Verdict) -> bool:
    """Return whether no more bytes can arrive on the connection of an exchange."""
    if not isinstance(result, RawAnswer) or result.extra or not result.keep_alive:
        return False
    # After an answer to another call, the answer to this call may still arrive.
    return verdict != MayHaveRun(Reason.BAD_ANSWER)


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
        milliseconds = parse_positive_integer(headers, names.RETRY_AFTER_MS) or 0
    except ValueError:
        return 0.0
    return min(milliseconds, _MAX_RETRY_AFTER_MS) / 1000


def _read_reason(headers: tuple[Header, ...]) -> Reason:
    try:
        reason = Reason(find_header(headers, names.REASON))
    except ValueError:
        return Reason.PARTIAL
    # The server's hop has already retried after these reasons, so this hop must not.
    return Reason.PARTIAL if reason in LOST_REASONS else reason
