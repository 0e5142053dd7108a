"""Admission of whole requests where they enter, by what they lead to."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.policy.admission_controller import CONTROL_INTERVAL_S
from eelgrassmount.policy.shedding import (
    RequestClass,
    RequiredCalls,
    compute_admitted_shares,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.routes import Route, RouteTable

# what was offered fades with this factor at each step
OFFERED_FADE = 0.9
# routes with fewer requests are left out
MIN_OFFERED = 0.5
# weight of the latest step in the requests a second of a route; a rate that has faded
# to the least is none
RATE_WEIGHT = 0.3
LEAST_RATE = 0.01
# how deep chains of calls are followed
MAX_CHAIN = 6


@define(eq=False)
class CallGraph:
    """Which services each route leads to, from the vectors of all nodes.

    ``vectors`` holds, by route, the calls that one run of it makes. It is mature
    once any vector is known: before, calls of servers can't be told from requests.
    ``settled`` are the routes whose calls are known, also if there are none.
    """

    vectors: dict[str, dict[str, float]] = field(factory=dict)
    settled: set[str] = field(factory=set)
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
        self.settled = {name for name in self.settled if knows_route(name)}
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

    def find_call_limit(self, route_name: str, table: RouteTable) -> float:
        """Return the longest that the calls of a run may take, by their routes."""
        called = self.vectors.get(route_name, {}).keys() & table.routes.keys()
        return min((table.routes[name].timeout_s for name in called), default=math.inf)

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
            found = self._reached[route.name] = {}
            for name, times in self.list_runs(route, table).items():
                _add_targets(table.routes.get(name, route), times, found)
        return found

    def list_runs(self, route: Route, table: RouteTable) -> dict[str, float]:
        """Return how many runs of each route a request of a route leads to."""
        return self._walk(route, table)

    def _walk(
        self, route: Route, table: RouteTable, depth: int = MAX_CHAIN
    ) -> dict[str, float]:
        """Return the runs by route of a request, with its chain followed so deep.

        Routes lead to the same others: what each adds at a depth is found once for
        all, as many routes that call one another would else take too long.
        """
        known = self._steps.get((route.name, depth))
        if known is not None:
            return known
        found = {route.name: 1.0}
        calls = self.vectors.get(route.name, {}) if depth else {}
        for name, per_run in calls.items():
            called = table.routes.get(name)
            if called is not None and name != route.name:
                for run, times in self._walk(called, table, depth - 1).items():
                    found[run] = found.get(run, 0.0) + per_run * times
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
    for service, part in route.divide().items():
        found[service] = found.get(service, 0.0) + times * part


@define(eq=False)
class Admission:
    """Decides at the entry whether a request of a client may begin.

    The demands that lead to a service stand one above the other, the most urgent
    at the bottom, each as high as the calls that its requests ask of the service.
    The level says up to which part of this pile requests are admitted. A demand at
    the level is admitted in proportion, and of all services that a request needs
    the scarcest decides. ``find_offered`` returns the requests a second that
    are offered to all nodes, if they are known: the few of one node in its last second
    say little on a large fleet. ``rates`` holds those that are offered to this node,
    and ``offered`` its fading counts, by which it goes alone. Only routes are cut that
    clients are seen to use. Where keys tell clients from servers, one whose calls are
    not known yet may lead to any service, so that the least urgent requests go first
    also in the first seconds of a surge.
    """

    graph: CallGraph
    find_level: Callable[[str], float]
    find_offered: Callable[[], dict[RequestClass, float]] = dict
    is_of_clients: Callable[[str], bool] = lambda name: True
    rng: random.Random = field(factory=random.Random)
    offered: dict[RequestClass, float] = field(factory=dict)
    rates: dict[RequestClass, float] = field(factory=dict)
    shares: dict[RequestClass, float] = field(factory=dict)
    _credits: dict[RequestClass, float] = field(factory=dict)
    _counted: dict[RequestClass, int] = field(factory=dict)

    def allows(self, demand: RequestClass) -> bool:
        """Decide on one request, dividing evenly over time."""
        self.offered[demand] = self.offered.get(demand, 0.0) + 1.0
        self._counted[demand] = self._counted.get(demand, 0) + 1
        share = self.shares.get(demand, 1.0)
        # a call of a server that isn't known as one yet would be refused, as in the
        # first seconds of a surge, and what was done for its request lost
        if share >= 1.0 or not self.is_of_clients(demand.route_name):
            return True
        # nodes that begin alike would all refuse their first request, or none
        credit = self._credits.get(demand)
        credit = share + (self.rng.random() if credit is None else credit)
        if credit >= 1.0:
            self._credits[demand] = credit - 1.0
            return True
        self._credits[demand] = credit
        return False

    def update(self, table: RouteTable) -> None:
        """Work out the shares anew from the levels and what was offered lately.

        It is called once each `CONTROL_INTERVAL_S`.
        """
        self._update_rates(table)
        self.shares = {}
        levels = {name: self.find_level(name) for name in table.services}
        short = {name: level for name, level in levels.items() if level < 1.0}
        if short and (self.graph.is_mature() or table.teams.is_required):
            for service, asked in self._pile(table, short).items():
                if service in short:
                    self._limit(compute_admitted_shares(asked, short[service]))
        self.offered = {
            demand: count * OFFERED_FADE
            for demand, count in self.offered.items()
            if demand.route_name in table.routes
        }
        self._credits = {
            demand: credit
            for demand, credit in self._credits.items()
            if demand.route_name in table.routes
        }

    def _update_rates(self, table: RouteTable) -> None:
        for demand in self.rates.keys() | self._counted.keys():
            rate = self.rates.get(demand, 0.0)
            counted = self._counted.get(demand, 0) / CONTROL_INTERVAL_S
            rate += RATE_WEIGHT * (counted - rate)
            self.rates[demand] = rate
            if rate < LEAST_RATE or demand.route_name not in table.routes:
                del self.rates[demand]
        self._counted.clear()

    def _list_offered(self) -> dict[RequestClass, float]:
        """Return what is offered of each demand, for how much one is of all."""
        return self.find_offered() or {
            demand: count
            for demand, count in self.offered.items()
            if count >= MIN_OFFERED
        }

    def _pile(
        self, table: RouteTable, short: dict[str, float]
    ) -> dict[str, list[RequiredCalls]]:
        """Return what the offered requests ask of each service, by demand."""
        piles: dict[str, list[RequiredCalls]] = {}
        for demand, count in self._list_offered().items():
            route = table.routes.get(demand.route_name)
            if route is None or self.graph.is_called(demand.route_name):
                continue
            reached = self.graph.count_calls(route, table)
            if self._may_lead_anywhere(route, table):
                reached = {**dict.fromkeys(short, 1.0), **reached}
            for service, calls in reached.items():
                asked = RequiredCalls(demand, count * calls)
                piles.setdefault(service, []).append(asked)
        return piles

    def _may_lead_anywhere(self, route: Route, table: RouteTable) -> bool:
        """Tell whether the calls of a client's route are not known yet."""
        known = route.name in self.graph.vectors or route.name in self.graph.settled
        return table.teams.is_required and route.needs_key and not known

    def _limit(self, shares: dict[RequestClass, float]) -> None:
        for demand, share in shares.items():
            self.shares[demand] = min(self.shares.get(demand, 1.0), share)
