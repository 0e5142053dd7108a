"""News of the log through readers, on a network and a time of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import mock

import anyio
import pytest
from attrs import define

from eelgrassmount.policy.readers import SUBSCRIBED_READERS
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.relay.tallies import Tally
from eelgrassmount.topics.readers import (
    CALM_PERIOD_S,
    LEARNING_PERIOD_S,
    LOST_S,
    PERIOD_S,
    READ_ON_S,
    LogReaders,
)
from eelgrassmount.topics.subscriptions import HEARD_S
from standins.platform_log import LogFault
from tests.relay.deployment import Deployment, Vm, make_document, make_rule
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.relay.virtual import Network, SocketAddress

LIST = make_rule("/list/", "list")
DEMAND = RequestClass("shop.example/list/", 0)
DOMAINS = ("a", "b", "c")
NODES = 6
# the bound of the smallest deployments for a configuration to be in force
CONFIG_LIMIT_S = 2.0
# nodes that began to read as they knew of few others have stopped
SETTLE_S = 8.0


@define(eq=False)
class Fleet:
    """Nodes in some failure domains, and their log."""

    network: Network
    deployment: Deployment

    @property
    def vms(self) -> list[Vm]:
        return self.deployment.vms

    def list_domain(self, domain: str) -> list[Vm]:
        return [vm for vm in self.vms if vm.settings.failure_domain == domain]

    def list_readers(self, domain: str) -> list[Vm]:
        return [vm for vm in self.list_domain(domain) if vm.node.readers.reading]

    def count_calls(self) -> int:
        return self.deployment.log.calls

    def configure(self, version: int) -> None:
        self.deployment.log.put("keyed.op", "config", make_document(version, LIST))

    def list_behind(self, version: int, vms: list[Vm] | None = None) -> list[str]:
        return [
            vm.settings.name
            for vm in (self.vms if vms is None else vms)
            if vm.node.beliefs.table.version < version
        ]

    async def expect_version(self, version: int, vms: list[Vm] | None = None) -> None:
        """Wait as long as a configuration may take."""
        with anyio.move_on_after(CONFIG_LIMIT_S):
            while self.list_behind(version, vms):
                await anyio.sleep(0.02)
        assert self.list_behind(version, vms) == []

    def list_places(self, vm: Vm) -> list[SocketAddress]:
        settings = vm.settings
        return [
            (one.host, one.port)
            for one in (settings.peer_address, settings.caller_address)
        ]

    def stop(self, vm: Vm) -> None:
        """End a node at once, as a crash of its process does."""
        self.deployment.vms.remove(vm)
        vm.node.end()
        vm.node.readers.begun = False
        for follower in vm.node.readers.followers:
            follower.want(False)

    def stand_still(self, vm: Vm) -> None:
        """Let nothing that others send reach a node."""
        for place in self.list_places(vm):
            self.network.pause(place)


def play(
    scenario: Callable[[Fleet], Awaitable[None]],
    nodes: int = NODES,
    domains: tuple[str, ...] = DOMAINS,
    seed: int = 0,
) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(LIST)
            for number in range(nodes * len(domains)):
                await deployment.add("list", domains[number % len(domains)])
            await anyio.sleep(SETTLE_S)
            try:
                await scenario(Fleet(network, deployment))
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main, seed)


@pytest.mark.parametrize("seed", range(3))
def test_some_nodes_of_each_failure_domain_read_and_tell_the_others(seed):
    """Each record woke all nodes: 15 to 34 calls a node and day on 195 nodes."""

    async def scenario(fleet: Fleet) -> None:
        for domain in DOMAINS:
            assert len(fleet.list_readers(domain)) == SUBSCRIBED_READERS
        before = fleet.count_calls()
        for version in range(2, 12):
            fleet.configure(version)
            await fleet.expect_version(version)
            await anyio.sleep(1.0)
        # one read a reader and record
        assert fleet.count_calls() - before <= 10 * SUBSCRIBED_READERS * len(DOMAINS)

    play(scenario, seed=seed)


def test_nodes_know_each_other_though_few_read():
    async def scenario(fleet: Fleet) -> None:
        late = await fleet.deployment.add("list", "b")
        await anyio.sleep(1.0)
        names = {vm.settings.name for vm in fleet.vms}
        assert late.settings.name in names
        for vm in fleet.vms:
            assert vm.node.beliefs.members.by_name.keys() == names

    play(scenario)


def test_a_start_takes_few_calls_of_each_node():
    async def scenario(fleet: Fleet) -> None:
        # each reads the newest and appends its record; the readers follow two topics
        readers = SUBSCRIBED_READERS * len(DOMAINS)
        events = len(fleet.vms)
        assert fleet.count_calls() <= 2 * len(fleet.vms) + readers * (4 + events)
        before = fleet.count_calls()
        await fleet.deployment.add("list", "a")
        await anyio.sleep(1.0)
        assert fleet.count_calls() - before <= 2 + readers

    play(scenario)


def test_both_readers_are_replaced_when_they_end():
    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.list_readers("a"):
            fleet.stop(vm)
        fleet.configure(2)
        await fleet.expect_version(2)
        await anyio.sleep(READ_ON_S + HEARD_S + 2.0)
        assert len(fleet.list_readers("a")) == SUBSCRIBED_READERS

    play(scenario)


@pytest.mark.parametrize("wait_s", [0.0, 0.3, 0.6])
def test_both_readers_may_stand_still_when_a_configuration_comes(wait_s):
    async def scenario(fleet: Fleet) -> None:
        readers = fleet.list_readers("a")
        for vm in readers:
            fleet.stand_still(vm)
        others = [vm for vm in fleet.vms if vm not in readers]
        await anyio.sleep(wait_s)
        fleet.configure(2)
        await fleet.expect_version(2, others)

    play(scenario)


def test_readers_that_the_log_turns_away_hear_from_other_failure_domains():
    async def scenario(fleet: Fleet) -> None:
        readers = fleet.list_readers("a")
        for vm in readers:
            turn_away(vm)
        await anyio.sleep(1.0)
        fleet.configure(2)
        await fleet.expect_version(2)
        others = [vm for vm in fleet.list_domain("a") if vm not in readers]
        assert not any(vm.node.readers.reading for vm in others)

    play(scenario)


def turn_away(vm: Vm) -> None:
    """Let the log answer no call of a node, and end the reads that wait."""
    vm.node.store.address = vm.settings.ready_address
    vm.node.store._connections.address = vm.settings.ready_address
    vm.node.store.end()


def test_failure_domain_alone_reads_by_itself():
    async def scenario(fleet: Fleet) -> None:
        fleet.configure(2)
        await fleet.expect_version(2)

    play(scenario, nodes=3, domains=("a",))


def test_few_calls_are_made_while_the_log_is_away_and_all_hear_of_its_return():
    """All nodes asked again each 1.5 s: an outage of 9 s cost six calls a node."""

    async def scenario(fleet: Fleet) -> None:
        fleet.deployment.log.fault = LogFault.UNAVAILABLE
        # reads that wait are not ended by it
        fleet.configure(2)
        await anyio.sleep(2.0)
        before = fleet.count_calls()
        seconds = 9.0
        await anyio.sleep(seconds)
        calls = fleet.count_calls() - before
        per_reader = 2 * seconds / 0.75
        others = len(fleet.vms) - SUBSCRIBED_READERS * len(DOMAINS)
        assert calls <= SUBSCRIBED_READERS * len(DOMAINS) * per_reader + 2 * others * (
            seconds / LOST_S[0]
        )
        fleet.deployment.log.fault = LogFault.NONE
        fleet.configure(3)
        await fleet.expect_version(3)

    play(scenario)


def test_node_that_starts_while_the_log_is_away_hears_all_from_its_links():
    async def scenario(fleet: Fleet) -> None:
        vm = fleet.list_readers("a")[0]
        fleet.stop(vm)
        fleet.deployment.log.fault = LogFault.UNAVAILABLE
        # its server goes on, and its address is free again
        vm.server.listener.end()
        await anyio.sleep(1.0)
        again = await fleet.deployment.add(
            "list",
            "a",
            name=vm.settings.name,
            **{
                name: getattr(vm.settings, name)
                for name in (
                    *("caller_address", "peer_address", "ready_address"),
                    *("announce_address", "server_address"),
                )
            },
        )
        with anyio.fail_after(6.0):
            while not again.node.is_ready():
                await anyio.sleep(0.05)
        assert again.node.beliefs.table.version == 1
        await anyio.sleep(2.0)
        names = {one.settings.name for one in fleet.vms}
        assert again.node.beliefs.members.by_name.keys() == names

    play(scenario)


def test_version_never_goes_back_whoever_tells_an_earlier_one():
    async def scenario(fleet: Fleet) -> None:
        fleet.configure(5)
        await fleet.expect_version(5)
        fleet.configure(3)
        await anyio.sleep(3.0)
        versions = {vm.node.beliefs.table.version for vm in fleet.vms}
        assert versions == {5}

    play(scenario)


def test_all_nodes_hear_the_counts_of_all():
    def make_tally() -> Tally:
        return Tally(1, {DEMAND: 2.0})

    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.vms:
            vm.node.readers.make_tally = make_tally
        await anyio.sleep(4.0)
        for vm in fleet.vms:
            outlook = vm.node.beliefs.cluster_counts
            assert outlook.nodes == len(fleet.vms)
            assert outlook.offered[DEMAND] == pytest.approx(2.0 * len(fleet.vms))

    play(scenario)


def test_counts_of_nodes_that_are_gone_are_forgotten():
    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.list_domain("c"):
            fleet.stop(vm)
        await anyio.sleep(2 * HEARD_S + 3.0)
        for vm in fleet.vms:
            assert vm.node.beliefs.cluster_counts.nodes == len(fleet.vms)

    play(scenario)


def test_counts_go_along_seldom_while_nothing_is_short():
    """With each question, nodes sent twice the bytes that they had sent without any."""
    asked: list[bool] = []
    note_subscribe = LogReaders.note_subscribe

    def note(readers: LogReaders, struct: Any, send: Any) -> None:
        asked.append(struct.with_counts)
        note_subscribe(readers, struct, send)

    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.vms:
            # calls are known, and no service is short
            vm.node.beliefs.graph.set_calls(
                "shop.example/list/", {"shop.example/part/": 1.0}
            )
        await anyio.sleep(CALM_PERIOD_S)
        with mock.patch.object(LogReaders, "note_subscribe", note):
            await anyio.sleep(4 * CALM_PERIOD_S)
        assert 0.0 < sum(asked) / len(asked) < 1.5 * PERIOD_S / CALM_PERIOD_S
        for vm in fleet.vms:
            assert vm.node.beliefs.cluster_counts.nodes == len(fleet.vms)

    play(scenario)


def test_one_reader_of_each_failure_domain_listens_to_the_others():
    async def scenario(fleet: Fleet) -> None:
        far = 0
        for vm in fleet.vms:
            domains = {
                vm.node.beliefs.members.by_name[name].failure_domain
                for name in vm.node.readers.subscriptions
            }
            far += len(domains - {vm.settings.failure_domain})
        assert far == len(DOMAINS) * (len(DOMAINS) - 1)

    play(scenario)


def test_counts_go_round_quickly_while_requests_come_and_no_calls_are_known():
    async def scenario(fleet: Fleet) -> None:
        readers = fleet.vms[0].node.readers
        assert readers._find_period() == PERIOD_S
        readers.beliefs.request_counts["shop.example/list/"] = 3.0
        assert readers._find_period() == LEARNING_PERIOD_S
        readers.beliefs.graph.set_calls(
            "shop.example/list/", {"shop.example/part/": 1.0}
        )
        assert readers._find_period() == PERIOD_S

    play(scenario, nodes=2)
