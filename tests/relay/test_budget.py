"""The retry budget of one node."""

from __future__ import annotations

import pytest

from eelgrassmount.relay.budget import (
    CHAIN_RATIO_SHARE,
    LAST_RATIO_SHARE,
    SLACK_SHARE,
    RetryBudget,
)

RATIO = 0.2
SLACK = 49.0
NODES = 10


@pytest.mark.parametrize(
    ("ends_chain", "share"), [(True, LAST_RATIO_SHARE), (False, CHAIN_RATIO_SHARE)]
)
def test_sum_over_all_nodes_stays_in_the_budget(ends_chain, share):
    budgets = [
        RetryBudget(lambda: 100.0, RATIO, 10.0, SLACK, lambda: NODES)
        for _ in range(NODES)
    ]
    retries = 0
    for budget in budgets:
        for _ in range(100):
            budget.note_request("list")
        retries += sum(budget.take("list", ends_chain) for _ in range(100))
    assert 0 < retries <= RATIO * 1000 * share + SLACK * SLACK_SHARE


def test_repeats_along_a_chain_of_four_services_stay_in_the_budget():
    # a repeat of each service before repeats the calls of all that follow
    inherited = 3 * (CHAIN_RATIO_SHARE * RATIO)
    assert inherited + LAST_RATIO_SHARE * RATIO < RATIO
    assert 4 * SLACK_SHARE <= 2.0


def test_budget_is_per_service_and_slides():
    clock = [100.0]
    budget = RetryBudget(lambda: clock[0], RATIO, 10.0, 3.0, lambda: 1)
    assert budget.take("list", True)
    assert not budget.take("list", True)
    assert budget.take("other", True)
    clock[0] += 10.5
    assert budget.take("list", True)
