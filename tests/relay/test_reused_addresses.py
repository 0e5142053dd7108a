"""Addresses of crashed servers that go to servers of another service."""

from __future__ import annotations

import anyio
import pytest
from attrs import evolve

from standins.platform_server import PlatformServer
from tests.relay.deployment import Vm, make_rule, send_as_client
from tests.relay.service_scenario import ServiceScenario, run_scenario

REUSE_AFTER_S = 2.0
# A configuration, and a change of a node's service, is in force after this time.
APPLY_S = 2.0
RULES = (make_rule("/list/", "list"), make_rule("/pay/", "pay"))


def change_settings(vm: Vm) -> None:
    """Name the new service in the settings, as the platform does."""
    vm.settings = evolve(vm.settings, service="pay")
    vm.node.apply_settings(vm.settings)


async def hand_over(setup: ServiceScenario, vm: Vm) -> PlatformServer:
    """Let a server crash, and start one of another service at its address."""
    setup.deployment.configure(2, *RULES)
    await setup.send_for(1.0)
    vm.server.listener.end()
    await anyio.sleep(REUSE_AFTER_S)
    vm.server = PlatformServer("i-pay")
    await vm.server.start(vm.settings.server_address.host, 8301)
    vm.sequence = 0
    vm.mark_restarted()
    return vm.server


# Guards against requests that run at the service which has taken over an address.
@pytest.mark.parametrize("servers", [1, 3])
@pytest.mark.parametrize("settings", ["early", "late", "with the heartbeat"])
def test_new_service_at_an_address_runs_no_requests_of_the_earlier_one(
    settings, servers
):
    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        follower = await hand_over(setup, vm)
        if settings == "early":
            change_settings(vm)
        await setup.send_for(2.0)
        assert follower.runs == []
        if settings == "late":
            vm.settings = evolve(vm.settings, service="pay")
            assert (await vm.announce()).status == 421
            await setup.send_for(1.0)
            assert follower.runs == []
        if settings != "early":
            change_settings(vm)
        assert (await vm.announce()).status == 200
        await setup.send_for(2.0)
        assert follower.runs == []
        if servers > 1:
            assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario, servers)


# Guards against a node that starts beside a server of which the settings don't know.
def test_starting_node_believes_the_heartbeat_of_another_service_over_its_settings():
    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        follower = await hand_over(setup, vm)
        await setup.deployment.restart_node(vm)
        await setup.deployment.wait_until_connected()
        vm.settings = evolve(vm.settings, service="pay")
        assert (await vm.announce()).status == 421
        follower.runs.clear()
        await setup.send_for(2.0)
        assert follower.runs == []

    run_scenario(scenario)


def test_server_that_starts_again_gets_requests_after_its_first_heartbeat():
    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        follower = await hand_over(setup, vm)
        await setup.send_for(1.0)
        assert follower.runs == []
        await vm.announce()
        await setup.send_for(1.0)
        assert follower.runs != []
        assert setup.count_answers(200) == len(setup.answers)

    run_scenario(scenario)


# Guards against nodes that know a node by its earlier service, and send it nothing.
def test_requests_of_the_new_service_reach_the_address_at_once():
    async def scenario(setup: ServiceScenario) -> None:
        vm = setup.server_vms[0]
        follower = await hand_over(setup, vm)
        change_settings(vm)
        await vm.announce()
        await anyio.sleep(APPLY_S)
        for number, entry in enumerate(setup.entry_vms):
            answer = await send_as_client(entry, "/pay/1", request_id=f"p{number}")
            assert answer.status == 200
        await setup.send_for(1.0)
        assert sorted(follower.runs) == ["p0", "p1", "p2"]
        # A node that has no link learns it from the log.
        late = await setup.deployment.add("front")
        with anyio.fail_after(APPLY_S):
            while late.node.state.members.by_name.get(vm.settings.name) is None:
                await anyio.sleep(0.05)
        member = late.node.state.members.by_name[vm.settings.name]
        assert member.service == "pay"

    run_scenario(scenario)
