"""The planned end of a node: it answers what it has taken and takes no more."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.server import HttpListener
    from eelgrassmount.relay.beliefs import Beliefs
    from eelgrassmount.relay.inbound import Inbound

# clients are sent elsewhere once two questions a second apart had no "ready"
CLIENTS_GONE_S = 2.6
# the end comes so much before the process would be killed
MARGIN_S = 0.5
POLL_S = 0.05


@define(eq=False)
class Stopping:
    """Stops a node in steps, all within ``grace_s``."""

    beliefs: Beliefs
    callers: HttpListener
    inbound: Inbound
    grace_s: float
    report_now: Callable[[], None]
    count_open: Callable[[], int]

    async def run(self) -> None:
        """Take the node out of service and return when it may exit."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.grace_s - MARGIN_S
        self.beliefs.stopping = True
        self.inbound.accepting = False
        logger.info("stopping", open=self.count_open())
        self.report_now()
        # clients go on using their connections until then
        self.callers.ending = True
        await asyncio.sleep(min(CLIENTS_GONE_S, max(0.0, end_s - loop.time())))
        self.callers.stop_listening()
        self.callers.close_idle()
        while self.count_open() and loop.time() < end_s:
            await asyncio.sleep(POLL_S)
            self.callers.close_idle()
        logger.info("stopped", cut=self.count_open())
