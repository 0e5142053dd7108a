"""Service times at one level of concurrency, and what two of them say."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from eelgrassmount.load.port import Sample

# runs of a cohort, at least
MIN_COHORT_RUNS = 10
MAX_COHORT_RUNS = 50

_FAILING_TIMEOUT_SHARE = 0.5
_LOW_LOAD_DECAY = 0.95
_MIN_SERVICE_S = 1e-4

# latency may rise with concurrency by this exponent and still count as flat
_MAX_FLAT_ELASTICITY = 0.3
# both levels surely lie above the knee, somewhere
_MIN_STEEP_ELASTICITY = 0.85
_MIN_CONCURRENCY_RATIO = 1.1

# how far above the knee the limit is kept, so that the server's slots stay full
_LIMIT_MARGIN_FACTOR = 1.25
_LIMIT_MARGIN_CALLS = 1.0


@define
class Measurement:
    """A cohort of runs that began while one level of concurrency was kept up.

    Whole cohorts are measured because the runs that end first are the short
    ones. ``reached_s`` is when the level was reached and ``closed_s`` when the
    cohort of at least ``min_runs`` was complete.
    """

    concurrency: int
    started_s: float
    min_runs: int
    reached_s: float = math.inf
    closed_s: float = math.inf
    started: int = 0
    completed: int = 0
    runs: int = 0
    timeouts: int = 0
    log_sum: float = 0.0
    log_square_sum: float = 0.0
    in_flight_sum: float = 0.0
    downstream_sum_s: float = 0.0

    @property
    def mean_log(self) -> float:
        """Return the mean logarithm of the service times."""
        return self.log_sum / self.runs

    @property
    def mean_log_variance(self) -> float:
        """Return the variance of `mean_log` as an estimate."""
        variance = self.log_square_sum / self.runs - self.mean_log**2
        return max(variance, 0.0) / self.runs

    @property
    def mean_in_flight(self) -> float:
        """Return the concurrency that the cohort really met."""
        return self.in_flight_sum / self.started

    @property
    def is_failing(self) -> bool:
        """Tell whether most runs timed out."""
        return self.timeouts > _FAILING_TIMEOUT_SHARE * max(self.runs, self.min_runs)


@define
class LowLoadSamples:
    """Runs that had half of the limit free; older ones weigh less."""

    runs: float = 0.0
    log_sum: float = 0.0
    in_flight_sum: float = 0.0
    downstream_sum_s: float = 0.0

    def add(self, sample: Sample, in_flight: int) -> None:
        """Take in one run."""
        self.runs = self.runs * _LOW_LOAD_DECAY + 1.0
        self.log_sum = self.log_sum * _LOW_LOAD_DECAY + compute_log_service_time(sample)
        self.in_flight_sum = self.in_flight_sum * _LOW_LOAD_DECAY + in_flight
        self.downstream_sum_s *= _LOW_LOAD_DECAY
        self.downstream_sum_s += sample.downstream_s

    def find_measurement(self, now_s: float) -> Measurement | None:
        """Return them as a measurement, ``None`` if they were too few."""
        if self.runs < MIN_COHORT_RUNS:
            return None
        mean_in_flight = self.in_flight_sum / self.runs
        quiet = Measurement(max(1, round(mean_in_flight)), now_s, 1)
        quiet.started = quiet.runs = 1
        quiet.in_flight_sum = mean_in_flight
        quiet.log_sum = self.log_sum / self.runs
        quiet.log_square_sum = quiet.log_sum**2
        quiet.downstream_sum_s = self.downstream_sum_s / self.runs
        return quiet


def compute_log_service_time(sample: Sample) -> float:
    """Return the logarithm of the time that the server itself took."""
    service_s = sample.latency_s - sample.downstream_s
    return math.log(max(service_s, _MIN_SERVICE_S))


def have_distinct_concurrency(low: Measurement, high: Measurement) -> bool:
    """Tell whether two cohorts met concurrency different enough to compare."""
    return high.mean_in_flight >= _MIN_CONCURRENCY_RATIO * low.mean_in_flight


def compute_elasticity(low: Measurement, high: Measurement) -> float:
    """Return the exponent by which service time grows with concurrency.

    It is 0 while slots are free and 1 when all of them are taken.
    """
    return min(max(_compute_raw_elasticity(low, high), 0.0), 1.0)


def _compute_raw_elasticity(low: Measurement, high: Measurement) -> float:
    if not have_distinct_concurrency(low, high):
        return 0.0
    ratio = high.mean_in_flight / low.mean_in_flight
    waiting_s = _compute_downstream_wait(low, high)
    low_s = math.exp(low.mean_log) + waiting_s
    high_s = math.exp(high.mean_log) + waiting_s
    return math.log(high_s / low_s) / math.log(ratio)


def _compute_downstream_wait(low: Measurement, high: Measurement) -> float:
    """Return how long runs hold a slot while others work for them.

    It is the same for both levels, since it says nothing about this server, but
    the slots are held meanwhile.
    """
    waited_s = low.downstream_sum_s / low.runs + high.downstream_sum_s / high.runs
    return waited_s / 2.0


def _estimate_error(low: Measurement, high: Measurement) -> float:
    error = math.sqrt(low.mean_log_variance + high.mean_log_variance)
    service_s = math.exp(high.mean_log)
    own = service_s / (service_s + _compute_downstream_wait(low, high))
    return own * error / math.log(high.mean_in_flight / low.mean_in_flight)


def is_flat(low: Measurement, high: Measurement) -> bool:
    """Tell whether service time does not surely grow with concurrency."""
    if not have_distinct_concurrency(low, high):
        return True
    error = _estimate_error(low, high)
    return _compute_raw_elasticity(low, high) - error < _MAX_FLAT_ELASTICITY


def is_steep(low: Measurement, high: Measurement) -> bool:
    """Tell whether all slots are surely taken, even at the lower level."""
    if not have_distinct_concurrency(low, high):
        return False
    error = _estimate_error(low, high)
    return _compute_raw_elasticity(low, high) - error > _MIN_STEEP_ELASTICITY


def estimate_limit(low: Measurement, high: Measurement) -> float:
    """Return the limit at which the slots are just full, with a margin."""
    ratio = high.mean_in_flight / low.mean_in_flight
    knee = high.concurrency * ratio ** -compute_elasticity(low, high)
    return _LIMIT_MARGIN_FACTOR * knee + _LIMIT_MARGIN_CALLS
