"""A log that comes back from an older copy."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.topics.local_record import OwnRecord, find_spread
from eelgrassmount.topics.log_epoch import UNKNOWN_ERA, EraWatch
from eelgrassmount.topics.records import RecordBook
from eelgrassmount.topics.store import StoredRecord

OWN = StoredRecord("n1", b"own")


def make_watch(*eras: int) -> tuple[EraWatch, list[int]]:
    watch = EraWatch()
    rises: list[int] = []
    watch.on_rise.append(lambda: rises.append(watch.current))
    for era in eras:
        watch.note_answer(era, watch.current)
    return watch, rises


def test_first_era_is_no_rise():
    watch, rises = make_watch(3, 3)
    assert (watch.current, rises) == (3, [])


def test_answer_of_a_later_era_is_told_once_and_not_used():
    watch, rises = make_watch(3)
    assert not watch.note_answer(4, 3)
    assert watch.note_answer(4, 3)
    assert (watch.current, rises) == (4, [4])


def test_late_answer_of_the_era_before_is_not_used():
    watch, rises = make_watch(3)
    watch.note_heard(4)
    assert not watch.note_answer(3, asked_in=3)
    assert (watch.current, rises) == (4, [4])


@pytest.mark.parametrize("era", [UNKNOWN_ERA, 0, 2])
def test_era_of_another_writer_changes_nothing(era, caplog):
    watch, rises = make_watch(3)
    for _ in range(5):
        assert watch.note_answer(era, asked_in=3)
    assert (watch.current, rises) == (3, [])


def test_era_that_another_node_knows_counts_like_an_own_one():
    watch, rises = make_watch(3)
    assert not watch.note_heard(2)
    assert not watch.note_heard(UNKNOWN_ERA)
    assert watch.note_heard(5)
    assert rises == [5]


def make_own(book: RecordBook, now: list[float], nodes: int = 70) -> OwnRecord:
    return OwnRecord(OWN, book, lambda: nodes, lambda: now[0], random.Random(1))


def test_own_record_is_written_again_once_it_is_known_to_be_gone():
    book, now = RecordBook(), [100.0]
    own = make_own(book, now)
    # nothing of the log is known yet
    assert not own.is_due()
    book.take([StoredRecord("n1", b"own", 3)], 4)
    assert not own.is_due()
    book.begin_anew()
    assert not own.is_due()
    book.take([StoredRecord("n2", b"other", 0)], 1)
    assert not own.is_due()
    now[0] += 1.0
    assert own.is_due()
    # the call is under way, and tried again if it failed
    assert not own.is_due()
    now[0] += 2.0
    assert own.is_due()
    book.take([StoredRecord("n1", b"own", 1)], 2)
    assert not own.is_due()


def test_own_record_that_somebody_else_has_replaced_or_dropped_is_written_again():
    for value in (b"", b"other"):
        book, now = RecordBook(), [100.0]
        own = make_own(book, now)
        book.take([StoredRecord("n1", value, 3)], 4)
        own.is_due()
        now[0] += 1.0
        assert own.is_due()


# The log takes some hundred writes a second: of 10,000 nodes that all wrote within one,
# most were turned away, and again and again.
def test_many_nodes_write_their_records_spread_over_time():
    now = [0.0]
    dues = []
    for seed in range(1000):
        book = RecordBook()
        book.take([StoredRecord("n0", b"x", 0)], 1)
        own = make_own(book, now, nodes=10_000)
        own.rng = random.Random(seed)
        own.is_due()
        dues.append(own._due_s)
    seconds = [int(due) for due in dues]
    busiest = max(seconds.count(second) for second in range(50))
    assert find_spread(10_000) == 50.0
    # a tenth of the nodes, a tenth of 200 a second and some by chance
    assert busiest <= 40


def test_book_begun_anew_keeps_the_order_until_records_stand_again():
    book = RecordBook()
    book.take([StoredRecord("n1", b"a", 0), StoredRecord("n2", b"b", 1)], 2)
    book.begin_anew()
    assert book.find("n1") is None
    assert book.find_rank("n1") < book.find_rank("n2")
    assert book.next_offset == 0
    book.take([StoredRecord("n2", b"b", 0)], 1)
    assert book.list_unconfirmed() == ["n1"]
    book.forget_before()
    assert book.list_unconfirmed() == []
