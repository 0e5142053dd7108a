"""Execution of calls on other nodes, and recovery of calls whose link was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, evolve

from eelgrassmount.calls.request import Outcome
from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen.ttypes import CallState, Cancel, FateQuestion, Message, Route
from eelgrassmount.peer.codec import decode_outcome, encode_call
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call
    from eelgrassmount.peer.pool import PeerPool
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

# Network time for an answer that the other node sends at the deadline.
REPLY_GRACE_S = 0.02
CANCEL_TIMEOUT_S = 0.5
STATUS_QUERY_INTERVAL_S = 0.1
# Resends, to the same node, of a call that never arrived there.
MAX_RESENDS = 2


@define(eq=False)
class RemoteRunner:
    """Sends calls to other nodes, which run them on their backend servers."""

    shared_state: SharedNodeState
    peers: PeerPool
    timers: TimerService

    async def run(self, address: str, call: Call) -> Outcome:
        """Run a call on the node at ``address`` and return its outcome.

        A call that was lost with its link is sent to the same node again if that node
        will never run the lost one. This does not count as a retry.
        """
        for number in range(1 + MAX_RESENDS):
            attempt = _with_resend_id(call, number)
            reply = await self._send_or_cancel(address, attempt)
            if reply is not None:
                return self._judge(attempt, reply)
        return Outcome(NotRun(Reason.PEER_LOST), call.context.attempts_left)

    async def _send_or_cancel(
        self, address: str, call: Call
    ) -> Message | PeerFailure | None:
        """Return the reply of a node, or ``None`` if the call will never run there."""
        try:
            reply = await self._send(address, call, incarnation="")
            if isinstance(reply, PeerFailure) and reply.sent:
                reply = await self._resolve_lost_call(call, reply)
        except anyio.get_cancelled_exc_class():
            await self._cancel(address, call)
            raise
        return reply

    def _judge(self, call: Call, reply: Message | PeerFailure) -> Outcome:
        if isinstance(reply, PeerFailure):
            return Outcome(_judge_failure(reply), call.context.attempts_left)
        return self._read_outcome(call, reply)

    async def _send(
        self, address: str, call: Call, incarnation: str
    ) -> Message | PeerFailure:
        now_s = self.timers.read()
        frame = encode_call(call, Route.RUN, now_s)
        remaining_s = call.context.compute_remaining_s(now_s) + REPLY_GRACE_S
        return await self.peers.request(
            address, Message(call=frame), remaining_s, incarnation
        )

    async def _resolve_lost_call(
        self, call: Call, failure: PeerFailure
    ) -> Message | PeerFailure | None:
        """Query the status of a lost call from the same process over a new link.

        A call that is not idempotent can't be sent to another node, so the queries
        continue while the node is disconnected or frozen.
        """
        while call.context.compute_remaining_s(self.timers.read()) > 0:
            reply = await self._query_status(call, failure)
            if not isinstance(reply, PeerFailure):
                return reply
            if call.context.idempotent or self._is_process_gone(failure):
                return failure
            await anyio.sleep(STATUS_QUERY_INTERVAL_S)
        await self._cancel(failure.address, call)
        return failure

    async def _query_status(
        self, call: Call, failure: PeerFailure
    ) -> Message | PeerFailure | None:
        remaining_s = call.context.compute_remaining_s(self.timers.read())
        query = Message(fate_question=FateQuestion(call.context.call_id))
        reply = await self.peers.request(
            failure.address, query, remaining_s, failure.incarnation
        )
        if isinstance(reply, PeerFailure) or reply.fate_answer is None:
            return failure
        match reply.fate_answer.state:
            case CallState.UNKNOWN:
                return None
            case CallState.DONE:
                return Message(outcome=reply.fate_answer.outcome)
        # The node knows the call id, so a duplicate joins the call and does not run.
        return await self._rejoin(call, failure)

    def _is_process_gone(self, failure: PeerFailure) -> bool:
        """Return whether the process that received a call restarted, died or left."""
        hello = self.peers.find_hello(failure.address)
        if hello is not None and hello.incarnation != failure.incarnation:
            return True
        member = self.shared_state.members.members.get(failure.address)
        if member is None:
            return False
        return not member.present or member.identity.incarnation != failure.incarnation

    async def _rejoin(self, call: Call, failure: PeerFailure) -> Message | PeerFailure:
        reply = await self._send(failure.address, call, failure.incarnation)
        if isinstance(reply, PeerFailure):
            return failure
        return reply

    def _read_outcome(self, call: Call, reply: Message) -> Outcome:
        frame = reply.outcome
        if frame is None or frame.call_id != call.context.call_id:
            return Outcome(MayHaveRun(Reason.BAD_ANSWER), 0)
        try:
            outcome = decode_outcome(frame)
        except BadFrameError:
            return Outcome(MayHaveRun(Reason.BAD_ANSWER), 0)
        attempts_left = min(outcome.attempts_left, call.context.attempts_left)
        return evolve(outcome, attempts_left=attempts_left)

    async def _cancel(self, address: str, call: Call) -> None:
        with anyio.CancelScope(shield=True), anyio.move_on_after(CANCEL_TIMEOUT_S):
            message = Message(cancel=Cancel(call.context.call_id))
            await self.peers.send(address, message)


def _with_resend_id(call: Call, number: int) -> Call:
    """Return a call with a new id, since the other node has blocked the old one."""
    if not number:
        return call
    call_id = f"{call.context.call_id}.{number}"
    return evolve(call, context=evolve(call.context, call_id=call_id))


def _judge_failure(failure: PeerFailure) -> NotRun | MayHaveRun:
    if failure.sent:
        return MayHaveRun(Reason.PEER_LOST)
    return NotRun(Reason.PEER_LOST)
