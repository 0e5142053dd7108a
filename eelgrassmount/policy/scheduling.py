"""Which calls a server is given first.

The load that this answers: more calls arrive at the scarcest service than it can run,
of requests that differ in urgency. In the order of their times alone, the most urgent
requests fail as often as the least urgent ones, and more often if they make more calls.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from eelgrassmount.relay.messages import Origin

# part of its slack after which a call is due, for the first priority, and more for each
# further one. The step is small, so that what was begun of the least urgent requests is
# still finished
BASE_DUE_FACTOR = 0.8
DUE_FACTOR_PER_PRIORITY = 0.15
MAX_DUE_FACTOR = 2.0
# runs that a request still needs at which a call has half of that. One that needs fewer
# is due sooner: what was done for it would be lost, and it is over soon. For a request
# that comes straight from its client, nothing was done yet
HALF_FACTOR_RUNS = 3.0
# makes up for it: a request that needs seven runs is due after its whole slack
REMAINING_RUNS_SCALE = 1.4


# part of a route's objective that a client's request may be expected to wait; a call of
# a running server may wait longer, since to refuse it wastes its whole request
MAX_CLIENT_WAIT_SHARE = 0.5
MAX_DOWNSTREAM_WAIT_SHARE = 1.0
# a request waits no longer than leaves it so many times its usual run: one that would
# be late is better offered to another server
RUN_TIME_MARGIN_FACTOR = 1.3
# where less than this part of its objective is left, it will be late wherever it runs
MIN_WAIT_SHARE = 0.1
# a run is given so much of the time that its calls may take, and only if it usually
# takes so much less than that
RUN_TIMEOUT_SHARE = 0.85
RUN_TIMEOUT_FACTOR = 2.5
# part of its slack that a call has at least, where a run takes nearly as long
MIN_SLACK_SHARE = 0.25


def compute_max_wait_s(objective_s: float, run_s: float, inner: bool) -> float:
    """Return the seconds that a call may be expected to wait at a server.

    ``run_s`` is the usual duration of a run of its route there.

        >>> compute_max_wait_s(0.6, run_s=0.4, inner=False)
        0.08
    """
    if inner:
        return MAX_DOWNSTREAM_WAIT_SHARE * objective_s
    usual_s = MAX_CLIENT_WAIT_SHARE * objective_s
    left_s = round(objective_s - RUN_TIME_MARGIN_FACTOR * run_s, 6)
    # a late answer is worth more than none
    if left_s < MIN_WAIT_SHARE * objective_s:
        return usual_s
    return min(usual_s, left_s)


def compute_run_timeout_s(left_s: float, call_limit_s: float, usual_s: float) -> float:
    """Return the seconds that a run is given, of those that its request has left.

    ``call_limit_s`` is the longest that calls of such runs may take. A run that has a
    little less makes calls with its own deadline, which tells whose they are. One that
    usually takes more than a part of it is left alone.

        >>> compute_run_timeout_s(1.0, call_limit_s=0.8, usual_s=0.2)
        0.68
        >>> compute_run_timeout_s(1.0, call_limit_s=0.8, usual_s=0.3)
        1.0
    """
    limited_s = RUN_TIMEOUT_SHARE * call_limit_s
    if RUN_TIMEOUT_FACTOR * usual_s > limited_s:
        return left_s
    return min(left_s, limited_s)


def compute_slack_s(objective_s: float, allowance_s: float, run_s: float) -> float:
    """Return the seconds within which a call should start.

    They lie between its objective and what its request leaves it: by the first alone,
    requests with many calls fail by their time-out, by the second short requests wait
    behind them. A run that takes long has to start the sooner.

        >>> compute_slack_s(0.6, allowance_s=0.6, run_s=0.3)
        0.3
    """
    slack_s = math.sqrt(objective_s * allowance_s)
    return max(MIN_SLACK_SHARE * slack_s, slack_s - run_s)


def compute_due_factor(origin: Origin) -> float:
    """Return after which part of its slack a call is due.

    >>> round(compute_due_factor(Origin(0, inner=True, left=3)), 2)
    0.56
    """
    due_factor = min(
        MAX_DUE_FACTOR, BASE_DUE_FACTOR + DUE_FACTOR_PER_PRIORITY * origin.priority
    )
    if not origin.inner:
        return due_factor
    return (
        due_factor
        * REMAINING_RUNS_SCALE
        * origin.left
        / (origin.left + HALF_FACTOR_RUNS)
    )
