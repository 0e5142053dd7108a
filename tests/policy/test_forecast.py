"""Demand that follows from what clients offer, with a load whose calls never come."""

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
    # the third is taken for as fast as the others are on the mean
    assert estimate_capacity(loads, PART) == pytest.approx(100 + 50 + 40)
    assert estimate_capacity(loads, ITEM) == 0.0


def test_demand_is_added_up_over_the_routes_that_run_there():
    loads = [make_load(10, part=0.1, item=0.2)]
    required_rates = {PART: 50.0, ITEM: 25.0, "shop/new/": 9.0}
    assert forecast_demand(required_rates, loads, 1) == pytest.approx(1.0)
    # one of two servers has reported
    assert forecast_demand(required_rates, loads, 2) == pytest.approx(0.5)
    assert forecast_demand(required_rates, [], 2) == 0.0


def test_forecast_keeps_no_service_idle_that_has_room():
    control = AdmissionController()
    for _ in range(50):
        control.update(0.5, 0.0, forecast=3.0)
    assert control.admitted_fraction == 1.0


@pytest.mark.parametrize("arriving", [0.0, 0.7, 0.95, 2.0])
def test_lower_forecast_leaves_what_was_counted(arriving):
    assert estimate_offered_load(1.3, 0.4, arriving) == 1.3


CALLS = 8
CALL_STEPS = 1


@define(eq=False)
class Chains:
    """Requests that make eight calls of a service, one a step, which has few servers.

    What finds no room there fails, and makes no further calls; room is given to calls
    by chance alike. ``foresees`` says whether the forecast is gone by.
    """

    room: float
    foresees: bool
    control: AdmissionController = field(factory=AdmissionController)
    open_calls: list[float] = field(factory=lambda: [0.0] * CALLS)
    demand: float = 0.0
    finished: float = 0.0

    def step(self, offered: float) -> None:
        """Let so many requests be offered in a step."""
        level = self.control.admitted_fraction
        self.open_calls = [offered * level, *self.open_calls[: CALLS - 1]]
        arriving = sum(self.open_calls)
        accepted = min(1.0, self.room / max(arriving, 1e-9))
        self.open_calls = [count * accepted for count in self.open_calls]
        self.finished += self.open_calls[-1]
        self.demand += 0.4 * (arriving / self.room - self.demand)
        wait = 2.0 if arriving > self.room else 0.0
        forecast = offered * CALLS / self.room if self.foresees else 0.0
        self.control.update(self.demand, wait, forecast=forecast)


def play(foresees: bool, surge: float = 15.0, seconds: int = 10) -> list[float]:
    """Return the parts of what the servers can do that were finished, by two seconds.

    Two of three servers leave while what is offered rises by half.
    """
    chains = Chains(room=100.0, foresees=foresees)
    for _ in range(50):
        chains.step(10.0)
    chains.room = 33.0
    parts = []
    for _ in range(seconds // 2):
        chains.finished = 0.0
        for _ in range(10):
            chains.step(surge)
        parts.append(chains.finished * CALLS / (chains.room * 10))
    return parts


@pytest.mark.parametrize("surge", [12.0, 15.0, 20.0, 30.0])
def test_servers_that_are_left_finish_half_of_what_they_can_at_any_time(surge):
    """By what arrives alone, demand is a quarter of what is offered."""
    assert min(play(True, surge)) > 0.5
    assert sum(play(True, surge)) > sum(play(False, surge))
