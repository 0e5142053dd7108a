"""Limits retries and decides which calls may use them.

When all servers of a service reject a share of their calls, requests need more retries
than the budget allows, and too few of them finish unless retries are reserved.
"""

from __future__ import annotations

from operator import mul
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

# Share of the retry ratio that all nodes use together. The rest covers load that moves
# between nodes within a window.
RETRY_RATIO_SHARE = 0.75
# Share of that for calls whose runs make calls, all of which a retry repeats. These
# count as retries at the services that they reach.
NON_LEAF_RATIO_SHARE = 0.11
# Share of the slack that the nodes divide among them.
RETRY_SLACK_SHARE = 0.4
# Shares of the burst that are reserved: for requests with fewer remaining runs, per
# remaining run, and for requests of the first priority. A request with one remaining
# run is finished by one retry, one with many hardly ever.
RESERVED_SHARE_PER_RUN = 0.03
FIRST_PRIORITY_RESERVED_SHARE = 0.15
MAX_RESERVED_SHARE = 0.8


# Shares of a window's retries that may be sent at once and that are refilled over the
# window. Otherwise the first moments of an outage would use up the retries of a window.
BURST_SHARE = 0.3
REFILL_SHARE = 0.8
# The same shares where retries are planned. An outage that lasts a window then has
# nearly the same number of retries in each second. The rest of the ratio covers calls
# of repeated runs, which can't be refused, and reports that are not up to date.
PLANNED_RATIO_SHARE = 0.92
PLANNED_BURST_SHARE = 0.05
PLANNED_REFILL_SHARE = 0.96
# Share of the slack that may be sent at once, also by a new dispatcher. It doesn't know
# how many retries were sent before its node was restarted.
PLANNED_SLACK_BURST_SHARE = 0.5
# A window is counted in parts. The windows whose requests count for the budget end now,
# half a window ago and a window ago, which is this many parts ago.
PARTS_PER_WINDOW = 8
WINDOW_AGES = (0, 4, 8)
COUNTED_PARTS = 16
# Their weights while a dispatcher doesn't know the requests of the others.
WINDOW_WEIGHTS = (0.4, 0.4, 0.2)
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


def compute_planned_allowance(
    requests: float, ratio: float, slack: float, nodes: int
) -> RetryAllowance:
    """Return the retries that a dispatcher of a leaf service may send if planned.

    ``requests`` is the number that `count_budget_requests` returns.
    """
    by_requests = PLANNED_RATIO_SHARE * ratio * requests
    by_slack = slack * RETRY_SLACK_SHARE / max(1, nodes)
    burst = PLANNED_BURST_SHARE * by_requests + PLANNED_SLACK_BURST_SHARE * by_slack
    return RetryAllowance(by_requests + by_slack, burst)


def count_budget_requests(
    own: Sequence[int],
    others: Collection[Sequence[int]] | None,
    parts_ahead: int = 0,
) -> float:
    """Return the requests of a dispatcher that count for its retries.

    ``own`` and ``others`` are the requests of dispatchers in each part of the last two
    windows, the latest first. The budget of the service follows the window with the
    most requests at all dispatchers together. Each of them counts its own requests in
    this window, so that their sum is right also if load has moved between them.

    While the requests of others are unknown, a mean of the windows is used, whose sum
    over all dispatchers never exceeds the requests of the largest window.

    ``parts_ahead`` moves the windows, as retries sent now still count then. Requests
    that will arrive until then are left out::

        # all load moved to another dispatcher half a window ago
        own, other = [0] * 4 + [9] * 12, [12] * 4 + [0] * 12
        count_budget_requests(own, [other])  # 36, as the other one now counts 48
    """
    own_windows = _count_windows(own, parts_ahead)
    if others is None:
        return sum(map(mul, WINDOW_WEIGHTS, own_windows))
    total = [sum(counts) for counts in zip(own, *others, strict=True)]
    totals = _count_windows(total, parts_ahead)
    return own_windows[totals.index(max(totals))]


def _count_windows(parts: Sequence[int], parts_ahead: int) -> list[int]:
    """Return the requests of the windows that count at a time ahead."""
    ends = [age - parts_ahead for age in WINDOW_AGES]
    return [sum(parts[max(0, end) : max(0, end + PARTS_PER_WINDOW)]) for end in ends]


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


def refill_tokens(
    tokens: float,
    allowed: RetryAllowance,
    windows: float,
    refill_share: float = REFILL_SHARE,
) -> float:
    """Return the retries that may be sent now, ``windows`` after the last refill.

    ``refill_share`` of the allowance is refilled in one window.

    >>> refill_tokens(0.0, RetryAllowance(total=100.0, burst=30.0), windows=0.1)
    8.0
    """
    return min(allowed.burst, tokens + refill_share * allowed.total * windows)


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
