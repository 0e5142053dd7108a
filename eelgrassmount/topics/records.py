"""The newest record of each key of the nodes' topic, kept to be passed on."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.topics.store import StoredRecord

# keys that are kept at most: as many as nodes that are known, and some of other kinds
MAX_KEYS = 10_100


@define(eq=False)
class RecordTable:
    """What is known of a topic up to an offset.

    Another node that knows the topic up to an earlier offset gets from here what came
    since. A key that was dropped is kept with an empty value, so that it is dropped
    there too::

        book.take(records, 7)
        book.list_since(5)

    ``begun`` counts how often it was begun anew, with all offsets given out again.
    """

    next_offset: int = 0
    resets: int = 0
    _newest: dict[str, StoredRecord] = field(factory=dict)
    _previous_offsets: dict[str, int] = field(factory=dict)

    def apply(self, records: Iterable[StoredRecord], next_offset: int) -> None:
        """Take up records that end before an offset, in their order."""
        for record in records:
            if record.key in self._newest or len(self._newest) < MAX_KEYS:
                self._newest[record.key] = record
        self.next_offset = max(self.next_offset, next_offset)

    def reset(self) -> None:
        """Forget all records, and keep only the order in which they stood."""
        self.resets += 1
        self._previous_offsets.update(
            {one.key: one.offset for one in self._newest.values()}
        )
        self._newest.clear()
        self.next_offset = 0

    def list_unconfirmed(self) -> list[str]:
        """Return the keys that stood here before and don't yet stand here again."""
        return [key for key in self._previous_offsets if self.find(key) is None]

    def forget_previous(self) -> None:
        """Forget the order of before."""
        self._previous_offsets.clear()

    def put(self, record: StoredRecord) -> None:
        """Take up a record alone, while others before it may not be known."""
        self._newest[record.key] = record

    def find(self, key: str) -> StoredRecord | None:
        """Return the newest record of a key, ``None`` if there is none."""
        found = self._newest.get(key)
        return found if found is not None and found.value else None

    def find_rank(self, key: str) -> float:
        """Return where a key stands among the others, the last if it is not known.

        Records are appended once and seldom written anew, so that those who know only
        the first part of the topic rank the keys in it as all do.
        """
        found = self.find(key)
        offset = self._previous_offsets.get(key, -1) if found is None else found.offset
        return math.inf if offset < 0 else offset

    def list_since(self, offset: int) -> list[StoredRecord]:
        """Return the newest records from an offset on, in their order.

        Those whose offset is not known are among them.
        """
        found = [
            record
            for record in self._newest.values()
            if record.offset < 0 or record.offset >= offset
        ]
        found.sort(key=lambda record: record.offset)
        return found
