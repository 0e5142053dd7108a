"""Handlers of messages from other nodes about calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.calls.request import Outcome
from eelgrassmount.calls.table import CallStatus
from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen.ttypes import CallState, FateAnswer, Hello, Message, Route
from eelgrassmount.metrics import FrameReason
from eelgrassmount.peer.codec import decode_call, encode_outcome
from eelgrassmount.verdict import NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.inflight import InFlight
    from eelgrassmount.calls.local import LocalRunner
    from eelgrassmount.calls.table import CallTable
    from eelgrassmount.keys.port import Runner
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.peer.port import Handlers
    from eelgrassmount.timers import TimerService

_STATE_BY_STATUS = {
    CallStatus.UNKNOWN: CallState.UNKNOWN,
    CallStatus.PENDING: CallState.PENDING,
    CallStatus.DONE: CallState.DONE,
}


@define(eq=False)
class CallHandlers:
    """Handlers for calls, cancellations and status queries."""

    timers: TimerService
    table: CallTable
    local: LocalRunner
    run_as_owner: Runner
    in_flight: InFlight
    metrics: Metrics

    def make_handlers(self) -> Handlers:
        """Return the handlers by message field."""
        return {
            "call": self.handle_call,
            "cancel": self.handle_cancel,
            "fate_question": self.handle_status_query,
        }

    async def handle_call(self, sender: Hello, message: Message) -> Message:
        """Run a call as the owner of its key, or on the local backend server."""
        frame = message.call
        try:
            call = decode_call(frame, self.timers.read())
        except BadFrameError:
            self.metrics.rejected_frames.labels(FrameReason.MALFORMED).inc()
            return self._reply(_find_call_id(frame), _refuse_malformed())
        with self.in_flight.track_call():
            if frame.route == Route.OWN:
                outcome = await self.run_as_owner(call)
            else:
                outcome = await self.local.run(call)
        return self._reply(call.context.call_id, outcome)

    def _reply(self, call_id: str, outcome: Outcome) -> Message:
        return Message(outcome=encode_outcome(call_id, outcome))

    async def handle_cancel(self, sender: Hello, message: Message) -> None:
        """Cancel a call, or block its id if the call has not arrived."""
        self.table.cancel(message.cancel.call_id, self.timers.read())

    async def handle_status_query(self, sender: Hello, message: Message) -> Message:
        """Report the status of a call, with its outcome if it is done."""
        call_id = message.fate_question.call_id
        status = self.table.query_status(call_id, self.timers.read())
        answer = FateAnswer(call_id=call_id, state=_STATE_BY_STATUS[status])
        if status is CallStatus.DONE:
            outcome = self.table.find(call_id).outcome
            answer.outcome = encode_outcome(call_id, outcome)
        return Message(fate_answer=answer)


def _find_call_id(frame: object) -> str:
    context = getattr(frame, "context", None)
    return getattr(context, "call_id", None) or ""


def _refuse_malformed() -> Outcome:
    return Outcome(NotRun(Reason.MALFORMED), 0)
