"""Fleets whose readers lose answers of the log while their connections stay open."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import anyio
import pytest
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
ONE_ANSWER_S = 0.05


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

    def end_losses(self) -> float:
        """Let the log answer again, and return the time."""
        self.deployment.log.losses.clear()
        return anyio.current_time()

    def list_outdated(self) -> list[str]:
        return [
            vm.settings.name
            for vm in self.vms
            if vm.node.state.table.version < self.version
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


# Guards against readers that wait for an answer that was lost, and say that they read.
@pytest.mark.parametrize("loss", AnswerLoss)
@pytest.mark.parametrize(
    ("nodes", "domains"),
    [(1, ("a",)), (2, ("a",)), (3, ("a",)), (4, DOMAINS), (1, DOMAINS)],
)
def test_all_readers_that_lose_one_answer_learn_the_configuration(nodes, domains, loss):
    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(fleet.vms, loss)
        acknowledged_s = fleet.configure()
        await anyio.sleep(ONE_ANSWER_S)
        await fleet.expect_version(fleet.end_losses(), acknowledged_s)

    play(scenario, nodes, domains)


@pytest.mark.parametrize("written_at", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("seconds", [0.6, 1.3, 2.2, 3.1, 4.7, 7.9])
def test_configuration_applies_in_time_after_lost_answers(seconds, written_at):
    """Guards against retries that start later than the stable window after a loss."""

    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(fleet.vms)
        await anyio.sleep(seconds * written_at)
        acknowledged_s = fleet.configure()
        await anyio.sleep(seconds * (1.0 - written_at))
        await fleet.expect_version(fleet.end_losses(), acknowledged_s)

    play(scenario)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("seconds", [1.0 + 0.6 * step for step in range(8)])
def test_configuration_applies_in_time_after_a_silent_log(seconds, seed):
    """Guards against long retry delays after calls that took their whole time-out."""

    async def scenario(fleet: Fleet) -> None:
        # Open reads fail, so that those after them fail in the silence.
        fleet.deployment.log.fault = LogFault.SILENT
        fleet.reset_log_connections()
        acknowledged_s = fleet.configure()
        await anyio.sleep(seconds)
        fleet.deployment.log.fault = LogFault.NONE
        await fleet.expect_version(anyio.current_time(), acknowledged_s)

    play(scenario, 1, ("a",), seed)


@pytest.mark.parametrize("domains", [("a",), ("b",), ("a", "b")])
def test_domain_to_which_the_log_is_silent_learns_the_configuration(domains):
    """Guards against readers that wait for the log although others hear from it."""

    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(
            [vm for vm in fleet.vms if vm.settings.failure_domain in domains]
        )
        await anyio.sleep(1.0)
        for _ in range(3):
            acknowledged_s = fleet.configure()
            await fleet.expect_version(-math.inf, acknowledged_s)
        await fleet.expect_version(fleet.end_losses(), fleet.configure())

    play(scenario)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("domains", [("a",), DOMAINS])
def test_lost_answers_are_noticed_although_the_first_reader_ends(domains, seed):
    """Guards against nodes that rely on the check of a node that has ended."""

    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(fleet.vms)
        acknowledged_s = fleet.configure()
        await anyio.sleep(ONE_ANSWER_S)
        first = next(vm for vm in fleet.vms if vm.node.readers.checks_log)
        fleet.vms.remove(first)
        first.scope.cancel()
        first.node.end()
        await fleet.expect_version(fleet.end_losses(), acknowledged_s)

    play(scenario, 4, domains, seed)


@pytest.mark.parametrize("loss", AnswerLoss)
def test_all_readers_that_lose_one_answer_learn_of_a_new_node(loss):
    """Guards against a check of the configuration's topic only."""

    async def scenario(fleet: Fleet) -> None:
        fleet.lose_answers(fleet.vms, loss)
        await fleet.add("b")
        await anyio.sleep(ONE_ANSWER_S)
        fleet.end_losses()
        await anyio.sleep(STABLE_WINDOW_S)
        records = len(fleet.deployment.log.find("keyed.nodes").records)
        offsets = {vm.node.readers.record_table.next_offset for vm in fleet.vms}
        assert offsets == {records}

    play(scenario)


@pytest.mark.parametrize("seed", range(8))
def test_series_of_lost_answers_restarts_and_changes(seed):
    """Guards against two faults that together leave a node with an old version."""

    async def scenario(fleet: Fleet) -> None:
        rng = random.Random(seed)
        acknowledged_s = ended_s = 0.0
        for _ in range(25):
            await anyio.sleep(rng.choice((0.01, 0.3, 1.1)))
            match rng.choice(("lose", "lose", "end", "write", "write", "restart")):
                case "lose":
                    chosen = rng.sample(fleet.vms, rng.randint(1, len(fleet.vms)))
                    fleet.lose_answers(chosen, rng.choice(list(AnswerLoss)))
                case "end":
                    ended_s = fleet.end_losses()
                case "write":
                    acknowledged_s = fleet.configure()
                case "restart":
                    await fleet.deployment.restart_node(rng.choice(fleet.vms))
                    ended_s = anyio.current_time()
        ended_s = max(ended_s, fleet.end_losses())
        await fleet.expect_version(ended_s, acknowledged_s)

    play(scenario, seed=seed)
