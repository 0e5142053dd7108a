"""Admission of root requests before dispatch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve

from eelgrassmount.calls.request import Outcome
from eelgrassmount.config.classes import find_class
from eelgrassmount.verdict import Answered

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call
    from eelgrassmount.keys.port import Runner
    from eelgrassmount.load.control import LoadControl
    from eelgrassmount.shared_node_state import SharedNodeState


@define(eq=False)
class AdmissionRunner:
    """Applies admission control to root requests before they are dispatched.

    The entry node admits idempotent requests. Others are admitted by the owner of their
    key, which runs a request only if the key has no outcome yet.
    """

    shared_state: SharedNodeState
    control: LoadControl
    run: Runner

    async def __call__(self, call: Call) -> Outcome:
        """Run a root request, or refuse it."""
        request = call.request
        work_class = find_class(
            self.shared_state.configuration.document, request.method, request.path
        )
        if work_class is not None:
            refusal = self.control.admit(
                work_class, request.service, call.context.priority
            )
            if refusal is not None:
                return Outcome(refusal, call.context.attempts_left)
        return await self.run(call)


@define(eq=False)
class KeyOwnerRunner:
    """Runs calls for the owner of their keys, which stores the outcome.

    Loads are removed from the outcome, since they would be stale when a stored outcome
    is returned for a retry.
    """

    control: LoadControl
    run: Runner

    async def __call__(self, call: Call) -> Outcome:
        """Run a call and return its outcome without loads."""
        outcome = await self.run(call)
        if isinstance(outcome.verdict, Answered):
            used_services = {load.service for load in outcome.loads}
            self.control.exchange.learn(call.context.class_name, used_services)
        return evolve(outcome, loads=())
