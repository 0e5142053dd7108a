"""Reads the configuration stream."""

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
    anchor_fold,
    fold_records,
    skip_lost,
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
PAGE_RECORDS = 200

_KEPT_ACCEPTED = 100


@frozen
class Anchor:
    """The newest rewrite seen that a reader may begin at.

    ``first`` and ``next`` are the bounds of what the log keeps, as last seen.
    """

    offset: int = -1
    seen_s: float = 0.0
    first: int = 0
    next: int = 0


@define
class ConfigStream:
    """Reads the stream, folds it, and keeps what was decided.

    ``changed`` is called after every step of the fold. Several tasks may read at
    a time: what one has folded, the others pass over. ``lost_s`` is the time since
    which the fold is not exact, if it is not.
    """

    log: LogService
    board: SharedNodeState
    read_clock: Callable[[], float]
    changed: Callable[[], None]
    fold: Fold = field(factory=Fold)
    anchor: Anchor = field(factory=Anchor)
    counts: ConfigCounts = field(factory=ConfigCounts)
    lost_s: float | None = None
    accepted: OrderedDict[int, Decision] = field(factory=OrderedDict)

    async def read_page(self, wait_s: float) -> Page | LogFailure:
        """Read and fold the next records, waiting up to ``wait_s`` for one."""
        page = await self.log.read(CONFIG_STREAM, self.fold.next, PAGE_RECORDS, wait_s)
        self._note_reachable(page)
        if isinstance(page, Page):
            self._take_page(page)
        return page

    async def catch_up(self) -> bool:
        """Read to the end of the stream; tell whether that worked."""
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
        self._note_reachable(result)
        return result

    def adopt(self, version: int, text: str, through: int) -> None:
        """Take the word of another node's exact fold."""
        self._take_result(anchor_fold(self.fold, version, text, through))

    def _take_page(self, page: Page) -> None:
        kept = skip_lost(self.fold, page.first)
        if kept is not self.fold:
            self._note_gap()
        self.fold = kept
        placed = _decode_page(page)
        self.counts.read_records += len(placed)
        self._note_anchor(page, placed)
        self._take_result(fold_records(self.fold, placed))

    def _take_result(self, result: FoldResult) -> None:
        if result.fold == self.fold and not result.decisions:
            return
        if self.fold.exact and not result.fold.exact:
            self._note_gap()
        self.fold = result.fold
        if result.fold.exact:
            self.lost_s = None
        for decision in result.decisions:
            self._keep(decision)
        self.changed()

    def _keep(self, decision: Decision) -> None:
        if not decision.accepted:
            return
        self.accepted[decision.in_force] = decision
        if len(self.accepted) > _KEPT_ACCEPTED:
            self.accepted.popitem(last=False)

    def _note_anchor(self, page: Page, placed: tuple[PlacedRecord, ...]) -> None:
        # a rewrite is a lasting place to begin at if no record came between its
        # author's last reading and itself
        offset, seen_s = self.anchor.offset, self.anchor.seen_s
        expected = self.fold.next
        for item in placed:
            record = item.record
            is_rewrite = record is not None and record.kind is RecordKind.REWRITE
            if is_rewrite and item.offset > offset and record.through == expected:
                offset, seen_s = item.offset, self.read_clock()
            expected = item.offset + 1
        self.anchor = Anchor(
            offset,
            seen_s,
            max(page.first, self.anchor.first),
            max(expected, self.anchor.next),
        )

    def _note_gap(self) -> None:
        self.counts.gaps += 1
        if self.lost_s is None:
            self.lost_s = self.read_clock()
        logger.warning("configuration records were dropped before being read")

    def _note_reachable(self, result: object) -> None:
        reachable = not isinstance(result, LogFailure)
        if not reachable:
            self.counts.log_failures += 1
        if reachable == self.board.log_reachable:
            return
        self.board.log_reachable = reachable
        logger.info("the log is {}", "reachable" if reachable else "unreachable")


async def read_decisions(log: LogService, fold: Fold) -> FoldResult | LogFailure:
    """Read from where ``fold`` stands to the end of the stream.

    Return the fold there and what was decided on the way, oldest first. If the
    log no longer keeps all of these records the fold begins anew.
    """
    decisions: list[Decision] = []
    while True:
        page = await log.read(CONFIG_STREAM, fold.next, PAGE_RECORDS, 0.0)
        if isinstance(page, LogFailure):
            return page
        result = fold_records(skip_lost(fold, page.first), _decode_page(page))
        fold = result.fold
        decisions += result.decisions
        if not page.records:
            return FoldResult(fold, tuple(decisions))


def _decode_page(page: Page) -> tuple[PlacedRecord, ...]:
    return tuple(
        PlacedRecord(record.offset, decode_record(record.body))
        for record in page.records
    )
