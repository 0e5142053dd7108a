"""The listener for the announcements of the server beside a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from eelgrassmount.errors import PlatformDocumentError

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.heartbeats import Heartbeat
    from eelgrassmount.relay.server import LocalServer

ACCEPTED = b"content-type: application/json\r\n"


@define(eq=False)
class AnnouncementListener:
    """Takes heartbeats and leaves, closes the gate and then acknowledges.

    The acknowledgement of a server that leaves binds this node: the gate is
    closed and the other nodes are told before it is sent.
    """

    server: LocalServer
    read: Callable[[str, str, bytes], Heartbeat | None]
    on_change: Callable[[], None]

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        try:
            heartbeat = self.read(exchange.method, exchange.target, exchange.body)
        except PlatformDocumentError as error:
            logger.warning("bad heartbeat", cause=str(error))
            exchange.respond(400, b"", str(error).encode())
            return
        if heartbeat is None:
            exchange.respond(404)
            return
        if self.server.note_heartbeat(heartbeat):
            logger.info(
                "server changed",
                incarnation=str(heartbeat.incarnation),
                sequence=heartbeat.sequence,
                draining=self.server.draining,
                left=self.server.left,
                slots=self.server.slots,
            )
            self.on_change()
        exchange.respond(200, ACCEPTED, b"{}")
