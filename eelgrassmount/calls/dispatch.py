"""Running a call on some node of its service, with bounded retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve

from eelgrassmount.calls.request import Call, Outcome
from eelgrassmount.retry.decisions import choose_retry
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason, weaken_verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.calls.local import LocalRunner
    from eelgrassmount.calls.remote import RemoteRunner
    from eelgrassmount.calls.router import Router
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.retry.budget import RetryRatio
    from eelgrassmount.timers import TimerService


@define(eq=False)
class Dispatcher:
    """Chooses a node for a call and retries within the request's budget."""

    own_address: str
    timers: TimerService
    router: Router
    local: LocalRunner
    remote: RemoteRunner
    ratio: RetryRatio
    metrics: Metrics
    make_id: Callable[[], str]

    async def run(self, call: Call) -> Outcome:
        """Run a call and return its outcome.

        Every sending has a call id of its own. Once a sending may have run,
        the final verdict is never *not run*.
        """
        self.ratio.note_first()
        excluded: set[str] = set()
        may_have_run = False
        attempts_left = call.context.attempts_left
        outcome = Outcome(NotRun(Reason.NO_SERVER), attempts_left)
        while True:
            address = self._choose(call, excluded)
            if address is None:
                break
            outcome = await self._attempt(address, call, attempts_left)
            attempts_left = outcome.attempts_left
            may_have_run |= isinstance(outcome.verdict, MayHaveRun)
            excluded.add(address)
            if not self._spend(call, outcome, excluded):
                break
            attempts_left -= 1
        verdict = weaken_verdict(outcome.verdict, may_have_run)
        return Outcome(verdict, attempts_left)

    def _choose(self, call: Call, excluded: set[str]) -> str | None:
        return self.router.choose(call.request.service, excluded)

    async def _attempt(self, address: str, call: Call, attempts_left: int) -> Outcome:
        context = evolve(
            call.context, call_id=self.make_id(), attempts_left=attempts_left
        )
        attempt = Call(context, call.request)
        started_s = self.timers.read()
        self.router.note_start(address)
        outcome = None
        try:
            if address == self.own_address:
                outcome = await self.local.run(attempt)
            else:
                outcome = await self.remote.run(address, attempt)
        finally:
            verdict = None if outcome is None else outcome.verdict
            self.router.note_end(address, verdict, self.timers.read() - started_s)
        return outcome

    def _spend(self, call: Call, outcome: Outcome, excluded: set[str]) -> bool:
        """Tell whether to send once more, and take the cost of it."""
        room_elsewhere = self.router.has_room(call.request.service, excluded)
        reason = choose_retry(outcome.verdict, call.context, room_elsewhere)
        if reason is None or outcome.attempts_left < 1:
            return False
        if call.context.measure_remaining(self.timers.read()) <= 0:
            return False
        if self._choose(call, excluded) is None or not self.ratio.take():
            return False
        self.metrics.retries.labels(reason).inc()
        return True
