"""Reader of the configuration stream."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field, frozen
from loguru import logger

from eelgrassmount.config.counts import ConfigCounts
from eelgrassmount.config.fold import (
    Decision,
    Fold,
    FoldResult,
    fold_records,
    resume_fold,
    skip_dropped,
)
from eelgrassmount.config.record import (
    PlacedRecord,
    RecordKind,
    decode_record,
    encode_record,
)
from eelgrassmount.log_service import LogFailure, Page

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.config.record import ConfigRecord
    from eelgrassmount.log_service import Appended, LogService
    from eelgrassmount.shared_node_state import SharedNodeState

CONFIG_STREAM = "config"
MAX_PAGE_RECORDS = 200

_MAX_STORED_DECISIONS = 100


@frozen
class ResumePoint:
    """The newest rewrite at which a reader can start.

    ``seen_s`` is the time at which it was read. ``first`` and ``next`` are the last
    known bounds of the offsets on the log.
    """

    offset: int = -1
    seen_s: float = 0.0
    first: int = 0
    next: int = 0


@define
class ConfigStream:
    """Reads and folds the stream, and stores the newest accepted decisions.

    ``changed`` is called after each change of the fold. Several tasks may read at
    a time; records that one has applied are skipped by the others.
    ``inexact_since_s`` is the time since which the fold is not exact, or ``None``.
    """

    log: LogService
    shared_state: SharedNodeState
    read_clock: Callable[[], float]
    changed: Callable[[], None]
    fold: Fold = field(factory=Fold)
    resume_point: ResumePoint = field(factory=ResumePoint)
    counts: ConfigCounts = field(factory=ConfigCounts)
    inexact_since_s: float | None = None
    accepted: OrderedDict[int, Decision] = field(factory=OrderedDict)

    async def read_page(self, wait_s: float) -> Page | LogFailure:
        """Read and fold the next records, waiting up to ``wait_s`` for a record."""
        page = await self.log.read(
            CONFIG_STREAM, self.fold.next, MAX_PAGE_RECORDS, wait_s
        )
        self._record_reachability(page)
        if isinstance(page, Page):
            self._apply_page(page)
        return page

    async def catch_up(self) -> bool:
        """Read to the end of the stream; return whether the log answered."""
        while True:
            page = await self.read_page(0.0)
            if isinstance(page, LogFailure):
                return False
            if not page.records:
                return True

    async def append(self, record: ConfigRecord) -> Appended | LogFailure:
        """Append one record."""
        self.counts.appends[record.kind.value] += 1
        result = await self.log.append(CONFIG_STREAM, encode_record(record))
        self._record_reachability(result)
        return result

    def adopt_version(self, version: int, text: str, through: int) -> None:
        """Apply the version in force at ``through`` of another node's exact fold."""
        self._apply_result(resume_fold(self.fold, version, text, through))

    def _apply_page(self, page: Page) -> None:
        fold = skip_dropped(self.fold, page.first)
        if fold is not self.fold:
            self._record_gap()
        self.fold = fold
        placed = _decode_page(page)
        self.counts.read_records += len(placed)
        self._update_resume_point(page, placed)
        self._apply_result(fold_records(self.fold, placed))

    def _apply_result(self, result: FoldResult) -> None:
        if result.fold == self.fold and not result.decisions:
            return
        if self.fold.exact and not result.fold.exact:
            self._record_gap()
        self.fold = result.fold
        if result.fold.exact:
            self.inexact_since_s = None
        for decision in result.decisions:
            self._store_decision(decision)
        self.changed()

    def _store_decision(self, decision: Decision) -> None:
        if not decision.accepted:
            return
        self.accepted[decision.in_force] = decision
        if len(self.accepted) > _MAX_STORED_DECISIONS:
            self.accepted.popitem(last=False)

    def _update_resume_point(
        self, page: Page, placed: tuple[PlacedRecord, ...]
    ) -> None:
        # a reader can start at a rewrite if no record was appended between the
        # author's last read and the rewrite
        offset, seen_s = self.resume_point.offset, self.resume_point.seen_s
        expected = self.fold.next
        for item in placed:
            record = item.record
            is_rewrite = record is not None and record.kind is RecordKind.REWRITE
            if is_rewrite and item.offset > offset and record.through == expected:
                offset, seen_s = item.offset, self.read_clock()
            expected = item.offset + 1
        self.resume_point = ResumePoint(
            offset,
            seen_s,
            max(page.first, self.resume_point.first),
            max(expected, self.resume_point.next),
        )

    def _record_gap(self) -> None:
        self.counts.gaps += 1
        if self.inexact_since_s is None:
            self.inexact_since_s = self.read_clock()
        logger.warning("configuration records were dropped before being read")

    def _record_reachability(self, result: object) -> None:
        reachable = not isinstance(result, LogFailure)
        if not reachable:
            self.counts.log_failures += 1
        if reachable == self.shared_state.log_reachable:
            return
        self.shared_state.log_reachable = reachable
        logger.info("the log is {}", "reachable" if reachable else "unreachable")


async def read_decisions(log: LogService, fold: Fold) -> FoldResult | LogFailure:
    """Read from the next offset of ``fold`` to the end of the stream.

    Return the fold at the end and the decisions, oldest first. If the log has
    dropped some of these records, the fold restarts at its oldest one.
    """
    decisions: list[Decision] = []
    while True:
        page = await log.read(CONFIG_STREAM, fold.next, MAX_PAGE_RECORDS, 0.0)
        if isinstance(page, LogFailure):
            return page
        result = fold_records(skip_dropped(fold, page.first), _decode_page(page))
        fold = result.fold
        decisions += result.decisions
        if not page.records:
            return FoldResult(fold, tuple(decisions))


def _decode_page(page: Page) -> tuple[PlacedRecord, ...]:
    return tuple(
        PlacedRecord(record.offset, decode_record(record.body))
        for record in page.records
    )
