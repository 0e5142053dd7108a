"""The composition root: the only place that wires the parts of a node."""

from __future__ import annotations

import random
import secrets
import signal
from typing import TYPE_CHECKING

import anyio
from attrs import define
from loguru import logger

from eelgrassmount.admin.listener import AdminListener
from eelgrassmount.admin.routes import add_routes
from eelgrassmount.blackboard import Blackboard, DrainStage
from eelgrassmount.calls.admission import AdmittingRunner, OwnedRunner
from eelgrassmount.calls.dispatch import Dispatcher
from eelgrassmount.calls.downstream import Downstream
from eelgrassmount.calls.entry import Entry
from eelgrassmount.calls.handlers import CallHandlers
from eelgrassmount.calls.inflight import InFlight
from eelgrassmount.calls.local import LocalRunner
from eelgrassmount.calls.remote import RemoteRunner
from eelgrassmount.calls.table import CallTable
from eelgrassmount.config.follower import ConfigFollower
from eelgrassmount.drain.shutdown import Shutdown
from eelgrassmount.drain.stages import Cause, DrainLimits
from eelgrassmount.edge.announcements import Announcements
from eelgrassmount.edge.backend import BackendListener
from eelgrassmount.edge.caller import CallerListener
from eelgrassmount.edge.http import HttpServer, serve_http
from eelgrassmount.edge.probes import ServerProbes
from eelgrassmount.edge.server import ServerClient
from eelgrassmount.errors import ListenError
from eelgrassmount.keys.core import KeySettings
from eelgrassmount.keys.service import KeyService
from eelgrassmount.load.control import LoadControl
from eelgrassmount.load.gate import LimitedGate
from eelgrassmount.members.counts import Counts
from eelgrassmount.members.membership import Membership
from eelgrassmount.members.table import Identity
from eelgrassmount.metrics import Metrics, make_metrics
from eelgrassmount.peer.listener import PeerListener
from eelgrassmount.peer.pool import PeerPool
from eelgrassmount.platform.client import LogClient
from eelgrassmount.platform.metered import MeteredLog
from eelgrassmount.retry.budget import RetryRatio
from eelgrassmount.retry.exchange import QuarantineExchange
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.timers import MonotonicClock, TimerService
from eelgrassmount.util.background import Background

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.gen.ttypes import Gossip
    from eelgrassmount.settings import Settings

ID_BITS = 64
INCARNATION_BYTES = 8
EXPIRE_PERIOD_S = 1.0
TIMER_GRID_S = 0.1
ALL_SLOTS = 0


@define(eq=False)
class Base:
    """What every part is built on."""

    settings: Settings
    board: Blackboard
    timers: TimerService
    rng: random.Random
    metrics: Metrics
    tasks: Background
    peers: PeerPool
    log: MeteredLog

    def make_id(self) -> str:
        """Return a new id for a request or a call."""
        return f"{self.rng.getrandbits(ID_BITS):016x}"


@define(eq=False)
class Path:
    """The parts that a call passes through."""

    table: CallTable
    gate: LimitedGate
    control: LoadControl
    quarantine: Quarantine
    announcements: Announcements
    dispatcher: Dispatcher
    downstream: Downstream
    local: LocalRunner
    probes: ServerProbes
    in_flight: InFlight


@define(eq=False)
class Node:
    """All parts of one node."""

    base: Base
    path: Path
    membership: Membership
    follower: ConfigFollower
    keys: KeyService
    entry: Entry
    shutdown: Shutdown
    callers: list[HttpServer]


def run_node(settings: Settings) -> None:
    """Run a node as the main job of a process, until it is told to stop."""
    anyio.run(serve_node, settings)


async def serve_node(settings: Settings) -> None:
    """Run a node until it is told to stop.

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
    # the task group would wrap it
    if failure is not None:
        raise failure


async def _run_until_drained(node: Node) -> None:
    node.base.tasks.start_soon(_wait_for_signal, node)
    drain = await node.shutdown.wait()
    logger.info("node stopped", cause=drain.cause, cut=drain.cut)


async def _wait_for_signal(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.shutdown.request(Cause.SIGNAL)


def build_node(settings: Settings, group: anyio.abc.TaskGroup) -> Node:
    """Return a node whose parts are wired but not started."""
    base = _build_base(settings, group)
    membership = _build_membership(base)
    path = _build_path(base, membership.announce_change)
    membership.describe_load = path.gate.describe
    follower = ConfigFollower(
        base.board, base.timers, base.peers, base.log, base.rng, _name_seeds(settings)
    )
    keys = _build_keys(base, path)
    entry = Entry(
        base.board,
        base.timers,
        AdmittingRunner(base.board, path.control, path.dispatcher.run),
        keys,
        path.control,
        base.metrics,
        base.make_id,
    )
    _join_gossip(membership, base, path, follower, keys)
    callers: list[HttpServer] = []
    shutdown = _build_shutdown(base, path, membership, keys, callers)
    return Node(base, path, membership, follower, keys, entry, shutdown, callers)


def _build_base(settings: Settings, group: anyio.abc.TaskGroup) -> Base:
    rng = random.Random(secrets.randbits(ID_BITS))
    metrics = make_metrics()
    timers = TimerService(
        MonotonicClock(), rng, metrics.internal_errors.inc, TIMER_GRID_S
    )
    identity = Identity(
        address=str(settings.advertise_address),
        failure_domain=settings.failure_domain,
        region=settings.region,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
    )
    peers = PeerPool(
        identity,
        settings.peer_address.host,
        settings.peer_silence_ms / 1000,
        settings.max_frame_bytes,
        timers,
        metrics,
    )
    return Base(
        settings=settings,
        board=Blackboard(identity),
        timers=timers,
        rng=rng,
        metrics=metrics,
        tasks=Background(group, metrics.internal_errors.inc),
        peers=peers,
        log=MeteredLog(LogClient(f"http://{settings.log_address}"), metrics),
    )


def _name_seeds(settings: Settings) -> tuple[str, ...]:
    return tuple(str(peer) for peer in settings.peers)


def _build_membership(base: Base) -> Membership:
    def note_event(count: str) -> None:
        base.metrics.member_events.labels(count).inc()

    return Membership(
        base.board,
        base.timers,
        base.peers,
        base.log,
        base.rng,
        _name_seeds(base.settings),
        Counts(listener=note_event),
    )


def _build_path(base: Base, note_change: Callable[[], None]) -> Path:
    table = CallTable()
    gate = LimitedGate(base.board, base.timers)
    control = LoadControl(base.board, base.timers)
    quarantine = Quarantine()
    client = ServerClient(base.timers.clock, base.metrics, base.settings.max_body_bytes)
    announcements = Announcements(
        base.board, base.timers, note_change, table.count_running
    )
    local = LocalRunner(
        base.board,
        base.timers,
        table,
        gate,
        client,
        quarantine,
        control.exchange,
        base.metrics,
        announcements.remove,
    )
    dispatcher = Dispatcher(
        base.board.identity.address,
        base.timers,
        control,
        local,
        RemoteRunner(base.board, base.peers, base.timers),
        RetryRatio(),
        quarantine,
        base.metrics,
        base.make_id,
    )
    downstream = Downstream(
        base.board,
        base.timers,
        table,
        dispatcher.run,
        base.tasks,
        base.make_id,
        control.exchange,
    )
    probes = ServerProbes(
        client, base.timers, base.tasks, lambda: base.board.server.address
    )
    return Path(
        table=table,
        gate=gate,
        control=control,
        quarantine=quarantine,
        announcements=announcements,
        dispatcher=dispatcher,
        downstream=downstream,
        local=local,
        probes=probes,
        in_flight=InFlight(),
    )


def _build_keys(base: Base, path: Path) -> KeyService:
    def note_event(name: str) -> None:
        base.metrics.key_events.labels(name).inc()

    admitting = AdmittingRunner(base.board, path.control, path.dispatcher.run)
    return KeyService.create(
        base.board,
        base.timers,
        base.peers,
        base.log,
        OwnedRunner(path.control, admitting),
        base.rng,
        KeySettings(
            window_s=base.settings.key_window_s, table_size=base.settings.key_table_size
        ),
        note_event,
    )


def _build_shutdown(
    base: Base,
    path: Path,
    membership: Membership,
    keys: KeyService,
    callers: list[HttpServer],
) -> Shutdown:
    def count_in_flight() -> int:
        running = path.in_flight.calls + path.table.count_running()
        # until the listener closes, callers may keep sending
        if callers and not callers[0].should_exit:
            return running
        return running + path.in_flight.requests

    async def hand_over() -> None:
        for server in callers:
            server.end()
        await keys.hand_over()

    return Shutdown(
        base.board,
        base.timers,
        membership.announce_change,
        count_in_flight,
        hand_over,
        membership.leave,
        DrainLimits(limit_s=base.settings.drain_limit_s),
        lambda cause: base.metrics.drains.inc(),
    )


def _join_gossip(
    membership: Membership,
    base: Base,
    path: Path,
    follower: ConfigFollower,
    keys: KeyService,
) -> None:
    """Let versions and suspects ride on the messages of the membership."""
    suspects = QuarantineExchange(path.quarantine, base.timers.clock)

    def fill_versions(gossip: Gossip) -> None:
        gossip.config_version = base.board.configuration.version
        gossip.slot_versions = {ALL_SLOTS: keys.find_version()}

    def observe_versions(address: str, gossip: Gossip) -> None:
        follower.hear_version(address, gossip.config_version or 0)
        if address in base.board.members.members:
            keys.hear_version((gossip.slot_versions or {}).get(ALL_SLOTS, 0), address)

    membership.fillers += [fill_versions, suspects.fill]
    membership.observers += [observe_versions, suspects.observe]


async def start_node(node: Node) -> None:
    """Start all parts of a node, the listeners for calls last."""
    base = node.base
    await base.peers.start(base.tasks)
    await _listen_to_peers(node)
    await node.membership.start(base.tasks)
    await node.follower.start(base.tasks)
    await node.keys.start(base.tasks)
    node.path.announcements.start()
    node.path.probes.start()
    node.shutdown.start(base.tasks)
    base.timers.subscribe(EXPIRE_PERIOD_S, lambda: _expire(node))
    base.tasks.start_soon(base.timers.run)
    await _listen_to_http(node)
    logger.info(
        "node started",
        address=base.board.identity.address,
        failure_domain=base.board.identity.failure_domain,
        incarnation=base.board.identity.incarnation,
    )


def _expire(node: Node) -> None:
    node.path.table.expire(node.base.timers.read())
    _update_gauges(node)


def _update_gauges(node: Node) -> None:
    metrics = node.base.metrics
    metrics.config_version.set(node.base.board.configuration.version)
    metrics.in_flight.set(node.path.gate.in_flight)
    metrics.queued.set(len(node.path.gate.queue))
    metrics.limit.set(node.path.gate.limiter.limit)


async def _listen_to_peers(node: Node) -> None:
    base = node.base
    calls = CallHandlers(
        base.timers,
        node.path.table,
        node.path.local,
        node.keys.handle_own,
        node.path.in_flight,
        base.metrics,
    )
    listener = PeerListener(
        base.board.identity,
        base.settings.peer_address,
        base.settings.max_frame_bytes,
        {
            **calls.make_handlers(),
            **node.membership.handlers(),
            **node.follower.handlers(),
            **node.keys.handlers(),
        },
        base.metrics,
    )
    await listener.start(base.tasks)


async def _listen_to_http(node: Node) -> None:
    base = node.base
    max_body_bytes = base.settings.max_body_bytes
    admin = AdminListener(max_body_bytes)
    add_routes(
        admin,
        base.board,
        node.path.gate,
        node.path.table.count_running,
        node.follower,
        base.metrics,
        lambda: node.shutdown.request(Cause.ADMIN),
    )
    backend = BackendListener(
        node.path.announcements, node.path.downstream, max_body_bytes
    )
    caller = CallerListener(
        node.entry,
        max_body_bytes,
        base.metrics,
        node.path.in_flight,
        lambda: base.board.drain is not DrainStage.RUNNING,
    )
    await serve_http(admin, base.settings.admin_address, base.tasks)
    await serve_http(backend, base.settings.backend_address, base.tasks)
    server = await serve_http(
        caller, base.settings.caller_address, base.tasks, caller.note_malformed
    )
    node.callers.append(server)
