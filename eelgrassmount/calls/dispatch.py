"""Dispatch of calls to the nodes of their service, with bounded retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve

from eelgrassmount.calls.request import Call, Outcome
from eelgrassmount.retry.decisions import choose_retry
from eelgrassmount.verdict import (
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    downgrade_verdict,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.calls.local import LocalRunner
    from eelgrassmount.calls.remote import RemoteRunner
    from eelgrassmount.load.control import LoadControl
    from eelgrassmount.metrics import Metrics, RetryReason
    from eelgrassmount.retry.budget import RetryBudget
    from eelgrassmount.retry.exchange import QuarantineExchange
    from eelgrassmount.timers import TimerService

SERVER_SILENT = NotRun(Reason.SERVER_SILENT)


@define(eq=False)
class Dispatcher:
    """Chooses a node for a call and retries within the request's budget."""

    local_address: str
    timers: TimerService
    control: LoadControl
    local: LocalRunner
    remote: RemoteRunner
    retry_budget: RetryBudget
    quarantine: QuarantineExchange
    metrics: Metrics
    make_id: Callable[[], str]

    async def run(self, call: Call) -> Outcome:
        """Run a call and return its outcome.

        Every attempt has its own call id. Once an attempt may have run, the final
        verdict is never *not run*.
        """
        self.retry_budget.record_first_attempt()
        excluded: set[str] = set()
        may_have_run = False
        outcome = Outcome(NotRun(Reason.NO_SERVER), call.context.attempts_left)
        refusal = self._check(call)
        if refusal is not None:
            return Outcome(refusal, call.context.attempts_left)
        address = self._choose(call, excluded)
        while address is not None:
            outcome = await self._attempt(address, call, outcome.attempts_left)
            may_have_run |= isinstance(outcome.verdict, MayHaveRun)
            # A silent connection does not mean a faulty server: it may be tried again.
            if outcome.verdict != SERVER_SILENT:
                excluded.add(address)
            reason = self._find_retry_reason(call, outcome, excluded)
            if reason is None:
                break
            address = self._choose(call, excluded)
            if address is not None:
                self.metrics.retries.labels(reason).inc()
                outcome = evolve(outcome, attempts_left=outcome.attempts_left - 1)
        return evolve(outcome, verdict=downgrade_verdict(outcome.verdict, may_have_run))

    def _check(self, call: Call) -> NotRun | None:
        return self.quarantine.check(call.context.digest)

    def _choose(self, call: Call, excluded: set[str]) -> str | None:
        return self.control.choose(call.context, call.request.service, excluded)

    async def _attempt(self, address: str, call: Call, attempts_left: int) -> Outcome:
        context = evolve(
            call.context, call_id=self.make_id(), attempts_left=attempts_left
        )
        attempt = Call(context, call.request)
        started_s = self.timers.read()
        outcome = Outcome(MayHaveRun(Reason.CANCELLED))
        try:
            if address == self.local_address:
                outcome = await self.local.run(attempt)
            else:
                outcome = await self.remote.run(address, attempt)
                self._record_outcome(attempt, outcome)
        finally:
            self.control.record_end(
                address,
                call.request.service,
                outcome.verdict,
                outcome.loads,
                self.timers.read() - started_s,
            )
        return outcome

    def _record_outcome(self, attempt: Call, outcome: Outcome) -> None:
        context = attempt.context
        match outcome.verdict:
            case Answered():
                self.quarantine.record_success(context.digest)
            case MayHaveRun(Reason.SERVER_CRASHED):
                self.quarantine.record_crash(context.digest, context.call_id)

    def _find_retry_reason(
        self, call: Call, outcome: Outcome, excluded: set[str]
    ) -> RetryReason | None:
        """Return the reason for a retry, or ``None`` if the call may not be retried."""
        context = call.context
        if outcome.attempts_left < 1:
            return None
        if context.compute_remaining_s(self.timers.read()) <= 0:
            return None
        if self._check(call) is not None:
            return None
        has_other_server = self.control.has_room(
            context, call.request.service, excluded
        )
        reason = choose_retry(outcome.verdict, context, has_other_server)
        if reason is None or not self.retry_budget.try_spend(self.timers.read()):
            return None
        return reason
