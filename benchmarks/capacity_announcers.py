"""Announces backend servers to their nodes without running the servers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import threading
import time
from typing import TYPE_CHECKING

from attrs import define

from standins.client import Client, UnansweredError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from standins.processes import Process

ANNOUNCEMENT_PATH = "/_eelgrassmount/server"
_ANNOUNCE_INTERVAL_S = 1.0
_ANNOUNCE_TIMEOUT_S = 2.0


@define(eq=False)
class NodeProcess:
    """One node and the state that its backend server announces."""

    name: str
    failure_domain: str
    service: str
    peer_address: str
    admin_address: str
    backend_address: str
    process: Process
    state: str = "serving"


def describe_server(node: NodeProcess) -> dict[str, str]:
    """Return the announcement of a node's server; its address receives no calls."""
    return {"service": node.service, "address": "127.0.0.1:1", "state": node.state}


class Announcers:
    """Announces the backend servers of all nodes from a single thread.

    This saves a server process for each node.
    """

    def __init__(self, nodes: Iterable[NodeProcess]) -> None:
        self._nodes = list(nodes)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        asyncio.run(self._announce_all())

    async def _announce_all(self) -> None:
        client = Client()
        async with asyncio.TaskGroup() as group:
            for index, node in enumerate(self._nodes):
                offset_s = _ANNOUNCE_INTERVAL_S * index / len(self._nodes)
                group.create_task(self._announce(client, node, offset_s))
        client.close()

    async def _announce(
        self, client: Client, node: NodeProcess, offset_s: float
    ) -> None:
        await asyncio.sleep(offset_s)
        while not self._stopping.is_set():
            started_s = time.monotonic()
            if node.process.running:
                await self._send_announcement(client, node)
            await asyncio.sleep(
                max(0.0, started_s + _ANNOUNCE_INTERVAL_S - time.monotonic())
            )

    async def _send_announcement(self, client: Client, node: NodeProcess) -> None:
        headers = {"content-type": "application/json"}
        body = json.dumps(describe_server(node)).encode()
        # A node that is still starting receives the next announcement.
        with contextlib.suppress(UnansweredError):
            await client.request(
                node.backend_address,
                "PUT",
                ANNOUNCEMENT_PATH,
                headers,
                body,
                _ANNOUNCE_TIMEOUT_S,
            )
