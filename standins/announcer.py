"""Announcements of a backend server to the node on its VM."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio

from standins.client import UnansweredError

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.client import Client

_INTERVAL_S = 1.0
_TIMEOUT_S = 2.0


class Announcer:
    """Announces the result of ``describe`` periodically and on each change.

    ``last_reply`` is the node's latest reply, ``None`` if it failed.
    """

    def __init__(
        self,
        client: Client,
        node_address: str,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        self.last_reply: dict[str, Any] | None = None
        self._client = client
        self._node_address = node_address
        self._describe = describe
        self._changed = anyio.Event()

    def announce_soon(self) -> None:
        """Wake the periodic task for an announcement now."""
        self._changed.set()

    async def run(self) -> None:
        """Send announcements until cancelled."""
        while True:
            await self.announce("PUT")
            with anyio.move_on_after(_INTERVAL_S):
                await self._changed.wait()
            self._changed = anyio.Event()

    async def announce(self, method: str) -> None:
        """Send one announcement with ``PUT``, or deregister with ``DELETE``."""
        try:
            answer = await self._client.request(
                self._node_address,
                method,
                "/_eelgrassmount/server",
                {"content-type": "application/json"},
                json.dumps(self._describe()).encode(),
                _TIMEOUT_S,
            )
            self.last_reply = json.loads(answer.body) if answer.status == 200 else None
        except (UnansweredError, ValueError):
            self.last_reply = None
