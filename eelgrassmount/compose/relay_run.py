"""Starting, running and ending a node beside its backend server."""

from __future__ import annotations

import itertools
import signal
from typing import TYPE_CHECKING

import anyio
from attrs import evolve
from loguru import logger

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.errors import ListenError
from eelgrassmount.gen import ttypes
from eelgrassmount.http1.server import SWEEP_INTERVAL_S, HttpListener, ServerLimits
from eelgrassmount.platform.heartbeats import read_announcement
from eelgrassmount.platform.settings import load_settings
from eelgrassmount.platform.topic_names import (
    CONFIGURATION_TOPIC,
    LEARNED_KEY,
    NODES_TOPIC,
)
from eelgrassmount.policy.admission_controller import CONTROL_INTERVAL_S
from eelgrassmount.relay.announcements import AnnouncementListener
from eelgrassmount.relay.frames import encode_struct
from eelgrassmount.relay.learning import update_call_graph, update_request_counts
from eelgrassmount.relay.reload import RELOAD_CHECK_INTERVAL_S, SettingsWatch
from eelgrassmount.relay.shutdown import Shutdown
from eelgrassmount.relay.stalls import StallWatch, read_process_times
from eelgrassmount.relay.vectors import REQUEST_COUNT_INTERVAL_S
from eelgrassmount.topics.follower import TopicFollower
from eelgrassmount.topics.learned import RECORD_CHECK_INTERVAL_S
from eelgrassmount.topics.local_record import LocalRecord
from eelgrassmount.topics.store import StoredRecord, StoreFailure
from eelgrassmount.util.addresses import Address
from eelgrassmount.util.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from eelgrassmount.compose.relay_node import RelayNode
    from eelgrassmount.relay.inbound import InboundLinks

METRICS_PORT = 9464
# an announcement has some hundred bytes, and other calls to these listeners none
MAX_BODY_BYTES = 1024 * 1024
LINK_PERIOD_S = 0.1
# learned calls are taken up each so many intervals of counting
VECTOR_STEPS = 4
# a node that can't write its record tries again after so long, doubled each time
RECORD_RETRY_S = 0.5
RECORD_RETRY_LIMIT_S = 3.0


async def serve_relay(path: str) -> None:
    """Run a node as the settings file says, until SIGTERM and its end in order.

    Raises `ListenError` when one of its addresses can't be bound.
    """
    settings = load_settings(path)
    # the lines of many nodes are read together
    logger.configure(extra={"node": settings.name})
    node = build_relay(settings)
    watch = SettingsWatch(path, load_settings, node.apply_settings)
    node.look_at_settings = watch.check
    async with anyio.create_task_group() as group:
        ends = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*ends, signal.SIGHUP) as signals:
            await start_relay(node, group)
            node.timers.subscribe(RELOAD_CHECK_INTERVAL_S, watch.check)
            async for received in signals:
                if received != signal.SIGHUP:
                    break
                watch.reload()
            await stop_relay(node)
        group.cancel_scope.cancel()


async def stop_relay(node: RelayNode) -> None:
    """End a node in order: clients go first, then calls of other nodes."""
    stopping = Shutdown(
        node.beliefs,
        node.callers,
        node.inbound,
        node.settings.grace_s,
        node.control_loop.report_now,
        node.count_open,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(_drop_own, node)
        await stopping.run()
        group.cancel_scope.cancel()
    node.decisions.report_dropped_lines()
    node.end()


async def _drop_own(node: RelayNode) -> None:
    """Drop the record of a node whose server has left for good.

    The others would go on counting it, and keep its part of the quotas for it.
    """
    if not node.beliefs.server.has_left:
        return
    offset = await node.store.append(NODES_TOPIC, node.settings.name, b"")
    if isinstance(offset, StoreFailure):
        logger.warning("own record not dropped", kind=offset.kind)
    else:
        logger.info("own record dropped", offset=offset)


async def start_relay(node: RelayNode, group: TaskGroup) -> None:
    """Start all parts of a node, the listener for clients last."""
    settings = node.settings
    node.put_own()
    await _listen(node)
    subscribe_timers(node)
    group.start_soon(node.timers.run)
    group.start_soon(_follow, node, CONFIGURATION_TOPIC)
    group.start_soon(_join, node)
    group.start_soon(_keep_records, node)
    logger.info(
        "node started",
        incarnation=node.beliefs.incarnation,
        service=settings.service,
        failure_domain=settings.failure_domain,
    )


async def _listen(node: RelayNode) -> None:
    settings = node.settings
    clock = node.beliefs.clock
    announcements = AnnouncementListener(
        node.beliefs.server,
        read_announcement,
        node.check_heartbeat,
        node.note_server_change,
        node.rejected_messages,
    )
    metrics_address = Address(settings.peer_address.host, METRICS_PORT)
    await _bind(node.inbound, settings.peer_address)
    for handle, address in (
        (announcements.handle, settings.announce_address),
        (node.answer_ready, settings.ready_address),
        (node.answer_metrics, metrics_address),
    ):
        limits = ServerLimits(max_body_bytes=MAX_BODY_BYTES)
        listener = HttpListener(handle, clock, limits)
        node.listeners.append(listener)
        await _bind(listener, address)
    node.listeners.append(node.callers)
    await _bind(node.callers, settings.caller_address)


async def _bind(listener: HttpListener | InboundLinks, address: Address) -> None:
    try:
        await listener.start(address.host, address.port)
    except OSError as error:
        raise ListenError(str(address), str(error)) from error


def subscribe_timers(node: RelayNode) -> None:
    """Let a node's parts do what they do from time to time."""
    timers = node.timers
    stalls = StallWatch(
        LINK_PERIOD_S,
        read_process_times,
        timers.slowest.pop,
        node.metrics.stalls.inc,
    )
    timers.subscribe(LINK_PERIOD_S, stalls.check)
    timers.subscribe(LINK_PERIOD_S, node.links.maintain_links)
    timers.subscribe(CONTROL_INTERVAL_S, node.readers.step)
    timers.subscribe(CONTROL_INTERVAL_S, node.quotas.step)
    timers.subscribe(CONTROL_INTERVAL_S, node.control_loop.step)
    timers.subscribe(CONTROL_INTERVAL_S, node.dispatcher.sweep)
    timers.subscribe(
        REQUEST_COUNT_INTERVAL_S, lambda: update_request_counts(node.beliefs)
    )
    timers.subscribe(REQUEST_COUNT_INTERVAL_S, make_learning_step(node))
    timers.subscribe(SWEEP_INTERVAL_S, node.callers.sweep)
    timers.subscribe(SWEEP_INTERVAL_S, node.dispatcher.pool.sweep)
    timers.subscribe(SWEEP_INTERVAL_S, node.inbound.expire)
    timers.subscribe(SWEEP_INTERVAL_S, node.decisions.report_dropped_lines)
    timers.subscribe(SWEEP_INTERVAL_S, node.forget_routes)
    timers.subscribe(SWEEP_INTERVAL_S, node.ingress.call_attributor.discard_old_answers)
    timers.subscribe(SWEEP_INTERVAL_S, node.beliefs.completed.decay)


def make_learning_step(node: RelayNode) -> Callable[[], None]:
    """Return what takes up learned calls: often while none are known, as in a surge."""
    steps = itertools.count(1)

    def step() -> None:
        graph = node.beliefs.graph
        if not graph.has_learned_calls() or next(steps) % VECTOR_STEPS == 0:
            update_call_graph(node.beliefs)

    return step


async def _follow(node: RelayNode, topic: str) -> None:
    take = node.take_configuration
    if topic == NODES_TOPIC:
        take = node.take_nodes
    follower = TopicFollower(node.store, topic, take, node.rng, node.note_unreadable)
    if topic == NODES_TOPIC:
        follower.on_read = node.readers.record_read
        follower.next_offset = node.readers.record_table.next_offset or None
    follower.set_wanted(node.readers.reading)
    node.followers.append(follower)
    node.readers.step()
    await follower.run()


async def _join(node: RelayNode) -> None:
    """Write this node's record unless it stands there, then follow the others.

    Without the log, a node goes by what those say that open links to it, and its record
    may be known to them.
    """
    own = make_own_record(node)
    backoff = Backoff(node.rng, RECORD_RETRY_S, RECORD_RETRY_LIMIT_S)
    while not await _put_record(node, own):
        node.readers.start()
        await anyio.sleep(backoff.fail())
        # a copy under another key would not lead anybody here
        if node.readers.record_table.find(own.key) == own:
            break
    node.readers.start()
    await _follow(node, NODES_TOPIC)


def make_own_record(node: RelayNode) -> StoredRecord:
    """Return the record by which other nodes find this one."""
    settings = node.settings
    record = ttypes.NodeRecord(
        settings.name,
        str(settings.peer_address),
        settings.failure_domain,
        settings.service,
    )
    return StoredRecord(settings.name, encode_struct(record))


async def _put_record(node: RelayNode, own: StoredRecord) -> bool:
    """Read the records of all nodes, and append this node's unless it stands there.

    Return whether it does now.
    """
    book = node.readers.record_table
    snapshot = await node.store.read_newest(NODES_TOPIC)
    if isinstance(snapshot, StoreFailure):
        return False
    node.take_nodes(snapshot.records)
    book.apply(snapshot.records, snapshot.end)
    if book.find(own.key) == own:
        return True
    offset = await node.store.append(NODES_TOPIC, own.key, own.value)
    if isinstance(offset, StoreFailure):
        return False
    book.put(evolve(own, offset=offset))
    return True


async def _keep_records(node: RelayNode) -> None:
    """Write what has to stand on the log, again if it is gone."""
    beliefs = node.beliefs
    own = LocalRecord(
        make_own_record(node),
        node.readers.record_table,
        lambda: len(beliefs.members.by_name),
        beliefs.clock,
        node.rng,
    )
    while True:
        await anyio.sleep(RECORD_CHECK_INTERVAL_S)
        await _keep_learned(node)
        if node.readers.started and not beliefs.stopping and own.is_due():
            await _write_own(node, own.record)


async def _write_own(node: RelayNode, record: StoredRecord) -> None:
    offset = await node.store.append(NODES_TOPIC, record.key, record.value)
    if isinstance(offset, StoreFailure):
        logger.warning("own record not written", kind=offset.kind)
        return
    logger.info("own record written again", offset=offset)
    node.readers.record_table.put(evolve(record, offset=offset))


async def _keep_learned(node: RelayNode) -> None:
    """Write what all nodes have learned when it has changed for good."""
    value = node.learned.build_due_record() if node.readers.is_reader else None
    if value is None:
        return
    offset = await node.store.append(NODES_TOPIC, LEARNED_KEY, value)
    if isinstance(offset, StoreFailure):
        # it is written later by the same chance, here or elsewhere
        logger.warning("learned calls not kept", kind=offset.kind)
    else:
        node.learned.apply(value)
        logger.info("learned calls kept", offset=offset)
