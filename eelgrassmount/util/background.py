"""Tasks that run beside each other without ending the process when one fails."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup


@define(eq=False)
class Background:
    """Starts tasks in a task group and keeps their errors from it.

    A programming error in one task is logged and counted by ``count_error``;
    the others go on. Once the group is closing, nothing more is started.
    """

    group: TaskGroup
    count_error: Callable[[], None]
    closed: bool = False

    def start_soon(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Start a task, unless the process is about to end."""
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
        """Start nothing from now on."""
        self.closed = True
