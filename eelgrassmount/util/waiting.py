"""Waits on the timer service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from eelgrassmount.timers import TimerService


async def wait_for(timers: TimerService, delay_s: float) -> None:
    """Wait until ``delay_s`` seconds have passed on the clock of ``timers``."""
    event = anyio.Event()
    timer = timers.schedule(delay_s, event.set)
    try:
        await event.wait()
    finally:
        timer.cancel()
