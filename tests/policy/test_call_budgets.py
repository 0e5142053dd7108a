"""Shares, costs and floors of call budgets."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.call_budgets import (
    MAX_CORRECTION,
    MIN_CORRECTION,
    MIN_RELATIVE_SHARE,
    adjust_correction,
    compute_burst_s,
    compute_capacities,
    compute_floor_s,
    compute_request_cost,
    compute_share,
)
from eelgrassmount.relay.members import MemberLoad


def make_load(limit: float, **run_s: float) -> MemberLoad:
    return MemberLoad(limit=limit, run_s=run_s)


def test_capacity_adds_up_servers_of_different_speed():
    loads = [make_load(10, part=0.1), make_load(10, part=0.05), make_load(10)]
    capacities = compute_capacities(loads, ["part", "list"], scale=2.0)
    # The third server is taken to need the mean of the others.
    assert capacities == {"part": pytest.approx(2 * (100 + 200 + 10 / 0.075))}


def test_cost_leaves_out_routes_of_unknown_capacity():
    runs = {"part": 4.0, "list": 1.0, "new": 9.0}
    assert compute_request_cost(runs, {"part": 400.0, "list": 100.0}) == 0.02


@pytest.mark.parametrize(
    ("own", "total", "share"),
    [(0.2, 0.4, 0.5), (0.0, 0.4, MIN_RELATIVE_SHARE / 8), (0.0, 0.0, 1 / 8), (9, 1, 1)],
)
def test_share_follows_the_demand_within_bounds(own, total, share):
    assert compute_share(own, total, nodes=8) == share


def test_bucket_of_a_node_with_few_requests_holds_several():
    assert compute_burst_s(rate=1e-4, max_cost_s=0.01) == 0.03


def test_less_urgent_ranks_leave_more_tokens():
    floors = [compute_floor_s(position, 4, 0.1, 0.1) for position in range(4)]
    assert floors[0] < floors[1] < 0 < floors[3] < 0.1
    assert floors == sorted(floors)


def test_correction_stays_in_its_range():
    raised = lowered = 1.0
    for _ in range(200):
        raised = adjust_correction(raised, utilization=0.5, wait=0.0)
        lowered = adjust_correction(lowered, utilization=1.0, wait=3.0)
    assert (raised, lowered) == (MAX_CORRECTION, MIN_CORRECTION)
