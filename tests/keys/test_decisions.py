"""Proposals and acknowledgements of a node."""

from __future__ import annotations

import pytest

from eelgrassmount.calls.request import Outcome
from eelgrassmount.keys.placement import NO_NODE, NodeId
from eelgrassmount.keys.planning import Roster, SlotStatus, plan_proposals
from eelgrassmount.keys.table import (
    Budget,
    Entry,
    KeyTable,
    Stage,
    apply_copy,
    apply_mark,
    apply_result,
)
from eelgrassmount.keys.views import View
from eelgrassmount.verdict import Answered

ME, P, Q = (NodeId(f"127.0.0.{n}:1", f"i{n}") for n in (1, 2, 3))
DONE = Outcome(Answered(200, (), b"done"))


@pytest.mark.parametrize(
    ("primary", "backup", "gone", "synced", "waiting", "proposed"),
    [
        # a synced backup takes over; a backup that is not synced must wait
        (P, ME, {P}, True, False, (ME, False)),
        (P, ME, {P}, False, False, (ME, True)),
        (P, ME, {P}, True, True, (ME, True)),
        (P, ME, set(), True, False, None),
        # a primary replaces its backup
        (ME, P, {P}, True, False, (ME, False)),
        (ME, P, {P}, True, True, (ME, True)),
        (ME, NO_NODE, set(), True, False, (ME, False)),
        # a slot without a live node is assigned as lost
        (P, Q, {P, Q}, False, False, ("anyone", True)),
        (P, Q, {P}, False, False, None),
        (P, NO_NODE, {P}, False, False, ("anyone", True)),
    ],
)
def test_slots_are_repaired_after_failures(
    primary, backup, gone, synced, waiting, proposed
) -> None:
    nodes = {ME, P, Q}
    roster = Roster(ME, tuple(sorted(nodes - gone)), frozenset(nodes), frozenset(gone))
    status = SlotStatus(View(0, 5, primary, backup), synced, waiting)
    proposals = plan_proposals([status], roster, from_start=True)
    if proposed is None or (proposed[0] == "anyone" and not roster.is_delegate):
        assert proposals == []
        return
    assert proposals[0].base == 5
    assert proposals[0].lost is proposed[1]
    assert proposed[0] in ("anyone", proposals[0].primary)
    assert proposals[0].backup not in gone | {proposals[0].primary}


@pytest.mark.parametrize("from_start", [True, False])
def test_first_views_count_as_lost_unless_read_from_the_start(from_start) -> None:
    roster = Roster(ME, (ME,), frozenset({ME}), frozenset(), stable=True)
    status = SlotStatus(View(0), False, False)
    (proposal,) = plan_proposals([status], roster, from_start)
    assert proposal.lost is not from_start


def make_entry(mark: int, runner: str = "i2", outcome: Outcome | None = None) -> Entry:
    stage = Stage.DONE if outcome else Stage.ELSEWHERE
    return Entry("k", "d", runner, mark, stage, 0.0, outcome)


@pytest.mark.parametrize(
    ("events", "stage", "mark"),
    [
        (["mark 1", "done 1"], Stage.DONE, 1),
        (["mark 1", "free 1"], None, 0),
        # results of an earlier mark don't apply to the current one
        (["mark 1", "mark 2", "free 1"], Stage.ELSEWHERE, 2),
        (["mark 1", "mark 2", "done 1"], Stage.ELSEWHERE, 2),
        # late marks and copies are ignored
        (["mark 2", "mark 1"], Stage.ELSEWHERE, 2),
        (["mark 1", "done 1", "mark 1"], Stage.DONE, 1),
        (["mark 1", "done 1", "copy 1"], Stage.DONE, 1),
        (["done 1"], None, 0),
        # a key that expired at the primary first is marked again
        (["mark 1", "done 1", "mark 2"], Stage.ELSEWHERE, 2),
    ],
)
def test_marks_and_results_apply_in_any_order(events, stage, mark) -> None:
    budget = Budget(10, 10_000)
    table = KeyTable(budget)
    for event in events:
        kind, number = event.split()
        match kind:
            case "mark":
                assert apply_mark(table, make_entry(int(number)))
            case "copy":
                apply_copy(table, make_entry(int(number)))
            case "free":
                apply_result(table, make_entry(int(number)), 0.0)
            case "done":
                apply_result(table, make_entry(int(number), outcome=DONE), 0.0)
    entry = table.find("k")
    assert (entry and entry.stage, entry.mark if entry else 0) == (stage, mark)
    table.expire(9.0, 10.0)
    assert (table.find("k") is not None) is (stage is not None)
    table.expire(10.0, 10.0)
    assert (table.find("k") is None) is (stage in (None, Stage.DONE))
    assert budget.keys == len(table.entries)
