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
    stops new calls to it and notifies the other nodes first. ``check_settings`` reads
    the settings again before a message of another server is refused. A message that
    can't be parsed, or is not of the server of this VM, is answered with an error.
    """

    server: LocalServer
    read: Callable[[str, str, bytes], Heartbeat | None]
    check_settings: Callable[[], None]
    on_change: Callable[[], None]
    rejected_messages: RejectedMessages

    def handle(self, exchange: Exchange) -> None:
        """Handle one request of the server."""
        try:
            heartbeat = self.read(exchange.method, exchange.target, exchange.body)
        except PlatformDocumentError as error:
            self._refuse(exchange, 400, error.part, str(error))
            return
        if heartbeat is None:
            exchange.respond(404)
            return
        if self.server.find_mismatch(heartbeat) is not None:
            # the settings file may have changed without a signal
            self.check_settings()
        evidence = self.server.evidence
        try:
            changed = self.server.apply_heartbeat(heartbeat)
        except WrongServerError as error:
            if self.server.evidence is not evidence:
                logger.warning("server belongs elsewhere", cause=str(error))
                self.on_change()
            self._refuse(exchange, 421, f"other {error.part}", str(error))
            return
        if changed:
            logger.info(
                "server changed",
                incarnation=str(heartbeat.incarnation),
                service=self.server.service,
                sequence=heartbeat.sequence,
                draining=self.server.draining,
                left=self.server.has_left,
                slots=self.server.slots,
            )
            self.on_change()
        if not self.server.keeps_stop(heartbeat):
            started = f"{heartbeat.incarnation} is not {self.server.incarnation}"
            self._refuse(exchange, 409, "earlier start", f"stop: {started}")
            return
        exchange.respond(200, ACCEPTED, b"{}")

    def _refuse(self, exchange: Exchange, status: int, cause: str, detail: str) -> None:
        source = exchange.get_peer_ip()
        self.rejected_messages.record(MessageKind.ANNOUNCEMENT, source, cause, detail)
        exchange.respond(status, b"", detail.encode())
