"""Measures how soon an accepted configuration is in force in each failure domain."""

from __future__ import annotations

import json
import math
import re
import time
from datetime import datetime
from typing import TYPE_CHECKING

import numpy as np
from attrs import field, frozen

from benchmarks.capacity_cluster import publish
from benchmarks.capacity_partition import measure_partition
from standins.deploy import PYTHON, Deployment, DeploymentSpec, ServiceSpec
from standins.processes import make_flags

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks.capacity_partition import PartitionCost
    from standins.processes import Process

SERVERS_PER_DOMAIN = 2
PEER_DELAY_MS = 1.0
SETTLE_S = 10.0
PUBLISH_INTERVAL_S = 0.5
IN_FORCE_TIMEOUT_S = 15.0
LOAD_PER_S = 300.0
LOAD_WARM_UP_S = 3.0
PARTITION_SETTLE_S = 5.0
CONFIGURATION = """failure_domains = [{domains}]

[[class]]
name = "price"
routes = ["GET /ratebook/price"]
idempotent = true
complete_fraction = 0.{fraction}
within_ms = 1000
"""
_IN_FORCE_MESSAGE = re.compile(r"configuration (\d+) is in force")


@frozen
class PropagationTimes:
    """Seconds until versions were in force, over all publishes of one situation.

    ``everywhere`` counts from the acceptance of a version until it was in force at
    the last node, ``since_sent`` from sending it. ``nodes`` has one value for each
    node and version, ``cut`` only those of the disconnected failure domain. A version
    in force before the operator receives the response counts as 0; a version that
    never came into force counts as infinite.
    """

    situation: str
    domains: int
    processes: int
    versions: int
    publish_s: list[float] = field(repr=False)
    since_sent: list[float] = field(repr=False)
    everywhere: list[float] = field(repr=False)
    nodes: list[float] = field(repr=False)
    cut: list[float] = field(repr=False)


@frozen
class AcceptedVersion:
    """A version, and the wall clock times at which it was sent and accepted."""

    version: int
    sent_s: float
    accepted_s: float


def measure_propagation(
    domains: int, count: int
) -> tuple[list[PropagationTimes], list[PartitionCost]]:
    """Measure at rest, under load, and with a failure domain disconnected from the log.

    Then measure a partition between two halves of the failure domains.
    """
    names = tuple(f"domain-{index}" for index in range(domains))
    services = (ServiceSpec("ratebook", SERVERS_PER_DOMAIN, slots=50),)
    spec = DeploymentSpec(
        names, services, relays=True, peer_delay_ms=PEER_DELAY_MS, ready_timeout_s=120
    )
    with Deployment(spec) as deployment:
        time.sleep(SETTLE_S)
        _publish_all(deployment, 1)
        situations = [_measure(deployment, "rest", count)]
        load = _start_load(deployment, count)
        time.sleep(LOAD_WARM_UP_S)
        situations.append(_measure(deployment, "under load", count))
        load.kill()
        disconnected = names[-1]
        deployment.partition(disconnected, "log", "drop")
        time.sleep(PARTITION_SETTLE_S)
        situations.append(
            _measure(deployment, "one cut from the log", count, disconnected)
        )
        deployment.heal()
        time.sleep(PARTITION_SETTLE_S)
        costs = measure_partition(deployment)
    return situations, costs


def _publish_all(deployment: Deployment, count: int) -> list[AcceptedVersion]:
    names = ", ".join(f'"{name}"' for name in deployment.spec.failure_domains)
    accepted = []
    for number in range(count):
        text = CONFIGURATION.format(domains=names, fraction=100 + number % 800)
        vm = deployment.vms[number % SERVERS_PER_DOMAIN]
        sent_s = time.time()
        version = publish(vm.admin_address, text)
        accepted.append(AcceptedVersion(version, sent_s, time.time()))
        time.sleep(PUBLISH_INTERVAL_S)
    return accepted


def _start_load(deployment: Deployment, count: int) -> Process:
    classes = [{"name": "price", "method": "GET", "path": "/ratebook/price"}]
    phases = [
        [
            LOAD_WARM_UP_S + IN_FORCE_TIMEOUT_S + 2 * count * PUBLISH_INTERVAL_S,
            LOAD_PER_S,
        ]
    ]
    flags = make_flags(
        {
            "nodes": ",".join(deployment.caller_addresses),
            "classes": json.dumps(classes),
            "phases": json.dumps(phases),
            "output": "/dev/null",
        }
    )
    return deployment.start("caller", PYTHON, "-m", "standins.caller", *flags)


def _measure(
    deployment: Deployment, situation: str, count: int, disconnected: str = ""
) -> PropagationTimes:
    accepted = _publish_all(deployment, count)
    deployment.wait_until_in_force(accepted[-1].version, IN_FORCE_TIMEOUT_S)
    in_force_times = {
        vm.name: read_in_force_times(vm.node.read_log()) for vm in deployment.vms
    }
    domains = {vm.name: vm.failure_domain for vm in deployment.vms}
    delays = {
        name: [compute_delay(versions, version) for version in accepted]
        for name, versions in in_force_times.items()
    }
    everywhere = [max(each) for each in zip(*delays.values(), strict=True)]
    return PropagationTimes(
        situation=situation,
        domains=len(deployment.spec.failure_domains),
        processes=len(deployment.vms),
        versions=count,
        publish_s=[version.accepted_s - version.sent_s for version in accepted],
        since_sent=[
            delay + version.accepted_s - version.sent_s
            for delay, version in zip(everywhere, accepted, strict=True)
        ],
        everywhere=[max(0.0, delay) for delay in everywhere],
        nodes=[max(0.0, delay) for each in delays.values() for delay in each],
        cut=[
            max(0.0, delay)
            for name in delays
            if domains[name] == disconnected
            for delay in delays[name]
        ],
    )


def read_in_force_times(log: str) -> list[tuple[float, int]]:
    """Return pairs of time and version in force, from the log lines of a node."""
    in_force_times = []
    for line in log.splitlines():
        match = _IN_FORCE_MESSAGE.search(line)
        if match is not None:
            in_force_at = datetime.fromisoformat(json.loads(line)["time"])
            in_force_times.append((in_force_at.timestamp(), int(match[1])))
    return in_force_times


def compute_delay(
    versions: Sequence[tuple[float, int]], accepted: AcceptedVersion
) -> float:
    """Return the seconds from accepted to in force.

    Negative if the version was in force before, infinite if it never was.
    """
    for in_force_s, version in versions:
        if version >= accepted.version:
            return in_force_s - accepted.accepted_s
    return math.inf


def show_propagation(situations: Sequence[PropagationTimes]) -> None:
    """Print the percentiles of each situation."""
    print("\nseconds from accepted to in force            p50     p99     max")
    for times in situations:
        rows = {
            "in every failure domain": times.everywhere,
            "at each node": times.nodes,
            "in disconnected domain": times.cut,
            "sent to accepted": times.publish_s,
            "sent to in force everywhere": times.since_sent,
        }
        for name, values in rows.items():
            if values:
                p50, p99 = np.percentile(values, (50, 99))
                print(
                    f"{times.situation:21} {name:28} {p50:6.3f} {p99:7.3f}"
                    f" {max(values):7.3f}"
                    f"  {times.processes} nodes, {times.domains} failure domains,"
                    f" {times.versions} versions",
                    flush=True,
                )
