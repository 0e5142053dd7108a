"""Offers of free slots and the choice of the queue that they are offered to."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.work_stealing import (
    QueueState,
    choose_longest_queue,
    count_kept_calls,
    count_offered_slots,
)


@pytest.mark.parametrize(
    ("in_flight", "queued", "offered"),
    [(30, 0, 10), (30, 8, 2), (39, 0, 0), (40, 5, 0)],
)
def test_slots_are_offered_if_several_stay_free(in_flight, queued, offered):
    assert count_offered_slots(in_flight, queued, limit=40) == offered


def test_small_server_offers_its_last_slot():
    assert count_offered_slots(in_flight=1, queued=0, limit=2) == 1


def test_longest_queue_of_the_own_failure_domain_goes_first():
    queues = [
        QueueState("far", 0.05, is_local=False),
        QueueState("near", 0.03, is_local=True),
        QueueState("idle", 0.0, is_local=True),
    ]
    assert choose_longest_queue(queues) == "near"


def test_much_longer_queue_of_another_failure_domain_goes_first():
    queues = [QueueState("far", 0.09, False), QueueState("near", 0.03, True)]
    assert choose_longest_queue(queues) == "far"


def test_queue_that_is_short_in_time_is_left_alone():
    assert choose_longest_queue([QueueState("near", 0.003, True)]) is None
    assert choose_longest_queue([]) is None


def test_calls_that_start_soon_are_kept():
    assert count_kept_calls(limit=36, run_s=0.016) == 9
    assert count_kept_calls(limit=36, run_s=0.0) == 36
