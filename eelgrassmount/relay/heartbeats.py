"""What a backend server says of itself."""

from __future__ import annotations

from attrs import frozen

# the start of a server that was only named, as by its answers
UNKNOWN_START = 0
# before the first heartbeat, and in a leave
NO_SEQUENCE = -1
MS = 1000.0


@frozen
class ServerIncarnation:
    """One start of a backend server.

    A server may start again under the identity that it had, so that an identity
    alone names no incarnation. ``started_ms`` is the Unix time of the start in
    milliseconds, by the clock of the server.
    """

    identity: str
    started_ms: int = UNKNOWN_START

    def __str__(self) -> str:
        """Return both parts, as lines and identifiers of crashes hold them."""
        return f"{self.identity}/{self.started_ms}"

    def is_after(self, other: ServerIncarnation) -> bool:
        """Tell whether this is known to be a later start of the same identity."""
        return (
            self.identity == other.identity
            and UNKNOWN_START not in (self.started_ms, other.started_ms)
            and self.started_ms > other.started_ms
        )

    def compute_start_s(self, now_s: float, unix_s: float) -> float:
        """Return when it was started by the clock that says ``now_s``.

        The server is on the same VM and so by the same Unix time. A start that seems
        to come is taken for now.
        """
        return now_s - max(0.0, unix_s - self.started_ms / MS)


@frozen
class Heartbeat:
    """A heartbeat of one incarnation of a backend server, or its leave.

    ``sequence`` rises with each heartbeat of an incarnation; ``cold_s`` is how
    much longer the server stays slow after its start.
    """

    incarnation: ServerIncarnation
    service: str = ""
    address: str = ""
    slots: int = 0
    draining: bool = False
    leaving: bool = False
    sequence: int = NO_SEQUENCE
    cold_s: float = 0.0
