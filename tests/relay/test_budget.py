"""The retry budget of one node."""

from __future__ import annotations

from eelgrassmount.relay.budget import RATIO_SHARE, SLACK_SHARE, RetryBudget


def test_sum_over_all_nodes_stays_in_the_budget():
    now_s = 100.0
    nodes = 10
    budgets = [
        RetryBudget(lambda: now_s, 0.2, 10.0, 49.0, lambda: nodes) for _ in range(nodes)
    ]
    retries = 0
    for budget in budgets:
        for _ in range(100):
            budget.note_request("list")
        retries += sum(budget.take("list") for _ in range(100))
    allowed = 0.2 * 1000 * RATIO_SHARE + 49 * SLACK_SHARE
    assert 0 < retries <= allowed


def test_budget_is_per_service_and_slides():
    clock = [100.0]
    budget = RetryBudget(lambda: clock[0], 0.2, 10.0, 2.0, lambda: 1)
    assert budget.take("list")
    assert not budget.take("list")
    assert budget.take("other")
    clock[0] += 10.5
    assert budget.take("list")
