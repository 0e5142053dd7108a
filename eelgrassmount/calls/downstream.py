"""Downstream calls that the backend server on this VM makes while it serves a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve

from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.calls.table import CallRecord, CallTable, DownstreamCall
from eelgrassmount.config.classes import is_idempotent
from eelgrassmount.context import MAX_DEPTH, compute_digest, derive_child_context
from eelgrassmount.retry.budget import split_attempts
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.keys.port import Runner
    from eelgrassmount.load.exchange import LoadExchange
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService
    from eelgrassmount.util.background import Background


@define(eq=False)
class Downstream:
    """Runs each downstream call once for its parent call.

    A retry under the same parent has the same name, method, path and body. It joins the
    first call and gets the same outcome.
    """

    shared_state: SharedNodeState
    timers: TimerService
    table: CallTable
    run: Runner
    tasks: Background
    make_id: Callable[[], str]
    exchange: LoadExchange

    async def handle(self, parent_id: str, call_name: str, request: Request) -> Verdict:
        """Return the verdict on a downstream call.

        A call is refused if its parent is not running on this node, since nothing would
        use the answer.
        """
        parent = self.table.find(parent_id)
        if parent is None or parent.outcome is not None or parent.cancelled:
            return NotRun(Reason.CANCELLED)
        if parent.call.context.depth + 1 >= MAX_DEPTH:
            return NotRun(Reason.ATTEMPTS_SPENT)
        digest = compute_digest(request.method, request.path, request.body)
        child_key = f"{call_name}/{digest}"
        child = parent.children.get(child_key)
        if child is None:
            child = self._start(parent, child_key, digest, request)
        await child.done.wait()
        return child.outcome.verdict

    def _start(
        self, parent: CallRecord, child_key: str, digest: str, request: Request
    ) -> DownstreamCall:
        child = DownstreamCall()
        parent.children[child_key] = child
        attempts = split_attempts(parent.attempts_left)
        parent.attempts_left -= attempts
        context = derive_child_context(parent.call.context, self.make_id(), attempts)
        context = evolve(
            context,
            digest=digest,
            idempotent=is_idempotent(
                self.shared_state.configuration.document, request.method, request.path
            ),
        )
        # The call must outlive the server's connection: the server may reconnect and
        # retry without cancelling the call.
        self.tasks.start_soon(self._run, parent, child, Call(context, request))
        return child

    async def _run(self, parent: CallRecord, child: DownstreamCall, call: Call) -> None:
        outcome = Outcome(MayHaveRun(Reason.CANCELLED), 0)
        parent.record_child_start(self.timers.read())
        child.scope.deadline = call.context.deadline_s
        try:
            with child.scope:
                outcome = await self.run(call)
            if child.scope.cancelled_caught:
                outcome = Outcome(MayHaveRun(Reason.DEADLINE), 0)
        finally:
            child.outcome = outcome
            self.exchange.record_downstream(
                call.context.parent_id, call.request.service, outcome.loads
            )
            parent.attempts_left += outcome.attempts_left
            parent.record_child_end(self.timers.read())
            child.done.set()
