"""Decides how long and in which order requests wait for calls that they may cause.

Where the last service of a call chain is overloaded in short bursts, a request that is
refused at once is lost, although the next tokens come within a small part of its
objective. Requests wait for them only while a run of the usual length is still in time.
"""

from __future__ import annotations

import math
from enum import Enum, IntEnum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

# Longest wait, as a share of the route's objective.
MAX_ENTRY_WAIT_SHARE = 0.125
# Usual path time of a route without answers yet, as a share of its objective.
UNKNOWN_PATH_SHARE = 0.5
# Limits of the requests that wait at one node.
MAX_WAITING_REQUESTS = 64
MAX_WAITING_BYTES = 4 * 1024 * 1024


class Visit(Enum):
    """Whether a client is new or returns, and when.

    ``RETURNING`` and ``UNFAVORED`` clients return when refused ones are told to; the
    latter are not among those that may precede new ones. ``EARLY`` and ``LATE`` clients
    return before and after that time.
    """

    NEW = 0
    RETURNING = 1
    EARLY = 2
    UNFAVORED = 3
    LATE = 4

    @property
    def is_timely(self) -> bool:
        """Return whether a client returns when refused ones are told to."""
        return self in (Visit.RETURNING, Visit.UNFAVORED)


class Place(IntEnum):
    """Place of a request within its rank, the first one first."""

    RETURNING = 0
    NEW = 1
    UNFAVORED = 2


@frozen
class RequestTimes:
    """The times of a request in seconds on the node's clock.

    ``elapsed_s`` is the time between the first attempt of its client and ``arrived_s``,
    ``path_s`` the time that a request of its route usually takes once it has started.
    ``longest_return_s`` is the longest time after its first attempt at which a refused
    client returns.
    """

    arrived_s: float
    elapsed_s: float
    deadline_s: float
    objective_s: float
    path_s: float
    longest_return_s: float = math.inf

    def find_latest_start_s(self) -> float:
        """Return until when the request can start and be in time.

        The objective counts from the first attempt of the client::

            times = RequestTimes(100.0, 0.5, 103.0, objective_s=1.5, path_s=0.4)
            times.find_latest_start_s()  # 100.6
        """
        in_time_s = self.arrived_s - self.elapsed_s + self.objective_s
        return min(in_time_s, self.deadline_s) - self.path_s

    def can_be_in_time(self) -> bool:
        """Return whether the request could be in time if it started on its arrival."""
        return self.find_latest_start_s() >= self.arrived_s

    def find_return_start_s(self) -> float:
        """Return from when on the request may start if its client returns.

        It does not depend on the arrival, so that a client gains nothing by returning
        earlier than others that made their first attempt at the same time::

            times = RequestTimes(100.8, 0.8, 105.0, objective_s=1.6, path_s=0.4)
            times.find_return_start_s()  # 101.0
        """
        wait_s = MAX_ENTRY_WAIT_SHARE * self.objective_s
        longest_s = self.arrived_s - self.elapsed_s + self.longest_return_s
        return min(longest_s, self.find_latest_start_s() - wait_s)

    def find_wait_end_s(self, visit: Visit = Visit.NEW) -> float:
        """Return when the longest useful wait of the request ends."""
        start_s = self.find_return_start_s() if visit.is_timely else self.arrived_s
        wait_end_s = start_s + MAX_ENTRY_WAIT_SHARE * self.objective_s
        return min(wait_end_s, self.find_latest_start_s())


def choose_place(visit: Visit, times: RequestTimes) -> Place:
    """Return the place within its rank of a request.

    Clients that return when they were told to precede new ones, if they can be in time.
    """
    if visit is Visit.RETURNING and times.can_be_in_time():
        return Place.RETURNING
    return Place.UNFAVORED if visit is Visit.UNFAVORED else Place.NEW


def choose_displaced(
    sizes: Iterable[int], waiting_bytes: int, new_bytes: int, less_urgent: int
) -> int | None:
    """Return how many of the least urgent requests make room for a new one.

    ``sizes`` are those of the waiting requests, the least urgent one first; only the
    first ``less_urgent`` of them may be displaced. ``None`` if that isn't enough.
    """
    found = list(sizes)
    if new_bytes > MAX_WAITING_BYTES:
        return None
    displaced = max(0, len(found) + 1 - MAX_WAITING_REQUESTS)
    remaining = waiting_bytes - sum(found[:displaced])
    while remaining + new_bytes > MAX_WAITING_BYTES:
        remaining -= found[displaced]
        displaced += 1
    return displaced if displaced <= less_urgent else None
