"""Measures the cost of each node over a period, by the role of the node."""

from __future__ import annotations

import statistics
import time
from collections import Counter
from typing import TYPE_CHECKING

from attrs import evolve, frozen

from benchmarks.capacity_cluster import read_traffic, read_usage
from eelgrassmount.config.readers import READERS_PER_DOMAIN
from eelgrassmount.members.delegates import choose_addresses
from eelgrassmount.members.timing import DELEGATES_PER_DOMAIN

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.capacity_cluster import Cluster, Shape, Traffic, Usage

_MS_PER_S = 1000


@frozen
class Cost:
    """Cost of one node per second of one phase."""

    cpu_ms: float
    memory_mb: float
    bytes_sent: float
    bytes_received: float
    messages_sent: float
    messages_received: float
    phase: str = ""
    domains: int = 0
    members: int = 0
    services: int = 0
    delegate: bool = False
    reader: bool = False
    changes_a_second: float = 0.0

    @property
    def summaries(self) -> int:
        """Number of summaries of services in other failure domains."""
        return (self.domains - 1) * self.services


@frozen
class Appends:
    """Records appended to the log in one phase: mean per second, and worst second."""

    phase: str
    shape: Shape
    seconds: float
    mean: float
    worst: int
    streams: dict[str, int]


@frozen
class Phase:
    """Measurements of one phase."""

    costs: list[Cost]
    appends: Appends
    errors: float


def find_delegates(cluster: Cluster) -> set[str]:
    """Return the peer addresses of the delegates of all failure domains."""
    return _choose_per_domain(cluster, lambda domain: domain, DELEGATES_PER_DOMAIN)


def find_readers(cluster: Cluster) -> set[str]:
    """Return the peer addresses of the nodes that always tail the configuration."""
    # Same choice as in eelgrassmount.config.readers, with its constant salt.
    return _choose_per_domain(cluster, lambda domain: "", READERS_PER_DOMAIN)


def _choose_per_domain(
    cluster: Cluster, key: Callable[[str], str], count: int
) -> set[str]:
    domains: dict[str, list[str]] = {}
    for node in cluster.nodes:
        domains.setdefault(node.failure_domain, []).append(node.peer_address)
    return {
        address
        for domain, addresses in domains.items()
        for address in choose_addresses(key(domain), addresses, count)
    }


@frozen
class ProcessReading:
    """Cumulative usage and traffic of one process."""

    pid: int
    usage: Usage
    traffic: Traffic


def measure(
    cluster: Cluster, name: str, seconds: float, make_changes: Callable[[float], int]
) -> Phase:
    """Measure all nodes while ``make_changes`` runs until the deadline it is given.

    ``make_changes`` returns the number of changes. Nodes that were restarted in the
    meantime are left out.
    """
    appends = _sum_appends(cluster)
    # Reading metrics costs processor time, so it stays outside the measured period.
    traffics = [read_traffic(node.admin_address) for node in cluster.nodes]
    usages = [read_usage(node.process.pid) for node in cluster.nodes]
    before = {
        node.name: ProcessReading(node.process.pid, usage, traffic)
        for node, usage, traffic in zip(cluster.nodes, usages, traffics, strict=True)
    }
    started_s = time.monotonic()
    changes = make_changes(started_s + seconds)
    time.sleep(max(0.0, started_s + seconds - time.monotonic()))
    elapsed_s = time.monotonic() - started_s
    running_nodes = [
        node for node in cluster.nodes if node.process.pid == before[node.name].pid
    ]
    usages = [read_usage(node.process.pid) for node in running_nodes]
    after = {
        node.name: ProcessReading(
            node.process.pid, usage, read_traffic(node.admin_address)
        )
        for node, usage in zip(running_nodes, usages, strict=True)
    }
    delegates, readers = find_delegates(cluster), find_readers(cluster)
    costs = [
        evolve(
            _compute_cost(before[node.name], after[node.name], elapsed_s),
            phase=name,
            domains=cluster.shape.domains,
            members=cluster.shape.members,
            services=cluster.shape.services,
            delegate=node.peer_address in delegates,
            reader=node.peer_address in readers,
            changes_a_second=changes / elapsed_s,
        )
        for node in running_nodes
    ]
    return Phase(
        costs,
        _compute_appends(cluster, name, appends, elapsed_s),
        _sum_errors(after) - _sum_errors({name: before[name] for name in after}),
    )


def _compute_cost(
    before: ProcessReading, after: ProcessReading, elapsed_s: float
) -> Cost:
    def rate(name: str) -> float:
        return (
            getattr(after.traffic, name) - getattr(before.traffic, name)
        ) / elapsed_s

    return Cost(
        cpu_ms=_MS_PER_S * (after.usage.cpu_s - before.usage.cpu_s) / elapsed_s,
        memory_mb=after.usage.memory_mb,
        bytes_sent=rate("bytes_sent"),
        bytes_received=rate("bytes_received"),
        messages_sent=rate("messages_sent"),
        messages_received=rate("messages_received"),
    )


def _sum_errors(readings: dict[str, ProcessReading]) -> float:
    traffics = [reading.traffic for reading in readings.values()]
    return sum(traffic.log_errors + traffic.internal_errors for traffic in traffics)


def _sum_appends(cluster: Cluster) -> Counter[tuple[str, int]]:
    return Counter(
        {
            (stream, second): count
            for stream, counts in cluster.count_appends().items()
            for second, count in counts.items()
        }
    )


def _compute_appends(
    cluster: Cluster, name: str, before: Counter[tuple[str, int]], elapsed_s: float
) -> Appends:
    new = _sum_appends(cluster) - before
    seconds: Counter[int] = Counter()
    streams: Counter[str] = Counter()
    for (stream, second), count in new.items():
        seconds[second] += count
        streams[stream.partition(".")[0]] += count
    return Appends(
        phase=name,
        shape=cluster.shape,
        seconds=elapsed_s,
        mean=sum(seconds.values()) / elapsed_s,
        worst=max(seconds.values(), default=0),
        streams=dict(streams),
    )


def show_costs(costs: list[Cost]) -> None:
    """Print the mean costs of the delegates and of the other nodes in one phase."""
    for delegate in (False, True):
        selected = [cost for cost in costs if cost.delegate is delegate]
        if not selected:
            continue
        first_cost = selected[0]
        cpu = [cost.cpu_ms for cost in selected]
        max_bytes_sent = max(cost.bytes_sent for cost in selected)

        def mean(name: str, selected: list[Cost] = selected) -> float:
            return statistics.mean(getattr(cost, name) for cost in selected)

        print(
            f"{first_cost.phase:16} {first_cost.domains:3} x {first_cost.members:3},"
            f" {first_cost.services:3} services,"
            f" {'delegates' if delegate else 'others':9} {len(selected):4}"
            f" cpu ms/s {statistics.mean(cpu):6.2f} (max {max(cpu):6.2f})"
            f" MB {mean('memory_mb'):5.1f}"
            f" B/s out {mean('bytes_sent'):6.0f} (max {max_bytes_sent:6.0f})"
            f" in {mean('bytes_received'):6.0f}"
            f" msg/s out {mean('messages_sent'):5.1f}"
            f" in {mean('messages_received'):5.1f}"
            f" changes/s {first_cost.changes_a_second:.2f}",
            flush=True,
        )


def show_appends(appends: Appends) -> None:
    """Print the records appended to the log in a phase."""
    shape = appends.shape
    print(
        f"{appends.phase:16} {shape.domains:3} x {shape.members:3} appends/s"
        f" {appends.mean:.2f}, worst second {appends.worst},"
        f" in {appends.seconds:.0f} s by stream {appends.streams}",
        flush=True,
    )
