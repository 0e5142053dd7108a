"""Measurements of service time at two concurrencies and their comparison."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from eelgrassmount.load.port import Sample

# Bounds of the number of runs that a cohort must contain.
MIN_COHORT_RUNS = 10
MAX_COHORT_RUNS = 50

_FAILING_TIMEOUT_SHARE = 0.5
_LOW_LOAD_DECAY = 0.95
_MIN_SERVICE_S = 1e-4

# Service time that grows with concurrency by a lower exponent counts as flat.
_MAX_FLAT_ELASTICITY = 0.3
# With a higher exponent, all slots are taken at both concurrencies.
_MIN_STEEP_ELASTICITY = 0.85
_MIN_CONCURRENCY_RATIO = 1.1

# Margin of the limit above the number of slots, to keep all slots busy.
_LIMIT_MARGIN_FACTOR = 1.25
_LIMIT_MARGIN_CALLS = 1.0


@define
class Measurement:
    """A cohort of runs that started at one concurrency.

    All runs of a cohort are measured, since short runs complete first and would bias
    the mean. ``reached_s`` is the time at which the concurrency was reached, and
    ``closed_s`` the time after which runs that start no longer belong to the cohort.
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
        """Return the estimated variance of `mean_log`."""
        variance = self.log_square_sum / self.runs - self.mean_log**2
        return max(variance, 0.0) / self.runs

    @property
    def mean_in_flight(self) -> float:
        """Return the mean concurrency at the start of the cohort's runs."""
        return self.in_flight_sum / self.started

    @property
    def is_failing(self) -> bool:
        """Return whether most runs timed out."""
        return self.timeouts > _FAILING_TIMEOUT_SHARE * max(self.runs, self.min_runs)


@define
class LowLoadSamples:
    """Decayed sums over runs that completed while half of the limit was free."""

    runs: float = 0.0
    log_sum: float = 0.0
    in_flight_sum: float = 0.0
    downstream_sum_s: float = 0.0

    def add(self, sample: Sample, in_flight: int) -> None:
        """Add a run."""
        self.runs = self.runs * _LOW_LOAD_DECAY + 1.0
        self.log_sum = self.log_sum * _LOW_LOAD_DECAY + compute_log_service_time(sample)
        self.in_flight_sum = self.in_flight_sum * _LOW_LOAD_DECAY + in_flight
        self.downstream_sum_s *= _LOW_LOAD_DECAY
        self.downstream_sum_s += sample.downstream_s

    def find_measurement(self, now_s: float) -> Measurement | None:
        """Return the mean of the runs as a measurement, ``None`` if too few."""
        if self.runs < MIN_COHORT_RUNS:
            return None
        mean_in_flight = self.in_flight_sum / self.runs
        mean = Measurement(max(1, round(mean_in_flight)), now_s, 1)
        mean.started = mean.runs = 1
        mean.in_flight_sum = mean_in_flight
        mean.log_sum = self.log_sum / self.runs
        mean.log_square_sum = mean.log_sum**2
        mean.downstream_sum_s = self.downstream_sum_s / self.runs
        return mean


def compute_log_service_time(sample: Sample) -> float:
    """Return the logarithm of the time spent in the server itself."""
    service_s = sample.latency_s - sample.downstream_s
    return math.log(max(service_s, _MIN_SERVICE_S))


def have_distinct_concurrency(low: Measurement, high: Measurement) -> bool:
    """Return whether the concurrency of two cohorts differs enough to compare them."""
    return high.mean_in_flight >= _MIN_CONCURRENCY_RATIO * low.mean_in_flight


def compute_elasticity(low: Measurement, high: Measurement) -> float:
    """Return the exponent by which service time grows with concurrency.

    The exponent is 0 while slots are free and 1 when all of them are taken.
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
    """Return the mean time for which runs hold a slot during their downstream calls.

    The mean covers both cohorts, since downstream time is independent of the
    concurrency on this server.
    """
    waited_s = low.downstream_sum_s / low.runs + high.downstream_sum_s / high.runs
    return waited_s / 2.0


def _estimate_error(low: Measurement, high: Measurement) -> float:
    error = math.sqrt(low.mean_log_variance + high.mean_log_variance)
    service_s = math.exp(high.mean_log)
    server_share = service_s / (service_s + _compute_downstream_wait(low, high))
    return server_share * error / math.log(high.mean_in_flight / low.mean_in_flight)


def is_flat(low: Measurement, high: Measurement) -> bool:
    """Return whether service time shows no significant growth with concurrency."""
    if not have_distinct_concurrency(low, high):
        return True
    error = _estimate_error(low, high)
    return _compute_raw_elasticity(low, high) - error < _MAX_FLAT_ELASTICITY


def is_steep(low: Measurement, high: Measurement) -> bool:
    """Return whether all slots are taken even at the lower concurrency."""
    if not have_distinct_concurrency(low, high):
        return False
    error = _estimate_error(low, high)
    return _compute_raw_elasticity(low, high) - error > _MIN_STEEP_ELASTICITY


def estimate_limit(low: Measurement, high: Measurement) -> float:
    """Return the number of slots, estimated from two cohorts, plus a margin."""
    ratio = high.mean_in_flight / low.mean_in_flight
    knee = high.concurrency * ratio ** -compute_elasticity(low, high)
    return _LIMIT_MARGIN_FACTOR * knee + _LIMIT_MARGIN_CALLS
