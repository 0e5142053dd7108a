"""Wiring of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define

from eelgrassmount.calls.admission import AdmissionRunner, KeyOwnerRunner
from eelgrassmount.calls.ingress import Ingress
from eelgrassmount.compose.base import Base, build_base
from eelgrassmount.compose.path import Path, build_path
from eelgrassmount.config.follower import ConfigFollower
from eelgrassmount.drain.shutdown import Shutdown
from eelgrassmount.drain.stages import DrainLimits
from eelgrassmount.edge.http import HttpServer
from eelgrassmount.keys.core import KeySettings
from eelgrassmount.keys.service import KeyService
from eelgrassmount.members.counts import Counts
from eelgrassmount.members.membership import Membership

if TYPE_CHECKING:
    from eelgrassmount.gen.ttypes import Gossip
    from eelgrassmount.settings import Settings

ALL_SLOTS = 0


@define(eq=False)
class Node:
    """All parts of one node."""

    base: Base
    path: Path
    membership: Membership
    follower: ConfigFollower
    keys: KeyService
    entry: Ingress
    shutdown: Shutdown
    callers: list[HttpServer]


def build_node(settings: Settings, group: anyio.abc.TaskGroup) -> Node:
    """Return a node whose parts are wired but not started."""
    base = build_base(settings, group)
    membership = _build_membership(base)
    path = build_path(base, membership.announce_change)
    membership.describe_load = path.server_dispatcher.describe
    follower = ConfigFollower(
        base.shared_state,
        base.timers,
        base.peers,
        base.log,
        base.rng,
        _name_seeds(settings),
    )
    keys = _build_keys(base, path)
    entry = Ingress(
        base.shared_state,
        base.timers,
        AdmissionRunner(base.shared_state, path.control, path.dispatcher.run),
        keys,
        path.control,
        base.metrics,
        base.make_id,
    )
    _join_gossip(membership, base, path, follower, keys)
    callers: list[HttpServer] = []
    shutdown = _build_shutdown(base, path, membership, keys, callers)
    return Node(base, path, membership, follower, keys, entry, shutdown, callers)


def _name_seeds(settings: Settings) -> tuple[str, ...]:
    return tuple(str(peer) for peer in settings.peers)


def _build_membership(base: Base) -> Membership:
    def note_event(count: str) -> None:
        base.metrics.member_events.labels(count).inc()

    return Membership(
        base.shared_state,
        base.timers,
        base.peers,
        base.log,
        base.rng,
        _name_seeds(base.settings),
        Counts(listener=note_event),
    )


def _build_keys(base: Base, path: Path) -> KeyService:
    def note_event(name: str) -> None:
        base.metrics.key_events.labels(name).inc()

    admitting = AdmissionRunner(base.shared_state, path.control, path.dispatcher.run)
    return KeyService.create(
        base.shared_state,
        base.timers,
        base.peers,
        base.log,
        KeyOwnerRunner(path.control, admitting),
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
        # callers may send requests until the listener closes: only calls count
        if callers and not callers[0].should_exit:
            return running
        return running + path.in_flight.requests

    async def hand_over() -> None:
        for server in callers:
            server.stop()
        await keys.hand_over()

    return Shutdown(
        base.shared_state,
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
    """Exchange versions and quarantine suspects in membership gossip."""

    def fill_versions(gossip: Gossip) -> None:
        gossip.config_version = base.shared_state.configuration.version
        gossip.slot_versions = {ALL_SLOTS: keys.find_version()}

    def observe_versions(address: str, gossip: Gossip) -> None:
        follower.record_announced_version(address, gossip.config_version or 0)
        if address in base.shared_state.members.members:
            keys.handle_version((gossip.slot_versions or {}).get(ALL_SLOTS, 0), address)

    membership.fillers += [fill_versions, path.quarantine.fill]
    membership.observers += [observe_versions, path.quarantine.observe]
