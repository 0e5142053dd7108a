"""The timer service on a manual clock."""

from __future__ import annotations

import itertools
import math
import random

import anyio
import pytest

from eelgrassmount.timers import (
    LOOP_TICK_S,
    ManualClock,
    MonotonicClock,
    TimerService,
    get_action_name,
    round_up_wait,
)


def make_timers(**options: object) -> TimerService:
    return TimerService(ManualClock(0.0), random.Random(1), **options)


def test_periodic_and_single_actions_run_in_order() -> None:
    timers = make_timers()
    runs: list[str] = []
    timers.subscribe(1.0, lambda: runs.append(f"tick {timers.read():g}"))
    timers.schedule(1.5, lambda: runs.append("once"))
    timers.advance(3.0)
    assert runs == ["tick 1", "once", "tick 2", "tick 3"]


def test_cancelled_timer_does_not_run() -> None:
    timers = make_timers()
    runs: list[int] = []
    timer = timers.subscribe(1.0, lambda: runs.append(1))
    timers.advance(1.0)
    timer.cancel()
    timers.advance(5.0)
    assert runs == [1]


def test_missed_periods_are_not_caught_up() -> None:
    timers = make_timers()
    runs: list[float] = []
    timers.subscribe(1.0, lambda: runs.append(timers.read()))
    timers.clock.now_s = 60.0
    timers.run_due()
    assert runs == [60.0]


def test_jitter_stays_within_its_fraction() -> None:
    timers = make_timers()
    runs: list[float] = []
    timers.subscribe(1.0, lambda: runs.append(timers.read()), jitter=0.2)
    timers.advance(100.0)
    intervals = [later - before for before, later in itertools.pairwise(runs)]
    assert all(0.8 <= interval <= 1.2 for interval in intervals)
    assert max(intervals) - min(intervals) > 0.1


def test_failed_action_is_counted_and_other_timers_run() -> None:
    errors: list[int] = []
    timers = make_timers(on_error=lambda: errors.append(1))
    runs: list[int] = []

    def fail() -> None:
        raise ValueError("faulty")

    timers.subscribe(1.0, fail)
    timers.subscribe(1.0, lambda: runs.append(1))
    timers.advance(2.0)
    assert (len(errors), len(runs)) == (2, 2)


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
    run_times_s: set[float] = set()
    counts = [0, 0, 0]

    def count(index: int) -> None:
        counts[index] += 1
        run_times_s.add(round(timers.read(), 6))

    for index, (period_s, jitter) in enumerate([(0.1, 0.0), (0.5, 0.3), (1.0, 0.1)]):
        timers.subscribe(period_s, lambda index=index: count(index), jitter)
    timers.advance(100.0)
    # each timer keeps its rate, but all runs fall on the grid
    assert counts == pytest.approx([1000, 200, 100], rel=0.03)
    assert len(run_times_s) <= 1001


@pytest.mark.parametrize("wait_s", [0.0, 0.0004, 0.001, 0.0123, 2.0])
def test_wait_is_extended_by_at_most_one_tick(wait_s) -> None:
    assert wait_s - LOOP_TICK_S / 50 <= round_up_wait(wait_s) <= wait_s + LOOP_TICK_S
    assert round_up_wait(math.inf) == math.inf


def test_loop_does_not_busy_wait(monkeypatch) -> None:
    wake_ups: list[int] = []
    original = TimerService.run_due

    def count_wake_up(self) -> float:
        wake_ups.append(1)
        return original(self)

    monkeypatch.setattr(TimerService, "run_due", count_wake_up)
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
    assert len(wake_ups) <= 2 * len(fired) + 5


def test_slowest_action_is_recorded() -> None:
    timers = make_timers()

    def work() -> None:
        timers.clock.now_s += 0.4

    timers.schedule(1.0, work)
    timers.schedule(1.0, lambda: None)
    timers.advance(1.0)
    name, seconds = timers.slowest.pop()
    assert name.endswith("work")
    assert seconds == pytest.approx(0.4)


def test_action_name_does_not_format_the_object() -> None:
    # ``repr`` of a method formats its whole object, which is too slow for each run.
    class Part:
        def __repr__(self) -> str:
            raise AssertionError("formatted")

        def act(self) -> None:
            pass

        __call__ = act

    assert get_action_name(Part().act).endswith("Part.act")
    assert get_action_name(Part()) == "Part"
