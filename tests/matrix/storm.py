"""Counts runs at each depth of a call chain whose deepest service fails."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter, defaultdict

import fire
from attrs import frozen

from eelgrassmount.retry.budget import MAX_EXTRA_ATTEMPTS
from standins.admin_client import set_fault
from standins.caller import CallClass, Load, Phase, run_load
from standins.deploy import Deployment, DeploymentSpec, ServiceSpec
from standins.plans import Plan
from tests.matrix.testbed import Testbed, make_node_command

CHAIN_LENGTH = 12
# deepest levels; these have a second server that retries can go to
REDUNDANT_LEVELS = 4
SERVER_RETRIES = 2
MAX_ATTEMPTS = 5
LOAD_DURATION_S = 2.0
REQUESTS_PER_S = 10.0
TIMEOUT_MS = 4000.0
SETTLE_S = 1.0

CONFIGURATION = """failure_domains = ["a"]
[[class]]
name = "lookup"
routes = ["GET /s0/x"]
idempotent = true
refuse_last = false
complete_fraction = 0.9
within_ms = 4000
[[class]]
name = "booking"
routes = [{routes}]
idempotent = false
refuse_last = true
complete_fraction = 0.99
within_ms = 4000
"""


@frozen
class DepthCounts:
    """Runs of one route at one depth per attempt of a client."""

    method: str
    depth: int
    attempts: int
    mean_runs: float
    max_runs: int


def make_spec(levels: int, without: str) -> DeploymentSpec:
    """Return a chain of services whose servers retry their downstream calls."""

    def make_service(depth: int) -> ServiceSpec:
        plans = {
            f"{method} /s{depth}/x": Plan(((method, f"/s{depth + 1}/x"),))
            for method in ("GET", "POST")
            if depth + 1 < levels
        }
        servers = 2 if depth >= levels - REDUNDANT_LEVELS else 1
        flags = {"retries": SERVER_RETRIES}
        return ServiceSpec(
            f"s{depth}", servers, service_time_ms=2.0, plans=plans, flags=flags
        )

    services = tuple(make_service(depth) for depth in range(levels))
    return DeploymentSpec(
        ("a",), services, seeds=2, node_command=make_node_command(without)
    )


def measure_runs(
    levels: int, without: str, failure: dict[str, object]
) -> list[DepthCounts]:
    """Run a retry storm on a new deployment and return the runs at each depth."""
    with Deployment(make_spec(levels, without)) as deployment:
        asyncio.run(_configure(deployment, levels))
        for vm in deployment.find_vms(f"s{levels - 1}"):
            set_fault(vm.server_admin_address, **failure)
        sent = _send_load(deployment)
        asyncio.run(asyncio.sleep(SETTLE_S))
        return _count_runs(deployment.get_runs(), sent, levels)


async def _configure(deployment: Deployment, levels: int) -> None:
    routes = ", ".join(f'"POST /s{depth}/x"' for depth in range(levels))
    testbed = Testbed(deployment)
    await testbed.publish(CONFIGURATION.format(routes=routes))
    # time to join the cluster and to assign primaries to slots
    await asyncio.sleep(8.0)


def _send_load(deployment: Deployment) -> dict[str, set[str]]:
    entries = tuple(vm.caller_address for vm in deployment.find_vms("s0"))
    expect = deployment.spec.expect("GET", "/s0/x")
    classes = (
        CallClass("lookup", "GET", "/s0/x", expect, timeout_ms=TIMEOUT_MS),
        CallClass(
            "booking", "POST", "/s0/x", expect, keyed=True, timeout_ms=TIMEOUT_MS
        ),
    )
    load = Load(
        entries,
        classes,
        (Phase(LOAD_DURATION_S, REQUESTS_PER_S),),
        retries=MAX_ATTEMPTS - 1,
    )
    sent: dict[str, set[str]] = defaultdict(set)
    for record in run_load(load):
        method = "GET" if record.class_name == "lookup" else "POST"
        sent[method] |= {attempt.request for attempt in record.sendings}
    return sent


def _count_runs(
    runs: list[dict[str, object]], sent: dict[str, set[str]], levels: int
) -> list[DepthCounts]:
    counts = Counter((run["request"], run["route"]) for run in runs)
    depths = []
    for method, requests in sorted(sent.items()):
        for depth in range(levels):
            route = f"{method} /s{depth}/x"
            run_counts = [counts[request, route] for request in requests]
            mean_runs = sum(run_counts) / len(run_counts)
            depths.append(
                DepthCounts(method, depth, len(run_counts), mean_runs, max(run_counts))
            )
    return depths


def find_violations(depths: list[DepthCounts]) -> list[str]:
    """Describe each depth with more runs than allowed."""
    bounds = {"GET": 1 + MAX_EXTRA_ATTEMPTS, "POST": 1}
    return [
        f"{item.method} at depth {item.depth}: {item.max_runs} runs, "
        f"at most {bounds[item.method]} allowed"
        for item in depths
        if item.max_runs > bounds[item.method]
    ]


FAILURES: dict[str, dict[str, object]] = {
    "truncated": {"truncated": True},
    "wrong-call": {"wrong_call": True},
}


def run_storm(levels: int = CHAIN_LENGTH, without: str = "") -> None:
    """Run the retry storm with each failure of the deepest service; print the runs."""
    violations: list[str] = []
    for name, failure in FAILURES.items():
        depths = measure_runs(levels, without, failure)
        print(f"deepest service fails by: {name}")
        for item in depths:
            print(
                f"  {item.method:4} depth {item.depth:2}: {item.mean_runs:8.2f} runs "
                f"per attempt, max {item.max_runs}, in {item.attempts} attempts",
                flush=True,
            )
        violations += find_violations(depths)
    for line in violations:
        print(f"! {line}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(run_storm)
