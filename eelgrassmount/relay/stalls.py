"""Detection of stalls of the event loop."""

from __future__ import annotations

import resource
import time
from typing import TYPE_CHECKING

from attrs import define, field, frozen
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# Shorter stalls are ignored. Below the time after which other nodes avoid a silent
# node.
MIN_STALL_S = 0.2
# Limits log lines, not the counter.
MIN_LOG_INTERVAL_S = 1.0


@frozen
class ProcessTimes:
    """The clocks of a process, in seconds.

    ``steady_s`` excludes the time for which the VM was suspended, ``boot_s`` includes
    it. ``cpu_s`` is the processor time of the process, ``switches`` the number of its
    involuntary context switches.
    """

    steady_s: float
    boot_s: float
    cpu_s: float
    switches: int


def read_process_times() -> ProcessTimes:
    """Read the clocks of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return ProcessTimes(
        time.monotonic(),
        time.clock_gettime(time.CLOCK_BOOTTIME),
        usage.ru_utime + usage.ru_stime,
        usage.ru_nivcsw,
    )


@define(eq=False, repr=False)
class StallWatch:
    """Logs and counts stalls of the event loop.

    The log line separates a busy process (``cpu_s`` close to ``stalled_s``) from a VM
    that was paused (``cpu_s`` close to zero), which look alike to other nodes.
    ``action`` names the slowest timer action since the last check, empty if none ran::

        watch = StallWatch(0.1, read_process_times, take_slowest, metrics.count_stall)
        timers.subscribe(0.1, watch.check)
    """

    period_s: float
    read_times: Callable[[], ProcessTimes]
    take_slowest: Callable[[], tuple[str, float]]
    count: Callable[[float], None]
    _previous: ProcessTimes = field(init=False)
    _logged_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Read the clocks for the first check."""
        self._previous = self.read_times()

    def check(self) -> None:
        """Compare the clocks with those of the last check, one period ago."""
        previous = self._previous
        now = self._previous = self.read_times()
        action, action_s = self.take_slowest()
        stalled_s = max(0.0, now.steady_s - previous.steady_s - self.period_s)
        suspended_s = now.boot_s - previous.boot_s - (now.steady_s - previous.steady_s)
        if max(stalled_s, suspended_s) < MIN_STALL_S:
            return
        self.count(stalled_s)
        if now.steady_s - self._logged_s < MIN_LOG_INTERVAL_S:
            return
        self._logged_s = now.steady_s
        logger.warning(
            "node stalled",
            stalled_s=round(stalled_s, 3),
            suspended_s=round(suspended_s, 3),
            cpu_s=round(now.cpu_s - previous.cpu_s, 3),
            switches=now.switches - previous.switches,
            action=action,
            action_s=round(action_s, 3),
        )
