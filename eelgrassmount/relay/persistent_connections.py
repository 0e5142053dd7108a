"""HTTP calls over persistent connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.http1.answer_memory import AnswerMemory
from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure, open_connection
from eelgrassmount.topics.store import FailureKind, StoreFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.client import ClientConnection
    from eelgrassmount.util.addresses import Address

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
# The same for a call that waits for records, apart from that wait. After a call without
# an answer the other end may be slow: `CALL_TIMEOUT_S` applies until it is fast again.
WAITING_CALL_TIMEOUT_S = 0.5
FAST_ANSWER_S = 0.25


@define(eq=False, repr=False)
class PersistentConnections:
    """Persistent connections to one address, one for each kind of call.

    Calls are never retried here: a call without an answer may have run.
    """

    address: Address
    on_overlong: Callable[[], None] = lambda: None
    memory: AnswerMemory = field(factory=AnswerMemory)
    _connections: dict[str, ClientConnection] = field(factory=dict)
    _slow_kinds: set[str] = field(factory=set)

    async def call(
        self, kind: str, data: bytes, wait_s: float | None = None
    ) -> ClientAnswer | StoreFailure:
        """Send a request and return its answer.

        ``wait_s`` is the time that the other end waits for records, ``None`` if it
        answers at once.
        """
        timeout_s = self._find_timeout_s(kind, wait_s)
        connection = self._connections.pop(kind, None)
        if connection is None or connection.closed:
            try:
                connection = await open_connection(
                    self.address, CONNECT_TIMEOUT_S, memory=self.memory
                )
            except OSError as error:
                return StoreFailure(FailureKind.UNREACHABLE, repr(error))
        outcome: asyncio.Future[ClientAnswer | ExchangeFailure] = (
            asyncio.get_running_loop().create_future()
        )

        def on_answer(answer: ClientAnswer | ExchangeFailure) -> None:
            if not outcome.done():
                outcome.set_result(answer)

        loop = asyncio.get_running_loop()
        started_s = loop.time()
        connection.send(data, on_answer)
        try:
            answer = await asyncio.wait_for(outcome, timeout_s)
        except TimeoutError:
            self._slow_kinds.add(kind)
            return StoreFailure(
                FailureKind.UNANSWERED, f"no answer within {timeout_s} s"
            )
        finally:
            # A connection with an unanswered request cannot be reused.
            if not outcome.done() or outcome.cancelled():
                connection.cancel()
        if loop.time() - started_s < (wait_s or 0.0) + FAST_ANSWER_S:
            self._slow_kinds.discard(kind)
        if answer is ExchangeFailure.OVERLONG:
            self.on_overlong()
        if isinstance(answer, ExchangeFailure):
            return StoreFailure(FailureKind.UNANSWERED, answer.value)
        if not connection.closed:
            self._connections[kind] = connection
        return answer

    def _find_timeout_s(self, kind: str, wait_s: float | None) -> float:
        if wait_s is None:
            return CALL_TIMEOUT_S
        is_slow = kind in self._slow_kinds
        return wait_s + (CALL_TIMEOUT_S if is_slow else WAITING_CALL_TIMEOUT_S)

    def end(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
