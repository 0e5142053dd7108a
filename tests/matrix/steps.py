"""Steps of a request, and the means to hold requests there until a fault."""

from __future__ import annotations

import asyncio
import json
from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen

from standins.client import UnansweredError
from tests.matrix.callers import fetch_key

if TYPE_CHECKING:
    from standins.layout import VM
    from tests.matrix.callers import Booking
    from tests.matrix.testbed import Testbed

HOME_DOMAIN = "a"
ENTRY_VM = "frontdesk-b-0"
MINTER_VM = "frontdesk-a-0"
SLOW_FACTOR = 80.0
NORMAL_FACTOR = 1.0
# below the time after which a link counts as silent
LINK_DELAY_MS = 60.0
SERVER_DELAY_MS = 500.0
FILLER_REQUESTS = 120
_STEP_TIMEOUT_S = 2.0
_ARRIVAL_DELAY_S = 0.06
_DRAIN_TIMEOUT_S = 20.0


class HoldPoint(Enum):
    """Where slow servers, delayed links or full queues hold a request."""

    RUN = "run"
    ANSWER = "answer"
    SEND = "send"
    QUEUE = "queue"
    PEERS = "peers"
    MARK = "mark"


class Role(Enum):
    """Role of the VM at which the fault is injected."""

    ENTRY = "entry"
    PRIMARY = "primary"
    BACKUP = "backup"
    MINTER = "minter"
    RUNNER = "runner"


@frozen
class Step:
    """Where a request is when the fault is injected.

    The request is held at ``service``. With ``remote_only`` that service runs in the
    other failure domain only. ``entry`` is the node that the client sends to.
    """

    name: str
    hold_point: HoldPoint
    role: Role
    service: str = "jobdesk"
    entry: str = ENTRY_VM
    remote_only: bool = False
    bookings: int = 2


STEPS = {
    step.name: step
    for step in (
        Step("entry", HoldPoint.RUN, Role.ENTRY),
        Step("primary", HoldPoint.RUN, Role.PRIMARY),
        Step("minter", HoldPoint.RUN, Role.MINTER),
        Step("backup", HoldPoint.RUN, Role.BACKUP),
        Step("mark", HoldPoint.MARK, Role.BACKUP, entry="proofline-a-0"),
        Step("link", HoldPoint.PEERS, Role.PRIMARY),
        Step("queue", HoldPoint.QUEUE, Role.RUNNER, bookings=4),
        Step("edge", HoldPoint.SEND, Role.RUNNER, bookings=4),
        Step("run-0", HoldPoint.RUN, Role.RUNNER),
        Step("run-1", HoldPoint.RUN, Role.RUNNER, "platehouse"),
        Step("run-2", HoldPoint.RUN, Role.RUNNER, "proofline"),
        Step("far-1", HoldPoint.RUN, Role.RUNNER, "platehouse", remote_only=True),
        Step("answer-0", HoldPoint.ANSWER, Role.RUNNER),
        Step("answer-1", HoldPoint.ANSWER, Role.RUNNER, "platehouse"),
        Step("answer-2", HoldPoint.ANSWER, Role.RUNNER, "proofline"),
    )
}


@frozen
class RoleTarget:
    """The key of a cell's first request, and the VM with the role, if known."""

    key: str
    vm: VM | None


async def choose_role_target(testbed: Testbed, step: Step) -> RoleTarget:
    """Choose a key whose VM in the role of the step is known."""
    match step.role:
        case Role.MINTER:
            vm = testbed.find_vm(MINTER_VM)
            return RoleTarget(await fetch_key(testbed.client, vm.caller_address), vm)
        case Role.PRIMARY:
            return RoleTarget(*await testbed.choose_key(HOME_DOMAIN, "primary"))
        case Role.BACKUP:
            return RoleTarget(*await testbed.choose_key(HOME_DOMAIN, "backup"))
        case Role.ENTRY:
            key, _ = await testbed.choose_key(HOME_DOMAIN, "primary")
            return RoleTarget(key, testbed.find_vm(step.entry))
    key, _ = await testbed.choose_key(HOME_DOMAIN, "primary")
    return RoleTarget(key, None)


async def hold_step(testbed: Testbed, step: Step) -> list[asyncio.Task[None]]:
    """Hold requests at the step; return the tasks to cancel afterwards."""
    if step.remote_only:
        await _drain_vm(
            testbed, testbed.deployment.find_vms(step.service, HOME_DOMAIN)[0]
        )
    match step.hold_point:
        case HoldPoint.RUN:
            await testbed.set_servers(step.service, slow_factor=SLOW_FACTOR)
        case HoldPoint.QUEUE:
            await testbed.set_servers(step.service, slow_factor=SLOW_FACTOR)
            return _fill_queues(testbed)
        case hold_point:
            await _set_link_delays(testbed, step, hold_point, True)
    return []


async def _drain_vm(testbed: Testbed, vm: VM) -> None:
    """Drain a VM: its node exits once its server drains."""
    await testbed.set_server(vm, drain=True)
    await asyncio.to_thread(vm.node.wait, _DRAIN_TIMEOUT_S)
    await asyncio.to_thread(vm.server.kill)


async def release_step(testbed: Testbed, step: Step) -> None:
    """Undo `hold_step`."""
    if step.hold_point in (HoldPoint.RUN, HoldPoint.QUEUE):
        await testbed.set_servers(step.service, slow_factor=NORMAL_FACTOR)
    else:
        await _set_link_delays(testbed, step, step.hold_point, False)
    if step.remote_only:
        vm = testbed.deployment.find_vms(step.service, HOME_DOMAIN)[0]
        await asyncio.to_thread(vm.restart)


async def _set_link_delays(
    testbed: Testbed, step: Step, hold_point: HoldPoint, on: bool
) -> None:
    server_ms = SERVER_DELAY_MS if on else 0.0
    link_ms = LINK_DELAY_MS if on else 0.0
    vms = [vm.name for vm in testbed.deployment.find_vms(step.service)]
    link_delays = {
        HoldPoint.ANSWER: [(name, "node", server_ms) for name in vms],
        HoldPoint.SEND: [("node", name, server_ms) for name in vms],
        HoldPoint.PEERS: [("a", "b", link_ms), ("b", "a", link_ms)],
        HoldPoint.MARK: [(HOME_DOMAIN, HOME_DOMAIN, link_ms)],
    }
    for source, destination, delay_ms in link_delays[hold_point]:
        await asyncio.to_thread(
            testbed.deployment.set_link_fault, source, destination, delay_ms=delay_ms
        )


def _fill_queues(testbed: Testbed) -> list[asyncio.Task[None]]:
    entries = [vm.caller_address for vm in testbed.deployment.find_vms("ratebook")]

    async def fill(number: int) -> None:
        content = json.dumps({"request": f"filler-{number}"}).encode()
        headers = {"eelgrassmount-timeout-ms": "3000"}
        node = entries[number % len(entries)]
        try:
            await testbed.client.request(
                node, "GET", "/jobdesk/status", headers, content, 3.5
            )
        except UnansweredError:
            return

    return [asyncio.create_task(fill(number)) for number in range(FILLER_REQUESTS)]


async def wait_until_at_step(
    testbed: Testbed, step: Step, booking: Booking
) -> VM | None:
    """Wait until a request is at the step; return the VM that runs it, or None."""
    match step.hold_point:
        case HoldPoint.RUN:
            outcomes = ("running",)
        case HoldPoint.ANSWER:
            outcomes = ("finished",)
        case hold_point:
            await asyncio.sleep(
                _ARRIVAL_DELAY_S
                if hold_point is not HoldPoint.SEND
                else 4 * _ARRIVAL_DELAY_S
            )
            return testbed.deployment.find_vms(step.service, HOME_DOMAIN)[0]
    return await testbed.wait_for_run(
        booking.name, step.service, outcomes, _STEP_TIMEOUT_S
    )
