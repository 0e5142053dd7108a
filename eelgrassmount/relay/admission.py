"""Admission control for client requests, based on the services they lead to."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.entry.fair_shares import FairShares
from eelgrassmount.entry.request_rates import smooth_rates
from eelgrassmount.policy.shedding import (
    RequestClass,
    RequiredCalls,
    compute_admitted_fractions,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.policy.fair_shares import GroupKey
    from eelgrassmount.relay.routes import Route, RouteTable

# Decay factor of request counts per control step.
REQUEST_COUNT_DECAY_FACTOR = 0.9
# Request classes with fewer requests are ignored.
MIN_REQUEST_COUNT = 0.5
MAX_CHAIN_DEPTH = 6


@define(eq=False, repr=False)
class CallGraph:
    """Which services each route leads to, as learned by all nodes.

    ``calls_per_run`` maps a route to the mean number of calls that one run of it makes
    to each other route. ``learned_routes`` are the routes whose calls are known,
    including those that make none.
    """

    calls_per_run: dict[str, dict[str, float]] = field(factory=dict)
    learned_routes: set[str] = field(factory=set)
    _calls_by_service: dict[str, dict[str, float]] = field(factory=dict)
    _runs_by_depth: dict[tuple[str, int], dict[str, float]] = field(factory=dict)
    _time_allowances: dict[str, float] = field(factory=dict)
    _call_timeouts: dict[str, float] = field(factory=dict)
    _called_routes: set[str] | None = None
    _run_counts: dict[str, float] | None = None

    def set_calls(self, route_name: str, calls: dict[str, float]) -> None:
        """Store the calls per run of a route."""
        known = self.calls_per_run.get(route_name)
        self.clear_caches()
        if known is None or known.keys() != calls.keys():
            self._called_routes = None
            rounded = {name: round(count, 2) for name, count in calls.items()}
            logger.info("calls of a route learned", route=route_name, calls=rounded)
        self.calls_per_run[route_name] = calls

    def keep_routes(self, knows_route: Callable[[str], bool]) -> None:
        """Remove the calls of all other routes."""
        self.learned_routes = {
            name for name in self.learned_routes if knows_route(name)
        }
        removed = [name for name in self.calls_per_run if not knows_route(name)]
        for name in removed:
            del self.calls_per_run[name]
        if removed:
            self._called_routes = None
            self.clear_caches()

    def clear_caches(self) -> None:
        """Clear cached results after routes or their calls have changed."""
        self._calls_by_service.clear()
        self._runs_by_depth.clear()
        self._time_allowances.clear()
        self._call_timeouts.clear()
        self._run_counts = None

    def find_time_allowance(self, route: Route, table: RouteTable) -> float:
        """Return the seconds that a call of a route may take.

        This is the objective of the route, or less if a request with a tighter
        objective makes many such calls. The time of a request is divided among its
        calls as if they were sequential and took equally long::

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
                    share = run_counts.get(called, 1.0) / run_counts[name]
                    limit_s = allowances[name] * share
                    allowances[called] = min(allowances[called], limit_s)
        return allowances

    def find_call_timeout(self, route_name: str, table: RouteTable) -> float:
        """Return the shortest timeout in seconds among the routes that a run calls.

        Infinite if the run is not known to make calls.
        """
        calls = self.calls_per_run.get(route_name)
        if not calls:
            return math.inf
        timeout_s = self._call_timeouts.get(route_name)
        if timeout_s is None:
            called = calls.keys() & table.routes.keys()
            timeout_s = min(
                (table.routes[name].timeout_s for name in called), default=math.inf
            )
            self._call_timeouts[route_name] = timeout_s
        return timeout_s

    def count_runs(self, route_name: str) -> int:
        """Return how many runs a request of a route leads to, itself included."""
        return round(self._find_run_counts().get(route_name, 1.0))

    def _find_run_counts(self) -> dict[str, float]:
        if self._run_counts is None:
            self._run_counts = self._compute_run_counts()
        return self._run_counts

    def _compute_run_counts(self) -> dict[str, float]:
        """Return the number of runs per request by route, the request included."""
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
        """Return how many calls a request of a route makes to each service.

        The request itself counts as one call. Downstream calls are counted up to
        `MAX_CHAIN_DEPTH`, so that cycles end.
        """
        found = self._calls_by_service.get(route.name)
        if found is None:
            found = self._calls_by_service[route.name] = {}
            for name, runs in self.count_runs_by_route(route, table).items():
                _add_service_runs(table.routes.get(name, route), runs, found)
        return found

    def count_runs_by_route(self, route: Route, table: RouteTable) -> dict[str, float]:
        """Return how many runs of each route a request of a route leads to."""
        return self._count_runs_to_depth(route, table)

    def _count_runs_to_depth(
        self, route: Route, table: RouteTable, depth: int = MAX_CHAIN_DEPTH
    ) -> dict[str, float]:
        """Return the runs by route of a request, following its calls to a depth.

        Results are cached by route and depth: without the cache, the time grows
        exponentially with the number of routes that call each other.
        """
        known = self._runs_by_depth.get((route.name, depth))
        if known is not None:
            return known
        found = {route.name: 1.0}
        calls = self.calls_per_run.get(route.name, {}) if depth else {}
        for name, per_run in calls.items():
            called = table.routes.get(name)
            if called is not None and name != route.name:
                for run, runs in self._count_runs_to_depth(
                    called, table, depth - 1
                ).items():
                    found[run] = found.get(run, 0.0) + per_run * runs
        self._runs_by_depth[route.name, depth] = found
        return found

    def has_learned_calls(self) -> bool:
        """Return whether downstream calls can be distinguished from client requests."""
        return bool(self.calls_per_run)

    def may_call(self, route_name: str, called_name: str) -> bool:
        """Return whether runs of a route call another route, or may do so.

        A route whose calls are not known may call any route.
        """
        calls = self.calls_per_run.get(route_name)
        return calls is None or called_name in calls

    def is_called_by_servers(self, route_name: str) -> bool:
        """Return whether the runs of any route call this route."""
        if self._called_routes is None:
            self._called_routes = {
                name for calls in self.calls_per_run.values() for name in calls
            }
        return route_name in self._called_routes


def _add_service_runs(route: Route, runs: float, found: dict[str, float]) -> None:
    """Add the runs of a route to the counts of its target services."""
    for service, share in route.compute_shares().items():
        found[service] = found.get(service, 0.0) + runs * share


@define(eq=False, repr=False)
class Admission:
    """Decides which client requests a node admits while services are overloaded.

    For each overloaded service, request classes are ordered by urgency and weighted by
    the calls that their requests make to it. The most urgent classes are admitted until
    their calls reach the admitted fraction of the service; the class at the limit is
    admitted in part. If a request needs several services, the smallest fraction
    applies.

    ``find_offered_rates`` returns the requests per second that clients offer to all
    nodes; while it is empty, the node uses its own decaying ``request_counts``.
    ``request_rates`` holds the requests per second offered to this node. Only routes
    that clients are known to use are limited. Where API keys separate clients from
    servers, a route whose calls are not known yet counts as a user of every overloaded
    service, so that urgent requests have precedence from the first seconds of a surge.
    ``find_begin_fraction`` returns the fraction of a class to begin while servers
    reject calls whatever their load.

    ``fair_shares`` divides a class that is admitted in part among groups of callers.
    ``is_budgeted`` returns whether the call budgets of this node limit a class in place
    of its admitted fraction.
    """

    graph: CallGraph
    find_admitted_fraction: Callable[[str], float]
    find_offered_rates: Callable[[], dict[RequestClass, float]] = dict
    is_client_route: Callable[[str], bool] = lambda name: True
    find_begin_fraction: Callable[[RequestClass], float] = lambda request_class: 1.0
    rng: random.Random = field(factory=random.Random)
    fair_shares: FairShares = field(factory=FairShares)
    is_budgeted: Callable[[RequestClass], bool] = lambda request_class: False
    request_counts: dict[RequestClass, float] = field(factory=dict)
    request_rates: dict[RequestClass, float] = field(factory=dict)
    admitted_fractions: dict[RequestClass, float] = field(factory=dict)
    _credits: dict[RequestClass, float] = field(factory=dict)
    _group_credits: dict[GroupKey, float] = field(factory=dict)
    _new_requests: dict[RequestClass, int] = field(factory=dict)

    def try_admit(self, request_class: RequestClass, group: str = "") -> bool:
        """Return whether to admit one request; admissions are spread evenly.

        ``group`` is the team of the request, empty for a request of no team.
        """
        self.request_counts[request_class] = (
            self.request_counts.get(request_class, 0.0) + 1.0
        )
        self._new_requests[request_class] = self._new_requests.get(request_class, 0) + 1
        self.fair_shares.record(request_class, group)
        # Refusing an unrecognized downstream call would waste the work already done
        # for its request.
        if not self.is_client_route(request_class.route_name):
            return True
        fraction = self._find_fraction(request_class, group)
        if fraction >= 1.0:
            return True
        key = self.fair_shares.find_listed_key(request_class, group)
        if key is None:
            admitted = self._take_credit(self._credits, request_class, fraction)
        else:
            admitted = self._take_credit(self._group_credits, key, fraction)
        self.fair_shares.record_decision(request_class, group, admitted)
        return admitted

    def _find_fraction(self, request_class: RequestClass, group: str) -> float:
        """Return the fraction of the requests of a group to admit."""
        fraction = self.admitted_fractions.get(request_class, 1.0)
        if fraction >= 1.0:
            return 1.0
        group_fraction = self.fair_shares.find_group_fraction(request_class, group)
        if self.is_budgeted(request_class):
            # What heavy groups give up, the others get from the budget.
            begin_fraction = self.find_begin_fraction(request_class)
            return min(1.0, group_fraction) * begin_fraction
        return fraction * group_fraction

    def _take_credit(self, credits: dict, key: tuple, fraction: float) -> bool:
        """Return whether the credit of earlier requests suffices for one more."""
        # A random start keeps nodes from all refusing their first request.
        credit = credits.get(key)
        credit = fraction + (self.rng.random() if credit is None else credit)
        admitted = credit >= 1.0
        credits[key] = credit - 1.0 if admitted else credit
        return admitted

    def update(self, table: RouteTable) -> None:
        """Recompute the admitted fractions of all request classes.

        Must be called once each `CONTROL_INTERVAL_S`.
        """
        self._update_rates(table)
        self.admitted_fractions = {}
        fractions = {name: self.find_admitted_fraction(name) for name in table.services}
        overloaded = {
            name: fraction for name, fraction in fractions.items() if fraction < 1.0
        }
        if overloaded and (self.graph.has_learned_calls() or table.teams.is_required):
            for service, required in self._list_required_calls(
                table, overloaded
            ).items():
                if service in overloaded:
                    self._apply_limits(
                        compute_admitted_fractions(required, overloaded[service])
                    )
        self._limit_begun()
        self.fair_shares.update(table.features.shares_fairly, self.admitted_fractions)
        self.request_counts = {
            request_class: count * REQUEST_COUNT_DECAY_FACTOR
            for request_class, count in self.request_counts.items()
            if request_class.route_name in table.routes
        }
        self._credits = {
            request_class: credit
            for request_class, credit in self._credits.items()
            if request_class.route_name in table.routes
        }
        self._group_credits = {
            key: credit
            for key, credit in self._group_credits.items()
            if self.fair_shares.find_listed_key(*key) is not None
        }

    def _update_rates(self, table: RouteTable) -> None:
        rates = smooth_rates(self.request_rates, self._new_requests)
        self.request_rates = {
            request_class: rate
            for request_class, rate in rates.items()
            if request_class.route_name in table.routes
        }
        self._new_requests.clear()

    def _get_offered_load(self) -> dict[RequestClass, float]:
        """Return the offered load by request class, of all nodes if known."""
        return self.find_offered_rates() or {
            request_class: count
            for request_class, count in self.request_counts.items()
            if count >= MIN_REQUEST_COUNT
        }

    def _list_required_calls(
        self, table: RouteTable, overloaded: dict[str, float]
    ) -> dict[str, list[RequiredCalls]]:
        """Return the calls that each request class requires of each service."""
        required_calls: dict[str, list[RequiredCalls]] = {}
        for request_class, count in self._get_offered_load().items():
            route = table.routes.get(request_class.route_name)
            if route is None or self.graph.is_called_by_servers(
                request_class.route_name
            ):
                continue
            calls_by_service = self.graph.count_calls_by_service(route, table)
            if self._has_unknown_calls(route, table):
                calls_by_service = {
                    **dict.fromkeys(overloaded, 1.0),
                    **calls_by_service,
                }
            for service, calls in calls_by_service.items():
                required = RequiredCalls(request_class, count * calls)
                required_calls.setdefault(service, []).append(required)
        return required_calls

    def _has_unknown_calls(self, route: Route, table: RouteTable) -> bool:
        """Return whether the calls of a client route are not known yet."""
        known = (
            route.name in self.graph.calls_per_run
            or route.name in self.graph.learned_routes
        )
        return table.teams.is_required and route.needs_key and not known

    def _limit_begun(self) -> None:
        """Admit no more requests of a class than can be completed."""
        fractions = {
            request_class: self.find_begin_fraction(request_class)
            for request_class in self._get_offered_load()
        }
        self._apply_limits({one: part for one, part in fractions.items() if part < 1.0})

    def _apply_limits(self, fractions: dict[RequestClass, float]) -> None:
        for request_class, fraction in fractions.items():
            self.admitted_fractions[request_class] = min(
                self.admitted_fractions.get(request_class, 1.0), fraction
            )
