"""Measures what a network partition between regions and its healing cost."""

from __future__ import annotations

import itertools
import statistics
import time
from typing import TYPE_CHECKING

from attrs import frozen

from benchmarks.capacity_cluster import Traffic, Usage, read_traffic, read_usage
from standins.admin_client import call_admin
from standins.processes import poll_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.deploy import Deployment

PHASE_S = 10.0
# longer than the tables keep a silent failure domain
PARTITION_S = 30.0
HEAL_TIMEOUT_S = 60.0
_MS_PER_S = 1000


@frozen
class PartitionCost:
    """Cost of a node per second, as mean and maximum over the nodes.

    ``known_s`` is the time until all nodes know all failure domains again.
    """

    phase: str
    seconds: float
    cpu_ms: float
    worst_cpu_ms: float
    bytes_sent: float
    worst_bytes_sent: float
    known_s: float = 0.0


@frozen
class _Reading:
    now_s: float
    usages: list[Usage]
    traffics: list[Traffic]


def measure_partition(deployment: Deployment) -> list[PartitionCost]:
    """Partition the failure domains into two halves, and heal the partition."""
    domains = deployment.spec.failure_domains
    half = len(domains) // 2
    pairs = list(itertools.product(domains[:half], domains[half:]))
    costs = [_measure(deployment, "before the cut", lambda: _sleep(PHASE_S))]
    for source, target in pairs:
        deployment.partition(source, target, "drop")
    costs.append(_measure(deployment, "first seconds", lambda: _sleep(PHASE_S)))
    costs.append(_measure(deployment, "cut", lambda: _sleep(PARTITION_S)))
    deployment.heal()
    costs.append(_measure(deployment, "healing", lambda: _wait_until_known(deployment)))
    costs.append(_measure(deployment, "healed", lambda: _sleep(PHASE_S)))
    return costs


def _sleep(seconds: float) -> float:
    time.sleep(seconds)
    return 0.0


def _wait_until_known(deployment: Deployment) -> float:
    started_s = time.monotonic()
    deadline_s = started_s + HEAL_TIMEOUT_S
    count = len(deployment.spec.failure_domains) - 1
    for vm in deployment.vms:
        for _ in poll_until(deadline_s, f"all failure domains at {vm.name}"):
            known = call_admin(vm.admin_address, "GET", "/members")["summaries"]
            others = {
                summary["failure_domain"]
                for summary in known
                if summary["servers"] and summary["failure_domain"] != vm.failure_domain
            }
            if len(others) == count:
                break
    return time.monotonic() - started_s


def _measure(
    deployment: Deployment, phase: str, wait: Callable[[], float]
) -> PartitionCost:
    before = _read(deployment)
    known_s = wait()
    after = _read(deployment)
    elapsed_s = after.now_s - before.now_s
    cpu = [
        _MS_PER_S * (end.cpu_s - start.cpu_s) / elapsed_s
        for end, start in zip(after.usages, before.usages, strict=True)
    ]
    sent = [
        (end.bytes_sent - start.bytes_sent) / elapsed_s
        for end, start in zip(after.traffics, before.traffics, strict=True)
    ]
    return PartitionCost(
        phase,
        elapsed_s,
        statistics.mean(cpu),
        max(cpu),
        statistics.mean(sent),
        max(sent),
        known_s,
    )


def _read(deployment: Deployment) -> _Reading:
    traffics = [read_traffic(vm.admin_address) for vm in deployment.vms]
    usages = [read_usage(vm.node.pid) for vm in deployment.vms]
    return _Reading(time.monotonic(), usages, traffics)


def show_partition(costs: list[PartitionCost]) -> None:
    """Print the cost of each phase."""
    print("\nhalf of the failure domains partitioned from the other half")
    for cost in costs:
        known = f", all known again after {cost.known_s:.1f} s" if cost.known_s else ""
        print(
            f"{cost.phase:15} {cost.seconds:5.1f} s: cpu ms/s {cost.cpu_ms:6.2f}"
            f" (max {cost.worst_cpu_ms:6.2f}) B/s out {cost.bytes_sent:6.0f}"
            f" (max {cost.worst_bytes_sent:6.0f}){known}",
            flush=True,
        )
