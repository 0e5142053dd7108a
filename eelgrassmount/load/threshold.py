"""Controls the admission threshold of a backend server."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from eelgrassmount.context import PRIORITY_LEVELS
from eelgrassmount.load.state import FULL_THRESHOLD

THRESHOLD_INTERVAL_S = 0.1
# After a refused-last call was refused, refused-first calls are blocked until no node
# still uses the load reported at that time.
TIER_HOLD_S = 0.6

_BUCKETS = 64
_RANKS_PER_BUCKET = FULL_THRESHOLD // _BUCKETS
_HISTOGRAM_DECAY_S = 1.0

_QUEUE_TARGET_SHARE = 0.5
_QUEUE_GAIN = 0.04
# Bound of the error of an overlong queue, relative to that of an empty one.
_MAX_QUEUE_ERROR = 2.0
# Periods by which the change of the queue is extrapolated.
_LOOKAHEAD_PERIODS = 1.0
_MIN_FACTOR = 0.5
_MIN_STEP = FULL_THRESHOLD / 500.0
_MAX_STEP = FULL_THRESHOLD / 8.0
# Ranks below the threshold from which the density of calls is estimated.
_DENSITY_RANKS = 128
# Calls are assumed to be at most this factor sparser than on average.
_MAX_SPARSITY = 1.5
# The threshold rises faster the longer slots stay free.
_INCREASE_GAIN = 0.05
_INCREASE_GAIN_PER_PERIOD = 0.03
_MAX_INCREASE_GAIN = 0.4
_HIGH_SPARE_SHARE = 0.35
_HIGH_SPARE_PERIODS = 2


@frozen
class Observation:
    """Summary of a control period of the dispatcher.

    ``waiting`` is the mean number of queued calls with a rank below the threshold,
    ``waiting_last`` that of refused-last calls. ``refused`` counts the calls below the
    threshold that were refused for lack of capacity.
    """

    ranks: tuple[int, ...]
    refused: int
    waiting: float
    in_flight: float
    limit: int
    waiting_last: float = 0.0
    refused_last: bool = False


@define
class PeriodCounts:
    """Counts of the dispatcher in a control period."""

    ranks: list[int] = field(factory=list)
    refused: int = 0
    refused_last: bool = False
    waiting: int = 0
    waiting_last: int = 0
    in_flight: int = 0
    samples: int = 0

    def observe(self, waiting: int, waiting_last: int, in_flight: int) -> None:
        """Add a sample of the queue and the server."""
        self.waiting += waiting
        self.waiting_last += waiting_last
        self.in_flight += in_flight
        self.samples += 1

    def summarize(self, limit: int) -> Observation:
        """Return the summary of the period."""
        samples = max(self.samples, 1)
        return Observation(
            ranks=tuple(self.ranks),
            refused=self.refused,
            waiting=self.waiting / samples,
            in_flight=self.in_flight / samples,
            limit=limit,
            waiting_last=self.waiting_last / samples,
            refused_last=self.refused_last,
        )


@define
class ThresholdState:
    """The threshold and a decaying histogram of the ranks of recent calls."""

    threshold: float = FULL_THRESHOLD
    hold_until_s: float = -math.inf
    underused_periods: int = 0
    waiting: float = 0.0
    histogram: list[float] = field(factory=lambda: [0.0] * _BUCKETS)

    @property
    def advertised(self) -> int:
        """Return the threshold that is sent to other nodes."""
        return round(self.threshold)


def adjust_threshold(
    state: ThresholdState, observation: Observation, now_s: float
) -> None:
    """Adjust the threshold at the end of a control period.

    The number of admitted calls is reduced by the fraction that was refused, or
    corrected by the distance of the queue from its target length. The histogram of
    ranks converts this number into a threshold.
    """
    _update_histogram(state, observation)
    factor = compute_factor(state, observation)
    state.waiting = observation.waiting
    threshold = scale_threshold(state, factor)
    if state.threshold >= PRIORITY_LEVELS and not _is_last_tier_overloaded(observation):
        threshold = max(threshold, PRIORITY_LEVELS)
    if threshold < PRIORITY_LEVELS or observation.refused_last:
        state.hold_until_s = now_s + TIER_HOLD_S
    if now_s < state.hold_until_s:
        threshold = min(threshold, PRIORITY_LEVELS)
    state.threshold = threshold


def _compute_queue_target(observation: Observation) -> float:
    return max(1.0, _QUEUE_TARGET_SHARE * observation.limit)


def _is_last_tier_overloaded(observation: Observation) -> bool:
    # Refused-last calls alone exceed the capacity.
    return observation.refused_last or observation.waiting_last > _compute_queue_target(
        observation
    )


def _update_histogram(state: ThresholdState, observation: Observation) -> None:
    decay = math.exp(-THRESHOLD_INTERVAL_S / _HISTOGRAM_DECAY_S)
    state.histogram = [count * decay for count in state.histogram]
    for rank in observation.ranks:
        state.histogram[min(rank // _RANKS_PER_BUCKET, _BUCKETS - 1)] += 1.0


def compute_factor(state: ThresholdState, observation: Observation) -> float:
    """Return the factor by which the number of admitted calls should change."""
    arrived = sum(rank < state.threshold for rank in observation.ranks)
    spare = 1.0 - observation.in_flight / max(observation.limit, 1)
    underused = not observation.refused and observation.waiting < 1.0 and spare > 0
    periods = _HIGH_SPARE_PERIODS if spare > _HIGH_SPARE_SHARE else 1
    state.underused_periods = state.underused_periods + periods if underused else 0
    if observation.refused and arrived:
        return max(_MIN_FACTOR, 1.0 - observation.refused / arrived)
    if underused:
        gain = _INCREASE_GAIN + _INCREASE_GAIN_PER_PERIOD * state.underused_periods
        return 1.0 + min(gain, _MAX_INCREASE_GAIN) * spare
    return 1.0 + _QUEUE_GAIN * _compute_queue_error(state, observation)


def _compute_queue_error(state: ThresholdState, observation: Observation) -> float:
    target = _compute_queue_target(observation)
    change = observation.waiting - state.waiting
    predicted = max(0.0, observation.waiting + _LOOKAHEAD_PERIODS * change)
    return max((target - predicted) / target, -_MAX_QUEUE_ERROR)


def scale_threshold(state: ThresholdState, factor: float) -> float:
    """Return the threshold with ``factor`` times as many recent calls below it."""
    below = count_below(state, state.threshold)
    if factor >= 1.0:
        return min(
            state.threshold + _compute_step(state, below, factor), FULL_THRESHOLD
        )
    target = below * factor
    # Gaps between the ranks of few calls must not lower the threshold too far.
    lowest = state.threshold * max(0.0, 1.0 - _MAX_SPARSITY * (1.0 - factor))
    threshold = state.threshold
    while threshold > lowest and count_below(state, threshold) > target:
        threshold -= _RANKS_PER_BUCKET / 4
    return max(threshold, lowest)


def _compute_step(state: ThresholdState, below: float, factor: float) -> float:
    """Return the increase of the threshold, in ranks.

    Other nodes refuse the calls above the threshold, so their density is assumed to
    equal that just below it. At the border of a tier the density is unknown.
    """
    tier_base = PRIORITY_LEVELS if state.threshold > PRIORITY_LEVELS else 0
    ranks = min(state.threshold - tier_base, _DENSITY_RANKS)
    calls_nearby = below - count_below(state, state.threshold - ranks) if ranks else 0.0
    calls_nearby = max(calls_nearby, below * ranks / state.threshold / _MAX_SPARSITY)
    min_step = _MIN_STEP * (1 + state.underused_periods)
    if state.threshold == PRIORITY_LEVELS or not calls_nearby:
        return min(min_step, _MAX_STEP)
    step = (factor - 1.0) * below / calls_nearby * ranks
    return min(max(step, min_step), _MAX_STEP)


def count_below(state: ThresholdState, threshold: float) -> float:
    """Return how many recent calls have a rank below a threshold."""
    full = int(threshold // _RANKS_PER_BUCKET)
    count = sum(state.histogram[:full])
    if full < _BUCKETS:
        count += (
            state.histogram[full]
            * (threshold - full * _RANKS_PER_BUCKET)
            / _RANKS_PER_BUCKET
        )
    return count
