"""Whole nodes beside a log that comes back from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio
import pytest

from eelgrassmount.compose.relay_run import stop_relay
from eelgrassmount.platform.topics import LEARNED_KEY
from standins.platform_log import LogFault
from tests.relay.deployment import (
    LOG,
    Deployment,
    make_document,
    make_rule,
    send_as_client,
)
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.relay.virtual import Network

LIST = make_rule("/list/", "list")
DESK = make_rule("/desk/", "list")
APPLY_S = 2.0
# a node notices that the log is away by its connection
AWAY_S = 1.0
# nodes that began to read as they knew of few others have stopped
SETTLE_S = 8.0


def play(
    scenario: Callable[[Deployment], Awaitable[None]], nodes: int = 6, era: int = 3
) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            deployment.log.era = era
            await deployment.start(LIST)
            for number in range(nodes):
                await deployment.add("list", "abc"[number % 3])
            await anyio.sleep(SETTLE_S)
            await scenario(deployment)
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)


async def come_back(deployment: Deployment, copy: dict, rewrite: bool = True) -> None:
    """Let the log be away for a moment and come back from a copy."""
    log = deployment.log
    log.fault = LogFault.RESET
    asyncio.get_running_loop().network.reset((LOG.host, LOG.port))
    await anyio.sleep(AWAY_S)
    log.restore(copy, rewrite)
    log.fault = LogFault.NONE


def list_versions(deployment: Deployment) -> set[int]:
    return {vm.node.beliefs.table.version for vm in deployment.vms}


def list_eras(deployment: Deployment) -> set[int]:
    return {vm.node.readers.eras.current for vm in deployment.vms}


def list_written(deployment: Deployment) -> set[str]:
    return {key for key, value in deployment.log.find("keyed.nodes").records if value}


def test_configuration_never_goes_back_and_new_ones_are_heard():
    async def scenario(deployment: Deployment) -> None:
        copy = deployment.log.copy()
        deployment.configure(5, LIST)
        await anyio.sleep(APPLY_S)
        assert list_versions(deployment) == {5}
        await come_back(deployment, copy, rewrite=False)
        await anyio.sleep(3.0)
        # the copy holds an older one until the operator writes again
        assert list_versions(deployment) == {5}
        assert list_eras(deployment) == {4}
        deployment.configure(5, LIST)
        deployment.configure(6, LIST, DESK)
        await anyio.sleep(APPLY_S)
        assert list_versions(deployment) == {6}

    play(scenario)


# The offset from which a reader went on was given out again for other records, which it
# never saw: it waited behind them.
def test_records_at_offsets_that_were_given_out_again_are_read():
    async def scenario(deployment: Deployment) -> None:
        copy = deployment.log.copy()
        for version in range(2, 6):
            deployment.configure(version, LIST)
        await anyio.sleep(APPLY_S)
        log = deployment.log
        await come_back(deployment, copy, rewrite=False)
        # as many records as before, and another one among them
        for version in (6, 7, 8, 9):
            log.put("keyed.op", "config", make_document(version, LIST, DESK))
        await anyio.sleep(APPLY_S + 1.0)
        assert list_versions(deployment) == {9}

    play(scenario)


def test_nodes_write_their_records_again_and_stay_known():
    async def scenario(deployment: Deployment) -> None:
        names = {vm.settings.name for vm in deployment.vms}
        copy = deployment.log.copy()
        # the log was copied before the last three nodes had started
        topic = copy["keyed.nodes"]
        topic.records = [one for one in topic.records if one[0] <= "node-3"]
        await come_back(deployment, copy)
        for vm in deployment.vms:
            assert names <= vm.node.beliefs.members.by_name.keys()
        await anyio.sleep(6.0)
        assert names <= list_written(deployment)
        for vm in deployment.vms:
            assert names <= vm.node.beliefs.members.by_name.keys()
            assert (await send_as_client(vm, "/list/1")).status == 200

    play(scenario)


def test_node_that_is_gone_for_good_is_forgotten_after_the_usual_time():
    async def scenario(deployment: Deployment) -> None:
        copy = deployment.log.copy()
        topic = copy["keyed.nodes"]
        topic.records = [one for one in topic.records if one[0] != "node-6"]
        gone = deployment.vms.pop()
        gone.node.end()
        gone.node.readers.begun = False
        for follower in gone.node.readers.followers:
            follower.want(False)
        await come_back(deployment, copy)
        await anyio.sleep(2.0)
        for vm in deployment.vms:
            assert "node-6" in vm.node.beliefs.members.by_name
        await anyio.sleep(10.0)
        for vm in deployment.vms:
            assert "node-6" not in vm.node.beliefs.members.by_name

    play(scenario)


def test_learned_calls_are_written_again():
    async def scenario(deployment: Deployment) -> None:
        copy = deployment.log.copy()
        for vm in deployment.vms:
            vm.node.beliefs.graph.set_calls(
                "shop.example/list/", {"shop.example/desk/": 2.0}
            )
        await anyio.sleep(15.0)
        assert LEARNED_KEY in list_written(deployment)
        await come_back(deployment, copy)
        assert LEARNED_KEY not in list_written(deployment)
        await anyio.sleep(15.0)
        assert LEARNED_KEY in list_written(deployment)

    play(scenario)


def test_node_hears_of_the_era_from_others_while_the_log_turns_it_away():
    """Two readers in different eras: the later one goes for both."""

    async def scenario(deployment: Deployment) -> None:
        reader = next(vm for vm in deployment.vms if vm.node.readers.reading)
        copy = deployment.log.copy()
        deployment.configure(7, LIST)
        await anyio.sleep(APPLY_S)
        reader.node.store.address = LOG.__class__(LOG.host, LOG.port + 1)
        reader.node.store.end()
        await come_back(deployment, copy)
        await anyio.sleep(4.0)
        assert list_eras(deployment) == {4}
        assert list_versions(deployment) == {7}

    play(scenario)


@pytest.mark.parametrize("era", [0, 17])
def test_several_returns_in_quick_succession(era):
    async def scenario(deployment: Deployment) -> None:
        for version in (2, 3, 4):
            copy = deployment.log.copy()
            deployment.configure(version, LIST)
            await anyio.sleep(0.5)
            await come_back(deployment, copy)
        await anyio.sleep(6.0)
        names = {vm.settings.name for vm in deployment.vms}
        assert list_eras(deployment) == {era + 3}
        assert list_versions(deployment) == {4}
        assert names <= list_written(deployment)

    play(scenario, era=era)


def test_log_that_names_no_era_serves_as_before():
    async def scenario(deployment: Deployment) -> None:
        deployment.log.era = None
        deployment.configure(2, LIST)
        await anyio.sleep(APPLY_S)
        assert list_versions(deployment) == {2}

    play(scenario)


async def stop_node(deployment: Deployment, number: int) -> None:
    vm = deployment.vms.pop(number)
    await stop_relay(vm.node)
    vm.node.readers.begun = False


def test_node_whose_server_has_left_drops_its_record():
    async def scenario(deployment: Deployment) -> None:
        deployment.vms[5].node.beliefs.server.left = True
        await stop_node(deployment, 5)
        await anyio.sleep(2.0)
        for vm in deployment.vms:
            assert "node-6" not in vm.node.beliefs.members.by_name
        # one whose server goes on is started again
        await stop_node(deployment, 4)
        await anyio.sleep(2.0)
        for vm in deployment.vms:
            assert "node-5" in vm.node.beliefs.members.by_name

    play(scenario)
