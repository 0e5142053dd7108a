"""Requests that crash their servers."""

from __future__ import annotations

from eelgrassmount.retry.quarantine import (
    MAX_CRASHES,
    MAX_CRASHES_AFTER_SUCCESS,
    MAX_SUCCEEDED,
    MAX_SUSPECTS,
    QUARANTINE_S,
    Quarantine,
    Suspect,
)
from eelgrassmount.verdict import NotRun, Reason

LATER_S = 10.0


def suspect(digest: str, *calls: str, expires_s: float = 100.0) -> Suspect:
    return Suspect(digest, frozenset(calls), expires_s)


def test_content_is_refused_after_a_fixed_number_of_crashes_and_lapses() -> None:
    quarantine = Quarantine()
    for crash in range(MAX_CRASHES):
        assert quarantine.check("poison", float(crash)) is None
        quarantine.record_crash("poison", f"call {crash}", float(crash))
    refusal = quarantine.check("poison", LATER_S)
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.QUARANTINED
    assert 0 < refusal.retry_after_s <= QUARANTINE_S
    assert quarantine.check("other", LATER_S) is None
    assert quarantine.check("poison", MAX_CRASHES + QUARANTINE_S) is None


def test_crashes_at_other_nodes_count_too_and_each_once() -> None:
    quarantine = Quarantine()
    assert quarantine.record_crash("poison", "one", 0.0)
    # the same crash, heard of from the node that sent the call
    assert not quarantine.merge([suspect("poison", "one")], 1.0)
    assert quarantine.check("poison", 1.0) is None
    assert quarantine.merge([suspect("poison", "two")], 1.0)
    assert quarantine.check("poison", 1.0) is not None
    assert not quarantine.merge([suspect("poison", "one", "two")], 1.0)


def test_content_that_completes_is_cleared_for_good() -> None:
    quarantine = Quarantine()
    quarantine.record_crash("popular", "one", 0.0)
    quarantine.record_success("popular", 1.0)
    # others still spread what has been cleared here
    assert not quarantine.merge([suspect("popular", "one")], 2.0)
    quarantine.record_crash("popular", "two", 2.0)
    assert quarantine.check("popular", 2.0) is None


def test_popular_content_survives_the_crashes_that_another_one_causes() -> None:
    quarantine = Quarantine()
    quarantine.record_success("popular", 0.0)
    for crash in range(MAX_CRASHES_AFTER_SUCCESS):
        assert quarantine.check("popular", 1.0) is None
        quarantine.record_crash("popular", f"call {crash}", 1.0)
    assert quarantine.check("popular", 1.0) is not None
    quarantine.expire(QUARANTINE_S + 1.0)
    assert quarantine.check("popular", QUARANTINE_S + 1.0) is None


def test_clearance_of_another_node_counts_for_the_crashes_that_it_knew() -> None:
    quarantine = Quarantine()
    quarantine.merge([suspect("popular", "one", "two")], 0.0)
    assert quarantine.check("popular", 1.0) is not None
    quarantine.clear([suspect("popular", "one")])
    assert quarantine.check("popular", 1.0) is None
    assert quarantine.merge([suspect("popular", "one", "three")], 1.0)
    assert quarantine.check("popular", 1.0) is not None
    assert [item.calls for item in quarantine.list_cleared()] == [{"one"}]


def test_success_of_long_ago_proves_nothing() -> None:
    quarantine = Quarantine()
    quarantine.record_success("poison", 0.0)
    for crash in range(MAX_CRASHES):
        quarantine.record_crash("poison", f"call {crash}", QUARANTINE_S)
    assert quarantine.check("poison", QUARANTINE_S) is not None


def test_tables_are_bounded_and_keep_the_worst() -> None:
    quarantine = Quarantine()
    quarantine.merge([suspect("poison", "one", "two", expires_s=10.0)], 0.0)
    others = (suspect(f"s{i}", "one") for i in range(2 * MAX_SUSPECTS))
    quarantine.merge(others, 0.0)
    assert len(quarantine.suspects) == MAX_SUSPECTS
    assert quarantine.check("poison", 1.0) is not None
    quarantine.expire(99.0)
    assert "poison" not in quarantine.suspects
    for number in range(MAX_SUCCEEDED + 5):
        quarantine.record_success(f"p{number}", 0.0)
    assert len(quarantine._succeeded_s) == MAX_SUCCEEDED
