"""Retry budget of one node and of all nodes together."""

from __future__ import annotations

import random
from bisect import bisect_left

import pytest

from eelgrassmount.policy.retries import (
    FIRST_PRIORITY_RESERVED_SHARE,
    RETRY_RATIO_SHARE,
    RETRY_SLACK_SHARE,
    compute_reserved_share,
)
from eelgrassmount.relay.budget import EARLIER_WEIGHT, RetryBudget
from eelgrassmount.relay.messages import Origin

RATIO = 0.2
SLACK = 49.0
NODES = 10
WINDOW_S = 10.0
FIRST = Origin(0)


def make_budgets(clock, nodes: int = NODES) -> list[RetryBudget]:
    return [
        RetryBudget(clock, RATIO, WINDOW_S, SLACK, lambda: nodes) for _ in range(nodes)
    ]


def take_all(budget: RetryBudget, origin: Origin = FIRST, is_leaf: bool = True):
    taken = 0
    while budget.take("list", origin, is_leaf):
        taken += 1
    return taken


def take_for(budget: RetryBudget, clock: list[float], seconds: float) -> int:
    """Take all retries available every tenth of a second for some seconds."""
    taken = 0
    for _ in range(round(seconds * 10)):
        taken += take_all(budget)
        clock[0] += 0.1
    return taken


@pytest.mark.parametrize("is_leaf", [True, False])
def test_sum_over_all_nodes_stays_in_the_budget(is_leaf):
    retries = 0
    for budget in make_budgets(lambda: 100.0):
        for _ in range(100):
            budget.count_request("list")
        retries += take_all(budget, is_leaf=is_leaf)
    assert 0 < retries <= RATIO * 1000 * RETRY_RATIO_SHARE + SLACK * RETRY_SLACK_SHARE


def test_retries_along_a_chain_of_four_services_stay_in_the_budget():
    """A retry at one service multiplies the calls of all services below it."""
    retries = 0
    for budget in make_budgets(lambda: 100.0):
        inherited = 0
        for _ in range(3):
            above = make_budgets(lambda: 100.0)[0]
            for _ in range(100):
                above.count_request("list")
            inherited += take_all(above, is_leaf=False)
        for _ in range(100):
            budget.count_request("list")
        for _ in range(inherited):
            budget.count_inherited_retry("list")
        retries += inherited + take_all(budget)
    assert retries <= RATIO * 1000 + SLACK


def test_calls_of_repeated_runs_use_up_the_budget():
    taken = []
    for inherited in (0, 40):
        clock = [100.0]
        budget = RetryBudget(lambda clock=clock: clock[0], RATIO, WINDOW_S, SLACK, int)
        for _ in range(1000):
            budget.count_request("list")
        for _ in range(inherited):
            budget.count_inherited_retry("list")
        taken.append(take_for(budget, clock, 9.0))
    assert taken[0] - taken[1] == pytest.approx(40, abs=3)


def test_retries_of_a_window_are_spread_over_it():
    """Guards against using up the retries of a window in its first seconds."""
    clock = [100.0]
    budget = RetryBudget(lambda: clock[0], RATIO, WINDOW_S, 0.0, lambda: 1)
    for _ in range(1000):
        budget.count_request("list")
    seconds = [take_for(budget, clock, 1.0) for _ in range(8)]
    assert seconds[0] < 0.5 * sum(seconds)
    assert min(seconds) > 0.05 * sum(seconds)


def test_dispatchers_with_fractional_allowances_use_them_together():
    """Guards against allowances below one retry that are never used on any node."""
    budgets = make_budgets(lambda: 100.0, nodes=1000)
    for budget, seed in zip(budgets, range(1000), strict=True):
        budget.slack = 500.0
        budget.rng = random.Random(seed)
    taken = sum(take_all(budget) for budget in budgets)
    assert 0.8 * RETRY_SLACK_SHARE * 500 < taken < 1.2 * RETRY_SLACK_SHARE * 500


def test_dispatchers_with_fractional_allowances_stay_in_the_budget():
    clock = [100.0]
    budgets = make_budgets(lambda: clock[0], nodes=300)
    retries = []
    for number, budget in enumerate(budgets):
        budget.rng = random.Random(number)
    while clock[0] < 160.0:
        clock[0] += 0.5
        for budget in budgets:
            while budget.take("list", FIRST, True):
                retries.append(clock[0])
    for end_s in range(110, 160):
        assert count_between(retries, end_s - WINDOW_S, end_s) <= SLACK


def test_budget_is_per_service_and_slides():
    clock = [100.0]
    budget = RetryBudget(lambda: clock[0], RATIO, WINDOW_S, 3.0, lambda: 1)
    assert budget.take("list", FIRST, True)
    assert not budget.take("list", FIRST, True)
    assert budget.take("other", FIRST, True)
    clock[0] += 10.5
    assert budget.take("list", FIRST, True)


def test_requests_of_the_window_before_still_count():
    clock = [100.0]
    budget = RetryBudget(lambda: clock[0], RATIO, WINDOW_S, 0.0, lambda: 1)
    for _ in range(100):
        budget.count_request("list")
    clock[0] += 11.0
    allowed = RATIO * RETRY_RATIO_SHARE * EARLIER_WEIGHT * 100
    assert allowed - 2 < take_for(budget, clock, 8.0) <= allowed
    clock[0] += 15.0
    assert take_all(budget) == 0


def test_last_retries_are_for_requests_that_are_nearly_complete():
    (budget,) = make_budgets(lambda: 100.0, nodes=1)
    for _ in range(1000):
        budget.count_request("list")
    many_remaining = take_all(budget, Origin(0, True, remaining_runs=11))
    one_remaining = take_all(budget, Origin(0, True, remaining_runs=1))
    assert many_remaining > 0
    assert one_remaining == pytest.approx(
        compute_reserved_share(11, 0) * (many_remaining + one_remaining), abs=2
    )


def test_last_retries_are_for_the_first_priority():
    (budget,) = make_budgets(lambda: 100.0, nodes=1)
    for _ in range(1000):
        budget.count_request("list")
    other = take_all(budget, Origin(2, True, remaining_runs=2))
    first = take_all(budget, Origin(0, True, remaining_runs=2))
    assert other > 0
    assert first == pytest.approx(
        FIRST_PRIORITY_RESERVED_SHARE * (other + first), rel=0.1
    )


def count_between(times: list[float], begin_s: float, end_s: float) -> int:
    return bisect_left(times, end_s) - bisect_left(times, begin_s)


@pytest.mark.parametrize("seed", range(20))
def test_no_window_has_more_retries_than_allowed(seed):
    """Guards against retry bursts while load surges, ends and moves between nodes.

    The retries of any window are limited by its requests, or those of the window ending
    half a window or a whole window before, whichever are most.
    """
    rng = random.Random(seed)
    clock = [1000.0]
    budgets = make_budgets(lambda: clock[0])
    requests, retries = [], []
    rates = [20.0] * NODES
    while clock[0] < 1060.0:
        if rng.random() < 0.004:
            rates = [rng.choice((0.0, 5.0, 20.0, 60.0)) for _ in range(NODES)]
        clock[0] += 0.05
        for budget, rate in zip(budgets, rates, strict=True):
            for _ in range(int(rate * 0.05 + rng.random())):
                budget.count_request("list")
                requests.append(clock[0])
            while budget.take("list", FIRST, True):
                retries.append(clock[0])
    for tenth in range(200, 600):
        end_s = 1000.0 + tenth / 10
        spans = [(end_s - back - WINDOW_S, end_s - back) for back in (0.0, 5.0, 10.0)]
        most = max(count_between(requests, *span) for span in spans)
        used = count_between(retries, end_s - WINDOW_S, end_s)
        assert used <= RATIO * most + SLACK
