"""Which calls a server is given first."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.queues import (
    MAX_PATIENCE,
    allow_wait,
    find_patience,
    find_slack,
)
from eelgrassmount.relay.messages import Origin


def test_urgent_calls_are_due_sooner():
    found = [
        find_patience(Origin(priority, downstream=True, remaining_runs=5))
        for priority in range(4)
    ]
    assert found == sorted(found)
    assert found[0] < found[1]


def test_calls_of_requests_that_are_nearly_done_are_due_sooner():
    found = [
        find_patience(Origin(2, downstream=True, remaining_runs=left))
        for left in (1, 3, 5, 11)
    ]
    assert found == sorted(found)
    assert found[0] < 0.5 * found[-1]


def test_one_that_is_nearly_done_goes_before_an_urgent_one_that_begins():
    assert find_patience(Origin(2, True, remaining_runs=1)) < find_patience(
        Origin(0, True, remaining_runs=11)
    )


def test_no_call_is_put_off_for_good():
    assert (
        find_patience(Origin(1000, downstream=True, remaining_runs=1000))
        <= 1.4 * MAX_PATIENCE
    )


def test_request_from_a_client_goes_behind_what_was_begun_for_others():
    assert find_patience(Origin(2, remaining_runs=1)) > find_patience(
        Origin(2, True, remaining_runs=2)
    )


@pytest.mark.parametrize("run_s", [0.0, 0.1, 0.3, 0.4])
def test_request_waits_no_longer_than_leaves_time_for_its_run(run_s):
    """Requests with 0.6 s were let wait 0.3 s at servers where they ran for 0.36 s."""
    waits_s = allow_wait(0.6, run_s, inner=False)
    assert waits_s <= 0.3
    assert waits_s + run_s <= 0.6


def test_request_that_is_late_wherever_it_runs_is_not_refused_for_it():
    """Of requests whose run takes their whole objective, 13 in 100 were refused."""
    assert allow_wait(0.3, run_s=0.3, inner=False) == pytest.approx(0.15)


def test_call_of_a_running_server_may_wait_as_long_as_its_objective():
    assert allow_wait(0.3, 0.2, inner=True) == 0.3


def test_call_that_runs_long_has_to_start_sooner():
    found = [find_slack(0.6, 0.6, run_s) for run_s in (0.0, 0.1, 0.3, 0.5, 2.0)]
    assert found == sorted(found, reverse=True)
    assert found[0] == pytest.approx(0.6)
    assert found[-1] > 0.0
