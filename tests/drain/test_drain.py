"""Steps and limits of a graceful shutdown, on a manual clock."""

from __future__ import annotations

import random

import anyio
import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.drain.shutdown import Shutdown
from eelgrassmount.drain.stages import (
    Cause,
    Drain,
    DrainLimits,
    Observation,
    Step,
    advance_drain,
    request_drain,
)
from eelgrassmount.members.table import Identity, ServerState
from eelgrassmount.shared_node_state import DrainStage, SharedNodeState
from eelgrassmount.timers import ManualClock, TimerService

SERVING = ServerState.SERVING
DRAINING = ServerState.DRAINING
ABSENT = ServerState.ABSENT
LIMITS = DrainLimits(settle_s=1.0, limit_s=10.0, hand_over_s=2.0)
WAITING = Drain(Step.WAITING, Cause.SERVER, 0.0, 0.0)
HANDING_OVER = evolve(WAITING, step=Step.HANDING_OVER)
ENDING = evolve(WAITING, step=Step.ENDING)
LEAVING = evolve(WAITING, step=Step.LEAVING)


def with_cause(cause, drain):
    return evolve(drain, cause=cause)


@pytest.mark.parametrize(
    ("drain", "observation", "step"),
    [
        (Drain(), Observation(1.0, SERVING, 0), Step.RUNNING),
        (Drain(), Observation(1.0, ABSENT, 0), Step.RUNNING),
        (Drain(), Observation(1.0, DRAINING, 0), Step.WAITING),
        # Other nodes may not know of the drain yet.
        (WAITING, Observation(0.9, DRAINING, 0), Step.WAITING),
        (WAITING, Observation(1.0, DRAINING, 1), Step.WAITING),
        (WAITING, Observation(1.0, DRAINING, 0), Step.HANDING_OVER),
        (WAITING, Observation(10.0, DRAINING, 1), Step.HANDING_OVER),
        # The server can cancel only a drain that it requested.
        (WAITING, Observation(0.5, SERVING, 1), Step.RUNNING),
        (with_cause(Cause.ADMIN, WAITING), Observation(0.5, SERVING, 1), Step.WAITING),
        (with_cause(Cause.SIGNAL, WAITING), Observation(0.5, SERVING, 1), Step.WAITING),
        (HANDING_OVER, Observation(1.5, SERVING, 0), Step.HANDING_OVER),
        (HANDING_OVER, Observation(1.5, DRAINING, 0, handed_over=True), Step.ENDING),
        (HANDING_OVER, Observation(10.0, DRAINING, 0), Step.ENDING),
        (ENDING, Observation(2.0, DRAINING, 1), Step.ENDING),
        (ENDING, Observation(2.0, DRAINING, 0), Step.LEAVING),
        (ENDING, Observation(10.0, DRAINING, 1), Step.LEAVING),
        (LEAVING, Observation(2.0, DRAINING, 0), Step.LEAVING),
        (LEAVING, Observation(2.0, DRAINING, 0, has_left=True), Step.DRAINED),
    ],
)
def test_drain_advances_to_the_next_step(drain, observation, step):
    assert advance_drain(drain, LIMITS, observation).step is step


def test_cause_is_never_lowered():
    drain = request_drain(WAITING, Cause.SIGNAL, 0.5)
    drain = request_drain(drain, Cause.ADMIN, 0.6)
    assert drain.cause is Cause.SIGNAL
    assert drain.since_s == WAITING.since_s


@given(
    st.lists(
        st.tuples(
            st.floats(0.01, 3.0),
            st.sampled_from([SERVING, DRAINING, ABSENT]),
            st.integers(0, 3),
        ),
        max_size=30,
    )
)
def test_drain_by_a_signal_is_never_cancelled_and_always_finishes(observations):
    """A drain that ends before its limit would interrupt calls in flight."""
    drain = request_drain(Drain(), Cause.SIGNAL, 0.0)
    now_s = 0.0
    for pause_s, state, in_flight in [*observations, *[(5.0, DRAINING, 1)] * 8]:
        now_s += pause_s
        observation = Observation(
            now_s, state, in_flight, has_left=drain.step is Step.LEAVING
        )
        next_drain = advance_drain(drain, LIMITS, observation)
        assert next_drain.step.value >= drain.step.value
        if next_drain.step is not drain.step and in_flight:
            assert next_drain.step is Step.DRAINED or now_s >= LIMITS.limit_s
        drain = next_drain
    assert drain.step is Step.DRAINED


class ShutdownFixture:
    """A shutdown with a manual clock, which records its events."""

    def __init__(self, group):
        self.shared_state = SharedNodeState(
            Identity("127.1.0.1:1", "bowbazar", "kolkata", "a")
        )
        self.shared_state.server.state = SERVING
        self.timers = TimerService(ManualClock(), random.Random(1))
        self.in_flight = 0
        self.events = []
        self.shutdown = Shutdown(
            self.shared_state,
            self.timers,
            lambda: self.events.append(self.shared_state.drain),
            lambda: self.in_flight,
            self.hand_over,
            self.leave,
            LIMITS,
        )
        self.shutdown.start(group)

    async def hand_over(self):
        self.events.append("keys")

    async def leave(self):
        self.events.append("left")

    async def advance_time(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.timers.advance(0.1)
            await anyio.sleep(0)


def run_scenario(scenario):
    async def run():
        async with anyio.create_task_group() as group:
            await scenario(ShutdownFixture(group))
            group.cancel_scope.cancel()

    anyio.run(run)


def test_requests_in_flight_finish_before_keys_are_handed_over():
    async def scenario(fixture):
        fixture.in_flight = 2
        fixture.shutdown.request(Cause.ADMIN)
        assert fixture.events == [DrainStage.DRAINING]
        assert not fixture.shared_state.accepts_work
        await fixture.advance_time(5.0)
        assert fixture.events == [DrainStage.DRAINING]
        fixture.in_flight = 0
        await fixture.advance_time(1.0)
        drain = await fixture.shutdown.wait()
        assert fixture.events == [DrainStage.DRAINING, "keys", "left"]
        assert fixture.shared_state.drain is DrainStage.DRAINED
        assert not drain.timed_out

    run_scenario(scenario)


def test_server_may_cancel_its_drain():
    async def scenario(fixture):
        fixture.in_flight = 1
        fixture.shared_state.server.state = DRAINING
        await fixture.advance_time(0.5)
        assert fixture.shared_state.drain is DrainStage.DRAINING
        fixture.shared_state.server.state = SERVING
        await fixture.advance_time(0.5)
        assert fixture.events == [DrainStage.DRAINING, DrainStage.RUNNING]
        assert fixture.shared_state.accepts_work

    run_scenario(scenario)


def test_drain_limit_interrupts_requests_and_is_reported():
    async def scenario(fixture):
        fixture.in_flight = 3
        fixture.shutdown.request(Cause.SIGNAL)
        await fixture.advance_time(11.0)
        drain = await fixture.shutdown.wait()
        assert drain.timed_out
        assert drain.interrupted == 3
        assert fixture.events[1:] == ["keys", "left"]

    run_scenario(scenario)
