"""Limit on the memory of answers that are still being received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from eelgrassmount.http1.client import ClientConnection

# Bytes of all incomplete answers together.
MAX_INCOMPLETE_BYTES = 16 * 1024 * 1024


@define(eq=False, repr=False)
class AnswerMemory:
    """Bounds the bytes that all connections of a node hold of incomplete answers.

    Beyond ``max_bytes`` the longest answer is given up. Many answers without end thus
    leave room for the others, which are shorter.
    """

    max_bytes: int = MAX_INCOMPLETE_BYTES
    total_bytes: int = 0
    _held_bytes: dict[ClientConnection, int] = field(factory=dict)

    def hold(self, connection: ClientConnection, size: int) -> None:
        """Record the bytes that a connection holds of its answer."""
        self.total_bytes += size - self._held_bytes.get(connection, 0)
        self._held_bytes[connection] = size
        while self.total_bytes > self.max_bytes:
            longest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            self.release(longest)
            longest.give_up_answer()

    def release(self, connection: ClientConnection) -> None:
        """Record that a connection holds nothing any more."""
        self.total_bytes -= self._held_bytes.pop(connection, 0)
