"""Steps of a request, and how one is held there until a fault has come."""

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
    from tests.matrix.testbed import World

HOME = "a"
ENTRY = "frontdesk-b-0"
MINTER = "frontdesk-a-0"
SLOW_FACTOR = 80.0
CALM_FACTOR = 1.0
# well below the time after which a link counts as silent
LINK_DELAY_MS = 60.0
SERVER_DELAY_MS = 500.0
FILLERS = 120
_REACH_S = 2.0
_SETTLE_S = 0.06
_DRAIN_LIMIT_S = 20.0


class Hold(Enum):
    """What keeps a request where it is."""

    RUN = "run"
    ANSWER = "answer"
    SEND = "send"
    QUEUE = "queue"
    PEERS = "peers"
    MARK = "mark"


class Role(Enum):
    """Which VM the fault comes to."""

    ENTRY = "entry"
    PRIMARY = "primary"
    BACKUP = "backup"
    MINTER = "minter"
    RUNNER = "runner"


@frozen
class Step:
    """Where a request is when the fault comes.

    It is held at ``service``; ``far`` lets that service run in the other failure
    domain only. ``entry`` is the node that the caller sends to.
    """

    name: str
    hold: Hold
    role: Role
    service: str = "jobdesk"
    entry: str = ENTRY
    far: bool = False
    bookings: int = 2


STEPS = {
    step.name: step
    for step in (
        Step("entry", Hold.RUN, Role.ENTRY),
        Step("primary", Hold.RUN, Role.PRIMARY),
        Step("minter", Hold.RUN, Role.MINTER),
        Step("backup", Hold.RUN, Role.BACKUP),
        Step("mark", Hold.MARK, Role.BACKUP, entry="proofline-a-0"),
        Step("link", Hold.PEERS, Role.PRIMARY),
        Step("queue", Hold.QUEUE, Role.RUNNER, bookings=4),
        Step("edge", Hold.SEND, Role.RUNNER, bookings=4),
        Step("run-0", Hold.RUN, Role.RUNNER),
        Step("run-1", Hold.RUN, Role.RUNNER, "platehouse"),
        Step("run-2", Hold.RUN, Role.RUNNER, "proofline"),
        Step("far-1", Hold.RUN, Role.RUNNER, "platehouse", far=True),
        Step("answer-0", Hold.ANSWER, Role.RUNNER),
        Step("answer-1", Hold.ANSWER, Role.RUNNER, "platehouse"),
        Step("answer-2", Hold.ANSWER, Role.RUNNER, "proofline"),
    )
}


@frozen
class Aim:
    """The key of a cell's first request, and the VM of its owner or backup."""

    key: str
    vm: VM | None


async def take_aim(world: World, step: Step) -> Aim:
    """Choose a key so that the VM of the role is known."""
    match step.role:
        case Role.MINTER:
            vm = world.find_vm(MINTER)
            return Aim(await fetch_key(world.client, vm.caller_address), vm)
        case Role.PRIMARY:
            return Aim(*await world.choose_key(HOME, "primary"))
        case Role.BACKUP:
            return Aim(*await world.choose_key(HOME, "backup"))
        case Role.ENTRY:
            key, _ = await world.choose_key(HOME, "primary")
            return Aim(key, world.find_vm(step.entry))
    key, _ = await world.choose_key(HOME, "primary")
    return Aim(key, None)


async def hold_step(world: World, step: Step) -> list[asyncio.Task[None]]:
    """Let requests stop at the step; return what must be cancelled afterwards."""
    if step.far:
        await _retire(world, world.deployment.find_vms(step.service, HOME)[0])
    match step.hold:
        case Hold.RUN:
            await world.set_servers(step.service, slow_factor=SLOW_FACTOR)
        case Hold.QUEUE:
            await world.set_servers(step.service, slow_factor=SLOW_FACTOR)
            return _fill_queues(world)
        case hold:
            await _delay(world, step, hold, True)
    return []


async def _retire(world: World, vm: VM) -> None:
    """Let a VM leave: its node ends once its server drains."""
    await world.set_server(vm, drain=True)
    await asyncio.to_thread(vm.node.wait, _DRAIN_LIMIT_S)
    await asyncio.to_thread(vm.server.kill)


async def release_step(world: World, step: Step) -> None:
    """End what `hold_step` began."""
    if step.hold in (Hold.RUN, Hold.QUEUE):
        await world.set_servers(step.service, slow_factor=CALM_FACTOR)
    else:
        await _delay(world, step, step.hold, False)
    if step.far:
        vm = world.deployment.find_vms(step.service, HOME)[0]
        await asyncio.to_thread(vm.restart)


async def _delay(world: World, step: Step, hold: Hold, on: bool) -> None:
    server_ms = SERVER_DELAY_MS if on else 0.0
    link_ms = LINK_DELAY_MS if on else 0.0
    vms = [vm.name for vm in world.deployment.find_vms(step.service)]
    ways = {
        Hold.ANSWER: [(name, "node", server_ms) for name in vms],
        Hold.SEND: [("node", name, server_ms) for name in vms],
        Hold.PEERS: [("a", "b", link_ms), ("b", "a", link_ms)],
        Hold.MARK: [(HOME, HOME, link_ms)],
    }
    for source, destination, delay_ms in ways[hold]:
        await asyncio.to_thread(
            world.deployment.set_link_fault, source, destination, delay_ms=delay_ms
        )


def _fill_queues(world: World) -> list[asyncio.Task[None]]:
    entries = [vm.caller_address for vm in world.deployment.find_vms("ratebook")]

    async def fill(number: int) -> None:
        content = json.dumps({"request": f"filler-{number}"}).encode()
        headers = {"eelgrassmount-timeout-ms": "3000"}
        node = entries[number % len(entries)]
        try:
            await world.client.request(
                node, "GET", "/jobdesk/status", headers, content, 3.5
            )
        except UnansweredError:
            return

    return [asyncio.create_task(fill(number)) for number in range(FILLERS)]


async def reach_step(world: World, step: Step, booking: Booking) -> VM | None:
    """Wait until a request is at the step; return the VM that runs it, if any does."""
    match step.hold:
        case Hold.RUN:
            outcomes = ("running",)
        case Hold.ANSWER:
            outcomes = ("finished",)
        case hold:
            await asyncio.sleep(_SETTLE_S if hold is not Hold.SEND else 4 * _SETTLE_S)
            return world.deployment.find_vms(step.service, HOME)[0]
    return await world.wait_for_run(booking.name, step.service, outcomes, _REACH_S)
