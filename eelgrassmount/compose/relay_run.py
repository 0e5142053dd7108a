"""Start, run and stop a node beside its backend server."""

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
# limit of the listeners for announcements, readiness and metrics
MAX_BODY_BYTES = 1024 * 1024
LINK_CHECK_INTERVAL_S = 0.1
# request-count intervals between two updates of the call graph
LEARNING_INTERVAL_STEPS = 4
# exponential backoff of a node that can't write its record
MIN_RECORD_RETRY_DELAY_S = 0.5
MAX_RECORD_RETRY_DELAY_S = 3.0


async def serve_relay(path: str) -> None:
    """Run a node with a settings file until SIGTERM or SIGINT, then shut it down.

    Raises `ListenError` when one of its addresses can't be bound.
    """
    settings = load_settings(path)
    # log lines of several nodes are read together
    logger.configure(extra={"node": settings.name})
    node = build_relay(settings)
    watch = SettingsWatch(path, load_settings, node.apply_settings)
    node.check_settings = watch.check
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
    """Shut a node down: first for clients, then for calls of other nodes."""
    stopping = Shutdown(
        node.state,
        node.callers,
        node.inbound,
        node.settings.grace_s,
        node.control_loop.report_now,
        node.count_open,
    )
    node.state.stopping = True
    node.ingress.waiting_room.check()
    async with anyio.create_task_group() as group:
        group.start_soon(_delete_local_record, node)
        await stopping.run()
        group.cancel_scope.cancel()
    node.decisions.report_dropped_lines()
    node.end()


async def _delete_local_record(node: RelayNode) -> None:
    """Delete the log record of this node if its server has left permanently.

    Other nodes would otherwise keep counting it and reserve quotas for it. Failed calls
    are repeated until cancelled.
    """
    if not node.state.server.has_left:
        return
    backoff = Backoff(node.rng, MIN_RECORD_RETRY_DELAY_S, MAX_RECORD_RETRY_DELAY_S)
    while True:
        offset = await node.store.append(NODES_TOPIC, node.settings.name, b"")
        if not isinstance(offset, StoreFailure):
            logger.info("own record dropped", offset=offset)
            return
        logger.warning("own record not dropped", kind=offset.kind)
        await anyio.sleep(backoff.fail())


async def start_relay(node: RelayNode, group: TaskGroup) -> None:
    """Start all parts of a node, the listener for clients last."""
    settings = node.settings
    node.register_local_node()
    node.startup_check.enable()
    await _listen(node)
    subscribe_timers(node)
    group.start_soon(node.timers.run)
    group.start_soon(_follow_topic, node, CONFIGURATION_TOPIC)
    group.start_soon(_join_cluster, node)
    group.start_soon(_maintain_records, node)
    logger.info(
        "node started",
        incarnation=node.state.incarnation,
        service=settings.service,
        failure_domain=settings.failure_domain,
    )


async def _listen(node: RelayNode) -> None:
    settings = node.settings
    clock = node.state.clock
    announcements = AnnouncementListener(
        node.state.server,
        read_announcement,
        lambda: node.check_settings(),
        node.handle_server_change,
        node.rejected_messages,
    )
    metrics_address = Address(settings.peer_address.host, METRICS_PORT)
    await _bind(node.inbound, settings.peer_address)
    for handle, address in (
        (announcements.handle, settings.announce_address),
        (node.handle_readiness_request, settings.ready_address),
        (node.handle_metrics_request, metrics_address),
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
    """Subscribe the periodic work of a node to its timers."""
    timers = node.timers
    stalls = StallWatch(
        LINK_CHECK_INTERVAL_S,
        read_process_times,
        timers.slowest.pop,
        node.metrics.stalls.inc,
    )
    timers.subscribe(LINK_CHECK_INTERVAL_S, stalls.check)
    timers.subscribe(LINK_CHECK_INTERVAL_S, node.links.maintain_links)
    timers.subscribe(CONTROL_INTERVAL_S, node.readers.step)
    timers.subscribe(CONTROL_INTERVAL_S, node.quotas.step)
    timers.subscribe(CONTROL_INTERVAL_S, node.control_loop.step)
    timers.subscribe(CONTROL_INTERVAL_S, node.dispatcher.sweep)
    # A server that runs nothing has no other occasion to offer its slots.
    timers.subscribe(LINK_CHECK_INTERVAL_S, node.work_stealing.offer_slots)
    timers.subscribe(
        REQUEST_COUNT_INTERVAL_S, lambda: update_request_counts(node.state)
    )
    timers.subscribe(REQUEST_COUNT_INTERVAL_S, make_learning_step(node))
    timers.subscribe(SWEEP_INTERVAL_S, node.callers.sweep)
    timers.subscribe(SWEEP_INTERVAL_S, node.dispatcher.pool.sweep)
    timers.subscribe(SWEEP_INTERVAL_S, node.inbound.expire)
    timers.subscribe(SWEEP_INTERVAL_S, node.decisions.report_dropped_lines)
    timers.subscribe(SWEEP_INTERVAL_S, node.ingress.waiting_room.report)
    timers.subscribe(SWEEP_INTERVAL_S, node.ingress.returns.step)
    timers.subscribe(SWEEP_INTERVAL_S, node.forget_routes)
    timers.subscribe(SWEEP_INTERVAL_S, node.ingress.call_attributor.discard_old_answers)
    timers.subscribe(SWEEP_INTERVAL_S, node.state.completed.decay)


def make_learning_step(node: RelayNode) -> Callable[[], None]:
    """Return the timer step that updates the call graph.

    Until calls are learned, each step updates it, so that a surge after the start is
    handled.
    """
    steps = itertools.count(1)

    def step() -> None:
        graph = node.state.graph
        if not graph.has_learned_calls() or next(steps) % LEARNING_INTERVAL_STEPS == 0:
            update_call_graph(node.state)

    return step


async def _follow_topic(node: RelayNode, topic: str) -> None:
    apply_records = node.apply_configuration_records
    if topic == NODES_TOPIC:
        apply_records = node.apply_node_records
    follower = TopicFollower(
        node.store, topic, apply_records, node.rng, node.count_unreadable_records
    )
    follower.clock = node.state.clock
    follower.find_wait_s = node.readers.find_read_wait_s
    follower.on_change = node.readers.announce_change
    if topic == NODES_TOPIC:
        follower.on_read = node.readers.record_read
        follower.next_offset = node.readers.record_table.next_offset or None
    follower.set_wanted(node.readers.reading)
    node.followers.append(follower)
    node.readers.step()
    await follower.run()


async def _join_cluster(node: RelayNode) -> None:
    """Write this node's record unless the log has it, then follow all records.

    While the log is unreachable, the node relies on the nodes that open links to it.
    """
    local_record = make_local_record(node)
    backoff = Backoff(node.rng, MIN_RECORD_RETRY_DELAY_S, MAX_RECORD_RETRY_DELAY_S)
    while not await _ensure_local_record(node, local_record):
        node.readers.start()
        await anyio.sleep(backoff.fail())
        # another node may have supplied the record; only an identical one under this
        # key leads other nodes here
        if node.readers.record_table.find(local_record.key) == local_record:
            break
    node.readers.start()
    await _follow_topic(node, NODES_TOPIC)


def make_local_record(node: RelayNode) -> StoredRecord:
    """Return the record by which other nodes find this node."""
    settings = node.settings
    record = ttypes.NodeRecord(
        settings.name,
        str(settings.peer_address),
        settings.failure_domain,
        node.state.server.service,
    )
    return StoredRecord(settings.name, encode_struct(record))


async def _ensure_local_record(node: RelayNode, local_record: StoredRecord) -> bool:
    """Read the records of all nodes, and append this node's if it is missing.

    Return whether the log holds the record.
    """
    record_table = node.readers.record_table
    resets = record_table.resets
    snapshot = await node.store.read_newest(NODES_TOPIC)
    # A restored log assigns offsets again, also between two pages of a snapshot.
    if isinstance(snapshot, StoreFailure) or record_table.resets != resets:
        return False
    node.apply_node_records(snapshot.records)
    record_table.apply(snapshot.records, snapshot.end)
    if record_table.find(local_record.key) == local_record:
        return True
    offset = await node.store.append(NODES_TOPIC, local_record.key, local_record.value)
    if isinstance(offset, StoreFailure):
        return False
    record_table.put(evolve(local_record, offset=offset))
    return True


async def _maintain_records(node: RelayNode) -> None:
    """Write learned calls and this node's record to the log whenever due."""
    state = node.state
    local_record = LocalRecord(
        lambda: make_local_record(node),
        node.readers.record_table,
        lambda: len(state.members.by_name),
        state.clock,
        node.rng,
    )
    while True:
        await anyio.sleep(RECORD_CHECK_INTERVAL_S)
        await _write_learned_calls(node)
        if node.readers.started and not state.stopping and local_record.is_due():
            await _write_local_record(node, make_local_record(node))


async def _write_local_record(node: RelayNode, record: StoredRecord) -> None:
    offset = await node.store.append(NODES_TOPIC, record.key, record.value)
    if isinstance(offset, StoreFailure):
        logger.warning("own record not written", kind=offset.kind)
        return
    logger.info("own record written again", offset=offset)
    node.readers.record_table.put(evolve(record, offset=offset))


async def _write_learned_calls(node: RelayNode) -> None:
    """Write the learned calls to the log after a lasting change."""
    value = node.learned.build_due_record() if node.readers.is_reader else None
    if value is None:
        return
    offset = await node.store.append(NODES_TOPIC, LEARNED_KEY, value)
    if isinstance(offset, StoreFailure):
        # this or another node retries at a later interval
        logger.warning("learned calls not kept", kind=offset.kind)
    else:
        node.learned.apply(value)
        logger.info("learned calls kept", offset=offset)
