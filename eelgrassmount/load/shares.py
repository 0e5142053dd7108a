"""Adjusts the shares of classes within a tier by their shortfall."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.context import PRIORITY_LEVELS, Tier
from eelgrassmount.load.rates import DecayedCount

if TYPE_CHECKING:
    from eelgrassmount.config.classes import Document, WorkClass

SHARE_INTERVAL_S = 0.5
_WINDOW_S = 5.0
_SHARE_GAIN = 0.5
_SHARE_DECAY = 0.97
_MAX_LOG_SHARE_GAP = math.log(8.0)
_MIN_REQUESTS = 1.0


@define
class ClassRecord:
    """Request counts of a class, and the logarithm of its share."""

    offered: DecayedCount = field(factory=lambda: DecayedCount(_WINDOW_S))
    complete: DecayedCount = field(factory=lambda: DecayedCount(_WINDOW_S))
    log_share: float = 0.0


@define
class ShareTable:
    """Records of all classes, for requests that entered at this node."""

    records: dict[str, ClassRecord] = field(factory=dict)

    def record_request(self, class_name: str, complete: bool, now_s: float) -> None:
        """Count a request; ``complete`` means answered within its target."""
        record = self.records.setdefault(class_name, ClassRecord())
        record.offered.add(1.0, now_s)
        if complete:
            record.complete.add(1.0, now_s)

    def find_share(self, class_name: str) -> float:
        """Return the share of a class, at most 1; 1 is neutral."""
        record = self.records.get(class_name)
        return math.exp(record.log_share) if record else 1.0


def compute_shortfall(
    record: ClassRecord, work_class: WorkClass, now_s: float
) -> float | None:
    """Return the missing share of the target, negative if it is exceeded.

    ``None`` means that there were too few requests.
    """
    offered = record.offered.read(now_s)
    if offered < _MIN_REQUESTS or work_class.complete_fraction <= 0:
        return None
    complete = record.complete.read(now_s) / offered
    return 1.0 - complete / work_class.complete_fraction


def adjust_shares(table: ShareTable, document: Document, now_s: float) -> None:
    """Move the shares within each tier towards equal shortfall.

    The shares return to neutral while all classes of a tier meet their targets.
    """
    for tier in Tier:
        classes = [one for one in document.classes if one.tier is tier]
        _adjust_tier(table, classes, now_s)
    known = {work_class.name for work_class in document.classes}
    for name in table.records.keys() - known:
        del table.records[name]


def _adjust_tier(table: ShareTable, classes: list[WorkClass], now_s: float) -> None:
    shortfalls: dict[str, float] = {}
    for work_class in classes:
        record = table.records.get(work_class.name)
        if record is None:
            continue
        shortfall = compute_shortfall(record, work_class, now_s)
        if shortfall is not None:
            shortfalls[work_class.name] = shortfall
    misses_target = any(shortfall > 0 for shortfall in shortfalls.values())
    mean = sum(shortfalls.values()) / len(shortfalls) if shortfalls else 0.0
    names = [one.name for one in classes if one.name in table.records]
    for name in names:
        record = table.records[name]
        if misses_target and name in shortfalls:
            record.log_share += _SHARE_GAIN * (shortfalls[name] - mean)
        else:
            record.log_share *= _SHARE_DECAY
    _normalize([table.records[name] for name in names])


def _normalize(records: list[ClassRecord]) -> None:
    # The largest share is 1: a threshold couldn't separate the requests of a class
    # whose priorities were compressed into part of the range.
    largest = max((record.log_share for record in records), default=0.0)
    for record in records:
        record.log_share = max(record.log_share - largest, -_MAX_LOG_SHARE_GAP)


def scale_priority(priority: int, share: float) -> int:
    """Return the admission priority of a request whose class has a share.

    The entry node applies this once to the priority of the root request. Below a
    threshold within the tier, the class then has ``share`` times as many requests as
    with a neutral share::

        >>> scale_priority(512, 2.0)
        256
    """
    return min(int(priority / share), PRIORITY_LEVELS - 1)
