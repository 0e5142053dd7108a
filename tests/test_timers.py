"""The timer service, driven by a clock of the test's own."""

from __future__ import annotations

import itertools
import math
import random

import anyio
import pytest
from anyio._backends import _asyncio as anyio_loop

from eelgrassmount.timers import (
    LOOP_TICK_S,
    ManualClock,
    MonotonicClock,
    TimerService,
    name_action,
    round_wait,
)


def make_timers(**rest: object) -> TimerService:
    return TimerService(ManualClock(0.0), random.Random(1), **rest)


def test_periodic_and_single_actions_run_in_order() -> None:
    timers = make_timers()
    seen: list[str] = []
    timers.subscribe(1.0, lambda: seen.append(f"tick {timers.read():g}"))
    timers.schedule(1.5, lambda: seen.append("once"))
    timers.advance(3.0)
    assert seen == ["tick 1", "once", "tick 2", "tick 3"]


def test_cancelled_timer_stays_quiet() -> None:
    timers = make_timers()
    seen: list[int] = []
    timer = timers.subscribe(1.0, lambda: seen.append(1))
    timers.advance(1.0)
    timer.cancel()
    timers.advance(5.0)
    assert seen == [1]


def test_process_that_was_frozen_does_not_catch_up() -> None:
    timers = make_timers()
    seen: list[float] = []
    timers.subscribe(1.0, lambda: seen.append(timers.read()))
    timers.clock.now_s = 60.0
    timers.run_due()
    assert seen == [60.0]


def test_jitter_stays_within_its_fraction() -> None:
    timers = make_timers()
    seen: list[float] = []
    timers.subscribe(1.0, lambda: seen.append(timers.read()), jitter=0.2)
    timers.advance(100.0)
    gaps = [later - before for before, later in itertools.pairwise(seen)]
    assert all(0.8 <= gap <= 1.2 for gap in gaps)
    assert max(gaps) - min(gaps) > 0.1


def test_faulty_action_is_counted_and_stops_nothing() -> None:
    errors: list[int] = []
    timers = make_timers(note_error=lambda: errors.append(1))
    seen: list[int] = []

    def fail() -> None:
        raise ValueError("faulty")

    timers.subscribe(1.0, fail)
    timers.subscribe(1.0, lambda: seen.append(1))
    timers.advance(2.0)
    assert (len(errors), len(seen)) == (2, 2)


@pytest.mark.anyio
async def test_earlier_timer_wakes_the_service() -> None:
    timers = TimerService(MonotonicClock(), random.Random(1))
    done = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(timers.run)
        timers.schedule(3600.0, lambda: None)
        await anyio.lowlevel.checkpoint()
        timers.schedule(0.0, done.set)
        await done.wait()
        group.cancel_scope.cancel()


def test_periodic_timers_share_a_grid() -> None:
    timers = make_timers(grid_s=0.1)
    moments: set[float] = set()
    counts = [0, 0, 0]

    def count(index: int) -> None:
        counts[index] += 1
        moments.add(round(timers.read(), 6))

    for index, (period_s, jitter) in enumerate([(0.1, 0.0), (0.5, 0.3), (1.0, 0.1)]):
        timers.subscribe(period_s, lambda index=index: count(index), jitter)
    timers.advance(100.0)
    # each at its own rate, but never at more moments than the grid has
    assert counts == pytest.approx([1000, 200, 100], rel=0.03)
    assert len(moments) <= 1001


@pytest.mark.parametrize("wait_s", [0.0, 0.0004, 0.001, 0.0123, 2.0])
def test_wait_becomes_longer_by_at_most_a_tick(wait_s) -> None:
    assert wait_s - LOOP_TICK_S / 50 <= round_wait(wait_s) <= wait_s + LOOP_TICK_S
    assert round_wait(math.inf) == math.inf


def test_wait_is_not_looked_at_again_and_again(monkeypatch) -> None:
    scope = anyio_loop.CancelScope
    looks: list[int] = []
    original = scope._timeout

    def look(self) -> None:
        looks.append(1)
        original(self)

    monkeypatch.setattr(scope, "_timeout", look)
    timers = TimerService(MonotonicClock(), random.Random(1))
    fired: list[int] = []
    timers.subscribe(0.0103, lambda: fired.append(1))

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(timers.run)
            await anyio.sleep(0.5)
            group.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})
    assert len(fired) >= 10
    assert len(looks) <= 3 * len(fired) + 5


def test_slowest_action_is_noted() -> None:
    timers = make_timers()

    def work() -> None:
        timers.clock.now_s += 0.4

    timers.schedule(1.0, work)
    timers.schedule(1.0, lambda: None)
    timers.advance(1.0)
    name, seconds = timers.slowest.pop()
    assert name.endswith("work")
    assert seconds == pytest.approx(0.4)


def test_naming_an_action_does_not_write_out_its_object() -> None:
    # The name was looked up with the representation as the default, which was
    # made each time: that of a node's parts took 3 s of processor time a second.
    class Part:
        def __repr__(self) -> str:
            raise AssertionError("written out")

        def act(self) -> None:
            pass

        __call__ = act

    assert name_action(Part().act).endswith("Part.act")
    assert name_action(Part()) == "Part"
