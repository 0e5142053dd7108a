"""Background tasks whose errors don't end the process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup


@define(eq=False)
class Background:
    """Starts tasks in a task group without passing their errors to the group.

    An exception in a task is logged and counted by ``count_error``; other tasks
    continue. After `close`, no task is started.
    """

    group: TaskGroup
    count_error: Callable[[], None]
    closed: bool = False

    def start_soon(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Start a task unless `close` was called."""
        if not self.closed:
            self.group.start_soon(self._run, function, args)

    async def _run(
        self, function: Callable[..., Awaitable[Any]], args: tuple[Any, ...]
    ) -> None:
        try:
            await function(*args)
        except Exception:
            self.count_error()
            logger.exception("a task failed")

    def close(self) -> None:
        """Stop starting tasks."""
        self.closed = True
