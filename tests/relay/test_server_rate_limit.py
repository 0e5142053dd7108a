"""The rate limit that a backend server names in its answers."""

from __future__ import annotations

from eelgrassmount.relay.server_rate_limit import ServerRateLimit


def test_limit_holds_until_an_answer_to_a_later_request_names_none():
    limit = ServerRateLimit()
    assert limit.apply_answer(8.0, sent_s=1.0, now_s=2.0)
    # Sent before the limit was named, answered after that.
    assert not limit.apply_answer(None, sent_s=1.5, now_s=3.0)
    assert limit.per_s == 8.0
    assert limit.apply_answer(None, sent_s=2.5, now_s=3.0)
    assert limit.per_s is None


def test_last_named_limit_is_in_force():
    limit = ServerRateLimit()
    for per_s in (8.0, 2.5, 30.0):
        limit.apply_answer(per_s, sent_s=0.0, now_s=1.0)
        assert limit.per_s == per_s
