"""The rate limit that a backend server names in its answers."""

from __future__ import annotations

import pytest

from eelgrassmount.relay.server_rate_limit import ServerRateLimit


def test_limit_holds_until_an_answer_to_a_later_request_names_none():
    limit = ServerRateLimit()
    limit.apply_answer(8.0, sent_s=1.0, now_s=2.0)
    assert limit.per_s == 8.0
    # Sent before the limit was named, answered after that.
    limit.apply_answer(None, sent_s=1.5, now_s=3.0)
    assert limit.per_s == 8.0
    # Sent soon after that: the server may name its limit in some answers only.
    limit.apply_answer(None, sent_s=2.4, now_s=3.0)
    assert limit.per_s == 8.0
    limit.apply_answer(None, sent_s=2.6, now_s=3.0)
    assert limit.per_s is None


def test_last_named_limit_is_in_force():
    limit = ServerRateLimit()
    for per_s in (8.0, 2.5, 30.0):
        limit.apply_answer(per_s, sent_s=0.0, now_s=1.0)
        assert limit.per_s == per_s


def count_starts(limit: ServerRateLimit, from_s: float, until_s: float) -> int:
    """Start calls as soon as the limit allows them, and return their number."""
    starts = 0
    now_s = from_s
    while now_s < until_s:
        if limit.compute_wait_s(now_s) <= 0.0:
            limit.take(now_s)
            starts += 1
        now_s += 0.001
    return starts


@pytest.mark.parametrize("per_s", [0.4, 1.0, 8.9, 250.0])
def test_calls_start_at_the_named_rate(per_s):
    limit = ServerRateLimit()
    limit.apply_answer(per_s, sent_s=0.0, now_s=100.0)
    starts = count_starts(limit, 100.0, 120.0)
    assert starts <= 20.0 * per_s + 1
    assert starts >= 0.95 * 20.0 * per_s - 1


def test_idle_time_allows_a_small_burst_only():
    limit = ServerRateLimit()
    limit.apply_answer(10.0, sent_s=0.0, now_s=100.0)
    assert count_starts(limit, 200.0, 200.1) <= 0.5 * 10.0 + 1


def test_uneven_arrivals_use_the_whole_limit():
    """Clients that send at the same moments must not leave half of it unused."""
    limit = ServerRateLimit()
    limit.apply_answer(10.0, sent_s=0.0, now_s=100.0)
    starts = 0
    for step in range(1, 21):
        now_s = 100.0 + 0.5 * step
        for _ in range(5):
            if limit.compute_wait_s(now_s) <= 0.0:
                limit.take(now_s)
                starts += 1
    assert starts == 100


def test_lower_limit_is_in_force_at_once():
    limit = ServerRateLimit()
    limit.apply_answer(100.0, sent_s=0.0, now_s=100.0)
    limit.apply_answer(1.0, sent_s=0.0, now_s=110.0)
    assert count_starts(limit, 110.0, 114.0) <= 4 * 1.0 + 2


def test_server_that_takes_no_requests_still_gets_some_to_raise_its_limit():
    limit = ServerRateLimit()
    limit.apply_answer(0.0, sent_s=0.0, now_s=100.0)
    assert 1 <= count_starts(limit, 100.0, 120.0) <= 5


def test_wait_grows_with_the_calls_ahead():
    limit = ServerRateLimit()
    assert limit.compute_wait_s(100.0, ahead=50) == 0.0
    limit.apply_answer(2.0, sent_s=0.0, now_s=100.0)
    assert limit.compute_wait_s(100.0) == pytest.approx(0.5)
    assert limit.compute_wait_s(100.0, ahead=3) == pytest.approx(2.0)
