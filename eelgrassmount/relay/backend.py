"""Connections from a node to the backend server beside it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.http1.client import Break, ClientAnswer, open_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.client import ClientConnection
    from eelgrassmount.util.addresses import Address

# the server is on the same VM: what takes longer is a server that doesn't accept
CONNECT_LIMIT_S = 1.0
# idle time after which a connection is not used again, when the server says none
DEFAULT_IDLE_LIMIT_S = 4.0
# taken off the server's own limit, since its clock started before ours
IDLE_MARGIN_S = 1.0
# work that must not run twice doesn't go out on a connection that was idle for
# longer: when the server has dropped it, nobody could tell whether it ran
FRESH_IDLE_S = 0.25
# a connection that was idle for at least this long and breaks so soon after the next
# request was forgotten by the server, and not cut by its crash
FORGOTTEN_IDLE_S = 0.05
FORGOTTEN_WITHIN_S = 0.05
# part of that idle time which connections are trusted for from then on
TRUSTED_SHARE = 0.6
# growth of this trust at each sweep
TRUST_GROWTH = 1.1


@define(eq=False)
class PendingRequest:
    """One request on its way; ``cancel`` gives it up."""

    done: Callable[[ClientAnswer | Break], None]
    connection: ClientConnection | None = None
    ended: bool = False
    head_only: bool = False

    def cancel(self) -> None:
        """Give up the request; ``done`` is called if it has not been."""
        if self.ended:
            return
        if self.connection is not None:
            self.connection.cancel()
        else:
            self.tell(Break.CANCELLED)

    def is_written(self) -> bool:
        """Tell whether the request is on a connection, and may be read."""
        return self.connection is not None

    def tell(self, outcome: ClientAnswer | Break) -> None:
        """Tell the outcome once."""
        if not self.ended:
            self.ended = True
            self.done(outcome)


@define(eq=False)
class BackendPool:
    """Sends requests over kept connections, the one used last first."""

    clock: Callable[[], float]
    read_idle_limit: Callable[[ClientAnswer], float | None]
    on_open: Callable[[], None] = lambda: None
    _trusted_idle_s: float = DEFAULT_IDLE_LIMIT_S
    _idle: list[ClientConnection] = field(factory=list)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    def send(
        self,
        address: Address,
        data: bytes,
        fresh: bool,
        accepts: Callable[[ClientAnswer], bool],
        done: Callable[[ClientAnswer | Break], None],
        head_only: bool = False,
    ) -> PendingRequest:
        """Send a whole request; ``fresh`` asks for a connection in recent use.

        The answer to a request for the head alone (``head_only``) has no body,
        whatever length it announces.
        """
        sending = PendingRequest(done, head_only=head_only)
        connection = self._take(fresh)
        if connection is not None:
            self._send_on(connection, sending, data, accepts)
            return sending
        task = asyncio.get_running_loop().create_task(
            self._connect_and_send(address, sending, data, accepts)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return sending

    def close_idle_connections(self) -> None:
        """Close the idle connections, as when the node ends."""
        for connection in list(self._idle):
            connection.close()
        self._idle.clear()

    def reset(self) -> None:
        """Begin anew with a server that has started again.

        Connections that are idle lead to the earlier start, and so does what was
        learned of how long it keeps them.
        """
        self.close_idle_connections()
        self._trusted_idle_s = DEFAULT_IDLE_LIMIT_S

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        grown_s = self._trusted_idle_s * TRUST_GROWTH
        self._trusted_idle_s = min(DEFAULT_IDLE_LIMIT_S, grown_s)
        now_s = self.clock()
        for connection in list(self._idle):
            if not self._is_usable(connection, now_s):
                self._idle.remove(connection)
                connection.close()

    def _take(self, fresh: bool) -> ClientConnection | None:
        now_s = self.clock()
        while self._idle:
            connection = self._idle[-1]
            if fresh and now_s - connection.idle_since_s > FRESH_IDLE_S:
                return None
            self._idle.pop()
            if not connection.closed and self._is_usable(connection, now_s):
                return connection
            connection.close()
        return None

    def _is_usable(self, connection: ClientConnection, now_s: float) -> bool:
        limit_s = connection.idle_limit_s
        if limit_s is None:
            limit_s = DEFAULT_IDLE_LIMIT_S
        limit_s = min(max(0.0, limit_s - IDLE_MARGIN_S), self._trusted_idle_s)
        return now_s - connection.idle_since_s < limit_s

    def _send_on(
        self,
        connection: ClientConnection,
        sending: PendingRequest,
        data: bytes,
        accepts: Callable[[ClientAnswer], bool],
    ) -> None:
        sending.connection = connection
        sent_s = self.clock()
        idle_s = sent_s - connection.idle_since_s

        def note(outcome: ClientAnswer | Break) -> None:
            soon = self.clock() - sent_s < FORGOTTEN_WITHIN_S
            if outcome is Break.CLOSED and soon:
                self._note_forgotten(idle_s)
            if isinstance(outcome, ClientAnswer):
                limit_s = self.read_idle_limit(outcome)
                if limit_s is not None:
                    connection.idle_limit_s = limit_s
            sending.tell(outcome)

        connection.send(data, note, accepts, sending.head_only)

    async def _connect_and_send(
        self,
        address: Address,
        sending: PendingRequest,
        data: bytes,
        accepts: Callable[[ClientAnswer], bool],
    ) -> None:
        try:
            connection = await open_connection(
                address, CONNECT_LIMIT_S, self._note_idle, self._note_lost
            )
        except OSError:
            # told to the caller, who counts it as a server that can't be reached
            sending.tell(Break.REFUSED)
            return
        self.on_open()
        if connection.closed:
            sending.tell(Break.REFUSED)
        elif sending.ended:
            self._note_idle(connection)
        else:
            self._send_on(connection, sending, data, accepts)

    def _note_forgotten(self, idle_s: float) -> None:
        """Trust idle connections for less time if one had been forgotten."""
        if FORGOTTEN_IDLE_S <= idle_s < self._trusted_idle_s:
            self._trusted_idle_s = TRUSTED_SHARE * idle_s
            logger.info(
                "server forgets idle connections",
                idle_s=round(idle_s, 3),
                trusted_s=round(self._trusted_idle_s, 3),
            )

    def _note_idle(self, connection: ClientConnection) -> None:
        connection.idle_since_s = self.clock()
        self._idle.append(connection)

    def _note_lost(self, connection: ClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
