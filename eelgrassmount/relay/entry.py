"""Requests of the clients and of the server on this VM, as they arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.messages import Call, Origin
from eelgrassmount.relay.routes import RouteTable, TargetChooser
from eelgrassmount.relay.sender import Flow
from eelgrassmount.teams.access import judge_key
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.answers import Answering
    from eelgrassmount.relay.header_codec import HeaderCodec, RequestHead
    from eelgrassmount.relay.lineage import Lineage, MadeCall
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.retry.quarantine import Quarantine
    from eelgrassmount.teams.directory import Team
    from eelgrassmount.teams.taker import QuotaTaker, QuotaVerdict

# without a deadline of the client, a request is kept this long at most
DEFAULT_REMAINING_MS = 60_000


@define(eq=False)
class Entry:
    """Takes requests and decides whether each of them may begin.

    ``note_called`` hears of each route that is asked for on this VM, and
    ``note_client`` instead where a client must have done so; ``is_inner``
    tells whether running servers call a route, whose calls are not refused here.
    ``is_of_clients`` tells whether clients are seen to use a route.
    ``is_current`` tells whether this node knows what stands on the log now.
    """

    own_service: Callable[[], str]
    dialect: HeaderCodec
    answers: Answering
    admission: Admission
    quarantine: Quarantine
    clock: Callable[[], float]
    rng: random.Random
    is_inner: Callable[[str], bool]
    is_of_clients: Callable[[str], bool]
    note_called: Callable[[str], None]
    note_client: Callable[[str], None]
    lineage: Lineage
    is_current: Callable[[], bool]
    quotas: QuotaTaker
    table: RouteTable = field(factory=RouteTable)
    chooser: TargetChooser = field(factory=TargetChooser)

    def handle(self, exchange: Exchange) -> None:
        """Take a request."""
        head = self.dialect.read_request(exchange.headers)
        table = self.table
        if table.version == 0:
            reason = Reason.NO_CONFIGURATION
            self.answers.refuse_uninformed(exchange, head, "", reason)
            return
        path = exchange.target.partition("?")[0]
        route = table.find(head.host, path)
        if route is None:
            self.answers.answer_unknown(exchange, head)
            return
        access = judge_key(table.teams, route.needs_key, head.api_key, self.is_current)
        team = access.team
        if team is not None and team.has_quota():
            self._take_quota(exchange, head, route, team)
        elif access.refusal is None:
            self._admit(exchange, head, route, team)
        elif access.refusal is Reason.API_KEY_UNJUDGED:
            reason = access.refusal
            self.answers.refuse_uninformed(exchange, head, route.name, reason)
        else:
            self.answers.refuse_access(exchange, head, route.name, access.refusal)

    def _take_quota(
        self, exchange: Exchange, head: RequestHead, route: Route, team: Team
    ) -> None:
        """Begin a request if its team's quota allows it.

        It is asked before all else: what a team may not use must not count as offered,
        nor keep anything of others waiting.
        """

        def decide(verdict: QuotaVerdict) -> None:
            exchange.on_abandon = None
            if verdict.refusal is None:
                self._admit(exchange, head, route, team)
            else:
                self.answers.refuse_quota(exchange, head, route.name, verdict)

        waiting = self.quotas.take(team, decide)
        if not waiting.ended:
            exchange.on_abandon = lambda: self.quotas.cancel(waiting)

    def _admit(
        self, exchange: Exchange, head: RequestHead, route: Route, team: Team | None
    ) -> None:
        """Begin a request unless what it leads to is short of room."""
        if team is None:
            self.note_called(route.name)
        else:
            self.note_client(route.name)
        deadline_s = self._find_deadline(exchange, head, route)
        made = None
        # calls of servers have no key
        if team is None and self._may_be_call(route):
            made = self._find_caller(exchange, head, route)
        origin = self._find_origin(route, team, made)
        call = self._make_call(exchange, head, route, team, deadline_s, origin)
        counted = team if team is not None and team.has_quota() else None
        flow = Flow(exchange, call, made, counted)
        if not origin.inner and not self.admission.allows(call.demand):
            self.answers.refuse(flow, Reason.OVERLOAD)
            return
        if call.is_quarantined(self.quarantine, call.arrived_s):
            self.answers.refuse(flow, Reason.QUARANTINED)
            return
        self.answers.begin(flow)

    def _find_origin(
        self, route: Route, team: Team | None, made: MadeCall | None
    ) -> Origin:
        """Return the request that a call belongs to; without a known run, a new one."""
        if made is not None:
            return made.make_origin()
        left = self.lineage.count_runs(route.name)
        if team is None and self.is_inner(route.name):
            # a call without a known run is refused last
            return Origin(0, inner=True, left=left)
        return Origin(self.table.find_rank(route, team), left=left)

    def _may_be_call(self, route: Route) -> bool:
        """Tell whether a request without a key may be a call of a server."""
        if self.is_inner(route.name):
            return True
        keyed = self.table.teams.is_required and not route.needs_key
        return keyed and not self.is_of_clients(route.name)

    def _find_caller(
        self, exchange: Exchange, head: RequestHead, route: Route
    ) -> MadeCall | None:
        """Return the run that a call belongs to, as far as it can be told."""
        remaining_ms = head.remaining_ms
        if remaining_ms is None:
            remaining_ms = DEFAULT_REMAINING_MS
        deadline_s = exchange.arrived_s + remaining_ms / 1000
        return self.lineage.find_caller(
            exchange.connection, route.name, deadline_s, route.timeout_s
        )

    def _find_deadline(
        self, exchange: Exchange, head: RequestHead, route: Route
    ) -> float:
        remaining_ms = head.remaining_ms
        if remaining_ms is None:
            remaining_ms = DEFAULT_REMAINING_MS
        return exchange.arrived_s + min(remaining_ms / 1000, route.timeout_s)

    def _make_call(
        self,
        exchange: Exchange,
        head: RequestHead,
        route: Route,
        team: Team | None,
        deadline_s: float,
        origin: Origin,
    ) -> Call:
        lines = head.forwarded_headers
        if team is not None:
            lines += self.dialect.write_team(team.name)
        return Call(
            head.request_id,
            route,
            self.chooser.choose(route, self.rng.random()),
            self.own_service(),
            exchange.method,
            exchange.target,
            lines,
            exchange.body,
            exchange.arrived_s,
            deadline_s,
            origin,
        )
