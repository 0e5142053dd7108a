"""Counts of requests, runs and calls, summed over many nodes.

On a large deployment a single node has too few requests of a route to react to a surge
or to learn the calls per run in time.
"""

from __future__ import annotations

from heapq import nlargest
from operator import itemgetter
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.fair_shares import GroupKey, list_heaviest
from eelgrassmount.policy.shedding import RequestClass

if TYPE_CHECKING:
    from collections.abc import Iterable

# Rows of each kind in a message; the largest counts come first.
MAX_ROWS = 200
# Groups of callers in a sum and in a message, of all request classes together.
MAX_GROUPS = 32


@define
class ServiceCounts:
    """Request counts by route, summed over the VMs of one service."""

    nodes: int = 0
    counts: dict[str, float] = field(factory=dict)


@define
class Tally:
    """Counts of one or more nodes.

    ``offered`` holds the offered load of clients in requests per second, and
    ``requested`` the request counts by the service of the VM. ``runs`` counts the runs
    of each route, and ``calls`` the calls that they made by (run route, called route).
    ``groups`` holds the requests per second of the heaviest groups of callers, in the
    classes that are admitted in part.
    """

    nodes: int = 0
    offered: dict[RequestClass, float] = field(factory=dict)
    requested: dict[str, ServiceCounts] = field(factory=dict)
    runs: dict[str, float] = field(factory=dict)
    calls: dict[tuple[str, str], float] = field(factory=dict)
    groups: dict[GroupKey, float] = field(factory=dict)

    def add(self, other: Tally) -> None:
        """Add the counts of other nodes."""
        self.nodes += other.nodes
        _add_counts(self.offered, other.offered)
        _add_counts(self.runs, other.runs)
        _add_counts(self.calls, other.calls)
        _add_counts(self.groups, other.groups)
        for service, found in other.requested.items():
            known = self.requested.setdefault(service, ServiceCounts())
            known.nodes += found.nodes
            _add_counts(known.counts, found.counts)

    def scale(self, factor: float) -> None:
        """Extrapolate the rates and counts to ``factor`` times as many nodes."""
        self.nodes = round(self.nodes * factor)
        tables = (self.offered, self.runs, self.calls, self.groups)
        for table in (*tables, *(one.counts for one in self.requested.values())):
            for key in table:
                table[key] *= factor
        for one in self.requested.values():
            one.nodes = round(one.nodes * factor)


def _add_counts(known: dict, counts: dict) -> None:
    for key, count in counts.items():
        known[key] = known.get(key, 0.0) + count


def add_tallies(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies."""
    total = Tally()
    for one in tallies:
        total.add(one)
    total.groups = list_heaviest(total.groups, MAX_GROUPS)
    return total


def write_tally(tally: Tally) -> ttypes.RelayTally:
    """Return the wire form of a tally."""
    return ttypes.RelayTally(
        tally.nodes,
        [
            ttypes.OfferedRate(request_class.route_name, request_class.rank, rate)
            for request_class, rate in _list_largest(tally.offered)
        ],
        [
            ttypes.ServiceCounts(service, one.nodes, _write_counts(one.counts))
            for service, one in tally.requested.items()
        ],
        _write_counts(tally.runs),
        [
            ttypes.RouteCalls(run_route, called, count)
            for (run_route, called), count in _list_largest(tally.calls)
        ],
        _write_groups(tally.groups) or None,
    )


def _write_groups(groups: dict[GroupKey, float]) -> list[ttypes.GroupRate]:
    return [
        ttypes.GroupRate(*request_class, group, rate)
        for (request_class, group), rate in list_heaviest(groups, MAX_GROUPS).items()
    ]


def _list_largest(counts: dict) -> list:
    if len(counts) <= MAX_ROWS:
        return list(counts.items())
    return nlargest(MAX_ROWS, counts.items(), key=itemgetter(1))


def _write_counts(counts: dict[str, float]) -> list[ttypes.RouteCount]:
    return [ttypes.RouteCount(name, count) for name, count in _list_largest(counts)]


def read_tally(struct: ttypes.RelayTally) -> Tally:
    """Return the tally in a message of another node."""
    return Tally(
        struct.nodes,
        {RequestClass(row.route_name, row.rank): row.rate for row in struct.offered},
        {
            one.service_name: ServiceCounts(one.nodes, _read_counts(one.counts))
            for one in struct.asked
        },
        _read_counts(struct.runs),
        {(one.run_route, one.called_route): one.calls_per_run for one in struct.calls},
        {
            GroupKey(RequestClass(row.route_name, row.rank), row.group): row.rate
            for row in struct.groups or ()
        },
    )


def _read_counts(rows: list[ttypes.RouteCount]) -> dict[str, float]:
    return {row.route_name: row.count for row in rows}
