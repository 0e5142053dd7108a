"""HTTP calls over persistent connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure, open_connection
from eelgrassmount.topics.store import FailureKind, StoreFailure

if TYPE_CHECKING:
    from eelgrassmount.http1.client import ClientConnection
    from eelgrassmount.util.addresses import Address

CONNECT_TIMEOUT_S = 1.0


@define(eq=False, repr=False)
class PersistentConnections:
    """Persistent connections to one address, one for each kind of call.

    Calls are never retried here: a call without an answer may have run.
    """

    address: Address
    _connections: dict[str, ClientConnection] = field(factory=dict)

    async def call(
        self, kind: str, data: bytes, timeout_s: float
    ) -> ClientAnswer | StoreFailure:
        """Send a request and return its answer."""
        connection = self._connections.pop(kind, None)
        if connection is None or connection.closed:
            try:
                connection = await open_connection(self.address, CONNECT_TIMEOUT_S)
            except OSError as error:
                return StoreFailure(FailureKind.UNREACHABLE, repr(error))
        outcome: asyncio.Future[ClientAnswer | ExchangeFailure] = (
            asyncio.get_running_loop().create_future()
        )

        def on_answer(answer: ClientAnswer | ExchangeFailure) -> None:
            if not outcome.done():
                outcome.set_result(answer)

        connection.send(data, on_answer)
        try:
            answer = await asyncio.wait_for(outcome, timeout_s)
        except TimeoutError:
            return StoreFailure(
                FailureKind.UNANSWERED, f"no answer within {timeout_s} s"
            )
        finally:
            # A connection with an unanswered request cannot be reused.
            if not outcome.done() or outcome.cancelled():
                connection.cancel()
        if isinstance(answer, ExchangeFailure):
            return StoreFailure(FailureKind.UNANSWERED, answer.value)
        if not connection.closed:
            self._connections[kind] = connection
        return answer

    def end(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
