"""Start and stop a node."""

from __future__ import annotations

import gc
import signal
from collections import Counter
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from eelgrassmount.compose.listeners import listen_to_http, listen_to_peers
from eelgrassmount.compose.node import Node, build_node
from eelgrassmount.drain.stages import Cause
from eelgrassmount.errors import ListenError
from eelgrassmount.members.table import MemberState

if TYPE_CHECKING:
    from eelgrassmount.settings import Settings

EXPIRY_INTERVAL_S = 1.0
# collection thresholds of the young, middle and old generation
GC_THRESHOLDS = (20_000, 20, 50)


def run_node(settings: Settings) -> None:
    """Run a node until a signal or an operator stops it."""
    _tune_collector()
    anyio.run(serve_node, settings)


def _tune_collector() -> None:
    """Exclude permanent objects from garbage collection, which pauses calls."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def serve_node(settings: Settings) -> None:
    """Run a node until a signal or an operator stops it.

    Raises `ListenError` when one of its addresses can't be bound.
    """
    failure: ListenError | None = None
    async with anyio.create_task_group() as group:
        node = build_node(settings, group)
        try:
            await start_node(node)
            await _run_until_drained(node)
        except ListenError as error:
            failure = error
        node.base.tasks.close()
        group.cancel_scope.cancel()
    # raised outside the task group, which would wrap it in an exception group
    if failure is not None:
        raise failure


async def _run_until_drained(node: Node) -> None:
    drain = await node.shutdown.wait()
    logger.info("node stopped", cause=drain.cause, cut=drain.interrupted)


async def _wait_for_signal(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.shutdown.request(Cause.SIGNAL)


async def start_node(node: Node) -> None:
    """Start all parts of a node, the HTTP listeners last."""
    base = node.base
    await base.peers.start(base.tasks)
    await listen_to_peers(node)
    await node.membership.start(base.tasks)
    await node.follower.start(base.tasks)
    await node.keys.start(base.tasks)
    node.path.announcements.start()
    node.path.probes.start()
    node.shutdown.start(base.tasks)
    # the node already serves calls of other nodes; callers are accepted last
    base.tasks.start_soon(_wait_for_signal, node)
    base.timers.subscribe(EXPIRY_INTERVAL_S, lambda: _expire(node))
    base.tasks.start_soon(base.timers.run)
    await listen_to_http(node)
    logger.info(
        "node started",
        address=base.shared_state.identity.address,
        failure_domain=base.shared_state.identity.failure_domain,
        incarnation=base.shared_state.identity.incarnation,
    )


def _expire(node: Node) -> None:
    node.path.table.expire(node.base.timers.read())
    _update_gauges(node)


def _update_gauges(node: Node) -> None:
    metrics = node.base.metrics
    metrics.config_version.set(node.base.shared_state.configuration.version)
    metrics.in_flight.set(node.path.server_dispatcher.in_flight)
    metrics.queued.set(len(node.path.server_dispatcher.queue))
    metrics.limit.set(node.path.server_dispatcher.limiter.limit)
    metrics.quarantined.set(node.path.quarantine.count_refused())
    states = Counter(
        one.state for one in node.base.shared_state.members.members.values()
    )
    for state in MemberState:
        metrics.members.labels(state.name.lower()).set(states[state])
