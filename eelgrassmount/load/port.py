"""What the path of a call asks of the limit beside the backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from eelgrassmount.context import Context
    from eelgrassmount.load.state import ServiceLoad
    from eelgrassmount.verdict import NotRun


class SampleKind(StrEnum):
    """How a run on the backend server ended, as the limiter sees it."""

    COMPLETE = "complete"
    SHED = "shed"
    TIMEOUT = "timeout"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Sample:
    """One run: how it ended and how long the server itself took.

    ``downstream_s`` is the part of ``latency_s`` during which the run waited
    for its own downstream calls.
    """

    kind: SampleKind
    latency_s: float
    downstream_s: float = 0.0
    class_name: str = ""


class ServerDispatcher(Protocol):
    """Admits calls to the backend server, after a short wait at most."""

    async def enter(self, context: Context) -> NotRun | None:
        """Wait for a slot. ``None`` means admitted; then `leave` must follow."""

    def leave(self, sample: Sample) -> None:
        """Give the slot back."""

    def describe(self) -> ServiceLoad:
        """Return the load that is sent along with answers."""
