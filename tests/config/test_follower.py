"""Configuration followers of a cluster with an in-memory log and network."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.config.fold import RESTORE_SKIP, Fold
from eelgrassmount.config.publish import Accepted, Invalid, Lost, Unknown
from eelgrassmount.config.record import encode_record
from eelgrassmount.config.rewrite import make_rewrite
from tests.config.fakes import Cluster, make_text, run_cluster

DOMAINS = ("a", "b", "c")
ALL = tuple(f"{domain}-{number}" for domain in DOMAINS for number in range(4))


async def start_all(cluster: Cluster, seed: int = 0) -> None:
    for address in ALL:
        await cluster.start(address, seed, seeds=("a-0", "b-0"))
    await cluster.advance(3.0)


def versions(cluster: Cluster) -> set[int]:
    return {node.version for node in cluster.nodes.values()}


def test_published_version_is_in_force_on_all_nodes() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        assert await cluster.publish("a-1", "one", 0) == Accepted(1)
        assert await cluster.publish("b-1", "two", 1) == Accepted(2)
        await cluster.advance(1.0)
        assert versions(cluster) == {2}
        assert await cluster.publish("b-1", "late", 1) == Lost(2)
        assert isinstance(await cluster.publish("b-1", "not a name", 2), Invalid)
        names = [e.version for e in await cluster.nodes["c-3"].follower.history()]
        assert names == [1, 2]

    run_cluster(scenario)


def test_one_of_several_concurrent_publishes_is_accepted() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        done = []

        async def publish(address: str, name: str) -> None:
            follower = cluster.nodes[address].follower
            done.append(await follower.publish(make_text(name), 0))

        for address in ("a-1", "b-1", "c-1"):
            cluster.tasks.start_soon(publish, address, address)
        await cluster.advance(5.0)
        assert sorted(done, key=str) == [Accepted(1), Lost(1), Lost(1)]
        assert versions(cluster) == {1}

    run_cluster(scenario)


@pytest.mark.parametrize("fault", ["lose", "swallow"])
def test_outcome_is_determined_after_lost_answers(fault: str) -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        setattr(cluster.log, fault, 2)
        assert await cluster.publish("a-1", "one", 0, "req-1") == Accepted(1)
        assert await cluster.publish("c-1", "one", 0, "req-1") == Accepted(1)
        assert await cluster.publish("a-1", "two", 1) == Accepted(2)
        assert await cluster.publish("b-1", "one", 0, "req-1") == Accepted(1)
        assert await cluster.publish("b-1", "one", 0, "req-2") == Lost(2)
        await cluster.advance(1.0)
        assert versions(cluster) == {2}

    run_cluster(scenario)


def test_nodes_follow_and_publishes_fail_while_the_log_is_down() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        await cluster.publish("a-1", "one", 0)
        await cluster.advance(1.0)
        cluster.log.down = True
        await cluster.advance(6.0)
        readers = [n for n in cluster.nodes.values() if n.follower.tails_log]
        assert not any(node.shared_state.log_reachable for node in readers)
        assert versions(cluster) == {1}
        outcome = await cluster.publish("a-1", "two", 1)
        assert isinstance(outcome, Unknown)
        assert "nothing was sent" in outcome.detail
        cluster.stop("b-2")
        await cluster.start("b-2", 1, seeds=("a-0",))
        await cluster.advance(1.0)
        assert cluster.nodes["b-2"].version == 1
        cluster.log.down = False
        await cluster.advance(6.0)
        assert await cluster.publish("a-1", "two", 1) == Accepted(2)

    run_cluster(scenario)


def test_domain_without_the_log_gets_versions_from_peers() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        for address, node in cluster.nodes.items():
            node.log.disconnected = address.startswith("c")
        assert await cluster.publish("a-1", "one", 0) == Accepted(1)
        await cluster.advance(1.0)
        assert versions(cluster) == {1}
        cluster.disconnected_domains = {"c"}
        assert await cluster.publish("a-1", "two", 1) == Accepted(2)
        await cluster.advance(10.0)
        assert {cluster.nodes[a].version for a in ALL if a[0] == "c"} == {1}
        assert not cluster.nodes["c-0"].shared_state.log_reachable
        cluster.disconnected_domains = set()
        await cluster.advance(4.0)
        assert versions(cluster) == {2}

    run_cluster(scenario)


def test_version_survives_a_restart_of_all_nodes_with_old_records_dropped() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        for number in range(5):
            await cluster.publish("a-1", f"v{number}", number)
        await cluster.advance(100.0)
        cluster.log.drop(cluster.log.next - 1)
        for address in ALL:
            cluster.stop(address)
        await start_all(cluster, seed=1)
        assert versions(cluster) == {5}
        assert await cluster.publish("c-3", "six", 5) == Accepted(6)

    run_cluster(scenario)


def test_stale_rewrite_does_not_restore_an_old_version() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        await cluster.publish("a-1", "one", 0)
        paused = make_rewrite(cluster.nodes["a-1"].follower.stream.fold, "paused")
        await cluster.publish("a-1", "two", 1)
        await cluster.advance(100.0)
        cluster.log.drop(cluster.log.next - 1)
        cluster.log.bodies.append(encode_record(paused))
        for address in ALL:
            cluster.stop(address)
        await start_all(cluster, seed=1)
        assert versions(cluster) == {2}
        assert await cluster.publish("c-3", "wrong", 1) == Lost(2)

    run_cluster(scenario)


def test_publish_restores_a_history_that_the_log_lost() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        await cluster.publish("a-1", "one", 0)
        await cluster.advance(1.0)
        cluster.log.down = True
        # malformed records, which every reader skips
        cluster.log.bodies += [b"{}"] * 3
        cluster.log.drop(cluster.log.next)
        cluster.log.down = False
        await cluster.advance(10.0)
        assert versions(cluster) == {1}
        assert await cluster.publish("a-1", "two", 0) == Lost(1)
        early = await cluster.publish("a-1", "two", 1)
        assert isinstance(early, Unknown)
        assert "no longer tells" in early.detail
        await cluster.advance(125.0)
        restored = 1 + RESTORE_SKIP
        assert await cluster.publish("a-1", "two", 1) == Accepted(restored)
        await cluster.advance(3.0)
        assert versions(cluster) == {restored}
        assert await cluster.publish("b-1", "three", restored) == Accepted(restored + 1)

    run_cluster(scenario)


def test_rewrites_are_few_and_absent_at_version_0() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        await cluster.advance(200.0)
        assert cluster.log.appends == 0
        await cluster.publish("a-1", "one", 0)
        await cluster.advance(600.0)
        assert 6 <= cluster.log.appends - 1 <= 12

    run_cluster(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_never_revert_a_version(seed: int) -> None:
    rng = random.Random(seed)

    async def scenario(cluster: Cluster) -> None:
        await start_all(cluster)
        accepted = 0
        for step in range(30):
            fault = rng.randrange(7)
            cluster.log.down = fault == 0
            cluster.log.lose = rng.randrange(2)
            cluster.disconnected_domains = (
                {rng.choice(DOMAINS)} if fault == 1 else set()
            )
            for address, node in cluster.nodes.items():
                node.log.disconnected = fault == 2 and address.startswith("b")
            if fault == 3:
                address = rng.choice(sorted(cluster.nodes))
                cluster.stop(address)
                await cluster.start(address, step, seeds=("a-0", "b-0"))
            if fault == 4 and cluster.log.next > cluster.log.first + 12:
                cluster.log.drop(cluster.log.next - 10)
            address = rng.choice(sorted(cluster.nodes))
            base = cluster.nodes[address].version
            outcome = await cluster.publish(address, f"s{step}", base)
            if isinstance(outcome, Accepted):
                assert outcome.version > accepted
                accepted = outcome.version
            await cluster.advance(rng.choice([0.1, 2.0]))
        cluster.log.down, cluster.disconnected_domains = False, set()
        for node in cluster.nodes.values():
            node.log.disconnected = False
        await cluster.advance(10.0)
        assert len(versions(cluster)) == 1
        assert versions(cluster).pop() >= accepted > 10

    run_cluster(scenario)


def test_newer_version_announced_by_gossip_is_fetched() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.start("a-0")
        await cluster.publish("a-0", "one", 0)
        cluster.log.down = True
        cluster.disconnected_domains = {"b"}
        node = await cluster.start("b-0")
        node.follower.record_announced_version("a-0", 1)
        await cluster.settle()
        assert node.version == 0
        cluster.disconnected_domains = set()
        node.follower.record_announced_version("a-0", 1)
        await cluster.settle()
        assert node.version == 1
        assert node.follower.stream.fold == Fold(1, 1, True, 1, make_text("one"))

    run_cluster(scenario)
