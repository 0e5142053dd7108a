"""What a node believes, shared by its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.completed import CompletedRuns
from eelgrassmount.relay.routes import Route, RouteTable, Target
from eelgrassmount.relay.tallies import Tally
from eelgrassmount.relay.vectors import VectorLearner

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.policy.levels import LevelControl
    from eelgrassmount.relay.admission import CallGraph
    from eelgrassmount.relay.members import MemberTable
    from eelgrassmount.relay.server import LocalServer

# objective and time-out of a route that another node knows and this one doesn't
UNKNOWN_ROUTE_TIMEOUT_S = 5.0
# a route that has left the configuration is still known for so long: the time of the
# longest request, whose run may make calls to its end
KEEP_LEFT_S = 30.0


@define(eq=False)
class SharedState:
    """The state that the parts of a node share.

    ``document`` is the configuration in force as it was read, which other nodes
    may ask for; ``table_since_s`` is when it came. ``levels`` holds the mean level of
    each service, ``cluster_counts`` the counts of as many nodes as are heard of, and
    ``client_routes`` the routes that clients were seen to use. ``unreachable`` are the
    services none of whose servers can be sent a call from here. A node that is
    ``stopping`` gets no new clients, one that is ``closing`` no calls of other nodes.
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
    document: bytes = b""
    learner: VectorLearner = field(init=False)
    completed: CompletedRuns = field(factory=CompletedRuns)
    started_s: float = field(init=False)
    new_requests: dict[str, int] = field(factory=dict)
    admission_controllers: dict[str, LevelControl] = field(factory=dict)
    request_counts: dict[str, float] = field(factory=dict)
    local_vectors: dict[str, dict[str, float]] = field(factory=dict)
    cluster_counts: Tally = field(factory=Tally)
    client_routes: set[str] = field(factory=set)
    unreachable: set[str] = field(factory=set)
    stopping: bool = False
    closing: bool = False
    _seen_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Begin to learn."""
        self.started_s = self.clock()
        self.learner = VectorLearner(self.clock)

    def find_allowance(self, route: Route) -> float:
        """Return the seconds that a call of a route may take."""
        return self.graph.find_allowance(route, self.table)

    def find_call_limit(self, route_name: str) -> float:
        """Return the longest that the calls of a run of a route may take."""
        return self.graph.find_call_limit(route_name, self.table)

    def identifies_clients(self) -> bool:
        """Tell whether keys tell requests of clients from calls of servers."""
        return self.table.teams.is_required

    def record_call(self, route_name: str) -> None:
        """Note that a request was sent from this VM."""
        self.new_requests[route_name] = self.new_requests.get(route_name, 0) + 1
        if not self.identifies_clients():
            self.learner.record_call(route_name)

    def record_client_request(self, route_name: str) -> None:
        """Note that a client has sent a request from this VM, by the key of its team.

        It is no call of a run, and its route is one of clients from the first on.
        """
        self.new_requests[route_name] = self.new_requests.get(route_name, 0) + 1
        self.client_routes.add(route_name)

    def get_admitted_fraction(self, service: str) -> float:
        """Return the part of the ranks that a service admits, from 0 to 1."""
        if service in self.unreachable:
            return 0.0
        control = self.admission_controllers.get(service)
        return 1.0 if control is None else control.level

    def record_configured_routes(self) -> None:
        """Note which routes there are now; it is done about once a second."""
        now_s = self.clock()
        self._seen_s.update(dict.fromkeys(self.table.routes, now_s))
        oldest_s = now_s - KEEP_LEFT_S
        self._seen_s = {
            name: seen_s for name, seen_s in self._seen_s.items() if seen_s > oldest_s
        }

    def knows_route(self, name: str) -> bool:
        """Tell whether a route is in the configuration, or was lately.

        Without a configuration, none is known to have left.
        """
        table = self.table
        return not table.version or name in table.routes or name in self._seen_s

    def find_route(self, name: str, idempotent: bool) -> Route:
        """Return a route by name, also one that only another node knows yet."""
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
