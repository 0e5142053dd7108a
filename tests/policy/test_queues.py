"""Which calls a server is given first."""

from __future__ import annotations

from eelgrassmount.policy.queues import MAX_PATIENCE, find_patience
from eelgrassmount.relay.messages import Origin


def test_urgent_calls_are_due_sooner():
    found = [
        find_patience(Origin(priority, inner=True, left=5)) for priority in range(4)
    ]
    assert found == sorted(found)
    assert found[0] < found[1]


def test_calls_of_requests_that_are_nearly_done_are_due_sooner():
    found = [find_patience(Origin(2, inner=True, left=left)) for left in (1, 3, 5, 11)]
    assert found == sorted(found)
    assert found[0] < 0.5 * found[-1]


def test_one_that_is_nearly_done_goes_before_an_urgent_one_that_begins():
    assert find_patience(Origin(2, True, left=1)) < find_patience(
        Origin(0, True, left=11)
    )


def test_no_call_is_put_off_for_good():
    assert find_patience(Origin(1000, inner=True, left=1000)) <= 1.4 * MAX_PATIENCE


def test_request_from_a_client_goes_behind_what_was_begun_for_others():
    assert find_patience(Origin(2, left=1)) > find_patience(Origin(2, True, left=2))
