"""Queue of calls that wait for a slot of the backend server."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.context import PRIORITY_LEVELS, Tier
from eelgrassmount.load.state import FULL_THRESHOLD, rank_call

if TYPE_CHECKING:
    from eelgrassmount.context import Context
    from eelgrassmount.verdict import NotRun

MIN_QUEUE_CAPACITY = 4
_CAPACITY_FACTOR = 2
# Calls within a band of ranks are ordered by age.
_RANKS_PER_BAND = PRIORITY_LEVELS // 8
_BANDS = FULL_THRESHOLD // _RANKS_PER_BAND


@define(eq=False)
class WaitingCall:
    """A call in the queue.

    ``done`` is set when the call has been admitted or, with ``refusal``, refused.
    """

    context: Context
    rank: int
    arrived_s: float
    done: anyio.Event = field(factory=anyio.Event)
    admitted: bool = False
    refusal: NotRun | None = None

    @property
    def tier(self) -> Tier:
        """Return the tier of the call."""
        return self.context.tier


@define
class WaitingQueue:
    """Calls ordered by tier, priority band and age.

    The caller takes the oldest call of a band first, or the newest one if the queue has
    been nonempty for long: then the oldest calls would miss their deadlines.
    """

    size: int = 0
    nonempty_since_s: float = 0.0
    _bands: list[deque[WaitingCall]] = field(
        factory=lambda: [deque() for _ in range(_BANDS)]
    )

    def __len__(self) -> int:
        return self.size

    def push(self, waiting: WaitingCall) -> None:
        """Add a call."""
        if not self.size:
            self.nonempty_since_s = waiting.arrived_s
        self._bands[waiting.rank // _RANKS_PER_BAND].append(waiting)
        self.size += 1

    def remove(self, waiting: WaitingCall) -> bool:
        """Remove a call and return whether it was in the queue."""
        band = self._bands[waiting.rank // _RANKS_PER_BAND]
        if waiting not in band:
            return False
        band.remove(waiting)
        self.size -= 1
        return True

    def pop_next(self, newest_first: bool) -> WaitingCall | None:
        """Remove and return the call to start next, ``None`` if the queue is empty."""
        for band in self._bands:
            if band:
                self.size -= 1
                return band.pop() if newest_first else band.popleft()
        return None

    def find_least_urgent(self) -> WaitingCall | None:
        """Return the call to refuse first, ``None`` if the queue is empty."""
        for band in reversed(self._bands):
            if band:
                return max(band, key=lambda waiting: waiting.rank)
        return None

    def list_calls(self) -> list[WaitingCall]:
        """Return all calls, ordered by band from refused-last to refused-first."""
        return [waiting for band in self._bands for waiting in band]

    def count_below(self, threshold: int) -> int:
        """Return how many calls have a rank below a threshold."""
        full, rest = divmod(threshold, _RANKS_PER_BAND)
        count = sum(map(len, self._bands[:full]))
        if rest:
            count += sum(waiting.rank < threshold for waiting in self._bands[full])
        return count

    def count_ahead(self, rank: int) -> int:
        """Return how many calls go before a new call of this rank."""
        return sum(map(len, self._bands[: rank // _RANKS_PER_BAND + 1]))

    def compute_standing_s(self, now_s: float) -> float:
        """Return for how many seconds the queue has been nonempty."""
        return now_s - self.nonempty_since_s if self.size else 0.0


def make_waiting_call(context: Context, now_s: float) -> WaitingCall:
    """Return the queue entry of a call."""
    return WaitingCall(context, rank_call(context.tier, context.priority), now_s)


def compute_queue_capacity(limit: int) -> int:
    """Return how many calls may wait at this concurrency limit."""
    return max(MIN_QUEUE_CAPACITY, _CAPACITY_FACTOR * limit)
