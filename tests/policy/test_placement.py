"""Which server a call is sent to."""

from __future__ import annotations

from eelgrassmount.policy.placement import (
    CROSS_DOMAIN_SHARE,
    compute_cost,
    compute_cross_domain_share,
)

ALLOWED_S = 0.8
NEAR_RUN_S = 0.37
FAR_RUN_S = 0.16


def compare(size_bytes: float, near_run_s: float = NEAR_RUN_S) -> bool:
    """Tell whether the slower server of the own failure domain is chosen."""
    near = compute_cost(near_run_s, ALLOWED_S, 0.0, ALLOWED_S)
    far = compute_cost(FAR_RUN_S, ALLOWED_S, 0.0, ALLOWED_S)
    return near < far + compute_cross_domain_share(size_bytes) * ALLOWED_S


def test_large_bodies_stay_in_their_failure_domain():
    assert compare(66_000)


def test_small_ones_go_to_the_faster_server():
    assert not compare(4_000)


def test_large_ones_go_where_they_are_in_time():
    assert not compare(66_000, near_run_s=0.9)


def test_other_failure_domain_always_costs_something():
    assert (
        0.0
        < compute_cross_domain_share(0.0)
        < CROSS_DOMAIN_SHARE
        < compute_cross_domain_share(1e9)
        < 1.0
    )
