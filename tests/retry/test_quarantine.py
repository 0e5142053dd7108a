"""Quarantine of requests that crash backend servers."""

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


def make_suspect(digest: str, *calls: str, expires_s: float = 100.0) -> Suspect:
    return Suspect(digest, frozenset(calls), expires_s)


def test_request_is_refused_after_the_maximum_of_crashes_until_expiry() -> None:
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


def test_crash_reported_by_several_nodes_counts_once() -> None:
    quarantine = Quarantine()
    assert quarantine.record_crash("poison", "one", 0.0)
    # The same crash, reported by the node that sent the call.
    assert not quarantine.merge([make_suspect("poison", "one")], 1.0)
    assert quarantine.check("poison", 1.0) is None
    assert quarantine.merge([make_suspect("poison", "two")], 1.0)
    assert quarantine.check("poison", 1.0) is not None
    assert not quarantine.merge([make_suspect("poison", "one", "two")], 1.0)


def test_success_clears_the_crashes_before_it() -> None:
    quarantine = Quarantine()
    quarantine.record_crash("popular", "one", 0.0)
    quarantine.record_success("popular", 1.0)
    # Other nodes still report the cleared crash.
    assert not quarantine.merge([make_suspect("popular", "one")], 2.0)
    quarantine.record_crash("popular", "two", 2.0)
    assert quarantine.check("popular", 2.0) is None


def test_recently_successful_request_tolerates_more_crashes() -> None:
    quarantine = Quarantine()
    quarantine.record_success("popular", 0.0)
    for crash in range(MAX_CRASHES_AFTER_SUCCESS):
        assert quarantine.check("popular", 1.0) is None
        quarantine.record_crash("popular", f"call {crash}", 1.0)
    assert quarantine.check("popular", 1.0) is not None
    quarantine.expire(QUARANTINE_S + 1.0)
    assert quarantine.check("popular", QUARANTINE_S + 1.0) is None


def test_clearance_covers_only_the_crashes_that_it_lists() -> None:
    quarantine = Quarantine()
    quarantine.merge([make_suspect("popular", "one", "two")], 0.0)
    assert quarantine.check("popular", 1.0) is not None
    quarantine.clear([make_suspect("popular", "one")])
    assert quarantine.check("popular", 1.0) is None
    assert quarantine.merge([make_suspect("popular", "one", "three")], 1.0)
    assert quarantine.check("popular", 1.0) is not None
    assert [item.calls for item in quarantine.list_cleared()] == [{"one"}]


def test_expired_success_does_not_raise_the_limit() -> None:
    quarantine = Quarantine()
    quarantine.record_success("poison", 0.0)
    for crash in range(MAX_CRASHES):
        quarantine.record_crash("poison", f"call {crash}", QUARANTINE_S)
    assert quarantine.check("poison", QUARANTINE_S) is not None


def test_tables_are_bounded_and_keep_the_most_crashes() -> None:
    quarantine = Quarantine()
    quarantine.merge([make_suspect("poison", "one", "two", expires_s=10.0)], 0.0)
    others = (make_suspect(f"s{i}", "one") for i in range(2 * MAX_SUSPECTS))
    quarantine.merge(others, 0.0)
    assert len(quarantine.suspects) == MAX_SUSPECTS
    assert quarantine.check("poison", 1.0) is not None
    quarantine.expire(99.0)
    assert "poison" not in quarantine.suspects
    for number in range(MAX_SUCCEEDED + 5):
        quarantine.record_success(f"p{number}", 0.0)
    assert len(quarantine._succeeded_s) == MAX_SUCCEEDED
