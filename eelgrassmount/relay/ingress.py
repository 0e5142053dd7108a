"""Entry point for the requests of clients and of the local backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.returns import OBEYED_SHARE
from eelgrassmount.policy.waiting import RequestTimes, Visit
from eelgrassmount.relay.messages import Call, Origin
from eelgrassmount.relay.routes import RouteTable, TargetChooser
from eelgrassmount.relay.sender import PendingRequest
from eelgrassmount.teams.access import check_api_key
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.entry.path_times import PathTimes
    from eelgrassmount.entry.returning import ReturnTracker
    from eelgrassmount.entry.waiting_room import WaitingRoom
    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.call_attribution import CallAttributor, DownstreamCall
    from eelgrassmount.relay.header_codec import HeaderCodec, RequestHead
    from eelgrassmount.relay.responder import Responder
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.retry.quarantine import Quarantine
    from eelgrassmount.teams.directory import Team
    from eelgrassmount.teams.quota_client import QuotaClient, QuotaVerdict

# Used for requests without a deadline.
DEFAULT_REMAINING_MS = 60_000


@define(eq=False, repr=False)
class Ingress:
    """Receives requests and decides whether to admit them.

    ``record_client_request`` is called for requests that certainly come from a client,
    ``record_request`` for all others. ``is_called_by_servers`` returns whether running
    servers call a route; such calls are not subject to admission control.
    ``is_client_route`` returns whether clients are known to use a route. ``is_current``
    returns whether this node has read the log up to its end, ``will_finish`` whether a
    call will have its answer before the node exits.
    """

    get_local_service: Callable[[], str]
    header_codec: HeaderCodec
    responder: Responder
    admission: Admission
    quarantine: Quarantine
    clock: Callable[[], float]
    rng: random.Random
    is_called_by_servers: Callable[[str], bool]
    is_client_route: Callable[[str], bool]
    record_request: Callable[[str], None]
    record_client_request: Callable[[str], None]
    call_attributor: CallAttributor
    is_current: Callable[[], bool]
    quotas: QuotaClient
    waiting_room: WaitingRoom
    returns: ReturnTracker
    path_times: PathTimes
    will_finish: Callable[[Call], bool] = lambda call: True
    table: RouteTable = field(factory=RouteTable)
    chooser: TargetChooser = field(factory=TargetChooser)

    def handle(self, exchange: Exchange) -> None:
        """Handle a new request."""
        head = self.header_codec.read_request(exchange.headers)
        table = self.table
        if table.version == 0:
            reason = Reason.NO_CONFIGURATION
            self.responder.refuse_uninformed(exchange, head, "", reason)
            return
        path = exchange.target.partition("?")[0]
        route = table.find(head.host, path)
        if route is None:
            self.responder.answer_unknown_route(exchange, head)
            return
        access = check_api_key(
            table.teams, route.needs_key, head.api_key, self.is_current
        )
        team = access.team
        if team is not None and team.has_quota():
            self._request_quota(exchange, head, route, team)
        elif access.refusal is None:
            self._admit(exchange, head, route, team)
        elif access.refusal is Reason.API_KEY_UNJUDGED:
            reason = access.refusal
            self.responder.refuse_uninformed(exchange, head, route.name, reason)
        else:
            self.responder.refuse_unauthorized(
                exchange, head, route.name, access.refusal
            )

    def apply_table(self, table: RouteTable) -> None:
        """Replace the configuration, also for the requests that wait."""
        self.table = table
        if table.features.budgets_calls:
            self.waiting_room.apply_routes(table.routes, self._change_route)
        else:
            self.waiting_room.start_all()

    def _request_quota(
        self, exchange: Exchange, head: RequestHead, route: Route, team: Team
    ) -> None:
        """Admit a request if the quota of its team allows it.

        The quota is checked first: requests beyond it must not count as offered load or
        delay the requests of other teams.
        """

        def decide(verdict: QuotaVerdict) -> None:
            exchange.on_abandon = None
            if verdict.refusal is None:
                self._admit(exchange, head, route, team)
            else:
                self.responder.refuse_quota(exchange, head, route.name, verdict)

        waiting = self.quotas.request(team, decide)
        if not waiting.finished:
            exchange.on_abandon = lambda: self.quotas.cancel(waiting)

    def _admit(
        self, exchange: Exchange, head: RequestHead, route: Route, team: Team | None
    ) -> None:
        """Forward a request unless it is limited by overload or quarantined."""
        if team is None:
            self.record_request(route.name)
        else:
            self.record_client_request(route.name)
        deadline_s = self._find_deadline(exchange, head, route)
        downstream_call = None
        # Downstream calls carry no API key.
        if team is None and self._may_be_downstream_call(route):
            downstream_call = self._find_caller(exchange, head, route)
        origin = self._find_origin(route, team, downstream_call)
        call = self._create_call(exchange, head, route, team, deadline_s, origin)
        quota_team = team if team is not None and team.has_quota() else None
        pending = PendingRequest(exchange, call, downstream_call, quota_team)
        if not self.will_finish(call):
            self.responder.refuse(pending, Reason.DRAINING)
            return
        self._record_visit(pending, head)
        group = "" if team is None else team.name
        if not origin.downstream and not self.admission.try_admit(
            call.request_class, group
        ):
            self.responder.refuse(pending, Reason.OVERLOAD)
            return
        if call.is_quarantined(self.quarantine, call.arrived_s):
            self.responder.refuse(pending, Reason.QUARANTINED)
        elif origin.downstream or not self.table.features.budgets_calls:
            self.responder.start(pending)
        else:
            self.waiting_room.handle(pending, self._find_times(pending))

    def start_waiting(self, pending: PendingRequest) -> None:
        """Start a request that has its tokens, unless it was quarantined meanwhile."""
        self._record_outcome(pending, True)
        if pending.call.is_quarantined(self.quarantine, self.clock()):
            self.responder.refuse(pending, Reason.QUARANTINED)
        else:
            self.responder.start(pending)

    def refuse_waiting(self, pending: PendingRequest, reason: Reason) -> None:
        """Refuse a request that has not got its tokens."""
        self._record_outcome(pending, False)
        self.responder.refuse(pending, reason)

    def _record_outcome(self, pending: PendingRequest, succeeded: bool) -> None:
        if pending.visit is Visit.RETURNING:
            self.returns.record_outcome(pending.call.route.name, succeeded)

    def _record_visit(self, pending: PendingRequest, head: RequestHead) -> None:
        """Record whether the client of a request has tried before."""
        call = pending.call
        if head.remaining_ms is None or call.origin.downstream:
            return
        if not self.table.features.expects_returns:
            return
        remaining_s = head.remaining_ms / 1000
        pending.client_deadline_s = call.arrived_s + remaining_s
        path_s = self.path_times.find(call.route)
        pending.visit, pending.elapsed_s = self.returns.record_request(
            call.route, call.find_content(), path_s, call.arrived_s, remaining_s
        )

    def _find_times(self, pending: PendingRequest) -> RequestTimes:
        call = pending.call
        full_s = pending.client_deadline_s - call.arrived_s + pending.elapsed_s
        return RequestTimes(
            call.arrived_s,
            pending.elapsed_s,
            call.deadline_s,
            call.route.objective_s,
            self.path_times.find(call.route),
            OBEYED_SHARE * full_s,
        )

    def _change_route(self, pending: PendingRequest, route: Route) -> RequestTimes:
        """Change a waiting request to the new version of its route."""
        call = pending.call
        call.route = route
        if call.service not in route.compute_shares():
            call.service = self.chooser.choose(route, self.rng.random())
        call.deadline_s = min(call.deadline_s, call.arrived_s + route.timeout_s)
        return self._find_times(pending)

    def _find_origin(
        self, route: Route, team: Team | None, downstream_call: DownstreamCall | None
    ) -> Origin:
        """Return the client request that a call belongs to, or a new origin."""
        if downstream_call is not None:
            return downstream_call.make_origin()
        remaining_runs = self.call_attributor.count_runs(route.name)
        if team is None and self.is_called_by_servers(route.name):
            # Unattributed downstream calls get the highest priority.
            return Origin(0, downstream=True, remaining_runs=remaining_runs)
        return Origin(self.table.find_rank(route, team), remaining_runs=remaining_runs)

    def _may_be_downstream_call(self, route: Route) -> bool:
        """Return whether a request without a key may be a downstream call."""
        if self.is_called_by_servers(route.name):
            return True
        keyed = self.table.teams.is_required and not route.needs_key
        return keyed and not self.is_client_route(route.name)

    def _find_caller(
        self, exchange: Exchange, head: RequestHead, route: Route
    ) -> DownstreamCall | None:
        """Return the run that made a call, ``None`` if unknown."""
        remaining_ms = head.remaining_ms
        if remaining_ms is None:
            remaining_ms = DEFAULT_REMAINING_MS
        deadline_s = exchange.arrived_s + remaining_ms / 1000
        return self.call_attributor.find_caller(
            exchange.connection, route.name, deadline_s, route.timeout_s
        )

    def _find_deadline(
        self, exchange: Exchange, head: RequestHead, route: Route
    ) -> float:
        remaining_ms = head.remaining_ms
        if remaining_ms is None:
            remaining_ms = DEFAULT_REMAINING_MS
        return exchange.arrived_s + min(remaining_ms / 1000, route.timeout_s)

    def _create_call(
        self,
        exchange: Exchange,
        head: RequestHead,
        route: Route,
        team: Team | None,
        deadline_s: float,
        origin: Origin,
    ) -> Call:
        head_lines = head.forwarded_headers
        if team is not None:
            head_lines += self.header_codec.write_team(team.name)
        return Call(
            head.request_id,
            route,
            self.chooser.choose(route, self.rng.random()),
            self.get_local_service(),
            exchange.method,
            exchange.target,
            head_lines,
            exchange.body,
            exchange.arrived_s,
            deadline_s,
            origin,
        )
