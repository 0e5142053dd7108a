"""Timers that run functions once or periodically."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import time
from typing import TYPE_CHECKING, Protocol

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    import random
    from collections.abc import Callable


# resolution of the event loop's clock; the loop busy-waits for the rest of a wait that
# ends between two ticks
LOOP_TICK_S = 0.001
# subtracted from a wait of whole ticks, so that a rounding error does not add a tick
TICK_MARGIN_S = LOOP_TICK_S / 100


def round_up_wait(wait_s: float) -> float:
    """Return a wait in seconds, extended to end at a tick of the loop's clock."""
    if math.isinf(wait_s):
        return wait_s
    ticks = math.floor(wait_s / LOOP_TICK_S) + 1
    return ticks * LOOP_TICK_S - TICK_MARGIN_S


class Clock(Protocol):
    """A monotonic clock, in seconds from an arbitrary start."""

    def read(self) -> float:
        """Return the present time in seconds."""


class MonotonicClock:
    """The monotonic clock of the operating system."""

    def read(self) -> float:
        """Return the present time in seconds."""
        return time.monotonic()


@define
class ManualClock:
    """A clock for tests, which moves only when ``now_s`` is set."""

    now_s: float = 1000.0

    def read(self) -> float:
        """Return the present time in seconds."""
        return self.now_s


@define(eq=False, repr=False)
class Timer:
    """A scheduled action; a period of 0 runs it only once."""

    due_s: float
    action: Callable[[], None]
    period_s: float = 0.0
    jitter: float = 0.0
    active: bool = True

    def cancel(self) -> None:
        """Prevent further runs of the action."""
        self.active = False


def get_action_name(action: Callable[[], None]) -> str:
    """Return the name of an action.

    The name is not taken from ``repr``, which for a method formats its whole object
    and is slow.
    """
    return getattr(action, "__qualname__", type(action).__name__)


@define(eq=False, repr=False)
class SlowestAction:
    """Records the timer action that took longest since the last `pop`.

    All actions run on one event loop, so that a slow action delays all other work of
    the process.
    """

    name: str = ""
    seconds: float = 0.0

    def record(self, action: Callable[[], None], seconds: float) -> None:
        """Record the duration of an action."""
        if seconds > self.seconds:
            self.name = get_action_name(action)
            self.seconds = seconds

    def pop(self) -> tuple[str, float]:
        """Return the name and the seconds of the slowest action, and reset both."""
        slowest = self.name, self.seconds
        self.name = ""
        self.seconds = 0.0
        return slowest


@define
class TimerService:
    """Runs functions once or periodically on a given clock.

    Production code awaits `run`; a test moves a `ManualClock` by calling
    `advance`, which runs the timers that become due, in order::

        timers = TimerService(ManualClock(), random.Random(1))
        timers.subscribe(1.0, refresh)
        timers.advance(3.0)

    With ``grid_s``, periodic timers with a period of at least ``grid_s`` run only at
    multiples of it, plus an offset. Timers that are due at nearly the same time then
    share one wake-up, which reduces the cost of an idle process. ``on_error`` is
    called after an action that raised an exception, ``slowest`` records the slowest
    action.
    """

    clock: Clock
    rng: random.Random
    on_error: Callable[[], None] = lambda: None
    grid_s: float = 0.0
    slowest: SlowestAction = field(factory=SlowestAction)
    # tuples, since they compare faster than objects
    _heap: list[tuple[float, int, Timer]] = field(factory=list)
    _sequence: itertools.count = field(factory=itertools.count)
    _wake: asyncio.Event | None = None
    _grid_offset_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Offset the grid at random, so that processes do not act at the same time."""
        self._grid_offset_s = self.rng.uniform(0.0, self.grid_s) if self.grid_s else 0.0

    def read(self) -> float:
        """Return the present time in seconds."""
        return self.clock.read()

    def subscribe(
        self, period_s: float, action: Callable[[], None], jitter: float = 0.0
    ) -> Timer:
        """Call ``action`` every ``period_s`` seconds, first after one period.

        Each interval is varied by a random fraction of up to ``jitter`` in
        both directions, so that nodes do not act at the same time.
        """
        return self._add(period_s, action, period_s, jitter)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> Timer:
        """Call ``action`` once, ``delay_s`` seconds from now."""
        return self._add(delay_s, action, 0.0, 0.0)

    def _add(
        self, delay_s: float, action: Callable[[], None], period_s: float, jitter: float
    ) -> Timer:
        due_s = self._compute_due_s(delay_s, period_s, jitter)
        timer = Timer(due_s, action, period_s, jitter)
        self._push(timer)
        return timer

    def _push(self, timer: Timer) -> None:
        heapq.heappush(self._heap, (timer.due_s, next(self._sequence), timer))
        if self._wake is not None and self._heap[0][-1] is timer:
            self._wake.set()

    def _compute_due_s(self, delay_s: float, period_s: float, jitter: float) -> float:
        now_s = self.read()
        due_s = now_s + self._apply_jitter(delay_s, jitter)
        if not self.grid_s or period_s < self.grid_s:
            return due_s
        steps = round((due_s - self._grid_offset_s) / self.grid_s)
        passed_steps = math.floor((now_s - self._grid_offset_s) / self.grid_s)
        return self._grid_offset_s + max(steps, passed_steps + 1) * self.grid_s

    def _apply_jitter(self, delay_s: float, jitter: float) -> float:
        if not jitter:
            return delay_s
        return delay_s * (1.0 + self.rng.uniform(-jitter, jitter))

    def run_due(self) -> float:
        """Run all due timers and return the seconds until the next one."""
        while self._heap and self._heap[0][0] <= self.read():
            timer = heapq.heappop(self._heap)[-1]
            if timer.active:
                self._run_timer(timer)
        if not self._heap:
            return math.inf
        return max(0.0, self._heap[0][0] - self.read())

    def _run_timer(self, timer: Timer) -> None:
        if timer.period_s:
            # counted from now, so that a process that was suspended runs each timer
            # once instead of all missed periods
            timer.due_s = self._compute_due_s(
                timer.period_s, timer.period_s, timer.jitter
            )
            self._push(timer)
        started_s = self.read()
        try:
            timer.action()
        except Exception:
            # a failed action must not stop the other timers
            logger.exception("a timer's action failed")
            self.on_error()
        self.slowest.record(timer.action, self.read() - started_s)

    def advance(self, seconds: float) -> None:
        """Advance a `ManualClock` and run all timers that become due."""
        end_s = self.clock.now_s + seconds
        while self._heap and self._heap[0][0] <= end_s:
            self.clock.now_s = max(self.clock.now_s, self._heap[0][0])
            self.run_due()
        self.clock.now_s = end_s

    async def run(self) -> None:
        """Run timers when they become due, until cancelled."""
        while True:
            wait_s = round_up_wait(self.run_due())
            self._wake = asyncio.Event()
            await self._wait(self._wake, wait_s)

    async def _wait(self, wake: asyncio.Event, wait_s: float) -> None:
        """Wait until ``wake`` is set, at the latest after ``wait_s`` seconds.

        This is cheaper than a cancel scope, which ends a wait by cancelling the task.
        """
        if math.isinf(wait_s):
            await wake.wait()
            return
        handle = asyncio.get_running_loop().call_later(wait_s, wake.set)
        try:
            await wake.wait()
        finally:
            handle.cancel()
