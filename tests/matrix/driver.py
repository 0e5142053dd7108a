"""Runs cells on deployments and checks the promises for their requests."""

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
    describe_outcomes,
    describe_runs,
    find_broken_promises,
)
from tests.matrix.steps import (
    HOME_DOMAIN,
    STEPS,
    Step,
    choose_role_target,
    hold_step,
    release_step,
    wait_until_at_step,
)
from tests.matrix.testbed import CONFIGURATION, Testbed, make_spec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from standins.layout import VM
    from tests.matrix.table import Cell

RETRY_INTERVAL_S = 0.1
FAULT_INTERVAL_S = 0.15
# time in which a restarted or resumed node may still not answer
NODE_RECOVERY_S = 4.0
MAX_RETRY_ROUNDS = 5
MIN_RETRY_ROUNDS = 2
ROUND_INTERVAL_S = 1.0
RUN_END_TIMEOUT_S = 3.0
MAX_START_ATTEMPTS = 3
# nodes that failed often are treated as unstable and would distort later cells
MAX_CELLS_PER_DEPLOYMENT = 10
RETRY_VMS = ("frontdesk-b-0", "ratebook-b-0", "ratebook-a-0", "frontdesk-a-0")


@frozen
class Result:
    """The outcome of one cell."""

    cell: Cell
    violations: tuple[str, ...] = ()
    not_run: str = ""
    client_outcome: str = ""
    runs: str = ""
    seconds: float = 0.0

    @property
    def status(self) -> str:
        if self.not_run:
            return "not run"
        return "FAILED" if self.violations else "held"


@define(eq=False)
class CellRun:
    """A cell that is running."""

    testbed: Testbed
    cell: Cell
    step: Step
    bookings: list[Booking] = field(factory=list)
    outages: list[Outage] = field(factory=list)
    tasks: list[asyncio.Task[object]] = field(factory=list)

    async def run(self) -> Result:
        """Hold requests at the step, inject the faults, and check the promises."""
        started_s = time.monotonic()
        await self.testbed.wait_until_healthy()
        role_target = await choose_role_target(self.testbed, self.step)
        await self._make_bookings(role_target.key)
        fillers = await hold_step(self.testbed, self.step)
        target = None
        try:
            self._send_all(self.step.entry)
            runner = await wait_until_at_step(self.testbed, self.step, self.bookings[0])
            target = role_target.vm or runner
            if target is not None and runner is not None:
                await self._inject_faults(target)
        finally:
            for filler in fillers:
                filler.cancel()
            await release_step(self.testbed, self.step)
        await self._retry_until_answered()
        if target is None or runner is None:
            reason = (
                f"no request reached the step: {describe_outcomes(self.bookings[0])}"
            )
            return Result(self.cell, not_run=reason)
        return await self._check_promises(time.monotonic() - started_s)

    async def _make_bookings(self, first_key: str) -> None:
        role_targets = [
            await choose_role_target(self.testbed, self.step)
            for _ in range(1, self.step.bookings)
        ]
        keys = [first_key, *(role_target.key for role_target in role_targets)]
        # a key issued by another node and one without a failure domain
        other = self.testbed.find_vm("platehouse-b-0").caller_address
        keys.append(await fetch_key(self.testbed.client, other))
        keys.append(uuid.uuid4().hex)
        self.bookings = [self.testbed.make_booking(key) for key in keys]
        # servers answer this request without a failed downstream call;
        # the client must not receive that partial answer
        lenient = self.testbed.make_booking(
            f"{HOME_DOMAIN}:{uuid.uuid4().hex}", lenient=True
        )
        self.bookings.append(lenient)

    def _send_all(self, entry: str) -> None:
        node = self.testbed.find_vm(entry).caller_address
        for booking in self.bookings:
            self._send(booking, node)

    def _send(self, booking: Booking, node: str) -> None:
        task = asyncio.create_task(booking.send(self.testbed.client, node))
        self.tasks.append(task)

    async def _inject_faults(self, target: VM) -> None:
        faults = [FAULTS[name] for name in self.cell.faults]
        started_s = time.monotonic()
        injected: list[Fault] = []
        try:
            for fault in faults:
                await asyncio.to_thread(fault.do, self.testbed.deployment, target)
                injected.append(fault)
                await asyncio.sleep(FAULT_INTERVAL_S if len(faults) > 1 else 0)
            await self._retry_bookings()
            hold_s = max(fault.hold_s for fault in faults)
            await asyncio.sleep(max(0.0, started_s + hold_s - time.monotonic()))
        finally:
            for fault in reversed(injected):
                await asyncio.to_thread(fault.undo, self.testbed.deployment, target)
            if any(fault.affects_node for fault in faults):
                until_s = time.monotonic() + NODE_RECOVERY_S
                outage = Outage(target.caller_address, started_s, until_s)
                self.outages.append(outage)

    async def _retry_bookings(self) -> None:
        for name in (self.step.entry, *RETRY_VMS):
            node = self.testbed.find_vm(name).caller_address
            for booking in self.bookings:
                self._send(booking, node)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _retry_until_answered(self) -> None:
        """Retry until each request has its answer, for a limited number of rounds."""
        nodes = [self.testbed.find_vm(name).caller_address for name in RETRY_VMS]
        await asyncio.gather(*self.tasks)
        for number in range(MAX_RETRY_ROUNDS):
            sent = [
                booking.send(self.testbed.client, node)
                for booking in self.bookings
                for node in nodes
            ]
            await asyncio.gather(*sent)
            answered = all(
                booking.attempts_by_end[-1].outcome == "complete"
                for booking in self.bookings
            )
            may_retry = self.cell.must_answer or number + 1 < MIN_RETRY_ROUNDS
            if answered or not may_retry:
                break
            await asyncio.sleep(ROUND_INTERVAL_S)
        await self._wait_until_runs_end()

    async def _wait_until_runs_end(self) -> None:
        deadline = time.monotonic() + RUN_END_TIMEOUT_S
        while time.monotonic() < deadline:
            runs = [await self.testbed.read_runs(item.name) for item in self.bookings]
            if all(run["outcome"] != "running" for part in runs for run in part):
                return
            await asyncio.sleep(0.1)

    async def _check_promises(self, seconds: float) -> Result:
        violations: list[str] = []
        expected_bookings = self.step.bookings
        for number, booking in enumerate(self.bookings):
            runs = await self.testbed.read_runs(booking.name)
            must_answer = self.cell.must_answer and number < expected_bookings
            found = find_broken_promises(booking, runs, self.outages, must_answer)
            violations += [f"{booking.key[:24]}: {what}" for what in found]
            if found:
                details = f"{describe_runs(runs)} | {describe_outcomes(booking)}"
                violations.append(f"{booking.key[:24]}: ({details})")
        first = self.bookings[0]
        runs = await self.testbed.read_runs(first.name)
        return Result(
            self.cell,
            tuple(violations),
            client_outcome=describe_outcomes(first),
            runs=describe_runs(runs),
            seconds=seconds,
        )


async def run_cells(
    cells: Iterable[Cell], without: str, report_result: Callable[[Result], None]
) -> None:
    """Run cells in sequence; use a new deployment after a cell that failed to run."""
    pending = list(cells)
    while pending:
        async for result in _run_on_one_deployment(pending, without):
            pending.pop(0)
            report_result(result)


async def _run_on_one_deployment(
    cells: list[Cell], without: str
) -> AsyncIterator[Result]:
    async with AsyncExitStack() as stack:
        try:
            testbed = await _open_testbed(stack, without)
        except Exception:
            yield Result(cells[0], not_run=f"error: {traceback.format_exc(limit=-1)}")
            return
        for cell in cells[:MAX_CELLS_PER_DEPLOYMENT]:
            result, unusable = await _run_cell(testbed, cell)
            yield result
            if unusable:
                return


async def _open_testbed(stack: AsyncExitStack, without: str) -> Testbed:
    """Start and configure a deployment, and wait until it answers bookings."""
    deployment = await asyncio.to_thread(_start_deployment, without)
    stack.push_async_callback(asyncio.to_thread, deployment.stop)
    testbed = Testbed(deployment)
    await testbed.publish(CONFIGURATION)
    await testbed.wait_until_healthy()
    return testbed


def _start_deployment(without: str) -> Deployment:
    for _ in range(MAX_START_ATTEMPTS - 1):
        # another program may have taken the port in the meantime
        with suppress(RuntimeError, TimeoutError):
            return Deployment(make_spec(without)).__enter__()
    return Deployment(make_spec(without)).__enter__()


async def _run_cell(testbed: Testbed, cell: Cell) -> tuple[Result, bool]:
    try:
        with anyio.fail_after(150.0):
            result = await CellRun(testbed, cell, STEPS[cell.step]).run()
    except Exception:
        text = traceback.format_exc(limit=-1)
        return Result(cell, not_run=f"error: {text}"), True
    return result, False
