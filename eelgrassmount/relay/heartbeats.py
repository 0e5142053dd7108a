"""What a backend server says of itself."""

from __future__ import annotations

from attrs import frozen


@frozen
class Heartbeat:
    """A heartbeat of one incarnation of a backend server, or its leave.

    ``sequence`` rises with each heartbeat of an incarnation; ``cold_s`` is how
    much longer the server stays slow after its start. ``started_ms`` is the Unix time
    of that start in milliseconds, 0 where it is not known.
    """

    incarnation: str
    service: str = ""
    address: str = ""
    slots: int = 0
    draining: bool = False
    leaving: bool = False
    sequence: int = 0
    cold_s: float = 0.0
    started_ms: int = 0
