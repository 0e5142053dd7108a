"""Event counters of the membership."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable


class Count(StrEnum):
    """A counted event; the value is a label of the metric."""

    ROUNDS = "rounds"
    PROBES_FAILED = "probes-failed"
    PROBES_AGAIN_OK = "probes-again-ok"
    SUSPECTED = "suspected"
    DECLARED_DEAD = "declared-dead"
    REFUTED = "refuted"
    HELD = "held"
    OWN_GAPS = "own-gaps"
    PULLS = "pulls"
    URGENT_SENT = "urgent-sent"
    SUMMARIES_PUBLISHED = "summaries-published"
    DOMAIN_SILENT = "domain-silent"
    ADDRESS_CONFLICTS = "address-conflicts"
    LOG_LOOKS = "log-looks"
    LOG_FAILURES = "log-failures"
    LOG_ANNOUNCEMENTS = "log-announcements"
    MALFORMED = "malformed"


@define
class Counts:
    """The number of events by kind; ``listener`` is called for each event."""

    values: dict[Count, int] = field(factory=lambda: dict.fromkeys(Count, 0))
    listener: Callable[[Count], None] | None = None

    def add(self, count: Count) -> None:
        """Count one event."""
        self.values[count] += 1
        if self.listener is not None:
            self.listener(count)
