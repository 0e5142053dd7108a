"""Compares concurrency limiters in a discrete-event simulation."""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable

from attrs import define, frozen

from benchmarks.simulation import LimiterPort, ServerModel, Simulation, simulate
from eelgrassmount.load.limiter import Limiter
from eelgrassmount.load.port import Sample, SampleKind

_SECONDS = 30
_SEED = 7
_SLOWDOWN_START_S = 10.0
_SLOWDOWN_END_S = 20.0


@define
class GradientLimiter:
    """Limits by the ratio of a slow to a fast moving average of the latency."""

    size: float = 8.0
    fast_average_s: float = 0.0
    slow_average_s: float = 0.0

    @property
    def limit(self) -> int:
        """Number of calls that may run at the same time."""
        return max(2, round(self.size))

    def record_start(self, in_flight: int, now_s: float) -> None:
        """Ignore the start of a run."""

    def adjust(self, now_s: float) -> None:
        """Make no periodic adjustment."""

    def record(self, sample: Sample, in_flight: int, now_s: float) -> None:
        """Adjust the limit by the ratio of the slow to the fast average."""
        if sample.kind is SampleKind.SHED:
            self.size *= 0.95
            return
        service_s = sample.latency_s - sample.downstream_s
        self.fast_average_s += 0.05 * (service_s - self.fast_average_s)
        if not self.slow_average_s:
            self.fast_average_s = self.slow_average_s = service_s
        self.slow_average_s += 0.001 * (service_s - self.slow_average_s)
        if self.slow_average_s > 2.0 * self.fast_average_s:
            self.slow_average_s *= 0.95
        if in_flight < self.size / 2:
            return
        gradient = min(1.0, max(0.5, 1.2 * self.slow_average_s / self.fast_average_s))
        target = self.size * gradient + math.sqrt(self.size)
        self.size = max(2.0, 0.95 * self.size + 0.05 * target)


@define
class AimdLimiter:
    """Additive increase, and multiplicative decrease when latency rises."""

    size: float = 8.0
    min_s: float = math.inf
    last_reduction_s: float = 0.0

    @property
    def limit(self) -> int:
        """Number of calls that may run at the same time."""
        return max(2, round(self.size))

    def record_start(self, in_flight: int, now_s: float) -> None:
        """Ignore the start of a run."""

    def adjust(self, now_s: float) -> None:
        """Raise the minimum latency slowly, so that old minima expire."""
        self.min_s *= 1.005

    def record(self, sample: Sample, in_flight: int, now_s: float) -> None:
        """Raise the limit by one for each full round of runs, or reduce it."""
        service_s = sample.latency_s - sample.downstream_s
        slow = sample.kind is SampleKind.SHED
        if not slow:
            self.min_s = min(self.min_s, service_s)
            slow = service_s > 4.0 * self.min_s
        if slow:
            if now_s - sample.latency_s > self.last_reduction_s:
                self.size = max(2.0, self.size * 0.9)
                self.last_reduction_s = now_s
        elif in_flight >= self.size * 0.9:
            self.size += 1.0 / self.size


@frozen
class Scenario:
    """One simulated server; ``sigma`` is that of the lognormal service times."""

    name: str
    slots: int
    mean_service_s: float
    sigma: float
    slowdown: Callable[[float], float] = lambda now_s: 1.0
    downstream_s: float = 0.0
    max_in_flight: int = 1_000_000


def _slow_at_start(now_s: float) -> float:
    return 1.0 + 7.0 * math.exp(-now_s / 2.0)


def _slow_temporarily(now_s: float) -> float:
    return 10.0 if _SLOWDOWN_START_S <= now_s < _SLOWDOWN_END_S else 1.0


SCENARIOS = (
    Scenario("25 slots", 25, 0.05, 0.3),
    Scenario("25 slots, wide", 25, 0.05, 0.8),
    Scenario("180 slots", 180, 0.05, 0.3),
    Scenario("180 slots, wide", 180, 0.05, 0.8),
    Scenario("180, cold", 180, 0.05, 0.3, _slow_at_start),
    Scenario("25, slow at 10-20", 25, 0.05, 0.3, _slow_temporarily),
    Scenario("180, slow at 10-20", 180, 0.05, 0.3, _slow_temporarily),
    Scenario("25, downstream", 25, 0.05, 0.3, downstream_s=0.2),
    Scenario("5 slots", 5, 0.08, 0.3),
    Scenario("25, sheds at 30", 25, 0.05, 0.3, max_in_flight=30),
)


def measure(
    scenario: Scenario,
    limiter: LimiterPort,
    load: float = 2.0,
    seconds: float = _SECONDS,
) -> Simulation:
    """Run one scenario at a multiple of its capacity."""
    rng = random.Random(_SEED)
    mu = -(scenario.sigma**2) / 2.0

    def draw_service_s(now_s: float) -> float:
        factor = rng.lognormvariate(mu, scenario.sigma)
        return scenario.mean_service_s * scenario.slowdown(now_s) * factor

    slot_time_s = scenario.mean_service_s + scenario.downstream_s
    offered = load * scenario.slots / slot_time_s
    server = ServerModel(
        scenario.slots, draw_service_s, scenario.downstream_s, scenario.max_in_flight
    )
    simulation = Simulation(server, limiter, lambda now_s: offered, rng)
    simulate(simulation, seconds)
    return simulation


def _report(scenario: Scenario, name: str, limiter: LimiterPort) -> None:
    points = measure(scenario, limiter).points
    limits = " ".join(
        f"{points[second].limit:4.0f}"
        for second in (0, 1, 2, 4, 8, 11, 13, 18, 20, 22, 28)
    )
    slot_time_s = scenario.mean_service_s + scenario.downstream_s
    goodput = sum(
        point.completed * scenario.slowdown(point.second + 0.5) for point in points[3:]
    )
    share = goodput * slot_time_s / scenario.slots / (len(points) - 3)
    shed = sum(point.shed for point in points)
    print(f"{scenario.name:20} {name:9} {limits}  {share:5.2f} {shed:5}")


def main() -> None:
    """Print the limit over time and the used share of the capacity."""
    print("limit in second 0 1 2 4 8 11 13 18 20 22 28; share of capacity; shed")
    for scenario in SCENARIOS:
        _report(scenario, "probe", Limiter())
        if "--all" in sys.argv:
            _report(scenario, "gradient", GradientLimiter())
            _report(scenario, "aimd", AimdLimiter())


if __name__ == "__main__":
    main()
