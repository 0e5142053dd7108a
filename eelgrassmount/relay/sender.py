"""Sends calls to servers and retries them where that is allowed."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Protocol

from attrs import define, evolve, field

from eelgrassmount.policy.retries import is_retry_futile
from eelgrassmount.policy.waiting import Visit
from eelgrassmount.relay.job import Job
from eelgrassmount.relay.measures import SILENCE_OBJECTIVE_SHARE, SILENCE_RUN_FACTOR
from eelgrassmount.relay.messages import Call, Outcome, Reply
from eelgrassmount.relay.remaining_calls import count_remaining_calls
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.call_attribution import DownstreamCall
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.dispatcher import Dispatcher
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.metrics import RelayMetrics
    from eelgrassmount.relay.routing import Router
    from eelgrassmount.teams.directory import Team

# Refusals by nodes after which a call gets no further attempt.
MAX_REFUSALS = 4
# Refusals for lack of retry budget after which a call gets no further attempt. Each
# dispatcher has a part of the budget: if the first has none left, the next mostly has.
MAX_BUDGET_REFUSALS = 2
# Rejections by servers and attempts after which a call gets no further attempt. Where
# half of all calls are rejected, hardly one is rejected so often. Planned retries end
# where they cost more than the request is worth.
MAX_REJECTIONS = 8
MAX_PLANNED_REJECTIONS = 16
# Moves after which a call that is moved again counts as refused.
MAX_MOVES = 2
GATEWAY_TIMEOUT = 504
# Calls with less time before their deadline are not retried.
MIN_RETRY_TIME_S = 0.02


# Other nodes would refuse the call for the same reason.
_FINAL_REASONS = (Reason.QUARANTINED, Reason.DEADLINE)


@define(eq=False, repr=False)
class Attempt:
    """One attempt of a call, at the local server or at another node."""

    member: Member
    job: Job | None = None
    sequence: int = 0


@define(eq=False, repr=False)
class PendingRequest:
    """A request that has not been answered yet.

    ``downstream_call`` identifies the run that made the request, if a run made it.
    ``team`` is set if the request counts against a quota. ``last_reply`` is the latest
    reply, from the node ``server``.

    ``attempts`` counts attempts that may have run at a server, ``refusals`` those that
    have not, ``rejections`` the refusals by backend servers, and ``budget_refusals``
    those for lack of retry budget. ``moves`` counts the moves from one queue to
    another. ``rate_wait_s`` is the shortest wait until the rate limit of a server
    allows the call. ``rejecting_nodes`` are the nodes whose servers have read and
    rejected the call. ``tried`` lists all nodes in the order of the attempts; nodes in
    ``excluded`` get no further attempt.

    ``started_s`` is when the request was first sent. ``visit`` tells whether its client
    has tried before; the first attempt was ``elapsed_s`` before its arrival, and the
    client waits until ``client_deadline_s``.

    ``silent_attempt`` is an earlier attempt without a reply while ``current_attempt``
    is sent elsewhere; the first answer of the two counts.
    """

    exchange: Exchange
    call: Call
    downstream_call: DownstreamCall | None = None
    team: Team | None = None
    timer: asyncio.TimerHandle | None = None
    current_attempt: Attempt | None = None
    silent_attempt: Attempt | None = None
    attempts: int = 0
    refusals: int = 0
    rejections: int = 0
    budget_refusals: int = 0
    moves: int = 0
    rate_wait_s: float = math.inf
    may_have_run: bool = False
    ended: bool = False
    excluded: set[str] = field(factory=set)
    rejecting_nodes: set[str] = field(factory=set)
    tried: list[str] = field(factory=list)
    last_reply: Reply | None = None
    server: str = ""
    started_s: float = 0.0
    visit: Visit = Visit.NEW
    elapsed_s: float = 0.0
    client_deadline_s: float = math.inf


class Responder(Protocol):
    """Answers each request once."""

    def deliver(self, pending: PendingRequest, reply: Reply) -> None:
        """Return the answer of a server to the client."""

    def give_up(self, pending: PendingRequest) -> None:
        """Answer a request that no server has answered."""

    def time_out(self, pending: PendingRequest) -> None:
        """Answer a request at its deadline."""


@define(eq=False, repr=False)
class Sender:
    """Sends each request to a server until it is answered.

    A call is retried if it has certainly not run, or if it is idempotent. The receiving
    dispatcher refuses retries beyond the retry budget. If ``plans_retries()``, it is
    told how many calls the request still needs.
    """

    local_name: str
    router: Router
    dispatcher: Dispatcher
    admission: Admission
    decisions: DecisionLog
    metrics: RelayMetrics
    clock: Callable[[], float]
    open_link: Callable[[Member], None]
    plans_retries: Callable[[], bool] = lambda: False
    responder: Responder = field(init=False)
    _loop: asyncio.AbstractEventLoop | None = field(default=None, init=False)

    def start(self, pending: PendingRequest) -> None:
        """Send a request to a server."""
        call = pending.call
        if call.route.idempotent:
            self._schedule_check(
                pending, SILENCE_OBJECTIVE_SHARE * call.route.objective_s
            )
        else:
            self._schedule_check(pending, math.inf)
        self._send(pending)

    def _schedule_check(self, pending: PendingRequest, delay_s: float) -> None:
        """Check for a silent server after a delay, or time out at the deadline."""
        remaining_s = max(0.0, pending.call.deadline_s - self.clock())
        loop = self._loop
        if loop is None:
            # Kept, as each look-up makes a system call.
            loop = self._loop = asyncio.get_running_loop()
        if delay_s < remaining_s:
            pending.timer = loop.call_later(delay_s, self._retry_if_silent, pending)
        else:
            pending.timer = loop.call_later(
                remaining_s, self.responder.time_out, pending
            )

    def _retry_if_silent(self, pending: PendingRequest) -> None:
        """Send a call to another server if the current one has not replied in time.

        Not done during overload, when all servers are slow and retries add to the load.
        """
        call = pending.call
        mean_run_s = self.router.find_mean_run_s(call.service, call.route)
        waited_s = self.clock() - call.arrived_s
        remaining_wait_s = SILENCE_RUN_FACTOR * mean_run_s - waited_s
        if remaining_wait_s > 0.0:
            self._schedule_check(pending, remaining_wait_s)
            return
        self._schedule_check(pending, math.inf)
        current = pending.current_attempt
        if current is None or self.admission.find_admitted_fraction(call.service) < 1.0:
            return
        member = current.member
        if not self.router.has_candidate(
            call.service, {*pending.excluded, member.name}
        ):
            return
        # The silent attempt counts, as it may have reached its server.
        attempts = pending.attempts + 1
        if attempts >= call.route.max_attempts or not self._has_time_to_retry(call):
            return
        pending.attempts = attempts
        pending.silent_attempt = current
        pending.current_attempt = None
        self._retry(pending, member, Reason.SERVER_SILENT)

    def _send(self, pending: PendingRequest) -> None:
        call = pending.call
        member = self.router.choose(call.service, call.route, pending.excluded)
        if member is None:
            self._give_up(pending)
            return
        self._send_to(pending, member)

    def _send_to(self, pending: PendingRequest, member: Member) -> None:
        call = pending.call
        pending.tried.append(member.name)
        member.last_used_s = self.clock()
        member.sent_since_report += 1
        attempt = pending.current_attempt = Attempt(member)

        def on_reply(reply: Reply) -> None:
            attempt.job = None
            if attempt is pending.current_attempt:
                self._handle_reply(pending, member, reply)
            elif attempt is pending.silent_attempt:
                self._handle_silent_reply(pending, member, reply)

        if member.name == self.local_name:
            job = attempt.job = Job(call, on_reply)
            self.dispatcher.submit(job)
        else:
            if member.link is None:
                self.open_link(member)
            attempt.sequence = member.link.call(call, on_reply)

    def _give_up(self, pending: PendingRequest) -> None:
        """Finish a request, unless an earlier attempt may still be answered."""
        if pending.silent_attempt is None:
            self.responder.give_up(pending)

    def _handle_silent_reply(
        self, pending: PendingRequest, member: Member, reply: Reply
    ) -> None:
        """Handle the reply of a silent server; its attempt is already counted."""
        pending.silent_attempt = None
        if reply.outcome is not Outcome.NOT_RUN:
            pending.may_have_run = True
        if reply.outcome is Outcome.ANSWERED and reply.status < 500:
            pending.server = member.name
            self.responder.deliver(pending, reply)
        elif pending.current_attempt is None:
            if (
                pending.last_reply is None
                or pending.last_reply.outcome is not Outcome.ANSWERED
            ):
                pending.last_reply = reply
                pending.server = member.name
            self.responder.give_up(pending)

    def _handle_reply(
        self, pending: PendingRequest, member: Member, reply: Reply
    ) -> None:
        pending.current_attempt = None
        if reply.reason is Reason.RETRY_BUDGET:
            self._handle_budget_refusal(pending, member)
            return
        if reply.reason is Reason.MOVED and pending.moves < MAX_MOVES:
            self._handle_move(pending, reply)
            return
        pending.last_reply = reply
        pending.server = member.name
        if reply.outcome is Outcome.ANSWERED:
            self._handle_answer(pending, member, reply)
        elif reply.outcome is Outcome.NOT_RUN:
            self._handle_refusal(pending, member, reply)
        else:
            self._handle_loss(pending, member, reply)

    def _handle_answer(
        self, pending: PendingRequest, member: Member, reply: Reply
    ) -> None:
        pending.attempts += 1
        if reply.status >= 500:
            pending.may_have_run = True
            # A server that ran out of time would probably do so on a retry.
            futile = reply.status == GATEWAY_TIMEOUT or self._is_retry_futile(
                pending.call
            )
            if not futile and self._may_retry(pending):
                self._retry(pending, member, f"status-{reply.status}")
            else:
                self._give_up(pending)
            return
        size_bytes = len(pending.call.body) + len(reply.body)
        self.router.record_size(pending.call.route.name, size_bytes)
        self.responder.deliver(pending, reply)

    def _handle_refusal(
        self, pending: PendingRequest, member: Member, reply: Reply
    ) -> None:
        pending.refusals += 1
        pending.excluded.add(member.name)
        if reply.reason in (Reason.DRAINING, Reason.NO_SERVER, Reason.SERVER_STARTING):
            # Until the next load report of the node.
            member.load.accepting = False
            member.load.reported_s = self.clock()
        if reply.reason is Reason.RATE_LIMIT:
            pending.rate_wait_s = min(pending.rate_wait_s, reply.wait_s)
        if reply.reason is Reason.SERVER_SHED:
            self._handle_rejection(pending, member)
            return
        if pending.refusals >= MAX_REFUSALS or reply.reason in _FINAL_REASONS:
            self._give_up(pending)
            return
        self.metrics.count_retry(reply.reason)
        if reply.reason in (Reason.OVERLOAD, Reason.RATE_LIMIT):
            pending.call.counted_as_demand = True
        self._send(pending)

    def _handle_move(self, pending: PendingRequest, reply: Reply) -> None:
        """Send a call that has left a queue to the node that has a free slot for it."""
        pending.moves += 1
        # It has been counted where it was queued, and is not moved again.
        pending.call.counted_as_demand = True
        self.metrics.count_retry(Reason.MOVED)
        member = self.router.find_usable(
            pending.call.service, reply.moved_to, pending.excluded
        )
        if member is None:
            self._send(pending)
        else:
            self._send_to(pending, member)

    def _handle_budget_refusal(self, pending: PendingRequest, member: Member) -> None:
        """Try another dispatcher, or finish with the previous reply."""
        pending.budget_refusals += 1
        pending.excluded.add(member.name)
        self.metrics.count_retry(Reason.RETRY_BUDGET)
        if pending.budget_refusals < MAX_BUDGET_REFUSALS:
            self._send(pending)
        else:
            self._give_up_rejected(pending)

    def _handle_rejection(self, pending: PendingRequest, member: Member) -> None:
        """Retry a call that a server has read but not run.

        The limit of servers per request applies, but servers that rejected the call may
        get further attempts: while all servers reject many calls, a request with
        several calls would otherwise rarely succeed.
        """
        pending.rejections += 1
        pending.rejecting_nodes.add(member.name)
        planned = self.plans_retries()
        max_rejections = MAX_PLANNED_REJECTIONS if planned else MAX_REJECTIONS
        limit_reached = pending.rejections + pending.attempts >= max_rejections
        if limit_reached or not self._has_time_to_retry(pending.call):
            self._give_up_rejected(pending)
            return
        if (
            len(pending.rejecting_nodes) + pending.attempts
            >= pending.call.route.max_attempts
        ):
            service = pending.call.service
            pending.excluded = self.router.list_other_nodes(
                service, pending.rejecting_nodes
            )
        self._mark_retry(pending)
        if planned:
            self._update_remaining_calls(pending)
        pending.call.counted_as_demand = True
        self.metrics.count_retry(Reason.SERVER_SHED)
        self._send(pending)

    def _update_remaining_calls(self, pending: PendingRequest) -> None:
        """Tell the dispatcher how many calls to it the request still needs."""
        caller = pending.downstream_call
        if caller is None:
            return
        call = pending.call
        remaining = count_remaining_calls(call.route.name, caller, self.admission.graph)
        call.origin = evolve(call.origin, remaining_runs=remaining)

    def _give_up_rejected(self, pending: PendingRequest) -> None:
        """Finish a request after a rejection; a run that made it fails."""
        if pending.rejections and pending.call.origin.downstream:
            self.metrics.count_lost_call(pending.call.route.name)
        self._give_up(pending)

    def _mark_retry(self, pending: PendingRequest) -> None:
        """Charge the next attempt, and the calls of its run, to the retry budget."""
        call = pending.call
        call.is_retry = True
        call.origin = evolve(call.origin, within_retry=True)

    def _handle_loss(
        self, pending: PendingRequest, member: Member, reply: Reply
    ) -> None:
        pending.attempts += 1
        pending.may_have_run = True
        if self._may_retry(pending):
            self._retry(pending, member, reply.reason)
        else:
            self._give_up(pending)

    def _may_retry(self, pending: PendingRequest) -> bool:
        route = pending.call.route
        servers_tried = len(pending.rejecting_nodes) + pending.attempts
        if not route.idempotent or servers_tried >= route.max_attempts:
            return False
        return self._has_time_to_retry(pending.call)

    def _is_retry_futile(self, call: Call) -> bool:
        """Return whether a retry would fail because of its downstream calls."""
        calls = self.admission.graph.calls_per_run.get(call.route.name)
        return bool(calls) and is_retry_futile(
            self.router.list_failure_shares(call.service)
        )

    def _has_time_to_retry(self, call: Call) -> bool:
        return call.deadline_s - self.clock() >= MIN_RETRY_TIME_S

    def _retry(self, pending: PendingRequest, member: Member, reason: str) -> None:
        pending.excluded.add(member.name)
        self._mark_retry(pending)
        self.metrics.count_retry(reason)
        self.decisions.record(
            "sent again",
            pending.call.request_id,
            str(reason),
            route=pending.call.route.name,
            after=member.name,
            attempts=pending.attempts,
        )
        self._send(pending)

    def cancel(self, pending: PendingRequest) -> None:
        """Cancel the open attempts of a request and ignore their replies."""
        attempts = (pending.current_attempt, pending.silent_attempt)
        pending.current_attempt = None
        pending.silent_attempt = None
        for attempt in attempts:
            if attempt is not None:
                self._cancel(attempt)

    def _cancel(self, attempt: Attempt) -> None:
        job = attempt.job
        link = attempt.member.link
        attempt.job = None
        if job is not None:
            self.dispatcher.cancel(job)
        elif link is not None:
            link.cancel(attempt.sequence)
