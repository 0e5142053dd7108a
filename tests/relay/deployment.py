"""A deployment in one process on loopback: log, backend servers and nodes."""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import TYPE_CHECKING, Any

import anyio
from attrs import define, field

from eelgrassmount.compose.relay import RelayNode, build_relay
from eelgrassmount.compose.relay_run import start_relay
from eelgrassmount.http1.client import (
    ClientAnswer,
    ClientConnection,
    ExchangeFailure,
    open_connection,
)
from eelgrassmount.relay.settings import RelaySettings
from eelgrassmount.util.addresses import Address
from standins.platform_log import PlatformLog
from standins.platform_server import PlatformServer

if TYPE_CHECKING:
    from anyio.abc import TaskGroup, TaskStatus

# Depends on the process, so that concurrent test runs use different addresses.
LOOPBACK_PREFIX = f"127.{64 + os.getpid() % 128}"
LOG = Address(f"{LOOPBACK_PREFIX}.0.1", 8309)
HOST = "shop.example"
TIMEOUT_S = 5.0


def read_unix_ms() -> int:
    """Return the Unix time in milliseconds, as in the heartbeats of servers."""
    return int(time.time() * 1000)


def make_rule(prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    rule = {
        "name": f"r-{service}",
        "kind": "idempotent",
        "targetLatencyMs": 300,
        "priority": 1,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeoutMs": 1000, "maxAttempts": 2},
    }
    action = changes.pop("action", {})
    rule["action"].update(action)
    return {**rule, **changes}


def make_team(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    return {"name": name, "apiKeys": list(keys), "priority": 1, **changes}


def make_document(
    version: int, *rules: dict[str, Any], teams: list[dict[str, Any]] | None = None
) -> bytes:
    services = sorted({rule["action"]["service"] for rule in rules})
    content = {
        "version": f"r{version}",
        "limits": {},
        "listeners": [{"host": HOST, "routeRules": list(rules)}],
        "clusters": [{"name": name, "healthPath": "/h"} for name in services],
    }
    if teams is not None:
        content["tenants"] = teams
    return json.dumps(content).encode()


@define(eq=False)
class Vm:
    """A VM with a node and a backend server."""

    node: RelayNode
    server: PlatformServer
    settings: RelaySettings
    scope: anyio.CancelScope
    sequence: int = 0
    started_ms: int = field(factory=lambda: read_unix_ms())

    async def restart_server(self) -> PlatformServer:
        """Replace the server by a new one of the same identity; return the old one."""
        earlier = self.server
        earlier.listener.end()
        self.server = PlatformServer(earlier.incarnation)
        await self.server.start(self.settings.server_address.host, 8301)
        self.mark_restarted()
        return earlier

    def mark_restarted(self) -> None:
        """Announce a later start in the next heartbeats, without a real restart."""
        self.sequence = 0
        self.started_ms = max(self.started_ms + 1, read_unix_ms())

    async def announce(
        self,
        draining: bool = False,
        identity: str = "",
        started_ms: int | None = None,
    ) -> ClientAnswer | ExchangeFailure:
        """Send a heartbeat of this or another server; a start of 0 is omitted."""
        self.sequence += 1
        if started_ms is None:
            started_ms = self.started_ms
        body = {
            "address": str(self.settings.server_address),
            "info": {
                "service": self.settings.service,
                "version": "v1",
                "zone": "a",
                "slots": 8,
            },
            "status": {
                "state": "draining" if draining else "ready",
                "sequence": self.sequence,
                "coldRemainingMs": 0,
            },
        }
        if started_ms:
            body["born"] = started_ms
        target = f"/instances/{identity or self.server.incarnation}/heartbeat"
        address = self.settings.announce_address
        return await request(address, "POST", target, json.dumps(body).encode())

    async def announce_leave(
        self, started_ms: int = 0
    ) -> ClientAnswer | ExchangeFailure:
        """Send the leave message of the server; a start of 0 is omitted."""
        target = f"/instances/{self.server.incarnation}/leave"
        body = json.dumps({"born": started_ms}).encode() if started_ms else b""
        return await request(self.settings.announce_address, "POST", target, body)


@define(eq=False)
class Deployment:
    """A log and the VMs that were added."""

    group: TaskGroup
    log: PlatformLog = field(factory=PlatformLog)
    vms: list[Vm] = field(factory=list)

    async def start(self, *rules: dict[str, Any]) -> None:
        """Start the log with a first configuration."""
        await self.log.start(LOG.host, LOG.port)
        if rules:
            self.configure(1, *rules)

    async def end(self) -> None:
        """Stop the nodes, the servers and the log."""
        for vm in self.vms:
            vm.node.end()
            vm.server.listener.end()
        self.log.end()
        await anyio.sleep(0.01)

    def configure(
        self,
        version: int,
        *rules: dict[str, Any],
        teams: list[dict[str, Any]] | None = None,
    ) -> None:
        """Publish a configuration."""
        document = make_document(version, *rules, teams=teams)
        self.log.put("keyed.op", "config", document)

    async def add(self, service: str, domain: str = "a", **changes: Any) -> Vm:
        """Start a VM whose server sends a first heartbeat."""
        host = f"{LOOPBACK_PREFIX}.1.{len(self.vms) + 1}"
        values = {
            "name": f"node-{len(self.vms) + 1}",
            "failure_domain": domain,
            "service": service,
            "caller_address": Address(host, 8304),
            "peer_address": Address(host, 7620),
            "ready_address": Address(host, 8302),
            "announce_address": Address(host, 8306),
            "server_address": Address(host, 8301),
            "log_address": LOG,
        }
        settings = RelaySettings(**{**values, **changes})
        server = PlatformServer(f"i-{len(self.vms) + 1}")
        await server.start(host, 8301)
        node = build_relay(settings)
        vm = Vm(node, server, settings, await self._start_node(node))
        self.vms.append(vm)
        await vm.announce()
        return vm

    async def restart_node(self, vm: Vm) -> None:
        """Kill the node of a VM and start it again beside the same server."""
        vm.scope.cancel()
        vm.node.end()
        vm.node = build_relay(vm.settings)
        vm.scope = await self._start_node(vm.node)

    async def _start_node(self, node: RelayNode) -> anyio.CancelScope:
        return await self.group.start(_run_node, node)

    async def wait_until_connected(self) -> None:
        """Wait until all nodes have the configuration and the links that it needs."""
        with anyio.fail_after(TIMEOUT_S):
            while not all(self._is_connected(vm) for vm in self.vms):
                await anyio.sleep(0.02)

    def _is_connected(self, vm: Vm) -> bool:
        state = vm.node.state
        called_services = {
            target.service
            for route in state.table.routes.values()
            for target in route.targets
        }
        linked = all(
            member.is_connected()
            for member in state.members.by_name.values()
            if member.name != state.name and member.service in called_services
        )
        all_known = len(state.members.by_name) == len(self.vms)
        return vm.node.is_ready() and all_known and linked


async def _run_node(
    node: RelayNode, *, task_status: TaskStatus[anyio.CancelScope]
) -> None:
    """Run a node until the scope that is returned as its status is cancelled."""
    async with anyio.create_task_group() as group:
        await start_relay(node, group)
        task_status.started(group.cancel_scope)


async def connect(address: Address) -> ClientConnection:
    """Open a connection."""
    return await open_connection(address, TIMEOUT_S)


async def send(
    connection: ClientConnection, data: bytes
) -> ClientAnswer | ExchangeFailure:
    """Send a request and return its outcome."""
    future = asyncio.get_running_loop().create_future()
    head_only = data.startswith(b"HEAD ")
    connection.send(data, future.set_result, head_only=head_only)
    with anyio.fail_after(TIMEOUT_S):
        return await future


def make_request(
    method: str, target: str, body: bytes = b"", request_id: str = "a1", **names: str
) -> bytes:
    lines = [
        f"{method} {target} HTTP/1.1",
        f"host: {HOST}",
        f"eelgrassmount-attempt-id: {request_id}",
        f"content-length: {len(body)}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in names.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def request(
    address: Address, method: str, target: str, body: bytes = b"", **names: str
) -> ClientAnswer | ExchangeFailure:
    """Send one request over a new connection."""
    connection = await connect(address)
    answer = await send(connection, make_request(method, target, body, **names))
    connection.close()
    return answer


async def send_as_client(
    vm: Vm, target: str, method: str = "GET", **names: str
) -> ClientAnswer:
    """Send one request to the address of a node for clients on its VM."""
    return await request(vm.settings.caller_address, method, target, **names)
