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
    from eelgrassmount.relay.inbound import InboundLinks

# clients are sent elsewhere once two questions a second apart had no "ready"
CLIENT_DRAIN_S = 2.6
# other nodes are told so long before that to send no more calls: until then the
# server goes on with them, since it is out for all the time that its node takes to
# come back. A service of three servers whose nodes were restarted a second apart
# had none for two seconds when calls ended with the signal
PEER_DRAIN_S = 0.5
# the end comes so much before the process would be killed
EXIT_MARGIN_S = 0.5
POLL_INTERVAL_S = 0.05


@define(eq=False)
class Shutdown:
    """Stops a node in steps, all within ``grace_s``."""

    beliefs: Beliefs
    callers: HttpListener
    inbound: InboundLinks
    grace_s: float
    report_now: Callable[[], None]
    count_open: Callable[[], int]

    async def run(self) -> None:
        """Take the node out of service and return when it may exit."""
        loop = asyncio.get_running_loop()
        exit_deadline_s = loop.time() + self.grace_s - EXIT_MARGIN_S
        self.beliefs.stopping = True
        logger.info("stopping", open=self.count_open())
        # clients go on using their connections until they are gone
        self.callers.ending = True
        drain_s = min(CLIENT_DRAIN_S, max(0.0, exit_deadline_s - loop.time()))
        await asyncio.sleep(max(0.0, drain_s - PEER_DRAIN_S))
        self.beliefs.closing = True
        self.inbound.accepting = False
        self.report_now()
        await asyncio.sleep(min(drain_s, PEER_DRAIN_S))
        self.callers.stop_listening()
        self.callers.close_idle()
        while self.count_open() and loop.time() < exit_deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.callers.close_idle()
        logger.info("stopped", cut=self.count_open())
