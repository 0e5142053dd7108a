"""Runs cells on deployments and judges them."""

from __future__ import annotations

import asyncio
import time
import traceback
import uuid
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING

import anyio
from attrs import define, field, frozen

from standins.deploy import Deployment
from tests.matrix.callers import Booking, fetch_key
from tests.matrix.faults import FAULTS, Fault
from tests.matrix.promises import (
    Outage,
    describe_runs,
    describe_told,
    judge_booking,
)
from tests.matrix.steps import (
    HOME,
    STEPS,
    Step,
    hold_step,
    reach_step,
    release_step,
    take_aim,
)
from tests.matrix.testbed import CONFIGURATION, World, make_spec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from standins.layout import VM
    from tests.matrix.table import Cell

BETWEEN_REPEATS_S = 0.1
BETWEEN_FAULTS_S = 0.15
# how long a restarted or woken node may need before it answers again
REVIVAL_S = 4.0
ROUNDS = 5
LEAST_ROUNDS = 2
BETWEEN_ROUNDS_S = 1.0
QUIET_LIMIT_S = 3.0
STARTS = 3
# cells of one deployment: nodes that have failed often are trusted less for minutes
CELLS_EACH = 10
REPEATERS = ("frontdesk-b-0", "ratebook-b-0", "ratebook-a-0", "frontdesk-a-0")


@frozen
class Result:
    """What became of one cell."""

    cell: Cell
    broken: tuple[str, ...] = ()
    not_run: str = ""
    told: str = ""
    runs: str = ""
    seconds: float = 0.0

    @property
    def word(self) -> str:
        if self.not_run:
            return "not run"
        return "FAILED" if self.broken else "held"


@define(eq=False)
class CellRun:
    """One cell under way."""

    world: World
    cell: Cell
    step: Step
    bookings: list[Booking] = field(factory=list)
    outages: list[Outage] = field(factory=list)
    sendings: list[asyncio.Task[object]] = field(factory=list)

    async def run(self) -> Result:
        """Hold requests at the step, let the faults come, and judge."""
        started_s = time.monotonic()
        await self.world.wait_until_well()
        aim = await take_aim(self.world, self.step)
        await self._make_bookings(aim.key)
        fillers = await hold_step(self.world, self.step)
        target = None
        try:
            self._send_all(self.step.entry)
            runner = await reach_step(self.world, self.step, self.bookings[0])
            target = aim.vm or runner
            if target is not None and runner is not None:
                await self._act(target)
        finally:
            for filler in fillers:
                filler.cancel()
            await release_step(self.world, self.step)
        await self._settle()
        if target is None or runner is None:
            reason = f"no request came to the step: {describe_told(self.bookings[0])}"
            return Result(self.cell, not_run=reason)
        return await self._judge(time.monotonic() - started_s)

    async def _make_bookings(self, first_key: str) -> None:
        aims = [
            await take_aim(self.world, self.step) for _ in range(1, self.step.bookings)
        ]
        keys = [first_key, *(aim.key for aim in aims)]
        # of other kinds, at other nodes: nothing is known of where they are
        other = self.world.find_vm("platehouse-b-0").caller_address
        keys.append(await fetch_key(self.world.client, other))
        keys.append(uuid.uuid4().hex)
        self.bookings = [self.world.make_booking(key) for key in keys]
        # its servers answer even if a part is missing; a caller must not see it
        lenient = self.world.make_booking(f"{HOME}:{uuid.uuid4().hex}", lenient=True)
        self.bookings.append(lenient)

    def _send_all(self, entry: str) -> None:
        node = self.world.find_vm(entry).caller_address
        for booking in self.bookings:
            self._send(booking, node)

    def _send(self, booking: Booking, node: str) -> None:
        task = asyncio.create_task(booking.send(self.world.client, node))
        self.sendings.append(task)

    async def _act(self, target: VM) -> None:
        faults = [FAULTS[name] for name in self.cell.faults]
        began_s = time.monotonic()
        done: list[Fault] = []
        try:
            for fault in faults:
                await asyncio.to_thread(fault.do, self.world.deployment, target)
                done.append(fault)
                await asyncio.sleep(BETWEEN_FAULTS_S if len(faults) > 1 else 0)
            await self._repeat()
            hold_s = max(fault.hold_s for fault in faults)
            await asyncio.sleep(max(0.0, began_s + hold_s - time.monotonic()))
        finally:
            for fault in reversed(done):
                await asyncio.to_thread(fault.undo, self.world.deployment, target)
            if any(fault.hits_node for fault in faults):
                until_s = time.monotonic() + REVIVAL_S
                outage = Outage(target.caller_address, began_s, until_s)
                self.outages.append(outage)

    async def _repeat(self) -> None:
        for name in (self.step.entry, *REPEATERS):
            node = self.world.find_vm(name).caller_address
            for booking in self.bookings:
                self._send(booking, node)
            await asyncio.sleep(BETWEEN_REPEATS_S)

    async def _settle(self) -> None:
        """Repeat until each request has its answer, or for a few rounds."""
        nodes = [self.world.find_vm(name).caller_address for name in REPEATERS]
        await asyncio.gather(*self.sendings)
        for number in range(ROUNDS):
            sent = [
                booking.send(self.world.client, node)
                for booking in self.bookings
                for node in nodes
            ]
            await asyncio.gather(*sent)
            answered = all(
                booking.told[-1].outcome == "complete" for booking in self.bookings
            )
            patient = self.cell.must_answer or number + 1 < LEAST_ROUNDS
            if answered or not patient:
                break
            await asyncio.sleep(BETWEEN_ROUNDS_S)
        await self._wait_until_quiet()

    async def _wait_until_quiet(self) -> None:
        deadline = time.monotonic() + QUIET_LIMIT_S
        while time.monotonic() < deadline:
            runs = [await self.world.read_runs(item.name) for item in self.bookings]
            if all(run["outcome"] != "running" for part in runs for run in part):
                return
            await asyncio.sleep(0.1)

    async def _judge(self, seconds: float) -> Result:
        broken: list[str] = []
        aimed = self.step.bookings
        for number, booking in enumerate(self.bookings):
            runs = await self.world.read_runs(booking.name)
            must_answer = self.cell.must_answer and number < aimed
            found = judge_booking(booking, runs, self.outages, must_answer)
            broken += [f"{booking.key[:24]}: {what}" for what in found]
            if found:
                details = f"{describe_runs(runs)} | {describe_told(booking)}"
                broken.append(f"{booking.key[:24]}: ({details})")
        first = self.bookings[0]
        runs = await self.world.read_runs(first.name)
        return Result(
            self.cell,
            tuple(broken),
            told=describe_told(first),
            runs=describe_runs(runs),
            seconds=seconds,
        )


async def run_cells(
    cells: Iterable[Cell], without: str, tell: Callable[[Result], None]
) -> None:
    """Run cells one after another, on a new deployment whenever one is spoilt."""
    left = list(cells)
    while left:
        async for result in _run_on_one(left, without):
            left.pop(0)
            tell(result)


async def _run_on_one(cells: list[Cell], without: str) -> AsyncIterator[Result]:
    async with AsyncExitStack() as stack:
        try:
            world = await _open_world(stack, without)
        except Exception:
            yield Result(cells[0], not_run=f"error: {traceback.format_exc(limit=-1)}")
            return
        for cell in cells[:CELLS_EACH]:
            result, spoilt = await _run_cell(world, cell)
            yield result
            if spoilt:
                return


async def _open_world(stack: AsyncExitStack, without: str) -> World:
    """Return the world of a deployment that is started, configured and well."""
    deployment = await asyncio.to_thread(_start, without)
    stack.push_async_callback(asyncio.to_thread, deployment.stop)
    world = World(deployment)
    await world.publish(CONFIGURATION)
    await world.wait_until_well()
    return world


def _start(without: str) -> Deployment:
    for _ in range(STARTS - 1):
        # another program may take a port that was free a moment ago
        with suppress(RuntimeError, TimeoutError):
            return Deployment(make_spec(without)).__enter__()
    return Deployment(make_spec(without)).__enter__()


async def _run_cell(world: World, cell: Cell) -> tuple[Result, bool]:
    try:
        with anyio.fail_after(150.0):
            result = await CellRun(world, cell, STEPS[cell.step]).run()
    except Exception:
        text = traceback.format_exc(limit=-1)
        return Result(cell, not_run=f"error: {text}"), True
    return result, False
