"""Probes of the backend server for calls that it has not answered."""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.edge import headers as names
from eelgrassmount.edge.exchange import (
    Connection,
    ExchangeResult,
    RawAnswer,
    connect,
)
from eelgrassmount.edge.headers import find_header
from eelgrassmount.edge.server import CONNECT_TIMEOUT_S
from eelgrassmount.util.addresses import parse_address
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.edge.server import Exchange, ServerClient
    from eelgrassmount.timers import TimerService
    from eelgrassmount.util.background import Background

CHECK_INTERVAL_S = 0.125
CALLS_PATH = "/_eelgrassmount/calls/"
# A call is probed after this time and this multiple of the mean latency.
MIN_PROBE_DELAY_S = 0.25
PROBE_DELAY_LATENCIES = 4
# Limits the multiple of the mean latency, as a share of the time until the deadline.
MAX_PROBE_DELAY_SHARE = 1 / 3
# An idempotent call whose status the server can't report is abandoned after this time
# and this multiple of the mean latency.
MIN_ABANDON_DELAY_S = 1.0
ABANDON_DELAY_LATENCIES = 10
PROBE_TIMEOUT_S = 0.5


class ServerCallState(Enum):
    """The state of a call as reported by the backend server."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    UNSUPPORTED = "unsupported"


@define(eq=False)
class ServerProbes:
    """Detects calls whose connection to the backend server has gone silent.

    Overdue calls are probed in turn over a new connection. A server that does not know
    a probed call must never run it. A server that has finished the call sends its
    answer again.
    """

    client: ServerClient
    timers: TimerService
    tasks: Background
    find_address: Callable[[], str]
    _probed_s: dict[str, float] = field(factory=dict)
    _probing: bool = False

    def start(self) -> None:
        """Start to check for overdue calls."""
        self.timers.subscribe(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        exchanges = self.client.exchanges
        for call_id in self._probed_s.keys() - exchanges.keys():
            del self._probed_s[call_id]
        due = [exchange for exchange in exchanges.values() if self._is_due(exchange)]
        if due and not self._probing:
            self._probing = True
            self.tasks.start_soon(self._probe_all, self.find_address(), due)

    def _is_due(self, exchange: Exchange) -> bool:
        context = exchange.call.context
        max_s = MAX_PROBE_DELAY_SHARE * context.compute_remaining_s(exchange.started_s)
        latencies_s = PROBE_DELAY_LATENCIES * self.client.mean_latency_s
        delay_s = max(MIN_PROBE_DELAY_S, min(latencies_s, max_s))
        since_s = self._probed_s.get(context.call_id, exchange.started_s)
        return self.timers.read() - since_s >= delay_s

    async def _probe_all(self, address: str, due: list[Exchange]) -> None:
        connection = None
        try:
            connection = await _open(address)
            if connection is not None:
                await self._probe_each(connection, address, due)
        finally:
            now_s = self.timers.read()
            for exchange in due:
                self._probed_s[exchange.call.context.call_id] = now_s
            self._probing = False
            if connection is not None:
                connection.close()

    async def _probe_each(
        self, connection: Connection, address: str, due: list[Exchange]
    ) -> None:
        for exchange in due:
            if exchange.call.context.call_id not in self.client.exchanges:
                continue
            result = await self._probe(connection, address, exchange)
            if result is None:
                return
            verdict = self._judge(exchange, result)
            if verdict is not None:
                exchange.resolve(verdict)
            if not result.keep_alive or result.extra:
                return

    async def _probe(
        self, connection: Connection, address: str, exchange: Exchange
    ) -> RawAnswer | None:
        call_id = exchange.call.context.call_id
        data = f"GET {CALLS_PATH}{call_id} HTTP/1.1\r\nhost: {address}\r\n\r\n"
        result: ExchangeResult | None = None
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            result = await connection.exchange(
                "GET", data.encode("latin-1"), self.client.max_body_bytes
            )
        return result if isinstance(result, RawAnswer) else None

    def _judge(self, exchange: Exchange, answer: RawAnswer) -> Verdict | None:
        match parse_call_state(answer):
            case ServerCallState.UNKNOWN if _is_same_process(exchange, answer):
                return NotRun(Reason.SERVER_SILENT)
            case ServerCallState.DONE:
                return self.client.judge(exchange.call, answer)
            case ServerCallState.RUNNING:
                return None
        return self._abandon_if_overdue(exchange)

    def _abandon_if_overdue(self, exchange: Exchange) -> Verdict | None:
        """Return the verdict on a call whose state the server can't report."""
        delay_s = max(
            MIN_ABANDON_DELAY_S, ABANDON_DELAY_LATENCIES * self.client.mean_latency_s
        )
        age_s = self.timers.read() - exchange.started_s
        if exchange.call.context.idempotent and age_s >= delay_s:
            return MayHaveRun(Reason.SERVER_SILENT)
        return None


def _is_same_process(exchange: Exchange, answer: RawAnswer) -> bool:
    # A restarted server does not know the calls that its predecessor ran.
    process = find_header(answer.headers, names.SERVER)
    return bool(process) and process == exchange.connection.process


async def _open(address: str) -> Connection | None:
    if not address:
        return None
    target = parse_address(address)
    return await connect(target.host, target.port, CONNECT_TIMEOUT_S)


def parse_call_state(answer: RawAnswer) -> ServerCallState:
    """Return the state of a call from the answer to a probe."""
    if find_header(answer.headers, names.CALL_STATE) == ServerCallState.DONE.value:
        return ServerCallState.DONE
    if answer.status != 200:
        return ServerCallState.UNSUPPORTED
    try:
        fields = json.loads(answer.body)
    except (ValueError, RecursionError):
        return ServerCallState.UNSUPPORTED
    state = fields.get("state") if isinstance(fields, dict) else None
    if state == ServerCallState.UNKNOWN.value:
        return ServerCallState.UNKNOWN
    if state == ServerCallState.RUNNING.value:
        return ServerCallState.RUNNING
    return ServerCallState.UNSUPPORTED
