"""The load of a whole service, from that of its servers.

The load that this answers: servers of one service differ in speed and slots, and one
of them fails or rejects what it is sent while the others are full.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.relay.measures import DispatcherLoad

if TYPE_CHECKING:
    from eelgrassmount.relay.members import MemberLoad

# a server that fails half of its calls more than the best one has as good as no slots,
# and at least this part of them
FAILURE_WEIGHT = 2.0
LEAST_HEALTH = 0.1


def measure_load(loads: list[MemberLoad]) -> DispatcherLoad:
    """Return the load of a service from that of its servers, by their slots.

    The slots of a server that fails more than the best one count for less: routing
    leaves them to the others, which are full while the mean says that half is free.
    Where all fail alike, the cause is not the server.
    """
    least = min(load.failure_share for load in loads)
    weights = [
        load.limit
        * max(LEAST_HEALTH, 1.0 - FAILURE_WEIGHT * (load.failure_share - least))
        for load in loads
    ]
    total = sum(weights)
    pairs = list(zip(loads, weights, strict=True))
    return DispatcherLoad(
        sum(load.demand * load.limit for load in loads) / total,
        sum(load.wait * weight for load, weight in pairs) / total,
    )
