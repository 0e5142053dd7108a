"""How much work the requests that clients offer will ask of a service.

The load that this answers: servers of the scarcest service leave while demand surges.
Most requests that are begun then end at their first call there, so that the calls they
would still have made never come. By what arrives, demand then seems a small part of
what is offered, and hardly a request with many such calls is finished.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from eelgrassmount.relay.members import MemberLoad

# demand that arrives, from which on a forecast is gone by, and from which on it counts
# whole. A service that is less busy has room whatever was foreseen: calls per run are
# learned and may be wrong, and a forecast that is too high must not keep it idle
LEAST_BUSY = 0.6
FULLY_BUSY = 0.9


def measure_capacity(loads: Sequence[MemberLoad], route_name: str) -> float:
    """Return how many runs of a route a second some servers can do together.

    It is 0 if none of them has run it yet.
    """
    known = [load.run_s[route_name] for load in loads if route_name in load.run_s]
    if not known:
        return 0.0
    usual_s = sum(known) / len(known)
    return sum(
        load.limit / max(load.run_s.get(route_name, usual_s), 1e-6) for load in loads
    )


def foresee_demand(
    asked: Mapping[str, float], loads: Sequence[MemberLoad], nodes: int
) -> float:
    """Return the work that is asked of a service, as a part of what it can do.

    ``asked`` holds the runs a second of each route, and ``loads`` describes those of
    the service's ``nodes`` that have reported lately::

        # 30 runs a second of 0.1 s, at 4 servers of 2 slots
        foresee_demand({"shop/part/": 30.0}, loads, 4)
        # 0.375
    """
    if not loads:
        return 0.0
    times = max(1.0, nodes / len(loads))
    demand = 0.0
    for name, rate in asked.items():
        capacity = measure_capacity(loads, name) * times
        if capacity:
            demand += rate / capacity
    return demand


def combine_offered(counted: float, foreseen: float, arriving: float) -> float:
    """Return what is offered, by what was counted and what is foreseen.

    ``counted`` follows from the demand that arrives and the level at which it was
    admitted, and ``arriving`` is that demand. Only a higher forecast is gone by: a
    lower one leaves out repeats.

        >>> combine_offered(1.2, foreseen=2.0, arriving=0.95)
        2.0
        >>> combine_offered(0.5, foreseen=2.0, arriving=0.5)
        0.5
    """
    trust = (arriving - LEAST_BUSY) / (FULLY_BUSY - LEAST_BUSY)
    trust = min(1.0, max(0.0, trust))
    return counted + trust * max(0.0, foreseen - counted)
