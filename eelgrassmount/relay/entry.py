"""Requests of the clients and of the server on this VM, from arrival to answer."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.gate import INNER_RANK, SILENT_SHARE, SILENT_TIMES, Job
from eelgrassmount.relay.messages import Call, Fate, Reply
from eelgrassmount.relay.routes import RouteTable, TargetChooser
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.budget import RetryBudget
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.dialect import Dialect, RequestHead
    from eelgrassmount.relay.gate import Gate
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.metrics import RelayMetrics
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.relay.routing import Router
    from eelgrassmount.retry.quarantine import Quarantine

# nodes that may refuse a call before it is given up
MAX_REFUSALS = 4
# parts of the objective after which a refused client is to come back: soon enough
# for the objective to hold, and spread so that they don't all come at once
COME_BACK_MIN = 0.25
COME_BACK_MAX = 0.6
# without a configuration, a client is told to come back after so long
UNCONFIGURED_S = 0.5
# without a deadline of the client, a request is kept this long at most
DEFAULT_REMAINING_MS = 60_000
# time that a call must have left to be sent again
REPEAT_ROOM_S = 0.02

NOT_FOUND = 404
UNAVAILABLE = 503
BAD_GATEWAY = 502
TIMEOUT = 504


@define(eq=False)
class Flow:
    """One request while it has no answer.

    ``last`` is the latest reply and ``server`` the node that gave it; ``attempts``
    counts the sendings that may have reached a server, ``refusals`` those that have
    not. ``sending`` numbers the sendings, of which only the latest is waited for.
    """

    exchange: Exchange
    call: Call
    timer: asyncio.TimerHandle | None = None
    member: Member | None = None
    job: Job | None = None
    sequence: int = 0
    sending: int = 0
    attempts: int = 0
    refusals: int = 0
    may_have_run: bool = False
    ended: bool = False
    excluded: set[str] = field(factory=set)
    last: Reply | None = None
    server: str = ""


@define(eq=False)
class Entry:
    """Takes requests, sends each to a server and answers it exactly once.

    A call is sent again when it has certainly not run, or when it may run twice
    and the retry budget allows it. ``note_called`` hears of each route that is
    asked for on this VM; ``is_inner`` tells whether running servers call a route,
    whose calls are not refused here.
    """

    own_name: str
    own_service: Callable[[], str]
    dialect: Dialect
    router: Router
    gate: Gate
    budget: RetryBudget
    admission: Admission
    quarantine: Quarantine
    decisions: DecisionLog
    metrics: RelayMetrics
    clock: Callable[[], float]
    rng: random.Random
    is_inner: Callable[[str], bool]
    note_called: Callable[[str], None]
    open_link: Callable[[Member], None]
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
        call = self._make_call(exchange, head, route)
        if call.rank != INNER_RANK and not self.admission.allows(route):
            self._refuse(exchange, call, Reason.OVERLOAD)
            return
        if call.is_quarantined(self.quarantine, call.arrived_s):
            self._refuse(exchange, call, Reason.QUARANTINED)
            return
        self._begin(Flow(exchange, call))

    def _make_call(self, exchange: Exchange, head: RequestHead, route: Route) -> Call:
        remaining_ms = head.remaining_ms
        if remaining_ms is None:
            remaining_ms = DEFAULT_REMAINING_MS
        arrived_s = exchange.arrived_s
        inner = self.is_inner(route.name)
        return Call(
            head.request_id,
            route,
            self.chooser.choose(route, self.rng.random()),
            self.own_service(),
            exchange.method,
            exchange.target,
            head.passed_on,
            exchange.body,
            arrived_s,
            arrived_s + min(remaining_ms / 1000, route.timeout_s),
            INNER_RANK if inner else route.priority,
        )

    def _begin(self, flow: Flow) -> None:
        self.open_flows += 1
        call = flow.call
        flow.exchange.on_abandon = lambda: self._abandon(flow)
        if call.route.idempotent:
            self._wake(flow, SILENT_SHARE * call.route.objective_s)
        else:
            self._wake(flow, math.inf)
        self.budget.note_request(call.service)
        self._send(flow)

    def _wake(self, flow: Flow, patience_s: float) -> None:
        """Look at a flow again after its patience, or at its deadline if sooner."""
        remaining_s = max(0.0, flow.call.deadline_s - self.clock())
        loop = asyncio.get_running_loop()
        if patience_s < remaining_s:
            flow.timer = loop.call_later(patience_s, self._leave_silent, flow)
        else:
            flow.timer = loop.call_later(remaining_s, self._time_out, flow)

    def _leave_silent(self, flow: Flow) -> None:
        """Ask another server when the one that was asked stays silent.

        Not under overload, when all are slow and each sending more makes it worse.
        """
        call = flow.call
        usual_s = self.router.find_usual(call.service, call.route)
        waited_s = self.clock() - call.arrived_s
        missing_s = SILENT_TIMES * usual_s - waited_s
        if missing_s > 0.0:
            self._wake(flow, missing_s)
            return
        self._wake(flow, math.inf)
        member = flow.member
        if member is None or self.admission.find_level(call.service) < 1.0:
            return
        if not self.router.has_choice(call.service, {*flow.excluded, member.name}):
            return
        # the sending that is left counts, as it may have reached its server
        attempts = flow.attempts + 1
        if not self._may_send_again(call, attempts):
            return
        flow.attempts = attempts
        flow.may_have_run = True
        self._cancel_sending(flow)
        self._repeat(flow, member, Reason.SERVER_SILENT)

    def _send(self, flow: Flow) -> None:
        call = flow.call
        member = self.router.choose(call.service, call.route, flow.excluded)
        if member is None:
            self._give_up(flow)
            return
        flow.member = member
        member.used_s = self.clock()
        member.sent_since += 1
        flow.sending += 1
        number = flow.sending

        def note(reply: Reply) -> None:
            if not flow.ended and flow.sending == number:
                self._note_reply(flow, member, reply)

        if member.name == self.own_name:
            flow.job = Job(call, note)
            self.gate.offer(flow.job)
        else:
            if member.link is None:
                self.open_link(member)
            flow.sequence = member.link.call(call, note)

    def _note_reply(self, flow: Flow, member: Member, reply: Reply) -> None:
        flow.member = None
        flow.job = None
        flow.last = reply
        flow.server = member.name
        if reply.fate is Fate.ANSWERED:
            self._note_answer(flow, member, reply)
        elif reply.fate is Fate.NOT_RUN:
            self._note_refusal(flow, member, reply)
        else:
            self._note_loss(flow, member, reply)

    def _note_answer(self, flow: Flow, member: Member, reply: Reply) -> None:
        flow.attempts += 1
        if reply.status >= 500:
            flow.may_have_run = True
            if self._may_repeat(flow):
                self._repeat(flow, member, f"status-{reply.status}")
                return
        self._deliver(flow, reply)

    def _note_refusal(self, flow: Flow, member: Member, reply: Reply) -> None:
        flow.refusals += 1
        flow.excluded.add(member.name)
        if reply.reason in (Reason.DRAINING, Reason.NO_SERVER, Reason.SERVER_STARTING):
            # until its next report says otherwise
            member.load.accepting = False
            member.load.reported_s = self.clock()
        if reply.reason is Reason.SERVER_SHED:
            # the server has seen it, which counts as an arrival
            flow.attempts += 1
            if not self._may_send_again(flow.call, flow.attempts):
                self._give_up(flow)
                return
        if flow.refusals >= MAX_REFUSALS or reply.reason is Reason.QUARANTINED:
            self._give_up(flow)
            return
        self.metrics.count_retry(reply.reason)
        self._send(flow)

    def _note_loss(self, flow: Flow, member: Member, reply: Reply) -> None:
        flow.attempts += 1
        flow.may_have_run = True
        if self._may_repeat(flow):
            self._repeat(flow, member, reply.reason)
        else:
            self._give_up(flow)

    def _may_repeat(self, flow: Flow) -> bool:
        call = flow.call
        return call.route.idempotent and self._may_send_again(call, flow.attempts)

    def _may_send_again(self, call: Call, attempts: int) -> bool:
        if attempts >= call.route.max_attempts:
            return False
        if call.deadline_s - self.clock() < REPEAT_ROOM_S:
            return False
        ends_chain = not self.admission.graph.vectors.get(call.route.name)
        return self.budget.take(call.service, ends_chain)

    def _repeat(self, flow: Flow, member: Member, reason: str) -> None:
        flow.excluded.add(member.name)
        self.metrics.count_retry(reason)
        self.decisions.note(
            "sent again",
            flow.call.request_id,
            str(reason),
            route=flow.call.route.name,
            after=member.name,
            attempts=flow.attempts,
        )
        self._send(flow)

    def _deliver(self, flow: Flow, reply: Reply) -> None:
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
        flow.exchange.respond(reply.status, reply.head, reply.body)

    def _give_up(self, flow: Flow) -> None:
        """Give the final answer of a request that no server answers."""
        last = flow.last
        if last is not None and last.fate is Fate.ANSWERED:
            self._deliver(flow, last)
            return
        self._end(flow)
        reason = Reason.NO_SERVER if last is None else last.reason
        if flow.may_have_run:
            self._fail(flow, BAD_GATEWAY, reason)
        else:
            self._refuse(flow.exchange, flow.call, reason)

    def _time_out(self, flow: Flow) -> None:
        if flow.ended:
            return
        sent = flow.member is not None or flow.may_have_run
        self._cancel_sending(flow)
        self._end(flow)
        if sent:
            self._fail(flow, TIMEOUT, Reason.DEADLINE)
        else:
            self._refuse(flow.exchange, flow.call, Reason.DEADLINE)

    def _abandon(self, flow: Flow) -> None:
        if not flow.ended:
            self._cancel_sending(flow)
            self._end(flow)
            self.metrics.count_abandoned(flow.call.route.name)

    def _cancel_sending(self, flow: Flow) -> None:
        job = flow.job
        member = flow.member
        flow.job = None
        flow.member = None
        # what a cancelled sending still tells is not heard
        flow.sending += 1
        if job is not None:
            self.gate.cancel(job)
        elif member is not None and member.link is not None:
            member.link.cancel(flow.sequence)

    def _end(self, flow: Flow) -> None:
        flow.ended = True
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
            tried=sorted(flow.excluded),
            seconds=round(self.clock() - call.arrived_s, 3),
        )
        flow.exchange.respond(status, self.dialect.write_refusal(call.request_id, 0.0))

    def _refuse(self, exchange: Exchange, call: Call, reason: Reason | None) -> None:
        """Say that a request has not run, and when to come back."""
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
        exchange.respond(UNAVAILABLE, head)

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
