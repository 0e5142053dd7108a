"""The periodic work of one node on tables of the size to come.

The parts of a real node are built and their tables filled by hand, since no
single machine runs a failure domain of 715 members. Each periodic function is
called many times; what it takes and how often it runs give milliseconds a second.
"""

from __future__ import annotations

import math
import os
import time
from typing import TYPE_CHECKING

import anyio
import numpy as np
from attrs import evolve

from benchmarks.capacity_cluster import read_usage
from benchmarks.capacity_works import Table, Work
from eelgrassmount.compose.node import Node, build_node
from eelgrassmount.config.readers import READERS_PER_DOMAIN
from eelgrassmount.context import Context, Tier
from eelgrassmount.members.delegates import choose_addresses, summarize_services
from eelgrassmount.members.table import (
    Identity,
    Member,
    ServerState,
    ServiceSummary,
)
from eelgrassmount.members.timing import DELEGATES_PER_DOMAIN
from eelgrassmount.settings import load_settings
from eelgrassmount.shared_node_state import LocalServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.timers import Timer

SEED = 20261202
SIZES = ((10, 5), (50, 370), (300, 100), (715, 5), (715, 370))
OTHER_DOMAINS = 13
ADDRESSES = 2
IP = "127.0.0.1"
OWN = "domain-0"
SUBJECT = "service-0"
FIRST_PORT = 1000
LAST_PORT = 9000
IDLE_PAUSE_S = 1.0
KEYS_PLANS_PER_S = 2.0
_REPEATS = 15
_US = 1_000_000


class Idle:
    """Takes tasks and runs none of them."""

    def start_soon(self, function: object, *args: object) -> None:
        pass


def measure_tables() -> list[Table]:
    """Measure a node for each size of its tables."""
    return [
        anyio.run(_measure, members, services, delegate)
        for members, services in SIZES
        for delegate in (False, True)
    ]


async def _measure(members: int, services: int, delegate: bool) -> Table:
    before_mb = read_usage(os.getpid()).memory_mb
    async with anyio.create_task_group() as group:
        node = await _build(group, members, services, delegate)
        memory_mb = read_usage(os.getpid()).memory_mb - before_mb
        timers = [timer for _, _, timer in node.base.timers._heap]
        works = [_time_timer(timer) for timer in timers if timer.period_s]
        works += _time_others(node) + _time_path(node)
        group.cancel_scope.cancel()
    return Table(
        members,
        services,
        len(node.base.shared_state.members.summaries),
        delegate,
        memory_mb,
        sorted(works, key=lambda work: -work.ms),
    )


async def _build(
    group: anyio.abc.TaskGroup, members: int, services: int, delegate: bool
) -> Node:
    own = _find_address(members, delegate)
    # nothing listens; the addresses only have to differ
    others = ("caller_address", "backend_address", "admin_address", "log_address")
    flags = {name: f"{IP}:{port}" for port, name in enumerate(others, start=1)}
    settings = load_settings({**flags, "peer_address": own, "failure_domain": OWN}, {})
    node = build_node(settings, group)
    _fill(node, members, services)
    idle = Idle()
    await node.base.peers.start(idle)
    await node.membership.start(idle)
    await node.follower.start(idle)
    await node.keys.start(idle)
    node.path.announcements.start()
    node.path.probes.start()
    node.shutdown.start(idle)
    node.base.shared_state.server = LocalServer(SUBJECT, f"{IP}:9", ServerState.SERVING)
    return node


def _find_address(members: int, delegate: bool) -> str:
    """Return an own address whose hash makes the node a delegate, or not."""
    others = [_name_member(number) for number in range(members - 1)]
    for port in range(FIRST_PORT, LAST_PORT):
        own = f"{IP}:{port}"
        delegates = choose_addresses(OWN, [*others, own], DELEGATES_PER_DOMAIN)
        readers = choose_addresses("", [*others, own], READERS_PER_DOMAIN)
        if (own in delegates, own in readers) == (delegate, False):
            return own
    raise RuntimeError("no address with that rank")


def _fill(node: Node, members: int, services: int) -> None:
    roster = node.membership.roster
    now_s = node.base.timers.read()
    for number in range(members - 1):
        roster.apply_member(_make_member(number, services, now_s), now_s)
    for domain in range(1, OTHER_DOMAINS + 1):
        for service in range(services):
            roster.apply_summary(_make_summary(domain, service, now_s), now_s)
    # what the own failure domain has published, as it would be after a while
    known = roster.table.members.values()
    for summary in summarize_services(known, {}, OWN, now_s).values():
        roster.apply_summary(evolve(summary, sequence=1), now_s)


def _name_member(number: int) -> str:
    return f"127.0.{number // 250 + 1}.{number % 250 + 1}:9000"


def _make_member(number: int, services: int, now_s: float) -> Member:
    return Member(
        Identity(
            _name_member(number),
            OWN,
            "default",
            f"{number:016x}",
        ),
        heartbeat=1,
        service=f"service-{number % services}",
        server_state=ServerState.SERVING,
        headroom=20,
        threshold=2048,
        started=1,
        received_s=now_s,
    )


def _make_summary(domain: int, service: int, now_s: float) -> ServiceSummary:
    return ServiceSummary(
        failure_domain=f"domain-{domain}",
        service=f"service-{service}",
        sequence=1,
        servers=ADDRESSES,
        headroom=40,
        threshold=2048,
        addresses=tuple(
            f"127.{domain}.{service % 250}.{index + 1}:9000"
            for index in range(ADDRESSES)
        ),
        received_s=now_s,
    )


def _time_timer(timer: Timer) -> Work:
    each_us = _time(timer.action)
    name = getattr(timer.action, "__qualname__", "other")
    return Work(name, each_us, 1.0 / timer.period_s)


def _time_others(node: Node) -> list[Work]:
    """Time what tasks of the node do without a timer."""
    follower = node.keys.follower

    def plan() -> None:
        core = follower.core
        core._roster_s = -math.inf
        follower._plan(core.read_roster())

    return [
        Work("keys: roster and plan", _time(plan), KEYS_PLANS_PER_S),
        Work(
            "ConfigFollower.tails_log",
            _time(lambda: node.follower.tails_log),
            1.0 / IDLE_PAUSE_S,
        ),
    ]


def _time_path(node: Node) -> list[Work]:
    """Time the choices that each call costs."""
    control = node.path.control
    far = _make_context("far")
    excluded = {
        member.identity.address
        for member in node.base.shared_state.members.find_serving(SUBJECT)
    }

    def choose(excluded: set[str]) -> None:
        address = control.choose(far, SUBJECT, excluded)
        if address is not None:
            control.routing.records[address].outstanding = 0

    return [
        Work("path: choose a server near", _time(lambda: choose(set()))),
        Work("path: choose a server far", _time(lambda: choose(excluded))),
        Work("path: describe load", _time(node.path.gate.describe)),
    ]


def _make_context(name: str) -> Context:
    return Context(
        root_id=name,
        call_id=name,
        parent_id="",
        class_name="",
        deadline_s=math.inf,
        attempts_left=1,
        tier=Tier.REFUSED_FIRST,
        priority=0,
        depth=0,
        idempotent=True,
    )


def _time(action: Callable[[], object]) -> float:
    """Return the microseconds of processor time that an action takes."""
    action()
    times = []
    for _ in range(_REPEATS):
        began_s = time.process_time()
        action()
        times.append(time.process_time() - began_s)
    return float(np.median(times)) * _US
