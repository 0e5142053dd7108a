"""Planned retries of all dispatchers of a service stay in its budget and use it."""

from __future__ import annotations

import random
from bisect import bisect_left
from functools import partial

import pytest
from attrs import define, field

from eelgrassmount.policy.retries import COUNTED_PARTS
from eelgrassmount.relay.budget import RetryBudget
from eelgrassmount.relay.messages import Origin

RATIO = 0.2
WINDOW_S = 10.0
SLACK = 108.0
STEP_S = 0.05
# A dispatcher reports every half second on average.
REPORT_CHANCE = 0.1
START_S = 1000.0
REJECTED_SHARE = 0.55
# The most that a repeated run of another service may add, as a share of the ratio.
INHERITED_SHARE = 0.08


@define(eq=False)
class Dispatchers:
    """The dispatchers of a service, whose clocks differ by up to a window.

    ``reports`` are the requests that each last reported; ``is_cut`` is set while they
    don't hear from each other.
    """

    rng: random.Random
    number: int
    now_s: float = START_S
    is_cut: bool = False
    budgets: list[RetryBudget] = field(factory=list)
    reports: list[list[int]] = field(factory=list)
    requests: list[float] = field(factory=list)
    retries: list[float] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.budgets = [self.start(index) for index in range(self.number)]
        self.reports = [[0] * COUNTED_PARTS] * self.number

    def start(self, index: int) -> RetryBudget:
        offset_s = self.rng.uniform(0.0, WINDOW_S)
        return RetryBudget(
            lambda: self.now_s + offset_s,
            *(RATIO, WINDOW_S, SLACK, lambda: self.number, self.rng),
            plans_retries=lambda: True,
            find_other_requests=partial(self.find_other_requests, index),
            find_rejected_share=lambda: REJECTED_SHARE,
        )

    def find_other_requests(self, index: int, service: str):
        if self.is_cut:
            return None
        return self.reports[:index] + self.reports[index + 1 :]

    def step(self, rates: list[float], wanted: int, inherited: float = 0.0) -> None:
        """Receive requests, and ask for ``wanted`` retries at each dispatcher."""
        self.now_s += STEP_S
        for index, (budget, rate) in enumerate(zip(self.budgets, rates, strict=True)):
            for _ in range(int(rate * STEP_S + self.rng.random())):
                budget.count_request("list")
                self.requests.append(self.now_s)
                if self.rng.random() < inherited:
                    budget.count_inherited_retry("list")
                    self.retries.append(self.now_s)
            for _ in range(wanted):
                if budget.take("list", Origin(0), True):
                    self.retries.append(self.now_s)
            if self.rng.random() < REPORT_CHANCE:
                self.reports[index] = budget.list_request_parts("list")

    def count_allowed(self, end_s: float) -> float:
        """Return the retries that the rule allows in the window that ends then."""
        spans = [(end_s - back - WINDOW_S, end_s - back) for back in (0.0, 5.0, 10.0)]
        return RATIO * max(count(self.requests, *span) for span in spans) + SLACK

    def count_used(self, end_s: float) -> int:
        return count(self.retries, end_s - WINDOW_S, end_s)


def count(times: list[float], begin_s: float, end_s: float) -> int:
    return bisect_left(times, end_s) - bisect_left(times, begin_s)


@pytest.mark.parametrize("seed", range(24))
def test_no_window_exceeds_the_budget(seed):
    """Load moves and surges, nodes restart and are cut off, servers reject at times."""
    rng = random.Random(seed)
    dispatchers = Dispatchers(rng, rng.choice((1, 2, 5, 9)))
    scale = rng.choice((1, 6))
    rates = [50.0 * scale] * dispatchers.number
    wanted = 0
    while dispatchers.now_s < START_S + 45.0:
        if rng.random() < 0.01:
            rates = [scale * rng.choice((0.0, 10.0, 50.0, 150.0)) for _ in rates]
        if rng.random() < 0.01:
            wanted = scale * rng.choice((0, 1, 10))
        if rng.random() < 0.01:
            dispatchers.is_cut = not dispatchers.is_cut
        if rng.random() < 0.004:
            index = rng.randrange(dispatchers.number)
            dispatchers.budgets[index] = dispatchers.start(index)
            dispatchers.reports[index] = [0] * COUNTED_PARTS
        dispatchers.step(rates, wanted, INHERITED_SHARE * RATIO * rng.random())
    for tenth in range(450):
        end_s = START_S + tenth / 10
        used = dispatchers.count_used(end_s)
        assert used <= dispatchers.count_allowed(end_s), (end_s, used)


@pytest.mark.parametrize("is_cut", [False, True])
def test_steady_rejection_uses_nearly_all_of_the_budget(is_cut):
    dispatchers = Dispatchers(random.Random(1), 5, is_cut=is_cut)
    while dispatchers.now_s < START_S + 50.0:
        dispatchers.step([400.0] * 5, wanted=40)
    for end_s in range(1031, 1050):
        used = dispatchers.count_used(end_s)
        assert 0.85 < used / dispatchers.count_allowed(end_s) <= 1.0


def test_outage_is_covered_evenly():
    """Servers reject for 8.5 s, and lost requests make 0.4 of their calls only."""
    dispatchers = Dispatchers(random.Random(1), 5)
    while dispatchers.now_s < 1012.0:
        dispatchers.step([800.0] * 5, wanted=0)
    while dispatchers.now_s < 1020.5:
        dispatchers.step([320.0] * 5, wanted=40)
    used = [count(dispatchers.retries, end_s - 1, end_s) for end_s in range(1013, 1021)]
    # Half of the window was half a window ago at the start of the load.
    allowed = 0.85 * RATIO * 5 * 800.0
    assert sum(used) > 0.85 * 8 * allowed
    assert max(used) < 1.7 * min(used)
