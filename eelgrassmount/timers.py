"""A timer service that controllers subscribe to."""

from __future__ import annotations

import heapq
import itertools
import math
import time
from typing import TYPE_CHECKING, Protocol

import anyio
from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    import random
    from collections.abc import Callable


# an event loop's clock counts whole milliseconds, and a wait that ends between two is
# looked at anew, without a pause, until it has ended
LOOP_TICK_S = 0.001
# taken off a wait of whole ticks, so that its end is not missed by a rounding error
TICK_MARGIN_S = LOOP_TICK_S / 100


def round_wait(wait_s: float) -> float:
    """Return a wait in seconds, made longer to end where the loop's clock moves."""
    if math.isinf(wait_s):
        return wait_s
    ticks = math.floor(wait_s / LOOP_TICK_S) + 1
    return ticks * LOOP_TICK_S - TICK_MARGIN_S


class Clock(Protocol):
    """A monotonic clock, in seconds from an arbitrary start."""

    def read(self) -> float:
        """Return the present time in seconds."""


class MonotonicClock:
    """The clock of the operating system; it never goes back."""

    def read(self) -> float:
        """Return the present time in seconds."""
        return time.monotonic()


@define
class ManualClock:
    """A clock for tests, which only moves when told to."""

    now_s: float = 1000.0

    def read(self) -> float:
        """Return the present time in seconds."""
        return self.now_s


@define(eq=False)
class Timer:
    """One subscription; ``cancel`` ends it."""

    due_s: float
    action: Callable[[], None]
    period_s: float = 0.0
    jitter: float = 0.0
    active: bool = True

    def cancel(self) -> None:
        """End the subscription."""
        self.active = False


def name_action(action: Callable[[], None]) -> str:
    """Return the name of an action.

    Its representation will not do: that of a method holds the state of its object,
    which takes long to write out.
    """
    return getattr(action, "__qualname__", type(action).__name__)


@define(eq=False)
class SlowestAction:
    """Keeps the action of a timer that took longest since it was last asked for.

    All actions run on one event loop, so that one that takes long holds up all
    else that the process does.
    """

    name: str = ""
    seconds: float = 0.0

    def record(self, action: Callable[[], None], seconds: float) -> None:
        """Take up how long an action took."""
        if seconds > self.seconds:
            self.name = name_action(action)
            self.seconds = seconds

    def pop(self) -> tuple[str, float]:
        """Return the name of the slowest action and its seconds, and begin anew."""
        found = self.name, self.seconds
        self.name = ""
        self.seconds = 0.0
        return found


@define
class TimerService:
    """Runs functions once or periodically on a given clock.

    Production code awaits `run`; a test moves a `ManualClock` by calling
    `advance`, which runs what falls due on the way, in order::

        timers = TimerService(ManualClock(), random.Random(1))
        timers.subscribe(1.0, refresh)
        timers.advance(3.0)

    With ``grid_s``, periodic timers whose period is not shorter fall due on a
    common grid of so many seconds: most of what an idle process costs is waking
    up, so what is due at nearly the same time is done in one go. ``slowest`` hears
    how long each action took.
    """

    clock: Clock
    rng: random.Random
    note_error: Callable[[], None] = lambda: None
    grid_s: float = 0.0
    slowest: SlowestAction = field(factory=SlowestAction)
    # tuples, since comparing them is most of the work of an idle node
    _heap: list[tuple[float, int, Timer]] = field(factory=list)
    _order: itertools.count = field(factory=itertools.count)
    _wake: anyio.Event | None = None
    _phase_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Give each process a grid of its own, so that many do not act in step."""
        self._phase_s = self.rng.uniform(0.0, self.grid_s) if self.grid_s else 0.0

    def read(self) -> float:
        """Return the present time in seconds."""
        return self.clock.read()

    def subscribe(
        self, period_s: float, action: Callable[[], None], jitter: float = 0.0
    ) -> Timer:
        """Call ``action`` every ``period_s`` seconds, from one period on.

        Each interval is varied by a random fraction of up to ``jitter`` in
        both directions, so that many nodes do not act in step.
        """
        return self._add(period_s, action, period_s, jitter)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> Timer:
        """Call ``action`` once, ``delay_s`` seconds from now."""
        return self._add(delay_s, action, 0.0, 0.0)

    def _add(
        self, delay_s: float, action: Callable[[], None], period_s: float, jitter: float
    ) -> Timer:
        due_s = self._find_due(delay_s, period_s, jitter)
        timer = Timer(due_s, action, period_s, jitter)
        self._push(timer)
        return timer

    def _push(self, timer: Timer) -> None:
        heapq.heappush(self._heap, (timer.due_s, next(self._order), timer))
        if self._wake is not None and self._heap[0][-1] is timer:
            self._wake.set()

    def _find_due(self, delay_s: float, period_s: float, jitter: float) -> float:
        now_s = self.read()
        due_s = now_s + self._vary(delay_s, jitter)
        if not self.grid_s or period_s < self.grid_s:
            return due_s
        steps = round((due_s - self._phase_s) / self.grid_s)
        passed = math.floor((now_s - self._phase_s) / self.grid_s)
        return self._phase_s + max(steps, passed + 1) * self.grid_s

    def _vary(self, delay_s: float, jitter: float) -> float:
        if not jitter:
            return delay_s
        return delay_s * (1.0 + self.rng.uniform(-jitter, jitter))

    def run_due(self) -> float:
        """Run all that is due and return the seconds until the next timer."""
        while self._heap and self._heap[0][0] <= self.read():
            timer = heapq.heappop(self._heap)[-1]
            if timer.active:
                self._fire(timer)
        if not self._heap:
            return math.inf
        return max(0.0, self._heap[0][0] - self.read())

    def _fire(self, timer: Timer) -> None:
        if timer.period_s:
            # from now, not from when it was due: a frozen process that wakes
            # runs each timer once instead of catching up
            timer.due_s = self._find_due(timer.period_s, timer.period_s, timer.jitter)
            self._push(timer)
        begun_s = self.read()
        try:
            timer.action()
        except Exception:
            # one faulty action must not stop the others
            logger.exception("a timer's action failed")
            self.note_error()
        self.slowest.record(timer.action, self.read() - begun_s)

    def advance(self, seconds: float) -> None:
        """Move a `ManualClock` on, running all timers that fall due on the way."""
        end_s = self.clock.now_s + seconds
        while self._heap and self._heap[0][0] <= end_s:
            self.clock.now_s = max(self.clock.now_s, self._heap[0][0])
            self.run_due()
        self.clock.now_s = end_s

    async def run(self) -> None:
        """Run timers as they fall due, until cancelled."""
        while True:
            wait_s = round_wait(self.run_due())
            self._wake = anyio.Event()
            with anyio.move_on_after(wait_s):
                await self._wake.wait()
