"""The attempt of requests to servers, and again where that is allowed."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Protocol

from attrs import define, evolve, field

from eelgrassmount.policy.repeats import is_in_vain
from eelgrassmount.relay.dispatcher import Job
from eelgrassmount.relay.measures import SILENT_SHARE, SILENT_TIMES
from eelgrassmount.relay.messages import Call, Outcome, Reply
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.dispatcher import Dispatcher
    from eelgrassmount.relay.lineage import MadeCall
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.metrics import RelayMetrics
    from eelgrassmount.relay.routing import Router
    from eelgrassmount.teams.directory import Team

# nodes that may refuse a call before it is given up
MAX_REFUSALS = 4
# gates that may refuse a call as the retry budget holds no repeat: each holds a part,
# and where the one that was chosen first has none left, the next mostly has
MAX_BUDGET_REFUSALS = 2
# times that servers may reject a call, which then has not run: where half of all calls
# are rejected, hardly one is so often
MAX_REJECTIONS = 8
# status of a server's answer at the end of the time that it was given
GATEWAY_TIMEOUT = 504
# time that a call must have left to be sent again
MIN_RETRY_TIME_S = 0.02


# reasons for which no other node would take a call either
_FINAL_REASONS = (Reason.QUARANTINED, Reason.DEADLINE)


@define(eq=False)
class Attempt:
    """One attempt of a request, to a server beside this node or elsewhere."""

    member: Member
    job: Job | None = None
    sequence: int = 0


@define(eq=False)
class PendingRequest:
    """One request while it has no answer.

    ``made_call`` names the run that has made it, if it is a call of the server here, and
    ``team`` is that of its client, if it counts for a quota.
    ``last_reply`` is the latest reply and ``server`` the node that gave it; ``attempts``
    counts the attempts that may have rejecting_nodes a server, ``refusals`` those that have
    not, of which servers gave ``rejections``, and ``budget_refusals`` the gates that
    held no repeat for it; ``rejecting_nodes`` names the nodes whose servers
    have read the call. ``tried`` names the nodes that were asked, in their order, and
    ``excluded`` those that are not to be asked again. ``current_attempt`` is the latest
    attempt. ``silent_attempt`` is one whose server was silent when another was asked: its answer
    counts if it comes first.
    """

    exchange: Exchange
    call: Call
    made_call: MadeCall | None = None
    team: Team | None = None
    timer: asyncio.TimerHandle | None = None
    current_attempt: Attempt | None = None
    silent_attempt: Attempt | None = None
    attempts: int = 0
    refusals: int = 0
    rejections: int = 0
    budget_refusals: int = 0
    may_have_run: bool = False
    ended: bool = False
    excluded: set[str] = field(factory=set)
    rejecting_nodes: set[str] = field(factory=set)
    tried: list[str] = field(factory=list)
    last_reply: Reply | None = None
    server: str = ""


class Responder(Protocol):
    """Gives a request its one answer."""

    def deliver(self, pending: PendingRequest, reply: Reply) -> None:
        """Hand the answer of a server on."""

    def give_up(self, pending: PendingRequest) -> None:
        """Answer a request that no server answers."""

    def time_out(self, pending: PendingRequest) -> None:
        """Answer a request at its deadline."""


@define(eq=False)
class Sender:
    """Sends each request to a server until it has its answer.

    A call is sent again when it has certainly not run, or when it may run twice. The
    gate that it comes to refuses it unless the retry budget holds it.
    """

    local_name: str
    router: Router
    dispatcher: Dispatcher
    admission: Admission
    decisions: DecisionLog
    metrics: RelayMetrics
    clock: Callable[[], float]
    open_link: Callable[[Member], None]
    answers: Responder = field(init=False)

    def start(self, pending: PendingRequest) -> None:
        """Send a request to a server, and again where that is allowed."""
        call = pending.call
        if call.route.idempotent:
            self._schedule_check(pending, SILENT_SHARE * call.route.objective_s)
        else:
            self._schedule_check(pending, math.inf)
        self._send(pending)

    def _schedule_check(self, pending: PendingRequest, delay_s: float) -> None:
        """Look at a flow again after its patience, or at its deadline if sooner."""
        remaining_s = max(0.0, pending.call.deadline_s - self.clock())
        loop = asyncio.get_running_loop()
        if delay_s < remaining_s:
            pending.timer = loop.call_later(delay_s, self._retry_if_silent, pending)
        else:
            pending.timer = loop.call_later(remaining_s, self.answers.time_out, pending)

    def _retry_if_silent(self, pending: PendingRequest) -> None:
        """Ask another server when the one that was asked stays silent.

        Not under overload, when all are slow and each attempt more makes it worse.
        """
        call = pending.call
        mean_run_s = self.router.find_mean_run_s(call.service, call.route)
        waited_s = self.clock() - call.arrived_s
        remaining_wait_s = SILENT_TIMES * mean_run_s - waited_s
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
        # the attempt that is left counts, as it may have rejecting_nodes its server
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
        pending.tried.append(member.name)
        member.used_s = self.clock()
        member.sent_since += 1
        attempt = pending.current_attempt = Attempt(member)

        def note(reply: Reply) -> None:
            attempt.job = None
            if attempt is pending.current_attempt:
                self._handle_reply(pending, member, reply)
            elif attempt is pending.silent_attempt:
                self._handle_silent_reply(pending, member, reply)

        if member.name == self.local_name:
            job = attempt.job = Job(call, note)
            self.dispatcher.submit(job)
        else:
            if member.link is None:
                self.open_link(member)
            attempt.sequence = member.link.call(call, note)

    def _give_up(self, pending: PendingRequest) -> None:
        """End a request that no further server takes, unless one is at work on it."""
        if pending.silent_attempt is None:
            self.answers.give_up(pending)

    def _handle_silent_reply(
        self, pending: PendingRequest, member: Member, reply: Reply
    ) -> None:
        """Take the answer of a server that was silent; the attempt is counted."""
        pending.silent_attempt = None
        if reply.outcome is not Outcome.NOT_RUN:
            pending.may_have_run = True
        if reply.outcome is Outcome.ANSWERED and reply.status < 500:
            pending.server = member.name
            self.answers.deliver(pending, reply)
        elif pending.current_attempt is None:
            if (
                pending.last_reply is None
                or pending.last_reply.outcome is not Outcome.ANSWERED
            ):
                pending.last_reply = reply
                pending.server = member.name
            self.answers.give_up(pending)

    def _handle_reply(
        self, pending: PendingRequest, member: Member, reply: Reply
    ) -> None:
        pending.current_attempt = None
        if reply.reason is Reason.RETRY_BUDGET:
            self._handle_budget_refusal(pending, member)
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
            # a server that has used up the time it was given would do so again
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
        self.answers.deliver(pending, reply)

    def _handle_refusal(
        self, pending: PendingRequest, member: Member, reply: Reply
    ) -> None:
        pending.refusals += 1
        pending.excluded.add(member.name)
        if reply.reason in (Reason.DRAINING, Reason.NO_SERVER, Reason.SERVER_STARTING):
            # until its next report says otherwise
            member.load.accepting = False
            member.load.reported_s = self.clock()
        if reply.reason is Reason.SERVER_SHED:
            self._handle_rejection(pending, member)
            return
        if pending.refusals >= MAX_REFUSALS or reply.reason in _FINAL_REASONS:
            self._give_up(pending)
            return
        self.metrics.count_retry(reply.reason)
        if reply.reason is Reason.OVERLOAD:
            pending.call.counted_as_demand = True
        self._send(pending)

    def _handle_budget_refusal(self, pending: PendingRequest, member: Member) -> None:
        """Ask one more gate for a repeat, and then end with what came before it."""
        pending.budget_refusals += 1
        pending.excluded.add(member.name)
        self.metrics.count_retry(Reason.RETRY_BUDGET)
        if pending.budget_refusals < MAX_BUDGET_REFUSALS:
            self._send(pending)
        else:
            self._give_up(pending)

    def _handle_rejection(self, pending: PendingRequest, member: Member) -> None:
        """Send a call again that its server has read and not run, if it may be.

        The most servers that one request may be sent to holds, but those that have
        rejected it may be asked again: while all reject many of their calls, a request
        with several would else hardly ever be finished.
        """
        pending.rejections += 1
        pending.rejecting_nodes.add(member.name)
        spent = pending.rejections + pending.attempts >= MAX_REJECTIONS
        if spent or not self._has_time_to_retry(pending.call):
            self._give_up(pending)
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
        pending.call.counted_as_demand = True
        self.metrics.count_retry(Reason.SERVER_SHED)
        self._send(pending)

    def _mark_retry(self, pending: PendingRequest) -> None:
        """Let the next attempt count as a repeat, and the calls of its run too."""
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
        rejecting_nodes = len(pending.rejecting_nodes) + pending.attempts
        if not route.idempotent or rejecting_nodes >= route.max_attempts:
            return False
        return self._has_time_to_retry(pending.call)

    def _is_retry_futile(self, call: Call) -> bool:
        """Tell whether a run that makes calls would only fail by them again."""
        calls = self.admission.graph.calls_per_run.get(call.route.name)
        return bool(calls) and is_in_vain(self.router.list_failure_shares(call.service))

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
        """Give up what was sent and has no reply, which is not heard any more."""
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
