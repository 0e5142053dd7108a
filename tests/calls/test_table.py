"""Status, blocked ids and cancellation of calls."""

from __future__ import annotations

import pytest
from attrs import evolve

from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.calls.table import (
    BLOCKED_ID_RETENTION_S,
    OUTCOME_RETENTION_S,
    CallStatus,
    CallTable,
)
from eelgrassmount.context import Context, Tier
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason

pytestmark = pytest.mark.anyio


DEADLINE_S = 100.0


def make_call(call_id: str, idempotent: bool = True) -> Call:
    context = Context(
        root_id="root",
        call_id=call_id,
        parent_id="",
        class_name="lookup",
        deadline_s=DEADLINE_S,
        attempts_left=3,
        tier=Tier.REFUSED_FIRST,
        priority=0,
        depth=0,
        idempotent=idempotent,
    )
    return Call(context, Request("jobdesk", "GET", "/jobdesk/x", (), b""))


async def test_call_that_arrives_after_its_status_query_never_runs() -> None:
    table = CallTable()
    assert table.query_status("late", 0.0) is CallStatus.UNKNOWN
    assert table.open(make_call("late")) is None
    table.expire(BLOCKED_ID_RETENTION_S + 1.0)
    assert table.open(make_call("late")) is not None


async def test_status_follows_the_call() -> None:
    table = CallTable()
    record = table.open(make_call("one"))
    assert table.query_status("one", 0.0) is CallStatus.PENDING
    table.finish(record, Outcome(NotRun(Reason.DEADLINE)), 1.0)
    assert table.query_status("one", 2.0) is CallStatus.DONE
    table.expire(DEADLINE_S + OUTCOME_RETENTION_S)
    assert table.find("one") is not None
    table.expire(DEADLINE_S + OUTCOME_RETENTION_S + 0.1)
    assert table.find("one") is None


async def test_finished_call_keeps_its_status_while_its_sender_may_query_it() -> None:
    """A node that was frozen queries late and takes "unknown" for "not run"."""
    table = CallTable()
    answered = table.open(make_call("answered"))
    refused = table.open(make_call("refused"))
    table.finish(answered, Outcome(Answered(200, (), b"long")), 1.0)
    table.finish(refused, Outcome(NotRun(Reason.OVERLOAD)), 1.0)
    table.expire(DEADLINE_S)
    assert table.query_status("answered", DEADLINE_S) is CallStatus.DONE
    assert answered.outcome.verdict == MayHaveRun(Reason.PEER_LOST)
    assert refused.outcome.verdict == NotRun(Reason.OVERLOAD)


async def test_call_that_is_not_idempotent_is_not_cancelled_once_started() -> None:
    table = CallTable()
    waiting = table.open(make_call("waiting", idempotent=False))
    started = table.open(make_call("started", idempotent=False))
    started.started = True
    assert table.cancel("waiting", 0.0)
    assert waiting.cancelled
    assert not table.cancel("started", 0.0)
    assert not started.cancelled


async def test_cancellation_that_overtakes_its_call_blocks_it() -> None:
    table = CallTable()
    assert table.cancel("ahead", 0.0)
    assert table.open(make_call("ahead")) is None


async def test_overlapping_downstream_calls_count_their_time_once() -> None:
    record = CallTable().open(make_call("one"))
    record.record_child_start(1.0)
    record.record_child_start(2.0)
    record.record_child_end(3.0)
    assert record.measure_downstream(4.0) == 3.0
    record.record_child_end(5.0)
    assert record.measure_downstream(9.0) == 4.0


async def test_calls_with_different_ids_have_separate_records() -> None:
    table = CallTable()
    call = make_call("one")
    table.open(call)
    other = Call(evolve(call.context, call_id="two"), call.request)
    assert table.open(other) is not None
    assert table.count_running() == 2
