"""Admission of whole requests where they enter, by what they lead to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.policy.piles import divide_level

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.routes import Route, RouteTable

# what was offered fades with this factor at each step: half is gone in 1.3 s
OFFERED_FADE = 0.9
# routes with fewer requests are left out
MIN_OFFERED = 0.5
# how deep chains of calls are followed
MAX_CHAIN = 6


@define(eq=False)
class CallGraph:
    """Which services each route leads to, from the vectors of all nodes.

    ``vectors`` holds, by route, the calls that one run of it makes. It is mature
    once any vector is known: before, calls of servers can't be told from requests.
    """

    vectors: dict[str, dict[str, float]] = field(factory=dict)
    _reached: dict[str, dict[str, float]] = field(factory=dict)
    _steps: dict[tuple[str, int], dict[str, float]] = field(factory=dict)
    _allowances: dict[str, float] = field(factory=dict)
    _called: set[str] | None = None
    _sizes: dict[str, float] | None = None

    def put(self, route_name: str, calls: dict[str, float]) -> None:
        """Take up the vector of a route."""
        known = self.vectors.get(route_name)
        self.forget_routes()
        if known is None or known.keys() != calls.keys():
            self._called = None
            rounded = {name: round(count, 2) for name, count in calls.items()}
            logger.info("calls of a route learned", route=route_name, calls=rounded)
        self.vectors[route_name] = calls

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Forget the vectors of all other routes."""
        left = [name for name in self.vectors if not knows_route(name)]
        for name in left:
            del self.vectors[name]
        if left:
            self._called = None
            self.forget_routes()

    def forget_routes(self) -> None:
        """Follow the chains anew, after the routes have changed."""
        self._reached.clear()
        self._steps.clear()
        self._allowances.clear()
        self._sizes = None

    def find_allowance(self, route: Route, table: RouteTable) -> float:
        """Return the seconds that a call of a route may take for all to be in time.

        That is its objective, or less where a request with a tighter one makes many
        such calls: what a request has is divided among its calls as if they were
        made one after the other and took the same time::

            # book has 0.8 s and makes 2 calls of list, each with 4 calls of part
            graph.find_allowance(part, table)  # 0.8 / (1 + 2 * (1 + 4))
        """
        if not self._allowances:
            self._allowances = self._divide_time(table)
        return self._allowances.get(route.name, route.objective_s)

    def _divide_time(self, table: RouteTable) -> dict[str, float]:
        allowances = {
            name: min(route.objective_s, route.timeout_s)
            for name, route in table.routes.items()
        }
        sizes = self._find_sizes()
        for _ in range(MAX_CHAIN):
            for name, calls in self.vectors.items():
                if name not in allowances:
                    continue
                for called in calls.keys() & allowances.keys():
                    part = sizes.get(called, 1.0) / sizes[name]
                    divided = allowances[name] * part
                    allowances[called] = min(allowances[called], divided)
        return allowances

    def count_runs(self, route_name: str) -> int:
        """Return how many runs a request of a route leads to, itself included."""
        return round(self._find_sizes().get(route_name, 1.0))

    def _find_sizes(self) -> dict[str, float]:
        if self._sizes is None:
            self._sizes = self._count_chains()
        return self._sizes

    def _count_chains(self) -> dict[str, float]:
        """Return how many runs a request of each route leads to, itself included."""
        sizes: dict[str, float] = {}
        for _ in range(MAX_CHAIN):
            sizes = {
                name: 1.0
                + sum(
                    count * sizes.get(called, 1.0)
                    for called, count in calls.items()
                    if called != name
                )
                for name, calls in self.vectors.items()
            }
        return sizes

    def count_calls(self, route: Route, table: RouteTable) -> dict[str, float]:
        """Return how many calls a request of a route makes of each service.

        The request itself counts as one; calls of calls are counted along the
        whole chain, up to a depth that ends cycles.
        """
        found = self._reached.get(route.name)
        if found is None:
            found = self._reached[route.name] = self._walk(route, table)
        return found

    def _walk(
        self, route: Route, table: RouteTable, depth: int = MAX_CHAIN
    ) -> dict[str, float]:
        """Return the calls of a request, with its chain followed so deep.

        Routes lead to the same others: what each adds at a depth is found once for
        all. Followed from each route anew, 350 routes of which half call four of
        one another took 155 ms each second, and 1,000 took 1.1 s.
        """
        known = self._steps.get((route.name, depth))
        if known is not None:
            return known
        found: dict[str, float] = {}
        _add_targets(table.routes.get(route.name, route), 1.0, found)
        calls = self.vectors.get(route.name, {}) if depth else {}
        for name, per_run in calls.items():
            called = table.routes.get(name)
            if called is not None and name != route.name:
                for service, times in self._walk(called, table, depth - 1).items():
                    found[service] = found.get(service, 0.0) + per_run * times
        self._steps[route.name, depth] = found
        return found

    def is_mature(self) -> bool:
        """Tell whether calls of servers can be told from requests of clients."""
        return bool(self.vectors)

    def may_call(self, route_name: str, called_name: str) -> bool:
        """Tell whether runs of a route make calls of another, or may do so.

        One whose calls are not known may call any.
        """
        calls = self.vectors.get(route_name)
        return calls is None or called_name in calls

    def is_called(self, route_name: str) -> bool:
        """Tell whether running servers make calls of a route."""
        if self._called is None:
            self._called = {name for calls in self.vectors.values() for name in calls}
        return route_name in self._called


def _add_targets(route: Route, times: float, found: dict[str, float]) -> None:
    """Add the runs of a route to those of the services that it leads to."""
    total = sum(target.weight for target in route.targets)
    for target in route.targets:
        part = times * target.weight / total if total else 0.0
        found[target.service] = found.get(target.service, 0.0) + part


@define(eq=False)
class Admission:
    """Decides at the entry whether a request of a client may begin.

    The routes that lead to a service stand one above the other, the most urgent
    at the bottom, each as high as the calls that its requests ask of the service.
    The level says up to which part of this pile requests are admitted. A route at
    the level is admitted in proportion, and of all services that a request needs
    the scarcest decides.
    """

    graph: CallGraph
    find_level: Callable[[str], float]
    offered: dict[str, float] = field(factory=dict)
    shares: dict[str, float] = field(factory=dict)
    _credits: dict[str, float] = field(factory=dict)

    def allows(self, route: Route) -> bool:
        """Decide on one request, dividing evenly over time."""
        name = route.name
        self.offered[name] = self.offered.get(name, 0.0) + 1.0
        share = self.shares.get(name, 1.0)
        if share >= 1.0:
            return True
        credit = self._credits.get(name, 0.5) + share
        if credit >= 1.0:
            self._credits[name] = credit - 1.0
            return True
        self._credits[name] = credit
        return False

    def update(self, table: RouteTable) -> None:
        """Work out the shares anew from the levels and what was offered lately."""
        self.shares = {}
        if self.graph.is_mature():
            for service, asked in self._pile(table).items():
                level = self.find_level(service)
                if level < 1.0:
                    self._limit(divide_level(asked, level))
        self.offered = {
            name: count * OFFERED_FADE
            for name, count in self.offered.items()
            if name in table.routes
        }
        self._credits = {
            name: credit
            for name, credit in self._credits.items()
            if name in table.routes
        }

    def _pile(self, table: RouteTable) -> dict[str, list[tuple[Route, float]]]:
        """Return what the offered requests ask of each service, by route."""
        piles: dict[str, list[tuple[Route, float]]] = {}
        for name, count in self.offered.items():
            route = table.routes.get(name)
            if route is None or count < MIN_OFFERED or self.graph.is_called(name):
                continue
            for service, calls in self.graph.count_calls(route, table).items():
                piles.setdefault(service, []).append((route, count * calls))
        return piles

    def _limit(self, shares: dict[str, float]) -> None:
        for name, share in shares.items():
            self.shares[name] = min(self.shares.get(name, 1.0), share)
