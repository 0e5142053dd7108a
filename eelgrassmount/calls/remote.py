"""Sending a call to another node, and finding out what became of it."""

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
    from eelgrassmount.blackboard import Blackboard
    from eelgrassmount.calls.request import Call
    from eelgrassmount.peer.pool import PeerPool
    from eelgrassmount.timers import TimerService

# the other node gives its answer by the deadline; this is for the way back
GRACE_S = 0.02
CANCEL_LIMIT_S = 0.5
ASK_AGAIN_S = 0.1
# how often a call that never arrived is sent to the same node again
RESENDINGS = 2


@define(eq=False)
class RemoteRunner:
    """Lets other nodes run calls on their backend servers."""

    board: Blackboard
    peers: PeerPool
    timers: TimerService

    async def run(self, address: str, call: Call) -> Outcome:
        """Let the node at ``address`` run a call and return its outcome.

        A call that was lost together with its link, and that the node promises
        never to run, is sent to the same node again: that is no retry.
        """
        for number in range(1 + RESENDINGS):
            again = _rename(call, number)
            reply = await self._ask_or_cancel(address, again)
            if reply is not None:
                return self._judge(again, reply)
        return Outcome(NotRun(Reason.PEER_LOST), call.context.attempts_left)

    async def _ask_or_cancel(
        self, address: str, call: Call
    ) -> Message | PeerFailure | None:
        """Return the reply of a node, ``None`` if the call will never run there."""
        try:
            reply = await self._send(address, call, incarnation="")
            if isinstance(reply, PeerFailure) and reply.sent:
                reply = await self._settle(call, reply)
        except anyio.get_cancelled_exc_class():
            await self._cancel(address, call)
            raise
        return reply

    def _judge(self, call: Call, reply: Message | PeerFailure) -> Outcome:
        if isinstance(reply, PeerFailure):
            return Outcome(_judge_failure(reply), call.context.attempts_left)
        return self._read(call, reply)

    async def _send(
        self, address: str, call: Call, incarnation: str
    ) -> Message | PeerFailure:
        now_s = self.timers.read()
        frame = encode_call(call, Route.RUN, now_s)
        remaining_s = call.context.measure_remaining(now_s) + GRACE_S
        return await self.peers.request(
            address, Message(call=frame), remaining_s, incarnation
        )

    async def _settle(
        self, call: Call, failure: PeerFailure
    ) -> Message | PeerFailure | None:
        """Ask the same process over a new link what became of a call.

        A call that is not idempotent can't be sent elsewhere, so it is worth
        waiting for the word of a node that is cut off or frozen.
        """
        while call.context.measure_remaining(self.timers.read()) > 0:
            reply = await self._ask_fate(call, failure)
            if not isinstance(reply, PeerFailure):
                return reply
            if call.context.idempotent or self._is_gone(failure):
                return failure
            await anyio.sleep(ASK_AGAIN_S)
        await self._cancel(failure.address, call)
        return failure

    async def _ask_fate(
        self, call: Call, failure: PeerFailure
    ) -> Message | PeerFailure | None:
        remaining_s = call.context.measure_remaining(self.timers.read())
        question = Message(fate_question=FateQuestion(call.context.call_id))
        reply = await self.peers.request(
            failure.address, question, remaining_s, failure.incarnation
        )
        if isinstance(reply, PeerFailure) or reply.fate_answer is None:
            return failure
        match reply.fate_answer.state:
            case CallState.UNKNOWN:
                return None
            case CallState.DONE:
                return Message(outcome=reply.fate_answer.outcome)
        # it is known there, so this joins it instead of running it again
        return await self._rejoin(call, failure)

    def _is_gone(self, failure: PeerFailure) -> bool:
        """Tell whether a process has been replaced or given up for lost."""
        hello = self.peers.find_hello(failure.address)
        if hello is not None and hello.incarnation != failure.incarnation:
            return True
        member = self.board.members.members.get(failure.address)
        if member is None:
            return False
        return not member.present or member.identity.incarnation != failure.incarnation

    async def _rejoin(self, call: Call, failure: PeerFailure) -> Message | PeerFailure:
        reply = await self._send(failure.address, call, failure.incarnation)
        if isinstance(reply, PeerFailure):
            return failure
        return reply

    def _read(self, call: Call, reply: Message) -> Outcome:
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
        with anyio.CancelScope(shield=True), anyio.move_on_after(CANCEL_LIMIT_S):
            message = Message(cancel=Cancel(call.context.call_id))
            await self.peers.send(address, message)


def _rename(call: Call, number: int) -> Call:
    """Return a call under a new id, as the old one must never run any more."""
    if not number:
        return call
    call_id = f"{call.context.call_id}.{number}"
    return evolve(call, context=evolve(call.context, call_id=call_id))


def _judge_failure(failure: PeerFailure) -> NotRun | MayHaveRun:
    if failure.sent:
        return MayHaveRun(Reason.PEER_LOST)
    return NotRun(Reason.PEER_LOST)
