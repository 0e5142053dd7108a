"""The attempt budget of a request and the retry budget of a node."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.retry.budget import (
    MAX_EXTRA_ATTEMPTS,
    MAX_RETRY_CREDIT,
    MIN_RETRY_CREDIT,
    MIN_RETRY_CREDIT_PER_S,
    RETRY_CREDIT_PER_CALL,
    RetryBudget,
    split_attempts,
)


def _run_tree(attempts: int, fan_out: int, depth: int) -> tuple[int, int]:
    """Run a tree of failing calls; return the retries made and the attempts left."""
    spent = 0
    while True:
        left = attempts
        for _ in range(fan_out if depth else 0):
            share = split_attempts(left)
            left -= share
            child_spent, returned = _run_tree(share, fan_out, depth - 1)
            spent += child_spent
            left += returned
        if left < 1:
            return spent, left
        attempts = left - 1
        spent += 1


@given(st.integers(0, 6), st.integers(1, 3), st.integers(0, 5))
def test_call_tree_never_retries_more_than_its_root_may(
    attempts: int, fan_out: int, depth: int
) -> None:
    spent, left = _run_tree(attempts, fan_out, depth)
    assert spent + left == attempts


def test_long_chain_retries_no_more_than_the_extra_attempts() -> None:
    spent, _ = _run_tree(MAX_EXTRA_ATTEMPTS, fan_out=1, depth=12)
    assert spent == MAX_EXTRA_ATTEMPTS


def test_retries_are_limited_to_a_fraction_of_first_attempts() -> None:
    budget = RetryBudget()
    first_attempts = 1000
    retries = 0
    for _ in range(first_attempts):
        budget.record_first_attempt()
        retries += budget.try_spend(0.0)
    assert retries <= MIN_RETRY_CREDIT + RETRY_CREDIT_PER_CALL * first_attempts


def test_retry_credit_is_bounded() -> None:
    budget = RetryBudget()
    for _ in range(100_000):
        budget.record_first_attempt()
    assert sum(budget.try_spend(1e6) for _ in range(1000)) == MAX_RETRY_CREDIT


def test_node_with_few_calls_regains_some_credit_with_time() -> None:
    budget = RetryBudget()
    assert sum(budget.try_spend(0.0) for _ in range(100)) == MIN_RETRY_CREDIT
    assert sum(budget.try_spend(2.0) for _ in range(100)) == 2 * MIN_RETRY_CREDIT_PER_S
    assert sum(budget.try_spend(1e6) for _ in range(100)) == MIN_RETRY_CREDIT
    assert not budget.try_spend(1e6)
