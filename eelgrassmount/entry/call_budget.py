"""The calls that the client requests of a node may cause at overloaded services."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field, frozen
from loguru import logger

from eelgrassmount.policy.call_budgets import (
    TARGET_UTILIZATION,
    adjust_correction,
    compute_burst_s,
    compute_capacities,
    compute_floor_s,
    compute_request_cost,
    compute_share,
    is_enforced,
)
from eelgrassmount.relay.members import MAX_REPORT_AGE_S

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from eelgrassmount.policy.shedding import RequestClass
    from eelgrassmount.relay.members import Member, MemberLoad
    from eelgrassmount.relay.shared_state import SharedState

# Utilization below which a service has no budget.
MIN_BUDGETED_UTILIZATION = 0.3
# Smoothing factor of demand per control step, and the steps after which the demand of
# this node is part of the total that it learns. Compared with a faster or later demand,
# the shares of all nodes would not add up to 1 while demand rises or falls.
DEMAND_SMOOTHING = 0.05
TOTAL_DELAY_STEPS = 8


@frozen
class ServiceLoad:
    """Load of a service by its latest reports; utilization is a part of its slots."""

    loads: list[MemberLoad]
    utilization: float
    wait: float


@define(eq=False)
class ServiceBudget:
    """Token bucket of the calls to one service; a token is a second of all its servers.

    ``rate`` is the part of the service that this node may use. ``costs`` holds the
    tokens that a request of each class takes, and ``positions`` the order of the ranks
    that need the service. While the budget is not ``enforced``, requests take tokens
    without being held back. ``held_back`` is set once a request has lacked tokens since
    the last control step.
    """

    tokens: float = 0.0
    rate: float = 0.0
    burst_s: float = 0.0
    correction: float = 1.0
    enforced: bool = False
    held_back: bool = False
    own_demand: float = 0.0
    total_demand: float = 0.0
    refilled_s: float = -math.inf
    costs: dict[RequestClass, float] = field(factory=dict)
    positions: dict[int, int] = field(factory=dict)

    def refill(self, now_s: float) -> None:
        """Add the tokens earned since the last call."""
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.tokens = min(self.burst_s, self.tokens + self.rate * elapsed_s)
        self.refilled_s = now_s

    def record_demand(self, own_demand: float, total_demand: float) -> None:
        """Update the smoothed demand of this node and of all, as service shares."""
        if not self.total_demand:
            # The first known total is not smoothed.
            self.own_demand = own_demand
            self.total_demand = total_demand
        self.own_demand += DEMAND_SMOOTHING * (own_demand - self.own_demand)
        self.total_demand += DEMAND_SMOOTHING * (total_demand - self.total_demand)

    def find_floor_s(self, rank: int) -> float:
        """Return the tokens that a request of a rank must leave."""
        return compute_floor_s(
            self.positions[rank], len(self.positions), self.rate, self.burst_s
        )

    def compute_missing(
        self, request_class: RequestClass, waiting_before: Sequence[RequestClass] = ()
    ) -> float:
        """Return the tokens that a request lacks behind others, 0 if it may start."""
        if not self.enforced:
            return 0.0
        needed = self.find_floor_s(request_class.rank) + self.costs[request_class]
        needed += sum([self.costs.get(one, 0.0) for one in waiting_before])
        return max(0.0, needed - self.tokens)

    def take(self, request_class: RequestClass) -> None:
        """Take the tokens of a request, at most down to the lowest floor."""
        tokens = self.tokens - self.costs[request_class]
        self.tokens = max(tokens, compute_floor_s(0, 2, self.rate, self.burst_s))


@define(eq=False)
class CallBudget:
    """The budgets of calls to loaded services at one node.

    Each service that is loaded has a budget: the part of its capacity that corresponds
    to this node's part of the demand. Only requests of client routes whose calls are
    known are limited, and only by services that can be reached and report their load;
    all others are subject to the admitted fractions. ``get_request_rates`` returns the
    requests per second that this node is offered, by class.
    """

    state: SharedState
    get_request_rates: Callable[[], Mapping[RequestClass, float]]
    budgets: dict[str, ServiceBudget] = field(factory=dict)
    _by_class: dict[RequestClass, list[ServiceBudget]] = field(factory=dict)
    _recent_rates: deque[dict[RequestClass, float]] = field(
        factory=lambda: deque(maxlen=TOTAL_DELAY_STEPS)
    )

    def update(self) -> None:
        """Recompute all budgets; called once each control interval."""
        self._by_class = {}
        self._recent_rates.append(dict(self.get_request_rates()))
        if not self.state.table.features.budgets_calls:
            self.budgets = {}
            return
        for service, members in self.state.members.by_service.items():
            load = self._measure_load(members.values())
            if load is None or load.utilization < MIN_BUDGETED_UTILIZATION:
                self._drop(service)
            else:
                self._update_service(service, load, len(members))
        self._index_classes()

    def covers(self, request_class: RequestClass) -> bool:
        """Return whether the budgets of services decide on a class of requests."""
        return request_class in self._by_class

    def try_take(self, request_class: RequestClass, now_s: float) -> bool:
        """Return whether a request may start, and take its tokens if it may."""
        budgets = self._by_class.get(request_class, ())
        for budget in budgets:
            budget.refill(now_s)
            if budget.compute_missing(request_class) > 0.0:
                budget.held_back = True
                return False
        for budget in budgets:
            budget.take(request_class)
        return True

    def estimate_wait_s(
        self,
        request_class: RequestClass,
        now_s: float,
        waiting_before: Sequence[RequestClass] = (),
    ) -> float:
        """Return the seconds until a request may start behind others that wait."""
        wait_s = 0.0
        for budget in self._by_class.get(request_class, ()):
            budget.refill(now_s)
            missing = budget.compute_missing(request_class, waiting_before)
            # those before a request were recorded on their own
            is_held_back = budget.compute_missing(request_class) > 0.0
            budget.held_back = budget.held_back or is_held_back
            wait_s = max(wait_s, missing / max(budget.rate, 1e-9))
        return wait_s

    def _drop(self, service: str) -> None:
        budget = self.budgets.pop(service, None)
        if budget is not None and budget.enforced:
            logger.info("call budget lifted", service=service)

    def _measure_load(self, members: Collection[Member]) -> ServiceLoad | None:
        """Return the load of a service, ``None`` without a recent report."""
        oldest_s = self.state.clock() - MAX_REPORT_AGE_S
        loads = [
            one.load
            for one in members
            if one.load.reported_s > oldest_s and one.load.limit and one.load.accepting
        ]
        if not loads:
            return None
        slots = sum(load.limit for load in loads)
        in_use = sum(min(load.in_flight, load.limit) for load in loads) / slots
        demand = sum(load.demand * load.limit for load in loads) / slots
        wait = sum(load.wait * load.limit for load in loads) / slots
        return ServiceLoad(loads, max(in_use, demand), wait)

    def _update_service(self, service: str, load: ServiceLoad, nodes: int) -> None:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = ServiceBudget()
        now_s = self.state.clock()
        budget.refill(now_s)
        offered = self.state.cluster_counts.offered
        own = self._recent_rates[0]
        scale = max(1.0, self._count_usable(service) / len(load.loads))
        budget.costs = self._compute_costs(
            service, load.loads, {*self._recent_rates[-1], *offered}, scale
        )
        ranks = sorted({one.rank for one in budget.costs})
        budget.positions = {rank: position for position, rank in enumerate(ranks)}
        self._update_rate(budget, own, offered)
        if budget.held_back:
            budget.correction = adjust_correction(
                budget.correction, load.utilization, load.wait
            )
        budget.held_back = False
        self._enforce(service, budget, load)

    def _update_rate(
        self,
        budget: ServiceBudget,
        own: Mapping[RequestClass, float],
        offered: Mapping[RequestClass, float],
    ) -> None:
        own_demand = _add_costs(own, budget.costs)
        total_demand = _add_costs(offered, budget.costs)
        is_new = not budget.burst_s
        budget.record_demand(own_demand, total_demand)
        share = compute_share(
            budget.own_demand, budget.total_demand, len(self.state.members.by_name)
        )
        budget.rate = TARGET_UTILIZATION * budget.correction * share
        budget.burst_s = compute_burst_s(
            budget.rate, max(budget.costs.values(), default=0.0)
        )
        if is_new:
            budget.tokens = budget.burst_s

    def _enforce(self, service: str, budget: ServiceBudget, load: ServiceLoad) -> None:
        enforced = is_enforced(budget.enforced, load.utilization)
        if enforced != budget.enforced:
            logger.info(
                "call budget enforced" if enforced else "call budget lifted",
                service=service,
                utilization=round(load.utilization, 2),
                rate=round(budget.rate, 5),
                correction=round(budget.correction, 2),
            )
        budget.enforced = enforced

    def _count_usable(self, service: str) -> int:
        return sum(
            1
            for one in self.state.members.list_service(service)
            if one.load.accepting and not one.connect_failures
        )

    def _compute_costs(
        self,
        service: str,
        loads: Sequence[MemberLoad],
        request_classes: Collection[RequestClass],
        scale: float,
    ) -> dict[RequestClass, float]:
        """Return the cost of a request of each class that leads to a service."""
        runs_by_class = {
            one: runs
            for one in request_classes
            if (runs := self._find_runs(one, service))
        }
        routes = {name for runs in runs_by_class.values() for name in runs}
        capacities = compute_capacities(loads, sorted(routes), scale)
        costs = {
            one: compute_request_cost(runs, capacities)
            for one, runs in runs_by_class.items()
        }
        return {one: cost for one, cost in costs.items() if cost > 0.0}

    def _find_runs(self, request_class: RequestClass, service: str) -> dict[str, float]:
        """Return the runs at a service that a request of a class leads to, by route."""
        state = self.state
        route = state.table.routes.get(request_class.route_name)
        if route is None or state.graph.is_called_by_servers(route.name):
            return {}
        if route.name not in state.client_routes or not self._knows_calls(route.name):
            return {}
        routes = state.table.routes
        found = {}
        for name, runs in state.graph.count_runs_by_route(route, state.table).items():
            share = routes[name].compute_shares().get(service, 0.0)
            if share:
                found[name] = runs * share
        return found

    def _knows_calls(self, route_name: str) -> bool:
        graph = self.state.graph
        return route_name in graph.calls_per_run or route_name in graph.learned_routes

    def _index_classes(self) -> None:
        """List the budgets of each class whose services can all be reached."""
        for budget in self.budgets.values():
            for request_class in budget.costs:
                if self._can_reach_services(request_class):
                    self._by_class.setdefault(request_class, []).append(budget)

    def _can_reach_services(self, request_class: RequestClass) -> bool:
        state = self.state
        if not state.unreachable:
            return True
        route = state.table.routes[request_class.route_name]
        services = state.graph.count_calls_by_service(route, state.table)
        return state.unreachable.isdisjoint(services)


def _add_costs(
    rates: Mapping[RequestClass, float], costs: Mapping[RequestClass, float]
) -> float:
    """Return the part of a service that requests at these rates need."""
    return sum(rate * costs.get(one, 0.0) for one, rate in rates.items())
