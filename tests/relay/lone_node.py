"""One node alone on loopback, without a log, a server or other nodes."""

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
    from eelgrassmount.http1.client import Break, ClientAnswer

# an address of its own for each process, as tests may run side by side
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
START_MS = 1_790_000_000_000
LIMIT_S = 20


@define(eq=False)
class LoneNode:
    """A node and what its server would send it."""

    node: RelayNode

    async def post(self, target: str, body: bytes = b"") -> ClientAnswer | Break:
        """Send one call to the listener for announcements."""
        return await request(SETTINGS.announce_address, "POST", target, body)

    async def announce(
        self, identity: str = "i-1", sequence: int = 1, **changes: Any
    ) -> ClientAnswer | Break:
        """Send a heartbeat, with fields of the parts changed."""
        body = make_heartbeat(sequence, **changes)
        return await self.post(f"/instances/{identity}/heartbeat", body)

    def read_server_view(self) -> tuple[Any, ...]:
        """Return what the node believes of the server and tells other nodes."""
        beliefs = self.node.beliefs
        server = beliefs.server
        own = beliefs.members.by_name[SETTINGS.name]
        return (
            server.service,
            str(server.incarnation),
            server.sequence,
            server.draining,
            server.left,
            server.slots,
            own.service,
            beliefs.make_hello().service_name,
        )

    def change_settings(self, **changes: Any) -> None:
        """Apply changed settings, as when the settings file is read again."""
        self.node.apply_settings(evolve(SETTINGS, **changes))


def make_heartbeat(sequence: int = 1, **changes: Any) -> bytes:
    content = {
        "address": str(SETTINGS.server_address),
        "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 8},
        "status": {"state": "ready", "sequence": sequence, "coldRemainingMs": 0},
        "born": START_MS,
    }
    for name, value in changes.items():
        holder = next(
            (part for part in (content["info"], content["status"]) if name in part),
            content,
        )
        holder[name] = value
    return json.dumps(content).encode()


def run(scenario: Callable) -> None:
    """Run a scenario beside a node that has started."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            node = build_relay(SETTINGS)
            await start_relay(node, group)
            try:
                with anyio.fail_after(LIMIT_S):
                    await scenario(LoneNode(node))
            finally:
                node.end()
                group.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})
