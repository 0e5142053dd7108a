"""Queue of the calls that wait for the local backend server."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from eelgrassmount.relay.job import Job


@define(eq=False, repr=False)
class CallQueue:
    """Jobs in the order of their due times."""

    _jobs: set[Job] = field(factory=set)
    _heap: list[tuple[float, int, Job]] = field(factory=list)
    _by_priority: dict[int, int] = field(factory=dict)
    _numbers: itertools.count[int] = field(factory=itertools.count)

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._jobs)

    def push(self, job: Job, due_s: float) -> None:
        """Add a job that is due at a time."""
        heapq.heappush(self._heap, (due_s, next(self._numbers), job))
        self._jobs.add(job)
        self._count(job, 1)

    def pop(self) -> Job | None:
        """Remove the job that is due first and return it, ``None`` if there is none."""
        while self._heap:
            job = heapq.heappop(self._heap)[-1]
            # Removed jobs stay in the heap until they come first.
            if self.remove(job):
                return job
        return None

    def remove(self, job: Job) -> bool:
        """Remove a job; return whether it was waiting."""
        if job not in self._jobs:
            return False
        self._jobs.remove(job)
        self._count(job, -1)
        return True

    def list_jobs(self) -> list[Job]:
        """Return all waiting jobs, the one that is due first first."""
        return [job for *_, job in sorted(self._heap) if job in self._jobs]

    def count_ahead(self, priority: int) -> int:
        """Return the number of waiting jobs of this priority or a more urgent one."""
        return sum(count for one, count in self._by_priority.items() if one <= priority)

    def _count(self, job: Job, change: int) -> None:
        priority = job.call.origin.priority
        self._by_priority[priority] = self._by_priority.get(priority, 0) + change
