"""The concurrency limit beside a backend server, found by measuring."""

from __future__ import annotations

import math
from enum import Enum, auto

from attrs import define, field

from eelgrassmount.load.port import Sample, SampleKind

START_LIMIT = 8
LEAST_LIMIT = 2
MOST_LIMIT = 4096

# a measurement ends when it has this many runs, or enough and has lasted
_MANY_RUNS = 100
_ENOUGH_RUNS = 20
_LONG_MEASUREMENT_S = 0.5
_LONGEST_MEASUREMENT_S = 2.0

# the probe below the limit: how deep it goes, and how far above the knee the
# limit is kept so that the server's slots stay full
_PROBE_DEPTH = 0.75
_MARGIN = 1.08
_SMOOTHING = 0.4
_START_GROWTH = 2.0
_GROWTH = 1.25
# latency may rise with concurrency by this exponent and still count as flat
_FLAT_ELASTICITY = 0.3
_VERY_FLAT_ELASTICITY = 0.1

_BAD_FRACTION = 0.1
_BAD_CUT = 0.8
_SHED_MARGIN = 0.95
_SATURATED = 0.9


class Phase(Enum):
    """What the present measurement is for."""

    STARTING = auto()
    AT_LIMIT = auto()
    PROBE = auto()


@define
class Measurement:
    """Runs that began while one level of concurrency was kept up."""

    level: int
    began_s: float
    settled_s: float | None = None
    runs: int = 0
    log_sum: float = 0.0
    bad: int = 0

    @property
    def mean_log(self) -> float:
        """Return the mean logarithm of the service times."""
        return self.log_sum / self.runs


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

    def __attrs_post_init__(self) -> None:
        """Begin with a measurement at the initial limit."""
        self._current = Measurement(START_LIMIT, self.now_s)

    @property
    def limit(self) -> int:
        """Return how many calls may run now."""
        return self._current.level

    def record(self, sample: Sample, in_flight: int, now_s: float) -> None:
        """Take in one run that has ended.

        ``in_flight`` counts the runs on the server, with this one.
        """
        current = self._current
        started_s = now_s - sample.latency_s
        if sample.kind is SampleKind.SHED:
            self._cut_for_shed(in_flight, started_s, now_s)
            return
        if sample.kind is SampleKind.TIMEOUT:
            current.bad += 1
        elif sample.kind is SampleKind.COMPLETE:
            self._add_run(sample, started_s)
        self.observe(in_flight, now_s)
        self._finish_measurement(now_s)

    def observe(self, in_flight: int, now_s: float) -> None:
        """Note how many calls run, whenever one starts or ends."""
        current = self._current
        if current.settled_s is not None:
            return
        if self.phase is Phase.PROBE:
            settled = in_flight <= current.level
        else:
            settled = in_flight >= current.level * _SATURATED
        if settled:
            current.settled_s = now_s

    def adjust(self, in_flight: int, now_s: float) -> None:
        """End a measurement that makes no progress; call it several times a second."""
        current = self._current
        if now_s - current.began_s < _LONGEST_MEASUREMENT_S:
            return
        if current.bad > _BAD_FRACTION * (current.bad + current.runs):
            self._cut(_BAD_CUT, now_s)
            return
        if in_flight < current.level * _SATURATED and current.runs < _ENOUGH_RUNS:
            # nothing to learn while fewer calls are wanted
            self._previous = None
            self._begin(self._leave_probe(), self.size, now_s)

    def _leave_probe(self) -> Phase:
        return Phase.AT_LIMIT if self.phase is Phase.PROBE else self.phase

    def _add_run(self, sample: Sample, started_s: float) -> None:
        service_s = max(sample.latency_s - sample.downstream_s, 1e-4)
        self._note_typical(sample.latency_s)
        current = self._current
        if current.settled_s is None or started_s < current.settled_s:
            return
        current.runs += 1
        current.log_sum += math.log(service_s)

    def _note_typical(self, latency_s: float) -> None:
        if not self.typical_s:
            self.typical_s = latency_s
        self.typical_s += 0.05 * (latency_s - self.typical_s)

    def _finish_measurement(self, now_s: float) -> None:
        current = self._current
        if not _is_finished(current, now_s):
            return
        if current.bad > _BAD_FRACTION * (current.bad + current.runs):
            self._cut(_BAD_CUT, now_s)
        elif self.phase is Phase.STARTING:
            self._finish_start(now_s)
        else:
            self._finish_probe(now_s)

    def _finish_start(self, now_s: float) -> None:
        current, previous = self._current, self._previous
        if previous is None or compute_elasticity(previous, current) < _FLAT_ELASTICITY:
            self._previous = current
            self._begin(Phase.STARTING, self.size * _START_GROWTH, now_s)
            return
        self.size = estimate_limit(previous, current)
        self._previous = None
        self._begin(Phase.AT_LIMIT, self.size, now_s)

    def _finish_probe(self, now_s: float) -> None:
        current, previous = self._current, self._previous
        if previous is not None and previous.level != current.level:
            low, high = sorted((previous, current), key=lambda one: one.level)
            self.size = move_limit(self.size, low, high)
        self._previous = current
        if self.phase is Phase.AT_LIMIT:
            self._begin(Phase.PROBE, self.size * _PROBE_DEPTH, now_s)
        else:
            self._begin(Phase.AT_LIMIT, self.size, now_s)

    def _cut_for_shed(self, in_flight: int, started_s: float, now_s: float) -> None:
        # calls that started before the last cut say nothing about it
        if started_s < self._last_cut_s:
            return
        self._cut(min(1.0, in_flight / self.size) * _SHED_MARGIN, now_s)

    def _cut(self, factor: float, now_s: float) -> None:
        self.size *= factor
        self._last_cut_s = now_s
        self._previous = None
        self._begin(Phase.AT_LIMIT, self.size, now_s)

    def _begin(self, phase: Phase, level: float, now_s: float) -> None:
        if phase is not Phase.PROBE:
            self.size = min(max(level, LEAST_LIMIT), MOST_LIMIT)
            level = self.size
        self.phase = phase
        self._current = Measurement(max(1, round(level)), now_s)


def _is_finished(measurement: Measurement, now_s: float) -> bool:
    if measurement.runs >= _MANY_RUNS:
        return True
    lasted_s = now_s - measurement.began_s
    return measurement.runs >= _ENOUGH_RUNS and lasted_s >= _LONG_MEASUREMENT_S


def compute_elasticity(low: Measurement, high: Measurement) -> float:
    """Return the exponent by which service time grows with concurrency.

    It is 0 while slots are free and 1 when all of them are taken.
    """
    rise = high.mean_log - low.mean_log
    elasticity = rise / math.log(high.level / low.level)
    return min(max(elasticity, 0.0), 1.0)


def estimate_limit(low: Measurement, high: Measurement) -> float:
    """Return the limit at which the slots are just full, with a margin."""
    ratio = math.log(high.level / low.level)
    return _MARGIN * high.level * math.exp(-ratio * compute_elasticity(low, high))


def move_limit(size: float, low: Measurement, high: Measurement) -> float:
    """Return the limit after one comparison of two levels."""
    elasticity = compute_elasticity(low, high)
    if elasticity < _VERY_FLAT_ELASTICITY:
        return size * _GROWTH**_SMOOTHING
    return size * (estimate_limit(low, high) / size) ** _SMOOTHING
