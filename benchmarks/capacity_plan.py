"""Extrapolates the cost of a node from measured slopes to a full-size system."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from benchmarks.capacity_periodic_work import Table
    from benchmarks.capacity_samples import Cost

SECONDS_PER_DAY = 86_400
MEMBERS_PER_DOMAIN = 715
SERVICES_PER_DOMAIN = 370
DOMAINS = 14
PUBLISHES_PER_DAY = 9_800
RESTARTS_PER_DAY = 770 + 18
MAX_CPU_MS_PER_S = 13.0
MAX_MEMORY_MB = 128.0
MAX_BYTES_SENT_PER_S = 8_000.0


@frozen
class ResourceNeed:
    """Resources of one role: processor time and bytes per second, and memory."""

    role: str
    rest_ms: float
    tables_ms: float
    changes_ms: float
    bytes_sent: float
    memory_mb: float

    @property
    def cpu_ms(self) -> float:
        return self.rest_ms + self.tables_ms + self.changes_ms


def estimate_needs(
    costs: Sequence[Cost], tables: Sequence[Table]
) -> list[ResourceNeed]:
    """Return the needs of each role.

    The cost at rest is the mean over the nodes of the role in the most similar
    clusters: those with the largest failure domains for service nodes and log
    readers, those with the most failure domains for delegates. To this are added
    the extra periodic work on full-size tables compared with the smallest ones,
    and the cost of the changes of a day.
    """
    rest = [cost for cost in costs if cost.phase == "rest"]
    largest = max(cost.members for cost in rest)
    widest = max(cost.domains for cost in rest)
    roles: dict[str, Callable[[Cost], bool]] = {
        "service node": lambda cost: (
            cost.members == largest and not (cost.delegate or cost.reader)
        ),
        "log reader": lambda cost: cost.members == largest and cost.reader,
        "delegate": lambda cost: cost.domains == widest and cost.delegate,
    }
    return [
        _estimate_need(
            role, [cost for cost in rest if is_selected(cost)], costs, tables
        )
        for role, is_selected in roles.items()
    ]


def _estimate_need(
    role: str, selected: Sequence[Cost], costs: Sequence[Cost], tables: Sequence[Table]
) -> ResourceNeed:
    delegate = role == "delegate"
    role_tables = [table for table in tables if table.delegate is delegate]
    smallest_table = min(role_tables, key=lambda table: table.members + table.summaries)
    largest_table = max(role_tables, key=lambda table: table.members + table.summaries)
    publishes = PUBLISHES_PER_DAY / SECONDS_PER_DAY
    restarts = RESTARTS_PER_DAY / DOMAINS / SECONDS_PER_DAY

    def mean(name: str) -> float:
        return statistics.mean(getattr(cost, name) for cost in selected)

    def compute_change(name: str) -> float:
        published = compute_change_cost(costs, "publishes", name) * publishes
        return published + compute_change_cost(costs, "restarts", name) * restarts

    return ResourceNeed(
        role,
        rest_ms=mean("cpu_ms"),
        tables_ms=largest_table.ms - smallest_table.ms,
        changes_ms=compute_change("cpu_ms"),
        bytes_sent=mean("bytes_sent") + compute_change("bytes_sent"),
        memory_mb=mean("memory_mb") + max(table.memory_mb for table in tables),
    )


def compute_change_cost(costs: Sequence[Cost], phase: str, name: str) -> float:
    """Return the cost per node of one change beyond rest, for the costliest shape."""
    shapes = {(cost.domains, cost.members, cost.services) for cost in costs}
    extras = []
    for shape in shapes:
        shape_costs = [
            cost
            for cost in costs
            if (cost.domains, cost.members, cost.services) == shape
        ]
        changed = [cost for cost in shape_costs if cost.phase == phase]
        rest = [cost for cost in shape_costs if cost.phase == "rest"]
        if changed and changed[0].changes_a_second:
            extra = _mean(changed, name) - _mean(rest, name)
            extras.append(extra / changed[0].changes_a_second)
    return max(extras, default=0.0)


def _mean(costs: Sequence[Cost], name: str) -> float:
    return statistics.mean(getattr(cost, name) for cost in costs)


def show_plan(needs: Sequence[ResourceNeed]) -> None:
    """Print each role beside its budget."""
    print(
        f"\nat {MEMBERS_PER_DOMAIN} members, {SERVICES_PER_DOMAIN} services in each of"
        f" {DOMAINS} failure domains, {PUBLISHES_PER_DAY} publishes and"
        f" {RESTARTS_PER_DAY} restarts a day; budget {MAX_CPU_MS_PER_S:g} ms/s,"
        f" {MAX_BYTES_SENT_PER_S:g} B/s, {MAX_MEMORY_MB:g} MB"
    )
    for need in needs:
        print(
            f"{need.role:13} rest {need.rest_ms:6.2f} + tables {need.tables_ms:5.2f}"
            f" + changes {need.changes_ms:5.2f} = {need.cpu_ms:6.2f} ms/s,"
            f" {need.bytes_sent:6.0f} B/s sent, {need.memory_mb:6.1f} MB"
        )
