"""The one answer of each request: a server's, a refusal or a failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.messages import Fate
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.header_codec import HeaderCodec, RequestHead
    from eelgrassmount.relay.lineage import Lineage
    from eelgrassmount.relay.messages import Reply
    from eelgrassmount.relay.metrics import RelayMetrics
    from eelgrassmount.relay.sender import Flow, Sender
    from eelgrassmount.teams.directory import Team
    from eelgrassmount.teams.taker import QuotaVerdict

# parts of the objective after which a refused client is to come back: soon enough
# for the objective to hold, and spread so that they don't all come at once
COME_BACK_MIN = 0.25
COME_BACK_MAX = 0.6
# a client is told to come back after so long to a node that knows too little to judge
UNINFORMED_S = 0.5
# clients that wait for the same quota come back over a time up to so many times as long
MOST_LATER = 1.2

UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY = 429
UNAVAILABLE = 503
BAD_GATEWAY = 502
TIMEOUT = 504


@define(eq=False)
class Answering:
    """Gives each request its answer, counts it and writes a line on what went wrong.

    ``give_back`` hears of requests that count for a quota and have not run, and
    ``open_flows`` counts those that were begun and have no answer.
    """

    dialect: HeaderCodec
    sender: Sender
    admission: Admission
    decisions: DecisionLog
    metrics: RelayMetrics
    clock: Callable[[], float]
    rng: random.Random
    lineage: Lineage
    give_back: Callable[[Team], None] = lambda team: None
    open_flows: int = field(default=0, init=False)

    def begin(self, flow: Flow) -> None:
        """Have a request sent to a server."""
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
            self.refuse(flow, reason)

    def time_out(self, flow: Flow) -> None:
        """Answer a request at its deadline."""
        if flow.ended:
            return
        sent = flow.current is not None or flow.spare is not None or flow.may_have_run
        self._end(flow)
        if sent:
            self._fail(flow, TIMEOUT, Reason.DEADLINE)
        else:
            self.refuse(flow, Reason.DEADLINE)

    def refuse(self, flow: Flow, reason: Reason | None) -> None:
        """Say that a request has not run, and when to come back."""
        call = flow.call
        if flow.team is not None:
            self.give_back(flow.team)
        delay_s = call.route.objective_s * self.rng.uniform(
            COME_BACK_MIN, COME_BACK_MAX
        )
        self.metrics.count_refusal(call.route.name, str(reason))
        share = self.admission.shares.get(call.demand, 1.0)
        self.decisions.note(
            "refused",
            call.request_id,
            str(reason),
            route=call.route.name,
            service=call.service,
            share=round(share, 3),
            retry_after_s=round(delay_s, 3),
        )
        head = self.dialect.write_refusal(call.request_id, delay_s)
        self._respond(flow, UNAVAILABLE, head)

    def refuse_uninformed(
        self, exchange: Exchange, head: RequestHead, route_name: str, reason: Reason
    ) -> None:
        """Refuse what this node knows too little to judge."""
        self._answer_early(
            exchange, head, route_name, reason, UNAVAILABLE, UNINFORMED_S
        )

    def refuse_access(
        self, exchange: Exchange, head: RequestHead, route_name: str, reason: Reason
    ) -> None:
        """Refuse a request whose key is missing or wrong, for good."""
        self._answer_early(exchange, head, route_name, reason, UNAUTHORIZED)

    def refuse_quota(
        self,
        exchange: Exchange,
        head: RequestHead,
        route_name: str,
        verdict: QuotaVerdict,
    ) -> None:
        """Refuse a request for the quota of its team, until some of it is there."""
        status = UNAVAILABLE
        if verdict.refusal is Reason.QUOTA_SPENT:
            status = TOO_MANY
        delay_s = verdict.wait_s * self.rng.uniform(1.0, MOST_LATER)
        self._answer_early(exchange, head, route_name, verdict.refusal, status, delay_s)

    def answer_unknown(self, exchange: Exchange, head: RequestHead) -> None:
        """Say that there is no such route."""
        self._answer_early(exchange, head, "", Reason.NO_ROUTE, NOT_FOUND)

    def _answer_early(
        self,
        exchange: Exchange,
        head: RequestHead,
        route_name: str,
        reason: Reason,
        status: int,
        delay_s: float = 0.0,
    ) -> None:
        """Answer a request of which nothing was begun."""
        self.metrics.count_refusal(route_name, reason)
        inputs = {"route": route_name} if route_name else {"host": head.host}
        self.decisions.note(
            "refused",
            head.request_id,
            reason,
            status=status,
            retry_after_s=round(delay_s, 3),
            **inputs,
        )
        exchange.respond(status, self.dialect.write_refusal(head.request_id, delay_s))

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

    def _respond(self, flow: Flow, status: int, head: bytes, body: bytes = b"") -> None:
        if flow.made is not None:
            # before the answer goes out, as the next call follows it at once
            self.lineage.note_answer(flow.made, status < 300)
        flow.exchange.respond(status, head, body)
