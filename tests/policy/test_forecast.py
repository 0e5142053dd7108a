"""Forecasts of demand, also where failed requests make no further calls."""

from __future__ import annotations

import pytest
from attrs import define, field

from eelgrassmount.policy.admission_controller import AdmissionController
from eelgrassmount.policy.forecast import (
    estimate_capacity,
    estimate_offered_load,
    forecast_demand,
)
from eelgrassmount.relay.members import MemberLoad

PART, ITEM = "shop/part/", "shop/item/"


def make_load(limit: int, **run_s: float) -> MemberLoad:
    return MemberLoad(limit=limit, run_s={f"shop/{k}/": v for k, v in run_s.items()})


def test_capacity_follows_slots_and_speed_of_each_server():
    loads = [make_load(10, part=0.1), make_load(20, part=0.4), make_load(10)]
    # The third server has run no such call and gets the mean run time.
    assert estimate_capacity(loads, PART) == pytest.approx(100 + 50 + 40)
    assert estimate_capacity(loads, ITEM) == 0.0


def test_demand_is_the_sum_over_all_routes_of_the_service():
    loads = [make_load(10, part=0.1, item=0.2)]
    required_rates = {PART: 50.0, ITEM: 25.0, "shop/new/": 9.0}
    assert forecast_demand(required_rates, loads, 1) == pytest.approx(1.0)
    # Only one of two servers has reported.
    assert forecast_demand(required_rates, loads, 2) == pytest.approx(0.5)
    assert forecast_demand(required_rates, [], 2) == 0.0


def test_forecast_does_not_limit_a_service_with_free_capacity():
    controller = AdmissionController()
    for _ in range(50):
        controller.update(0.5, 0.0, forecast=3.0)
    assert controller.admitted_fraction == 1.0


@pytest.mark.parametrize("arriving", [0.0, 0.7, 0.95, 2.0])
def test_lower_forecast_is_ignored(arriving):
    assert estimate_offered_load(1.3, 0.4, arriving) == 1.3


CALLS = 8
CALL_STEPS = 1


@define(eq=False)
class CallChains:
    """Simulates requests that make eight calls to an overloaded service, one per step.

    Calls beyond ``capacity`` fail, and their requests make no further calls. All calls
    are equally likely to fail. ``uses_forecast`` passes the forecast to the controller.
    """

    capacity: float
    uses_forecast: bool
    controller: AdmissionController = field(factory=AdmissionController)
    open_calls: list[float] = field(factory=lambda: [0.0] * CALLS)
    demand: float = 0.0
    finished: float = 0.0

    def step(self, offered: float) -> None:
        """Simulate one step in which clients send ``offered`` requests."""
        fraction = self.controller.admitted_fraction
        self.open_calls = [offered * fraction, *self.open_calls[: CALLS - 1]]
        arriving = sum(self.open_calls)
        accepted = min(1.0, self.capacity / max(arriving, 1e-9))
        self.open_calls = [count * accepted for count in self.open_calls]
        self.finished += self.open_calls[-1]
        self.demand += 0.4 * (arriving / self.capacity - self.demand)
        wait = 2.0 if arriving > self.capacity else 0.0
        forecast = offered * CALLS / self.capacity if self.uses_forecast else 0.0
        self.controller.update(self.demand, wait, forecast=forecast)


def simulate(
    uses_forecast: bool, surge: float = 15.0, seconds: int = 10
) -> list[float]:
    """Return the share of capacity spent on finished requests, per two seconds.

    Two of three servers leave while the offered load rises.
    """
    chains = CallChains(capacity=100.0, uses_forecast=uses_forecast)
    for _ in range(50):
        chains.step(10.0)
    chains.capacity = 33.0
    shares = []
    for _ in range(seconds // 2):
        chains.finished = 0.0
        for _ in range(10):
            chains.step(surge)
        shares.append(chains.finished * CALLS / (chains.capacity * 10))
    return shares


@pytest.mark.parametrize("surge", [12.0, 15.0, 20.0, 30.0])
def test_remaining_servers_spend_half_of_their_capacity_on_finished_requests(surge):
    """Without a forecast, most requests fail before their last call."""
    assert min(simulate(True, surge)) > 0.5
    assert sum(simulate(True, surge)) > sum(simulate(False, surge))
