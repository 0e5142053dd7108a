"""Requests that crash their servers."""

from __future__ import annotations

from eelgrassmount.retry.quarantine import (
    MAX_CRASHES,
    MAX_SUSPECTS,
    QUARANTINE_S,
    Quarantine,
    Suspect,
)
from eelgrassmount.verdict import NotRun, Reason


def test_content_is_refused_after_a_fixed_number_of_crashes_and_lapses() -> None:
    quarantine = Quarantine()
    for crash in range(MAX_CRASHES):
        assert quarantine.check("poison", float(crash)) is None
        quarantine.note_crash("poison", float(crash))
    refusal = quarantine.check("poison", 10.0)
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.QUARANTINED
    assert 0 < refusal.retry_after_s <= QUARANTINE_S
    assert quarantine.check("other", 10.0) is None
    assert quarantine.check("poison", MAX_CRASHES + QUARANTINE_S) is None


def test_crashes_at_other_nodes_count_too() -> None:
    quarantine = Quarantine()
    quarantine.note_crash("poison", 0.0)
    quarantine.merge([Suspect("poison", MAX_CRASHES, 50.0)])
    assert quarantine.check("poison", 1.0) is not None
    quarantine.merge([Suspect("poison", 1, 500.0)])
    assert quarantine.check("poison", 1.0) is not None


def test_content_that_completes_is_cleared() -> None:
    quarantine = Quarantine()
    quarantine.note_crash("popular", 0.0)
    quarantine.note_success("popular")
    quarantine.note_crash("popular", 1.0)
    assert quarantine.check("popular", 1.0) is None


def test_table_is_bounded_and_keeps_the_worst() -> None:
    quarantine = Quarantine()
    quarantine.merge([Suspect("poison", MAX_CRASHES, 10.0)])
    quarantine.merge(Suspect(f"s{i}", 1, 100.0) for i in range(2 * MAX_SUSPECTS))
    assert len(quarantine.suspects) == MAX_SUSPECTS
    assert "poison" in quarantine.suspects
    quarantine.expire(99.0)
    assert "poison" not in quarantine.suspects
