"""Measures the processor time of the periodic work of a node, by its number of members.

The node has links to and from all members, but no sockets: bytes that it writes are
only counted. No calls run. For each report that the node writes, it receives one. All
times are also shown relative to a fixed piece of work in pure Python, to compare runs
on a machine that others use too.

``python -m benchmarks.node_periodic``
"""

from __future__ import annotations

import json
import statistics
import time
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.compose.relay_run import subscribe_timers
from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import FrameKind, encode_frame
from eelgrassmount.relay.inbound import InboundConnection
from eelgrassmount.relay.link import LinkConnection, PeerLink
from eelgrassmount.timers import get_action_name
from tests.relay.deployment import make_document, make_rule
from tests.relay.lone_node import SETTINGS

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.compose.relay_node import RelayNode
    from eelgrassmount.relay.members import Member

MEMBERS_AND_SERVICES = ((80, 8), (300, 30))
DOMAINS = "abcd"
ROUNDS = 7
# seconds of periodic work in one round
ROUND_S = 10
US_PER_S = 1e6
REFERENCE_LOOPS = 20


@define(eq=False)
class CountingTransport:
    """Counts writes and discards their bytes."""

    writes: int = 0

    def write(self, data: bytes) -> None:
        self.writes += 1

    def get_extra_info(self, name: str) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass


def fill_node(members: int, services: int) -> tuple[RelayNode, CountingTransport]:
    """Return a node with links to and from its members, and their transport."""
    names = [f"service-{number}" for number in range(services)]
    node = build_relay(SETTINGS)
    node.register_local_node()
    node.state.server.apply_answer_identity("i-1")
    rules = [make_rule(f"/{name}/", name) for name in names]
    node.apply_document(make_document(1, *rules))
    transport = CountingTransport()
    for number in range(members):
        node.state.members.put(
            f"node-{number + 2}",
            f"10.0.{number // 250}.{number % 250 + 1}:7620",
            DOMAINS[number % len(DOMAINS)],
            names[number % services],
        )
        connection = InboundConnection(node.inbound)
        connection.connection_made(transport)
    for name in names:
        for member in node.links._select_members(name):
            open_link(node, member, transport)
    node.readers.start()
    for route_name in node.state.table.routes:
        node.state.record_call(route_name)
    return node, transport


def open_link(node: RelayNode, member: Member, transport: CountingTransport) -> None:
    member.link = PeerLink(member, node.state.clock, node.links.handlers)
    connection = LinkConnection(member.link)
    connection.connection_made(transport)
    member.link._handle_connected(connection)


def make_report(node: RelayNode) -> bytes:
    report = node.control_loop.make_report(False)
    report.accepting = True
    report.times = [ttypes.RouteTime(name, 20.0) for name in node.state.table.routes][
        :4
    ]
    return encode_frame(FrameKind.REPORT, report)


def list_actions(node: RelayNode) -> list[tuple[str, float, Callable[[], None]]]:
    """Return the name, the period in seconds and the function of each timer."""
    subscribe_timers(node)
    timers = [entry[-1] for entry in node.timers._heap]
    return [
        (get_action_name(timer.action), timer.period_s, timer.action)
        for timer in timers
    ]


def run_round(
    node: RelayNode,
    transport: CountingTransport,
    actions: list[tuple[str, float, Callable[[], None]]],
) -> dict[str, float]:
    """Return the microseconds per second of each action."""
    costs: dict[str, float] = {}
    for connection in node.inbound.connections:
        connection.last_received_s = node.state.clock() + 1000.0
    for name, period_s, action in actions:
        runs = round(ROUND_S / period_s)
        before = transport.writes
        started_s = time.process_time()
        for _ in range(runs):
            action()
        spent_s = time.process_time() - started_s
        costs[name] = costs.get(name, 0.0) + spent_s / ROUND_S * US_PER_S
        if name == "ControlLoop.step":
            costs["reports received"] = receive(node, transport.writes - before)
    return costs


def receive(node: RelayNode, count: int) -> float:
    """Return the microseconds per second of ``count`` reports in one round."""
    members = [one for one in node.state.members.by_name.values() if one.link]
    data = make_report(node)
    started_s = time.process_time()
    for number in range(count):
        members[number % len(members)].link._connection.data_received(data)
    return (time.process_time() - started_s) / ROUND_S * US_PER_S


def measure_reference() -> float:
    """Return the microseconds of a fixed piece of work in pure Python."""
    content = {str(number): [number] * 20 for number in range(50)}
    started_s = time.process_time()
    for _ in range(REFERENCE_LOOPS):
        parsed = json.loads(json.dumps(content))
        sorted(parsed, key=lambda name: (len(parsed[name]), name))
    return (time.process_time() - started_s) / REFERENCE_LOOPS * US_PER_S


def main() -> None:
    logger.remove()
    for members, services in MEMBERS_AND_SERVICES:
        node, transport = fill_node(members, services)
        receive(node, members)
        actions = list_actions(node)
        run_round(node, transport, actions)
        transport.writes = 0
        rounds = []
        ratios = []
        for _ in range(ROUNDS):
            reference_us = measure_reference()
            costs = run_round(node, transport, actions)
            rounds.append(costs)
            ratios.append(sum(costs.values()) / reference_us)
        total_us = statistics.median(sum(costs.values()) for costs in rounds)
        print(
            f"{members} members, {services} services: {total_us / 1000:.2f} ms per s,"
            f" ratio {statistics.median(ratios):.1f},"
            f" {transport.writes / ROUNDS / ROUND_S:.0f} writes per s"
        )
        for name, _ in sorted(rounds[0].items(), key=lambda item: -item[1])[:12]:
            cost_us = statistics.median(costs[name] for costs in rounds)
            print(f"  {name:45} {cost_us:9.1f} us per s")


if __name__ == "__main__":
    main()
