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
MIN_FORECAST_DEMAND = 0.6
FULL_FORECAST_DEMAND = 0.9


def estimate_capacity(loads: Sequence[MemberLoad], route_name: str) -> float:
    """Return how many runs of a route a second some servers can do together.

    It is 0 if none of them has run it yet.
    """
    measured_run_s = [
        load.run_s[route_name] for load in loads if route_name in load.run_s
    ]
    if not measured_run_s:
        return 0.0
    mean_run_s = sum(measured_run_s) / len(measured_run_s)
    return sum(
        load.limit / max(load.run_s.get(route_name, mean_run_s), 1e-6) for load in loads
    )


def forecast_demand(
    required_rates: Mapping[str, float], loads: Sequence[MemberLoad], nodes: int
) -> float:
    """Return the work that is asked of a service, as a part of what it can do.

    ``required_rates`` holds the runs a second of each route, and ``loads`` describes those of
    the service's ``nodes`` that have reported lately::

        # 30 runs a second of 0.1 s, at 4 servers of 2 slots
        foresee_demand({"shop/part/": 30.0}, loads, 4)
        # 0.375
    """
    if not loads:
        return 0.0
    scale = max(1.0, nodes / len(loads))
    demand = 0.0
    for name, rate in required_rates.items():
        capacity = estimate_capacity(loads, name) * scale
        if capacity:
            demand += rate / capacity
    return demand


def estimate_offered_load(
    measured: float, forecast: float, arriving_demand: float
) -> float:
    """Return what is offered, by what was counted and what is foreseen.

    ``measured`` follows from the demand that arrives and the level at which it was
    admitted, and ``arriving_demand`` is that demand. Only a higher forecast is gone by: a
    lower one leaves out repeats.

        >>> estimate_offered_load(1.2, forecast=2.0, arriving_demand=0.95)
        2.0
        >>> estimate_offered_load(0.5, forecast=2.0, arriving_demand=0.5)
        0.5
    """
    forecast_weight = (arriving_demand - MIN_FORECAST_DEMAND) / (
        FULL_FORECAST_DEMAND - MIN_FORECAST_DEMAND
    )
    forecast_weight = min(1.0, max(0.0, forecast_weight))
    return measured + forecast_weight * max(0.0, forecast - measured)
