"""Heartbeats and incarnations of a backend server."""

from __future__ import annotations

from attrs import frozen

# Start time of a server that is known only from its answers.
UNKNOWN_START = 0
# Sequence before the first heartbeat, and of a leave message.
NO_SEQUENCE = -1
MS_PER_S = 1000.0


@frozen
class ServerIncarnation:
    """One start of a backend server.

    A server may restart under the same identity, so the identity alone does not
    identify an incarnation. ``started_ms`` is the Unix time of the start in
    milliseconds, by the server's clock.
    """

    identity: str
    started_ms: int = UNKNOWN_START

    def __str__(self) -> str:
        """Return identity and start, as written to log lines and crash records."""
        return f"{self.identity}/{self.started_ms}"

    def is_after(self, other: ServerIncarnation) -> bool:
        """Return whether this is known to be a later start of the same identity."""
        return (
            self.identity == other.identity
            and UNKNOWN_START not in (self.started_ms, other.started_ms)
            and self.started_ms > other.started_ms
        )

    def compute_start_s(self, now_s: float, unix_s: float) -> float:
        """Return the start time of the server on the monotonic clock of ``now_s``.

        The server runs on the same VM and uses the same Unix clock. A start in the
        future counts as now.
        """
        return now_s - max(0.0, unix_s - self.started_ms / MS_PER_S)


@frozen
class Heartbeat:
    """A heartbeat of one incarnation of a backend server, or its leave message.

    ``sequence`` increases with each heartbeat of an incarnation. ``warm_up_s`` is the
    remaining warm-up time of the server.
    """

    incarnation: ServerIncarnation
    service: str = ""
    address: str = ""
    slots: int = 0
    draining: bool = False
    leaving: bool = False
    sequence: int = NO_SEQUENCE
    warm_up_s: float = 0.0
