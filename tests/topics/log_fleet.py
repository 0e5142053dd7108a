"""A fleet whose nodes call the log at an address of their own each."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define

from eelgrassmount.util.addresses import Address
from standins.platform_log import AnswerLoss, LogFault
from tests.relay.deployment import LOOPBACK_PREFIX, Deployment, make_document, make_rule
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.relay.deployment import Vm
    from tests.relay.virtual import Network

LIST = make_rule("/list/", "list")
DOMAINS = ("a", "b", "c")
LOG_PORT = 8309
# Nodes that read the log only because they knew few others have stopped by then.
STARTUP_TIME_S = 8.0
# All nodes have a configuration by then, counted from the end of the last fault and
# from the acknowledgement.
STABLE_WINDOW_S = 3.0
MAX_APPLY_TIME_S = 2.0


@define(eq=False)
class Fleet:
    """Nodes that call the log at an address of their own each."""

    deployment: Deployment
    network: Network
    version: int = 1

    @property
    def vms(self) -> list[Vm]:
        return self.deployment.vms

    async def add(self, domain: str) -> Vm:
        address = Address(f"{LOOPBACK_PREFIX}.2.{len(self.vms) + 1}", LOG_PORT)
        await self.deployment.log.listen(address.host, address.port)
        return await self.deployment.add("list", domain, log_address=address)

    def list_readers(self, domains: tuple[str, ...] = DOMAINS) -> list[Vm]:
        return [
            vm
            for vm in self.vms
            if vm.node.readers.reading and vm.settings.failure_domain in domains
        ]

    def configure(self) -> float:
        """Write the next version, and return when it was acknowledged."""
        self.version += 1
        document = make_document(self.version, LIST)
        self.deployment.log.put("keyed.op", "config", document)
        return anyio.current_time()

    def lose_answers(self, vms: list[Vm], loss: AnswerLoss = AnswerLoss.WHOLE) -> None:
        for vm in vms:
            self.deployment.log.losses[vm.settings.log_address.host] = loss

    def reset_log_connections(self) -> None:
        for vm in self.vms:
            address = vm.settings.log_address
            self.network.reset((address.host, address.port))

    def turn_away(self, vms: list[Vm]) -> None:
        """Refuse all calls of nodes, also those that wait."""
        for vm in vms:
            address = vm.settings.log_address
            self.deployment.log.faults[address.host] = LogFault.UNAVAILABLE
            self.network.reset((address.host, address.port))

    def end_losses(self) -> float:
        """Let the log answer again, and return the time."""
        self.deployment.log.losses.clear()
        self.deployment.log.faults.clear()
        return anyio.current_time()

    def list_outdated(self, ignored: tuple[Vm, ...] | list[Vm] = ()) -> list[str]:
        """Return the nodes without the last version, except those that are ignored."""
        return [
            vm.settings.name
            for vm in self.vms
            if vm not in ignored and vm.node.state.table.version < self.version
        ]

    async def expect_version(self, ended_s: float, acknowledged_s: float) -> None:
        bound_s = max(ended_s + STABLE_WINDOW_S, acknowledged_s + MAX_APPLY_TIME_S)
        await anyio.sleep(bound_s - anyio.current_time())
        assert self.list_outdated() == []


def play(
    scenario: Callable[[Fleet], Awaitable[None]],
    nodes: int = 4,
    domains: tuple[str, ...] = DOMAINS,
    seed: int = 0,
) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            fleet = Fleet(Deployment(group), network)
            await fleet.deployment.start(LIST)
            for number in range(nodes * len(domains)):
                await fleet.add(domains[number % len(domains)])
            await anyio.sleep(STARTUP_TIME_S + 0.37 * seed)
            try:
                await scenario(fleet)
            finally:
                await fleet.deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main, seed)
