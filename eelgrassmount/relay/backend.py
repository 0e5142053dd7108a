"""Connections from a node to the backend server on its VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.http1.answer_memory import AnswerMemory
from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure, open_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.client import ClientConnection
    from eelgrassmount.util.addresses import Address

CONNECT_TIMEOUT_S = 1.0
# Idle timeout of connections if the server announces none.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Subtracted from the server's idle timeout, which starts earlier than the node's.
IDLE_TIMEOUT_MARGIN_S = 1.0
# A non-idempotent request is sent only on a connection that was idle for less: if the
# server has dropped the connection, nothing shows whether the request ran.
MAX_FRESH_IDLE_S = 0.25
# A connection that was idle for at least the first and closes within the second after
# the next request was dropped by the server as idle, not closed by a crash.
MIN_DROPPED_IDLE_S = 0.05
MAX_DROP_DETECTION_S = 0.05
# After such a drop, connections are reused for this share of that idle time.
TRUSTED_IDLE_SHARE = 0.6
# Factor by which the trusted idle time recovers at each sweep.
TRUSTED_IDLE_GROWTH = 1.1
# Requests with an unsuccessful answer after which a connection is not reused; their ids
# are kept with the connection.
MAX_UNSUCCESSFUL_IDS = 64


@define(eq=False, repr=False)
class ServerExchange:
    """A request to the server and its answer or failure, which is reported once."""

    on_done: Callable[[ClientAnswer | ExchangeFailure], None]
    request_id: bytes
    connection: ClientConnection | None = None
    completed: bool = False
    head_only: bool = False

    def cancel(self) -> None:
        """Cancel the exchange; ``on_done`` is called unless it has been."""
        if self.completed:
            return
        if self.connection is not None:
            self.connection.cancel()
        else:
            self.complete(ExchangeFailure.CANCELLED)

    def is_written(self) -> bool:
        """Return whether the request was written, so that the server may read it."""
        return self.connection is not None

    def complete(self, outcome: ClientAnswer | ExchangeFailure) -> None:
        """Report the outcome, once."""
        if not self.completed:
            self.completed = True
            self.on_done(outcome)


@define(eq=False, repr=False)
class BackendPool:
    """Sends requests over pooled connections, the most recently used one first.

    A server may send an answer once more, at any later time. An answer with another
    request id than the expected one is skipped, and two rules keep a late copy from
    being taken for the answer to another sending:

    * A request that was answered without success may be sent again, with the same id.
      It then uses a connection on which that id has not been answered.
    * A connection is closed after an answer without an id, as nothing would identify a
      copy of it.
    """

    clock: Callable[[], float]
    read_idle_limit: Callable[[ClientAnswer], float | None]
    find_request_id: Callable[[ClientAnswer], bytes]
    on_open: Callable[[], None] = lambda: None
    on_overlong: Callable[[bytes], None] = lambda request_id: None
    memory: AnswerMemory = field(factory=AnswerMemory)
    _trusted_idle_s: float = DEFAULT_IDLE_TIMEOUT_S
    _idle: list[ClientConnection] = field(factory=list)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    def send(
        self,
        address: Address,
        data: bytes,
        fresh_only: bool,
        request_id: bytes,
        done: Callable[[ClientAnswer | ExchangeFailure], None],
        head_only: bool = False,
    ) -> ServerExchange:
        """Send a whole request; ``fresh_only`` requires a recently used connection.

        ``request_id`` is the id that the answer repeats, empty for a health check,
        which uses a connection of its own. With ``head_only`` the answer has no body,
        whatever length it announces.
        """
        exchange = ServerExchange(done, request_id, head_only=head_only)
        connection = self._take_idle(fresh_only, request_id) if request_id else None
        if connection is not None:
            self._send_on(connection, exchange, data)
            return exchange
        task = asyncio.get_running_loop().create_task(
            self._connect_and_send(address, exchange, data)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return exchange

    def close_idle_connections(self) -> None:
        """Close the idle connections."""
        for connection in list(self._idle):
            connection.close()
        self._idle.clear()

    def reset(self) -> None:
        """Close idle connections and reset the trusted idle time after a restart."""
        self.close_idle_connections()
        self._trusted_idle_s = DEFAULT_IDLE_TIMEOUT_S

    def sweep(self) -> None:
        """Close connections that were idle for too long to be reused."""
        grown_s = self._trusted_idle_s * TRUSTED_IDLE_GROWTH
        self._trusted_idle_s = min(DEFAULT_IDLE_TIMEOUT_S, grown_s)
        now_s = self.clock()
        for connection in list(self._idle):
            if not self._is_usable(connection, now_s):
                self._idle.remove(connection)
                connection.close()

    def _take_idle(
        self, fresh_only: bool, request_id: bytes
    ) -> ClientConnection | None:
        now_s = self.clock()
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            if fresh_only and now_s - connection.idle_since_s > MAX_FRESH_IDLE_S:
                return None
            if request_id in connection.unsuccessful_ids:
                continue
            del self._idle[index]
            if not connection.closed and self._is_usable(connection, now_s):
                return connection
            connection.close()
        return None

    def _is_usable(self, connection: ClientConnection, now_s: float) -> bool:
        limit_s = connection.idle_timeout_s
        if limit_s is None:
            limit_s = DEFAULT_IDLE_TIMEOUT_S
        limit_s = min(max(0.0, limit_s - IDLE_TIMEOUT_MARGIN_S), self._trusted_idle_s)
        return now_s - connection.idle_since_s < limit_s

    def _send_on(
        self,
        connection: ClientConnection,
        exchange: ServerExchange,
        data: bytes,
    ) -> None:
        exchange.connection = connection
        # The connection keeps ``accepts``, which must not refer back to it.
        request_id = exchange.request_id
        sent_s = self.clock()
        idle_s = sent_s - connection.idle_since_s

        def accepts(answer: ClientAnswer) -> bool:
            found = self.find_request_id(answer)
            return not found or found == request_id

        def complete(outcome: ClientAnswer | ExchangeFailure) -> None:
            closed_soon = self.clock() - sent_s < MAX_DROP_DETECTION_S
            if outcome is ExchangeFailure.CLOSED and closed_soon:
                self._reduce_trusted_idle(idle_s)
            if outcome is ExchangeFailure.OVERLONG:
                self.on_overlong(request_id)
            if isinstance(outcome, ClientAnswer):
                limit_s = self.read_idle_limit(outcome)
                if limit_s is not None:
                    connection.idle_timeout_s = limit_s
                # Must precede the report, which may lead to another sending.
                self._limit_reuse(connection, exchange, outcome)
            exchange.complete(outcome)

        connection.send(data, complete, accepts, exchange.head_only)

    def _limit_reuse(
        self,
        connection: ClientConnection,
        exchange: ServerExchange,
        answer: ClientAnswer,
    ) -> None:
        """Keep a late copy of an answer away from requests that it would fit."""
        if not self.find_request_id(answer):
            connection.close()
        elif not 200 <= answer.status < 300:
            connection.unsuccessful_ids.add(exchange.request_id)
            if len(connection.unsuccessful_ids) >= MAX_UNSUCCESSFUL_IDS:
                connection.close()

    async def _connect_and_send(
        self,
        address: Address,
        exchange: ServerExchange,
        data: bytes,
    ) -> None:
        try:
            connection = await open_connection(
                address,
                CONNECT_TIMEOUT_S,
                self._add_idle,
                self._remove_idle,
                self.memory,
            )
        except OSError:
            # The caller counts this as an unreachable server.
            exchange.complete(ExchangeFailure.REFUSED)
            return
        self.on_open()
        if connection.closed:
            exchange.complete(ExchangeFailure.REFUSED)
        elif exchange.completed:
            self._add_idle(connection)
        else:
            self._send_on(connection, exchange, data)

    def _reduce_trusted_idle(self, idle_s: float) -> None:
        """Reuse idle connections for less time after the server dropped one."""
        if MIN_DROPPED_IDLE_S <= idle_s < self._trusted_idle_s:
            self._trusted_idle_s = TRUSTED_IDLE_SHARE * idle_s
            logger.info(
                "server drops idle connections",
                idle_s=round(idle_s, 3),
                trusted_s=round(self._trusted_idle_s, 3),
            )

    def _add_idle(self, connection: ClientConnection) -> None:
        connection.idle_since_s = self.clock()
        self._idle.append(connection)

    def _remove_idle(self, connection: ClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
