"""State that the components of a node share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.completed import CompletedRuns
from eelgrassmount.relay.routes import Route, RouteTable, Target
from eelgrassmount.relay.server_notices import write_notice
from eelgrassmount.relay.tallies import Tally
from eelgrassmount.relay.vectors import VectorLearner

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.policy.admission_controller import AdmissionController
    from eelgrassmount.relay.admission import CallGraph
    from eelgrassmount.relay.members import MemberTable
    from eelgrassmount.relay.server import LocalServer
    from eelgrassmount.relay.server_notices import ServerNotice

# Objective and timeout of a route that only another node has in its configuration.
UNKNOWN_ROUTE_TIMEOUT_S = 5.0
# A removed route stays known until its runs, which may still make calls, have ended.
REMOVED_ROUTE_RETENTION_S = 30.0


@define(eq=False, repr=False)
class SharedState:
    """State that the components of a node share.

    ``document`` is the current configuration as received, which other nodes may
    request; ``table_since_s`` is the time of its arrival, and ``table_source`` is
    ``log`` or the name of the node that it came from. ``new_requests`` counts the
    requests of the current interval by route, and ``request_counts`` is their decaying
    sum. ``admission_controllers`` are kept by service, ``cluster_counts`` is the tally
    that covers the most nodes, and ``client_routes`` are the routes that clients use.
    ``unreachable`` holds the services to none of whose servers this node can send a
    call. A ``stopping`` node accepts no new clients, a ``closing`` one no calls of
    other nodes, and a ``drained`` one has closed the connections of clients without an
    open request. It exits at ``exit_s``.
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
    table_since_s: float = 0.0
    table_source: str = ""
    document: bytes = b""
    learner: VectorLearner = field(init=False)
    completed: CompletedRuns = field(factory=CompletedRuns)
    started_s: float = field(init=False)
    new_requests: dict[str, int] = field(factory=dict)
    admission_controllers: dict[str, AdmissionController] = field(factory=dict)
    request_counts: dict[str, float] = field(factory=dict)
    local_vectors: dict[str, dict[str, float]] = field(factory=dict)
    cluster_counts: Tally = field(factory=Tally)
    client_routes: set[str] = field(factory=set)
    unreachable: set[str] = field(factory=set)
    stopping: bool = False
    closing: bool = False
    drained: bool = False
    exit_s: float = math.inf
    _last_configured_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Record the start time and create the learner."""
        self.started_s = self.clock()
        self.learner = VectorLearner(self.clock)

    def find_time_allowance(self, route: Route) -> float:
        """Return the time allowance in seconds of a call of a route."""
        return self.graph.find_time_allowance(route, self.table)

    def find_call_timeout(self, route_name: str) -> float:
        """Return the shortest timeout in seconds among the routes that a run calls."""
        return self.graph.find_call_timeout(route_name, self.table)

    def identifies_clients(self) -> bool:
        """Return whether team keys distinguish requests of clients from calls."""
        return self.table.teams.is_required

    def record_call(self, route_name: str) -> None:
        """Record that a request was sent from this VM."""
        self.new_requests[route_name] = self.new_requests.get(route_name, 0) + 1
        if not self.identifies_clients():
            self.learner.record_call(route_name)

    def record_client_request(self, route_name: str) -> None:
        """Record a request of a client on this VM, identified by its team key.

        The learner ignores the request, as no run has made it, and its route counts as
        used by clients at once.
        """
        self.new_requests[route_name] = self.new_requests.get(route_name, 0) + 1
        self.client_routes.add(route_name)

    def get_admitted_fraction(self, service: str) -> float:
        """Return the admitted fraction of a service, from 0 to 1."""
        if service in self.unreachable:
            return 0.0
        controller = self.admission_controllers.get(service)
        return 1.0 if controller is None else controller.admitted_fraction

    def record_configured_routes(self) -> None:
        """Record when the configured routes were last seen; called once a second."""
        now_s = self.clock()
        self._last_configured_s.update(dict.fromkeys(self.table.routes, now_s))
        oldest_s = now_s - REMOVED_ROUTE_RETENTION_S
        self._last_configured_s = {
            name: configured_s
            for name, configured_s in self._last_configured_s.items()
            if configured_s > oldest_s
        }

    def knows_route(self, name: str) -> bool:
        """Return whether a route is in the configuration, or was until recently.

        Without a configuration, every route counts as known.
        """
        table = self.table
        return (
            not table.version or name in table.routes or name in self._last_configured_s
        )

    def find_route(self, name: str, idempotent: bool) -> Route:
        """Return a route by name, with defaults if only another node has it."""
        route = self.table.routes.get(name)
        if route is not None:
            return route
        return Route(
            name,
            "",
            "/",
            idempotent,
            (Target(self.server.service, 1.0),),
            UNKNOWN_ROUTE_TIMEOUT_S,
            UNKNOWN_ROUTE_TIMEOUT_S,
            1,
            0,
        )

    def make_hello(self, notice: ServerNotice | None = None) -> ttypes.RelayHello:
        """Return the message that introduces this node on a new link.

        ``notice`` is what this node knows about the server of the other one.
        """
        return ttypes.RelayHello(
            self.name,
            self.incarnation,
            self.server.service,
            self.table.version,
            self.address,
            self.failure_domain,
            write_notice(notice),
        )
