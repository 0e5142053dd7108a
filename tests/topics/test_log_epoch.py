"""Epochs of the log, and records that are missing after a restoration."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.topics.local_record import LocalRecord, compute_write_spread_s
from eelgrassmount.topics.log_epoch import UNKNOWN_EPOCH, EpochTracker
from eelgrassmount.topics.records import RecordTable
from eelgrassmount.topics.store import StoredRecord

LOCAL = StoredRecord("n1", b"own")


def make_tracker(*epochs: int) -> tuple[EpochTracker, list[int]]:
    tracker = EpochTracker()
    advances: list[int] = []
    tracker.on_advance.append(lambda: advances.append(tracker.current))
    for epoch in epochs:
        tracker.check_answer(epoch, tracker.current)
    return tracker, advances


def test_first_epoch_is_no_advance():
    tracker, advances = make_tracker(3, 3)
    assert (tracker.current, advances) == (3, [])


def test_answer_of_a_later_epoch_is_rejected_and_advances_once():
    tracker, advances = make_tracker(3)
    assert not tracker.check_answer(4, 3)
    assert tracker.check_answer(4, 3)
    assert (tracker.current, advances) == (4, [4])


def test_late_answer_of_the_previous_epoch_is_rejected():
    tracker, advances = make_tracker(3)
    tracker.advance_to(4)
    assert not tracker.check_answer(3, request_epoch=3)
    assert (tracker.current, advances) == (4, [4])


@pytest.mark.parametrize("epoch", [UNKNOWN_EPOCH, 0, 2])
def test_missing_or_lower_epoch_changes_nothing(epoch, caplog):
    tracker, advances = make_tracker(3)
    for _ in range(5):
        assert tracker.check_answer(epoch, request_epoch=3)
    assert (tracker.current, advances) == (3, [])


def test_epoch_announced_by_a_peer_is_adopted():
    tracker, advances = make_tracker(3)
    assert not tracker.advance_to(2)
    assert not tracker.advance_to(UNKNOWN_EPOCH)
    assert tracker.advance_to(5)
    assert advances == [5]


def make_local_record(
    table: RecordTable, now: list[float], nodes: int = 70
) -> LocalRecord:
    return LocalRecord(
        lambda: LOCAL, table, lambda: nodes, lambda: now[0], random.Random(1)
    )


def test_missing_local_record_is_written_again():
    table, now = RecordTable(), [100.0]
    local_record = make_local_record(table, now)
    # Nothing of the log is known yet.
    assert not local_record.is_due()
    table.apply([StoredRecord("n1", b"own", 3)], 4)
    assert not local_record.is_due()
    table.reset()
    assert not local_record.is_due()
    table.apply([StoredRecord("n2", b"other", 0)], 1)
    assert not local_record.is_due()
    now[0] += 1.0
    assert local_record.is_due()
    # The write is under way; it is retried if it fails.
    assert not local_record.is_due()
    now[0] += 2.0
    assert local_record.is_due()
    table.apply([StoredRecord("n1", b"own", 1)], 2)
    assert not local_record.is_due()


def test_replaced_or_deleted_local_record_is_written_again():
    for value in (b"", b"other"):
        table, now = RecordTable(), [100.0]
        local_record = make_local_record(table, now)
        table.apply([StoredRecord("n1", value, 3)], 4)
        local_record.is_due()
        now[0] += 1.0
        assert local_record.is_due()


# Guards against writes of all nodes at once, which the log would reject.
def test_many_nodes_spread_their_writes_over_time():
    now = [0.0]
    dues = []
    for seed in range(1000):
        table = RecordTable()
        table.apply([StoredRecord("n0", b"x", 0)], 1)
        local_record = make_local_record(table, now, nodes=10_000)
        local_record.rng = random.Random(seed)
        local_record.is_due()
        dues.append(local_record._due_s)
    seconds = [int(due) for due in dues]
    max_writes = max(seconds.count(second) for second in range(50))
    assert compute_write_spread_s(10_000) == 50.0
    # A tenth of the nodes share a tenth of 200 writes per second, plus random spread.
    assert max_writes <= 40


def test_reset_table_keeps_the_order_until_records_are_read_again():
    table = RecordTable()
    table.apply([StoredRecord("n1", b"a", 0), StoredRecord("n2", b"b", 1)], 2)
    table.reset()
    assert table.find("n1") is None
    assert table.find_rank("n1") < table.find_rank("n2")
    assert table.next_offset == 0
    table.apply([StoredRecord("n2", b"b", 0)], 1)
    assert table.list_unconfirmed() == ["n1"]
    table.forget_previous()
    assert table.list_unconfirmed() == []
