"""Which calls may be repeated when repeats are scarce.

The load that this answers: all servers of the deepest service reject a part of their
calls for some seconds, whatever the load. Each request then needs more repeats than the
budget holds, and those that are begun compete for them.
"""

from __future__ import annotations

from attrs import frozen

# part of the ratio that the nodes use together. The rest is for windows in which the
# nodes' own counts don't add up, as when load moves from one node to another
RETRY_RATIO_SHARE = 0.75
# of it, for calls whose runs make calls: a repeated run makes them all again, and they
# count as repeats where they arrive
NON_LEAF_RATIO_SHARE = 0.11
# part of the slack that the nodes divide among them
RETRY_SLACK_SHARE = 0.4
# part of the repeats for now that is kept, for each run that a request still needs, for
# requests that need fewer, and for requests of the first priority: one that needs one
# more run is finished by one repeat, one that needs many hardly ever
RESERVED_SHARE_PER_RUN = 0.03
FIRST_PRIORITY_RESERVED_SHARE = 0.15
MAX_RESERVED_SHARE = 0.8


# part of the repeats of a window that may be sent at once, beside the slack, and the
# part that is earned over a window: where servers reject for seconds, the repeats of a
# window would else be used up in its first moments, and what begins later be lost
BURST_SHARE = 0.3
REFILL_SHARE = 0.8
# share of failed runs from which on, at the best server of a service, its calls fail
# for what lies below it: to run them again makes all their calls again, as much in
# vain, and each counts as a repeat where it arrives
FUTILE_FAILURE_SHARE = 0.15


@frozen
class RetryAllowance:
    """The repeats that one gate may take in a window, and at once."""

    total: float
    burst: float


def compute_retry_allowance(
    requests: float, ratio: float, slack: float, nodes: int, is_leaf: bool
) -> RetryAllowance:
    """Return the repeats that one gate of ``nodes`` may take.

    ``requests`` are the first sendings that came to it in the window. ``is_leaf``
    says that a run makes no calls of its own.

        >>> compute_retry_allowance(1000, 0.2, 0.0, 14, is_leaf=True)
        Allowance(whole=150.0, at_once=45.0)
    """
    part = RETRY_RATIO_SHARE if is_leaf else RETRY_RATIO_SHARE * NON_LEAF_RATIO_SHARE
    by_requests = part * ratio * requests
    by_slack = slack * RETRY_SLACK_SHARE / max(1, nodes)
    return RetryAllowance(by_requests + by_slack, BURST_SHARE * by_requests + by_slack)


def round_randomly(whole: float, drawn: float) -> float:
    """Return the repeats of a window, with a share below one taken by chance.

    ``drawn`` is a random number from 0 to 1. A share below one would else be none: the
    thousand gates of a large service would never take the repeats that all may::

        round_allowance(0.25, drawn=0.2)
        # 1.0, as for every fourth gate
    """
    if whole >= 1.0:
        return whole
    return 1.0 if drawn < whole else 0.0


def refill_tokens(tokens: float, allowed: RetryAllowance, windows: float) -> float:
    """Return the repeats that may be sent now, ``windows`` after there were ``tokens``.

    >>> refill_tokens(0.0, RetryAllowance(total=100.0, burst=30.0), windows=0.1)
    8.0
    """
    return min(allowed.burst, tokens + REFILL_SHARE * allowed.total * windows)


def is_retry_futile(failure_shares: list[float]) -> bool:
    """Tell whether all servers of a service fail so much that another is no better."""
    return bool(failure_shares) and min(failure_shares) > FUTILE_FAILURE_SHARE


def compute_reserved_share(remaining_runs: int, priority: int) -> float:
    """Return the part of the repeats for now that a call must leave to others.

    ``remaining_runs`` counts the runs that the call's request still needs, its own included.

        >>> compute_reserved_share(1, priority=0)
        0.0
    """
    reserved = RESERVED_SHARE_PER_RUN * max(0, remaining_runs - 1)
    if priority > 0:
        reserved += FIRST_PRIORITY_RESERVED_SHARE
    return min(MAX_RESERVED_SHARE, reserved)
