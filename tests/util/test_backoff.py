"""Backoff delays."""

from __future__ import annotations

import random

from eelgrassmount.util.backoff import Backoff, compute_backoff


def test_backoff_doubles_up_to_its_limit_and_resets() -> None:
    rng = random.Random(1)
    for failures, low_s, high_s in [(0, 1, 2), (1, 1, 2), (3, 4, 8), (99, 5, 10)]:
        waits = [compute_backoff(failures, rng, 2.0, 10.0) for _ in range(50)]
        assert all(low_s <= wait <= high_s for wait in waits)
    backoff = Backoff(rng)
    backoff.fail()
    backoff.reset()
    assert backoff.fail() <= backoff.base_s
