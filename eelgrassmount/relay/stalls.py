"""Pauses of the event loop, and whether the node or its VM caused them."""

from __future__ import annotations

import resource
import time
from typing import TYPE_CHECKING

from attrs import define, field, frozen
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# other nodes soon send no more calls to one that is silent: a line before that comes in
# time to explain it
STALL_S = 0.2
# lines are at least so far apart; the counter has all stalls
LINE_S = 1.0


@frozen
class ProcessTimes:
    """The clocks of a process, in seconds.

    ``steady_s`` does not count the time for which the VM was suspended and
    ``boot_s`` does; ``cpu_s`` counts what the process used, and ``switches`` how
    often it had to give the processor up.
    """

    steady_s: float
    boot_s: float
    cpu_s: float
    switches: int


def read_process_times() -> ProcessTimes:
    """Return the clocks of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return ProcessTimes(
        time.monotonic(),
        time.clock_gettime(time.CLOCK_BOOTTIME),
        usage.ru_utime + usage.ru_stime,
        usage.ru_nivcsw,
    )


@define(eq=False)
class StallWatch:
    """Says when the event loop stood still, and what the process did meanwhile.

    A node that is silent because it works (``cpu_s`` nearly as long as
    ``stalled_s``) and one whose VM was held up (``cpu_s`` near zero) look alike to
    the other nodes. ``action`` names the timer's action that took longest in the
    time, empty when none ran::

        watch = StallWatch(0.1, read_process_times, take_slowest, metrics.count_stall)
        timers.subscribe(0.1, watch.check)
    """

    period_s: float
    read_times: Callable[[], ProcessTimes]
    take_slowest: Callable[[], tuple[str, float]]
    count: Callable[[float], None]
    _before: ProcessTimes = field(init=False)
    _line_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Begin to watch."""
        self._before = self.read_times()

    def check(self) -> None:
        """Compare the clocks with those of the last time, one period ago."""
        before = self._before
        now = self._before = self.read_times()
        action, action_s = self.take_slowest()
        stalled_s = max(0.0, now.steady_s - before.steady_s - self.period_s)
        suspended_s = now.boot_s - before.boot_s - (now.steady_s - before.steady_s)
        if max(stalled_s, suspended_s) < STALL_S:
            return
        self.count(stalled_s)
        if now.steady_s - self._line_s < LINE_S:
            return
        self._line_s = now.steady_s
        logger.warning(
            "node stalled",
            stalled_s=round(stalled_s, 3),
            suspended_s=round(suspended_s, 3),
            cpu_s=round(now.cpu_s - before.cpu_s, 3),
            switches=now.switches - before.switches,
            action=action,
            action_s=round(action_s, 3),
        )
