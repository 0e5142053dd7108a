"""Quotas at whole nodes, with a virtual network and clock."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from attrs import asdict

from eelgrassmount.relay.status import collect_status
from standins.platform_log import LogFault
from tests.relay.deployment import Deployment, Vm, make_rule, make_team, send_as_client
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.relay.virtual import Network

LIST = make_rule("/list/", "list")
PRESS = make_team("press", "k-1", ratePerS=10, burst=10)
OFFICE = make_team("office", "k-2")
# Settings of these tests: 60 requests, an overage of 0.1 and a slack of 10.
MAX_RUNS_IN_WINDOW = 60 * 1.1 + 10
FILL_S = 12.0


def play(
    scenario: Callable[[Deployment], Awaitable[None]],
    teams: list[dict[str, Any]] | None = None,
    nodes: int = 6,
) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start()
            deployment.configure(1, LIST, teams=teams or [PRESS, OFFICE])
            for number in range(nodes):
                await deployment.add("list", "ab"[number % 2])
            await deployment.wait_until_connected()
            await anyio.sleep(FILL_S)
            await scenario(deployment)
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)


async def send_requests(
    vm: Vm, key: str, times: int, pause_s: float = 0.0
) -> list[int]:
    statuses = []
    for _ in range(times):
        statuses.append((await send_as_client(vm, "/list/1", x_api_key=key)).status)
        await anyio.sleep(pause_s)
    return statuses


async def send_to_all_nodes(
    deployment: Deployment, key: str, times: int, pause_s: float = 0.0
) -> list[int]:
    found: list[int] = []

    async def send_to_node(vm: Vm) -> None:
        found.extend(await send_requests(vm, key, times, pause_s))

    async with anyio.create_task_group() as group:
        for vm in deployment.vms:
            group.start_soon(send_to_node, vm)
    return found


def count_runs(deployment: Deployment) -> int:
    return sum(len(vm.server.runs) for vm in deployment.vms)


def test_team_over_its_quota_gets_a_retry_time():
    async def scenario(deployment: Deployment) -> None:
        vm = deployment.vms[0]
        statuses = await send_requests(vm, "k-1", 60)
        assert set(statuses) == {200, 429}
        assert 10 <= statuses.count(200) == count_runs(deployment) <= MAX_RUNS_IN_WINDOW
        answer = await send_as_client(vm, "/list/1", x_api_key="k-1")
        assert answer.status == 429
        assert 0.0 < float(dict(answer.headers)[b"retry-after"]) < 10.0

    play(scenario)


def test_quota_applies_over_all_nodes_and_to_its_team_only():
    async def scenario(deployment: Deployment) -> None:
        found: dict[str, list[int]] = {}

        async def run(key: str, pause_s: float) -> None:
            found[key] = await send_to_all_nodes(deployment, key, 50, pause_s)

        async with anyio.create_task_group() as group:
            group.start_soon(run, "k-1", 0.05)
            group.start_soon(run, "k-2", 0.05)
        assert found["k-2"] == [200] * 300
        # The load lasts less than a window.
        assert 20 <= found["k-1"].count(200) <= MAX_RUNS_IN_WINDOW
        assert set(found["k-1"]) == {200, 429}

    play(scenario)


def test_team_below_its_quota_is_served_while_the_log_is_unreachable():
    async def scenario(deployment: Deployment) -> None:
        deployment.log.fault = LogFault.RESET
        for vm in deployment.vms:
            assert await send_requests(vm, "k-1", 10, 0.2) == [200] * 10

    play(scenario)


def test_other_nodes_allocate_quotas_after_allocators_stop():
    async def scenario(deployment: Deployment) -> None:
        # The first two nodes of each failure domain allocate all quotas.
        for vm in deployment.vms[:4]:
            vm.node.end()
            vm.node.readers.started = False
        del deployment.vms[:4]
        await anyio.sleep(3.0)
        statuses = await send_to_all_nodes(deployment, "k-1", 25, 0.4)
        assert statuses.count(200) >= 30
        assert set(statuses) <= {200, 429}

    play(scenario, nodes=8)


def test_raised_quota_applies_at_once():
    async def scenario(deployment: Deployment) -> None:
        await send_to_all_nodes(deployment, "k-1", 20)
        raised = make_team("press", "k-1", ratePerS=1000, burst=1000)
        deployment.configure(2, LIST, teams=[raised, OFFICE])
        await anyio.sleep(2.0)
        statuses = await send_to_all_nodes(deployment, "k-1", 20)
        assert statuses == [200] * len(statuses)

    play(scenario)


def test_team_without_a_rate_is_not_limited():
    async def scenario(deployment: Deployment) -> None:
        statuses = await send_to_all_nodes(deployment, "k-2", 60)
        assert statuses == [200] * len(statuses)
        assert not any(vm.node.quotas.allocator.quotas for vm in deployment.vms)

    play(scenario, teams=[OFFICE, make_team("free", "k-1", ratePerS=0, burst=5)])


def set_draining(deployment: Deployment, draining: bool) -> None:
    for vm in deployment.vms:
        vm.node.state.server.draining = draining


# Guards against charging requests that no backend server accepted.
@pytest.mark.parametrize("refused", [True, False])
def test_request_that_does_not_run_returns_its_quota(refused):
    async def scenario(deployment: Deployment) -> None:
        set_draining(deployment, refused)
        first = await send_to_all_nodes(deployment, "k-1", 3)
        assert set(first) == ({503} if refused else {200})
        set_draining(deployment, False)
        for vm in deployment.vms:
            vm.node.control_loop.report_now()
        await anyio.sleep(0.3)
        second = await send_to_all_nodes(deployment, "k-1", 3)
        if refused:
            assert second.count(200) == len(second)
        else:
            assert second.count(200) < len(second)

    play(scenario)


def test_status_shows_usage_of_teams_and_no_key():
    async def scenario(deployment: Deployment) -> None:
        await send_to_all_nodes(deployment, "k-1", 10)
        texts = []
        for vm in deployment.vms:
            state = collect_status(vm.node)
            assert (state.teams.teams, len(state.teams.holders)) == (2, 2)
            texts.append(json.dumps(asdict(state)))
            texts.append(vm.node.metrics.render().decode())
        held = [
            one for vm in deployment.vms for one in collect_status(vm.node).teams.held
        ]
        assert {one.team for one in held} == {"press"}
        assert sum(one.held_rate for one in held) == pytest.approx(10.0)
        assert 'relay_quota_requests_total{event="refused"}' in "".join(texts)
        assert not any("k-1" in text or "k-2" in text for text in texts)

    play(scenario)
