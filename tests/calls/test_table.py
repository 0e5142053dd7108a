"""Fate, sealing and cancellation of calls."""

from __future__ import annotations

import pytest
from attrs import evolve

from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.calls.table import KEEP_S, SEAL_S, CallStatus, CallTable
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


async def test_call_that_was_asked_for_before_it_arrived_never_runs() -> None:
    table = CallTable()
    assert table.query_status("late", 0.0) is CallStatus.UNKNOWN
    assert table.open(make_call("late")) is None
    table.expire(SEAL_S + 1.0)
    assert table.open(make_call("late")) is not None


async def test_fate_follows_the_call() -> None:
    table = CallTable()
    record = table.open(make_call("one"))
    assert table.query_status("one", 0.0) is CallStatus.PENDING
    table.finish(record, Outcome(NotRun(Reason.DEADLINE)), 1.0)
    assert table.query_status("one", 2.0) is CallStatus.DONE
    table.expire(DEADLINE_S + KEEP_S)
    assert table.find("one") is not None
    table.expire(DEADLINE_S + KEEP_S + 0.1)
    assert table.find("one") is None


async def test_finished_call_is_not_called_unknown_while_its_caller_may_ask() -> None:
    """A node that was frozen asks late, and takes "unknown" for "not run"."""
    table = CallTable()
    answered = table.open(make_call("answered"))
    refused = table.open(make_call("refused"))
    table.finish(answered, Outcome(Answered(200, (), b"long")), 1.0)
    table.finish(refused, Outcome(NotRun(Reason.OVERLOAD)), 1.0)
    table.expire(DEADLINE_S)
    assert table.query_status("answered", DEADLINE_S) is CallStatus.DONE
    assert answered.outcome.verdict == MayHaveRun(Reason.PEER_LOST)
    assert refused.outcome.verdict == NotRun(Reason.OVERLOAD)


async def test_call_that_is_not_idempotent_is_cancelled_only_before_it_begins() -> None:
    table = CallTable()
    waiting = table.open(make_call("waiting", idempotent=False))
    begun = table.open(make_call("begun", idempotent=False))
    begun.begun = True
    assert table.cancel("waiting", 0.0)
    assert waiting.cancelled
    assert not table.cancel("begun", 0.0)
    assert not begun.cancelled


async def test_cancel_that_overtakes_its_call_seals_it() -> None:
    table = CallTable()
    assert table.cancel("ahead", 0.0)
    assert table.open(make_call("ahead")) is None


async def test_downstream_time_is_the_union_of_overlapping_calls() -> None:
    record = CallTable().open(make_call("one"))
    record.note_child_start(1.0)
    record.note_child_start(2.0)
    record.note_child_end(3.0)
    assert record.measure_downstream(4.0) == 3.0
    record.note_child_end(5.0)
    assert record.measure_downstream(9.0) == 4.0


async def test_context_is_kept_apart_by_call_id() -> None:
    table = CallTable()
    call = make_call("one")
    table.open(call)
    other = Call(evolve(call.context, call_id="two"), call.request)
    assert table.open(other) is not None
    assert table.count_running() == 2
