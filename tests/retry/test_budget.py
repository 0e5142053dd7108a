"""The attempt budget of a whole request and the retry ratio of a node."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.retry.budget import (
    MAX_EXTRA_ATTEMPTS,
    MAX_RETRY_CREDIT,
    MIN_RETRY_CREDIT,
    MIN_RETRY_CREDIT_PER_S,
    RETRY_FRACTION,
    RetryBudget,
    split_attempts,
)


def _run_tree(attempts: int, fan_out: int, depth: int) -> tuple[int, int]:
    """Run a tree whose leaves always fail; return the extra sendings and the rest."""
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
def test_whole_tree_never_spends_more_than_its_root_was_given(
    attempts: int, fan_out: int, depth: int
) -> None:
    spent, left = _run_tree(attempts, fan_out, depth)
    assert spent + left == attempts


def test_chain_of_twelve_gets_at_most_the_extra_attempts() -> None:
    spent, _ = _run_tree(MAX_EXTRA_ATTEMPTS, fan_out=1, depth=12)
    assert spent == MAX_EXTRA_ATTEMPTS


def test_ratio_bounds_retries_to_a_fraction_of_first_sendings() -> None:
    ratio = RetryBudget()
    first_sendings = 1000
    retries = 0
    for _ in range(first_sendings):
        ratio.record_first_attempt()
        retries += ratio.try_spend(0.0)
    assert retries <= MIN_RETRY_CREDIT + RETRY_FRACTION * first_sendings


def test_credit_is_not_saved_up_without_end() -> None:
    ratio = RetryBudget()
    for _ in range(100_000):
        ratio.record_first_attempt()
    assert sum(ratio.try_spend(1e6) for _ in range(1000)) == MAX_RETRY_CREDIT


def test_quiet_node_gets_a_few_retries_back_in_time() -> None:
    ratio = RetryBudget()
    assert sum(ratio.try_spend(0.0) for _ in range(100)) == MIN_RETRY_CREDIT
    assert sum(ratio.try_spend(2.0) for _ in range(100)) == 2 * MIN_RETRY_CREDIT_PER_S
    assert sum(ratio.try_spend(1e6) for _ in range(100)) == MIN_RETRY_CREDIT
    assert not ratio.try_spend(1e6)
