"""Which verdicts allow another sending."""

from __future__ import annotations

import pytest
from attrs import evolve

from eelgrassmount.context import Context, Tier
from eelgrassmount.metrics import RetryReason
from eelgrassmount.retry.decisions import choose_retry
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason

_CONTEXT = Context(
    root_id="root",
    call_id="call",
    parent_id="",
    class_name="lookup",
    deadline_s=10.0,
    attempts_left=3,
    tier=Tier.REFUSED_FIRST,
    priority=0,
    depth=0,
    idempotent=True,
)
_ENTRY = _CONTEXT
_DEEP = evolve(_CONTEXT, depth=3)
_BOOKING = evolve(_CONTEXT, idempotent=False)


@pytest.mark.parametrize(
    ("verdict", "context", "room", "expected"),
    [
        (Answered(200, (), b""), _ENTRY, True, None),
        (NotRun(Reason.DRAINING), _DEEP, False, RetryReason.DRAINING),
        (NotRun(Reason.PEER_LOST), _BOOKING, False, RetryReason.PEER_LOST),
        (NotRun(Reason.SERVER_SILENT), _BOOKING, False, RetryReason.SERVER_SILENT),
        (NotRun(Reason.OVERLOAD), _ENTRY, True, RetryReason.NO_ROOM),
        (NotRun(Reason.OVERLOAD), _ENTRY, False, None),
        (NotRun(Reason.OVERLOAD), _DEEP, True, None),
        (NotRun(Reason.SERVER_SHED), _DEEP, True, None),
        (NotRun(Reason.QUARANTINED), _ENTRY, True, None),
        (NotRun(Reason.DEADLINE), _ENTRY, True, None),
        (MayHaveRun(Reason.PEER_LOST), _DEEP, False, RetryReason.PEER_LOST),
        (MayHaveRun(Reason.SERVER_CRASHED), _BOOKING, True, None),
        (MayHaveRun(Reason.PEER_LOST), _BOOKING, True, None),
        (MayHaveRun(Reason.PARTIAL), _ENTRY, True, None),
        (MayHaveRun(Reason.DEADLINE), _ENTRY, True, None),
    ],
)
def test_choose_retry(
    verdict: object, context: Context, room: bool, expected: RetryReason | None
) -> None:
    assert choose_retry(verdict, context, room) == expected
