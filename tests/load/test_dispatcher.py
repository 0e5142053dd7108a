"""The dispatcher of a backend server, with a manual clock."""

from __future__ import annotations

import random

import anyio
import pytest
from attrs import define

from benchmarks.admission import SCENARIOS, measure
from eelgrassmount.context import Context, Tier
from eelgrassmount.load.dispatcher import LimitedDispatcher
from eelgrassmount.load.port import Sample, SampleKind
from eelgrassmount.load.queue import WaitingCall
from eelgrassmount.members.table import Identity, ServerState
from eelgrassmount.shared_node_state import LocalServer, SharedNodeState
from eelgrassmount.timers import ManualClock, TimerService
from eelgrassmount.verdict import NotRun, Reason

LIMIT = 2
CAPACITY = 4
LAST, FIRST = Tier.REFUSED_LAST, Tier.REFUSED_FIRST


@define
class FixedLimiter:
    limit: int = LIMIT
    mean_run_s: float = 0.1

    def record_start(self, in_flight: int, now_s: float) -> None:
        pass

    def record(self, sample: Sample, in_flight: int, now_s: float) -> None:
        pass

    def adjust(self, now_s: float) -> None:
        pass


@pytest.fixture
def dispatcher() -> LimitedDispatcher:
    timers = TimerService(ManualClock(), random.Random(1))
    shared_state = SharedNodeState(Identity("127.0.0.1:1", "here", "region", "1"))
    shared_state.server = LocalServer("proofline", "127.0.0.1:2", ServerState.SERVING)
    return LimitedDispatcher(shared_state, timers, lambda now_s: FixedLimiter())


def make_context(
    dispatcher: LimitedDispatcher,
    tier: Tier = FIRST,
    priority: int = 100,
    remaining_s: float = 9.0,
) -> Context:
    deadline_s = dispatcher.timers.read() + remaining_s
    return Context("r", "c", "", "lookup", deadline_s, 3, tier, priority, 0, True)


def offer(
    dispatcher: LimitedDispatcher, *args: object, **others: object
) -> WaitingCall:
    return dispatcher.offer(make_context(dispatcher, *args, **others))


def finish(dispatcher: LimitedDispatcher, latency_s: float = 0.1) -> None:
    dispatcher.leave(Sample(SampleKind.COMPLETE, latency_s, class_name="lookup"))


def test_order_is_tier_then_priority_then_age(dispatcher: LimitedDispatcher) -> None:
    running = [offer(dispatcher) for _ in range(LIMIT)]
    assert all(one.admitted for one in running)
    late = offer(dispatcher, FIRST, 900)
    older = offer(dispatcher, FIRST, 10)
    newer = offer(dispatcher, FIRST, 5)
    booking = offer(dispatcher, LAST, 1000)
    for expected in (booking, older, newer, late):
        assert not expected.admitted
        finish(dispatcher)
        assert expected.admitted


def test_newest_call_goes_first_from_a_standing_queue(
    dispatcher: LimitedDispatcher,
) -> None:
    for _ in range(LIMIT):
        offer(dispatcher)
    older = offer(dispatcher)
    dispatcher.timers.advance(1.0)
    newer = offer(dispatcher)
    finish(dispatcher)
    assert newer.admitted and not older.admitted


def test_full_queue_refuses_the_least_urgent_call(
    dispatcher: LimitedDispatcher,
) -> None:
    for _ in range(LIMIT):
        offer(dispatcher)
    waiting = [offer(dispatcher, FIRST, priority) for priority in (10, 300, 200, 100)]
    assert len(waiting) == CAPACITY
    assert offer(dispatcher, FIRST, 301).refusal.reason is Reason.OVERLOAD
    more_urgent = offer(dispatcher, FIRST, 50)
    assert waiting[1].refusal.reason is Reason.OVERLOAD
    assert more_urgent.refusal is None
    booking = offer(dispatcher, LAST, 1023)
    assert waiting[2].refusal.retry_after_s > 0
    assert booking.refusal is None and not booking.admitted


def test_lookups_are_blocked_after_a_booking_was_refused(
    dispatcher: LimitedDispatcher,
) -> None:
    for _ in range(LIMIT):
        offer(dispatcher)
    bookings = [offer(dispatcher, LAST, 500) for _ in range(CAPACITY)]
    assert offer(dispatcher, LAST, 501).refusal.reason is Reason.OVERLOAD
    for _ in range(LIMIT + CAPACITY):
        finish(dispatcher)
    assert all(one.admitted for one in bookings) and dispatcher.in_flight == 0
    assert offer(dispatcher, FIRST, 0).refusal.reason is Reason.OVERLOAD
    assert offer(dispatcher, LAST, 1000).admitted
    dispatcher.timers.advance(2.0)
    assert offer(dispatcher, FIRST, 0).admitted


@pytest.mark.parametrize(("remaining_s", "queued"), [(0.5, 0), (0.09, None), (0.21, 3)])
def test_call_that_would_miss_its_deadline_is_refused(
    dispatcher: LimitedDispatcher, remaining_s: float, queued: int | None
) -> None:
    offer(dispatcher)
    finish(dispatcher)
    if queued is None:
        assert (
            offer(dispatcher, remaining_s=remaining_s).refusal.reason is Reason.DEADLINE
        )
        return
    for _ in range(LIMIT + queued):
        offer(dispatcher)
    refused = offer(dispatcher, remaining_s=remaining_s).refusal is not None
    assert refused is (queued > 0)


def test_waiting_call_is_refused_after_its_deadline(
    dispatcher: LimitedDispatcher,
) -> None:
    for _ in range(LIMIT):
        offer(dispatcher)
    waiting = offer(dispatcher, remaining_s=0.5)
    dispatcher.timers.advance(0.6)
    assert waiting.refusal.reason is Reason.DEADLINE
    assert len(dispatcher.queue) == 0


@pytest.mark.parametrize(
    ("state", "reason"),
    [
        (ServerState.DRAINING, Reason.DRAINING),
        (ServerState.STARTING, Reason.SERVER_STARTING),
        (ServerState.ABSENT, Reason.NO_SERVER),
    ],
)
def test_calls_are_refused_while_the_server_does_not_serve(
    dispatcher: LimitedDispatcher, state: ServerState, reason: Reason
) -> None:
    for _ in range(LIMIT):
        offer(dispatcher)
    waiting = offer(dispatcher)
    dispatcher.shared_state.server.state = state
    assert offer(dispatcher).refusal == NotRun(reason)
    dispatcher.timers.advance(0.1)
    assert waiting.refusal == NotRun(reason)
    assert dispatcher.describe().threshold == 0


async def enter_and_fail(dispatcher: LimitedDispatcher) -> None:
    await dispatcher.enter(make_context(dispatcher))
    pytest.fail("the call was started")


@pytest.mark.anyio
@pytest.mark.parametrize("admitted", [False, True])
async def test_call_of_a_disconnected_caller_is_not_started(
    dispatcher: LimitedDispatcher, admitted: bool
) -> None:
    for _ in range(LIMIT):
        assert await dispatcher.enter(make_context(dispatcher)) is None
    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as group:
            group.start_soon(enter_and_fail, dispatcher)
            await anyio.wait_all_tasks_blocked()
            if admitted:
                # The slot is released at the moment the caller disconnects.
                finish(dispatcher)
            scope.cancel()
    assert dispatcher.in_flight == (LIMIT - 1 if admitted else LIMIT)
    assert len(dispatcher.queue) == 0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# Several seeds, since the result of one depends on the phase of two timers.
SURGE_SEEDS = range(11, 17)


@pytest.mark.parametrize(
    "scenario", SCENARIOS[:3], ids=[one.name for one in SCENARIOS[:3]]
)
def test_surge_is_served_at_capacity_and_leaves_no_refusals(scenario) -> None:
    fractions = []
    for seed in SURGE_SEEDS:
        seconds = measure(scenario, 18.0, seed)
        surge = seconds[7:15]
        complete = sum(second.complete.total() for second in surge) / len(surge)
        fractions.append(complete / scenario.capacity_per_s)
        assert sum(second.inversions for second in seconds) == 0
        # Two seconds after the surge, no request is refused.
        assert not seconds[17].refused_at_ingress + seconds[17].refused_at_dispatcher
    assert sum(fractions) / len(fractions) > 0.9, fractions


def test_queue_is_swept_only_while_calls_run_or_wait(
    dispatcher: LimitedDispatcher,
) -> None:
    def measure_sleep() -> float:
        dispatcher.timers.advance(0.955)
        return dispatcher.timers.run_due()

    idle_s = measure_sleep()
    offer(dispatcher)
    busy_s = measure_sleep()
    finish(dispatcher)
    assert busy_s < 0.03 < min(idle_s, measure_sleep())
