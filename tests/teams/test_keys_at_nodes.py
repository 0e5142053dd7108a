"""API keys at whole nodes, with a virtual network and clock."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio
import pytest

from standins.platform_log import LogFault
from tests.relay.deployment import (
    LOG,
    Deployment,
    Vm,
    connect,
    make_request,
    make_rule,
    make_team,
    send,
    send_as_client,
)
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.relay.virtual import Network

LIST = make_rule("/list/", "list")
OPEN = make_rule("/open/", "list", anonymous=True)
PRESS = make_team("press", "k-1", "k-2")
OFFICE = make_team("office", "k-3", priority=0)
TEAM_HEADER = b"eelgrassmount-tenant"
KEY_HEADER = b"x-api-key"
# All nodes apply a configuration within this time.
MAX_APPLY_TIME_S = 2.0


def play(
    scenario: Callable[[Deployment], Awaitable[None]],
    nodes: int = 3,
) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start()
            deployment.configure(1, LIST, OPEN, teams=[PRESS, OFFICE])
            for number in range(nodes):
                await deployment.add("list", "ab"[number % 2])
            await deployment.wait_until_connected()
            await scenario(deployment)
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)


def list_seen(deployment: Deployment) -> list[dict[bytes, bytes]]:
    return [seen for vm in deployment.vms for seen in vm.server.seen]


def count_runs(deployment: Deployment) -> int:
    return sum(len(vm.server.runs) for vm in deployment.vms)


async def request_with_key(
    vm: Vm, key: str, target: str = "/list/1", **names: str
) -> int:
    return (await send_as_client(vm, target, x_api_key=key, **names)).status


def test_request_runs_with_the_name_of_its_team():
    async def scenario(deployment: Deployment) -> None:
        for vm in deployment.vms:
            assert await request_with_key(vm, "k-1", request_id="p") == 200
            assert await request_with_key(vm, "k-3", request_id="o") == 200
        for seen in list_seen(deployment):
            team = {b"p": b"press", b"o": b"office"}[seen[b"eelgrassmount-attempt-id"]]
            assert seen[TEAM_HEADER] == team
            assert KEY_HEADER not in seen

    play(scenario)


@pytest.mark.parametrize("key", ["k-9", "", "k-1 ", "press"])
def test_request_with_a_wrong_key_never_runs(key):
    async def scenario(deployment: Deployment) -> None:
        for vm in deployment.vms:
            expected = 200 if key.strip() == "k-1" else 401
            assert await request_with_key(vm, key) == expected
        assert count_runs(deployment) == (3 if key.strip() == "k-1" else 0)

    play(scenario)


def test_request_without_a_key_or_with_two_never_runs():
    async def scenario(deployment: Deployment) -> None:
        vm = deployment.vms[0]
        assert (await send_as_client(vm, "/list/1")).status == 401
        assert (
            await send_as_client(vm, "/list/1", x_api_key="k-1", X_API_KEY="k-3")
        ).status == 401
        assert count_runs(deployment) == 0

    play(scenario)


def test_team_header_of_a_client_is_dropped():
    async def scenario(deployment: Deployment) -> None:
        vm = deployment.vms[0]
        claims = {"Eelgrassmount_Tenant": "office", "EELGRASSMOUNT_TENANT": "office"}
        assert await request_with_key(vm, "k-1", **claims) == 200
        assert await request_with_key(vm, "k-9", target="/open/1", **claims) == 200
        with_key, without = list_seen(deployment)
        if TEAM_HEADER not in with_key:
            with_key, without = without, with_key
        assert with_key[TEAM_HEADER] == b"press"
        assert TEAM_HEADER not in without
        assert KEY_HEADER not in without

    play(scenario)


def test_removed_key_is_refused_on_an_open_connection():
    async def scenario(deployment: Deployment) -> None:
        vm = deployment.vms[0]
        connection = await connect(vm.settings.caller_address)
        data = make_request("GET", "/list/1", x_api_key="k-1")
        assert (await send(connection, data)).status == 200
        reduced = make_team("press", "k-2")
        deployment.configure(2, LIST, OPEN, teams=[reduced, OFFICE])
        await anyio.sleep(MAX_APPLY_TIME_S)
        assert (await send(connection, data)).status == 401
        data = make_request("GET", "/list/1", x_api_key="k-2")
        assert (await send(connection, data)).status == 200
        connection.close()
        assert count_runs(deployment) == 2

    play(scenario)


def test_all_nodes_apply_versions_in_quick_succession():
    async def scenario(deployment: Deployment) -> None:
        swapped_teams = [make_team("press", "k-3"), make_team("office", "k-1", "k-2")]
        for version in range(2, 9):
            teams = swapped_teams if version % 2 else [PRESS, OFFICE]
            deployment.configure(version, LIST, OPEN, teams=teams)
            await anyio.sleep(0.05)
        deployment.configure(9, LIST, OPEN, teams=swapped_teams)
        await anyio.sleep(MAX_APPLY_TIME_S)
        for vm in deployment.vms:
            assert await request_with_key(vm, "k-1") == 200
        assert {seen[TEAM_HEADER] for seen in list_seen(deployment)} == {b"office"}

    play(scenario)


def test_team_without_keys_is_refused_on_all_nodes():
    async def scenario(deployment: Deployment) -> None:
        deployment.configure(2, LIST, OPEN, teams=[make_team("press"), OFFICE])
        await anyio.sleep(MAX_APPLY_TIME_S)
        for vm in deployment.vms:
            assert await request_with_key(vm, "k-1") == 401
            assert await request_with_key(vm, "k-2") == 401
            assert await request_with_key(vm, "k-3") == 200
        deployment.configure(3, LIST, OPEN, teams=[])
        await anyio.sleep(MAX_APPLY_TIME_S)
        for vm in deployment.vms:
            assert await request_with_key(vm, "k-3") == 401
            assert (await send_as_client(vm, "/open/1")).status == 200

    play(scenario)


def test_restarted_node_without_the_log_refuses_a_removed_key():
    """Other nodes relay the teams to a node that cannot read the log."""

    async def scenario(deployment: Deployment) -> None:
        deployment.configure(2, LIST, OPEN, teams=[make_team("press", "k-2"), OFFICE])
        await anyio.sleep(MAX_APPLY_TIME_S)
        deployment.log.fault = LogFault.UNAVAILABLE
        started = await deployment.add("list", "a")
        # The new node knows no other node and cannot be discovered through the log.
        for vm in deployment.vms[:-1]:
            vm.node.state.members.put(
                started.settings.name, str(started.settings.peer_address), "a", "list"
            )
        await anyio.sleep(MAX_APPLY_TIME_S)
        for vm in deployment.vms:
            assert await request_with_key(vm, "k-2") == 200
            assert await request_with_key(vm, "k-1") in (401, 503)
        assert all(seen[TEAM_HEADER] == b"press" for seen in list_seen(deployment))

    play(scenario)


def test_unknown_key_is_not_rejected_while_the_log_is_unreachable():
    async def scenario(deployment: Deployment) -> None:
        deployment.log.fault = LogFault.RESET
        asyncio.get_running_loop().network.reset((LOG.host, LOG.port))
        await anyio.sleep(6.0)
        for vm in deployment.vms:
            answer = await send_as_client(vm, "/list/1", x_api_key="k-9")
            assert answer.status == 503
            assert dict(answer.headers)[b"retry-after"]
            assert await request_with_key(vm, "k-1") == 200

    play(scenario)


def test_node_without_a_configuration_refuses_keys_temporarily():
    async def scenario(deployment: Deployment) -> None:
        deployment.log.fault = LogFault.SILENT
        vm = await deployment.add("other", "c")
        vm.node.ingress.table = type(vm.node.ingress.table)()
        assert await request_with_key(vm, "k-1") == 503

    play(scenario)


def test_requests_on_one_connection_are_checked_separately():
    async def scenario(deployment: Deployment) -> None:
        vm = deployment.vms[0]
        connection = await connect(vm.settings.caller_address)
        statuses = []
        for key in ("k-1", "k-9", "k-3", "k-9"):
            data = make_request("GET", "/list/1", x_api_key=key)
            statuses.append((await send(connection, data)).status)
        connection.close()
        assert statuses == [200, 401, 200, 401]

    play(scenario)
