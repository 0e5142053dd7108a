"""Which requests a node that stops still takes."""

from __future__ import annotations

# Time for sending the answer to a request before the node exits.
EXIT_MARGIN_S = 0.1
# Multiple of the usual time of a request within which it is expected to end.
PATH_TIME_FACTOR = 2.0


def may_finish(
    now_s: float,
    deadline_s: float,
    exit_s: float,
    path_s: float,
    needs_certainty: bool,
) -> bool:
    """Return whether a request will have its answer before the node exits.

    At its deadline a request has an answer in any case. Before that it usually takes
    ``path_s`` seconds, which is not enough if ``needs_certainty``: a request that may
    not be repeated and loses its answer is worse off than one that is refused.

    >>> may_finish(0.0, deadline_s=1.0, exit_s=2.0, path_s=9.0, needs_certainty=True)
    True
    >>> may_finish(0.0, deadline_s=5.0, exit_s=2.0, path_s=0.1, needs_certainty=False)
    True
    >>> may_finish(0.0, deadline_s=5.0, exit_s=2.0, path_s=0.1, needs_certainty=True)
    False
    """
    last_s = exit_s - EXIT_MARGIN_S
    if deadline_s <= last_s:
        return True
    return not needs_certainty and now_s + PATH_TIME_FACTOR * path_s <= last_s
