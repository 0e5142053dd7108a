"""What nodes count of requests, runs and calls, added up over many nodes.

On a large fleet, each node has so few requests of a route that its own counts say
little: nodes that judged by their own last second would admit too much in a surge, and
learn too late what a request leads to.
"""

from __future__ import annotations

from heapq import nlargest
from operator import itemgetter
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.shedding import RequestClass

if TYPE_CHECKING:
    from collections.abc import Iterable

# rows of one kind that a message carries at most, the largest ones
MAX_ROWS = 200


@define
class ServiceCounts:
    """How often routes were asked for on the VMs of one service, on all together."""

    nodes: int = 0
    counts: dict[str, float] = field(factory=dict)


@define
class Tally:
    """Counts of some nodes.

    ``offered`` holds the requests a second that clients make, and ``asked`` how often
    routes were asked for, by the service of the VM. Of the runs of servers, ``runs``
    counts those of each route and ``calls`` what they have called, by run route and
    called route.
    """

    nodes: int = 0
    offered: dict[RequestClass, float] = field(factory=dict)
    asked: dict[str, ServiceCounts] = field(factory=dict)
    runs: dict[str, float] = field(factory=dict)
    calls: dict[tuple[str, str], float] = field(factory=dict)

    def add(self, other: Tally) -> None:
        """Add the counts of other nodes."""
        self.nodes += other.nodes
        _add_counts(self.offered, other.offered)
        _add_counts(self.runs, other.runs)
        _add_counts(self.calls, other.calls)
        for service, found in other.asked.items():
            known = self.asked.setdefault(service, ServiceCounts())
            known.nodes += found.nodes
            _add_counts(known.counts, found.counts)

    def scale(self, times: float) -> None:
        """Let the rates and counts stand for so many times as many nodes."""
        self.nodes = round(self.nodes * times)
        tables = (self.offered, self.runs, self.calls)
        for table in (*tables, *(one.counts for one in self.asked.values())):
            for key in table:
                table[key] *= times
        for one in self.asked.values():
            one.nodes = round(one.nodes * times)


def _add_counts(known: dict, counts: dict) -> None:
    for key, count in counts.items():
        known[key] = known.get(key, 0.0) + count


def add_tallies(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies."""
    total = Tally()
    for one in tallies:
        total.add(one)
    return total


def write_tally(tally: Tally) -> ttypes.RelayTally:
    """Return a tally as it travels."""
    return ttypes.RelayTally(
        tally.nodes,
        [
            ttypes.OfferedRate(demand.route_name, demand.rank, rate)
            for demand, rate in _list_largest(tally.offered)
        ],
        [
            ttypes.ServiceCounts(service, one.nodes, _write_counts(one.counts))
            for service, one in tally.asked.items()
        ],
        _write_counts(tally.runs),
        [
            ttypes.RouteCalls(run_route, called, count)
            for (run_route, called), count in _list_largest(tally.calls)
        ],
    )


def _list_largest(counts: dict) -> list:
    if len(counts) <= MAX_ROWS:
        return list(counts.items())
    return nlargest(MAX_ROWS, counts.items(), key=itemgetter(1))


def _write_counts(counts: dict[str, float]) -> list[ttypes.RouteCount]:
    return [ttypes.RouteCount(name, count) for name, count in _list_largest(counts)]


def read_tally(struct: ttypes.RelayTally) -> Tally:
    """Return the tally that another node has sent."""
    return Tally(
        struct.nodes,
        {RequestClass(row.route_name, row.rank): row.rate for row in struct.offered},
        {
            one.service_name: ServiceCounts(one.nodes, _read_counts(one.counts))
            for one in struct.asked
        },
        _read_counts(struct.runs),
        {(one.run_route, one.called_route): one.calls_per_run for one in struct.calls},
    )


def _read_counts(rows: list[ttypes.RouteCount]) -> dict[str, float]:
    return {row.route_name: row.count for row in rows}
