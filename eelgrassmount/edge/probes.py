"""Asking the backend server what became of calls that it doesn't answer."""

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
from eelgrassmount.edge.server import CONNECT_LIMIT_S
from eelgrassmount.util.addresses import parse_address
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.edge.server import Exchange, ServerClient
    from eelgrassmount.timers import TimerService
    from eelgrassmount.util.background import Background

CHECK_PERIOD_S = 0.125
CALLS_PATH = "/_eelgrassmount/calls/"
# a call is asked for once it has taken this long, and this many typical times
ASK_AFTER_S = 0.25
ASK_AFTER_TYPICAL = 4
# but not later than after this part of its time, while the answer is of use
ASK_AFTER_PART = 1 / 3
# an idempotent one is given up when the server can't tell
GIVE_UP_AFTER_S = 1.0
GIVE_UP_AFTER_TYPICAL = 10
ANSWER_LIMIT_S = 0.5


class ServerFate(Enum):
    """What a backend server says of a call."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    UNSUPPORTED = "unsupported"


@define(eq=False)
class ServerProbes:
    """Finds calls whose connection to the backend server has gone silent.

    Calls that take long are asked for over a new connection, one after the
    other. A server that does not know a call promises never to run it; one that
    has finished it gives the answer again.
    """

    client: ServerClient
    timers: TimerService
    group: Background
    find_address: Callable[[], str]
    _asked_s: dict[str, float] = field(factory=dict)
    _busy: bool = False

    def start(self) -> None:
        """Watch the calls from now on."""
        self.timers.subscribe(CHECK_PERIOD_S, self._check)

    def _check(self) -> None:
        exchanges = self.client.exchanges
        for call_id in self._asked_s.keys() - exchanges.keys():
            del self._asked_s[call_id]
        due = [exchange for exchange in exchanges.values() if self._is_due(exchange)]
        if due and not self._busy:
            self._busy = True
            self.group.start_soon(self._ask_all, self.find_address(), due)

    def _is_due(self, exchange: Exchange) -> bool:
        context = exchange.call.context
        part_s = ASK_AFTER_PART * context.compute_remaining_s(exchange.begun_s)
        typical_s = ASK_AFTER_TYPICAL * self.client.typical_s
        wait_s = max(ASK_AFTER_S, min(typical_s, part_s))
        since_s = self._asked_s.get(context.call_id, exchange.begun_s)
        return self.timers.read() - since_s >= wait_s

    async def _ask_all(self, address: str, due: list[Exchange]) -> None:
        connection = None
        try:
            connection = await _open(address)
            if connection is not None:
                await self._ask_each(connection, address, due)
        finally:
            now_s = self.timers.read()
            for exchange in due:
                self._asked_s[exchange.call.context.call_id] = now_s
            self._busy = False
            if connection is not None:
                connection.close()

    async def _ask_each(
        self, connection: Connection, address: str, due: list[Exchange]
    ) -> None:
        for exchange in due:
            if exchange.call.context.call_id not in self.client.exchanges:
                continue
            result = await self._ask(connection, address, exchange)
            if result is None:
                return
            verdict = self._judge(exchange, result)
            if verdict is not None:
                exchange.settle(verdict)
            if not result.keep_alive or result.extra:
                return

    async def _ask(
        self, connection: Connection, address: str, exchange: Exchange
    ) -> RawAnswer | None:
        call_id = exchange.call.context.call_id
        data = f"GET {CALLS_PATH}{call_id} HTTP/1.1\r\nhost: {address}\r\n\r\n"
        result: ExchangeResult | None = None
        with anyio.move_on_after(ANSWER_LIMIT_S):
            result = await connection.exchange(
                "GET", data.encode("latin-1"), self.client.max_body_bytes
            )
        return result if isinstance(result, RawAnswer) else None

    def _judge(self, exchange: Exchange, answer: RawAnswer) -> Verdict | None:
        match read_fate(answer):
            case ServerFate.UNKNOWN if _is_same_process(exchange, answer):
                return NotRun(Reason.SERVER_SILENT)
            case ServerFate.DONE:
                return self.client.judge(exchange.call, answer)
            case ServerFate.RUNNING:
                return None
        return self._give_up(exchange)

    def _give_up(self, exchange: Exchange) -> Verdict | None:
        """Return the verdict where the server answers but can't tell."""
        limit_s = max(GIVE_UP_AFTER_S, GIVE_UP_AFTER_TYPICAL * self.client.typical_s)
        age_s = self.timers.read() - exchange.begun_s
        if exchange.call.context.idempotent and age_s >= limit_s:
            return MayHaveRun(Reason.SERVER_SILENT)
        return None


def _is_same_process(exchange: Exchange, answer: RawAnswer) -> bool:
    # a restarted server knows nothing of what its predecessor ran
    process = find_header(answer.headers, names.SERVER)
    return bool(process) and process == exchange.connection.process


async def _open(address: str) -> Connection | None:
    if not address:
        return None
    target = parse_address(address)
    return await connect(target.host, target.port, CONNECT_LIMIT_S)


def read_fate(answer: RawAnswer) -> ServerFate:
    """Return what an answer to the question for a call says."""
    if find_header(answer.headers, names.CALL_STATE) == ServerFate.DONE.value:
        return ServerFate.DONE
    if answer.status != 200:
        return ServerFate.UNSUPPORTED
    try:
        fields = json.loads(answer.body)
    except (ValueError, RecursionError):
        return ServerFate.UNSUPPORTED
    state = fields.get("state") if isinstance(fields, dict) else None
    if state == ServerFate.UNKNOWN.value:
        return ServerFate.UNKNOWN
    if state == ServerFate.RUNNING.value:
        return ServerFate.RUNNING
    return ServerFate.UNSUPPORTED
