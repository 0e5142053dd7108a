"""Newest record of each key of the nodes' topic, kept for other nodes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.topics.store import StoredRecord

# Bounds memory: a record for each node, and some of other kinds.
MAX_KEYS = 10_100


@define(eq=False, repr=False)
class RecordTable:
    """The records of a topic up to an offset.

    A node that knows the topic up to an earlier offset receives the later records from
    here. Deleted keys are kept with an empty value, so that other nodes delete them::

        table.apply(records, 7)
        table.list_since(5)

    ``resets`` counts the restorations of the log, which reassign all offsets.
    """

    next_offset: int = 0
    resets: int = 0
    _newest: dict[str, StoredRecord] = field(factory=dict)
    _previous_offsets: dict[str, int] = field(factory=dict)

    def apply(self, records: Iterable[StoredRecord], next_offset: int) -> None:
        """Add records in order; ``next_offset`` is the offset behind them."""
        for record in records:
            if record.key in self._newest or len(self._newest) < MAX_KEYS:
                self._newest[record.key] = record
        self.next_offset = max(self.next_offset, next_offset)

    def reset(self) -> None:
        """Delete all records, but remember their order."""
        self.resets += 1
        self._previous_offsets.update(
            {one.key: one.offset for one in self._newest.values()}
        )
        self._newest.clear()
        self.next_offset = 0

    def list_unconfirmed(self) -> list[str]:
        """Return the keys from before the reset that were not read again."""
        return [key for key in self._previous_offsets if self.find(key) is None]

    def forget_previous(self) -> None:
        """Forget the order from before the reset."""
        self._previous_offsets.clear()

    def put(self, record: StoredRecord) -> None:
        """Add one record, even if earlier records are unknown."""
        self._newest[record.key] = record

    def find(self, key: str) -> StoredRecord | None:
        """Return the newest record of a key, ``None`` if there is none."""
        found = self._newest.get(key)
        return found if found is not None and found.value else None

    def find_rank(self, key: str) -> float:
        """Return the offset of a key as its rank, infinity if it is unknown.

        Records are rarely rewritten, so nodes that know only the first part of the
        topic rank the keys in it as all others do.
        """
        found = self.find(key)
        offset = self._previous_offsets.get(key, -1) if found is None else found.offset
        return math.inf if offset < 0 else offset

    def list_since(self, offset: int) -> list[StoredRecord]:
        """Return the newest records from an offset on, in order of offset.

        Records with unknown offsets are included.
        """
        found = [
            record
            for record in self._newest.values()
            if record.offset < 0 or record.offset >= offset
        ]
        found.sort(key=lambda record: record.offset)
        return found
