"""How quotas are divided."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.quotas import (
    INITIAL_DEBT_SHARE,
    QuotaBounds,
    TokenBucket,
    choose_allocator,
    compute_allocator_share,
    compute_loan_request,
    compute_spare_tokens,
)
from eelgrassmount.teams.directory import Team


def make_bucket(rate=10.0, burst=20.0, max_debt=4.0, max_deficit=70.0) -> TokenBucket:
    bucket = TokenBucket(0.0)
    bucket.resize(rate, burst, max_debt, max_deficit, 0.0)
    return bucket


def test_bucket_begins_nearly_empty_and_fills_up_to_its_burst():
    bucket = make_bucket()
    assert bucket.compute_available(0.0) == pytest.approx(INITIAL_DEBT_SHARE * 4.0)
    assert bucket.take(100, 1.0) == 10
    assert bucket.compute_available(100.0) == pytest.approx(24.0)


def test_bucket_hands_out_whole_requests_down_to_its_debt():
    bucket = make_bucket()
    assert bucket.take(100, 100.0) == 24
    assert bucket.tokens == pytest.approx(-4.0)
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
    assert bucket.take(100, 100.0) <= 20 * INITIAL_DEBT_SHARE * 4.0 + 1


def test_what_began_without_asking_is_paid_back_first():
    bucket = make_bucket()
    bucket.charge(50, 100.0)
    assert bucket.take(1, 101.0) == 0
    assert bucket.take(1, 102.7) == 1


def test_wrong_count_of_another_node_blocks_no_longer_than_its_worst():
    bucket = make_bucket(max_deficit=70.0)
    bucket.charge(1_000_000, 100.0)
    assert bucket.compute_wait_s(0.0, 100.0) == pytest.approx(6.7)


def test_what_is_given_back_fills_no_further_than_the_burst():
    bucket = make_bucket()
    bucket.charge(-100, 0.0)
    assert bucket.tokens == 20.0
    # what was borrowed beyond it stays
    bucket.tokens = 30.0
    bucket.charge(-5, 0.0)
    assert bucket.tokens == 30.0


def test_clock_that_goes_back_earns_nothing():
    bucket = make_bucket()
    bucket.take(100, 100.0)
    bucket.refill(50.0)
    assert bucket.tokens == pytest.approx(-4.0)
    bucket.refill(100.1)
    assert bucket.tokens == pytest.approx(-3.0)


def test_parts_of_all_holders_are_never_more_than_the_whole():
    # of 72 nodes each lends its part to one holder
    assert (
        sum(compute_allocator_share(lenders, 72) for lenders in (18, 20, 17, 17)) == 1.0
    )
    # a node that knows few others still can't have more than what they lend it
    assert compute_allocator_share(5, 3) == 1.0
    assert compute_allocator_share(0, 0) == 0.0


def test_overage_is_divided_between_debt_and_what_holders_begin_with():
    bounds = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
    team = Team("press", rate=10.0, burst=10.0)
    allowed = 0.1 * 60.0 + 20.0
    max_debt = bounds.compute_max_debt(team)
    # a window in which all holders are replaced four times
    assert max_debt + 4 * INITIAL_DEBT_SHARE * max_debt <= allowed


def test_few_nodes_take_without_asking_and_only_while_much_is_left():
    bucket = make_bucket(burst=20.0)
    bucket.tokens = 20.0
    assert bucket.may_admit_without_grant(0)
    assert bucket.may_admit_without_grant(4)
    assert not bucket.may_admit_without_grant(5)
    bucket.tokens = 11.0
    assert not bucket.may_admit_without_grant(0)
    assert not bucket.requires_grants()
    bucket.tokens = 7.0
    assert bucket.requires_grants()


def test_holder_keeps_what_its_own_nodes_are_likely_to_need():
    assert compute_spare_tokens(10.0, requested_per_s=0.0) == 10.0
    assert compute_spare_tokens(10.0, requested_per_s=100.0) == 0.0
    assert compute_loan_request(1.0, requested_per_s=0.0) == 1.0


def test_team_has_another_holder_only_if_its_own_is_gone():
    holders = ["n1", "n2", "n3", "n4"]
    teams = [f"team-{number}" for number in range(400)]
    before = {team: choose_allocator(team, holders) for team in teams}
    after = {team: choose_allocator(team, holders[1:]) for team in teams}
    moved = [team for team in teams if before[team] != after[team]]
    assert {before[team] for team in moved} == {"n1"}
    assert 40 <= len(moved) <= 180
    assert choose_allocator("press", []) is None
