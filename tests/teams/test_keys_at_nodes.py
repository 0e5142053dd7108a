"""API keys at whole nodes, on a network and a time of their own."""

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
TEAM_LINE = b"eelgrassmount-tenant"
KEY_LINE = b"x-api-key"
# within this time a configuration is in force on all nodes
APPLY_S = 2.0


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


async def ask_with(vm: Vm, key: str, target: str = "/list/1", **names: str) -> int:
    return (await send_as_client(vm, target, x_api_key=key, **names)).status


def test_request_runs_in_the_name_of_its_team():
    async def scenario(deployment: Deployment) -> None:
        for vm in deployment.vms:
            assert await ask_with(vm, "k-1", request_id="p") == 200
            assert await ask_with(vm, "k-3", request_id="o") == 200
        for seen in list_seen(deployment):
            team = {b"p": b"press", b"o": b"office"}[seen[b"eelgrassmount-attempt-id"]]
            assert seen[TEAM_LINE] == team
            assert KEY_LINE not in seen

    play(scenario)


@pytest.mark.parametrize("key", ["k-9", "", "k-1 ", "press"])
def test_request_with_a_wrong_key_never_runs(key):
    async def scenario(deployment: Deployment) -> None:
        for vm in deployment.vms:
            expected = 200 if key.strip() == "k-1" else 401
            assert await ask_with(vm, key) == expected
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


def test_team_that_a_client_claims_is_left_out():
    async def scenario(deployment: Deployment) -> None:
        vm = deployment.vms[0]
        claims = {"Eelgrassmount_Tenant": "office", "EELGRASSMOUNT_TENANT": "office"}
        assert await ask_with(vm, "k-1", **claims) == 200
        assert await ask_with(vm, "k-9", target="/open/1", **claims) == 200
        with_key, without = list_seen(deployment)
        if TEAM_LINE not in with_key:
            with_key, without = without, with_key
        assert with_key[TEAM_LINE] == b"press"
        assert TEAM_LINE not in without
        assert KEY_LINE not in without

    play(scenario)


def test_key_that_was_taken_away_is_refused_on_an_open_connection():
    async def scenario(deployment: Deployment) -> None:
        vm = deployment.vms[0]
        connection = await connect(vm.settings.caller_address)
        data = make_request("GET", "/list/1", x_api_key="k-1")
        assert (await send(connection, data)).status == 200
        fewer = make_team("press", "k-2")
        deployment.configure(2, LIST, OPEN, teams=[fewer, OFFICE])
        await anyio.sleep(APPLY_S)
        assert (await send(connection, data)).status == 401
        data = make_request("GET", "/list/1", x_api_key="k-2")
        assert (await send(connection, data)).status == 200
        connection.close()
        assert count_runs(deployment) == 2

    play(scenario)


def test_keys_follow_versions_in_quick_succession_on_all_nodes():
    async def scenario(deployment: Deployment) -> None:
        swapped = [make_team("press", "k-3"), make_team("office", "k-1", "k-2")]
        for version in range(2, 9):
            teams = swapped if version % 2 else [PRESS, OFFICE]
            deployment.configure(version, LIST, OPEN, teams=teams)
            await anyio.sleep(0.05)
        deployment.configure(9, LIST, OPEN, teams=swapped)
        await anyio.sleep(APPLY_S)
        for vm in deployment.vms:
            assert await ask_with(vm, "k-1") == 200
        assert {seen[TEAM_LINE] for seen in list_seen(deployment)} == {b"office"}

    play(scenario)


def test_team_that_loses_all_its_keys_is_refused_everywhere():
    async def scenario(deployment: Deployment) -> None:
        deployment.configure(2, LIST, OPEN, teams=[make_team("press"), OFFICE])
        await anyio.sleep(APPLY_S)
        for vm in deployment.vms:
            assert await ask_with(vm, "k-1") == 401
            assert await ask_with(vm, "k-2") == 401
            assert await ask_with(vm, "k-3") == 200
        deployment.configure(3, LIST, OPEN, teams=[])
        await anyio.sleep(APPLY_S)
        for vm in deployment.vms:
            assert await ask_with(vm, "k-3") == 401
            assert (await send_as_client(vm, "/open/1")).status == 200

    play(scenario)


def test_key_is_taken_away_while_the_log_turns_away_a_restarted_node():
    """What its neighbours know reaches a node that can't read the log itself."""

    async def scenario(deployment: Deployment) -> None:
        deployment.configure(2, LIST, OPEN, teams=[make_team("press", "k-2"), OFFICE])
        await anyio.sleep(APPLY_S)
        deployment.log.fault = LogFault.UNAVAILABLE
        started = await deployment.add("list", "a")
        # it knows no other node, and none opens a link to one that it can't know
        for vm in deployment.vms[:-1]:
            vm.node.beliefs.members.put(
                started.settings.name, str(started.settings.peer_address), "a", "list"
            )
        await anyio.sleep(APPLY_S)
        for vm in deployment.vms:
            assert await ask_with(vm, "k-2") == 200
            assert await ask_with(vm, "k-1") in (401, 503)
        assert all(seen[TEAM_LINE] == b"press" for seen in list_seen(deployment))

    play(scenario)


def test_new_key_is_not_called_wrong_while_the_log_is_away():
    async def scenario(deployment: Deployment) -> None:
        deployment.log.fault = LogFault.RESET
        asyncio.get_running_loop().network.reset((LOG.host, LOG.port))
        await anyio.sleep(6.0)
        for vm in deployment.vms:
            answer = await send_as_client(vm, "/list/1", x_api_key="k-9")
            assert answer.status == 503
            assert dict(answer.headers)[b"retry-after"]
            assert await ask_with(vm, "k-1") == 200

    play(scenario)


def test_node_without_a_configuration_judges_no_key():
    async def scenario(deployment: Deployment) -> None:
        deployment.log.fault = LogFault.SILENT
        vm = await deployment.add("other", "c")
        vm.node.ingress.table = type(vm.node.ingress.table)()
        assert await ask_with(vm, "k-1") == 503

    play(scenario)


def test_requests_with_good_and_bad_keys_on_one_connection_are_told_apart():
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
