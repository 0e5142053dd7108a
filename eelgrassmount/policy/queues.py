"""Which calls a server is given first.

The load that this answers: more calls arrive at the scarcest service than it can run,
of requests that differ in urgency. In the order of their times alone, the most urgent
requests fail as often as the least urgent ones, and more often if they make more calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from eelgrassmount.relay.messages import Origin

# part of its slack after which a call is due, for the first priority, and more for each
# further one. The step is small: with 0.5 for the first and 0.5 more for each, urgent
# requests were served 0.91 instead of 0.84, but the least urgent ones 0.60 instead of
# 0.79 (mean worth of 4 plays 0.520 instead of 0.552), as they were begun and lost
FIRST_PATIENCE = 0.8
PATIENCE_STEP = 0.15
MAX_PATIENCE = 2.0
# runs that a request still needs at which a call has half of that. One that needs fewer
# is due sooner: what was done for it would be lost, and it is over soon. For a request
# that comes straight from its client, nothing was done yet
HALF_LEFT = 3.0
# makes up for it: a request that needs seven runs is due after its whole slack
LEFT_SCALE = 1.4


def find_patience(origin: Origin) -> float:
    """Return after which part of its slack a call is due.

    >>> round(find_patience(Origin(0, inner=True, left=3)), 2)
    0.56
    """
    patience = min(MAX_PATIENCE, FIRST_PATIENCE + PATIENCE_STEP * origin.priority)
    if not origin.inner:
        return patience
    return patience * LEFT_SCALE * origin.left / (origin.left + HALF_LEFT)
