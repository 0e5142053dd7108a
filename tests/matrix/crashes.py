"""Sends a request that crashes every backend server that runs it."""

from __future__ import annotations

import asyncio
import json
import sys
import uuid
from collections import Counter
from typing import TYPE_CHECKING

import fire
from attrs import frozen

from eelgrassmount.retry.quarantine import MAX_CRASHES
from standins.client import UnansweredError
from standins.deploy import Deployment, DeploymentSpec, ServiceSpec
from tests.matrix.callers import BOOKING, Booking
from tests.matrix.testbed import DOMAINS, PLANS, Testbed, make_node_command

if TYPE_CHECKING:
    from standins.layout import VM

# crashes that may happen before the reports of earlier ones reach every node
MAX_UNREPORTED_CRASHES = 1
MAX_ALLOWED_CRASHES = MAX_CRASHES + MAX_UNREPORTED_CRASHES
SERVERS = {"jobdesk": 2, "platehouse": 2, "ratebook": 2, "proofline": 1}
ATTEMPTS = 12
LOOKUP = "/ratebook/price"
RESTART_INTERVAL_S = 0.2
POPULAR_LOOKUP_INTERVAL_S = 0.01

CONFIGURATION = """failure_domains = ["a", "b"]
[[class]]
name = "lookup"
routes = [
    "GET /ratebook/price", "GET /proofline/proofs",
    "GET /jobdesk/status", "GET /platehouse/status",
]
idempotent = true
refuse_last = false
complete_fraction = 0.9
within_ms = 1000
[[class]]
name = "booking"
routes = ["POST /jobdesk/bookings", "POST /platehouse/orders"]
idempotent = false
refuse_last = true
complete_fraction = 0.99
within_ms = 2000
"""


@frozen
class CrashCase:
    """A crashing request and the pause between its attempts.

    With ``pause_s`` 0 the attempts overlap.
    """

    name: str
    method: str
    path: str
    service: str
    pause_s: float


CASES = (
    CrashCase("booking, first service, with pauses", "POST", BOOKING, "jobdesk", 1.0),
    CrashCase("booking, first service, overlapping", "POST", BOOKING, "jobdesk", 0.0),
    CrashCase(
        "booking, second service, overlapping", "POST", BOOKING, "platehouse", 0.0
    ),
    CrashCase("lookup, overlapping", "GET", LOOKUP, "ratebook", 0.0),
)


@frozen
class CaseResult:
    """Counts from one case."""

    crashes: int
    outcomes: Counter[str]
    others_sent: int
    others_complete: int
    popular_refused: int


async def run_case(testbed: Testbed, case: CrashCase) -> CaseResult:
    """Send the crashing request repeatedly among other requests; count outcomes."""
    _start_stopped_servers(testbed)
    await testbed.wait_until_healthy()
    name = f"crash-{uuid.uuid4().hex[:8]}"
    outcomes: Counter[str] = Counter()
    others: list[Booking] = []
    restarts = asyncio.create_task(_restart_stopped_servers(testbed))
    popular = asyncio.create_task(_send_popular_lookups(testbed, case))
    attempts = []
    for number in range(ATTEMPTS):
        vm = testbed.deployment.vms[number * 5 % len(testbed.deployment.vms)]
        attempts.append(asyncio.create_task(_send(testbed, case, name, vm, outcomes)))
        other = testbed.make_booking(f"{DOMAINS[number % 2]}:{uuid.uuid4().hex}")
        others.append(other)
        attempts.append(asyncio.create_task(_send_other(testbed, other, vm)))
        await asyncio.sleep(case.pause_s or 0.1)
    await asyncio.gather(*attempts)
    # the client retries even after it is refused
    for vm in testbed.deployment.vms:
        await _send(testbed, case, name, vm, outcomes)
    restarts.cancel()
    popular.cancel()
    refused = await _count_refused(testbed, case)
    runs = await testbed.read_runs(name)
    crashes = sum(run["service"] == case.service for run in runs)
    complete = sum(other.attempts_by_end[-1].outcome == "complete" for other in others)
    return CaseResult(crashes, outcomes, len(others), complete, refused)


async def _send(
    testbed: Testbed, case: CrashCase, name: str, vm: VM, outcomes: Counter[str]
) -> None:
    content = {"request": name, "crash": True, "crash_service": case.service}
    headers = {"eelgrassmount-timeout-ms": "3000"}
    if case.method == "POST":
        headers["idempotency-key"] = f"{vm.failure_domain}:{uuid.uuid4().hex}"
    body = json.dumps(content).encode()
    try:
        answer = await testbed.client.request(
            vm.caller_address, case.method, case.path, headers, body, 4.0
        )
    except UnansweredError as error:
        outcomes[f"no answer ({error.reason})"] += 1
        return
    verdict = answer.headers.get("eelgrassmount-verdict", "")
    reason = answer.headers.get("eelgrassmount-reason", "")
    outcomes[f"{verdict} {reason} {answer.status}"] += 1


async def _send_other(testbed: Testbed, other: Booking, vm: VM) -> None:
    """Send a request of the same class, with retries."""
    for _ in range(6):
        attempt = await other.send(testbed.client, vm.caller_address)
        if attempt.outcome == "complete":
            return
        await asyncio.sleep(0.5)


async def _send_popular_lookups(testbed: Testbed, case: CrashCase) -> None:
    """Continuously send the same lookup to the crashing service."""
    while True:
        for vm in testbed.deployment.vms:
            await _look_up(testbed, case, vm)
            await asyncio.sleep(POPULAR_LOOKUP_INTERVAL_S)


async def _look_up(testbed: Testbed, case: CrashCase, vm: VM) -> str:
    path = LOOKUP if case.service == "ratebook" else f"/{case.service}/status"
    body = b'{"request": "popular"}'
    try:
        answer = await testbed.client.request(
            vm.caller_address, "GET", path, {}, body, 2.0
        )
    except UnansweredError as error:
        return error.reason
    return answer.headers.get("eelgrassmount-reason", "")


async def _count_refused(testbed: Testbed, case: CrashCase) -> int:
    """Return the number of nodes that have quarantined the popular lookup."""
    reasons = [await _look_up(testbed, case, vm) for vm in testbed.deployment.vms]
    return reasons.count("quarantined")


async def _restart_stopped_servers(testbed: Testbed) -> None:
    """Restart crashed servers, as the platform does."""
    while True:
        _start_stopped_servers(testbed)
        await asyncio.sleep(RESTART_INTERVAL_S)


def _start_stopped_servers(testbed: Testbed) -> None:
    for vm in testbed.deployment.vms:
        if not vm.server.running:
            vm.server.start()


def _make_spec(without: str) -> DeploymentSpec:
    services = tuple(
        ServiceSpec(name, count, plans=PLANS.get(name, {}))
        for name, count in SERVERS.items()
    )
    return DeploymentSpec(
        DOMAINS, services, seeds=2, node_command=make_node_command(without)
    )


async def _run_cases(without: str) -> list[str]:
    violations = []
    deployment = await asyncio.to_thread(Deployment(_make_spec(without)).__enter__)
    try:
        testbed = Testbed(deployment)
        await testbed.publish(CONFIGURATION)
        for case in CASES:
            result = await run_case(testbed, case)
            print(
                f"{case.name}: {result.crashes} crashes; outcomes "
                f"{dict(result.outcomes)}; others complete: "
                f"{result.others_complete} of {result.others_sent}; popular lookup "
                f"refused by {result.popular_refused} nodes",
                flush=True,
            )
            if result.crashes > MAX_ALLOWED_CRASHES:
                violations.append(
                    f"{case.name}: {result.crashes} crashes, "
                    f"{MAX_ALLOWED_CRASHES} allowed"
                )
            if result.popular_refused:
                violations.append(f"{case.name}: the popular lookup is refused")
    finally:
        await asyncio.to_thread(deployment.stop)
    return violations


def run_crashes(without: str = "") -> None:
    """Run all cases; exit with 1 if a bound is exceeded."""
    violations = asyncio.run(_run_cases(without))
    for line in violations:
        print(f"! {line}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(run_crashes)
