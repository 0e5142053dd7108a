"""The announcements of a backend server to its own node."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio

from standins.client import UnansweredError

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.client import Client

_EVERY_S = 1.0
_TIMEOUT_S = 2.0


class Announcer:
    """Announces every second and on each change what ``describe`` returns.

    ``told`` is what the node answered last, or ``None`` when it did not.
    """

    def __init__(
        self,
        client: Client,
        node_address: str,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        self.told: dict[str, Any] | None = None
        self._client = client
        self._node_address = node_address
        self._describe = describe
        self._changed = anyio.Event()

    def change(self) -> None:
        """Announce at once."""
        self._changed.set()

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            await self.tell("PUT")
            with anyio.move_on_after(_EVERY_S):
                await self._changed.wait()
            self._changed = anyio.Event()

    async def tell(self, method: str) -> None:
        """Announce once with ``PUT``, or say goodbye with ``DELETE``."""
        try:
            answer = await self._client.request(
                self._node_address,
                method,
                "/_eelgrassmount/server",
                {"content-type": "application/json"},
                json.dumps(self._describe()).encode(),
                _TIMEOUT_S,
            )
            self.told = json.loads(answer.body) if answer.status == 200 else None
        except (UnansweredError, ValueError):
            self.told = None
