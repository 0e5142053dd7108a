"""Execution of calls on the backend server of this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.calls.request import Outcome
from eelgrassmount.load.port import Sample, SampleKind
from eelgrassmount.members.table import ServerState
from eelgrassmount.verdict import (
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    downgrade_verdict,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.calls.request import Call
    from eelgrassmount.calls.table import CallRecord, CallTable
    from eelgrassmount.context import Context
    from eelgrassmount.edge.server import ServerClient
    from eelgrassmount.load.exchange import LoadExchange
    from eelgrassmount.load.port import ServerDispatcher
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.retry.exchange import QuarantineExchange
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

_KIND_BY_REASON = {
    Reason.SERVER_SHED: SampleKind.SHED,
    Reason.DEADLINE: SampleKind.TIMEOUT,
    Reason.SERVER_SILENT: SampleKind.TIMEOUT,
    Reason.CANCELLED: SampleKind.CANCELLED,
}


@define(eq=False)
class LocalRunner:
    """Runs each call id once on the local backend server."""

    shared_state: SharedNodeState
    timers: TimerService
    table: CallTable
    dispatcher: ServerDispatcher
    client: ServerClient
    quarantine: QuarantineExchange
    exchange: LoadExchange
    metrics: Metrics
    on_server_lost: Callable[[], None]

    async def run(self, call: Call) -> Outcome:
        """Run a call and return its outcome.

        A duplicate of a known call id does not run; it waits for the same outcome.
        """
        record = self.table.find(call.context.call_id)
        if record is not None:
            await record.done.wait()
            return record.outcome
        record = self.table.open(call)
        if record is None:
            return Outcome(NotRun(Reason.CANCELLED), call.context.attempts_left)
        return await self._run_record(record)

    async def _run_record(self, record: CallRecord) -> Outcome:
        verdict: Verdict = MayHaveRun(Reason.CANCELLED)
        record.scope.deadline = record.call.context.deadline_s
        try:
            with record.scope:
                verdict = await self._admit(record)
            if record.scope.cancelled_caught:
                verdict = _judge_interrupted(record)
        finally:
            self._cancel_downstream_calls(record)
            outcome = self._finish(record, verdict)
        return outcome

    def _finish(self, record: CallRecord, verdict: Verdict) -> Outcome:
        now_s = self.timers.read()
        loads = self.exchange.collect(
            record.call.context.call_id, self.dispatcher.describe(), now_s
        )
        outcome = Outcome(_judge_subtree(record, verdict), record.attempts_left, loads)
        self.table.finish(record, outcome, now_s)
        return outcome

    async def _admit(self, record: CallRecord) -> Verdict:
        context = record.call.context
        refusal = self._check(record.call)
        if refusal is not None:
            return refusal
        refusal = await self.dispatcher.enter(context)
        if refusal is not None:
            return refusal
        started_s = self.timers.read()
        verdict: Verdict = MayHaveRun(Reason.CANCELLED)
        try:
            verdict = await self._send(record)
        finally:
            self.dispatcher.leave(self._measure(record, verdict, started_s))
        return verdict

    def _check(self, call: Call) -> NotRun | None:
        if call.request.service != self.shared_state.server.service:
            return NotRun(Reason.NO_SERVER)
        if not self.shared_state.accepts_work:
            return NotRun(_find_refusal_reason(self.shared_state))
        return self.quarantine.check(call.context.digest)

    async def _send(self, record: CallRecord) -> Verdict:
        def mark_started() -> None:
            record.started = True

        verdict = await self.client.send(
            self.shared_state.server.address,
            record.call,
            record.attempts_left,
            mark_started,
        )
        self._record_outcome(record.call.context, verdict)
        return verdict

    def _record_outcome(self, context: Context, verdict: Verdict) -> None:
        match verdict:
            case Answered():
                self.quarantine.record_success(context.digest)
            case MayHaveRun(Reason.SERVER_CRASHED):
                self.quarantine.record_crash(context.digest, context.call_id)
            case NotRun(Reason.NO_SERVER):
                self.on_server_lost()

    def _measure(
        self, record: CallRecord, verdict: Verdict, started_s: float
    ) -> Sample:
        now_s = self.timers.read()
        kind = SampleKind.COMPLETE
        if not isinstance(verdict, Answered):
            kind = _KIND_BY_REASON.get(verdict.reason, SampleKind.FAILED)
        if kind is SampleKind.CANCELLED and now_s >= record.call.context.deadline_s:
            kind = SampleKind.TIMEOUT
        return Sample(
            kind,
            now_s - started_s,
            record.measure_downstream(now_s),
            record.call.context.class_name,
        )

    def _cancel_downstream_calls(self, record: CallRecord) -> None:
        for child in record.children.values():
            if child.outcome is None:
                child.scope.cancel()


def _find_refusal_reason(shared_state: SharedNodeState) -> Reason:
    if shared_state.server.state is ServerState.STARTING:
        return Reason.SERVER_STARTING
    if shared_state.server.state is ServerState.ABSENT:
        return Reason.NO_SERVER
    return Reason.DRAINING


def _judge_interrupted(record: CallRecord) -> Verdict:
    reason = Reason.CANCELLED if record.cancelled else Reason.DEADLINE
    if record.started:
        return MayHaveRun(reason)
    return NotRun(reason)


def _judge_subtree(record: CallRecord, verdict: Verdict) -> Verdict:
    """Return the verdict on a call and its downstream calls.

    An answer is rejected if a downstream call failed, since it may be incomplete. A
    call that did not run itself may still have made downstream calls that ran.
    """
    children = record.children.values()
    failed = any(not child.answered for child in children)
    if isinstance(verdict, Answered) and failed:
        return MayHaveRun(Reason.PARTIAL)
    return downgrade_verdict(verdict, any(child.may_have_run for child in children))
