"""Metrics of the division among groups of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from prometheus_client import CollectorRegistry, Counter, Gauge

from eelgrassmount.metrics import PREFIX

if TYPE_CHECKING:
    from eelgrassmount.entry.fair_shares import LimitedGroup

# Limits the series by group.
MAX_SHOWN_GROUPS = 16


@define(eq=False)
class GroupMetrics:
    """Decisions by the size of the group, and the groups that are limited."""

    registry: CollectorRegistry
    decisions: Counter = field(init=False)
    limited: Gauge = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        self.decisions = Counter(
            f"{PREFIX}_relay_group_requests",
            "Requests of classes that are admitted in part, by group size and outcome.",
            ["size", "outcome"],
            registry=self.registry,
        )
        self.limited = Gauge(
            f"{PREFIX}_relay_limited_group",
            "Smallest admitted fraction of each of the heaviest limited groups.",
            ["group"],
            registry=self.registry,
        )

    def count_decision(self, size: str, admitted: bool) -> None:
        """Count a decision on a request of a heavy or light group."""
        outcome = "admitted" if admitted else "refused"
        self.decisions.labels(size, outcome).inc()

    def show_limited(self, limited: list[LimitedGroup]) -> None:
        """Show the limited groups, which are sorted by rate."""
        fractions: dict[str, float] = {}
        for one in limited:
            known = fractions.get(one.key.group, 1.0)
            fractions[one.key.group] = min(known, one.fraction)
        self.limited.clear()
        for group in list(fractions)[:MAX_SHOWN_GROUPS]:
            self.limited.labels(group).set(fractions[group])
