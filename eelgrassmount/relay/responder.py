"""Final answers to requests: the reply of a backend server, a refusal or a failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.messages import Outcome
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.call_attribution import CallAttributor
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.header_codec import HeaderCodec, RequestHead
    from eelgrassmount.relay.messages import Reply
    from eelgrassmount.relay.metrics import RelayMetrics
    from eelgrassmount.relay.sender import PendingRequest, Sender
    from eelgrassmount.teams.directory import Team
    from eelgrassmount.teams.quota_client import QuotaVerdict

# Retry-After of refused requests, as a random share of the route's objective: soon
# enough to meet it. The spread keeps clients from retrying all at once.
MIN_RETRY_AFTER_SHARE = 0.25
MAX_RETRY_AFTER_SHARE = 0.6
# Retry-After of a node that lacks the data for an admission decision.
UNINFORMED_RETRY_AFTER_S = 0.5
# Upper end of the random factor that spreads the retries of clients refused by quota.
MAX_QUOTA_RETRY_FACTOR = 1.2
# The same for clients refused by the rate limits of servers.
MAX_RATE_RETRY_FACTOR = 1.5

UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


@define(eq=False, repr=False)
class Responder:
    """Sends each request its final answer, counts it and logs refusals and failures.

    ``return_quota`` is called for requests that were charged to a quota and did not
    run. ``record_path_time`` is called with the route of each answered client request
    and the seconds since its start. ``choose_return_delay`` returns when the client of
    a request refused for overload should return, ``None`` if that is not foreseen here.
    ``open_requests`` counts the requests that were started and have no answer.
    """

    header_codec: HeaderCodec
    sender: Sender
    admission: Admission
    decisions: DecisionLog
    metrics: RelayMetrics
    clock: Callable[[], float]
    rng: random.Random
    call_attributor: CallAttributor
    return_quota: Callable[[Team], None] = lambda team: None
    record_path_time: Callable[[str, float], None] = lambda route_name, seconds: None
    choose_return_delay: Callable[[PendingRequest], float | None] = lambda pending: None
    open_requests: int = field(default=0, init=False)

    def start(self, pending: PendingRequest) -> None:
        """Start sending a request to a backend server."""
        self.open_requests += 1
        pending.started_s = self.clock()
        pending.exchange.on_abandon = lambda: self._abandon(pending)
        self.sender.start(pending)

    def leave(self, pending: PendingRequest) -> None:
        """Drop a request that was not started and whose client has disconnected."""
        if pending.team is not None:
            self.return_quota(pending.team)
        self.metrics.count_abandoned(pending.call.route.name)

    def deliver(self, pending: PendingRequest, reply: Reply) -> None:
        """Forward the reply of a backend server to the client."""
        self._finish(pending)
        call = pending.call
        now_s = self.clock()
        seconds = now_s - call.arrived_s
        if reply.status < 500 and not call.origin.downstream:
            self.record_path_time(call.route.name, now_s - pending.started_s)
        self.metrics.count_answer(call.route.name, reply.status, seconds)
        failed = reply.status >= 500
        if failed or self.decisions.may_sample():
            self._log_answer(pending, reply.status, seconds)
        self._respond(pending, reply.status, reply.head, reply.body)

    def _log_answer(self, pending: PendingRequest, status: int, seconds: float) -> None:
        call = pending.call
        inputs = {
            "route": call.route.name,
            "server": pending.server,
            "seconds": round(seconds, 3),
        }
        if status >= 500:
            outcome = f"status-{status}"
            self.decisions.record("server failed", call.request_id, outcome, **inputs)
        else:
            self.decisions.sample("answered", call.request_id, **inputs)

    def give_up(self, pending: PendingRequest) -> None:
        """Answer a request for which no further attempt is made."""
        last = pending.last_reply
        if last is not None and last.outcome is Outcome.ANSWERED:
            self.deliver(pending, last)
            return
        self._finish(pending)
        reason = Reason.NO_SERVER if last is None else last.reason
        if pending.may_have_run:
            self._fail(pending, BAD_GATEWAY, reason)
        else:
            self.refuse(pending, reason)

    def time_out(self, pending: PendingRequest) -> None:
        """Answer a request at its deadline."""
        if pending.ended:
            return
        sent = (
            pending.current_attempt is not None
            or pending.silent_attempt is not None
            or pending.may_have_run
        )
        self._finish(pending)
        if sent:
            self._fail(pending, GATEWAY_TIMEOUT, Reason.DEADLINE)
        else:
            self.refuse(pending, Reason.DEADLINE)

    def refuse(self, pending: PendingRequest, reason: Reason | None) -> None:
        """Refuse a request that has not run, with a Retry-After delay."""
        call = pending.call
        if pending.team is not None:
            self.return_quota(pending.team)
        delay_s = self._choose_retry_delay(pending, reason)
        self.metrics.count_refusal(call.route.name, str(reason))
        share = self.admission.admitted_fractions.get(call.request_class, 1.0)
        self.decisions.record(
            "refused",
            call.request_id,
            str(reason),
            route=call.route.name,
            service=call.service,
            share=round(share, 3),
            retry_after_s=round(delay_s, 3),
        )
        head = self.header_codec.write_refusal(call.request_id, delay_s)
        self._respond(pending, SERVICE_UNAVAILABLE, head)

    def _choose_retry_delay(
        self, pending: PendingRequest, reason: Reason | None
    ) -> float:
        """Return the Retry-After of a refused request in seconds.

        Until a rate limit allows another call, a retry would be refused too.
        """
        if reason is Reason.OVERLOAD:
            return_delay_s = self.choose_return_delay(pending)
            if return_delay_s is not None:
                return return_delay_s
        delay_s = pending.call.route.objective_s * self.rng.uniform(
            MIN_RETRY_AFTER_SHARE, MAX_RETRY_AFTER_SHARE
        )
        if reason is not Reason.RATE_LIMIT:
            return delay_s
        factor = self.rng.uniform(1.0, MAX_RATE_RETRY_FACTOR)
        return max(delay_s, pending.rate_wait_s * factor)

    def refuse_uninformed(
        self, exchange: Exchange, head: RequestHead, route_name: str, reason: Reason
    ) -> None:
        """Refuse a request that this node lacks the data to decide on."""
        self._answer_early(
            exchange,
            head,
            route_name,
            reason,
            SERVICE_UNAVAILABLE,
            UNINFORMED_RETRY_AFTER_S,
        )

    def refuse_unauthorized(
        self, exchange: Exchange, head: RequestHead, route_name: str, reason: Reason
    ) -> None:
        """Refuse a request whose key is missing or wrong; a retry would be futile."""
        self._answer_early(exchange, head, route_name, reason, UNAUTHORIZED)

    def refuse_quota(
        self,
        exchange: Exchange,
        head: RequestHead,
        route_name: str,
        verdict: QuotaVerdict,
    ) -> None:
        """Refuse a request that the quota of its team does not admit now."""
        status = SERVICE_UNAVAILABLE
        if verdict.refusal is Reason.QUOTA_SPENT:
            status = TOO_MANY_REQUESTS
        delay_s = verdict.wait_s * self.rng.uniform(1.0, MAX_QUOTA_RETRY_FACTOR)
        self._answer_early(exchange, head, route_name, verdict.refusal, status, delay_s)

    def answer_unknown_route(self, exchange: Exchange, head: RequestHead) -> None:
        """Answer a request that matches no route with 404."""
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
        """Answer a request that was not started."""
        self.metrics.count_refusal(route_name, reason)
        inputs = {"route": route_name} if route_name else {"host": head.host}
        self.decisions.record(
            "refused",
            head.request_id,
            reason,
            status=status,
            retry_after_s=round(delay_s, 3),
            **inputs,
        )
        exchange.respond(
            status, self.header_codec.write_refusal(head.request_id, delay_s)
        )

    def _abandon(self, pending: PendingRequest) -> None:
        if not pending.ended:
            self._finish(pending)
            self.metrics.count_abandoned(pending.call.route.name)

    def _finish(self, pending: PendingRequest) -> None:
        pending.ended = True
        self.sender.cancel(pending)
        self.open_requests -= 1
        pending.exchange.on_abandon = None
        if pending.timer is not None:
            pending.timer.cancel()
            pending.timer = None

    def _fail(
        self, pending: PendingRequest, status: int, reason: Reason | None
    ) -> None:
        call = pending.call
        self.metrics.count_failure(call.route.name, str(reason))
        self.decisions.record(
            "failed",
            call.request_id,
            str(reason),
            route=call.route.name,
            status=status,
            attempts=pending.attempts,
            tried=pending.tried,
            seconds=round(self.clock() - call.arrived_s, 3),
        )
        self._respond(
            pending, status, self.header_codec.write_refusal(call.request_id, 0.0)
        )

    def _respond(
        self, pending: PendingRequest, status: int, head: bytes, body: bytes = b""
    ) -> None:
        if pending.downstream_call is not None:
            # Recorded before the answer is sent, as the next call may follow at once.
            self.call_attributor.record_answer(pending.downstream_call, status < 300)
        pending.exchange.respond(status, head, body)
