"""Handling of requests from callers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import anyio
from attrs import define, frozen

from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.config.classes import WorkClass, find_class
from eelgrassmount.context import Context, compute_digest
from eelgrassmount.edge import headers as names
from eelgrassmount.edge.headers import find_header, parse_positive_integer
from eelgrassmount.metrics import record_call
from eelgrassmount.retry.budget import MAX_EXTRA_ATTEMPTS
from eelgrassmount.verdict import (
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    get_verdict_name,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.keys.port import KeyPort, Runner
    from eelgrassmount.load.control import LoadControl
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

# Unreserved characters of RFC 3986, after an optional failure domain.
_KEY_PATTERN = re.compile(r"([A-Za-z0-9._-]{1,63}:)?[A-Za-z0-9._~-]{1,128}")
MAX_TIMEOUT_MS = 600_000
# Maximum delay of an answer beyond the request's deadline.
ANSWER_GRACE_S = 0.1


@frozen
class Reply:
    """The verdict on a caller's request, its root id and a key for the next request."""

    verdict: Verdict
    root_id: str
    next_key: str


@define(eq=False)
class Ingress:
    """Classifies callers' requests, sets their deadlines and runs them."""

    shared_state: SharedNodeState
    timers: TimerService
    run: Runner
    keys: KeyPort
    control: LoadControl
    metrics: Metrics
    make_id: Callable[[], str]

    async def handle(self, request: Request) -> Reply:
        """Run a caller's request and return its reply."""
        root_id = self.make_id()
        started_s = self.timers.read()
        work_class = find_class(
            self.shared_state.configuration.document, request.method, request.path
        )
        if work_class is None:
            verdict = _refuse(self._find_refusal_reason(), request)
        else:
            outcome = await self._run_class(request, work_class, root_id)
            verdict = outcome.verdict
            self._record_outcome(work_class, outcome, self.timers.read() - started_s)
        return Reply(verdict, root_id, self.keys.mint())

    def _record_outcome(
        self, work_class: WorkClass, outcome: Outcome, seconds: float
    ) -> None:
        answered = isinstance(outcome.verdict, Answered)
        in_time = answered and seconds * 1000 <= work_class.within_ms
        used_services = {load.service for load in outcome.loads}
        self.control.record_request(work_class.name, in_time, used_services)
        verdict_name = get_verdict_name(outcome.verdict)
        record_call(self.metrics, work_class.name, verdict_name, seconds)

    def _find_refusal_reason(self) -> Reason:
        if self.shared_state.configuration.version == 0:
            return Reason.NO_CONFIGURATION
        return Reason.NO_ROUTE

    async def _run_class(
        self, request: Request, work_class: WorkClass, root_id: str
    ) -> Outcome:
        key = find_header(request.headers, names.IDEMPOTENCY_KEY) or ""
        refusal = _check_key(key, work_class)
        if refusal is not None:
            return Outcome(refusal)
        try:
            context = self._make_context(request, work_class, root_id, key)
        except ValueError:
            return Outcome(_refuse(Reason.MALFORMED, request))
        return await self._run_until_deadline(Call(context, request))

    async def _run_until_deadline(self, call: Call) -> Outcome:
        """Run a call; answer the caller in time even if a component does not respond.

        Other components enforce the deadline too and know more about the outcome, so
        they get ``ANSWER_GRACE_S`` to report it first.
        """
        timeout_s = (
            call.context.compute_remaining_s(self.timers.read()) + ANSWER_GRACE_S
        )
        outcome = Outcome(MayHaveRun(Reason.DEADLINE))
        with anyio.move_on_after(timeout_s):
            # The owner of a key admits the call, since it may have a stored answer.
            run = self.run if call.context.idempotent else self.keys.run
            outcome = await run(call)
        return outcome

    def _make_context(
        self, request: Request, work_class: WorkClass, root_id: str, key: str
    ) -> Context:
        timeout_ms = parse_positive_integer(request.headers, names.TIMEOUT_MS)
        if timeout_ms is None:
            timeout_ms = work_class.within_ms
        timeout_ms = min(timeout_ms, MAX_TIMEOUT_MS)
        return Context(
            root_id=root_id,
            call_id=root_id,
            parent_id="",
            class_name=work_class.name,
            deadline_s=self.timers.read() + timeout_ms / 1000,
            attempts_left=MAX_EXTRA_ATTEMPTS,
            tier=work_class.tier,
            priority=self.control.prioritize(work_class, root_id),
            depth=0,
            idempotent=work_class.idempotent,
            key=key,
            digest=compute_digest(request.method, request.path, request.body),
        )


def _refuse(reason: Reason, request: Request) -> NotRun | MayHaveRun:
    """Refuse a request that this node can't classify.

    This attempt did not run, but an earlier attempt with the same key may have run
    through another node.
    """
    if find_header(request.headers, names.IDEMPOTENCY_KEY) is None:
        return NotRun(reason)
    return MayHaveRun(reason)


def _check_key(key: str, work_class: WorkClass) -> NotRun | None:
    if key and not _KEY_PATTERN.fullmatch(key):
        return NotRun(Reason.KEY_MALFORMED)
    if not key and not work_class.idempotent:
        return NotRun(Reason.KEY_MISSING)
    return None
