"""The gate beside a backend server: what runs there, waits or is refused."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.http1.client import Break, ClientAnswer
from eelgrassmount.policy.queues import allow_wait, find_patience, find_slack, limit_run
from eelgrassmount.relay.measures import RunMeasures
from eelgrassmount.relay.messages import Fate, Reply
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Collection

    from eelgrassmount.relay.backend import BackendPool, PendingRequest
    from eelgrassmount.relay.budget import RetryBudget
    from eelgrassmount.relay.header_codec import HeaderCodec
    from eelgrassmount.relay.heartbeats import ServerIncarnation
    from eelgrassmount.relay.messages import Call
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.relay.server import LocalServer
    from eelgrassmount.retry.quarantine import Quarantine

CallLater = Callable[[float, Callable[[], None]], object]
# a server that has less time than this left is not begun with
MIN_REMAINING_S = 0.005
# a call that waits so shortly before its deadline is refused: two hops take a few
# milliseconds
EXPIRY_MARGIN_S = 0.012
# past its deadline, a call that has no answer is given up after so long
OVERDUE_S = 0.3
# connections that break so shortly before the server refuses new ones were cut
# by its crash
CRASH_SPAN_S = 1.0
# lines about rejected calls are at least so far apart
SHED_LINE_S = 1.0

_FATES = {
    Break.REFUSED: (Fate.NOT_RUN, Reason.NO_SERVER),
    Break.CLOSED: (Fate.MAY_HAVE_RUN, Reason.SERVER_CRASHED),
    Break.TRUNCATED: (Fate.MAY_HAVE_RUN, Reason.BAD_ANSWER),
    Break.MALFORMED: (Fate.MAY_HAVE_RUN, Reason.BAD_ANSWER),
    Break.CANCELLED: (Fate.MAY_HAVE_RUN, Reason.CANCELLED),
}


@define(eq=False)
class Job:
    """A call at the gate; ``done`` is called once with its reply.

    It is ``outlived`` when the server has started again since it was sent.
    ``given_s`` is the time that the server was given for it.
    """

    call: Call
    done: Callable[[Reply], None]
    sending: PendingRequest | None = None
    started_s: float = 0.0
    given_s: float = 0.0
    ended: bool = False
    overdue: bool = False
    silent: bool = False
    outlived: bool = False

    def was_sent_before(self, now_s: float) -> bool:
        """Tell whether the server could read the call before a time."""
        written = self.sending is not None and self.sending.is_written()
        return written and self.started_s < now_s


@define(eq=False)
class Gate:
    """Gives the server no more calls than it has slots and queues the others.

    The queue is ordered by the time at which each call is due, which comes sooner the
    more urgent its request is. A call that would wait too long is refused at once, so
    that another server can have it, and so is a repeat that the budget doesn't hold.
    ``is_lost_below`` tells whether a call that a run has made failed, or is still open,
    and ``claim_loss`` whether a run has failed by such a call.
    """

    server: LocalServer
    pool: BackendPool
    dialect: HeaderCodec
    quarantine: Quarantine
    clock: Callable[[], float]
    budget: RetryBudget
    ends_chain: Callable[[str], bool] = lambda route_name: True
    find_allowance: Callable[[Route], float] = lambda route: route.objective_s
    find_call_limit: Callable[[str], float] = lambda route_name: math.inf
    on_begin: Callable[[Job], None] = lambda job: None
    on_end: Callable[[Job, bool], None] = lambda job, well: None
    is_lost_below: Callable[[Job], bool] = lambda job: False
    claim_loss: Callable[[Job], bool] = lambda job: False
    on_crash: Callable[[ServerIncarnation, list[Job]], None] = lambda ended, jobs: None
    on_change: Callable[[], None] = lambda: None
    call_later: CallLater = lambda delay_s, action: None
    queued: int = 0
    measures: RunMeasures = field(factory=RunMeasures)
    running: set[Job] = field(factory=set)
    _queue: list[tuple[float, int, Job]] = field(factory=list)
    _waiting: dict[int, int] = field(factory=dict)
    _numbers: itertools.count[int] = field(factory=itertools.count)
    _shed_s: float = -SHED_LINE_S
    _broken: list[tuple[float, Job]] = field(factory=list)

    @property
    def in_flight(self) -> int:
        """Return how many calls the server has now."""
        return len(self.running)

    def offer(self, job: Job) -> None:
        """Run a job now or later, or refuse it."""
        now_s = self.clock()
        reason = self._find_refusal(job.call, now_s)
        if reason is not None:
            self._refuse(job, reason)
            return
        # what one server after the other refuses would count for several: demand for
        # three short servers seemed up to three times what it was
        if not job.call.asked_before:
            self.measures.arrivals += 1
            self.budget.note_request(job.call.service)
        has_room = self.in_flight < self.server.compute_concurrency_limit()
        if not has_room and self._expect_wait(job.call) > self._allow_wait(job.call):
            self._refuse(job, Reason.OVERLOAD)
            return
        if not self._charge(job.call):
            self._refuse(job, Reason.RETRY_BUDGET)
            return
        if has_room:
            self._start(job, now_s)
            return
        self._integrate(now_s)
        route = job.call.route
        slack_s = find_slack(
            route.objective_s,
            self.find_allowance(route),
            self.measures.find_usual(route.name),
        )
        due_s = now_s + slack_s * find_patience(job.call.origin)
        heapq.heappush(self._queue, (due_s, next(self._numbers), job))
        self._count_waiting(job, 1)
        left_s = job.call.deadline_s - now_s - EXPIRY_MARGIN_S
        self.call_later(max(0.0, left_s), lambda: self._expire(job))

    def _expire(self, job: Job) -> None:
        """Refuse a job that still waits shortly before its deadline.

        Whoever waits for it can then say truly that it has not run, which lets clients
        come back also with what must not run twice.
        """
        if job.ended or job.sending is not None or job in self.running:
            return
        self._integrate(self.clock())
        self._count_waiting(job, -1)
        self._refuse(job, Reason.DEADLINE)

    def _charge(self, call: Call) -> bool:
        """Take a repeat out of the retry budget; tell whether it holds one.

        It is held here, where the calls of all nodes come together: of many nodes, each
        has so few requests of a route that its part of a budget is less than a repeat.
        """
        if call.again:
            ends_chain = self.ends_chain(call.route.name)
            return self.budget.take(call.service, call.origin, ends_chain)
        if call.origin.repeated:
            self.budget.note_inherited(call.service)
        return True

    def identify(self, health_path: str) -> None:
        """Ask a server that has not announced itself yet which incarnation it is.

        A node that starts beside a running server would otherwise refuse calls
        until the next heartbeat.
        """

        def note(outcome: ClientAnswer | Break) -> None:
            if isinstance(outcome, ClientAnswer) and outcome.status == 200:
                head = self.dialect.read_answer(outcome.headers)
                if self.server.incarnation is None:
                    self.server.apply_answer_identity(head.instance)
                    known = str(self.server.incarnation)
                    logger.info("server identified", incarnation=known)
                    self.on_change()

        data = self.dialect.write_probe(health_path)
        self.pool.send(self.server.address, data, True, lambda answer: True, note)

    def cancel(self, job: Job) -> None:
        """Give up a job nobody waits for; what must not run twice runs on."""
        if job.ended:
            return
        if job.sending is None:
            self._integrate(self.clock())
            job.ended = True
            self._count_waiting(job, -1)
        elif job.call.route.idempotent:
            self._note_silence(job, self.clock())
            job.sending.cancel()

    def sweep(self) -> None:
        """Give up jobs past their deadline, and count silent ones as failures."""
        now_s = self.clock()
        self._broken = [one for one in self._broken if now_s - one[0] < CRASH_SPAN_S]
        for job in list(self.running):
            self._note_silence(job, now_s)
            if now_s > job.call.deadline_s + OVERDUE_S and job.sending is not None:
                job.overdue = True
                job.sending.cancel()
        self._fill()

    def restart(self, ended: ServerIncarnation, begun_s: float) -> None:
        """Settle what ran on a server that has started again, and begin anew.

        What was sent before ``begun_s`` may have run at the start that ``ended``, or at
        the new one where that still reads it, since both have the identity that the
        call names: so it is neither *not run* nor sent again here. Later calls reached
        the new start and run on; those in the queue go to it.
        """
        running = [job for job in self.running if job.was_sent_before(begun_s)]
        broken = self._take_broken()
        suspects = running + [job for job in broken if job.started_s < begun_s]
        logger.warning(
            "server restarted",
            ended=str(ended),
            incarnation=str(self.server.incarnation),
            cut=len(running),
            queued=self.queued,
        )
        if suspects:
            self.on_crash(ended, suspects)
        # before anything is sent to the new start, as the ends below do
        self.pool.reset()
        self.measures.begin_anew()
        for job in running:
            job.outlived = True
            # the end of one may have ended another
            if job.sending is not None:
                job.sending.cancel()
        self._fill()

    def update_load(self) -> None:
        """Take what arrived and waited since the last time into the mean load."""
        now_s = self.clock()
        self._integrate(now_s)
        self.measures.update_load(self.server.compute_concurrency_limit(), now_s)

    def forget_routes(self, known: Collection[str]) -> None:
        """Forget the routes that have left the configuration, once none runs."""
        running = {job.call.route.name for job in self.running}
        self.measures.keep_routes({*known, *running})

    def _note_silence(self, job: Job, now_s: float) -> None:
        """Count a run as a failure once it takes far longer than usual."""
        patience_s = self.measures.find_patience(job.call.route)
        if job.silent or now_s - job.started_s <= patience_s:
            return
        if not self.is_lost_below(job):
            job.silent = True
            self.measures.count_outcome(True)

    def _integrate(self, now_s: float) -> None:
        self.measures.note_queue(self.queued, now_s)

    def _find_refusal(self, call: Call, now_s: float) -> Reason | None:
        if call.service != self.server.service:
            return Reason.NO_SERVER
        reason = self.server.find_refusal_reason(now_s)
        if reason is not None:
            return reason
        if call.deadline_s - now_s < MIN_REMAINING_S:
            return Reason.DEADLINE
        if call.is_quarantined(self.quarantine, now_s):
            return Reason.QUARANTINED
        return None

    def _count_waiting(self, job: Job, change: int) -> None:
        priority = job.call.origin.priority
        self._waiting[priority] = self._waiting.get(priority, 0) + change
        self.queued += change

    def _expect_wait(self, call: Call) -> float:
        """Return the seconds until a call would start, behind those of its priority."""
        own = call.origin.priority
        ahead = sum(count for one, count in self._waiting.items() if one <= own)
        return (
            self.measures.mean_run_s
            * (ahead + 1)
            / self.server.compute_concurrency_limit()
        )

    def _allow_wait(self, call: Call) -> float:
        run_s = self.measures.find_usual(call.route.name)
        return allow_wait(call.route.objective_s, run_s, call.origin.inner)

    def _refuse(self, job: Job, reason: Reason) -> None:
        job.ended = True
        job.done(Reply(Fate.NOT_RUN, reason))

    def _start(self, job: Job, now_s: float) -> None:
        self._integrate(now_s)
        self.running.add(job)
        job.started_s = now_s
        call = job.call
        left_s = limit_run(
            call.deadline_s - now_s,
            self.find_call_limit(call.route.name),
            self.measures.find_usual(call.route.name),
        )
        given_ms = max(1, int(left_s * 1000))
        job.given_s = given_ms / 1000
        self.on_begin(job)
        data = self.dialect.write_request(
            call.method,
            call.target,
            call.head,
            call.body,
            given_ms,
            call.caller_service,
            self.server.incarnation.identity,
        )
        request_id = call.request_id.encode("latin-1")

        def accepts(answer: ClientAnswer) -> bool:
            found = self.dialect.find_request_id(answer.headers)
            return not found or found == request_id

        job.sending = self.pool.send(
            self.server.address,
            data,
            not call.route.idempotent,
            accepts,
            lambda outcome: self._end(job, outcome),
            call.method == "HEAD",
        )

    def _end(self, job: Job, outcome: ClientAnswer | Break) -> None:
        now_s = self.clock()
        self._integrate(now_s)
        self.running.discard(job)
        reply = self._judge(job, outcome, now_s)
        failed = reply.fate is not Fate.ANSWERED or reply.status >= 500
        lost = failed and self.claim_loss(job)
        self.on_end(job, not failed)
        job.ended = True
        # the sending leads back to the job: without this, ended jobs and their bodies
        # stay until the collector runs
        job.sending = None
        self._learn(job, reply, now_s, failed, lost)
        self._fill()
        job.done(reply)

    def _judge(self, job: Job, outcome: ClientAnswer | Break, now_s: float) -> Reply:
        if isinstance(outcome, ClientAnswer):
            return self._judge_answer(outcome)
        fate, reason = _FATES[outcome]
        if job.overdue:
            reason = Reason.DEADLINE
        elif job.outlived:
            reason = Reason.SERVER_CRASHED
        if outcome is Break.REFUSED:
            self._note_unreachable(now_s)
        elif outcome is Break.CLOSED:
            self._broken.append((now_s, job))
        return Reply(fate, reason)

    def _judge_answer(self, answer: ClientAnswer) -> Reply:
        head = self.dialect.read_answer(answer.headers)
        if answer.status == 421:
            self.server.apply_answer_identity(head.instance)
            return Reply(Fate.NOT_RUN, Reason.NO_SERVER)
        if head.not_run:
            self._note_shed()
            return Reply(Fate.NOT_RUN, Reason.SERVER_SHED)
        if 200 <= answer.status < 300 and not head.signed:
            return Reply(Fate.MAY_HAVE_RUN, Reason.BAD_ANSWER)
        return Reply(
            Fate.ANSWERED, None, answer.status, head.forwarded_headers, answer.body
        )

    def _note_shed(self) -> None:
        now_s = self.clock()
        if now_s - self._shed_s > SHED_LINE_S:
            logger.info(
                "server rejects calls",
                in_flight=self.in_flight,
                limit=self.server.compute_concurrency_limit(),
            )
            self._shed_s = now_s

    def _note_unreachable(self, now_s: float) -> None:
        """Suspect what ran when connections broke, now that the server is gone."""
        self.server.mark_unreachable(now_s)
        self.on_change()
        suspects = self._take_broken()
        if suspects:
            self.on_crash(self.server.incarnation, suspects)

    def _take_broken(self) -> list[Job]:
        """Return what ran on connections that have just broken, once."""
        now_s = self.clock()
        found = [job for at_s, job in self._broken if now_s - at_s < CRASH_SPAN_S]
        self._broken.clear()
        return found

    def _learn(
        self, job: Job, reply: Reply, now_s: float, failed: bool, lost: bool
    ) -> None:
        if job.outlived:
            return
        if reply.reason is Reason.SERVER_SHED:
            # it has slots left as far as is known, and yet runs nothing
            self.measures.count_outcome(True)
        if reply.fate is Fate.NOT_RUN or reply.reason is Reason.CANCELLED:
            return
        if self.quarantine.suspects and reply.fate is Fate.ANSWERED:
            self.quarantine.note_success(job.call.find_digest(), now_s)
        if lost:
            self.measures.count_lost()
        elif not (failed and job.silent):
            self.measures.count_outcome(failed)
        route_name = job.call.route.name
        if failed and not job.overdue:
            return
        allowed_s = self.find_allowance(job.call.route)
        self.measures.add_run(route_name, now_s - job.started_s, allowed_s)

    def _fill(self) -> None:
        """Start or refuse queued jobs now that there may be room."""
        now_s = self.clock()
        limit = self.server.compute_concurrency_limit()
        while self._queue and self.in_flight < limit:
            job = heapq.heappop(self._queue)[-1]
            if job.ended:
                continue
            self._integrate(now_s)
            self._count_waiting(job, -1)
            reason = self._find_late_refusal(job.call, now_s)
            if reason is None:
                self._start(job, now_s)
            else:
                self._refuse(job, reason)

    def _find_late_refusal(self, call: Call, now_s: float) -> Reason | None:
        """Return why a queued call can't run; a draining server still takes it."""
        reason = self._find_refusal(call, now_s)
        return None if reason is Reason.DRAINING else reason
