"""Whether a call is sent once more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.metrics import RetryReason
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.context import Context
    from eelgrassmount.verdict import Verdict

# the next server may well take the call
_NOT_RUN_ELSEWHERE = {
    Reason.NO_SERVER: RetryReason.SERVER_CRASHED,
    Reason.SERVER_STARTING: RetryReason.DRAINING,
    Reason.DRAINING: RetryReason.DRAINING,
    Reason.PEER_LOST: RetryReason.PEER_LOST,
    Reason.SERVER_SILENT: RetryReason.SERVER_SILENT,
}
# the server is short of capacity: a retry adds to its load
_NOT_RUN_OVERLOAD = {
    Reason.OVERLOAD: RetryReason.NO_ROOM,
    Reason.QUEUE_FULL: RetryReason.NO_ROOM,
    Reason.SERVER_SHED: RetryReason.SERVER_SHED,
}
_LOST_ON_THE_WAY = {
    Reason.PEER_LOST: RetryReason.PEER_LOST,
    Reason.SERVER_CRASHED: RetryReason.SERVER_CRASHED,
    Reason.SERVER_SILENT: RetryReason.SERVER_SILENT,
    Reason.BAD_ANSWER: RetryReason.BAD_ANSWER,
}
# after these a call may have run, but its answer was lost on one hop
LOST_REASONS = frozenset(_LOST_ON_THE_WAY)


def choose_retry(
    verdict: Verdict, context: Context, room_elsewhere: bool
) -> RetryReason | None:
    """Return why a call may be sent once more, or ``None`` if it may not.

    A call that is not idempotent is sent again only on *not run*. After an
    overload it is sent again only by the entry (depth 0), and only where
    another server has room.
    """
    match verdict:
        case Answered():
            return None
        case MayHaveRun(reason):
            return _LOST_ON_THE_WAY.get(reason) if context.idempotent else None
        case NotRun(reason) if reason in _NOT_RUN_OVERLOAD:
            may = context.depth == 0 and room_elsewhere
            return _NOT_RUN_OVERLOAD[reason] if may else None
        case NotRun(reason):
            return _NOT_RUN_ELSEWHERE.get(reason)
