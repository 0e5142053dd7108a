"""What a node believes, and what it does with news from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.admission import LevelControl
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.link import PeerLink
from eelgrassmount.relay.members import REPORT_LIMIT_S, Member
from eelgrassmount.relay.routes import Route, RouteTable, Target
from eelgrassmount.relay.vectors import (
    VectorLearner,
    find_inner_routes,
    update_counts,
)
from eelgrassmount.retry.quarantine import QUARANTINE_S, Suspect

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.relay.admission import CallGraph
    from eelgrassmount.relay.gate import Gate, Job
    from eelgrassmount.relay.inbound import Inbound
    from eelgrassmount.relay.link import LinkEvents
    from eelgrassmount.relay.members import MemberTable
    from eelgrassmount.relay.server import LocalServer
    from eelgrassmount.retry.quarantine import Quarantine

# links kept to the nodes of one service, those of the own failure domain first
MAX_LINKS = 16
SCALE = 1000
PPM = 1_000_000
MS = 1000.0
# rows of the vectors that one report carries at most
MAX_ROWS = 200
# the rows go along with every so many reports
ROWS_PERIOD = 2
# objective and time-out of a route that another node knows and this one doesn't
UNKNOWN_ROUTE_S = 5.0


@define(eq=False)
class Beliefs:
    """The state that the parts of a node share.

    ``document`` is the configuration in force as it was read, which other nodes
    may ask for. ``levels`` holds the mean level of each service.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str
    server: LocalServer
    members: MemberTable
    graph: CallGraph
    clock: Callable[[], float]
    rng: random.Random
    table: RouteTable = field(factory=RouteTable)
    document: bytes = b""
    learner: VectorLearner = field(init=False)
    called: dict[str, int] = field(factory=dict)
    levels: dict[str, LevelControl] = field(factory=dict)
    called_before: dict[str, float] = field(factory=dict)
    own_vectors: dict[str, dict[str, float]] = field(factory=dict)
    stopping: bool = False
    _unknown_routes: dict[str, Route] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Begin to learn."""
        self.learner = VectorLearner(self.clock)

    def note_call(self, route_name: str) -> None:
        """Note that a request was sent from this VM."""
        self.called[route_name] = self.called.get(route_name, 0) + 1
        self.learner.note_call(route_name)

    def find_level(self, service: str) -> float:
        """Return the part of the ranks that a service admits, from 0 to 1."""
        control = self.levels.get(service)
        return 1.0 if control is None else control.level

    def find_route(self, name: str, idempotent: bool) -> Route:
        """Return a route by name, also one that only another node knows yet."""
        route = self.table.routes.get(name)
        if route is not None:
            return route
        route = self._unknown_routes.get(name)
        if route is None:
            route = Route(
                name,
                "",
                "/",
                idempotent,
                (Target(self.server.service, 1.0),),
                UNKNOWN_ROUTE_S,
                UNKNOWN_ROUTE_S,
                1,
                0,
            )
            self._unknown_routes[name] = route
        return route

    def make_hello(self) -> ttypes.RelayHello:
        """Return what a node says of itself at the start of a link."""
        return ttypes.RelayHello(
            self.name,
            self.incarnation,
            self.server.service,
            self.table.version,
            self.address,
            self.failure_domain,
        )


@define(eq=False)
class Controllers:
    """What runs periodically: reports, levels, vectors and links."""

    beliefs: Beliefs
    gate: Gate
    inbound: Inbound
    events: LinkEvents
    update_shares: Callable[[RouteTable], None]
    _reports: int = 0

    def watch_links(self) -> None:
        """Find silent links, and open those that are wanted and missing."""
        beliefs = self.beliefs
        now_s = beliefs.clock()
        for member in beliefs.members.by_name.values():
            if member.link is not None:
                member.link.check_silence(now_s)
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
        """Return the services that requests of this VM may need."""
        table = self.beliefs.table
        return {
            target.service
            for route in table.routes.values()
            for target in route.targets
        }

    def _choose_links(self, service: str) -> list[Member]:
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
        self._reports += 1
        with_rows = self._reports % ROWS_PERIOD == 0
        self.inbound.tell_all(FrameKind.REPORT, self.make_report(with_rows))

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
            counts = [
                ttypes.RouteCount(name, count)
                for name, count in beliefs.called_before.items()
            ][:MAX_ROWS]
            rows = [
                ttypes.RouteCalls(run_route, called, count)
                for run_route, calls in beliefs.graph.vectors.items()
                for called, count in calls.items()
            ]
        return ttypes.RelayReport(
            self._accepts(),
            self.gate.in_flight,
            self.gate.queued,
            beliefs.server.compute_limit(),
            round(self.gate.load.demand * SCALE),
            beliefs.table.version,
            [
                ttypes.RouteTime(name, stats.run_s * MS)
                for name, stats in self.gate.routes.items()
            ],
            rows[:MAX_ROWS],
            round(self.gate.failure_share * PPM),
            counts,
            round(self.gate.load.wait * SCALE),
        )

    def _accepts(self) -> bool:
        beliefs = self.beliefs
        refusal = beliefs.server.find_refusal(beliefs.clock())
        return refusal is None and not beliefs.stopping

    def _note_own_load(self) -> None:
        own = self.beliefs.members.by_name.get(self.beliefs.name)
        if own is None:
            return
        load = own.load
        load.accepting = self._accepts()
        load.in_flight = self.gate.in_flight
        load.queued = self.gate.queued
        load.limit = self.beliefs.server.compute_limit()
        load.demand = self.gate.load.demand
        load.wait = self.gate.load.wait
        load.failure_share = self.gate.failure_share
        load.run_s = {name: one.run_s for name, one in self.gate.routes.items()}
        load.reported_s = self.beliefs.clock()
        own.sent_since = 0

    def _update_levels(self) -> None:
        beliefs = self.beliefs
        oldest_s = beliefs.clock() - REPORT_LIMIT_S
        for service, found in beliefs.members.by_service.items():
            fresh = [
                one.load
                for one in found.values()
                if one.load.reported_s > oldest_s and one.load.limit
            ]
            total = sum(load.limit for load in fresh)
            if total:
                demand = sum(load.demand * load.limit for load in fresh) / total
                wait = sum(load.wait * load.limit for load in fresh) / total
                self._update_level(service, demand, wait)

    def _update_level(self, service: str, demand: float, wait: float) -> None:
        control = self.beliefs.levels.setdefault(service, LevelControl())
        before = control.level
        level = control.update(demand, wait)
        if (level < 1.0) != (before < 1.0):
            logger.info(
                "overload begins" if level < 1.0 else "overload ended",
                service=service,
                demand=round(demand, 2),
                wait=round(wait, 2),
            )

    def count_calls(self) -> None:
        """Take up how often each route was asked for in the latest interval."""
        beliefs = self.beliefs
        update_counts(beliefs.called_before, beliefs.called)
        beliefs.called = {}

    def _find_inner(self) -> set[str]:
        beliefs = self.beliefs
        counts = {
            service: [one.load.called for one in found.values() if one.load.called]
            for service, found in beliefs.members.by_service.items()
        }
        counts.setdefault(beliefs.server.service, []).append(beliefs.called_before)
        return find_inner_routes({name: one for name, one in counts.items() if one})

    def apply_vectors(self) -> None:
        """Work out the own vectors anew and put them into the graph."""
        beliefs = self.beliefs
        beliefs.own_vectors = beliefs.learner.solve(self._find_inner())
        for name, calls in beliefs.own_vectors.items():
            if name in beliefs.table.routes and (
                calls or name in beliefs.graph.vectors
            ):
                beliefs.graph.put(name, calls)


@define(eq=False)
class News:
    """What a node takes up from other nodes."""

    beliefs: Beliefs
    quarantine: Quarantine
    apply_document: Callable[[bytes], None]
    tell_all: Callable[[FrameKind, object], None]

    def note_hello(self, member: Member, hello: ttypes.RelayHello) -> None:
        """Take up who is at the other end of a link."""
        if hello.node_name != member.name or hello.service_name != member.service:
            logger.info(
                "another node at the address",
                peer=member.name,
                found=hello.node_name,
                service=hello.service_name,
            )
            address = member.address
            domain = member.failure_domain
            self.beliefs.members.remove(member.name)
            if hello.node_name != self.beliefs.name:
                self.beliefs.members.put(
                    hello.node_name, address, domain, hello.service_name
                )
            return
        self._note_version(member, hello.config_version)

    def note_caller(self, hello: ttypes.RelayHello) -> bool:
        """Take up a node that has opened a link; tell whether it knows more.

        A node that starts while the log is away learns of the others in this way.
        """
        beliefs = self.beliefs
        if hello.address and hello.node_name != beliefs.name:
            beliefs.members.put(
                hello.node_name,
                hello.address,
                hello.failure_domain,
                hello.service_name,
            )
        return (hello.config_version or 0) > beliefs.table.version

    def note_report(self, member: Member, report: ttypes.RelayReport) -> None:
        """Take up the load of another node's server."""
        load = member.load
        load.accepting = report.accepting
        load.in_flight = report.in_flight
        load.queued = report.queued
        load.limit = report.limit
        load.demand = report.demand / SCALE
        load.wait = report.wait / SCALE
        load.failure_share = report.failures_ppm / PPM
        load.run_s = {time.route_name: time.run_ms / MS for time in report.times}
        load.reported_s = self.beliefs.clock()
        if report.counts:
            load.called = {one.route_name: one.count for one in report.counts}
        member.sent_since = 0
        self._take_rows(report.calls)
        self._note_version(member, report.config_version)

    def _take_rows(self, rows: list[ttypes.RouteCalls]) -> None:
        vectors: dict[str, dict[str, float]] = {}
        for row in rows:
            vectors.setdefault(row.run_route, {})[row.called_route] = row.calls_per_run
        own = self.beliefs.own_vectors
        for name, calls in vectors.items():
            if name not in own and name in self.beliefs.table.routes:
                self.beliefs.graph.put(name, calls)

    def _note_version(self, member: Member, version: int) -> None:
        known = self.beliefs.table.version
        if version > known and member.link is not None:
            request = ttypes.RelayConfigRequest(known)
            member.link.send(FrameKind.CONFIG_REQUEST, request)

    def note_config(self, config: ttypes.RelayConfig) -> None:
        """Take up a configuration that another node has sooner."""
        if config.version > self.beliefs.table.version:
            self.apply_document(config.document)

    def find_config(self, known_version: int) -> ttypes.RelayConfig | None:
        """Return the configuration for a node that has an older one."""
        beliefs = self.beliefs
        if beliefs.table.version <= known_version:
            return None
        return ttypes.RelayConfig(beliefs.table.version, beliefs.document)

    def note_crash(self, jobs: list[Job]) -> None:
        """Suspect what ran when the server crashed, and tell the other nodes."""
        beliefs = self.beliefs
        crash_id = f"{beliefs.name}/{beliefs.server.incarnation}"
        digests = [job.call.find_digest() for job in jobs]
        logger.warning(
            "server crashed",
            incarnation=beliefs.server.incarnation,
            running=len(jobs),
            requests=[job.call.request_id for job in jobs[:4]],
        )
        suspects = ttypes.RelaySuspects(crash_id, digests)
        self.note_suspects(suspects)
        self.tell_all(FrameKind.SUSPECTS, suspects)

    def note_suspects(self, suspects: ttypes.RelaySuspects) -> None:
        """Count a crash against the contents that ran when it came."""
        now_s = self.beliefs.clock()
        calls = frozenset([suspects.crash_id])
        self.quarantine.merge(
            [
                Suspect(digest, calls, now_s + QUARANTINE_S)
                for digest in suspects.digests
            ],
            now_s,
        )
