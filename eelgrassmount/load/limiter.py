"""Adaptive concurrency limit of a backend server."""

from __future__ import annotations

import math
from enum import Enum, auto

from attrs import define, field

from eelgrassmount.load.cohorts import (
    MAX_COHORT_RUNS,
    MIN_COHORT_RUNS,
    LowLoadSamples,
    Measurement,
    compute_elasticity,
    compute_log_service_time,
    estimate_limit,
    have_distinct_concurrency,
    is_flat,
    is_steep,
)
from eelgrassmount.load.port import Sample, SampleKind

INITIAL_LIMIT = 16
MIN_LIMIT = 2
MAX_LIMIT = 4096

# Runs of a cohort, as a multiple of the concurrency.
_COHORT_ROUNDS = 4.0
_FIRST_COHORT_ROUNDS = 1.5
# A measurement ends when this share of its runs has completed, or when its last runs
# are late by this multiple of the mean run time.
_COHORT_COMPLETED_SHARE = 0.95
_MAX_LATE_ROUNDS = 2.0
# Longest measurement: a fixed time plus a multiple of the mean run time.
_MAX_MEASUREMENT_S = 2.0
_MAX_MEASUREMENT_ROUNDS = 6

# Concurrency of a probe, as a share of the limit.
_PROBE_LIMIT_SHARE = 0.75
_LIMIT_SMOOTHING = 0.4
# Duration of the hold phase, as a multiple of the probe before it.
_HOLD_RATIO = 3.0
_INITIAL_GROWTH_FACTOR = 2.0
_GROWTH_FACTOR = 1.25
_MAX_GROWTH_ELASTICITY = 0.1
_STEEP_REDUCTION_FACTOR = 0.7

_TIMEOUT_REDUCTION_FACTOR = 0.5
# Initial growth stops at this share of a limit at which most runs timed out.
_TIMEOUT_CEILING_SHARE = 0.75
_SHED_REDUCTION_FACTOR = 0.95
_MIN_SATURATED_SHARE = 0.9
_RUN_TIME_SMOOTHING = 0.05
_SLOW_RUN_FACTOR = 3.0
_SLOW_RUN_SMOOTHING = 0.25
_MAX_LOW_LOAD_SHARE = 0.5


class Phase(Enum):
    """Phases of the search for the concurrency limit."""

    STARTING = auto()
    HOLD = auto()
    MEASURE_BEFORE = auto()
    PROBE = auto()
    MEASURE_AFTER = auto()


_NEXT_PHASE = {
    Phase.STARTING: Phase.HOLD,
    Phase.HOLD: Phase.MEASURE_BEFORE,
    Phase.MEASURE_BEFORE: Phase.PROBE,
    Phase.PROBE: Phase.MEASURE_AFTER,
    Phase.MEASURE_AFTER: Phase.HOLD,
}


@define
class Limiter:
    """Estimates how many calls a backend server can run concurrently.

    Latency is independent of concurrency until the server's slots are full, and then
    grows in proportion. The limiter measures service time at the limit and, in short
    probes, below it. If both are equal, the limit grows; otherwise their ratio gives
    the number of slots. The limit stays unchanged while too few calls arrive to reach
    it.
    """

    now_s: float = 0.0
    base_limit: float = INITIAL_LIMIT
    phase: Phase = Phase.STARTING
    mean_run_s: float = 0.0
    _current: Measurement = field(init=False)
    _previous: Measurement | None = field(init=False, default=None)
    _last_reduction_s: float = field(init=False, default=-math.inf)
    _hold_s: float = field(init=False, default=0.0)
    _low_load: LowLoadSamples = field(init=False, factory=LowLoadSamples)
    _ceiling: float = field(init=False, default=MAX_LIMIT)

    def __attrs_post_init__(self) -> None:
        """Start a measurement at the initial limit."""
        self._current = make_measurement(self.phase, INITIAL_LIMIT, self.now_s)

    @property
    def limit(self) -> int:
        """Return how many calls may run concurrently now."""
        return self._current.concurrency

    def record_start(self, in_flight: int, now_s: float) -> None:
        """Record the start of a run; ``in_flight`` includes it."""
        current = self._current
        if self.phase is Phase.HOLD:
            return
        if now_s < current.reached_s:
            self._check_reached(in_flight, now_s)
        if current.reached_s <= now_s < current.closed_s:
            current.started += 1
            current.in_flight_sum += in_flight
            self._close_cohort(now_s)

    def _check_reached(self, in_flight: int, now_s: float) -> None:
        current = self._current
        if self.phase is Phase.PROBE:
            reached = in_flight <= current.concurrency
        else:
            reached = in_flight >= current.concurrency * _MIN_SATURATED_SHARE
        if reached:
            current.reached_s = now_s

    def _close_cohort(self, now_s: float) -> None:
        current = self._current
        if current.started < current.min_runs:
            return
        if now_s >= current.reached_s + self.mean_run_s:
            current.closed_s = now_s

    def record(self, sample: Sample, in_flight: int, now_s: float) -> None:
        """Record the end of a run.

        ``in_flight`` counts the runs on the server, including this one.
        """
        started_s = now_s - sample.latency_s
        if sample.kind is SampleKind.SHED:
            self._reduce_after_shed(in_flight, started_s, now_s)
            return
        if sample.kind is SampleKind.COMPLETE:
            self._update_mean_run_s(sample.latency_s)
            if in_flight <= _MAX_LOW_LOAD_SHARE * self.limit:
                self._low_load.add(sample, in_flight)
        if self.phase is not Phase.HOLD:
            self._add_run(sample, started_s)
        self._check_progress(now_s)

    def _update_mean_run_s(self, latency_s: float) -> None:
        if not self.mean_run_s:
            self.mean_run_s = latency_s
        is_slow = latency_s > _SLOW_RUN_FACTOR * self.mean_run_s
        weight = _SLOW_RUN_SMOOTHING if is_slow else _RUN_TIME_SMOOTHING
        self.mean_run_s += weight * (latency_s - self.mean_run_s)

    def _add_run(self, sample: Sample, started_s: float) -> None:
        current = self._current
        if not current.reached_s <= started_s <= current.closed_s:
            return
        current.completed += 1
        if sample.kind is SampleKind.TIMEOUT:
            current.timeouts += 1
        if sample.kind in (SampleKind.COMPLETE, SampleKind.TIMEOUT):
            log_service = compute_log_service_time(sample)
            current.runs += 1
            current.log_sum += log_service
            current.log_square_sum += log_service**2
            current.downstream_sum_s += sample.downstream_s

    def adjust(self, now_s: float) -> None:
        """End phases that are due or stalled; called several times a second."""
        self._check_progress(now_s)
        current = self._current
        if self.phase is Phase.HOLD:
            return
        rounds_s = _MAX_MEASUREMENT_ROUNDS * self.mean_run_s
        if now_s - current.started_s < _MAX_MEASUREMENT_S + rounds_s:
            return
        if current.runs >= current.min_runs:
            self._compare(now_s)
        else:
            # Too few calls arrive for a measurement.
            self._abort_measurement(now_s)

    def _abort_measurement(self, now_s: float) -> None:
        self._previous = None
        phase = Phase.STARTING if self.phase is Phase.STARTING else Phase.HOLD
        self._start_phase(phase, self.base_limit, now_s)

    def _check_progress(self, now_s: float) -> None:
        current = self._current
        if self.phase is Phase.HOLD:
            if now_s >= current.started_s + self._hold_s:
                self._start_phase(Phase.MEASURE_BEFORE, self.base_limit, now_s)
            return
        if current.is_failing:
            self._ceiling = _TIMEOUT_CEILING_SHARE * self.base_limit
            self._reduce(Phase.STARTING, _TIMEOUT_REDUCTION_FACTOR, now_s)
            return
        if not self._is_complete(now_s):
            return
        if current.runs >= current.min_runs // 2:
            self._compare(now_s)
        else:
            self._abort_measurement(now_s)

    def _is_complete(self, now_s: float) -> bool:
        current = self._current
        if current.closed_s > now_s:
            return False
        if current.completed >= _COHORT_COMPLETED_SHARE * current.started:
            return True
        # An overloaded process records starts late and misses some runs.
        late_s = current.closed_s + _MAX_LATE_ROUNDS * self.mean_run_s
        return now_s >= late_s

    def _compare(self, now_s: float) -> None:
        current, previous = self._current, self._previous
        self._previous = current
        if self.phase is Phase.STARTING:
            self._grow_initially(previous, current, now_s)
            return
        if previous is not None:
            low, high = sorted((previous, current), key=lambda one: one.concurrency)
            if not have_distinct_concurrency(low, high):
                self._abort_measurement(now_s)
                return
            self.base_limit = adjust_limit(self.base_limit, low, high)
            if is_steep(low, high):
                self._previous = None
                self._start_phase(Phase.MEASURE_BEFORE, self.base_limit, now_s)
                return
        self._start_next_phase(now_s)

    def _grow_initially(
        self, previous: Measurement | None, current: Measurement, now_s: float
    ) -> None:
        if current.mean_in_flight < current.concurrency * _MIN_SATURATED_SHARE:
            self._abort_measurement(now_s)
            return
        if previous is None:
            previous = self._low_load.find_measurement(now_s)
        if previous is None or is_flat(previous, current):
            base_limit = self.base_limit * _INITIAL_GROWTH_FACTOR
            phase = Phase.STARTING if base_limit < self._ceiling else Phase.HOLD
            self._start_phase(phase, min(base_limit, self._ceiling), now_s)
            return
        self.base_limit = estimate_limit(previous, current)
        self._start_next_phase(now_s)

    def _start_next_phase(self, now_s: float) -> None:
        current = self._current
        if self.phase is Phase.PROBE:
            self._hold_s = _HOLD_RATIO * (now_s - current.started_s)
        phase = _NEXT_PHASE[self.phase]
        if phase is Phase.HOLD:
            self._previous = None
        share = _PROBE_LIMIT_SHARE if phase is Phase.PROBE else 1.0
        self._start_phase(phase, self.base_limit * share, now_s)

    def _reduce_after_shed(
        self, in_flight: int, started_s: float, now_s: float
    ) -> None:
        # Calls that started before the last reduction were sent under the old limit.
        if started_s < self._last_reduction_s:
            return
        self._reduce(
            Phase.HOLD,
            min(1.0, in_flight / self.base_limit) * _SHED_REDUCTION_FACTOR,
            now_s,
        )

    def _reduce(self, phase: Phase, factor: float, now_s: float) -> None:
        self._last_reduction_s = now_s
        self._previous = None
        self._start_phase(phase, self.base_limit * factor, now_s)

    def _start_phase(self, phase: Phase, concurrency: float, now_s: float) -> None:
        if phase is not Phase.PROBE:
            concurrency = min(max(concurrency, MIN_LIMIT), MAX_LIMIT)
            self.base_limit = concurrency
        self.phase = phase
        self._current = make_measurement(phase, concurrency, now_s)


def make_measurement(phase: Phase, concurrency: float, now_s: float) -> Measurement:
    """Return a measurement that starts now."""
    rounded = max(1, round(concurrency))
    # Small cohorts speed up the initial growth; later phases correct its errors.
    rounds = _FIRST_COHORT_ROUNDS if phase is Phase.STARTING else _COHORT_ROUNDS
    runs = min(max(round(rounds * rounded), MIN_COHORT_RUNS), MAX_COHORT_RUNS)
    return Measurement(rounded, now_s, runs)


def adjust_limit(base_limit: float, low: Measurement, high: Measurement) -> float:
    """Return the limit after a comparison of two cohorts."""
    elasticity = compute_elasticity(low, high)
    if elasticity < _MAX_GROWTH_ELASTICITY:
        return base_limit * _GROWTH_FACTOR**_LIMIT_SMOOTHING
    if is_steep(low, high):
        return base_limit * _STEEP_REDUCTION_FACTOR
    return base_limit * (estimate_limit(low, high) / base_limit) ** _LIMIT_SMOOTHING
