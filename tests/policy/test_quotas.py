"""How quotas are divided."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.quotas import (
    FIRST_PART,
    QuotaBounds,
    TokenBucket,
    choose_holder,
    find_portion,
    find_spare,
    plan_borrowing,
)
from eelgrassmount.teams.directory import Team


def make_bucket(rate=10.0, burst=20.0, debt=4.0, worst=70.0) -> TokenBucket:
    bucket = TokenBucket(0.0)
    bucket.resize(rate, burst, debt, worst, 0.0)
    return bucket


def test_bucket_begins_nearly_empty_and_fills_up_to_its_burst():
    bucket = make_bucket()
    assert bucket.find_there(0.0) == pytest.approx(FIRST_PART * 4.0)
    assert bucket.take(100, 1.0) == 10
    assert bucket.find_there(100.0) == pytest.approx(24.0)


def test_bucket_hands_out_whole_requests_down_to_its_debt():
    bucket = make_bucket()
    assert bucket.take(100, 100.0) == 24
    assert bucket.level == pytest.approx(-4.0)
    assert bucket.take(1, 100.05) == 0
    assert bucket.take(1, 100.1) == 1


# A holder that lost and regained its lenders again and again gave out its debt anew
# each time, which was more than the bound.
def test_bucket_that_shrinks_and_grows_gives_nothing_out_anew():
    bucket = make_bucket()
    bucket.take(100, 100.0)
    for _ in range(20):
        bucket.resize(0.0, 0.0, 0.0, 70.0, 100.0)
        bucket.resize(10.0, 20.0, 4.0, 70.0, 100.0)
    assert bucket.take(100, 100.0) <= 20 * FIRST_PART * 4.0 + 1


def test_what_began_without_asking_is_paid_back_first():
    bucket = make_bucket()
    bucket.charge(50, 100.0)
    assert bucket.take(1, 101.0) == 0
    assert bucket.take(1, 102.7) == 1


def test_wrong_count_of_another_node_blocks_no_longer_than_its_worst():
    bucket = make_bucket(worst=70.0)
    bucket.charge(1_000_000, 100.0)
    assert bucket.find_wait(0.0, 100.0) == pytest.approx(6.7)


def test_what_is_given_back_fills_no_further_than_the_burst():
    bucket = make_bucket()
    bucket.charge(-100, 0.0)
    assert bucket.level == 20.0
    # what was borrowed beyond it stays
    bucket.level = 30.0
    bucket.charge(-5, 0.0)
    assert bucket.level == 30.0


def test_clock_that_goes_back_earns_nothing():
    bucket = make_bucket()
    bucket.take(100, 100.0)
    bucket.refill(50.0)
    assert bucket.level == pytest.approx(-4.0)
    bucket.refill(100.1)
    assert bucket.level == pytest.approx(-3.0)


def test_parts_of_all_holders_are_never_more_than_the_whole():
    # of 72 nodes each lends its part to one holder
    assert sum(find_portion(lenders, 72) for lenders in (18, 20, 17, 17)) == 1.0
    # a node that knows few others still can't have more than what they lend it
    assert find_portion(5, 3) == 1.0
    assert find_portion(0, 0) == 0.0


def test_overage_is_divided_between_debt_and_what_holders_begin_with():
    bounds = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
    team = Team("press", rate=10.0, burst=10.0)
    allowed = 0.1 * 60.0 + 20.0
    debt = bounds.find_debt(team)
    # a window in which all holders are replaced four times
    assert debt + 4 * FIRST_PART * debt <= allowed


def test_few_nodes_take_without_asking_and_only_while_much_is_left():
    bucket = make_bucket(burst=20.0)
    bucket.level = 20.0
    assert bucket.may_be_free(0)
    assert bucket.may_be_free(4)
    assert not bucket.may_be_free(5)
    bucket.level = 11.0
    assert not bucket.may_be_free(0)
    assert not bucket.is_low()
    bucket.level = 7.0
    assert bucket.is_low()


def test_holder_keeps_what_its_own_nodes_are_likely_to_need():
    assert find_spare(10.0, asked_per_s=0.0) == 10.0
    assert find_spare(10.0, asked_per_s=100.0) == 0.0
    assert plan_borrowing(1.0, asked_per_s=0.0) == 1.0


def test_team_has_another_holder_only_if_its_own_is_gone():
    holders = ["n1", "n2", "n3", "n4"]
    teams = [f"team-{number}" for number in range(400)]
    before = {team: choose_holder(team, holders) for team in teams}
    after = {team: choose_holder(team, holders[1:]) for team in teams}
    moved = [team for team in teams if before[team] != after[team]]
    assert {before[team] for team in moved} == {"n1"}
    assert 40 <= len(moved) <= 180
    assert choose_holder("press", []) is None
