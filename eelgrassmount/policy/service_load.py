"""Combines the load reports of a service's servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.relay.measures import DispatcherLoad

if TYPE_CHECKING:
    from eelgrassmount.relay.members import MemberLoad

# Weight lost per failure share above that of the most reliable server, and the weight
# that every server retains.
FAILURE_WEIGHT = 2.0
MIN_HEALTH_WEIGHT = 0.1


def combine_server_loads(loads: list[MemberLoad]) -> DispatcherLoad:
    """Return the load of a service from those of its servers, weighted by their slots.

    Servers that fail more often than the most reliable one weigh less: routing avoids
    them, so their free slots would hide that the other servers are full. Failures that
    all servers have in common don't reduce the weights.
    """
    min_failure_share = min([load.failure_share for load in loads])
    total = demand = wait = 0.0
    for load in loads:
        weight = load.limit
        excess = load.failure_share - min_failure_share
        if excess:
            weight *= max(MIN_HEALTH_WEIGHT, 1.0 - FAILURE_WEIGHT * excess)
        total += weight
        demand += load.demand * load.limit
        wait += load.wait * weight
    return DispatcherLoad(demand / total, wait / total)
