"""Admission of whole requests where they enter, by what they lead to."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.policy.levels import STEP_S
from eelgrassmount.policy.piles import AskedCalls, Demand, divide_level

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.routes import Route, RouteTable

# what was offered fades with this factor at each step
DEMAND_DECAY = 0.9
# routes with fewer requests are left out
MIN_REQUEST_COUNT = 0.5
# weight of the latest step in the requests a second of a route; a rate that has faded
# to the least is none
RATE_SMOOTHING = 0.3
MIN_RATE_PER_S = 0.01
# how deep chains of calls are followed
MAX_CHAIN_DEPTH = 6


@define(eq=False)
class CallGraph:
    """Which services each route leads to, from the vectors of all nodes.

    ``vectors`` holds, by route, the calls that one run of it makes. It is mature
    once any vector is known: before, calls of servers can't be told from requests.
    ``settled`` are the routes whose calls are known, also if there are none.
    """

    calls_per_run: dict[str, dict[str, float]] = field(factory=dict)
    learned_routes: set[str] = field(factory=set)
    _calls_by_service: dict[str, dict[str, float]] = field(factory=dict)
    _runs_by_depth: dict[tuple[str, int], dict[str, float]] = field(factory=dict)
    _time_allowances: dict[str, float] = field(factory=dict)
    _called_routes: set[str] | None = None
    _run_counts: dict[str, float] | None = None

    def set_calls(self, route_name: str, calls: dict[str, float]) -> None:
        """Take up the vector of a route."""
        known = self.calls_per_run.get(route_name)
        self.forget_routes()
        if known is None or known.keys() != calls.keys():
            self._called_routes = None
            rounded = {name: round(count, 2) for name, count in calls.items()}
            logger.info("calls of a route learned", route=route_name, calls=rounded)
        self.calls_per_run[route_name] = calls

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Forget the vectors of all other routes."""
        self.learned_routes = {
            name for name in self.learned_routes if knows_route(name)
        }
        left = [name for name in self.calls_per_run if not knows_route(name)]
        for name in left:
            del self.calls_per_run[name]
        if left:
            self._called_routes = None
            self.forget_routes()

    def forget_routes(self) -> None:
        """Follow the chains anew, after the routes have changed."""
        self._calls_by_service.clear()
        self._runs_by_depth.clear()
        self._time_allowances.clear()
        self._run_counts = None

    def find_time_allowance(self, route: Route, table: RouteTable) -> float:
        """Return the seconds that a call of a route may take for all to be in time.

        That is its objective, or less where a request with a tighter one makes many
        such calls: what a request has is divided among its calls as if they were
        made one after the other and took the same time::

            # book has 0.8 s and makes 2 calls of list, each with 4 calls of part
            graph.find_time_allowance(part, table)  # 0.8 / (1 + 2 * (1 + 4))
        """
        if not self._time_allowances:
            self._time_allowances = self._compute_time_allowances(table)
        return self._time_allowances.get(route.name, route.objective_s)

    def _compute_time_allowances(self, table: RouteTable) -> dict[str, float]:
        allowances = {
            name: min(route.objective_s, route.timeout_s)
            for name, route in table.routes.items()
        }
        run_counts = self._find_run_counts()
        for _ in range(MAX_CHAIN_DEPTH):
            for name, calls in self.calls_per_run.items():
                if name not in allowances:
                    continue
                for called in calls.keys() & allowances.keys():
                    part = run_counts.get(called, 1.0) / run_counts[name]
                    divided = allowances[name] * part
                    allowances[called] = min(allowances[called], divided)
        return allowances

    def find_call_timeout(self, route_name: str, table: RouteTable) -> float:
        """Return the longest that the calls of a run may take, by their routes."""
        called = self.calls_per_run.get(route_name, {}).keys() & table.routes.keys()
        return min((table.routes[name].timeout_s for name in called), default=math.inf)

    def count_runs(self, route_name: str) -> int:
        """Return how many runs a request of a route leads to, itself included."""
        return round(self._find_run_counts().get(route_name, 1.0))

    def _find_run_counts(self) -> dict[str, float]:
        if self._run_counts is None:
            self._run_counts = self._compute_run_counts()
        return self._run_counts

    def _compute_run_counts(self) -> dict[str, float]:
        """Return how many runs a request of each route leads to, itself included."""
        run_counts: dict[str, float] = {}
        for _ in range(MAX_CHAIN_DEPTH):
            run_counts = {
                name: 1.0
                + sum(
                    count * run_counts.get(called, 1.0)
                    for called, count in calls.items()
                    if called != name
                )
                for name, calls in self.calls_per_run.items()
            }
        return run_counts

    def count_calls_by_service(
        self, route: Route, table: RouteTable
    ) -> dict[str, float]:
        """Return how many calls a request of a route makes of each service.

        The request itself counts as one; calls of calls are counted along the
        whole chain, up to a depth that ends cycles.
        """
        found = self._calls_by_service.get(route.name)
        if found is None:
            found = self._calls_by_service[route.name] = {}
            for name, times in self.count_runs_by_route(route, table).items():
                _add_service_runs(table.routes.get(name, route), times, found)
        return found

    def count_runs_by_route(self, route: Route, table: RouteTable) -> dict[str, float]:
        """Return how many runs of each route a request of a route leads to."""
        return self._count_runs_to_depth(route, table)

    def _count_runs_to_depth(
        self, route: Route, table: RouteTable, depth: int = MAX_CHAIN_DEPTH
    ) -> dict[str, float]:
        """Return the runs by route of a request, with its chain followed so deep.

        Routes lead to the same others: what each adds at a depth is found once for
        all, as many routes that call one another would else take too long.
        """
        known = self._runs_by_depth.get((route.name, depth))
        if known is not None:
            return known
        found = {route.name: 1.0}
        calls = self.calls_per_run.get(route.name, {}) if depth else {}
        for name, per_run in calls.items():
            called = table.routes.get(name)
            if called is not None and name != route.name:
                for run, times in self._count_runs_to_depth(
                    called, table, depth - 1
                ).items():
                    found[run] = found.get(run, 0.0) + per_run * times
        self._runs_by_depth[route.name, depth] = found
        return found

    def has_learned_calls(self) -> bool:
        """Tell whether calls of servers can be told from requests of clients."""
        return bool(self.calls_per_run)

    def may_call(self, route_name: str, called_name: str) -> bool:
        """Tell whether runs of a route make calls of another, or may do so.

        One whose calls are not known may call any.
        """
        calls = self.calls_per_run.get(route_name)
        return calls is None or called_name in calls

    def is_called_by_servers(self, route_name: str) -> bool:
        """Tell whether running servers make calls of a route."""
        if self._called_routes is None:
            self._called_routes = {
                name for calls in self.calls_per_run.values() for name in calls
            }
        return route_name in self._called_routes


def _add_service_runs(route: Route, times: float, found: dict[str, float]) -> None:
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
    the scarcest decides. ``find_offered_rates`` returns the requests a second that
    are offered to all nodes, if they are known: the few of one node in its last second
    say little on a large fleet. ``rates`` holds those that are offered to this node,
    and ``offered`` its fading counts, by which it goes alone. Only routes are cut that
    clients are seen to use. Where keys tell clients from servers, one whose calls are
    not known yet may lead to any service, so that the least urgent requests go first
    also in the first seconds of a surge.
    """

    graph: CallGraph
    find_admitted_fraction: Callable[[str], float]
    find_offered_rates: Callable[[], dict[Demand, float]] = dict
    is_client_route: Callable[[str], bool] = lambda name: True
    rng: random.Random = field(factory=random.Random)
    request_counts: dict[Demand, float] = field(factory=dict)
    request_rates: dict[Demand, float] = field(factory=dict)
    admitted_fractions: dict[Demand, float] = field(factory=dict)
    _credits: dict[Demand, float] = field(factory=dict)
    _new_requests: dict[Demand, int] = field(factory=dict)

    def allows(self, demand: Demand) -> bool:
        """Decide on one request, dividing evenly over time."""
        self.request_counts[demand] = self.request_counts.get(demand, 0.0) + 1.0
        self._new_requests[demand] = self._new_requests.get(demand, 0) + 1
        share = self.admitted_fractions.get(demand, 1.0)
        # a call of a server that isn't known as one yet would be refused, as in the
        # first seconds of a surge, and what was done for its request lost
        if share >= 1.0 or not self.is_client_route(demand.route_name):
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

        It is called once each `STEP_S`.
        """
        self._update_rates(table)
        self.admitted_fractions = {}
        levels = {name: self.find_admitted_fraction(name) for name in table.services}
        overloaded = {name: level for name, level in levels.items() if level < 1.0}
        if overloaded and (self.graph.has_learned_calls() or table.teams.is_required):
            for service, asked in self._estimate_demands(table, overloaded).items():
                if service in overloaded:
                    self._apply_limits(divide_level(asked, overloaded[service]))
        self.request_counts = {
            demand: count * DEMAND_DECAY
            for demand, count in self.request_counts.items()
            if demand.route_name in table.routes
        }
        self._credits = {
            demand: credit
            for demand, credit in self._credits.items()
            if demand.route_name in table.routes
        }

    def _update_rates(self, table: RouteTable) -> None:
        for demand in self.request_rates.keys() | self._new_requests.keys():
            rate = self.request_rates.get(demand, 0.0)
            counted = self._new_requests.get(demand, 0) / STEP_S
            rate += RATE_SMOOTHING * (counted - rate)
            self.request_rates[demand] = rate
            if rate < MIN_RATE_PER_S or demand.route_name not in table.routes:
                del self.request_rates[demand]
        self._new_requests.clear()

    def _get_demands(self) -> dict[Demand, float]:
        """Return what is offered of each demand, for how much one is of all."""
        return self.find_offered_rates() or {
            demand: count
            for demand, count in self.request_counts.items()
            if count >= MIN_REQUEST_COUNT
        }

    def _estimate_demands(
        self, table: RouteTable, overloaded: dict[str, float]
    ) -> dict[str, list[AskedCalls]]:
        """Return what the offered requests ask of each service, by demand."""
        demands_by_service: dict[str, list[AskedCalls]] = {}
        for demand, count in self._get_demands().items():
            route = table.routes.get(demand.route_name)
            if route is None or self.graph.is_called_by_servers(demand.route_name):
                continue
            reached = self.graph.count_calls_by_service(route, table)
            if self._has_unknown_calls(route, table):
                reached = {**dict.fromkeys(overloaded, 1.0), **reached}
            for service, calls in reached.items():
                asked = AskedCalls(demand, count * calls)
                demands_by_service.setdefault(service, []).append(asked)
        return demands_by_service

    def _has_unknown_calls(self, route: Route, table: RouteTable) -> bool:
        """Tell whether the calls of a client's route are not known yet."""
        known = (
            route.name in self.graph.calls_per_run
            or route.name in self.graph.learned_routes
        )
        return table.teams.is_required and route.needs_key and not known

    def _apply_limits(self, shares: dict[Demand, float]) -> None:
        for demand, share in shares.items():
            self.admitted_fractions[demand] = min(
                self.admitted_fractions.get(demand, 1.0), share
            )
