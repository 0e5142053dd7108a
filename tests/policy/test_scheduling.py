"""Start order, longest wait and slack of calls."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.scheduling import (
    MAX_DUE_FACTOR,
    compute_due_factor,
    compute_max_wait_s,
    compute_slack_s,
)
from eelgrassmount.relay.messages import Origin


def test_urgent_calls_are_due_sooner():
    factors = [
        compute_due_factor(Origin(priority, downstream=True, remaining_runs=5))
        for priority in range(4)
    ]
    assert factors == sorted(factors)
    assert factors[0] < factors[1]


def test_calls_with_fewer_remaining_runs_are_due_sooner():
    factors = [
        compute_due_factor(Origin(2, downstream=True, remaining_runs=left))
        for left in (1, 3, 5, 11)
    ]
    assert factors == sorted(factors)
    assert factors[0] < 0.5 * factors[-1]


def test_last_call_of_a_request_goes_before_the_first_of_an_urgent_one():
    assert compute_due_factor(Origin(2, True, remaining_runs=1)) < compute_due_factor(
        Origin(0, True, remaining_runs=11)
    )


def test_due_factor_is_bounded():
    assert (
        compute_due_factor(Origin(1000, downstream=True, remaining_runs=1000))
        <= 1.4 * MAX_DUE_FACTOR
    )


def test_client_request_is_due_after_downstream_calls():
    assert compute_due_factor(Origin(2, remaining_runs=1)) > compute_due_factor(
        Origin(2, True, remaining_runs=2)
    )


@pytest.mark.parametrize("run_s", [0.0, 0.1, 0.3, 0.4])
def test_wait_leaves_time_for_the_run(run_s):
    """A wait that ignores the run time makes requests miss their objective."""
    wait_s = compute_max_wait_s(0.6, run_s, is_downstream=False)
    assert wait_s <= 0.3
    assert wait_s + run_s <= 0.6


def test_request_that_is_late_on_any_server_may_still_wait():
    """Requests whose run takes their whole objective must not be refused for it."""
    assert compute_max_wait_s(0.3, run_s=0.3, is_downstream=False) == pytest.approx(
        0.15
    )


def test_downstream_call_may_wait_for_its_whole_objective():
    assert compute_max_wait_s(0.3, 0.2, is_downstream=True) == 0.3


def test_longer_runs_have_less_slack():
    slacks_s = [compute_slack_s(0.6, 0.6, run_s) for run_s in (0.0, 0.1, 0.3, 0.5, 2.0)]
    assert slacks_s == sorted(slacks_s, reverse=True)
    assert slacks_s[0] == pytest.approx(0.6)
    assert slacks_s[-1] > 0.0
