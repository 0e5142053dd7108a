"""Admitted fraction of each service, from load reports and offered load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.admission_controller import (
    CONTROL_INTERVAL_S,
    AdmissionController,
)
from eelgrassmount.policy.forecast import forecast_demand
from eelgrassmount.policy.service_load import combine_server_loads
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.measures import DispatcherLoad
from eelgrassmount.relay.members import MAX_REPORT_AGE_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from eelgrassmount.relay.members import Member, MemberLoad
    from eelgrassmount.relay.shared_state import SharedState


def log_overload_change(
    service: str, previous: float, fraction: float, load: DispatcherLoad
) -> None:
    """Log when the overload of a service begins or ends."""
    if (fraction < 1.0) == (previous < 1.0):
        return
    logger.info(
        "overload begins" if fraction < 1.0 else "overload ended",
        service=service,
        demand=round(load.demand, 2),
        wait=round(load.wait, 2),
    )


@define(eq=False, repr=False)
class AdmittedFractions:
    """Updates the admitted fraction and the reachability of each service."""

    state: SharedState

    def update(self) -> None:
        """Update the admitted fractions, once each `CONTROL_INTERVAL_S`."""
        required = self._estimate_required_runs()
        for service, members in self.state.members.by_service.items():
            self._update_service(service, members.values(), required.get(service, {}))

    def _update_service(
        self, service: str, members: Collection[Member], required: dict[str, float]
    ) -> None:
        state = self.state
        oldest_s = state.clock() - MAX_REPORT_AGE_S
        controller = state.admission_controllers.setdefault(
            service, AdmissionController()
        )
        previous = controller.admitted_fraction
        load = DispatcherLoad()
        recent = self._list_recent_loads(members, oldest_s)
        if recent:
            load = combine_server_loads(recent)
            forecast = 0.0
            if required:
                usable = self._count_usable(members)
                forecast = forecast_demand(required, recent, usable)
            if not controller.stays_open(load.demand, load.wait, forecast):
                age = self._compute_report_age(recent)
                controller.update(load.demand, load.wait, age, forecast)
        else:
            controller.increase_without_reports()
        log_overload_change(service, previous, controller.admitted_fraction, load)
        self._update_reachability(service, members)
        if state.get_admitted_fraction(service) < 1.0:
            self._request_reports(members, oldest_s)

    def _list_recent_loads(
        self, members: Iterable[Member], oldest_s: float
    ) -> list[MemberLoad]:
        """Return the recently reported loads of servers that accept calls."""
        return [
            load
            for one in members
            if (load := one.load).reported_s > oldest_s
            and load.limit
            # The slots of a draining server are not usable.
            and load.accepting
        ]

    def _update_reachability(self, service: str, members: Collection[Member]) -> None:
        """Record whether this node can send calls to any server of a service.

        Requests that need an unreachable service are refused before they run, also if
        its last servers are in a failure domain that is partitioned from this node.
        """
        state = self.state
        now_s = state.clock()
        if not state.table.version:
            # A starting node knows few others and refuses all requests anyway.
            return
        # A silent member may only be paused.
        reachable = False
        for member in members:
            if not member.connect_failures and member.is_accepting(now_s):
                reachable = True
                break
        if reachable == (service not in state.unreachable):
            return
        if reachable:
            state.unreachable.discard(service)
        else:
            state.unreachable.add(service)
        logger.warning(
            "service reachable again" if reachable else "service unreachable",
            service=service,
            servers=len(members),
        )

    def _estimate_required_runs(self) -> dict[str, dict[str, float]]:
        """Return the required runs per second, by service and route.

        Empty until this node has the counts of other nodes.
        """
        state = self.state
        required: dict[str, dict[str, float]] = {}
        if state.cluster_counts.nodes < 2 or not state.graph.has_learned_calls():
            return required
        routes = state.table.routes
        for request_class, rate in state.cluster_counts.offered.items():
            route = routes.get(request_class.route_name)
            if route is None or state.graph.is_called_by_servers(
                request_class.route_name
            ):
                continue
            for run, runs in state.graph.count_runs_by_route(
                route, state.table
            ).items():
                for service, share in routes[run].compute_shares().items():
                    rates = required.setdefault(service, {})
                    rates[run] = rates.get(run, 0.0) + rate * runs * share
        return required

    def _count_usable(self, members: Iterable[Member]) -> int:
        return sum(
            1 for one in members if one.load.accepting and not one.connect_failures
        )

    def _request_reports(self, members: Iterable[Member], oldest_s: float) -> None:
        """Request load reports from nodes of an overloaded service.

        Nodes report to their callers. A node that refuses all requests for a service
        makes no calls to it, and without new reports would continue to refuse them.
        """
        for member in members:
            if member.is_connected() and member.load.reported_s <= oldest_s:
                member.link.send(FrameKind.PING, ttypes.RelayConfigRequest(0))

    def _compute_report_age(self, loads: list[MemberLoad]) -> int:
        """Return the mean age of load reports in steps."""
        now_s = self.state.clock()
        age_s = sum([now_s - load.reported_s for load in loads]) / len(loads)
        return int(age_s / CONTROL_INTERVAL_S)
