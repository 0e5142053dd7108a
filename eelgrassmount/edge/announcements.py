"""Announcements of the backend server on this VM."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

from eelgrassmount.errors import AddressError, AnnouncementError
from eelgrassmount.members.table import ServerState
from eelgrassmount.shared_node_state import LocalServer
from eelgrassmount.util.addresses import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

# Time without an announcement after which the server counts as stopped.
ANNOUNCEMENT_TIMEOUT_S = 3.5
CHECK_INTERVAL_S = 0.5
_SERVICE_PATTERN = re.compile(r"[A-Za-z0-9._~-]{1,128}")

_STATES = {
    "starting": ServerState.STARTING,
    "serving": ServerState.SERVING,
    "draining": ServerState.DRAINING,
}


@define(eq=False)
class Announcements:
    """Updates the node state's ``server`` from the server's announcements.

    ``on_change`` is called when the service, address or state changes.
    """

    shared_state: SharedNodeState
    timers: TimerService
    on_change: Callable[[], None]
    count_running: Callable[[], int]

    def start(self) -> None:
        """Start to check for a server that no longer announces itself."""
        self.timers.subscribe(CHECK_INTERVAL_S, self._check)

    def apply(self, body: bytes) -> dict[str, Any]:
        """Apply an announcement and return the answer to it.

        Raises `AnnouncementError` for an invalid announcement, which changes nothing.
        """
        server = parse_announcement(body, self.timers.read())
        self._update(server)
        return {
            "incarnation": self.shared_state.identity.incarnation,
            "in_flight": self.count_running(),
        }

    def remove(self) -> None:
        """Record that the server has stopped."""
        self._update(LocalServer())

    def _update(self, server: LocalServer) -> None:
        previous = self.shared_state.server
        self.shared_state.server = server
        if (server.service, server.address, server.state) == (
            previous.service,
            previous.address,
            previous.state,
        ):
            return
        logger.info(
            "backend server changed",
            service=server.service or previous.service,
            state=server.state.name.lower(),
        )
        self.on_change()

    def _check(self) -> None:
        server = self.shared_state.server
        if server.state is ServerState.ABSENT:
            return
        if self.timers.read() - server.announced_s > ANNOUNCEMENT_TIMEOUT_S:
            self.remove()


def parse_announcement(body: bytes, now_s: float) -> LocalServer:
    """Return the server that an announcement describes.

    Raises `AnnouncementError` if the announcement is invalid.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise AnnouncementError(f"the body is not JSON ({error})") from error
    if not isinstance(fields, dict):
        raise AnnouncementError("the body must be a JSON object")
    return LocalServer(
        service=_parse_service(fields.get("service")),
        address=_parse_address(fields.get("address")),
        state=_parse_state(fields.get("state")),
        load=_parse_load(fields.get("load", 0.0)),
        announced_s=now_s,
    )


def _parse_service(value: Any) -> str:
    if not isinstance(value, str) or not _SERVICE_PATTERN.fullmatch(value):
        raise AnnouncementError(
            f"service is {value!r}; it must be the first path segment of its routes, "
            "with only letters, digits and . _ ~ -"
        )
    return value


def _parse_address(value: Any) -> str:
    try:
        return str(parse_address(str(value)))
    except AddressError as error:
        raise AnnouncementError(f"address: {error}") from error


def _parse_state(value: Any) -> ServerState:
    if not isinstance(value, str) or value not in _STATES:
        allowed = ", ".join(_STATES)
        raise AnnouncementError(f"state is {value!r}; it must be one of {allowed}")
    return _STATES[value]


def _parse_load(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise AnnouncementError(f"load is {value!r}; it must be a number from 0 to 1")
    # Compare before the conversion: an integer may be too large for a float.
    return float(min(1, max(0, value)))
