"""Which server a call is sent to, by what it would cost there.

The load that this answers: servers of one service differ threefold in speed, each
failure domain has few of them, and bodies differ a hundredfold in size. By time alone
the fastest server gets all large bodies across failure domains.
"""

from __future__ import annotations

# part of the time allowed that another failure domain has to be faster by, for a call
# of a usual size: bytes between failure domains cost more than a few milliseconds
CROSS_DOMAIN_SHARE = 0.12
# bytes of a call with its answer for which this holds, and by how much it is less or
# more for others, so that long bodies stay where they are
TYPICAL_CALL_BYTES = 4000.0
MIN_SIZE_FACTOR = 0.5
MAX_SIZE_FACTOR = 6.0
# weight of a new sample in the mean size of a route's calls
SIZE_SMOOTHING = 0.1


def compute_cross_domain_share(size_bytes: float) -> float:
    """Return by which part of its time allowed a call avoids other failure domains.

    >>> compute_cross_domain_share(4000.0)
    0.12
    """
    times = min(MAX_SIZE_FACTOR, max(MIN_SIZE_FACTOR, size_bytes / TYPICAL_CALL_BYTES))
    return CROSS_DOMAIN_SHARE * times


def estimate_completion_s(run_s: float, ahead: int, slots: int) -> float:
    """Return the seconds that a call takes at a server behind ``ahead`` others.

    >>> estimate_completion_s(0.1, ahead=14, slots=10)
    0.15
    """
    waiting = ahead + 1 - slots
    if waiting <= 0 or not slots:
        return run_s
    return run_s + run_s * waiting / slots


def compute_cost(
    expected_s: float, allowed_s: float, failure_share: float, objective_s: float
) -> float:
    """Return what a call costs at a server, in seconds.

    An objective is missed the sooner the nearer the mean comes to it, so that time far
    below it weighs little against bytes between failure domains. A call that fails
    fails its whole request.

        >>> compute_cost(0.2, allowed_s=0.4, failure_share=0.0, objective_s=0.4)
        0.1
    """
    return expected_s * expected_s / allowed_s + failure_share * objective_s
