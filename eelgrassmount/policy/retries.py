"""Limits retries and decides which calls may use them.

When all servers of a service reject a share of their calls, requests need more retries
than the budget allows, and too few of them finish unless retries are reserved.
"""

from __future__ import annotations

from attrs import frozen

# Share of the retry ratio that all nodes use together. The rest covers load that moves
# between nodes within a window.
RETRY_RATIO_SHARE = 0.75
# Share of that for calls whose runs make calls, all of which a retry repeats.
NON_LEAF_RATIO_SHARE = 0.11
# Share of the slack that the nodes divide among them.
RETRY_SLACK_SHARE = 0.4
# Shares of the burst that are reserved: for requests with fewer remaining runs, per
# remaining run, and for requests of the first priority.
RESERVED_SHARE_PER_RUN = 0.03
FIRST_PRIORITY_RESERVED_SHARE = 0.15
MAX_RESERVED_SHARE = 0.8


# Shares of a window's retries that may be sent at once and that are refilled over the
# window. Otherwise the first moments of an outage would use up the retries of a window.
BURST_SHARE = 0.3
REFILL_SHARE = 0.8
# If even the best server of a service fails a larger share of its runs, the cause lies
# in the services that it calls, and retries only repeat the calls to these.
FUTILE_FAILURE_SHARE = 0.15


@frozen
class RetryAllowance:
    """The retries that a dispatcher may send in a window and at once."""

    total: float
    burst: float


def compute_retry_allowance(
    requests: float, ratio: float, slack: float, nodes: int, is_leaf: bool
) -> RetryAllowance:
    """Return the retries that a dispatcher on one of ``nodes`` may send.

    ``requests`` counts its first attempts in the window. ``is_leaf`` is set if a run
    makes no downstream calls.

        >>> compute_retry_allowance(1000, 0.2, 0.0, 14, is_leaf=True)
        RetryAllowance(total=150.0, burst=45.0)
    """
    part = RETRY_RATIO_SHARE if is_leaf else RETRY_RATIO_SHARE * NON_LEAF_RATIO_SHARE
    by_requests = part * ratio * requests
    by_slack = slack * RETRY_SLACK_SHARE / max(1, nodes)
    return RetryAllowance(by_requests + by_slack, BURST_SHARE * by_requests + by_slack)


def round_randomly(retries: float, drawn: float) -> float:
    """Return the retries of a window, with a number below 1 rounded at random.

    ``drawn`` is a random number from 0 to 1. Otherwise a service with many dispatchers
    would send no retries, since the allowance of each is below 1::

        round_randomly(0.25, drawn=0.2)
        # 1.0, as on every fourth dispatcher
    """
    if retries >= 1.0:
        return retries
    return 1.0 if drawn < retries else 0.0


def refill_tokens(tokens: float, allowed: RetryAllowance, windows: float) -> float:
    """Return the retries that may be sent now, ``windows`` after the last refill.

    >>> refill_tokens(0.0, RetryAllowance(total=100.0, burst=30.0), windows=0.1)
    8.0
    """
    return min(allowed.burst, tokens + REFILL_SHARE * allowed.total * windows)


def is_retry_futile(failure_shares: list[float]) -> bool:
    """Return whether all servers fail so often that none is worth a retry."""
    return bool(failure_shares) and min(failure_shares) > FUTILE_FAILURE_SHARE


def compute_reserved_share(remaining_runs: int, priority: int) -> float:
    """Return the share of the burst that a call must leave to other requests.

    ``remaining_runs`` counts the runs that the call's request still needs, including
    the call's own.

        >>> compute_reserved_share(1, priority=0)
        0.0
    """
    reserved = RESERVED_SHARE_PER_RUN * max(0, remaining_runs - 1)
    if priority > 0:
        reserved += FIRST_PRIORITY_RESERVED_SHARE
    return min(MAX_RESERVED_SHARE, reserved)
