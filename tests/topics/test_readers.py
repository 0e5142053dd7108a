"""Distribution of the log through readers, with a virtual network and clock."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any
from unittest import mock

import anyio
import pytest
from attrs import define

from eelgrassmount.policy.readers import SUBSCRIBED_READERS
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.relay.tallies import Tally
from eelgrassmount.topics.follower import CHECK_WAIT_S, READ_WAIT_S
from eelgrassmount.topics.outage import OUTAGE_WAIT_RANGE_S
from eelgrassmount.topics.readers import (
    COUNTS_INTERVAL_S,
    LEARNING_INTERVAL_S,
    MIN_READING_TIME_S,
    SUBSCRIBE_INTERVAL_S,
    LogReaders,
)
from eelgrassmount.topics.subscriptions import MAX_NEWS_AGE_S
from standins.platform_log import LogFault
from tests.relay.deployment import Deployment, Vm, make_document, make_rule
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.relay.virtual import Network, SocketAddress

LIST = make_rule("/list/", "list")
REQUEST_CLASS = RequestClass("shop.example/list/", 0)
DOMAINS = ("a", "b", "c")
NODES = 6
# Bound for applying a configuration in the smallest deployments.
MAX_APPLY_TIME_S = 2.0
# Nodes that read the log only because they knew few others have stopped by then.
STARTUP_TIME_S = 8.0


@define(eq=False)
class Fleet:
    """Nodes in several failure domains, and their log."""

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

    def list_outdated(self, version: int, vms: list[Vm] | None = None) -> list[str]:
        return [
            vm.settings.name
            for vm in (self.vms if vms is None else vms)
            if vm.node.state.table.version < version
        ]

    async def expect_version(self, version: int, vms: list[Vm] | None = None) -> None:
        """Wait until all nodes have applied a configuration in time."""
        with anyio.move_on_after(MAX_APPLY_TIME_S):
            while self.list_outdated(version, vms):
                await anyio.sleep(0.02)
        assert self.list_outdated(version, vms) == []

    def list_addresses(self, vm: Vm) -> list[SocketAddress]:
        settings = vm.settings
        return [
            (one.host, one.port)
            for one in (settings.peer_address, settings.caller_address)
        ]

    def stop(self, vm: Vm) -> None:
        """Stop a node at once, like a crash of its process."""
        self.deployment.vms.remove(vm)
        vm.node.end()
        vm.node.readers.started = False
        for follower in vm.node.readers.followers:
            follower.set_wanted(False)

    def pause(self, vm: Vm) -> None:
        """Hold back everything that others send to a node."""
        for address in self.list_addresses(vm):
            self.network.pause(address)


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
            await anyio.sleep(STARTUP_TIME_S)
            try:
                await scenario(Fleet(network, deployment))
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main, seed)


def now_s() -> float:
    return anyio.current_time()


def count_checks(seconds: float) -> int:
    """Return how often the node that checks the log reads its two topics."""
    return 2 * math.ceil(seconds / CHECK_WAIT_S)


@pytest.mark.parametrize("seed", range(3))
def test_some_nodes_of_each_failure_domain_read_for_the_others(seed):
    """Guards against all nodes reading the log, which would multiply its calls."""

    async def scenario(fleet: Fleet) -> None:
        for domain in DOMAINS:
            assert len(fleet.list_readers(domain)) == SUBSCRIBED_READERS
        before, started_s = fleet.count_calls(), now_s()
        for version in range(2, 12):
            fleet.configure(version)
            await fleet.expect_version(version)
            await anyio.sleep(1.0)
        # One read per reader and record, besides the checks of one node.
        reads = 10 * SUBSCRIBED_READERS * len(DOMAINS)
        assert fleet.count_calls() - before <= reads + count_checks(now_s() - started_s)

    play(scenario, seed=seed)


def test_nodes_know_all_members_although_few_read():
    async def scenario(fleet: Fleet) -> None:
        late = await fleet.deployment.add("list", "b")
        await anyio.sleep(1.0)
        names = {vm.settings.name for vm in fleet.vms}
        assert late.settings.name in names
        for vm in fleet.vms:
            assert vm.node.state.members.by_name.keys() == names

    play(scenario)


@pytest.mark.parametrize("nodes", [2, 6, 16])
def test_calls_in_the_quiet_do_not_grow_with_the_number_of_nodes(nodes):
    """Guards against a check of the log by each reader, or by each node."""

    async def scenario(fleet: Fleet) -> None:
        seconds = 2 * READ_WAIT_S
        before = fleet.count_calls()
        await anyio.sleep(seconds)
        # The other readers start new reads when they have waited for long.
        reads = 2 * 3 * SUBSCRIBED_READERS * len(DOMAINS)
        assert fleet.count_calls() - before <= reads + count_checks(seconds)

    play(scenario, nodes)


def test_starting_nodes_make_few_calls_to_the_log():
    async def scenario(fleet: Fleet) -> None:
        # Each node reads the records and appends its own; readers follow two topics.
        readers = SUBSCRIBED_READERS * len(DOMAINS)
        events = len(fleet.vms)
        assert fleet.count_calls() <= 2 * len(fleet.vms) + readers * (4 + events)
        before, started_s = fleet.count_calls(), now_s()
        await fleet.deployment.add("list", "a")
        await anyio.sleep(1.0)
        calls = 2 + readers + count_checks(now_s() - started_s)
        assert fleet.count_calls() - before <= calls

    play(scenario)


def test_both_readers_are_replaced_after_a_crash():
    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.list_readers("a"):
            fleet.stop(vm)
        fleet.configure(2)
        await fleet.expect_version(2)
        await anyio.sleep(MIN_READING_TIME_S + MAX_NEWS_AGE_S + 2.0)
        assert len(fleet.list_readers("a")) == SUBSCRIBED_READERS

    play(scenario)


@pytest.mark.parametrize("wait_s", [0.0, 0.3, 0.6])
def test_configuration_is_applied_while_both_readers_are_paused(wait_s):
    async def scenario(fleet: Fleet) -> None:
        readers = fleet.list_readers("a")
        for vm in readers:
            fleet.pause(vm)
        others = [vm for vm in fleet.vms if vm not in readers]
        await anyio.sleep(wait_s)
        fleet.configure(2)
        await fleet.expect_version(2, others)

    play(scenario)


def test_readers_without_the_log_use_other_failure_domains():
    async def scenario(fleet: Fleet) -> None:
        readers = fleet.list_readers("a")
        for vm in readers:
            block_log(vm)
        await anyio.sleep(1.0)
        fleet.configure(2)
        await fleet.expect_version(2)
        others = [vm for vm in fleet.list_domain("a") if vm not in readers]
        assert not any(vm.node.readers.reading for vm in others)

    play(scenario)


def block_log(vm: Vm) -> None:
    """Make the log unreachable for a node, and end its waiting reads."""
    vm.node.store.address = vm.settings.ready_address
    vm.node.store._connections.address = vm.settings.ready_address
    vm.node.store.close()


def test_single_failure_domain_reads_the_log():
    async def scenario(fleet: Fleet) -> None:
        fleet.configure(2)
        await fleet.expect_version(2)

    play(scenario, nodes=3, domains=("a",))


def test_nodes_make_few_calls_in_an_outage_and_all_notice_its_end():
    """Guards against retries of all nodes at short intervals during an outage."""

    async def scenario(fleet: Fleet) -> None:
        fleet.deployment.log.fault = LogFault.UNAVAILABLE
        # Waiting reads are not ended by the outage, but by a new record.
        fleet.configure(2)
        await anyio.sleep(2.0)
        before = fleet.count_calls()
        seconds = 9.0
        await anyio.sleep(seconds)
        calls = fleet.count_calls() - before
        per_reader = 2 * seconds / 0.75
        others = len(fleet.vms) - SUBSCRIBED_READERS * len(DOMAINS)
        assert calls <= SUBSCRIBED_READERS * len(DOMAINS) * per_reader + 2 * others * (
            seconds / OUTAGE_WAIT_RANGE_S[0]
        )
        fleet.deployment.log.fault = LogFault.NONE
        fleet.configure(3)
        await fleet.expect_version(3)

    play(scenario)


def test_node_that_starts_in_an_outage_learns_all_from_its_links():
    async def scenario(fleet: Fleet) -> None:
        vm = fleet.list_readers("a")[0]
        fleet.stop(vm)
        fleet.deployment.log.fault = LogFault.UNAVAILABLE
        # The backend server keeps running; its address is free for the new one.
        vm.server.listener.end()
        await anyio.sleep(1.0)
        restarted = await fleet.deployment.add(
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
            while not restarted.node.is_ready():
                await anyio.sleep(0.05)
        assert restarted.node.state.table.version == 1
        await anyio.sleep(2.0)
        names = {one.settings.name for one in fleet.vms}
        assert restarted.node.state.members.by_name.keys() == names

    play(scenario)


def test_earlier_version_is_never_applied():
    async def scenario(fleet: Fleet) -> None:
        fleet.configure(5)
        await fleet.expect_version(5)
        fleet.configure(3)
        await anyio.sleep(3.0)
        versions = {vm.node.state.table.version for vm in fleet.vms}
        assert versions == {5}

    play(scenario)


def test_all_nodes_receive_the_counts_of_all():
    def make_tally() -> Tally:
        return Tally(1, {REQUEST_CLASS: 2.0})

    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.vms:
            vm.node.readers.make_tally = make_tally
        await anyio.sleep(4.0)
        for vm in fleet.vms:
            counts = vm.node.state.cluster_counts
            assert counts.nodes == len(fleet.vms)
            assert counts.offered[REQUEST_CLASS] == pytest.approx(2.0 * len(fleet.vms))

    play(scenario)


def test_counts_of_stopped_nodes_expire():
    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.list_domain("c"):
            fleet.stop(vm)
        await anyio.sleep(2 * MAX_NEWS_AGE_S + 3.0)
        for vm in fleet.vms:
            assert vm.node.state.cluster_counts.nodes == len(fleet.vms)

    play(scenario)


def test_counts_are_sent_rarely_while_no_service_is_overloaded():
    """Guards against counts in each request, which would double the traffic."""
    with_counts: list[bool] = []
    handle_subscribe = LogReaders.handle_subscribe

    def record(readers: LogReaders, struct: Any, send: Any) -> None:
        with_counts.append(struct.with_counts)
        handle_subscribe(readers, struct, send)

    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.vms:
            # Calls are learned, and no service is overloaded.
            vm.node.state.graph.set_calls(
                "shop.example/list/", {"shop.example/part/": 1.0}
            )
        await anyio.sleep(COUNTS_INTERVAL_S)
        with mock.patch.object(LogReaders, "handle_subscribe", record):
            await anyio.sleep(4 * COUNTS_INTERVAL_S)
        assert (
            0.0
            < sum(with_counts) / len(with_counts)
            < 1.5 * SUBSCRIBE_INTERVAL_S / COUNTS_INTERVAL_S
        )
        for vm in fleet.vms:
            assert vm.node.state.cluster_counts.nodes == len(fleet.vms)

    play(scenario)


def test_one_reader_of_each_failure_domain_subscribes_to_the_others():
    async def scenario(fleet: Fleet) -> None:
        remote = 0
        for vm in fleet.vms:
            domains = {
                vm.node.state.members.by_name[name].failure_domain
                for name in vm.node.readers.subscriptions
            }
            remote += len(domains - {vm.settings.failure_domain})
        assert remote == len(DOMAINS) * (len(DOMAINS) - 1)

    play(scenario)


def test_counts_are_exchanged_more_often_until_calls_are_learned():
    async def scenario(fleet: Fleet) -> None:
        readers = fleet.vms[0].node.readers
        assert readers._compute_subscribe_interval_s() == SUBSCRIBE_INTERVAL_S
        readers.state.request_counts["shop.example/list/"] = 3.0
        assert readers._compute_subscribe_interval_s() == LEARNING_INTERVAL_S
        readers.state.graph.set_calls("shop.example/list/", {"shop.example/part/": 1.0})
        assert readers._compute_subscribe_interval_s() == SUBSCRIBE_INTERVAL_S

    play(scenario, nodes=2)
