"""The controller that takes a node through a graceful shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field
from loguru import logger

from eelgrassmount.drain.stages import (
    Cause,
    Drain,
    DrainLimits,
    Observed,
    Step,
    advance_drain,
    request_drain,
)
from eelgrassmount.shared_node_state import DrainStage

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import Timer, TimerService
    from eelgrassmount.util.background import Background

_CHECK_S = 0.1


def _ignore(cause: Cause) -> None:
    pass


@define(eq=False)
class Shutdown:
    """Drains the node when it is asked to and tells when that is done.

    ``announce`` makes the drain known to the other nodes, ``count_in_flight``
    counts the requests and calls that this node still has to answer,
    ``hand_over_keys`` gives its keys and their answers to other nodes, ``leave``
    says farewell. ``note_drain`` is told of each drain that begins. Writes
    `SharedNodeState.drain`::

        shutdown.start(group)
        shutdown.request(Cause.SIGNAL)
        report = await shutdown.wait()
    """

    board: SharedNodeState
    timers: TimerService
    announce: Callable[[], None]
    count_in_flight: Callable[[], int]
    hand_over_keys: Callable[[], Awaitable[object]]
    leave: Callable[[], Awaitable[object]]
    limits: DrainLimits = field(factory=DrainLimits)
    note_drain: Callable[[Cause], None] = _ignore
    drain: Drain = field(factory=Drain)
    _group: Background | None = None
    _timer: Timer | None = None
    _handed_over: bool = False
    _left: bool = False
    _drained: anyio.Event = field(factory=anyio.Event)

    def start(self, group: Background) -> None:
        """Watch the backend server's announcements from now on."""
        self._group = group
        self._timer = self.timers.subscribe(_CHECK_S, self.check)

    def request(self, cause: Cause) -> None:
        """Begin to drain; a second request only strengthens the cause."""
        self._put(request_drain(self.drain, cause, self.timers.read()))

    async def wait(self) -> Drain:
        """Wait until the node has drained and return how that went."""
        await self._drained.wait()
        return self.drain

    def check(self) -> None:
        """Take the next step if it is time for one."""
        observed = Observed(
            self.timers.read(),
            self.board.server.state,
            self.count_in_flight(),
            self._handed_over,
            self._left,
        )
        self._put(advance_drain(self.drain, self.limits, observed))

    def _put(self, drain: Drain) -> None:
        before, self.drain = self.drain, drain
        if drain.step is before.step:
            return
        logger.info("drain", step=drain.step.name.lower(), cause=drain.cause)
        match drain.step:
            case Step.RUNNING:
                self._set_stage(DrainStage.RUNNING)
            case Step.WAITING:
                self.note_drain(drain.cause)
                self._set_stage(DrainStage.DRAINING)
            case Step.HANDING_OVER:
                self._group.start_soon(self._hand_over)
            case Step.LEAVING:
                self._group.start_soon(self._leave)
            case Step.DRAINED:
                self._end()

    def _set_stage(self, stage: DrainStage) -> None:
        self.board.drain = stage
        self.announce()

    async def _hand_over(self) -> None:
        try:
            await self.hand_over_keys()
        finally:
            self._handed_over = True

    async def _leave(self) -> None:
        try:
            await self.leave()
        finally:
            self._left = True

    def _end(self) -> None:
        if self.drain.limit_hit:
            logger.warning("drain limit reached", cut=self.drain.cut)
        self._timer.cancel()
        self.board.drain = DrainStage.DRAINED
        self._drained.set()
