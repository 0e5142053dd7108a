"""The composition root: the only place that wires the parts of a node."""

from __future__ import annotations

import random
import secrets
import signal
from typing import TYPE_CHECKING

import anyio
from attrs import define
from loguru import logger

from eelgrassmount.blackboard import Blackboard
from eelgrassmount.calls.dispatch import Dispatcher
from eelgrassmount.calls.downstream import Downstream
from eelgrassmount.calls.entry import Entry
from eelgrassmount.calls.handlers import CallHandlers
from eelgrassmount.calls.local import LocalRunner
from eelgrassmount.calls.remote import RemoteRunner
from eelgrassmount.calls.router import Router
from eelgrassmount.calls.table import CallTable
from eelgrassmount.edge.announcements import Announcements
from eelgrassmount.edge.backend import BackendListener
from eelgrassmount.edge.caller import CallerListener
from eelgrassmount.edge.http import serve_http
from eelgrassmount.edge.server import ServerClient
from eelgrassmount.members.simple import SimpleMembership
from eelgrassmount.members.table import Identity
from eelgrassmount.metrics import make_metrics
from eelgrassmount.peer.listener import PeerListener
from eelgrassmount.peer.pool import PeerPool
from eelgrassmount.retry.budget import RetryRatio
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.timers import MonotonicClock, TimerService
from eelgrassmount.util.background import Background

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from eelgrassmount.settings import Settings

ID_BITS = 64
INCARNATION_BYTES = 8
EXPIRE_PERIOD_S = 1.0


@define(eq=False)
class Node:
    """The parts of one node that outlive the wiring."""

    settings: Settings
    board: Blackboard
    timers: TimerService
    table: CallTable
    peers: PeerPool
    stopped: anyio.Event


async def serve_node(
    settings: Settings, configuration: Configuration | None = None
) -> None:
    """Run a node until it is told to stop."""
    async with anyio.create_task_group() as group:
        node = await _start_node(
            settings, Background(group, lambda: None), configuration
        )
        group.start_soon(_wait_for_signal, node)
        await node.stopped.wait()
        group.cancel_scope.cancel()


def run_node(settings: Settings) -> None:
    """Run a node as the main job of a process."""
    anyio.run(serve_node, settings)


async def _wait_for_signal(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.stopped.set()


def _make_identity(settings: Settings) -> Identity:
    return Identity(
        address=str(settings.advertise_address),
        failure_domain=settings.failure_domain,
        region=settings.region,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
    )


async def _start_node(settings, group, configuration) -> Node:
    rng = random.Random(secrets.randbits(ID_BITS))

    def make_id() -> str:
        return f"{rng.getrandbits(ID_BITS):016x}"

    metrics = make_metrics()
    timers = TimerService(MonotonicClock(), rng)
    identity = _make_identity(settings)
    board = Blackboard(identity)
    if configuration is not None:
        board.configuration = configuration
    table = CallTable()
    silence_s = settings.peer_silence_ms / 1000
    peers = PeerPool(
        identity,
        settings.peer_address.host,
        silence_s,
        settings.max_frame_bytes,
        timers,
        metrics,
    )
    membership = SimpleMembership(
        board, timers, peers, tuple(str(peer) for peer in settings.peers)
    )
    gate = FixedGate()
    client = ServerClient(timers.clock, metrics, settings.max_body_bytes)
    announcements = Announcements(
        board, timers, membership.announce_change, table.count_running
    )
    local = LocalRunner(
        board, timers, table, gate, client, Quarantine(), metrics, announcements.remove
    )
    remote = RemoteRunner(peers, timers, lambda address, frame: None)
    router = Router(board, rng)
    dispatcher = Dispatcher(
        identity.address, timers, router, local, remote, RetryRatio(), metrics, make_id
    )
    downstream = Downstream(
        board,
        timers,
        table,
        dispatcher.run,
        group,
        make_id,
        lambda class_name, service: None,
    )
    entry = Entry(
        board,
        timers,
        dispatcher.run,
        PlainKeys(dispatcher.run),
        lambda work_class, service, priority: None,
        lambda work_class, service, verdict, seconds: None,
        metrics,
        make_id,
    )
    handlers = {
        **CallHandlers(
            timers, table, local, dispatcher.run, lambda: [], metrics
        ).make_handlers(),
        **membership.handlers(),
    }
    listener = PeerListener(
        identity, settings.peer_address, settings.max_frame_bytes, handlers, metrics
    )
    await peers.start(group)
    await listener.start(group)
    await membership.start(group)
    announcements.start()
    timers.subscribe(EXPIRE_PERIOD_S, lambda: table.expire(timers.read()))
    await serve_http(
        CallerListener(entry, settings.max_body_bytes, metrics),
        settings.caller_address,
        group,
    )
    await serve_http(
        BackendListener(announcements, downstream, settings.max_body_bytes),
        settings.backend_address,
        group,
    )
    group.start_soon(timers.run)
    logger.info("node started", failure_domain=identity.failure_domain)
    return Node(settings, board, timers, table, peers, anyio.Event())


@define(eq=False)
class FixedGate:
    async def enter(self, context):
        return None

    def leave(self, sample):
        pass


@define(eq=False)
class PlainKeys:
    run: object

    def mint(self):
        return ""
