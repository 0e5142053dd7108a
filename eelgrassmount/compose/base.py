"""Shared services of a node: settings, timers, metrics, log and peer connections."""

from __future__ import annotations

import random
import secrets
from typing import TYPE_CHECKING

import anyio
from attrs import define

from eelgrassmount.log_client import LogClient
from eelgrassmount.members.table import Identity
from eelgrassmount.metered_log import MeteredLog
from eelgrassmount.metrics import Metrics, make_metrics
from eelgrassmount.peer.pool import PeerPool
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.timers import MonotonicClock, TimerService
from eelgrassmount.util.background import Background

if TYPE_CHECKING:
    from eelgrassmount.settings import Settings

ID_BITS = 64
INCARNATION_BYTES = 8
TIMER_RESOLUTION_S = 0.1


@define(eq=False)
class Base:
    """Services that all parts of a node use."""

    settings: Settings
    shared_state: SharedNodeState
    timers: TimerService
    rng: random.Random
    metrics: Metrics
    tasks: Background
    peers: PeerPool
    log: MeteredLog

    def make_id(self) -> str:
        """Return a new id for a request or a call."""
        return f"{self.rng.getrandbits(ID_BITS):016x}"


def build_base(settings: Settings, group: anyio.abc.TaskGroup) -> Base:
    """Return the services that all parts of a node use."""
    rng = random.Random(secrets.randbits(ID_BITS))
    metrics = make_metrics()
    timers = TimerService(
        MonotonicClock(), rng, metrics.internal_errors.inc, TIMER_RESOLUTION_S
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
        shared_state=SharedNodeState(identity),
        timers=timers,
        rng=rng,
        metrics=metrics,
        tasks=Background(group, metrics.internal_errors.inc),
        peers=peers,
        log=MeteredLog(LogClient(f"http://{settings.log_address}"), metrics),
    )
