"""Followers of a topic that are restarted while a read is under way."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import pytest
from attrs import define, field

from eelgrassmount.topics.follower import TopicFollower
from eelgrassmount.topics.store import (
    Batch,
    Snapshot,
    StoredRecord,
    StoreFailure,
)

if TYPE_CHECKING:
    from collections.abc import Callable

STALE = StoredRecord("stale", b"of the earlier copy")
CURRENT = StoredRecord("current", b"of the restored log")


@define(eq=False)
class ControlledLog:
    """A log whose answer arrives in the same moment in which its reader is restarted.

    ``before_answer`` is called after the answer has arrived and before its reader gets
    it. The reader is not cancelled then, as with a timeout around a finished call.
    """

    before_answer: Callable[[], None] = lambda: None
    held_call: str = ""
    offsets: list[int | None] = field(factory=list)

    async def read_newest(self, topic: str) -> Snapshot | StoreFailure:
        self.offsets.append(None)
        await anyio.lowlevel.checkpoint()
        return self._answer("newest", Snapshot((STALE,), 40), Snapshot((CURRENT,), 3))

    async def read(self, topic: str, offset: int, wait_s: float) -> Batch:
        self.offsets.append(offset)
        if self.held_call != "read":
            await anyio.sleep_forever()
        return self._answer("read", Batch((STALE,), 41), Batch((), offset))

    def _answer(self, call, stale, current):
        if self.held_call != call:
            return current
        self.held_call = ""
        self.before_answer()
        return stale


def follow(log: ControlledLog, *actions: str, next_offset: int | None) -> list[str]:
    """Run a follower on which the log performs the actions; return the records."""
    applied: list[str] = []
    follower = TopicFollower(
        log, "keyed.x", lambda found: applied.extend(one.key for one in found), RNG
    )
    follower.next_offset = next_offset

    def act() -> None:
        for action in actions:
            getattr(follower, action)(*ARGUMENTS.get(action, ()))

    log.before_answer = act

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            with anyio.fail_after(10):
                while not log.offsets or log.offsets[-1] != 3:
                    await anyio.sleep(0.001)
            group.cancel_scope.cancel()

    anyio.run(main)
    return applied


RNG = random.Random(1)
# The offset up to which a peer has relayed the restored log.
ARGUMENTS = {"skip_to": (3,)}


# Guards against a TypeError that ended the node, and against records that were missed
# as a stale offset was kept.
@pytest.mark.parametrize("actions", [("restart",), ("restart", "restart")])
@pytest.mark.parametrize(("held_call", "next_offset"), [("read", 40), ("newest", None)])
def test_read_of_before_a_restart_is_discarded(held_call, next_offset, actions):
    log = ControlledLog(held_call=held_call)
    assert follow(log, *actions, next_offset=next_offset) == ["current"]
    assert log.offsets == [next_offset, None, 3]


def test_read_of_before_a_restart_leaves_the_offset_of_a_peer():
    log = ControlledLog(held_call="read")
    assert follow(log, "restart", "skip_to", next_offset=40) == []
    assert log.offsets == [40, 3]


def test_follower_that_reads_again_claims_nothing_before_an_answer():
    """Guards against a node that passes for a reader because it once read."""

    async def main() -> None:
        follower = TopicFollower(ControlledLog(), "keyed.x", lambda found: None, RNG)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(0.01)
            assert follower.is_current()
            follower.set_wanted(False)
            await anyio.sleep(0.01)
            follower.set_wanted(True)
            await anyio.sleep(0.01)
            assert not follower.is_current()
            group.cancel_scope.cancel()

    anyio.run(main)
