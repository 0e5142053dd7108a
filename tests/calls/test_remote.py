"""Recovery of calls whose link was lost."""

from __future__ import annotations

import random

import anyio
import pytest
from attrs import define, evolve, field

from eelgrassmount.calls.remote import RemoteRunner
from eelgrassmount.calls.request import Outcome
from eelgrassmount.gen.ttypes import CallState, FateAnswer, Hello, Message
from eelgrassmount.members.table import Identity, Member, MemberState
from eelgrassmount.peer.codec import encode_outcome
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.timers import MonotonicClock, TimerService
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason
from tests.calls.test_table import make_call

pytestmark = pytest.mark.anyio

ADDRESS = "127.0.0.1:7"
OLD = "old"
GOOD = Answered(200, (), b"good")
UNSENT = PeerFailure(ADDRESS, sent=False)
LOST = PeerFailure(ADDRESS, sent=True, incarnation=OLD)
MAY_HAVE_RUN = MayHaveRun(Reason.PEER_LOST)
NOT_RUN = NotRun(Reason.PEER_LOST)
ANSWER = Message(outcome=encode_outcome("one", Outcome(GOOD)))


def status(state: CallState) -> Message:
    outcome = ANSWER.outcome if state is CallState.DONE else None
    return Message(fate_answer=FateAnswer("one", state, outcome))


@define
class ScriptedPeers:
    """Returns replies in turn and repeats the last one."""

    replies: list[Message | PeerFailure]
    incarnation: str = OLD
    notifications: list[Message] = field(factory=list)
    answered_ids: list[str] = field(factory=list)

    async def request(self, address, message, timeout_s, incarnation=""):
        await anyio.sleep(0)
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if reply is ANSWER:
            self.answered_ids.append(message.call.context.call_id)
            return Message(outcome=encode_outcome(self.answered_ids[-1], Outcome(GOOD)))
        return reply

    async def send(self, address, message):
        self.notifications.append(message)
        return True

    def find_hello(self, address):
        return Hello(address, "a", "r", self.incarnation, 1)


async def run_call(peers, idempotent=False, state=MemberState.ALIVE, limit_s=30.0):
    timers = TimerService(MonotonicClock(), random.Random(1))
    identity = Identity(ADDRESS, "a", "r", OLD)
    shared_state = SharedNodeState(evolve(identity, address="127.0.0.1:8"))
    shared_state.members.members[ADDRESS] = Member(identity, state=state)
    call = make_call("one", idempotent)
    deadline_s = timers.read() + limit_s
    call = evolve(call, context=evolve(call.context, deadline_s=deadline_s))
    outcome = await RemoteRunner(shared_state, peers, timers).run(ADDRESS, call)
    return outcome.verdict


# Replies, and the verdicts on a call that is not idempotent and on an idempotent call.
REPLIES = {
    "answered": ([ANSWER], GOOD, GOOD),
    "never sent": ([UNSENT], NOT_RUN, NOT_RUN),
    "done": ([LOST, status(CallState.DONE)], GOOD, GOOD),
    "unknown": ([LOST, status(CallState.UNKNOWN), ANSWER], GOOD, GOOD),
    "unknown every time": (
        [LOST, status(CallState.UNKNOWN)] * 3,
        NOT_RUN,
        NOT_RUN,
    ),
    "pending": ([LOST, status(CallState.PENDING), ANSWER], GOOD, GOOD),
    "disconnected for a while": (
        [LOST, UNSENT, LOST, status(CallState.PENDING), LOST, status(CallState.DONE)],
        GOOD,
        MAY_HAVE_RUN,
    ),
}


@pytest.mark.parametrize("name", REPLIES)
@pytest.mark.parametrize("idempotent", [False, True])
async def test_verdict_on_a_lost_call(name: str, idempotent: bool) -> None:
    replies, other_verdict, idempotent_verdict = REPLIES[name]
    verdict = await run_call(ScriptedPeers(list(replies)), idempotent)
    assert verdict == (idempotent_verdict if idempotent else other_verdict)


async def test_call_that_never_arrived_is_resent_with_a_new_id() -> None:
    peers = ScriptedPeers([LOST, status(CallState.UNKNOWN), ANSWER])
    await run_call(peers)
    assert len(peers.answered_ids) == 1
    assert peers.answered_ids != ["one"]


@pytest.mark.parametrize(
    ("incarnation", "state"),
    [("new", MemberState.ALIVE), (OLD, MemberState.DEAD), (OLD, MemberState.LEFT)],
)
async def test_status_of_a_node_that_is_gone_is_not_awaited(incarnation, state) -> None:
    peers = ScriptedPeers([LOST, UNSENT], incarnation)
    with anyio.fail_after(20.0):
        assert await run_call(peers, state=state) == MAY_HAVE_RUN


async def test_status_of_an_unreachable_node_is_awaited_until_the_deadline() -> None:
    peers = ScriptedPeers([LOST, UNSENT])
    assert await run_call(peers, limit_s=0.3) == MAY_HAVE_RUN
    assert [message.cancel.call_id for message in peers.notifications] == ["one"]
