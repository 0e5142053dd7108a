"""Updates that wait to be passed on with the next messages."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Hashable


@frozen
class MemberKey:
    """The place of a member among the updates."""

    address: str


@frozen
class SummaryKey:
    """The place of a summary among the updates."""

    failure_domain: str
    service: str


UpdateKey = MemberKey | SummaryKey


@define
class UpdateQueue:
    """How often each update is still to be sent; a newer one takes its place.

    The queue holds keys and not values: what is sent is what is known at that
    time, so a burst of changes of one member costs no more than one.
    """

    _left: dict[Hashable, int] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._left)

    def add(self, key: UpdateKey, sends: int) -> None:
        """Put an update in, to be sent ``sends`` times."""
        self._left[key] = max(sends, self._left.get(key, 0))

    def take(self, limit: int) -> list[UpdateKey]:
        """Return up to ``limit`` updates, those sent least first."""
        if not self._left:
            return []
        if len(self._left) <= limit:
            keys = list(self._left)
        else:
            keys = heapq.nlargest(limit, self._left, key=self._left.__getitem__)
        for key in keys:
            self._left[key] -= 1
            if not self._left[key]:
                del self._left[key]
        return keys
