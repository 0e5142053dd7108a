"""Admission of whole requests where they enter, by what they lead to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.routes import Route, RouteTable

# a gate whose slots are in use up to this part leaves the level as it is
TARGET_USE = 0.92
# the level goes down by at most this factor at each step, and up by that one
MAX_CUT = 0.85
MAX_RISE = 1.08
MIN_LEVEL = 0.02
STEP_S = 0.2
# how deep chains of calls are followed
MAX_CHAIN = 12


@define
class LevelControl:
    """The level of a gate: the part of the ranks that may still be admitted.

    Each step compares the wait at the gate with the wait that is allowed there, not
    the length of the queue: servers differ threefold in speed, and calls go to the
    fast ones until their queue takes as long as the slow ones' runs.
    """

    level: float = 1.0

    def update(self, use: float, wait_s: float, allowed_s: float) -> float:
        """Take up the mean use of the slots and the wait; return the new level."""
        if wait_s > allowed_s:
            factor = max(MAX_CUT, allowed_s / wait_s)
        elif use > TARGET_USE:
            factor = 1.0
        else:
            factor = min(MAX_RISE, TARGET_USE / max(use, MIN_LEVEL))
        self.level = min(1.0, max(MIN_LEVEL, self.level * factor))
        return self.level


@define(eq=False)
class CallGraph:
    """Which services each route leads to, from the vectors of all nodes.

    ``vectors`` holds, by route, the calls that one run of it makes. It is mature
    once any vector is known: before, calls of servers can't be told from requests.
    """

    vectors: dict[str, dict[str, float]] = field(factory=dict)
    _reached: dict[str, frozenset[str]] = field(factory=dict)
    _called: set[str] | None = None

    def put(self, route_name: str, calls: dict[str, float]) -> None:
        """Take up the vector of a route."""
        known = self.vectors.get(route_name)
        if known is None or known.keys() != calls.keys():
            self._reached.clear()
            self._called = None
            rounded = {name: round(count, 2) for name, count in calls.items()}
            logger.info("calls of a route learned", route=route_name, calls=rounded)
        self.vectors[route_name] = calls

    def forget_routes(self) -> None:
        """Follow the chains anew, after the routes have changed."""
        self._reached.clear()

    def find_services(self, route: Route, table: RouteTable) -> frozenset[str]:
        """Return the services that a request of a route needs, its own included."""
        found = self._reached.get(route.name)
        if found is None:
            found = frozenset(self._walk(route, table))
            self._reached[route.name] = found
        return found

    def _walk(self, route: Route, table: RouteTable) -> set[str]:
        services: set[str] = set()
        seen = {route.name}
        ahead = [route]
        for _ in range(MAX_CHAIN):
            following = []
            for one in ahead:
                services.update(target.service for target in one.targets)
                for name in self.vectors.get(one.name, ()):
                    called = table.routes.get(name)
                    if called is not None and name not in seen:
                        seen.add(name)
                        following.append(called)
            ahead = following
        return services

    def is_mature(self) -> bool:
        """Tell whether calls of servers can be told from requests of clients."""
        return bool(self.vectors)

    def is_called(self, route_name: str) -> bool:
        """Tell whether running servers make calls of a route."""
        if self._called is None:
            self._called = {name for calls in self.vectors.values() for name in calls}
        return route_name in self._called


@define(eq=False)
class Admission:
    """Decides at the entry whether a request of a client may begin.

    The routes that lead to a service stand on a ladder by priority. Of a level
    between 0 and 1, each priority takes an equal part, the most urgent first; a
    route whose part is not fully covered is admitted in that proportion. The
    scarcest of the services that a request needs decides.
    """

    graph: CallGraph
    find_level: Callable[[str], float]
    _credits: dict[str, float] = field(factory=dict)
    _ladders: dict[str, list[int]] = field(factory=dict)

    def allows(self, route: Route, table: RouteTable) -> bool:
        """Decide on one request, dividing evenly over time."""
        share = self.compute_share(route, table)
        if share >= 1.0:
            return True
        credit = self._credits.get(route.name, 0.5) + share
        if credit >= 1.0:
            self._credits[route.name] = credit - 1.0
            return True
        self._credits[route.name] = credit
        return False

    def compute_share(self, route: Route, table: RouteTable) -> float:
        """Return the part of a route's requests that is admitted."""
        share = 1.0
        if not self.graph.is_mature():
            return share
        for service in self.graph.find_services(route, table):
            level = self.find_level(service)
            if level < 1.0:
                ladder = self._find_ladder(service, table)
                place = ladder.index(route.priority) if route.priority in ladder else 0
                share = min(share, level * len(ladder) - place)
        return max(0.0, share)

    def forget_ladders(self) -> None:
        """Build the ladders anew, after routes or vectors have changed."""
        self._ladders.clear()

    def _find_ladder(self, service: str, table: RouteTable) -> list[int]:
        ladder = self._ladders.get(service)
        if ladder is None:
            ladder = sorted(
                {
                    route.priority
                    for route in table.routes.values()
                    if not self.graph.is_called(route.name)
                    and service in self.graph.find_services(route, table)
                }
            )
            self._ladders[service] = ladder
        return ladder
