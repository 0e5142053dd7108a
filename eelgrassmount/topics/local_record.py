"""Restores the record of the local node if it disappears from the log."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.topics.records import RecordTable
    from eelgrassmount.topics.store import StoredRecord

# Total rate at which all nodes write missing records; the log rejects a higher one.
MAX_WRITES_PER_S = 200.0
MIN_SPREAD_S = 1.0
# A failed write is retried after this time.
RETRY_DELAY_S = 2.0


def compute_write_spread_s(nodes: int) -> float:
    """Return the seconds over which so many nodes write their records again.

    >>> compute_write_spread_s(70), compute_write_spread_s(10_000)
    (1.0, 50.0)
    """
    return max(MIN_SPREAD_S, nodes / MAX_WRITES_PER_S)


@define(eq=False, repr=False)
class LocalRecord:
    """Determines when the record of the local node has to be written again.

    The record is missing if the log was restored from a copy made before it was
    written, if another program has deleted or replaced it, or if what ``make_record``
    returns has changed.
    """

    make_record: Callable[[], StoredRecord]
    record_table: RecordTable
    count_nodes: Callable[[], int]
    clock: Callable[[], float]
    rng: random.Random
    _due_s: float = math.inf

    def is_due(self) -> bool:
        """Return whether to write the record now."""
        record = self.make_record()
        if (
            not self.record_table.next_offset
            or self.record_table.find(record.key) == record
        ):
            self._due_s = math.inf
            return False
        now_s = self.clock()
        if math.isinf(self._due_s):
            spread_s = compute_write_spread_s(self.count_nodes())
            self._due_s = now_s + self.rng.uniform(0.0, spread_s)
            logger.info("own record missing on the log", spread_s=spread_s)
        if now_s < self._due_s:
            return False
        self._due_s = now_s + RETRY_DELAY_S
        return True
