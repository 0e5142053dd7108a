"""The admission controller, alone and in a control loop with delayed reports."""

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


def test_admitted_fraction_falls_with_demand_and_recovers():
    controller = AdmissionController()
    for _ in range(200):
        controller.update(3.0, 2.0)
    assert controller.admitted_fraction == MIN_ADMITTED_FRACTION
    for _ in range(100):
        controller.update(0.3, 0.0)
    assert controller.admitted_fraction == 1.0


def test_demand_settles_at_its_target_despite_delayed_effect():
    controller = AdmissionController()
    delayed = [2.0, 2.0, 2.0]
    fractions = []
    for _ in range(100):
        delayed.append(2.0 * controller.admitted_fraction)
        fractions.append(controller.update(delayed.pop(0), 0.0))
    assert fractions[-1] * 2.0 == pytest.approx(TARGET_DEMAND, abs=0.02)
    assert min(fractions) * 2.0 > 0.7


def test_backlog_lowers_the_fraction_by_less_than_a_quarter_in_a_second():
    controller = AdmissionController(0.5)
    for _ in range(5):
        controller.update(0.95, 2.0)
    assert 0.375 < controller.admitted_fraction < 0.5


def test_long_wait_lowers_the_fraction_despite_low_measured_demand():
    controller = AdmissionController()
    controller.update(0.73, 1.51)
    assert controller.admitted_fraction < 1.0


def test_old_report_is_not_applied_again_at_each_step():
    """An old report that counts as new lowers the fraction at each step."""
    new, old = AdmissionController(), AdmissionController()
    for age in range(MAX_REPORT_AGE_STEPS):
        new.update(1.5, 0.0)
        old.update(1.5, 0.0, age)
    assert old.admitted_fraction == pytest.approx(TARGET_DEMAND / 1.5, abs=0.02)
    assert new.admitted_fraction < old.admitted_fraction


def test_fraction_rises_slowly_without_reports():
    controller = AdmissionController(0.5)
    controller.increase_without_reports()
    assert 0.5 < controller.admitted_fraction < 0.6
    for _ in range(10):
        controller.increase_without_reports()
    assert controller.admitted_fraction == 1.0


@define(eq=False)
class ControlLoop:
    """Simulates a service whose calls arrive up to a second after their admission.

    Work is a fraction of capacity. The controller uses each report for
    ``report_steps`` steps.
    """

    report_steps: int
    rng: random.Random
    controller: AdmissionController = field(factory=AdmissionController)
    admitted: list[float] = field(factory=lambda: [0.8] * 6)
    backlog: float = 0.0
    demand: float = 0.8
    waited_s: float = 0.0
    reported: tuple[float, float] = (0.8, 0.0)
    age: int = 0
    steps: int = 0

    def step(self, offered: float) -> float:
        """Simulate one step and return the admitted fraction."""
        arrived = sum(self.admitted[-6:-1]) / 5 * self.rng.uniform(0.95, 1.05)
        self.backlog = max(0.0, self.backlog + (arrived - 1.0) * CONTROL_INTERVAL_S)
        self.demand += 0.4 * (arrived - self.demand)
        self.age += 1
        if self.steps % self.report_steps == 0:
            self.reported = (self.demand, self.backlog / 0.041)
            self.age = 0
        self.steps += 1
        fraction = self.controller.update(*self.reported, self.age)
        self.admitted.append(offered * fraction)
        return fraction


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("report_steps", [1, 2, 5])
def test_fraction_follows_a_surge_and_its_end_within_three_seconds(report_steps, seed):
    """A controller that reacts delayed refuses requests after the surge has ended."""
    loop = ControlLoop(report_steps, random.Random(seed))
    for _ in range(20):
        loop.step(0.8)
    surge = [loop.step(1.6) for _ in range(30)]
    after = [loop.step(0.8) for _ in range(30)]
    assert max(surge[12:]) < 0.75
    assert sum(surge[12:]) / len(surge[12:]) > 0.3
    assert min(after[15:]) > 0.8


@pytest.mark.parametrize("seed", range(20))
def test_update_changes_nothing_while_a_service_stays_open(seed):
    rng = random.Random(seed)
    controller = AdmissionController()
    for _ in range(200):
        demand, wait, forecast = (rng.uniform(0.0, 1.2) for _ in range(3))
        stays_open = controller.stays_open(demand, wait, forecast)
        fraction = controller.update(demand, wait, rng.randrange(8), forecast)
        assert fraction == 1.0 or not stays_open
        if not stays_open and rng.random() < 0.5:
            controller = AdmissionController()


def test_service_does_not_stay_open_until_its_whole_history_was():
    controller = AdmissionController()
    controller.update(demand=2.0, wait=0.0)
    while controller.admitted_fraction < 1.0:
        assert not controller.stays_open(demand=0.1, wait=0.0)
        controller.update(demand=0.1, wait=0.0)
    assert not controller.stays_open(demand=0.1, wait=0.0)
