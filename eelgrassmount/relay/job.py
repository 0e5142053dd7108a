"""A call at the dispatcher of the local backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from eelgrassmount.relay.backend import ServerExchange
    from eelgrassmount.relay.heartbeats import ServerIncarnation
    from eelgrassmount.relay.messages import Call, Reply


@define(eq=False, repr=False)
class Job:
    """A call at the dispatcher; ``done`` is called once with its reply.

    ``timeout_s`` is the time that the server was given for the call.
    ``incarnation`` is the server that the call was sent to. ``server_restarted`` is set
    if that server has restarted since. ``expiry`` is the timer that refuses a waiting
    call shortly before its deadline.
    """

    call: Call
    done: Callable[[Reply], None]
    exchange: ServerExchange | None = None
    started_s: float = 0.0
    timeout_s: float = 0.0
    incarnation: ServerIncarnation | None = None
    ended: bool = False
    overdue: bool = False
    silent: bool = False
    server_restarted: bool = False
    expiry: asyncio.Handle | None = None

    def cancel_expiry(self) -> None:
        """Cancel the timer of a call that no longer waits.

        It would wake the process up, and keep the call in memory until then.
        """
        if self.expiry is not None:
            self.expiry.cancel()
            self.expiry = None

    def was_sent_before(self, now_s: float) -> bool:
        """Return whether the server could have read the call before a time."""
        written = self.exchange is not None and self.exchange.is_written()
        return written and self.started_s < now_s
