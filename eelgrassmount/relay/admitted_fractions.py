"""The levels of all services, from reports of load and what clients offer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.forecast import foresee_demand
from eelgrassmount.policy.levels import STEP_S, LevelControl
from eelgrassmount.policy.loads import measure_load
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.measures import GateLoad
from eelgrassmount.relay.members import REPORT_LIMIT_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from eelgrassmount.relay.beliefs import Beliefs
    from eelgrassmount.relay.members import Member, MemberLoad


def log_overload_change(
    service: str, before: float, level: float, load: GateLoad
) -> None:
    """Write a line when a service becomes short, and when it no longer is."""
    if (level < 1.0) == (before < 1.0):
        return
    logger.info(
        "overload begins" if level < 1.0 else "overload ended",
        service=service,
        demand=round(load.demand, 2),
        wait=round(load.wait, 2),
    )


@define(eq=False)
class AdmittedFractions:
    """Keeps the level of each service, and notes which ones can't be reached."""

    beliefs: Beliefs

    def update(self) -> None:
        """Work out the levels of all services anew, once each `STEP_S`."""
        required = self._estimate_required_runs()
        for service, found in self.beliefs.members.by_service.items():
            self._update_service(service, found.values(), required.get(service, {}))

    def _update_service(
        self, service: str, members: Collection[Member], required: dict[str, float]
    ) -> None:
        beliefs = self.beliefs
        oldest_s = beliefs.clock() - REPORT_LIMIT_S
        control = beliefs.levels.setdefault(service, LevelControl())
        before = control.level
        load = GateLoad()
        recent = self._list_recent_loads(members, oldest_s)
        if recent:
            load = measure_load(recent)
            forecast = foresee_demand(required, recent, self._count_usable(members))
            age = self._compute_report_age(recent)
            control.update(load.demand, load.wait, age, forecast)
        else:
            control.relax()
        log_overload_change(service, before, control.level, load)
        self._update_reachability(service, members)
        if beliefs.find_level(service) < 1.0:
            self._ask_for_reports(members, oldest_s)

    def _list_recent_loads(
        self, members: Iterable[Member], oldest_s: float
    ) -> list[MemberLoad]:
        """Return the loads that were reported lately, of servers that take work."""
        return [
            one.load
            for one in members
            if one.load.reported_s > oldest_s
            and one.load.limit
            # what leaves has slots that nobody may use
            and one.load.accepting
        ]

    def _update_reachability(self, service: str, members: Collection[Member]) -> None:
        """Note whether any server of a service can be sent a call from here.

        What leads to one that can't is refused while it has not run, also where the
        last server of the deepest service is in a failure domain that is cut off.
        """
        beliefs = self.beliefs
        now_s = beliefs.clock()
        if not beliefs.table.version:
            # a node that has just started knows few others, and refuses all
            return
        # one that is silent may only stand still
        reached = any(
            not member.failures and member.is_accepting(now_s) for member in members
        )
        if reached == (service not in beliefs.unreachable):
            return
        if reached:
            beliefs.unreachable.discard(service)
        else:
            beliefs.unreachable.add(service)
        logger.warning(
            "service reached again" if reached else "service unreachable",
            service=service,
            servers=len(members),
        )

    def _estimate_required_runs(self) -> dict[str, dict[str, float]]:
        """Return the runs a second that offered requests ask of each service, by route.

        There is none before other nodes are heard of.
        """
        beliefs = self.beliefs
        required: dict[str, dict[str, float]] = {}
        if beliefs.outlook.nodes < 2 or not beliefs.graph.has_learned_calls():
            return required
        routes = beliefs.table.routes
        for demand, rate in beliefs.outlook.offered.items():
            route = routes.get(demand.route_name)
            if route is None or beliefs.graph.is_called_by_servers(demand.route_name):
                continue
            for run, times in beliefs.graph.count_runs_by_route(
                route, beliefs.table
            ).items():
                for service, part in routes[run].divide().items():
                    runs = required.setdefault(service, {})
                    runs[run] = runs.get(run, 0.0) + rate * times * part
        return required

    def _count_usable(self, members: Iterable[Member]) -> int:
        return sum(1 for one in members if one.load.accepting and not one.failures)

    def _ask_for_reports(self, members: Iterable[Member], oldest_s: float) -> None:
        """Ask the nodes of a short service that no longer report to this one.

        A node that refuses all that leads there sends it no calls, gets no reports
        in turn, and would refuse for good.
        """
        for member in members:
            if member.is_connected() and member.load.reported_s <= oldest_s:
                member.link.send(FrameKind.PING, ttypes.RelayConfigRequest(0))

    def _compute_report_age(self, loads: list[MemberLoad]) -> int:
        """Return the mean age of reports in steps."""
        now_s = self.beliefs.clock()
        age_s = sum(now_s - load.reported_s for load in loads) / len(loads)
        return int(age_s / STEP_S)
