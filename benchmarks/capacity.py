"""Measures what a node costs for control, and how this grows with the system.

``python -m benchmarks.capacity`` runs clusters of several shapes, each at rest
and under changes. It then measures how soon a configuration is in force in every
failure domain, and the periodic work on full-size tables. Servers announce
themselves but receive no calls. Processor time is read from ``/proc``, because
other load on the machine disturbs it less than elapsed time.
"""

from __future__ import annotations

import argparse
import itertools
import json
import random
import statistics
import time
from pathlib import Path
from typing import TYPE_CHECKING

import numpy as np
from attrs import asdict
from loguru import logger

from benchmarks.capacity_cluster import Cluster, Shape
from benchmarks.capacity_fit import MEASURES, REST_TERMS, fit, show_fit
from benchmarks.capacity_partition import show_partition
from benchmarks.capacity_periodic_work import show_tables
from benchmarks.capacity_plan import estimate_needs, show_plan
from benchmarks.capacity_propagation import (
    AcceptedVersion,
    compute_delay,
    measure_propagation,
    read_in_force_times,
    show_propagation,
)
from benchmarks.capacity_samples import (
    Appends,
    Cost,
    Phase,
    measure,
    show_appends,
    show_costs,
)
from benchmarks.capacity_tables import measure_tables

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SEED = 20261202
SHAPES = "2x5x5,2x10x5,2x40x5,2x20x20,6x10x5,14x5x5,14x10x10"
PARTS = ("nodes", "force", "tables")
SETTLE_S = 15.0
PUBLISH_INTERVAL_S = 0.5
DRAIN_INTERVAL_S = 0.8
DRAIN_S = 0.4
RESTART_INTERVAL_S = 3.0
REJOIN_TIMEOUT_S = 90.0
CONFIGURATION = """failure_domains = [{domains}]

[[class]]
name = "booking"
routes = ["POST /service-0/bookings"]
idempotent = false
refuse_last = true
complete_fraction = 0.{fraction}
within_ms = 2000
"""


def make_configuration(shape: Shape, number: int) -> str:
    domains = ", ".join(f'"domain-{index}"' for index in range(shape.domains))
    return CONFIGURATION.format(domains=domains, fraction=900 + number % 99)


def make_no_changes(deadline_s: float) -> int:
    return 0


def make_publishes(
    cluster: Cluster, accepted: list[AcceptedVersion]
) -> Callable[[float], int]:
    """Return work that publishes configurations at a steady rate and records them."""

    def publish(deadline_s: float) -> int:
        for number in itertools.count():
            due_s = time.monotonic() + PUBLISH_INTERVAL_S
            sent_s = time.time()
            version = cluster.publish(make_configuration(cluster.shape, number + 1))
            accepted.append(AcceptedVersion(version, sent_s, time.time()))
            if due_s >= deadline_s:
                return number + 1
            time.sleep(max(0.0, due_s - time.monotonic()))
        return 0

    return publish


def make_drain_changes(cluster: Cluster, rng: random.Random) -> Callable[[float], int]:
    """Return work in which random servers drain for a moment and serve again."""

    def drain_servers(deadline_s: float) -> int:
        changes = 0
        while time.monotonic() + DRAIN_INTERVAL_S < deadline_s:
            due_s = time.monotonic() + DRAIN_INTERVAL_S
            node = rng.choice(cluster.nodes)
            cluster.announce(node, "draining")
            time.sleep(DRAIN_S)
            cluster.announce(node, "serving")
            changes += 2
            time.sleep(max(0.0, due_s - time.monotonic()))
        return changes

    return drain_servers


def make_restarts(cluster: Cluster, rng: random.Random) -> Callable[[float], int]:
    """Return work that kills and restarts one node after the other."""

    def restart(deadline_s: float) -> int:
        changes = 0
        for node in rng.sample(cluster.nodes, len(cluster.nodes)):
            if time.monotonic() + RESTART_INTERVAL_S >= deadline_s:
                break
            node.process.restart()
            changes += 1
            time.sleep(RESTART_INTERVAL_S)
        return changes

    return restart


def make_mass_restart(cluster: Cluster) -> Callable[[float], int]:
    """Return work that restarts all nodes at once and waits until they have joined."""

    def restart(deadline_s: float) -> int:
        started_s = time.monotonic()
        for node in cluster.nodes:
            node.process.kill()
        for node in cluster.nodes:
            node.process.start()
        cluster.wait_until_joined(time.monotonic() + REJOIN_TIMEOUT_S)
        elapsed_s = time.monotonic() - started_s
        print(f"all of {cluster.shape.nodes} nodes rejoined in {elapsed_s:.1f} s")
        return cluster.shape.nodes

    return restart


def measure_shape(shape: Shape, rest_s: float, changes_s: float) -> list[Phase]:
    """Run one cluster through all phases."""
    rng = random.Random(SEED)
    started_s = time.monotonic()
    with Cluster(shape) as cluster:
        print(f"{shape}: joined after {time.monotonic() - started_s:.1f} s", flush=True)
        cluster.publish(make_configuration(shape, 0))
        time.sleep(SETTLE_S)
        accepted: list[AcceptedVersion] = []
        phase_plan = (
            ("rest", rest_s, make_no_changes),
            ("publishes", changes_s, make_publishes(cluster, accepted)),
            ("server states", changes_s, make_drain_changes(cluster, rng)),
            ("restarts", changes_s, make_restarts(cluster, rng)),
            ("mass restart", changes_s, make_mass_restart(cluster)),
        )
        phases = []
        for name, seconds, make_changes in phase_plan:
            phases.append(measure(cluster, name, seconds, make_changes))
            show_costs(phases[-1].costs)
            show_appends(phases[-1].appends)
            if name == "publishes":
                show_node_delays(cluster, accepted)
            if phases[-1].errors:
                print(f"    errors counted by nodes: {phases[-1].errors:.0f}")
        return phases


def show_node_delays(cluster: Cluster, accepted: Sequence[AcceptedVersion]) -> None:
    """Print the seconds from sending a version until it was in force at all nodes."""
    # The last version may not have reached all nodes yet.
    accepted = accepted[:-1]
    logs = [read_in_force_times(node.process.read_log()) for node in cluster.nodes]
    delays_s = [
        max(compute_delay(log, version) for log in logs)
        + version.accepted_s
        - version.sent_s
        for version in accepted
    ]
    p50, p99 = np.percentile(delays_s, (50, 99))
    print(
        f"    {len(delays_s)} versions in force at all {len(logs)} nodes: s since sent"
        f" p50 {p50:.3f} p99 {p99:.3f} max {max(delays_s):.3f}"
    )


def show_slopes(phases: Sequence[Phase]) -> None:
    """Print the slopes at rest, and the cost of each change to each node."""
    costs = [cost for phase in phases for cost in phase.costs]
    at_rest = [cost for cost in costs if cost.phase == "rest"]
    print("\nslopes at rest, per second and node")
    for name in MEASURES:
        show_fit(fit(at_rest, REST_TERMS, name))
    print("\ncost of one change at each node, beyond rest")
    for phase in phases:
        if phase.costs and phase.costs[0].changes_a_second and phase.costs:
            _show_change(phase.costs, at_rest)


def _show_change(costs: Sequence[Cost], at_rest: Sequence[Cost]) -> None:
    first_cost = costs[0]
    shape = (first_cost.domains, first_cost.members, first_cost.services)
    rest_costs = [
        cost for cost in at_rest if (cost.domains, cost.members, cost.services) == shape
    ]

    def compute_extra(name: str) -> float:
        changed = statistics.mean(getattr(cost, name) for cost in costs)
        before = statistics.mean(getattr(cost, name) for cost in rest_costs)
        return (changed - before) / first_cost.changes_a_second

    print(
        f"{first_cost.phase:16} {first_cost.domains:3} x {first_cost.members:3}"
        f" {first_cost.services:3} services"
        f" cpu ms {compute_extra('cpu_ms'):.3f} bytes {compute_extra('bytes_sent'):.0f}"
        f" messages {compute_extra('messages_sent'):.2f}"
    )


def parse_shape(text: str) -> Shape:
    domains, members, services = (int(part) for part in text.split("x"))
    return Shape(domains, members, services)


def summarize_appends(appends: Appends) -> dict[str, object]:
    return {**asdict(appends), "shape": asdict(appends.shape)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--shapes", default=SHAPES, help="failure domains x members x services"
    )
    parser.add_argument("--rest-s", type=float, default=15.0)
    parser.add_argument("--changes-s", type=float, default=10.0)
    parser.add_argument("--force-domains", type=int, default=14)
    parser.add_argument("--publishes", type=int, default=40, help="in each situation")
    parser.add_argument("--parts", default=",".join(PARTS))
    parser.add_argument("--output", type=Path, help="file for all figures, as JSON")
    options = parser.parse_args()
    logger.remove()
    parts = options.parts.split(",")
    started_s = time.monotonic()
    figures: dict[str, object] = {}
    if "nodes" in parts:
        shapes = [parse_shape(text) for text in options.shapes.split(",")]
        phases = [
            phase
            for shape in shapes
            for phase in measure_shape(shape, options.rest_s, options.changes_s)
        ]
        show_slopes(phases)
        figures["costs"] = [asdict(cost) for phase in phases for cost in phase.costs]
        figures["appends"] = [summarize_appends(phase.appends) for phase in phases]
    if "force" in parts:
        situations, partition = measure_propagation(
            options.force_domains, options.publishes
        )
        show_propagation(situations)
        show_partition(partition)
        figures["cut"] = [asdict(cost) for cost in partition]
        figures["force"] = [asdict(times) for times in situations]
    if "tables" in parts:
        tables = measure_tables()
        show_tables(tables)
        figures["tables"] = [asdict(table) for table in tables]
    if "nodes" in parts and "tables" in parts:
        costs = [cost for phase in phases for cost in phase.costs]
        show_plan(estimate_needs(costs, tables))
    if options.output is not None:
        options.output.write_text(json.dumps(figures))
    print(f"took {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()
