"""Queued calls that move to servers with free slots, under load and under failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.messages import Origin, Outcome
from eelgrassmount.verdict import Reason
from tests.relay.deployment import Deployment, Vm, make_rule, send_as_client
from tests.relay.samples import make_call
from tests.relay.test_dispatcher import Setup
from tests.relay.virtual import Network, run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LIST = make_rule(
    "/list/", "list", targetLatencyMs=5000, action={"timeoutMs": 5000, "maxAttempts": 2}
)
BOOK = {**LIST, "kind": "non_idempotent"}
SHEET = make_rule("/sheet/", "list", kind="download")
RUN_S = 0.2
REQUESTS = 40


def run(scenario: Callable[[Deployment], Awaitable[None]], *rules) -> None:
    """Run a scenario on a front node and one server with slow runs."""

    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(*rules)
            try:
                await deployment.add("front")
                first = await deployment.add("list")
                first.server.work_s = RUN_S
                await deployment.wait_until_connected()
                with anyio.fail_after(60):
                    await scenario(deployment)
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main)


async def fill_queue_and_add_server(
    deployment: Deployment, before_answers: Callable[[Vm], None] = lambda vm: None
) -> list[int]:
    """Send requests to one server, add another one and return the statuses."""
    front = deployment.vms[0]
    statuses = []

    async def send_one(number: int) -> None:
        answer = await send_as_client(front, "/list/1", request_id=f"a{number}")
        statuses.append(answer.status)

    async with anyio.create_task_group() as group:
        for number in range(REQUESTS):
            group.start_soon(send_one, number)
        await anyio.sleep(RUN_S / 2)
        second = await deployment.add("list")
        second.server.work_s = RUN_S
        before_answers(second)
    return statuses


@pytest.mark.parametrize("rule", [LIST, BOOK])
def test_idle_server_takes_over_queued_calls_and_each_runs_once(rule):
    async def scenario(deployment: Deployment) -> None:
        statuses = await fill_queue_and_add_server(deployment)
        assert statuses == [200] * REQUESTS
        first, second = (vm.server.runs for vm in deployment.vms[1:])
        assert sorted(first + second) == sorted(f"a{n}" for n in range(REQUESTS))
        # Without moves, all calls wait for the first server.
        assert len(second) >= REQUESTS / 4

    run(scenario, rule, SHEET)


def test_calls_stay_where_the_configuration_does_not_ask_for_moves():
    async def scenario(deployment: Deployment) -> None:
        assert await fill_queue_and_add_server(deployment) == [200] * REQUESTS
        assert deployment.vms[2].server.runs == []

    run(scenario, LIST)


def test_calls_go_on_when_the_node_with_free_slots_dies():
    async def scenario(deployment: Deployment) -> None:
        def kill(vm: Vm) -> None:
            vm.scope.cancel()
            vm.node.end()

        statuses = await fill_queue_and_add_server(deployment, kill)
        assert statuses == [200] * REQUESTS
        assert len(set(deployment.vms[1].server.runs)) == REQUESTS

    run(scenario, LIST, SHEET)


def test_calls_that_would_wait_longest_move_and_have_not_run():
    setup = Setup(slots=4)
    # Three slots are used, and the calls that start within a move stay.
    jobs = [setup.submit() for _ in range(12)]
    assert setup.dispatcher.move_queued(3, "n2") == 3
    assert [job.ended for job in jobs] == [False] * 9 + [True] * 3
    for reply in setup.replies:
        assert (reply.outcome, reply.reason) == (Outcome.NOT_RUN, Reason.MOVED)
        assert reply.moved_to == "n2"


def test_retries_and_calls_that_moved_before_stay():
    setup = Setup(slots=2, slack=100.0)
    setup.submit()
    for _ in range(4):
        setup.submit(make_call(now_s=setup.now_s, counted_as_demand=True))
    within_retry = Origin(0, downstream=True, within_retry=True)
    setup.submit(make_call(now_s=setup.now_s, origin=within_retry))
    assert setup.dispatcher.move_queued(10, "n2") == 0


@pytest.mark.parametrize(
    ("name", "service"), [("nobody", "list"), ("node-1", "list"), ("node-2", "front")]
)
def test_offer_of_an_unknown_node_or_service_moves_nothing(name, service):
    async def scenario(deployment: Deployment) -> None:
        stealing = deployment.vms[1].node.work_stealing
        stealing.handle_offer(ttypes.RelaySlotOffer(name, service, 5))
        assert stealing.moved == 0

    run(scenario, LIST, SHEET)
