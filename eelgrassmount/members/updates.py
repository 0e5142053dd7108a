"""Queue of updates to send with the next messages."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Hashable


@frozen
class MemberKey:
    """Key of an update of a member."""

    address: str


@frozen
class SummaryKey:
    """Key of an update of a summary."""

    failure_domain: str
    service: str


UpdateKey = MemberKey | SummaryKey


@define
class UpdateQueue:
    """Remaining transmissions of each update.

    The queue holds keys, not values: the state is read when a message is built,
    so that several changes of one member need no more messages than one.
    """

    _remaining_sends: dict[Hashable, int] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._remaining_sends)

    def add(self, key: UpdateKey, sends: int) -> None:
        """Add an update, to be sent ``sends`` times."""
        self._remaining_sends[key] = max(sends, self._remaining_sends.get(key, 0))

    def take(self, limit: int) -> list[UpdateKey]:
        """Return up to ``limit`` updates, those with most remaining sends first."""
        if not self._remaining_sends:
            return []
        if len(self._remaining_sends) <= limit:
            keys = list(self._remaining_sends)
        else:
            keys = heapq.nlargest(
                limit, self._remaining_sends, key=self._remaining_sends.__getitem__
            )
        for key in keys:
            self._remaining_sends[key] -= 1
            if not self._remaining_sends[key]:
                del self._remaining_sends[key]
        return keys
