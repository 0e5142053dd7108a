"""Listener for the heartbeats and leave messages of the local backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from eelgrassmount.errors import PlatformDocumentError, WrongServerError
from eelgrassmount.relay.rejected_messages import MessageKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.heartbeats import Heartbeat
    from eelgrassmount.relay.rejected_messages import RejectedMessages
    from eelgrassmount.relay.server import LocalServer

ACCEPTED = b"content-type: application/json\r\n"


@define(eq=False, repr=False)
class AnnouncementListener:
    """Applies heartbeats and leave messages of the server, then acknowledges them.

    A server that leaves may stop once its message is acknowledged, so ``on_change``
    stops new calls to it and notifies the other nodes first. A message that can't be
    parsed, or for which ``check`` raises `WrongServerError`, changes nothing.
    """

    server: LocalServer
    read: Callable[[str, str, bytes], Heartbeat | None]
    check: Callable[[Heartbeat], None]
    on_change: Callable[[], None]
    rejected_messages: RejectedMessages

    def handle(self, exchange: Exchange) -> None:
        """Handle one request of the server."""
        try:
            heartbeat = self.read(exchange.method, exchange.target, exchange.body)
            if heartbeat is not None:
                self.check(heartbeat)
        except PlatformDocumentError as error:
            self._refuse(exchange, 400, error.part, str(error))
            return
        except WrongServerError as error:
            self._refuse(exchange, 421, f"other {error.part}", str(error))
            return
        if heartbeat is None:
            exchange.respond(404)
            return
        if self.server.apply_heartbeat(heartbeat):
            logger.info(
                "server changed",
                incarnation=str(heartbeat.incarnation),
                sequence=heartbeat.sequence,
                draining=self.server.draining,
                left=self.server.has_left,
                slots=self.server.slots,
            )
            self.on_change()
        exchange.respond(200, ACCEPTED, b"{}")

    def _refuse(self, exchange: Exchange, status: int, cause: str, detail: str) -> None:
        source = exchange.get_peer_ip()
        self.rejected_messages.record(MessageKind.ANNOUNCEMENT, source, cause, detail)
        exchange.respond(status, b"", detail.encode())


def check_server(heartbeat: Heartbeat, service: str, address: str) -> None:
    """Raise `WrongServerError` unless a heartbeat names this service and address.

    A heartbeat of another server would change this node's service and displace the
    server on its VM. A leave message names neither service nor address.
    """
    if heartbeat.leaving:
        return
    if heartbeat.service != service:
        raise WrongServerError("service", heartbeat.service, service)
    if heartbeat.address != address:
        raise WrongServerError("address", heartbeat.address, address)
