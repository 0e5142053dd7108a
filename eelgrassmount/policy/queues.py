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
FIRST_PATIENCE = 0.8
PATIENCE_STEP = 0.15
MAX_PATIENCE = 2.0
# runs that a request still needs at which a call has half of that. One that needs fewer
# is due sooner: what was done for it would be lost, and it is over soon. For a request
# that comes straight from its client, nothing was done yet
HALF_LEFT = 3.0
# makes up for it: a request that needs seven runs is due after its whole slack
LEFT_SCALE = 1.4


# part of a route's objective that a client's request may be expected to wait; a call of
# a running server may wait longer, since to refuse it wastes its whole request
WAIT_SHARE = 0.5
INNER_WAIT_SHARE = 1.0
# a request waits no longer than leaves it so many times its usual run: one that would
# be late is better offered to another server
RUN_MARGIN = 1.3
# where less than this part of its objective is left, it will be late wherever it runs
LEAST_WAIT_SHARE = 0.1
# a run is given so much of the time that its calls may take, and only if it usually
# takes so much less than that
CALL_LIMIT_SHARE = 0.85
USUAL_TIMES = 2.5
# part of its slack that a call has at least, where a run takes nearly as long
LEAST_SLACK_SHARE = 0.25


def allow_wait(objective_s: float, run_s: float, inner: bool) -> float:
    """Return the seconds that a call may be expected to wait at a server.

    ``run_s`` is the usual duration of a run of its route there.

        >>> allow_wait(0.6, run_s=0.4, inner=False)
        0.08
    """
    if inner:
        return INNER_WAIT_SHARE * objective_s
    usual_s = WAIT_SHARE * objective_s
    left_s = round(objective_s - RUN_MARGIN * run_s, 6)
    # a late answer is worth more than none
    if left_s < LEAST_WAIT_SHARE * objective_s:
        return usual_s
    return min(usual_s, left_s)


def limit_run(left_s: float, call_limit_s: float, usual_s: float) -> float:
    """Return the seconds that a run is given, of those that its request has left.

    ``call_limit_s`` is the longest that calls of such runs may take. A run that has a
    little less makes calls with its own deadline, which tells whose they are. One that
    usually takes more than a part of it is left alone.

        >>> limit_run(1.0, call_limit_s=0.8, usual_s=0.2)
        0.68
        >>> limit_run(1.0, call_limit_s=0.8, usual_s=0.3)
        1.0
    """
    limited_s = CALL_LIMIT_SHARE * call_limit_s
    if USUAL_TIMES * usual_s > limited_s:
        return left_s
    return min(left_s, limited_s)


def find_slack(objective_s: float, allowance_s: float, run_s: float) -> float:
    """Return the seconds within which a call should start.

    They lie between its objective and what its request leaves it: by the first alone,
    requests with many calls fail by their time-out, by the second short requests wait
    behind them. A run that takes long has to start the sooner.

        >>> find_slack(0.6, allowance_s=0.6, run_s=0.3)
        0.3
    """
    slack_s = math.sqrt(objective_s * allowance_s)
    return max(LEAST_SLACK_SHARE * slack_s, slack_s - run_s)


def find_patience(origin: Origin) -> float:
    """Return after which part of its slack a call is due.

    >>> round(find_patience(Origin(0, downstream=True, remaining_runs=3)), 2)
    0.56
    """
    patience = min(MAX_PATIENCE, FIRST_PATIENCE + PATIENCE_STEP * origin.priority)
    if not origin.downstream:
        return patience
    return (
        patience
        * LEFT_SCALE
        * origin.remaining_runs
        / (origin.remaining_runs + HALF_LEFT)
    )
