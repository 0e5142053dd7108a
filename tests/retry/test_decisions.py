"""Verdicts after which a call is retried."""

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
_DOWNSTREAM = evolve(_CONTEXT, depth=3)
_NOT_IDEMPOTENT = evolve(_CONTEXT, idempotent=False)


@pytest.mark.parametrize(
    ("verdict", "context", "has_other_server", "expected"),
    [
        (Answered(200, (), b""), _ENTRY, True, None),
        (NotRun(Reason.DRAINING), _DOWNSTREAM, False, RetryReason.DRAINING),
        (NotRun(Reason.PEER_LOST), _NOT_IDEMPOTENT, False, RetryReason.PEER_LOST),
        (
            NotRun(Reason.SERVER_SILENT),
            _NOT_IDEMPOTENT,
            False,
            RetryReason.SERVER_SILENT,
        ),
        (NotRun(Reason.OVERLOAD), _ENTRY, True, RetryReason.NO_ROOM),
        (NotRun(Reason.OVERLOAD), _ENTRY, False, None),
        (NotRun(Reason.OVERLOAD), _DOWNSTREAM, True, None),
        (NotRun(Reason.SERVER_SHED), _DOWNSTREAM, True, None),
        (NotRun(Reason.QUARANTINED), _ENTRY, True, None),
        (NotRun(Reason.DEADLINE), _ENTRY, True, None),
        (MayHaveRun(Reason.PEER_LOST), _DOWNSTREAM, False, RetryReason.PEER_LOST),
        (MayHaveRun(Reason.SERVER_CRASHED), _NOT_IDEMPOTENT, True, None),
        (MayHaveRun(Reason.PEER_LOST), _NOT_IDEMPOTENT, True, None),
        (MayHaveRun(Reason.PARTIAL), _ENTRY, True, None),
        (MayHaveRun(Reason.DEADLINE), _ENTRY, True, None),
    ],
)
def test_verdict_decides_on_a_retry(
    verdict: object,
    context: Context,
    has_other_server: bool,
    expected: RetryReason | None,
) -> None:
    assert choose_retry(verdict, context, has_other_server) == expected
