"""A graceful shutdown, on a clock that is moved by hand."""

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
    Observed,
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


def by(cause, drain):
    return evolve(drain, cause=cause)


@pytest.mark.parametrize(
    ("drain", "observed", "step"),
    [
        (Drain(), Observed(1.0, SERVING, 0), Step.RUNNING),
        (Drain(), Observed(1.0, ABSENT, 0), Step.RUNNING),
        (Drain(), Observed(1.0, DRAINING, 0), Step.WAITING),
        # others may not have heard yet
        (WAITING, Observed(0.9, DRAINING, 0), Step.WAITING),
        (WAITING, Observed(1.0, DRAINING, 1), Step.WAITING),
        (WAITING, Observed(1.0, DRAINING, 0), Step.HANDING_OVER),
        (WAITING, Observed(10.0, DRAINING, 1), Step.HANDING_OVER),
        # undone by the server, if nobody else asked for it
        (WAITING, Observed(0.5, SERVING, 1), Step.RUNNING),
        (by(Cause.ADMIN, WAITING), Observed(0.5, SERVING, 1), Step.WAITING),
        (by(Cause.SIGNAL, WAITING), Observed(0.5, SERVING, 1), Step.WAITING),
        (HANDING_OVER, Observed(1.5, SERVING, 0), Step.HANDING_OVER),
        (HANDING_OVER, Observed(1.5, DRAINING, 0, handed_over=True), Step.ENDING),
        (HANDING_OVER, Observed(10.0, DRAINING, 0), Step.ENDING),
        (ENDING, Observed(2.0, DRAINING, 1), Step.ENDING),
        (ENDING, Observed(2.0, DRAINING, 0), Step.LEAVING),
        (ENDING, Observed(10.0, DRAINING, 1), Step.LEAVING),
        (LEAVING, Observed(2.0, DRAINING, 0), Step.LEAVING),
        (LEAVING, Observed(2.0, DRAINING, 0, left=True), Step.DRAINED),
    ],
)
def test_steps(drain, observed, step):
    assert advance_drain(drain, LIMITS, observed).step is step


def test_a_stronger_cause_stays():
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
def test_a_signal_is_never_undone_and_always_ends(moments):
    """Whatever happens, nothing in flight is cut before the limit."""
    drain = request_drain(Drain(), Cause.SIGNAL, 0.0)
    now_s = 0.0
    for pause_s, state, in_flight in [*moments, *[(5.0, DRAINING, 1)] * 8]:
        now_s += pause_s
        observed = Observed(now_s, state, in_flight, left=drain.step is Step.LEAVING)
        after = advance_drain(drain, LIMITS, observed)
        assert after.step.value >= drain.step.value
        if after.step is not drain.step and in_flight:
            assert after.step is Step.DRAINED or now_s >= LIMITS.limit_s
        drain = after
    assert drain.step is Step.DRAINED


class Rig:
    """A shutdown whose surroundings are plain values."""

    def __init__(self, group):
        self.board = SharedNodeState(
            Identity("127.1.0.1:1", "bowbazar", "kolkata", "a")
        )
        self.board.server.state = SERVING
        self.timers = TimerService(ManualClock(), random.Random(1))
        self.in_flight = 0
        self.said = []
        self.shutdown = Shutdown(
            self.board,
            self.timers,
            lambda: self.said.append(self.board.drain),
            lambda: self.in_flight,
            self.hand_over,
            self.leave,
            LIMITS,
        )
        self.shutdown.start(group)

    async def hand_over(self):
        self.said.append("keys")

    async def leave(self):
        self.said.append("left")

    async def pass_time(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.timers.advance(0.1)
            await anyio.sleep(0)


def run_rig(scenario):
    async def run():
        async with anyio.create_task_group() as group:
            await scenario(Rig(group))
            group.cancel_scope.cancel()

    anyio.run(run)


def test_requests_in_flight_end_before_keys_go():
    async def scenario(rig):
        rig.in_flight = 2
        rig.shutdown.request(Cause.ADMIN)
        assert rig.said == [DrainStage.DRAINING]
        assert not rig.board.accepts_work
        await rig.pass_time(5.0)
        assert rig.said == [DrainStage.DRAINING]
        rig.in_flight = 0
        await rig.pass_time(1.0)
        drain = await rig.shutdown.wait()
        assert rig.said == [DrainStage.DRAINING, "keys", "left"]
        assert rig.board.drain is DrainStage.DRAINED
        assert not drain.limit_hit

    run_rig(scenario)


def test_the_server_may_think_better_of_it():
    async def scenario(rig):
        rig.in_flight = 1
        rig.board.server.state = DRAINING
        await rig.pass_time(0.5)
        assert rig.board.drain is DrainStage.DRAINING
        rig.board.server.state = SERVING
        await rig.pass_time(0.5)
        assert rig.said == [DrainStage.DRAINING, DrainStage.RUNNING]
        assert rig.board.accepts_work

    run_rig(scenario)


def test_the_limit_ends_the_wait_and_says_so():
    async def scenario(rig):
        rig.in_flight = 3
        rig.shutdown.request(Cause.SIGNAL)
        await rig.pass_time(11.0)
        drain = await rig.shutdown.wait()
        assert drain.limit_hit
        assert drain.cut == 3
        assert rig.said[1:] == ["keys", "left"]

    run_rig(scenario)
