"""The admission threshold of one backend server."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from eelgrassmount.context import PRIORITY_LEVELS
from eelgrassmount.load.state import FULL_THRESHOLD

THRESHOLD_PERIOD_S = 0.1
# after refused-last calls had to be refused, refused-first ones stay shut out
# until no node can still act on what it heard then
TIER_HOLD_S = 0.6

_BUCKETS = 64
_BUCKET = FULL_THRESHOLD // _BUCKETS
_MEMORY_S = 1.0

_QUEUE_TARGET = 0.5
_QUEUE_GAIN = 0.04
# a queue much too long weighs up to so many times as much as an empty one
_MOST_EXCESS = 2.0
# how many periods ahead the queue is foreseen from its present change
_FORESIGHT_PERIODS = 1.0
_LEAST_FACTOR = 0.5
_LEAST_STEP = FULL_THRESHOLD / 500.0
_MOST_STEP = FULL_THRESHOLD / 8.0
# the density of calls is taken from so many ranks below the threshold
_DENSITY_RANKS = 128
# calls are nowhere taken to lie thinner than this part of the mean
_MOST_SPARSE = 1.5
# with slots to spare the threshold opens the faster the longer that lasts
_OPENING_GAIN = 0.05
_OPENING_GAIN_STEP = 0.03
_MOST_OPENING_GAIN = 0.4
_MUCH_SPARE = 0.35
_MUCH_SPARE_PERIODS = 2


@frozen
class Observation:
    """What a gate saw in one period.

    ``waiting`` is the mean number of calls in the queue with a rank below the
    threshold, ``waiting_last`` that of refused-last ones. ``refused`` counts the
    calls below the threshold that were refused for want of room.
    """

    ranks: tuple[int, ...]
    refused: int
    waiting: float
    in_flight: float
    limit: int
    waiting_last: float = 0.0
    refused_last: bool = False


@define
class Period:
    """What a gate counts in one period."""

    ranks: list[int] = field(factory=list)
    refused: int = 0
    refused_last: bool = False
    waiting: int = 0
    waiting_last: int = 0
    in_flight: int = 0
    looks: int = 0

    def observe(self, waiting: int, waiting_last: int, in_flight: int) -> None:
        """Take one look at the queue and the server."""
        self.waiting += waiting
        self.waiting_last += waiting_last
        self.in_flight += in_flight
        self.looks += 1

    def summarise(self, limit: int) -> Observation:
        """Return the period as a whole."""
        looks = max(self.looks, 1)
        return Observation(
            ranks=tuple(self.ranks),
            refused=self.refused,
            waiting=self.waiting / looks,
            in_flight=self.in_flight / looks,
            limit=limit,
            waiting_last=self.waiting_last / looks,
            refused_last=self.refused_last,
        )


@define
class ThresholdState:
    """The threshold and the ranks of the calls that came lately."""

    threshold: float = FULL_THRESHOLD
    hold_until_s: float = -math.inf
    calm_periods: int = 0
    waiting: float = 0.0
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
    state.waiting = seen.waiting
    threshold = move_threshold(state, factor)
    if state.threshold >= PRIORITY_LEVELS and not _is_short_of_last(seen):
        threshold = max(threshold, PRIORITY_LEVELS)
    if threshold < PRIORITY_LEVELS or seen.refused_last:
        state.hold_until_s = now_s + TIER_HOLD_S
    if now_s < state.hold_until_s:
        threshold = min(threshold, PRIORITY_LEVELS)
    state.threshold = threshold


def _compute_queue_target(seen: Observation) -> float:
    return max(1.0, _QUEUE_TARGET * seen.limit)


def _is_short_of_last(seen: Observation) -> bool:
    # refused-last calls alone are too many
    return seen.refused_last or seen.waiting_last > _compute_queue_target(seen)


def _remember(state: ThresholdState, seen: Observation) -> None:
    fade = math.exp(-THRESHOLD_PERIOD_S / _MEMORY_S)
    state.histogram = [count * fade for count in state.histogram]
    for rank in seen.ranks:
        state.histogram[min(rank // _BUCKET, _BUCKETS - 1)] += 1.0


def compute_factor(state: ThresholdState, seen: Observation) -> float:
    """Return the factor by which the number of admitted calls should change."""
    arrived = sum(rank < state.threshold for rank in seen.ranks)
    spare = 1.0 - seen.in_flight / max(seen.limit, 1)
    calm = not seen.refused and seen.waiting < 1.0 and spare > 0
    periods = _MUCH_SPARE_PERIODS if spare > _MUCH_SPARE else 1
    state.calm_periods = state.calm_periods + periods if calm else 0
    if seen.refused and arrived:
        return max(_LEAST_FACTOR, 1.0 - seen.refused / arrived)
    if calm:
        gain = _OPENING_GAIN + _OPENING_GAIN_STEP * state.calm_periods
        return 1.0 + min(gain, _MOST_OPENING_GAIN) * spare
    return 1.0 + _QUEUE_GAIN * _measure_error(state, seen)


def _measure_error(state: ThresholdState, seen: Observation) -> float:
    target = _compute_queue_target(seen)
    change = seen.waiting - state.waiting
    foreseen = max(0.0, seen.waiting + _FORESIGHT_PERIODS * change)
    return max((target - foreseen) / target, -_MOST_EXCESS)


def move_threshold(state: ThresholdState, factor: float) -> float:
    """Return the threshold below which ``factor`` times as many calls lie."""
    below = count_below(state, state.threshold)
    if factor >= 1.0:
        return min(state.threshold + _find_step(state, below, factor), FULL_THRESHOLD)
    wanted = below * factor
    # few calls leave gaps between them that mean nothing
    lowest = state.threshold * max(0.0, 1.0 - _MOST_SPARSE * (1.0 - factor))
    threshold = state.threshold
    while threshold > lowest and count_below(state, threshold) > wanted:
        threshold -= _BUCKET / 4
    return max(threshold, lowest)


def _find_step(state: ThresholdState, below: float, factor: float) -> float:
    """Return how far to open; what lies above is refused elsewhere and not seen.

    The calls above are taken to lie as densely as those just below, but at a
    tier's border nothing is known of the next tier.
    """
    base = PRIORITY_LEVELS if state.threshold > PRIORITY_LEVELS else 0
    ranks = min(state.threshold - base, _DENSITY_RANKS)
    near = below - count_below(state, state.threshold - ranks) if ranks else 0.0
    near = max(near, below * ranks / state.threshold / _MOST_SPARSE)
    least = _LEAST_STEP * (1 + state.calm_periods)
    if state.threshold == PRIORITY_LEVELS or not near:
        return min(least, _MOST_STEP)
    step = (factor - 1.0) * below / near * ranks
    return min(max(step, least), _MOST_STEP)


def count_below(state: ThresholdState, threshold: float) -> float:
    """Return how many of the recent calls lie below a threshold."""
    full = int(threshold // _BUCKET)
    count = sum(state.histogram[:full])
    if full < _BUCKETS:
        count += state.histogram[full] * (threshold - full * _BUCKET) / _BUCKET
    return count
