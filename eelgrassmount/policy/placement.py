"""Computes the cost of sending a call to a server.

Choosing by time alone would send all large bodies to the fastest server, across failure
domains.
"""

from __future__ import annotations

# Cost of crossing failure domains for a call of typical size, as a share of the time
# allowance. Bytes between failure domains cost more than a few milliseconds.
CROSS_DOMAIN_SHARE = 0.12
# Size of a call with its answer, and the bounds of the cost for other sizes: calls with
# large bodies stay in their failure domain.
TYPICAL_CALL_BYTES = 4000.0
MIN_SIZE_FACTOR = 0.5
MAX_SIZE_FACTOR = 6.0
# Smoothing factor of the mean call size of a route.
SIZE_SMOOTHING = 0.1


def compute_cross_domain_share(size_bytes: float) -> float:
    """Return the cost of crossing failure domains, as a share of the time allowance.

    >>> compute_cross_domain_share(4000.0)
    0.12
    """
    size_factor = min(
        MAX_SIZE_FACTOR, max(MIN_SIZE_FACTOR, size_bytes / TYPICAL_CALL_BYTES)
    )
    return CROSS_DOMAIN_SHARE * size_factor


def estimate_completion_s(run_s: float, ahead: int, slots: float) -> float:
    """Return the seconds until a call completes behind ``ahead`` other calls.

    >>> estimate_completion_s(0.1, ahead=14, slots=10)
    0.15
    """
    waiting = ahead + 1 - slots
    if waiting <= 0 or not slots:
        return run_s
    return run_s + run_s * waiting / slots


def compute_cost(
    expected_s: float, allowance_s: float, failure_share: float, objective_s: float
) -> float:
    """Return the cost of a call at a server, in seconds.

    The cost of time is quadratic: the closer the mean comes to the objective, the more
    calls miss it. A failed call costs the objective, since its whole request fails.

        >>> compute_cost(0.2, allowance_s=0.4, failure_share=0.0, objective_s=0.4)
        0.1
    """
    return expected_s * expected_s / allowance_s + failure_share * objective_s
