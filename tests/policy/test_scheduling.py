"""Which calls a server is given first."""

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
    found = [
        compute_due_factor(Origin(priority, inner=True, left=5))
        for priority in range(4)
    ]
    assert found == sorted(found)
    assert found[0] < found[1]


def test_calls_of_requests_that_are_nearly_done_are_due_sooner():
    found = [
        compute_due_factor(Origin(2, inner=True, left=left)) for left in (1, 3, 5, 11)
    ]
    assert found == sorted(found)
    assert found[0] < 0.5 * found[-1]


def test_one_that_is_nearly_done_goes_before_an_urgent_one_that_begins():
    assert compute_due_factor(Origin(2, True, left=1)) < compute_due_factor(
        Origin(0, True, left=11)
    )


def test_no_call_is_put_off_for_good():
    assert (
        compute_due_factor(Origin(1000, inner=True, left=1000)) <= 1.4 * MAX_DUE_FACTOR
    )


def test_request_from_a_client_goes_behind_what_was_begun_for_others():
    assert compute_due_factor(Origin(2, left=1)) > compute_due_factor(
        Origin(2, True, left=2)
    )


@pytest.mark.parametrize("run_s", [0.0, 0.1, 0.3, 0.4])
def test_request_waits_no_longer_than_leaves_time_for_its_run(run_s):
    """Requests with 0.6 s were let wait 0.3 s at servers where they ran for 0.36 s."""
    waits_s = compute_max_wait_s(0.6, run_s, inner=False)
    assert waits_s <= 0.3
    assert waits_s + run_s <= 0.6


def test_request_that_is_late_wherever_it_runs_is_not_refused_for_it():
    """Of requests whose run takes their whole objective, 13 in 100 were refused."""
    assert compute_max_wait_s(0.3, run_s=0.3, inner=False) == pytest.approx(0.15)


def test_call_of_a_running_server_may_wait_as_long_as_its_objective():
    assert compute_max_wait_s(0.3, 0.2, inner=True) == 0.3


def test_call_that_runs_long_has_to_start_sooner():
    found = [compute_slack_s(0.6, 0.6, run_s) for run_s in (0.0, 0.1, 0.3, 0.5, 2.0)]
    assert found == sorted(found, reverse=True)
    assert found[0] == pytest.approx(0.6)
    assert found[-1] > 0.0
