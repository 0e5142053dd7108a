"""Graceful shutdown of a node: it finishes accepted requests and accepts no more."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.server import HttpListener
    from eelgrassmount.relay.inbound import InboundLinks
    from eelgrassmount.relay.shared_state import SharedState

# Time for clients to leave; covers two failed readiness probes at a 1 s interval.
CLIENT_DRAIN_S = 2.6
# Last part of the client drain, in which other nodes stop sending calls. Until then the
# backend server still serves them: a service of three servers whose nodes restarted a
# second apart had none for two seconds when calls ended with the signal.
PEER_DRAIN_S = 0.5
# Margin before the process is killed.
EXIT_MARGIN_S = 0.5
POLL_INTERVAL_S = 0.05


@define(eq=False, repr=False)
class Shutdown:
    """Drains clients, then peers, and waits for open requests, within ``grace_s``."""

    state: SharedState
    client_listener: HttpListener
    inbound_links: InboundLinks
    grace_s: float
    report_now: Callable[[], None]
    count_open: Callable[[], int]

    async def run(self) -> None:
        """Drain the node and return when the process may exit."""
        loop = asyncio.get_running_loop()
        exit_deadline_s = loop.time() + self.grace_s - EXIT_MARGIN_S
        self.state.stopping = True
        self.state.exit_s = self.state.clock() + self.grace_s - EXIT_MARGIN_S
        logger.info("stopping", open=self.count_open())
        # Clients may still send requests over their connections during the drain.
        self.client_listener.stopping = True
        drain_s = min(CLIENT_DRAIN_S, max(0.0, exit_deadline_s - loop.time()))
        await asyncio.sleep(max(0.0, drain_s - PEER_DRAIN_S))
        self.state.closing = True
        self.inbound_links.accepting = False
        self.report_now()
        await asyncio.sleep(min(drain_s, PEER_DRAIN_S))
        self.client_listener.stop_listening()
        self.client_listener.close_idle()
        self.state.drained = True
        while self.count_open() and loop.time() < exit_deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.client_listener.close_idle()
        logger.info("stopped", cut=self.count_open())
