"""The fold of the configuration stream: which version is in force.

The fold is *exact* when it knows the version in force after all records before
``next``. It is exact from the beginning of the stream. A reader whose stream
begins later, because older records are no longer kept, buffers what it reads
until something tells the version in force at an offset that it has: a rewrite
whose ``through`` is not below the reader's first offset, or a peer whose own
fold is exact. A rewrite by a node that was paused names an offset that is long
past, so it can neither win nor mislead: who has read from there on folds the
records that followed, and who has not does not trust it.
"""

from __future__ import annotations

from attrs import evolve, frozen

from eelgrassmount.config.record import ConfigRecord, PlacedRecord, RecordKind

# versions that a restore leaves out, so that a version which was accepted by
# somebody unreachable is never given a second content
RESTORE_SKIP = 1000


@frozen
class Fold:
    """The state of one reader of the configuration stream.

    ``start`` is the first offset that was read without a gap, ``next`` the next
    one to read. ``version`` and ``text`` are meaningful only if ``exact``;
    ``pending`` holds what was read while they were not.
    """

    start: int = 0
    next: int = 0
    exact: bool = True
    version: int = 0
    text: str = ""
    pending: tuple[PlacedRecord, ...] = ()


@frozen
class Decision:
    """What the fold made of one publish or restore.

    ``in_force`` is the version in force after the record. If it was accepted,
    that is the record's own version.
    """

    offset: int
    record: ConfigRecord
    accepted: bool
    in_force: int


@frozen
class FoldResult:
    """The state after some records, and the decisions that were made."""

    fold: Fold
    decisions: tuple[Decision, ...] = ()


def skip_lost(fold: Fold, first: int) -> Fold:
    """Account for records that are no longer kept: ``first`` is the oldest.

    If the reader has not read some of them, it no longer knows the version in
    force, and begins again.
    """
    if first <= fold.next:
        return fold
    return Fold(start=first, next=first, exact=False)


def fold_records(fold: Fold, records: tuple[PlacedRecord, ...]) -> FoldResult:
    """Fold records in offset order; those already folded are passed over."""
    decisions: list[Decision] = []
    pending = list(fold.pending)
    for placed in records:
        if placed.offset < fold.next:
            continue
        fold = evolve(fold, next=placed.offset + 1)
        if placed.record is None:
            continue
        if fold.exact:
            fold, decision = _decide(fold, placed.offset, placed.record)
            decisions += [decision] if decision else []
            continue
        pending.append(placed)
        if _can_anchor(fold, placed):
            found = _begin(evolve(fold, pending=tuple(pending)), placed)
            fold = found.fold
            decisions += found.decisions
            pending = list(fold.pending)
    return FoldResult(evolve(fold, pending=tuple(pending)), tuple(decisions))


def anchor_fold(fold: Fold, version: int, text: str, through: int) -> FoldResult:
    """Take the word of an exact fold for the version in force at ``through``.

    ``through`` counts as in a rewrite: all records before it are folded in. Word
    of an offset that this reader has not read without a gap is not used.
    """
    if through >= fold.next:
        return FoldResult(Fold(through, through, True, version, text))
    if fold.exact or through < fold.start:
        return FoldResult(fold)
    rest = tuple(placed for placed in fold.pending if placed.offset >= through)
    begun = Fold(fold.start, through, True, version, text)
    result = fold_records(begun, rest)
    return evolve(result, fold=evolve(result.fold, next=fold.next))


def _can_anchor(fold: Fold, placed: PlacedRecord) -> bool:
    record = placed.record
    if record.kind is RecordKind.PUBLISH:
        return False
    return fold.start <= record.through <= placed.offset


def _begin(fold: Fold, placed: PlacedRecord) -> FoldResult:
    record = placed.record
    if record.kind is RecordKind.REWRITE:
        return anchor_fold(fold, record.version, record.text, record.through)
    begun = Fold(fold.start, fold.next, True, record.version, record.text)
    decision = Decision(placed.offset, record, True, record.version)
    return FoldResult(begun, (decision,))


def _decide(
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
    # only after a restore that this reader did not take: its history is not the
    # one that the others follow, so it must begin again
    return Fold(start=offset + 1, next=offset + 1, exact=False)
