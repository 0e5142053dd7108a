"""Servers that announce in their answers that they will stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from eelgrassmount.verdict import Reason
from tests.relay.service_scenario import (
    ServiceScenario,
    compute_allowed_runs,
    find_max_runs,
    run_scenario,
)

if TYPE_CHECKING:
    from tests.relay.deployment import Vm

# Time after which a server that announced its stop must get no new requests.
DRAIN_S = 2.0


def test_server_that_announces_its_stop_in_answers_gets_no_new_requests():
    """Its heartbeats still say that it is ready, or are late."""

    async def scenario(setup: ServiceScenario) -> None:
        await setup.send_for(1.0)
        leaving = setup.server_vms[0]
        leaving.server.leaving = True
        await setup.send_for(DRAIN_S)
        await leaving.announce()
        leaving.server.run_times_s.clear()
        await setup.send_for(4.0)
        assert leaving.server.run_times_s == []
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


def test_replacement_of_a_server_that_announced_its_stop_gets_requests():
    async def scenario(setup: ServiceScenario) -> None:
        replaced = setup.server_vms[0]
        replaced.server.leaving = True
        await setup.send_for(1.0)
        refusal = replaced.node.state.server.find_refusal_reason(0.0)
        assert refusal is Reason.DRAINING
        await replaced.restart_server()
        await replaced.announce()
        await anyio.sleep(0.5)
        await setup.send_for(2.0)
        assert replaced.server.run_times_s != []
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


@pytest.mark.parametrize("statement", ["leaving", "rate limit"])
def test_node_of_a_server_knows_its_statements_after_a_restart(statement):
    """Other nodes remember them and tell the node, also if the server doesn't.

    Health checks and heartbeats of this server say nothing.
    """

    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        server = vm.server
        server.names_in_health = False
        server.work_s = 0.3
        server.leaving = statement == "leaving"
        server.rate_limit = "0.5" if statement == "rate limit" else None
        await setup.send_for(1.0)
        await anyio.sleep(3.0)
        server.run_times_s.clear()
        for _ in range(3):
            await setup.deployment.restart_node(vm)
            await setup.send_for(1.0)
            await vm.announce()
            await setup.send_for(0.5)
        allowed = 0 if server.leaving else compute_allowed_runs(0.5)
        assert find_max_runs(server, 0.0) <= allowed

    run_scenario(scenario, servers=1)


async def announce_stop(vm: Vm, kind: str) -> None:
    """Announce the stop of a server, which goes on serving."""
    answer = await (vm.announce_leave() if kind == "leave" else vm.announce(True))
    assert answer.status == 200


# Guards against a late heartbeat of a crashed server that undid the stop of the present
# one, which was found again by its answers.
@pytest.mark.parametrize("kind", ["leave", "draining"])
@pytest.mark.parametrize("stop_first", [True, False])
@pytest.mark.parametrize("age_ms", [None, -5_000, 5_000])
def test_late_heartbeat_of_a_crashed_server_undoes_no_announced_stop(
    kind, stop_first, age_ms
):
    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        late_ms = 0 if age_ms is None else vm.started_ms + age_ms
        if age_ms is None:
            vm.started_ms = 0
        await vm.announce()
        await setup.send_for(1.0)
        if stop_first:
            await announce_stop(vm, kind)
            await anyio.sleep(DRAIN_S)
        for number in range(3):
            late = await vm.announce(identity=f"crashed-{number}", started_ms=late_ms)
            assert late.status == 200
            if not stop_first and not number:
                await announce_stop(vm, kind)
                await anyio.sleep(DRAIN_S)
            vm.server.run_times_s.clear()
            await setup.send_for(1.0)
            assert vm.server.run_times_s == []
            # A late heartbeat of the server itself.
            await vm.announce()
        assert setup.count_answers(200) == len(setup.answers)
        # The next server at the address gets requests.
        vm.server.incarnation = "next"
        await vm.announce()
        await setup.send_for(1.0)
        assert vm.server.run_times_s != []

    run_scenario(scenario, servers=3)


def test_server_displaced_by_a_late_heartbeat_goes_on_with_its_requests():
    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        vm.started_ms = 0
        await vm.announce()
        await vm.announce(identity="crashed")
        await setup.send_for(0.5)
        vm.server.run_times_s.clear()
        await vm.announce()
        await setup.send_for(1.0)
        assert vm.server.run_times_s != []
        assert vm.node.state.server.slots == 8
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


# Guards against a node that forgets in a restart what it has acknowledged, and believes
# a heartbeat from before.
@pytest.mark.parametrize("kind", ["leave", "draining"])
@pytest.mark.parametrize("restarted", ["one", "many", "all"])
@pytest.mark.parametrize("restarts", [1, 3])
def test_late_heartbeat_after_restarts_of_nodes_undoes_no_announced_stop(
    kind, restarted, restarts
):
    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        others = [one for one in setup.deployment.vms if one is not vm]
        counts = {"one": 0, "many": len(others) // 2, "all": len(others)}
        await setup.send_for(1.0)
        await announce_stop(vm, kind)
        vm.server.healthy = False
        await anyio.sleep(0.1)
        for _ in range(restarts):
            for one in (vm, *others[: counts[restarted]]):
                await setup.deployment.restart_node(one)
            await anyio.sleep(0.3)
        for one in others[: counts[restarted]]:
            await one.announce()
        await anyio.sleep(DRAIN_S)
        vm.server.run_times_s.clear()
        for _ in range(3):
            assert (await vm.announce()).status == 200
            await setup.send_for(1.0)
        assert vm.server.run_times_s == []
        # The next server at the address gets requests.
        vm.server.incarnation = "next"
        vm.server.healthy = True
        vm.mark_restarted()
        await vm.announce()
        await anyio.sleep(1.5)
        await setup.send_for(1.0)
        assert vm.server.run_times_s != []

    run_scenario(scenario, servers=3)


def test_healthy_server_goes_on_with_its_requests_after_a_restart_of_all_nodes():
    async def scenario(setup: ServiceScenario) -> None:
        for vm in setup.deployment.vms:
            await setup.deployment.restart_node(vm)
        await setup.deployment.wait_until_connected()
        await anyio.sleep(0.2)
        await setup.send_for(1.0)
        assert all(server.run_times_s for server in setup.servers)
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


# Guards against a server that stops after its clock was set back, and gets requests.
@pytest.mark.parametrize("kind", ["leave", "draining"])
@pytest.mark.parametrize("heartbeats", [1, 2, 3, 6])
def test_stop_holds_for_a_server_whose_clock_was_set_back(kind, heartbeats):
    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        await setup.send_for(1.0)
        await vm.announce()
        vm.started_ms -= 1_000
        vm.sequence = 0
        for _ in range(heartbeats):
            await setup.send_for(1.5)
            await vm.announce()
        is_acknowledged = False
        while not is_acknowledged:
            await setup.send_for(0.5)
            answer = await (
                vm.announce_leave(vm.started_ms)
                if kind == "leave"
                else vm.announce(True)
            )
            is_acknowledged = answer.status == 200
            if kind == "leave" and not is_acknowledged:
                await vm.announce()
        await anyio.sleep(DRAIN_S)
        vm.server.run_times_s.clear()
        await setup.send_for(2.0)
        assert vm.server.run_times_s == []
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)
