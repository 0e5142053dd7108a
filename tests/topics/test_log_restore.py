"""Whole nodes with a log that is restored from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio
import pytest

from eelgrassmount.compose.relay_run import stop_relay
from eelgrassmount.platform.topic_names import LEARNED_KEY
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
MAX_APPLY_TIME_S = 2.0
# Long enough for nodes to notice the outage by their connections.
OUTAGE_S = 1.0
# Nodes that read the log only because they knew few others have stopped by then.
STARTUP_TIME_S = 8.0


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
            await anyio.sleep(STARTUP_TIME_S)
            await scenario(deployment)
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)


async def restore_log(deployment: Deployment, copy: dict, rewrite: bool = True) -> None:
    """Make the log unreachable for a moment, then restore it from a copy."""
    log = deployment.log
    log.fault = LogFault.RESET
    asyncio.get_running_loop().network.reset((LOG.host, LOG.port))
    await anyio.sleep(OUTAGE_S)
    log.restore(copy, rewrite)
    log.fault = LogFault.NONE


def list_versions(deployment: Deployment) -> set[int]:
    return {vm.node.state.table.version for vm in deployment.vms}


def list_epochs(deployment: Deployment) -> set[int]:
    return {vm.node.readers.epoch_tracker.current for vm in deployment.vms}


def list_written(deployment: Deployment) -> set[str]:
    return {key for key, value in deployment.log.find("keyed.nodes").records if value}


def test_configuration_is_never_reverted_and_later_ones_apply():
    async def scenario(deployment: Deployment) -> None:
        copy = deployment.log.copy()
        deployment.configure(5, LIST)
        await anyio.sleep(MAX_APPLY_TIME_S)
        assert list_versions(deployment) == {5}
        await restore_log(deployment, copy, rewrite=False)
        await anyio.sleep(3.0)
        # The copy holds an older configuration until the operator writes again.
        assert list_versions(deployment) == {5}
        assert list_epochs(deployment) == {4}
        deployment.configure(5, LIST)
        deployment.configure(6, LIST, DESK)
        await anyio.sleep(MAX_APPLY_TIME_S)
        assert list_versions(deployment) == {6}

    play(scenario)


# Guards against readers that wait behind a reassigned offset and miss its records.
def test_records_at_reassigned_offsets_are_read():
    async def scenario(deployment: Deployment) -> None:
        copy = deployment.log.copy()
        for version in range(2, 6):
            deployment.configure(version, LIST)
        await anyio.sleep(MAX_APPLY_TIME_S)
        log = deployment.log
        await restore_log(deployment, copy, rewrite=False)
        # As many records as before, with other contents.
        for version in (6, 7, 8, 9):
            log.put("keyed.op", "config", make_document(version, LIST, DESK))
        await anyio.sleep(MAX_APPLY_TIME_S + 1.0)
        assert list_versions(deployment) == {9}

    play(scenario)


# Guards against a read of an earlier epoch that ends a node by a TypeError.
def test_restoration_that_answers_both_reads_at_once_ends_no_node():
    async def scenario(deployment: Deployment) -> None:
        for version in (5, 6, 7):
            copy = deployment.log.copy()
            deployment.configure(version, LIST)
            await anyio.sleep(MAX_APPLY_TIME_S)
            deployment.log.restore(copy)
            await anyio.sleep(MAX_APPLY_TIME_S)
            assert list_versions(deployment) == {version}
        for vm in deployment.vms:
            assert vm.node.readers.is_current()
            assert (await send_as_client(vm, "/list/1")).status == 200

    play(scenario)


def test_nodes_rewrite_their_records_and_remain_members():
    async def scenario(deployment: Deployment) -> None:
        names = {vm.settings.name for vm in deployment.vms}
        copy = deployment.log.copy()
        # The copy was made before the last three nodes had started.
        topic = copy["keyed.nodes"]
        topic.records = [one for one in topic.records if one[0] <= "node-3"]
        await restore_log(deployment, copy)
        for vm in deployment.vms:
            assert names <= vm.node.state.members.by_name.keys()
        await anyio.sleep(6.0)
        assert names <= list_written(deployment)
        for vm in deployment.vms:
            assert names <= vm.node.state.members.by_name.keys()
            assert (await send_as_client(vm, "/list/1")).status == 200

    play(scenario)


def test_stopped_node_without_a_record_is_removed_in_time():
    async def scenario(deployment: Deployment) -> None:
        copy = deployment.log.copy()
        topic = copy["keyed.nodes"]
        topic.records = [one for one in topic.records if one[0] != "node-6"]
        stopped = deployment.vms.pop()
        stopped.node.end()
        stopped.node.readers.started = False
        for follower in stopped.node.readers.followers:
            follower.set_wanted(False)
        await restore_log(deployment, copy)
        await anyio.sleep(2.0)
        for vm in deployment.vms:
            assert "node-6" in vm.node.state.members.by_name
        await anyio.sleep(10.0)
        for vm in deployment.vms:
            assert "node-6" not in vm.node.state.members.by_name

    play(scenario)


def test_learned_calls_are_rewritten():
    async def scenario(deployment: Deployment) -> None:
        copy = deployment.log.copy()
        for vm in deployment.vms:
            vm.node.state.graph.set_calls(
                "shop.example/list/", {"shop.example/desk/": 2.0}
            )
        await anyio.sleep(15.0)
        assert LEARNED_KEY in list_written(deployment)
        await restore_log(deployment, copy)
        assert LEARNED_KEY not in list_written(deployment)
        await anyio.sleep(15.0)
        assert LEARNED_KEY in list_written(deployment)

    play(scenario)


def test_node_that_cannot_reach_the_log_learns_its_epoch_from_others():
    """Of two readers in different epochs, the later epoch applies to both."""

    async def scenario(deployment: Deployment) -> None:
        reader = next(vm for vm in deployment.vms if vm.node.readers.reading)
        copy = deployment.log.copy()
        deployment.configure(7, LIST)
        await anyio.sleep(MAX_APPLY_TIME_S)
        reader.node.store.address = LOG.__class__(LOG.host, LOG.port + 1)
        reader.node.store.close()
        await restore_log(deployment, copy)
        await anyio.sleep(4.0)
        assert list_epochs(deployment) == {4}
        assert list_versions(deployment) == {7}

    play(scenario)


@pytest.mark.parametrize("era", [0, 17])
def test_several_restorations_in_quick_succession(era):
    async def scenario(deployment: Deployment) -> None:
        for version in (2, 3, 4):
            copy = deployment.log.copy()
            deployment.configure(version, LIST)
            await anyio.sleep(0.5)
            await restore_log(deployment, copy)
        await anyio.sleep(6.0)
        names = {vm.settings.name for vm in deployment.vms}
        assert list_epochs(deployment) == {era + 3}
        assert list_versions(deployment) == {4}
        assert names <= list_written(deployment)

    play(scenario, era=era)


def test_log_without_an_epoch_works():
    async def scenario(deployment: Deployment) -> None:
        deployment.log.era = None
        deployment.configure(2, LIST)
        await anyio.sleep(MAX_APPLY_TIME_S)
        assert list_versions(deployment) == {2}

    play(scenario)


async def stop_node(deployment: Deployment, number: int) -> None:
    vm = deployment.vms.pop(number)
    await stop_relay(vm.node)
    vm.node.readers.started = False


def test_node_deletes_its_record_when_its_backend_server_has_left():
    async def scenario(deployment: Deployment) -> None:
        deployment.vms[5].node.state.server.has_left = True
        await stop_node(deployment, 5)
        await anyio.sleep(2.0)
        for vm in deployment.vms:
            assert "node-6" not in vm.node.state.members.by_name
        # A node whose backend server still runs will be restarted.
        await stop_node(deployment, 4)
        await anyio.sleep(2.0)
        for vm in deployment.vms:
            assert "node-5" in vm.node.state.members.by_name

    play(scenario)


# Guards against a node that others count for good because one call was lost.
@pytest.mark.parametrize("fault", [LogFault.SILENT, LogFault.UNAVAILABLE])
def test_node_deletes_its_record_although_the_first_call_fails(fault):
    async def scenario(deployment: Deployment) -> None:
        deployment.vms[5].node.state.server.has_left = True
        async with anyio.create_task_group() as group:
            deployment.log.fault = fault
            group.start_soon(stop_node, deployment, 5)
            await anyio.sleep(0.3)
            deployment.log.fault = LogFault.NONE
        await anyio.sleep(2.0)
        newest = dict(deployment.log.find("keyed.nodes").records)
        assert newest["node-6"] == b""
        for vm in deployment.vms:
            assert "node-6" not in vm.node.state.members.by_name

    play(scenario)
