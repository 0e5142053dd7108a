"""The cost of servers by speed, body size and failure domain."""

from __future__ import annotations

from eelgrassmount.policy.placement import (
    CROSS_DOMAIN_SHARE,
    compute_cost,
    compute_cross_domain_share,
)

ALLOWED_S = 0.8
LOCAL_RUN_S = 0.37
REMOTE_RUN_S = 0.16


def prefers_local_server(size_bytes: float, local_run_s: float = LOCAL_RUN_S) -> bool:
    """Return whether the slower server of the local failure domain costs less."""
    local = compute_cost(local_run_s, ALLOWED_S, 0.0, ALLOWED_S)
    remote = compute_cost(REMOTE_RUN_S, ALLOWED_S, 0.0, ALLOWED_S)
    return local < remote + compute_cross_domain_share(size_bytes) * ALLOWED_S


def test_large_bodies_stay_in_their_failure_domain():
    assert prefers_local_server(66_000)


def test_small_bodies_go_to_the_faster_server():
    assert not prefers_local_server(4_000)


def test_large_bodies_leave_a_failure_domain_where_they_would_be_late():
    assert not prefers_local_server(66_000, local_run_s=0.9)


def test_crossing_failure_domains_always_has_a_bounded_cost():
    assert (
        0.0
        < compute_cross_domain_share(0.0)
        < CROSS_DOMAIN_SHARE
        < compute_cross_domain_share(1e9)
        < 1.0
    )
