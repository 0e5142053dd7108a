"""Requests of the clients and of the server on this VM, from arrival to answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.messages import Call, Fate, Origin
from eelgrassmount.relay.routes import RouteTable, TargetChooser
from eelgrassmount.relay.sender import Flow
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.dialect import Dialect, RequestHead
    from eelgrassmount.relay.lineage import Lineage, MadeCall
    from eelgrassmount.relay.messages import Reply
    from eelgrassmount.relay.metrics import RelayMetrics
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.relay.sender import Sender
    from eelgrassmount.retry.quarantine import Quarantine

# parts of the objective after which a refused client is to come back: soon enough
# for the objective to hold, and spread so that they don't all come at once
COME_BACK_MIN = 0.25
COME_BACK_MAX = 0.6
# without a configuration, a client is told to come back after so long
UNCONFIGURED_S = 0.5
# without a deadline of the client, a request is kept this long at most
DEFAULT_REMAINING_MS = 60_000

NOT_FOUND = 404
UNAVAILABLE = 503
BAD_GATEWAY = 502
TIMEOUT = 504


@define(eq=False)
class Entry:
    """Takes requests, has each sent to a server and answers it exactly once.

    ``note_called`` hears of each route that is asked for on this VM; ``is_inner``
    tells whether running servers call a route, whose calls are not refused here.
    """

    own_service: Callable[[], str]
    dialect: Dialect
    sender: Sender
    admission: Admission
    quarantine: Quarantine
    decisions: DecisionLog
    metrics: RelayMetrics
    clock: Callable[[], float]
    rng: random.Random
    is_inner: Callable[[str], bool]
    note_called: Callable[[str], None]
    lineage: Lineage
    table: RouteTable = field(factory=RouteTable)
    chooser: TargetChooser = field(factory=TargetChooser)
    open_flows: int = 0

    def handle(self, exchange: Exchange) -> None:
        """Take a request."""
        head = self.dialect.read_request(exchange.headers)
        table = self.table
        if table.version == 0:
            self._refuse_early(exchange, head, Reason.NO_CONFIGURATION)
            return
        path = exchange.target.partition("?")[0]
        route = table.find(head.host, path)
        if route is None:
            self._answer_unknown(exchange, head)
            return
        self.note_called(route.name)
        deadline_s = self._find_deadline(exchange, head, route)
        made = None
        if self.is_inner(route.name):
            made = self.lineage.find_caller(exchange.connection, route.name, deadline_s)
        origin = self._find_origin(route, made)
        call = self._make_call(exchange, head, route, deadline_s, origin)
        flow = Flow(exchange, call, made)
        if not origin.inner and not self.admission.allows(route):
            self._refuse(flow, Reason.OVERLOAD)
            return
        if call.is_quarantined(self.quarantine, call.arrived_s):
            self._refuse(flow, Reason.QUARANTINED)
            return
        self._begin(flow)

    def _find_origin(self, route: Route, made: MadeCall | None) -> Origin:
        """Return the request that a call belongs to; without a known run, a new one."""
        if made is not None:
            return made.make_origin()
        left = self.lineage.count_runs(route.name)
        if self.is_inner(route.name):
            # a call without a known run is refused last
            return Origin(0, inner=True, left=left)
        return Origin(route.priority, left=left)

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
        deadline_s: float,
        origin: Origin,
    ) -> Call:
        return Call(
            head.request_id,
            route,
            self.chooser.choose(route, self.rng.random()),
            self.own_service(),
            exchange.method,
            exchange.target,
            head.passed_on,
            exchange.body,
            exchange.arrived_s,
            deadline_s,
            origin,
        )

    def _begin(self, flow: Flow) -> None:
        self.open_flows += 1
        flow.exchange.on_abandon = lambda: self._abandon(flow)
        self.sender.begin(flow)

    def deliver(self, flow: Flow, reply: Reply) -> None:
        """Hand the answer of a server on."""
        self._end(flow)
        call = flow.call
        seconds = self.clock() - call.arrived_s
        self.metrics.count_answer(call.route.name, reply.status, seconds)
        inputs = {
            "route": call.route.name,
            "server": flow.server,
            "seconds": round(seconds, 3),
        }
        if reply.status >= 500:
            outcome = f"status-{reply.status}"
            self.decisions.note("server failed", call.request_id, outcome, **inputs)
        else:
            self.decisions.sample("answered", call.request_id, **inputs)
        self._respond(flow, reply.status, reply.head, reply.body)

    def _respond(self, flow: Flow, status: int, head: bytes, body: bytes = b"") -> None:
        if flow.made is not None:
            # before the answer goes out, as the next call follows it at once
            self.lineage.note_answer(flow.made, status < 300)
        flow.exchange.respond(status, head, body)

    def give_up(self, flow: Flow) -> None:
        """Give the final answer of a request that no server answers."""
        last = flow.last
        if last is not None and last.fate is Fate.ANSWERED:
            self.deliver(flow, last)
            return
        self._end(flow)
        reason = Reason.NO_SERVER if last is None else last.reason
        if flow.may_have_run:
            self._fail(flow, BAD_GATEWAY, reason)
        else:
            self._refuse(flow, reason)

    def time_out(self, flow: Flow) -> None:
        """Answer a request at its deadline."""
        if flow.ended:
            return
        sent = flow.current is not None or flow.spare is not None or flow.may_have_run
        self._end(flow)
        if sent:
            self._fail(flow, TIMEOUT, Reason.DEADLINE)
        else:
            self._refuse(flow, Reason.DEADLINE)

    def _abandon(self, flow: Flow) -> None:
        if not flow.ended:
            self._end(flow)
            self.metrics.count_abandoned(flow.call.route.name)

    def _end(self, flow: Flow) -> None:
        flow.ended = True
        self.sender.cancel(flow)
        self.open_flows -= 1
        flow.exchange.on_abandon = None
        if flow.timer is not None:
            flow.timer.cancel()
            flow.timer = None

    def _fail(self, flow: Flow, status: int, reason: Reason | None) -> None:
        call = flow.call
        self.metrics.count_failure(call.route.name, str(reason))
        self.decisions.note(
            "failed",
            call.request_id,
            str(reason),
            route=call.route.name,
            status=status,
            attempts=flow.attempts,
            tried=flow.tried,
            seconds=round(self.clock() - call.arrived_s, 3),
        )
        self._respond(flow, status, self.dialect.write_refusal(call.request_id, 0.0))

    def _refuse(self, flow: Flow, reason: Reason | None) -> None:
        """Say that a request has not run, and when to come back."""
        call = flow.call
        delay_s = call.route.objective_s * self.rng.uniform(
            COME_BACK_MIN, COME_BACK_MAX
        )
        self.metrics.count_refusal(call.route.name, str(reason))
        self.decisions.note(
            "refused",
            call.request_id,
            str(reason),
            route=call.route.name,
            service=call.service,
            share=round(self.admission.shares.get(call.route.name, 1.0), 3),
            retry_after_s=round(delay_s, 3),
        )
        head = self.dialect.write_refusal(call.request_id, delay_s)
        self._respond(flow, UNAVAILABLE, head)

    def _refuse_early(
        self, exchange: Exchange, head: RequestHead, reason: Reason
    ) -> None:
        self.metrics.count_refusal("", reason)
        self.decisions.note("refused", head.request_id, reason)
        lines = self.dialect.write_refusal(head.request_id, UNCONFIGURED_S)
        exchange.respond(UNAVAILABLE, lines)

    def _answer_unknown(self, exchange: Exchange, head: RequestHead) -> None:
        self.metrics.count_refusal("", Reason.NO_ROUTE)
        self.decisions.note(
            "no route",
            head.request_id,
            "status-404",
            host=head.host,
            version=self.table.version,
        )
        exchange.respond(NOT_FOUND, self.dialect.write_refusal(head.request_id, 0.0))
