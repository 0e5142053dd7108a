"""Interface between the call path and the dispatcher of the backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from eelgrassmount.context import Context
    from eelgrassmount.load.state import ServiceLoad
    from eelgrassmount.verdict import NotRun


class SampleKind(StrEnum):
    """Outcome of a run on the backend server, as reported to the limiter."""

    COMPLETE = "complete"
    SHED = "shed"
    TIMEOUT = "timeout"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Sample:
    """The outcome and duration of a run.

    ``downstream_s`` is the part of ``latency_s`` during which the run waited for
    downstream calls.
    """

    kind: SampleKind
    latency_s: float
    downstream_s: float = 0.0
    class_name: str = ""


class ServerDispatcher(Protocol):
    """Admits calls to the backend server, after a short wait if necessary."""

    async def enter(self, context: Context) -> NotRun | None:
        """Wait for a slot; ``None`` means admitted, and `leave` must follow."""

    def leave(self, sample: Sample) -> None:
        """Release the slot."""

    def describe(self) -> ServiceLoad:
        """Return the load that is sent with answers."""
