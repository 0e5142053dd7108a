"""Calls on connections to the local backend server that have broken."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from eelgrassmount.relay.job import Job

# Calls on connections that break this long before the server becomes unreachable are
# suspected of crashing it.
CRASH_WINDOW_S = 1.0


@define(eq=False, repr=False)
class BrokenConnections:
    """The calls whose connections broke within the last `CRASH_WINDOW_S`."""

    _jobs: list[tuple[float, Job]] = field(factory=list)

    def add(self, job: Job, now_s: float) -> None:
        """Record that the connection of a call has broken."""
        self._jobs.append((now_s, job))

    def discard_old(self, now_s: float) -> None:
        """Drop the calls whose connections broke earlier."""
        self._jobs = [one for one in self._jobs if now_s - one[0] < CRASH_WINDOW_S]

    def pop_all(self, now_s: float) -> list[Job]:
        """Return the recent calls, and forget them."""
        self.discard_old(now_s)
        found = [job for _, job in self._jobs]
        self._jobs.clear()
        return found
