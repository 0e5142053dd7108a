"""Schedules the calls of a backend server: start order, longest wait and run timeout.

In the order of arrival, urgent requests on an overloaded service fail as often as other
requests, and more often if they make more calls.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from eelgrassmount.relay.messages import Origin

# A call is due after this share of its slack, which grows with the priority number. The
# step is small so that the least urgent requests, once begun, are still finished.
BASE_DUE_FACTOR = 0.8
DUE_FACTOR_PER_PRIORITY = 0.15
MAX_DUE_FACTOR = 2.0
# Remaining runs at which the due factor of a downstream call is half of its scale.
# Requests with fewer remaining runs are due sooner, since their work would be lost.
# With seven remaining runs, the scale makes up for the reduction.
HALF_FACTOR_RUNS = 3.0
REMAINING_RUNS_SCALE = 1.4


# Longest expected wait, as a share of the route's objective. Downstream calls may wait
# longer, since refusing one wastes the work done for its request.
MAX_CLIENT_WAIT_SHARE = 0.5
MAX_DOWNSTREAM_WAIT_SHARE = 1.0
# Multiple of the mean run time that must remain after the wait. A request that would be
# late is better offered to another server.
RUN_TIME_MARGIN_FACTOR = 1.3
# If less than this share of the objective remains for the wait, the request is late on
# any server.
MIN_WAIT_SHARE = 0.1
# Timeout of a run, as a share of the shortest timeout of its calls. It applies only to
# routes whose mean run time is less than the timeout divided by the factor.
RUN_TIMEOUT_SHARE = 0.85
RUN_TIMEOUT_FACTOR = 2.5
# Share of its slack that a call retains if its run takes as long as the slack.
MIN_SLACK_SHARE = 0.25


def compute_max_wait_s(objective_s: float, run_s: float, is_downstream: bool) -> float:
    """Return the longest expected wait, in seconds, with which a server accepts a call.

    ``run_s`` is the mean duration of a run of the route on this server.

        >>> compute_max_wait_s(0.6, run_s=0.4, is_downstream=False)
        0.08
    """
    if is_downstream:
        return MAX_DOWNSTREAM_WAIT_SHARE * objective_s
    max_wait_s = MAX_CLIENT_WAIT_SHARE * objective_s
    remaining_s = round(objective_s - RUN_TIME_MARGIN_FACTOR * run_s, 6)
    # Accept a request that is late on any server: a late answer is better than none.
    if remaining_s < MIN_WAIT_SHARE * objective_s:
        return max_wait_s
    return min(max_wait_s, remaining_s)


def compute_run_timeout_s(
    remaining_s: float, call_timeout_s: float, mean_run_s: float
) -> float:
    """Return the timeout of a run whose request has ``remaining_s`` left.

    ``call_timeout_s`` is the shortest timeout of the calls of such runs. A timeout
    below it gives the calls of a run a distinct deadline, which identifies the run.

        >>> compute_run_timeout_s(1.0, call_timeout_s=0.8, mean_run_s=0.2)
        0.68
        >>> compute_run_timeout_s(1.0, call_timeout_s=0.8, mean_run_s=0.3)
        1.0
    """
    limited_s = RUN_TIMEOUT_SHARE * call_timeout_s
    if RUN_TIMEOUT_FACTOR * mean_run_s > limited_s:
        return remaining_s
    return min(remaining_s, limited_s)


def compute_slack_s(objective_s: float, allowance_s: float, run_s: float) -> float:
    """Return the seconds within which a call should start.

    This is the geometric mean of the route's objective and the call's allowance, less
    the run time. By the objective alone, requests with many calls time out; by the
    allowance alone, requests with few calls wait behind them.

        >>> compute_slack_s(0.6, allowance_s=0.6, run_s=0.3)
        0.3
    """
    slack_s = math.sqrt(objective_s * allowance_s)
    return max(MIN_SLACK_SHARE * slack_s, slack_s - run_s)


def compute_due_factor(origin: Origin) -> float:
    """Return the share of its slack after which a call is due.

    >>> round(compute_due_factor(Origin(0, downstream=True, remaining_runs=3)), 2)
    0.56
    """
    due_factor = min(
        MAX_DUE_FACTOR, BASE_DUE_FACTOR + DUE_FACTOR_PER_PRIORITY * origin.priority
    )
    if not origin.downstream:
        return due_factor
    return (
        due_factor
        * REMAINING_RUNS_SCALE
        * origin.remaining_runs
        / (origin.remaining_runs + HALF_FACTOR_RUNS)
    )
