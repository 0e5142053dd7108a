"""Counters of messages and bytes on the links between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from prometheus_client import Counter

    from eelgrassmount.metrics import Direction, Metrics


@frozen
class Traffic:
    """Counters of one direction; bytes are those of frames, without TCP headers."""

    bytes: Counter
    messages: Counter

    def add(self, messages: int, size: int) -> None:
        """Count messages of ``size`` bytes in total."""
        self.messages.inc(messages)
        self.bytes.inc(size)


def make_traffic(metrics: Metrics, direction: Direction) -> Traffic:
    """Return the counters of a direction."""
    return Traffic(
        metrics.peer_bytes.labels(direction), metrics.peer_messages.labels(direction)
    )
