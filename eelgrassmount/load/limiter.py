"""The concurrency limit beside a backend server, found by measuring."""

from __future__ import annotations

import math
from enum import Enum, auto

from attrs import define, field

from eelgrassmount.load.cohorts import (
    COHORT_RUNS,
    SMALL_COHORT_RUNS,
    Measurement,
    Quiet,
    compute_elasticity,
    differ_enough,
    estimate_limit,
    is_flat,
    is_steep,
    measure_log,
)
from eelgrassmount.load.port import Sample, SampleKind

START_LIMIT = 16
LEAST_LIMIT = 2
MOST_LIMIT = 4096

# a measurement is over when most of a cohort of runs has ended; a cohort is some
# rounds of the whole level, but never very small or large
_COHORT_ROUNDS = 4.0
_FIRST_COHORT_ROUNDS = 1.5
_COHORT_ENDED = 0.95
_LATE_ROUNDS = 2.0
_LONGEST_MEASUREMENT_S = 2.0
_LONGEST_ROUNDS = 6

# the probe below the limit: how deep it goes, and how the limit is moved after it
_PROBE_DEPTH = 0.75
_SMOOTHING = 0.4
_HOLD_RATIO = 3.0
_START_GROWTH = 2.0
_GROWTH = 1.25
_VERY_FLAT_ELASTICITY = 0.1
_STEEP_CUT = 0.7

_BAD_CUT = 0.5
# after most runs timed out, growth by doubling ends short of that limit
_BAD_CEILING = 0.75
_SHED_MARGIN = 0.95
_SATURATED = 0.9
_TYPICAL_WEIGHT = 0.05
_MUCH_SLOWER = 3.0
_SLOWER_WEIGHT = 0.25
_QUIET_FRACTION = 0.5


class Phase(Enum):
    """What the present level of concurrency is kept for."""

    STARTING = auto()
    HOLD = auto()
    BEFORE = auto()
    PROBE = auto()
    AFTER = auto()


_NEXT_PHASE = {
    Phase.STARTING: Phase.HOLD,
    Phase.HOLD: Phase.BEFORE,
    Phase.BEFORE: Phase.PROBE,
    Phase.PROBE: Phase.AFTER,
    Phase.AFTER: Phase.HOLD,
}


@define
class Limiter:
    """Finds how many calls a backend server can run at once.

    Latency does not depend on concurrency until the server's slots are full,
    and grows in proportion to it from there on. So the limiter measures
    the service time at the limit and, in short probes, below it: when both are
    the same the limit may grow, when they differ the ratio says where the
    slots end. Since the two are measured one shortly after the other, it makes
    no difference how fast the server is at the time.

    Only calls that fill the level tell anything; while fewer are wanted the
    limit stays as it is.
    """

    now_s: float = 0.0
    size: float = START_LIMIT
    phase: Phase = Phase.STARTING
    typical_s: float = 0.0
    _current: Measurement = field(init=False)
    _previous: Measurement | None = field(init=False, default=None)
    _last_cut_s: float = field(init=False, default=-math.inf)
    _hold_s: float = field(init=False, default=0.0)
    _quiet: Quiet = field(init=False, factory=Quiet)
    _ceiling: float = field(init=False, default=MOST_LIMIT)

    def __attrs_post_init__(self) -> None:
        """Begin with a measurement at the initial limit."""
        self._current = make_measurement(self.phase, START_LIMIT, self.now_s)

    @property
    def limit(self) -> int:
        """Return how many calls may run now."""
        return self._current.level

    def note_start(self, in_flight: int, now_s: float) -> None:
        """Note that a run starts; ``in_flight`` counts it already."""
        current = self._current
        if self.phase is Phase.HOLD:
            return
        if now_s < current.settled_s:
            self._settle(in_flight, now_s)
        if current.settled_s <= now_s < current.closed_s:
            current.started += 1
            current.in_flight_sum += in_flight
            self._close_cohort(now_s)

    def _settle(self, in_flight: int, now_s: float) -> None:
        current = self._current
        if self.phase is Phase.PROBE:
            settled = in_flight <= current.level
        else:
            settled = in_flight >= current.level * _SATURATED
        if settled:
            current.settled_s = now_s

    def _close_cohort(self, now_s: float) -> None:
        current = self._current
        if current.started < current.least_runs:
            return
        if now_s >= current.settled_s + self.typical_s:
            current.closed_s = now_s

    def record(self, sample: Sample, in_flight: int, now_s: float) -> None:
        """Take in one run that has ended.

        ``in_flight`` counts the runs on the server, with this one.
        """
        started_s = now_s - sample.latency_s
        if sample.kind is SampleKind.SHED:
            self._cut_for_shed(in_flight, started_s, now_s)
            return
        if sample.kind is SampleKind.COMPLETE:
            self._note_typical(sample.latency_s)
            if in_flight <= _QUIET_FRACTION * self.limit:
                self._quiet.add(sample, in_flight)
        if self.phase is not Phase.HOLD:
            self._add_run(sample, started_s)
        self._finish(now_s)

    def _note_typical(self, latency_s: float) -> None:
        if not self.typical_s:
            self.typical_s = latency_s
        slower = latency_s > _MUCH_SLOWER * self.typical_s
        weight = _SLOWER_WEIGHT if slower else _TYPICAL_WEIGHT
        self.typical_s += weight * (latency_s - self.typical_s)

    def _add_run(self, sample: Sample, started_s: float) -> None:
        current = self._current
        if not current.settled_s <= started_s <= current.closed_s:
            return
        current.ended += 1
        if sample.kind is SampleKind.TIMEOUT:
            current.bad += 1
        if sample.kind in (SampleKind.COMPLETE, SampleKind.TIMEOUT):
            log_service = measure_log(sample)
            current.runs += 1
            current.log_sum += log_service
            current.log_square_sum += log_service**2
            current.downstream_sum_s += sample.downstream_s

    def adjust(self, now_s: float) -> None:
        """End what makes no progress; call it several times a second."""
        self._finish(now_s)
        current = self._current
        if self.phase is Phase.HOLD:
            return
        rounds_s = _LONGEST_ROUNDS * self.typical_s
        if now_s - current.began_s < _LONGEST_MEASUREMENT_S + rounds_s:
            return
        if current.runs >= current.least_runs:
            self._compare(now_s)
        else:
            # too few calls are wanted to learn anything
            self._give_up(now_s)

    def _give_up(self, now_s: float) -> None:
        self._previous = None
        phase = Phase.STARTING if self.phase is Phase.STARTING else Phase.HOLD
        self._begin(phase, self.size, now_s)

    def _finish(self, now_s: float) -> None:
        current = self._current
        if self.phase is Phase.HOLD:
            if now_s >= current.began_s + self._hold_s:
                self._begin(Phase.BEFORE, self.size, now_s)
            return
        if current.failing:
            self._ceiling = _BAD_CEILING * self.size
            self._cut(Phase.STARTING, _BAD_CUT, now_s)
            return
        if not self._has_ended(now_s):
            return
        if current.runs >= current.least_runs // 2:
            self._compare(now_s)
        else:
            self._give_up(now_s)

    def _has_ended(self, now_s: float) -> bool:
        current = self._current
        if current.closed_s > now_s:
            return False
        if current.ended >= _COHORT_ENDED * current.started:
            return True
        # a process short of time notes starts late, and so misses some runs
        late_s = current.closed_s + _LATE_ROUNDS * self.typical_s
        return now_s >= late_s

    def _compare(self, now_s: float) -> None:
        current, previous = self._current, self._previous
        self._previous = current
        if self.phase is Phase.STARTING:
            self._grow_first(previous, current, now_s)
            return
        if previous is not None:
            low, high = sorted((previous, current), key=lambda one: one.level)
            if not differ_enough(low, high):
                self._give_up(now_s)
                return
            self.size = move_limit(self.size, low, high)
            if is_steep(low, high):
                self._previous = None
                self._begin(Phase.BEFORE, self.size, now_s)
                return
        self._go_on(now_s)

    def _grow_first(
        self, previous: Measurement | None, current: Measurement, now_s: float
    ) -> None:
        if current.mean_in_flight < current.level * _SATURATED:
            self._give_up(now_s)
            return
        if previous is None:
            previous = self._quiet.find_measurement(now_s)
        if previous is None or is_flat(previous, current):
            size = self.size * _START_GROWTH
            phase = Phase.STARTING if size < self._ceiling else Phase.HOLD
            self._begin(phase, min(size, self._ceiling), now_s)
            return
        self.size = estimate_limit(previous, current)
        self._go_on(now_s)

    def _go_on(self, now_s: float) -> None:
        current = self._current
        if self.phase is Phase.PROBE:
            self._hold_s = _HOLD_RATIO * (now_s - current.began_s)
        phase = _NEXT_PHASE[self.phase]
        if phase is Phase.HOLD:
            self._previous = None
        depth = _PROBE_DEPTH if phase is Phase.PROBE else 1.0
        self._begin(phase, self.size * depth, now_s)

    def _cut_for_shed(self, in_flight: int, started_s: float, now_s: float) -> None:
        # calls that started before the last cut say nothing about it
        if started_s < self._last_cut_s:
            return
        self._cut(Phase.HOLD, min(1.0, in_flight / self.size) * _SHED_MARGIN, now_s)

    def _cut(self, phase: Phase, factor: float, now_s: float) -> None:
        self._last_cut_s = now_s
        self._previous = None
        self._begin(phase, self.size * factor, now_s)

    def _begin(self, phase: Phase, level: float, now_s: float) -> None:
        if phase is not Phase.PROBE:
            level = min(max(level, LEAST_LIMIT), MOST_LIMIT)
            self.size = level
        self.phase = phase
        self._current = make_measurement(phase, level, now_s)


def make_measurement(phase: Phase, level: float, now_s: float) -> Measurement:
    """Return a measurement that begins now."""
    whole = max(1, round(level))
    # the first growth is quick, and a mistake is soon found
    rounds = _FIRST_COHORT_ROUNDS if phase is Phase.STARTING else _COHORT_ROUNDS
    runs = min(max(round(rounds * whole), SMALL_COHORT_RUNS), COHORT_RUNS)
    return Measurement(whole, now_s, runs)


def move_limit(size: float, low: Measurement, high: Measurement) -> float:
    """Return the limit after one comparison of two levels."""
    elasticity = compute_elasticity(low, high)
    if elasticity < _VERY_FLAT_ELASTICITY:
        return size * _GROWTH**_SMOOTHING
    if is_steep(low, high):
        return size * _STEEP_CUT
    return size * (estimate_limit(low, high) / size) ** _SMOOTHING
