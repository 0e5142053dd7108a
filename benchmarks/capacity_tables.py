"""Measures the periodic work of one node on full-size tables.

A node is built and its tables are filled directly, because one machine cannot run
a failure domain of 715 members. The processor time of each periodic function and its
rate give the milliseconds per second.
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
from benchmarks.capacity_periodic_work import Table, Work
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
ADDRESSES_PER_SUMMARY = 2
IP = "127.0.0.1"
LOCAL_DOMAIN = "domain-0"
SERVICE = "service-0"
FIRST_PORT = 1000
LAST_PORT = 9000
TAIL_CHECK_INTERVAL_S = 1.0
KEY_PLANS_PER_S = 2.0
_REPEATS = 15
_US_PER_S = 1_000_000


class IdleTaskGroup:
    """Stands in for a task group, and runs no tasks."""

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
    local_address = _find_local_address(members, delegate)
    # Nothing listens on these addresses; they only have to differ.
    others = ("caller_address", "backend_address", "admin_address", "log_address")
    flags = {name: f"{IP}:{port}" for port, name in enumerate(others, start=1)}
    settings = load_settings(
        {**flags, "peer_address": local_address, "failure_domain": LOCAL_DOMAIN}, {}
    )
    node = build_node(settings, group)
    _fill(node, members, services)
    task_group = IdleTaskGroup()
    await node.base.peers.start(task_group)
    await node.membership.start(task_group)
    await node.follower.start(task_group)
    await node.keys.start(task_group)
    node.path.announcements.start()
    node.path.probes.start()
    node.shutdown.start(task_group)
    node.base.shared_state.server = LocalServer(SERVICE, f"{IP}:9", ServerState.SERVING)
    return node


def _find_local_address(members: int, delegate: bool) -> str:
    """Return a local address whose hash makes the node a delegate, or not."""
    others = [_name_member(number) for number in range(members - 1)]
    for port in range(FIRST_PORT, LAST_PORT):
        local_address = f"{IP}:{port}"
        delegates = choose_addresses(
            LOCAL_DOMAIN, [*others, local_address], DELEGATES_PER_DOMAIN
        )
        readers = choose_addresses("", [*others, local_address], READERS_PER_DOMAIN)
        if (local_address in delegates, local_address in readers) == (delegate, False):
            return local_address
    raise RuntimeError("no local address gives the node this role")


def _fill(node: Node, members: int, services: int) -> None:
    roster = node.membership.roster
    now_s = node.base.timers.read()
    for number in range(members - 1):
        roster.apply_member(_make_member(number, services, now_s), now_s)
    for domain in range(1, OTHER_DOMAINS + 1):
        for service in range(services):
            roster.apply_summary(_make_summary(domain, service, now_s), now_s)
    # summaries that the local failure domain has published
    known = roster.table.members.values()
    for summary in summarize_services(known, {}, LOCAL_DOMAIN, now_s).values():
        roster.apply_summary(evolve(summary, sequence=1), now_s)


def _name_member(number: int) -> str:
    return f"127.0.{number // 250 + 1}.{number % 250 + 1}:9000"


def _make_member(number: int, services: int, now_s: float) -> Member:
    return Member(
        Identity(
            _name_member(number),
            LOCAL_DOMAIN,
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
        servers=ADDRESSES_PER_SUMMARY,
        headroom=40,
        threshold=2048,
        addresses=tuple(
            f"127.{domain}.{service % 250}.{index + 1}:9000"
            for index in range(ADDRESSES_PER_SUMMARY)
        ),
        received_s=now_s,
    )


def _time_timer(timer: Timer) -> Work:
    each_us = _time(timer.action)
    name = getattr(timer.action, "__qualname__", "other")
    return Work(name, each_us, 1.0 / timer.period_s)


def _time_others(node: Node) -> list[Work]:
    """Measure the periodic work of tasks that run without a timer."""
    follower = node.keys.follower

    def plan() -> None:
        core = follower.core
        core._roster_s = -math.inf
        follower._plan(core.read_roster())

    return [
        Work("keys: roster and plan", _time(plan), KEY_PLANS_PER_S),
        Work(
            "ConfigFollower.tails_log",
            _time(lambda: node.follower.tails_log),
            1.0 / TAIL_CHECK_INTERVAL_S,
        ),
    ]


def _time_path(node: Node) -> list[Work]:
    """Measure the functions that run for each call."""
    control = node.path.control
    remote_context = _make_context("far")
    excluded = {
        member.identity.address
        for member in node.base.shared_state.members.find_serving(SERVICE)
    }

    def choose(excluded: set[str]) -> None:
        address = control.choose(remote_context, SERVICE, excluded)
        if address is not None:
            control.routing.records[address].outstanding = 0

    return [
        Work("path: choose a local server", _time(lambda: choose(set()))),
        Work("path: choose a remote server", _time(lambda: choose(excluded))),
        Work("path: describe load", _time(node.path.server_dispatcher.describe)),
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
    """Return the median processor time of an action in microseconds."""
    action()
    times = []
    for _ in range(_REPEATS):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return float(np.median(times)) * _US_PER_S
