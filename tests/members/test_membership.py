"""Membership protocol between up to 30 nodes on a manual clock."""

from __future__ import annotations

import random
from functools import wraps

import anyio
import pytest

from benchmarks.member_network import Network
from eelgrassmount.members.counts import Count
from eelgrassmount.members.table import MemberState, ServerState

JOIN_TIMEOUT_S = 30.0


def manual(test):
    """Run an async test in its own event loop."""

    @wraps(test)
    def run(**kwargs):
        anyio.run(lambda: test(**kwargs))

    return run


async def start_nodes(network, domains, each, service="jobdesk"):
    """Start nodes with serving servers and the first node as their seed."""
    seeds = ()
    for domain in range(domains):
        for index in range(each):
            address = f"127.{domain + 1}.0.{index + 1}:9000"
            node = await network.add(address, f"domain-{domain}", seeds)
            node.serve(service)
            seeds = seeds or (address,)
    took_s = await network.run_until(lambda: knows_all(network), JOIN_TIMEOUT_S)
    assert took_s < JOIN_TIMEOUT_S
    return list(network.nodes.values())


def knows_all(network):
    """Return whether each node sees all servers of its domain and other domains."""
    nodes = list(network.nodes.values())
    domains = {node.identity.failure_domain for node in nodes}
    for node in nodes:
        serving = {
            member.identity.address
            for member in node.shared_state.members.find_serving("jobdesk")
        }
        expected = {
            other.address
            for other in nodes
            if other.identity.failure_domain == node.identity.failure_domain
        }
        if serving != expected:
            return False
        if len(node.shared_state.members.find_summaries("jobdesk")) != len(domains) - 1:
            return False
    return True


def count(network, what):
    return sum(
        node.membership.roster.counts.values[what] for node in network.nodes.values()
    )


@manual
async def test_nodes_find_each_other_through_one_seed():
    async with Network(random.Random(1)).open() as network:
        network.log.down = True
        await start_nodes(network, domains=3, each=10)


@manual
async def test_nodes_find_each_other_through_the_log_alone():
    async with Network(random.Random(2)).open() as network:
        for index in range(12):
            domain = f"domain-{index % 2}"
            node = await network.add(f"127.1.0.{index + 1}:9000", domain)
            node.serve("jobdesk")
        assert (
            await network.run_until(lambda: knows_all(network), JOIN_TIMEOUT_S)
            < JOIN_TIMEOUT_S
        )
        # most nodes join without an announcement
        assert len(network.log.records) <= 12
        await network.run(300.0)
        assert len(network.log.records) <= 12 + 2 * 2 * 3


@manual
async def test_a_node_alone_joins_once_the_log_is_back():
    async with Network(random.Random(3)).open() as network:
        network.log.down = True
        for index in range(2):
            node = await network.add(f"127.1.0.{index + 1}:9000", "domain-0")
            node.serve("jobdesk")
        await network.run(20.0)
        network.log.down = False
        assert await network.run_until(lambda: knows_all(network), 60.0) < 60.0


@manual
async def test_a_killed_node_is_suspected_then_dead():
    async with Network(random.Random(4)).open() as network:
        nodes = await start_nodes(network, domains=1, each=20)
        victim = nodes[7]
        victim.kill()
        others = list(network.nodes.values())

        def all_see(states):
            return all(
                node.get_member_state(victim.address) in states for node in others
            )

        gone = (MemberState.SUSPECT, MemberState.DEAD)
        assert await network.run_until(lambda: all_see(gone), 5.0) < 5.0
        dead = (MemberState.DEAD, None)
        assert await network.run_until(lambda: all_see(dead), 10.0) < 10.0


@pytest.mark.parametrize("freeze_s", [0.2, 3.0, 20.0])
@manual
async def test_a_resumed_node_keeps_its_identity(freeze_s):
    async with Network(random.Random(5)).open() as network:
        nodes = await start_nodes(network, domains=2, each=8)
        nodes[3].freeze()
        await network.run(freeze_s)
        nodes[3].thaw()
        assert await network.run_until(lambda: knows_all(network), 10.0) < 10.0
        assert nodes[0].shared_state.members.members[nodes[3].address].identity == (
            nodes[3].identity
        )


@pytest.mark.parametrize("one_way", [False, True])
@manual
async def test_a_partition_inside_a_domain_heals(one_way):
    async with Network(random.Random(6)).open() as network:
        nodes = await start_nodes(network, domains=1, each=12)
        left = {node.address for node in nodes[:5]}

        def is_partitioned(source, target):
            crosses = (source.address in left) != (target.address in left)
            return crosses and not (one_way and source.address in left)

        network.is_partitioned = is_partitioned
        await network.run(30.0)
        network.is_partitioned = lambda source, target: False
        assert await network.run_until(lambda: knows_all(network), 120.0) < 120.0


@manual
async def test_partitioned_domains_hide_and_later_show_each_other():
    async with Network(random.Random(7)).open() as network:
        nodes = await start_nodes(network, domains=2, each=4)
        network.log.down = True
        network.is_partitioned = lambda source, target: (
            source.identity.failure_domain != target.identity.failure_domain
        )
        await network.run(60.0)
        for node in nodes:
            assert not node.shared_state.members.find_summaries("jobdesk")
            assert len(node.shared_state.members.find_serving("jobdesk")) == 4
        network.is_partitioned = lambda source, target: False
        assert (
            await network.run_until(lambda: knows_all(network), JOIN_TIMEOUT_S)
            < JOIN_TIMEOUT_S
        )


@manual
async def test_a_restarted_node_replaces_its_former_incarnation():
    async with Network(random.Random(8)).open() as network:
        nodes = await start_nodes(network, domains=1, each=6)
        former = nodes[2]
        former.kill()
        seeds = (nodes[0].address,)
        node = await network.add(former.address, "domain-0", seeds)
        node.serve("jobdesk")

        def replaced():
            return all(
                other.shared_state.members.members[node.address].identity
                == node.identity
                for other in network.nodes.values()
            )

        assert await network.run_until(replaced, 10.0) < 10.0
        assert await network.run_until(lambda: knows_all(network), 20.0) < 20.0


@manual
async def test_of_two_incarnations_the_reachable_one_wins():
    async with Network(random.Random(9)).open() as network:
        nodes = await start_nodes(network, domains=1, each=6)
        former = nodes[2]
        former.freeze()
        await network.run(10.0)
        network.nodes.pop(former.address)
        node = await network.add(former.address, "domain-0", (nodes[0].address,))
        node.serve("jobdesk")
        await network.run(5.0)
        # the resumed incarnation can send, but its address reaches the new one
        former.thaw()
        for _ in range(400):
            former.timers.run_due()
            await network.run(0.05)
        seen = nodes[0].shared_state.members.members[node.address]
        assert seen.identity == node.identity
        assert former.membership.roster.counts.values[Count.ADDRESS_CONFLICTS]


@pytest.mark.parametrize("seed", [10, 11, 12])
@manual
async def test_draining_is_known_everywhere_within_two_seconds(seed):
    async with Network(random.Random(seed)).open() as network:
        nodes = await start_nodes(network, domains=3, each=10)
        await network.run(10.0)
        leaving = nodes[seed]
        leaving.serve("jobdesk", ServerState.DRAINING)
        others = [node for node in nodes if node is not leaving]

        def unknown():
            for node in others:
                members = node.shared_state.members
                local = [
                    member.identity.address
                    for member in members.find_serving("jobdesk")
                ]
                remote = [
                    address
                    for summary in members.find_summaries("jobdesk")
                    for address in summary.addresses
                ]
                if leaving.address in local + remote:
                    return False
            return True

        assert await network.run_until(unknown, 2.0) < 2.0


@manual
async def test_no_node_is_declared_dead_at_one_percent_message_loss():
    async with Network(random.Random(13), loss=0.01).open() as network:
        await start_nodes(network, domains=1, each=25)
        await network.run(120.0)
        assert count(network, Count.DECLARED_DEAD) == 0


@manual
async def test_a_flapping_node_is_held_back():
    async with Network(random.Random(14)).open() as network:
        nodes = await start_nodes(network, domains=1, each=6)
        for _ in range(4):
            nodes[1].freeze()
            await network.run(3.0)
            nodes[1].thaw()
            await network.run(2.0)
        seen = nodes[0].shared_state.members.members[nodes[1].address]
        assert seen.state is MemberState.ALIVE
        assert seen.held and not seen.serves
        assert await network.run_until(lambda: knows_all(network), 60.0) < 60.0


@manual
async def test_a_node_that_leaves_is_gone_at_once():
    async with Network(random.Random(15)).open() as network:
        nodes = await start_nodes(network, domains=2, each=6)
        await nodes[2].membership.leave()

        def gone():
            return all(
                node.get_member_state(nodes[2].address) in (MemberState.LEFT, None)
                for node in nodes[:6]
            )

        assert await network.run_until(gone, 2.0) < 2.0
        await network.run(10.0)
        assert count(network, Count.SUSPECTED) == 0


@manual
async def test_summaries_of_a_restarted_domain_replace_older_ones():
    async with Network(random.Random(16)).open() as network:
        nodes = await start_nodes(network, domains=2, each=4)
        await network.run(30.0)
        for node in nodes[4:]:
            node.kill()
        seeds = (nodes[0].address,)
        for node in nodes[4:]:
            new = await network.add(node.address, "domain-1", seeds)
            new.serve("platehouse")

        def replaced():
            members = nodes[0].shared_state.members
            return bool(
                members.find_summaries("platehouse")
                and not members.find_summaries("jobdesk")
            )

        assert await network.run_until(replaced, JOIN_TIMEOUT_S) < JOIN_TIMEOUT_S
