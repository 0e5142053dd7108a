"""A request that crashes every backend server that runs it."""

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
from tests.matrix.testbed import DOMAINS, PLANS, World, make_node_command

if TYPE_CHECKING:
    from standins.layout import VM

# crashes that may come before every node has heard of the earlier ones
MARGIN = 1
ALLOWED = MAX_CRASHES + MARGIN
SERVERS = {"jobdesk": 2, "platehouse": 2, "ratebook": 2, "proofline": 1}
SENDINGS = 12
LOOKUP = "/ratebook/price"
REVIVE_PERIOD_S = 0.2
POPULAR_PERIOD_S = 0.01

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
class Crashing:
    """What the crashing request is, and how its caller sends it again.

    With ``pause_s`` 0 the caller waits for nothing: its sendings overlap.
    """

    name: str
    method: str
    path: str
    service: str
    pause_s: float


CASES = (
    Crashing("booking, first service, slowly", "POST", BOOKING, "jobdesk", 1.0),
    Crashing("booking, first service, hard", "POST", BOOKING, "jobdesk", 0.0),
    Crashing("booking, second service, hard", "POST", BOOKING, "platehouse", 0.0),
    Crashing("lookup, hard", "GET", LOOKUP, "ratebook", 0.0),
)


@frozen
class Found:
    """What a case led to."""

    crashes: int
    told: Counter[str]
    others_sent: int
    others_complete: int
    popular_refused: int


async def run_case(world: World, case: Crashing) -> Found:
    """Send the request again and again, other ones beside it, and count."""
    _start_crashed(world)
    await world.wait_until_well()
    name = f"crash-{uuid.uuid4().hex[:8]}"
    told: Counter[str] = Counter()
    others: list[Booking] = []
    reviving = asyncio.create_task(_revive(world))
    popular = asyncio.create_task(_ask_popular(world, case))
    sendings = []
    for number in range(SENDINGS):
        vm = world.deployment.vms[number * 5 % len(world.deployment.vms)]
        sendings.append(asyncio.create_task(_send(world, case, name, vm, told)))
        other = world.make_booking(f"{DOMAINS[number % 2]}:{uuid.uuid4().hex}")
        others.append(other)
        sendings.append(asyncio.create_task(_send_other(world, other, vm)))
        await asyncio.sleep(case.pause_s or 0.1)
    await asyncio.gather(*sendings)
    # the caller does not give up once it is refused
    for vm in world.deployment.vms:
        await _send(world, case, name, vm, told)
    reviving.cancel()
    popular.cancel()
    refused = await _count_refused(world, case)
    runs = await world.read_runs(name)
    crashes = sum(run["service"] == case.service for run in runs)
    complete = sum(other.told[-1].outcome == "complete" for other in others)
    return Found(crashes, told, len(others), complete, refused)


async def _send(
    world: World, case: Crashing, name: str, vm: VM, told: Counter[str]
) -> None:
    content = {"request": name, "crash": True, "crash_service": case.service}
    headers = {"eelgrassmount-timeout-ms": "3000"}
    if case.method == "POST":
        headers["idempotency-key"] = f"{vm.failure_domain}:{uuid.uuid4().hex}"
    body = json.dumps(content).encode()
    try:
        answer = await world.client.request(
            vm.caller_address, case.method, case.path, headers, body, 4.0
        )
    except UnansweredError as error:
        told[f"no answer ({error.reason})"] += 1
        return
    verdict = answer.headers.get("eelgrassmount-verdict", "")
    reason = answer.headers.get("eelgrassmount-reason", "")
    told[f"{verdict} {reason} {answer.status}"] += 1


async def _send_other(world: World, other: Booking, vm: VM) -> None:
    """Send a request of the same class, like a caller that repeats."""
    for _ in range(6):
        sending = await other.send(world.client, vm.caller_address)
        if sending.outcome == "complete":
            return
        await asyncio.sleep(0.5)


async def _ask_popular(world: World, case: Crashing) -> None:
    """Send the same lookup all the time to the service that crashes."""
    while True:
        for vm in world.deployment.vms:
            await _look_up(world, case, vm)
            await asyncio.sleep(POPULAR_PERIOD_S)


async def _look_up(world: World, case: Crashing, vm: VM) -> str:
    path = LOOKUP if case.service == "ratebook" else f"/{case.service}/status"
    body = b'{"request": "popular"}'
    try:
        answer = await world.client.request(
            vm.caller_address, "GET", path, {}, body, 2.0
        )
    except UnansweredError as error:
        return error.reason
    return answer.headers.get("eelgrassmount-reason", "")


async def _count_refused(world: World, case: Crashing) -> int:
    """Return how many nodes refuse the popular lookup for the crashes."""
    reasons = [await _look_up(world, case, vm) for vm in world.deployment.vms]
    return reasons.count("quarantined")


async def _revive(world: World) -> None:
    """Start crashed servers anew, as the platform does."""
    while True:
        _start_crashed(world)
        await asyncio.sleep(REVIVE_PERIOD_S)


def _start_crashed(world: World) -> None:
    for vm in world.deployment.vms:
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
    broken = []
    deployment = await asyncio.to_thread(Deployment(_make_spec(without)).__enter__)
    try:
        world = World(deployment)
        await world.publish(CONFIGURATION)
        for case in CASES:
            found = await run_case(world, case)
            print(
                f"{case.name}: {found.crashes} crashes; told "
                f"{dict(found.told)}; others complete: "
                f"{found.others_complete} of {found.others_sent}; popular lookup "
                f"refused by {found.popular_refused} nodes",
                flush=True,
            )
            if found.crashes > ALLOWED:
                broken.append(
                    f"{case.name}: {found.crashes} crashes, {ALLOWED} allowed"
                )
            if found.popular_refused:
                broken.append(f"{case.name}: the popular lookup is refused")
    finally:
        await asyncio.to_thread(deployment.stop)
    return broken


def run_crashes(without: str = "") -> None:
    """Run all cases and end with 1 when more servers crashed than allowed."""
    broken = asyncio.run(_run_cases(without))
    for line in broken:
        print(f"! {line}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(run_crashes)
