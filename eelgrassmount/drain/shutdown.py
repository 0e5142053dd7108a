"""Controller of a node's graceful shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field
from loguru import logger

from eelgrassmount.drain.stages import (
    Cause,
    Drain,
    DrainLimits,
    Observation,
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

_CHECK_INTERVAL_S = 0.1


def _ignore(cause: Cause) -> None:
    pass


@define(eq=False)
class Shutdown:
    """Drains the node on request or when its backend server drains.

    ``announce`` announces the drain to the other nodes. ``count_in_flight`` returns the
    number of requests and calls that this node has yet to answer. ``hand_over_keys``
    transfers its keys and their answers to other nodes. ``leave`` sends a leave message
    to them. ``on_drain`` is called when a drain starts. Writes the field ``drain`` of
    `SharedNodeState`::

        shutdown.start(group)
        shutdown.request(Cause.SIGNAL)
        report = await shutdown.wait()
    """

    shared_state: SharedNodeState
    timers: TimerService
    announce: Callable[[], None]
    count_in_flight: Callable[[], int]
    hand_over_keys: Callable[[], Awaitable[object]]
    leave: Callable[[], Awaitable[object]]
    limits: DrainLimits = field(factory=DrainLimits)
    on_drain: Callable[[Cause], None] = _ignore
    drain: Drain = field(factory=Drain)
    _group: Background | None = None
    _timer: Timer | None = None
    _handed_over: bool = False
    _has_left: bool = False
    _drained: anyio.Event = field(factory=anyio.Event)

    def start(self, group: Background) -> None:
        """Start to check the backend server's state and the progress of a drain."""
        self._group = group
        self._timer = self.timers.subscribe(_CHECK_INTERVAL_S, self.check)

    def request(self, cause: Cause) -> None:
        """Start to drain; a further request can only raise the cause."""
        self._apply(request_drain(self.drain, cause, self.timers.read()))

    async def wait(self) -> Drain:
        """Wait until the node has drained and return the final state."""
        await self._drained.wait()
        return self.drain

    def check(self) -> None:
        """Advance the drain if the conditions for its next step hold."""
        observation = Observation(
            self.timers.read(),
            self.shared_state.server.state,
            self.count_in_flight(),
            self._handed_over,
            self._has_left,
        )
        self._apply(advance_drain(self.drain, self.limits, observation))

    def _apply(self, drain: Drain) -> None:
        previous, self.drain = self.drain, drain
        if drain.step is previous.step:
            return
        logger.info("drain", step=drain.step.name.lower(), cause=drain.cause)
        match drain.step:
            case Step.RUNNING:
                self._set_stage(DrainStage.RUNNING)
            case Step.WAITING:
                self.on_drain(drain.cause)
                self._set_stage(DrainStage.DRAINING)
            case Step.HANDING_OVER:
                self._group.start_soon(self._hand_over)
            case Step.LEAVING:
                self._group.start_soon(self._leave)
            case Step.DRAINED:
                self._finish()

    def _set_stage(self, stage: DrainStage) -> None:
        self.shared_state.drain = stage
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
            self._has_left = True

    def _finish(self) -> None:
        if self.drain.timed_out:
            logger.warning("drain limit reached", cut=self.drain.interrupted)
        self._timer.cancel()
        self.shared_state.drain = DrainStage.DRAINED
        self._drained.set()
