"""The admission threshold of one backend server."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from eelgrassmount.context import PRIORITY_LEVELS
from eelgrassmount.load.state import FULL_THRESHOLD

THRESHOLD_PERIOD_S = 0.1
# after refused-last calls had to be refused, refused-first ones stay shut out
# until no node can still act on what it heard then
TIER_HOLD_S = 0.5

_BUCKETS = 64
_BUCKET = FULL_THRESHOLD // _BUCKETS
_MEMORY_S = 1.0

_QUEUE_TARGET = 0.25
_QUEUE_GAIN = 0.1
_REOPENING = 1.25
_LEAST_FACTOR = 0.5
_LEAST_STEP = FULL_THRESHOLD / 100.0
_BUSY = 0.9


@frozen
class Observation:
    """What a gate saw in one period.

    ``waiting`` is the mean number of calls in the queue with a rank below the
    threshold. ``refused`` counts those below the threshold that were refused for
    want of room.
    """

    ranks: tuple[int, ...]
    refused: int
    waiting: float
    in_flight: int
    limit: int
    refused_last: bool = False


@define
class ThresholdState:
    """The threshold and the ranks of the calls that came lately."""

    threshold: float = FULL_THRESHOLD
    hold_until_s: float = -math.inf
    histogram: list[float] = field(factory=lambda: [0.0] * _BUCKETS)

    @property
    def advertised(self) -> int:
        """Return the threshold as other nodes are told."""
        return round(self.threshold)


def adjust_threshold(state: ThresholdState, seen: Observation, now_s: float) -> None:
    """Move the threshold once for each period.

    The number of calls admitted is cut by the fraction that had to be
    refused, or corrected by how far the queue is from a short one that
    keeps the server busy. The histogram of ranks turns that number into a
    threshold.
    """
    _remember(state, seen)
    factor = compute_factor(state, seen)
    threshold = move_threshold(state, factor)
    if threshold < PRIORITY_LEVELS or seen.refused_last:
        state.hold_until_s = now_s + TIER_HOLD_S
    if now_s < state.hold_until_s:
        threshold = min(threshold, PRIORITY_LEVELS)
    state.threshold = threshold


def _remember(state: ThresholdState, seen: Observation) -> None:
    fade = math.exp(-THRESHOLD_PERIOD_S / _MEMORY_S)
    state.histogram = [count * fade for count in state.histogram]
    for rank in seen.ranks:
        state.histogram[min(rank // _BUCKET, _BUCKETS - 1)] += 1.0


def compute_factor(state: ThresholdState, seen: Observation) -> float:
    """Return the factor by which the number of admitted calls should change."""
    arrived = sum(rank < state.threshold for rank in seen.ranks)
    if seen.refused and arrived:
        return max(_LEAST_FACTOR, 1.0 - seen.refused / arrived)
    if not seen.waiting and seen.in_flight < seen.limit * _BUSY:
        return _REOPENING
    target = max(1.0, _QUEUE_TARGET * seen.limit)
    error = min(max((target - seen.waiting) / target, -1.0), 1.0)
    return 1.0 + _QUEUE_GAIN * error


def move_threshold(state: ThresholdState, factor: float) -> float:
    """Return the threshold below which ``factor`` times as many calls lie."""
    below = count_below(state, state.threshold)
    if factor >= 1.0:
        # what lies above is not seen, since it is refused where it enters
        step = (factor - 1.0) * state.threshold
        return min(state.threshold + max(step, _LEAST_STEP), FULL_THRESHOLD)
    wanted = below * factor
    if not below:
        return state.threshold * factor
    threshold = state.threshold
    while threshold > 0 and count_below(state, threshold) > wanted:
        threshold -= _BUCKET / 4
    return max(threshold, 0.0)


def count_below(state: ThresholdState, threshold: float) -> float:
    """Return how many of the recent calls lie below a threshold."""
    full = int(threshold // _BUCKET)
    count = sum(state.histogram[:full])
    if full < _BUCKETS:
        count += state.histogram[full] * (threshold - full * _BUCKET) / _BUCKET
    return count
