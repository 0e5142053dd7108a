"""The level of a short service, alone and in a loop with late reports."""

from __future__ import annotations

import random

import pytest
from attrs import define, field

from eelgrassmount.policy.admission_controller import (
    CONTROL_INTERVAL_S,
    MAX_REPORT_AGE_STEPS,
    MIN_ADMITTED_FRACTION,
    TARGET_DEMAND,
    AdmissionController,
)


def test_level_falls_with_demand_and_comes_back():
    control = AdmissionController()
    for _ in range(200):
        control.update(3.0, 2.0)
    assert control.admitted_fraction == MIN_ADMITTED_FRACTION
    for _ in range(100):
        control.update(0.3, 0.0)
    assert control.admitted_fraction == 1.0


def test_level_settles_where_demand_meets_its_target_though_it_shows_late():
    control = AdmissionController()
    late = [2.0, 2.0, 2.0]
    levels = []
    for _ in range(100):
        late.append(2.0 * control.admitted_fraction)
        levels.append(control.update(late.pop(0), 0.0))
    assert levels[-1] * 2.0 == pytest.approx(TARGET_DEMAND, abs=0.02)
    assert min(levels) * 2.0 > 0.7


def test_backlog_lowers_the_level_by_less_than_a_quarter_in_a_second():
    control = AdmissionController(0.5)
    for _ in range(5):
        control.update(0.95, 2.0)
    assert 0.375 < control.admitted_fraction < 0.5


def test_level_falls_with_the_wait_though_little_demand_is_counted():
    control = AdmissionController()
    control.update(0.73, 1.51)
    assert control.admitted_fraction < 1.0


def test_report_that_is_old_moves_the_level_no_further_than_a_new_one():
    """A report was taken for new at each step: it lowered the level again and again."""
    new, old = AdmissionController(), AdmissionController()
    for age in range(MAX_REPORT_AGE_STEPS):
        new.update(1.5, 0.0)
        old.update(1.5, 0.0, age)
    assert old.admitted_fraction == pytest.approx(TARGET_DEMAND / 1.5, abs=0.02)
    assert new.admitted_fraction < old.admitted_fraction


def test_level_rises_slowly_while_nothing_is_known():
    control = AdmissionController(0.5)
    control.increase_without_reports()
    assert 0.5 < control.admitted_fraction < 0.6
    for _ in range(10):
        control.increase_without_reports()
    assert control.admitted_fraction == 1.0


@define(eq=False)
class Loop:
    """A service whose calls come over the second after their request is admitted.

    Work is counted in seconds of all servers; ``report_steps`` is the time between two
    reports, on which the level goes for as long.
    """

    report_steps: int
    rng: random.Random
    control: AdmissionController = field(factory=AdmissionController)
    admitted: list[float] = field(factory=lambda: [0.8] * 6)
    backlog: float = 0.0
    demand: float = 0.8
    waited_s: float = 0.0
    reported: tuple[float, float] = (0.8, 0.0)
    age: int = 0
    steps: int = 0

    def step(self, offered: float) -> float:
        """Play one step; return the part of the offered work that was admitted."""
        arrived = sum(self.admitted[-6:-1]) / 5 * self.rng.uniform(0.95, 1.05)
        self.backlog = max(0.0, self.backlog + (arrived - 1.0) * CONTROL_INTERVAL_S)
        self.demand += 0.4 * (arrived - self.demand)
        self.age += 1
        if self.steps % self.report_steps == 0:
            self.reported = (self.demand, self.backlog / 0.041)
            self.age = 0
        self.steps += 1
        level = self.control.update(*self.reported, self.age)
        self.admitted.append(offered * level)
        return level


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("report_steps", [1, 2, 5])
def test_surge_is_met_within_two_seconds_and_over_within_two(report_steps, seed):
    """Twice the load for six seconds, then as before, with reports 0.2 to 1 s apart.

    The level that moved by steps was at 0.75 two seconds after a surge of such a kind
    with reports 1 s apart and at 0.5 two seconds after its end: it came too late, and
    then refused for eight seconds with nothing to refuse for.
    """
    loop = Loop(report_steps, random.Random(seed))
    for _ in range(20):
        loop.step(0.8)
    surge = [loop.step(1.6) for _ in range(30)]
    after = [loop.step(0.8) for _ in range(30)]
    assert max(surge[12:]) < 0.75
    assert sum(surge[12:]) / len(surge[12:]) > 0.3
    assert min(after[15:]) > 0.8
