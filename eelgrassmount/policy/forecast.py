"""Forecasts the demand that client requests will place on a service.

Requests that fail at their first call to an overloaded service never make their
further calls, so demand measured by arriving calls is far below the offered load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from eelgrassmount.relay.members import MemberLoad

# The weight of a forecast grows from 0 to 1 between these levels of arriving demand:
# a forecast that is too high must not limit a service that has free capacity. The calls
# per run are learned and may be wrong.
MIN_FORECAST_DEMAND = 0.6
FULL_FORECAST_DEMAND = 0.9


def estimate_capacity(loads: Sequence[MemberLoad], route_name: str) -> float:
    """Return how many runs of a route per second the given servers can complete.

    The result is 0 if none of them has run the route yet.
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
    """Return the demand on a service, as a fraction of its capacity.

    ``required_rates`` holds the required runs per second by route; ``loads`` holds the
    recent reports of the service's ``nodes``, some of which may be missing::

        # 30 runs per second of 0.1 s, on 4 servers of 2 slots
        forecast_demand({"shop/part/": 30.0}, loads, 4)
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
    """Return the offered load, as a fraction of capacity.

    ``measured`` is ``arriving_demand`` divided by the fraction at which it was
    admitted. A forecast below it is ignored, since forecasts leave out retries.

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
