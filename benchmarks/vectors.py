"""Measures the cost of one solution of the learner, with routes that ran only once.

Run it with ``python -m benchmarks.vectors``. Runs start and finish at random on a
simulated clock; only the processor time of the solution is measured. The ratio compares
it with the solution without routes that ran once.
"""

from __future__ import annotations

import random
import statistics
import time

from attrs import define, field, frozen

from eelgrassmount.relay.vectors import VectorLearner

SEED = 11
MOVE_INTERVAL_S = 0.001
# A move is the start or the end of a run. The first solution is not measured.
WARM_UP_MOVES = 12_000
MOVES_PER_SOLUTION = 1000
MOVES_PER_ROUTE_RUN_ONCE = 8
# bound and interval of the random target for the number of runs in flight
MAX_IN_FLIGHT = 140
MOVES_PER_TARGET = 100
CALL_PROBABILITY = 0.3
REPETITIONS = 3


@frozen
class Scenario:
    """Numbers of routes: always running, run once, and called downstream."""

    busy: int
    once: int
    called: int


SCENARIOS = (
    Scenario(busy=3, once=0, called=1),
    Scenario(busy=3, once=30, called=1),
    Scenario(busy=3, once=100, called=1),
    Scenario(busy=8, once=0, called=3),
    Scenario(busy=8, once=100, called=3),
    Scenario(busy=16, once=0, called=8),
)


@define(eq=False)
class RandomWalk:
    """Starts and finishes runs at random, and records them with a learner."""

    scenario: Scenario
    rng: random.Random
    learner: VectorLearner = field(init=False)
    now_s: float = 100.0
    running: list[str] = field(factory=list)
    target_in_flight: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the learner."""
        self.learner = VectorLearner(lambda: self.now_s)

    def run_once(self) -> None:
        """Run each route that runs only once, among runs of the others."""
        for number in range(self.scenario.once):
            self.learner.start_run(f"once-{number}")
            self.move(MOVES_PER_ROUTE_RUN_ONCE)
            self.learner.finish_run(f"once-{number}")

    def move(self, moves: int) -> None:
        """Start and finish runs of busy routes, and record some downstream calls."""
        for move in range(moves):
            self.now_s += MOVE_INTERVAL_S
            if move % MOVES_PER_TARGET == 0:
                self.target_in_flight = self.rng.randrange(MAX_IN_FLIGHT)
            self._move_once()
            if self.rng.random() < CALL_PROBABILITY:
                self.learner.record_call(f"called-{move % self.scenario.called}")

    def _move_once(self) -> None:
        running = self.running
        starts_run = self.rng.random() * 2 * self.target_in_flight > len(running)
        if starts_run or not running:
            running.append(f"busy-{self.rng.randrange(self.scenario.busy)}")
            self.learner.start_run(running[-1])
        else:
            self.learner.finish_run(running.pop(self.rng.randrange(len(running))))


def measure(scenario: Scenario, seed: int) -> tuple[float, float]:
    """Return the milliseconds of processor time of one solution and its longest step.

    Each step solves for one of the called routes.
    """
    walk = RandomWalk(scenario, random.Random(seed))
    called = {f"called-{number}" for number in range(scenario.called)}
    walk.run_once()
    walk.move(WARM_UP_MOVES)
    walk.learner.solve(called)
    walk.move(MOVES_PER_SOLUTION)
    steps_ms = []
    for step in range(scenario.called):
        started_s = time.process_time()
        if step:
            walk.learner.continue_solving()
        else:
            walk.learner.solve(called)
        steps_ms.append((time.process_time() - started_s) * 1000)
    return sum(steps_ms), max(steps_ms)


def main() -> None:
    """Print the cost of a solution by scenario."""
    baseline_ms = 0.0
    print("busy once called      ms  longest  ratio to once=0")
    for scenario in SCENARIOS:
        measured = [measure(scenario, SEED + number) for number in range(REPETITIONS)]
        cost_ms, longest_ms = (
            statistics.median(values) for values in zip(*measured, strict=True)
        )
        if not scenario.once:
            baseline_ms = cost_ms
        counts = f"{scenario.busy:4} {scenario.once:4} {scenario.called:6}"
        ratio = cost_ms / baseline_ms
        print(f"{counts} {cost_ms:7.1f} {longest_ms:8.1f}  {ratio:.2f}", flush=True)


if __name__ == "__main__":
    main()
