"""Dispatches calls to the local backend server within its concurrency limit."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure
from eelgrassmount.policy.rate_limits import compute_usable_slots
from eelgrassmount.policy.scheduling import (
    compute_due_factor,
    compute_max_wait_s,
    compute_run_timeout_s,
    compute_slack_s,
)
from eelgrassmount.policy.work_stealing import count_kept_calls
from eelgrassmount.relay.broken_connections import BrokenConnections
from eelgrassmount.relay.call_queue import CallQueue
from eelgrassmount.relay.measures import RunMeasures
from eelgrassmount.relay.messages import Outcome, Reply
from eelgrassmount.relay.server_identity import Source
from eelgrassmount.relay.server_statements import apply_statements
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection

    from eelgrassmount.relay.backend import BackendPool
    from eelgrassmount.relay.budget import RetryBudget
    from eelgrassmount.relay.header_codec import AnswerHead, HeaderCodec
    from eelgrassmount.relay.heartbeats import ServerIncarnation
    from eelgrassmount.relay.job import Job
    from eelgrassmount.relay.messages import Call
    from eelgrassmount.relay.routes import Route
    from eelgrassmount.relay.server import LocalServer
    from eelgrassmount.retry.quarantine import Quarantine

CallLater = Callable[[float, Callable[[], None]], "asyncio.Handle | None"]
# Calls with less time before their deadline are not run.
MIN_RUN_TIME_S = 0.005
# Queued calls are refused this long before their deadline, so that the reply arrives
# in time.
EXPIRY_MARGIN_S = 0.012
# Overdue calls are cancelled this long after their deadline.
DEADLINE_GRACE_S = 0.3
REJECTION_LOG_INTERVAL_S = 1.0
# Shortest time between two attempts to start calls held back by the rate limit.
MIN_START_DELAY_S = 0.001
# How long calls may wait for a server that has announced its stop.
MAX_LAST_WAIT_S = 1.0
# Longest wait that a refusal names.
MAX_WAIT_S = 600.0

_OUTCOMES = {
    ExchangeFailure.REFUSED: (Outcome.NOT_RUN, Reason.NO_SERVER),
    ExchangeFailure.CLOSED: (Outcome.MAY_HAVE_RUN, Reason.SERVER_CRASHED),
    ExchangeFailure.TRUNCATED: (Outcome.MAY_HAVE_RUN, Reason.BAD_ANSWER),
    ExchangeFailure.MALFORMED: (Outcome.MAY_HAVE_RUN, Reason.BAD_ANSWER),
    ExchangeFailure.OVERLONG: (Outcome.MAY_HAVE_RUN, Reason.BAD_ANSWER),
    ExchangeFailure.CANCELLED: (Outcome.MAY_HAVE_RUN, Reason.CANCELLED),
}


@define(eq=False, repr=False)
class Dispatcher:
    """Runs as many calls at the server as it has slots, and queues the others.

    If the server names a rate limit, no more calls start than it allows. The queue is
    ordered by due time, which is earlier for urgent requests. A call that would wait
    too long is refused at once, so that another server can run it; so is a retry beyond
    the retry budget. ``has_lost_call`` returns whether a downstream call of a run has
    failed or is still open, ``claim_lost_call`` whether a run failed because of such a
    call. ``on_answer`` is called with whether the server has rejected a call.
    ``on_free_slots`` is called when slots are free and no call waits.
    ``on_invalid_header`` is called with the server's identity and the name and
    value of a header that can't be parsed.
    """

    server: LocalServer
    pool: BackendPool
    header_codec: HeaderCodec
    quarantine: Quarantine
    clock: Callable[[], float]
    budget: RetryBudget
    is_leaf: Callable[[str], bool] = lambda route_name: True
    find_time_allowance: Callable[[Route], float] = lambda route: route.objective_s
    find_call_timeout: Callable[[str], float] = lambda route_name: math.inf
    on_run_start: Callable[[Job], None] = lambda job: None
    on_run_end: Callable[[Job, bool], None] = lambda job, succeeded: None
    has_lost_call: Callable[[Job], bool] = lambda job: False
    claim_lost_call: Callable[[Job], bool] = lambda job: False
    on_crash: Callable[[ServerIncarnation, list[Job]], None] = lambda ended, jobs: None
    on_change: Callable[[], None] = lambda: None
    on_answer: Callable[[bool], None] = lambda rejected: None
    on_free_slots: Callable[[], None] = lambda: None
    on_invalid_header: Callable[[str, str, str], None] = lambda server, name, text: None
    call_later: CallLater = lambda delay_s, action: None
    measures: RunMeasures = field(factory=RunMeasures)
    running: set[Job] = field(factory=set)
    _queue: CallQueue = field(factory=CallQueue)
    _start_scheduled: bool = False
    _leaving_since_s: float | None = None
    _rejection_logged_s: float = -REJECTION_LOG_INTERVAL_S
    _broken_connections: BrokenConnections = field(factory=BrokenConnections)

    @property
    def in_flight(self) -> int:
        """Return the number of calls running at the server."""
        return len(self.running)

    @property
    def queued(self) -> int:
        """Return the number of calls waiting for the server."""
        return len(self._queue)

    def compute_usable_slots(self) -> float:
        """Return how many calls can run at once on average, under any rate limit."""
        return compute_usable_slots(
            self.server.compute_concurrency_limit(),
            self.server.rate_limit.per_s,
            self.measures.mean_run_s,
        )

    def submit(self, job: Job) -> None:
        """Run, queue or refuse a job."""
        now_s = self.clock()
        reason = self._find_refusal(job.call, now_s)
        if reason is not None:
            self._refuse(job, reason)
            return
        if self._queue:
            # Waiting calls precede this one if a slot or the rate limit allows a start.
            self._start_queued()
        # Calls that several servers refuse count as demand only once: demand for three
        # overloaded servers seemed up to three times what it was.
        if not job.call.counted_as_demand:
            self.measures.arrivals += 1
            self.budget.count_request(job.call.service)
        may_start = self._may_start(now_s)
        reason = None if may_start else self._find_excessive_wait(job.call, now_s)
        if reason is not None:
            self._refuse(job, reason)
            return
        if not self._take_retry(job.call):
            self._refuse(job, Reason.RETRY_BUDGET)
            return
        if may_start:
            self._start(job, now_s)
            return
        self._update_queue_time(now_s)
        route = job.call.route
        slack_s = compute_slack_s(
            route.objective_s,
            self.find_time_allowance(route),
            self.measures.get_mean_run_s(route.name),
        )
        due_s = now_s + slack_s * compute_due_factor(job.call.origin)
        self._queue.push(job, due_s)
        self._schedule_start(now_s)
        remaining_s = job.call.deadline_s - now_s - EXPIRY_MARGIN_S
        job.expiry = self.call_later(max(0.0, remaining_s), lambda: self._expire(job))

    def _expire(self, job: Job) -> None:
        """Refuse a job that is still queued shortly before its deadline.

        The caller then learns in time that the call has not run, and may retry it even
        if it is not idempotent.
        """
        self._update_queue_time(self.clock())
        if self._queue.remove(job):
            self._refuse(job, Reason.DEADLINE)

    def _take_retry(self, call: Call) -> bool:
        """Return whether the retry budget allows a call, and charge it to the budget.

        The budget is kept at the receiving node: each sender has too few requests of a
        route for a retry of its own.
        """
        if call.is_retry:
            is_leaf = self.is_leaf(call.route.name)
            return self.budget.take(call.service, call.origin, is_leaf)
        if call.origin.within_retry:
            self.budget.count_inherited_retry(call.service)
        return True

    def cancel(self, job: Job) -> None:
        """Cancel a job; calls that have started run on if not idempotent."""
        if job.ended:
            return
        if job.exchange is None:
            self._update_queue_time(self.clock())
            job.ended = True
            job.cancel_expiry()
            self._queue.remove(job)
        elif job.call.route.idempotent:
            self._count_if_silent(job, self.clock())
            job.exchange.cancel()

    def sweep(self) -> None:
        """Cancel overdue jobs, and count silent ones as failures."""
        now_s = self.clock()
        self._broken_connections.discard_old(now_s)
        for job in list(self.running):
            self._count_if_silent(job, now_s)
            if (
                now_s > job.call.deadline_s + DEADLINE_GRACE_S
                and job.exchange is not None
            ):
                job.overdue = True
                job.exchange.cancel()
        self._refuse_late_for_stop(now_s)
        self._start_queued()

    def _refuse_late_for_stop(self, now_s: float) -> None:
        """Refuse calls that still wait some time after the server announced its stop.

        A rate limit may keep calls waiting beyond the time that the server allows for
        its last ones.
        """
        if not self.server.is_leaving():
            self._leaving_since_s = None
            return
        if self._leaving_since_s is None:
            self._leaving_since_s = now_s
        if now_s - self._leaving_since_s < MAX_LAST_WAIT_S:
            return
        self._refuse_queued(Reason.DRAINING)

    def _refuse_queued(self, reason: Reason) -> None:
        """Refuse all waiting calls."""
        self._update_queue_time(self.clock())
        for job in self._queue.list_jobs():
            # A refusal may lead to another call, which may start waiting ones.
            if self._queue.remove(job):
                self._refuse(job, reason)

    def move_queued(self, count: int, node: str) -> int:
        """Give up queued calls for free slots of another node; return their number.

        The calls that would wait longest go first. Calls that were moved or refused
        before stay, so that no call moves to and fro, and retries stay with the budget
        that they were charged to.
        """
        kept = count_kept_calls(
            self.server.compute_concurrency_limit(), self.measures.mean_run_s
        )
        movable = [job for job in self._queue.list_jobs()[kept:] if _may_move(job.call)]
        moved = movable[len(movable) - min(count, len(movable)) :]
        self._update_queue_time(self.clock())
        for job in moved:
            # The reply to one call may have ended another.
            if self._queue.remove(job):
                job.ended = True
                job.done(Reply(Outcome.NOT_RUN, Reason.MOVED, moved_to=node))
        return len(moved)

    def handle_restart(self, ended: ServerIncarnation, restarted_s: float) -> None:
        """Finish the calls that were lost in a restart of the server.

        Calls sent before ``restarted_s`` may have run at the incarnation ``ended`` or
        at the new one, so that they are neither reported as *not run* nor retried.
        Later calls have reached the new incarnation and continue; queued calls are sent
        to it.
        """
        running = [job for job in self.running if job.was_sent_before(restarted_s)]
        broken = self._broken_connections.pop_all(self.clock())
        suspects = running + [job for job in broken if job.started_s < restarted_s]
        logger.warning(
            "server restarted",
            ended=str(ended),
            incarnation=str(self.server.incarnation),
            cut=len(running),
            queued=self.queued,
        )
        if suspects:
            self.on_crash(ended, suspects)
        # Must precede the cancellations, which start queued calls.
        self.pool.reset()
        self.measures.reset()
        for job in running:
            job.server_restarted = True
            # Cancelling one call may have ended another.
            if job.exchange is not None:
                job.exchange.cancel()
        self._start_queued()

    def update_load(self) -> None:
        """Update the mean load with the arrivals and waits since the last update."""
        now_s = self.clock()
        self._update_queue_time(now_s)
        self.measures.update_load(self.compute_usable_slots(), now_s)

    def keep_routes(self, known: Collection[str]) -> None:
        """Remove the measures of routes that are neither ``known`` nor running."""
        running = {job.call.route.name for job in self.running}
        self.measures.keep_routes({*known, *running})

    def _count_if_silent(self, job: Job, now_s: float) -> None:
        """Count a run as a failure once it takes far longer than usual."""
        silence_timeout_s = self.measures.compute_silence_timeout_s(job.call.route)
        if job.silent or now_s - job.started_s <= silence_timeout_s:
            return
        if not self.has_lost_call(job):
            job.silent = True
            self.measures.record_outcome(True)

    def _update_queue_time(self, now_s: float) -> None:
        self.measures.record_queue_length(len(self._queue), now_s)

    def _find_refusal(self, call: Call, now_s: float) -> Reason | None:
        if call.service != self.server.service:
            return Reason.NO_SERVER
        reason = self.server.find_refusal_reason(now_s)
        if reason is not None:
            return reason
        if call.deadline_s - now_s < MIN_RUN_TIME_S:
            return Reason.DEADLINE
        if call.is_quarantined(self.quarantine, now_s):
            return Reason.QUARANTINED
        return None

    def _may_start(self, now_s: float) -> bool:
        """Return whether a slot is free and the rate limit allows another call."""
        return (
            len(self.running) < self.server.compute_concurrency_limit()
            and self.server.rate_limit.compute_wait_s(now_s) <= 0.0
        )

    def _find_excessive_wait(self, call: Call, now_s: float) -> Reason | None:
        """Return why a call would wait too long behind calls as urgent or more so."""
        ahead = self._queue.count_ahead(call.origin.priority)
        max_wait_s = self._find_max_wait(call)
        if self._compute_rate_wait_s(call, now_s) > max_wait_s:
            return Reason.RATE_LIMIT
        slots = self.server.compute_concurrency_limit()
        if self.measures.mean_run_s * (ahead + 1) / slots > max_wait_s:
            return Reason.OVERLOAD
        return None

    def _find_max_wait(self, call: Call) -> float:
        run_s = self.measures.get_mean_run_s(call.route.name)
        return compute_max_wait_s(call.route.objective_s, run_s, call.origin.downstream)

    def _refuse(self, job: Job, reason: Reason) -> None:
        job.ended = True
        job.cancel_expiry()
        reply = Reply(Outcome.NOT_RUN, reason)
        if reason is Reason.RATE_LIMIT:
            reply.wait_s = self._compute_rate_wait_s(job.call, self.clock())
        job.done(reply)

    def _compute_rate_wait_s(self, call: Call, now_s: float) -> float:
        """Return when the rate limit allows a call behind calls as urgent or more."""
        ahead = self._queue.count_ahead(call.origin.priority)
        wait_s = self.server.rate_limit.compute_wait_s(now_s, ahead)
        return min(MAX_WAIT_S, wait_s)

    def _start(self, job: Job, now_s: float) -> None:
        self._update_queue_time(now_s)
        self.server.rate_limit.take(now_s)
        self.running.add(job)
        job.cancel_expiry()
        job.started_s = now_s
        job.incarnation = self.server.incarnation
        call = job.call
        remaining_s = compute_run_timeout_s(
            call.deadline_s - now_s,
            self.find_call_timeout(call.route.name),
            self.measures.get_mean_run_s(call.route.name),
        )
        timeout_ms = max(1, int(remaining_s * 1000))
        job.timeout_s = timeout_ms / 1000
        self.on_run_start(job)
        data = self.header_codec.write_request(
            call.method,
            call.target,
            call.head,
            call.body,
            timeout_ms,
            call.caller_service,
            self.server.incarnation.identity,
        )
        job.exchange = self.pool.send(
            self.server.address,
            data,
            not call.route.idempotent,
            call.request_id.encode("latin-1"),
            lambda result: self._finish(job, result),
            call.method == "HEAD",
        )

    def _finish(self, job: Job, result: ClientAnswer | ExchangeFailure) -> None:
        now_s = self.clock()
        self._update_queue_time(now_s)
        self.running.discard(job)
        reply = self._create_reply(job, result, now_s)
        failed = reply.outcome is not Outcome.ANSWERED or reply.status >= 500
        lost = failed and self.claim_lost_call(job)
        self.on_run_end(job, not failed)
        job.ended = True
        # Breaks a reference cycle that would keep jobs and their bodies in memory.
        job.exchange = None
        self._update_measures(job, reply, now_s, failed, lost)
        self._start_queued()
        if not self.queued:
            self.on_free_slots()
        job.done(reply)

    def _create_reply(
        self, job: Job, result: ClientAnswer | ExchangeFailure, now_s: float
    ) -> Reply:
        if isinstance(result, ClientAnswer):
            return self._create_answer_reply(job, result, now_s)
        outcome, reason = _OUTCOMES[result]
        if job.overdue:
            reason = Reason.DEADLINE
        elif job.server_restarted:
            reason = Reason.SERVER_CRASHED
        if result is ExchangeFailure.REFUSED:
            self._handle_unreachable(now_s)
        elif result is ExchangeFailure.CLOSED:
            self._broken_connections.add(job, now_s)
        return Reply(outcome, reason)

    def _create_answer_reply(
        self, job: Job, answer: ClientAnswer, now_s: float
    ) -> Reply:
        head = self.header_codec.read_answer(answer.headers)
        if answer.status == 421:
            self._apply_other_identity(job, head.instance)
            return Reply(Outcome.NOT_RUN, Reason.NO_SERVER)
        self._apply_statements(job, head, now_s)
        self.on_answer(head.not_run)
        if head.not_run:
            self._log_rejection()
            return Reply(Outcome.NOT_RUN, Reason.SERVER_SHED)
        if 200 <= answer.status < 300 and not head.signed:
            return Reply(Outcome.MAY_HAVE_RUN, Reason.BAD_ANSWER)
        return Reply(
            Outcome.ANSWERED, None, answer.status, head.forwarded_headers, answer.body
        )

    def _apply_other_identity(self, job: Job, identity: str) -> None:
        """Apply the identity that a rejected call has found at the address."""
        current = self.server.incarnation
        # The answer may be older than a heartbeat that has come since.
        is_outdated = current.identity != job.incarnation.identity
        if is_outdated:
            return
        if not self.server.apply_answer_identity(identity, Source.REJECTION):
            return
        logger.info(
            "another server answers",
            incarnation=str(self.server.incarnation),
            expected=str(current),
            evidence=self.server.evidence.name.lower(),
            leaving=self.server.is_leaving(),
        )
        if self.server.is_leaving():
            # They have waited for the server that seemed to be there.
            self._refuse_queued(Reason.DRAINING)
        self.on_change()

    def _apply_statements(self, job: Job, head: AnswerHead, now_s: float) -> None:
        """Apply what an answer says about its server, unless that has been replaced."""
        current = self.server.incarnation
        if job.server_restarted or current.identity != job.incarnation.identity:
            return
        for name, value in head.invalid_headers:
            self.on_invalid_header(
                current.identity, name.decode("latin-1"), value.decode("latin-1")
            )
        previous_limit = self.server.rate_limit.per_s
        if apply_statements(self.server, head, job.started_s, now_s):
            self.on_change()
        if self.server.rate_limit.per_s != previous_limit:
            self._refuse_excess(now_s)

    def _refuse_excess(self, now_s: float) -> None:
        """Refuse waiting calls that would wait too long under a changed rate limit."""
        ahead = 0
        for job in self._queue.list_jobs():
            wait_s = self.server.rate_limit.compute_wait_s(now_s, ahead)
            if wait_s <= self._find_max_wait(job.call):
                ahead += 1
                continue
            self._update_queue_time(now_s)
            # A refusal may lead to another call, which may start waiting ones.
            if self._queue.remove(job):
                self._refuse(job, Reason.RATE_LIMIT)

    def _log_rejection(self) -> None:
        now_s = self.clock()
        if now_s - self._rejection_logged_s > REJECTION_LOG_INTERVAL_S:
            logger.info(
                "server rejects calls",
                in_flight=self.in_flight,
                limit=self.server.compute_concurrency_limit(),
            )
            self._rejection_logged_s = now_s

    def _handle_unreachable(self, now_s: float) -> None:
        """Report the calls on recently broken connections as suspects of a crash."""
        self.server.mark_unreachable(now_s)
        self.on_change()
        suspects = self._broken_connections.pop_all(now_s)
        if suspects:
            self.on_crash(self.server.incarnation, suspects)

    def _update_measures(
        self, job: Job, reply: Reply, now_s: float, failed: bool, lost: bool
    ) -> None:
        if job.server_restarted:
            return
        if reply.reason is Reason.SERVER_SHED:
            # The server rejects calls although it has free slots.
            self.measures.record_outcome(True)
        if reply.outcome is Outcome.NOT_RUN or reply.reason is Reason.CANCELLED:
            return
        if self.quarantine.suspects and reply.outcome is Outcome.ANSWERED:
            self.quarantine.record_success(job.call.find_digest(), now_s)
        if lost:
            self.measures.record_lost_run()
        elif not (failed and job.silent):
            self.measures.record_outcome(failed)
        route_name = job.call.route.name
        if failed and not job.overdue:
            return
        allowance_s = self.find_time_allowance(job.call.route)
        self.measures.add_run(route_name, now_s - job.started_s, allowance_s)

    def _start_queued(self) -> None:
        """Start or refuse queued jobs while slots and the rate limit allow it."""
        now_s = self.clock()
        self._update_queue_time(now_s)
        if not self._queue and self.server.rate_limit.per_s is None:
            return
        while self._may_start(now_s):
            job = self._queue.pop()
            if job is None:
                break
            reason = self._find_queued_refusal(job.call, now_s)
            if reason is None:
                self._start(job, now_s)
            else:
                self._refuse(job, reason)

        self._schedule_start(now_s)

    def _schedule_start(self, now_s: float) -> None:
        """Start queued jobs as soon as the rate limit allows the next one."""
        wait_s = self.server.rate_limit.compute_wait_s(now_s)
        if wait_s <= 0.0 or not self.queued or self._start_scheduled:
            return

        def start() -> None:
            self._start_scheduled = False
            self._start_queued()

        self._start_scheduled = True
        self.call_later(max(MIN_START_DELAY_S, wait_s), start)

    def _find_queued_refusal(self, call: Call, now_s: float) -> Reason | None:
        """Return why a queued call cannot run; draining servers still run it."""
        reason = self._find_refusal(call, now_s)
        return None if reason is Reason.DRAINING else reason


def _may_move(call: Call) -> bool:
    is_charged = call.is_retry or call.origin.within_retry
    return not is_charged and not call.counted_as_demand
