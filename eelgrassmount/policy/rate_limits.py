"""Decides how a rate limit that a backend server names is kept.

The concurrency limit of a server bounds how many calls run at once, not how many start
in a second: quick runs free their slots again and again.
"""

from __future__ import annotations

# Calls that may start at once after an idle time: those that the limit allows in this
# period, and a minimum. With smaller bursts, uneven arrivals leave the limit unused.
BURST_PERIOD_S = 0.5
MIN_BURST = 2.0
# Calls per second to a server that takes none, so that it can raise its limit.
MIN_RATE_PER_S = 0.25
# Lower bound for mean run times in divisions.
MIN_RUN_S = 1e-6


def compute_burst(rate_per_s: float) -> float:
    """Return how many calls may start at once under a rate limit.

    >>> compute_burst(30.0)
    15.0
    >>> compute_burst(0.5)
    2.0
    """
    return max(MIN_BURST, BURST_PERIOD_S * rate_per_s)


def compute_usable_slots(
    slots: int, rate_limit_per_s: float | None, mean_run_s: float
) -> float:
    """Return how many calls can run at once on average.

    By Little's law, a rate limit keeps as many slots busy as the calls that start
    within one run. This makes the load of a limited server comparable with others.

        >>> compute_usable_slots(16, rate_limit_per_s=20.0, mean_run_s=0.1)
        2.0
        >>> compute_usable_slots(16, rate_limit_per_s=None, mean_run_s=0.1)
        16.0
    """
    if rate_limit_per_s is None:
        return float(slots)
    rate_per_s = max(MIN_RATE_PER_S, rate_limit_per_s)
    return min(float(slots), rate_per_s * max(MIN_RUN_S, mean_run_s))
