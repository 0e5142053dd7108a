"""How long the requests of each route take at this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.waiting import UNKNOWN_PATH_SHARE

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.routes import Route

PATH_SMOOTHING = 0.05


@define(eq=False)
class PathTimes:
    """The usual time from the start of a request to its answer, by route."""

    _mean_s: dict[str, float] = field(factory=dict)
    _answers: dict[str, int] = field(factory=dict)

    def record(self, route_name: str, seconds: float) -> None:
        """Add the time of an answered request."""
        answers = self._answers[route_name] = self._answers.get(route_name, 0) + 1
        mean_s = self._mean_s.get(route_name, 0.0)
        weight = max(PATH_SMOOTHING, 1.0 / answers)
        self._mean_s[route_name] = mean_s + weight * (seconds - mean_s)

    def find(self, route: Route) -> float:
        """Return the usual time of a route in seconds."""
        found = self._mean_s.get(route.name)
        return UNKNOWN_PATH_SHARE * route.objective_s if found is None else found

    def is_known(self, route: Route) -> bool:
        """Return whether a request of a route has been answered."""
        return route.name in self._mean_s

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Remove the times of all other routes."""
        for name in [name for name in self._mean_s if not knows_route(name)]:
            del self._mean_s[name]
            del self._answers[name]
