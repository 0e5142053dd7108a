"""Divides the capacity of an overloaded service among the nodes that admit requests.

The load: demand for one service rises beyond its capacity and falls again within
seconds. An admitted fraction, which follows load reports, admits too many requests
while demand rises and refuses requests that servers could run while it falls. A rate
for each node holds in both cases.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from eelgrassmount.relay.members import MemberLoad

# Utilization of a service from which on its budget is enforced, and below which it no
# longer is. Shares follow demand that moves between nodes with a delay, and must not
# hold back requests while servers have free slots.
MIN_ENFORCED_UTILIZATION = 0.93
MIN_HELD_UTILIZATION = 0.87
# Part of the capacity that client requests are admitted for.
TARGET_UTILIZATION = 0.97
# Period whose tokens a bucket holds, and whose tokens the most urgent requests may
# overdraw; both are at least this number of the most expensive requests.
BURST_PERIOD_S = 1.0
OVERDRAFT_PERIOD_S = 1.0
MIN_BURST_REQUESTS = 3.0
# Part of a bucket that the least urgent requests leave to others.
MAX_RESERVED_SHARE = 0.5
# Smallest share of a node, relative to an equal division, so that a node to which
# clients move is not left without tokens.
MIN_RELATIVE_SHARE = 0.25
# Correction of the estimated capacity: its range, and the factors per control step
# while servers are idle or calls wait too long. In a wider range it would react to
# demand that moves between nodes, and hold back urgent requests where it is highest.
MIN_CORRECTION = 0.8
MAX_CORRECTION = 1.25
RAISE_FACTOR = 1.03
LOWER_FACTOR = 0.96
MAX_IDLE_UTILIZATION = 0.93
MAX_WAIT = 0.5


def compute_capacities(
    loads: Sequence[MemberLoad], routes: Sequence[str], scale: float = 1.0
) -> dict[str, float]:
    """Return the runs of each route per second that the servers can complete.

    Servers that have not run a route yet are taken to need its mean duration. Routes
    that none has run are left out. ``scale`` is the number of servers relative to that
    of ``loads``, of which some may be missing.
    """
    capacities = {}
    for name in routes:
        known = [load.run_s[name] for load in loads if name in load.run_s]
        if not known:
            continue
        mean_run_s = sum(known) / len(known)
        capacities[name] = scale * sum(
            load.limit / max(load.run_s.get(name, mean_run_s), 1e-6) for load in loads
        )
    return capacities


def compute_request_cost(
    runs: Mapping[str, float], capacities: Mapping[str, float]
) -> float:
    """Return the seconds for which a request occupies a whole service.

    ``runs`` holds the runs that the request leads to, and ``capacities`` the runs per
    second that the service completes, both by route.

        >>> compute_request_cost({"part": 8.0, "list": 2.0}, {"part": 400.0})
        0.02
    """
    return sum(
        count / capacities[name]
        for name, count in runs.items()
        if capacities.get(name, 0.0) > 0.0
    )


def compute_share(own_demand: float, total_demand: float, nodes: int) -> float:
    """Return the part of a service's capacity that a node may use.

    It is the node's part of the demand, or an equal part if no demand is known.

        >>> compute_share(own_demand=0.1, total_demand=0.4, nodes=10)
        0.25
        >>> compute_share(own_demand=0.0, total_demand=0.4, nodes=10)
        0.025
    """
    equal_share = 1.0 / max(1, nodes)
    if total_demand <= 0.0:
        return equal_share
    share = own_demand / total_demand
    return min(1.0, max(MIN_RELATIVE_SHARE * equal_share, share))


def compute_burst_s(rate: float, max_cost_s: float) -> float:
    """Return how many tokens a bucket holds.

    ``rate`` is its refill rate, a fraction of the service, and ``max_cost_s`` the cost
    of the most expensive request.

        >>> compute_burst_s(rate=0.01, max_cost_s=0.001)
        0.01
    """
    return max(BURST_PERIOD_S * rate, MIN_BURST_REQUESTS * max_cost_s)


def compute_floor_s(position: int, ranks: int, rate: float, burst_s: float) -> float:
    """Return the tokens that a request must leave in the bucket.

    ``position`` is that of its rank among the ``ranks`` that need the service. Urgent
    requests may overdraw the bucket, which holds back less urgent ones until it has
    recovered. Without others, there is nobody to take the calls from.

        >>> compute_floor_s(position=0, ranks=3, rate=0.01, burst_s=0.01)
        -0.01
        >>> compute_floor_s(position=2, ranks=3, rate=0.01, burst_s=0.01)
        0.005
    """
    if ranks == 1:
        return 0.0
    lowest_s = -max(OVERDRAFT_PERIOD_S * rate, burst_s)
    highest_s = MAX_RESERVED_SHARE * burst_s
    return lowest_s + (highest_s - lowest_s) * position / (ranks - 1)


def is_enforced(was_enforced: bool, utilization: float) -> bool:
    """Return whether a budget holds back requests at this utilization of its service.

    >>> is_enforced(False, 0.9), is_enforced(True, 0.9)
    (False, True)
    """
    limit = MIN_HELD_UTILIZATION if was_enforced else MIN_ENFORCED_UTILIZATION
    return utilization >= limit


def adjust_correction(correction: float, utilization: float, wait: float) -> float:
    """Return the correction of the estimated capacity after one control step.

    ``utilization`` is the part of the slots in use while requests are held back, and
    ``wait`` the mean wait at the servers relative to its maximum.

        >>> adjust_correction(1.0, utilization=0.8, wait=0.1)
        1.03
        >>> adjust_correction(1.0, utilization=1.0, wait=2.0)
        0.96
    """
    if wait > MAX_WAIT:
        return max(MIN_CORRECTION, LOWER_FACTOR * correction)
    if utilization < MAX_IDLE_UTILIZATION:
        return min(MAX_CORRECTION, RAISE_FACTOR * correction)
    return correction
