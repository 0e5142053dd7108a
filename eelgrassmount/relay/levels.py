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
from eelgrassmount.relay.measures import DispatcherLoad
from eelgrassmount.relay.members import MAX_REPORT_AGE_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from eelgrassmount.relay.members import Member, MemberLoad
    from eelgrassmount.relay.shared_state import SharedState


def tell_level_change(
    service: str, before: float, level: float, load: DispatcherLoad
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
class ServiceLevels:
    """Keeps the level of each service, and notes which ones can't be reached."""

    beliefs: SharedState

    def update(self) -> None:
        """Work out the levels of all services anew, once each `STEP_S`."""
        asked = self._list_asked()
        for service, found in self.beliefs.members.by_service.items():
            self._update_service(service, found.values(), asked.get(service, {}))

    def _update_service(
        self, service: str, members: Collection[Member], asked: dict[str, float]
    ) -> None:
        beliefs = self.beliefs
        oldest_s = beliefs.clock() - MAX_REPORT_AGE_S
        control = beliefs.admission_controllers.setdefault(service, LevelControl())
        before = control.level
        load = DispatcherLoad()
        fresh = self._list_fresh(members, oldest_s)
        if fresh:
            load = measure_load(fresh)
            foreseen = foresee_demand(asked, fresh, self._count_usable(members))
            age = self._measure_age(fresh)
            control.update(load.demand, load.wait, age, foreseen)
        else:
            control.relax()
        tell_level_change(service, before, control.level, load)
        self._note_reach(service, members)
        if beliefs.get_admitted_fraction(service) < 1.0:
            self._ask_for_reports(members, oldest_s)

    def _list_fresh(
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

    def _note_reach(self, service: str, members: Collection[Member]) -> None:
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
            not member.connect_failures and member.is_accepting(now_s)
            for member in members
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

    def _list_asked(self) -> dict[str, dict[str, float]]:
        """Return the runs a second that offered requests ask of each service, by route.

        There is none before other nodes are heard of.
        """
        beliefs = self.beliefs
        asked: dict[str, dict[str, float]] = {}
        if beliefs.cluster_counts.nodes < 2 or not beliefs.graph.is_mature():
            return asked
        routes = beliefs.table.routes
        for demand, rate in beliefs.cluster_counts.offered.items():
            route = routes.get(demand.route_name)
            if route is None or beliefs.graph.is_called(demand.route_name):
                continue
            for run, times in beliefs.graph.list_runs(route, beliefs.table).items():
                for service, part in routes[run].divide().items():
                    runs = asked.setdefault(service, {})
                    runs[run] = runs.get(run, 0.0) + rate * times * part
        return asked

    def _count_usable(self, members: Iterable[Member]) -> int:
        return sum(
            1 for one in members if one.load.accepting and not one.connect_failures
        )

    def _ask_for_reports(self, members: Iterable[Member], oldest_s: float) -> None:
        """Ask the nodes of a short service that no longer report to this one.

        A node that refuses all that leads there sends it no calls, gets no reports
        in turn, and would refuse for good.
        """
        for member in members:
            if member.is_connected() and member.load.reported_s <= oldest_s:
                member.link.send(FrameKind.PING, ttypes.RelayConfigRequest(0))

    def _measure_age(self, loads: list[MemberLoad]) -> int:
        """Return the mean age of reports in steps."""
        now_s = self.beliefs.clock()
        age_s = sum(now_s - load.reported_s for load in loads) / len(loads)
        return int(age_s / STEP_S)
