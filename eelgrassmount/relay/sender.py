"""The sending of requests to servers, and again where that is allowed."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Protocol

from attrs import define, evolve, field

from eelgrassmount.policy.repeats import is_in_vain
from eelgrassmount.relay.gate import Job
from eelgrassmount.relay.measures import SILENCE_OBJECTIVE_SHARE, SILENCE_RUN_FACTOR
from eelgrassmount.relay.messages import Call, Fate, Reply
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.call_attribution import DownstreamCall
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.gate import Gate
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
TIMED_OUT = 504
# time that a call must have left to be sent again
REPEAT_ROOM_S = 0.02


# reasons for which no other node would take a call either
_FINAL = (Reason.QUARANTINED, Reason.DEADLINE)


@define(eq=False)
class Sending:
    """One sending of a request, to a server beside this node or elsewhere."""

    member: Member
    job: Job | None = None
    sequence: int = 0


@define(eq=False)
class Flow:
    """One request while it has no answer.

    ``made`` names the run that has made it, if it is a call of the server here, and
    ``team`` is that of its client, if it counts for a quota.
    ``last`` is the latest reply and ``server`` the node that gave it; ``attempts``
    counts the sendings that may have reached a server, ``refusals`` those that have
    not, of which servers gave ``rejections``, and ``budget_refusals`` the gates that
    held no repeat for it; ``reached`` names the nodes whose servers
    have read the call. ``tried`` names the nodes that were asked, in their order, and
    ``excluded`` those that are not to be asked again. ``current`` is the latest
    sending. ``spare`` is one whose server was silent when another was asked: its answer
    counts if it comes first.
    """

    exchange: Exchange
    call: Call
    made: DownstreamCall | None = None
    team: Team | None = None
    timer: asyncio.TimerHandle | None = None
    current: Sending | None = None
    spare: Sending | None = None
    attempts: int = 0
    refusals: int = 0
    rejections: int = 0
    budget_refusals: int = 0
    may_have_run: bool = False
    ended: bool = False
    excluded: set[str] = field(factory=set)
    reached: set[str] = field(factory=set)
    tried: list[str] = field(factory=list)
    last: Reply | None = None
    server: str = ""


class Answers(Protocol):
    """Gives a request its one answer."""

    def deliver(self, flow: Flow, reply: Reply) -> None:
        """Hand the answer of a server on."""

    def give_up(self, flow: Flow) -> None:
        """Answer a request that no server answers."""

    def time_out(self, flow: Flow) -> None:
        """Answer a request at its deadline."""


@define(eq=False)
class Sender:
    """Sends each request to a server until it has its answer.

    A call is sent again when it has certainly not run, or when it may run twice. The
    gate that it comes to refuses it unless the retry budget holds it.
    """

    own_name: str
    router: Router
    gate: Gate
    admission: Admission
    decisions: DecisionLog
    metrics: RelayMetrics
    clock: Callable[[], float]
    open_link: Callable[[Member], None]
    answers: Answers = field(init=False)

    def begin(self, flow: Flow) -> None:
        """Send a request to a server, and again where that is allowed."""
        call = flow.call
        if call.route.idempotent:
            self._wake(flow, SILENCE_OBJECTIVE_SHARE * call.route.objective_s)
        else:
            self._wake(flow, math.inf)
        self._send(flow)

    def _wake(self, flow: Flow, patience_s: float) -> None:
        """Look at a flow again after its patience, or at its deadline if sooner."""
        remaining_s = max(0.0, flow.call.deadline_s - self.clock())
        loop = asyncio.get_running_loop()
        if patience_s < remaining_s:
            flow.timer = loop.call_later(patience_s, self._leave_silent, flow)
        else:
            flow.timer = loop.call_later(remaining_s, self.answers.time_out, flow)

    def _leave_silent(self, flow: Flow) -> None:
        """Ask another server when the one that was asked stays silent.

        Not under overload, when all are slow and each sending more makes it worse.
        """
        call = flow.call
        usual_s = self.router.find_usual(call.service, call.route)
        waited_s = self.clock() - call.arrived_s
        missing_s = SILENCE_RUN_FACTOR * usual_s - waited_s
        if missing_s > 0.0:
            self._wake(flow, missing_s)
            return
        self._wake(flow, math.inf)
        current = flow.current
        if current is None or self.admission.find_level(call.service) < 1.0:
            return
        member = current.member
        if not self.router.has_choice(call.service, {*flow.excluded, member.name}):
            return
        # the sending that is left counts, as it may have reached its server
        attempts = flow.attempts + 1
        if attempts >= call.route.max_attempts or not self._may_send_again(call):
            return
        flow.attempts = attempts
        flow.spare = current
        flow.current = None
        self._repeat(flow, member, Reason.SERVER_SILENT)

    def _send(self, flow: Flow) -> None:
        call = flow.call
        member = self.router.choose(call.service, call.route, flow.excluded)
        if member is None:
            self._give_up(flow)
            return
        flow.tried.append(member.name)
        member.last_used_s = self.clock()
        member.sent_since_report += 1
        sending = flow.current = Sending(member)

        def note(reply: Reply) -> None:
            sending.job = None
            if sending is flow.current:
                self._note_reply(flow, member, reply)
            elif sending is flow.spare:
                self._note_spare(flow, member, reply)

        if member.name == self.own_name:
            job = sending.job = Job(call, note)
            self.gate.offer(job)
        else:
            if member.link is None:
                self.open_link(member)
            sending.sequence = member.link.call(call, note)

    def _give_up(self, flow: Flow) -> None:
        """End a request that no further server takes, unless one is at work on it."""
        if flow.spare is None:
            self.answers.give_up(flow)

    def _note_spare(self, flow: Flow, member: Member, reply: Reply) -> None:
        """Take the answer of a server that was silent; the sending is counted."""
        flow.spare = None
        if reply.fate is not Fate.NOT_RUN:
            flow.may_have_run = True
        if reply.fate is Fate.ANSWERED and reply.status < 500:
            flow.server = member.name
            self.answers.deliver(flow, reply)
        elif flow.current is None:
            if flow.last is None or flow.last.fate is not Fate.ANSWERED:
                flow.last = reply
                flow.server = member.name
            self.answers.give_up(flow)

    def _note_reply(self, flow: Flow, member: Member, reply: Reply) -> None:
        flow.current = None
        if reply.reason is Reason.RETRY_BUDGET:
            self._note_budget_spent(flow, member)
            return
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
            # a server that has used up the time it was given would do so again
            hopeless = reply.status == TIMED_OUT or self._is_in_vain(flow.call)
            if not hopeless and self._may_repeat(flow):
                self._repeat(flow, member, f"status-{reply.status}")
            else:
                self._give_up(flow)
            return
        size_bytes = len(flow.call.body) + len(reply.body)
        self.router.note_size(flow.call.route.name, size_bytes)
        self.answers.deliver(flow, reply)

    def _note_refusal(self, flow: Flow, member: Member, reply: Reply) -> None:
        flow.refusals += 1
        flow.excluded.add(member.name)
        if reply.reason in (Reason.DRAINING, Reason.NO_SERVER, Reason.SERVER_STARTING):
            # until its next report says otherwise
            member.load.accepting = False
            member.load.reported_s = self.clock()
        if reply.reason is Reason.SERVER_SHED:
            self._note_rejection(flow, member)
            return
        if flow.refusals >= MAX_REFUSALS or reply.reason in _FINAL:
            self._give_up(flow)
            return
        self.metrics.count_retry(reply.reason)
        if reply.reason is Reason.OVERLOAD:
            flow.call.asked_before = True
        self._send(flow)

    def _note_budget_spent(self, flow: Flow, member: Member) -> None:
        """Ask one more gate for a repeat, and then end with what came before it."""
        flow.budget_refusals += 1
        flow.excluded.add(member.name)
        self.metrics.count_retry(Reason.RETRY_BUDGET)
        if flow.budget_refusals < MAX_BUDGET_REFUSALS:
            self._send(flow)
        else:
            self._give_up(flow)

    def _note_rejection(self, flow: Flow, member: Member) -> None:
        """Send a call again that its server has read and not run, if it may be.

        The most servers that one request may be sent to holds, but those that have
        rejected it may be asked again: while all reject many of their calls, a request
        with several would else hardly ever be finished.
        """
        flow.rejections += 1
        flow.reached.add(member.name)
        spent = flow.rejections + flow.attempts >= MAX_REJECTIONS
        if spent or not self._may_send_again(flow.call):
            self._give_up(flow)
            return
        if len(flow.reached) + flow.attempts >= flow.call.route.max_attempts:
            service = flow.call.service
            flow.excluded = self.router.list_others(service, flow.reached)
        self._mark_repeated(flow)
        flow.call.asked_before = True
        self.metrics.count_retry(Reason.SERVER_SHED)
        self._send(flow)

    def _mark_repeated(self, flow: Flow) -> None:
        """Let the next sending count as a repeat, and the calls of its run too."""
        call = flow.call
        call.again = True
        call.origin = evolve(call.origin, repeated=True)

    def _note_loss(self, flow: Flow, member: Member, reply: Reply) -> None:
        flow.attempts += 1
        flow.may_have_run = True
        if self._may_repeat(flow):
            self._repeat(flow, member, reply.reason)
        else:
            self._give_up(flow)

    def _may_repeat(self, flow: Flow) -> bool:
        route = flow.call.route
        reached = len(flow.reached) + flow.attempts
        if not route.idempotent or reached >= route.max_attempts:
            return False
        return self._may_send_again(flow.call)

    def _is_in_vain(self, call: Call) -> bool:
        """Tell whether a run that makes calls would only fail by them again."""
        calls = self.admission.graph.vectors.get(call.route.name)
        return bool(calls) and is_in_vain(self.router.list_failures(call.service))

    def _may_send_again(self, call: Call) -> bool:
        return call.deadline_s - self.clock() >= REPEAT_ROOM_S

    def _repeat(self, flow: Flow, member: Member, reason: str) -> None:
        flow.excluded.add(member.name)
        self._mark_repeated(flow)
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

    def cancel(self, flow: Flow) -> None:
        """Give up what was sent and has no reply, which is not heard any more."""
        sendings = (flow.current, flow.spare)
        flow.current = None
        flow.spare = None
        for sending in sendings:
            if sending is not None:
                self._cancel(sending)

    def _cancel(self, sending: Sending) -> None:
        job = sending.job
        link = sending.member.link
        sending.job = None
        if job is not None:
            self.gate.cancel(job)
        elif link is not None:
            link.cancel(sending.sequence)
