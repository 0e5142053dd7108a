"""Decisions on whether a call is retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.metrics import RetryReason
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.context import Context
    from eelgrassmount.verdict import Verdict

# Another server may accept the call.
_RETRY_REASON_BY_REFUSAL = {
    Reason.NO_SERVER: RetryReason.SERVER_CRASHED,
    Reason.SERVER_STARTING: RetryReason.DRAINING,
    Reason.DRAINING: RetryReason.DRAINING,
    Reason.PEER_LOST: RetryReason.PEER_LOST,
    Reason.SERVER_SILENT: RetryReason.SERVER_SILENT,
}
# The server is overloaded, and a retry would add to its load.
_RETRY_REASON_BY_OVERLOAD = {
    Reason.OVERLOAD: RetryReason.NO_ROOM,
    Reason.QUEUE_FULL: RetryReason.NO_ROOM,
    Reason.SERVER_SHED: RetryReason.SERVER_SHED,
}
# The call may have run, and its answer was lost on one hop.
_RETRY_REASON_BY_LOSS = {
    Reason.PEER_LOST: RetryReason.PEER_LOST,
    Reason.SERVER_CRASHED: RetryReason.SERVER_CRASHED,
    Reason.SERVER_SILENT: RetryReason.SERVER_SILENT,
    Reason.BAD_ANSWER: RetryReason.BAD_ANSWER,
}
LOST_REASONS = frozenset(_RETRY_REASON_BY_LOSS)


def choose_retry(
    verdict: Verdict, context: Context, has_other_server: bool
) -> RetryReason | None:
    """Return the reason for a retry, or ``None`` if the call may not be retried.

    A call that is not idempotent is retried only after *not run*. After an overload,
    only the entry node (depth 0) retries, and only if another server has capacity.
    """
    match verdict:
        case Answered():
            return None
        case MayHaveRun(reason):
            return _RETRY_REASON_BY_LOSS.get(reason) if context.idempotent else None
        case NotRun(reason) if reason in _RETRY_REASON_BY_OVERLOAD:
            may_retry = context.depth == 0 and has_other_server
            return _RETRY_REASON_BY_OVERLOAD[reason] if may_retry else None
        case NotRun(reason):
            return _RETRY_REASON_BY_REFUSAL.get(reason)
