"""Planned retries on a virtual network, while all servers reject a share of calls."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from attrs import evolve

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.gen import ttypes
from eelgrassmount.policy.retries import COUNTED_PARTS
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.relay.admission import CallGraph
from eelgrassmount.relay.call_attribution import DownstreamCall, Run
from eelgrassmount.relay.messages import Origin
from eelgrassmount.relay.remaining_calls import count_remaining_calls
from eelgrassmount.relay.status import collect_status
from eelgrassmount.relay.tallies import Tally
from tests.relay.deployment import (
    Deployment,
    Vm,
    make_document,
    make_rule,
    send_as_client,
)
from tests.relay.lone_node import SETTINGS
from tests.relay.samples import make_call, make_route
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from eelgrassmount.compose.relay_node import RelayNode
    from eelgrassmount.http1.exchange import Exchange
    from tests.relay.virtual import Network

PAY = make_rule("/pay/", "list", kind="non_idempotent")
# Turns on planned retries.
SHEET = make_rule("/sheet/", "list", kind="download", name="r-sheet")
ORDER = make_rule("/order/", "desk", kind="non_idempotent", priority=2)
PART = make_rule("/part/", "list")
ORDER_NAME = "shop.example/order/"
PART_NAME = "shop.example/part/"
REPORT = ttypes.RelayReport(
    *(True, 0, 0, 14, 0, 1, [], [], 0, [], 0, 0, None, None),
    ttypes.ServerRejections(550_000, [9] * COUNTED_PARTS),
)
NOT_RUN = b"eelgrassmount-not-executed: 1\r\n"
SIGNED = b"eelgrassmount-response-signature: s\r\n"
REJECTED = 0.55
RATE_PER_S = 50.0
SLACK = 30.0


async def send_steadily(vm: Vm, seconds: float) -> list[int]:
    """Send requests at a steady rate, and return the status of each answer."""
    statuses = []

    async def send() -> None:
        statuses.append((await send_as_client(vm, "/pay/1", "POST")).status)

    async with anyio.create_task_group() as group:
        for _ in range(int(seconds * RATE_PER_S)):
            group.start_soon(send)
            await anyio.sleep(1.0 / RATE_PER_S)
    return statuses


def run_outage(*rules, restarts: bool) -> dict[str, Any]:
    """Let three servers reject calls for 5 s, and return what is seen of it."""
    found = {}
    rng = random.Random(5)

    def answer(exchange: Exchange) -> None:
        if found.get("rejecting") and rng.random() < REJECTED:
            exchange.respond(503, NOT_RUN)
        else:
            exchange.respond(200, SIGNED, b"done")

    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(*rules)
            front = await deployment.add("front")
            backs = [
                await deployment.add("list", retry_slack=SLACK, retry_ratio=0.2)
                for _ in range(3)
            ]
            await deployment.wait_until_connected()
            for vm in backs:
                vm.server.answer = answer
            await send_steadily(front, 12.0)
            before = sum(len(vm.server.runs) for vm in backs)
            found["rejecting"] = True
            found["statuses"] = await send_steadily(front, 2.5)
            found["status"] = collect_status(front.node)
            found["metrics"] = backs[0].node.metrics.render().decode()
            if restarts:
                await deployment.restart_node(backs[0])
                await backs[0].announce()
            found["statuses"] += await send_steadily(front, 2.5)
            found["rejecting"] = False
            found["arrivals"] = sum(len(vm.server.runs) for vm in backs) - before
            await send_steadily(front, 3.0)
            found["after"] = collect_status(front.node)
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)
    return found


@pytest.mark.parametrize("restarts", [False, True])
def test_outage_is_reported_and_its_retries_stay_in_the_budget(restarts):
    found = run_outage(PAY, SHEET, restarts=restarts)
    statuses = found["statuses"]
    retries = found["arrivals"] - len(statuses)
    # The requests of the window before, at 50 a second for 10 s.
    allowed = 0.2 * RATE_PER_S * 10 + SLACK
    assert retries <= allowed
    if not restarts:
        assert retries > 0.7 * 0.5 * allowed
    assert set(statuses) <= {200, 503}
    assert found["status"].rejecting["list"] == pytest.approx(REJECTED, abs=0.15)
    assert 'retry_decisions_total{decision="granted"}' in found["metrics"]
    assert found["after"].rejecting == {}


def test_nothing_is_reported_without_the_feature():
    found = run_outage(PAY, restarts=False)
    assert found["status"].rejecting == {}
    assert found["status"].budgets == []


@pytest.fixture
def node():
    node = build_relay(evolve(SETTINGS, service="list"))
    node.state.server.apply_answer_identity("i1")
    return node


def configure(node: RelayNode, *rules: dict) -> None:
    """Apply a configuration, and let two other servers of its service report."""
    node.apply_document(make_document(1, *rules))
    for name in ("node-2", "node-3"):
        address = f"127.77.4.{name[-1]}:7620"
        member = node.state.members.put(name, address, "a", "list")
        node.peer_updates.handle_report(member, REPORT)


def test_classes_that_would_be_lost_are_limited_while_reports_are_recent(node):
    configure(node, ORDER, PART, SHEET)
    state = node.state
    state.graph.set_calls(ORDER_NAME, {PART_NAME: 8.0})
    orders = RequestClass(ORDER_NAME, 2)
    state.cluster_counts = Tally(3, offered={orders: 300.0})
    state.client_routes.add(ORDER_NAME)
    node.control_loop.step()
    assert node.rejections.shares == {"list": pytest.approx(REJECTED)}
    assert node.rejections.find_begin_fraction(orders) < 0.2
    assert node.admission.admitted_fractions[orders] < 0.2
    for name in ("node-2", "node-3"):
        state.members.by_name[name].load.reported_s -= 2.0
    node.control_loop.step()
    assert node.rejections.shares == {}
    assert node.admission.admitted_fractions == {}


def test_requests_of_others_count_only_if_all_have_reported(node):
    configure(node, ORDER, PART, SHEET)
    rejections = node.rejections
    assert rejections.find_other_requests("list") == [(9,) * COUNTED_PARTS] * 2
    node.state.members.by_name["node-3"].load.rejections = None
    assert rejections.find_other_requests("list") is None


def start_run(route_name: str, origin: Origin, finished: int) -> DownstreamCall:
    """Return an open call of a run that has finished some calls of the part route."""
    run = Run(make_call(route=make_route(route_name), origin=origin), 0.0, 1.0)
    run.calls_by_route = {PART_NAME: finished + 1}
    run.open_calls = 1
    return DownstreamCall(run, None, 1)


def test_remaining_calls_include_those_of_chains_side_by_side():
    graph = CallGraph()
    graph.set_calls(ORDER_NAME, {"shop/list/": 2.0})
    graph.set_calls("shop/list/", {PART_NAME: 4.0})
    of_order = Origin(2, downstream=True, remaining_runs=11)
    for origin, expected in ((of_order, [8, 6, 4, 2]), (Origin(2), [4, 3, 2, 1])):
        calls = [start_run("shop/list/", origin, finished) for finished in range(4)]
        remaining = [count_remaining_calls(PART_NAME, one, graph) for one in calls]
        assert remaining == expected
    unknown = DownstreamCall(None, None, 1)
    assert count_remaining_calls(PART_NAME, unknown, graph) == 2
