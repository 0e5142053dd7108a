"""A single node on loopback, without a log, a backend server or other nodes."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

import anyio
from attrs import define, evolve

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.compose.relay_run import start_relay
from eelgrassmount.relay.settings import RelaySettings
from eelgrassmount.util.addresses import Address
from tests.relay.deployment import request

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.compose.relay_node import RelayNode
    from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure

# Depends on the process, so that concurrent test runs use different addresses.
HOST = f"127.78.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
SETTINGS = RelaySettings(
    name="node-1",
    failure_domain="a",
    service="desk",
    caller_address=Address(HOST, 8304),
    peer_address=Address(HOST, 7620),
    ready_address=Address(HOST, 8302),
    announce_address=Address(HOST, 8306),
    server_address=Address(HOST, 8301),
    log_address=Address(HOST, 8309),
)
STARTED_MS = 1_790_000_000_000
TIMEOUT_S = 20


@define(eq=False)
class LoneNode:
    """A node and the messages of its backend server."""

    node: RelayNode

    async def post(
        self, target: str, body: bytes = b""
    ) -> ClientAnswer | ExchangeFailure:
        """Send one request to the listener for announcements."""
        return await request(SETTINGS.announce_address, "POST", target, body)

    async def announce(
        self, identity: str = "i-1", sequence: int = 1, **changes: Any
    ) -> ClientAnswer | ExchangeFailure:
        """Send a heartbeat with some fields changed."""
        body = make_heartbeat(sequence, **changes)
        return await self.post(f"/instances/{identity}/heartbeat", body)

    def read_server_view(self) -> tuple[Any, ...]:
        """Return the node's state of the server, and what it reports to other nodes."""
        state = self.node.state
        server = state.server
        local = state.members.by_name[SETTINGS.name]
        return (
            server.service,
            str(server.incarnation),
            server.sequence,
            server.draining,
            server.has_left,
            server.slots,
            local.service,
            state.make_hello().service_name,
        )

    def change_settings(self, **changes: Any) -> None:
        """Apply changed settings, as a reload of the settings file does."""
        self.node.apply_settings(evolve(SETTINGS, **changes))


def make_heartbeat(sequence: int = 1, **changes: Any) -> bytes:
    content = {
        "address": str(SETTINGS.server_address),
        "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 8},
        "status": {"state": "ready", "sequence": sequence, "coldRemainingMs": 0},
        "born": STARTED_MS,
    }
    for name, value in changes.items():
        section = next(
            (part for part in (content["info"], content["status"]) if name in part),
            content,
        )
        section[name] = value
    return json.dumps(content).encode()


def run(scenario: Callable) -> None:
    """Run a scenario with a started node."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            node = build_relay(SETTINGS)
            await start_relay(node, group)
            try:
                with anyio.fail_after(TIMEOUT_S):
                    await scenario(LoneNode(node))
            finally:
                node.end()
                group.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})
