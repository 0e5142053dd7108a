"""The gate before a backend server, on a clock of its own."""

from __future__ import annotations

import random

import anyio
import pytest
from attrs import define

from benchmarks.admission import SCENARIOS, measure
from eelgrassmount.blackboard import Blackboard, LocalServer
from eelgrassmount.context import Context, Tier
from eelgrassmount.load.dispatcher import LimitedDispatcher
from eelgrassmount.load.port import Sample, SampleKind
from eelgrassmount.load.queue import WaitingCall
from eelgrassmount.members.table import Identity, ServerState
from eelgrassmount.timers import ManualClock, TimerService
from eelgrassmount.verdict import NotRun, Reason

LIMIT = 2
CAPACITY = 4
LAST, FIRST = Tier.REFUSED_LAST, Tier.REFUSED_FIRST


@define
class FixedLimiter:
    limit: int = LIMIT
    typical_s: float = 0.1

    def record_start(self, in_flight: int, now_s: float) -> None:
        pass

    def record(self, sample: Sample, in_flight: int, now_s: float) -> None:
        pass

    def adjust(self, now_s: float) -> None:
        pass


@pytest.fixture
def gate() -> LimitedDispatcher:
    timers = TimerService(ManualClock(), random.Random(1))
    board = Blackboard(Identity("127.0.0.1:1", "here", "region", "1"))
    board.server = LocalServer("proofline", "127.0.0.1:2", ServerState.SERVING)
    return LimitedDispatcher(board, timers, lambda now_s: FixedLimiter())


def make_context(
    gate: LimitedDispatcher,
    tier: Tier = FIRST,
    priority: int = 100,
    left_s: float = 9.0,
) -> Context:
    deadline_s = gate.timers.read() + left_s
    return Context("r", "c", "", "lookup", deadline_s, 3, tier, priority, 0, True)


def offer(gate: LimitedDispatcher, *args: object, **others: object) -> WaitingCall:
    return gate.offer(make_context(gate, *args, **others))


def finish(gate: LimitedDispatcher, latency_s: float = 0.1) -> None:
    gate.leave(Sample(SampleKind.COMPLETE, latency_s, class_name="lookup"))


def test_order_is_tier_then_priority_then_age(gate: LimitedDispatcher) -> None:
    running = [offer(gate) for _ in range(LIMIT)]
    assert all(one.admitted for one in running)
    late = offer(gate, FIRST, 900)
    older = offer(gate, FIRST, 10)
    newer = offer(gate, FIRST, 5)
    booking = offer(gate, LAST, 1000)
    for expected in (booking, older, newer, late):
        assert not expected.admitted
        finish(gate)
        assert expected.admitted


def test_newest_goes_first_once_the_queue_stands(gate: LimitedDispatcher) -> None:
    for _ in range(LIMIT):
        offer(gate)
    older = offer(gate)
    gate.timers.advance(1.0)
    newer = offer(gate)
    finish(gate)
    assert newer.admitted and not older.admitted


def test_full_queue_refuses_the_worst(gate: LimitedDispatcher) -> None:
    for _ in range(LIMIT):
        offer(gate)
    waiting = [offer(gate, FIRST, priority) for priority in (10, 300, 200, 100)]
    assert len(waiting) == CAPACITY
    assert offer(gate, FIRST, 301).refusal.reason is Reason.OVERLOAD
    better = offer(gate, FIRST, 50)
    assert waiting[1].refusal.reason is Reason.OVERLOAD
    assert better.refusal is None
    booking = offer(gate, LAST, 1023)
    assert waiting[2].refusal.retry_after_s > 0
    assert booking.refusal is None and not booking.admitted


def test_no_lookup_while_a_booking_is_refused(gate: LimitedDispatcher) -> None:
    for _ in range(LIMIT):
        offer(gate)
    bookings = [offer(gate, LAST, 500) for _ in range(CAPACITY)]
    assert offer(gate, LAST, 501).refusal.reason is Reason.OVERLOAD
    for _ in range(LIMIT + CAPACITY):
        finish(gate)
    assert all(one.admitted for one in bookings) and gate.in_flight == 0
    assert offer(gate, FIRST, 0).refusal.reason is Reason.OVERLOAD
    assert offer(gate, LAST, 1000).admitted
    gate.timers.advance(2.0)
    assert offer(gate, FIRST, 0).admitted


@pytest.mark.parametrize(("left_s", "queued"), [(0.5, 0), (0.09, None), (0.21, 3)])
def test_what_cannot_finish_is_refused(
    gate: LimitedDispatcher, left_s: float, queued: int | None
) -> None:
    offer(gate)
    finish(gate)
    if queued is None:
        assert offer(gate, left_s=left_s).refusal.reason is Reason.DEADLINE
        return
    for _ in range(LIMIT + queued):
        offer(gate)
    refused = offer(gate, left_s=left_s).refusal is not None
    assert refused is (queued > 0)


def test_waiting_call_is_refused_when_its_time_has_run_out(
    gate: LimitedDispatcher,
) -> None:
    for _ in range(LIMIT):
        offer(gate)
    waiting = offer(gate, left_s=0.5)
    gate.timers.advance(0.6)
    assert waiting.refusal.reason is Reason.DEADLINE
    assert len(gate.queue) == 0


@pytest.mark.parametrize(
    ("state", "reason"),
    [
        (ServerState.DRAINING, Reason.DRAINING),
        (ServerState.STARTING, Reason.SERVER_STARTING),
        (ServerState.ABSENT, Reason.NO_SERVER),
    ],
)
def test_server_that_does_not_serve(
    gate: LimitedDispatcher, state: ServerState, reason: Reason
) -> None:
    for _ in range(LIMIT):
        offer(gate)
    waiting = offer(gate)
    gate.board.server.state = state
    assert offer(gate).refusal == NotRun(reason)
    gate.timers.advance(0.1)
    assert waiting.refusal == NotRun(reason)
    assert gate.describe().threshold == 0


async def enter_and_fail(gate: LimitedDispatcher) -> None:
    await gate.enter(make_context(gate))
    pytest.fail("the call was started")


@pytest.mark.anyio
@pytest.mark.parametrize("admitted", [False, True])
async def test_call_whose_caller_has_gone_is_not_started(
    gate: LimitedDispatcher, admitted: bool
) -> None:
    for _ in range(LIMIT):
        assert await gate.enter(make_context(gate)) is None
    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as group:
            group.start_soon(enter_and_fail, gate)
            await anyio.wait_all_tasks_blocked()
            if admitted:
                # the slot becomes free in the moment when the caller goes
                finish(gate)
            scope.cancel()
    assert gate.in_flight == (LIMIT - 1 if admitted else LIMIT)
    assert len(gate.queue) == 0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# one seed alone says more of the phase of two timers than of the control
SURGE_SEEDS = range(11, 17)


@pytest.mark.parametrize(
    "scenario", SCENARIOS[:3], ids=[one.name for one in SCENARIOS[:3]]
)
def test_surge(scenario) -> None:
    fractions = []
    for seed in SURGE_SEEDS:
        seconds = measure(scenario, 18.0, seed)
        surge = seconds[7:15]
        complete = sum(second.complete.total() for second in surge) / len(surge)
        fractions.append(complete / scenario.capacity_per_s)
        assert sum(second.inversions for second in seconds) == 0
        # two seconds after the surge nothing is refused any more
        assert not seconds[17].refused_at_entry + seconds[17].refused_at_gate
    assert sum(fractions) / len(fractions) > 0.9, fractions


def test_gate_is_swept_only_while_calls_run_or_wait(gate: LimitedDispatcher) -> None:
    def measure_sleep() -> float:
        gate.timers.advance(0.955)
        return gate.timers.run_due()

    idle_s = measure_sleep()
    offer(gate)
    busy_s = measure_sleep()
    finish(gate)
    assert busy_s < 0.03 < min(idle_s, measure_sleep())
