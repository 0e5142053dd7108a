"""What a node does periodically: reports, levels, vectors and links."""

from __future__ import annotations

import math
from heapq import nlargest
from operator import itemgetter
from typing import TYPE_CHECKING

from attrs import define, field, frozen
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.forecast import foresee_demand
from eelgrassmount.policy.levels import STEP_S, LevelControl
from eelgrassmount.policy.loads import measure_load
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.link import PeerLink
from eelgrassmount.relay.measures import GateLoad
from eelgrassmount.relay.members import REPORT_LIMIT_S, Member, MemberLoad
from eelgrassmount.relay.rows import write_rows
from eelgrassmount.relay.tallies import ServiceCounts, Tally, add_tallies
from eelgrassmount.relay.vectors import (
    find_client_routes,
    find_inner_routes,
    merge_vectors,
    pool_vectors,
    update_counts,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from eelgrassmount.relay.beliefs import Beliefs
    from eelgrassmount.relay.gate import Gate
    from eelgrassmount.relay.inbound import Inbound
    from eelgrassmount.relay.link import LinkEvents
    from eelgrassmount.relay.routes import RouteTable

# links kept to the nodes of one service, those of the own failure domain first
MAX_LINKS = 16
# rows of the vectors that one report carries at most
MAX_ROWS = 200
# the rows go along with the reports of every so many steps
ROWS_PERIOD = 5
# reports that one step sends at most on average: with more callers, not every step
# has one. 76 nodes that all reported to 64 at each step would send 1.5 million reports
# in a minute
REPORTS_PER_STEP = 16
# the same while the own server is short: those who send it nothing themselves are told
# as well, since their requests lead to it through others. 76 nodes are told each 0.4 s
REPORTS_PER_STEP_LOADED = 40
# demand and wait, as parts of what is possible and allowed, from which on they are told
LOADED_DEMAND = 0.7
LOADED_WAIT = 0.3
# with so few services, links to all of them are opened before they are needed; with
# more, a node would keep links to thousands of nodes that it never calls
EAGER_SERVICES = 8
# for so long after its start, a node goes by what others have learned or kept, if
# there is any: from the calls of its first second, routes seemed to call nothing
LEARNING_S = 4.0
# shares and times travel as whole numbers
SCALE = 1000
PPM = 1_000_000
MS = 1000.0


def tell_level_change(
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


@frozen
class ChosenLinks:
    """The nodes of a service that links are kept to, while no node has changed."""

    changes: int
    members: list[Member]


@define(eq=False)
class Controllers:
    """What runs periodically: reports, levels, vectors and links.

    ``rates`` holds the requests a second that clients offer to this node, by route.
    """

    beliefs: Beliefs
    gate: Gate
    inbound: Inbound
    events: LinkEvents
    update_shares: Callable[[RouteTable], None]
    rates: dict[str, float] = field(factory=dict)
    _steps: int = 0
    _told_step: int = 0
    _rows_step: int = 0
    _chosen: dict[str, ChosenLinks] = field(factory=dict)

    def watch_links(self) -> None:
        """Find silent links, and open those that are wanted and missing."""
        beliefs = self.beliefs
        now_s = beliefs.clock()
        for member in beliefs.members.by_name.values():
            if member.link is not None:
                member.link.check_silence(now_s)
        for link in beliefs.members.list_retired():
            link.check_silence(now_s)
        for service in self._list_wanted():
            for member in self._choose_links(service):
                if member.name != beliefs.name and now_s >= member.retry_s:
                    self.open_link(member)

    def open_link(self, member: Member) -> None:
        """Open the link to a node unless it is open."""
        if member.link is None:
            member.link = PeerLink(member, self.beliefs.clock, self.events)
        member.link.connect()

    def _list_wanted(self) -> set[str]:
        """Return the services that requests of this VM need, directly or not."""
        beliefs = self.beliefs
        routes = beliefs.table.routes
        if len(beliefs.members.by_service) <= EAGER_SERVICES:
            return {
                target.service for route in routes.values() for target in route.targets
            }
        return {
            service
            for name in beliefs.called_before
            if name in routes
            for service in beliefs.graph.count_calls(routes[name], beliefs.table)
        }

    def _choose_links(self, service: str) -> list[Member]:
        members = self.beliefs.members
        chosen = self._chosen.get(service)
        if chosen is None or chosen.changes != members.changes:
            chosen = ChosenLinks(members.changes, self._rank_links(service))
            self._chosen[service] = chosen
        return chosen.members

    def _rank_links(self, service: str) -> list[Member]:
        found = list(self.beliefs.members.list_service(service))
        if len(found) <= MAX_LINKS:
            return found
        # nodes choose differently, and each stays with its choice
        own = self.beliefs.name
        found.sort(
            key=lambda member: (
                member.failure_domain != self.beliefs.failure_domain,
                hash((own, member.name)),
            )
        )
        return found[:MAX_LINKS]

    def step(self) -> None:
        """Work out the levels of all services and the shares of routes, and report."""
        self.gate.update_load()
        self._note_own_load()
        self._update_levels()
        self.update_shares(self.beliefs.table)
        # a second's worth of it at once would keep the node from answering
        self.beliefs.learner.solve_next()
        self._steps += 1
        if self._steps - self._told_step >= self._find_period():
            self._told_step = self._steps
            with_rows = self._steps - self._rows_step >= ROWS_PERIOD
            if with_rows:
                self._rows_step = self._steps
            report = self.make_report(with_rows)
            only_active = not self._is_loaded()
            self.inbound.tell_all(FrameKind.REPORT, report, only_active=only_active)

    def _find_period(self) -> int:
        """Return the steps between two reports, more with more callers."""
        if self._is_loaded():
            told = len(self.inbound.connections)
            return max(1, math.ceil(told / REPORTS_PER_STEP_LOADED))
        callers = self.inbound.count_active()
        return max(1, math.ceil(callers / REPORTS_PER_STEP))

    def _is_loaded(self) -> bool:
        load = self.gate.measures.load
        return load.demand > LOADED_DEMAND or load.wait > LOADED_WAIT

    def report_now(self) -> None:
        """Tell the other nodes at once, as when the server leaves."""
        self._note_own_load()
        report = self.make_report(False)
        self.inbound.tell_all(FrameKind.REPORT, report, only_active=False)

    def make_report(self, with_rows: bool) -> ttypes.RelayReport:
        """Return what this node tells of its server."""
        beliefs = self.beliefs
        rows = []
        counts = []
        if with_rows:
            busiest = nlargest(
                MAX_ROWS, beliefs.called_before.items(), key=itemgetter(1)
            )
            counts = [ttypes.RouteCount(name, count) for name, count in busiest]
            rows = write_rows(beliefs.own_vectors)
        return ttypes.RelayReport(
            self._accepts(),
            self.gate.in_flight,
            self.gate.queued,
            beliefs.server.compute_limit(),
            round(self.gate.measures.load.demand * SCALE),
            beliefs.table.version,
            [
                ttypes.RouteTime(name, stats.run_s * MS)
                for name, stats in self.gate.measures.routes.items()
            ],
            rows[:MAX_ROWS],
            round(self.gate.measures.failure_share * PPM),
            counts,
            round(self.gate.measures.load.wait * SCALE),
            round(self.gate.measures.lost_share * PPM),
        )

    def _accepts(self) -> bool:
        beliefs = self.beliefs
        refusal = beliefs.server.find_refusal(beliefs.clock())
        return refusal is None and not beliefs.closing

    def _note_own_load(self) -> None:
        own = self.beliefs.members.by_name.get(self.beliefs.name)
        if own is None:
            return
        load = own.load
        load.accepting = self._accepts()
        load.in_flight = self.gate.in_flight
        load.queued = self.gate.queued
        load.limit = self.beliefs.server.compute_limit()
        load.demand = self.gate.measures.load.demand
        load.wait = self.gate.measures.load.wait
        load.failure_share = self.gate.measures.failure_share
        load.lost_share = self.gate.measures.lost_share
        routes = self.gate.measures.routes
        load.run_s = {name: one.run_s for name, one in routes.items()}
        load.reported_s = self.beliefs.clock()
        own.sent_since = 0

    def _update_levels(self) -> None:
        beliefs = self.beliefs
        asked = self._list_asked()
        oldest_s = beliefs.clock() - REPORT_LIMIT_S
        for service, found in beliefs.members.by_service.items():
            fresh = [
                one.load
                for one in found.values()
                if one.load.reported_s > oldest_s
                and one.load.limit
                # what leaves has slots that nobody may use
                and one.load.accepting
            ]
            control = beliefs.levels.setdefault(service, LevelControl())
            before = control.level
            load = GateLoad()
            if fresh:
                load = measure_load(fresh)
                foreseen = foresee_demand(
                    asked.get(service, {}), fresh, self._count_usable(found.values())
                )
                age = self._measure_age(fresh)
                control.update(load.demand, load.wait, age, foreseen)
            else:
                control.relax()
            tell_level_change(service, before, control.level, load)
            self._note_reach(service, found.values())
            if beliefs.find_level(service) < 1.0:
                self._ask_for_reports(found.values(), oldest_s)

    def _note_reach(self, service: str, members: Collection[Member]) -> None:
        """Note whether any server of a service can be sent a call from here.

        What leads to one that can't is refused while it has not run: with the last
        server of the deepest service in a failure domain that was cut off, four in ten
        requests of the others were begun for six seconds, and lost.
        """
        beliefs = self.beliefs
        now_s = beliefs.clock()
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

    def _list_asked(self) -> dict[str, dict[str, float]]:
        """Return the runs a second that offered requests ask of each service, by route.

        There is none before other nodes are heard of.
        """
        beliefs = self.beliefs
        asked: dict[str, dict[str, float]] = {}
        if beliefs.outlook.nodes < 2 or not beliefs.graph.is_mature():
            return asked
        routes = beliefs.table.routes
        for name, rate in beliefs.outlook.offered.items():
            route = routes.get(name)
            if route is None or beliefs.graph.is_called(name):
                continue
            for run, times in beliefs.graph.list_runs(route, beliefs.table).items():
                for service, part in routes[run].divide().items():
                    runs = asked.setdefault(service, {})
                    runs[run] = runs.get(run, 0.0) + rate * times * part
        return asked

    def _count_usable(self, members: Iterable[Member]) -> int:
        return sum(1 for one in members if one.load.accepting and not one.failures)

    def _ask_for_reports(self, members: Iterable[Member], oldest_s: float) -> None:
        """Ask the nodes of a short service that no longer report to this one.

        A node that refuses all that leads there sends it no calls, gets no reports
        in turn, and would refuse for good: one did for 15 s after the shortage.
        """
        for member in members:
            if member.is_connected() and member.load.reported_s <= oldest_s:
                member.link.send(FrameKind.PING, ttypes.RelayConfigRequest(0))

    def _measure_age(self, loads: list[MemberLoad]) -> int:
        """Return the mean age of reports in steps."""
        now_s = self.beliefs.clock()
        age_s = sum(now_s - load.reported_s for load in loads) / len(loads)
        return int(age_s / STEP_S)

    def count_calls(self) -> None:
        """Take up how often each route was asked for in the latest interval."""
        beliefs = self.beliefs
        update_counts(beliefs.called_before, beliefs.called, beliefs.table.routes)
        beliefs.called = {}

    def _list_asked_by_service(self) -> dict[str, ServiceCounts]:
        """Return how often routes were asked for, by the counts of most nodes."""
        beliefs = self.beliefs
        heard = [
            Tally(1, asked={service: ServiceCounts(1, one.load.called)})
            for service, found in beliefs.members.by_service.items()
            for one in found.values()
            if one.load.called
        ]
        direct = add_tallies([self._count_asked(), *heard])
        known = max(direct, beliefs.outlook, key=lambda tally: tally.nodes)
        return known.asked

    def _count_asked(self) -> Tally:
        beliefs = self.beliefs
        counts = ServiceCounts(1, beliefs.called_before)
        return Tally(1, asked={beliefs.server.service: counts})

    def make_tally(self) -> Tally:
        """Return what this node counts, for those that add it up."""
        beliefs = self.beliefs
        tally = add_tallies([self._count_asked()])
        tally.offered = dict(self.rates)
        if not self._is_young():
            tally.runs = beliefs.learner.list_runs()
            tally.calls = beliefs.learner.list_calls()
        return tally

    def _is_young(self) -> bool:
        """Tell whether the own runs show less than what others know."""
        beliefs = self.beliefs
        young = beliefs.clock() - beliefs.started_s < LEARNING_S
        return young and bool(beliefs.graph.vectors)

    def apply_vectors(self) -> None:
        """Work out the own vectors anew and put them into the graph."""
        beliefs = self.beliefs
        asked = self._list_asked_by_service()
        beliefs.client_routes |= find_client_routes(asked)
        beliefs.client_routes &= beliefs.table.routes.keys()
        vectors = beliefs.learner.solve(find_inner_routes(asked))
        beliefs.own_vectors = {} if self._is_young() else vectors
        learned = [beliefs.own_vectors]
        learned += [one.load.vectors for one in beliefs.members.by_name.values()]
        outlook = beliefs.outlook
        merged = pool_vectors(outlook.runs, outlook.calls)
        merged.update(merge_vectors(learned))
        for name, calls in merged.items():
            if name in beliefs.table.routes and (
                calls or name in beliefs.graph.vectors
            ):
                beliefs.graph.put(name, calls)
