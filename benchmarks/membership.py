"""Measures what membership costs each node, and how soon failures are detected.

``python -m benchmarks.membership`` runs all nodes in one process, on a manual clock
and an in-memory network that encodes each message. Counts of bytes and messages are
exact; processor time includes the codec but no sockets.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import statistics
import time
from functools import partial
from typing import TYPE_CHECKING

import anyio
import numpy as np
from attrs import asdict, field, frozen
from loguru import logger

from benchmarks.member_network import Network, Node
from eelgrassmount.load.state import ServiceLoad
from eelgrassmount.members import flapping
from eelgrassmount.members.counts import Count
from eelgrassmount.members.table import MemberState, ServerState
from eelgrassmount.members.timing import Timing

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 20261202
SETTLE_S = 20.0
MEASURE_S = 20.0
FREEZE_INTERVAL_S = 10.0
FREEZES_S = (0.1, 0.3, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
JOIN_TIMEOUT_S = 120.0
PARTS = ("costs", "detection", "drain", "ideas", "all")
SUSPECT_OR_DEAD = (MemberState.SUSPECT, MemberState.DEAD)


@frozen
class Cost:
    """Cost of one node per second, and of joining."""

    scenario: str
    nodes: int
    domains: int
    join_s: float
    join_kb: float
    bytes_out: float
    bytes_worst: float
    messages_out: float
    cpu_ms: float
    memory_kb: float
    pulls: int


@frozen
class Detection:
    """How the other nodes detected freezes of one length, over several runs."""

    nodes: int
    freeze_s: float
    runs: int
    suspected: int
    declared_dead: int
    suspect_s: list[float] = field(factory=list)
    dead_s: list[float] = field(factory=list)
    back_s: list[float] = field(factory=list)


def read_memory_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def make_describe_load(rng: random.Random, changing: bool) -> Callable[[], ServiceLoad]:
    def describe_load() -> ServiceLoad:
        headroom = rng.choice([5, 20, 80]) if changing else 20
        return ServiceLoad("service", headroom=headroom)

    return describe_load


async def start_nodes(
    network: Network, domains: int, nodes: int, services: int, changing: bool
) -> float:
    """Start all nodes at once with a few seeds; return the seconds until all joined."""
    seeds = tuple(f"127.{domain + 1}.0.1:9000" for domain in range(domains))
    for index in range(nodes):
        for domain in range(domains):
            address = f"127.{domain + 1}.{index // 250}.{index % 250 + 1}:9000"
            describe_load = make_describe_load(network.rng, changing)
            node = await network.add(address, f"domain-{domain}", seeds, describe_load)
            node.serve(f"service-{index % services}")

    def complete() -> bool:
        expected_summaries = (domains - 1) * services
        return all(
            len(node.shared_state.members.members) == nodes
            and len(node.shared_state.members.summaries) == expected_summaries
            for node in network.nodes.values()
        )

    return await network.run_until(complete, JOIN_TIMEOUT_S)


async def measure_cost(
    scenario: str, domains: int, nodes: int, services: int, churn_s: float = 0.0
) -> Cost:
    memory_kb = read_memory_kb()
    rng = random.Random(SEED)
    async with Network(rng).open() as network:
        changing = scenario == "load changes"
        join_s = await start_nodes(network, domains, nodes, services, changing)
        all_nodes = list(network.nodes.values())
        total = len(all_nodes)
        join_kb = sum(node.bytes_out for node in all_nodes) / total / 1024
        await network.run(SETTLE_S)
        before = [(node.bytes_out, node.messages_out) for node in all_nodes]
        pulls = count(network, Count.PULLS)
        cpu_s = network.cpu_s
        await (churn(network, churn_s) if churn_s else network.run(MEASURE_S))
        cpu_s = network.cpu_s - cpu_s
        sent = [
            node.bytes_out - previous
            for node, (previous, _) in zip(all_nodes, before, strict=True)
        ]
        messages = [
            node.messages_out - previous
            for node, (_, previous) in zip(all_nodes, before, strict=True)
        ]
        return Cost(
            scenario,
            total,
            domains,
            round(join_s, 1),
            round(join_kb, 1),
            round(statistics.mean(sent) / MEASURE_S),
            round(max(sent) / MEASURE_S),
            round(statistics.mean(messages) / MEASURE_S, 2),
            round(1000 * cpu_s / total / MEASURE_S, 2),
            round(max(0, read_memory_kb() - memory_kb) / total),
            count(network, Count.PULLS) - pulls,
        )


async def churn(network: Network, interval_s: float) -> None:
    """Drain and restore random servers, one change each ``interval_s`` seconds."""
    steps = int(MEASURE_S / interval_s)
    for step in range(steps):
        node = network.rng.choice(list(network.nodes.values()))
        state = ServerState.DRAINING if step % 2 else ServerState.SERVING
        node.serve(node.shared_state.server.service, state)
        await network.run(interval_s)


@frozen
class DrainDelay:
    """Seconds until no node would send work to a draining server."""

    nodes: int
    domains: int
    loss: float
    runs: int
    seconds: list[float]


async def measure_drain_delay(
    domains: int, nodes: int, loss: float, runs: int
) -> DrainDelay:
    async with Network(random.Random(SEED)).open() as network:
        await start_nodes(network, domains, nodes, min(nodes, 10), changing=False)
        network.loss = loss
        durations = []
        for _ in range(runs):
            await network.run(5.0)
            draining = network.rng.choice(list(network.nodes.values()))
            service = draining.shared_state.server.service
            draining.serve(service, ServerState.DRAINING)
            drain_known = partial(is_drain_known, network, draining.address, service)
            durations.append(await network.run_until(drain_known, 30.0))
            draining.serve(service)
        return DrainDelay(domains * nodes, domains, loss, runs, durations)


def is_drain_known(network: Network, address: str, service: str) -> bool:
    return not any(
        is_seen_serving(node, address, service) for node in network.nodes.values()
    )


def is_seen_serving(node: Node, address: str, service: str) -> bool:
    member = node.shared_state.members.members.get(address)
    if member is not None and member.serves:
        return True
    summaries = node.shared_state.members.find_summaries(service)
    return any(address in summary.addresses for summary in summaries)


def show_drain_delays(drain_delays: list[DrainDelay]) -> None:
    print("nodes  dom  loss  runs  s until no new work: median   p90    max")
    for delay in drain_delays:
        ordered = sorted(delay.seconds)
        print(
            f"{delay.nodes:5} {delay.domains:4} {delay.loss:5.2f} {delay.runs:5}"
            f" {statistics.median(ordered):28.2f}"
            f" {ordered[int(0.9 * len(ordered))]:5.2f} {ordered[-1]:6.2f}"
        )


async def run_drain_delays(runs: int) -> None:
    drain_delays = [
        await measure_drain_delay(domains, nodes, loss, runs)
        for domains, nodes in ((1, 30), (1, 200), (14, 20))
        for loss in (0.0, 0.01)
    ]
    show_drain_delays(drain_delays)
    print(json.dumps({"spreads": [asdict(delay) for delay in drain_delays]}))


async def run_comparisons(runs: int) -> None:
    """Compare runs with and without staggered publishing and flap damping."""
    for stagger_s in (Timing().delegate_stagger_s, 0.0):
        published, durations = await measure_stagger(stagger_s, runs)
        print(
            f"stagger {stagger_s:.1f} s: {published:.2f} summaries per change,"
            f" no new work after {statistics.median(durations):.2f} s"
            f" (max {max(durations):.2f})"
        )
    for max_hold_s in (flapping.MAX_HOLD_S, 0.0):
        returns, share = await measure_flapping(max_hold_s)
        print(
            f"hold up to {max_hold_s:.0f} s: {returns:.1f} returns to service seen by"
            f" each node, in service {share:.0%} of the time"
        )


async def measure_stagger(stagger_s: float, runs: int) -> tuple[float, list[float]]:
    """Return summaries published per change, and the seconds until each was known."""
    timing = Timing(delegate_stagger_s=stagger_s)
    async with Network(random.Random(SEED), timing=timing).open() as network:
        await start_nodes(network, 3, 12, 4, changing=False)
        await network.run(SETTLE_S)
        before = count(network, Count.SUMMARIES_PUBLISHED)
        durations = []
        for run in range(2 * runs):
            node = list(network.nodes.values())[7 * (run // 2) % 36]
            service = node.shared_state.server.service
            if run % 2:
                node.serve(service)
            else:
                node.serve(service, ServerState.DRAINING)
                drain_known = partial(is_drain_known, network, node.address, service)
                durations.append(await network.run_until(drain_known, 30.0))
            await network.run(5.0)
        published = count(network, Count.SUMMARIES_PUBLISHED) - before
        return published / (2 * runs), durations


async def measure_flapping(max_hold_s: float) -> tuple[float, float]:
    """Return returns to service per node, and the share of time in service.

    One of 20 nodes is frozen for 2 s of every 5 s, for two minutes.
    """
    default_max_hold_s, flapping.MAX_HOLD_S = flapping.MAX_HOLD_S, max_hold_s
    async with Network(random.Random(SEED)).open() as network:
        await start_nodes(network, 1, 20, 1, changing=False)
        victim, *others = network.nodes.values()
        seen = dict.fromkeys((node.address for node in others), True)
        returns = steps = serving = 0

        def observe() -> bool:
            nonlocal returns, steps, serving
            for node in others:
                serves = node.shared_state.members.members[victim.address].serves
                returns += serves and not seen[node.address]
                seen[node.address] = serves
                steps += 1
                serving += serves
            return False

        for _ in range(24):
            victim.freeze()
            await network.run_until(observe, 2.0)
            victim.thaw()
            await network.run_until(observe, 3.0)
    flapping.MAX_HOLD_S = default_max_hold_s
    return returns / len(others), serving / steps


def count(network: Network, what: Count) -> int:
    return sum(
        node.membership.roster.counts.values[what] for node in network.nodes.values()
    )


async def measure_detection(freeze_s: float, nodes: int, runs: int) -> Detection:
    rng = random.Random(SEED)
    result = Detection(nodes, freeze_s, runs, 0, 0)
    suspected = dead = 0
    async with Network(rng).open() as network:
        await start_nodes(network, 1, nodes, 1, changing=False)
        for _ in range(runs):
            await network.run(FREEZE_INTERVAL_S)
            victim = rng.choice(list(network.nodes.values()))
            seen = await freeze(network, victim, freeze_s, result)
            suspected += MemberState.SUSPECT in seen or MemberState.DEAD in seen
            dead += MemberState.DEAD in seen
    return Detection(
        nodes,
        freeze_s,
        runs,
        suspected,
        dead,
        result.suspect_s,
        result.dead_s,
        result.back_s,
    )


async def freeze(
    network: Network, victim: Node, freeze_s: float, result: Detection
) -> set[MemberState]:
    """Freeze a node, and record the states in which the others see it."""
    others = [node for node in network.nodes.values() if node is not victim]
    seen: set[MemberState] = set()
    start_s = network.clock.now_s

    def observe() -> bool:
        states = {node.get_member_state(victim.address) for node in others}
        elapsed_s = network.clock.now_s - start_s
        if not seen & set(SUSPECT_OR_DEAD) and states & set(SUSPECT_OR_DEAD):
            result.suspect_s.append(elapsed_s)
        if MemberState.DEAD not in seen and MemberState.DEAD in states:
            result.dead_s.append(elapsed_s)
        seen.update(states)
        return False

    victim.freeze()
    await network.run_until(observe, freeze_s)
    victim.thaw()

    def all_see_alive() -> bool:
        observe()
        return all(
            node.get_member_state(victim.address) is MemberState.ALIVE
            for node in others
        )

    result.back_s.append(await network.run_until(all_see_alive, 60.0))
    return seen


def show_costs(costs: list[Cost]) -> None:
    print(
        "scenario          nodes  dom  join s  join KB   B/s out  worst"
        "  msg/s  cpu ms/s  KB mem  pulls"
    )
    for cost in costs:
        print(
            f"{cost.scenario:16} {cost.nodes:6} {cost.domains:4} {cost.join_s:7.1f}"
            f" {cost.join_kb:8.1f} {cost.bytes_out:9.0f} {cost.bytes_worst:6.0f}"
            f" {cost.messages_out:6.2f} {cost.cpu_ms:9.2f} {cost.memory_kb:7.0f}"
            f" {cost.pulls:6}"
        )


def show_slopes(costs: list[Cost]) -> None:
    """Fit the cost at rest to the number of members of one failure domain."""
    rest = [cost for cost in costs if cost.scenario == "rest" and cost.domains == 1]
    if len(rest) < 3:
        return
    nodes = np.array([cost.nodes for cost in rest])
    for name in ("bytes_out", "cpu_ms"):
        values = np.array([getattr(cost, name) for cost in rest])
        slope, base = np.polyfit(nodes, values, 1)
        fitted = slope * nodes + base
        total_squares = ((values - values.mean()) ** 2).sum()
        r2 = (
            1 - ((values - fitted) ** 2).sum() / total_squares if total_squares else 1.0
        )
        print(f"{name}: {base:.3f} + {slope:.6f} per member, r2 {r2:.3f}")


def show_detections(detections: list[Detection]) -> None:
    print(
        "freeze s  runs  suspected  dead   s to suspicion   s to declared    s to alive"
    )

    def show(values: list[float]) -> str:
        if not values:
            return f"{'-':>15}"
        return f"{statistics.median(values):7.2f}/{max(values):6.2f} "

    for detection in detections:
        print(
            f"{detection.nodes:5} {detection.freeze_s:9.1f} {detection.runs:5}"
            f" {detection.suspected:10} {detection.declared_dead:5}"
            f" {show(detection.suspect_s)} {show(detection.dead_s)}"
            f" {show(detection.back_s)}"
        )


async def run_costs(sizes: list[int]) -> None:
    costs = []
    middle = sizes[len(sizes) // 2]
    plan = [("rest", 1, size, min(size, 10), 0.0) for size in sizes]
    plan += [
        ("rest", 3, 20, 5, 0.0),
        ("rest", 14, 10, 5, 0.0),
        ("rest", 14, 20, 20, 0.0),
        ("load changes", 1, middle, 10, 0.0),
        ("load changes", 14, 20, 20, 0.0),
        ("drain each s", 1, middle, 10, 1.0),
        ("drain each s", 14, 20, 20, 1.0),
    ]
    for scenario, domains, nodes, services, churn_s in plan:
        cost = await measure_cost(scenario, domains, nodes, services, churn_s)
        costs.append(cost)
        show_costs([cost])
    show_costs(costs)
    show_slopes(costs)
    print(json.dumps({"costs": [asdict(cost) for cost in costs]}))


async def run_detections(runs: int) -> None:
    detections = [await measure_detection(freeze_s, 30, runs) for freeze_s in FREEZES_S]
    detections.append(await measure_detection(10.0, 200, runs // 4))
    show_detections(detections)
    print(json.dumps({"detections": [asdict(detection) for detection in detections]}))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="10,50,100,200,400,700")
    parser.add_argument("--runs", type=int, default=20, help="freezes of each length")
    parser.add_argument("--part", choices=PARTS, default="all")
    options = parser.parse_args()
    logger.remove()
    started_s = time.monotonic()
    if options.part in ("costs", "all"):
        anyio.run(run_costs, [int(size) for size in options.sizes.split(",")])
    if options.part in ("detection", "all"):
        anyio.run(run_detections, options.runs)
    if options.part in ("drain", "all"):
        anyio.run(run_drain_delays, options.runs)
    if options.part in ("ideas", "all"):
        anyio.run(run_comparisons, options.runs)
    print(f"took {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()
