"""Fold of the configuration stream, which determines the version in force.

A fold is *exact* if it determines the version in force after all records before
``next``, as it does for a reader that starts at the beginning of the stream. A
reader that starts later, because the log dropped older records, buffers records
until the version in force at one of its offsets is known: from a rewrite whose
``through`` is not below the reader's first offset, or from a peer with an exact
fold. A late rewrite by a node that was paused has an old ``through``: a reader that
has the records from there on applies them too, and others ignore the rewrite.
"""

from __future__ import annotations

from attrs import evolve, frozen

from eelgrassmount.config.record import ConfigRecord, PlacedRecord, RecordKind

# Versions that a restore skips. A version that an unreachable node has accepted must
# not be published again with other content.
RESTORE_SKIP = 1000


@frozen
class Fold:
    """The state of a reader of the configuration stream.

    ``start`` is the first offset that was read without a gap, ``next`` the next
    one to read. ``version`` and ``text`` are valid only if ``exact``;
    ``pending`` holds the records read while the fold is not exact.
    """

    start: int = 0
    next: int = 0
    exact: bool = True
    version: int = 0
    text: str = ""
    pending: tuple[PlacedRecord, ...] = ()


@frozen
class Decision:
    """Whether a publish or restore was accepted.

    ``in_force`` is the version in force after the record: the record's version
    if it was accepted.
    """

    offset: int
    record: ConfigRecord
    accepted: bool
    in_force: int


@frozen
class FoldResult:
    """The state after some records, and the decisions about them."""

    fold: Fold
    decisions: tuple[Decision, ...] = ()


def skip_dropped(fold: Fold, first: int) -> Fold:
    """Return the fold after the log dropped the records before ``first``.

    If the reader had not read all of them, the fold restarts at ``first`` and is
    not exact.
    """
    if first <= fold.next:
        return fold
    return Fold(start=first, next=first, exact=False)


def fold_records(fold: Fold, records: tuple[PlacedRecord, ...]) -> FoldResult:
    """Apply records in order of offsets, skipping those already applied."""
    decisions: list[Decision] = []
    pending = list(fold.pending)
    for placed in records:
        if placed.offset < fold.next:
            continue
        fold = evolve(fold, next=placed.offset + 1)
        if placed.record is None:
            continue
        if fold.exact:
            fold, decision = _apply_record(fold, placed.offset, placed.record)
            decisions += [decision] if decision else []
            continue
        pending.append(placed)
        if _is_resume_point(fold, placed):
            found = _resume_at(evolve(fold, pending=tuple(pending)), placed)
            fold = found.fold
            decisions += found.decisions
            pending = list(fold.pending)
    return FoldResult(evolve(fold, pending=tuple(pending)), tuple(decisions))


def resume_fold(fold: Fold, version: int, text: str, through: int) -> FoldResult:
    """Return a fold that resumes from the version in force at ``through``.

    The version must come from an exact fold that has applied all records before
    ``through``. A fold that has read past ``through`` ignores it if it is exact or
    lacks some of the records from there on.
    """
    if through >= fold.next:
        return FoldResult(Fold(through, through, True, version, text))
    if fold.exact or through < fold.start:
        return FoldResult(fold)
    rest = tuple(placed for placed in fold.pending if placed.offset >= through)
    resumed = Fold(fold.start, through, True, version, text)
    result = fold_records(resumed, rest)
    return evolve(result, fold=evolve(result.fold, next=fold.next))


def _is_resume_point(fold: Fold, placed: PlacedRecord) -> bool:
    record = placed.record
    if record.kind is RecordKind.PUBLISH:
        return False
    return fold.start <= record.through <= placed.offset


def _resume_at(fold: Fold, placed: PlacedRecord) -> FoldResult:
    record = placed.record
    if record.kind is RecordKind.REWRITE:
        return resume_fold(fold, record.version, record.text, record.through)
    resumed = Fold(fold.start, fold.next, True, record.version, record.text)
    decision = Decision(placed.offset, record, True, record.version)
    return FoldResult(resumed, (decision,))


def _apply_record(
    fold: Fold, offset: int, record: ConfigRecord
) -> tuple[Fold, Decision | None]:
    if record.kind is RecordKind.REWRITE:
        return _check_rewrite(fold, offset, record), None
    if not _is_accepted(fold, record):
        return fold, Decision(offset, record, False, fold.version)
    fold = evolve(fold, version=record.version, text=record.text)
    return fold, Decision(offset, record, True, fold.version)


def _is_accepted(fold: Fold, record: ConfigRecord) -> bool:
    if record.kind is RecordKind.RESTORE:
        return record.base >= fold.version and record.version > record.base
    return record.base == fold.version and record.version == record.base + 1


def _check_rewrite(fold: Fold, offset: int, record: ConfigRecord) -> Fold:
    if record.version <= fold.version:
        return fold
    # only possible after a restore that this reader did not accept, so that its
    # history differs from that of other readers
    return Fold(start=offset + 1, next=offset + 1, exact=False)
